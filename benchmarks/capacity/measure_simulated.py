"""Slopes of today's decisions among front ends, on simulated links: leases, loads told, slow start, takeover.

Processor time is this machine's own; octets, times and shares are simulated and the same for the same seed.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from random import Random

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity.experiments import Experiment, Quantity
from benchmarks.capacity.targets import TARGET
from benchmarks.cold_ramp import LOADS, SETTINGS, Day
from benchmarks.figures import play
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
TAKEOVER_TIMEOUT_S = 120
NOTE_OCTETS = 120
IP_UDP_HEADER_OCTETS = 28
KB = 1e3

ValuesBySize = dict[int, Sequence[float]]


def measure_each_size(
    sizes: Sequence[int], measure: Callable[[int, int], Sequence[float]]
) -> Callable[[int], ValuesBySize]:
    """An experiment that begins anew at each size."""
    return lambda seed: {size: measure(size, seed) for size in sizes}


def measure_leases(size: int, seed: int) -> Sequence[float]:
    """One lease under five quorum members in a quiet time: messages a second of all."""
    simulation = LeaseSimulation(size, ACCEPTOR_COUNT, TERM_NS, LOSS, seed)
    if not simulation.run(20 * SECOND, lambda: bool(simulation.terms_begun)):
        raise RuntimeError("nobody took the lease")
    simulation.run(5 * TERM_NS)
    simulation.message_count = 0
    simulation.run(10 * TERM_NS)
    messages = simulation.message_count / (10 * TERM_NS / SECOND)
    return messages, messages / ACCEPTOR_COUNT * lease_message_octets() / KB


def lease_message_octets() -> float:
    """A question and its answer on the wire, with a plan on record as a rollout has it: the mean of the two."""
    codec, note = LeaseCodec("oakcroft", KeyRing((b"k" * 32,))), LeaseNote(7, 1, b"p" * NOTE_OCTETS)
    term = LeaseTerm(7, "front-0001", 1)
    question = codec.encode_request(
        "front-0001", 1, LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", term, 9, TERM_NS, note)
    )
    epochs = tuple((f"front-{i:04}", 1) for i in range(ACCEPTOR_COUNT - 1))
    reply = LeaseAnswer(
        LeaseMessageKind.ACCEPTED, "catalogue", "front-0002", 1, 7, 9, 7, term, TERM_NS, note, epochs
    )
    return (len(question) + len(codec.encode_answer("front-0002", 1, reply))) / 2 + IP_UDP_HEADER_OCTETS


def measure_load_sharing(size: int, seed: int) -> Sequence[float]:
    """As many nodes as fronts: what a front sends, age of what it knows, and its processor time."""
    found = play(size, size, LOSS, seed=seed)
    return found.kilobytes, found.ages[1], found.core_ms / 10


def measure_cold_setups(size: int, seed: int) -> Sequence[float]:
    """Half of the nodes replaced: how much of their cold budget the fronts use, over how much one front alone uses that
    has the same requests a node."""
    alone, used = (Day(SETTINGS[0], fronts, LOADS[0], seed).play()[3] for fronts in (1, size))
    return used / alone, used


def measure_takeover(size: int, seed: int) -> Sequence[float]:
    """The largest zone's fronts gone, as many nodes as fronts: until one front has asked all that are its to ask."""
    rng = Random(seed)
    names, nodes = [f"f{i}" for i in range(size)], [f"n{i}" for i in range(size)]
    rng.shuffle(names)
    me, lost = names[-1], names[: max(1, round(size / TARGET.zones * assumed.LARGEST_ZONE_OVER_MEAN.value))]
    takeover = SessionTakeover(me, TakeoverBounds(0, TAKEOVER_TIMEOUT_S * SECOND, 10_000))
    takeover.update_nodes(nodes, 0)
    takeover.update_fronts((), names, 0)
    takeover.update_fronts(lost, [name for name in names if name not in lost], 0)
    now = last = 0
    began = time.process_time()
    while now - last <= scan_time(takeover) and now < TAKEOVER_TIMEOUT_S * SECOND:
        now += TURN_NS
        for request in takeover.due_requests(now):
            takeover.request_finished(
                request, {pair.front.name: TakeoverAnswer.CALLER_NOT_ELIGIBLE for pair in request.tasks}, now
            )
            last = now
    return last / SECOND, 100 * (time.process_time() - began) / (now / SECOND), len(lost) * size


def scan_time(takeover: SessionTakeover) -> int:
    """In what time all pairs that are left have been looked at, and all lines computed."""
    lines = HASH_SLOTS_PER_NODE * len(takeover.listed_nodes) // MAX_ORDERS_COMPUTED
    return TURN_NS * (lines + len(takeover.tasks) // MAX_TASKS_SCANNED + 2)


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
