"""Flat membership of one zone with a traffic budget, restricted to members of the zone.

The flat protocol itself is unchanged. Here its deferrable traffic (piggybacked updates, gossip, full states) is limited
by the front's budget, and messages of members of other zones are dropped before the protocol processes them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import (
    MAX_UPDATES,
    Address,
    Message,
    MessageKind,
    ReceivedMessage,
)
from oakcroft.decisions.membership.paced_queue import FLAT_MESSAGE_BYTES, UPDATE_BYTES, PacedUpdateQueue
from oakcroft.decisions.membership.traffic_budget import TrafficBudget
from oakcroft.decisions.membership.zone_summary import MAX_ZONE_MEMBERS
from oakcroft.interface import SECOND

MAX_WAITING_EXCHANGES = 4

START_EXCHANGE_INTERVAL = SECOND
"""Interval between exchanges of a front that has just started. When a zone starts as a whole, each exchange doubles the
known members, and all find each other with an eighth of the octets that gossip takes."""

MAX_START_EXCHANGES = 15
"""Exchanges after which a front no longer counts as just started, even if exchanges still bring new members."""

MAX_FRUITLESS_EXCHANGES = 2
"""Consecutive exchanges without a new member after which a front has found its zone."""

REPAIR_INTERVAL = 3 * SECOND
MAX_REPAIR_INTERVAL = 24 * SECOND
"""Bounds of the interval between exchanges of a front whose members differ from its zone's summary. The interval
doubles while the exchanges bring no new member, so that a wrong summary costs little traffic."""

EARLY_EXCHANGE_TIME = 45 * SECOND
"""Time from its start in which a front keeps exchanging states even if its members match the summary."""

INTRODUCTION_TIME = 15 * SECOND
"""Time from its start in which a front adds other members' updates to its answers to probes."""

FEW_MEMBERS = 16
START_PROBE_INTERVAL = SECOND
"""Interval between probes of a front that has just started and knows fewer than `FEW_MEMBERS`: when a zone starts as a
whole, all know only the seeds, and would overload them with probes."""

INTRODUCTIONS = 3
"""Random members added to an answer to a probe, so that a front that knows only the seeds soon probes others too."""

REQUEST_MEMBERS = 12
"""Members sent by the side that begins an exchange; its purpose is to learn of members."""

START_ANSWER_MEMBERS = 48
"""Members in an answer while this front has just started: the other side then knows most of them already."""

FULL_ANSWER_MEMBERS = 80
"""Members in an answer that may overdraw the budget."""

MIN_ANSWER_MEMBERS = 8
"""Members in an answer if the budget does not allow more."""


@dataclass
class PacedMembershipCounters:
    """Counts of what was dropped, by reason. The field names appear in the status and do not change."""

    other_zone: int = 0  # messages and updates of members of other zones
    zone_full: int = 0  # messages and updates of new members beyond the maximum size of a zone
    refused_exchanges: int = 0  # exchanges not answered because the budget was exhausted


