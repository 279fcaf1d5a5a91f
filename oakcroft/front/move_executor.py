"""Carries out moves of playing sessions: reacts to drains and degrading nodes, starts due moves, runs each
handover.

All of it runs in the event task except the timers. The rules are in `oakcroft/decisions/moving/`: the state
machine of a handover, the scheduler, which playbacks may move, drain notices and degrading nodes. Where a
playback goes is decided by the policy.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import structlog
import trio

from oakcroft.decisions.sessions.answers import Final, Reply
from oakcroft.decisions.moving.degrading_nodes import Fadings
from oakcroft.decisions.moving.handover import Act, Course, Handover, Happening
from oakcroft.decisions.moving.move_rules import Way, allowed, keeps_to_its_zone, stays, way
from oakcroft.decisions.moving.move_scheduler import LONGEST_CONFIRM, LONGEST_OFFER, Mover, Pace, Why, waits
from oakcroft.decisions.moving.drain_notice import Notices
from oakcroft.decisions.sessions.session_resource import Resource
from oakcroft.front.protocols import Steering
from oakcroft.front.playback_session import Viewing
from oakcroft.interface import SECOND, Entry, Listing, Node, State

STAY = Reply(503, "urn:oakcroft:problem:stay", "No other place was found: stay where you are", None, False)
Admits = Callable[[Node], bool]
TIMES = {Happening.NO_OFFER: LONGEST_OFFER, Happening.UNCONFIRMED: LONGEST_CONFIRM}


@dataclass(eq=False)
class Move:
    """One move: the session that its player knows, and its counterpart.

    Before the switch `session` plays at the source and `counterpart` is the copy at the target; after it
    `session` has the target, and `counterpart` the source that is being ended.
    """

    v: Viewing
    hand: Handover
    source: str
    other: Viewing | None = None
    began: int = 0
    closed: bool = False


class Moves:
    """All moves of one front end."""

    def __init__(
        self, helm: Steering, rng: Random, usual_notice: int, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """Creates the executor; `expected_notice_ns` is assumed for drains that state no end."""
        self.helm, self.rng, self.log = helm, rng, log
        self.mover = Mover(Pace(), rng)
        self.notices, self.fadings = Notices(usual_notice), Fadings()
        self.moves: dict[str, Move] = {}  # by session id
        self.roles: dict[Viewing, Move] = {}
        self.wake = trio.Event()
        self.paused = False

    # Causes of moves.

    def listed(self, entries: list[Entry], until: dict[str, int | None], now: int) -> None:
        """Handles changes of the node list; `drain_ends` has the stated end of each drain by node."""
        for e in entries:
            name = e.node.name
            if e.listing is Listing.DRAINING:
                if self.notices.begins(name, now, until.get(name)):
                    self.fadings.forget(name)
                    self._leave(name, Why.DRAIN, now)
                for move in [m for m in self.moves.values() if self._target(m) == name]:
                    self.happens(move, Happening.TARGET_DRAINS)
            elif e.listing is Listing.READY:
                if self.notices.taken_back(name):
                    self._recall(name)
            else:
                self.notices.gone(name, now)
                self.fadings.forget(name)

    def shared(self, name: str, share: float, usual: float, now: int) -> None:
        """Handles a node's reported share of delivery; `fleet_share` is the mean of the other nodes."""
        if name in self.helm.roster.gone_at:
            return  # its reports no longer count
        was = name in self.fadings.leaving
        if self.fadings.note(name, share, usual, now):
            self.log.info("mode", change=f"node {name} fades: {share:.2f} delivered, {usual:.2f} elsewhere")
            self._leave(name, Why.FADING, now)
        elif was and name not in self.fadings.leaving and name not in self.notices.drains:
            self._recall(name)

    def _leave(self, name: str, why: Why, now: int) -> None:
        """Plans the moves away from a node."""
        node = self.helm.roster.nodes.get(name)
        playing = (
            [self.helm.viewings[pb] for pb in node.playbacks if pb in self.helm.viewings] if node else []
        )
        some, rest = [], 0
        for v in playing:
            if v.beside is not None or v.ending or v.id not in self.helm.sessions:
                continue
            if stays(v.pb.plan, v.pb.tries[0][1], now, TIMES[Happening.NO_OFFER], movable(v)) is not None:
                rest += 1
                continue
            worth = v.pb.plan.revenue * self.helm.site.terms.rung_worth[v.pb.rung]
            some.append((v.id, worth))
        notice = self.notices.left(name, now)
        planned = self.mover.leave(name, some, 5 * SECOND if notice is None else notice, why, now)
        self.log.info("leaving node", node=name, why=why.value, moves=planned, stay=rest,
                      notice_ms=None if notice is None else notice // 1_000_000)  # fmt: skip
        self._stir()

    def _recall(self, name: str) -> None:
        """Cancels the moves away from a node that is usable again."""
        for key in self.mover.taken_back(name):
            if key in self.moves:
                self.happens(self.moves[key], Happening.TAKEN_BACK)

    @staticmethod
    def _target(move: Move) -> str:
        """Name of the node that a move goes to, empty before it is chosen."""
        at = move.v if move.hand.state is Course.SWITCHED else move.other
        node = at.pb.node if at is not None else None
        return node.name if node is not None else ""

    # Start of moves.

    def _stir(self) -> None:
        """Wakes the task that starts moves."""
        self.wake.set()
        self.wake = trio.Event()

    async def run(self) -> None:
        """Starts moves as they fall due, until it is cancelled."""
        while True:
            now = self.helm.clock.now()
            due = self.mover.next_due(now)
            if self.paused:  # moves wait at this level of service
                await trio.sleep(0.25)
                continue
            if due is not None and due <= now:
                await self.helm.tell(self._begin)
                await trio.sleep(0.02)
                continue
            wake = self.wake
            with trio.move_on_after(3600 if due is None else (due - now) / 1e9):
                await wake.wait()

    def _begin(self) -> None:
        """Starts the moves that are due now."""
        now = self.helm.clock.now()
        for wish in self.mover.begin(now, self.mover.pace.at_once):
            v = self.helm.sessions.get(wish.key)
            left = self.notices.left(wish.node, now)
            if v is None or v.ending or v.pb.state is not State.PLAYING:
                self.mover.forget(wish.key)
                continue
            if stays(v.pb.plan, v.pb.tries[0][1], now, LONGEST_OFFER, movable(v)) is not None:
                self.mover.forget(wish.key)
                continue
            taken = v.pb.title.seats.get(v.pb.plan, 0)
            how = way(v.pb.plan, taken, 60 * SECOND if left is None else left, self.mover.pace.needs)
            if how is Way.MAKE_FIRST:
                move = Move(v, Handover(), wish.node, began=now)
                self.moves[v.id] = self.roles[v] = move
                self.happens(move, Happening.DUE)
            elif how is Way.WAIT:
                wish.under_way, wish.tries, wish.due = False, wish.tries - 1, waits(how, now, self.rng)
            else:
                self.log.info("move breaks first", playback=v.id, node=wish.node)
                self.mover.forget(wish.key)
                self.helm.break_off(v)

    # One move.

    def of(self, v: Viewing) -> Move | None:
        """The move that a session takes part in, or None."""
        return self.roles.get(v)

    def offered(self, move: Move, other: Viewing, admits: Callable[[Viewing, bool], Admits | None]) -> bool:
        """Handles the player's offer; returns False when it is no longer wanted.

        `node_filter` gives the nodes that the copy may go to now, with or without zone preference: the filter
        of the source session is as old as its playback.
        """
        if not move.hand.takes_offer() or move.v.pb.node is None:
            return False
        move.other, other.beside = other, move.v
        if self.helm.memory is not None:
            self.helm.memory.move_begins(move.v, other)
        self.roles[other] = move
        other.pb.beside, other.pb.moved = move.v.pb, True
        source, plan, key = move.v.pb.node, move.v.pb.plan, move.v.id
        chosen = admits(other, not keeps_to_its_zone(plan))
        other.pb.admits = lambda n: (
            allowed(plan, source, n) and self.mover.may_go_to(key, n.name) and (chosen is None or chosen(n))
        )
        self.happens(move, Happening.OFFER)
        return True

    def chosen(self, other: Viewing, node: str) -> None:
        """Records the node to which the policy sends the copy's set-up."""
        if move := self.roles.get(other):
            self.mover.goes_to(move.v.id, node)

    def happens(self, move: Move, what: Happening) -> None:
        """Applies an event to a move and carries out the resulting action."""
        before = move.hand.state
        act = move.hand.happens(what)
        if move.hand.state is before and act is Act.NOTHING:
            return
        self.log.debug("move", playback=move.v.id, what=what.value, state=move.hand.state.value)
        self._do(move, act)
        timer = move.hand.waits_for()
        if timer is not None and move.hand.state is not before:
            self.helm.nursery.start_soon(self._timer, move, timer, move.hand.state)
        if move.hand.over:
            self._close(move)

    async def _timer(self, move: Move, what: Happening, state: Course) -> None:
        """Applies a timeout event to a move that is still in the state that set the timer."""
        await trio.sleep(TIMES[what] / 1e9)
        await self.helm.tell(lambda: self.happens(move, what) if move.hand.state is state else None)

    def _do(self, move: Move, act: Act) -> None:
        """Carries out an action of the state machine."""
        v, other, helm = move.v, move.other, self.helm
        match act:
            case Act.ASK:
                helm.publish(v, "move", {"offer": f"/session/{v.id}/move"})
            case Act.PLACE if other is not None:
                helm.arrived(other)
            case Act.REFUSE if other is not None:
                other.settle(Final.REJECTED, STAY)
            case Act.GIVE if other is not None:
                other.settle(Final.PLAYS)
            case Act.SWITCH if other is not None:
                self._switch(move)
            case Act.GIVE_AS_ONLY if other is not None:
                self._switch(move)
                other.settle(Final.PLAYS)
            case Act.END_SOURCE if other is not None:
                self._switch(move)
                helm.end(other)
            case Act.END_TARGET if other is not None:
                helm.end(other)
            case Act.END_TARGET_AND_REFUSE if other is not None:
                other.settle(Final.REJECTED, STAY)
                helm.end(other)
            case Act.END_ALL:
                if other is not None:
                    other.settle(Final.REJECTED, STAY)
                    helm.end_beside(other)
            case Act.TELL_LOST:
                if other is not None:
                    other.settle(Final.REJECTED, STAY)
                helm.hide(v)

    def _switch(self, move: Move) -> None:
        """Gives the player's session the target; the counterpart takes over what is left of the source."""
        v, other = move.v, move.other
        assert other is not None
        assert other.upstream is not None
        v.pb, other.pb = other.pb, v.pb
        v.upstream, other.upstream = other.upstream, v.upstream
        v.resource = Resource(v.upstream.tag if v.upstream else "", other.ufrag)
        v.ufrag, v.rung_wanted = other.ufrag, None
        self.helm.rebind(v)
        self.helm.rebind(other)
        self.helm.bounded(
            v, max(v.pb.plan.floor, min(v.pb.top, other.pb.top))
        )  # its viewer may have requested a lower rung meanwhile
        if self.helm.memory is not None:
            self.helm.memory.moved(v)
        self.helm.publish(v, "layers", {"encodingId": str(v.pb.rung)})

    def _close(self, move: Move) -> None:
        """Handles the end of a move, once."""
        if move.closed:
            return
        move.closed = True
        state, now = move.hand.state, self.helm.clock.now()
        if self.helm.memory is not None and move.other is not None:
            self.helm.memory.move_over(move.v)
        self.moves.pop(move.v.id, None)
        for part in (move.v, move.other):
            if part is not None:
                self.roles.pop(part, None)
        left = self.notices.left(move.source, now)
        if left is None and move.source in self.fadings.leaving:
            left = 5 * SECOND
        again = self.mover.over(move.v.id, state is not Course.STAYED, now, left)
        if again:
            self._stir()
        target = move.v.pb.node.name if state is Course.DONE and move.v.pb.node else None
        self.log.info("moved", playback=move.v.id, source=move.source, target=target, end=state.value, again=again,
                      ms=(now - move.began) // 1_000_000, way=[c.name for c in move.hand.way])  # fmt: skip

    # Ends of participants.

    def over(self, part: Viewing, died: bool) -> bool:
        """Handles the end of a session in a move; returns True when the player's playback goes on all the
        same.

        `was_lost` says that its node was lost, rather than that the session ended in order.
        """
        move = self.roles.get(part)
        if move is None:
            return False
        is_source = (part is move.v) != (move.hand.state is Course.SWITCHED)
        if is_source:
            self.happens(move, Happening.SOURCE_DIED if died else Happening.SOURCE_ENDED)
        else:
            self.happens(move, Happening.TARGET_DIED)
        return part is not move.v or move.hand.state is not Course.LOST

    def viewer_left(self, v: Viewing) -> None:
        """Handles the end of a session by its viewer or by this front end."""
        self.mover.forget(v.id)
        if move := self.moves.get(v.id):
            self.happens(move, Happening.VIEWER_LEFT)


def movable(v: Viewing) -> bool:
    """Whether a player has declared support for moves: it reads events of that kind."""
    return any("move" in reader.kinds for reader in v.readers)
