"""Slopes of configuration distribution: today's staged rollout over simulated links, and the catalogue text."""

from __future__ import annotations

import heapq
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random

from benchmarks.capacity.experiments import Experiment, Quantity, ValuesBySize
from benchmarks.capacity.network import DATAGRAM_HEADER_OCTETS
from benchmarks.capacity.targets import KB, MB
from oakcroft.catalogue.text import text_digest, read_catalogue, format_catalogue
from oakcroft.decisions.fleet.rollout import FINAL_STAGES, RolloutPlan, FrontReport, Rollout, RolloutStage
from oakcroft.decisions.routing.catalogue import Catalogue, CatalogueTitle, changed_titles, is_in_share
from oakcroft.front.catalogue_rollout import ORDER_INTERVAL_S
from oakcroft.front.rollout_messages import CATALOGUE_LEASE, ENCODER, ReportBody, decode_plan, encode_plan
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.lease_wire import Order, OrderReport
from oakcroft.peerwire.sealing import KeyRing

ROLLOUT_SIZES = (10, 25, 50, 100, 200, 400, 800, 1_600, 2_700)
TITLE_SIZES = (1_000, 10_000, 40_000, 170_000)
LOSS = 0.01
LATENCY_RANGE_NS = (MS, 5 * MS)
ROLLOUT_TIMEOUT_NS = 300 * SECOND
QUIET_TIME_NS = 60 * SECOND
HOLDERS_PER_TITLE = 4
NODES = 2_700


class SimulatedRollout:
    """A rollout with one lease holder and its fronts.

    The holder's decisions, codec and order interval are the program's. Fronts execute orders at once, and texts are
    transferred in no time, so that only the cost of staging is measured.
    """

    def __init__(self, fronts: int, seed: int) -> None:
        """Starts a rollout at time 0."""
        self.rng = Random(seed)
        self.now = 0
        self.event_count = 0
        self.names = [f"front-{i:04}" for i in range(fronts)]
        self.index_by_name = {name: i for i, name in enumerate(self.names)}
        self.codec = LeaseCodec("oakcroft", KeyRing((b"k" * 32,)))
        new, base = (format_catalogue([(name, CatalogueTitle())], False) for name in ("new", "base"))
        self.rollout = Rollout(RolloutPlan(1, text_digest(new), text_digest(base), RolloutStage.HANDED, 1, 0))
        self.active_digests = dict.fromkeys(self.names, self.rollout.plan.base_digest)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.sent_octets = 0
        self.received_octets = 0
        self.holder_cpu_seconds = 0.0

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Runs until a condition holds. Raises RuntimeError if it does not hold by `ROLLOUT_TIMEOUT_NS`."""
        order_interval = round(ORDER_INTERVAL_S * SECOND)
        while not condition():
            if self.now > ROLLOUT_TIMEOUT_NS:
                raise RuntimeError("the rollout did not end")
            self._run_holder_turn()
            until = self.now + order_interval
            while self.events and self.events[0][0] <= until:
                self.now, _, event = heapq.heappop(self.events)
                event()
            self.now = until

    def is_active_everywhere(self) -> bool:
        """Returns whether all fronts have activated the new version."""
        return all(digest == self.rollout.plan.digest for digest in self.active_digests.values())

    def is_done(self) -> bool:
        """Returns whether the rollout is complete."""
        return self.rollout.plan.stage is RolloutStage.DONE

    def is_past(self, at: int) -> bool:
        """Returns whether simulated time has reached `at`."""
        return self.now >= at

    def _run_holder_turn(self) -> None:
        """The holder's work of one order interval: advances the stage if it is due and sends an order to each front."""
        started_at = time.process_time()
        next_plan = self.rollout.next_plan(self.names, self.now)
        if next_plan is not None:
            self.rollout.set_recorded_plan(next_plan)
        plan = self.rollout.plan
        receivers = self.names
        if plan.stage in FINAL_STAGES:
            receivers = self.rollout.unconfirmed_fronts(receivers, self.now)
        order = Order(CATALOGUE_LEASE, 7, plan.step, encode_plan(plan))
        orders = [self.codec.encode_order(self.names[0], 1, order) for _ in receivers]
        self.holder_cpu_seconds += time.process_time() - started_at
        for name, octets in zip(receivers, orders, strict=True):
            self.sent_octets += len(octets) + DATAGRAM_HEADER_OCTETS
            front = self.index_by_name[name]
            self._deliver(partial(self._execute_order, front, order))

    def _deliver(self, event: Callable[[], None]) -> None:
        """Schedules an event after the latency of a datagram, or drops it as lost."""
        if self.rng.random() >= LOSS:
            self.event_count += 1
            arrives_at = self.now + self.rng.randint(*LATENCY_RANGE_NS)
            heapq.heappush(self.events, (arrives_at, self.event_count, event))

    def _execute_order(self, front: int, order: Order) -> None:
        """A front's part as in `front/rollout_participant.py`, without its state file and the text transfer."""
        plan = decode_plan(order.body)
        name = self.names[front]
        activates = is_in_share(front, len(self.names), int(plan.digest, 16), plan.target_share)
        if activates and plan.stage in (RolloutStage.TAKEN, RolloutStage.DONE):
            self.active_digests[name] = plan.digest
        body = ReportBody(plan.step, True, self.active_digests[name], activates, "", 100, 1, False)
        octets = self.codec.encode_report(
            name, 1, OrderReport(CATALOGUE_LEASE, order.fencing_token, order.step, True, ENCODER.encode(body))
        )
        self._deliver(lambda: self._receive_report(name, octets, body))

    def _receive_report(self, name: str, octets: bytes, body: ReportBody) -> None:
        """The holder's work for one report."""
        self.received_octets += len(octets) + DATAGRAM_HEADER_OCTETS
        started_at = time.process_time()
        opened = self.codec.ring.open(octets, self.now)
        assert opened is not None
        self.codec.decode(opened)
        report = FrontReport(
            body.step, body.has_text, body.active_digest, body.is_in_share, "", body.answers, body.failures
        )
        self.rollout.receive_report(name, report, self.now)
        self.holder_cpu_seconds += time.process_time() - started_at


