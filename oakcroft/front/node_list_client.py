"""Client of the node list service: gets the list by long polls and caches it on disk.

The format is the endpoint discovery of the xDS REST-JSON variant (envoy.service.discovery.v3 DiscoveryRequest
and DiscoveryResponse, envoy.config.endpoint.v3 ClusterLoadAssignment), requested again with the version in
force; the service answers when it has another. Fields that xDS leaves to metadata are below `oakcroft`.
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

from oakcroft.decisions.fleet.backoff import LIST_RETRY, RetryBackoff
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.running.clock import Clock
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.interface import MS, NodeStatus

DISCOVERY_PATH = "/v3/discovery:endpoints"
TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
MAX_POLL_SECONDS = 25.0
STATUSES_BY_HEALTH = {
    "HEALTHY": NodeStatus.READY,
    "UNKNOWN": NodeStatus.READY,
    "DRAINING": NodeStatus.DRAINING,
    "UNHEALTHY": NodeStatus.GONE,
    "TIMEOUT": NodeStatus.GONE,
}


class SocketAddress(msgspec.Struct):
    """envoy.config.core.v3.SocketAddress."""

    address: str
    port_value: int


class Address(msgspec.Struct):
    """envoy.config.core.v3.Address."""

    socket_address: SocketAddress


class Endpoint(msgspec.Struct):
    """envoy.config.endpoint.v3.Endpoint."""

    address: Address


class NodeMetadata(msgspec.Struct):
    """What this system adds to an endpoint; rates in kB/s, times in milliseconds."""

    name: str
    cell: int
    link_kb: float
    places: float
    started_at_ms: float = 0.0
    kind: str = ""
    tags: list[str] = []
    drains_until_ms: float | None = None


class FilterMetadata(msgspec.Struct):
    """Metadata by filter name."""

    oakcroft: NodeMetadata


class Metadata(msgspec.Struct):
    """envoy.config.core.v3.Metadata."""

    filter_metadata: FilterMetadata


class LbEndpoint(msgspec.Struct):
    """envoy.config.endpoint.v3.LbEndpoint."""

    endpoint: Endpoint
    metadata: Metadata
    health_status: str = "UNKNOWN"


class Locality(msgspec.Struct):
    """envoy.config.core.v3.Locality."""

    zone: str = ""


class LocalityEndpoints(msgspec.Struct):
    """envoy.config.endpoint.v3.LocalityLbEndpoints."""

    lb_endpoints: list[LbEndpoint]
    locality: Locality = msgspec.field(default_factory=Locality)


class Assignment(msgspec.Struct):
    """envoy.config.endpoint.v3.ClusterLoadAssignment."""

    cluster_name: str
    endpoints: list[LocalityEndpoints]


class ControlPlane(msgspec.Struct):
    """envoy.config.core.v3.ControlPlane."""

    identifier: str = ""


class Discovery(msgspec.Struct):
    """envoy.service.discovery.v3.DiscoveryResponse."""

    version_info: str
    resources: list[Assignment]
    control_plane: ControlPlane = msgspec.field(default_factory=ControlPlane)


class NodeListError(ValueError):
    """A node list that is not in the expected format; its text says where."""


def parse_response(body: bytes) -> tuple[list[ListedNode], int, str]:
    """Nodes, version and name of the service in a discovery response. Raises NodeListError."""
    try:
        response = msgspec.json.decode(body, type=Discovery)
    except msgspec.DecodeError as fault:
        raise NodeListError(str(fault)) from None
    version = response.version_info
    if not (version.isascii() and version.isdigit() and len(version) < 18):
        raise NodeListError(f"version_info is a whole number here, not {version[:40]!r}")
    lines = []
    for locality in (part for cluster in response.resources for part in cluster.endpoints):
        for e in locality.lb_endpoints:
            if e.health_status not in STATUSES_BY_HEALTH:
                raise NodeListError(f"health_status {e.health_status[:40]!r} is unknown")
            more, address = e.metadata.filter_metadata.oakcroft, e.endpoint.address.socket_address
            lines.append(ListedNode(
                more.name, address.address, address.port_value, locality.locality.zone, more.cell,
                STATUSES_BY_HEALTH[e.health_status], _ms_to_ns(more.started_at_ms), more.link_kb, more.places, more.kind,
                tuple(more.tags), None if more.drains_until_ms is None else _ms_to_ns(more.drains_until_ms),
            ))  # fmt: skip
    return lines, int(version), response.control_plane.identifier


def _ms_to_ns(ms: float) -> int:
    """Nanoseconds of a time in milliseconds. Raises NodeListError for a time out of range."""
    if not abs(ms) < 1e15:  # some 30,000 years
        raise NodeListError(f"a time of {ms:g} ms cannot be")
    return round(ms * MS)


def request_body(version: int, front: str) -> bytes:
    """A discovery request with the version in force, -1 for none."""
    return orjson.dumps({
        "version_info": "" if version < 0 else str(version), "node": {"id": front}, "type_url": TYPE_URL,
        "resource_names": ["playout"],
    })  # fmt: skip


def save_list(path: Path, body: bytes) -> None:
    """Writes the cached list so that a crash leaves either the old or the new one complete."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as out:
        out.write(hashlib.sha256(body).hexdigest().encode() + b"\n" + body)
        out.flush()
        os.fsync(out.fileno())
    temporary.replace(path)


