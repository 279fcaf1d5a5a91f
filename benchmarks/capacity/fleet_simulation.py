"""A simulated fleet: front ends without viewers that run the real membership code on simulated links.

The simulation is seeded and has no threads, so the same parameters give the same events in each run. The processor time
that is measured has no effect on the events.
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
from benchmarks.capacity.network import DATAGRAM_HEADER_OCTETS, EventQueue, Network, NetworkParameters
from benchmarks.capacity.topology import Topology
from oakcroft.interface import MS, SECOND

EPOCH_US = 1_790_000_000_000_000
"""Simulated time 0. Generations are microseconds since 1970, so that they are encoded in nine octets as in service."""

START_SPREAD_NS = 500 * MS
"""In a whole start, all processes start within this time."""

LEAVE_NOTICE_COUNT = 3
LEAVE_NOTICE_INTERVAL_NS = 50 * MS
"""A front end that stops in order announces it this many times at this interval (oakcroft.peers.peer_endpoint)."""

DETECTION_DEADLINE_NS = 20 * SECOND
"""The goal for a crash to be known everywhere. Observations that are later count as missing."""

STALE_STATE_NS = 30 * SECOND
"""After a cut heals or a member restarts, a failure verdict may rest on the state before for up to 28 s: a probe of 1 s
and a suspicion of 6 s, both four times as long on a front end that finds itself slow."""

MAX_SHOWN_FALSE_FAILURES = 3


@dataclass(frozen=True)
class FalseFailure:
    """A verdict that a member failed although it runs and is not cut off from the observer."""

    at: int
    observer: str
    member: str


class FleetSimulation:
    """A fleet and the network between its members."""

    def __init__(
        self,
        topology: Topology,
        network_parameters: NetworkParameters,
        implementation: Implementation,
        seed: int,
        duration: int,
    ) -> None:
        """Starts with no process running; `duration`: the maximum simulated time in nanoseconds."""
        self.topology = topology
        self.seed = seed
        self.duration = duration
        self.implementation = implementation
        self.queue = EventQueue()
        self.network = Network(topology, network_parameters, seed)
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

    # Processes

    def start_all(self) -> None:
        """Starts all processes within `START_SPREAD_NS`; each knows the seeds only."""
        self.queue.schedule(START_SPREAD_NS, self.record_disturbance, "whole start")
        random = Random(f"start {self.seed}")
        for front in self.fronts:
            self.queue.schedule(random.randrange(START_SPREAD_NS), self.start, front)

    def preload(self) -> None:
        """Creates all processes such that they list each other, as in a fleet that started long ago."""
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
        """Starts a process unless one runs already."""
        if front.membership is not None:
            return
        if self.queue.now > START_SPREAD_NS:
            self.propagation.record_event(
                front.site.index, EventKind.START, self.queue.now, self._observers_of_start(front)
            )
        self._create(front)
        self._after_call(front)

    def _observers_of_start(self, front: SimulatedFront) -> list[int]:
        """The other front ends of its zone, and those of other zones that do not list it yet."""
        index = front.site.index
        sites = self.topology.sites
        return [
            observer
            for observer in self.agreement.running_indexes()
            if observer != index
            and (sites[observer].zone == front.site.zone or not self.agreement.is_listed(observer, index))
        ]

    def _create(self, front: SimulatedFront) -> None:
        now = self.queue.now
        front.process_count += 1
        front.started_at = now
        front.timer_at = -1
        front.open_streams = 0
        random = Random(f"{self.seed} {front.site.name} {front.process_count}")
        generation = EPOCH_US + now // 1_000 + 1
        front.membership = self.implementation.create(front.site, generation, random, now)
        self.agreement.started(front.site.index)

    def crash(self, front: SimulatedFront) -> None:
        """Ends the process without notice."""
        if front.membership is not None:
            self._record_end(front, EventKind.CRASH)
            self._end(front)

    def stop(self, front: SimulatedFront) -> None:
        """Ends the process after it announced that it leaves."""
        if front.membership is None:
            return
        self._record_end(front, EventKind.STOP)
        front.membership.leave(self.queue.now)
        leave_notices = list(front.membership.take_outgoing())
        self._end(front)
        for repetition in range(LEAVE_NOTICE_COUNT):
            at = self.queue.now + repetition * LEAVE_NOTICE_INTERVAL_NS
            self.queue.schedule(at, self._send_all, front, leave_notices)

    def _record_end(self, front: SimulatedFront, kind: EventKind) -> None:
        """Records a crash or stop that all observers that list the member have to learn."""
        index = front.site.index
        observers = [
            observer
            for observer in self.agreement.running_indexes()
            if observer != index and self.agreement.is_listed(observer, index)
        ]
        self.propagation.record_event(index, kind, self.queue.now, observers)

    def _end(self, front: SimulatedFront) -> None:
        front.membership = None
        front.timer_at = -1
        self.agreement.ended(front.site.index)
        self.propagation.observer_ended(front.site.index)

    # Partitions

    def cut(self, region: int) -> None:
        """Cuts a region off from all others."""
        self.network.cut(region)

    def heal(self, region: int) -> None:
        """Reconnects a region with all others."""
        self.network.heal(region)
        self._healed_at[region] = self.queue.now
        self.record_disturbance("heal")

    def record_disturbance(self, description: str) -> None:
        """Starts to measure the settling time of a disturbance."""
        self.agreement.record_disturbance(description, self.queue.now)
        self.agreement.record_settling(self.queue.now)

    # Time

    def run(self, until: int, wall_deadline: float = float("inf")) -> bool:
        """Runs the simulation until a simulated time. Returns False if the wall clock passed its deadline before."""
        return self.queue.run(min(until, self.duration), wall_deadline)

    def _tick(self, front: SimulatedFront, due: int) -> None:
        if front.timer_at != due or front.membership is None:
            return  # an earlier timer replaced this one, or the process ended
        front.timer_at = -1
        began = time.perf_counter_ns()
        front.membership.tick(self.queue.now)
        front.busy_ns += time.perf_counter_ns() - began
        self._after_call(front)

    def _after_call(self, front: SimulatedFront) -> None:
        """Sends the messages of a membership, records its transitions and sets its timer."""
        membership = front.membership
        now = self.queue.now
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
        observer = front.site.index
        member = self._index[transition.member]
        listed = transition.state in (ObservedState.ALIVE, ObservedState.SUSPECTED)
        self.agreement.set_listed(observer, member, listed)
        self.propagation.record_observation(observer, member, transition.state, self.queue.now)
        if transition.state is ObservedState.FAILED:
            self._count_failure_verdict(front, self.fronts[member])

    def _count_failure_verdict(self, observer: SimulatedFront, member: SimulatedFront) -> None:
        """Counts the verdict that a member failed, if it runs, by its likely cause."""
        now = self.queue.now
        if member.membership is None:
            return
        healed_at = max(
            self._healed_at.get(front.site.region, -STALE_STATE_NS) for front in (observer, member)
        )
        recently_cut = observer.site.region != member.site.region and now - healed_at < STALE_STATE_NS
        if recently_cut or self.network.separated(observer.site, member.site):
            self.failed_across_cut += 1
        elif member.process_count > 1 and now - member.started_at < STALE_STATE_NS:
            self.failed_previous_process += 1
        else:
            self.false_failures.append(FalseFailure(now, observer.site.name, member.site.name))

    # Datagrams

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
