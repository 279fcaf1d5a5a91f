"""Measures how soon a fleet detects a crash and agrees after joins, mass crashes and partitions, and what that costs.

The members run on a simulated network; the same seed gives the same result. Compared with an all-to-all heartbeat.

    python -m benchmarks.membership_convergence [--sizes 5,50,200] [--losses 0,0.05,0.2] [--crashes 20]
        [--hours 0] [--plot FILE]

All results are simulated except the processor time, which the members used on this machine.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import click

from benchmarks.results import quantile
from oakcroft.decisions.membership.member import MemberState
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.membership_simulation import HEADER_BYTES, SimulatedNetwork, settled_network

HEARTBEAT_INTERVAL_NS = SECOND
MISSED_HEARTBEATS = 5
"""After so many a member is taken for failed. With 20% loss the chance to miss five in a row is 3 in 10,000."""
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

    def format(self) -> str:
        """Returns the row as a line of the table."""
        settle_times = (self.join, self.mass_failure, self.mass_rejoin, self.partition_heal)
        return format_cells(
            self.size,
            f"{self.loss:.0%}",
            format_distribution(self.first_detections),
            format_distribution(self.full_detections),
            f"{self.false_failures} in {self.quiet_hours:.2f} h",
            *(f"{seconds:.1f}" for seconds in settle_times),
            f"{self.datagrams:.1f}",
            f"{self.octets / 1e3:.2f}",
            f"{self.processor_seconds * 1e3:.1f}",
        )


def format_cells(*cells: object) -> str:
    """Returns a line of the table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def format_distribution(values: list[float]) -> str:
    """Returns the median, the 99th percentile and the maximum."""
    return f"{quantile(values, 0.5):.1f}, {quantile(values, 0.99):.1f}, {max(values):.1f}"


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


def heartbeat_row(size: int, loss: float, crashes: int, seed: int) -> str:
    """Returns the row of the compared heartbeat.

    Each member sends a heartbeat to all others every second; one that misses five in a row is taken for failed.
    """
    rng = Random(seed)
    first_detections = list[float]()
    full_detections = list[float]()
    interval_s = HEARTBEAT_INTERVAL_NS / SECOND
    for _ in range(crashes):
        crashed_at = rng.random()
        detections = list[float]()
        for _other in range(size - 1):
            phase = rng.random()
            last_received_at = 0.0
            for step in range(13):  # backwards to the last heartbeat before the crash that was received
                if phase - step <= crashed_at and rng.random() >= loss:
                    last_received_at = phase - step
                    break
            detections.append(last_received_at + MISSED_HEARTBEATS * interval_s - crashed_at)
        first_detections.append(min(detections))
        full_detections.append(max(detections))
    datagrams = (size - 1) / interval_s
    false_failures = f"{loss**MISSED_HEARTBEATS * size * (size - 1) * 3600:.0f} an hour, reckoned"
    return format_cells(
        size,
        f"{loss:.0%}",
        format_distribution(first_detections),
        format_distribution(full_detections),
        false_failures,
        *[""] * 4,
        f"{datagrams:.0f}",
        f"{datagrams * HEADER_BYTES / 1e3:.1f}",
        "",
    )


COLUMNS = (
    "fronts",
    "loss",
    "crash known to the first, s (p50, p99, most)",
    "to all",
    "living called gone",
    "join",
    "70% killed",
    "all back",
    "heal",
    "datagrams/s",
    "kB/s",
    "ms of a core a s",
)
HEAD = format_cells(*COLUMNS) + "\n" + format_cells(*["---"] * len(COLUMNS))


def plot(rows: list[Row], file: Path) -> None:
    """Draws the settling times over the size. Needs matplotlib, which is no requirement of the project."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for loss in sorted({row.loss for row in rows}):
        rows_of_loss = [row for row in rows if row.loss == loss]
        sizes = [row.size for row in rows_of_loss]
        crash_times = [quantile(row.full_detections, 0.99) for row in rows_of_loss]
        mass_failure_times = [row.mass_failure for row in rows_of_loss]
        heal_times = [row.partition_heal for row in rows_of_loss]
        axes.plot(sizes, crash_times, marker="o", label=f"crash, p99, loss {loss:.0%}")
        axes.plot(sizes, mass_failure_times, marker="s", ls="--", label=f"70% killed, loss {loss:.0%}")
        axes.plot(sizes, heal_times, marker="^", ls=":", label=f"heal, loss {loss:.0%}")
    axes.set_xscale("log")
    axes.set_xlabel("fronts")
    axes.set_ylabel("seconds until all agree (simulated)")
    axes.legend()
    figure.savefig(file)


@click.command()
@click.option("--sizes", default="5,50,200")
@click.option("--losses", default="0,0.05,0.2")
@click.option("--crashes", default=20, help="In each row.")
@click.option("--seed", default=1)
@click.option("--hours", default=0.0, help="Simulated, quiet, in each row; a minute at least.")
@click.option("--plot", "file", type=click.Path(path_type=Path), help="Draw into this file (matplotlib).")
def main(sizes: str, losses: str, crashes: int, seed: int, hours: float, file: Path | None) -> None:
    """Measures and prints the tables."""
    click.echo(HEAD)
    rows = []
    for size in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            rows.append(measure(size, loss, crashes, seed, hours))
            click.echo(rows[-1].format())
    click.echo("\nPlain heartbeat, every second from all to all, gone after five:\n\n" + HEAD)
    for size in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            click.echo(heartbeat_row(size, loss, crashes, seed))
    if file is not None:
        plot(rows, file)


if __name__ == "__main__":
    main()
