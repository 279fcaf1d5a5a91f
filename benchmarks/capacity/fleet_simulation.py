"""Hollow front ends on simulated links: the real membership code of each, without viewers.

Seeded and without threads: the same parameters give the same events each run. What is measured of this machine, the
processor time, decides nothing.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from benchmarks.capacity.fleet_agreement import AgreementTracker
from benchmarks.capacity.fleet_front import SimulatedFront
from benchmarks.capacity.fleet_propagation import EventKind, PropagationTracker
from benchmarks.capacity.fleet_membership import Implementation, ObservedState, Outgoing, Transition
from benchmarks.capacity.fleet_sampling import EncodingSampler
from benchmarks.capacity.fleet_streams import StreamSimulator
from benchmarks.capacity.network import DATAGRAM_HEADER_OCTETS, EventQueue, Network, NetworkTerms
from benchmarks.capacity.topology import Topology
from oakcroft.interface import MS, SECOND

EPOCH_US = 1_790_000_000_000_000
"""Generations are microseconds since 1970, whose encoding has nine octets."""

START_SPREAD_NS = 500 * MS
"""Of a whole start: the processes of a fleet come up so far apart."""

LEAVE_NOTICE_COUNT = 3
LEAVE_NOTICE_INTERVAL_NS = 50 * MS
"""How often a front end that stops in order says so (peers/speaker.py)."""

DETECTION_DEADLINE_NS = 20 * SECOND
"""The goal for a crash to be known everywhere; what is not known by then counts as missing."""

STALE_STATE_NS = 30 * SECOND
"""After a cut heals, or a member starts anew, a verdict may rest on what was seen before: a probe of 1 s and a
suspicion of 6 s, four times as long where a front end finds itself slow, make 28 s."""

MAX_SHOWN_FALSE_FAILURES = 3


@dataclass(frozen=True)
class FalseFailure:
    """A running front end that another called failed, with no cut between them."""

    at: int
    observer: str
    member: str


class FleetSimulation:
    """A fleet and the network between its members."""

    def __init__(
        self,
        topology: Topology,
        terms: NetworkTerms,
        implementation: Implementation,
        seed: int,
        duration: int,
    ) -> None:
        """A fleet in which no process runs yet; `duration`: the most nanoseconds that it is played."""
        self.topology, self.seed, self.duration = topology, seed, duration
        self.implementation = implementation
        self.queue = EventQueue()
        self.network = Network(topology, terms, seed)
        self.fronts = [SimulatedFront(site, duration) for site in topology.sites]
        self._streams = StreamSimulator(
            self.queue, self.network, topology, self.fronts, implementation, self._after_call
        )
        self.agreement = AgreementTracker(len(self.fronts))
        self.propagation = PropagationTracker(lambda index: topology.sites[index].zone, DETECTION_DEADLINE_NS)
        self.sampler = EncodingSampler(implementation)
        self.false_failures: list[FalseFailure] = []
        self.failed_across_cut = 0
        self.failed_previous_process = 0
        self._healed_at: dict[int, int] = {}
        self._index = {site.name: site.index for site in topology.sites}

    # Processes.

    def start_all(self) -> None:
        """All processes come up within `START_SPREAD_NS`, and know nothing but the seeds."""
        self.queue.schedule(START_SPREAD_NS, self.record_disturbance, "whole start")
        chance = Random(f"start {self.seed}")
        for front in self.fronts:
            self.queue.schedule(chance.randrange(START_SPREAD_NS), self.start, front)

    def preload(self) -> None:
        """All run and list each other: a fleet that started long ago."""
        for front in self.fronts:
            self._create(front)
        memberships = [front.membership for front in self.fronts if front.membership is not None]
        self.implementation.preload(memberships, self.queue.now)
        for front, membership in zip(self.fronts, memberships, strict=True):
            membership.take_transitions()
            membership.take_outgoing()
            for site in self.topology.sites:
                if membership.is_listed(site.name):
                    self.agreement.set_listed(front.site.index, site.index, True)
            self._after_call(front)

    def start(self, front: SimulatedFront) -> None:
        """A process starts; nothing where one runs already."""
        if front.membership is not None:
            return
        if self.queue.now > START_SPREAD_NS:
            self.propagation.record_event(
                front.site.index, EventKind.START, self.queue.now, self._observers_of_start(front)
            )
        self._create(front)
        self._after_call(front)

    def _observers_of_start(self, front: SimulatedFront) -> list[int]:
        """Its own zone, and whoever else does not take it to be there already."""
        index, sites = front.site.index, self.topology.sites
        return [
            observer
            for observer in self.agreement.running_indexes()
            if observer != index
            and (sites[observer].zone == front.site.zone or not self.agreement.is_listed(observer, index))
        ]

    def _create(self, front: SimulatedFront) -> None:
        now = self.queue.now
        front.process_count += 1
        front.started_at, front.timer_at, front.open_streams = now, -1, 0
        random = Random(f"{self.seed} {front.site.name} {front.process_count}")
        generation = EPOCH_US + now // 1_000 + 1
        front.membership = self.implementation.create(front.site, generation, random, now)
        self.agreement.started(front.site.index)

    def crash(self, front: SimulatedFront) -> None:
        """The process ends without a word."""
        if front.membership is not None:
            self._happened_to(front, EventKind.CRASH)
            self._end(front)

    def stop(self, front: SimulatedFront) -> None:
        """The process says that it leaves, and ends."""
        if front.membership is None:
            return
        self._happened_to(front, EventKind.STOP)
        front.membership.leave(self.queue.now)
        last_words = list(front.membership.take_outgoing())
        self._end(front)
        for time_said in range(LEAVE_NOTICE_COUNT):
            at = self.queue.now + time_said * LEAVE_NOTICE_INTERVAL_NS
            self.queue.schedule(at, self._send_all, front, last_words)

    def _happened_to(self, front: SimulatedFront, kind: EventKind) -> None:
        """Those that list a member are to learn that it is gone."""
        index = front.site.index
        observers = [
            o for o in self.agreement.running_indexes() if o != index and self.agreement.is_listed(o, index)
        ]
        self.propagation.record_event(index, kind, self.queue.now, observers)

    def _end(self, front: SimulatedFront) -> None:
        front.membership = None
        front.timer_at = -1
        self.agreement.ended(front.site.index)
        self.propagation.observer_ended(front.site.index)

    # Partitions.

    def cut(self, region: int) -> None:
        """A region loses all others."""
        self.network.cut(region)

    def heal(self, region: int) -> None:
        """The region has them back."""
        self.network.heal(region)
        self._healed_at[region] = self.queue.now
        self.record_disturbance("heal")

    def record_disturbance(self, what: str) -> None:
        """Settling is counted from now."""
        self.agreement.record_disturbance(what, self.queue.now)
        self.agreement.record_settling(self.queue.now)

    # Time.

    def run(self, until: int, wall_deadline: float = float("inf")) -> bool:
        """Plays on to a time. False where the wall clock ran past its deadline first."""
        return self.queue.run(min(until, self.duration), wall_deadline)

    def _tick(self, front: SimulatedFront, due: int) -> None:
        if front.timer_at != due or front.membership is None:
            return  # there is an earlier one, or the process has ended
        front.timer_at = -1
        began = time.perf_counter_ns()
        front.membership.tick(self.queue.now)
        front.busy_ns += time.perf_counter_ns() - began
        self._after_call(front)

    def _after_call(self, front: SimulatedFront) -> None:
        """Carries out what a membership asks for, and sets its timer."""
        membership, now = front.membership, self.queue.now
        assert membership is not None
        began = time.perf_counter_ns()
        outgoing = membership.take_outgoing()
        transitions = membership.take_transitions()
        due = max(membership.due, now + MS)
        front.busy_ns += time.perf_counter_ns() - began
        if outgoing:
            self._send_all(front, outgoing)
        for transition in transitions:
            self._transition(front, transition)
        if transitions:
            self.agreement.record_settling(now)
        if front.timer_at < now or due < front.timer_at:
            front.timer_at = due
            self.queue.schedule(due, self._tick, front, due)

    def _transition(self, front: SimulatedFront, transition: Transition) -> None:
        observer, member = front.site.index, self._index[transition.member]
        listed = transition.state in (ObservedState.ALIVE, ObservedState.SUSPECTED)
        self.agreement.set_listed(observer, member, listed)
        self.propagation.record_observation(observer, member, transition.state, self.queue.now)
        if transition.state is ObservedState.FAILED:
            self._called_failed(front, self.fronts[member])

    def _called_failed(self, observer: SimulatedFront, member: SimulatedFront) -> None:
        """Judges a verdict on a member that runs."""
        now = self.queue.now
        if member.membership is None:
            return
        healed = max(self._healed_at.get(f.site.region, -STALE_STATE_NS) for f in (observer, member))
        across = observer.site.region != member.site.region and now - healed < STALE_STATE_NS
        if across or self.network.separated(observer.site, member.site):
            self.failed_across_cut += 1
        elif member.process_count > 1 and now - member.started_at < STALE_STATE_NS:
            self.failed_previous_process += 1
        else:
            self.false_failures.append(FalseFailure(now, observer.site.name, member.site.name))

    # Datagrams.

    def _send_all(self, front: SimulatedFront, outgoing: Sequence[Outgoing]) -> None:
        for message in outgoing:
            if message.stream:
                self._streams.open(front, message)
            else:
                self._send(front, message)

    def _send(self, front: SimulatedFront, message: Outgoing) -> None:
        now = self.queue.now
        front.traffic.datagram_sent(now, message.octets, DATAGRAM_HEADER_OCTETS)
        self.sampler.count_datagram(message)
        receiver = self.topology.by_address.get(message.address)
        if receiver is None:
            return
        delay = self.network.datagram_delay(front.site, receiver)
        if delay is not None:
            self.queue.schedule(now + delay, self._arrive, self.fronts[receiver.index], message)

    def _arrive(self, front: SimulatedFront, message: Outgoing) -> None:
        if front.membership is None:
            return
        now = self.queue.now
        front.traffic.datagram_received(now, message.octets + DATAGRAM_HEADER_OCTETS)
        began = time.perf_counter_ns()
        front.membership.receive(message.message, now)
        front.busy_ns += time.perf_counter_ns() - began
        self._after_call(front)
