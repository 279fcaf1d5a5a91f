"""Takes over the sessions of failed front ends.

The decisions are in decisions/fleet/session_takeover.py and, for the node, session_ownership.py; docs/adopting.md has
the design. One request to a node: opens its event stream; lists its sessions of failed front ends; restores those that
can be served here, so that seats and loads are counted before the front end is responsible for them; takes them over at
the node; drops those that the node gave to another front end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

import structlog
import trio

from oakcroft.decisions.fleet.session_takeover import Adopting as Course, Bounds, Errand, Why
from oakcroft.decisions.fleet.session_ownership import Word
from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.state.promise import Mark, Promise
from oakcroft.front.session_service import MOST_TITLE
from oakcroft.front.session_coordinator import Helm
from oakcroft.front.node_client import NodeLeg
from oakcroft.front.recovered_session import plays_on, resume, viewing
from oakcroft.front.playback_session import Upstream, Viewing
from oakcroft.interface import MS, SECOND, Effect, Outcome, State
from oakcroft.signalling import handing, words

LOOK = 50 * MS
WORDS = {w.value: w for w in Word}
MOST_PAGES = 64  # of one node's list in one request; the second round asks for the rest


class Adopting:
    """Runs session takeover on one front end."""

    def __init__(
        self, helm: Helm, view: Membership, bounds: Bounds, published: Callable[[Viewing], None],
        takes_new: Callable[[], bool], log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        """`on_published` is called with each adopted session that publishes."""
        self.helm, self.view, self.bounds, self.published, self.log = helm, view, bounds, published, log
        self.takes_new = takes_new  # a front end that is leaving would at once end what it took over
        self.course = Course(view.me.name, bounds)
        self.held: dict[str, Viewing] = {}  # adopted sessions by id
        self.adopted, self.passed = Counter[str](), 0
        self.left = Counter[str]()
        helm.told_passed = self.gave

    def gave(self, playbacks: int) -> None:
        """Counts sessions of this front end that nodes report as taken over by others."""
        self.passed += playbacks

    def sees(self) -> None:
        """Applies a change of the fleet's membership."""
        gone = [n for n, m in self.view.members.items() if m.latest.state is MemberState.FAILED]
        present = [self.view.me.name] if self.view.displaced else self.view.present()
        for dead in self.course.sees(() if self.view.displaced else gone, present, self.helm.clock.now()):
            self.log.info("adoption over", of=dead.name, why="it is back, or forgotten", taken=dead.taken)

    async def run(self) -> None:
        """Sends due takeover requests until cancelled."""
        if self.helm.memory is None:  # a front end with a state file restores its own sessions from that
            self.course.earlier_life(self.helm.clock.now())
        while True:
            now = self.helm.clock.now()
            self.course.listed(self.helm.roster.lines, now)
            for errand in self.course.due(now) if self.takes_new() else ():
                self.helm.nursery.start_soon(self._errand, errand)
            for dead in self.course.finished(now):
                if dead.taken or dead.left or dead.name != self.view.me.name:
                    self.log.info("adoption done", of=dead.name, taken=dead.taken, left=dict(dead.left),
                                  ms=(now - dead.since) // MS)  # fmt: skip
            await trio.sleep(LOOK / SECOND)

    async def _errand(self, errand: Errand) -> None:
        told: dict[str, Word] | None = None
        after = ""
        try:
            leg = self.helm.legs.get(errand.node)
            if leg is not None:
                await self.helm.tell(partial(self.helm.follow_events, leg, f"/events/{self.helm.me}"))
                for _ in range(MOST_PAGES):
                    listing = await leg.offered(errand.names, after)
                    if listing is None:
                        told = None  # the list is incomplete: the node is asked again
                        break
                    told = {n: WORDS.get(w, Word.SOON) for n, w in listing.fronts.items()}
                    mine = [s for s in listing.sessions if errand.shares(s.front, s.session)]
                    if mine:
                        await self._take(leg, mine)
                    after = listing.next
                    if not after:
                        break
        finally:
            self.course.asked(errand, told, self.helm.clock.now())

    async def _take(self, leg: NodeLeg, offered: list[handing.Offered]) -> None:
        """Takes over the offered sessions that can be served here."""
        chosen: dict[str, tuple[handing.Offered, Viewing]] = {}
        done = trio.Event()

        def choose() -> None:
            self._prune()
            for one in offered:
                why, v = self._fits(leg, one)
                if v is not None:
                    chosen[one.session] = one, v
                else:
                    self._leaves(one.front, why)
            done.set()

        await self.helm.tell(choose)
        await done.wait()
        if not chosen:
            return
        given: set[str] | None = None
        try:
            given = await leg.take(list(chosen))
        finally:
            with trio.CancelScope(shield=True):
                await self.helm.tell(partial(self._given, leg, chosen, given))

    def _prune(self) -> None:
        """Drops adopted sessions that have ended."""
        self.held = {id_: v for id_, v in self.held.items() if v.pb in self.helm.viewings}

    def _leaves(self, of: str, why: Why) -> None:
        self.left[why.value] += 1
        if (dead := self.course.dead.get(of)) is not None:
            dead.left[why.value] += 1

    def _fits(self, leg: NodeLeg, one: handing.Offered) -> tuple[Why, Viewing | None]:
        """Restores an offered session as a playback of the decision module, if it can be served here.

        Returns why it is declined otherwise. Its seat is checked before the playback is counted (rule 5).
        """
        helm, memo = self.helm, handing.read_memo(one.memo)
        if memo is None or not words.is_path(memo.path) or not words.is_path(one.session):
            return Why.UNREADABLE, None
        plan = helm.site.plans.get(memo.plan)
        if plan is None:
            return Why.UNKNOWN_PLAN, None
        if memo.id in helm.sessions or (leg.name, one.session) in helm.upstreams:
            return Why.HELD, None
        if len(self.held) >= self.bounds.most:
            return Why.FULL, None
        node = helm.roster.nodes.get(leg.name)
        top = helm.title_top(memo.title, max(memo.top, plan.plan.floor), plan.plan.floor)
        if node is None or top is None or one.rung < plan.plan.floor or len(memo.title) > MOST_TITLE:
            return Why.NO_TITLE, None
        now = helm.clock.now()
        promise = Promise(
            memo.id, one.key, memo.about, memo.path, memo.title, memo.plan, plan.plan.effect.value, plan.plan.seats > 0,
            memo.publishes, memo.ufrag, top, memo.token, memo.written, memo.abandon, Mark.PLAYS, leg.name,
            leg.lifeline.process, now, rung=one.rung, changed=now,
        )  # fmt: skip
        v = viewing(helm, promise)
        if v is None:
            return Why.NO_TITLE, None
        if plan.plan.seats and v.pb.title.seats.get(plan.plan, 0) >= plan.plan.seats:
            return Why.NO_SEAT, None
        resume(helm, v, node)
        self.held[v.id] = v
        return Why.TAKES, v

    def _given(
        self, leg: NodeLeg, chosen: dict[str, tuple[handing.Offered, Viewing]], given: set[str] | None
    ) -> None:
        """Keeps the sessions that the node has given and ends the others.

        `given` is None if the node's answer was lost; its event stream is then reopened, whose start lists the sessions.
        """
        helm = self.helm
        for session, (one, v) in chosen.items():
            if v.pb not in helm.viewings or v.pb.state is not State.PLAYING:
                continue
            if given is not None and session not in given:
                self.held.pop(v.id, None)
                helm.over(v, Outcome.WITHDRAWN)
                continue
            layer = f"{one.session}/layer"
            plays_on(
                helm, v, leg,
                Upstream(leg.name, one.session, f"/events/{helm.me}", layer, one.tag, one.answer),
            )  # fmt: skip
            # A key that was aborted because nodes told of it while the state file was lost stays aborted.
            if helm.memory is None or not helm.memory.learnt(v.key):
                paid = v.plan.plan.effect is not Effect.FREE
                helm.repeats.recall(v.key, v.about, paid, Final.PLAYS, v, helm.clock.now())
            if helm.memory is not None:
                helm.memory.answered(v, Final.PLAYS)
            if v.publishes:
                self.published(v)
            if v.pb.rung > v.pb.top:
                helm.bounded(v, v.pb.top)
            self.adopted[one.front] += 1
            if (dead := self.course.dead.get(one.front)) is not None:
                dead.taken += 1
        if given is None:
            leg.renew()
        else:
            self.log.info("adopted", node=leg.name, taken=len(given), asked=len(chosen), held=len(self.held))

    def status(self) -> dict[str, object]:
        """Counts and failed front ends, for operators."""
        course = self.course
        self._prune()
        return {
            "held": len(self.held), "adopted": sum(self.adopted.values()), "passed_on": self.passed,
            "left": dict(self.left), "asking": sorted(d.name for d in course.dead.values() if d.until and d.asking),
            "errands": len(course.busy), "passed_over": course.passed_over,
        }  # fmt: skip
