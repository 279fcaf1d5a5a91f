"""The flat protocol's update queue with a traffic budget: piggybacked updates wait until the budget allows them."""

from __future__ import annotations

from oakcroft.decisions.membership.dissemination import UpdateQueue
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.traffic_budget import TrafficBudget

FLAT_MESSAGE_BYTES = 130
"""Size of a sealed flat message without updates."""

UPDATE_BYTES = 78
"""Size of one update with names of nine octets."""

CROWDED_QUEUE = 24
"""Queue length above which each update is sent fewer times: exchanges of states are cheaper for many updates."""

CROWDED_MEMBERS = 9
"""Fleet size used to compute the number of transmissions then, which gives four."""


class PacedUpdateQueue(UpdateQueue):
    """Update queue limited by a traffic budget, which matters when a zone starts as a whole and all members are new."""

    def __init__(self, queue: UpdateQueue, own_name: str, budget: TrafficBudget) -> None:
        """Takes over the pending updates of `queue`."""
        super().__init__()
        self.pending = queue.pending
        self.own_name = own_name
        self.budget = budget
        self.charged = 0
        self.is_starting = True

    def add(self, update: MemberUpdate) -> None:
        """Adds an update, except about other alive members while this front is starting and learns of all at once."""
        if update.name == self.own_name or update.state is not MemberState.ALIVE or not self.is_starting:
            super().add(update)

    def __bool__(self) -> bool:
        """Whether any update is waiting and the budget allows a message."""
        return bool(self.pending) and self.budget.available >= FLAT_MESSAGE_BYTES

    def take(self, limit: int, members: int) -> list[MemberUpdate]:
        """At most `limit` updates, as many as the budget allows."""
        if len(self.pending) > CROWDED_QUEUE:
            members = min(members, CROWDED_MEMBERS)
        taken = super().take(min(limit, self.budget.available // UPDATE_BYTES), members)
        self.budget.charge(UPDATE_BYTES * len(taken))
        self.charged += UPDATE_BYTES * len(taken)
        return taken
