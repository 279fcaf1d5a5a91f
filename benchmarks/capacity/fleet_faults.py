"""Faults of a simulated fleet and their schedule."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from benchmarks.capacity.fleet_front import SimulatedFront
from benchmarks.capacity.fleet_simulation import FleetSimulation
from oakcroft.interface import MS, SECOND

MINUTE_NS = 60 * SECOND
DAY_NS = 86_400 * SECOND

WHOLE_START_NS = 20 * SECOND
"""Events within this time of a whole start are reported as part of the start."""

FAULT_BEGIN_NS = 45 * SECOND
"""After a whole start, by when the last lists have settled, and a quiet time."""

PRELOADED_FAULT_BEGIN_NS = 12 * SECOND

OBSERVATION_NS = 25 * SECOND
"""Time left after the last event, so that each event can be judged by the goal to be known everywhere within 20 s."""

RACKS_PER_ZONE = 10
"""The failure of a rack or its switch takes down a tenth of the zone."""

RESTART_NS = 2 * SECOND
"""Between the end of a process and the start of the next one at its site."""

LEAVE_NOTICES_NS = 150 * MS
"""Time that a process takes to announce that it leaves."""

REPAIR_NS = 60 * SECOND
"""Time until the front end of a failed machine is started again, on another machine under the same name."""

# The users' figures for an ordinary day.
FAILURES_PER_DAY = 25
RESTARTS_PER_DAY = 600


class Fault(Enum):
    """The kind of fault to simulate."""

    NONE = "none"
    REGION = "region"
    ZONE = "zone"
    RACK = "rack"
    RELEASE = "release"
    CHURN = "churn"


@dataclass(frozen=True)
class FaultParameters:
    """A fault and its size.

    `duration`: of a region's cut or a zone's loss. `restarts_per_minute`: of a release. `speed_up`: factor on the
    failures and restarts of an ordinary day.
    """

    fault: Fault
    duration: int
    restarts_per_minute: float
    speed_up: float


@dataclass(frozen=True)
class Phase:
    """A part of a run that has lines of its own in the report."""

    name: str
    begin: int
    end: int


class DurationError(ValueError):
    """The run is too short for its fault."""


def phases(parameters: FaultParameters, duration: int, preloaded: bool) -> list[Phase]:
    """The phases of a run: whole start, quiet, fault, and after the fault."""
    fault_begin = PRELOADED_FAULT_BEGIN_NS if preloaded else FAULT_BEGIN_NS
    start_end = 0 if preloaded else min(duration, WHOLE_START_NS)
    start_phases = [] if preloaded else [Phase("whole start", 0, start_end)]
    if parameters.fault is Fault.NONE:
        return [*start_phases, Phase("quiet", start_end, duration)]
    fault_end = _fault_end(parameters, fault_begin, duration)
    if fault_end + OBSERVATION_NS > duration or fault_end <= fault_begin:
        required_minutes = (fault_begin + OBSERVATION_NS + parameters.duration) / MINUTE_NS
        raise DurationError(f"fault {parameters.fault.value} needs {required_minutes:.2f} minutes at least")
    return [
        *start_phases,
        Phase("quiet", start_end, fault_begin),
        Phase(parameters.fault.value, fault_begin, fault_end),
        Phase("after it", fault_end, duration),
    ]


def _fault_end(parameters: FaultParameters, fault_begin: int, duration: int) -> int:
    if parameters.fault in (Fault.REGION, Fault.ZONE):
        return fault_begin + parameters.duration
    if parameters.fault is Fault.RACK:
        return fault_begin + OBSERVATION_NS
    return duration - OBSERVATION_NS


def schedule_fault(simulation: FleetSimulation, parameters: FaultParameters, run_phases: list[Phase]) -> str:
    """Schedules the events of a fault on the simulation's queue and returns a description for the report."""
    if parameters.fault is Fault.NONE:
        return "no fault"
    phase = next(phase for phase in run_phases if phase.name == parameters.fault.value)
    return _SCHEDULERS[parameters.fault](simulation, parameters, phase)


