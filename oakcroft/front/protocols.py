"""Protocols between the session coordinator and its parts.

Moves, durable state and node events work on the coordinator's sessions, and the coordinator works through
them. What each of them needs of the others is declared here, so that none of them imports another.
`SessionCoordinator` satisfies `Coordinator`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from oakcroft.decisions.fleet.node_list import Roster
from oakcroft.decisions.routing.title_cache import Shelf
from oakcroft.decisions.sessions.idempotency import Repeats
from oakcroft.front.node_client import NodeLeg, Told
from oakcroft.front.playback_session import Viewing
from oakcroft.config.settings import Site
from oakcroft.interface import Host, ListKind, Entry, Node, Note, Outcome, Playback, Terms
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event


class Decider(Protocol):
    """What a front end calls to decide: the controller, or a baseline in its place."""

    def listed(self, kind: ListKind, entries: Iterable[Entry], now: int) -> None:
        """Handles a node list or its changes."""
        ...

    def arrived(self, pb: Playback, now: int) -> None:
        """Handles a request for a playback."""
        ...

    def resumed(self, pb: Playback, node: Node, now: int) -> None:
        """Takes over a playback that plays on a node already."""
        ...

    def recalled(self, further: Iterable[int], spent: Iterable[Node], now: int) -> None:
        """Restores what an earlier process did: times of retries, and nodes whose cold slot is used up."""
        ...

    def playing(self, pb: Playback, now: int) -> None:
        """Handles a set-up that has succeeded."""
        ...

    def noted(self, pb: Playback, kind: Note, value: float, now: int) -> None:
        """Handles a reported value of a playing playback."""
        ...

    def told(self, node: Node, asked: float, age: int, now: int) -> None:
        """Handles a node's link load that another front end has reported."""
        ...

    def left(self, pb: Playback, now: int) -> None:
        """Handles a viewer that left."""
        ...

    def alarm(self, now: int) -> None:
        """Handles the timer that was set through the host."""
        ...

    def over(self, pb: Playback) -> bool:
        """Whether nothing more can come for a playback."""
        ...

    def tried(
        self, pb: Playback, outcome: Outcome, closed: bool,
        asked: float | None, used: float | None, uplink: float | None, now: int,
    ) -> None:  # fmt: skip
        """Handles the end of a setup try, or of the playback that it started."""
        ...


Decide = Callable[[Terms, int, Host, int], Decider]


class Bell:
    """Wakes tasks that wait for a change of the front end's counts."""

    def __init__(self) -> None:
        """Creates a notifier that nobody waits for."""
        self.event = trio.Event()

    def ring(self) -> None:
        """Wakes all waiting tasks."""
        self.event.set()
        self.event = trio.Event()

    async def wait(self, seconds: float) -> None:
        """Waits for the next change, for `timeout_seconds` at most."""
        with trio.move_on_after(seconds):
            await self.event.wait()


class Remembering(Protocol):
    """The stored state, as moves and node events use it."""

    def move_begins(self, v: Viewing, copy: Viewing) -> None:
        """Records that a copy of a session may be set up from now on."""
        ...

    def move_over(self, v: Viewing) -> None:
        """Records that the move of a session has ended."""
        ...

    def moved(self, v: Viewing) -> None:
        """Records that a session plays on another node."""
        ...

    def word(self, leg: NodeLeg, hello: Told, asked_at: int) -> None:
        """Handles the first event of a node's stream, which names the sessions that the node runs."""
        ...

    def ended_away(self, v: Viewing) -> bool:
        """Whether a session ended while this front end was not running.

        Such an end says nothing against its node.
        """
        ...

    def node_lost(self, name: str, proven: bool) -> None:
        """Handles the loss of a node; `is_proven` says that its process is known to be gone."""
        ...


class Moving(Protocol):
    """The moves, as node events use them."""

    def shared(self, name: str, share: float, usual: float, now: int) -> None:
        """Handles a reported share of delivery of a node; `fleet_share` is the mean of the other nodes."""
        ...

    def of(self, v: Viewing) -> object | None:
        """Move that a session takes part in, or None."""
        ...

    def over(self, part: Viewing, died: bool) -> bool:
        """Handles the end of a session in a move; returns whether the player's playback goes on."""
        ...


class Steering(Protocol):
    """The session coordinator, as its parts use it: its sessions, and the operations on one."""

    me: str
    clock: Clock
    nursery: trio.Nursery
    roster: Roster
    legs: dict[str, NodeLeg]
    titles: Shelf
    viewings: dict[Playback, Viewing]
    sessions: dict[str, Viewing]
    upstreams: dict[tuple[str, str], Viewing]
    repeats: Repeats
    playing: int
    told_passed: Callable[[int], None]
    heard_load: Callable[[str, float, int], None]

    @property
    def site(self) -> Site:
        """Deployment-wide part of the configuration version in force."""
        ...

    @property
    def controller(self) -> Decider:
        """The decision policy."""
        ...

    @property
    def memory(self) -> Remembering | None:
        """The stored state; None where the front end keeps none."""
        ...

    async def tell(self, event: Event) -> None:
        """Submits an event and waits for room in the channel."""
        ...

    def arrived(self, v: Viewing) -> None:
        """Asks the policy to place a session."""
        ...

    def release(self, v: Viewing) -> None:
        """Releases a playback of an earlier process that may have run and holds nothing any more."""
        ...

    def end(self, v: Viewing) -> None:
        """Ends a playing session."""
        ...

    def end_beside(self, other: Viewing) -> None:
        """Ends the counterpart of a move that is no longer wanted."""
        ...

    def break_off(self, v: Viewing) -> None:
        """Ends a session whose viewer has to connect again."""
        ...

    def hide(self, v: Viewing, how: Outcome = Outcome.RESET) -> None:
        """Closes a session towards its viewer."""
        ...

    def rebind(self, v: Viewing) -> None:
        """Registers a session again after its playback and upstream session were exchanged."""
        ...

    def bounded(self, v: Viewing, top: int) -> None:
        """Sets the highest rung of a playing session."""
        ...

    def above_bound(self, v: Viewing) -> None:
        """Handles a node's report that a rung above the bound is in force."""
        ...

    def set_rung(self, pb: Playback, rung: int) -> None:
        """Sends a rung to the node of a playing session."""
        ...

    def publish(self, v: Viewing, kind: str, data: dict[str, str]) -> None:
        """Sends an event to the readers of a session."""
        ...

    def over(self, v: Viewing, how: Outcome, presumed: bool = False) -> None:
        """Handles the end of a playback."""
        ...

    def part(self, v: Viewing) -> Viewing:
        """Moves a session's playback to a separate session."""
        ...

    def follow_events(self, leg: NodeLeg, events: str) -> None:
        """Keeps the event stream of a node open from now on."""
        ...
