"""Session descriptions (RFC 8866), as strictly as a WHIP or WHEP endpoint needs them, and answers to them.

A description is read line by line into its session part and its media parts. What is checked beyond the grammar is
what RFC 9725 4.2 and the WHEP draft demand of an offer: bundled audio and video, one direction for each kind of
client, ICE credentials, a DTLS fingerprint and a setup role that leaves the choice to the answerer.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MEDIA_TYPE = "application/sdp"
LINE_PATTERN = re.compile(r"^([a-z])=(.*)$")
TOKEN_PATTERN = re.compile(r"^[!#$%&'*+\-.0-9A-Z^_`a-z{|}~]+$")
MEDIA_PATTERN = re.compile(
    r"^(audio|video|text|application|message|image) (\d{1,5})(?:/\d{1,5})? (\S+) (.+)$"
)
ORIGIN_PATTERN = re.compile(r"^\S+ \d{1,20} \d{1,20} IN (IP4|IP6) \S+$")
BANDWIDTH_PATTERN = re.compile(r"^([A-Za-z0-9\-]+):(\d{1,12})$")
UFRAG_PATTERN = re.compile(r"^[A-Za-z0-9+/]{4,256}$")
PWD_PATTERN = re.compile(r"^[A-Za-z0-9+/]{22,256}$")
FINGERPRINT_PATTERN = re.compile(
    r"^(sha-1|sha-224|sha-256|sha-384|sha-512) [0-9A-Fa-f]{2}(:[0-9A-Fa-f]{2}){19,63}$", re.I
)
DIRECTIONS = ("sendrecv", "sendonly", "recvonly", "inactive")
MAX_LINES, MAX_MEDIA_SECTIONS = 2_000, 32


class SdpError(ValueError):
    """What is wrong with a description, and the 1-based line where it shows (0: it lacks something)."""

    def __init__(self, reason: str, line: int = 0) -> None:
        super().__init__(f"line {line}: {reason}" if line else reason)
        self.reason, self.line = reason, line


@dataclass
class MediaSection:
    """One m= section."""

    kind: str
    port: int
    proto: str
    formats: list[str]
    line: int
    attributes: list[tuple[str, str]] = field(default_factory=list)
    bandwidth: dict[str, int] = field(default_factory=dict)

    def attribute(self, name: str) -> str | None:
        """The first attribute of that name; "" for a flag."""
        return next((v for n, v in self.attributes if n == name), None)


@dataclass
class Description:
    """A whole session description."""

    origin: str
    attributes: list[tuple[str, str]] = field(default_factory=list)
    bandwidth: dict[str, int] = field(default_factory=dict)
    media: list[MediaSection] = field(default_factory=list)

    def attribute(self, name: str) -> str | None:
        """The first session-level attribute of that name; "" for a flag."""
        return next((v for n, v in self.attributes if n == name), None)

    def media_attribute(self, media: MediaSection, name: str) -> str | None:
        """An attribute of a media section, or the session's where the section has none (RFC 8839 5.4)."""
        own = media.attribute(name)
        return own if own is not None else self.attribute(name)

    def direction(self, media: MediaSection) -> str:
        """The media's direction (RFC 8866 6.7); sendrecv where none is stated."""
        for source in (media.attributes, self.attributes):
            for name, _ in source:
                if name in DIRECTIONS:
                    return name
        return "sendrecv"


def parse(text: str) -> Description:
    """Reads a description. SdpError names the line of the first fault."""
    lines = text.split("\n")
    if lines and lines[-1] == "":
        lines.pop()
    if not lines:
        raise SdpError("it is empty")
    if len(lines) > MAX_LINES:
        raise SdpError(f"more than {MAX_LINES} lines")
    seen, description, media = "", Description(""), None
    for number, raw in enumerate(lines, 1):
        line = raw[:-1] if raw.endswith("\r") else raw
        match = LINE_PATTERN.match(line)
        if not match or "\0" in line or "\r" in line:
            raise SdpError("not a line of the form x=value", number)
        kind, value = match[1], match[2]
        if number == 1 and line != "v=0":
            raise SdpError("it must begin with v=0", number)
        if kind == "m":
            media = _media(value, number)
            description.media.append(media)
            if len(description.media) > MAX_MEDIA_SECTIONS:
                raise SdpError(f"more than {MAX_MEDIA_SECTIONS} media sections", number)
        else:
            _order(kind, seen, media is not None, number)
            _take(description, media, kind, value, number)
        seen += kind if media is None and kind not in seen else ""
    for kind, name in (("o", "origin"), ("s", "session name"), ("t", "time")):
        if kind not in seen:
            raise SdpError(f"no {kind}= line ({name})")
    return description


