"""Membership of the fleet as one front sees it: a state machine without sockets, clock or threads.

Time is passed in with each call, and random numbers come from the generator given at the start. Messages to send are in
`outgoing` and changes in `changes`; the host takes both after each call. The protocol combines SWIM (probes, indirect
probes, suspicion, incarnations, piggybacked updates), Lifeguard (suspicion timeouts that shorten with confirmations,
local health, informing a suspected member first) and periodic push-pull. docs/fleet.md describes where it differs;
above all, no member is declared failed because others say so. An update that a member has failed makes this front probe
that member, with the update in the message, and only this front's own clock ends a suspicion.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from oakcroft.decisions.membership.counters import Counters
from oakcroft.decisions.membership.failure_detector import LocalHealth
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import MAX_MEMBERS, MemberTable, StateChange
from oakcroft.decisions.membership.messages import (
    MAX_UPDATES,
    Address,
    MemberId,
    Message,
    MessageKind,
    ReceivedMessage,
)
from oakcroft.decisions.membership.outbox import Outbox
from oakcroft.decisions.membership.own_identity import OwnIdentity
from oakcroft.decisions.membership.prober import Prober
from oakcroft.decisions.membership.push_pull import PushPull
from oakcroft.decisions.membership.suspicion_tracker import SuspicionTracker
from oakcroft.decisions.membership.update_merger import UpdateMerger
from oakcroft.interface import MS, SECOND

GOSSIP_INTERVAL = 200 * MS
"""Interval between messages that carry only updates, while any are queued."""

GOSSIP_FANOUT = 3
"""Members that receive gossip in each interval."""

PAUSE_THRESHOLD = SECOND
"""Time without a tick after which this process is considered to have been paused."""

TIDY_INTERVAL = 10 * SECOND

DISPLACED_POSTPONEMENT = SECOND
"""Delay by which a displaced front repeatedly postpones all periodic work."""


class Membership:
    """Membership of one front."""

    def __init__(
        self, own_update: MemberUpdate, secret: bytes, rng: Random, now: int, seeds: Iterable[Address] = ()
    ) -> None:
        """`secret` proves a leave, and `seeds` are addresses through which to join the fleet."""
        self.counts = Counters()
        self.health = LocalHealth()
        self.table = MemberTable(own_update, rng, now)
        self.outbox = Outbox(self.table, rng)
        self.identity = OwnIdentity(self.table, self.outbox, secret)
        self.prober = Prober(self.table, self.outbox, self.health, rng, now)
        self.push_pull = PushPull(self.table, self.outbox, rng, now, seeds)
        self.suspicions = SuspicionTracker(self.table, self.health)
        self.merger = UpdateMerger(
            self.table,
            self.outbox,
            self.identity,
            self.prober,
            self.suspicions,
            self.health,
            self.counts,
            now,
        )
        self.members = self.table.members
        self.suspects = self.table.suspects
        self.last_tick_at = now
        self.next_gossip_at = now
        self.next_tidy_at = now

    # Output, which the host takes after each call.

    @property
    def outgoing(self) -> list[Message]:
        """Messages to send. The host takes the list and replaces it with an empty one."""
        return self.outbox.messages

    @outgoing.setter
    def outgoing(self, messages: list[Message]) -> None:
        self.outbox.messages = messages

    @property
    def changes(self) -> list[StateChange]:
        """Changes to report. The host takes the list and replaces it with an empty one."""
        return self.table.changes

    @changes.setter
    def changes(self, changes: list[StateChange]) -> None:
        self.table.changes = changes

    # Queries.

    @property
    def own_update(self) -> MemberUpdate:
        """This front's own update."""
        return self.table.own_update

    @property
    def displaced(self) -> bool:
        """Whether another, later started process uses this front's name."""
        return self.identity.displaced

    @property
    def left(self) -> bool:
        """Whether this front has left the fleet."""
        return self.identity.left

    @property
    def joined(self) -> bool:
        """Whether any push-pull has succeeded."""
        return self.push_pull.joined

    @property
    def seeds(self) -> list[Address]:
        """Addresses through which to join the fleet."""
        return self.push_pull.seeds

    def state_of(self, name: str) -> MemberState | None:
        """State of a member; None if it is not known."""
        return self.table.state(name)

    def present(self) -> list[str]:
        """Sorted names of the present members, including this front. Callers must not modify the list."""
        return self.table.present()

    def left_count(self) -> int:
        """Number of members that have left, each by its own update."""
        return self.table.count(MemberState.LEFT)

    def full_state(self) -> list[MemberUpdate]:
        """The full state to send in a push-pull, this front's own update first."""
        return self.table.full_state()

    @property
    def due(self) -> int:
        """The latest time by which `tick` must be called."""
        deadlines = [self.prober.next_probe_at]
        deadlines += self.push_pull.deadlines()
        deadlines += self.prober.deadlines()
        deadlines += self.suspicions.deadlines()
        if self.table.queue:
            deadlines.append(self.next_gossip_at)
        if self.merger.disputed:
            deadlines.append(self.merger.next_dispute_at)
        if self.identity.conflict is not None:
            deadlines.append(self.identity.conflict.until)
        return min(deadlines)

    # Time.

    def tick(self, now: int) -> None:
        """Performs everything that is due."""
        since_last_tick = now - self.last_tick_at
        self.last_tick_at = now
        if since_last_tick > PAUSE_THRESHOLD:
            self._recover_from_pause(since_last_tick, now)
        if self.left:
            return
        self.identity.tick(now)
        if self.displaced:
            self._postpone(now + DISPLACED_POSTPONEMENT)
            return
        self._probe(now)
        self._expire_suspicions(now)
        self.merger.probe_disputed(now)
        self.push_pull.tick(now)
        self._gossip(now)
        if now >= self.next_tidy_at:
            self.next_tidy_at = now + TIDY_INTERVAL
            self.table.forget_expired(now)

    def _recover_from_pause(self, duration: int, now: int) -> None:
        """Resets probes and extends suspicions, whose deadlines passed while this process could not receive answers.

        Otherwise it would declare the others failed after the machine was suspended, a long garbage collection or a
        starved core.
        """
        self.counts.stood_still += 1
        self.health.worsen()
        self.prober.reset(now)
        self.suspicions.extend_all(duration)

    def _postpone(self, until: int) -> None:
        self.prober.next_probe_at = until
        self.push_pull.postpone(until)
        self.next_gossip_at = until
        self.merger.next_dispute_at = until

    def _probe(self, now: int) -> None:
        for member in self.prober.advance(now):
            self.suspicions.probe_failed(member, now)
        self.prober.begin_next(now)

    def _expire_suspicions(self, now: int) -> None:
        self.suspicions.expire(now)

    def _gossip(self, now: int) -> None:
        if not self.table.queue or now < self.next_gossip_at:
            return
        self.next_gossip_at = now + GOSSIP_INTERVAL
        for name in self.table.sample(GOSSIP_FANOUT):
            self.outbox.send(MessageKind.GOSSIP, name)

    # Received messages.

    def receive_message(self, message: ReceivedMessage, now: int) -> None:
        """Processes a datagram."""
        sender = message.sender
        kind = message.kind
        sequence = message.sequence
        if self.left or not self._accept_sender(sender, kind, sequence, now):
            return
        if kind is MessageKind.PING:
            self._answer_ping(sender, sequence, message.receiver)
        elif kind is MessageKind.ACK:
            self.prober.acknowledged(sequence, sender.name)
        elif kind is MessageKind.PING_REQUEST and message.target is not None:
            self.prober.relay(sender, sequence, message.target, now)
        for update in message.updates[:MAX_UPDATES]:
            self.merger.merge(update, sender.name, now)

    def receive_full_state(self, sender: MemberUpdate, updates: Sequence[MemberUpdate], now: int) -> None:
        """Merges another front's full state, received by push-pull."""
        if self.left:
            return
        if (sender.name, sender.generation) == (self.own_update.name, self.own_update.generation):
            self.push_pull.remove_seed(sender.address)
            return
        if not self._accept_sender(sender, MessageKind.GOSSIP, 0, now):
            return
        self.push_pull.joined = True
        for update in updates[:MAX_MEMBERS]:
            self.merger.merge(update, sender.name, now)

    def _accept_sender(self, sender: MemberUpdate, kind: MessageKind, sequence: int, now: int) -> bool:
        """Merges the sender's own update; returns whether the rest of the message is to be processed."""
        if not sender.is_plausible():
            self.counts.unsound += 1
            return False
        if sender.name == self.own_update.name:
            if self.identity.received_from_namesake(sender, kind, sequence, now):
                self.prober.probes.clear()
            return False
        known = self.members.get(sender.name)
        if known is not None and sender.generation < known.latest.generation:
            # An earlier process, or a replayed message of one: it is sent the latest update and changes nothing.
            self.counts.old_start += 1
            self.outbox.reply(MessageKind.GOSSIP, sender, first=known.latest)
            return False
        is_stranger = known is None or known.latest.state is MemberState.FAILED
        self.merger.merge(sender, sender.name, now)
        known = self.members.get(sender.name)
        if known is None:
            return False
        known.last_received_at = now
        if is_stranger and known.latest.state is not MemberState.LEFT:
            self.push_pull.queue_exchange(sender.address)
        if known.latest.precedence > sender.precedence and kind is not MessageKind.PING:
            self._notify_accused(sender, known.latest)  # the answer to a ping carries the accusation anyway
        return True

    def _notify_accused(self, sender: MemberUpdate, accusation: MemberUpdate) -> None:
        receiver = MemberId(sender.name, sender.generation)
        self.outbox.put(Message(MessageKind.GOSSIP, sender.address, receiver=receiver, updates=[accusation]))

    def _answer_ping(self, sender: MemberUpdate, sequence: int, receiver: MemberId) -> None:
        known = self.members[sender.name].latest
        accusation = known if known.precedence > sender.precedence else None
        is_for_other_name = receiver.name not in ("", self.own_update.name)
        is_for_other_generation = receiver.generation not in (0, self.own_update.generation)
        if is_for_other_name:
            # Another member had this address: the sender learns who has it now, but gets no answer to its probe.
            self.counts.misaddressed += 1
        elif is_for_other_generation:
            self.counts.other_start += 1
        if is_for_other_name or is_for_other_generation:
            self.outbox.reply(MessageKind.GOSSIP, sender, first=accusation)
        else:
            self.outbox.reply(MessageKind.ACK, sender, sequence, accusation)

    def leave(self) -> None:
        """Leaves the fleet: sends a last update, with the secret that proves it, to some of the others."""
        self.identity.leave()
