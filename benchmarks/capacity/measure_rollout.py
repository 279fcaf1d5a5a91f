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
LATENCY = (MS, 5 * MS)
IP_UDP = 28
GIVE_UP = 300 * SECOND
QUIET = 60 * SECOND
HOLDERS, NODES = 4, 2_700
KB, MB = 1e3, 1e6

Found = dict[int, Sequence[float]]


class SimulatedRollout:
    """One lease holder and its fronts. The holder's decisions, codec and pace are the program's; fronts do as they are
    told at once, and texts take no time: what is left is what staging alone costs."""

    def __init__(self, fronts: int, seed: int) -> None:
        """A rollout that begins now."""
        self.rng, self.now, self.number = Random(seed), 0, 0
        self.names = [f"front-{i:04}" for i in range(fronts)]
        self.places = {name: i for i, name in enumerate(self.names)}
        self.codec = LeaseCodec("oakcroft", KeyRing((b"k" * 32,)))
        new, base = (format_catalogue([(name, CatalogueTitle())], False) for name in ("new", "base"))
        self.rollout = Rollout(RolloutPlan(1, text_digest(new), text_digest(base), RolloutStage.HANDED, 1, 0))
        self.in_force = dict.fromkeys(self.names, self.rollout.plan.base_digest)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.sent = self.received = 0
        self.processor = 0.0

    def play(self, ended: Callable[[], bool]) -> None:
        """Until something holds. RuntimeError where it never does."""
        turn = round(ORDER_INTERVAL_S * SECOND)
        while not ended():
            if self.now > GIVE_UP:
                raise RuntimeError("the rollout did not end")
            self._order()
            until = self.now + turn
            while self.heap and self.heap[0][0] <= until:
                self.now, _, event = heapq.heappop(self.heap)
                event()
            self.now = until

    def everywhere(self) -> bool:
        """Whether all have the new version in force."""
        return all(digest == self.rollout.plan.digest for digest in self.in_force.values())

    def _order(self) -> None:
        """The owner's turn: on to the next stage where it is due, and an order to each front."""
        began = time.process_time()
        after = self.rollout.next_plan(self.names, self.now)
        if after is not None:
            self.rollout.set_recorded_plan(after)
        plan, to = self.rollout.plan, self.names
        if plan.stage in FINAL_STAGES:
            to = self.rollout.unconfirmed_fronts(to, self.now)
        word = Order(CATALOGUE_LEASE, 7, plan.step, encode_plan(plan))
        orders = [self.codec.encode_order(self.names[0], 1, word) for _ in to]
        self.processor += time.process_time() - began
        for name, octets in zip(to, orders, strict=True):
            self.sent += len(octets) + IP_UDP
            self._carry(lambda front=self.places[name]: self._obey(front, word))  # type: ignore[misc]

    def _carry(self, event: Callable[[], None]) -> None:
        if self.rng.random() >= LOSS:
            self.number += 1
            heapq.heappush(self.heap, (self.now + self.rng.randint(*LATENCY), self.number, event))

    def _obey(self, front: int, order: Order) -> None:
        """A front's part in `front/catalogue_rollout.py`, without its record and its text."""
        plan, name = decode_plan(order.body), self.names[front]
        takes = is_in_share(front, len(self.names), int(plan.digest, 16), plan.target_share)
        if takes and plan.stage in (RolloutStage.TAKEN, RolloutStage.DONE):
            self.in_force[name] = plan.digest
        body = ReportBody(plan.step, True, self.in_force[name], takes, "", 100, 1, False)
        octets = self.codec.encode_report(
            name, 1, OrderReport(CATALOGUE_LEASE, order.number, order.step, True, ENCODER.encode(body))
        )
        self._carry(lambda: self._heard(name, octets, body))

    def _heard(self, name: str, octets: bytes, body: ReportBody) -> None:
        self.received += len(octets) + IP_UDP
        began = time.process_time()
        opened = self.codec.ring.open(octets, self.now)
        assert opened is not None
        self.codec.decode(opened)
        report = FrontReport(
            body.step, body.has_text, body.active_digest, body.is_in_share, "", body.answers, body.failures
        )
        self.rollout.receive_report(name, report, self.now)
        self.processor += time.process_time() - began


def rollout(seed: int) -> Found:
    """One change to all fronts, its watch of 10 s a share kept, and the time after it."""
    found = Found()
    for fronts in ROLLOUT_SIZES:
        played = SimulatedRollout(fronts, seed)
        played.play(played.everywhere)
        in_force = played.now / SECOND
        played.play(lambda some=played: some.rollout.plan.stage is RolloutStage.DONE)  # type: ignore[misc]
        ended = played.now / SECOND
        sent, received, processor = played.sent, played.received, played.processor
        quiet_until = played.now + QUIET
        played.play(lambda some=played, until=quiet_until: some.now >= until)  # type: ignore[misc]
        quiet = (played.sent - sent) / (QUIET / SECOND)
        found[fronts] = (
            in_force, ended, sent / ended / KB, received / ended / KB, 100 * processor / ended, quiet / KB,
        )  # fmt: skip
    return found


def texts(seed: int) -> Found:
    """One title of a catalogue changed: what travels to each front, and what a front spends on it beside its loop."""
    rng, found = Random(seed), Found()
    for count in TITLE_SIZES:
        titles = {f"lesson-{i}": item(rng) for i in range(count)}
        before = Catalogue(1, "before", dict(titles), False)
        text = format_catalogue((titles | {"lesson-0": item(rng)}).items(), False)
        began = time.process_time()
        said = read_catalogue(text)
        laid_out = format_catalogue(said.titles.items(), said.others)
        after = Catalogue(2, text_digest(laid_out), said.titles, False)
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


def item(rng: Random) -> CatalogueTitle:
    """A title on some nodes, in three renditions."""
    holders = tuple(f"node-{n:05}" for n in rng.sample(range(NODES), HOLDERS))
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
        rollout,
    ),
    Experiment(
        "catalogue", "titles of the catalogue", "measured",
        (
            Quantity("catalogue.octets", "whole text that travels to a front for any change", "kB"),
            Quantity("catalogue.processor", "processor time of a front for a change of one title", "ms"),
            Quantity("catalogue.memory", "memory of one version at a front, without its text", "MB"),
        ),
        texts,
    ),
)  # fmt: skip
