"""Header fields, problem bodies, load reports and server-sent events: parsers and formatters."""

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
REQUEST_PATH_PATTERN = re.compile(r"/[!\"$->@-~]*")  # visible ASCII without # and ?
LOAD_PATH = "/load"
"""Path at which a node reports its load on request, in the same header field as in its other answers."""

CATALOGUE_HEADER = "Oakcroft-Catalogue"
"""Header field with the version of the catalogue that the front end used for a set-up."""


def problem_body(status: int, kind: str, title: str, detail: str = "", **extensions: object) -> bytes:
    """Returns a problem body (RFC 9457)."""
    body: dict[str, object] = {"type": kind, "title": title, "status": status}
    if detail:
        body["detail"] = detail
    return orjson.dumps({**body, **extensions})


def problem_type(body: bytes) -> str:
    """Returns the type of a problem body; "" if the body is not a problem."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    kind = value.get("type") if isinstance(value, dict) else None
    return kind if isinstance(kind, str) else ""


def quoted_string(text: str) -> str:
    """Returns the text as a quoted string (RFC 9110 5.6.4)."""
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def format_link(target: str, rel: str, **parameters: str) -> str:
    """Returns one value of a Link field (RFC 8288 3)."""
    parts = [f"<{target}>", f"rel={quoted_string(rel)}"]
    parts += [f"{name}={quoted_string(value)}" for name, value in parameters.items()]
    return "; ".join(parts)


def parse_links(values: list[str]) -> dict[str, str]:
    """Maps each relation in Link fields to its target; the first link of a relation wins."""
    found: dict[str, str] = {}
    for value in values:
        for match in LINK_VALUE_PATTERN.finditer(value):
            for name, quoted_value, bare in LINK_PARAMETER_PATTERN.findall(match[2]):
                if name.lower() == "rel":
                    for rel in (quoted_value or bare).split():
                        found.setdefault(rel, match[1])
    return found


def is_idempotency_key(text: str) -> bool:
    """Returns whether a key from outside a header field would be valid in a quoted Idempotency-Key field."""
    return IDEMPOTENCY_KEY_PATTERN.match(f'"{text}"') is not None


def is_request_path(text: str) -> bool:
    """Returns whether the text is valid as the path of a request target (RFC 9112 3.2), without a query."""
    return REQUEST_PATH_PATTERN.fullmatch(text) is not None


def parse_idempotency_key(value: str) -> str | None:
    """Returns the key of an Idempotency-Key field, or None if the field is malformed.

    The key is a quoted string (RFC 8941 3.3.3). A bare token is accepted too, as many clients send one.
    """
    match = IDEMPOTENCY_KEY_PATTERN.match(value.strip())
    return (match[1] or match[2]) if match else None


def parse_entity_tags(value: str) -> list[str]:
    """Returns the entity tags of an If-Match field (RFC 9110 13.1.1) as written, including `*`."""
    return [part.strip() for part in value.split(",") if part.strip()]


def parse_media_type(value: str) -> str:
    """Returns a Content-Type without its parameters, in lower case."""
    return value.partition(";")[0].strip().lower()


def accepts_media_type(value: str | None, wanted: str) -> bool:
    """Returns whether an Accept field (RFC 9110 12.5.1) allows a media type; an absent field allows all."""
    if value is None or not value.strip():
        return True
    kind = wanted.partition("/")[0]
    for part in value.split(","):
        name, *parameters = (field.strip().lower() for field in part.split(";"))
        if name in (wanted, f"{kind}/*", "*/*"):
            weights = (parameter.removeprefix("q=") for parameter in parameters if parameter.startswith("q="))
            return re.fullmatch(r"0(\.0{0,3})?", next(weights, "1")) is None
    return False


@dataclass(frozen=True)
class LoadReport:
    """Load report of a node; None for what it does not report.

    - `link_demand`: rate that its sessions ask of its link, over the link's capacity; above 1 when overloaded.
    - `utilization`: the same, capped at 1.
    - `uplink_demand`: like `link_demand`, for the uplink of its rack.
    """

    link_demand: float | None = None
    utilization: float | None = None
    uplink_demand: float | None = None


def format_load_report(load: LoadReport) -> str:
    """Returns a load report in the text form of ORCA (Open Request Cost Aggregation)."""
    named = {"link_asked": load.link_demand, "uplink_asked": load.uplink_demand}
    parts = [f"named_metrics.{name}={value:.4f}" for name, value in named.items() if value is not None]
    if load.utilization is not None:
        parts.append(f"application_utilization={load.utilization:.4f}")
    return "TEXT " + ", ".join(parts)


def parse_load_report(value: str | None) -> LoadReport:
    """Parses a load report in the text or JSON form of ORCA; an invalid report gives an empty one."""
    if not value:
        return LoadReport()
    form, _, rest = value.strip().partition(" ")
    if form == "TEXT":
        metrics = _parse_text_metrics(rest)
    elif form == "JSON":
        metrics = _parse_json_metrics(rest)
    else:
        metrics = {}
    return LoadReport(
        link_demand=_parse_load_value(metrics.get("named_metrics.link_asked")),
        utilization=_parse_load_value(metrics.get("application_utilization")),
        uplink_demand=_parse_load_value(metrics.get("named_metrics.uplink_asked")),
    )


def _parse_text_metrics(text: str) -> dict[str, object]:
    """Maps the names in the text form of a load report to their values."""
    metrics: dict[str, object] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        metrics[name.strip()] = value.strip()
    return metrics


def _parse_json_metrics(text: str) -> dict[str, object]:
    """Maps the names in the JSON form of a load report to their values; empty for another form."""
    try:
        body = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    if not isinstance(body, dict):
        return {}
    metrics = {name: value for name, value in body.items() if name != "named_metrics"}
    named = body.get("named_metrics")
    if isinstance(named, dict):
        metrics |= {f"named_metrics.{name}": value for name, value in named.items()}
    return metrics


MAX_LOAD = 1e6
"""Limit of a reported load, exclusive; it also excludes infinity and, since all comparisons fail, NaN."""


def _parse_load_value(value: object) -> float | None:
    """Returns a value that is plausible as a load; None for non-numbers, negative, infinite and huge values."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < MAX_LOAD else None


