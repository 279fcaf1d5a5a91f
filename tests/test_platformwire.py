"""The codecs of the platform's protocol: round trips at any split, and invalid input."""

from __future__ import annotations

import copy
from typing import Any

import orjson
import pytest
from hypothesis import given, strategies as st
from platform_rig import SETTINGS

from oakcroft.interface import MS, NodeStatus
from oakcroft.platformwire import (
    answer_decoder,
    setup_request,
    command_channel,
    configuration,
    framing,
    json_lines,
)

SIDS = st.binary(min_size=8, max_size=8).map(bytes.hex)
PARAMS = st.dictionaries(st.integers(0, 255), st.binary(max_size=300), max_size=6)
FRAMES = st.lists(st.tuples(st.sampled_from(sorted(framing.MESSAGE_TYPES)), SIDS, PARAMS), max_size=6)
CUTS = st.lists(st.integers(1, 40), min_size=1, max_size=12)


def decode_in_pieces(codec: Any, data: bytes, cuts: list[int]) -> list[Any]:
    """Returns all events of the data, which is added in pieces whose lengths cycle through `cuts`."""
    events, at, i = [], 0, 0
    while at < len(data):
        codec.receive_data(data[at : at + cuts[i % len(cuts)]])
        at, i = at + cuts[i % len(cuts)], i + 1
        while (event := codec.next_event()) is not None:
            events.append(event)
    return events


def test_a_frame_is_encoded_as_specified() -> None:
    """The encoding is byte for byte that of the protocol's page."""
    data = framing.encode(framing.RELEASE, "9b1f03aa5c7e2d41", (106, b"250"), (framing.CAUSE, b"\x2a"))
    assert data == bytes.fromhex("0013 0c 9b1f03aa5c7e2d41 6a0003 323530 720001 2a")


@given(FRAMES, CUTS)
def test_frames_round_trip_at_any_split(
    messages: list[tuple[int, str, dict[int, bytes]]], cuts: list[int]
) -> None:
    """Messages survive a round trip however the bytes are split."""
    data = b"".join(framing.encode(kind, sid, *params.items()) for kind, sid, params in messages)
    frames = framing.FrameDecoder()
    assert decode_in_pieces(frames, data, cuts) == messages
    assert not frames.has_partial_message


@given(st.binary(max_size=600), CUTS)
def test_random_bytes_are_decoded_or_refused_alike_at_any_split(data: bytes, cuts: list[int]) -> None:
    """Random bytes are decoded or refused, the same at any split, and the buffer stays bounded."""

    def read(cuts: list[int]) -> tuple[list[Any], bool]:
        frames, events = framing.FrameDecoder(), []
        try:
            for event in (
                decode_in_pieces(frames, data[i : i + cuts[0]], cuts) for i in range(0, len(data), cuts[0])
            ):
                events += event
        except framing.ProtocolError:
            return events, True
        assert len(frames.buffer) <= framing.MAX_MESSAGE_BYTES
        return events, False

    assert read([1])[1] == read([cuts[0]])[1]


@pytest.mark.parametrize("length", [0, 1, 8, framing.MAX_MESSAGE_BYTES - 1, 65_535])
def test_an_invalid_length_is_refused_without_the_rest(length: int) -> None:
    """An impossible length is refused at once, without waiting for the message."""
    frames = framing.FrameDecoder()
    frames.receive_data(length.to_bytes(2, "big"))
    with pytest.raises(framing.ProtocolError):
        frames.next_event()


TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=200)


@given(st.lists(st.tuples(SIDS, TEXTS, st.integers(0, 255)), max_size=5), CUTS)
def test_lines_round_trip_at_any_split(messages: list[tuple[str, str, int]], cuts: list[int]) -> None:
    """JSON lines survive a round trip however the bytes are split."""
    data = b"".join(json_lines.encode("open", sid, {"key": text}, code, text) for sid, text, code in messages)
    assert decode_in_pieces(json_lines.LineDecoder(), data, cuts) == [
        ("open", s, {"key": t}, c, t) for s, t, c in messages
    ]


@given(st.binary(max_size=200))
def test_a_random_line_is_decoded_or_refused(data: bytes) -> None:
    """A random line is decoded or refused."""
    decoder = json_lines.LineDecoder()
    try:
        for _, sid, attrs, _, _ in decode_in_pieces(decoder, data + b"\n", [7]):
            assert sid == "" or json_lines.SESSION_ID_PATTERN.fullmatch(sid)
            json_lines.load_report(attrs)
    except framing.ProtocolError:
        pass


