"""Strict parser of session descriptions (RFC 8866) for WHIP and WHEP, and answers to offers.

A description is parsed line by line into its session section and its media sections. Beyond the grammar, an offer is
checked for what RFC 9725 4.2 and the WHEP draft require: bundled audio and video, one direction for each kind of
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
OPPOSITE_DIRECTIONS = {
    "sendonly": "recvonly",
    "recvonly": "sendonly",
    "sendrecv": "sendrecv",
    "inactive": "inactive",
}
SECURE_PROTOCOLS = ("UDP/TLS/RTP/SAVPF", "TCP/TLS/RTP/SAVPF", "UDP/DTLS/SCTP", "TCP/DTLS/SCTP")
MAX_LINES = 2_000
MAX_MEDIA_SECTIONS = 32
MAX_PORT = 65_535
MIN_CANDIDATE_FIELDS = 8  # foundation to type (RFC 8839 5.1)

SESSION_LINE_ORDER = "vosiuepcbtrzka"
REPEATABLE_LINES = "epbtrka"
MEDIA_SECTION_LINES = "icbka"
REQUIRED_LINES = (("o", "origin"), ("s", "session name"), ("t", "time"))


class SdpError(ValueError):
    """A description is malformed or not acceptable: the reason and the 1-based line (0: something is missing)."""

    def __init__(self, reason: str, line: int = 0) -> None:
        """`line`: 1-based line of the error, or 0."""
        super().__init__(f"line {line}: {reason}" if line else reason)
        self.reason = reason
        self.line = line


@dataclass
class MediaSection:
    """One media section, which begins with an m= line."""

    kind: str
    port: int
    proto: str
    formats: list[str]
    line: int
    attributes: list[tuple[str, str]] = field(default_factory=list)
    bandwidth: dict[str, int] = field(default_factory=dict)

    def attribute(self, name: str) -> str | None:
        """Returns the value of the first attribute with the name; "" for a flag, None if there is none."""
        return next((value for key, value in self.attributes if key == name), None)


@dataclass
class Description:
    """A parsed session description."""

    origin: str
    attributes: list[tuple[str, str]] = field(default_factory=list)
    bandwidth: dict[str, int] = field(default_factory=dict)
    media: list[MediaSection] = field(default_factory=list)

    def attribute(self, name: str) -> str | None:
        """Returns the value of the first session-level attribute with the name; "" for a flag."""
        return next((value for key, value in self.attributes if key == name), None)

    def media_attribute(self, media: MediaSection, name: str) -> str | None:
        """Returns an attribute of a media section, or that of the session if it has none (RFC 8839 5.4)."""
        own = media.attribute(name)
        return own if own is not None else self.attribute(name)

    def direction(self, media: MediaSection) -> str:
        """Returns the direction of a media section (RFC 8866 6.7); sendrecv if none is stated."""
        for source in (media.attributes, self.attributes):
            for name, _ in source:
                if name in DIRECTIONS:
                    return name
        return "sendrecv"


def parse(text: str) -> Description:
    """Parses a description; raises SdpError with the line of the first error."""
    lines = text.split("\n")
    if lines and lines[-1] == "":
        lines.pop()
    if not lines:
        raise SdpError("it is empty")
    if len(lines) > MAX_LINES:
        raise SdpError(f"more than {MAX_LINES} lines")
    description = Description("")
    media: MediaSection | None = None
    seen = ""  # kinds of the session-level lines so far
    for number, line in enumerate(lines, 1):
        kind, value = _parse_line(line, number)
        if kind == "m":
            media = _parse_media_line(value, number)
            description.media.append(media)
            if len(description.media) > MAX_MEDIA_SECTIONS:
                raise SdpError(f"more than {MAX_MEDIA_SECTIONS} media sections", number)
        else:
            _check_line_order(kind, seen, media is not None, number)
            _apply_line(description, media, kind, value, number)
        if media is None and kind not in seen:
            seen += kind
    for kind, name in REQUIRED_LINES:
        if kind not in seen:
            raise SdpError(f"no {kind}= line ({name})")
    return description


def _parse_line(raw: str, number: int) -> tuple[str, str]:
    """Returns the kind and the value of a line."""
    line = raw.removesuffix("\r")
    match = LINE_PATTERN.match(line)
    if not match or "\0" in line or "\r" in line:
        raise SdpError("not a line of the form x=value", number)
    if number == 1 and line != "v=0":
        raise SdpError("it must begin with v=0", number)
    return match[1], match[2]


def _parse_media_line(value: str, number: int) -> MediaSection:
    """Returns the media section that an m= line begins."""
    match = MEDIA_PATTERN.match(value)
    if not match or int(match[2]) > MAX_PORT:
        raise SdpError("m= names kind, port, protocol and formats", number)
    formats = match[4].split(" ")
    if not all(TOKEN_PATTERN.match(name) for name in formats):
        raise SdpError("a format is no token", number)
    return MediaSection(match[1], int(match[2]), match[3], formats, number)


def _check_line_order(kind: str, seen: str, in_media: bool, number: int) -> None:
    """Checks that a line may follow the session-level lines `seen` (RFC 8866 5)."""
    if in_media:
        if kind not in MEDIA_SECTION_LINES:
            raise SdpError(f"{kind}= has no place in a media section", number)
        return
    if kind not in SESSION_LINE_ORDER:
        raise SdpError(f"{kind}= is no line of a description", number)
    if kind in seen and kind not in REPEATABLE_LINES:
        raise SdpError(f"{kind}= stands in it twice", number)
    position = SESSION_LINE_ORDER.index(kind)
    later = [other for other in seen if SESSION_LINE_ORDER.index(other) > position]
    is_time_description = kind in "tr" and set(later) <= {"r", "t"}  # t= and r= lines alternate
    if later and not is_time_description:
        raise SdpError(f"{kind}= comes after {later[0]}=", number)


def _apply_line(
    description: Description, media: MediaSection | None, kind: str, value: str, number: int
) -> None:
    """Adds a line other than m= to its media section, or to the session before the first one."""
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
    """Checks an offer for the requirements of WHIP (`publishes`) or WHEP; raises SdpError for the first violation.

    RFC 9725 4.2: sendonly or sendrecv media in an offer to publish, one bundle, `setup:actpass` or active. WHEP: the
    other direction. Both: ICE credentials (RFC 8839 5.4) and a fingerprint (RFC 8122).
    """
    active = [media for media in offer.media if _is_active(media)]
    if not any(media.kind in ("audio", "video") for media in active):
        raise SdpError("it offers neither audio nor video")
    directions = ("sendonly", "sendrecv") if publishes else ("recvonly", "sendrecv")
    mids: set[str] = set()
    for media in active:
        _check_media(offer, media, directions)
        mid = media.attribute("mid")
        if mid is None:
            continue
        if mid in mids:
            raise SdpError(f"mid {mid} stands in it twice", media.line)
        mids.add(mid)
    if len(active) > 1:
        _check_bundle(offer, mids, len(active))


def _is_active(media: MediaSection) -> bool:
    """Returns whether a media section is offered: port 0 disables it unless it is bundle-only."""
    return media.port != 0 or media.attribute("bundle-only") is not None


def _check_media(offer: Description, media: MediaSection, directions: tuple[str, str]) -> None:
    """Checks one media section: transport, direction, ICE credentials, fingerprint and setup role."""
    if media.proto not in SECURE_PROTOCOLS:
        raise SdpError(f"{media.proto} is not secured media", media.line)
    direction = offer.direction(media)
    if media.kind in ("audio", "video") and direction not in directions:
        raise SdpError(f"media is {direction}, wanted {directions[0]}", media.line)
    has_ufrag = UFRAG_PATTERN.match(offer.media_attribute(media, "ice-ufrag") or "")
    has_password = PWD_PATTERN.match(offer.media_attribute(media, "ice-pwd") or "")
    if not has_ufrag or not has_password:
        raise SdpError("no usable ice-ufrag and ice-pwd", media.line)
    if not FINGERPRINT_PATTERN.match(offer.media_attribute(media, "fingerprint") or ""):
        raise SdpError("no usable DTLS fingerprint", media.line)
    if offer.media_attribute(media, "setup") not in ("actpass", "active"):
        raise SdpError("setup must be actpass or active", media.line)


def _check_bundle(offer: Description, mids: set[str], media_count: int) -> None:
    """Checks that all media sections are in one BUNDLE group (RFC 9143)."""
    group = offer.attribute("group") or ""
    bundled_mids = set(group.split(" ")[1:])
    if not group.startswith("BUNDLE ") or not mids <= bundled_mids or len(mids) < media_count:
        raise SdpError("all media must be in one BUNDLE group")


def ice_ufrag(offer: Description) -> str:
    """Returns the ICE user name fragment of the first media section; "" if there is none."""
    if not offer.media:
        return ""
    return offer.media_attribute(offer.media[0], "ice-ufrag") or ""


def session_bandwidth(offer: Description) -> tuple[int | None, int | None]:
    """Returns the bandwidth of the session as (AS in kbit/s, TIAS in bit/s).

    Each is the session's own value or the sum over its media sections; None if neither is stated.
    """
    return _bandwidth(offer, "AS"), _bandwidth(offer, "TIAS")


def _bandwidth(offer: Description, modifier: str) -> int | None:
    """Returns the bandwidth of the session, or the sum over its media sections; None if neither is stated."""
    if modifier in offer.bandwidth:
        return offer.bandwidth[modifier]
    parts = [media.bandwidth[modifier] for media in offer.media if modifier in media.bandwidth]
    return sum(parts) if parts else None


def create_answer(offer: Description, session: int, credentials: tuple[str, str], fingerprint: str) -> str:
    """Returns an answer to a checked offer that accepts every media section, in the opposite direction.

    `credentials`: the ICE user name fragment and password.
    """
    ufrag, password = credentials
    lines = ["v=0", f"o=- {session} 1 IN IP4 127.0.0.1", "s=-", "t=0 0"]
    if group := offer.attribute("group"):
        lines.append(f"a=group:{group}")
    lines.append("a=ice-lite")
    for media in offer.media:
        lines += [f"m={media.kind} 9 {media.proto} {media.formats[0]}", "c=IN IP4 0.0.0.0"]
        if (mid := media.attribute("mid")) is not None:
            lines.append(f"a=mid:{mid}")
        lines += [
            f"a=ice-ufrag:{ufrag}",
            f"a=ice-pwd:{password}",
            f"a=fingerprint:{fingerprint}",
            "a=setup:passive",
            f"a={OPPOSITE_DIRECTIONS[offer.direction(media)]}",
            "a=rtcp-mux",
        ]
    return "\r\n".join(lines) + "\r\n"


@dataclass
class Fragment:
    """A trickle ICE fragment (RFC 8840 9): its ICE credentials and candidates."""

    ufrag: str
    pwd: str
    candidates: list[str]
    ended: bool  # it has the end-of-candidates attribute


def parse_fragment(text: str) -> Fragment:
    """Parses an `application/trickle-ice-sdpfrag` body; raises SdpError with the line of the first error."""
    fragment = Fragment("", "", [], False)
    for number, line in enumerate(text.splitlines(), 1):
        match = LINE_PATTERN.match(line)
        if not match or match[1] not in "am":
            raise SdpError("a fragment holds a= and m= lines", number)
        if match[1] == "m":
            _parse_media_line(match[2], number)
        else:
            name, _, value = match[2].partition(":")
            _apply_fragment_attribute(fragment, name, value, number)
    if not fragment.ufrag and not fragment.candidates and not fragment.ended:
        raise SdpError("it names neither credentials nor candidates")
    return fragment


def _apply_fragment_attribute(fragment: Fragment, name: str, value: str, number: int) -> None:
    """Adds an attribute to a fragment; the first credentials win."""
    if name == "ice-ufrag":
        if not UFRAG_PATTERN.match(value):
            raise SdpError("no usable ice-ufrag", number)
        fragment.ufrag = fragment.ufrag or value
    elif name == "ice-pwd":
        if not PWD_PATTERN.match(value):
            raise SdpError("no usable ice-pwd", number)
        fragment.pwd = fragment.pwd or value
    elif name == "candidate":
        if len(value.split(" ")) < MIN_CANDIDATE_FIELDS or " typ " not in value:
            raise SdpError("a candidate names at least foundation to type (RFC 8839 5.1)", number)
        fragment.candidates.append(value)
    elif name == "end-of-candidates":
        fragment.ended = True
    elif not TOKEN_PATTERN.match(name):
        raise SdpError("a= names an attribute", number)
