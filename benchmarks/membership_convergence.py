"""Measures how soon a fleet detects a crash and agrees after joins, mass crashes and partitions, and what that costs.

The members run on a simulated network; the same seed gives the same result. Compared with an all-to-all heartbeat.

    python -m benchmarks.membership_convergence [--sizes 5,50,200] [--losses 0,0.05,0.2] [--crashes 20]
        [--hours 0] [--plot FILE]

All results are simulated except the processor time, which the members used on this machine.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

import click

from benchmarks.membership_measurements import Row, measure
from benchmarks.results import quantile
from oakcroft.interface import SECOND
from oakcroft.rehearsal.membership_simulation import HEADER_BYTES

HEARTBEAT_INTERVAL_NS = SECOND
MISSED_HEARTBEATS = 5
"""After so many a member is taken for failed. With 20% loss the chance to miss five in a row is 3 in 10,000."""
MAX_LOST_HEARTBEATS = 13
"""Heartbeats before a crash that are looked at; if all were lost, the last one counts as received at time 0."""


def format_cells(*cells: object) -> str:
    """Returns a line of the table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def format_distribution(values: list[float]) -> str:
    """Returns the median, the 99th percentile and the maximum."""
    return f"{quantile(values, 0.5):.1f}, {quantile(values, 0.99):.1f}, {max(values):.1f}"


def format_row(row: Row) -> str:
    """Returns a row as a line of the table."""
    settle_times = (row.join, row.mass_failure, row.mass_rejoin, row.partition_heal)
    return format_cells(
        row.size,
        f"{row.loss:.0%}",
        format_distribution(row.first_detections),
        format_distribution(row.full_detections),
        f"{row.false_failures} in {row.quiet_hours:.2f} h",
        *(f"{seconds:.1f}" for seconds in settle_times),
        f"{row.datagrams:.1f}",
        f"{row.octets / 1e3:.2f}",
        f"{row.processor_seconds * 1e3:.1f}",
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
            for step in range(
                MAX_LOST_HEARTBEATS
            ):  # backwards to the last one before the crash that was received
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
            click.echo(format_row(rows[-1]))
    click.echo("\nPlain heartbeat, every second from all to all, gone after five:\n\n" + HEAD)
    for size in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            click.echo(heartbeat_row(size, loss, crashes, seed))
    if file is not None:
        plot(rows, file)


if __name__ == "__main__":
    main()
