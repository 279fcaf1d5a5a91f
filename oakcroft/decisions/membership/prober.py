"""Probing: this front's own probes and those that it relays for other members (SWIM, section 3.1)."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from oakcroft.decisions.membership.failure_detector import (
    INDIRECT_PROBES,
    MAX_PROBES,
    PROBE_INTERVAL,
    LocalHealth,
    Probe,
    ProbeRound,
    ProbeStage,
)
from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.member_table import PRESENT_STATES, Member, MemberTable
from oakcroft.decisions.membership.messages import MemberId, Message, MessageKind, ProbeTarget
from oakcroft.decisions.membership.outbox import Outbox
from oakcroft.interface import SECOND

MAX_RELAYED_PROBES = 64
"""Open probes on behalf of other members."""

RELAYED_PROBE_LIFETIME = SECOND


@dataclass
class RelayedProbe:
    """A probe on behalf of `requester`, which gets the answer under its own `sequence`."""

    requester: MemberUpdate
    sequence: int
    expires_at: int


class Prober:
    """All probes of one front."""

    def __init__(
        self, table: MemberTable, outbox: Outbox, health: LocalHealth, rng: Random, now: int
    ) -> None:
        """Schedules the first probe at a random time within one interval."""
        self.table = table
        self.outbox = outbox
        self.health = health
        self.round = ProbeRound(rng)
        self.probes: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedProbe] = {}
        self.last_relay = ""  # the member that last relayed a probe which had failed directly
        self.next_probe_at = now + rng.randrange(PROBE_INTERVAL)

    def deadlines(self) -> Iterator[int]:
        """When the next steps of the open probes are due."""
        multiplier = self.health.multiplier
        return (probe.deadline(multiplier) for probe in self.probes.values())

    def reset(self, now: int) -> None:
        """Drops all open probes and starts a new one at once."""
        self.probes.clear()
        self.relayed.clear()
        self.next_probe_at = now

    def advance(self, now: int) -> Iterator[Member]:
        """Takes the steps that are due one by one, and yields each member whose probe failed before the next step."""
        multiplier = self.health.multiplier
        for probe in list(self.probes.values()):
            if now < probe.deadline(multiplier):
                continue
            member = self._step(probe)
            if member is not None:
                yield member

    def _step(self, probe: Probe) -> Member | None:
        """Takes the next step of a probe; returns the member if the probe has failed."""
        member = self.table.members.get(probe.name)
        if member is None or member.latest.state not in PRESENT_STATES:
            del self.probes[probe.sequence]
            return None
        if probe.stage is ProbeStage.RETRIED_TWICE:
            del self.probes[probe.sequence]
            return member
        probe.stage = ProbeStage(probe.stage + 1)
        self.outbox.send(MessageKind.PING, probe.name, probe.sequence)
        if probe.stage is ProbeStage.RETRIED_INDIRECTLY:
            self._request_relays(member.latest, probe.sequence)
        return None

    def begin_next(self, now: int) -> None:
        """Probes the next member if a probe is due, and drops expired relayed probes."""
        for sequence, relayed in list(self.relayed.items()):
            if now >= relayed.expires_at:
                del self.relayed[sequence]
        if now < self.next_probe_at:
            return
        self.next_probe_at = max(now, self.next_probe_at + PROBE_INTERVAL)
        name = self.round.next(self.table.present, self.table.is_present)
        if name is not None:
            self.probe(name, now)

    def probe(self, name: str, now: int) -> None:
        """Probes a member now, unless a probe of it is open or too many probes are."""
        if len(self.probes) >= MAX_PROBES or any(probe.name == name for probe in self.probes.values()):
            return
        sequence = self.outbox.new_sequence()
        self.probes[sequence] = Probe(name, sequence, now)
        self.outbox.send(MessageKind.PING, name, sequence)

    def _request_relays(self, about: MemberUpdate, sequence: int) -> None:
        """Requests indirect probes from random members.

        One of them is replaced by the last successful relay, since some member may be reachable through one other only.
        """
        relays = self.table.sample(INDIRECT_PROBES, about.name)
        if self.table.is_present(self.last_relay) and self.last_relay not in (about.name, *relays):
            relays[-1] = self.last_relay
        target = ProbeTarget(about.name, about.generation, about.address)
        for relay in relays:
            self.outbox.send(MessageKind.PING_REQUEST, relay, sequence, target)

    def relay(self, requester: MemberUpdate, sequence: int, target: ProbeTarget, now: int) -> None:
        """Probes a target on behalf of `requester`."""
        if len(self.relayed) >= MAX_RELAYED_PROBES:
            return
        own_sequence = self.outbox.new_sequence()
        self.relayed[own_sequence] = RelayedProbe(requester, sequence, now + RELAYED_PROBE_LIFETIME)
        receiver = MemberId(target.name, target.generation)
        updates = self.outbox.updates(self.outbox.accusation(target.name))
        self.outbox.put(Message(MessageKind.PING, target.address, own_sequence, receiver, updates=updates))

    def acknowledged(self, sequence: int, responder: str) -> None:
        """Processes an answer to an own or a relayed probe."""
        if (probe := self.probes.pop(sequence, None)) is not None:
            self.health.improve()
            if probe.name != responder:
                self.last_relay = responder
        elif (relayed := self.relayed.pop(sequence, None)) is not None:
            self.outbox.reply(MessageKind.ACK, relayed.requester, relayed.sequence)
