"""Freshness of the node list, and when a starting front may act on it.

A starting front has the list that its previous process cached. Changes since then, above all drains, are known to the
list service and apply to the front whether it has asked for them or not. A front that acted on the cached list before
asking would send set-ups to nodes that have been draining for as long as the start took.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.interface import SECOND

MAX_LIST_WAIT = 8 * SECOND
"""How long a starting front waits for a list service that does not answer. The platform's protocol allows 7 s before
a change is announced; past that, refusing viewers does more harm than an outdated list."""

READY_DEADLINE = 9 * SECOND
"""When a front is ready at the latest, counted from the start of its process. The platform requires nine in ten
restarted fronts to be ready within 10 s, including the delay until its first health check."""

MIN_LIST_WAIT = SECOND
"""Time that the list service always has for its answer, however long the start took; it mostly takes milliseconds."""

IMMEDIATE_POLL_MS = 0
"""Timeout in ms of the first poll after a start or a break, which asks for the current state and not for changes."""


@dataclass
class NodeListFreshness:
    """Whether the list has been confirmed since the start, and since the last loss of the list service.

    This prevents set-ups on a list from before the start, also after a slow start, on a starved machine, and when many
    viewers arrive the moment a front listens. The cost: a front admits its first viewer one exchange with the list
    service later, and up to `MAX_LIST_WAIT` later while that service is down.
    """

    began_at: int
    """When the wait for the list service began, in ns."""

    startup_duration: int = 0
    """Time in ns from the start of the process to `began_at`; seconds where the process gets a small share of a core."""

    is_confirmed: bool = False
    """Whether a complete answer of the list service has been processed since the start."""

    is_current: bool = False
    """Whether a complete answer has been processed since the last loss of the list service."""

    def record_answer(self) -> None:
        """Records that a complete answer has been processed."""
        self.is_confirmed = True
        self.is_current = True

    def record_loss(self) -> None:
        """Records that the list service cannot be reached, or was replaced by another."""
        self.is_current = False

    def poll_timeout_ms(self, long_poll_timeout_ms: int) -> int:
        """Returns the timeout in ms of the next poll; `long_poll_timeout_ms` is that of a poll on a current list."""
        return long_poll_timeout_ms if self.is_current else IMMEDIATE_POLL_MS

    @property
    def opens_at_latest(self) -> int:
        """When viewers are admitted at the latest, in ns, whether or not the list has been confirmed by then."""
        return self.began_at + max(MIN_LIST_WAIT, min(MAX_LIST_WAIT, READY_DEADLINE - self.startup_duration))
