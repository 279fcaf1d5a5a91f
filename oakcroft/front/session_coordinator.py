"""The one task that owns the decision policy, passes events to it and carries out its decisions.

All other tasks submit their events through one bounded channel, and they are handled in order of arrival;
only this task calls the policy. What the policy asks for during a call becomes a task of the nursery: setup
tries, background requests to nodes, the timer. A full channel is handled where the event comes from: a new
request is rejected, all other events wait.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import structlog
import trio

from oakcroft.choice import Controller, digest
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.routing.catalogue import Catalogue, Course, bound, course
from oakcroft.decisions.moving.handover import Happening
from oakcroft.decisions.sessions.event_stream_health import Loss, Patience
from oakcroft.decisions.admission.request_limits import Ledger
from oakcroft.decisions.admission.deadlines import BEAT, Due, Stillness
from oakcroft.decisions.sessions.idempotency import Repeats
from oakcroft.decisions.sessions.session_resource import Resource
from oakcroft.decisions.fleet.node_list import Line, Refused, Roster
from oakcroft.decisions.routing.title_cache import Shelf
from oakcroft.decisions.routing.configuration_version import InForce, Offer, Verdict
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event, handle_all
from oakcroft.front.node_events import Hearing
from oakcroft.front.move_executor import Moves
from oakcroft.front.node_client import LONGEST_TRY_GRACE, NodeLeg, Standing, TryEnd
from oakcroft.front.rendition_bound import RenditionBound
from oakcroft.front.protocols import Bell, Decide, Decider
from oakcroft.front.playback_session import Viewing
from oakcroft.interface import Node, Note, Outcome, Playback, State
from oakcroft.config.settings import Deployment, PlanTerms, Site
from oakcroft.signalling import words


if TYPE_CHECKING:
    from oakcroft.front.durable_state import Memory


NO_LOAD = words.Load()
MOST_EVENTS = 4_096
MOST_TITLES = 50_000
MOST_KEYS = 100_000
UNHEARD = 10.0  # for which a session is kept whose viewer did not get its answer and may ask again


class Helm:
    """The decision policy and its host in one front end.

    Methods without a leading underscore that change sessions run in the event task, unless they are
    coroutines.
    """

    def __init__(
        self,
        told: Deployment,
        seed: int,
        me: str,
        clock: Clock,
        nursery: trio.Nursery,
        log: structlog.typing.FilteringBoundLogger,
        decide: Decide = Controller,
    ) -> None:
        """Creates the coordinator; nothing runs before its tasks are started.

        `configuration` is the version in force at the start, `pseudonym` the name of this front end towards
        nodes, and `policy_factory` creates the policy that decides.
        """
        self.me, self.clock, self.nursery, self.log_ = me, clock, nursery, log
        self.versions = InForce(Offer(0, told.meaning, told))
        site = told.site
        self.rng = Random(seed + 1)  # for retries of requests to nodes; the policy has its own generator
        self.events, self.inbox = trio.open_memory_channel[Event](MOST_EVENTS)
        self.roster = Roster()
        self.legs: dict[str, NodeLeg] = {}
        self.titles = Shelf(MOST_TITLES, site.terms.cells, site.copies, stated(site))
        self.ledger = Ledger(site.terms.front, site.terms.fronts)
        self.ledger.take_version(site.limits)
        self.viewings: dict[Playback, Viewing] = {}
        self.sessions: dict[str, Viewing] = {}  # by the id of the session resource that viewers use
        self.upstreams: dict[tuple[str, str], Viewing] = {}  # by node name and resource path there
        self.repeats = Repeats(MOST_KEYS, site.keep_keys)
        self.stillness = Stillness(clock.now())
        self.unanswered = self.playing = self.farewells = 0
        self.bell = Bell()
        self.longest_abandon = max(p.abandon for p in site.plans.values())
        self.moves = Moves(self, Random(seed + 3), site.usual_notice, log)
        self.controller: Decider = decide(site.terms, seed, self, clock.now())
        self.rendition_bound = RenditionBound(self, self.rng, log)
        self.hearing = Hearing(self, self.moves, log)
        self.memory: Memory | None = None
        self.catalogue = Catalogue()
        self.finals = Counter[Final]()  # answers given since the start
        self.told_answer: Callable[[bool, PlanTerms, int], None] | None = None
        self.told_passed: Callable[[int], None] = lambda _: None
        self.standing: Standing | None = None
        self.heard_load: Callable[[str, float, int], None] = lambda node, asked, age: None

    @property
    def site(self) -> Site:
        """Deployment-wide part of the configuration version in force."""
        return self.versions.offer.compiled.site

    def take_version(self, offer: Offer[Deployment] | None) -> tuple[Verdict, list[str]]:
        """Applies a configuration version between two events, or rejects it as a whole.

        `version` is None for a configuration that could not be read. Returns the verdict, and the parts that
        need a restart where that is why it was rejected.
        """
        before = self.site
        verdict, parts = self.versions.consider(offer)
        if verdict is Verdict.TAKEN:
            site = self.site
            self.titles.take_version(site.copies, stated(site))
            self.ledger.take_version(site.limits)
            self.longest_abandon = max(self.longest_abandon, *(p.abandon for p in site.plans.values()))
            self.repeats.keep = site.keep_keys
            over = [f"{t.name}: {t.seats[p.plan]} of {p.plan.seats}" for t in self.titles.titles.values()
                    for p in site.plans.values() if p.plan.seats and t.seats.get(p.plan, 0) > p.plan.seats]  # fmt: skip
            gone = sorted(set(before.plans) - set(site.plans))
            self.log_.info("configuration taken", version=self.versions.offer.number, routes=len(site.table.routes),
                           over_seats=over[:10], plans_gone=gone)  # fmt: skip
        else:
            self.log_.warning("configuration not taken", verdict=verdict.value, parts=parts)
        return verdict, parts

    # Events.

    async def run(self) -> None:
        """Handles events until it is cancelled."""
        await handle_all(self.inbox, lambda event: event())

    def offer(self, event: Event) -> bool:
        """Submits an event without waiting; returns False when the channel is full."""
        try:
            self.events.send_nowait(event)
        except trio.WouldBlock:
            return False
        return True

    async def tell(self, event: Event) -> None:
        """Submits an event and waits for room in the channel."""
        await self.events.send(event)

    def insist(self, event: Event) -> None:
        """Submits an event that must not be lost, from code that cannot wait."""
        if not self.offer(event):
            self.nursery.start_soon(self.tell, event)

    async def beat(self) -> None:
        """Detects pauses of the process, until it is cancelled."""
        while True:
            self.awake(self.clock.now())
            await trio.sleep(BEAT / 1e9)

    def awake(self, now: int) -> None:
        """Detects a pause of the process that ends now, and excludes its duration from all node timeouts.

        Called before any judgement by elapsed time, which would otherwise count the pause.
        """
        stood = self.stillness.beat(now)
        if stood:
            self.log_.warning("stood still", ms=stood // 1_000_000, unanswered=self.unanswered)
            for leg in self.legs.values():
                leg.claims.stood(stood)
                leg.lifeline.stood(stood)

    async def look_after(self) -> None:
        """Checks periodically for silent nodes and for sessions that no setup try has claimed."""
        while True:
            await trio.sleep(0.5)
            now = self.clock.now()
            self.awake(now)
            if self.memory is not None:
                await self.tell(self.memory.look)
            for leg in list(self.legs.values()):
                if leg.watched and (loss := leg.lifeline.look(now)) is not None:
                    await self.tell(partial(self.hearing.node_lost, leg, loss, "silent for too long"))
                for session in leg.claims.orphans(now):
                    self.log_.info("orphan ended", node=leg.name)
                    self.nursery.start_soon(leg.farewell, session)
                if leg.name not in self.roster.nodes and not leg.claims.mine:
                    del self.legs[leg.name]
                    await leg.close()

    # Node list.

    async def listed(self, lines: list[Line], version: int, service: str, kept: bool = False) -> bool:
        """Submits a node list and waits until it is applied; returns whether it was accepted.

        `version` is the list's version, `service` the name of the list service, and `is_cached` says that the
        list was read from the cache of an earlier process.
        """
        verdict: list[bool] = []
        done = trio.Event()

        def take() -> None:
            verdict.append(self._list(lines, version, service, kept))
            done.set()

        await self.tell(take)
        await done.wait()
        return verdict[0]

    def _list(self, lines: list[Line], version: int, service: str, kept: bool) -> bool:
        """Applies a node list; returns False when it was rejected."""
        now = self.clock.now()
        taken = self.roster.take(lines, version, service, now, kept)
        if isinstance(taken, Refused):
            self.log_.warning("list refused", why=taken.why, nodes=len(self.roster.lines))
            return False
        if taken is None:
            return True
        kind, entries = taken
        for line in self.roster.lines.values():
            leg = self.legs.get(line.name)
            if leg is None or leg.address != (line.address, line.port):
                self._new_leg(line)
        self.controller.listed(kind, entries, now)
        if self.memory is not None and not kept:
            self.memory.listed(self.roster.lines.values(), version, service)
            self.memory.list_came(self.roster.lines.values())
        self.moves.listed(entries, {x.name: x.drains_until for x in self.roster.lines.values()}, now)
        changes = ", ".join(f"{e.node.name} {e.listing.value}" for e in entries[:6])
        self.log_.info("list", kind=kind.value, version=version, nodes=len(self.roster.lines), changes=changes,
                       changed=len(entries))  # fmt: skip
        return True

    def _new_leg(self, line: Line) -> None:
        """Creates the client of a listed node, in place of one for another address."""
        old = self.legs.get(line.name)
        if old is not None:
            self.hearing.node_lost(old, Loss.PROVEN, "it has another address")
            self.nursery.start_soon(old.close)
        patience = Patience(self.site.silent_after, self.site.lost_after)
        claim_within = self.longest_abandon + LONGEST_TRY_GRACE
        self.legs[line.name] = NodeLeg(
            line.name, line.address, line.port, self.me, self.clock, self.rng, self.site.connect_within, patience,
            claim_within,
        )  # fmt: skip
        self.legs[line.name].standing = self.standing
        self.legs[line.name].awake = self.awake

    # Requests.

    def viewing(
        self, path: str, title_name: str, plan: PlanTerms, publishes: bool, key: str, offer: str, ufrag: str, top: int,
        due: Due,
    ) -> Viewing | None:  # fmt: skip
        """Creates the session of a request that has not been placed yet.

        Returns None where the title cache has no room for its title.
        """
        title = self.titles.get(title_name, digest(title_name) % self.site.terms.cells)
        if title is None:
            return None
        pb = Playback(title, plan.plan, top, due.abandon, False)
        return Viewing(secrets.token_urlsafe(15), path, plan, publishes, key, offer, ufrag, due, pb)

    def arrived(self, v: Viewing) -> None:
        """Asks the policy to place a session, unless its viewer has left already."""
        if v.final is not None or v.answered.is_set():  # its viewer left while the event was queued
            if v.settle(Final.REJECTED):
                self.repeats.settled(v.key, Final.REJECTED, v, self.clock.now())
            self._free(v)
            return
        self.viewings[v.pb] = v
        # A newer catalogue has come into force since the request was read.
        if v.catalogue != self.catalogue.number:
            top = self.title_top(v.pb.title.name, v.asked_top, v.pb.plan.floor)
            if top is None:
                self._settle(v, Final.REJECTED, answers.REFUSALS[answers.Refusal.NO_TITLE])
                del self.viewings[v.pb]
                self._free(v)
                return
            v.pb.top, v.catalogue = top, self.catalogue.number
        self.controller.arrived(v.pb, self.clock.now())
        self._forget(v)

    def title_top(self, title: str, asked_top: int, floor: int) -> int | None:
        """Highest rung for a request under the catalogue in force; None where the title cannot be served.

        `requested_top` is the highest rung that the request takes, `floor` the lowest rung of its plan.
        """
        return bound(self.catalogue, title, asked_top, floor, len(self.site.terms.rates))

    def left(self, v: Viewing) -> None:
        """Handles a viewer that left, or whose time was up, before its answer."""
        if v.pb not in self.viewings:
            return
        # It plays, but its answer has not been stored yet.
        if v.pb.state is State.PLAYING and v.beside is None:
            self.end(v)
            return
        self.controller.left(v.pb, self.clock.now())
        self._forget(v)

    def release(self, v: Viewing) -> None:
        """Releases a playback of an earlier process that may have run, once it is known to hold nothing."""
        if v.pb in self.viewings and not self.controller.over(v.pb):
            self.controller.tried(v.pb, Outcome.WITHDRAWN, True, None, None, None, self.clock.now())
            self._forget(v)

    def end(self, v: Viewing) -> None:
        """Ends a playing session, on behalf of its viewer or of this front end."""
        self.moves.viewer_left(v)
        if v.ending or v.pb not in self.viewings or v.pb.state is not State.PLAYING:
            return
        v.ending = True
        self.controller.left(v.pb, self.clock.now())
        self._say_farewell(v)

    def end_beside(self, other: Viewing) -> None:
        """Ends the counterpart of a move that is no longer wanted, whether it plays or is being set up."""
        if other.pb.state is State.PLAYING:
            self.end(other)
        else:
            self.left(other)

    def break_off(self, v: Viewing) -> None:
        """Ends a session that can only move by breaking first: its viewer is told and connects again."""
        self.hide(v)
        self.end(v)

    def rebind(self, v: Viewing) -> None:
        """Registers a session again after its playback and its upstream session were exchanged."""
        if v.pb in self.viewings:
            self.viewings[v.pb] = v
        if v.upstream is not None and (v.upstream.node, v.upstream.resource) in self.upstreams:
            self.upstreams[v.upstream.node, v.upstream.resource] = v

    def _say_farewell(self, v: Viewing) -> None:
        """Starts ending a session on its node."""
        self.farewells += 1
        self.nursery.start_soon(self._farewell, v)

    def wished(self, v: Viewing, rung: int) -> None:
        """Limits the rungs that the policy may set to those that the viewer takes, `rung` and below."""
        if v.pb not in self.viewings or v.pb.state is not State.PLAYING:
            return
        v.asked_top = rung
        self.bounded(v, max(v.pb.plan.floor, min(rung, self.course(v)[1])))

    def course(self, v: Viewing) -> tuple[Course, int]:
        """Effect of the catalogue in force on a playback, and the highest rung that it allows."""
        node, item = v.pb.node.name if v.pb.node else "", self.catalogue.titles.get(v.pb.title.name)
        rungs = len(self.site.terms.rates)
        return course(v.pb.plan.floor, v.pb.rung, item, self.catalogue.others, rungs, node)

    def bounded(self, v: Viewing, top: int) -> None:
        """Sets the highest rung of a playing session.

        Where the session plays above it, it steps down at once and the policy is told.
        """
        self.rendition_bound.set(v, top)

    def above_bound(self, v: Viewing) -> None:
        """Handles a node's report that a rung above the bound is in force."""
        self.rendition_bound.exceeded(v)

    async def _farewell(self, v: Viewing) -> None:
        """Ends a session on its node and then reports its playback as ended."""
        try:
            if v.upstream is not None and (leg := self.legs.get(v.upstream.node)):
                await leg.farewell(v.upstream.resource)
                leg.claims.drop(v.upstream.resource)
            await self.tell(partial(self.over, v, Outcome.WITHDRAWN))
        finally:
            self.farewells -= 1
            self.bell.ring()

    # Implementation of Host.

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None:
        """Starts a setup try; implements `Host.send_setup`. `abandon_at` is its deadline."""
        if self.viewings[pb].beside is not None:
            self.moves.chosen(self.viewings[pb], node.name)
        if self.memory is not None:
            self.memory.sent(node)
        self.viewings[pb].catalogue = self.catalogue.number
        self.nursery.start_soon(self._try, self.viewings[pb], self.legs[node.name], pb.rung, abandon_at)

    def reject(self, pb: Playback, stay_away: int) -> None:
        """Answers a request as rejected; implements `Host.reject`."""
        self._settle(self.viewings[pb], Final.REJECTED, answers.rejected(stay_away))

    def abort(self, pb: Playback) -> None:
        """Answers a request as aborted; implements `Host.abort`."""
        self._settle(self.viewings[pb], Final.ABORTED, answers.aborted(pb.plan.effect))

    def set_rung(self, pb: Playback, rung: int) -> None:
        """Sends a rung to the node of a playing session; implements `Host.set_rung`."""
        v = self.viewings[pb]
        if pb.state is not State.PLAYING:
            return  # the set-up itself carries the rung
        v.rung_wanted = rung
        if not v.rung_at_work:
            v.rung_at_work = True
            self.nursery.start_soon(self._change_rung, v)

    def alarm(self, at: int) -> None:
        """Calls the policy's `on_timer` at a time; implements `Host.set_timer`."""
        self.nursery.start_soon(self._alarm, at)

    def follow(self) -> None:
        """Does nothing, as the node list is always followed; implements `Host.subscribe_to_nodes`."""

    def log(self, line: str) -> None:
        """Logs a change of the policy's mode of operation; implements `Host.log`."""
        self.log_.info("mode", change=line, playing=self.playing, unanswered=self.unanswered)

    # Tasks.

    async def _alarm(self, at: int) -> None:
        """Waits for the policy's timer."""
        await trio.sleep_until(self.clock.deadline(at))
        await self.tell(lambda: self.controller.alarm(self.clock.now()))

    async def _try(self, v: Viewing, leg: NodeLeg, rung: int, until: int) -> None:
        """Runs one setup try, once its intent is stored where that is required."""
        if self.memory is None or await self.memory.before_try(v, leg.name, rung, until):
            end = await leg.set_up(v, rung, until)
        else:
            end = TryEnd(Outcome.NOT_SENT, NO_LOAD, None, "not on record in time")
        await self.tell(partial(self._tried, v, leg, end))

    async def _change_rung(self, v: Viewing) -> None:
        """Sends the rung that was requested last.

        While one change is under way, later requests replace each other.
        """
        rung = v.pb.rung
        try:
            while v.rung_wanted is not None and v.upstream is not None and v.pb.state is State.PLAYING:
                rung, v.rung_wanted = v.rung_wanted, None
                leg = self.legs.get(v.upstream.node)
                if leg is None:
                    return
                if not await leg.set_rung(v.upstream, rung):
                    leg.renew()  # the node's first event on a new stream says which rung is in force
                    continue  # with the rung requested since, if any
                self.publish(v, "layers", {"encodingId": str(rung)})
        finally:
            v.rung_at_work = False

    # Results from nodes.

    def _tried(self, v: Viewing, leg: NodeLeg, end: TryEnd) -> None:
        """Handles the end of a setup try."""
        now, pb = self.clock.now(), v.pb
        if end.outcome is Outcome.DONE and end.upstream is not None:
            if self.legs.get(leg.name) is leg:
                self._set_up(v, leg, end)
                return
            # The list has replaced the node's address meanwhile, so nobody can use what runs at the old one.
            self.nursery.start_soon(leg.farewell, end.upstream.resource)
            end = replace(end, outcome=Outcome.RESET, cause="its node has another address")
        closed = pb.state is not State.SETTING_UP
        if self.memory is not None:
            self.memory.tried(v, end.outcome)
        if closed and v.final is None:
            self._abort_unheard(v)
        self.log_.debug("try", playback=v.id, node=leg.name, outcome=end.outcome.value, cause=end.cause)
        self.controller.tried(pb, end.outcome, closed, end.load.asked, end.load.used, end.load.uplink, now)
        self._forget(v)

    def told_load(self, name: str, asked: float, at: int) -> None:
        """Passes a node's load to the policy that another front end, or a probe of this one, has reported.

        `measured_at` is the time of the measurement.
        """
        node, now = self.roster.nodes.get(name), self.clock.now()
        if node is not None and name in self.roster.lines:
            self.controller.told(node, asked, max(0, now - at), now)

    def _set_up(self, v: Viewing, leg: NodeLeg, end: TryEnd) -> None:
        """Handles a setup try that has produced a session on its node."""
        now, pb = self.clock.now(), v.pb
        assert end.upstream is not None
        alive = leg.claims.claim(end.upstream.resource, now)
        self.follow_events(leg, end.upstream.events)
        v.upstream = end.upstream
        if pb.state is not State.SETTING_UP:  # the viewer left during the set-up
            if v.final is None:
                self._abort_unheard(v)
            v.ending = True
            self._say_farewell(v)
            return
        self.upstreams[leg.name, end.upstream.resource] = v
        self.controller.playing(pb, now)
        if end.load.asked is not None:
            self.controller.noted(pb, Note.LINK_ASKED, end.load.asked, now)
            self.heard_load(leg.name, end.load.asked, 0)
        if end.load.uplink is not None:
            self.controller.noted(pb, Note.UPLINK_ASKED, end.load.uplink, now)
        if v.beside is None:
            v.resource = Resource(end.upstream.tag, v.ufrag)
            self.sessions[v.id] = v
            self._settle(v, Final.PLAYS, None)
        elif (move := self.moves.of(v)) is not None:
            self.moves.happens(move, Happening.PLACED)
        else:
            self.end(v)
        if not alive:
            self.over(v, Outcome.RESET)

    def _abort_unheard(self, v: Viewing) -> None:
        """Answers a set-up that may have run, or has, and whose viewer did not wait for its answer."""
        v.settle(Final.ABORTED, answers.aborted(v.plan.plan.effect))
        self.repeats.settled(v.key, Final.ABORTED, v, self.clock.now())
        if self.memory is not None:
            self.memory.answered(v, Final.ABORTED)

    def follow_events(self, leg: NodeLeg, events: str) -> None:
        """Keeps the event stream of a node open from now on; `events` is the path of the stream."""
        self.hearing.follow(leg, events)

    def part(self, v: Viewing) -> Viewing:
        """Moves a session's playback to a separate session, with which the rest of a move goes on."""
        rest = Viewing(secrets.token_urlsafe(15), v.path, v.plan, v.publishes, v.key, "", "", v.due, v.pb)
        rest.final, rest.upstream, rest.beside = v.final, v.upstream, v
        self.rebind(rest)
        return rest

    def over(self, v: Viewing, how: Outcome, presumed: bool = False) -> None:
        """Handles the end of a playback that played, or whose viewer left while it was set up.

        With `is_presumed` the node is silent and the playback may go on: it is ended on its node first.
        """
        if v.pb not in self.viewings or self.controller.over(v.pb):
            return
        if presumed:  # it may play on: the policy keeps its seat until the node has confirmed the end
            self.end(v)
            return
        self.controller.tried(v.pb, how, True, None, None, None, self.clock.now())
        if self.moves.of(v) is not None:
            rest = self.part(v)
            if self.moves.over(v, how is Outcome.RESET):
                self._forget(rest)
                return
            v = rest if v.beside is not None else v
        self.repeats.ended(v.key, v, self.clock.now())
        self.hide(v, how)
        self._forget(v)

    def hide(self, v: Viewing, how: Outcome = Outcome.RESET) -> None:
        """Closes a session towards its viewer, whatever the node still holds."""
        if self.memory is not None:
            self.memory.over(v)
        self.publish(v, "inactive", {"why": how.value})
        if v.resource is not None:
            v.resource.ended()
        self.sessions.pop(v.id, None)
        for reader in v.readers:
            reader.send.close()
        v.readers.clear()

    def unsent(self, v: Viewing) -> None:
        """Handles an answer that could not be written because the viewer's connection broke.

        Nobody then knows the session's name. A viewer that chose its idempotency key may ask again and gets
        the same answer; it has `UNDELIVERED_ANSWER_SECONDS` for that, since a paid playback would not be set
        up a second time. The cost: the playback of a viewer that does not come back holds its place for that
        long.
        """
        if not v.keyed:
            self.insist(partial(self.end, v))
        elif not v.unheard:
            v.unheard = True
            self.nursery.start_soon(self._unheard, v)

    async def _unheard(self, v: Viewing) -> None:
        """Ends a session whose undelivered answer was not asked for again in time."""
        await trio.sleep(UNHEARD)
        if v.unheard:
            await self.tell(partial(self.end, v))

    # Answers, event readers and removal.

    def _settle(self, v: Viewing, final: Final, reply: answers.Reply | None) -> None:
        """Gives a request its final answer, or passes the result to the move that the session is part of."""
        if v.beside is not None:
            if (move := self.moves.of(v)) is not None:
                self.moves.happens(move, Happening.NO_PLACE)
            return
        if final is Final.PLAYS and self.memory is not None and self.memory.waits(v):
            self.nursery.start_soon(self._settle_on_record, v)
            return
        self._give(v, final, reply)

    async def _settle_on_record(self, v: Viewing) -> None:
        """Answers that a session plays, once that is stored or could not be stored in time."""
        assert self.memory is not None
        if not await self.memory.record(v):
            self.log_.warning("answer not on record", playback=v.id, plan=v.plan.name)
        await self.tell(partial(self._recorded, v))

    def _recorded(self, v: Viewing) -> None:
        """Gives the answer of a session whose promise has been stored, if it still plays."""
        if v.pb.state is State.PLAYING and not v.ending:
            self._give(v, Final.PLAYS, None)
        elif v.final is None:  # it was lost, or its viewer left, while it was being stored
            self._abort_unheard(v)

    def _give(self, v: Viewing, final: Final, reply: answers.Reply | None) -> None:
        """Gives a request its final answer, unless it has one."""
        if not v.settle(final, reply):
            return
        self.finals[final] += 1
        if final is Final.PLAYS:
            self.playing += 1
        if self.memory is not None:
            self.memory.answered(v, final)
        self.repeats.settled(v.key, final, v, self.clock.now())
        if self.told_answer is not None:
            self.told_answer(final is Final.REJECTED, v.plan, self.clock.now() - v.due.written)
        took = (self.clock.now() - v.due.written) // 1_000_000
        node = v.upstream.node if v.upstream else None
        self.log_.info("answer", playback=v.id, plan=v.plan.name, final=final.value, ms=took, tries=len(v.pb.tries),
                       node=node, rung=v.pb.rung)  # fmt: skip

    def publish(self, v: Viewing, kind: str, data: dict[str, str]) -> None:
        """Sends an event to the readers of a session that take events of its kind."""
        for reader in list(v.readers):
            if kind not in reader.kinds:
                continue
            try:
                reader.send.send_nowait((kind, data))
            except trio.WouldBlock:
                # The reader is too slow: its stream ends, and a new one begins with the present state.
                v.readers.remove(reader)
                reader.send.close()

    def _free(self, v: Viewing) -> None:
        """Releases what a session holds of the request limits."""
        if v.ticket is not None:
            self.ledger.back(v.ticket)

    def _forget(self, v: Viewing) -> None:
        """Forgets a session once the policy expects nothing more for its playback."""
        if not self.controller.over(v.pb):
            return
        if self.viewings.pop(v.pb, None) is None:
            return
        self._free(v)
        if v.final is Final.PLAYS and v.beside is None:
            self.playing -= 1
            self.bell.ring()
        if v.upstream is not None:
            self.upstreams.pop((v.upstream.node, v.upstream.resource), None)


def stated(site: Site) -> dict[str, tuple[int, int]]:
    """First cell and number of copies of each title whose placement is configured."""
    return {name: (h.home, h.copies) for name, h in site.titles.items()}
