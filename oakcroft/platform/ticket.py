"""What belongs to one playback outside the module: its id, its viewer's connection, its description and its try."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from oakcroft.interface import Playback
from oakcroft.platformwire import lines


class ViewerEnd(Protocol):
    """What a playback needs of its viewer's connection."""

    sessions: int  # that stand and came on it
    has_served: bool  # a set-up that came on it was answered with a session

    @property
    def open_here(self) -> dict[str, Ticket]:
        """The set-ups that are open on it."""

    @property
    def asked(self) -> dict[str, Asked]:
        """Those that have been handed in there and not taken."""

    def write(self, data: bytes) -> bool:
        """Writes; whether the connection is still of use."""

    def ended(self) -> bool:
        """Whether the peer has closed it."""

    def gone(self, session: str) -> bool:
        """Whether the viewer of a set-up has left or taken it back, by what its socket knows now."""

    def shut(self) -> None:
        """Closes it at once."""


class NodeEnd(Protocol):
    """What a setup try needs of the connection that it is out on."""

    taken: int  # of the octets queued there, those with the kernel

    def unsay(self, said: range) -> bool:
        """Takes back octets that were queued, where none of them is with the kernel; whether that was so."""

    def shut(self) -> None:
        """Closes it at once."""

    @property
    def out_here(self) -> dict[Ticket, range]:
        """The set-ups that are out on it, and which of its octets each is."""

    def write(self, data: bytes) -> bool:
        """Writes; whether the connection is still of use."""


class NodeSide(Protocol):
    """What a playback needs of the node that it plays on, or is being set up on."""

    @property
    def standing(self) -> dict[Ticket, None]:
        """What plays there."""

    def set_up(self, t: Ticket) -> None:
        """Sends a set-up."""

    def give_up(self, t: Ticket) -> bool:
        """Nobody waits for a set-up any more; whether the node can't have it whole."""

    def settled(self, t: Ticket) -> None:
        """A set-up has its answer."""

    def say(self, kind: str, session: str, attrs: lines.Attributes, code: int | None = None) -> None:
        """Something on a playback that stands."""

    def look(self, now: int) -> None:
        """Keeps a connection where something stands."""


@dataclass(eq=False, slots=True)
class Asked:
    """A set-up that has been read and handed in, and that the owner has not taken yet."""

    link: ViewerEnd
    session: str
    written: int  # the earliest time at which it may have been
    plan_name: str
    wait: int
    title: str
    home: int
    copies: int
    top: int
    description: str
    at: str  # the node where it plays already; none: ""
    withdrawn: bool = False  # its viewer has left or taken it back


class Ticket:
    """One playback's ends; the playback itself has the state."""

    def __init__(
        self, session: str, pb: Playback, plan_name: str, description: str, viewer: ViewerEnd | None
    ) -> None:
        self.id, self.pb, self.plan_name, self.description, self.viewer = (
            session,
            pb,
            plan_name,
            description,
            viewer,
        )
        self.pool: NodeSide | None = None  # of its try, or of the node where it plays
        self.link: NodeEnd | None = None  # on which its set-up is out
        self.until = self.timer = self.began_at = 0  # of its try
