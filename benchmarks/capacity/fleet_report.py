"""What a run of the hollow fleet found, as lines, each beside its budget or goal."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from benchmarks.capacity import fleet_budgets as budgets
from benchmarks.capacity.fleet_faults import Phase
from benchmarks.capacity.fleet_front import SimulatedFront
from benchmarks.capacity.fleet_propagation import Durations, EventKind
from benchmarks.capacity.fleet_memory import private_octets
from benchmarks.capacity.fleet_simulation import MAX_SHOWN_FALSE_FAILURES, FleetSimulation
from benchmarks.capacity.fleet_traffic import BUCKET_NS, WINDOW_NS, busiest_window, mean_rate
from benchmarks.capacity.network_check import LinkSample
from oakcroft.interface import SECOND

KILOBYTE_OCTETS = 1_000
MEGABYTE_OCTETS = 1_000_000
MICROSECOND_NS = 1_000
PHASE_START_NS = 10 * SECOND

HOST_NS_PER_DATAGRAM = 250_000
"""System calls, tasks and timers of one datagram sent or received, which a simulation doesn't have. Measured by
`fleet --sockets --fronts 120 --processes 6` in its quiet part: 0.392% of a core a front end at 6.67 datagrams a second
each way, of which decisions and coding are 0.059%; 207,000 in the whole start."""


@dataclass(frozen=True)
class ReportLine:
    """One line of the report. `met`: whether its budget or goal is; None where it has none, or was not judged."""

    name: str
    text: str
    met: bool | None = None

    def show(self) -> str:
        """The line as printed."""
        verdict = {True: "  within", False: "  MISSED", None: ""}[self.met]
        return f"{self.name:<28} {self.text}{verdict}"


@dataclass(frozen=True)
class RunMeasurements:
    """What a run leaves beside the simulation itself. `ended_at`: how far it came; `resident_octets`: memory it took."""

    simulation: FleetSimulation
    phases: Sequence[Phase]
    ended_at: int
    resident_octets: int
    alone: bool


def report_lines(measured: RunMeasurements) -> list[ReportLine]:
    """All lines."""
    found = [*_traffic_lines(measured), *_phase_lines(measured), _processor_line(measured)]
    found += _memory_lines(measured)
    found += _knowledge_lines(measured.simulation)
    return [*found, *_settling_lines(measured.simulation), *_failure_lines(measured.simulation)]


def link_line(samples: Sequence[LinkSample]) -> ReportLine:
    """What the links did, beside what is stated of them."""
    wrong = [sample.kind for sample in samples if not sample.as_stated()]
    text = "; ".join(sample.show() for sample in samples)
    if wrong:
        text += f"; not as stated: {', '.join(wrong)}"
    return ReportLine("links", text, not wrong)


def _traffic_lines(measured: RunMeasurements) -> list[ReportLine]:
    fronts = measured.simulation.fronts
    ways = {
        "sent": [f.traffic.sent_buckets for f in fronts],
        "received": [f.traffic.received_buckets for f in fronts],
    }
    found = []
    for way, buckets in ways.items():
        rates = [mean_rate(own, 0, measured.ended_at) for own in buckets]
        worst = busiest_window(buckets, 0, measured.ended_at)
        met = worst.octets_per_second <= budgets.MAX_OCTETS_PER_SECOND
        text = (
            f"median {median(rates) / KILOBYTE_OCTETS:.2f}, worst front {max(rates) / KILOBYTE_OCTETS:.2f}, worst ten seconds of any "
            f"{worst.octets_per_second / KILOBYTE_OCTETS:.2f} ({fronts[worst.front_index].site.name} from {worst.began_at / SECOND:.1f} s); "
            f"budget {budgets.MAX_OCTETS_PER_SECOND / KILOBYTE_OCTETS:g}"
        )
        found.append(ReportLine(f"kB/s {way}", text, met))
    sent = sum(sum(own) for own in ways["sent"])
    headers = sum(f.traffic.header_octets for f in fronts)
    datagrams = sum(f.traffic.datagrams_sent for f in fronts)
    rate = datagrams * SECOND / max(1, measured.ended_at) / len(fronts)
    share = headers / sent if sent else 0.0
    found.append(
        ReportLine(
            "datagrams", f"{rate:.1f} a second a front; UDP, TCP and IP headers are {share:.0%} of the octets"
        )
    )
    return found


def _phase_lines(measured: RunMeasurements) -> list[ReportLine]:
    fronts = measured.simulation.fronts
    buckets = [f.traffic.sent_buckets for f in fronts]
    found = []
    for phase in measured.phases:
        end = min(phase.end, measured.ended_at)
        if end <= phase.begin:
            continue
        rates = [mean_rate(own, phase.begin, end) for own in buckets]
        worst = busiest_window(
            buckets, phase.begin, max(phase.begin + BUCKET_NS, end - WINDOW_NS + BUCKET_NS)
        )
        first = [mean_rate(own, phase.begin, min(end, phase.begin + PHASE_START_NS)) for own in buckets]
        text = (
            f"{phase.begin / SECOND:g} to {end / SECOND:g} s: mean {sum(rates) / len(rates) / KILOBYTE_OCTETS:.2f}, first ten "
            f"seconds' mean {sum(first) / len(first) / KILOBYTE_OCTETS:.2f}, worst ten seconds {worst.octets_per_second / KILOBYTE_OCTETS:.2f}"
        )
        found.append(ReportLine(f"  kB/s sent, {phase.name}", text))
    return found


def _processor_time(front: SimulatedFront, simulation: FleetSimulation) -> float:
    """Nanoseconds of decisions as measured, and of coding and the host's work as reckoned from the datagrams."""
    sent, received = front.traffic.datagrams_sent, front.traffic.datagrams_received
    coding = simulation.sampler.coding_ns(sent, received)
    return front.busy_ns + coding + (sent + received) * HOST_NS_PER_DATAGRAM


