"""The hollow fleet: the same result each run, octets as encoded, and each planted fault found."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings, strategies as st

from benchmarks.capacity import fleet_command
from benchmarks.capacity.fleet_agreement import Agreement
from benchmarks.capacity.fleet_command import FleetRun, fleet, play
from benchmarks.capacity.fleet_faults import DurationError, Fault, FaultTerms, phases
from benchmarks.capacity.fleet_flat import FLEET, FlatImplementation, FlatMembership
from benchmarks.capacity.fleet_flat_sizes import FlatSizes
from benchmarks.capacity.fleet_knowledge import Durations, EventKind, Knowledge
from benchmarks.capacity.fleet_membership import ObservedState, Outgoing, Transition
from benchmarks.capacity.fleet_report import link_line
from benchmarks.capacity.fleet_sampling import SizeMismatchError
from benchmarks.capacity.fleet_simulation import FleetSimulation
from benchmarks.capacity.fleet_sockets import (
    MOST_PROCESSES,
    FleetLoads,
    Load,
    SocketFleetError,
    compare,
    run_processes,
)
from benchmarks.capacity.fleet_traffic import BUCKET, WINDOW, busiest_window
from benchmarks.capacity.network import Network, NetworkTerms
from benchmarks.capacity.network_check import sample_links
from benchmarks.capacity.topology import Site, Topology, TopologyError, zone_sizes
from oakcroft.decisions.fleet.member import News, Standing
from oakcroft.decisions.fleet.view import MOST_NEWS, Kind, Out
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.messages import Codec, Stream
from oakcroft.peerwire.sealing import Ring

FRONT_ENDS = 40
LINES_AT_LEAST = 5
TARGET_FRONT_ENDS, TARGET_REGIONS, TARGET_ZONES = 2_700, 9, 32
TWO_PERCENT = NetworkTerms.with_loss(0.02, 0.02, 0.02)
CODEC = Codec(FLEET, Ring((bytes(32),)))


def fault_terms(fault: Fault, lasts: int = 10 * SECOND) -> FaultTerms:
    """A fault of the usual size."""
    return FaultTerms(fault, lasts, restarts_a_minute=60.0, speed_up=100.0)


def small_run(fault: Fault = Fault.NONE, seconds: int = 15, seed: int = 1) -> FleetRun:
    """A short run of a small fleet at 2% loss."""
    return FleetRun(
        FRONT_ENDS, seed, seconds * SECOND, TWO_PERCENT, fault_terms(fault), "flat", fault is not Fault.NONE, False, 60.0
    )  # fmt: skip


def simulated(seed: int) -> FleetSimulation:
    """A small fleet after a whole start and one crash."""
    topology = Topology(FRONT_ENDS)
    simulation = FleetSimulation(topology, TWO_PERCENT, FlatImplementation(topology), seed, 12 * SECOND)
    simulation.start_all()
    simulation.queue.schedule(8 * SECOND, simulation.crash, simulation.fronts[3])
    simulation.run(12 * SECOND)
    return simulation


def observed(simulation: FleetSimulation) -> list[object]:
    """All that a simulation counted."""
    sent = [front.traffic.sent.tobytes() for front in simulation.fronts]
    received = [front.traffic.received.tobytes() for front in simulation.fronts]
    return [
        sent,
        received,
        simulation.queue.handled,
        simulation.agreement.wrong,
        simulation.agreement.settled_at,
    ]


def invoked(*options: str) -> Result:
    """The command with a small fleet and these options."""
    return CliRunner().invoke(fleet, ["--fronts", str(FRONT_ENDS), *options])


def line(result: Result, name: str) -> str:
    """The line of a report that begins with a name."""
    return next(text for text in result.output.splitlines() if text.startswith(name))


# The same each run.


def test_the_same_seed_gives_the_same_events_and_another_seed_others() -> None:
    """Octets by time of each front end, events and lists repeat."""
    first = observed(simulated(1))

    assert observed(simulated(1)) == first
    assert observed(simulated(2)) != first


def test_the_report_of_a_run_repeats_but_for_what_is_measured_of_the_machine() -> None:
    """Processor time and memory alone may differ."""
    machine = ("share of a core", "  resident", "MB a front")

    reports = [[found for found in play(small_run())[1] if found.name not in machine] for _ in range(2)]

    assert reports[0] == reports[1]
    assert len(reports[0]) > LINES_AT_LEAST


# Octets.

texts = st.text(max_size=70)
integers = st.one_of(
    st.sampled_from([0, 127, 128, 255, 256, 65_535, 65_536, 2**32 - 1, 2**32]), st.integers(0, 2**56)
)
updates = st.builds(
    News, texts, integers, integers, st.sampled_from(Standing), texts, st.integers(0, 65_535), texts, texts,
    st.binary(max_size=300), texts,
)  # fmt: skip
targets = st.none() | st.tuples(texts, integers, st.tuples(texts, st.integers(0, 65_535)))
messages = st.builds(
    Out, st.sampled_from([Kind.PING, Kind.ACK, Kind.ASK, Kind.TELL]), st.just(("10.0.0.1", 1)), integers,
    st.tuples(texts, integers), targets, st.lists(updates, max_size=MOST_NEWS + 4),
)  # fmt: skip


@given(updates, messages)
@settings(max_examples=150, deadline=None)
def test_counted_octets_of_a_datagram_are_those_of_its_encoding(sender: News, message: Out) -> None:
    """With texts and integers on both sides of each boundary of MessagePack, and with updates that do not fit."""
    encoded = CODEC.datagram(sender, message.kind, message.seq, message.to, message.about, message.news)

    octets, fitting = FlatSizes(FLEET).datagram(sender, message)

    assert octets == len(encoded)
    shortened = CODEC.datagram(
        sender, message.kind, message.seq, message.to, message.about, message.news[:fitting]
    )
    assert shortened == encoded


@pytest.mark.parametrize("members", [1, 2, 97, 98, 200, 1_500])
def test_counted_octets_of_a_whole_list_are_those_of_its_encoding(members: int) -> None:
    """In one part, and in several."""
    chance = Random(members)
    whole = [
        News(
            f"front-{i}", chance.getrandbits(50), i, Standing.SUSPECTED, "10.1.2.3", 7_946, "zone-1", "1",
            bytes(16), "by",
        )
        for i in range(members)
    ]  # fmt: skip
    encoded = CODEC.whole(whole)

    assert FlatSizes(FLEET).whole(whole) == len(encoded)
    heard = Stream(CODEC)
    heard.receive_data(encoded, 0)
    assert len(heard.news) == members - 1


def test_a_size_that_is_counted_wrong_stops_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: one octet too few."""
    exact = FlatSizes.datagram
    monkeypatch.setattr(
        FlatSizes, "datagram", lambda self, *given: (exact(self, *given)[0] - 1, exact(self, *given)[1])
    )

    with pytest.raises(SizeMismatchError):
        play(small_run())