def test_a_line_without_an_end_is_refused_at_the_limit() -> None:
    """A line without an end is refused when it reaches the maximum length."""
    decoder = json_lines.LineDecoder()
    decoder.receive_data(b"x" * (framing.MAX_MESSAGE_BYTES - 1))
    assert decoder.next_event() is None
    decoder.receive_data(b"x")
    with pytest.raises(framing.ProtocolError):
        decoder.next_event()


def test_unreadable_parts_of_a_load_report_are_left_out() -> None:
    """Unreadable parts of a load report are left out."""
    assert json_lines.load_report({"load": "x0:1.5;x1:nan;queue:-1;odd;:3;b:inf;c:2"}) == {
        "x0": 1.5,
        "c": 2.0,
    }
    assert json_lines.load_report({"load": 3}) is None


VALID_PARAMETERS = {
    100: b"paid",
    101: b"1500",
    104: b"7f3a",
    105: b"home:1;copies:2;top:2;viewer:00",
    115: b"c=IN",
}
INVALID_PARAMETERS: list[dict[int, bytes]] = [
    {100: b""}, {100: b"none"}, {100: b"\xff"}, {101: b"nan"}, {101: b"-1"}, {101: b"inf"}, {101: b"1e9"},
    {101: b"1_0"}, {101: b" 5"}, {101: b""}, {104: b""}, {104: b"a\nb"}, {104: b"x" * 129}, {105: b"home"},
    {105: b"home:1;copies:2"}, {105: b"home:2;copies:2;top:2"}, {105: b"home:-1;copies:2;top:2"},
    {105: b"home:1;copies:3;top:2"}, {105: b"home:1;copies:2;top:9"}, {105: b"home:1;copies:2;top:1.5"},
    {105: b"home:1;home:1;copies:2;top:1"}, {110: b"much"}, {110: b"-3"}, {115: b""}, {115: b"\xff\xfe"},
    {115: b"\x01" * 4000},
]  # fmt: skip


def test_valid_set_up_requests_are_parsed_and_invalid_ones_refused() -> None:
    """Valid parameters are parsed; each invalid one is refused."""
    limits = setup_request.SetupLimits({"paid": 1000 * MS}, cell_count=2, rung_count=3)
    assert setup_request.parse_setup_request("0" * 15 + "1", VALID_PARAMETERS, limits) == (
        "paid",
        1500 * MS,
        "7f3a",
        1,
        2,
        2,
        "c=IN",
        "",
    )
    handed_over = VALID_PARAMETERS | {101: b"0", 105: b"home:1;copies:2;top:2;at:s-1"}
    assert setup_request.parse_setup_request("0" * 15 + "1", handed_over, limits)[-1] == "s-1"
    for invalid in INVALID_PARAMETERS:
        with pytest.raises(setup_request.SetupRequestError):
            setup_request.parse_setup_request("0" * 15 + "1", VALID_PARAMETERS | invalid, limits)
    with pytest.raises(setup_request.SetupRequestError):
        setup_request.parse_setup_request(setup_request.NULL_SESSION_ID, VALID_PARAMETERS, limits)


@given(st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=6000))
def test_an_accepted_description_fits_a_line_with_its_escapes(text: str) -> None:
    """A description that is accepted fits a node's line even if JSON escapes lengthen it."""
    if json_lines.fits_line("paid", "t" * 100, text):
        attrs: json_lines.Attributes = {"class": "paid", "left": "99999", "key": "t" * 100, "rung": "63"}
        assert len(json_lines.encode("open", "0" * 16, attrs, None, text)) <= framing.MAX_MESSAGE_BYTES


MEMBER = {"id": "s", "host_port": "10.1.0.9:5070", "locality": "e", "flavor": "k", "cell": 2, "phase": "up", "size": 4,
          "up_since_ms": 7}  # fmt: skip


