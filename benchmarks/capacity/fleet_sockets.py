"""The fleet over real datagrams and streams on 127.0.0.0/8, beside the same fleet simulated.

A check of the simulation: its octets, datagrams, processor time and memory a front end against those of real processes
with dozens of front ends each. Bounded in processes and in time; the children are ended by their own handles.
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
from benchmarks.capacity.network import LinkTerms, NetworkTerms
from benchmarks.capacity.topology import LOOPBACK_NETWORK, Topology
from oakcroft.interface import MS, SECOND

MAX_PROCESSES = 64
START_SECONDS = 20.0
QUIET_SECONDS = 20.0
READY_TIMEOUT_SECONDS = 60.0
RESULT_SLACK_SECONDS = 60.0
"""Seconds beyond the time that a process's front ends run."""

LOOPBACK_LINK = LinkTerms(MS // 20, MS // 2, 0.0)
"""Loopback between busy processes: some tenths of a millisecond, and nothing is lost."""

MAX_RELATIVE_DIFFERENCE = 0.1
"""Streams of the quiet part are told and not judged by themselves: with some forty of them chance alone makes a
sixth; all octets together are judged."""


class SocketFleetError(RuntimeError):
    """A process of the fleet did not start, or did not end in time."""


@dataclass(frozen=True)
class Load:
    """Means a front end over one part of a run. `processor`: share of a core."""

    datagrams_per_second: float
    datagram_octets_per_second: float
    stream_octets_per_second: float
    processor: float

    @property
    def octets_per_second(self) -> float:
        """Datagrams and streams."""
        return self.datagram_octets_per_second + self.stream_octets_per_second


@dataclass(frozen=True)
class FleetLoads:
    """The parts of a run, and memory a front end at its end."""

    start: Load
    quiet: Load
    state_octets: float
    members: tuple[int, int]


@contextmanager
def _processes(tasks: Sequence[HostTask]) -> Iterator[list[subprocess.Popen[str]]]:
    """A process for each task; all are ended on the way out."""
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
    each = -(-front_ends // processes)
    return [
        HostTask(
            membership,
            front_ends,
            first,
            min(each, front_ends - first),
            seed,
            key_file,
            START_SECONDS,
            QUIET_SECONDS,
        )
        for first in range(0, front_ends, each)
    ]


def run_processes(membership: str, front_ends: int, processes: int, seed: int) -> list[HostResult]:
    """Plays the fleet over sockets. SocketFleetError where a process fails."""
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
    except subprocess.TimeoutExpired as late:
        raise SocketFleetError(f"process {process.pid} did not end in time") from late
    if not text.strip():
        raise SocketFleetError(f"process {process.pid} ended with {process.returncode} and no result")
    return msgspec.json.decode(text.strip().splitlines()[-1], type=HostResult)


def socket_loads(results: Sequence[HostResult], front_ends: int) -> FleetLoads:
    """The means of all processes' front ends."""

    def load(begin: str, end: str, took: float) -> Load:
        def grown(field: str) -> float:
            total = sum(getattr(getattr(r, end), field) - getattr(getattr(r, begin), field) for r in results)
            return float(total) / front_ends / took

        return Load(
            grown("datagrams"), grown("datagram_octets"), grown("stream_octets"), grown("processor_seconds")
        )

    resident = sum(r.ended.resident_octets - r.before.resident_octets for r in results) / front_ends
    members = (min(r.members[0] for r in results), max(r.members[1] for r in results))
    return FleetLoads(
        load("before", "started", START_SECONDS), load("started", "ended", QUIET_SECONDS), resident, members
    )


class _Totals:
    """Totals of a simulated fleet at one time."""

    def __init__(self, simulation: FleetSimulation) -> None:
        traffic = [front.traffic for front in simulation.fronts]
        self.datagrams = sum(one.datagrams_sent for one in traffic)
        self.datagram_octets = sum(one.datagram_octets for one in traffic)
        self.stream_octets = sum(one.stream_octets for one in traffic)
        received = sum(one.datagrams_received for one in traffic)
        coding = simulation.sampler.coding_ns(self.datagrams, received)
        self.busy_ns = sum(front.busy_ns for front in simulation.fronts) + coding

    def load(self, before: _Totals | None, front_ends: int, took: float) -> Load:
        """The means since an earlier time."""
        base = (0, 0, 0, 0.0)
        if before is not None:
            base = (before.datagrams, before.datagram_octets, before.stream_octets, before.busy_ns)
        each = front_ends * took
        return Load(
            (self.datagrams - base[0]) / each,
            (self.datagram_octets - base[1]) / each,
            (self.stream_octets - base[2]) / each,
            (self.busy_ns - base[3]) / SECOND / each,
        )


def simulated_loads(make: Callable[[Topology], Implementation], front_ends: int, seed: int) -> FleetLoads:
    """The same fleet on simulated links as fast as loopback."""
    topology = Topology(front_ends, first_octet=LOOPBACK_NETWORK)
    terms = NetworkTerms(LOOPBACK_LINK, LOOPBACK_LINK, LOOPBACK_LINK, 0)
    started_at, ended_at = round(START_SECONDS * SECOND), round((START_SECONDS + QUIET_SECONDS) * SECOND)
    simulation = FleetSimulation(topology, terms, make(topology), seed, ended_at)
    simulation.start_all()
    simulation.run(started_at)
    started = _Totals(simulation)
    simulation.run(ended_at)
    ended = _Totals(simulation)
    running = [front for front in simulation.fronts if front.membership is not None]
    listed = [_listed_in_pool(front, topology, simulation.implementation) for front in running]
    return FleetLoads(
        started.load(None, front_ends, START_SECONDS),
        ended.load(started, front_ends, QUIET_SECONDS),
        private_octets(_state(running[len(running) // 2])),
        (min(listed), max(listed)),
    )


def _state(front: SimulatedFront) -> object:
    assert front.membership is not None
    return front.membership.state()


def _listed_in_pool(front: SimulatedFront, topology: Topology, implementation: Implementation) -> int:
    """How many a front end lists of those that its flat membership is for: the fleet, or its zone."""
    assert front.membership is not None
    is_flat = implementation.name == FlatImplementation.name
    pool = topology.sites if is_flat else topology.zone_members(front.site.zone)
    return sum(front.membership.is_listed(site.name) for site in pool)


def compare_loads(simulated: FleetLoads, real: FleetLoads) -> list[ReportLine]:
    """Both beside each other. Octets and datagrams are judged; processor time and memory are told."""
    found = []
    for part, one, other in (
        ("start", simulated.start, real.start),
        ("quiet", simulated.quiet, real.quiet),
    ):
        found += [
            _line(f"{part}, datagrams/s", one.datagrams_per_second, other.datagrams_per_second, True),
            _line(
                f"{part}, datagram B/s",
                one.datagram_octets_per_second,
                other.datagram_octets_per_second,
                True,
            ),
            _line(
                f"{part}, stream B/s",
                one.stream_octets_per_second,
                other.stream_octets_per_second,
                part == "start",
            ),
            _line(f"{part}, all B/s", one.octets_per_second, other.octets_per_second, True),
            _line(f"{part}, % of a core", 100 * one.processor, 100 * other.processor, False),
            _host_line(f"{part}, host's work", one, other),
        ]
    found.append(_line("memory, kB", simulated.state_octets / 1e3, real.state_octets / 1e3, False))
    found.append(ReportLine("members listed", f"simulated {simulated.members}, sockets {real.members}"))
    return found


def _host_line(name: str, simulated: Load, real: Load) -> ReportLine:
    """What the simulation leaves out: system calls, tasks and timers."""
    each_way = 2 * real.datagrams_per_second
    cost = (real.processor - simulated.processor) / each_way * SECOND / MICROSECOND_NS if each_way else 0.0
    return ReportLine(name, f"{cost:.0f} us a datagram sent or received, which the simulation does not have")


def _line(name: str, simulated: float, real: float, judged: bool) -> ReportLine:
    difference = simulated / real - 1 if real else float("inf") if simulated else 0.0
    within = abs(difference) <= MAX_RELATIVE_DIFFERENCE
    text = f"simulated {simulated:.3f}, sockets {real:.3f}, difference {difference:+.1%}"
    if not judged:
        return ReportLine(name, text + ("" if within else "; over 10%, not judged"))
    return ReportLine(name, text, within)
