"""Joining, rejoining, and push-pull anti-entropy: periodic exchanges of full states with one other member.

Gossip reaches all members with high probability; push-pull delivers what it missed (Demers et al. 1987, as in
memberlist). Seeds are tried until one answers. Failed members, absent seeds and the addresses of removed members are
pinged from time to time, so that the sides of a healed partition find each other without an operator.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.member_table import MemberTable
from oakcroft.decisions.membership.messages import Address, Message, MessageKind
from oakcroft.decisions.membership.outbox import Outbox
from oakcroft.interface import SECOND

PUSH_PULL_INTERVAL = 60 * SECOND
"""Mean time between exchanges with a random member: two of 14 kB a minute at 200 members."""

PUSH_PULL_SPACING = SECOND
"""Minimum time between two exchanges that this front begins."""

MAX_QUEUED_EXCHANGES = 4
"""Addresses queued for an exchange; further ones are dropped, since gossip or a later exchange reaches them."""

JOIN_INTERVAL = SECOND
"""Interval between two attempts to join through a seed until one succeeds, plus up to half of it at random."""

REJOIN_INTERVAL = 2 * SECOND
"""Interval between two pings to addresses of absent members or seeds, plus up to a quarter of it at random."""


class PushPull:
    """Schedules this front's exchanges of full states."""

    def __init__(
        self, table: MemberTable, outbox: Outbox, rng: Random, now: int, seeds: Iterable[Address]
    ) -> None:
        """Ignores this front's own address among `seeds`."""
        self.table = table
        self.outbox = outbox
        self.rng = rng
        self.seeds = [seed for seed in dict.fromkeys(seeds) if seed != table.own_update.address]
        self.joined = False
        self.queued_addresses: dict[Address, None] = {}
        self.next_join_at = now
        self.next_rejoin_at = now + rng.randrange(REJOIN_INTERVAL)
        self.next_push_pull_at = now + rng.randrange(PUSH_PULL_INTERVAL)
        self.last_push_pull_at = now - PUSH_PULL_SPACING

    def deadlines(self) -> Iterator[int]:
        """When the periodic actions are due."""
        yield self.next_rejoin_at
        yield self.next_push_pull_at
        if not self.joined and self.seeds:
            yield self.next_join_at
        if self.queued_addresses:
            yield self.last_push_pull_at + PUSH_PULL_SPACING

    def postpone(self, until: int) -> None:
        """Postpones all periodic actions."""
        self.next_rejoin_at = until
        self.next_push_pull_at = until

    def queue_exchange(self, address: Address) -> None:
        """Queues an exchange with the member at an address."""
        if len(self.queued_addresses) < MAX_QUEUED_EXCHANGES:
            self.queued_addresses[address] = None

    def remove_seed(self, address: Address) -> None:
        """Removes a seed that turned out to be this front itself."""
        self.seeds = [seed for seed in self.seeds if seed != address]

    def tick(self, now: int) -> None:
        """Performs everything that is due."""
        if not self.joined and self.seeds and now >= self.next_join_at:
            self.next_join_at = now + JOIN_INTERVAL + self.rng.randrange(JOIN_INTERVAL // 2)
            self.queue_exchange(self.rng.choice(self.seeds))
        if now >= self.next_rejoin_at:
            self.next_rejoin_at = now + REJOIN_INTERVAL + self.rng.randrange(REJOIN_INTERVAL // 4)
            self._ping_absent()
        if now >= self.next_push_pull_at:
            self.next_push_pull_at = now + PUSH_PULL_INTERVAL // 2 + self.rng.randrange(PUSH_PULL_INTERVAL)
            for name in self.table.sample(1):
                self.queue_exchange(self.table.members[name].latest.address)
        if self.queued_addresses and now - self.last_push_pull_at >= PUSH_PULL_SPACING:
            self.last_push_pull_at = now
            address = next(iter(self.queued_addresses))
            del self.queued_addresses[address]
            self.outbox.put(Message(MessageKind.PUSH_PULL, address))

    def _ping_absent(self) -> None:
        """Pings one random address of failed or removed members and seeds that no present member has."""
        members = self.table.members
        present = {members[name].latest.address for name in self.table.present()}
        failed = [
            member.latest.address for member in members.values() if member.latest.state is MemberState.FAILED
        ]
        candidates = dict.fromkeys([*failed, *self.seeds, *self.table.former_addresses])
        absent = [address for address in candidates if address not in present]
        if absent:
            self.outbox.ping_address(self.rng.choice(absent))
