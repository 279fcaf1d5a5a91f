"""`python -m benchmarks.capacity fleet`: simulates thousands of front ends and compares their costs with budgets."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from dataclasses import dataclass

import click

from benchmarks.capacity.fleet_faults import DurationError, Fault, FaultParameters, phases, schedule_fault
from benchmarks.capacity.fleet_flat import FlatImplementation
from benchmarks.capacity.fleet_membership import Implementation
from benchmarks.capacity.fleet_memory import resident_octets
from benchmarks.capacity.fleet_report import ReportLine, RunMeasurements, link_line, report_lines
from benchmarks.capacity.fleet_simulation import FleetSimulation
from benchmarks.capacity.fleet_sockets import compare_loads, run_processes, simulated_loads, socket_loads
from benchmarks.capacity.fleet_zoned import ZonedImplementation
from benchmarks.capacity.network import DEFAULT_LOSS, Network, NetworkParameters
from benchmarks.capacity.network_check import sample_links
from benchmarks.capacity.topology import Topology, TopologyError
from oakcroft.interface import SECOND

IMPLEMENTATIONS: dict[str, Callable[[Topology], Implementation]] = {
    "flat": FlatImplementation,
    "zoned": ZonedImplementation,
}

DEFAULT_CUT_SECONDS = 30.0
DEFAULT_RESTARTS_PER_MINUTE = 60.0
"""A release restarts 600 front ends in an hour, ten per minute; its worst minutes are assumed at six times the mean."""

DEFAULT_SPEED_UP = 100.0
DEFAULT_WALL_SECONDS = 900.0
DEFAULT_PROCESSES = 24


@dataclass(frozen=True)
class FleetRun:
    """The parameters of one run. `alone`: nothing else runs on this machine, so that processor time is judged."""

    front_ends: int
    seed: int
    duration: int
    network: NetworkParameters
    fault: FaultParameters
    membership: str
    preloaded: bool
    alone: bool
    wall_seconds: float


def simulate(run: FleetRun) -> tuple[list[str], list[ReportLine], bool]:
    """Simulates a fleet. Returns a description of the run, the results, and whether the run finished in its wall time."""
    topology = Topology(run.front_ends)
    run_phases = phases(run.fault, run.duration, run.preloaded)
    links = link_line(sample_links(Network(topology, run.network, run.seed), topology, run.network))
    gc.disable()  # the simulation makes no reference cycles, and the search for them takes a third of its time
    try:
        before = resident_octets()
        simulation = FleetSimulation(
            topology, run.network, IMPLEMENTATIONS[run.membership](topology), run.seed, run.duration
        )
        if run.preloaded:
            simulation.preload()
        else:
            simulation.start_all()
        fault_text = schedule_fault(simulation, run.fault, run_phases)
        finished = simulation.run(run.duration, time.monotonic() + run.wall_seconds)
        simulation.propagation.finish(simulation.queue.now)
        measured = RunMeasurements(
            simulation, run_phases, simulation.queue.now, resident_octets() - before, run.alone
        )
        return _head(run, simulation, fault_text), [links, *report_lines(measured)], finished
    finally:
        gc.enable()


def _head(run: FleetRun, simulation: FleetSimulation, fault_text: str) -> list[str]:
    counts = simulation.topology.zone_counts()
    links = run.network
    return [
        f"membership {run.membership}, {run.front_ends} front ends, seed {run.seed}, simulated; {fault_text}"
        + (", preloaded" if run.preloaded else ""),
        f"{len(counts)} zones of {min(counts)} to {max(counts)} front ends in "
        f"{len(set(simulation.topology.region_of_zone))} regions; loss {links.inside_zone.loss:.1%} inside a zone, "
        f"{links.between_zones.loss:.1%} between zones, {links.between_regions.loss:.1%} between regions",
        f"played {simulation.queue.now / SECOND:g} of {run.duration / SECOND:g} s",
    ]


def parse_losses(text: str) -> tuple[float, float, float]:
    """Parses one loss for all paths, or three: inside a zone, between zones, between regions."""
    values = [float(part) for part in text.split(",")]
    if len(values) not in (1, 3) or not all(0 <= value < 1 for value in values):
        raise click.BadParameter("one share, or three with commas between")
    if len(values) == 1:
        return values[0], values[0], values[0]
    return values[0], values[1], values[2]


@click.command()
@click.option("--fronts", default=2_700, help="Front ends.")
@click.option("--seed", default=1)
@click.option("--minutes", default=2.0, help="Simulated.")
@click.option("--fault", type=click.Choice([fault.value for fault in Fault]), default=Fault.NONE.value)
@click.option("--cut-seconds", default=DEFAULT_CUT_SECONDS, help="Of a region's cut or a zone's loss.")
@click.option("--restarts", default=DEFAULT_RESTARTS_PER_MINUTE, help="A minute, of a release.")
@click.option(
    "--speed-up", default=DEFAULT_SPEED_UP, help="Of an ordinary day's failures and restarts (churn)."
)
@click.option("--membership", type=click.Choice(sorted(IMPLEMENTATIONS)), default="flat")
@click.option(
    "--loss", default=str(DEFAULT_LOSS), help="Of a datagram; or inside a zone,between zones,regions."
)
@click.option("--preloaded", is_flag=True, help="All list each other at the start: no whole start is played.")
@click.option("--alone", is_flag=True, help="Nothing else runs on this machine: processor time is judged.")
@click.option("--wall-seconds", default=DEFAULT_WALL_SECONDS, help="The run ends after so long.")
@click.option(
    "--sockets", is_flag=True, help="Over real sockets, beside the simulation; --fronts and --seed count."
)
@click.option("--processes", default=DEFAULT_PROCESSES, help="Of --sockets.")
def fleet(
    fronts: int,
    seed: int,
    minutes: float,
    fault: str,
    cut_seconds: float,
    restarts: float,
    speed_up: float,
    membership: str,
    loss: str,
    preloaded: bool,
    alone: bool,
    wall_seconds: float,
    sockets: bool,
    processes: int,
) -> None:
    """Simulates a fleet of front ends without viewers and compares the cost of control with its budgets.

    Exits 1 if a budget is missed.
    """
    if sockets:
        _compare_with_sockets(membership, fronts, seed, processes)
        return
    fault_parameters = FaultParameters(Fault(fault), round(cut_seconds * SECOND), restarts, speed_up)
    duration = round(minutes * 60 * SECOND)
    network = NetworkParameters.with_loss(*parse_losses(loss))
    run = FleetRun(
        fronts, seed, duration, network, fault_parameters, membership, preloaded, alone, wall_seconds
    )
    began = time.monotonic()
    try:
        head, found, finished = simulate(run)
    except (DurationError, TopologyError, NotImplementedError) as error:
        raise click.UsageError(str(error)) from error
    for text in (*head, *(line.show() for line in found)):
        click.echo(text)
    click.echo(f"took {time.monotonic() - began:.0f} s of wall time")
    if not finished:
        click.echo("NOT FINISHED: the wall time ran out; what stands above covers the part that was played")
    if not finished or any(line.met is False for line in found):
        raise SystemExit(1)


def _compare_with_sockets(membership: str, front_ends: int, seed: int, processes: int) -> None:
    """Prints a fleet over sockets beside the same fleet simulated; exits 1 if their traffic differs by over a tenth."""
    real = socket_loads(run_processes(membership, front_ends, processes, seed), front_ends)
    found = compare_loads(simulated_loads(IMPLEMENTATIONS[membership], front_ends, seed), real)
    click.echo(
        f"membership {membership}, {front_ends} front ends in {processes} processes, means a front end, seed {seed}"
    )
    for line in found:
        click.echo(line.show())
    if any(line.met is False for line in found):
        raise SystemExit(1)