def measure_rollout(seed: int) -> ValuesBySize:
    """Measures the rollout of one change to all fronts, with each share watched for 10 s, and the minute after it."""
    found = ValuesBySize()
    for fronts in ROLLOUT_SIZES:
        simulation = SimulatedRollout(fronts, seed)
        simulation.run_until(simulation.is_active_everywhere)
        active_s = simulation.now / SECOND
        simulation.run_until(simulation.is_done)
        ended_s = simulation.now / SECOND
        sent = simulation.sent_octets
        received = simulation.received_octets
        cpu_seconds = simulation.holder_cpu_seconds
        simulation.run_until(partial(simulation.is_past, simulation.now + QUIET_TIME_NS))
        quiet_octets_per_s = (simulation.sent_octets - sent) / (QUIET_TIME_NS / SECOND)
        found[fronts] = (
            active_s,
            ended_s,
            sent / ended_s / KB,
            received / ended_s / KB,
            100 * cpu_seconds / ended_s,
            quiet_octets_per_s / KB,
        )
    return found


def measure_catalogue(seed: int) -> ValuesBySize:
    """Measures a change of one title: the text sent to each front, and the CPU time and memory that it takes there."""
    rng = Random(seed)
    found = ValuesBySize()
    for count in TITLE_SIZES:
        titles = {f"lesson-{i}": random_title(rng) for i in range(count)}
        before = Catalogue(1, "before", dict(titles), False)
        text = format_catalogue((titles | {"lesson-0": random_title(rng)}).items(), False)
        started_at = time.process_time()
        parsed = read_catalogue(text)
        formatted = format_catalogue(parsed.titles.items(), parsed.others)
        after = Catalogue(2, text_digest(formatted), parsed.titles, False)
        changed = changed_titles(before, after)
        cpu_seconds = time.process_time() - started_at
        assert changed == ["lesson-0"]
        tracemalloc.start()
        held = read_catalogue(text)
        memory_mb = tracemalloc.get_traced_memory()[0] / MB
        tracemalloc.stop()
        assert len(held.titles) == count
        found[count] = len(text) / KB, 1e3 * cpu_seconds, memory_mb
    return found


def random_title(rng: Random) -> CatalogueTitle:
    """Returns a title with random holders and three renditions."""
    holders = tuple(f"node-{n:05}" for n in rng.sample(range(NODES), HOLDERS_PER_TITLE))
    return CatalogueTitle(holders, rates=(200.0, 400.0, 800.0))


ROLLOUT_EXPERIMENTS = (
    Experiment(
        "rollout", "fronts", "simulated",
        (
            Quantity("rollout.time", "from a change's beginning until it is in force at all fronts, watches kept", "s"),
            Quantity("rollout.ended", "until the next change may begin", "s"),
            Quantity("rollout.sent", "sent by the lease holder meanwhile", "kB/s"),
            Quantity("rollout.received", "received by the lease holder meanwhile", "kB/s"),
            Quantity("rollout.processor", "processor time of the lease holder meanwhile", "% of a core"),
            Quantity("rollout.quiet", "sent by the lease holder in the minute after a rollout has ended", "kB/s"),
        ),
        measure_rollout,
    ),
    Experiment(
        "catalogue", "titles of the catalogue", "measured",
        (
            Quantity("catalogue.octets", "whole text that travels to a front for any change", "kB"),
            Quantity("catalogue.processor", "processor time of a front for a change of one title", "ms"),
            Quantity("catalogue.memory", "memory of one version at a front, without its text", "MB"),
        ),
        measure_catalogue,
    ),
)  # fmt: skip
