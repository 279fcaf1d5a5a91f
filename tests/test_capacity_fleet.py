"""The simulated fleet: runs are reproducible, and the report shows each injected fault."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import click
import pytest
from click.testing import CliRunner, Result

from benchmarks.capacity import fleet_command
from benchmarks.capacity.fleet_command import FleetRun, fleet, simulate
from benchmarks.capacity.fleet_faults import DurationError, Fault, FaultParameters, phases
from benchmarks.capacity.fleet_flat import FlatImplementation, FlatMembershipAdapter
from benchmarks.capacity.fleet_flat_sizes import FlatSizes
from benchmarks.capacity.fleet_membership import ObservedState, Outgoing, Transition
from benchmarks.capacity.fleet_sampling import SizeMismatchError
from benchmarks.capacity.fleet_simulation import FleetSimulation
from benchmarks.capacity.fleet_sockets import (
    MAX_PROCESSES,
    FleetLoads,
    Load,
    SocketFleetError,
    compare_loads,
    run_processes,
)
from benchmarks.capacity.network import Network, NetworkParameters
from benchmarks.capacity.topology import Site, Topology
from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.messages import Message
from oakcroft.interface import MS, SECOND

FRONT_ENDS = 40
LINES_AT_LEAST = 5
TWO_PERCENT = NetworkParameters.with_loss(0.02, 0.02, 0.02)


def fault_parameters(fault: Fault, duration: int = 10 * SECOND) -> FaultParameters:
    """A fault with the command's default rates."""
    return FaultParameters(fault, duration, restarts_per_minute=60.0, speed_up=100.0)


def small_run(fault: Fault = Fault.NONE, seconds: int = 15, seed: int = 1) -> FleetRun:
    """A short run of a small fleet at 2% loss, preloaded if it has a fault."""
    return FleetRun(
        front_ends=FRONT_ENDS,
        seed=seed,
        duration=seconds * SECOND,
        network=TWO_PERCENT,
        fault=fault_parameters(fault),
        membership="flat",
        preloaded=fault is not Fault.NONE,
        alone=False,
        wall_seconds=60.0,
    )


def simulated(seed: int) -> FleetSimulation:
    """A simulated small fleet after a whole start and one crash."""
    topology = Topology(FRONT_ENDS)
    simulation = FleetSimulation(topology, TWO_PERCENT, FlatImplementation(topology), seed, 12 * SECOND)
    simulation.start_all()
    simulation.queue.schedule(8 * SECOND, simulation.crash, simulation.fronts[3])
    simulation.run(12 * SECOND)
    return simulation


def observed(simulation: FleetSimulation) -> list[object]:
    """The events, traffic and disagreement that a simulation counted."""
    sent = [front.traffic.sent_buckets.tobytes() for front in simulation.fronts]
    received = [front.traffic.received_buckets.tobytes() for front in simulation.fronts]
    return [
        sent,
        received,
        simulation.queue.handled,
        simulation.agreement.wrong_entries,
        simulation.agreement.disturbances,
    ]


def invoked(*options: str) -> Result:
    """Runs the command with a small fleet and these options."""
    return CliRunner().invoke(fleet, ["--fronts", str(FRONT_ENDS), *options])


def line(result: Result, name: str) -> str:
    """The first line of a report that begins with this name."""
    return next(text for text in result.output.splitlines() if text.startswith(name))


# Reproducibility


def test_the_same_seed_gives_the_same_events_and_another_seed_others() -> None:
    """Compares the traffic of each front end, the number of events and the disagreement of lists."""
    first = observed(simulated(1))

    assert observed(simulated(1)) == first
    assert observed(simulated(2)) != first


def test_the_report_of_a_run_repeats_but_for_what_is_measured_of_the_machine() -> None:
    """Only processor time and memory may differ."""
    machine = ("share of a core", "  resident", "MB a front")

    reports = [[found for found in simulate(small_run())[1] if found.name not in machine] for _ in range(2)]

    assert reports[0] == reports[1]
    assert len(reports[0]) > LINES_AT_LEAST


