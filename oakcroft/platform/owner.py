"""The one task that owns the module: it tells it what happens and carries out what it decides.

All else hands its events in through one bounded channel, in order of arrival, but for what ends things: the list's news,
releases and connections that are over go before all that waits. What the module asks for while it is
called is queued, and carried out when the call has returned, so that the module is never called from within itself.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from functools import partial

import structlog
import trio

from oakcroft import terms
from oakcroft.choice import Controller
from oakcroft.decisions.admission.patience import BEAT, Stillness, due, margin
from oakcroft.decisions.routing.titles import Shelf
from oakcroft.interface import MS, SECOND, Effect, ListKind, Node, Note, Outcome, Playback
from oakcroft.interface import State
from oakcroft.platform.alarms import Alarms
from oakcroft.platform.node_pools import MAX_CONNECTIONS_PER_NODE, NodePools
from oakcroft.platform.pool import GIVEN_UP, NodeLink, Pool
from oakcroft.platform.releases import Releases
from oakcroft.platform.ticket import Asked, Ticket, ViewerEnd
from oakcroft.platform.viewers import FAILED, OVER, REFUSED, ViewerLink, release
from oakcroft.platformwire import channel, framing, lines
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.numbers import finite
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event, handle_all

MOST_EVENTS = 2_048
MOST_TITLES = 1_024
MOST_OPEN = 1_024  # set-ups
MOST_PLAYING = 8_192
MOST_EARLY = 4_096  # playbacks of which nodes tell before they are handed over
HELD_PART = 8  # of the memory: for descriptions that wait for an answer
WAY_BACK = 15 * MS  # kept of a viewer's wait for the answer's way
HANDED_OVER = 15 * SECOND  # after the first test: playbacks of before the start are handed over by then
MOST_SPENT = 4_096  # ids
NEVER = 1 << 62
UNTOLD_SILENCE = (
    4 * SECOND
)  # with the attempts that show a node to be gone, inside the 8 s in which an end is owed
CUT_WITHIN = 2 * SECOND  # a node says by then that a playback which its viewer ended is over


class Owner:
    """The module's host on the platform."""

    def __init__(
        self, told: Configuration, clock: Clock, nursery: trio.Nursery, log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        self.told, self.clock, self.nursery, self.logger = told, clock, nursery, log
        self.events, self.inbox = trio.open_memory_channel[Event](MOST_EVENTS)
        self.alarms = Alarms(clock, self.tell)
        self.stillness = Stillness(clock.now())
        self.lag = 0
        self.titles = Shelf(MOST_TITLES, told.terms.cells, 0, {})
        self.tickets: dict[str, Ticket] = {}
        self.of: dict[Playback, Ticket] = {}
        self.node_pools = NodePools(told, clock, self, self._make_pool)
        self.viewers: dict[ViewerLink, None] = {}
        self.releases = Releases(clock, self.viewers)
        self.early: dict[str, deque[Event]] = {}  # what nodes told of playbacks that are not handed over yet
        self.setting_up = 0
        self.held = 0  # characters of the descriptions of set-ups that are open, or come to be
        self.most_held = told.memory // HELD_PART
        self.counts: dict[str, int] = {}
        # A node tells of each playback's link so often: one that is silent for longer may be gone. Where nodes tell
        # nothing unasked, silence says little, and a node is shown to be there by a connection now and then.
        every = told.terms.reports_every
        self.silent = 3 * every // 2 + told.terms.seen_after + SECOND // 4 if every else UNTOLD_SILENCE
        self.began = 0
        self.work: deque[Event] = deque()
        self.coming: dict[str, Asked] = {}  # set-ups that wait for their turn in the inbox
        self.spent = OrderedDict[str, None]()  # ids of set-ups that may not be repeated, and have been out
        self.closes_at = self.ends_at = NEVER  # for set-ups written later; for every answer
        self.controller = Controller(told.terms, told.seed, self, clock.now())

    @property
    def unsaid(self) -> int:
        """Nodes for which releases and other words wait, for a connection or for the node to read."""
        return self.node_pools.unsaid

    @property
    def pools(self) -> dict[str, Pool]:
        """The connections to each node on the list, by its name."""
        return self.node_pools.by_name

    def _make_pool(self, node: Node, address: tuple[str, int]) -> Pool:
        return Pool(
            node, address, MAX_CONNECTIONS_PER_NODE, self.told.streams, self.told.idle, self.told.connect_within,
            self.silent, self.clock, self.nursery, self.tell, self,
        )  # fmt: skip

    @property
    def playing(self) -> int:
        """Playbacks that stand."""
        return len(self.tickets) - self.setting_up

    # Events in.

    async def run(self) -> None:
        """Handles events until it is cancelled."""
        self._carry_out()
        await handle_all(self.inbox, self._handle)

    def _handle(self, event: Event) -> None:
        try:
            event()
        except Exception as fault:  # no single event may end the front with all that it holds
            self.logger.error("event failed", error=repr(fault), exc_info=fault)
        self._carry_out()

    def _carry_out(self) -> None:
        while self.work:
            work = self.work.popleft()
            try:
                work()
            except Exception as fault:
                self.logger.error("decision not carried out", error=repr(fault), exc_info=fault)

    async def tell(self, event: Event) -> None:
        """Hands an event in, waiting for a place."""
        await self.events.send(event)

    async def beat(self) -> None:
        """Knows when the front stood still, and how late its tasks run."""
        while True:
            before = self.clock.now()
            await trio.sleep(BEAT / SECOND)
            now = self.clock.now()
            late = max(0, now - before - BEAT)
            self.lag = max(late, self.lag * 7 // 8)
            if stood := self.stillness.beat(now):
                self.logger.warning("stood still", ms=stood // MS, open=self.setting_up)

    async def look_after(self) -> None:
        """Now and then: connections that are due, nodes that are silent, what is counted."""
        looks = 0
        while True:
            await trio.sleep(0.1)
            await self.tell(self._look)
            looks += 1
            if looks % 50 == 0:
                self.logger.info("figures", open=self.setting_up, playing=self.playing,
                                 viewers=len(self.viewers), node_links=self.node_pools.connections,
                                 titles=len(self.titles.titles), nodes=len(self.pools), x=round(self.controller.x, 3),
                                 lag_ms=self.lag // MS, **self.counts)  # fmt: skip

    def _look(self) -> None:
        now = self.clock.now()
        self.releases.look()
        if self.early and self._handed_over_all(now):
            self.early.clear()
        self.node_pools.look(now)

    def count(self, what: str, why: str = "") -> None:
        """Counts something that clients or nodes did wrong."""
        name = f"{what}: {why}".replace(" ", "_")[:60]
        if name in self.counts or len(self.counts) < 64:
            self.counts[name] = self.counts.get(name, 0) + 1

    # The list.

    def listed_at_once(self, complete: bool, members: list[channel.Member]) -> None:
        """The same as `listed`, before all that waits in the inbox. Never called from within an event.

        Guards against set-ups on a list that is known here to be old: with the list's changes in one row with the rest,
        a front whose loop was late, or that had stood still, sent to nodes that drain as long as it was behind. Harm:
        the end of a playback that was told before its node went, and not taken yet, reads as cut.
        """
        self._handle(partial(self.listed, complete, members))

    def listed(self, complete: bool, members: list[channel.Member]) -> None:
        """A list or its changes have come."""
        entries = self.node_pools.entries(members)
        kind = ListKind.WHOLE if complete else ListKind.CHANGES
        self.controller.listed(kind, entries, self.clock.now())
        self.node_pools.listed()
        told = ", ".join(f"{e.node.name} {e.listing.value}" for e in entries[:6])
        self.logger.info("list", whole=complete, changed=len(entries), nodes=len(self.pools), changes=told)

    def restarted(self, pool: Pool, started_at: int) -> None:
        """Another process has the node's name: what stood in the one before is over."""
        for t in [t for t in pool.standing if t.began_at < started_at]:
            self._over(t, Outcome.RESET, FAILED, None)

    def lost(self, pool: Pool, why: str) -> None:
        """A node's process is gone, and all that stood there."""
        if pool.standing:
            self.logger.warning("node lost", node=pool.node.name, why=why, playing=len(pool.standing))
        for t in list(pool.standing):
            pool.say("close", t.id, {}, GIVEN_UP)
            self._over(t, Outcome.RESET, FAILED, None)

    def may_open(self, pool: Pool, spare: int) -> bool:
        """Whether there is a descriptor for one more connection to a node."""
        return self.node_pools.may_open(pool, spare)

    def unreadable(self, pool: Pool, why: str) -> None:
        """A node has sent what can't be read, or can't be reached for want of means here."""
        self.count("node", why)

    # Viewers.

    def opened(self, link: ViewerLink) -> None:
        """A connection has come: releases that found none open go out on it."""
        self.viewers[link] = None
        self.releases.opened(link)

    def asked(self, a: Asked) -> None:
        """A set-up has come. It waits for its turn, but nobody waits for a place: what finds none is refused at once, so
        that its connection is read on, and what comes there next is known."""
        before = self.coming.get(a.session)
        if before is not None and not before.withdrawn:
            self._twice(a, before.link)
            return
        try:
            self.events.send_nowait(partial(self._taken, a))
        except trio.WouldBlock:
            self._no_place(a)
            return
        self.coming[a.session] = a
        a.link.asked[a.session] = a
        self.held += len(a.description)

    def _no_place(self, a: Asked) -> None:
        self.count("turned away", "no place")
        a.link.write(release(a.session, FAILED if a.at else REFUSED, self.told.terms.stay_away_most))

    def _taken(self, a: Asked) -> None:
        """A set-up has its turn."""
        self.held -= len(a.description)
        if self.coming.get(a.session) is a:
            del self.coming[a.session]
        if a.link.asked.get(a.session) is a:
            del a.link.asked[a.session]
        if a.withdrawn and not a.at:
            return
        now = self.clock.now()
        known = self.tickets.get(a.session)
        if known is not None:
            if not (a.at and known.began_at):
                self._twice(a, known.viewer)
            return
        title = self.titles.get(a.title, a.home, a.copies)
        plan = self.told.plans[a.plan_name]
        if title is None or len(self.tickets) >= min(MOST_PLAYING, self.told.most_open) or (
            not a.at and (self.setting_up >= MOST_OPEN or a.written > self.closes_at)
        ):  # fmt: skip
            self._no_place(a)
            return
        if a.session in self.spent:  # its paid set-up has been out once
            self._twice(a, None)
            return
        abandon = min(due(a.written, a.wait, [], margin(WAY_BACK, self.lag)).abandon, self.ends_at)
        t = Ticket(
            a.session, Playback(title, plan, a.top, abandon, False), a.plan_name, a.description, a.link
        )
        if a.at:
            self._handed_over(t, a.link, a.at, now)
            if a.withdrawn:
                self._released(a.link, a.session)
            return
        self.tickets[a.session] = self.of[t.pb] = t
        a.link.open_here[a.session] = t
        self.setting_up += 1
        self.held += len(a.description)
        self.controller.arrived(t.pb, now)

    def _twice(self, a: Asked, first: ViewerEnd | None) -> None:
        """The id of a playback that is known already: this set-up alone is turned away."""
        self.count("id used twice")
        if first is a.link:
            a.link.shut()  # a release here would read as the answer to the first
        else:
            a.link.write(release(a.session, FAILED))

    def _handed_over(self, t: Ticket, link: ViewerEnd, at: str, now: int) -> None:
        """A playback that plays already. No answer is owed; one that can't be is ended towards its viewer."""
        pool = self.pools.get(at)
        if pool is None or pool.gone or self._handed_over_all(now):
            self.count("handed over in vain")
            link.write(release(t.id, FAILED))
            return
        t.pool, t.began_at = pool, now
        link.sessions += 1
        self.tickets[t.id] = self.of[t.pb] = t
        pool.standing[t] = None
        self.controller.resumed(t.pb, pool.node, now)
        for message in self.early.pop(t.id, ()):
            message()
        pool.look(now)

    def _handed_over_all(self, now: int) -> bool:
        """Whether the time is over in which playbacks of before the start are handed over."""
        return bool(self.began) and now - self.began > HANDED_OVER

    def released(self, link: ViewerEnd, session: str) -> None:
        """A viewer gives a set-up up, or ends a playback: before all that waits. Never called from within an event."""
        self._handle(partial(self._released, link, session))

    def _released(self, link: ViewerEnd, session: str) -> None:
        t = self.tickets.get(session)
        if t is None:
            coming = self.coming.get(session)
            if coming is not None and (coming.link is link or coming.at):
                coming.withdrawn = True
            return
        if t.pb.state is State.PLAYING:
            self.controller.left(t.pb, self.clock.now())
            if t.pool is not None:
                t.pool.say("close", t.id, {}, GIVEN_UP)
            self.alarms.at(self.clock.now() + CUT_WITHIN, partial(self._cut, t))
        elif t.viewer is link:
            self._given_up(t)

    def release_heard(self, session: str) -> None:
        """A viewer's side has heard the end of a session."""
        self.releases.confirmed(session)

    def _cut(self, t: Ticket) -> None:
        """The node has not said that a playback is over which its viewer has ended."""
        if t.pb.state is State.CLOSED:
            self._over(t, Outcome.WITHDRAWN, 0, None)

    def _given_up(self, t: Ticket) -> None:
        """The viewer of an open set-up has gone; no answer is owed."""
        now = self.clock.now()
        if t.viewer is not None:
            t.viewer.open_here.pop(t.id, None)
        self.controller.left(t.pb, now)
        if t.pool is not None and t.pb.state is State.CLOSED:
            t.pool.give_up(t)
            self.controller.tried(t.pb, Outcome.WITHDRAWN, True, None, None, None, now)
        self._forget(t)

    def gone(self, t: Ticket) -> bool:
        """Asked in the moment of sending, and when a node answers: a set-up whose viewer has gone is given up.

        Guards against set-ups and playbacks for nobody, paid ones above all; covers whatever of the viewer's leaving
        waits behind other work, in this program or in its socket. Harm: looks at the viewer's socket for each try.
        """
        if t.viewer is None or not t.viewer.gone(t.id):
            return False
        self.count("try", "viewer gone")
        self._given_up(t)
        return True

    def viewer_gone(self, link: ViewerLink) -> None:
        """A connection is over: its open set-ups are given up, before all that waits, and what stands plays on. Never
        called from within an event."""
        self._handle(partial(self._viewer_gone, link))

    def _viewer_gone(self, link: ViewerLink) -> None:
        """One that has said its end may still read: it hears at once that it waits in vain."""
        self.viewers.pop(link, None)
        for a in link.asked.values():
            if not a.at:  # what plays belongs to no connection
                a.withdrawn = True
                link.write(release(a.session, REFUSED, self.told.terms.stay_away_most))
        for t in list(link.open_here.values()):
            harmless = not t.pb.tries
            away = self.told.terms.stay_away_most if harmless else 0
            link.write(release(t.id, REFUSED if harmless else FAILED, away))
            self._given_up(t)

    def _forget(self, t: Ticket) -> None:
        """Lets go of a playback for which nothing more can come."""
        if self.controller.over(t.pb) and self.of.pop(t.pb, None) is not None:
            del self.tickets[t.id]
            if t.viewer is not None:
                t.viewer.open_here.pop(t.id, None)
            if t.pool is not None:
                t.pool.standing.pop(t, None)
            if t.began_at == 0:
                self._settled(t)
            elif t.viewer is not None:
                t.viewer.sessions -= 1
            if t.pb.tries and t.pb.plan.effect is not Effect.FREE:
                self.spent[t.id] = None
                if len(self.spent) > MOST_SPENT:
                    self.spent.popitem(last=False)

    def _settled(self, t: Ticket) -> None:
        """A set-up is none any more."""
        self.setting_up -= 1
        self.held -= len(t.description)
        t.description = ""
        self.alarms.drop(t.timer)

    # Nodes.

    def said(
        self, pool: Pool, link: NodeLink, kind: str, session: str, attrs: lines.Attributes, code: int | None,
        text: str | None,
    ) -> None:  # fmt: skip
        """A message of a node. What is of no playback there, comes twice or too late is dropped."""
        pool.heard_at = now = self.clock.now()
        t = self.tickets.get(session)
        if (
            t is None
            and kind in ("event", "close")
            and not self._handed_over_all(now)
            and len(self.early) < MOST_EARLY
        ):
            # The node tells of what it plays as soon as it can be reached, which may be before the playback is
            # handed over: unheard, its rung would be taken for the lowest, and its node for nearly empty.
            again = partial(self.said, pool, link, kind, session, lines.bounded(attrs), code, None)
            self.early.setdefault(session, deque(maxlen=4)).append(again)
        if t is None or t.pool is not pool:
            return
        if t.link is link and t.pb.state is State.SETTING_UP:
            if kind == "ready" or (kind == "close" and text and terms.ENDS.get(code or -1) is Outcome.DONE):
                # An end that brings the description is both: the set-up was done, and the playback is over already.
                self._answered(t, text, now)
                if kind == "close" and t.began_at:
                    self._over(t, Outcome.DONE, OVER, lines.report(attrs))
            elif kind == "close":
                pool.settled(t)
                self.tried(
                    t, terms.CAUSES.get(code if code is not None else -1, Outcome.RESET), lines.report(attrs)
                )
        elif t.began_at and kind == "close":
            outcome = terms.ENDS.get(code if code is not None else -1, Outcome.RESET)
            cause = {Outcome.DONE: OVER, Outcome.WITHDRAWN: 0}.get(outcome, FAILED)
            self._over(t, outcome, cause, lines.report(attrs))
        elif t.began_at and kind == "event":
            self._noted(t, attrs, now)

    def _answered(self, t: Ticket, text: str | None, now: int) -> None:
        pool = t.pool
        assert pool is not None
        if self.gone(t):  # else it would play on for nobody
            return
        try:
            answer = framing.encode(framing.ANSWER, t.id, (framing.TEXT, (text or "").encode()))
        except ValueError:
            text = None
        if not text:  # no answer that a viewer could use: the node is told, and it has run
            pool.give_up(t)
            self.tried(t, Outcome.ERROR, None)
            return
        pool.settled(t)
        t.began_at = now
        self._settled(t)
        pool.standing[t] = None
        if t.viewer is not None:
            t.viewer.open_here.pop(t.id, None)
            t.viewer.has_served = True
            t.viewer.sessions += 1
            t.viewer.write(answer)
        self.controller.playing(t.pb, now)

    def _noted(self, t: Ticket, attrs: lines.Attributes, now: int) -> None:
        note, value = terms.NOTE_NAMES.get(str(attrs.get("note"))), finite(attrs.get("value"))
        if note is None or value is None or value < 0:
            return
        if note is Note.RUNG and not (value == math.floor(value) and value < len(self.told.terms.rates)):
            return
        self.controller.noted(t.pb, note, value, now)

    def tried(self, t: Ticket, outcome: Outcome, load: dict[str, float] | None) -> None:
        """A setup try is over without an answer."""
        if t.pb.state is not State.SETTING_UP:
            return
        self.count("try", outcome.value)
        t.link = None
        self.controller.tried(t.pb, outcome, False, *terms.report_values(load), self.clock.now())

    def _late(self, t: Ticket, tries: int) -> None:
        """The time of a try is up."""
        if t.pb.state is not State.SETTING_UP or len(t.pb.tries) != tries or t.pool is None:
            return
        self.tried(t, Outcome.NO_CONNECTION if t.pool.give_up(t) else Outcome.LATE, None)

    def _over(self, t: Ticket, outcome: Outcome, cause: int, load: dict[str, float] | None) -> None:
        """A playback that stood is over; its viewer is told, unless it ended it."""
        self.count("end", outcome.value)
        if t.pb.state is State.PLAYING and cause:
            self._release(t, cause)
        self.controller.tried(t.pb, outcome, True, *terms.report_values(load), self.clock.now())
        self._forget(t)

    def _release(self, t: Ticket, cause: int) -> None:
        """The end of a playback, on its own connection, else on any, else on the next."""
        self.releases.send(t.id, release(t.id, cause), t.viewer)

    # What the module asks for.

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None:
        self.work.append(partial(self._send, self.of[pb], node, abandon_at))

    def _send(self, t: Ticket, node: Node, abandon_at: int) -> None:
        t.pool, t.until = self.pools[node.name], abandon_at
        self.alarms.drop(t.timer)
        t.timer = self.alarms.at(abandon_at, partial(self._late, t, len(t.pb.tries)))
        t.pool.set_up(t)

    def reject(self, pb: Playback, stay_away: int) -> None:
        self.work.append(partial(self._final, self.of[pb], REFUSED, stay_away))

    def abort(self, pb: Playback) -> None:
        self.work.append(partial(self._final, self.of[pb], FAILED, 0))

    def _final(self, t: Ticket, cause: int, stay_away: int) -> None:
        if t.viewer is not None:
            t.viewer.write(release(t.id, cause, stay_away))
        self._forget(t)

    def set_rung(self, pb: Playback, rung: int) -> None:
        if pb.state is State.PLAYING:  # before that the set-up itself carries it
            self.work.append(partial(self._set_rung, self.of[pb], rung))

    def _set_rung(self, t: Ticket, rung: int) -> None:
        if t.pool is not None and t.pb.state is State.PLAYING:
            t.pool.say("level", t.id, {"rung": str(rung)})

    def alarm(self, at: int) -> None:
        self.alarms.at(at, lambda: self.controller.alarm(self.clock.now()))

    def follow(self) -> None:
        """The command channel is followed all the time."""

    def log(self, line: str) -> None:
        self.logger.info("mode", change=line, open=self.setting_up, playing=self.playing)
