"""Emulated node list service: an xDS endpoint discovery service whose versions reach each front end with a delay."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import orjson
import trio

from oakcroft.front.node_list_client import DISCOVERY_PATH
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import SECOND
from oakcroft.running.clock import Clock
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

LONG_POLL_SECONDS = 20.0
"""How long a poll is held before the answer that nothing has changed."""

SLOW_ANSWER_SECONDS = 0.15
"""Delay of each answer while the service is slow."""

MAX_WAIT_NS = 10 * SECOND
"""A held poll checks again after this time even if no list was published."""

MIN_WAIT_SECONDS = 0.001
"""Shortest wait for a list that is about to become visible, so that the loop does not spin."""

EMPTY_LIST_VERSION_STEP = 1000
"""How far ahead the version of an empty list is, so that front ends take it for a newer one."""

NO_VERSION = -1
"""Version of a front end that has no list."""

JSON = [("Content-Type", "application/json")]
BROKEN_LIST = b'{"version_info": "9", "resources": [{"clu'


@dataclass(frozen=True)
class ListedNode:
    """Entry of the list: a node, its location and its state."""

    name: str
    zone: str
    cell: int
    port: int
    health: str
    """`HEALTHY` or `DRAINING`."""
    link_capacity: float
    """In kB/s."""
    playback_capacity: int
    started_ms: float
    """Start of its process, in ms on the clock of the day."""


class ListService:
    """Publishes versions of the list, each of which reaches each front end after a delay of its own."""

    def __init__(self, day: Day, clock: Clock, record: Record) -> None:
        """Creates a service without any version; `record` takes its polls and answers."""
        self.day = day
        self.clock = clock
        self.record = record
        self.versions: list[tuple[int, list[ListedNode]]] = []
        self.changed = trio.Event()
        self.fault = ""

    def publish(self, nodes: list[ListedNode], published_at: int) -> None:
        """Adds a version of the list, published at a time in ns."""
        self.versions.append((published_at, nodes))
        self.wake_polls()

    def set_fault(self, kind: str) -> None:
        """Sets one of the faults in `day_schema.LIST_FAULTS`, which held polls notice at once."""
        self.fault = kind
        self.wake_polls()

    def clear_fault(self) -> None:
        """Clears the fault; held polls stay held."""
        self.fault = ""

    def wake_polls(self) -> None:
        """Makes all held polls check again."""
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, request: Request) -> Response:
        """Answers one poll with a list newer than the one it names, or with 304 after `LONG_POLL_SECONDS`."""
        front = (request.header("via") or "").removeprefix("1.1 ")
        if request.path != DISCOVERY_PATH or request.method != "POST":
            return Response(404)
        known = int(orjson.loads(request.body).get("version_info") or NO_VERSION)
        self.record.note("poll", front=front, version=known)
        answer_at = trio.current_time() + LONG_POLL_SECONDS
        if self.fault == "list-slow":
            await trio.sleep(SLOW_ANSWER_SECONDS)
        while trio.current_time() < answer_at:
            answer = self._faulty_answer() or self._newer_list(front, known)
            if answer is not None:
                return answer
            with trio.move_on_after(self._seconds_to_wait(front, known, answer_at)):
                await self.changed.wait()
        return Response(304)

    def _faulty_answer(self) -> Response | None:
        """Returns the answer that the present fault causes, if any."""
        match self.fault:
            case "list-down":
                return Response(503)
            case "list-broken":
                return Response(200, JSON, BROKEN_LIST)
            case "list-empty":
                return Response(200, JSON, _encode(len(self.versions) + EMPTY_LIST_VERSION_STEP, []))
            case _:
                return None

    def _newer_list(self, front: str, known: int) -> Response | None:
        """Returns the newest version visible to a front end, if it is newer than the one that it knows."""
        now = self.clock.now()
        newer = range(known + 1, len(self.versions))
        visible = max(
            (version for version in newer if self._visible_at(version, front) <= now), default=NO_VERSION
        )
        if visible <= known:
            return None
        nodes = self.versions[visible][1]
        self.record.note(
            "told",
            front=front,
            version=visible,
            ready=[node.name for node in nodes if node.health == "HEALTHY"],
            started={node.name: node.started_ms for node in nodes},
        )
        return Response(200, JSON, _encode(visible, nodes))

    def _seconds_to_wait(self, front: str, known: int, answer_at: float) -> float:
        """Returns the time until the next version is visible to a front end, or until its poll has to be answered."""
        now = self.clock.now()
        due = [self._visible_at(version, front) for version in range(known + 1, len(self.versions))]
        soonest = min((at for at in due if at > now), default=now + MAX_WAIT_NS)
        return max(MIN_WAIT_SECONDS, min((soonest - now) / SECOND, answer_at - trio.current_time()))

    def _visible_at(self, version: int, front: str) -> int:
        """Returns when a version becomes visible to a front end; the delay differs by version and front end."""
        low, high = self.day.list_delay_ns
        front_number = front.split("-")[1] if front.count("-") > 1 else "0"
        published_at = self.versions[version][0]
        if version == 0:
            return published_at
        return published_at + round(Random(f"{self.day.seed} {front_number} {version}").uniform(low, high))


def _encode(version: int, nodes: list[ListedNode]) -> bytes:
    """Returns a DiscoveryResponse in JSON with one cluster, whose endpoints are grouped by zone."""
    zones: dict[str, list[object]] = {}
    for node in nodes:
        zones.setdefault(node.zone, []).append(_endpoint(node))
    endpoints = [
        {"locality": {"zone": zone}, "lb_endpoints": zone_endpoints} for zone, zone_endpoints in zones.items()
    ]
    resources = [{"cluster_name": "playout", "endpoints": endpoints}]
    control_plane = {"identifier": "stand-in"}
    return orjson.dumps(
        {"version_info": str(version), "control_plane": control_plane, "resources": resources}
    )


def _endpoint(node: ListedNode) -> dict[str, object]:
    """Returns a node as an LbEndpoint in JSON."""
    address = {"address": "127.0.0.1", "port_value": node.port}
    metadata = {
        "name": node.name,
        "cell": node.cell,
        "link_kb": node.link_capacity,
        "places": node.playback_capacity,
        "started_at_ms": node.started_ms,
    }
    return {
        "endpoint": {"address": {"socket_address": address}},
        "health_status": node.health,
        "metadata": {"filter_metadata": {"oakcroft": metadata}},
    }
