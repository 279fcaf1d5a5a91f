"""What one front is told, compiled: plain values that the program works with."""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.admission.doors import Bounds
from oakcroft.decisions.admission.levels import Bounds as LevelBounds, Level
from oakcroft.decisions.admission.limits import Limit
from oakcroft.decisions.fleet.adopting import Bounds as Adopts
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.routing import RouteTable
from oakcroft.decisions.routing.wings import Bounds as WingBounds
from oakcroft.interface import Plan, Terms


@dataclass(frozen=True)
class PlanTerms:
    """A plan with what the front itself needs of it beside the module's part. Times in ns."""

    name: str
    plan: Plan
    abandon: int


@dataclass(frozen=True)
class Holding:
    """Which cells hold a title."""

    home: int
    copies: int


@dataclass(frozen=True)
class Token:
    """A bearer token by its digest; the secret itself is not kept."""

    name: str
    claims: dict[str, str]


@dataclass(frozen=True)
class Site:
    """What all fronts of a deployment share."""

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
    way_back: int  # margin of the answer's way back, ns
    drain_grace: int
    usual_notice: int
    drain_within: int
    leave_within: int
    silent_after: int
    lost_after: int
    connect_within: int
    list_within: int  # how long a starting front waits for the list service
    keep_keys: int
    operators: bytes  # digest of their bearer token; empty: no interface
    levels: tuple[Level, ...]  # of reduced service, in order
    level_bounds: LevelBounds
    preference: WingBounds | None  # between wings; None: they take no side
    then: tuple[str, ...]  # other wings in order of preference


@dataclass(frozen=True)
class OtherZone:
    """Another zone, with addresses of some of its fronts."""

    zone: str
    region: str
    addresses: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class PeersPlace:
    """Where a front stands among its peers."""

    name: str
    listen: tuple[str, int]
    advertise: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    key_file: str
    fleet: str
    starts: str
    keepers: tuple[str, ...] = ()  # those that grant terms of duties, by name
    term: int = 0  # length of one, ns
    probes: int = 0  # between two figures of a node, ns; 0: none are shared
    adopts: Adopts | None = None  # how it takes over from those that are gone; None: it does not
    region: str = ""  # of this front's zone; empty: one flat membership of all fronts
    other_zones: tuple[OtherZone, ...] = ()


@dataclass(frozen=True)
class Stand:
    """One front's own place."""

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
    """All that one front is told, and what it means as plain data."""

    site: Site
    stand: Stand
    meaning: dict[str, dict[str, object]]
