"""The zoned membership in the simulated fleet: counted octets match the encoding, and other zones learn of events."""

from __future__ import annotations

import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings, strategies as st

from benchmarks.capacity.fleet_command import fleet
from benchmarks.capacity.fleet_flat import FLEET, KEY
from benchmarks.capacity.fleet_propagation import EventKind
from benchmarks.capacity.fleet_simulation import FleetSimulation
from benchmarks.capacity.fleet_zoned import ZonedImplementation, ZoneSizes
from benchmarks.capacity.network import NetworkParameters
from benchmarks.capacity.topology import Topology
from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.zone_messages import (
    LookupAnswer,
    LookupRequest,
    MemberRecord,
    ZoneDigest,
    ZoneMessage,
    ZoneRecords,
    ZoneRequest,
)
from oakcroft.decisions.membership.zone_summary import (
    DigestEntry,
    MemberChange,
    StateCounts,
    ZoneContact,
    ZoneSummary,
)
from oakcroft.interface import SECOND
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.peerwire.zone_codec import ZoneCodec

COMMAND_FRONT_ENDS = 64
FRONT_ENDS = 24
ZONES_BY_REGION = (2, 2, 2)
CODEC = ZoneCodec(FLEET, KeyRing((KEY,)))

names = st.text(min_size=1, max_size=12)
integers = st.one_of(st.sampled_from([0, 127, 128, 255, 256, 65_535, 65_536, 2**32]), st.integers(0, 2**56))
contacts = st.builds(ZoneContact, names, integers, names, st.just("10.0.0.1"), st.integers(1, 65_535))
changes = st.builds(MemberChange, names, integers, integers, st.sampled_from(MemberState))
summaries = st.builds(
    ZoneSummary,
    names,
    names,
    names,
    integers,
    integers,
    integers,
    st.builds(StateCounts, integers, integers, integers),
    st.lists(contacts, max_size=3).map(tuple),
    integers,
    st.lists(changes, max_size=5).map(tuple),
)
entries = st.builds(DigestEntry, names, integers, integers, integers, integers)
members = st.none() | st.builds(
    MemberRecord,
    names,
    integers,
    integers,
    st.sampled_from(MemberState),
    st.just("10.0.0.2"),
    st.integers(1, 65_535),
)
messages = st.one_of(
    st.builds(ZoneDigest, st.lists(entries, max_size=12).map(tuple), st.booleans()),
    st.builds(ZoneRequest, st.lists(names, max_size=20).map(tuple)),
    st.builds(ZoneRecords, st.lists(summaries, max_size=2).map(tuple)),
    st.builds(LookupRequest, integers, names, names),
    st.builds(LookupAnswer, integers, names, names, members),
)


@given(contacts, contacts, messages)
@settings(max_examples=150, deadline=None)
def test_counted_octets_of_a_message_between_zones_are_those_of_its_encoding(
    first: ZoneContact, second: ZoneContact, message: ZoneMessage
) -> None:
    """The cached size of a message is correct for each sender."""
    sizes = ZoneSizes(CODEC)

    counted = [sizes.datagram(sender, message) for sender in (first, second, first)]

    assert counted == [len(CODEC.encode(sender, message)) for sender in (first, second, first)]


def settled_fleet(seconds: int) -> FleetSimulation:
    """A zoned fleet after a whole start without loss, for at most this many simulated seconds."""
    topology = Topology(FRONT_ENDS, ZONES_BY_REGION)
    network_parameters = NetworkParameters.with_loss(0, 0, 0)
    simulation = FleetSimulation(
        topology, network_parameters, ZonedImplementation(topology), 1, seconds * SECOND
    )
    simulation.start_all()
    simulation.run(40 * SECOND)
    assert simulation.agreement.wrong_entries == 0
    return simulation


def test_a_crash_is_learnt_by_each_front_end_of_each_zone() -> None:
    """Its own zone learns by the flat membership, others by the zone's summary. All list it again after a restart."""
    simulation = settled_fleet(100)
    crashed = simulation.fronts[1]

    simulation.crash(crashed)
    simulation.run(65 * SECOND)
    wrong_after_crash = simulation.agreement.wrong_entries
    simulation.start(crashed)
    simulation.run(100 * SECOND)

    crash = simulation.propagation.everywhere[EventKind.CRASH]
    assert (crash.count, crash.missing) == (FRONT_ENDS - 1, 0)
    assert simulation.propagation.crash_in_own_zone.count == len(simulation.topology.zone_members(0)) - 1
    assert (wrong_after_crash, simulation.agreement.wrong_entries) == (0, 0)
    assert simulation.false_failures == []


def test_members_of_a_region_that_is_cut_off_are_unreachable_and_not_called_failed() -> None:
    """Each side removes the other once its zones time out, and lists it again after the heal."""
    simulation = settled_fleet(140)
    region = simulation.topology.largest_region()
    inside = len(simulation.topology.region_members(region))

    simulation.cut(region)
    simulation.run(90 * SECOND)
    wrong_during_cut = simulation.agreement.wrong_entries
    simulation.heal(region)
    simulation.run(140 * SECOND)

    assert wrong_during_cut == 2 * inside * (FRONT_ENDS - inside)
    assert simulation.failed_across_cut == 0
    assert simulation.agreement.wrong_entries == 0


def invoked(*options: str) -> Result:
    """Runs the command with a small zoned fleet and these options."""
    return CliRunner().invoke(fleet, ["--membership", "zoned", "--fronts", str(COMMAND_FRONT_ENDS), *options])


def test_the_command_simulates_a_zoned_fleet_and_repeats_its_result() -> None:
    """Compares all lines but those of processor time, memory and wall time."""
    machine = ("share of a core", "MB a front", "  resident", "took")

    reports = [
        [text for text in invoked("--minutes", "0.25").output.splitlines() if not text.startswith(machine)]
        for _ in range(2)
    ]

    assert reports[0] == reports[1]
    assert reports[0][0].startswith("membership zoned, 64 front ends")


def test_a_preloaded_start_is_refused_for_zones() -> None:
    """It would need made-up summaries that zones send to each other."""
    with pytest.raises(NotImplementedError):
        ZonedImplementation(Topology(FRONT_ENDS, ZONES_BY_REGION)).preload([], 0)
