"""Slopes of configuration distribution: today's staged rollout over simulated links, and the catalogue's text."""

from __future__ import annotations

import heapq
import time
import tracemalloc
from collections.abc import Callable, Sequence
from random import Random

from benchmarks.capacity.experiments import Experiment, Quantity
from oakcroft.catalogue.text import text_digest, read_catalogue, format_catalogue
from oakcroft.decisions.fleet.rollout import FINAL_STAGES, RolloutPlan, FrontReport, Rollout, RolloutStage
from oakcroft.decisions.routing.catalogue import Catalogue, CatalogueTitle, changed_titles, is_in_share
from oakcroft.front.catalogue_rollout import (
    CATALOGUE_LEASE,
    ENCODER,
    ORDER_INTERVAL_S,
    ReportBody,
    decode_plan,
    encode_plan,
)
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.lease_wire import Order, OrderReport
from oakcroft.peerwire.sealing import KeyRing

ROLLOUT_SIZES = (10, 25, 50, 100, 200, 400, 800, 1_600, 2_700)
TITLE_SIZES = (1_000, 10_000, 40_000, 170_000)
LOSS = 0.01
LATENCY_RANGE_NS = (MS, 5 * MS)
IP_UDP_HEADER_OCTETS = 28
ROLLOUT_TIMEOUT_NS = 300 * SECOND
QUIET_TIME_NS = 60 * SECOND
HOLDERS_PER_TITLE = 4
NODES = 2_700
KB = 1e3
MB = 1e6

ValuesBySize = dict[int, Sequence[float]]


class SimulatedRollout:
    """One lease holder and its fronts. The holder's decisions, codec and pace are the program's; fronts do as they are
    told at once, and texts take no time: what is left is what staging alone costs."""

    def __init__(self, fronts: int, seed: int) -> None:
        """A rollout that begins now."""
        self.rng, self.now, self.event_count = Random(seed), 0, 0
        self.names = [f"front-{i:04}" for i in range(fronts)]
        self.index_by_name = {name: i for i, name in enumerate(self.names)}
        self.codec = LeaseCodec("oakcroft", KeyRing((b"k" * 32,)))
        new, base = (format_catalogue([(name, CatalogueTitle())], False) for name in ("new", "base"))
        self.rollout = Rollout(RolloutPlan(1, text_digest(new), text_digest(base), RolloutStage.HANDED, 1, 0))
        self.in_force = dict.fromkeys(self.names, self.rollout.plan.base_digest)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.sent_octets = self.received_octets = 0
        self.holder_cpu_seconds = 0.0

    def run_until(self, ended: Callable[[], bool]) -> None:
        """Until something holds. RuntimeError where it never does."""
        order_interval = round(ORDER_INTERVAL_S * SECOND)
        while not ended():
            if self.now > ROLLOUT_TIMEOUT_NS:
                raise RuntimeError("the rollout did not end")
            self._run_holder_turn()
            until = self.now + order_interval
            while self.events and self.events[0][0] <= until:
                self.now, _, event = heapq.heappop(self.events)
                event()
            self.now = until

    def is_in_force_everywhere(self) -> bool:
        """Whether all have the new version in force."""
        return all(digest == self.rollout.plan.digest for digest in self.in_force.values())

    def _run_holder_turn(self) -> None:
        """The owner's order_interval: on to the next stage where it is due, and an order to each front."""
        began = time.process_time()
        after = self.rollout.next_plan(self.names, self.now)
        if after is not None:
            self.rollout.set_recorded_plan(after)
        plan, to = self.rollout.plan, self.names
        if plan.stage in FINAL_STAGES:
            to = self.rollout.unconfirmed_fronts(to, self.now)
        order = Order(CATALOGUE_LEASE, 7, plan.step, encode_plan(plan))
        orders = [self.codec.encode_order(self.names[0], 1, order) for _ in to]
        self.holder_cpu_seconds += time.process_time() - began
        for name, octets in zip(to, orders, strict=True):
            self.sent_octets += len(octets) + IP_UDP_HEADER_OCTETS
            self._deliver(lambda front=self.index_by_name[name]: self._execute_order(front, order))  # type: ignore[misc]

    def _deliver(self, event: Callable[[], None]) -> None:
        if self.rng.random() >= LOSS:
            self.event_count += 1
            heapq.heappush(
                self.events, (self.now + self.rng.randint(*LATENCY_RANGE_NS), self.event_count, event)
            )

    def _execute_order(self, front: int, order: Order) -> None:
        """A front's part in `front/catalogue_rollout.py`, without its record and its text."""
        plan, name = decode_plan(order.body), self.names[front]
        takes = is_in_share(front, len(self.names), int(plan.digest, 16), plan.target_share)
        if takes and plan.stage in (RolloutStage.TAKEN, RolloutStage.DONE):
            self.in_force[name] = plan.digest
        body = ReportBody(plan.step, True, self.in_force[name], takes, "", 100, 1, False)
        octets = self.codec.encode_report(
            name, 1, OrderReport(CATALOGUE_LEASE, order.number, order.step, True, ENCODER.encode(body))
        )
        self._deliver(lambda: self._receive_report(name, octets, body))

    def _receive_report(self, name: str, octets: bytes, body: ReportBody) -> None:
        self.received_octets += len(octets) + IP_UDP_HEADER_OCTETS
        began = time.process_time()
        opened = self.codec.ring.open(octets, self.now)
        assert opened is not None
        self.codec.decode(opened)
        report = FrontReport(
            body.step, body.has_text, body.active_digest, body.is_in_share, "", body.answers, body.failures
        )
        self.rollout.receive_report(name, report, self.now)
        self.holder_cpu_seconds += time.process_time() - began


