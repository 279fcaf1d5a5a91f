"""Slopes of today's decisions among front ends, on simulated links: leases, load sharing, slow start, takeover.

CPU time is measured on this machine. Octets, times and shares are simulated and depend on the seed only.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from random import Random

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity.experiments import CPU_MS_PER_S_PER_PERCENT, Experiment, Quantity, ValuesBySize
from benchmarks.capacity.network import DATAGRAM_HEADER_OCTETS
from benchmarks.capacity.targets import KB, TARGET
from benchmarks.cold_ramp import LOADS, SETTINGS
from benchmarks.cold_ramp_simulation import Day
from benchmarks.load_sharing import simulate as simulate_load_sharing
from oakcroft.decisions.fleet.session_takeover import (
    MAX_ORDERS_COMPUTED,
    MAX_TASKS_SCANNED,
    HASH_SLOTS_PER_NODE,
    SessionTakeover,
    TakeoverBounds,
)
from oakcroft.decisions.fleet.session_ownership import TakeoverAnswer
from oakcroft.decisions.fleet.lease import LeaseAnswer, LeaseRequest, LeaseNote, LeaseMessageKind, LeaseTerm
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.rehearsal.lease_simulation import LeaseSimulation

LOSS = 0.01
LEASE_SIZES = (25, 50, 100, 200, 400)
LOAD_SIZES = (25, 50, 100, 200)
COLD_SIZES = (2, 5, 10, 25, 50, 100, 200)
TAKEOVER_SIZES = (100, 200, 400, 800)
ACCEPTOR_COUNT = 5
TERM_NS = 6 * SECOND
TURN_NS = 50 * MS
"""Interval at which a front decides which nodes to ask."""
TAKEOVER_TIMEOUT_S = 120
NOTE_OCTETS = 120
"""Length of a rollout plan in a lease's note."""


def measure_each_size(
    sizes: Sequence[int], measure: Callable[[int, int], Sequence[float]]
) -> Callable[[int], ValuesBySize]:
    """Returns a measurement that calls `measure` with each size and the seed."""
    return lambda seed: {size: measure(size, seed) for size in sizes}


def measure_leases(size: int, seed: int) -> Sequence[float]:
    """Measures the messages for a held lease with five quorum members, and the octets of one member."""
    simulation = LeaseSimulation(size, ACCEPTOR_COUNT, TERM_NS, LOSS, seed)
    if not simulation.run(20 * SECOND, lambda: bool(simulation.terms_begun)):
        raise RuntimeError("no front acquired the lease")
    simulation.run(5 * TERM_NS)
    simulation.message_count = 0
    simulation.run(10 * TERM_NS)
    messages = simulation.message_count / (10 * TERM_NS / SECOND)
    return messages, messages / ACCEPTOR_COUNT * lease_message_octets() / KB


def lease_message_octets() -> float:
    """Returns the mean size of a request and its answer on the wire, with a note as long as a rollout plan."""
    codec = LeaseCodec("oakcroft", KeyRing((b"k" * 32,)))
    note = LeaseNote(7, 1, b"p" * NOTE_OCTETS)
    term = LeaseTerm(7, "front-0001", 1)
    request = codec.encode_request(
        "front-0001", 1, LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", term, 9, TERM_NS, note)
    )
    epochs = tuple((f"front-{i:04}", 1) for i in range(ACCEPTOR_COUNT - 1))
    answer = LeaseAnswer(
        LeaseMessageKind.ACCEPTED, "catalogue", "front-0002", 1, 7, 9, 7, term, TERM_NS, note, epochs
    )
    encoded_answer = codec.encode_answer("front-0002", 1, answer)
    return (len(request) + len(encoded_answer)) / 2 + DATAGRAM_HEADER_OCTETS


def measure_load_sharing(size: int, seed: int) -> Sequence[float]:
    """Measures load sharing with as many nodes as fronts: sent octets, age of known loads, and CPU time of a front."""
    found = simulate_load_sharing(size, size, LOSS, seed=seed)
    _median_age, p99_age, _maximum_age = found.ages
    return found.kilobytes, p99_age, found.core_ms / CPU_MS_PER_S_PER_PERCENT