def test_channel_documents_are_decoded_completely_or_not_at_all() -> None:
    """A document with an invalid field, or cut off anywhere, yields no events."""

    def body(**changes: Any) -> bytes:
        nodes = {"complete": True, "members": [MEMBER | changes]}
        return orjson.dumps({"cursor": 4, "cmds": [{"cursor": 4, "nodes": nodes}]})

    member = ("s", ("10.1.0.9", 5070), "e", "k", 2, NodeStatus.READY, 4.0, 7 * MS)
    assert answer_decoder.decode_answer(body()) == (4, [(4, True, [member])])
    assert answer_decoder.decode_answer(b'{"cursor":4,"cmds":[]}') == (4, [])
    invalid_fields: list[dict[str, Any]] = [
        {"id": ""}, {"id": 3}, {"phase": "new"}, {"host_port": "name:5070"}, {"host_port": "10.1.0.9:0"}, {"size": -1},
        {"cell": -1}, {"cell": "1"}, {"up_since_ms": -4}, {"locality": 3},
    ]  # fmt: skip
    for fields in invalid_fields:
        with pytest.raises(command_channel.ChannelError):
            answer_decoder.decode_answer(body(**fields))
    for cut in range(len(body())):
        with pytest.raises(command_channel.ChannelError):
            answer_decoder.decode_answer(body()[:cut])


MAX_SOCKETS = 256
CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:5070",
    "seed": "8c1f",
    "limits": {"sockets": MAX_SOCKETS, "memory_mb": 32},
    "channel": "127.0.0.1:9092",
    "known": {"cursor": 0, "cmds": []},
    "settings": SETTINGS,
}


def test_an_invalid_configuration_names_the_field() -> None:
    """The error names the field that is missing or invalid."""
    assert configuration.decode(orjson.dumps(CONFIGURATION)).max_sockets == MAX_SOCKETS
    faults: list[tuple[list[Any], Any, str]] = [
        (["listen"], None, "listen"), (["channel"], "here:1", "channel"), (["seed"], "zz", "seed"),
        (["limits", "sockets"], "many", "limits.sockets"), (["limits", "sockets"], 3, "limits.sockets"),
        (["limits", "memory_mb"], None, "memory_mb"), (["limits", "memory_mb"], 0, "memory_mb"),
        (["settings", "rules"], None, "rules"), (["settings", "permissions", "connIdleMs"], 0, "connIdleMs"),
        (["known"], {"cmds": 3}, "known"), (["settings", "familyInfo", "weightKb"], "x", "familyInfo.weightKb"),
        (["settings", "classes", 1, "effect"], "odd", r"classes\[1\].effect: 'odd'"),
        (["settings", "classes", 0, "deadlineMs"], None, r"classes\[0\].deadlineMs is missing"),
        (["settings", "classes", 0, "deadlineMs"], -5, r"classes\[0\].deadlineMs: '-5'"),
        (["settings", "classes", 1, "name"], "paid", r"classes\[1\].name: 'paid' is used twice"),
        (["settings", "classes", 1, "worth"], "much", r"classes\[1\].worth"),
        (["settings", "classes"], [], "classes: a non-empty list"),
        (["settings", "rules", "coldShare"], 1.5, "rules.coldShare"),
        (["settings", "rules", "fallMultiple"], 0, "rules.fallMultiple"), (["settings", "balancers"], -1, "balancers"),
        (["settings", "rules", "overloadForMs"], None, "rules.overloadForMs is missing"),
        (["settings", "familyInfo", "ratesKb", 1], -2, r"ratesKb\[1\]"),
        (["settings", "familyInfo", "classSeats"], [1], "classSeats: length 1, but classes has length 2"),
        (["settings", "familyInfo", "kindSlots"], [], "kindSlots"),
        (["settings", "permissions", "maxAttempts"], 0, "permissions.maxAttempts"),
        (["settings", "permissions"], None, "permissions"), (["settings"], [], "balancers"),
        (["limits", "cores"], "all", "limits.cores"),
    ]  # fmt: skip
    for path, value, named in faults:
        raw_configuration = copy.deepcopy(CONFIGURATION)
        parent: Any = raw_configuration
        for step in path[:-1]:
            parent = parent[step]
        if value is None:
            del parent[path[-1]]
        else:
            parent[path[-1]] = value
        with pytest.raises(configuration.ConfigurationError, match=named):
            configuration.decode(orjson.dumps(raw_configuration))
    for body in (b"", b"[]", b"{"):
        with pytest.raises(configuration.ConfigurationError):
            configuration.decode(body)


def test_stored_messages_keep_only_used_attributes() -> None:
    """Of a stored message only the attributes that are read are kept, and no long ones."""
    attributes: json_lines.Attributes = {
        "note": "fill",
        "value": 1.5,
        "load": "x" * 5_000,
        "other": "o" * 9_000,
    }
    assert json_lines.kept_attributes(attributes) == {"note": "fill", "value": 1.5}
    assert json_lines.kept_attributes({"load": "x0:1"}) == {"load": "x0:1"}