def measure_rollout(seed: int) -> ValuesBySize:
    """One change to all fronts, its watch of 10 s a share kept, and the time after it."""
    found = ValuesBySize()
    for fronts in ROLLOUT_SIZES:
        simulation = SimulatedRollout(fronts, seed)
        simulation.run_until(simulation.is_in_force_everywhere)
        in_force = simulation.now / SECOND
        simulation.run_until(lambda some=simulation: some.rollout.plan.stage is RolloutStage.DONE)  # type: ignore[misc]
        ended = simulation.now / SECOND
        sent, received, processor = (
            simulation.sent_octets,
            simulation.received_octets,
            simulation.holder_cpu_seconds,
        )
        quiet_until = simulation.now + QUIET_TIME_NS
        simulation.run_until(lambda some=simulation, until=quiet_until: some.now >= until)  # type: ignore[misc]
        quiet = (simulation.sent_octets - sent) / (QUIET_TIME_NS / SECOND)
        found[fronts] = (
            in_force, ended, sent / ended / KB, received / ended / KB, 100 * processor / ended, quiet / KB,
        )  # fmt: skip
    return found


def measure_catalogue(seed: int) -> ValuesBySize:
    """One title of a catalogue changed: what travels to each front, and what a front spends on it beside its loop."""
    rng, found = Random(seed), ValuesBySize()
    for count in TITLE_SIZES:
        titles = {f"lesson-{i}": random_title(rng) for i in range(count)}
        before = Catalogue(1, "before", dict(titles), False)
        text = format_catalogue((titles | {"lesson-0": random_title(rng)}).items(), False)
        began = time.process_time()
        parsed = read_catalogue(text)
        formatted = format_catalogue(parsed.titles.items(), parsed.others)
        after = Catalogue(2, text_digest(formatted), parsed.titles, False)
        names = changed_titles(before, after)
        processor = time.process_time() - began
        assert names == ["lesson-0"]
        tracemalloc.start()
        held = read_catalogue(text)
        memory = tracemalloc.get_traced_memory()[0] / MB
        tracemalloc.stop()
        assert len(held.titles) == count
        found[count] = len(text) / KB, 1e3 * processor, memory
    return found


def random_title(rng: Random) -> CatalogueTitle:
    """A title on some nodes, in three renditions."""
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
