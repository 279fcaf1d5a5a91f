"""A rehearsal's day: the site, the fleet, the viewers and the troubles, read from one S-expression."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from oakcroft.interface import MS, SECOND
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
from oakcroft.config.schema import (
    NAME_TYPE,
    NUMBER_TYPE,
    PACE_TYPE,
    RATE_TYPE,
    TIME_TYPE,
    INTEGER_TYPE,
    Field,
    Record,
    Schema,
    choice_type,
)
from oakcroft.config.syntax import Form, parse_text, without_comments
from oakcroft.config.settings import SharedSettings

NODE_FAULTS = (
    "crash", "vanish", "hang", "slow", "shared-slow", "neighbour", "report-late", "ageing", "answer-lost",
    "deploy", "preempt", "zone-loss", "zone-cut",
)  # fmt: skip
LIST_FAULTS = ("list-empty", "list-broken", "list-down")
PEER_FAULTS = ("cut", "lose", "stand", "fill", "wipe")
OWNER_FAULTS = ("roll-out", "owner-stand", "owner-kill")  # whoever owns the catalogue just then
FRONT_FAULTS = ("front-kill", "front-stall", *OWNER_FAULTS, *PEER_FAULTS)
VIEWER_FAULTS = ("crowd",)
FAULTS = NODE_FAULTS + LIST_FAULTS + FRONT_FAULTS + VIEWER_FAULTS


@dataclass(frozen=True)
class Fault:
    """One trouble: its kind, when from the day's start and for how long (ns), whom it hits, and its figures."""

    kind: str
    start_ns: int
    duration_ns: int
    targets: tuple[str, ...]
    size: float
    extra: float


@dataclass(frozen=True)
class NodeSpec:
    """One node of the fleet."""

    name: str
    zone: str
    cell: int
    link_capacity: float
    playback_capacity: int


@dataclass(frozen=True)
class ViewerModel:
    """How viewers come: new playbacks a second, how many titles and how unevenly wanted, how long they watch,
    which plan they ask for, how many return after a loss and when."""

    arrival_rate: float
    title_count: int
    zipf_exponent: float
    plan_shares: dict[str, float]
    mean_watch_ns: dict[str, int]
    return_share: float
    return_delay_ns: tuple[int, int]
    small_screen_share: float
    front_skew: float


@dataclass(frozen=True)
class Day:
    """A whole day. Times in ns."""

    name: str
    duration_ns: int
    seed: int
    site: SharedSettings
    site_text: str
    front_zones: tuple[str, ...]  # the wing of each
    nodes: tuple[NodeSpec, ...]
    uplink_capacities: tuple[float, ...]
    list_delay_ns: tuple[int, int]
    full_link_load: float
    shortfall_penalty: float
    setup_duration_ns: tuple[int, int]
    viewer_model: ViewerModel
    faults: tuple[Fault, ...]
    has_peers: bool = False  # whether the fronts speak to each other
    keepers: tuple[int, ...] = ()  # those that grant terms of the fleet's duties
    term_ns: int = 2 * SECOND
    has_takeovers: bool = False  # whether fronts take over playbacks of those that are gone
    shares_node_loads: bool = False  # whether they share what nodes tell of their loads

    def with_seed(self, seed: int) -> Day:
        """The same day from another seed."""
        return replace(self, seed=seed)


