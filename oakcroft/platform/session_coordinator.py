"""The one task that owns all session state: passes events to the decision module and carries out its
decisions.

All other tasks submit their events through one bounded inbox, in order of arrival. Events that end something
skip the queue: list changes, releases and closed connections are handled at once. What the decision module
asks for while it is called is queued and carried out after the call has returned, so the module is never
called from within one of its own calls.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from functools import partial

import structlog
import trio

from oakcroft import terms
from oakcroft.choice import Controller
from oakcroft.decisions.admission.deadlines import BEAT, Stillness, due, margin
from oakcroft.decisions.routing.title_cache import Shelf
from oakcroft.interface import MS, SECOND, Effect, ListKind, Node, Note, Outcome, Playback
from oakcroft.interface import State
from oakcroft.platform.timers import Alarms
from oakcroft.platform.node_pools import MAX_CONNECTIONS_PER_NODE, NodePools
from oakcroft.platform.node_pool import GIVEN_UP, NodeLink, Pool
from oakcroft.platform.releases import Releases
from oakcroft.platform.playback_session import Asked, Ticket, ViewerEnd
from oakcroft.platform.viewers import FAILED, OVER, REFUSED, ViewerLink, release
from oakcroft.platformwire import command_channel, framing, json_lines
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.number_parsing import finite
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event, handle_all

MOST_EVENTS = 2_048
MOST_TITLES = 1_024
MOST_OPEN = 1_024
MOST_PLAYING = 8_192
MOST_EARLY = 4_096  # sessions for which nodes send messages before viewers hand them over
HELD_PART = 8  # an eighth of the memory limit is for descriptions of set-ups that wait for an answer
WAY_BACK = 15 * MS  # part of a viewer's wait that is reserved for the answer's way back
HANDED_OVER = 15 * SECOND  # after the platform's first test; viewers hand over older playbacks by then
MOST_SPENT = 4_096
NEVER = 1 << 62
# Leaves time for the connects that show a node to be gone: the ends of its sessions are due within 8 s.
UNTOLD_SILENCE = 4 * SECOND
CUT_WITHIN = 2 * SECOND  # for a node to confirm the end of a playback that its viewer ended


class Owner:
    """Owns the state of all sessions; the decision module's host on the platform."""

    def __init__(
        self, told: Configuration, clock: Clock, nursery: trio.Nursery, log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        """Creates the coordinator and its decision module; `run` starts handling events."""
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
        self.early: dict[str, deque[Event]] = {}  # by session id, for sessions that are not handed over yet
        self.setting_up = 0
        self.held = 0  # characters in the descriptions of open and queued set-ups
        self.most_held = told.memory // HELD_PART
        self.counts: dict[str, int] = {}
        # Nodes report the link load of each playback at a fixed interval, so one that is silent for longer may be
        # gone. Where nodes do not report unasked, silence says little, and an occasional connect checks the node.
        every = told.terms.reports_every
        self.silent = 3 * every // 2 + told.terms.seen_after + SECOND // 4 if every else UNTOLD_SILENCE
        self.began = 0
        self.work: deque[Event] = deque()
        self.coming: dict[str, Asked] = {}  # set-up requests that wait in the inbox
        self.spent = OrderedDict[str, None]()  # ids whose set-up was sent and must not be repeated
        self.closes_at = self.ends_at = NEVER  # set when the front end is told to stop
        self.controller = Controller(told.terms, told.seed, self, clock.now())

    @property
    def unsaid(self) -> int:
        """Number of nodes with messages that wait for a connection or for the node to read."""
        return self.node_pools.unsaid

    @property
    def pools(self) -> dict[str, Pool]:
        """The connection pool of each listed node, by the node's name."""
        return self.node_pools.by_name

    def _make_pool(self, node: Node, address: tuple[str, int]) -> Pool:
        """Creates the connection pool of a node at an address."""
        return Pool(
            node, address, MAX_CONNECTIONS_PER_NODE, self.told.streams, self.told.idle, self.told.connect_within,
            self.silent, self.clock, self.nursery, self.tell, self,
        )  # fmt: skip

    @property
    def playing(self) -> int:
        """Number of sessions that play."""
        return len(self.tickets) - self.setting_up

    async def run(self) -> None:
        """Handles events until it is cancelled."""
        self._carry_out()
        await handle_all(self.inbox, self._handle)

    def _handle(self, event: Event) -> None:
        """Handles one event and carries out the decisions that follow from it."""
        try:
            event()
        except Exception as fault:  # no single event may stop the front end and with it all sessions
            self.logger.error("event failed", error=repr(fault), exc_info=fault)
        self._carry_out()

    def _carry_out(self) -> None:
        """Carries out queued decisions, including those that are queued meanwhile."""
        while self.work:
            work = self.work.popleft()
            try:
                work()
            except Exception as fault:
                self.logger.error("decision not carried out", error=repr(fault), exc_info=fault)

    async def tell(self, event: Event) -> None:
        """Submits an event; waits while the inbox is full."""
        await self.events.send(event)

    async def beat(self) -> None:
        """Measures how late this process runs its tasks, and detects pauses of the whole process."""
        while True:
            before = self.clock.now()
            await trio.sleep(BEAT / SECOND)
            now = self.clock.now()
            late = max(0, now - before - BEAT)
            self.lag = max(late, self.lag * 7 // 8)
            if stood := self.stillness.beat(now):
                self.logger.warning("stood still", ms=stood // MS, open=self.setting_up)

    async def look_after(self) -> None:
        """Maintains connections and releases at a fixed interval, and logs the counters now and then."""
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
        """Resends releases, drops early messages once the handover window is over, and maintains the pools."""
        now = self.clock.now()
        self.releases.look()
        if self.early and self._handed_over_all(now):
            self.early.clear()
        self.node_pools.look(now)

    def count(self, what: str, why: str = "") -> None:
        """Counts an event of a category by its detail, under at most 64 different names."""
        name = f"{what}: {why}".replace(" ", "_")[:60]
        if name in self.counts or len(self.counts) < 64:
            self.counts[name] = self.counts.get(name, 0) + 1

    def listed_at_once(self, complete: bool, members: list[command_channel.Member]) -> None:
        """Applies list changes at once, before the events in the inbox. Never called from within an event.

        If list changes waited in the inbox, a front end that was late or had been paused would send set-ups
        to draining nodes for as long as it was behind. The drawback: if a playback's end was received before
        its node was removed and is still queued, the playback counts as cut off.
        """
        self._handle(partial(self.listed, complete, members))

    def listed(self, complete: bool, members: list[command_channel.Member]) -> None:
        """Applies a list or its changes to the pools and the decision module."""
        entries = self.node_pools.entries(members)
        kind = ListKind.WHOLE if complete else ListKind.CHANGES
        self.controller.listed(kind, entries, self.clock.now())
        self.node_pools.listed()
        told = ", ".join(f"{e.node.name} {e.listing.value}" for e in entries[:6])
        self.logger.info("list", whole=complete, changed=len(entries), nodes=len(self.pools), changes=told)

    def restarted(self, pool: Pool, started_at: int) -> None:
        """Another process has the node's name: ends the sessions that played in the previous one."""
        for t in [t for t in pool.standing if t.began_at < started_at]:
            self._over(t, Outcome.RESET, FAILED, None)

    def lost(self, pool: Pool, why: str) -> None:
        """A node's process is gone: ends all sessions that played there."""
        if pool.standing:
            self.logger.warning("node lost", node=pool.node.name, why=why, playing=len(pool.standing))
        for t in list(pool.standing):
            pool.say("close", t.id, {}, GIVEN_UP)
            self._over(t, Outcome.RESET, FAILED, None)

    def may_open(self, pool: Pool, spare: int) -> bool:
        """Whether a descriptor is free for one more connection to a node; see `NodePools`."""
        return self.node_pools.may_open(pool, spare)

    def unreadable(self, pool: Pool, why: str) -> None:
        """Counts a node that sent unreadable data, or that cannot be reached for lack of local resources."""
        self.count("node", why)

    def opened(self, link: ViewerLink) -> None:
        """A viewer's connection opened: sends the releases that wait for one."""
        self.viewers[link] = None
        self.releases.opened(link)

    def asked(self, a: Asked) -> None:
        """Queues a set-up request in the inbox, or rejects it at once if the inbox is full.

        It never waits, so that the connection is read on and what arrives on it next, such as a release, is
        known.
        """
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
        """Rejects a request because a limit is reached."""
        self.count("turned away", "no place")
        a.link.write(release(a.session, FAILED if a.at else REFUSED, self.told.terms.stay_away_most))

    def _taken(self, a: Asked) -> None:
        """Processes a request that has reached the head of the inbox."""
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
        if a.session in self.spent:  # its set-up has been sent once and must not be repeated
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
        """Rejects a request whose id is already in use, without affecting the first request."""
        self.count("id used twice")
        if first is a.link:
            a.link.shut()  # a release here would be taken for the answer to the first request
        else:
            a.link.write(release(a.session, FAILED))

    def _handed_over(self, t: Ticket, link: ViewerEnd, at: str, now: int) -> None:
        """Takes over a playback that plays already; no answer is due. If it cannot be taken, its viewer gets
        a release.
        """
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
        """Whether the time is over in which viewers hand over playbacks from before the start."""
        return bool(self.began) and now - self.began > HANDED_OVER

    def released(self, link: ViewerEnd, session: str) -> None:
        """A viewer cancels a set-up or ends a playback. Takes effect at once; never called from within an
        event.
        """
        self._handle(partial(self._released, link, session))

    def _released(self, link: ViewerEnd, session: str) -> None:
        """Ends the playback, or cancels the set-up or the queued request. Only the connection of a set-up may
        cancel it.
        """
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
        """A viewer's side confirms that it has received a release."""
        self.releases.confirmed(session)

    def _cut(self, t: Ticket) -> None:
        """Ends a playback that its viewer has ended if the node has not confirmed the end in time."""
        if t.pb.state is State.CLOSED:
            self._over(t, Outcome.WITHDRAWN, 0, None)

    def _given_up(self, t: Ticket) -> None:
        """Cancels an open set-up whose viewer has left; no answer is due."""
        now = self.clock.now()
        if t.viewer is not None:
            t.viewer.open_here.pop(t.id, None)
        self.controller.left(t.pb, now)
        if t.pool is not None and t.pb.state is State.CLOSED:
            t.pool.give_up(t)
            self.controller.tried(t.pb, Outcome.WITHDRAWN, True, None, None, None, now)
        self._forget(t)

    def gone(self, t: Ticket) -> bool:
        """Cancels a set-up if its viewer has left; returns whether it did.

        Called immediately before a set-up is sent and when a node answers it. This prevents set-ups and
        playbacks for nobody, above all paid ones, even if the viewer's leaving waits behind other work in
        this process or in the viewer's socket. The cost is a look at the viewer's socket for each try.
        """
        if t.viewer is None or not t.viewer.gone(t.id):
            return False
        self.count("try", "viewer gone")
        self._given_up(t)
        return True

    def viewer_gone(self, link: ViewerLink) -> None:
        """A viewer's connection closed: its open set-ups are cancelled, its playbacks play on.

        Takes effect at once; never called from within an event.
        """
        self._handle(partial(self._viewer_gone, link))

    def _viewer_gone(self, link: ViewerLink) -> None:
        """Cancels the set-ups of a closed connection. A half-closed peer may still read, so it is told at
        once.
        """
        self.viewers.pop(link, None)
        for a in link.asked.values():
            if not a.at:  # a playback that plays already is not tied to a connection
                a.withdrawn = True
                link.write(release(a.session, REFUSED, self.told.terms.stay_away_most))
        for t in list(link.open_here.values()):
            harmless = not t.pb.tries
            away = self.told.terms.stay_away_most if harmless else 0
            link.write(release(t.id, REFUSED if harmless else FAILED, away))
            self._given_up(t)

    def _forget(self, t: Ticket) -> None:
        """Drops a session once the decision module expects nothing more for it."""
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
        """An open set-up became a playback or ended: releases its description and its timer."""
        self.setting_up -= 1
        self.held -= len(t.description)
        t.description = ""
        self.alarms.drop(t.timer)

    def said(
        self, pool: Pool, link: NodeLink, kind: str, session: str, attrs: json_lines.Attributes, code: int | None,
        text: str | None,
    ) -> None:  # fmt: skip
        """Handles a message of a node. Drops it if it is for no session there, repeated, or too late."""
        pool.heard_at = now = self.clock.now()
        t = self.tickets.get(session)
        if (
            t is None
            and kind in ("event", "close")
            and not self._handed_over_all(now)
            and len(self.early) < MOST_EARLY
        ):
            # The node reports on its playbacks as soon as it is connected, possibly before the viewer hands them over.
            # Without these messages the rung would be taken for the lowest and the node for nearly empty.
            again = partial(self.said, pool, link, kind, session, json_lines.bounded(attrs), code, None)
            self.early.setdefault(session, deque(maxlen=4)).append(again)
        if t is None or t.pool is not pool:
            return
        if t.link is link and t.pb.state is State.SETTING_UP:
            if kind == "ready" or (kind == "close" and text and terms.ENDS.get(code or -1) is Outcome.DONE):
                # A close that carries a description is an answer as well: the playback was set up and is already over.
                self._answered(t, text, now)
                if kind == "close" and t.began_at:
                    self._over(t, Outcome.DONE, OVER, json_lines.report(attrs))
            elif kind == "close":
                pool.settled(t)
                self.tried(
                    t,
                    terms.CAUSES.get(code if code is not None else -1, Outcome.RESET),
                    json_lines.report(attrs),
                )
        elif t.began_at and kind == "close":
            outcome = terms.ENDS.get(code if code is not None else -1, Outcome.RESET)
            cause = {Outcome.DONE: OVER, Outcome.WITHDRAWN: 0}.get(outcome, FAILED)
            self._over(t, outcome, cause, json_lines.report(attrs))
        elif t.began_at and kind == "event":
            self._noted(t, attrs, now)

    def _answered(self, t: Ticket, text: str | None, now: int) -> None:
        """A node answered a set-up: passes the answer to the viewer and starts the playback."""
        pool = t.pool
        assert pool is not None
        if self.gone(t):  # otherwise it would play for nobody
            return
        try:
            answer = framing.encode(framing.ANSWER, t.id, (framing.TEXT, (text or "").encode()))
        except ValueError:
            text = None
        if not text:  # unusable for the viewer; the node is told, and the try counts as one that ran
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

    def _noted(self, t: Ticket, attrs: json_lines.Attributes, now: int) -> None:
        """Applies a metric that a node reports for a playback; ignores unknown metrics and invalid values."""
        note, value = terms.NOTE_NAMES.get(str(attrs.get("note"))), finite(attrs.get("value"))
        if note is None or value is None or value < 0:
            return
        if note is Note.RUNG and not (value == math.floor(value) and value < len(self.told.terms.rates)):
            return
        self.controller.noted(t.pb, note, value, now)

    def tried(self, t: Ticket, outcome: Outcome, load: dict[str, float] | None) -> None:
        """A setup try ended without an answer."""
        if t.pb.state is not State.SETTING_UP:
            return
        self.count("try", outcome.value)
        t.link = None
        self.controller.tried(t.pb, outcome, False, *terms.report_values(load), self.clock.now())

    def _late(self, t: Ticket, tries: int) -> None:
        """Ends a try that has run out of time, unless it has ended already."""
        if t.pb.state is not State.SETTING_UP or len(t.pb.tries) != tries or t.pool is None:
            return
        self.tried(t, Outcome.NO_CONNECTION if t.pool.give_up(t) else Outcome.LATE, None)

    def _over(self, t: Ticket, outcome: Outcome, cause: int, load: dict[str, float] | None) -> None:
        """A playback ended; its viewer gets a release unless the viewer ended it."""
        self.count("end", outcome.value)
        if t.pb.state is State.PLAYING and cause:
            self._release(t, cause)
        self.controller.tried(t.pb, outcome, True, *terms.report_values(load), self.clock.now())
        self._forget(t)

    def _release(self, t: Ticket, cause: int) -> None:
        """Sends a release for an ended playback, on the connection of its set-up if possible."""
        self.releases.send(t.id, release(t.id, cause), t.viewer)

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try to a node."""
        self.work.append(partial(self._send, self.of[pb], node, abandon_at))

    def _send(self, t: Ticket, node: Node, abandon_at: int) -> None:
        """Starts the try's timer and passes the set-up to the node's pool."""
        t.pool, t.until = self.pools[node.name], abandon_at
        self.alarms.drop(t.timer)
        t.timer = self.alarms.at(abandon_at, partial(self._late, t, len(t.pb.tries)))
        t.pool.set_up(t)

    def reject(self, pb: Playback, stay_away: int) -> None:
        """Answers that the playback is rejected; the viewer is not to ask again for that long."""
        self.work.append(partial(self._final, self.of[pb], REFUSED, stay_away))

    def abort(self, pb: Playback) -> None:
        """Answers that the playback is aborted."""
        self.work.append(partial(self._final, self.of[pb], FAILED, 0))

    def _final(self, t: Ticket, cause: int, stay_away: int) -> None:
        """Sends the final answer to a set-up that does not become a playback."""
        if t.viewer is not None:
            t.viewer.write(release(t.id, cause, stay_away))
        self._forget(t)

    def set_rung(self, pb: Playback, rung: int) -> None:
        """Changes the rung of a playback."""
        if pb.state is State.PLAYING:  # before that, the set-up itself carries the rung
            self.work.append(partial(self._set_rung, self.of[pb], rung))

    def _set_rung(self, t: Ticket, rung: int) -> None:
        """Tells the node the new rung, if the playback still plays."""
        if t.pool is not None and t.pb.state is State.PLAYING:
            t.pool.say("level", t.id, {"rung": str(rung)})

    def alarm(self, at: int) -> None:
        """Calls the decision module's timer at a time."""
        self.alarms.at(at, lambda: self.controller.alarm(self.clock.now()))

    def follow(self) -> None:
        """Does nothing: the command channel is always followed."""

    def log(self, line: str) -> None:
        """Logs a change of the decision module's mode."""
        self.logger.info("mode", change=line, open=self.setting_up, playing=self.playing)