# Wrong sizes and links


def test_a_size_that_is_counted_wrong_stops_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Injects a count that is one octet too small."""
    exact = FlatSizes.datagram

    def one_octet_less(sizes: FlatSizes, sender: MemberUpdate, message: Message) -> tuple[int, int]:
        """The exact count less one octet."""
        octets, fitting = exact(sizes, sender, message)
        return octets - 1, fitting

    monkeypatch.setattr(FlatSizes, "datagram", one_octet_less)

    with pytest.raises(SizeMismatchError):
        simulate(small_run())


class LateNetwork(Network):
    """Injects a fault: each datagram is delayed by three milliseconds more than stated."""

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """The stated delay plus three milliseconds."""
        delay = super().datagram_delay(sender, receiver)
        return None if delay is None else delay + 3 * MS


def test_a_run_on_links_that_are_not_as_stated_exits_1(monkeypatch: pytest.MonkeyPatch) -> None:
    """The command samples the links of its own network."""
    monkeypatch.setattr(fleet_command, "Network", LateNetwork)

    result = invoked("--minutes", "0.1")

    assert result.exit_code == 1
    assert "not as stated" in line(result, "links")


# Faults injected into a membership


class FloodingMembership(FlatMembershipAdapter):
    """Injects a fault: one front end sends each message fifty times."""

    def take_outgoing(self) -> Sequence[Outgoing]:
        """The messages, fifty times each on the faulty front end."""
        messages = super().take_outgoing()
        return [*messages] * 50 if self.membership.own_update.name == "front-0007" else messages


class FalseVerdictMembership(FlatMembershipAdapter):
    """Injects a fault: one front end reports once that a running one failed."""

    is_reported = False

    def take_transitions(self) -> Sequence[Transition]:
        """The transitions, with the false verdict once on the faulty front end."""
        transitions = super().take_transitions()
        if (
            self.membership.own_update.name != "front-0007"
            or self.is_reported
            or self.membership.last_tick_at < 5 * SECOND
        ):
            return transitions
        self.is_reported = True
        return [*transitions, Transition("front-0009", ObservedState.FAILED)]


class NoDetectionMembership(FlatMembershipAdapter):
    """Injects a fault: one front end never detects a failure."""

    def take_transitions(self) -> Sequence[Transition]:
        """The transitions, without failures on the faulty front end."""
        transitions = super().take_transitions()
        if self.membership.own_update.name != "front-0039":
            return transitions
        return [transition for transition in transitions if transition.state is not ObservedState.FAILED]


def inject_membership(monkeypatch: pytest.MonkeyPatch, membership: type[FlatMembershipAdapter]) -> None:
    """Makes the command use this class for flat memberships."""

    class FaultyImplementation(FlatImplementation):
        """Creates memberships with the injected fault."""

        def create(self, site: Site, generation: int, random: Random, now: int) -> FlatMembershipAdapter:
            """The correct membership in the faulty adapter."""
            correct = super().create(site, generation, random, now)
            return membership(correct.membership, self._sizes)

    monkeypatch.setitem(fleet_command.IMPLEMENTATIONS, "flat", FaultyImplementation)


def test_a_small_fleet_without_injected_faults_is_within_all_budgets() -> None:
    """A budget missed by a fleet with an injected fault is then due to that fault."""
    result = invoked("--minutes", "1.1", "--fault", "rack", "--preloaded", "--loss", "0.01")

    assert result.exit_code == 0, result.output
    assert "MISSED" not in result.output
    assert "not alone, not judged" in line(result, "share of a core")
    assert line(result, "detection, everywhere").endswith("within")


def test_a_front_end_that_sends_too_much_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The line of sent traffic names it."""
    inject_membership(monkeypatch, FloodingMembership)

    result = invoked("--minutes", "0.2")

    assert result.exit_code == 1
    assert line(result, "kB/s sent").endswith("MISSED")
    assert "front-0007" in line(result, "kB/s sent")