def measure_cold_setups(size: int, seed: int) -> Sequence[float]:
    """Measures which share of the cold budget the fronts use when half of the nodes are replaced.

    The first value is that share over the share that a single front with the same requests per node uses.
    """
    used_by_one = Day(SETTINGS[0], 1, LOADS[0], seed).play().used_share
    used = Day(SETTINGS[0], size, LOADS[0], seed).play().used_share
    return used / used_by_one, used


def measure_takeover(size: int, seed: int) -> Sequence[float]:
    """Measures the takeover after the loss of the largest zone, with as many nodes as fronts.

    The time ends when one front has asked all nodes that it has to ask.
    """
    rng = Random(seed)
    names = [f"f{i}" for i in range(size)]
    nodes = [f"n{i}" for i in range(size)]
    rng.shuffle(names)
    own_name = names[-1]
    zone_size = max(1, round(size / TARGET.zones * assumed.LARGEST_ZONE_OVER_MEAN.value))
    lost = names[:zone_size]
    takeover = SessionTakeover(own_name, TakeoverBounds(0, TAKEOVER_TIMEOUT_S * SECOND, 10_000))
    takeover.update_nodes(nodes, 0)
    takeover.update_fronts((), names, 0)
    takeover.update_fronts(lost, [name for name in names if name not in lost], 0)
    now = 0
    last_request_at = 0
    started_at = time.process_time()
    while now - last_request_at <= scan_time(takeover) and now < TAKEOVER_TIMEOUT_S * SECOND:
        now += TURN_NS
        for request in takeover.due_requests(now):
            takeover.request_finished(
                request, {pair.front.name: TakeoverAnswer.CALLER_NOT_ELIGIBLE for pair in request.tasks}, now
            )
            last_request_at = now
    cpu_percent = 100 * (time.process_time() - started_at) / (now / SECOND)
    return last_request_at / SECOND, cpu_percent, len(lost) * size


def scan_time(takeover: SessionTakeover) -> int:
    """Returns the time in which all remaining tasks are scanned and all orders of fronts computed, in ns."""
    order_turns = HASH_SLOTS_PER_NODE * len(takeover.listed_nodes) // MAX_ORDERS_COMPUTED
    return TURN_NS * (order_turns + len(takeover.tasks) // MAX_TASKS_SCANNED + 2)


SIMULATED_EXPERIMENTS = (
    Experiment(
        "leases", "fronts", "simulated",
        (
            Quantity("leases.messages", "messages for one lease under five quorum members, all together", "a second"),
            Quantity("leases.octets", "sent and received by one quorum member for one lease", "kB/s"),
        ),
        measure_each_size(LEASE_SIZES, measure_leases),
    ),
    Experiment(
        "loads", "fronts and nodes", "simulated",
        (
            Quantity("loads.octets", "sent by a front for nodes' loads", "kB/s"),
            Quantity("loads.age", "age of what a front knows of a node, 99 in 100", "s"),
            Quantity("loads.processor", "processor time of a front", "% of a core"),
        ),
        measure_each_size(LOAD_SIZES, measure_load_sharing),
    ),
    Experiment(
        "cold", "fronts", "simulated",
        (
            Quantity("cold.sent", "set-ups on cold nodes, over those of one front alone", "of it"),
            Quantity("cold.used", "part of cold nodes' budget that is used", "of it"),
        ),
        measure_each_size(COLD_SIZES, measure_cold_setups),
    ),
    Experiment(
        "takeover", "fronts and nodes", "simulated",
        (
            Quantity("takeover.time", "until a front has asked all nodes that are its to ask, largest zone lost", "s"),
            Quantity("takeover.processor", "its processor time meanwhile", "% of a core"),
            Quantity("takeover.pairs", "pairs of lost front and node", "pairs"),
        ),
        measure_each_size(TAKEOVER_SIZES, measure_takeover),
    ),
)  # fmt: skip
