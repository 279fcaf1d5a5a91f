"""Membership in two layers: the flat protocol inside a zone, summaries between zones. No I/O, as the flat one.

Time and chance come in with each call; the host takes `out` and `changes` after each call. The flat membership is used as it
stands, with three seams: what can wait of its traffic draws on the budget of both layers, members of other zones are turned
away at the door, and what others say of this zone's members is put to the accused by the flat protocol's own rule.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from oakcroft.decisions.membership.delegates import DelegateSelection
from oakcroft.decisions.membership.dissemination import UpdateQueue
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import PRESENT_STATES, StateChange
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import Address, MemberId, Message, MessageKind, ProbeTarget
from oakcroft.decisions.membership.traffic_budget import TrafficBudget
from oakcroft.decisions.membership.zone_author import LocalState, ZoneAuthor
from oakcroft.decisions.membership.zone_directory import RemoteState, ZoneChange, ZoneDirectory
from oakcroft.decisions.membership.zone_gossip import OtherZones, ZoneGossip
from oakcroft.decisions.membership.zone_lookup import LookupResult, ZoneLookups
from oakcroft.decisions.membership.zone_messages import (
    LookupAnswer,
    LookupRequest,
    MemberRecord,
    ZoneDigest,
    ZoneMessage,
    ZoneOut,
    ZoneRecords,
    ZoneRequest,
)
from oakcroft.decisions.membership.zone_summary import (
    MAX_ZONE_MEMBERS,
    MemberChange,
    StateCounts,
    ZoneContact,
    ZoneSummary,
    member_digest,
)
from oakcroft.interface import MS, SECOND

QUIET_START = 10 * SECOND
"""In which a front does not act as a delegate: in a whole start each is the first in rank of the zone of one that it sees."""

NEWCOMERS_TOLD_AFTER = 60 * SECOND
"""Of a front's own start: whom it finds earlier did not join, it was there."""

AUTHOR_INTERVAL = 500 * MS
"""Between two looks of a delegate at whether it is to author."""

CLOCK_TOLERANCE = 86_400 * 1_000_000
"""Microseconds by which a generation may lie ahead of this front's clock: a day."""

MICROSECOND = 1_000
"""In nanoseconds."""

FLAT_MESSAGE_SIZE = 130
"""Octets of a flat message without updates, sealed."""

UPDATE_SIZE = 78
"""Octets of one update, for names of nine octets."""

MAX_WAITING_EXCHANGES = 4
LOOKUP_FANOUT = 2


@dataclass(frozen=True)
class ZoneSeeds:
    """Another zone as configured: addresses of some of its members."""

    zone: str
    region: str
    addresses: tuple[Address, ...]


@dataclass(frozen=True)
class ZonePlacement:
    """Where a front stands: its region, seeds of its own zone, and the other zones."""

    region: str
    seeds: tuple[Address, ...]
    others: tuple[ZoneSeeds, ...]


@dataclass(frozen=True)
class ZoneStatus:
    """A zone as this front knows it, for operators."""

    zone: str
    region: str
    counts: StateCounts
    is_reachable: bool
    moved_at: int


