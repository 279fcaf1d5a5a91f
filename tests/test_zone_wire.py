"""Codec of messages between zones: round trips, and invalid messages."""

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
    """Summaries whose delegates are of their zone, as in all plausible summaries."""
    zone = draw(names)
    delegate = st.builds(ZoneContact, names, generations, st.just(zone), hosts, ports)
    return ZoneSummary(
        zone,
        draw(names),
        draw(names),
        draw(generations),
        draw(counters),
        draw(counters),
        draw(st.builds(StateCounts, counts, counts, counts)),
        tuple(draw(st.lists(delegate, max_size=MAX_DELEGATES))),
        draw(fingerprints),
        tuple(draw(st.lists(changes, max_size=FEW))),
    )


messages: st.SearchStrategy[ZoneMessage] = st.one_of(
    st.builds(ZoneDigest, st.lists(entries, max_size=16).map(tuple), st.booleans()),
    st.builds(ZoneRequest, st.lists(names, max_size=16).map(tuple)),
    st.builds(ZoneRecords, st.lists(summaries(), max_size=2).map(tuple)),
    st.builds(LookupRequest, counters, names, names),
    st.builds(LookupAnswer, counters, names, names, st.none() | members),
)


def opened(octets: bytes) -> bytes:
    """The content of a sealed datagram."""
    content = RING.open(octets, 0)
    assert content is not None
    return content


@given(messages)
def test_messages_survive_encoding_and_decoding(message: ZoneMessage) -> None:
    """A decoded summary has the same fingerprint, which identifies its content."""
    octets = CODEC.encode(SENDER, message)
    assert len(octets) <= MAX_DATAGRAM_BYTES
    received = CODEC.read(opened(octets))
    assert received.sender == SENDER
    assert received.message == message
    if isinstance(message, ZoneRecords) and isinstance(received.message, ZoneRecords):
        decoded = [summary.fingerprint for summary in received.message.summaries]
        assert decoded == [summary.fingerprint for summary in message.summaries]


@settings(max_examples=300)
@given(messages, st.data())
def test_corrupted_messages_are_decoded_or_raise_message_error(
    message: ZoneMessage, data: st.DataObject
) -> None:
    """A faulty holder of the key may send anything; the codec raises no other error."""
    octets = bytearray(opened(CODEC.encode(SENDER, message)))
    for _ in range(data.draw(st.integers(1, FEW))):
        octets[data.draw(st.integers(1, len(octets) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(1, len(octets)))
    for corrupted in (bytes(octets), bytes(octets[:cut])):
        with suppress(MessageError):
            CODEC.read(corrupted)


@given(st.binary(max_size=200))
def test_random_octets_after_the_format_byte_are_rejected(octets: bytes) -> None:
    """The format byte alone does not make a valid message."""
    with pytest.raises(MessageError):
        CODEC.read(bytes((ZONE_FORMAT,)) + octets)


def test_drop_reasons_are_distinguished() -> None:
    """Dropped messages are counted by reason, for operators."""
    digest = ZoneDigest((DigestEntry("north-1", GENERATION, 1, 2, 3),), wants_answer=True)
    valid = opened(CODEC.encode(SENDER, digest))
    with pytest.raises(MessageError, match="other form"):
        CODEC.read(bytes((ZONE_FORMAT + 1,)) + valid[1:])
    with pytest.raises(MessageError, match="other fleet"):
        CODEC.read(opened(ZoneCodec("two", RING).encode(SENDER, digest)))
    with pytest.raises(MessageError, match="malformed"):
        CODEC.read(valid[:-1])
    sender_with_host_name = ZoneContact("a", GENERATION, "z", "host-a", 1)
    with pytest.raises(MessageError, match="malformed"):
        CODEC.read(opened(CODEC.encode(sender_with_host_name, digest)))


def test_a_delegate_with_a_host_name_is_rejected() -> None:
    """A host name would have to be resolved, which blocks the process."""
    delegate = ZoneContact("a", GENERATION, "z", "host-a", 1)
    summary = ZoneSummary("z", "r", "a", GENERATION, 1, 1, StateCounts(1, 0, 0), (delegate,), 0, ())
    with pytest.raises(MessageError, match="malformed"):
        CODEC.read(opened(CODEC.encode(SENDER, ZoneRecords((summary,)))))


def test_a_message_that_does_not_fit_a_datagram_is_an_error() -> None:
    """Senders split messages to fit; the codec never truncates one."""
    zones = tuple("z" * MAX_ZONE_NAME_LENGTH + str(i) for i in range(64))
    with pytest.raises(MessageError, match="too long"):
        CODEC.encode(SENDER, ZoneRequest(zones))


def test_a_program_without_zones_drops_zone_messages_as_another_format() -> None:
    """During an upgrade of a fleet the flat codec rejects them with a reason that is counted."""
    octets = CODEC.encode(SENDER, ZoneRequest(("north-1",)))
    with pytest.raises(MessageError, match="other form"):
        MembershipCodec("one", RING).decode(octets, 0)


def test_estimated_sizes_match_encoded_sizes() -> None:
    """The traffic budget charges the estimated size of a message, which must be within a tenth of its datagram's."""
    delegates = tuple(
        ZoneContact(f"front-{i:04}", GENERATION + i, "north-01", "127.10.20.30", 7_946) for i in range(3)
    )
    listed = tuple(MemberChange(f"front-{i:04}", GENERATION + i, 2, MemberState.FAILED) for i in range(12))
    summary = ZoneSummary(
        "north-01",
        "north",
        "front-0001",
        GENERATION,
        300,
        4_000,
        StateCounts(84, 2, 1),
        delegates,
        MAX_FINGERPRINT - 1,
        listed,
    )
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
    """A summary with only the longest names and one change fits in a datagram."""
    name = "n" * MAX_NAME_LENGTH
    zone = "z" * MAX_ZONE_NAME_LENGTH
    delegate = ZoneContact(name, GENERATION, zone, "255.255.255.255", MAX_PORT)
    change = MemberChange(name, GENERATION, 1, MemberState.LEFT)
    summary = ZoneSummary(
        zone, zone, name, GENERATION, 1, 1, StateCounts(1, 0, 0), (delegate,) * MAX_DELEGATES, 0, (change,)
    )
    assert len(CODEC.encode(SENDER, ZoneRecords((summary,)))) <= MAX_DATAGRAM_BYTES
