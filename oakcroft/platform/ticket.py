"""What belongs to one playback outside the module: its id, its viewer's connection, its description and its try."""

from __future__ import annotations

from typing import Protocol

from oakcroft.interface import Playback
from oakcroft.platformwire import lines


class ViewerEnd(Protocol):
    """What a playback needs of its viewer's connection."""

    @property
    def open_here(self) -> dict[str, Ticket]:
        """The set-ups that are open on it."""

    def write(self, data: bytes) -> bool:
        """Writes; whether the connection is still of use."""

    def ended(self) -> bool:
        """Whether the peer has closed it."""

    def shut(self) -> None:
        """Closes it at once."""


class NodeEnd(Protocol):
    """What a setup try needs of the connection that it is out on."""

    @property
    def out_here(self) -> dict[Ticket, int]:
        """The set-ups that are out on it, with what had been queued before each."""

    def write(self, data: bytes) -> bool:
        """Writes; whether the connection is still of use."""


class NodeSide(Protocol):
    """What a playback needs of the node that it plays on, or is being set up on."""

    @property
    def standing(self) -> dict[Ticket, None]:
        """What plays there."""

    def set_up(self, t: Ticket) -> None:
        """Sends a set-up."""

    def give_up(self, t: Ticket) -> None:
        """Nobody waits for a set-up any more."""

    def settled(self, t: Ticket) -> None:
        """A set-up has its answer."""

    def say(self, kind: str, session: str, attrs: lines.Attributes, code: int | None = None) -> None:
        """Something on a playback that stands."""

    def look(self, now: int) -> None:
        """Keeps a connection where something stands."""


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