def test_a_running_front_end_that_is_called_failed_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The report names observer and member, and counts the entry that is wrong at the end."""
    inject_membership(monkeypatch, FalseVerdictMembership)

    result = invoked("--minutes", "0.2")

    assert result.exit_code == 1
    assert "front-0007 of front-0009" in line(result, "living called failed")
    assert "1 entries of lists are wrong" in line(result, "agreement at the end")
    assert line(result, "agreement at the end").endswith("MISSED")


def test_a_crash_that_one_front_end_never_learns_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A single observer that misses one crash is enough."""
    inject_membership(monkeypatch, NoDetectionMembership)

    result = invoked("--minutes", "1.1", "--fault", "rack", "--preloaded", "--loss", "0.01")

    assert result.exit_code == 1
    assert "1 never" in line(result, "detection, everywhere")
    assert line(result, "detection, everywhere").endswith("MISSED")
    assert line(result, "settling, loss of a rack").endswith("MISSED")


def test_verdicts_across_a_cut_are_counted_apart_from_false_ones() -> None:
    """Both sides of a cut call each other failed, which is correct."""
    _, found, finished = simulate(small_run(Fault.REGION, 50))
    verdicts = next(report_line for report_line in found if report_line.name == "living called failed")

    assert finished
    assert verdicts.text.startswith("0 verdicts")
    assert " 0 across" not in verdicts.text


def test_a_run_whose_wall_time_runs_out_says_so_and_exits_1() -> None:
    """The part that was simulated is reported nevertheless."""
    result = invoked("--minutes", "30", "--wall-seconds", "0.2")

    assert result.exit_code == 1
    assert "NOT FINISHED" in result.output


@pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.NONE])
def test_a_run_too_short_for_its_fault_is_refused(fault: Fault) -> None:
    """The run is refused before the simulation starts."""
    with pytest.raises(DurationError):
        phases(fault_parameters(fault), 30 * SECOND, preloaded=True)


@pytest.mark.parametrize("options", [["--fronts", "31"], ["--minutes", "0.5", "--fault", "zone"]])
def test_a_fleet_or_a_time_that_is_too_small_is_a_usage_error(options: list[str]) -> None:
    """The command prints one line and no traceback."""
    result = invoked(*options)

    assert result.exit_code == click.UsageError.exit_code
    assert result.output.splitlines()[-1].startswith("Error: ")


# Over sockets


def loads(start: Load, quiet: Load) -> FleetLoads:
    """A fleet with these loads."""
    return FleetLoads(start, quiet, 100_000, (40, 40))


@pytest.mark.parametrize(
    ("real", "names"),
    [
        (Load(10.0, 5_000, 3_000, 0.05), set[str]()),
        (Load(11.5, 5_000, 3_000, 0.05), {"start, datagrams/s"}),
        (Load(10.0, 7_000, 3_000, 0.05), {"start, datagram B/s", "start, all B/s"}),
        (Load(10.0, 5_000, 3_400, 0.05), {"start, stream B/s"}),
    ],
)
def test_octets_over_sockets_that_differ_by_a_tenth_are_found(real: Load, names: set[str]) -> None:
    """Each measured quantity is judged separately."""
    simulated, quiet = Load(10.0, 5_000, 3_000, 0.002), Load(6.0, 800, 300, 0.001)

    found = compare_loads(loads(simulated, quiet), loads(real, quiet))

    assert {report_line.name for report_line in found if report_line.met is False} == names


def test_a_fleet_over_sockets_is_bounded_in_processes() -> None:
    """Too many processes are refused before any is started."""
    with pytest.raises(SocketFleetError):
        run_processes("flat", FRONT_ENDS, MAX_PROCESSES + 1, 1)