def _media(value: str, number: int) -> MediaSection:
    match = MEDIA_PATTERN.match(value)
    if not match or int(match[2]) > 65_535:
        raise SdpError("m= names kind, port, protocol and formats", number)
    formats = match[4].split(" ")
    if not all(TOKEN_PATTERN.match(f) for f in formats):
        raise SdpError("a format is no token", number)
    return MediaSection(match[1], int(match[2]), match[3], formats, number)


LINE_ORDER = "vosiuepcbtrzka"


def _order(kind: str, seen: str, in_media: bool, number: int) -> None:
    if in_media:
        if kind not in "icbka":
            raise SdpError(f"{kind}= has no place in a media section", number)
        return
    if kind not in LINE_ORDER:
        raise SdpError(f"{kind}= is no line of a description", number)
    if kind in seen and kind not in "epbtrka":
        raise SdpError(f"{kind}= stands in it twice", number)
    later = [k for k in seen if LINE_ORDER.index(k) > LINE_ORDER.index(kind)]
    if later and not (kind in "tr" and set(later) <= {"r", "t"}):
        raise SdpError(f"{kind}= comes after {later[0]}=", number)


def _take(description: Description, media: MediaSection | None, kind: str, value: str, number: int) -> None:
    if kind == "o":
        if not ORIGIN_PATTERN.match(value):
            raise SdpError("o= names user, two numbers and an address", number)
        description.origin = value
    elif kind == "b":
        match = BANDWIDTH_PATTERN.match(value)
        if not match:
            raise SdpError("b= names a kind and a whole number", number)
        (media or description).bandwidth[match[1]] = int(match[2])
    elif kind == "a":
        name, colon, rest = value.partition(":")
        if not TOKEN_PATTERN.match(name) or (colon and not rest):
            raise SdpError("a= names an attribute", number)
        (media or description).attributes.append((name, rest))


def check_offer(offer: Description, publishes: bool) -> None:
    """What WHIP (`publishes`) or WHEP demands of an offer. SdpError says what is missing and where.

    RFC 9725 4.2: sendonly or sendrecv media in an offer to publish, one bundle, `setup:actpass` or active. WHEP: the
    other direction. Both: ICE credentials (RFC 8839 5.4) and a fingerprint (RFC 8122).
    """
    live = [m for m in offer.media if m.port != 0 or m.attribute("bundle-only") is not None]
    if not any(m.kind in ("audio", "video") for m in live):
        raise SdpError("it offers neither audio nor video")
    wanted = ("sendonly", "sendrecv") if publishes else ("recvonly", "sendrecv")
    mids = set[str]()
    for m in live:
        if m.proto not in ("UDP/TLS/RTP/SAVPF", "TCP/TLS/RTP/SAVPF", "UDP/DTLS/SCTP", "TCP/DTLS/SCTP"):
            raise SdpError(f"{m.proto} is not secured media", m.line)
        if m.kind in ("audio", "video") and offer.direction(m) not in wanted:
            raise SdpError(f"media is {offer.direction(m)}, wanted {wanted[0]}", m.line)
        if not UFRAG_PATTERN.match(offer.media_attribute(m, "ice-ufrag") or "") or not PWD_PATTERN.match(
            offer.media_attribute(m, "ice-pwd") or ""
        ):
            raise SdpError("no usable ice-ufrag and ice-pwd", m.line)
        if not FINGERPRINT_PATTERN.match(offer.media_attribute(m, "fingerprint") or ""):
            raise SdpError("no usable DTLS fingerprint", m.line)
        if offer.media_attribute(m, "setup") not in ("actpass", "active"):
            raise SdpError("setup must be actpass or active", m.line)
        if (mid := m.attribute("mid")) is not None:
            if mid in mids:
                raise SdpError(f"mid {mid} stands in it twice", m.line)
            mids.add(mid)
    if len(live) > 1:
        bundle = set((offer.attribute("group") or "").split(" ")[1:])
        if (
            not (offer.attribute("group") or "").startswith("BUNDLE ")
            or not mids <= bundle
            or len(mids) < len(live)
        ):
            raise SdpError("all media must be in one BUNDLE group")


