"""Header fields, problem bodies, load reports and event streams: small formats, each by its own text."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

import orjson

PROBLEM = "application/problem+json"
EVENTS = "text/event-stream"
REL_EVENTS = "urn:ietf:params:whep:ext:core:server-sent-events"
REL_LAYER = "urn:ietf:params:whep:ext:core:layer"
REL_ICE = "ice-server"
LOAD = "endpoint-load-metrics"

LINK = re.compile(
    r"<([^>]*)>\s*((?:;\s*[!#$%&'*+\-.^_`|~0-9A-Za-z]+\s*(?:=\s*(?:\"[^\"]*\"|[^\s,;]*))?\s*)*)(?:,|$)"
)
PARAMETER = re.compile(r";\s*([^=;\s]+)\s*(?:=\s*(?:\"([^\"]*)\"|([^\s,;]*)))?")
KEY = re.compile(r'^"([\x20-\x21\x23-\x5b\x5d-\x7e]{1,255})"$|^([!#$%&\'*+\-.^_`|~0-9A-Za-z:/]{1,255})$')
PATH = re.compile(r"/[!\"$->@-~]*")  # visible ASCII but # and ?
LOAD_PATH = "/load"
"""Where a node tells its load to whoever asks, in the field that goes with its answers."""

CATALOGUE = "Oakcroft-Catalogue"
"""The version of the catalogue under which a set-up left its front."""


def problem(status: int, kind: str, title: str, detail: str = "", **more: object) -> bytes:
    """A problem body (RFC 9457)."""
    body: dict[str, object] = {"type": kind, "title": title, "status": status}
    if detail:
        body["detail"] = detail
    return orjson.dumps({**body, **more})


def problem_type(body: bytes) -> str:
    """The type of a problem body, "" where it is none."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    kind = value.get("type") if isinstance(value, dict) else None
    return kind if isinstance(kind, str) else ""


def quoted(text: str) -> str:
    """A quoted string (RFC 9110 5.6.4)."""
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def link(target: str, rel: str, **parameters: str) -> str:
    """One value of a Link field (RFC 8288 3)."""
    return "; ".join(
        [f"<{target}>", f"rel={quoted(rel)}", *(f"{k}={quoted(v)}" for k, v in parameters.items())]
    )


def links(values: list[str]) -> dict[str, str]:
    """Relation to target, the first of each, of Link fields."""
    found: dict[str, str] = {}
    for value in values:
        for match in LINK.finditer(value):
            for name, quoted_value, bare in PARAMETER.findall(match[2]):
                if name.lower() == "rel":
                    for rel in (quoted_value or bare).split():
                        found.setdefault(rel, match[1])
    return found


def is_key(text: str) -> bool:
    """Whether a key that came by itself could stand in an Idempotency-Key field as it is."""
    return KEY.match(f'"{text}"') is not None


def is_path(text: str) -> bool:
    """Whether this can stand as the path of a request target (RFC 9112 3.2), with no query behind it."""
    return PATH.fullmatch(text) is not None


def idempotency_key(value: str) -> str | None:
    """The key of an Idempotency-Key field: a quoted string (RFC 8941 3.3.3) or, as many clients send it, a bare
    token. None for anything else."""
    match = KEY.match(value.strip())
    return (match[1] or match[2]) if match else None


def entity_tags(value: str) -> list[str]:
    """The tags of an If-Match field (RFC 9110 13.1.1), as written; `*` stands for itself."""
    return [part.strip() for part in value.split(",") if part.strip()]


def media_type(value: str) -> str:
    """A Content-Type without its parameters, in lower case."""
    return value.partition(";")[0].strip().lower()


def accepts(value: str | None, media: str) -> bool:
    """Whether an Accept field (RFC 9110 12.5.1) leaves room for a media type; an absent one takes all."""
    if value is None or not value.strip():
        return True
    kind = media.partition("/")[0]
    for part in value.split(","):
        name, *parameters = (p.strip().lower() for p in part.split(";"))
        if name in (media, f"{kind}/*", "*/*"):
            weight = next((p[2:] for p in parameters if p.startswith("q=")), "1")
            return re.fullmatch(r"0(\.0{0,3})?", weight) is None
    return False


@dataclass(frozen=True)
class Load:
    """A node's load report: asked of its link over what it gives, the same capped at 1, and of the uplink."""

    asked: float | None = None
    used: float | None = None
    uplink: float | None = None


def load_report(load: Load) -> str:
    """A load report in ORCA's text form (the open request cost aggregation header)."""
    named = {"link_asked": load.asked, "uplink_asked": load.uplink}
    parts = [f"named_metrics.{k}={v:.4f}" for k, v in named.items() if v is not None]
    if load.used is not None:
        parts.append(f"application_utilization={load.used:.4f}")
    return "TEXT " + ", ".join(parts)


def read_load(value: str | None) -> Load:
    """Reads a load report in ORCA's text or JSON form; one that is not understood says nothing."""
    if not value:
        return Load()
    form, _, rest = value.strip().partition(" ")
    found: dict[str, object] = {}
    if form == "TEXT":
        for part in rest.split(","):
            name, _, figure = part.strip().partition("=")
            found[name.strip()] = figure.strip()
    elif form == "JSON":
        try:
            body = orjson.loads(rest)
        except orjson.JSONDecodeError:
            return Load()
        if not isinstance(body, dict):
            return Load()
        found = {k: v for k, v in body.items() if k != "named_metrics"}
        named = body.get("named_metrics")
        if isinstance(named, dict):
            found |= {f"named_metrics.{k}": v for k, v in named.items()}
    used = _figure(found.get("application_utilization"))
    asked, uplink = (
        _figure(found.get("named_metrics.link_asked")),
        _figure(found.get("named_metrics.uplink_asked")),
    )
    return Load(asked, used, uplink)


def _figure(value: object) -> float | None:
    """A figure that can be a load; what is none (not a number, below zero, endless) says nothing."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e6 else None


def event(name: str, data: object) -> bytes:
    """One server-sent event with a JSON body (WHATWG HTML 9.2)."""
    return b"event: " + name.encode() + b"\ndata: " + orjson.dumps(data) + b"\n\n"


BEAT = b": beat\n\n"
"""A comment line, which keeps a stream alive."""


class EventReader:
    """Server-sent events from bytes as they come. ValueError for a line or an event beyond `most` bytes.

    A comment yields an event named "" so that its reader knows that the stream lives.
    """

    def __init__(self, most: int = 65_536) -> None:
        self.most, self.rest, self.name, self.data = most, b"", "message", list[bytes]()

    def feed(self, chunk: bytes) -> Iterator[tuple[str, bytes]]:
        """The events that are whole now."""
        self.rest += chunk
        *whole, self.rest = self.rest.split(b"\n")
        if len(self.rest) > self.most:
            raise ValueError("a line of the event stream is too long")
        for line in whole:
            line = line.removesuffix(b"\r")
            if not line:
                if self.data:
                    yield self.name, b"\n".join(self.data)
                self.name, self.data = "message", []
            elif line.startswith(b":"):
                yield "", b""
            else:
                field, _, value = line.partition(b":")
                value = value.removeprefix(b" ")
                if field == b"event":
                    self.name = value.decode("utf-8", "replace")
                elif field == b"data":
                    self.data.append(value)
                    if sum(map(len, self.data)) > self.most:
                        raise ValueError("an event is too long")
