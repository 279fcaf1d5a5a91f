"""The settings that a front end runs with, built from its configuration. Times are in ns."""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.admission.connection_limits import Bounds
from oakcroft.decisions.admission.service_levels import Bounds as LevelBounds, Level
from oakcroft.decisions.admission.request_limits import Limit
from oakcroft.decisions.fleet.session_takeover import Bounds as Adopts
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import RouteTable
from oakcroft.decisions.routing.zone_preference import Bounds as WingBounds
from oakcroft.interface import Plan, Terms


@dataclass(frozen=True)
class PlanTerms:
    """A plan as the decision module knows it, with the abandon time, which only the front end needs."""

    name: str
    plan: Plan
    abandon: int


@dataclass(frozen=True)
class Holding:
    """The cells that hold a title: `copy_count` cells in a row, starting with `home_cell`."""

    home: int
    copies: int


@dataclass(frozen=True)
class Token:
    """The name and claims of a bearer token. The secret is not kept; tokens are looked up by its digest."""

    name: str
    claims: dict[str, str]


@dataclass(frozen=True)
class Site:
    """The settings that all front ends of a deployment share."""

    terms: Terms
    plans: dict[str, PlanTerms]
    table: RouteTable
    pools: dict[str, Pool]
    limits: tuple[Limit, ...]
    tokens: dict[bytes, Token]
    titles: dict[str, Holding]
    copies: int
    ice: tuple[str, ...]
    bounds: Bounds
    way_back: int  # kept of each abandon time for the answer to reach the viewer, ns
    drain_grace: int
    usual_notice: int
    drain_within: int
    leave_within: int
    silent_after: int
    lost_after: int
    connect_within: int
    list_within: int  # how long a starting front waits for the list service
    keep_keys: int
    operators: bytes  # empty: no operators' interface
    levels: tuple[Level, ...]  # levels of reduced service, in order of rank
    level_bounds: LevelBounds
    preference: WingBounds | None  # None: no zone is preferred
    then: tuple[str, ...]  # other zones in order of preference


@dataclass(frozen=True)
class OtherZone:
    """Another zone, with the addresses of some of its front ends."""

    zone: str
    region: str
    addresses: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class PeersPlace:
    """The settings for talking to peers.

    `start_count_file` holds the number of the front end's last start; without it that number comes from the clock and
    the peers.
    """

    name: str
    listen: tuple[str, int]
    advertise: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    key_file: str
    fleet: str
    starts: str
    keepers: tuple[str, ...] = ()  # names of the front ends that grant terms of duties by majority
    term: int = 0  # length of a term, ns
    probes: int = 0  # time between two load probes of a node, ns; 0: loads are not shared
    adopts: Adopts | None = None  # None: playbacks of failed front ends are not taken over
    region: str = ""  # region of this front end's zone; empty: one flat membership of all front ends
    other_zones: tuple[OtherZone, ...] = ()


@dataclass(frozen=True)
class Stand:
    """The settings of one front end.

    `node_list_file` caches the last node list and `state_file` keeps promises, seats and the list over a crash; ""
    means none. `is_state_synced`: a commit to the state file waits for the disk.
    """

    host: str
    port: int
    list_host: str
    list_port: int
    kept: str
    state: str
    state_sync: bool
    zone: str
    seed: int
    log: str
    peers: PeersPlace | None = None


@dataclass(frozen=True)
class Deployment:
    """All settings of one front end, with the resolved configuration that they were built from."""

    site: Site
    stand: Stand
    meaning: dict[str, dict[str, object]]
