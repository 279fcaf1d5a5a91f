"""The emulated list service: an xDS endpoint discovery service that tells each front end late which nodes there are."""

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
"""How long a poll is held before it is answered that nothing changed."""

SLOW_ANSWER_SECONDS = 0.15
"""How long a slow list service takes for each answer."""

LONGEST_WAIT_NS = 10 * SECOND
"""A held poll looks again after so long, whether or not a list was published."""

SHORTEST_WAIT_SECONDS = 0.001
"""A list that is due just now is waited for no shorter, so that the loop never spins."""

EMPTY_LIST_VERSION_STEP = 1000
"""An empty list claims a version so far ahead that front ends take it for a newer one."""

NO_VERSION = -1
"""The version of a front end that has no list."""

JSON = [("Content-Type", "application/json")]
BROKEN_LIST = b'{"version_info": "9", "resources": [{"clu'


@dataclass(frozen=True)
class ListedNode:
    """One line of the list: a node, where it is, and how it stands."""

    name: str
    zone: str
    cell: int
    port: int
    health: str
    """`HEALTHY` or `DRAINING`."""
    link_capacity: float
    """kB a second."""
    playback_capacity: int
    started_ms: float
    """When its process started, in ms on the clock of the day."""


class ListService:
    """Publishes versions of the list, each of which reaches each front end with a delay of its own."""

    def __init__(self, day: Day, clock: Clock, record: Record) -> None:
        """A service without any version; `record` keeps what it was asked and answered."""
        self.day, self.clock, self.record = day, clock, record
        self.versions: list[tuple[int, list[ListedNode]]] = []
        self.changed = trio.Event()
        self.fault = ""

    def publish(self, nodes: list[ListedNode], at: int) -> None:
        """Adds a version of the list, published at a time in ns."""
        self.versions.append((at, nodes))
        self.wake_polls()

    def set_fault(self, kind: str) -> None:
        """Has the service fail in one of the kinds of `day.LIST_FAULTS`; polls that are held notice at once."""
        self.fault = kind
        self.wake_polls()

    def clear_fault(self) -> None:
        """Ends the fault; polls that are held go on."""
        self.fault = ""

    def wake_polls(self) -> None:
        """Has all held polls look again."""
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, request: Request) -> Response:
        """Answers one poll: with a list newer than the one named in it, or 304 once it was held for long enough."""
        front = (request.header("via") or "").removeprefix("1.1 ")
        if request.path != DISCOVERY_PATH or request.method != "POST":
            return Response(404)
        known = int(orjson.loads(request.body).get("version_info") or NO_VERSION)
        self.record.note("poll", front=front, version=known)
        until = trio.current_time() + LONG_POLL_SECONDS
        if self.fault == "list-slow":
            await trio.sleep(SLOW_ANSWER_SECONDS)
        while trio.current_time() < until:
            answer = self._faulty_answer() or self._newer_list(front, known)
            if answer is not None:
                return answer
            with trio.move_on_after(self._seconds_to_wait(front, known, until)):
                await self.changed.wait()
        return Response(304)

    def _faulty_answer(self) -> Response | None:
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
        """The newest version that has reached a front end by now, if that is newer than the one it knows."""
        now = self.clock.now()
        versions = range(known + 1, len(self.versions))
        visible = max((v for v in versions if self._visible_at(v, front) <= now), default=NO_VERSION)
        if visible <= known:
            return None
        nodes = self.versions[visible][1]
        self.record.note("told", front=front, version=visible,
                         ready=[node.name for node in nodes if node.health == "HEALTHY"],
                         started={node.name: node.started_ms for node in nodes})  # fmt: skip
        return Response(200, JSON, _encode(visible, nodes))

    def _seconds_to_wait(self, front: str, known: int, until: float) -> float:
        """Until the next version reaches a front end, within the time that its poll may be held."""
        now = self.clock.now()
        due = [self._visible_at(version, front) for version in range(known + 1, len(self.versions))]
        soonest = min((at for at in due if at > now), default=now + LONGEST_WAIT_NS)
        return max(SHORTEST_WAIT_SECONDS, min((soonest - now) / SECOND, until - trio.current_time()))

    def _visible_at(self, version: int, front: str) -> int:
        """When a version reaches a front end: its own lateness, which differs from list to list."""
        low, high = self.day.list_delay_ns
        number = front.split("-")[1] if front.count("-") > 1 else "0"
        published = self.versions[version][0]
        if version == 0:
            return published
        return published + round(Random(f"{self.day.seed} {number} {version}").uniform(low, high))


def _encode(version: int, nodes: list[ListedNode]) -> bytes:
    """A DiscoveryResponse in JSON: one cluster, whose endpoints stand by zone."""
    zones: dict[str, list[object]] = {}
    for node in nodes:
        zones.setdefault(node.zone, []).append(_endpoint(node))
    endpoints = [{"locality": {"zone": zone}, "lb_endpoints": some} for zone, some in zones.items()]
    return orjson.dumps({
        "version_info": str(version), "control_plane": {"identifier": "stand-in"},
        "resources": [{"cluster_name": "playout", "endpoints": endpoints}],
    })  # fmt: skip


def _endpoint(node: ListedNode) -> dict[str, object]:
    address = {"address": "127.0.0.1", "port_value": node.port}
    more = {"name": node.name, "cell": node.cell, "link_kb": node.link_capacity, "places": node.playback_capacity,
            "started_at_ms": node.started_ms}  # fmt: skip
    return {
        "endpoint": {"address": {"socket_address": address}}, "health_status": node.health,
        "metadata": {"filter_metadata": {"oakcroft": more}},
    }  # fmt: skip
