"""Tests of the simulated fleet: octets against encodings, links against parameters, figures against plain counts."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from benchmarks.capacity.fleet_agreement import AgreementTracker
from benchmarks.capacity.fleet_flat import FLEET
from benchmarks.capacity.fleet_flat_sizes import FlatSizes
from benchmarks.capacity.fleet_propagation import Durations, EventKind, PropagationTracker
from benchmarks.capacity.fleet_membership import ObservedState
from benchmarks.capacity.fleet_report import link_line
from benchmarks.capacity.fleet_traffic import BUCKET_NS, WINDOW_NS, busiest_window
from benchmarks.capacity.network import Network, NetworkParameters
from benchmarks.capacity.network_check import sample_links
from benchmarks.capacity.topology import Site, Topology, TopologyError, zone_sizes
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.messages import (
    MAX_UPDATES,
    MemberId,
    Message,
    MessageKind,
    ProbeTarget,
)
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.push_pull_stream import FullStateReader, write_full_state
from oakcroft.peerwire.sealing import KeyRing

FRONT_ENDS = 40
TARGET_FRONT_ENDS, TARGET_REGIONS, TARGET_ZONES = 2_700, 9, 32
TWO_PERCENT = NetworkParameters.with_loss(0.02, 0.02, 0.02)
CODEC = MembershipCodec(FLEET, KeyRing((bytes(32),)))


# Octets.

texts = st.text(max_size=70)
integers = st.one_of(
    st.sampled_from([0, 127, 128, 255, 256, 65_535, 65_536, 2**32 - 1, 2**32]), st.integers(0, 2**56)
)
DATAGRAMS = [kind for kind in MessageKind if kind is not MessageKind.PUSH_PULL]
updates = st.builds(
    MemberUpdate, texts, integers, integers, st.sampled_from(MemberState), texts, st.integers(0, 65_535), texts, texts,
    st.binary(max_size=300), texts,
)  # fmt: skip
targets = st.none() | st.builds(ProbeTarget, texts, integers, st.tuples(texts, st.integers(0, 65_535)))
messages = st.builds(
    Message, st.sampled_from(DATAGRAMS), st.just(("10.0.0.1", 1)), integers,
    st.builds(MemberId, texts, integers), targets, st.lists(updates, max_size=MAX_UPDATES + 4),
)  # fmt: skip


@given(updates, messages)
@settings(max_examples=150, deadline=None)
def test_counted_octets_of_a_datagram_are_those_of_its_encoding(
    sender: MemberUpdate, message: Message
) -> None:
    """With strings and integers on both sides of each MessagePack size boundary, and with updates that do not fit."""
    encoded = CODEC.encode(sender, message)

    octets, fitting = FlatSizes(FLEET).datagram(sender, message)

    assert octets == len(encoded)
    shortened = CODEC.encode(sender, replace(message, updates=message.updates[:fitting]))
    assert shortened == encoded


@pytest.mark.parametrize("members", [1, 2, 97, 98, 200, 1_500])
def test_counted_octets_of_a_full_state_are_those_of_its_encoding(members: int) -> None:
    """With one part and with several."""
    rng = Random(members)
    full_state = [
        MemberUpdate(
            f"front-{i}", rng.getrandbits(50), i, MemberState.SUSPECTED, "10.1.2.3", 7_946, "zone-1", "1",
            bytes(16), "by",
        )
        for i in range(members)
    ]  # fmt: skip
    encoded = write_full_state(CODEC, full_state)

    assert FlatSizes(FLEET).full_state(full_state) == len(encoded)
    reader = FullStateReader(CODEC)
    reader.receive_data(encoded, 0)
    assert len(reader.updates) == members - 1


# Placement and links.


@given(st.integers(32, 3_000), st.lists(st.integers(1, 9), min_size=1, max_size=8))
def test_zones_share_all_front_ends_and_none_is_empty(front_ends: int, weights: list[int]) -> None:
    """For any number of front ends and any weights."""
    sizes = zone_sizes(front_ends, 32, weights)

    assert sum(sizes) == front_ends
    assert min(sizes) >= 1


def test_target_topology_has_2700_front_ends_in_9_regions_and_32_unequal_zones() -> None:
    """These are the users' figures."""
    topology = Topology(TARGET_FRONT_ENDS)

    assert len({site.address for site in topology.sites}) == TARGET_FRONT_ENDS
    assert len(set(topology.region_of_zone)) == TARGET_REGIONS
    assert len(topology.zone_counts()) == TARGET_ZONES
    assert max(topology.zone_counts()) > 3 * min(topology.zone_counts())
    with pytest.raises(TopologyError):
        Topology(31)


class LateNetwork(Network):
    """A faulty network in which each datagram takes 3 ms longer than the parameters allow."""

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """Returns the delay with 3 ms added."""
        delay = super().datagram_delay(sender, receiver)
        return None if delay is None else delay + 3 * MS


