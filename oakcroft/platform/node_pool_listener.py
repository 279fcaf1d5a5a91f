"""What a pool of connections to a node reports, and to whom."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from oakcroft.decisions.sessions.node_liveness import CheckResult
from oakcroft.interface import Outcome
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platform.playback_session import PlaybackSession
from oakcroft.platformwire import json_lines

PoolT = TypeVar("PoolT", contravariant=True)


@dataclass(frozen=True)
class NodeLoss:
    """The loss of a node's process. Times in ns."""

    reason: str
    silent_ns: int
    """Since its last sign of life."""

    first_check_ns: int
    """Silence at which it was first checked by a connect; 0 if it was not."""

    test_count: int
    """Tests that were unanswered."""

    last_process: int | None = None
    """Number of the last process that is lost; sessions at later ones play on. None if all are lost."""


class NodePoolListener(Protocol[PoolT]):
    """Receives the events of a pool; implemented by the session coordinator."""

    has_seen_reports: bool
    """Whether any node has sent a report since the start."""

    def make_room_for_connection(self, pool: PoolT, min_idle_ns: int) -> bool:
        """Returns whether a descriptor is free for one more connection.

        If none is, closes a connection to another node that was idle for `min_idle_ns`.
        """

    def cancel_if_viewer_gone(self, session: PlaybackSession) -> bool:
        """Cancels a set-up that is about to be sent if its viewer has left; returns whether it did."""

    def message_received(
        self,
        pool: PoolT,
        connection: NodeConnection,
        kind: str,
        session_id: str,
        attributes: json_lines.Attributes,
        code: int | None,
        text: str | None,
    ) -> None:
        """A message arrived from the node."""

    def try_ended(
        self, session: PlaybackSession, outcome: Outcome, load_report: dict[str, float] | None
    ) -> None:
        """A setup try ended without an answer."""

    def node_lost(self, pool: PoolT, loss: NodeLoss) -> None:
        """The node's process is gone, with all sessions that played there."""

    def node_failed(self, pool: PoolT, reason: str) -> None:
        """The node sent unreadable data, or could not be reached for lack of local resources."""

    def make_room_for_check(self, pool: PoolT) -> bool:
        """Returns whether a descriptor is free for a connect that checks a silent node."""

    def check_ended(self, pool: PoolT, result: CheckResult) -> None:
        """A connect that checked whether the node is still there has ended."""
