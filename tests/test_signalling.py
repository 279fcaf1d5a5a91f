"""Parsers of external data: they are strict, their errors name the place, and they raise no other exception."""

from __future__ import annotations

import contextlib

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.syntax import parse_text
from oakcroft.front.node_list_client import NodeListError, parse_response
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp

OFFER = offer(800, 7)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (("v=0", "v=1"), "begin with v=0"),
        (("s=-\r\n", ""), "no s="),
        (("b=AS:800", "b=AS:many"), "whole number"),
        (("t=0 0", "t=0 0\r\nt=0 0\r\nx"), "not a line"),
        (("m=audio 9", "m=audio 99999"), "m= names"),
        (("t=0 0", "t=0 0\r\no=- 1 1 IN IP4 127.0.0.1"), "twice"),
        (("c=IN IP4 0.0.0.0", "t=0 0"), "no place in a media section"),
    ],
)
def test_a_malformed_description_is_rejected_with_its_reason(change: tuple[str, str], reason: str) -> None:
    """A malformed session description is rejected with the reason."""
    with pytest.raises(sdp.SdpError, match=reason):
        sdp.parse(OFFER.replace(*change))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (("a=recvonly", "a=sendonly"), "wanted recvonly"),
        (("a=ice-pwd:" + "p" * 24, "a=ice-pwd:short"), "ice-pwd"),
        (("sha-256", "md5"), "fingerprint"),
        (("a=setup:actpass", "a=setup:passive"), "setup"),
        (("BUNDLE 0 1", "BUNDLE 0"), "BUNDLE"),
        (("a=mid:1", "a=mid:0"), "twice"),
        (("UDP/TLS/RTP/SAVPF", "RTP/AVP"), "not secured"),
    ],
)
def test_an_offer_that_whep_does_not_allow_is_rejected(change: tuple[str, str], reason: str) -> None:
    """An offer that WHEP does not allow is rejected with the reason."""
    sdp.check_offer(sdp.parse(OFFER), False)
    with pytest.raises(sdp.SdpError, match=reason):
        sdp.check_offer(sdp.parse(OFFER.replace(*change)), False)


def test_an_answer_has_the_opposite_direction() -> None:
    """A generated answer parses and has the opposite direction of its offer."""
    for publishes in (False, True):
        parsed_offer = sdp.parse(offer(800, 7, publishes))
        sdp.check_offer(parsed_offer, publishes)
        answer = sdp.parse(
            sdp.create_answer(parsed_offer, 3, ("u" * 8, "p" * 24), "sha-256 " + ":".join(["AB"] * 32))
        )
        assert [answer.direction(m) for m in answer.media] == ["recvonly" if publishes else "sendonly"] * 2


def test_bandwidth_is_that_of_the_session_or_the_sum_of_its_media() -> None:
    """The bandwidth is that of the session, or the sum of its media sections."""
    assert sdp.session_bandwidth(sdp.parse(OFFER)) == (800, None)
    parts = OFFER.replace("b=AS:800\r\n", "").replace("c=IN IP4 0.0.0.0", "c=IN IP4 0.0.0.0\r\nb=TIAS:5000")
    assert sdp.session_bandwidth(sdp.parse(parts)) == (None, 10_000)


def test_headers_are_parsed_as_specified() -> None:
    """Link, Idempotency-Key and Accept headers are parsed as their specifications say."""
    value = '<a>; rel="x y"; q=1, <b,c>;rel=z , <d>'
    assert http_formats.parse_links([value]) == {"x": "a", "y": "a", "z": "b,c"}
    formatted = http_formats.format_link("/s", http_formats.REL_EVENTS, events="a,b")
    assert http_formats.parse_links([formatted]) == {http_formats.REL_EVENTS: "/s"}
    assert http_formats.parse_idempotency_key('"a b"') == "a b"
    assert http_formats.parse_idempotency_key("8e03978e-40d5") == "8e03978e-40d5"
    assert http_formats.parse_idempotency_key('"') is None
    assert http_formats.accepts_media_type("text/*;q=0.5, application/sdp", sdp.MEDIA_TYPE)
    assert not http_formats.accepts_media_type("application/sdp;q=0.000", sdp.MEDIA_TYPE)


