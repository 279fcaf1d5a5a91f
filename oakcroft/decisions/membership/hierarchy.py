"""Membership in two layers: the flat protocol inside a zone, summaries between zones. No I/O, as the flat
one.

Time and chance come in with each call; the host takes `out`, `changes` and `found` after each call and puts
empty lists in their place. What this layer is, and why, stands in docs/membership.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from oakcroft.decisions.membership.delegates import DelegateSelection
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import StateChange
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import MemberId, Message, MessageKind, ProbeTarget
from oakcroft.decisions.membership.paced_pool import PacedPool
from oakcroft.decisions.membership.traffic_budget import TrafficBudget
from oakcroft.decisions.membership.zone_author import ZoneAuthor
from oakcroft.decisions.membership.zone_directory import RemoteState, ZoneChange, ZoneDirectory
from oakcroft.decisions.membership.zone_gossip import OtherZones, ZoneGossip
from oakcroft.decisions.membership.zone_lookup import LookupResult, ZoneLookups
from oakcroft.decisions.membership.zone_messages import (
    LookupAnswer,
    LookupRequest,
    MemberRecord,
    ZoneDigest,
    ZoneMessage,
    OutgoingZoneMessage,
    ZoneRecords,
    ZoneRequest,
)
from oakcroft.decisions.membership.zone_placement import ZonePlacement, ZoneStatus
from oakcroft.decisions.membership.zone_reporter import ZoneReporter, contact_of
from oakcroft.decisions.membership.zone_summary import ZoneContact
from oakcroft.interface import MS, SECOND

DELEGATE_START_DELAY = 10 * SECOND
"""In which a front does not act as a delegate: in a whole start each is first in rank of the zone of one
that it sees."""

AUTHOR_INTERVAL = 500 * MS
"""Between two looks of a front at whether it is a delegate and is to author."""

CLOCK_TOLERANCE_US = 86_400 * 1_000_000
"""Microseconds by which a generation may lie ahead of this front's clock: a day."""

NS_PER_US = 1_000
"""In nanoseconds."""

DIFFERENCE_TOLERANCE = 2 * SECOND
"""For which a front's members may differ from its zone's summary: gossip takes that long to get round."""

LOOKUP_FANOUT = 2
"""Delegates that are asked for a member: guards a lookup against one that lies or has just failed."""


