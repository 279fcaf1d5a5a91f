"""One playback outside the decision module: its id, its viewer's connection, its description and its setup
try.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from oakcroft.interface import Playback
from oakcroft.platformwire import json_lines


class ViewerEnd(Protocol):
    """What a session needs of its viewer's connection."""

    sessions: int  # playing sessions whose set-up came on it
    has_served: bool  # a set-up that came on it became a session

    @property
    def open_here(self) -> dict[str, Ticket]:
        """The set-ups open on it, by session id."""

    @property
    def asked(self) -> dict[str, Asked]:
        """The requests from it that wait in the coordinator's inbox, by session id."""

    def write(self, data: bytes) -> bool:
        """Sends or buffers data; returns whether the connection is still usable."""

    def ended(self) -> bool:
        """Whether the peer has closed it and everything received has been read."""

    def gone(self, session: str) -> bool:
        """Whether the viewer of a set-up has left or released it, as far as its socket shows now."""

    def shut(self) -> None:
        """Closes it at once."""


class NodeEnd(Protocol):
    """What a setup try needs of the connection it was sent on."""

    taken: int  # bytes accepted by the kernel since the start

    def unsay(self, said: range) -> bool:
        """Removes bytes that were queued, if the kernel has accepted none of them; returns whether it did."""

    def shut(self) -> None:
        """Closes it at once."""

    @property
    def out_here(self) -> dict[Ticket, range]:
        """The set-ups that await an answer on it, with the bytes of each."""

    def write(self, data: bytes) -> bool:
        """Sends or buffers data; returns whether the connection is still usable."""


class NodeSide(Protocol):
    """What a session needs of the node it plays on or is being set up on."""

    @property
    def standing(self) -> dict[Ticket, None]:
        """The sessions that play there."""

    def set_up(self, t: Ticket) -> None:
        """Sends a set-up."""

    def give_up(self, t: Ticket) -> bool:
        """Cancels a set-up that nobody waits for; returns whether the node cannot have received all of it."""

    def settled(self, t: Ticket) -> None:
        """A set-up is over."""

    def say(self, kind: str, session: str, attrs: json_lines.Attributes, code: int | None = None) -> None:
        """Sends a message about a playback."""

    def look(self, now: int) -> None:
        """Keeps a connection open while sessions play there."""


@dataclass(eq=False, slots=True)
class Asked:
    """A set-up request that has been queued and that the coordinator has not processed yet. Times are in ns."""

    link: ViewerEnd
    session: str
    written: int  # the earliest time at which the viewer may have sent it
    plan_name: str
    wait: int
    title: str
    home: int
    copies: int
    top: int
    description: str
    at: str  # the node on which it plays already; "" for a new set-up
    withdrawn: bool = False  # its viewer has left or released it


class Ticket:
    """One playback's viewer, node and setup try; its state is in the decision module's `Playback`."""

    def __init__(
        self, session: str, pb: Playback, plan_name: str, description: str, viewer: ViewerEnd | None
    ) -> None:
        """A session that has not been sent to a node yet."""
        self.id, self.pb, self.plan_name, self.description, self.viewer = (
            session,
            pb,
            plan_name,
            description,
            viewer,
        )
        self.pool: NodeSide | None = None  # of its current try, or of the node it plays on
        self.link: NodeEnd | None = None  # while its set-up awaits an answer there
        self.until = self.timer = self.began_at = 0  # `began_at` is 0 until it plays