def ice_ufrag(offer: Description) -> str:
    """The ICE user fragment of an offer's first media section."""
    return (offer.media_attribute(offer.media[0], "ice-ufrag") if offer.media else None) or ""


def session_bandwidth(offer: Description) -> tuple[int | None, int | None]:
    """(AS in kbit/s, TIAS in bit/s) of the whole session: stated there, or the sum over the video and audio."""

    def stated(name: str) -> int | None:
        if name in offer.bandwidth:
            return offer.bandwidth[name]
        parts = [m.bandwidth[name] for m in offer.media if name in m.bandwidth]
        return sum(parts) if parts else None

    return stated("AS"), stated("TIAS")


def create_answer(offer: Description, session: int, credentials: tuple[str, str], fingerprint: str) -> str:
    """An answer to a checked offer: every media section is taken, in the other direction."""
    turn = {"sendonly": "recvonly", "recvonly": "sendonly", "sendrecv": "sendrecv", "inactive": "inactive"}
    out = ["v=0", f"o=- {session} 1 IN IP4 127.0.0.1", "s=-", "t=0 0"]
    if group := offer.attribute("group"):
        out.append(f"a=group:{group}")
    out.append("a=ice-lite")
    for m in offer.media:
        out += [f"m={m.kind} 9 {m.proto} {m.formats[0]}", "c=IN IP4 0.0.0.0"]
        if (mid := m.attribute("mid")) is not None:
            out.append(f"a=mid:{mid}")
        out += [
            f"a=ice-ufrag:{credentials[0]}",
            f"a=ice-pwd:{credentials[1]}",
            f"a=fingerprint:{fingerprint}",
        ]
        out += ["a=setup:passive", f"a={turn[offer.direction(m)]}", "a=rtcp-mux"]
    return "\r\n".join(out) + "\r\n"


@dataclass
class Fragment:
    """A trickle fragment (RFC 8840 9): the ICE credentials it names and its candidates."""

    ufrag: str
    pwd: str
    candidates: list[str]
    ended: bool


def parse_fragment(text: str) -> Fragment:
    """Reads an `application/trickle-ice-sdpfrag` body. SdpError names the line of the first fault."""
    fragment = Fragment("", "", [], False)
    for number, raw in enumerate(text.splitlines(), 1):
        match = LINE_PATTERN.match(raw)
        if not match or match[1] not in "am":
            raise SdpError("a fragment holds a= and m= lines", number)
        if match[1] == "m":
            _media(match[2], number)
            continue
        name, _, value = match[2].partition(":")
        if name == "ice-ufrag":
            if not UFRAG_PATTERN.match(value):
                raise SdpError("no usable ice-ufrag", number)
            fragment.ufrag = fragment.ufrag or value
        elif name == "ice-pwd":
            if not PWD_PATTERN.match(value):
                raise SdpError("no usable ice-pwd", number)
            fragment.pwd = fragment.pwd or value
        elif name == "candidate":
            if len(value.split(" ")) < 8 or " typ " not in value:
                raise SdpError("a candidate names at least foundation to type (RFC 8839 5.1)", number)
            fragment.candidates.append(value)
        elif name == "end-of-candidates":
            fragment.ended = True
        elif not TOKEN_PATTERN.match(name):
            raise SdpError("a= names an attribute", number)
    if not fragment.ufrag and not fragment.candidates and not fragment.ended:
        raise SdpError("it names neither credentials nor candidates")
    return fragment