def load_list(path: Path) -> bytes | None:
    """Reads the cached list; None where there is none. Raises NodeListError where it is damaged."""
    try:
        digest, _, body = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return None
    if hashlib.sha256(body).hexdigest().encode() != digest:
        raise NodeListError(f"{path} is damaged")
    return body


ListHandler = Callable[[list[ListedNode], int, str], Awaitable[bool]]


class NodeListFollower:
    """Follows the list of the node list service by long polls."""

    def __init__(self, peer: Peer, clock: Clock, rng: Random, cache_path: str, pseudonym: str, apply_list: ListHandler,
                 log: structlog.typing.FilteringBoundLogger) -> None:  # fmt: skip
        """Creates a follower; an empty `cache_path` turns the cache off."""
        self.peer, self.clock, self.pseudonym, self.apply_list, self.log = (
            peer,
            clock,
            pseudonym,
            apply_list,
            log,
        )
        self.cache_path = Path(cache_path) if cache_path else None
        self.backoff = RetryBackoff(LIST_RETRY, rng, clock.now())
        self.list_version, self.is_failing = -1, False
        self.list_confirmed = trio.Event()  # the service has confirmed or sent the current list

    async def run(self) -> None:
        """Polls until it is cancelled, after a delay where a poll failed."""
        while True:
            why = await self._poll()
            if why is None:
                if self.is_failing:
                    self.log.info("list service back", version=self.list_version)
                self.is_failing = False
                self.backoff.record_success(self.clock.now())
                continue
            wait = self.backoff.record_failure(self.clock.now())
            if not self.is_failing:
                self.is_failing = True
                self.log.warning("list service failing", why=why, version=self.list_version)
            await trio.sleep((wait or 0) / 1e9)

    async def _poll(self) -> str | None:
        """Runs one poll; returns why it failed, or None."""
        headers = [("Content-Type", "application/json"), ("Via", f"1.1 {self.pseudonym}")]
        body = request_body(self.list_version, self.pseudonym)
        try:
            with trio.fail_after(MAX_POLL_SECONDS + 5):
                response = await self.peer.ask("POST", DISCOVERY_PATH, headers, body)
        except (Ended, trio.TooSlowError) as fault:
            return str(fault) or "no answer"
        if response.status == 304:
            return None
        if response.status != 200:
            return f"status {response.status}"
        try:
            lines, version, service = parse_response(response.body)
        except NodeListError as fault:
            return f"bad list: {fault}"
        if not await self.apply_list(lines, version, service):
            return "list refused"
        self.list_version = version
        self.list_confirmed.set()
        if self.cache_path is not None:
            try:
                await trio.to_thread.run_sync(save_list, self.cache_path, response.body)
            except OSError as fault:
                self.log.error("list not kept", why=str(fault))
        return None