class LossyNetwork(Network):
    """A faulty network with twice the loss of its parameters."""

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """Draws the loss of each datagram twice."""
        first = super().datagram_delay(sender, receiver)
        return None if first is None else super().datagram_delay(sender, receiver)


@pytest.mark.parametrize(
    ("network", "is_valid"), [(Network, True), (LateNetwork, False), (LossyNetwork, False)]
)
def test_links_that_deviate_from_their_parameters_are_detected(
    network: type[Network], is_valid: bool
) -> None:
    """Both in latency and in loss."""
    topology = Topology(FRONT_ENDS)

    found = link_line(sample_links(network(topology, TWO_PERCENT, 1), topology, TWO_PERCENT))

    assert found.met is is_valid


def test_no_traffic_enters_or_leaves_a_partitioned_region() -> None:
    """Neither datagrams nor streams pass in either direction; traffic inside the region is not affected."""
    topology = Topology(FRONT_ENDS)
    network = Network(topology, NetworkParameters.with_loss(0, 0, 0), 1)
    inside, outside = topology.region_members(2), topology.region_members(3)

    network.cut(2)
    cut = [network.datagram_delay(inside[0], outside[0]), network.datagram_delay(outside[0], inside[0])]
    within = network.datagram_delay(inside[0], inside[-1])
    stream = network.stream_transfer(outside[0], inside[0], 1)
    network.heal(2)

    assert (cut, stream) == ([None, None], None)
    assert within is not None
    assert network.datagram_delay(inside[0], outside[0]) is not None


# Counting.


@given(
    st.lists(
        st.tuples(st.sampled_from(["start", "end", "see", "lose"]), st.integers(0, 4), st.integers(0, 4)), max_size=60
    )
)  # fmt: skip
def test_incremental_count_of_disagreement_equals_a_full_count(
    steps: list[tuple[str, int, int]],
) -> None:
    """The full count compares all lists with the running front ends at the end."""
    agreement = AgreementTracker(5)
    running = set[int]()
    lists = dict[int, set[int]]()

    for action, observer, member in steps:
        if action == "start" and observer not in running:
            agreement.started(observer)
            running.add(observer)
            lists[observer] = {observer}
        elif action == "end" and observer in running:
            agreement.ended(observer)
            running.discard(observer)
            del lists[observer]
        elif action in ("see", "lose") and observer in running and observer != member:
            agreement.set_listed(observer, member, action == "see")
            lists[observer] = lists[observer] | {member} if action == "see" else lists[observer] - {member}

    assert agreement.wrong_entries == sum(len(listed ^ running) for listed in lists.values())


@given(st.lists(st.lists(st.integers(0, 9), min_size=45, max_size=45), min_size=1, max_size=3))
def test_busiest_window_is_the_one_with_the_largest_sum(fronts: list[list[int]]) -> None:
    """Compared with the sum of every window."""
    width = WINDOW_NS // BUCKET_NS
    largest = max(sum(octets[start : start + width]) for octets in fronts for start in range(45))

    assert busiest_window(fronts, 0, 45 * BUCKET_NS).octets_per_second == largest * SECOND / WINDOW_NS


def test_quantile_is_infinite_if_too_many_durations_are_missing() -> None:
    """A duration that never ended counts as the longest."""
    durations = Durations()
    for _ in range(98):
        durations.add(SECOND)
    durations.missing = 2

    assert durations.quantile(0.5) == pytest.approx(1.0, abs=0.02)
    assert durations.quantile(0.99) == float("inf")
    assert durations.longest == float("inf")


def test_unobserved_event_counts_as_missing_only_once_it_is_overdue() -> None:
    """It counts only for running observers that still list another state."""
    propagation = PropagationTracker(lambda index: index // 2, 20 * SECOND)
    propagation.record_event(0, EventKind.CRASH, 0, [1, 2, 3, 4])
    propagation.record_event(5, EventKind.CRASH, 15 * SECOND, [1, 2])

    propagation.record_observation(1, 0, ObservedState.FAILED, 4 * SECOND)
    propagation.record_observation(2, 0, ObservedState.SUSPECTED, 4 * SECOND)
    propagation.record_observation(3, 0, ObservedState.UNREACHABLE, 5 * SECOND)
    propagation.observer_ended(4)
    propagation.finish(30 * SECOND)

    everywhere = propagation.everywhere[EventKind.CRASH]
    assert (everywhere.count, everywhere.missing) == (3, 1)
    assert (propagation.crash_in_own_zone.count, propagation.crash_in_own_zone.missing) == (1, 0)


def test_octets_of_an_update_do_not_depend_on_earlier_counts() -> None:
    """The cache of sizes is keyed by the whole update."""
    sizes = FlatSizes(FLEET)
    short = MemberUpdate("a", 1, 0, MemberState.ALIVE, "10.0.0.1", 1, "z", "1", bytes(16))

    counted = [sizes.update(short), sizes.update(replace(short, name="a" * 9)), sizes.update(replace(short))]

    assert counted == [counted[0], counted[0] + 8, counted[0]]
