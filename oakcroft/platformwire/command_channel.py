"""Documents of the command channel: numbered events that change the list of playout nodes."""

from __future__ import annotations

from ipaddress import ip_address

import orjson

from oakcroft.interface import MS, Listing
from oakcroft.platformwire.number_parsing import finite

PHASES = {"up": Listing.READY, "draining": Listing.DRAINING, "removed": Listing.GONE}
MOST_NODES = 4_096
MOST_NAME = 128

Member = tuple[str, tuple[str, int], str, str, int, Listing, float, int]
"""A listed node: id, address, wing, kind, cell, status on the list, size, start of its process in ns."""
Change = tuple[int, bool, list[Member]]
"""An event: its cursor, whether it has the whole list, and the nodes in it."""


class Unreadable(Exception):
    """A document that cannot be read; none of its events applies."""


def address(said: object) -> tuple[str, int]:
    """Parses `HOST:PORT` with a numeric host, as names are not resolved; raises ChannelError otherwise."""
    host, _, port = said.rpartition(":") if isinstance(said, str) else ("", "", "")
    try:
        host = str(ip_address(host.strip("[]")))
        number = int(port) if port.isdecimal() and len(port) < 6 else 0
    except ValueError as fault:
        raise Unreadable(f"{said!r} is no address") from fault
    if not 0 < number < 65_536:
        raise Unreadable(f"{said!r} has no port")
    return host, number


def whole(said: object, what: str) -> int:
    """A whole number that is not negative; raises ChannelError otherwise."""
    if isinstance(said, bool) or not isinstance(said, int) or said < 0:
        raise Unreadable(f"{what} is no number")
    return said


def member(said: object) -> Member:
    """Parses one node of a list; raises ChannelError if a field is missing or invalid."""
    if not isinstance(said, dict):
        raise Unreadable("a node is no object")
    name, phase = said.get("id"), said.get("phase")
    if not isinstance(name, str) or not 0 < len(name) <= MOST_NAME:
        raise Unreadable("a node without an id")
    if not isinstance(phase, str) or phase not in PHASES:
        raise Unreadable(f"phase of {name}")
    size = finite(said.get("size", 1.0))
    if size is None or size < 0:
        raise Unreadable(f"size of {name}")
    wing, kind = said.get("locality") or "", said.get("flavor") or ""
    if not isinstance(wing, str) or not isinstance(kind, str):
        raise Unreadable(f"place of {name}")
    gone = PHASES[phase] is Listing.GONE and "host_port" not in said
    return (
        name, ("", 0) if gone else address(said.get("host_port")), wing, kind, whole(said.get("cell", 0), "cell"),
        PHASES[phase], size, whole(said.get("up_since_ms") or 0, "up_since_ms") * MS,
    )  # fmt: skip


def events(said: object) -> tuple[int, list[Change]]:
    """The cursor of the last event, and the events; raises ChannelError unless all of them can be read."""
    if not isinstance(said, dict) or not isinstance(said.get("cmds"), list):
        raise Unreadable("no events")
    changes = list[Change]()
    for one in said["cmds"]:
        if not isinstance(one, dict):
            raise Unreadable("an event is no object")
        nodes = one.get("nodes")
        if nodes is None:  # an event that does not concern nodes
            continue
        if not isinstance(nodes, dict) or not isinstance(nodes.get("members"), list):
            raise Unreadable("an event without nodes")
        if len(nodes["members"]) > MOST_NODES:
            raise Unreadable("too many nodes")
        complete = nodes.get("complete", False)
        if not isinstance(complete, bool):
            raise Unreadable("complete is neither true nor false")
        changes.append((whole(one.get("cursor"), "cursor"), complete, [member(m) for m in nodes["members"]]))
    return whole(said.get("cursor"), "cursor"), changes


def document(body: bytes) -> tuple[int, list[Change]]:
    """The same, from the body of an answer."""
    try:
        said = orjson.loads(body)
    except orjson.JSONDecodeError as fault:
        raise Unreadable("no JSON") from fault
    return events(said)
