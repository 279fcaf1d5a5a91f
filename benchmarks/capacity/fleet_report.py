"""The report of a simulated fleet: one line per result, compared with its budget or goal."""

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
"""Part of each phase whose mean rate is reported by itself."""

HOST_NS_PER_DATAGRAM = 250_000
"""Estimated time of the system calls, tasks and timers for one datagram sent or received, which are not simulated.

Measured with `fleet --sockets --fronts 120 --processes 6`: in its quiet part, a front end used 0.392% of a core at 6.67
datagrams per second each way, of which decisions and coding are 0.059%. In its whole start the value was 207,000.
"""


@dataclass(frozen=True)
class ReportLine:
    """One line of the report. `met`: whether the budget or goal is met; None if there is none or it was not judged."""

    name: str
    text: str
    met: bool | None = None

    def show(self) -> str:
        """Formats the line for the report."""
        verdict = {True: "  within", False: "  MISSED", None: ""}[self.met]
        return f"{self.name:<28} {self.text}{verdict}"


@dataclass(frozen=True)
class RunMeasurements:
    """A finished simulation and its measurements.

    `ended_at`: the simulated time that the run reached. `resident_octets`: the resident memory that it added. `alone`:
    nothing else ran on the machine, so that processor time is judged.
    """

    simulation: FleetSimulation
    phases: Sequence[Phase]
    ended_at: int
    resident_octets: int
    alone: bool


def report_lines(measured: RunMeasurements) -> list[ReportLine]:
    """All lines of the report but that of the links."""
    found = [*_traffic_lines(measured), *_phase_lines(measured), _processor_line(measured)]
    found += _memory_lines(measured)
    found += _propagation_lines(measured.simulation)
    return [*found, *_settling_lines(measured.simulation), *_failure_lines(measured.simulation)]


def link_line(samples: Sequence[LinkSample]) -> ReportLine:
    """Compares sampled links with their stated latency and loss."""
    wrong = [sample.kind for sample in samples if not sample.matches_parameters()]
    text = "; ".join(sample.describe() for sample in samples)
    if wrong:
        text += f"; not as stated: {', '.join(wrong)}"
    return ReportLine("links", text, not wrong)


def _kilobytes(octets: float) -> str:
    return f"{octets / KILOBYTE_OCTETS:.2f}"


def _traffic_lines(measured: RunMeasurements) -> list[ReportLine]:
    fronts = measured.simulation.fronts
    buckets_by_direction = {
        "sent": [front.traffic.sent_buckets for front in fronts],
        "received": [front.traffic.received_buckets for front in fronts],
    }
    found = []
    for direction, buckets in buckets_by_direction.items():
        rates = [mean_rate(own, 0, measured.ended_at) for own in buckets]
        worst = busiest_window(buckets, 0, measured.ended_at)
        met = worst.octets_per_second <= budgets.MAX_OCTETS_PER_SECOND
        worst_name = fronts[worst.front_index].site.name
        text = (
            f"median {_kilobytes(median(rates))}, worst front {_kilobytes(max(rates))}, worst ten seconds of any "
            f"{_kilobytes(worst.octets_per_second)} ({worst_name} from {worst.began_at / SECOND:.1f} s); "
            f"budget {budgets.MAX_OCTETS_PER_SECOND / KILOBYTE_OCTETS:g}"
        )
        found.append(ReportLine(f"kB/s {direction}", text, met))
    sent = sum(sum(own) for own in buckets_by_direction["sent"])
    headers = sum(front.traffic.header_octets for front in fronts)
    datagrams = sum(front.traffic.datagrams_sent for front in fronts)
    rate = datagrams * SECOND / max(1, measured.ended_at) / len(fronts)
    share = headers / sent if sent else 0.0
    text = f"{rate:.1f} a second a front; UDP, TCP and IP headers are {share:.0%} of the octets"
    return [*found, ReportLine("datagrams", text)]


def _phase_lines(measured: RunMeasurements) -> list[ReportLine]:
    fronts = measured.simulation.fronts
    buckets = [front.traffic.sent_buckets for front in fronts]
    found = []
    for phase in measured.phases:
        end = min(phase.end, measured.ended_at)
        if end <= phase.begin:
            continue
        rates = [mean_rate(own, phase.begin, end) for own in buckets]
        last_window_begin = max(phase.begin + BUCKET_NS, end - WINDOW_NS + BUCKET_NS)
        worst = busiest_window(buckets, phase.begin, last_window_begin)
        start_end = min(end, phase.begin + PHASE_START_NS)
        start_rates = [mean_rate(own, phase.begin, start_end) for own in buckets]
        text = (
            f"{phase.begin / SECOND:g} to {end / SECOND:g} s: mean {_kilobytes(sum(rates) / len(rates))}, first ten "
            f"seconds' mean {_kilobytes(sum(start_rates) / len(start_rates))}, "
            f"worst ten seconds {_kilobytes(worst.octets_per_second)}"
        )
        found.append(ReportLine(f"  kB/s sent, {phase.name}", text))
    return found


