"""What the parts of a front see of its helm and of each other.

Moves, memory and hearing each work on the helm's playbacks, and the helm works through them. So that none imports
another, what each needs stands here as a protocol; `Helm` is made of them and satisfies `Steering`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from oakcroft.decisions.fleet.roster import Roster
from oakcroft.decisions.routing.titles import Shelf
from oakcroft.decisions.sessions.repeats import Repeats
from oakcroft.front.nodeleg import NodeLeg, Told
from oakcroft.front.viewing import Viewing
from oakcroft.config.told import Site
from oakcroft.interface import Host, ListKind, Entry, Node, Note, Outcome, Playback, Terms
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event


class Decider(Protocol):
    """What a front calls: the module, or a baseline in its place."""

    def listed(self, kind: ListKind, entries: Iterable[Entry], now: int) -> None: ...
    def arrived(self, pb: Playback, now: int) -> None: ...
    def resumed(self, pb: Playback, node: Node, now: int) -> None: ...
    def recalled(self, further: Iterable[int], spent: Iterable[Node], now: int) -> None: ...
    def playing(self, pb: Playback, now: int) -> None: ...
    def noted(self, pb: Playback, kind: Note, value: float, now: int) -> None: ...
    def told(self, node: Node, asked: float, age: int, now: int) -> None: ...
    def left(self, pb: Playback, now: int) -> None: ...
    def alarm(self, now: int) -> None: ...
    def over(self, pb: Playback) -> bool: ...
    def tried(
        self, pb: Playback, outcome: Outcome, closed: bool,
        asked: float | None, used: float | None, uplink: float | None, now: int,
    ) -> None: ...  # fmt: skip


Decide = Callable[[Terms, int, Host, int], Decider]


class Bell:
    """Wakes those that wait for a change of the front's counts."""

    def __init__(self) -> None:
        self.event = trio.Event()

    def ring(self) -> None:
        """Something has changed."""
        self.event.set()
        self.event = trio.Event()

    async def wait(self, seconds: float) -> None:
        """Until the next change, or so long."""
        with trio.move_on_after(seconds):
            await self.event.wait()


class Remembering(Protocol):
    """The record, as moves and hearing use it."""

    def move_begins(self, v: Viewing, copy: Viewing) -> None: ...
    def move_over(self, v: Viewing) -> None: ...
    def moved(self, v: Viewing) -> None: ...
    def word(self, leg: NodeLeg, hello: Told, asked_at: int) -> None: ...
    def ended_away(self, v: Viewing) -> bool: ...
    def node_lost(self, name: str, proven: bool) -> None: ...


class Moving(Protocol):
    """The moves, as hearing uses them."""

    def shared(self, name: str, share: float, usual: float, now: int) -> None: ...
    def of(self, v: Viewing) -> object | None: ...
    def over(self, part: Viewing, died: bool) -> bool: ...


class Steering(Protocol):
    """The helm, as its parts use it: its playbacks, and what is done with one."""

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
    def site(self) -> Site: ...
    @property
    def controller(self) -> Decider: ...
    @property
    def memory(self) -> Remembering | None: ...
    async def tell(self, event: Event) -> None: ...
    def arrived(self, v: Viewing) -> None: ...
    def release(self, v: Viewing) -> None: ...
    def end(self, v: Viewing) -> None: ...
    def end_beside(self, other: Viewing) -> None: ...
    def break_off(self, v: Viewing) -> None: ...
    def hide(self, v: Viewing, how: Outcome = Outcome.RESET) -> None: ...
    def rebind(self, v: Viewing) -> None: ...
    def bounded(self, v: Viewing, top: int) -> None: ...
    def publish(self, v: Viewing, kind: str, data: dict[str, str]) -> None: ...
    def over(self, v: Viewing, how: Outcome, presumed: bool = False) -> None: ...
    def part(self, v: Viewing) -> Viewing: ...
    def follow_events(self, leg: NodeLeg, events: str) -> None: ...