# Places and links.


@given(st.integers(32, 3_000), st.lists(st.integers(1, 9), min_size=1, max_size=8))
def test_zones_share_all_front_ends_and_none_is_empty(front_ends: int, weights: list[int]) -> None:
    """For any number of them and any weights."""
    sizes = zone_sizes(front_ends, 32, weights)

    assert sum(sizes) == front_ends
    assert min(sizes) >= 1


def test_the_target_has_2700_front_ends_in_9_regions_and_32_unequal_zones() -> None:
    """The users' counts."""
    topology = Topology(TARGET_FRONT_ENDS)

    assert len({site.address for site in topology.sites}) == TARGET_FRONT_ENDS
    assert len(set(topology.region_of_zone)) == TARGET_REGIONS
    assert len(topology.zone_counts()) == TARGET_ZONES
    assert max(topology.zone_counts()) > 3 * min(topology.zone_counts())
    with pytest.raises(TopologyError):
        Topology(31)


class LateNetwork(Network):
    """Planted: each datagram takes three milliseconds more than stated."""

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """Later than stated."""
        delay = super().datagram_delay(sender, receiver)
        return None if delay is None else delay + 3 * MS


class LossyNetwork(Network):
    """Planted: twice the stated loss."""

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """Lost more often than stated."""
        first = super().datagram_delay(sender, receiver)
        return None if first is None else super().datagram_delay(sender, receiver)


@pytest.mark.parametrize(
    ("network", "as_stated"), [(Network, True), (LateNetwork, False), (LossyNetwork, False)]
)
def test_links_that_are_not_as_stated_are_found(network: type[Network], as_stated: bool) -> None:
    """By latency, and by loss."""
    topology = Topology(FRONT_ENDS)

    found = link_line(sample_links(network(topology, TWO_PERCENT, 1), topology, TWO_PERCENT))

    assert found.met is as_stated


def test_a_run_on_links_that_are_not_as_stated_exits_1(monkeypatch: pytest.MonkeyPatch) -> None:
    """The command checks its own links."""
    monkeypatch.setattr(fleet_command, "Network", LateNetwork)

    result = invoked("--minutes", "0.1")

    assert result.exit_code == 1
    assert "not as stated" in line(result, "links")


