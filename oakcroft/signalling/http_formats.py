"""Header fields, problem bodies, load reports and event streams: small formats, each by its own text."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

import orjson

PROBLEM_MEDIA_TYPE = "application/problem+json"
EVENT_STREAM_MEDIA_TYPE = "text/event-stream"
REL_EVENTS = "urn:ietf:params:whep:ext:core:server-sent-events"
REL_LAYER = "urn:ietf:params:whep:ext:core:layer"
REL_ICE_SERVER = "ice-server"
LOAD_HEADER = "endpoint-load-metrics"

LINK_VALUE_PATTERN = re.compile(
    r"<([^>]*)>\s*((?:;\s*[!#$%&'*+\-.^_`|~0-9A-Za-z]+\s*(?:=\s*(?:\"[^\"]*\"|[^\s,;]*))?\s*)*)(?:,|$)"
)
LINK_PARAMETER_PATTERN = re.compile(r";\s*([^=;\s]+)\s*(?:=\s*(?:\"([^\"]*)\"|([^\s,;]*)))?")
IDEMPOTENCY_KEY_PATTERN = re.compile(
    r'^"([\x20-\x21\x23-\x5b\x5d-\x7e]{1,255})"$|^([!#$%&\'*+\-.^_`|~0-9A-Za-z:/]{1,255})$'
)
REQUEST_PATH_PATTERN = re.compile(r"/[!\"$->@-~]*")  # visible ASCII but # and ?
LOAD_PATH = "/load"
"""Where a node tells its load to whoever asks, in the field that goes with its answers."""

CATALOGUE_HEADER = "Oakcroft-Catalogue"
"""The version of the catalogue under which a set-up left its front."""


def problem_body(status: int, kind: str, title: str, detail: str = "", **more: object) -> bytes:
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


def quoted_string(text: str) -> str:
    """A quoted string (RFC 9110 5.6.4)."""
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def format_link(target: str, rel: str, **parameters: str) -> str:
    """One value of a Link field (RFC 8288 3)."""
    return "; ".join(
        [
            f"<{target}>",
            f"rel={quoted_string(rel)}",
            *(f"{k}={quoted_string(v)}" for k, v in parameters.items()),
        ]
    )


def parse_links(values: list[str]) -> dict[str, str]:
    """Relation to target, the first of each, of Link fields."""
    found: dict[str, str] = {}
    for value in values:
        for match in LINK_VALUE_PATTERN.finditer(value):
            for name, quoted_value, bare in LINK_PARAMETER_PATTERN.findall(match[2]):
                if name.lower() == "rel":
                    for rel in (quoted_value or bare).split():
                        found.setdefault(rel, match[1])
    return found


def is_idempotency_key(text: str) -> bool:
    """Whether a key that came by itself could stand in an Idempotency-Key field as it is."""
    return IDEMPOTENCY_KEY_PATTERN.match(f'"{text}"') is not None


def is_request_path(text: str) -> bool:
    """Whether this can stand as the path of a request target (RFC 9112 3.2), with no query behind it."""
    return REQUEST_PATH_PATTERN.fullmatch(text) is not None


def parse_idempotency_key(value: str) -> str | None:
    """The key of an Idempotency-Key field: a quoted string (RFC 8941 3.3.3) or, as many clients send it, a bare
    token. None for anything else."""
    match = IDEMPOTENCY_KEY_PATTERN.match(value.strip())
    return (match[1] or match[2]) if match else None


def parse_entity_tags(value: str) -> list[str]:
    """The tags of an If-Match field (RFC 9110 13.1.1), as written; `*` stands for itself."""
    return [part.strip() for part in value.split(",") if part.strip()]


def parse_media_type(value: str) -> str:
    """A Content-Type without its parameters, in lower case."""
    return value.partition(";")[0].strip().lower()


def accepts_media_type(value: str | None, media: str) -> bool:
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
class LoadReport:
    """A node's load report: asked of its link over what it gives, the same capped at 1, and of the uplink."""

    link_demand: float | None = None
    utilization: float | None = None
    uplink_demand: float | None = None


def format_load_report(load: LoadReport) -> str:
    """A load report in ORCA's text form (the open request cost aggregation header)."""
    named = {"link_asked": load.link_demand, "uplink_asked": load.uplink_demand}
    parts = [f"named_metrics.{k}={v:.4f}" for k, v in named.items() if v is not None]
    if load.utilization is not None:
        parts.append(f"application_utilization={load.utilization:.4f}")
    return "TEXT " + ", ".join(parts)


def parse_load_report(value: str | None) -> LoadReport:
    """Reads a load report in ORCA's text or JSON form; one that is not understood says nothing."""
    if not value:
        return LoadReport()
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
            return LoadReport()
        if not isinstance(body, dict):
            return LoadReport()
        found = {k: v for k, v in body.items() if k != "named_metrics"}
        named = body.get("named_metrics")
        if isinstance(named, dict):
            found |= {f"named_metrics.{k}": v for k, v in named.items()}
    used = _parse_load_value(found.get("application_utilization"))
    asked, uplink = (
        _parse_load_value(found.get("named_metrics.link_asked")),
        _parse_load_value(found.get("named_metrics.uplink_asked")),
    )
    return LoadReport(asked, used, uplink)


def _parse_load_value(value: object) -> float | None:
    """A figure that can be a load; what is none (not a number, below zero, endless) says nothing."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e6 else None


def format_event(name: str, data: object) -> bytes:
    """One server-sent event with a JSON body (WHATWG HTML 9.2)."""
    return b"event: " + name.encode() + b"\ndata: " + orjson.dumps(data) + b"\n\n"


KEEP_ALIVE_COMMENT = b": beat\n\n"
"""A comment line, which keeps a stream alive."""


class EventStreamParser:
    """Server-sent events from bytes as they come. ValueError for a line or an event beyond `max_bytes` bytes.

    A comment yields an event named "" so that its reader knows that the stream lives.
    """

    def __init__(self, max_bytes: int = 65_536) -> None:
        self.max_bytes, self.rest, self.name, self.data = max_bytes, b"", "message", list[bytes]()

    def feed(self, chunk: bytes) -> Iterator[tuple[str, bytes]]:
        """The events that are whole now."""
        self.rest += chunk
        *whole, self.rest = self.rest.split(b"\n")
        if len(self.rest) > self.max_bytes:
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
                    if sum(map(len, self.data)) > self.max_bytes:
                        raise ValueError("an event is too long")
