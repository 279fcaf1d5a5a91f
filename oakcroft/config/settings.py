"""The settings that a front end runs with, built from its configuration. Times are in ns."""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.admission.connection_limits import ConnectionLimits
from oakcroft.decisions.admission.service_levels import LevelBounds, ServiceLevel
from oakcroft.decisions.admission.request_limits import RequestLimit
from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import RouteTable
from oakcroft.decisions.routing.zone_preference import ZonePreferenceBounds
from oakcroft.interface import Plan, DeploymentSettings


@dataclass(frozen=True)
class PlanTerms:
    """A plan as the decision module knows it, with the abandon time, which only the front end needs."""

    name: str
    plan: Plan
    abandon_ns: int


@dataclass(frozen=True)
class TitlePlacement:
    """The cells that hold a title: `copy_count` cells in a row, starting with `home_cell`."""

    home_cell: int
    copy_count: int


@dataclass(frozen=True)
class BearerToken:
    """The name and claims of a bearer token. The secret is not kept; tokens are looked up by its digest."""

    name: str
    claims: dict[str, str]


@dataclass(frozen=True)
class SharedSettings:
    """The settings that all front ends of a deployment share."""

    terms: DeploymentSettings
    plans: dict[str, PlanTerms]
    route_table: RouteTable
    pools: dict[str, Pool]
    limits: tuple[RequestLimit, ...]
    tokens: dict[bytes, BearerToken]
    titles: dict[str, TitlePlacement]
    copy_count: int
    ice_servers: tuple[str, ...]
    connection_limits: ConnectionLimits
    answer_margin_ns: int  # part of each abandon time that is reserved for the answer's way to the viewer
    drain_grace_ns: int
    default_drain_notice_ns: int
    drain_timeout_ns: int
    leave_timeout_ns: int
    silence_timeout_ns: int
    loss_timeout_ns: int
    connect_timeout_ns: int
    list_timeout_ns: int  # how long a starting front waits for the list service
    key_retention_ns: int
    operator_token_digest: bytes  # empty: no operators' interface
    levels: tuple[ServiceLevel, ...]  # levels of reduced service, in order of rank
    level_bounds: LevelBounds
    zone_preference: ZonePreferenceBounds | None  # None: no zone is preferred
    preferred_zones: tuple[str, ...]  # other zones in order of preference


@dataclass(frozen=True)
class OtherZone:
    """Another zone, with the addresses of some of its front ends."""

    zone: str
    region: str
    addresses: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class PeerSettings:
    """The settings for talking to peers.

    `start_count_file` holds the number of the front end's last start; without it that number comes from the clock and
    the peers.
    """

    name: str
    listen: tuple[str, int]
    advertise: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    key_file: str
    fleet_name: str
    start_count_file: str
    lease_acceptors: tuple[str, ...] = ()  # names of the front ends that grant leases by majority
    term_ns: int = 0  # duration of a lease, ns
    probe_interval_ns: int = 0  # time between two load probes of a node, ns; 0: loads are not shared
    takeover_bounds: TakeoverBounds | None = None  # None: playbacks of failed front ends are not taken over
    region: str = ""  # region of this front end's zone; empty: one flat membership of all front ends
    other_zones: tuple[OtherZone, ...] = ()


@dataclass(frozen=True)
class FrontSettings:
    """The settings of one front end.

    `node_list_file` caches the last node list and `state_file` keeps promises, seats and the list over a crash; ""
    means none. `is_state_synced`: a commit to the state file waits for the disk.
    """

    host: str
    port: int
    list_service_host: str
    list_service_port: int
    node_list_file: str
    state_file: str
    is_state_synced: bool
    zone: str
    seed: int
    log_format: str
    peers: PeerSettings | None = None


@dataclass(frozen=True)
class Deployment:
    """All settings of one front end, with the resolved configuration that they were built from."""

    shared: SharedSettings
    front: FrontSettings
    resolved: dict[str, dict[str, object]]