class PacedMembership:
    """One front's flat membership of its zone.

    `membership` may be read directly, but messages are passed in here, and those to send are in `outgoing`.
    """

    def __init__(
        self,
        own_update: MemberUpdate,
        secret: bytes,
        rng: Random,
        now: int,
        seeds: Sequence[Address],
        budget: TrafficBudget,
    ) -> None:
        """Creates the membership of a front that starts now."""
        self.zone = own_update.zone
        self.rng = rng
        self.budget = budget
        self.membership = Membership(own_update, secret, rng, now, seeds)
        self.queue = PacedUpdateQueue(self.membership.table.queue, own_update.name, budget)
        self.membership.table.queue = self.queue
        self.counts = PacedMembershipCounters()
        self.outgoing: list[Message] = []
        self.seeds = frozenset(seeds)
        self.started_at = now
        self._exchanges: dict[Address, None] = {}
        self._last_requested: Address | None = None  # with whom this front last began an exchange
        self._start_exchanges = 0
        self._fruitless_exchanges = 0
        self._next_start_exchange_at = now
        self._repair_interval = REPAIR_INTERVAL
        self._next_repair_at = now

    @property
    def is_starting(self) -> bool:
        """Whether this front has just started and is still finding the members of its zone."""
        return (
            self._fruitless_exchanges < MAX_FRUITLESS_EXCHANGES
            and self._start_exchanges < MAX_START_EXCHANGES
        )

    @property
    def due(self) -> int:
        """The latest time by which `tick` must be called."""
        if self.is_starting:
            return min(self.membership.due, self._next_start_exchange_at)
        return self.membership.due

    def tick(self, now: int) -> None:
        """Performs everything that is due."""
        self.membership.tick(now)
        if self.is_starting and len(self.membership.present()) < FEW_MEMBERS:
            prober = self.membership.prober
            prober.next_probe_at = max(prober.next_probe_at, now + START_PROBE_INTERVAL)
        if self.is_starting and now >= self._next_start_exchange_at:
            self._next_start_exchange_at = now + START_EXCHANGE_INTERVAL
            self._exchange_at_start()
        self.queue.is_starting = self.is_starting

    def _exchange_at_start(self) -> None:
        """Exchanges with a random known member instead of the seeds, which would be overloaded in a start of all."""
        if len(self.membership.present()) > 1:
            self._start_exchanges += 1
            self.membership.push_pull.joined = True
            self._exchanges.clear()
            self._queue_random_exchange()

    def on_digest_mismatch(self, now: int) -> None:
        """Begins an exchange, since this front's members have differed from its zone's summary for some time."""
        if self.is_starting or now < self._next_repair_at:
            return
        self._next_repair_at = now + self._repair_interval
        if now - self.started_at >= EARLY_EXCHANGE_TIME:
            self._repair_interval = min(2 * self._repair_interval, MAX_REPAIR_INTERVAL)
        self._queue_random_exchange()

    def on_digest_match(self, now: int) -> None:
        """Resets the repair interval, since this front's members match its zone's summary.

        During `EARLY_EXCHANGE_TIME` exchanges continue: the summary's author may lack the same members.
        """
        self._repair_interval = REPAIR_INTERVAL
        if (
            now - self.started_at < EARLY_EXCHANGE_TIME
            and not self.is_starting
            and now >= self._next_repair_at
        ):
            self._next_repair_at = now + REPAIR_INTERVAL
            self._queue_random_exchange()

    # Received messages.

    def receive_message(self, message: ReceivedMessage, now: int) -> None:
        """Processes a datagram of the flat protocol, without its updates about members of other zones."""
        if not self._is_own(message.sender):
            return
        own_updates = self._own(message.updates)
        if len(own_updates) < len(message.updates):
            message = replace(message, updates=own_updates)
        self.membership.receive_message(message, now)

    def accepts_exchange(self) -> bool:
        """Whether the budget allows an answer now; protects a seed that a whole starting zone asks at once."""
        if self.budget.available >= _state_bytes(MIN_ANSWER_MEMBERS):
            return True
        self.counts.refused_exchanges += 1
        return False

    def exchange_state(self, known_to_peer: Sequence[MemberUpdate] | None = None) -> list[MemberUpdate]:
        """Updates to send in an exchange, this front's own first.

        The side that begins sends a few random members. The answer contains what is missing in `known_to_peer`, within
        the budget. A part of the state is as valid as all of it; other exchanges bring the rest.
        """
        own, *others = self.membership.full_state()
        if known_to_peer is None:
            most = REQUEST_MEMBERS
        else:
            known = {update.name: update.precedence for update in known_to_peer}
            others = [update for update in others if known.get(update.name) != update.precedence]
            most = self._affordable_answer(len(others))
        chosen = self.rng.sample(others, min(most, len(others)))
        self.budget.charge(_state_bytes(1 + len(chosen)))
        return [own, *chosen]

    def _affordable_answer(self, wanted: int) -> int:
        """Number of members in an answer; may overdraw the budget, since a small part seldom has a missing member."""
        affordable = max(MIN_ANSWER_MEMBERS, self.budget.available // UPDATE_BYTES)
        if self.is_starting:
            return min(affordable, START_ANSWER_MEMBERS)
        if self.budget.available < self.budget.burst // 2:
            return affordable
        return min(wanted, max(affordable, FULL_ANSWER_MEMBERS))

    def receive_full_state(self, sender: MemberUpdate, updates: Sequence[MemberUpdate], now: int) -> None:
        """Merges another front's state, received in an exchange."""
        if not self._is_own(sender):
            return
        known_count = len(self.membership.members)
        self.membership.receive_full_state(sender, self._own(updates), now)
        is_answer = sender.address == self._last_requested
        if len(self.membership.members) > known_count:
            self._fruitless_exchanges = 0
            self._repair_interval = REPAIR_INTERVAL
        elif is_answer:
            self._fruitless_exchanges += 1

    def _is_own(self, update: MemberUpdate) -> bool:
        """Whether an update is about a member that this zone may have.

        Rejects members of other zones, which a wrongly configured seed would add, and more members than the traffic
        budget is meant for.
        """
        if update.zone != self.zone:
            self.counts.other_zone += 1
            return False
        if update.name in self.membership.members or len(self.membership.present()) < MAX_ZONE_MEMBERS:
            return True
        self.counts.zone_full += 1
        return False

    def _own(self, updates: Sequence[MemberUpdate]) -> list[MemberUpdate]:
        return [update for update in updates if self._is_own(update)]

    # Sent messages.

    def collect(self, now: int) -> None:
        """Collects the membership's messages in `outgoing`, and charges them to the budget."""
        for message in self.membership.outgoing:
            if message.kind is not MessageKind.PUSH_PULL:
                if message.kind is MessageKind.ACK and now - self.started_at < INTRODUCTION_TIME:
                    message = self._with_introductions(message)
                self.budget.charge(FLAT_MESSAGE_BYTES + UPDATE_BYTES * len(message.updates))
                self.outgoing.append(message)
            elif not self.membership.joined:
                self._ping(message.address)
            elif not self.is_starting:
                self._queue_exchange(message.address)
        self.membership.outgoing = []
        # Piggybacked updates were already charged when they were taken from the queue.
        self.budget.charge(-self.queue.charged)
        self.queue.charged = 0
        while self._exchanges and self.budget.available >= _state_bytes(MIN_ANSWER_MEMBERS):
            address = next(iter(self._exchanges))
            del self._exchanges[address]
            self._last_requested = address
            self.outgoing.append(Message(MessageKind.PUSH_PULL, address))

    def _with_introductions(self, message: Message) -> Message:
        names = self.membership.table.sample(INTRODUCTIONS, message.receiver.name)
        introduced = [self.membership.members[name].latest for name in names]
        return replace(message, updates=[*message.updates, *introduced][:MAX_UPDATES])

    def _ping(self, seed: Address) -> None:
        """Pings a seed to join: the answer introduces other members, and an exchange with one of them follows."""
        self.budget.charge(FLAT_MESSAGE_BYTES)
        sequence = self.membership.outbox.new_sequence()
        self.outgoing.append(Message(MessageKind.PING, seed, sequence))

    def _queue_random_exchange(self) -> None:
        """Queues an exchange with a random member; with a seed only if no other is known, since all know the seeds."""
        own_name = self.membership.own_update.name
        members = self.membership.members
        others = [members[name].latest.address for name in self.membership.present() if name != own_name]
        candidates = [address for address in others if address not in self.seeds] or others
        if candidates:
            self._queue_exchange(self.rng.choice(candidates))

    def _queue_exchange(self, address: Address) -> None:
        if len(self._exchanges) < MAX_WAITING_EXCHANGES:
            self._exchanges[address] = None


def _state_bytes(members: int) -> int:
    return FLAT_MESSAGE_BYTES + UPDATE_BYTES * members
