"""What goes wrong in a simulated fleet, and when."""

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
"""What happens so soon after a whole start is counted to the start."""

FAULT_BEGIN_NS = 45 * SECOND
"""After a whole start, whose last lists settle by then, and a quiet time."""

PRELOADED_FAULT_BEGIN_NS = 12 * SECOND

OBSERVATION_NS = 25 * SECOND
"""Left at the end, so that the goal of 20 s to be known everywhere can be judged of each event."""

RACKS_PER_ZONE = 10
"""A rack or switch takes a tenth of its zone with it."""

RESTART_NS = 2 * SECOND
"""Between the last word of a front end's process and the start of the next."""

LEAVE_NOTICES_NS = 150 * MS

REPAIR_NS = 60 * SECOND
"""After which a failed machine's front end is started again (elsewhere, under its name)."""

FAILURES_PER_DAY = 25
RESTARTS_PER_DAY = 600
"""The users' figures for an ordinary day."""


class Fault(Enum):
    """What goes wrong."""

    NONE = "none"
    REGION = "region"
    ZONE = "zone"
    RACK = "rack"
    RELEASE = "release"
    CHURN = "churn"


@dataclass(frozen=True)
class FaultTerms:
    """A fault and its size. `duration`: of a region's cut or a zone's loss; `restarts_per_minute`: of a release;
    `speed_up`: of an ordinary day's failures and restarts."""

    fault: Fault
    duration: int
    restarts_per_minute: float
    speed_up: float


@dataclass(frozen=True)
class Phase:
    """A part of a run that is reported by itself."""

    name: str
    begin: int
    end: int


class DurationError(ValueError):
    """A run too short for its fault."""


def phases(terms: FaultTerms, duration: int, preloaded: bool) -> list[Phase]:
    """The parts of a run: whole start, quiet, fault, and after it."""
    begins = PRELOADED_FAULT_BEGIN_NS if preloaded else FAULT_BEGIN_NS
    start_ends = 0 if preloaded else min(duration, WHOLE_START_NS)
    parts = [] if preloaded else [Phase("whole start", 0, start_ends)]
    if terms.fault is Fault.NONE:
        return [*parts, Phase("quiet", start_ends, duration)]
    ends = _fault_ends(terms, begins, duration)
    if ends + OBSERVATION_NS > duration or ends <= begins:
        least = (begins + OBSERVATION_NS + terms.duration) / MINUTE_NS
        raise DurationError(f"fault {terms.fault.value} needs {least:.2f} minutes at least")
    parts += [Phase("quiet", start_ends, begins), Phase(terms.fault.value, begins, ends)]
    return [*parts, Phase("after it", ends, duration)]


def _fault_ends(terms: FaultTerms, begins: int, duration: int) -> int:
    if terms.fault in (Fault.REGION, Fault.ZONE):
        return begins + terms.duration
    if terms.fault is Fault.RACK:
        return begins + OBSERVATION_NS
    return duration - OBSERVATION_NS


def schedule_fault(simulation: FleetSimulation, terms: FaultTerms, parts: list[Phase]) -> str:
    """Puts a fault on the simulation's queue; says what it is."""
    if terms.fault is Fault.NONE:
        return "no fault"
    part = next(phase for phase in parts if phase.name == terms.fault.value)
    return _SCHEDULERS[terms.fault](simulation, terms, part)


def _schedule_region(simulation: FleetSimulation, terms: FaultTerms, part: Phase) -> str:
    topology = simulation.topology
    region = topology.largest_region()
    simulation.queue.schedule(part.begin, simulation.cut, region)
    simulation.queue.schedule(part.end, simulation.heal, region)
    members = len(topology.region_members(region))
    return f"region {region + 1} of {members} front ends cut off for {terms.duration / SECOND:g} s"


def _schedule_zone(simulation: FleetSimulation, terms: FaultTerms, part: Phase) -> str:
    zone = simulation.topology.largest_zone()
    members = [simulation.fronts[site.index] for site in simulation.topology.zone_members(zone)]
    chance = Random(f"zone {simulation.seed}")
    for front in members:
        simulation.queue.schedule(part.begin, simulation.crash, front)
        later = chance.randrange(SECOND) if front is not members[0] else 0
        simulation.queue.schedule(part.end + later, simulation.start, front)
    simulation.queue.schedule(part.begin, simulation.record_disturbance, "loss of a zone")
    simulation.queue.schedule(part.end, simulation.record_disturbance, "return of a zone")
    return f"zone {zone + 1} of {len(members)} front ends lost, and back after {terms.duration / SECOND:g} s"


def _schedule_rack(simulation: FleetSimulation, _terms: FaultTerms, part: Phase) -> str:
    zone = simulation.topology.largest_zone()
    members = [simulation.fronts[site.index] for site in simulation.topology.zone_members(zone)]
    rack = Random(f"rack {simulation.seed}").sample(members, max(1, round(len(members) / RACKS_PER_ZONE)))
    for front in rack:
        simulation.queue.schedule(part.begin, simulation.crash, front)
    simulation.queue.schedule(part.begin, simulation.record_disturbance, "loss of a rack")
    return f"{len(rack)} of the {len(members)} front ends of zone {zone + 1} killed at once"


def _schedule_release(simulation: FleetSimulation, terms: FaultTerms, part: Phase) -> str:
    """Zone by zone, as a release goes."""
    apart = round(MINUTE_NS / terms.restarts_per_minute)
    times = range(part.begin, part.end, apart)
    for position, at in enumerate(times):
        front = simulation.fronts[position % len(simulation.fronts)]
        _schedule_restart(simulation, front, at)
    simulation.queue.schedule(
        times[-1] + LEAVE_NOTICES_NS + RESTART_NS, simulation.record_disturbance, "last restart"
    )
    return f"{len(times)} restarts, {terms.restarts_per_minute:g} a minute, zone by zone"


def _schedule_churn(simulation: FleetSimulation, terms: FaultTerms, part: Phase) -> str:
    chance = Random(f"churn {simulation.seed}")
    span = part.end - part.begin
    failures = max(1, round(FAILURES_PER_DAY * terms.speed_up * span / DAY_NS))
    restarts = max(1, round(RESTARTS_PER_DAY * terms.speed_up * span / DAY_NS))
    many = min(failures + restarts, len(simulation.fronts))
    for position, front in enumerate(chance.sample(simulation.fronts, many)):
        at = part.begin + chance.randrange(span)
        if position < failures:
            simulation.queue.schedule(at, simulation.crash, front)
            simulation.queue.schedule(at + REPAIR_NS, simulation.start, front)
        else:
            _schedule_restart(simulation, front, at)
    simulation.queue.schedule(part.end, simulation.record_disturbance, "end of churn")
    return f"{failures} failures and {many - failures} restarts, an ordinary day's rates times {terms.speed_up:g}"


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
