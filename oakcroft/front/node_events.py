"""Handles the events of playout nodes: what each means for the sessions there, and the loss of a node."""

from __future__ import annotations

from functools import partial

import structlog

from oakcroft.decisions.sessions.event_stream_health import Loss
from oakcroft.front.node_client import NodeLeg, Told, sound
from oakcroft.front.protocols import Moving, Steering
from oakcroft.interface import Note, Outcome


class Hearing:
    """Handler of the node events of one front end."""

    def __init__(self, helm: Steering, moves: Moving, log: structlog.typing.FilteringBoundLogger) -> None:
        """Creates the handler."""
        self.helm, self.moves, self.log = helm, moves, log

    def follow(self, leg: NodeLeg, events: str) -> None:
        """Keeps the event stream of a node open from now on; an empty `events_path` is ignored."""
        if events and leg.events != events:
            leg.events = events
        if leg.events:
            if not leg.wake.is_set():
                leg.lifeline.wanted(self.helm.clock.now())
            leg.wake.set()
            if not leg.watched:
                leg.watched = True
                self.helm.nursery.start_soon(leg.watch, partial(self._hear, leg), partial(self._lost, leg))

    async def _hear(self, leg: NodeLeg, name: str, told: Told) -> None:
        """Submits a node event, with the time at which its stream was requested."""
        await self.helm.tell(partial(self._heard, leg, name, told, leg.asked_at))

    def _heard(self, leg: NodeLeg, name: str, told: Told, asked_at: int) -> None:
        """Handles a node event in the event task."""
        now = self.helm.clock.now()
        node = self.helm.roster.nodes.get(leg.name)
        if name == "hello":
            if self.helm.memory is not None:
                self.helm.memory.word(leg, told, asked_at)
            missing = leg.claims.told(told.sessions, asked_at, now)
            passed = set(told.passed).intersection(missing)
            if passed:  # nothing is lost, and it does not count against the node
                self.log.warning("passed on", node=leg.name, playbacks=len(passed))
                self.helm.told_passed(len(passed))
            if len(missing) > len(passed):
                self.log.warning(
                    "node lost",
                    node=leg.name,
                    why=told.why or "sessions ended unheard",
                    playbacks=len(missing) - len(passed),
                )
            for session in missing:
                v = self.helm.upstreams.get((leg.name, session))
                away = v is not None and self.helm.memory is not None and self.helm.memory.ended_away(v)
                quiet = away or session in passed
                self._session_over(leg, session, Outcome.DONE if quiet else Outcome.RESET)
            for session, rung in zip(told.sessions, told.rungs, strict=False):
                self._rung_told(leg, session, rung, now)
        elif name == "started":
            leg.claims.started(told.session, now)
        elif name == "ended":
            if leg.claims.ended(told.session):
                self._session_over(leg, told.session, Outcome.DONE)
        elif name == "rung":
            self._rung_told(leg, told.session, told.rung, now)
        elif node is not None and node.playbacks:
            pb = next(iter(node.playbacks))
            if name == "share" and sound(told.share):
                others = [n.short for n in self.helm.roster.nodes.values() if n is not node and n.playbacks]
                usual = sum(others) / len(others) if others else 0.0
                self.moves.shared(leg.name, min(1.0, told.share), usual, now)
                self.helm.controller.noted(pb, Note.DELIVERED, min(1.0, told.share), now)
            elif name == "link":
                if told.asked is not None and sound(told.asked):
                    self.helm.controller.noted(pb, Note.LINK_ASKED, told.asked, now)
                    self.helm.heard_load(leg.name, told.asked, self.helm.site.terms.seen_after)
                if told.uplink is not None and sound(told.uplink):
                    self.helm.controller.noted(pb, Note.UPLINK_ASKED, told.uplink, now)

    def _rung_told(self, leg: NodeLeg, session: str, rung: int, now: int) -> None:
        """Applies the rung that a node reports for a session."""
        v = self.helm.upstreams.get((leg.name, session))
        if v is not None and 0 <= rung < len(self.helm.site.terms.rates) and rung != v.pb.rung:
            self.helm.controller.noted(v.pb, Note.RUNG, rung, now)
            if v.pb.rung > v.pb.top:
                self.helm.above_bound(v)

    async def _lost(self, leg: NodeLeg, loss: Loss, why: str) -> None:
        """Submits the loss of a node."""
        await self.helm.tell(partial(self.node_lost, leg, loss, why))

    def node_lost(self, leg: NodeLeg, loss: Loss, why: str) -> None:
        """Ends what played on a node.

        Where the loss is only presumed, the policy is told that nothing is delivered there, the viewers are
        told of the end, and seats stay taken until the node confirms the end or its time has run out.
        """
        proven = loss is Loss.PROVEN
        if self.helm.memory is not None:
            self.helm.memory.node_lost(leg.name, proven)
        lost = leg.claims.all_lost() if proven else leg.claims.presumed()
        if lost:
            self.log.warning("node lost", node=leg.name, why=why, how=loss.value, playbacks=len(lost))
        told = False  # one silence counts once against its node, whatever the number of its playbacks
        for session in lost:
            v = self.helm.upstreams.get((leg.name, session))
            if v is None:
                continue
            if proven:
                self.helm.over(v, Outcome.RESET)
                continue
            if not told:
                told = True
                self.helm.controller.noted(v.pb, Note.DELIVERED, 0.0, self.helm.clock.now())
            if self.moves.of(v) is not None:
                self.helm.over(self.helm.part(v), Outcome.RESET, presumed=True)
                if not self.moves.over(v, True):
                    self.helm.hide(v)
                continue
            self.helm.hide(v)
            self.helm.end(v)

    def _session_over(self, leg: NodeLeg, session: str, how: Outcome) -> None:
        """Ends the playback of a session that has ended on its node."""
        if v := self.helm.upstreams.get((leg.name, session)):
            self.helm.over(v, how)
