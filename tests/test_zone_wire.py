"""The messages between zones as octets: they come back as they were, and whatever is none of them is dropped."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given, settings, strategies as st

from oakcroft.decisions.membership.member import MAX_INCARNATION, MAX_NAME_LENGTH, MAX_PORT, MemberState
from oakcroft.decisions.membership.zone_messages import (
    LookupAnswer,
    LookupRequest,
    MemberRecord,
    ZoneDigest,
    ZoneMessage,
    ZoneRecords,
    ZoneRequest,
    estimated_size,
)
from oakcroft.decisions.membership.zone_summary import (
    MAX_COUNTER,
    MAX_DELEGATES,
    MAX_FINGERPRINT,
    MAX_ZONE_NAME_LENGTH,
    DigestEntry,
    MemberChange,
    StateCounts,
    ZoneContact,
    ZoneSummary,
)
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES, MembershipCodec
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.peerwire.zone_codec import ZONE_FORMAT, ZoneCodec

KEY = b"k" * 32
RING = KeyRing((KEY,))
CODEC = ZoneCodec("one", RING)
SENDER = ZoneContact("front-1", 1_700_000_000_000_000, "north-1", "127.0.0.1", 7_946)
FEW = 4
GENERATION = 1_700_000_000_000_000
SIZE_TOLERANCE = 0.1

names = st.text("abcdefgh-0123456789", min_size=1, max_size=12)
hosts = st.sampled_from(["127.0.0.1", "10.20.30.40", "::1"])
ports = st.integers(1, MAX_PORT)
generations = st.integers(1, 1 << 56)
counters = st.integers(0, MAX_COUNTER - 1)
fingerprints = st.integers(0, MAX_FINGERPRINT - 1)
counts = st.integers(0, 1_024)
entries = st.builds(DigestEntry, names, generations, counters, fingerprints, counters)
incarnations = st.integers(0, MAX_INCARNATION - 1)
changes = st.builds(MemberChange, names, generations, incarnations, st.sampled_from(MemberState))
members = st.builds(
    MemberRecord, names, generations, incarnations, st.sampled_from(MemberState), hosts, ports
)


@st.composite
def summaries(draw: st.DrawFn) -> ZoneSummary:
    """A summary whose delegates are of its zone, as all that are plausible."""
    zone = draw(names)
    delegate = st.builds(ZoneContact, names, generations, st.just(zone), hosts, ports)
    return ZoneSummary(
        zone, draw(names), draw(names), draw(generations), draw(counters), draw(counters),
        draw(st.builds(StateCounts, counts, counts, counts)),
        tuple(draw(st.lists(delegate, max_size=MAX_DELEGATES))), draw(fingerprints),
        tuple(draw(st.lists(changes, max_size=FEW))),
    )  # fmt: skip


messages: st.SearchStrategy[ZoneMessage] = st.one_of(
    st.builds(ZoneDigest, st.lists(entries, max_size=16).map(tuple), st.booleans()),
    st.builds(ZoneRequest, st.lists(names, max_size=16).map(tuple)),
    st.builds(ZoneRecords, st.lists(summaries(), max_size=2).map(tuple)),
    st.builds(LookupRequest, counters, names, names),
    st.builds(LookupAnswer, counters, names, names, st.none() | members),
)


def opened(octets: bytes) -> bytes:
    """What the seal of a datagram holds."""
    found = RING.open(octets, 0)
    assert found is not None
    return found


@given(messages)
def test_each_message_comes_back_as_it_was(message: ZoneMessage) -> None:
    """Round trip; a summary keeps its fingerprint, by which fronts tell contents apart."""
    octets = CODEC.encode(SENDER, message)
    assert len(octets) <= MAX_DATAGRAM_BYTES
    received = CODEC.read(opened(octets))
    assert received.sender == SENDER
    assert received.message == message
    if isinstance(message, ZoneRecords) and isinstance(received.message, ZoneRecords):
        told = [summary.fingerprint for summary in received.message.summaries]
        assert told == [summary.fingerprint for summary in message.summaries]


@settings(max_examples=300)
@given(messages, st.data())
def test_whatever_comes_of_spoilt_octets_is_a_message_or_dropped(
    message: ZoneMessage, data: st.DataObject
) -> None:
    """A holder of the key that is broken: no other error leaves the codec."""
    octets = bytearray(opened(CODEC.encode(SENDER, message)))
    for _ in range(data.draw(st.integers(1, FEW))):
        octets[data.draw(st.integers(1, len(octets) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(1, len(octets)))
    for spoilt in (bytes(octets), bytes(octets[:cut])):
        with suppress(MessageError):
            CODEC.read(spoilt)


@given(st.binary(max_size=200))
def test_garbage_under_the_key_is_dropped(octets: bytes) -> None:
    """Whatever the format says, what follows is no message."""
    with pytest.raises(MessageError):
        CODEC.read(bytes((ZONE_FORMAT,)) + octets)


def test_reasons_are_told_apart() -> None:
    """Operators see by the count which it was."""
    digest = ZoneDigest((DigestEntry("north-1", GENERATION, 1, 2, 3),), wants_answer=True)
    sound = opened(CODEC.encode(SENDER, digest))
    with pytest.raises(MessageError, match="other form"):
        CODEC.read(bytes((ZONE_FORMAT + 1,)) + sound[1:])
    with pytest.raises(MessageError, match="other fleet"):
        CODEC.read(opened(ZoneCodec("two", RING).encode(SENDER, digest)))
    with pytest.raises(MessageError, match="malformed"):
        CODEC.read(sound[:-1])
    by_name = ZoneContact("a", GENERATION, "z", "host-a", 1)
    with pytest.raises(MessageError, match="malformed"):
        CODEC.read(opened(CODEC.encode(by_name, digest)))


def test_a_delegate_at_a_name_is_dropped() -> None:
    """Nobody may have to look a name up."""
    delegate = ZoneContact("a", GENERATION, "z", "host-a", 1)
    summary = ZoneSummary("z", "r", "a", GENERATION, 1, 1, StateCounts(1, 0, 0), (delegate,), 0, ())
    with pytest.raises(MessageError, match="malformed"):
        CODEC.read(opened(CODEC.encode(SENDER, ZoneRecords((summary,)))))


def test_what_does_not_fit_a_datagram_is_not_written() -> None:
    """The decisions pack what fits; a message that is too long all the same is an error here, never cut."""
    zones = tuple("z" * MAX_ZONE_NAME_LENGTH + str(i) for i in range(64))
    with pytest.raises(MessageError, match="too long"):
        CODEC.encode(SENDER, ZoneRequest(zones))


def test_a_program_that_knows_no_zones_drops_them_as_another_form() -> None:
    """A fleet in the middle of an upgrade: the flat codec counts them and goes on."""
    octets = CODEC.encode(SENDER, ZoneRequest(("north-1",)))
    with pytest.raises(MessageError, match="other form"):
        MembershipCodec("one", RING).decode(octets, 0)


def test_the_budget_reckons_with_true_sizes() -> None:
    """What the decisions charge for a message is what its datagram takes, within a tenth."""
    delegates = tuple(
        ZoneContact(f"front-{i:04}", GENERATION + i, "north-01", "127.10.20.30", 7_946) for i in range(3)
    )
    told = tuple(MemberChange(f"front-{i:04}", GENERATION + i, 2, MemberState.FAILED) for i in range(12))
    summary = ZoneSummary(
        "north-01", "north", "front-0001", GENERATION, 300, 4_000, StateCounts(84, 2, 1), delegates,
        MAX_FINGERPRINT - 1, told,
    )  # fmt: skip
    entry = DigestEntry("north-01", GENERATION, 300, MAX_FINGERPRINT - 1, 4_000)
    sender = ZoneContact("front-0001", GENERATION, "north-01", "127.10.20.30", 7_946)
    codec = ZoneCodec("oakcroft", RING)
    for message in (
        ZoneDigest((entry,), wants_answer=False),
        ZoneDigest((entry,) * 32, wants_answer=True),
        ZoneRecords((summary,)),
        ZoneRequest(("north-01",) * 8),
    ):
        size = len(codec.encode(sender, message))
        assert abs(estimated_size(message) - size) <= SIZE_TOLERANCE * size, (size, estimated_size(message))


def test_the_longest_names_fit() -> None:
    """A summary of nothing but the longest names, with one change, goes out all the same."""
    name = "n" * MAX_NAME_LENGTH
    zone = "z" * MAX_ZONE_NAME_LENGTH
    delegate = ZoneContact(name, GENERATION, zone, "255.255.255.255", MAX_PORT)
    change = MemberChange(name, GENERATION, 1, MemberState.LEFT)
    summary = ZoneSummary(
        zone, zone, name, GENERATION, 1, 1, StateCounts(1, 0, 0), (delegate,) * MAX_DELEGATES, 0, (change,)
    )
    assert len(CODEC.encode(SENDER, ZoneRecords((summary,)))) <= MAX_DATAGRAM_BYTES
