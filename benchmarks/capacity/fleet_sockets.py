"""Compares a fleet over real datagrams and streams on 127.0.0.0/8 with the same fleet simulated.

This checks the simulation: its octets, datagrams, processor time and memory per front end against those of real
processes that host dozens of front ends each. The number of processes and the run time are bounded, and each child
process is killed by its own handle.
"""

from __future__ import annotations

import secrets
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.capacity.fleet_flat import FlatImplementation
from benchmarks.capacity.fleet_front import SimulatedFront
from benchmarks.capacity.fleet_membership import Implementation
from benchmarks.capacity.fleet_memory import private_octets
from benchmarks.capacity.fleet_report import MICROSECOND_NS, ReportLine
from benchmarks.capacity.fleet_simulation import FleetSimulation
from benchmarks.capacity.fleet_socket_messages import HostResult, HostTask
from benchmarks.capacity.network import LinkParameters, NetworkParameters
from benchmarks.capacity.topology import LOOPBACK_FIRST_OCTET, Topology
from oakcroft.interface import MS, SECOND

MAX_PROCESSES = 64
START_SECONDS = 20.0
QUIET_SECONDS = 20.0
RESULT_SLACK_SECONDS = 60.0
"""Time allowed for a process's result beyond the run time of its front ends."""

LOOPBACK_LINK = LinkParameters(MS // 20, MS // 2, 0.0)
"""Loopback between busy processes: some tenths of a millisecond and no loss."""

MAX_RELATIVE_DIFFERENCE = 0.1
"""Octets of streams alone are not judged in the quiet part: it has some forty streams, whose random variation alone is a
sixth. The sum of all octets is judged."""


class SocketFleetError(RuntimeError):
    """A process of the fleet failed to start, or did not end in time."""


@dataclass(frozen=True)
class Load:
    """Means per front end over one part of a run. `processor`: share of a core."""

    datagrams_per_second: float
    datagram_octets_per_second: float
    stream_octets_per_second: float
    processor: float

    @property
    def octets_per_second(self) -> float:
        """Octets of datagrams and streams per second."""
        return self.datagram_octets_per_second + self.stream_octets_per_second


@dataclass(frozen=True)
class FleetLoads:
    """The loads of the parts of a run, and at its end the memory per front end and the range of listed members."""

    start: Load
    quiet: Load
    state_octets: float
    members: tuple[int, int]


@contextmanager
def _processes(tasks: Sequence[HostTask]) -> Iterator[list[subprocess.Popen[str]]]:
    """Starts a process for each task, and kills those that still run at the end of the context."""
    running: list[subprocess.Popen[str]] = []
    try:
        for task in tasks:
            command = [sys.executable, "-m", "benchmarks.capacity.fleet_socket_host"]
            process = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, start_new_session=False
            )
            running.append(process)
            assert process.stdin is not None
            process.stdin.write(msgspec.json.encode(task).decode() + "\n")
            process.stdin.flush()
        yield running
    finally:
        for process in running:
            if process.poll() is None:
                process.kill()
            process.wait()