def test_nothing_crosses_the_border_of_a_region_that_is_cut_off() -> None:
    """Neither way, neither datagram nor stream; inside all goes on."""
    topology = Topology(FRONT_ENDS)
    network = Network(topology, NetworkTerms.with_loss(0, 0, 0), 1)
    inside, outside = topology.region_members(2), topology.region_members(3)

    network.cut(2)
    cut = [network.datagram_delay(inside[0], outside[0]), network.datagram_delay(outside[0], inside[0])]
    within = network.datagram_delay(inside[0], inside[-1])
    stream = network.stream_transfer(outside[0], inside[0], 1)
    network.heal(2)

    assert (cut, stream) == ([None, None], None)
    assert within is not None
    assert network.datagram_delay(inside[0], outside[0]) is not None


# Faults that are planted in a membership.


class TalkativeMembership(FlatMembership):
    """Planted: one front end says everything fifty times."""

    def take_outgoing(self) -> Sequence[Outgoing]:
        """Fifty times over."""
        messages = super().take_outgoing()
        return [*messages] * 50 if self.view.me.name == "front-0007" else messages


class SlanderousMembership(FlatMembership):
    """Planted: one front end calls a living one failed."""

    told = False

    def take_transitions(self) -> Sequence[Transition]:
        """With a verdict of its own, once."""
        transitions = super().take_transitions()
        if self.view.me.name != "front-0007" or self.told or self.view.last < 5 * SECOND:
            return transitions
        self.told = True
        return [*transitions, Transition("front-0009", ObservedState.FAILED)]


class BlindMembership(FlatMembership):
    """Planted: one front end never finds that another has failed."""

    def take_transitions(self) -> Sequence[Transition]:
        """Without any failure."""
        transitions = super().take_transitions()
        if self.view.me.name != "front-0039":
            return transitions
        return [transition for transition in transitions if transition.state is not ObservedState.FAILED]


def plant(monkeypatch: pytest.MonkeyPatch, planted: type[FlatMembership]) -> None:
    """Has the command run these in place of sound ones."""

    class Planted(FlatImplementation):
        def create(self, site: Site, generation: int, random: Random, now: int) -> FlatMembership:
            sound = super().create(site, generation, random, now)
            return planted(sound.view, self._sizes)

    monkeypatch.setitem(fleet_command.IMPLEMENTATIONS, "flat", Planted)


def test_a_sound_small_fleet_is_within_all_budgets() -> None:
    """So that what the planted ones miss is theirs."""
    result = invoked("--minutes", "1.1", "--fault", "rack", "--preloaded", "--loss", "0.01")

    assert result.exit_code == 0, result.output
    assert "MISSED" not in result.output
    assert "not alone, not judged" in line(result, "share of a core")
    assert line(result, "detection, everywhere").endswith("within")


def test_a_front_end_that_talks_too_much_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """By name, in the line of what is sent."""
    plant(monkeypatch, TalkativeMembership)

    result = invoked("--minutes", "0.2")

    assert result.exit_code == 1
    assert line(result, "kB/s sent").endswith("MISSED")
    assert "front-0007" in line(result, "kB/s sent")


def test_a_living_front_end_that_is_called_failed_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """With who said it of whom; and the list that is wrong at the end."""
    plant(monkeypatch, SlanderousMembership)

    result = invoked("--minutes", "0.2")

    assert result.exit_code == 1
    assert "front-0007 of front-0009" in line(result, "living called failed")
    assert "1 entries of lists are wrong at the end  MISSED" in line(result, "settling")


def test_a_crash_that_one_front_end_never_learns_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """One observer of one crash is enough."""
    plant(monkeypatch, BlindMembership)

    result = invoked("--minutes", "1.1", "--fault", "rack", "--preloaded", "--loss", "0.01")

    assert result.exit_code == 1
    assert "1 never" in line(result, "detection, everywhere")
    assert line(result, "detection, everywhere").endswith("MISSED")
    assert line(result, "settling").endswith("MISSED")


def test_verdicts_across_a_cut_are_told_apart_from_false_ones() -> None:
    """Both sides of a cut find each other failed, and nobody is blamed."""
    _, found, finished = play(small_run(Fault.REGION, 50))
    verdicts = next(one for one in found if one.name == "living called failed")

    assert finished
    assert verdicts.text.startswith("0 verdicts")
    assert " 0 across" not in verdicts.text