class PacedUpdateQueue(UpdateQueue):
    """The flat protocol's updates, which wait for tokens. Guards the budget in a whole start, when each member is news."""

    def __init__(self, queue: UpdateQueue, budget: TrafficBudget) -> None:
        """Takes over what waits in a queue."""
        super().__init__()
        self.pending = queue.pending
        self.budget = budget
        self.charged = 0

    def __bool__(self) -> bool:
        """Whether any update waits and may be carried."""
        return bool(self.pending) and self.budget.available >= FLAT_MESSAGE_SIZE

    def take(self, most: int, members: int) -> list[MemberUpdate]:
        """At most as many as there are tokens for."""
        taken = super().take(min(most, self.budget.available // UPDATE_SIZE), members)
        self.budget.charge(UPDATE_SIZE * len(taken))
        self.charged += UPDATE_SIZE * len(taken)
        return taken


@dataclass
class ZonedCounters:
    """What was turned away, and why."""

    other_zone: int = 0  # flat messages and updates of members of other zones
    refused_exchanges: int = 0  # whole tables that were not served, for want of tokens


class ZonedMembership:
    """The membership of one front in a fleet of zones."""

    def __init__(
        self, me: MemberUpdate, secret: bytes, rng: Random, now: int, placement: ZonePlacement
    ) -> None:
        """`me.zone` is the own zone. ValueError where a configured zone is the own one."""
        if any(other.zone == me.zone for other in placement.others):
            raise ValueError(f"own zone {me.zone} stands among the other zones")
        self.zone = me.zone
        self.placement = placement
        self.started_at = now
        self.first_generation = me.generation
        self.rng = rng
        self.budget = TrafficBudget(now)
        self.local = Membership(me, secret, rng, now, placement.seeds)
        self.queue = PacedUpdateQueue(self.local.table.queue, self.budget)
        self.local.table.queue = self.queue
        seeds = {other.zone: other.addresses for other in placement.others}
        self.directory = ZoneDirectory(me.zone, seeds)
        self.gossip = ZoneGossip(self.directory, OtherZones(seeds), self.budget, rng, now)
        self.author = ZoneAuthor(self._contact(me), placement.region, now)
        self.selection = DelegateSelection(me.zone, now)
        self.lookups = ZoneLookups(rng)
        self.counts = ZonedCounters()
        self.out: list[Message | ZoneOut] = []
        self.changes: list[StateChange | ZoneChange] = []
        self._exchanges: dict[Address, None] = {}  # whole tables to be asked for, as tokens allow
        self._seen_present: list[str] | None = None
        self._next_author_at = now + QUIET_START
        self._settle(now)

    # What is known.

    @property
    def found(self) -> list[LookupResult]:
        """Lookups that have ended. The host takes the list and puts an empty one in its place."""
        return self.lookups.found

    @found.setter
    def found(self, results: list[LookupResult]) -> None:
        self.lookups.found = results

    def present(self) -> list[str]:
        """Members of the own zone taken to be there, this front among them."""
        return self.local.present()

    def standing(self, name: str) -> MemberState | None:
        """The state of a member of the own zone; None where it is not known."""
        return self.local.standing(name)

    def left_count(self) -> int:
        """How many of the own zone have left, each by its own proof: the only ones whose shares of rates pass on."""
        return self.local.left_count()

    def whole(self) -> list[MemberUpdate]:
        """The table that an exchange sends."""
        return self.local.whole()

    def remote_state(self, zone: str, name: str) -> RemoteState:
        """The state of a member of another zone."""
        return self.directory.state(zone, name)

    def zones(self) -> list[ZoneStatus]:
        """The other zones as they are known."""
        return [
            ZoneStatus(zone, r.summary.region, r.summary.counts, r.is_reachable, r.moved_at)
            for zone, r in sorted(self.directory.records.items())
            if zone != self.zone
        ]

    def rank(self, now: int) -> int | None:
        """This front's rank among the delegates of its zone; None where it is none, or too young to act."""
        if now - self.started_at < QUIET_START or self.local.displaced or self.local.left:
            return None
        delegates = self.selection.delegates(now)
        own_name = self.local.me.name
        return delegates.index(own_name) if own_name in delegates else None

    # Time.

    @property
    def due(self) -> int:
        """When `tick` has something to do at the latest."""
        times = [self.local.due, self.gossip.due()]
        times += [at for at in (self.directory.due(), self.lookups.due()) if at is not None]
        if self.gossip.local.is_delegate:
            times.append(self._next_author_at)
        return min(times)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.budget.advance(now)
        self.local.tick(now)
        if not self.local.left and not self.local.displaced:
            self.gossip.tick(now)
            self._author(now)
        self.directory.tick(now)
        self.lookups.tick(now)
        self._settle(now)

    def _author(self, now: int) -> None:
        if now < self._next_author_at:
            return
        self._next_author_at = now + AUTHOR_INTERVAL
        rank = self.rank(now)
        self.gossip.local.is_delegate = rank is not None
        record = self.directory.records.get(self.zone)
        if not self.author.is_due(rank, record, now):
            return
        self.author.refuted(self._contested(), now)
        summary = self.author.next_summary(self._local_state(now), record, now)
        if summary is not None:
            self.gossip.publish(summary, now)

    # What is received.

    def heard(
        self, sender: MemberUpdate, kind: MessageKind, sequence: int, to: MemberId, target: ProbeTarget | None,
        updates: Sequence[MemberUpdate], now: int,
    ) -> None:  # fmt: skip
        """A datagram of the flat protocol."""
        self.budget.advance(now)
        if self._is_own(sender):
            self.local.heard(sender, kind, sequence, to, target, self._own(updates), now)
        self._settle(now)

    def accepts_exchange(self, now: int) -> bool:
        """Whether to serve a whole table now; else the stream is closed, and the other asks again. Guards a seed in a whole
        start, which all ask at once."""
        self.budget.advance(now)
        if self.budget.spend(self._table_size()):
            return True
        self.counts.refused_exchanges += 1
        return False

    def exchanged(self, sender: MemberUpdate, updates: Sequence[MemberUpdate], now: int) -> None:
        """Another front's whole table, by stream."""
        self.budget.advance(now)
        if self._is_own(sender):
            self.local.exchanged(sender, self._own(updates), now)
        self._settle(now)

    def heard_zone(self, sender: ZoneContact, message: ZoneMessage, now: int) -> None:
        """A datagram of the layer between zones."""
        self.budget.advance(now)
        latest = self._latest_generation(now)
        if self.local.left or self.local.displaced or not sender.is_plausible(latest):
            return
        if isinstance(message, ZoneDigest):
            self.gossip.received_digest(sender, message, latest, now)
        elif isinstance(message, ZoneRequest):
            self.gossip.received_request(sender, message)
        elif isinstance(message, ZoneRecords):
            self.gossip.received_records(sender, message, latest, now)
            self._examine_own(now)
        elif isinstance(message, LookupRequest):
            self._answer(sender, message)
        else:
            self.lookups.answered(message)
        self._settle(now)

    def lookup(self, zone: str, name: str, now: int) -> None:
        """Asks a zone for one of its members; the answer comes in `found`."""
        self.budget.advance(now)
        addresses = self.gossip.contacts(zone, LOOKUP_FANOUT)
        request = self.lookups.begin(zone, name, len(addresses), now)
        if request is not None:
            self.gossip.send_each(addresses, request)
        self._settle(now)

    def leave(self) -> None:
        """This front leaves in order, by its own proof, as in the flat protocol."""
        self.local.leave()
        self._collect()

    def _answer(self, sender: ZoneContact, request: LookupRequest) -> None:
        """Only a front of the zone that is asked answers, by its own table."""
        if request.zone != self.zone:
            return
        member = self.local.members.get(request.name)
        found = None
        if member is not None:
            known = member.latest
            found = MemberRecord(
                known.name, known.generation, known.incarnation, known.state, known.host, known.port
            )
        answer = LookupAnswer(request.number, request.zone, request.name, found)
        self.gossip.send_if_affordable(sender.address, answer)

    # What others say of this zone.

    def _examine_own(self, now: int) -> None:
        """Summaries of the own zone that others wrote. What they hold against a member that is present here is put to it, as
        any claim of a failure in the flat protocol, so that it can refute; and told of as refuted once it has."""
        taken, self.gossip.taken_own = self.gossip.taken_own, []
        for summary in taken:
            for change in summary.changes:
                if change.state is not MemberState.ALIVE and summary.author != self.local.me.name:
                    self._examine(change, summary, now)

    def _examine(self, change: MemberChange, summary: ZoneSummary, now: int) -> None:
        member = self.local.members.get(change.name)
        if member is None or member.latest.state not in PRESENT_STATES:
            return
        if change.precedence <= (member.latest.generation, member.latest.incarnation, 0):
            return
        self.author.contest(change)
        claim = replace(
            member.latest, generation=change.generation, incarnation=change.incarnation,
            state=MemberState.FAILED, reported_by=summary.author,
        )  # fmt: skip
        self.local.merger.merge(claim, summary.author, now)

    def _contested(self) -> list[MemberChange]:
        """Contested members that are present, as they stand."""
        present = []
        for name in self.author.contested:
            member = self.local.members.get(name)
            if member is not None and member.latest.state in PRESENT_STATES:
                latest = member.latest
                present.append(MemberChange(name, latest.generation, latest.incarnation, MemberState.ALIVE))
        return present

    # The own zone, for others.

    def _local_state(self, now: int) -> LocalState:
        members = self.local.members
        present = self.local.present()
        counts = StateCounts(
            len(present), self.local.table.count(MemberState.FAILED), self.local.table.count(MemberState.LEFT)
        )
        delegates = tuple(self._contact(members[name].latest) for name in self.selection.delegates(now))
        generations = [(name, members[name].latest.generation) for name in present]
        return LocalState(counts, delegates, member_digest(generations))

    def _note(self, change: StateChange, now: int) -> None:
        """A change of the own zone that other zones are to be told of."""
        member = self.local.members.get(change.name)
        if member is None or member.latest.state is MemberState.SUSPECTED:
            return
        latest = member.latest
        if latest.state is MemberState.ALIVE:
            was_absent = change.was in (MemberState.FAILED.label, MemberState.LEFT.label)
            is_newcomer = change.was == "" and now - self.started_at >= NEWCOMERS_TOLD_AFTER
            if not (was_absent or is_newcomer or change.name in self.author.recent):
                return
        told = MemberChange(change.name, latest.generation, latest.incarnation, latest.state)
        self.author.note(told, now)

    # After each call.

    def _settle(self, now: int) -> None:
        """Takes in what the flat membership has changed, and gathers what is to be sent."""
        present = self.local.present()
        if present is not self._seen_present:
            self._seen_present = present
            self.selection.observe(present, now)
            own_name = self.local.me.name
            members = self.local.members
            self.gossip.local.peers = [members[name].latest.address for name in present if name != own_name]
        for change in self.local.changes:
            self._note(change, now)
        self._collect()

    def _collect(self) -> None:
        self.changes += self.local.changes
        self.local.changes = []
        self.changes += self.directory.changes
        self.directory.changes = []
        for message in self.local.out:
            if message.kind is MessageKind.PUSH_PULL:
                if len(self._exchanges) < MAX_WAITING_EXCHANGES:
                    self._exchanges[message.address] = None
            else:
                self.budget.charge(FLAT_MESSAGE_SIZE + UPDATE_SIZE * len(message.updates))
                self.out.append(message)
        self.local.out = []
        # What rides along was charged when it was taken from the queue.
        self.budget.charge(-self.queue.charged)
        self.queue.charged = 0
        self.out += self.gossip.out
        self.gossip.out = []
        self._begin_exchanges()

    def _begin_exchanges(self) -> None:
        while self._exchanges and self.budget.spend(self._table_size()):
            address = next(iter(self._exchanges))
            del self._exchanges[address]
            self.out.append(Message(MessageKind.PUSH_PULL, address))

    def _table_size(self) -> int:
        return FLAT_MESSAGE_SIZE + UPDATE_SIZE * len(self.local.members)

    # Whom to believe.

    def _is_own(self, update: MemberUpdate) -> bool:
        """Guards the zone's pool against members of another, which a seed in the wrong list would join to it, and against
        more of them than its traffic is meant for."""
        if update.zone != self.zone:
            self.counts.other_zone += 1
            return False
        is_known = update.name in self.local.members
        return is_known or len(self.local.present()) < MAX_ZONE_MEMBERS

    def _own(self, updates: Sequence[MemberUpdate]) -> list[MemberUpdate]:
        return [update for update in updates if self._is_own(update)]

    def _latest_generation(self, now: int) -> int:
        """The latest generation that a sound process can have by this front's clock: its own, which was read of the clock,
        and the time since. A clock that is behind refuses others and harms nobody but its own front."""
        own = max(self.first_generation, self.local.me.generation)
        return own + (now - self.started_at) // MICROSECOND + CLOCK_TOLERANCE

    @staticmethod
    def _contact(update: MemberUpdate) -> ZoneContact:
        return ZoneContact(update.name, update.generation, update.zone, update.host, update.port)
