"""The list of playout nodes: asked for by long poll, kept on disk, handed to the roster.

The format is the endpoint discovery of the xDS REST-JSON variant (envoy.service.discovery.v3 DiscoveryRequest and
DiscoveryResponse, envoy.config.endpoint.v3 ClusterLoadAssignment), asked again with the version in force, which the
service answers when it has another. Fields that xDS leaves to metadata stand under `oakcroft`.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import msgspec
import orjson
import structlog
import trio

from oakcroft.decisions.fleet.again import LIST, Again
from oakcroft.decisions.fleet.roster import Line
from oakcroft.running.clock import Clock
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.interface import MS, Listing

PATH = "/v3/discovery:endpoints"
TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
HOLD = 25.0
HEALTH = {
    "HEALTHY": Listing.READY,
    "UNKNOWN": Listing.READY,
    "DRAINING": Listing.DRAINING,
    "UNHEALTHY": Listing.GONE,
    "TIMEOUT": Listing.GONE,
}


class SocketAddress(msgspec.Struct):
    address: str
    port_value: int


class Address(msgspec.Struct):
    socket_address: SocketAddress


class Endpoint(msgspec.Struct):
    address: Address


class Particulars(msgspec.Struct):
    name: str
    cell: int
    link_kb: float
    places: float
    started_at_ms: float = 0.0
    kind: str = ""
    tags: list[str] = []
    drains_until_ms: float | None = None


class FilterMetadata(msgspec.Struct):
    oakcroft: Particulars


class Metadata(msgspec.Struct):
    filter_metadata: FilterMetadata


class LbEndpoint(msgspec.Struct):
    endpoint: Endpoint
    metadata: Metadata
    health_status: str = "UNKNOWN"


class Locality(msgspec.Struct):
    zone: str = ""


class LocalityEndpoints(msgspec.Struct):
    lb_endpoints: list[LbEndpoint]
    locality: Locality = msgspec.field(default_factory=Locality)


class Assignment(msgspec.Struct):
    cluster_name: str
    endpoints: list[LocalityEndpoints]


class ControlPlane(msgspec.Struct):
    identifier: str = ""


class Discovery(msgspec.Struct):
    version_info: str
    resources: list[Assignment]
    control_plane: ControlPlane = msgspec.field(default_factory=ControlPlane)


class BadList(ValueError):
    """A list that is not of the format; its text says where."""


def parse(body: bytes) -> tuple[list[Line], int, str]:
    """Lines, version and the service's name out of a discovery response."""
    try:
        response = msgspec.json.decode(body, type=Discovery)
    except msgspec.DecodeError as fault:
        raise BadList(str(fault)) from None
    version = response.version_info
    if not (version.isascii() and version.isdigit() and len(version) < 18):
        raise BadList(f"version_info is a whole number here, not {version[:40]!r}")
    lines = []
    for locality in (part for cluster in response.resources for part in cluster.endpoints):
        for e in locality.lb_endpoints:
            if e.health_status not in HEALTH:
                raise BadList(f"health_status {e.health_status[:40]!r} is unknown")
            more, address = e.metadata.filter_metadata.oakcroft, e.endpoint.address.socket_address
            lines.append(Line(
                more.name, address.address, address.port_value, locality.locality.zone, more.cell,
                HEALTH[e.health_status], _ns(more.started_at_ms), more.link_kb, more.places, more.kind,
                tuple(more.tags), None if more.drains_until_ms is None else _ns(more.drains_until_ms),
            ))  # fmt: skip
    return lines, int(version), response.control_plane.identifier


def _ns(ms: float) -> int:
    if not abs(ms) < 1e15:  # some 30,000 years
        raise BadList(f"a time of {ms:g} ms cannot be")
    return round(ms * MS)


def request_body(version: int, front: str) -> bytes:
    """A discovery request with the version in force; -1 for none."""
    return orjson.dumps({
        "version_info": "" if version < 0 else str(version), "node": {"id": front}, "type_url": TYPE,
        "resource_names": ["playout"],
    })  # fmt: skip


def keep(path: Path, body: bytes) -> None:
    """Writes the list so that a crash leaves the old one or the new one, whole."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as out:
        out.write(hashlib.sha256(body).hexdigest().encode() + b"\n" + body)
        out.flush()
        os.fsync(out.fileno())
    temporary.replace(path)


def kept(path: Path) -> bytes | None:
    """The list as kept; None where there is none. BadList for one that is not as it was written."""
    try:
        digest, _, body = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return None
    if hashlib.sha256(body).hexdigest().encode() != digest:
        raise BadList(f"{path} is damaged")
    return body


Take = Callable[[list[Line], int, str], Awaitable[bool]]


class Follower:
    """Asks the list service for as long as the front runs."""

    def __init__(self, peer: Peer, clock: Clock, rng: Random, path: str, me: str, take: Take,
                 log: structlog.typing.FilteringBoundLogger) -> None:  # fmt: skip
        self.peer, self.clock, self.me, self.take, self.log = peer, clock, me, take, log
        self.path = Path(path) if path else None
        self.again = Again(LIST, rng, clock.now())
        self.version, self.failing = -1, False
        self.answered = trio.Event()  # the service has told what stands now

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            why = await self._once()
            if why is None:
                if self.failing:
                    self.log.info("list service back", version=self.version)
                self.failing = False
                self.again.worked(self.clock.now())
                continue
            wait = self.again.failed(self.clock.now())
            if not self.failing:
                self.failing = True
                self.log.warning("list service failing", why=why, version=self.version)
            await trio.sleep((wait or 0) / 1e9)

    async def _once(self) -> str | None:
        """One call; why it failed, or None."""
        headers = [("Content-Type", "application/json"), ("Via", f"1.1 {self.me}")]
        body = request_body(self.version, self.me)
        try:
            with trio.fail_after(HOLD + 5):
                response = await self.peer.ask("POST", PATH, headers, body)
        except (Ended, trio.TooSlowError) as fault:
            return str(fault) or "no answer"
        if response.status == 304:
            return None
        if response.status != 200:
            return f"status {response.status}"
        try:
            lines, version, service = parse(response.body)
        except BadList as fault:
            return f"bad list: {fault}"
        if not await self.take(lines, version, service):
            return "list refused"
        self.version = version
        self.answered.set()
        if self.path is not None:
            try:
                await trio.to_thread.run_sync(keep, self.path, response.body)
            except OSError as fault:
                self.log.error("list not kept", why=str(fault))
        return None