def _tasks(membership: str, front_ends: int, processes: int, seed: int, key_file: str) -> list[HostTask]:
    fronts_per_process = -(-front_ends // processes)
    return [
        HostTask(
            membership,
            front_ends,
            first,
            min(fronts_per_process, front_ends - first),
            seed,
            key_file,
            START_SECONDS,
            QUIET_SECONDS,
        )
        for first in range(0, front_ends, fronts_per_process)
    ]


def run_processes(membership: str, front_ends: int, processes: int, seed: int) -> list[HostResult]:
    """Runs the fleet over sockets. Raises SocketFleetError if a process fails.

    Waits without a time limit until each process is ready.
    """
    if not 0 < processes <= MAX_PROCESSES:
        raise SocketFleetError(f"{processes} processes; 1 to {MAX_PROCESSES} are allowed")
    with tempfile.TemporaryDirectory() as folder:
        key_file = Path(folder) / "peers.key"
        key_file.write_text(secrets.token_hex(32), encoding="ascii")
        with _processes(_tasks(membership, front_ends, processes, seed, str(key_file))) as running:
            for process in running:
                assert process.stdout is not None
                if process.stdout.readline().strip() != "ready":
                    raise SocketFleetError(f"process {process.pid} did not start")
            for process in running:
                assert process.stdin is not None
                process.stdin.write("start\n")
                process.stdin.flush()
            return [_result(process) for process in running]


def _result(process: subprocess.Popen[str]) -> HostResult:
    try:
        text, _ = process.communicate(timeout=START_SECONDS + QUIET_SECONDS + RESULT_SLACK_SECONDS)
    except subprocess.TimeoutExpired as error:
        raise SocketFleetError(f"process {process.pid} did not end in time") from error
    if not text.strip():
        raise SocketFleetError(f"process {process.pid} ended with {process.returncode} and no result")
    return msgspec.json.decode(text.strip().splitlines()[-1], type=HostResult)


def socket_loads(results: Sequence[HostResult], front_ends: int) -> FleetLoads:
    """The mean loads over the front ends of all processes."""

    def load(begin: str, end: str, seconds: float) -> Load:
        """Returns the loads between two readings of each result, which are given by their names."""

        def rate(field: str) -> float:
            """Returns the mean growth of a total per front end and second."""
            total = sum(
                getattr(getattr(result, end), field) - getattr(getattr(result, begin), field)
                for result in results
            )
            return float(total) / front_ends / seconds

        return Load(
            rate("datagrams"), rate("datagram_octets"), rate("stream_octets"), rate("processor_seconds")
        )

    resident = sum(result.ended.resident_octets - result.before.resident_octets for result in results)
    fewest_members = min(result.members[0] for result in results)
    most_members = max(result.members[1] for result in results)
    return FleetLoads(
        load("before", "started", START_SECONDS),
        load("started", "ended", QUIET_SECONDS),
        resident / front_ends,
        (fewest_members, most_members),
    )


class _Totals:
    """Totals of a simulated fleet at one simulated time."""

    def __init__(self, simulation: FleetSimulation) -> None:
        traffics = [front.traffic for front in simulation.fronts]
        self.datagrams = sum(traffic.datagrams_sent for traffic in traffics)
        self.datagram_octets = sum(traffic.datagram_octets for traffic in traffics)
        self.stream_octets = sum(traffic.stream_octets for traffic in traffics)
        received = sum(traffic.datagrams_received for traffic in traffics)
        coding = simulation.sampler.coding_ns(self.datagrams, received)
        self.busy_ns = sum(front.busy_ns for front in simulation.fronts) + coding

    def load(self, before: _Totals | None, front_ends: int, seconds: float) -> Load:
        """The means since an earlier time, or since the start of the simulation."""
        base = (0, 0, 0, 0.0)
        if before is not None:
            base = (before.datagrams, before.datagram_octets, before.stream_octets, before.busy_ns)
        front_seconds = front_ends * seconds
        return Load(
            (self.datagrams - base[0]) / front_seconds,
            (self.datagram_octets - base[1]) / front_seconds,
            (self.stream_octets - base[2]) / front_seconds,
            (self.busy_ns - base[3]) / SECOND / front_seconds,
        )


def simulated_loads(
    make_implementation: Callable[[Topology], Implementation], front_ends: int, seed: int
) -> FleetLoads:
    """The loads of the same fleet on simulated links as fast as loopback."""
    topology = Topology(front_ends, first_octet=LOOPBACK_FIRST_OCTET)
    network_parameters = NetworkParameters(LOOPBACK_LINK, LOOPBACK_LINK, LOOPBACK_LINK, 0)
    started_at = round(START_SECONDS * SECOND)
    ended_at = round((START_SECONDS + QUIET_SECONDS) * SECOND)
    simulation = FleetSimulation(topology, network_parameters, make_implementation(topology), seed, ended_at)
    simulation.start_all()
    simulation.run(started_at)
    started = _Totals(simulation)
    simulation.run(ended_at)
    ended = _Totals(simulation)
    running = [front for front in simulation.fronts if front.membership is not None]
    listed = [_listed_count(front, topology, simulation.implementation) for front in running]
    return FleetLoads(
        started.load(None, front_ends, START_SECONDS),
        ended.load(started, front_ends, QUIET_SECONDS),
        private_octets(_membership_state(running[len(running) // 2])),
        (min(listed), max(listed)),
    )


def _membership_state(front: SimulatedFront) -> object:
    assert front.membership is not None
    return front.membership.state()


def _listed_count(front: SimulatedFront, topology: Topology, implementation: Implementation) -> int:
    """How many members a front end lists within the scope of its flat membership: the fleet, or its zone."""
    assert front.membership is not None
    is_flat = implementation.name == FlatImplementation.name
    sites = topology.sites if is_flat else topology.zone_members(front.site.zone)
    return sum(front.membership.is_listed(site.name) for site in sites)


def compare_loads(simulated: FleetLoads, real: FleetLoads) -> list[ReportLine]:
    """Compares the loads. Octets and datagrams are judged, processor time and memory only reported."""
    return [
        *_part_lines("start", simulated.start, real.start, judge_streams=True),
        *_part_lines("quiet", simulated.quiet, real.quiet, judge_streams=False),
        _line("memory, kB", simulated.state_octets / 1e3, real.state_octets / 1e3, judged=False),
        ReportLine("members listed", f"simulated {simulated.members}, sockets {real.members}"),
    ]


def _part_lines(part: str, simulated: Load, real: Load, judge_streams: bool) -> list[ReportLine]:
    return [
        _line(f"{part}, datagrams/s", simulated.datagrams_per_second, real.datagrams_per_second, judged=True),
        _line(
            f"{part}, datagram B/s",
            simulated.datagram_octets_per_second,
            real.datagram_octets_per_second,
            judged=True,
        ),
        _line(
            f"{part}, stream B/s",
            simulated.stream_octets_per_second,
            real.stream_octets_per_second,
            judged=judge_streams,
        ),
        _line(f"{part}, all B/s", simulated.octets_per_second, real.octets_per_second, judged=True),
        _line(f"{part}, % of a core", 100 * simulated.processor, 100 * real.processor, judged=False),
        _host_line(f"{part}, host's work", simulated, real),
    ]


def _host_line(name: str, simulated: Load, real: Load) -> ReportLine:
    """The cost per datagram that is not simulated: system calls, tasks and timers."""
    both_ways = 2 * real.datagrams_per_second
    cost = (real.processor - simulated.processor) / both_ways * SECOND / MICROSECOND_NS if both_ways else 0.0
    return ReportLine(name, f"{cost:.0f} us a datagram sent or received, which the simulation does not have")


def _line(name: str, simulated: float, real: float, judged: bool) -> ReportLine:
    difference = _relative_difference(simulated, real)
    within = abs(difference) <= MAX_RELATIVE_DIFFERENCE
    text = f"simulated {simulated:.3f}, sockets {real:.3f}, difference {difference:+.1%}"
    if not judged:
        return ReportLine(name, text + ("" if within else "; over 10%, not judged"))
    return ReportLine(name, text, within)


def _relative_difference(simulated: float, real: float) -> float:
    if real:
        return simulated / real - 1
    return float("inf") if simulated else 0.0