def _processor_time(front: SimulatedFront, simulation: FleetSimulation) -> float:
    """Measured nanoseconds of decisions, plus estimates for coding and for the host's work, by datagrams."""
    sent = front.traffic.datagrams_sent
    received = front.traffic.datagrams_received
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
    memberships = [front.membership for front in measured.simulation.fronts if front.membership is not None]
    by_size = sorted(memberships, key=lambda membership: membership.entry_count())
    middle = by_size[len(by_size) // 2]
    largest = by_size[-1]
    largest_megabytes = private_octets(largest.state()) / MEGABYTE_OCTETS
    median_megabytes = private_octets(middle.state()) / MEGABYTE_OCTETS
    text = (
        f"state of its own: median {median_megabytes:.2f} ({middle.entry_count()} members), largest "
        f"{largest_megabytes:.2f} ({largest.entry_count()}); budget {budgets.MAX_MEMORY_MEGABYTES:g}"
    )
    shared_megabytes = measured.resident_octets / len(measured.simulation.fronts) / MEGABYTE_OCTETS
    return [
        ReportLine("MB a front", text, largest_megabytes <= budgets.MAX_MEMORY_MEGABYTES),
        ReportLine(
            "  resident",
            f"{shared_megabytes:.2f} MB a front in this one process, where they share what they have heard",
        ),
    ]


def _durations_text(durations: Durations) -> str:
    missing = f", {durations.missing} never" if durations.missing else ""
    return (
        f"p50 {durations.quantile(0.5):.2f} s, p99 {durations.quantile(0.99):.2f} s, most {durations.longest:.2f} s "
        f"({durations.count} cases{missing})"
    )


def _propagation_lines(simulation: FleetSimulation) -> list[ReportLine]:
    everywhere = simulation.propagation.everywhere
    own_zone = simulation.propagation.crash_in_own_zone
    found = []
    if own_zone.count:
        met = own_zone.quantile(0.99) <= budgets.OWN_ZONE_DETECTION_SECONDS
        text = f"{_durations_text(own_zone)}; goal {budgets.OWN_ZONE_DETECTION_SECONDS:g} s p99"
        found.append(ReportLine("detection, own zone", text, met))
    crash = everywhere[EventKind.CRASH]
    if crash.count:
        met = crash.longest <= budgets.FLEET_DETECTION_SECONDS
        text = f"{_durations_text(crash)}; goal {budgets.FLEET_DETECTION_SECONDS:g} s"
        found.append(ReportLine("detection, everywhere", text, met))
    else:
        found.append(ReportLine("detection", "no crash in this run"))
    for kind in (EventKind.START, EventKind.STOP):
        if everywhere[kind].count:
            found.append(ReportLine(f"propagation, {kind.value}", _durations_text(everywhere[kind])))
    if len(found) == 1 and not crash.count:
        found.append(ReportLine("propagation", "no start and no stop after the whole start"))
    return found


def _settling_lines(simulation: FleetSimulation) -> list[ReportLine]:
    """The settling time of each disturbance, and whether all lists agree with the running processes at the end.

    There is no goal for the settling time, only that each disturbance settles within the run. The goals for a crash are
    those of its detection.
    """
    agreement = simulation.agreement
    found = []
    for disturbance in agreement.disturbances:
        name = f"settling, {disturbance.description}"
        if disturbance.settled_at is None:
            found.append(ReportLine(name, f"not settled since {disturbance.occurred_at / SECOND:g} s", False))
            continue
        duration = disturbance.settled_at - disturbance.occurred_at
        text = f"{duration / SECOND:.2f} s after {disturbance.occurred_at / SECOND:g} s"
        found.append(ReportLine(name, text, True))
    share = agreement.wrong_entries / max(1, agreement.pair_count())
    text = f"{agreement.wrong_entries} entries of lists are wrong ({share:.3%})"
    return [*found, ReportLine("agreement at the end", text, agreement.wrong_entries == 0)]


def _failure_lines(simulation: FleetSimulation) -> list[ReportLine]:
    false_failures = simulation.false_failures
    shown = "".join(
        f"; {failure.observer} of {failure.member} at {failure.at / SECOND:.1f} s"
        for failure in false_failures[:MAX_SHOWN_FALSE_FAILURES]
    )
    text = (
        f"{len(false_failures)} verdicts{shown}; apart from these {simulation.failed_across_cut} across a cut and "
        f"{simulation.failed_previous_process} of a process before"
    )
    return [ReportLine("living called failed", text, not false_failures)]