def format_event(name: str, data: object) -> bytes:
    """Returns one server-sent event with a JSON body (WHATWG HTML 9.2)."""
    return b"event: " + name.encode() + b"\ndata: " + orjson.dumps(data) + b"\n\n"


KEEP_ALIVE_COMMENT = b": beat\n\n"
"""Comment line that keeps an event stream alive."""


class EventStreamParser:
    """Incremental parser of server-sent events.

    A comment yields an event named "", which shows the reader that the stream is alive.
    """

    def __init__(self, max_bytes: int = 65_536) -> None:
        """`max_bytes`: limit of one line and of the data of one event."""
        self.max_bytes = max_bytes
        self.partial_line = b""
        self.event_name = "message"
        self.data_lines: list[bytes] = []

    def feed(self, chunk: bytes) -> Iterator[tuple[str, bytes]]:
        """Yields the events that are complete with this chunk.

        Raises ValueError for a line or an event of more than `max_bytes` bytes.
        """
        self.partial_line += chunk
        *lines, self.partial_line = self.partial_line.split(b"\n")
        if len(self.partial_line) > self.max_bytes:
            raise ValueError(f"event stream line is too long: over {self.max_bytes} bytes")
        for line in lines:
            line = line.removesuffix(b"\r")
            if not line:
                if self.data_lines:
                    yield self.event_name, b"\n".join(self.data_lines)
                self.event_name, self.data_lines = "message", []
            elif line.startswith(b":"):
                yield "", b""
            else:
                field, _, value = line.partition(b":")
                value = value.removeprefix(b" ")
                if field == b"event":
                    self.event_name = value.decode("utf-8", "replace")
                elif field == b"data":
                    self.data_lines.append(value)
                    if sum(map(len, self.data_lines)) > self.max_bytes:
                        raise ValueError(f"event is too long: over {self.max_bytes} bytes of data")
