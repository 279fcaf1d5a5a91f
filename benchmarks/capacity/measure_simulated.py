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
KEEPERS, TERM = 5, 6 * SECOND
TURN = 50 * MS
GIVE_UP_S = 120
NOTE_OCTETS, IP_UDP = 120, 28
KB = 1e3

Found = dict[int, Sequence[float]]


def by_size(sizes: Sequence[int], measure: Callable[[int, int], Sequence[float]]) -> Callable[[int], Found]:
    """An experiment that begins anew at each size."""
    return lambda seed: {size: measure(size, seed) for size in sizes}


def leases(size: int, seed: int) -> Sequence[float]:
    """One lease under five quorum members in a quiet time: messages a second of all."""
    some = LeaseSimulation(size, KEEPERS, TERM, LOSS, seed)
    if not some.run(20 * SECOND, lambda: bool(some.terms_begun)):
        raise RuntimeError("nobody took the lease")
    some.run(5 * TERM)
    some.message_count = 0
    some.run(10 * TERM)
    messages = some.message_count / (10 * TERM / SECOND)
    return messages, messages / KEEPERS * lease_message_octets() / KB


def lease_message_octets() -> float:
    """A question and its answer on the wire, with a plan on record as a rollout has it: the mean of the two."""
    codec, note = LeaseCodec("oakcroft", KeyRing((b"k" * 32,))), LeaseNote(7, 1, b"p" * NOTE_OCTETS)
    term = LeaseTerm(7, "front-0001", 1)
    question = codec.encode_request(
        "front-0001", 1, LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", term, 9, TERM, note)
    )
    epochs = tuple((f"front-{i:04}", 1) for i in range(KEEPERS - 1))
    reply = LeaseAnswer(
        LeaseMessageKind.ACCEPTED, "catalogue", "front-0002", 1, 7, 9, 7, term, TERM, note, epochs
    )
    return (len(question) + len(codec.encode_answer("front-0002", 1, reply))) / 2 + IP_UDP


def loads(size: int, seed: int) -> Sequence[float]:
    """As many nodes as fronts: what a front sends, age of what it knows, and its processor time."""
    found = play(size, size, LOSS, seed=seed)
    return found.kilobytes, found.ages[1], found.core_ms / 10


def cold(size: int, seed: int) -> Sequence[float]:
    """Half of the nodes replaced: how much of their cold budget the fronts use, over how much one front alone uses that
    has the same requests a node."""
    alone, used = (Day(SETTINGS[0], fronts, LOADS[0], seed).play()[3] for fronts in (1, size))
    return used / alone, used


def takeover(size: int, seed: int) -> Sequence[float]:
    """The largest zone's fronts gone, as many nodes as fronts: until one front has asked all that are its to ask."""
    rng = Random(seed)
    names, nodes = [f"f{i}" for i in range(size)], [f"n{i}" for i in range(size)]
    rng.shuffle(names)
    me, lost = names[-1], names[: max(1, round(size / TARGET.zones * assumed.LARGEST_ZONE_OVER_MEAN.value))]
    course = SessionTakeover(me, TakeoverBounds(0, GIVE_UP_S * SECOND, 10_000))
    course.update_nodes(nodes, 0)
    course.update_fronts((), names, 0)
    course.update_fronts(lost, [name for name in names if name not in lost], 0)
    now = last = 0
    began = time.process_time()
    while now - last <= rotation(course) and now < GIVE_UP_S * SECOND:
        now += TURN
        for errand in course.due_requests(now):
            course.request_finished(
                errand, {pair.front.name: TakeoverAnswer.CALLER_NOT_ELIGIBLE for pair in errand.tasks}, now
            )
            last = now
    return last / SECOND, 100 * (time.process_time() - began) / (now / SECOND), len(lost) * size


def rotation(course: SessionTakeover) -> int:
    """In what time all pairs that are left have been looked at, and all lines computed."""
    lines = HASH_SLOTS_PER_NODE * len(course.listed_nodes) // MAX_ORDERS_COMPUTED
    return TURN * (lines + len(course.tasks) // MAX_TASKS_SCANNED + 2)


SIMULATED_EXPERIMENTS = (
    Experiment(
        "leases", "fronts", "simulated",
        (
            Quantity("leases.messages", "messages for one lease under five quorum members, all together", "a second"),
            Quantity("leases.octets", "sent and received by one quorum member for one lease", "kB/s"),
        ),
        by_size(LEASE_SIZES, leases),
    ),
    Experiment(
        "loads", "fronts and nodes", "simulated",
        (
            Quantity("loads.octets", "sent by a front for nodes' loads", "kB/s"),
            Quantity("loads.age", "age of what a front knows of a node, 99 in 100", "s"),
            Quantity("loads.processor", "processor time of a front", "% of a core"),
        ),
        by_size(LOAD_SIZES, loads),
    ),
    Experiment(
        "cold", "fronts", "simulated",
        (
            Quantity("cold.sent", "set-ups on cold nodes, over those of one front alone", "of it"),
            Quantity("cold.used", "part of cold nodes' budget that is used", "of it"),
        ),
        by_size(COLD_SIZES, cold),
    ),
    Experiment(
        "takeover", "fronts and nodes", "simulated",
        (
            Quantity("takeover.time", "until a front has asked all nodes that are its to ask, largest zone lost", "s"),
            Quantity("takeover.processor", "its processor time meanwhile", "% of a core"),
            Quantity("takeover.pairs", "pairs of lost front and node", "pairs"),
        ),
        by_size(TAKEOVER_SIZES, takeover),
    ),
)  # fmt: skip
