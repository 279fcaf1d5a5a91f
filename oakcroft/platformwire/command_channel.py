"""Parses documents of the command channel: numbered events that change the list of playout nodes."""

from __future__ import annotations

from ipaddress import ip_address
from typing import NamedTuple

from oakcroft.interface import MS, NodeStatus
from oakcroft.platformwire.number_parsing import parse_finite

STATUS_BY_PHASE = {"up": NodeStatus.READY, "draining": NodeStatus.DRAINING, "removed": NodeStatus.GONE}
MAX_ANSWER_MEMBERS = 65_536
"""Entries of one answer or configuration. A release in the largest fleet, 3,200 nodes, has up to 9,600."""
MAX_NODE_ID_LENGTH = 128
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class NodeMember(NamedTuple):
    """A listed node."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    status: NodeStatus
    size: float  # relative capacity of its link
    started_at: int  # ns


class ListChange(NamedTuple):
    """One event with the whole node list or changes to it."""

    cursor: int
    is_complete: bool
    members: list[NodeMember]


class ChannelError(Exception):
    """A document is invalid; none of its events is applied."""


class AnswerTooLargeError(ChannelError):
    """A document holds more than is taken; it will not become smaller when it is asked for again."""


def parse_address(raw: object) -> tuple[str, int]:
    """Parses `HOST:PORT` with a numeric host, as names are not resolved; raises ChannelError otherwise."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    try:
        host = str(ip_address(host.strip("[]")))
        number = int(port) if port.isdecimal() and len(port) <= MAX_PORT_DIGITS else 0
    except ValueError as error:
        raise ChannelError(f"{raw!r} is not an address") from error
    if not 0 < number <= MAX_PORT:
        raise ChannelError(f"{raw!r} has no valid port")
    return host, number


def parse_whole_number(raw: object, field: str) -> int:
    """Checks that a value is a non-negative whole number; raises ChannelError otherwise."""
    if isinstance(raw, bool) or not isinstance(raw, int) or raw < 0:
        raise ChannelError(f"{field} is not a whole number")
    return raw


def is_unicode(text: str) -> bool:
    """Whether a text has no half of a surrogate pair, which UTF-8 cannot express."""
    return not any("\ud800" <= character <= "\udfff" for character in text)


def require_boolean(raw: object, field: str) -> bool:
    """Checks that a value is a boolean; raises ChannelError otherwise."""
    if not isinstance(raw, bool):
        raise ChannelError(f"{field} is neither true nor false")
    return raw


def parse_member(raw: object) -> NodeMember:
    """Parses one node of a list; raises ChannelError if a field is missing or invalid."""
    if not isinstance(raw, dict):
        raise ChannelError("a node is not an object")
    name, phase = raw.get("id"), raw.get("phase")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NODE_ID_LENGTH or not is_unicode(name):
        raise ChannelError("a node has no valid id")
    if not isinstance(phase, str) or phase not in STATUS_BY_PHASE:
        raise ChannelError(f"node {name} has an unknown phase")
    size = parse_finite(raw.get("size", 1.0))
    if size is None or size < 0:
        raise ChannelError(f"node {name} has an invalid size")
    zone, kind = raw.get("locality") or "", raw.get("flavor") or ""
    if not isinstance(zone, str) or not isinstance(kind, str):
        raise ChannelError(f"node {name} has an invalid locality or flavor")
    needs_no_address = STATUS_BY_PHASE[phase] is NodeStatus.GONE and "host_port" not in raw
    return NodeMember(
        name=name,
        address=("", 0) if needs_no_address else parse_address(raw.get("host_port")),
        zone=zone,
        kind=kind,
        cell=parse_whole_number(raw.get("cell", 0), "cell"),
        status=STATUS_BY_PHASE[phase],
        size=size,
        started_at=parse_whole_number(raw.get("up_since_ms") or 0, "up_since_ms") * MS,
    )


def parse_events(raw: object) -> tuple[int, list[ListChange]]:
    """Parses a document into the cursor of its last event and its events.

    Raises ChannelError unless all events are valid.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("cmds"), list):
        raise ChannelError("the list of events is missing")
    changes = list[ListChange]()
    member_count = 0
    for raw_event in raw["cmds"]:
        if not isinstance(raw_event, dict):
            raise ChannelError("an event is not an object")
        nodes = raw_event.get("nodes")
        if nodes is None:  # an event that does not concern nodes
            continue
        if not isinstance(nodes, dict) or not isinstance(nodes.get("members"), list):
            raise ChannelError("the nodes of an event are not a list")
        member_count += len(nodes["members"])
        if member_count > MAX_ANSWER_MEMBERS:
            raise AnswerTooLargeError(f"the list has over {MAX_ANSWER_MEMBERS} entries")
        complete = require_boolean(nodes.get("complete", False), "complete")
        changes.append(
            ListChange(
                cursor=parse_whole_number(raw_event.get("cursor"), "cursor"),
                is_complete=complete,
                members=[parse_member(raw_member) for raw_member in nodes["members"]],
            )
        )
    return parse_whole_number(raw.get("cursor"), "cursor"), changes
