"""The state of one front end that survives a restart.

Records promises (setup intents and playing sessions) in the state file as they are made, and restores them at startup.
The decisions are in `decisions/state/`: remembered, durable, recovery.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

import msgspec
import structlog
import trio

from oakcroft.choice import DISTRUST_HALF
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.state.recovery import (
    Fate,
    Grudge,
    Phase,
    Recovery,
    Spent,
    Verdict,
    Word,
    asks_again_at,
    fate,
)
from oakcroft.decisions.state.recovery import further_tries, judge, resolved
from oakcroft.decisions.state.promise import Mark, Promise, after_answer, after_try, step, waits_for_record
from oakcroft.decisions.fleet.node_list import Line
from oakcroft.front.node_client import NodeLeg, Told as Hello
from oakcroft.front.recovered_session import plays_on, resume, viewing
from oakcroft.front.protocols import Steering
from oakcroft.front.playback_session import Upstream, Viewing
from oakcroft.interface import MS, SECOND, Node, Outcome
from oakcroft.store.file import Fact, Held, Move, Put, Told, Whole
from oakcroft.store.writer import WHOLE, Store


GRUDGE = 0.1  # lower failure scores are not stored
SEAT_KEEP = 15 * SECOND  # the same time as a client session waits for its client to reconnect
LATELY = 60 * SECOND  # older failures are not stored


class Memory:
    """The promises of one front end, recorded in its state file, and their restore after a restart."""

    def __init__(self, store: Store, helm: Steering, log: structlog.typing.FilteringBoundLogger) -> None:
        """Connects to the store of the state file; `restore` loads what the file holds."""
        self.store, self.helm, self.log = store, helm, log
        self.promises: dict[str, Promise] = {}  # by the session's id
        self.adopted: set[str] = set()  # ids of restored sessions that no node has confirmed yet
        self.held: dict[str, Viewing] = {}  # restored intents of unknown outcome, by the session's id
        self.seat_keep = SEAT_KEEP
        # Ids of restored sessions of API clients, with the time until which a client may claim them.
        self.unclaimed: dict[str, int] = {}
        # When the node of an uncertain intent is asked again, by the session's id.
        self.asked: dict[str, int] = {}
        self.kept: dict[str, Grudge] = {}
        self.recovery = Recovery(store.keep, helm.clock.now())
        self.alive_at = 0
        self.list: Told | None = None
        store.whole = lambda: Whole(tuple(self.promises.values()), self.list)
        store.found = partial(self._take_on, late=True)

    # During service.

    def refusal(self, v: Viewing) -> answers.Reply | None:
        """The reply to a request that may not begin; None if it may.

        A request whose intent must be recorded is rejected while nothing can be recorded, and aborted if nodes have told
        that its key was promised before the state file was lost.
        """
        if not waits_for_record(v.pb.plan):
            return None
        # While the state file cannot be read yet, it may hold a key learned from nodes as playing: the key would be
        # answered "aborted" now and "plays" later.
        if v.key in self.recovery.learnt and self.store.read:
            return answers.aborted(v.pb.plan.effect)
        sound = self.store.health.takes_promises(self.helm.clock.now())
        return (
            None
            if sound and self.recovery.takes_promises(v.key)
            else answers.REFUSALS[answers.Refusal.UNRECORDED]
        )

    def learnt(self, key: str) -> bool:
        """Whether nodes have told of this key, promised before this front end lost its state file."""
        return key in self.recovery.learnt

    async def before_try(self, v: Viewing, node: str, rung: int, until: int) -> bool:
        """Records the intent of a set-up before it is sent; False if that did not succeed by `deadline`."""
        if not waits_for_record(v.pb.plan):
            return True
        if v.final is not None:  # its abandon time has just passed: no set-up is sent any more
            return False
        before, promise = self.promises.get(v.id), self._promise(v, node, rung)
        self.promises[v.id] = step(before, promise)
        with trio.move_on_at(self.helm.clock.deadline(until)):
            if await self.store.durable(Put(promise)):
                return True
        self.put(replace(promise, mark=Mark.GONE))
        return False

    def put(self, promise: Promise) -> None:
        """Stores a changed promise without waiting for the write."""
        before = self.promises.get(promise.id)
        if before is None and promise.mark is Mark.GONE:
            return
        if before is not None and before.mark is Mark.GONE:
            return
        step(before, promise)
        if promise.mark is Mark.GONE:
            self.promises.pop(promise.id, None)
        else:
            self.promises[promise.id] = promise
        self.store.note(Put(promise))

    def tried(self, v: Viewing, outcome: Outcome) -> None:
        """A setup try of a session has ended without success."""
        if (promise := self.promises.get(v.id)) is not None:
            after = after_try(promise, outcome, self.helm.clock.now())
            if after is not promise:
                self.put(after)

    def playing(self, v: Viewing) -> Promise | None:
        """The promise to record for a playing session, whether newly set up or moved to another node."""
        if v.upstream is None or v.pb.node is None:
            return None
        u, promise = v.upstream, self._promise(v, v.upstream.node, v.pb.rung)
        return replace(
            promise, mark=Mark.PLAYS, sent_at=v.pb.tries[-1][1] if v.pb.tries else promise.changed, resource=u.resource,
            events=u.events, layer=u.layer, tag=v.resource.tag if v.resource else u.tag, answer=u.answer,
        )  # fmt: skip

    def _promise(self, v: Viewing, node: str, rung: int) -> Promise:
        """The promise for an intent to set a session up on a node, now."""
        now, leg = self.helm.clock.now(), self.helm.legs.get(node)
        return Promise(
            v.id, v.key, v.about, v.path, v.pb.title.name, v.plan.name, v.pb.plan.effect.value, v.pb.plan.seats > 0,
            v.publishes, v.ufrag, v.pb.top, v.token, v.due.written, v.due.abandon, Mark.INTENT, node,
            leg.lifeline.process if leg else "", now, rung=rung, changed=now, seated=v.seated,
        )  # fmt: skip

    def waits(self, v: Viewing) -> bool:
        """Whether the answer that a session plays must be recorded before it is given.

        Otherwise its key could be answered differently after a restart.
        """
        return waits_for_record(v.pb.plan) and v.beside is None

    async def record(self, v: Viewing) -> bool:
        """Records that a session plays; False if that did not succeed in time."""
        promise = self.playing(v)
        if promise is None or v.final is not None:  # already answered "may have run", which is final
            return False
        self.promises[v.id] = step(self.promises.get(v.id), promise)
        return await self.store.durable(Put(promise))

    def answered(self, v: Viewing, final: Final) -> None:
        """Records the final answer of a session."""
        if v.beside is not None:
            return
        if final is Final.PLAYS:
            promise = self.playing(v)
            if promise is not None and (
                v.id not in self.promises or self.promises[v.id].mark is not Mark.PLAYS
            ):
                self.put(promise)
        elif (before := self.promises.get(v.id)) is not None:
            self.put(after_answer(before, final, self.helm.clock.now()))

    def moved(self, v: Viewing) -> None:
        """Records that a session plays on another node than before."""
        promise = self.playing(v)
        if promise is not None and v.id in self.promises:
            self.put(promise)

    def over(self, v: Viewing) -> None:
        """Records that a session has ended.

        If the session must not repeat, its key is kept for as long as a viewer may repeat the request: after a restart
        the request is then aborted instead of being set up a second time.
        """
        promise = self.promises.get(v.id)
        if v.final is Final.PLAYS and promise is not None and promise.mark is Mark.PLAYS:
            mark = Mark.ABORTED if promise.binds else Mark.GONE
            self.put(replace(promise, mark=mark, answer="", changed=self.helm.clock.now()))

    def move_begins(self, v: Viewing, copy: Viewing) -> None:
        """Records that a move may set up a copy of a session from now on."""
        self.store.note(Move(v.id, copy.key, self.helm.clock.now()))

    def move_over(self, v: Viewing) -> None:
        """Records that the move of a session has ended."""
        self.store.note(Move(v.id, "", 0))

    def listed(self, lines: Iterable[Line], version: int, service: str) -> None:
        """Stores a changed node list."""
        self.list = Told(tuple(lines), version, service, self.helm.clock.now())
        self.store.note(self.list)

    def sent(self, node: Node) -> None:
        """Stores how much of its cold slot a node has used, while the node may be cold."""
        now = self.helm.clock.now()
        if now - max(node.started_at, node.failed_at) < self.helm.site.terms.cold_for:
            self.store.note(Spent(node.name, node.started_at, node.slot, node.slot_used, now))

    def look(self) -> None:
        """Runs periodic work.

        Stores changed failure scores of nodes, asks nodes again that can now prove what became of uncertain intents, and
        ends restored sessions that no client has claimed.
        """
        now = self.helm.clock.now()
        if now - self.alive_at >= SECOND:
            self.alive_at = now
            self.store.note(Fact("alive", str(now).encode()))
            self.kept = {name: grudge for name, grudge in self.kept.items() if name in self.helm.roster.nodes}
            for node in self.helm.roster.nodes.values():
                score = node.distrust.read(now, DISTRUST_HALF)
                grudge = Grudge(node.name, round(score, 2), now, node.failed_at)
                old = self.kept.get(node.name)
                worth = score > GRUDGE or now - node.failed_at < LATELY
                if (worth or old is not None) and (
                    old is None or (old.score, old.failed_at) != (grudge.score, node.failed_at)
                ):
                    self.kept[node.name] = grudge
                    self.store.note(grudge)
                    if not worth:
                        del self.kept[node.name]
            for id_ in [
                i
                for i, p in self.promises.items()
                if p.mark is Mark.ABORTED and now - p.changed > self.store.keep
            ]:
                del self.promises[id_]  # the store expires its copy on its own
        for id_, at in list(self.asked.items()):
            if now >= at and id_ in self.held:
                del self.asked[id_]
                if leg := self.helm.legs.get(self.promises[id_].node):
                    leg.renew()
        for id_ in [i for i, until in self.unclaimed.items() if now > until]:
            del self.unclaimed[id_]
            if (gone := self.helm.sessions.get(id_)) is not None:
                self.log.info("seat not taken again", playback=id_)
                self.helm.hide(gone)
                self.helm.end(gone)
        if self.recovery.phase is Phase.FORGETFUL and self.recovery.look(now) is Phase.SERVING:
            self._whole_again()

    # Startup.

    def begin(self, held: Held | None) -> None:
        """Restores what the state file holds; if it was lost, asks the nodes what this front end has promised."""
        now = self.helm.clock.now()
        if held is not None:
            self._take_on(held)
        had = held is not None and self.store.had
        if held is not None and "learnt" in held.facts:
            at, keys = msgspec.msgpack.decode(held.facts["learnt"], type=tuple[int, list[str]])
            if now - at <= self.store.keep:
                self.recovery.learnt |= set(keys)
        phase = self.recovery.read(had, self.helm.roster.lines, now)
        if phase is Phase.FORGETFUL:
            self.log.warning("state lost", nodes=len(self.recovery.unheard), keep_s=self.store.keep // SECOND)
            self._ask_all()

    def _ask_all(self) -> None:
        for name in sorted(self.recovery.unheard):
            if leg := self.helm.legs.get(name):
                self.helm.follow_events(leg, f"/events/{self.helm.me}")

    def list_came(self, lines: Iterable[Line]) -> None:
        """Asks the nodes that the first node list after startup adds, if the state file was lost."""
        if self.recovery.phase is Phase.FORGETFUL or not self.recovery.listed:
            self.recovery.list_came([x.name for x in lines])
            if self.recovery.phase is Phase.FORGETFUL:
                self._ask_all()

    def _take_on(self, held: Held, late: bool = False) -> None:
        """Restores the promises of the previous run: resumes, holds, remembers or ends each.

        `late`: the file became readable during service; promises whose keys are known by then are skipped.
        """
        helm, now = self.helm, self.helm.clock.now()
        counts: dict[str, int] = {}
        copies = {m.copy for m in held.moves}
        known = {p.key for p in self.promises.values()}
        for promise in held.promises:
            if late and promise.key in known:
                continue
            plan = helm.site.plans.get(promise.plan)
            what = fate(promise, promise.node in helm.roster.nodes, plan is not None, self.store.keep, now)
            if what in (Fate.ADOPT, Fate.HOLD) and not self._recall(promise, what, now):
                what = Fate.END if promise.mark is Mark.PLAYS else Fate.REMEMBER
            counts[what.name.lower()] = counts.get(what.name.lower(), 0) + 1
            if what is Fate.END:
                self._end(promise)
            if what is Fate.FORGET or (what is Fate.END and not promise.binds):
                self.store.note(Put(replace(promise, mark=Mark.GONE)))
            elif what in (Fate.REMEMBER, Fate.END):
                aborted = replace(
                    promise, mark=Mark.ABORTED, changed=max(promise.changed, now - self.store.keep)
                )
                self.promises[promise.id] = aborted
                self.store.note(Put(aborted))
                self._remember(aborted, now)
        for grudge in held.grudges:
            if (node := helm.roster.nodes.get(grudge.node)) is not None:
                node.distrust.add(grudge.score, grudge.at, DISTRUST_HALF)
                node.failed_at = max(node.failed_at, grudge.failed_at)
        lately = now - 2 * helm.site.terms.fall_window
        spent = [
            helm.roster.nodes[s.node] for s in held.spent if s.node in helm.roster.nodes and s.at >= lately
        ]
        alive = int(held.facts.get("alive", b"0"))
        terms = helm.site.terms
        helm.controller.recalled(further_tries(alive, terms.tries_free, terms.tries_window, now), spent, now)
        for move in held.moves:
            self.store.note(Move(move.playback, "", 0))
        self.log.info("state taken on", promises=len(held.promises), moves=len(copies), away_ms=(now - alive) // MS,
                      late=late, spent=len(spent), **counts)  # fmt: skip

    def _recall(self, promise: Promise, what: Fate, now: int) -> bool:
        """Restores a promise as a playback of the decision module, which then counts its seat and load.

        False if its node is gone or its title or plan is not served.
        """
        helm = self.helm
        node, leg, v = (
            helm.roster.nodes.get(promise.node),
            helm.legs.get(promise.node),
            viewing(helm, promise),
        )
        if node is None or leg is None or v is None:
            return False
        self.promises[promise.id] = promise
        resume(helm, v, node)
        if what is Fate.HOLD:
            v.final, v.ending = Final.ABORTED, True
            helm.controller.left(v.pb, now)
            self.held[v.id] = v
            self.asked[v.id] = asks_again_at(promise)
            if promise.binds:
                self._remember(promise, now)
        else:
            u = Upstream(
                promise.node, promise.resource, promise.events, promise.layer, promise.tag, promise.answer
            )
            plays_on(helm, v, leg, u)
            self.adopted.add(v.id)
            if promise.seated:
                self.unclaimed[v.id] = now + self.seat_keep
            helm.repeats.recall(v.key, v.about, promise.binds, Final.PLAYS, v, now)
        helm.follow_events(leg, promise.events or f"/events/{helm.me}")
        return True

    def _remember(self, promise: Promise, now: int) -> None:
        """Makes repeated requests with the key of a promise that may have run abort."""
        v = viewing(self.helm, promise)
        plan = self.helm.site.plans.get(promise.plan)
        if v is None or plan is None:
            return
        v.settle(Final.ABORTED, answers.aborted(plan.plan.effect))
        self.helm.repeats.recall(v.key, v.about, True, Final.ABORTED, v, now)

    def _end(self, promise: Promise) -> None:
        leg = self.helm.legs.get(promise.node)
        if leg is not None and promise.resource:
            self.helm.nursery.start_soon(leg.farewell, promise.resource)

    # Reports from nodes.

    def word(self, leg: NodeLeg, hello: Hello, asked_at: int) -> None:
        """Handles a node's report of this front end's sessions that it runs and the keys that it has run."""
        now = self.helm.clock.now()
        running = dict(zip(hello.sessions, hello.keys, strict=False))
        for playing in hello.sessions:
            if v := self.helm.upstreams.get((leg.name, playing)):
                self.adopted.discard(v.id)
        word = Word(
            hello.process,
            running,
            frozenset(hello.ran),
            hello.up_ms * MS,
            hello.remembers_ms * MS,
            asked_at,
            now,
        )
        for id_, v in list(self.held.items()):
            promise = self.promises[id_]
            if promise.node != leg.name:
                continue
            verdict = judge(promise, word)
            if verdict is Verdict.UNPROVEN:
                continue
            session = next((s for s, key in running.items() if key == promise.key), None)
            self.log.info("promise resolved", playback=id_, node=leg.name, verdict=verdict.name.lower())
            told = verdict is Verdict.NEVER_RAN and not self.helm.repeats.forget(v.key)
            after = resolved(promise, verdict, now, told)
            self.held.pop(id_)
            self.asked.pop(id_, None)
            if verdict is Verdict.RUNNING and session is not None:
                self.helm.nursery.start_soon(self._end_and_release, leg, session, v)
            else:
                self.helm.release(v)
            if after is not promise:
                self.put(after)
        if (
            self.recovery.phase is Phase.FORGETFUL
            and self.recovery.heard(leg.name, word, now) is Phase.SERVING
        ):
            self._whole_again()

    def claimed(self, v: Viewing) -> None:
        """A client has requested a restored session again."""
        self.unclaimed.pop(v.id, None)

    def ended_away(self, v: Viewing) -> bool:
        """Whether a session ended while this front end was not running.

        Such an end is not the node's fault: a thousand of them, counted as resets, would exclude a healthy node for most
        of a minute.
        """
        if v.id not in self.adopted:
            return False
        self.adopted.discard(v.id)
        return True

    def _whole_again(self) -> None:
        """Records that the state file is complete again, together with the keys learned from nodes."""
        learnt = msgspec.msgpack.encode((self.helm.clock.now(), sorted(self.recovery.learnt)))
        self.store.note(Fact("learnt", learnt))
        self.store.note(Fact(WHOLE, b"1"))
        self.log.warning("state whole again", learnt=len(self.recovery.learnt))

    async def _end_and_release(self, leg: NodeLeg, session: str, v: Viewing) -> None:
        await leg.farewell(session)
        await self.helm.tell(partial(self.helm.release, v))

    def node_lost(self, name: str, proven: bool) -> None:
        """Handles a lost node: if the loss is proven, resolves its uncertain intents as having run."""
        if not proven:
            return
        for id_, v in list(self.held.items()):
            promise = self.promises[id_]
            if promise.node == name:
                self.held.pop(id_)
                self.asked.pop(id_, None)
                self.helm.release(v)
                self.put(resolved(promise, Verdict.RAN, self.helm.clock.now()))
        if self.recovery.phase is Phase.FORGETFUL:
            self.recovery.heard(name, None, self.helm.clock.now())