def _schedule_region(simulation: FleetSimulation, parameters: FaultParameters, phase: Phase) -> str:
    topology = simulation.topology
    region = topology.largest_region()
    simulation.queue.schedule(phase.begin, simulation.cut, region)
    simulation.queue.schedule(phase.end, simulation.heal, region)
    members = len(topology.region_members(region))
    return f"region {region + 1} of {members} front ends cut off for {parameters.duration / SECOND:g} s"


def _schedule_zone(simulation: FleetSimulation, parameters: FaultParameters, phase: Phase) -> str:
    zone = simulation.topology.largest_zone()
    members = [simulation.fronts[site.index] for site in simulation.topology.zone_members(zone)]
    random = Random(f"zone {simulation.seed}")
    for front in members:
        simulation.queue.schedule(phase.begin, simulation.crash, front)
        delay = random.randrange(SECOND) if front is not members[0] else 0
        simulation.queue.schedule(phase.end + delay, simulation.start, front)
    simulation.queue.schedule(phase.begin, simulation.record_disturbance, "loss of a zone")
    simulation.queue.schedule(phase.end, simulation.record_disturbance, "return of a zone")
    return f"zone {zone + 1} of {len(members)} front ends lost, and back after {parameters.duration / SECOND:g} s"


def _schedule_rack(simulation: FleetSimulation, _parameters: FaultParameters, phase: Phase) -> str:
    zone = simulation.topology.largest_zone()
    members = [simulation.fronts[site.index] for site in simulation.topology.zone_members(zone)]
    rack = Random(f"rack {simulation.seed}").sample(members, max(1, round(len(members) / RACKS_PER_ZONE)))
    for front in rack:
        simulation.queue.schedule(phase.begin, simulation.crash, front)
    simulation.queue.schedule(phase.begin, simulation.record_disturbance, "loss of a rack")
    return f"{len(rack)} of the {len(members)} front ends of zone {zone + 1} killed at once"


def _schedule_release(simulation: FleetSimulation, parameters: FaultParameters, phase: Phase) -> str:
    """Restarts front ends zone by zone."""
    interval = round(MINUTE_NS / parameters.restarts_per_minute)
    times = range(phase.begin, phase.end, interval)
    for position, at in enumerate(times):
        front = simulation.fronts[position % len(simulation.fronts)]
        _schedule_restart(simulation, front, at)
    simulation.queue.schedule(
        times[-1] + LEAVE_NOTICES_NS + RESTART_NS, simulation.record_disturbance, "last restart"
    )
    return f"{len(times)} restarts, {parameters.restarts_per_minute:g} a minute, zone by zone"


def _schedule_churn(simulation: FleetSimulation, parameters: FaultParameters, phase: Phase) -> str:
    random = Random(f"churn {simulation.seed}")
    span = phase.end - phase.begin
    failures = max(1, round(FAILURES_PER_DAY * parameters.speed_up * span / DAY_NS))
    restarts = max(1, round(RESTARTS_PER_DAY * parameters.speed_up * span / DAY_NS))
    affected = min(failures + restarts, len(simulation.fronts))
    for position, front in enumerate(random.sample(simulation.fronts, affected)):
        at = phase.begin + random.randrange(span)
        if position < failures:
            simulation.queue.schedule(at, simulation.crash, front)
            simulation.queue.schedule(at + REPAIR_NS, simulation.start, front)
        else:
            _schedule_restart(simulation, front, at)
    simulation.queue.schedule(phase.end, simulation.record_disturbance, "end of churn")
    speed_up = parameters.speed_up
    return (
        f"{failures} failures and {affected - failures} restarts, an ordinary day's rates times {speed_up:g}"
    )


def _schedule_restart(simulation: FleetSimulation, front: SimulatedFront, at: int) -> None:
    simulation.queue.schedule(at, simulation.stop, front)
    simulation.queue.schedule(at + LEAVE_NOTICES_NS + RESTART_NS, simulation.start, front)


_SCHEDULERS = {
    Fault.REGION: _schedule_region,
    Fault.ZONE: _schedule_zone,
    Fault.RACK: _schedule_rack,
    Fault.RELEASE: _schedule_release,
    Fault.CHURN: _schedule_churn,
}
