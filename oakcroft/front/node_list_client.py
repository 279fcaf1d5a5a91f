"""Client of the node list service: gets the list by long polls and caches it on disk.

The format is the endpoint discovery of the xDS REST-JSON variant (envoy.service.discovery.v3 DiscoveryRequest
and DiscoveryResponse, envoy.config.endpoint.v3 ClusterLoadAssignment), requested again with the version in
force; the service answers when it has another. Fields that xDS leaves to metadata are below `oakcroft`.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from random import Random

import msgspec
import orjson
import structlog
import trio

from oakcroft.decisions.fleet.backoff import LIST_RETRY, RetryBackoff
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.running.clock import Clock
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.interface import MS, NodeStatus

DISCOVERY_PATH = "/v3/discovery:endpoints"
TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
MAX_POLL_SECONDS = 25.0
POLL_MARGIN_SECONDS = 5  # for the response of a poll that took its whole time
MAX_VERSION_DIGITS = 17
MAX_TIME_MS = 1e15  # some 30,000 years
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
    except msgspec.DecodeError as error:
        raise NodeListError(str(error)) from None
    version = response.version_info
    if not (version.isascii() and version.isdigit() and len(version) <= MAX_VERSION_DIGITS):
        raise NodeListError(f"version_info must be a whole number, not {version[:40]!r}")
    listed_nodes = []
    for locality in (group for cluster in response.resources for group in cluster.endpoints):
        for endpoint in locality.lb_endpoints:
            if endpoint.health_status not in STATUSES_BY_HEALTH:
                raise NodeListError(f"unknown health_status {endpoint.health_status[:40]!r}")
            metadata = endpoint.metadata.filter_metadata.oakcroft
            address = endpoint.endpoint.address.socket_address
            listed_nodes.append(
                ListedNode(
                    metadata.name,
                    address.address,
                    address.port_value,
                    locality.locality.zone,
                    metadata.cell,
                    STATUSES_BY_HEALTH[endpoint.health_status],
                    _ms_to_ns(metadata.started_at_ms),
                    metadata.link_kb,
                    metadata.places,
                    metadata.kind,
                    tuple(metadata.tags),
                    None if metadata.drains_until_ms is None else _ms_to_ns(metadata.drains_until_ms),
                )
            )
    return listed_nodes, int(version), response.control_plane.identifier


def _ms_to_ns(ms: float) -> int:
    """Nanoseconds of a time in milliseconds. Raises NodeListError for a time out of range."""
    if not abs(ms) < MAX_TIME_MS:  # false for NaN, too
        raise NodeListError(f"time of {ms:g} ms is out of range")
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
    with temporary.open("wb") as file:
        file.write(hashlib.sha256(body).hexdigest().encode() + b"\n" + body)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)


def load_list(path: Path) -> bytes | None:
    """Reads the cached list; None where there is none. Raises NodeListError where it is damaged."""
    try:
        digest, _, body = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return None
    if hashlib.sha256(body).hexdigest().encode() != digest:
        raise NodeListError(f"{path} does not match its checksum")
    return body


ListHandler = Callable[[list[ListedNode], int, str], Awaitable[bool]]


class NodeListFollower:
    """Follows the list of the node list service by long polls."""

    def __init__(
        self,
        peer: HttpClient,
        clock: Clock,
        rng: Random,
        cache_path: str,
        pseudonym: str,
        apply_list: ListHandler,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates a follower; an empty `cache_path` turns the cache off."""
        self.peer = peer
        self.clock = clock
        self.pseudonym = pseudonym
        self.apply_list = apply_list
        self.log = log
        self.cache_path = Path(cache_path) if cache_path else None
        self.backoff = RetryBackoff(LIST_RETRY, rng, clock.now())
        self.list_version = -1
        self.is_failing = False
        self.list_confirmed = trio.Event()  # the service has confirmed or sent the current list

    async def run(self) -> None:
        """Polls until it is cancelled, after a delay where a poll failed."""
        while True:
            failure = await self._poll()
            if failure is None:
                if self.is_failing:
                    self.log.info("list service back", version=self.list_version)
                self.is_failing = False
                self.backoff.record_success(self.clock.now())
                continue
            delay_ns = self.backoff.record_failure(self.clock.now())
            if not self.is_failing:
                self.is_failing = True
                self.log.warning("list service failing", why=failure, version=self.list_version)
            await trio.sleep((delay_ns or 0) / 1e9)

    async def _poll(self) -> str | None:
        """Runs one poll; returns why it failed, or None."""
        headers = [("Content-Type", "application/json"), ("Via", f"1.1 {self.pseudonym}")]
        body = request_body(self.list_version, self.pseudonym)
        try:
            with trio.fail_after(MAX_POLL_SECONDS + POLL_MARGIN_SECONDS):
                response = await self.peer.request("POST", DISCOVERY_PATH, headers, body)
        except (ExchangeError, trio.TooSlowError) as error:
            return str(error) or "no response in time"
        if response.status == HTTPStatus.NOT_MODIFIED:
            return None
        if response.status != HTTPStatus.OK:
            return f"HTTP status {response.status}"
        try:
            listed_nodes, version, service = parse_response(response.body)
        except NodeListError as error:
            return f"invalid node list: {error}"
        if not await self.apply_list(listed_nodes, version, service):
            return "node list rejected"
        self.list_version = version
        self.list_confirmed.set()
        if self.cache_path is not None:
            await self._save_cache(self.cache_path, response.body)
        return None

    async def _save_cache(self, path: Path, body: bytes) -> None:
        """Caches a list on disk in a worker thread; a failure is logged, and the list is in force all the same."""
        try:
            await trio.to_thread.run_sync(save_list, path, body)
        except OSError as error:
            self.log.error("list not kept", why=str(error))