NODE = Schema(
    "node", "One node of the fleet.",
    (
        Field("wing", "the wing it stands in", NAME_TYPE, required=True),
        Field("cell", "its cell", INTEGER_TYPE, required=True),
        Field("link", "its link", RATE_TYPE, required=True),
        Field("places", "streams that it runs at most", INTEGER_TYPE, required=True, minimum=1),
    ),
    NAME_TYPE, "its name", "(node n1 (wing west) (cell 0) (link 24MB/s) (places 60))",
)  # fmt: skip
PLAN_SHARE = Schema(
    "plan", "How many ask for a plan and how long they watch.",
    (
        Field("share", "of new playbacks", NUMBER_TYPE, required=True),
        Field("life", "mean time watched", TIME_TYPE, required=True, minimum=1),
    ),
    NAME_TYPE, "the plan's name",
)  # fmt: skip
VIEWERS = Schema(
    "viewers", "How viewers come.",
    (
        Field("rate", "new viewers a second", PACE_TYPE, required=True),
        Field("titles", "how many titles there are", INTEGER_TYPE, required=True, minimum=1),
        Field("zipf", "how unevenly they are wanted", NUMBER_TYPE, 0.8),
        Field("returns", "share that comes again after a loss or a rejection", NUMBER_TYPE, 0.9),
        Field("back-after", "between these times", TIME_TYPE, (SECOND, 2 * SECOND), max_values=2),
        Field("small-screens", "share that cannot use the upper rungs", NUMBER_TYPE, 0.2),
        Field("uneven", "how unevenly fronts are asked", NUMBER_TYPE, 0.3),
        Field("plan", PLAN_SHARE.doc, subform=PLAN_SHARE, is_repeatable=True, required=True),
    ),
)  # fmt: skip
FAULT = Schema(
    "fault", "One trouble.",
    (
        Field("at", "when it begins, from the day's start", TIME_TYPE, required=True),
        Field("for", "how long it lasts", TIME_TYPE, 0),
        Field("on", "nodes, wings or numbers of fronts", NAME_TYPE, (), max_values=10_000),
        Field("size", "its size", NUMBER_TYPE, 0.0),
        Field("extra", "its second figure", NUMBER_TYPE, 0.0),
    ),
    choice_type("trouble", FAULTS), "its kind",
)  # fmt: skip
DAY = Schema(
    "day", "A day to rehearse.",
    (
        Field("length", "how long viewers come", TIME_TYPE, required=True, minimum=1),
        Field("seed", "of all chance in it", INTEGER_TYPE, 1),
        Field("fronts", "the wing of each front", NAME_TYPE, required=True, max_values=10_000),
        Field("late", "how late the list service is, between", TIME_TYPE, (SECOND, 2 * SECOND), max_values=2),
        Field("setup", "how long a node takes for a set-up, between", TIME_TYPE, (5 * MS, 20 * MS), max_values=2),
        Field("uplinks", "of each rack", RATE_TYPE, (), max_values=10_000),
        Field("guard", "a node answers full while so much of its link is asked; 0: never", NUMBER_TYPE, 0.0),
        Field("peers", "whether the fronts keep a view of each other", choice_type("answer", ("yes", "no")), "no"),
        Field("keepers", "numbers of the fronts that grant terms of duties", INTEGER_TYPE, (), max_values=7),
        Field("term", "the length of a term", TIME_TYPE, 2 * SECOND, minimum=SECOND),
        Field("adopting", "whether they take over from those that are gone", choice_type("answer", ("yes", "no")), "no"),
        Field("probing", "whether they share nodes' loads", choice_type("answer", ("yes", "no")), "no"),
        Field("stall", "points of worth lost for each point of the rate that is missing", NUMBER_TYPE, 7.0),
        Field("node", NODE.doc, subform=NODE, is_repeatable=True, required=True),
        Field("viewers", VIEWERS.doc, subform=VIEWERS, required=True),
        Field("fault", FAULT.doc, subform=FAULT, is_repeatable=True),
    ),
)  # fmt: skip


def load_day(path: Path) -> Day:
    """Reads a day's file. Unsound says what is wrong and where."""
    return parse_day(path.read_text(encoding="utf-8"), path.stem)


def parse_day(body: str, name: str) -> Day:
    """Reads a day: one (day …) whose (site …) holds forms of the configuration language."""
    problems = Diagnostics()
    parts = without_comments(parse_text(body, name, problems))
    day = parts[0] if len(parts) == 1 else None
    if not isinstance(day, Form) or day.name != "day":
        if not problems.items:
            problems.error(
                parts[0].location if parts else SourceLocation(name, 1, 1), "the file holds one (day …)"
            )
        raise InvalidConfigurationError(problems)
    sites = [p for p in day.items if isinstance(p, Form) and p.name == "site"]
    rest = Form(tuple(p for p in day.items if p not in sites), day.location, day.end_line)
    record = read_form(DAY, rest, problems)
    if len(sites) != 1:
        problems.error(
            day.location, "(day …) lacks one (site …), which holds the configuration", "add (site …)"
        )
        raise InvalidConfigurationError(problems)
    expander, inside = Expander(_no_files, problems), list[Form]()
    for form in sites[0].items[1:]:
        if isinstance(form, Form):
            expander._expand(form, (), inside)
    found, _ = check_forms(inside, problems, is_front_file=False)
    if found is None or problems.errors:
        raise InvalidConfigurationError(problems)
    text = "\n".join(format_on_one_line(f) or "" for f in inside)
    out = _day(record, build_deployment(found).shared, text, name, problems)
    if problems.errors:
        raise InvalidConfigurationError(problems)
    return out


def _no_files(name: str) -> str:
    raise OSError("a day includes no files")


