"""The flat protocol's queue of updates, paced: what rides along on messages waits for tokens of the front's budget."""

from __future__ import annotations

from oakcroft.decisions.membership.dissemination import UpdateQueue
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.traffic_budget import TrafficBudget

FLAT_MESSAGE_BYTES = 130
"""Octets of a flat message without updates, sealed."""

UPDATE_BYTES = 78
"""Octets of one update, for names of nine octets."""

CROWDED_QUEUE = 24
"""Updates under way past which each is carried fewer times: exchanges of tables bring the rest more
cheaply."""

CROWDED_MEMBERS = 9
"""The size of a fleet whose number of retransmissions is taken then: four."""


class PacedUpdateQueue(UpdateQueue):
    """The flat protocol's updates, which wait for tokens. Guards the budget in a whole start, when each
    member is news."""

    def __init__(self, queue: UpdateQueue, own_name: str, budget: TrafficBudget) -> None:
        """Takes over what waits in a queue."""
        super().__init__()
        self.pending = queue.pending
        self.own_name = own_name
        self.budget = budget
        self.charged = 0
        self.is_starting = True

    def add(self, update: MemberUpdate) -> None:
        """An update to be carried; not who lives while this front has just started and learns of all at
        once."""
        if update.name == self.own_name or update.state is not MemberState.ALIVE or not self.is_starting:
            super().add(update)

    def __bool__(self) -> bool:
        """Whether any update waits and may be carried."""
        return bool(self.pending) and self.budget.available >= FLAT_MESSAGE_BYTES

    def take(self, most: int, members: int) -> list[MemberUpdate]:
        """At most as many as there are tokens for."""
        if len(self.pending) > CROWDED_QUEUE:
            members = min(members, CROWDED_MEMBERS)
        taken = super().take(min(most, self.budget.available // UPDATE_BYTES), members)
        self.budget.charge(UPDATE_BYTES * len(taken))
        self.charged += UPDATE_BYTES * len(taken)
        return taken
