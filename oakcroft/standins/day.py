"""Days to rehearse: the configuration, the fleet, the viewers and the faults, read from one S-expression."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from oakcroft.interface import SECOND
from oakcroft.config.pipeline import check_forms, build_deployment
from oakcroft.config.expander import Expander
from oakcroft.config.format import format_on_one_line
from oakcroft.config.diagnostics import (
    SourceLocation,
    Diagnostics,
    InvalidConfigurationError,
    join_alternatives,
)
from oakcroft.config.form_reader import read_form
from oakcroft.config.schema import Record
from oakcroft.config.syntax import Form, parse_text, without_comments
from oakcroft.config.settings import SharedSettings
from oakcroft.standins.day_schema import (
    DAY_SCHEMA,
    FRONT_FAULTS,
    LEASE_HOLDER_FAULTS,
    LIST_FAULTS,
    VIEWER_FAULTS,
)


@dataclass(frozen=True)
class Fault:
    """A fault of a day."""

    kind: str
    start_ns: int  # from the start of the day
    duration_ns: int
    targets: tuple[str, ...]  # names of nodes or zones, or numbers of front ends
    size: float  # the meaning of size and extra depends on the kind
    extra: float


@dataclass(frozen=True)
class NodeSpec:
    """Specification of a node of the fleet."""

    name: str
    zone: str
    cell: int
    link_capacity: float  # kB/s
    playback_capacity: int


@dataclass(frozen=True)
class ViewerModel:
    """Model of the viewers: when they arrive, what they request and for how long they watch."""

    arrival_rate: float  # new viewers per second
    title_count: int
    zipf_exponent: float  # of the popularity of titles
    plan_shares: dict[str, float]
    mean_watch_ns: dict[str, int]  # by plan
    return_share: float  # share that requests the title again after a loss or a rejection
    return_delay_ns: tuple[int, int]
    small_screen_share: float  # share that cannot use the upper rungs
    front_skew: float  # how unevenly viewers choose front ends


@dataclass(frozen=True)
class Day:
    """A day to rehearse. Ranges are from the least to the greatest value."""

    name: str
    duration_ns: int
    seed: int
    site: SharedSettings
    site_text: str
    front_zones: tuple[str, ...]  # zone of each front end
    nodes: tuple[NodeSpec, ...]
    uplink_capacities: tuple[float, ...]  # of each rack, in kB/s; 0 for no bound
    list_delay_ns: tuple[int, int]  # of the list service
    full_link_load: float  # link load from which on a node answers that it is full; 0 for no such bound
    shortfall_penalty: float  # points of revenue lost for each point of a stream's rate that is missing
    setup_duration_ns: tuple[int, int]
    viewer_model: ViewerModel
    faults: tuple[Fault, ...]
    has_peers: bool = False  # whether front ends communicate with each other
    lease_acceptors: tuple[int, ...] = ()  # numbers of the front ends that grant the leases of the fleet
    lease_duration_ns: int = 2 * SECOND
    has_takeovers: bool = False  # whether front ends take over the sessions of failed ones
    shares_node_loads: bool = False  # whether front ends share the loads that nodes report

    def with_seed(self, seed: int) -> Day:
        """Returns the same day with another seed."""
        return replace(self, seed=seed)


def load_day(path: Path) -> Day:
    """Reads a day from a file; raises InvalidConfigurationError with all problems and their locations."""
    return parse_day(path.read_text(encoding="utf-8"), path.stem)


def parse_day(body: str, name: str) -> Day:
    """Reads a day, which is one (day …) form whose (site …) holds forms of the configuration language.

    Raises InvalidConfigurationError with all problems and their locations.
    """
    problems = Diagnostics()
    items = without_comments(parse_text(body, name, problems))
    day = items[0] if len(items) == 1 else None
    if not isinstance(day, Form) or day.name != "day":
        if not problems.items:
            location = items[0].location if items else SourceLocation(name, 1, 1)
            problems.error(location, "the file must hold exactly one (day …)")
        raise InvalidConfigurationError(problems)
    sites = [item for item in day.items if isinstance(item, Form) and item.name == "site"]
    rest = Form(tuple(item for item in day.items if item not in sites), day.location, day.end_line)
    record = read_form(DAY_SCHEMA, rest, problems)
    if len(sites) != 1:
        problems.error(
            day.location, "(day …) needs exactly one (site …), which holds the configuration", "add (site …)"
        )
        raise InvalidConfigurationError(problems)
    forms = _expand_site(sites[0], problems)
    records, _ = check_forms(forms, problems, is_front_file=False)
    if records is None or problems.errors:
        raise InvalidConfigurationError(problems)
    site_text = "\n".join(format_on_one_line(form) or "" for form in forms)
    result = _build_day(record, build_deployment(records).shared, site_text, name, problems)
    if problems.errors:
        raise InvalidConfigurationError(problems)
    return result


def _expand_site(site: Form, problems: Diagnostics) -> list[Form]:
    """Returns the forms of the site, with their definitions expanded."""
    expander = Expander(_reject_include, problems)
    expanded: list[Form] = []
    for form in site.items[1:]:
        if isinstance(form, Form):
            expander._expand(form, (), expanded)
    return expanded


def _reject_include(name: str) -> str:
    raise OSError("a day cannot include files")


def _build_day(record: Record, site: SharedSettings, site_text: str, name: str, problems: Diagnostics) -> Day:
    """Builds a day from its record, and reports contradictions between its fields."""
    front_zones = tuple(record.get("fronts"))
    nodes = tuple(_build_node(node) for node in record.get("node"))
    uplink_capacities = tuple(record.get("uplinks")) or (0.0,) * site.terms.rack_count
    list_delay = record.get("late")
    setup_duration = record.get("setup")
    has_peers = _is_yes(record, "peers")
    _check_sizes(record, site, len(front_zones), len(uplink_capacities), problems)
    _check_peers(record, len(front_zones), problems)
    known_targets = _known_targets(nodes, front_zones)
    lease_acceptors = tuple(record.get("keepers"))
    faults = [
        _build_fault(fault, known_targets, has_peers, bool(lease_acceptors), problems)
        for fault in record.get("fault") or []
    ]
    return Day(
        name=name,
        duration_ns=record.get("length"),
        seed=record.get("seed"),
        site=site,
        site_text=site_text,
        front_zones=front_zones,
        nodes=nodes,
        uplink_capacities=uplink_capacities,
        list_delay_ns=(list_delay[0], list_delay[-1]),
        full_link_load=record.get("guard"),
        shortfall_penalty=record.get("stall"),
        setup_duration_ns=(setup_duration[0], setup_duration[-1]),
        viewer_model=_build_viewer_model(record.get("viewers"), site, problems),
        faults=tuple(sorted(faults, key=lambda fault: (fault.start_ns, fault.kind, fault.targets))),
        has_peers=has_peers,
        lease_acceptors=lease_acceptors,
        lease_duration_ns=record.get("term"),
        has_takeovers=_is_yes(record, "adopting"),
        shares_node_loads=_is_yes(record, "probing"),
    )


def _known_targets(nodes: tuple[NodeSpec, ...], front_zones: tuple[str, ...]) -> dict[str, set[str]]:
    """Returns the names that a fault can have as targets, by the kind of target."""
    return {
        "node": {node.name for node in nodes},
        "wing": set(front_zones),
        "front": {str(number) for number in range(len(front_zones))},
    }


def _is_yes(record: Record, field: str) -> bool:
    return bool(record.get(field) == "yes")


def _check_sizes(
    record: Record, site: SharedSettings, front_count: int, uplink_count: int, problems: Diagnostics
) -> None:
    """Reports numbers of fronts and uplinks that do not match the fleet."""
    if front_count != site.terms.front_count:
        message = f"zones are listed for {front_count} fronts, but the fleet has {site.terms.front_count}"
        problems.error(record.location_of("fronts"), message)
    if uplink_count != site.terms.rack_count:
        message = f"{uplink_count} uplinks are listed, but the fleet has {site.terms.rack_count} racks"
        problems.error(record.location_of("uplinks"), message)


NEEDS_PEERS = {
    "keepers": "keepers are reached",
    "adopting": "failures are reported",
    "probing": "loads are shared",
}
"""Fields of a day that need peers, each with the purpose."""


def _check_peers(record: Record, front_count: int, problems: Diagnostics) -> None:
    """Reports fields that need peers on a day without peers, and lease acceptors that do not exist."""
    for field, purpose in NEEDS_PEERS.items():
        is_set = _is_yes(record, field) or (field == "keepers" and bool(record.get(field)))
        if is_set and not _is_yes(record, "peers"):
            problems.error(record.location_of(field), f"{purpose} among the peers", "add (peers yes)")
    for number in record.get("keepers"):
        if number >= front_count:
            message = f"there is no front {number}; there are {front_count}"
            problems.error(record.location_of("keepers"), message)


def _build_viewer_model(viewers: Record, site: SharedSettings, problems: Diagnostics) -> ViewerModel:
    shares: list[Record] = viewers.get("plan") or []
    for share in shares:
        if share.name not in site.plans:
            message = f"there is no plan {share.name}; there is {join_alternatives(site.plans)}"
            problems.error(share.location, message)
    return_delay = viewers.get("back-after")
    return ViewerModel(
        arrival_rate=viewers.get("rate"),
        title_count=viewers.get("titles"),
        zipf_exponent=viewers.get("zipf"),
        plan_shares={share.name: share.get("share") for share in shares},
        mean_watch_ns={share.name: share.get("life") for share in shares},
        return_share=viewers.get("returns"),
        return_delay_ns=(return_delay[0], return_delay[-1]),
        small_screen_share=viewers.get("small-screens"),
        front_skew=viewers.get("uneven"),
    )


def _build_node(record: Record) -> NodeSpec:
    return NodeSpec(
        record.name, record.get("wing"), record.get("cell"), record.get("link"), record.get("places")
    )


def _build_fault(
    record: Record,
    known_targets: dict[str, set[str]],
    has_peers: bool,
    has_lease_acceptors: bool,
    problems: Diagnostics,
) -> Fault:
    """Builds a fault, and reports targets that do not exist and missing features that it needs."""
    fault = Fault(
        kind=record.name,
        start_ns=record.get("at"),
        duration_ns=record.get("for"),
        targets=tuple(record.get("on")),
        size=record.get("size"),
        extra=record.get("extra"),
    )
    if fault.kind in ("cut", "lose") and not has_peers:
        message = f"{fault.kind} affects messages between fronts, and they have no peers"
        problems.error(record.location, message, "add (peers yes)")
    if fault.kind in LEASE_HOLDER_FAULTS and not has_lease_acceptors:
        message = f"{fault.kind} affects the holder of a lease, and nobody grants terms"
        problems.error(record.location, message, "add (keepers …)")
    if fault.kind in LIST_FAULTS + VIEWER_FAULTS:
        return fault
    target_kind = _target_kind(fault)
    known = known_targets[target_kind]
    for name in fault.targets:
        if name not in known:
            message = f"there is no {target_kind} {name}; there is {join_alternatives(known)}"
            problems.error(record.location_of("on"), message)
    return fault


def _target_kind(fault: Fault) -> str:
    """Returns what a fault names as its targets: nodes, wings or fronts."""
    if fault.kind.startswith("zone"):
        return "wing"
    return "front" if fault.kind in FRONT_FAULTS else "node"
