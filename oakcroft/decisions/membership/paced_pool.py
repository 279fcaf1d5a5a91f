"""The flat membership of one zone, with its traffic paced and members of other zones kept out.

The flat protocol stands as it is. Here what can wait of its traffic (updates that ride along, gossip, whole
tables) draws on the front's budget, and what comes of another zone is turned away before the protocol sees it.
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
    MemberId,
    Message,
    MessageKind,
    ProbeTarget,
)
from oakcroft.decisions.membership.paced_queue import FLAT_MESSAGE_BYTES, UPDATE_BYTES, PacedUpdateQueue
from oakcroft.decisions.membership.traffic_budget import TrafficBudget
from oakcroft.decisions.membership.zone_summary import MAX_ZONE_MEMBERS
from oakcroft.interface import SECOND

MAX_WAITING_EXCHANGES = 4

START_EXCHANGE_INTERVAL = SECOND
"""Between two exchanges of a front that has just started. In a whole start tables double with each, which
brings a zone together for an eighth of the octets of gossip."""

MAX_START_EXCHANGES = 15
"""After which a front no longer counts as just started, whatever its exchanges bring."""

MAX_FRUITLESS_EXCHANGES = 2
"""Exchanges in a row that brought no member, after which it has found its zone."""

REPAIR_INTERVAL = 3 * SECOND
MAX_REPAIR_INTERVAL = 24 * SECOND
"""Between two exchanges of a front whose members are not those that its zone's summary has; doubled while
they bring nothing, so that a summary that is wrong costs little."""

EARLY_EXCHANGE_TIME = 45 * SECOND
"""Of a front's own start, in which it goes on exchanging tables."""

INTRODUCTION_TIME = 15 * SECOND
"""In which the answers to probes introduce other members."""

FEW_MEMBERS = 16
START_PROBE_INTERVAL = SECOND
"""Between two probes of a front that has just started, while it knows few members: in a whole start all know
the same few, the seeds, and would probe them without end."""

INTRODUCTIONS = 3
"""Members on one such answer, at random. Guards the seeds in a whole start: who knows nobody else probes
them alone."""

REQUEST_MEMBERS = 12
"""Members that the beginner of an exchange sends: it wants to learn, and teaches when it is asked."""

START_ANSWER_MEMBERS = 48
"""Members in an answer while this front has just started: what it knows then others mostly know too."""

FULL_ANSWER_MEMBERS = 80
"""Members in an answer that may overdraw the budget."""

MIN_ANSWER_MEMBERS = 8
"""Members in a part of a table, where tokens do not reach for all of it."""


@dataclass
class PoolCounters:
    """What was turned away, and why."""

    other_zone: int = 0  # messages and updates of members of other zones
    zone_full: int = 0  # and of newcomers past the bound of a zone
    refused_exchanges: int = 0  # whole tables that were not served, for want of tokens