def test_a_run_whose_wall_time_runs_out_says_so_and_exits_1() -> None:
    """What was played is reported all the same."""
    result = invoked("--minutes", "30", "--wall-seconds", "0.2")

    assert result.exit_code == 1
    assert "NOT FINISHED" in result.output


@pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.NONE])
def test_a_run_too_short_for_its_fault_is_refused(fault: Fault) -> None:
    """Before anything is played."""
    with pytest.raises(DurationError):
        phases(fault_terms(fault), 30 * SECOND, preloaded=True)


# Over sockets.


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
    """Each kind by itself."""
    simulated, quiet = Load(10.0, 5_000, 3_000, 0.002), Load(6.0, 800, 300, 0.001)

    found = compare(loads(simulated, quiet), loads(real, quiet))

    assert {one.name for one in found if one.met is False} == names


def test_a_fleet_over_sockets_is_bounded_in_processes() -> None:
    """It is refused before any is started."""
    with pytest.raises(SocketFleetError):
        run_processes(FRONT_ENDS, MOST_PROCESSES + 1, 1)


# Counting.


@given(
    st.lists(
        st.tuples(st.sampled_from(["start", "end", "see", "lose"]), st.integers(0, 4), st.integers(0, 4)), max_size=60
    )
)  # fmt: skip
def test_disagreement_counted_change_by_change_is_that_of_all_lists(
    steps: list[tuple[str, int, int]],
) -> None:
    """Against a count of all lists at the end."""
    agreement, runs, lists = Agreement(5), set[int](), dict[int, set[int]]()

    for what, one, other in steps:
        if what == "start" and one not in runs:
            agreement.started(one)
            runs.add(one)
            lists[one] = {one}
        elif what == "end" and one in runs:
            agreement.ended(one)
            runs.discard(one)
            del lists[one]
        elif what in ("see", "lose") and one in runs and one != other:
            agreement.seen(one, other, what == "see")
            lists[one] = lists[one] | {other} if what == "see" else lists[one] - {other}

    assert agreement.wrong == sum(len(own ^ runs) for own in lists.values())


@given(st.lists(st.lists(st.integers(0, 9), min_size=45, max_size=45), min_size=1, max_size=3))
def test_the_busiest_ten_seconds_are_those_of_a_look_at_each_window(fronts: list[list[int]]) -> None:
    """Against a sum of each window."""
    width = WINDOW // BUCKET
    most = max(sum(own[begin : begin + width]) for own in fronts for begin in range(45))

    assert busiest_window(fronts, 0, 45 * BUCKET).rate == most * SECOND / WINDOW


def test_a_share_of_durations_that_never_ended_makes_the_quantile_infinite() -> None:
    """What never ended is the longest."""
    durations = Durations()
    for _ in range(98):
        durations.add(SECOND)
    durations.missing = 2

    assert durations.quantile(0.5) == pytest.approx(1.0, abs=0.02)
    assert durations.quantile(0.99) == float("inf")
    assert durations.most == float("inf")


def test_what_is_not_learnt_counts_as_missing_once_it_is_overdue_and_not_before() -> None:
    """And only of those that run and list another state."""
    knowledge = Knowledge(lambda index: index // 2, 20 * SECOND)
    knowledge.happened(0, EventKind.CRASH, 0, [1, 2, 3, 4])
    knowledge.happened(5, EventKind.CRASH, 15 * SECOND, [1, 2])

    knowledge.learnt(1, 0, ObservedState.FAILED, 4 * SECOND)
    knowledge.learnt(2, 0, ObservedState.SUSPECTED, 4 * SECOND)
    knowledge.learnt(3, 0, ObservedState.UNREACHABLE, 5 * SECOND)
    knowledge.observer_ended(4)
    knowledge.finish(30 * SECOND)

    everywhere = knowledge.everywhere[EventKind.CRASH]
    assert (everywhere.count, everywhere.missing) == (3, 1)
    assert (knowledge.crash_in_own_zone.count, knowledge.crash_in_own_zone.missing) == (1, 0)


def test_octets_of_an_update_do_not_depend_on_what_was_counted_before() -> None:
    """The cache goes by the update itself."""
    sizes = FlatSizes(FLEET)
    short = News("a", 1, 0, Standing.ALIVE, "10.0.0.1", 1, "z", "1", bytes(16))

    counted = [sizes.update(short), sizes.update(replace(short, name="a" * 9)), sizes.update(replace(short))]

    assert counted == [counted[0], counted[0] + 8, counted[0]]