def test_load_reports_are_parsed_in_both_encodings() -> None:
    """Load reports are read in both encodings; anything else gives an empty report."""
    load = http_formats.LoadReport(1.25, 1.0, 0.5)
    assert http_formats.parse_load_report(http_formats.format_load_report(load)) == load
    assert http_formats.parse_load_report(
        'JSON {"named_metrics": {"link_asked": 0.5}}'
    ) == http_formats.LoadReport(0.5)
    for bad in (None, "", "BIN AAAA", "JSON [", "JSON 3", "TEXT named_metrics.link_asked=nan", "TEXT a=b=c",
                "TEXT named_metrics.link_asked=-1", 'JSON {"named_metrics": {"link_asked": true}}'):  # fmt: skip
        assert http_formats.parse_load_report(bad) == http_formats.LoadReport()


def test_event_streams_are_parsed_from_chunks_of_any_size() -> None:
    """Server-sent events are parsed whatever the sizes of the chunks."""
    data = (
        http_formats.format_event("share", {"share": 0.5})
        + http_formats.KEEP_ALIVE_COMMENT
        + b"data: 1\r\ndata: 2\r\n\r\n"
    )
    for size in (1, 2, 7, 100):
        reader = http_formats.EventStreamParser()
        events = list[tuple[str, bytes]]()
        for i in range(0, len(data), size):
            events += reader.feed(data[i : i + size])
        assert events == [("share", b'{"share":0.5}'), ("", b""), ("message", b"1\n2")]
    with pytest.raises(ValueError, match="too long"):
        list(http_formats.EventStreamParser(100).feed(b"x" * 200))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.data())
def test_mutated_offers_parse_or_raise_sdp_error(data: st.DataObject) -> None:
    """Mutated offers parse or raise SdpError, and no other exception."""
    raw = bytearray(OFFER.encode())
    for _ in range(data.draw(st.integers(1, 6))):
        position = data.draw(st.integers(0, len(raw) - 1))
        raw[position : position + data.draw(st.integers(0, 9))] = data.draw(st.binary(max_size=6))
    text = bytes(raw).decode("latin-1")
    try:
        parsed_offer = sdp.parse(text)
        sdp.check_offer(parsed_offer, False)
    except sdp.SdpError:
        return
    sdp.parse(sdp.create_answer(parsed_offer, 1, ("uuuu", "p" * 22), "sha-256 " + ":".join(["AB"] * 32)))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=200), st.text(max_size=80))
def test_arbitrary_input_raises_only_declared_errors(raw: bytes, text: str) -> None:
    """Arbitrary bytes raise only the error that each parser declares."""
    for parse_function, error in ((sdp.parse, sdp.SdpError), (sdp.parse_fragment, sdp.SdpError)):
        with contextlib.suppress(error):
            parse_function(text)
    http_formats.parse_links([text])
    http_formats.parse_idempotency_key(text)
    http_formats.accepts_media_type(text, sdp.MEDIA_TYPE)
    http_formats.parse_load_report("JSON " + text)
    http_formats.parse_load_report("TEXT " + text)
    http_formats.problem_type(raw)
    with contextlib.suppress(ValueError):
        list(http_formats.EventStreamParser().feed(raw))
    with contextlib.suppress(NodeListError):
        parse_response(raw)
    parse_text(text, "f", Diagnostics())


LIST = {
    "version_info": "3", "control_plane": {"identifier": "s"},
    "resources": [{"cluster_name": "playout", "endpoints": [{"locality": {"zone": "w"}, "lb_endpoints": [{
        "endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": 9}}},
        "health_status": "DRAINING",
        "metadata": {"filter_metadata": {"oakcroft": {"name": "n", "cell": 0, "link_kb": 5, "places": 2}}},
    }]}]}],
}  # fmt: skip


def test_a_discovery_response_is_parsed_or_rejected_with_the_place_of_the_error() -> None:
    """A discovery response is parsed, or rejected with the place of the error."""
    lines, version, service = parse_response(orjson.dumps(LIST))
    assert (lines[0].name, lines[0].zone, lines[0].listing.value, version, service) == (
        "n",
        "w",
        "draining",
        3,
        "s",
    )
    raw = orjson.dumps(LIST)
    for old, new, reason in (
        (b'"cell":0', b'"cell":"x"', "cell"), (b"DRAINING", b"LIMPING", "LIMPING"), (b'"3"', b'"-3"', "whole number"),
    ):  # fmt: skip
        with pytest.raises(NodeListError, match=reason):
            parse_response(raw.replace(old, new))