class ZonedMembership:
    """The membership of one front in a fleet of zones."""

    def __init__(
        self, me: MemberUpdate, secret: bytes, rng: Random, now: int, placement: ZonePlacement
    ) -> None:
        """`me.zone` is the own zone. ValueError where it stands among the other zones of `placement`."""
        if any(other.zone == me.zone for other in placement.others):
            raise ValueError(f"own zone {me.zone} stands among the other zones")
        self.zone = me.zone
        self.started_at = now
        self.first_generation = me.generation
        self.budget = TrafficBudget(now)
        self.pool = PacedPool(me, secret, rng, now, placement.seeds, self.budget)
        seeds = {other.zone: other.addresses for other in placement.others}
        self.directory = ZoneDirectory(me.zone, seeds)
        self.gossip = ZoneGossip(self.directory, OtherZones(seeds), self.budget, rng, now)
        self.author = ZoneAuthor(contact_of(me), placement.region, now)
        self.reporter = ZoneReporter(self.local, self.author, now)
        self.selection = DelegateSelection(me.zone)
        self.lookups = ZoneLookups(rng)
        self.out: list[Message | OutgoingZoneMessage] = []
        self.changes: list[StateChange | ZoneChange] = []
        self._seen_present: list[str] | None = None
        self._next_author_at = now + DELEGATE_START_DELAY
        self._settle(now)

    # What is known.

    @property
    def local(self) -> Membership:
        """The flat membership of the own zone."""
        return self.pool.membership

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

    def state_of(self, name: str) -> MemberState | None:
        """The state of a member of the own zone; None where it is not known."""
        return self.local.state_of(name)

    def left_count(self) -> int:
        """How many of the own zone have left, each by its own proof: the only ones whose shares of rates
        pass on."""
        return self.local.left_count()

    def full_state(self, asked_with: Sequence[MemberUpdate] | None = None) -> list[MemberUpdate]:
        """What an exchange sends now. Whoever answers passes what the other side has sent. Charged: once a call."""
        return self.pool.exchange_state(asked_with)

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
        if now - self.started_at < DELEGATE_START_DELAY or self.local.displaced or self.local.left:
            return None
        delegates = self.selection.delegates(self._clock(now))
        own_name = self.local.me.name
        return delegates.index(own_name) if own_name in delegates else None

    # Time.

    @property
    def due(self) -> int:
        """When `tick` has something to do at the latest."""
        times = [self.pool.due, self.gossip.due(), self._next_author_at]
        times += [at for at in (self.directory.due(), self.lookups.due()) if at is not None]
        return min(times)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.budget.advance(now)
        self.pool.tick(now)
        if not self.local.left and not self.local.displaced:
            self.gossip.tick(now)
        if now >= self._next_author_at:
            self._next_author_at = now + AUTHOR_INTERVAL
            self._author(now)
            self._compare(now)
        self.directory.tick(now)
        self.lookups.tick(now)
        self._settle(now)

    def _author(self, now: int) -> None:
        rank = self.rank(now)
        self.gossip.local.is_delegate = rank is not None
        record = self.directory.records.get(self.zone)
        if not self.author.is_due(rank, record, now):
            return
        self.reporter.report_refuted(now)
        local = self.reporter.local_state(self.selection.delegates(self._clock(now)))
        summary = self.author.next_summary(local, record, now)
        if summary is not None:
            self.gossip.publish(summary, now)

    def _compare(self, now: int) -> None:
        """Guards a front that gossip has missed: its members are compared with its zone's summary."""
        record = self.directory.records.get(self.zone)
        if record is None:
            return
        if self.reporter.differs_for(record.summary, now) >= DIFFERENCE_TOLERANCE:
            self.pool.on_digest_mismatch(now)
        else:
            self.pool.on_digest_match(now)

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
        self.budget.advance(now)
        self.pool.receive_message(sender, kind, sequence, to, target, updates, now)
        self._settle(now)

    def accepts_exchange(self, now: int) -> bool:
        """Whether to serve a whole table by stream now; else the stream is closed, and the other asks
        again."""
        self.budget.advance(now)
        return self.pool.accepts_exchange()

    def receive_full_state(self, sender: MemberUpdate, updates: Sequence[MemberUpdate], now: int) -> None:
        """Another front's whole table, by stream."""
        self.budget.advance(now)
        self.pool.receive_full_state(sender, updates, now)
        self._settle(now)

    def receive_zone_message(self, sender: ZoneContact, message: ZoneMessage, now: int) -> None:
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
            for summary in self.gossip.received_records(sender, message, latest, now):
                self.reporter.examine(summary, now)
        elif isinstance(message, LookupRequest):
            self._answer(sender, message)
        else:
            self.lookups.receive_answer(message)
        self._settle(now)

    def lookup(self, zone: str, name: str, now: int) -> None:
        """Asks a zone for one of its members; the answer comes in `found`."""
        self.budget.advance(now)
        addresses = self.gossip.contacts(zone, LOOKUP_FANOUT)
        request = self.lookups.begin(zone, name, len(addresses), now)
        if request is not None:
            self.gossip.send_each(addresses, request)
        self._settle(now)

    def leave(self, now: int) -> None:
        """This front leaves in order, by its own proof, as in the flat protocol."""
        self.local.leave()
        self._collect(now)

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

    def _clock(self, now: int) -> int:
        """The time in microseconds as generations count it: this front's own, which was read of the clock, and the time
        since."""
        own = max(self.first_generation, self.local.me.generation)
        return own + (now - self.started_at) // NS_PER_US

    def _latest_generation(self, now: int) -> int:
        """The latest generation that a sound process can have. A clock that is behind refuses others, which harms its own
        front only."""
        return self._clock(now) + CLOCK_TOLERANCE_US

    # After each call.

    def _settle(self, now: int) -> None:
        """Takes in what the flat membership has changed, and gathers what is to be sent."""
        present = self.local.present()
        if present is not self._seen_present:
            self._seen_present = present
            own_name = self.local.me.name
            members = self.local.members
            self.selection.observe({name: members[name].latest.generation for name in present})
            self.gossip.local.peers = [members[name].latest.address for name in present if name != own_name]
        for change in self.local.changes:
            self.reporter.note(change, now)
        self._collect(now)

    def _collect(self, now: int) -> None:
        self.changes += self.local.changes
        self.local.changes = []
        self.changes += self.directory.changes
        self.directory.changes = []
        self.pool.collect(now)
        self.out += self.pool.out
        self.pool.out = []
        self.out += self.gossip.out
        self.gossip.out = []
