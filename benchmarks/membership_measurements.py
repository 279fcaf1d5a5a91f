"""Measurements of a simulated fleet's membership: crashes, joins, mass crashes, partitions and quiet times."""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random

import click

from oakcroft.decisions.membership.member import MemberState
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.membership_simulation import SimulatedNetwork, settled_network

KILLED_SHARE = 0.7
SEEDS = (("host-f0", 1), ("host-f1", 1))


@dataclass
class Row:
    """The results of one size and loss. Times in seconds; traffic and processor time per front and second."""

    size: int
    loss: float
    first_detections: list[float]
    """Time from each crash until the first member sees it."""
    full_detections: list[float]
    """Time from each crash until all members see it."""
    false_failures: int
    quiet_hours: float
    join: float
    mass_failure: float
    """Time to agree after most members were killed."""
    mass_rejoin: float
    """Time to agree after these were restarted."""
    partition_heal: float
    datagrams: float
    octets: float
    processor_seconds: float


def measure_crash(network: SimulatedNetwork, name: str) -> tuple[float, float]:
    """Kills a member; returns the seconds until the first member and until all members see it as failed."""
    network.state_changes.clear()
    killed_at = network.now
    network.kill(name)
    if not network.run(60 * SECOND, lambda: network.all_see({name}, MemberState.FAILED)):
        raise click.ClickException(f"{name} was not seen as gone by all within a minute")
    first_seen_at = min(
        at for at, _, member, _, state in network.state_changes if member == name and state == "gone"
    )
    return (first_seen_at - killed_at) / SECOND, (network.now - killed_at) / SECOND


def measure_settling(network: SimulatedNetwork) -> float:
    """Returns the seconds until all members see exactly the running ones as alive; infinite after two minutes."""
    began = network.now
    if not network.run(120 * SECOND, network.is_settled):
        return float("inf")
    return (network.now - began) / SECOND


def count_false_failures(network: SimulatedNetwork, dead: set[str]) -> int:
    """Returns how often a member saw a running one as failed."""
    return sum(state == "gone" and member not in dead for _, _, member, _, state in network.state_changes)


@dataclass
class QuietTraffic:
    """The cost of a time without changes, per front and second."""

    datagrams: float
    octets: float
    processor_seconds: float


def measure_quiet_time(network: SimulatedNetwork, seconds: float) -> QuietTraffic:
    """Measures a time without crashes and joins."""
    size = len(network.processes)
    for process in network.processes.values():
        process.messages = 0
        process.octets = 0
    network.state_changes.clear()
    processor_before = time.process_time()
    network.run(round(seconds * SECOND))
    processor_seconds = time.process_time() - processor_before
    return QuietTraffic(
        datagrams=sum(process.messages for process in network.processes.values()) / size / seconds,
        octets=sum(process.octets for process in network.processes.values()) / size / seconds,
        processor_seconds=processor_seconds / seconds / size,
    )


@dataclass
class CrashDetections:
    """What single crashes showed, one after the other. Times in seconds."""

    first: list[float]
    full: list[float]
    false_failures: int


def measure_crashes(network: SimulatedNetwork, crashes: int, rng: Random) -> CrashDetections:
    """Kills random members one after the other; each is restarted before the next is killed."""
    found = CrashDetections([], [], 0)
    for _ in range(crashes):
        name = f"f{rng.randrange(len(SEEDS), len(network.processes))}"
        first, full = measure_crash(network, name)
        found.first.append(first)
        found.full.append(full)
        found.false_failures += count_false_failures(network, {name})
        network.add(name, SEEDS)
        network.run(5 * SECOND)
    return found


def measure_mass_crash(network: SimulatedNetwork, rng: Random) -> tuple[float, float, int]:
    """Kills most members and restarts them.

    Returns the times to agree after the crash and after the restart, and the number of false failures.
    """
    size = len(network.processes)
    candidates = [f"f{i}" for i in range(len(SEEDS), size)]
    killed = set(rng.sample(candidates, max(1, round(KILLED_SHARE * size) - 1)))
    network.state_changes.clear()
    for name in killed:
        network.kill(name)
    after_crash_s = measure_settling(network)
    false_failures = count_false_failures(network, killed)
    network.run(5 * SECOND)
    network.state_changes.clear()
    for name in sorted(killed):
        network.add(name, SEEDS)
    return after_crash_s, measure_settling(network), false_failures


def measure_partition(network: SimulatedNetwork) -> tuple[float, int]:
    """Separates two halves for 40 s; returns the time to agree after the heal, and the number of false failures."""
    half = {f"f{i}" for i in range(len(network.processes) // 2)}
    network.state_changes.clear()
    network.cut = lambda one, other: (one in half) != (other in half)
    network.run(40 * SECOND)
    network.cut = lambda _one, _other: False
    heal_s = measure_settling(network)
    false_failures = sum(
        state == "gone" and (observer in half) == (member in half)
        for _, observer, member, _, state in network.state_changes
    )
    return heal_s, false_failures


def measure(size: int, loss: float, crashes: int, seed: int, hours: float) -> Row:
    """Measures one row of the table."""
    network = settled_network(size, seed, loss)
    rng = Random(seed)
    network.run(60 * SECOND)  # until the gossip of the joins has ended
    quiet_seconds = max(60.0, hours * 3600)
    quiet = measure_quiet_time(network, quiet_seconds)
    false_failures = count_false_failures(network, set())
    detections = measure_crashes(network, crashes, rng)
    network.run(10 * SECOND)
    mass_failure, mass_rejoin, false_in_crash = measure_mass_crash(network, rng)
    network.run(10 * SECOND)
    partition_heal, false_in_partition = measure_partition(network)
    false_failures += detections.false_failures + false_in_crash + false_in_partition
    joined = settled_network(size, seed + 1, loss)
    return Row(
        size=size,
        loss=loss,
        first_detections=detections.first,
        full_detections=detections.full,
        false_failures=false_failures,
        quiet_hours=quiet_seconds / 3600,
        join=(joined.now - 500 * MS) / SECOND,
        mass_failure=mass_failure,
        mass_rejoin=mass_rejoin,
        partition_heal=partition_heal,
        datagrams=quiet.datagrams,
        octets=quiet.octets,
        processor_seconds=quiet.processor_seconds,
    )
