"""Freshness of the node list, and when a starting front may act on it.

A starting front has the list that its previous process cached. Changes since then, above all drains, are known to the
list service and apply to the front whether it has asked for them or not. A front that acted on the cached list before
asking would send set-ups to nodes that have been draining for as long as the start took.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.interface import SECOND

UNTOLD = 8 * SECOND
"""How long a starting front waits for a list service that does not answer. The platform's protocol allows 7 s before
a change is told; past that, refusing viewers does more harm than an outdated list."""

READY = 9 * SECOND
"""When a front is ready at the latest, counted from the start of its process. The platform requires nine in ten
restarted fronts to be ready within 10 s, including the delay until its first health check."""

LEAST = SECOND
"""Time that the list service always has for its answer, however long the start took; it mostly takes milliseconds."""

ASK_AT_ONCE = 0
"""Timeout in ms of the first poll after a start or a break, which asks for the current state and not for changes."""


@dataclass
class Freshness:
    """Whether the list has been confirmed since the start, and since the last loss of the list service.

    This prevents set-ups on a list from before the start, also after a slow start, on a starved machine, and when many
    viewers arrive the moment a front listens. The cost: a front admits its first viewer one exchange with the list
    service later, and up to `MAX_LIST_WAIT` later while that service is down.
    """

    began: int
    """When the wait for the list service began, in ns."""

    start_took: int = 0
    """Time in ns from the start of the process to `began_at`; seconds where the process gets a small share of a core."""

    confirmed: bool = False
    """Whether a complete answer of the list service has been processed since the start."""

    current: bool = False
    """Whether a complete answer has been processed since the last loss of the list service."""

    def heard(self) -> None:
        """Records that a complete answer has been processed."""
        self.confirmed = self.current = True

    def lost(self) -> None:
        """Records that the list service cannot be reached, or was replaced by another."""
        self.current = False

    def patience(self, usual: int) -> int:
        """Returns the timeout in ms of the next poll; `standing_timeout_ms` is that of a poll on a current list."""
        return usual if self.current else ASK_AT_ONCE

    @property
    def opens_by(self) -> int:
        """When viewers are admitted at the latest, in ns, whether or not the list has been confirmed by then."""
        return self.began + max(LEAST, min(UNTOLD, READY - self.start_took))