class PacedPool:
    """One front's flat membership of its zone. `membership` is read by all; messages go in here and stand in
    `out`."""

    def __init__(
        self,
        me: MemberUpdate,
        secret: bytes,
        rng: Random,
        now: int,
        seeds: Sequence[Address],
        budget: TrafficBudget,
    ) -> None:
        """The membership of a front that starts now."""
        self.zone = me.zone
        self.rng = rng
        self.budget = budget
        self.membership = Membership(me, secret, rng, now, seeds)
        self.queue = PacedUpdateQueue(self.membership.table.queue, me.name, budget)
        self.membership.table.queue = self.queue
        self.counts = PoolCounters()
        self.out: list[Message] = []
        self.seeds = frozenset(seeds)
        self.started_at = now
        self._exchanges: dict[Address, None] = {}
        self._asked: Address | None = None  # whose answer was last asked for
        self._start_exchanges = 0
        self._fruitless = 0
        self._next_start_exchange_at = now
        self._repair_interval = REPAIR_INTERVAL
        self._next_repair_at = now

    @property
    def is_starting(self) -> bool:
        """Whether this front has just started and still looks for its zone."""
        return self._fruitless < MAX_FRUITLESS_EXCHANGES and self._start_exchanges < MAX_START_EXCHANGES

    @property
    def due(self) -> int:
        """When `tick` has something to do at the latest."""
        if self.is_starting:
            return min(self.membership.due, self._next_start_exchange_at)
        return self.membership.due

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.membership.tick(now)
        if self.is_starting and len(self.membership.present()) < FEW_MEMBERS:
            prober = self.membership.prober
            prober.next_probe_at = max(prober.next_probe_at, now + START_PROBE_INTERVAL)
        if self.is_starting and now >= self._next_start_exchange_at:
            self._next_start_exchange_at = now + START_EXCHANGE_INTERVAL
            self._exchange_at_start()
        self.queue.is_starting = self.is_starting

    def _exchange_at_start(self) -> None:
        """Guards the seeds in a whole start: who knows any member asks them no longer, and exchanges with
        others."""
        if len(self.membership.present()) > 1:
            self._start_exchanges += 1
            self.membership.push_pull.joined = True
            self._exchanges.clear()
            self._want_any()

    def on_digest_mismatch(self, now: int) -> None:
        """This front's members have not been those of its zone's summary for some time: it exchanges tables
        to see who is right."""
        if self.is_starting or now < self._next_repair_at:
            return
        self._next_repair_at = now + self._repair_interval
        if now - self.started_at >= EARLY_EXCHANGE_TIME:
            self._repair_interval = min(2 * self._repair_interval, MAX_REPAIR_INTERVAL)
        self._want_any()

    def on_digest_match(self, now: int) -> None:
        """They are. In a front's first minute that is no reason to stop: its zone's author may lack the same members."""
        self._repair_interval = REPAIR_INTERVAL
        if (
            now - self.started_at < EARLY_EXCHANGE_TIME
            and not self.is_starting
            and now >= self._next_repair_at
        ):
            self._next_repair_at = now + REPAIR_INTERVAL
            self._want_any()

    # What is received.

    def receive_message(
        self,
        sender: MemberUpdate,
        kind: MessageKind,
        sequence: int,
        to: MemberId,
        target: ProbeTarget | None,
        updates: Sequence[MemberUpdate],
        now: int,
    ) -> None:
        """A datagram of the flat protocol."""
        if self._is_own(sender):
            self.membership.receive_message(sender, kind, sequence, to, target, self._own(updates), now)

    def accepts_exchange(self) -> bool:
        """Whether to serve a table now, or a part of one. Guards a seed in a whole start, which all ask at
        once."""
        if self.budget.available >= _table_size(MIN_ANSWER_MEMBERS):
            return True
        self.counts.refused_exchanges += 1
        return False

    def exchange_state(self, asked_with: Sequence[MemberUpdate] | None = None) -> list[MemberUpdate]:
        """What an exchange sends: this front's own update first. Whoever begins one asks with a few members
        at random; the answer, to what it was `asked_with`, has what that lacks, as far as tokens reach. A
        part is as sound as the whole: what it leaves out comes with another."""
        own, *others = self.membership.full_state()
        if asked_with is None:
            most = REQUEST_MEMBERS
        else:
            told = {update.name: update.precedence for update in asked_with}
            others = [update for update in others if told.get(update.name) != update.precedence]
            most = self._affordable_answer(len(others))
        chosen = self.rng.sample(others, min(most, len(others)))
        self.budget.charge(_table_size(1 + len(chosen)))
        return [own, *chosen]

    def _affordable_answer(self, wanted: int) -> int:
        """How many members an answer may have. All of them overdraw the budget now and then: a member that
        one front lacks is seldom in a part."""
        affordable = max(MIN_ANSWER_MEMBERS, self.budget.available // UPDATE_BYTES)
        if self.is_starting:
            return min(affordable, START_ANSWER_MEMBERS)
        if self.budget.available < self.budget.burst // 2:
            return affordable
        return min(wanted, max(affordable, FULL_ANSWER_MEMBERS))

    def receive_full_state(self, sender: MemberUpdate, updates: Sequence[MemberUpdate], now: int) -> None:
        """Another front's table, by stream."""
        if not self._is_own(sender):
            return
        known = len(self.membership.members)
        self.membership.receive_full_state(sender, self._own(updates), now)
        is_answer = sender.address == self._asked
        if len(self.membership.members) > known:
            self._fruitless = 0
            self._repair_interval = REPAIR_INTERVAL
        elif is_answer:
            self._fruitless += 1

    def _is_own(self, update: MemberUpdate) -> bool:
        """Guards the zone's pool against members of another, which a seed in the wrong list would join to
        it, and against more of them than its traffic is meant for."""
        if update.zone != self.zone:
            self.counts.other_zone += 1
            return False
        if update.name in self.membership.members or len(self.membership.present()) < MAX_ZONE_MEMBERS:
            return True
        self.counts.zone_full += 1
        return False

    def _own(self, updates: Sequence[MemberUpdate]) -> list[MemberUpdate]:
        return [update for update in updates if self._is_own(update)]

    # What is sent.

    def collect(self, now: int) -> None:
        """Gathers what the membership has to send, and charges it."""
        for message in self.membership.out:
            if message.kind is not MessageKind.PUSH_PULL:
                if message.kind is MessageKind.ACK and now - self.started_at < INTRODUCTION_TIME:
                    message = self._with_introductions(message)
                self.budget.charge(FLAT_MESSAGE_BYTES + UPDATE_BYTES * len(message.updates))
                self.out.append(message)
            elif not self.membership.joined:
                self._ping(message.address)
            elif not self.is_starting:
                self._want(message.address)
        self.membership.out = []
        # What rides along was charged when it was taken from the queue.
        self.budget.charge(-self.queue.charged)
        self.queue.charged = 0
        while self._exchanges and self.budget.available >= _table_size(MIN_ANSWER_MEMBERS):
            address = next(iter(self._exchanges))
            del self._exchanges[address]
            self._asked = address
            self.out.append(Message(MessageKind.PUSH_PULL, address))

    def _with_introductions(self, message: Message) -> Message:
        names = self.membership.table.sample(INTRODUCTIONS, message.to.name)
        introduced = [self.membership.members[name].latest for name in names]
        return replace(message, updates=[*message.updates, *introduced][:MAX_UPDATES])

    def _ping(self, seed: Address) -> None:
        """Joining begins with a ping: the answer introduces others, of whom one is then asked for its
        table."""
        self.budget.charge(FLAT_MESSAGE_BYTES)
        sequence = self.membership.outbox.new_sequence()
        self.out.append(Message(MessageKind.PING, seed, sequence))

    def _want_any(self) -> None:
        """An exchange with a member at random; not with a seed where another is known, since all know the
        seeds first."""
        own_name = self.membership.me.name
        members = self.membership.members
        others = [members[name].latest.address for name in self.membership.present() if name != own_name]
        candidates = [address for address in others if address not in self.seeds] or others
        if candidates:
            self._want(self.rng.choice(candidates))

    def _want(self, address: Address) -> None:
        if len(self._exchanges) < MAX_WAITING_EXCHANGES:
            self._exchanges[address] = None


def _table_size(members: int) -> int:
    return FLAT_MESSAGE_BYTES + UPDATE_BYTES * members
