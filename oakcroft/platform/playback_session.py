"""A playback session as the platform's front end sees it: its id, viewer connection, description and setup try."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from oakcroft.interface import Playback
from oakcroft.platformwire import json_lines


class ViewerEndpoint(Protocol):
    """What a session needs of its viewer's connection."""

    session_count: int  # playing sessions whose set-up came on it

    @property
    def open_setups(self) -> dict[str, PlaybackSession]:
        """The set-ups open on it, by session id."""

    @property
    def queued_requests(self) -> dict[str, SetupRequest]:
        """The requests from it that wait for their turn, by session id."""

    def write(self, data: bytes) -> bool:
        """Sends or buffers data; returns whether the connection is still usable."""

    def write_answer(self, session_id: str, answer: bytes) -> bool:
        """Sends or buffers the answer that makes a session play; returns whether the connection is usable."""

    def is_at_end(self) -> bool:
        """Whether the peer has closed it and everything received has been read."""

    def has_viewer_left(self, session_id: str) -> bool:
        """Whether the viewer of a set-up has left or released it, as far as its socket shows now."""

    def close(self) -> None:
        """Closes it at once."""


class NodeEndpoint(Protocol):
    """What a setup try needs of the connection it was sent on."""

    def retract_setup(self, session: PlaybackSession) -> bool:
        """Removes a set-up from the send buffer; returns whether the node cannot have received all of it."""

    @property
    def pending_setups(self) -> dict[PlaybackSession, range]:
        """The set-ups that await an answer on it, with the bytes of each."""

    def write(self, data: bytes) -> bool:
        """Sends or buffers data; returns whether the connection is still usable."""


class SessionNode(Protocol):
    """What a session needs of the node it plays on or is being set up on."""

    @property
    def playing_sessions(self) -> dict[PlaybackSession, None]:
        """The sessions that play there."""

    def send_setup(self, session: PlaybackSession) -> None:
        """Sends a set-up."""

    def cancel_setup(self, session: PlaybackSession) -> bool:
        """Cancels a set-up whose answer is no longer needed; returns whether the node cannot have received all
        of it.
        """

    def setup_finished(self, session: PlaybackSession) -> None:
        """Frees the connection of a set-up that has ended."""

    def send_message(
        self, kind: str, session_id: str, attributes: json_lines.Attributes, code: int | None = None
    ) -> None:
        """Sends a message about a playback."""

    def send_on_new_connection(
        self, kind: str, session_id: str, attributes: json_lines.Attributes, code: int | None = None
    ) -> None:
        """Sends a message about a playback on the next connection, which is opened now if there is room."""

    def maintain(self, now: int) -> None:
        """Keeps a connection open while sessions play there."""


@dataclass(eq=False, slots=True)
class SetupRequest:
    """A set-up request that waits for the coordinator. Times are in ns."""

    connection: ViewerEndpoint
    session_id: str
    written_at: int  # the earliest time at which the viewer may have sent it
    plan_name: str
    wait_ns: int
    title_name: str
    home_cell: int
    copies: int
    top_rung: int
    description: str
    playing_node: str  # the node on which it plays already; "" for a new set-up
    withdrawn: bool = False  # its viewer has left or released it
    turn_by: int = 0  # time until which a set-up waits for its turn
    timer_id: int = 0  # timer of that time


class PlaybackSession:
    """The viewer, node and setup try of a playback, whose state is in the decision module's `Playback`."""

    def __init__(
        self,
        session_id: str,
        playback: Playback,
        plan_name: str,
        description: str,
        viewer: ViewerEndpoint | None,
    ) -> None:
        """Creates a session whose set-up has not been sent to a node yet."""
        self.id = session_id
        self.playback = playback
        self.plan_name = plan_name
        self.description = description
        self.viewer = viewer
        self.pool: SessionNode | None = None  # the node of its current try, or that it plays on
        self.node_connection: NodeEndpoint | None = None  # on which its set-up awaits an answer
        self.abandon_at = 0  # time at which its current try ends
        self.timer_id = 0  # timer of its current try
        self.node_process = 0  # number of the process at its node's address at which it stands
        self.began_at = 0  # time at which it began to play here; 0 until then