def _processor_line(measured: RunMeasurements) -> ReportLine:
    simulation = measured.simulation
    shares = [_processor_time(front, simulation) / max(1, measured.ended_at) for front in simulation.fronts]
    decisions = sum(front.busy_ns for front in simulation.fronts) / max(1, measured.ended_at) / len(shares)
    text = (
        f"median {median(shares):.2%}, worst front {max(shares):.2%}: decisions (mean {decisions:.2%}), coding by "
        f"{simulation.sampler.samples} samples, and {HOST_NS_PER_DATAGRAM / MICROSECOND_NS:g} us of system "
        f"calls and tasks a datagram; budget {budgets.MAX_CORE_SHARE:.0%}"
    )
    if not measured.alone:
        return ReportLine("share of a core", f"{text}; not alone, not judged")
    return ReportLine("share of a core", f"{text}; alone", max(shares) <= budgets.MAX_CORE_SHARE)


def _memory_lines(measured: RunMeasurements) -> list[ReportLine]:
    running = [f.membership for f in measured.simulation.fronts if f.membership is not None]
    by_size = sorted(running, key=lambda membership: membership.entry_count())
    middle, largest = by_size[len(by_size) // 2], by_size[-1]
    worst = private_octets(largest.state()) / MEGABYTE_OCTETS
    text = (
        f"state of its own: median {private_octets(middle.state()) / MEGABYTE_OCTETS:.2f} ({middle.entry_count()} members), largest "
        f"{worst:.2f} ({largest.entry_count()}); budget {budgets.MAX_MEMORY_MEGABYTES:g}"
    )
    shared = measured.resident_octets / len(measured.simulation.fronts) / MEGABYTE_OCTETS
    return [
        ReportLine("MB a front", text, worst <= budgets.MAX_MEMORY_MEGABYTES),
        ReportLine(
            "  resident",
            f"{shared:.2f} MB a front in this one process, where they share what they have heard",
        ),
    ]


def _durations(durations: Durations) -> str:
    missing = f", {durations.missing} never" if durations.missing else ""
    return (
        f"p50 {durations.quantile(0.5):.2f} s, p99 {durations.quantile(0.99):.2f} s, most {durations.longest:.2f} s "
        f"({durations.count} cases{missing})"
    )


def _knowledge_lines(simulation: FleetSimulation) -> list[ReportLine]:
    own, known = simulation.propagation.crash_in_own_zone, simulation.propagation.everywhere
    found = []
    if own.count:
        met = own.quantile(0.99) <= budgets.OWN_ZONE_DETECTION_SECONDS
        text = f"{_durations(own)}; goal {budgets.OWN_ZONE_DETECTION_SECONDS:g} s p99"
        found.append(ReportLine("detection, own zone", text, met))
    crash = known[EventKind.CRASH]
    if crash.count:
        met = crash.longest <= budgets.FLEET_DETECTION_SECONDS
        text = f"{_durations(crash)}; goal {budgets.FLEET_DETECTION_SECONDS:g} s"
        found.append(ReportLine("detection, everywhere", text, met))
    else:
        found.append(ReportLine("detection", "no crash in this run"))
    for kind in (EventKind.START, EventKind.STOP):
        if known[kind].count:
            found.append(ReportLine(f"propagation, {kind.value}", _durations(known[kind])))
    if len(found) == 1 and not crash.count:
        found.append(ReportLine("propagation", "no start and no stop after the whole start"))
    return found


def _settling_lines(simulation: FleetSimulation) -> list[ReportLine]:
    """How long after each disturbance all lists agreed with who ran, and whether they do at the end.

    No goal names a time for it; that it happens in the run is wanted. Goals for a crash are those of detection.
    """
    agreement = simulation.agreement
    found = []
    for disturbance in agreement.disturbances:
        name = f"settling, {disturbance.description}"
        if disturbance.settled_at is None:
            found.append(ReportLine(name, f"not settled since {disturbance.occurred_at / SECOND:g} s", False))
            continue
        took = disturbance.settled_at - disturbance.occurred_at
        found.append(
            ReportLine(name, f"{took / SECOND:.2f} s after {disturbance.occurred_at / SECOND:g} s", True)
        )
    share = agreement.wrong_entries / max(1, agreement.pair_count())
    text = f"{agreement.wrong_entries} entries of lists are wrong ({share:.3%})"
    return [*found, ReportLine("agreement at the end", text, agreement.wrong_entries == 0)]


def _failure_lines(simulation: FleetSimulation) -> list[ReportLine]:
    false = simulation.false_failures
    shown = "".join(
        f"; {one.observer} of {one.member} at {one.at / SECOND:.1f} s"
        for one in false[:MAX_SHOWN_FALSE_FAILURES]
    )
    text = (
        f"{len(false)} verdicts{shown}; apart from these {simulation.failed_across_cut} across a cut and "
        f"{simulation.failed_previous_process} of a process before"
    )
    return [ReportLine("living called failed", text, not false)]