def _day(record: Record, site: SharedSettings, text: str, name: str, problems: Diagnostics) -> Day:
    """The day of a record; what contradicts itself in it is noted."""
    fronts, nodes = tuple(record.get("fronts")), tuple(_node(node) for node in record.get("node"))
    uplinks = tuple(record.get("uplinks")) or (0.0,) * site.terms.rack_count
    late, setup, peers = record.get("late"), record.get("setup"), _is_yes(record, "peers")
    _check_sizes(record, site, len(fronts), len(uplinks), problems)
    _check_peers(record, len(fronts), problems)
    known = {
        "node": {node.name for node in nodes},
        "wing": set(fronts),
        "front": {str(number) for number in range(len(fronts))},
    }
    keepers = tuple(record.get("keepers"))
    faults = [_fault(fault, known, peers, bool(keepers), problems) for fault in record.get("fault") or []]
    return Day(
        name=name,
        duration_ns=record.get("length"),
        seed=record.get("seed"),
        site=site,
        site_text=text,
        front_zones=fronts,
        nodes=nodes,
        uplink_capacities=uplinks,
        list_delay_ns=(late[0], late[-1]),
        full_link_load=record.get("guard"),
        shortfall_penalty=record.get("stall"),
        setup_duration_ns=(setup[0], setup[-1]),
        viewer_model=_crowd(record.get("viewers"), site, problems),
        faults=tuple(sorted(faults, key=lambda fault: (fault.start_ns, fault.kind, fault.targets))),
        has_peers=peers,
        keepers=keepers,
        term_ns=record.get("term"),
        has_takeovers=_is_yes(record, "adopting"),
        shares_node_loads=_is_yes(record, "probing"),
    )


def _is_yes(record: Record, field: str) -> bool:
    return bool(record.get(field) == "yes")


def _check_sizes(
    record: Record, site: SharedSettings, fronts: int, uplinks: int, problems: Diagnostics
) -> None:
    if fronts != site.terms.front_count:
        what = f"{fronts} fronts stand here, the fleet has {site.terms.front_count}"
        problems.error(record.location_of("fronts"), what)
    if uplinks != site.terms.rack_count:
        problems.error(
            record.location_of("uplinks"), f"{uplinks} uplinks stand for {site.terms.rack_count} racks"
        )


NEEDS_PEERS = {
    "keepers": "keepers are reached", "adopting": "who is gone is told", "probing": "loads are told",
}  # fmt: skip
"""Fields of a day that work by way of the peers, and how."""


def _check_peers(record: Record, fronts: int, problems: Diagnostics) -> None:
    for field, how in NEEDS_PEERS.items():
        wanted = _is_yes(record, field) or (field == "keepers" and bool(record.get(field)))
        if wanted and not _is_yes(record, "peers"):
            problems.error(record.location_of(field), f"{how} among the peers", "add (peers yes)")
    for number in record.get("keepers"):
        if number >= fronts:
            problems.error(record.location_of("keepers"), f"there is no front {number}; there are {fronts}")


def _crowd(viewers: Record, site: SharedSettings, problems: Diagnostics) -> ViewerModel:
    shares: list[Record] = viewers.get("plan") or []
    for share in shares:
        if share.name not in site.plans:
            problems.error(
                share.location, f"there is no plan {share.name}; there is {join_alternatives(site.plans)}"
            )
    back = viewers.get("back-after")
    return ViewerModel(
        arrival_rate=viewers.get("rate"),
        title_count=viewers.get("titles"),
        zipf_exponent=viewers.get("zipf"),
        plan_shares={share.name: share.get("share") for share in shares},
        mean_watch_ns={share.name: share.get("life") for share in shares},
        return_share=viewers.get("returns"),
        return_delay_ns=(back[0], back[-1]),
        small_screen_share=viewers.get("small-screens"),
        front_skew=viewers.get("uneven"),
    )


def _node(r: Record) -> NodeSpec:
    return NodeSpec(r.name, r.get("wing"), r.get("cell"), r.get("link"), r.get("places"))


def _fault(r: Record, known: dict[str, set[str]], peers: bool, keepers: bool, problems: Diagnostics) -> Fault:
    fault = Fault(r.name, r.get("at"), r.get("for"), tuple(r.get("on")), r.get("size"), r.get("extra"))
    if fault.kind in ("cut", "lose") and not peers:
        problems.error(
            r.location,
            f"{fault.kind} befalls what fronts say to each other, and they have no peers",
            "add (peers yes)",
        )
    if fault.kind in OWNER_FAULTS and not keepers:
        problems.error(r.location, f"{fault.kind} needs an owner, and nobody grants terms", "add (keepers …)")
    kind = "wing" if fault.kind.startswith("zone") else "front" if fault.kind in FRONT_FAULTS else "node"
    for name in fault.targets if fault.kind not in LIST_FAULTS + VIEWER_FAULTS else ():
        if name not in known[kind]:
            problems.error(
                r.location_of("on"), f"there is no {kind} {name}; there is {join_alternatives(known[kind])}"
            )
    return fault
