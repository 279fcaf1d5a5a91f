"""Translates a day file of the bench into a day of the rehearsal, scaled down to one machine.

The file of the bench has times in microseconds and rates in kB/s.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

FAULT_KINDS = {
    "crash": "crash", "vanish": "vanish", "slow": "slow", "hang": "hang", "neighbour": "neighbour",
    "report_late": "report-late", "hot_key": "crowd", "zone_loss": "zone-loss", "zone_cut": "zone-cut",
    "deploy": "deploy", "balancer_roll": "front-kill", "shared_slow": "shared-slow", "ageing": "ageing",
    "answer_lost": "answer-lost", "balancer_stall": "front-stall", "preempt": "preempt",
}  # fmt: skip
EFFECTS = {"safe": "free", "keyed": "keyed", "unsafe": "paid"}

MAX_NODES, MAX_FRONTS, MAX_ARRIVAL_RATE = 24, 4, 45.0
"""Limits of what one machine can run: nodes, fronts, and new playbacks per second."""

MIN_ARRIVAL_RATE, MIN_WATCH_SHARE = 20.0, 0.15
"""Playing times are shortened to allow at least this many new playbacks per second, but not below this share."""

LOAD_SHARE = 0.92
"""Share of the load of the bench's day that is played; the reason for playing less than all of it is not recorded."""

NODES_PER_RACK, MIN_PLAYBACK_CAPACITY, MIN_COPIES, MAX_TITLES = 4, 4, 3, 60
MAX_SEED = 1_000_000
US_PER_MS, US_PER_SECOND = 1000, 1e6
MS_PER_SECOND = 1000
RETURN_DELAY_SPREAD = (0.7, 1.3)
"""Range of the delay before a viewer returns, relative to that of the bench."""

FRONT_SKEW = 0.4
"""How unevenly viewers choose fronts."""

MIN_CROWD_SIZE = 0.05
MAX_STALL_SECONDS = 20
"""The size of a stall is in seconds up to this value, and in ms above it."""

DEFAULT_DOWN_SECONDS = 0.5
"""How long a killed front is down if the file does not say."""


@dataclass(frozen=True)
class Scale:
    """A day of the bench scaled to one machine. Links and uplinks are in kB/s."""

    servers: list[int]
    """Indices of the servers of the bench that are kept, one for each node."""
    fronts: list[dict[str, Any]]
    zones: list[str]
    links: list[float]
    playback_capacities: list[int]
    uplinks: list[float]
    arrival_rate: float
    """New playbacks per second."""
    watch_share: float
    """Factor for the playing times of the viewers."""
    notes: list[str]


def translate(body: bytes, name: str) -> tuple[str, list[str]]:
    """Returns the day as text, and notes on how it was scaled and which faults could not be mapped.

    Raises ValueError if the body is not a day of the bench.
    """
    try:
        day: dict[str, Any] = orjson.loads(body)
        return _translate(day)
    except (orjson.JSONDecodeError, KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{name}: not a day file of the bench: {type(error).__name__}: {error}") from None


def format_ms(microseconds: float) -> str:
    """Formats microseconds as a time of the configuration, in ms and at least 1 ms."""
    return f"{max(1, round(microseconds / US_PER_MS))}ms"


def _translate(day: dict[str, Any]) -> tuple[str, list[str]]:
    """Returns the text and the notes of a parsed day file."""
    scale = _scale(day)
    node_numbers = {server: number for number, server in enumerate(scale.servers)}
    lines = [
        *_header_lines(day, scale),
        *_site_lines(day, scale),
        *_node_lines(day, scale),
        *_viewer_lines(day, scale),
    ]
    notes = list(scale.notes)
    for bench_fault in day["troubles"]:
        line, note = _fault_line(
            bench_fault, node_numbers, len(day["servers"]), len(scale.fronts), scale.zones
        )
        if line:
            lines.append("  " + line)
        notes.append(note)
    return "\n".join([*lines, ")"]) + "\n", notes


def _scale(day: dict[str, Any]) -> Scale:
    """Scales a day to one machine, and notes how."""
    family = day["fam"]
    servers = day["servers"]
    balancers = day["balancers"]
    picked = _spread_indices(servers, MAX_NODES)
    fronts = [balancers[number] for number in _spread_indices(balancers, MAX_FRONTS)]
    cores = [_server_kinds(day)[servers[number]["kind"]]["cores"] for number in picked]
    links = [count * family["core_kb"] for count in cores]
    notes = [f"scaled: {len(servers)} nodes to {len(picked)}, {len(balancers)} fronts to {len(fronts)}"]
    arrival_rate, watch_share = _arrival_rate_and_watch_share(day, sum(links))
    if arrival_rate > MAX_ARRIVAL_RATE:
        notes.append(f"{arrival_rate:.0f} new playbacks per second limited to {MAX_ARRIVAL_RATE:.0f}")
        arrival_rate = MAX_ARRIVAL_RATE
    notes.append(
        f"{arrival_rate:.1f} new playbacks per second, playing times multiplied by {watch_share:.2f}"
    )
    bench_uplinks = family["uplink_kb"]
    racks = max(1, min(len(bench_uplinks), len(picked) // NODES_PER_RACK))
    return Scale(
        servers=picked,
        fronts=fronts,
        zones=[str(zone) for zone in day["zones"]],
        links=links,
        playback_capacities=[
            max(MIN_PLAYBACK_CAPACITY, round(count * family["core_slots"])) for count in cores
        ],
        uplinks=[
            uplink * len(picked) / len(servers) * len(bench_uplinks) / racks
            for uplink in bench_uplinks[:racks]
        ],
        arrival_rate=arrival_rate,
        watch_share=watch_share,
        notes=notes,
    )


def _server_kinds(day: dict[str, Any]) -> list[dict[str, Any]]:
    kinds: list[dict[str, Any]] = day["tiers"][0]["kinds"]
    return kinds


def _arrival_rate_and_watch_share(day: dict[str, Any], link_sum: float) -> tuple[float, float]:
    """Returns the new playbacks per second that cause the load of the day, and the share of their playing times."""
    family = day["fam"]
    rates = family["rates"]
    middle_rate = rates[len(rates) // 2]
    uses = zip(family["uses"], day["classes"], strict=False)
    scale = sum(use["scale"] * bench_class["share"] * use["life"] for use, bench_class in uses)
    arrival_rate = day["traffic"]["load"] * LOAD_SHARE * link_sum / (middle_rate * scale * family["life_s"])
    if arrival_rate >= MIN_ARRIVAL_RATE:
        return arrival_rate, 1.0
    watch_share = max(MIN_WATCH_SHARE, arrival_rate / MIN_ARRIVAL_RATE)
    return arrival_rate / watch_share, watch_share


def _header_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    """Returns the lines of the day itself: its length, fronts, uplinks and list delay."""
    family = day["fam"]
    discovery = day["discovery"]
    fronts = " ".join(f'"{scale.zones[front["zone"]]}"' for front in scale.fronts)
    uplinks = " ".join(f"{uplink:.0f}kB/s" for uplink in scale.uplinks)
    return [
        "(day",
        f"  (length {format_ms(day['length'])}) (seed {day['noise'] % MAX_SEED + 1})",
        f"  (fronts {fronts})",
        f"  (uplinks {uplinks})",
        f"  (late {format_ms(discovery['add'])} {format_ms(discovery['notice'])}) (guard {family['guard']})",
        f"  (stall {family['stall']})",
    ]


def _site_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    """Returns the lines of the configuration of the site."""
    family = day["fam"]
    allowed = day["allow"]
    server_kind = _server_kinds(day)[0]
    copies = max(MIN_COPIES, round(family["copies"] * 4)) if family["copies"] else 0
    max_retry_after = format_ms(day["clients"]["max_retry_after"]) if allowed["retry_after"] else "0ms"
    uplink = sum(scale.uplinks) / len(scale.uplinks)
    zone_names = " ".join(f'"{zone}"' for zone in scale.zones)
    rates = " ".join(f"{rate}kB/s" for rate in family["rates"])
    worth = " ".join(str(share) for share in family["worth"])
    return [
        "  (site (fleet",
        f"      (fronts {len(scale.fronts)}) (cells {len(scale.servers)}) (racks {len(scale.uplinks)})"
        f" (uplink {uplink:.0f}kB/s)",
        f"      (wings {zone_names}) (copies {copies}) (seen-after {format_ms(family['see'])})",
        f"      (reports-every {format_ms(family['tell'])}) (most-tries {allowed['max_attempts']})"
        f" (stay-away-most {max_retry_after})",
        f"      (cold-share {server_kind['cold_from']:.3f}) (cold-for {format_ms(server_kind['cold'])})",
        f"      (fall-multiple {day['fall_multiple']}) (fall-window {format_ms(day['fall_for'])})",
        f"      (drain-grace {format_ms(day['drain_grace'])}))",
        "    (nodes (lost-after 6s) (silent-after 2s))",
        f"    (ladder (rates {rates})",
        f"      (worth {worth}))",
        *_plan_lines(day),
        "  )",
    ]


def _plan_lines(day: dict[str, Any]) -> list[str]:
    """Returns a plan and a route for each class of the bench."""
    lines = []
    top_rung = len(day["fam"]["rates"]) - 1
    for use, bench_class in zip(day["fam"]["uses"], day["classes"], strict=False):
        name = bench_class["name"]
        effect = EFFECTS[bench_class["effect"]]
        lines.append(
            f"    (plan {name} (effect {effect})"
            f" (key-lasts {format_ms(bench_class['window'])}) (group {bench_class['group']})"
            f" (startup-target {format_ms(bench_class['aim'])}) (abandon {format_ms(bench_class['deadline'])})"
            f" (revenue {bench_class['worth']}) (rate-factor {use['scale']})"
            f" (floor {use['floor']}) (top {min(use['top'], top_rung)}) (seats {use['seats']}))"
        )
        lines.append(f'    (route {name} (path "/{name}/") (plan {name}))')
    return lines


def _node_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    lines = []
    for cell, number in enumerate(scale.servers):
        zone = scale.zones[day["servers"][number]["zone"]]
        link, capacity = scale.links[cell], scale.playback_capacities[cell]
        lines.append(
            f'  (node n{cell} (wing "{zone}") (cell {cell}) (link {link:.0f}kB/s) (places {capacity}))'
        )
    return lines


def _viewer_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    family = day["fam"]
    soonest, latest = (format_ms(family["rejoin_us"] * factor) for factor in RETURN_DELAY_SPREAD)
    lines = [
        f"  (viewers (rate {scale.arrival_rate:.2f}/s) (titles {min(MAX_TITLES, family['titles'])}) "
        f"(zipf {family['title_zipf']:.3f}) (returns {family['returns']:.3f}) (back-after {soonest} {latest}) "
        f"(small-screens {family['small_screens']:.3f}) (uneven {FRONT_SKEW})"
    ]
    for use, bench_class in zip(family["uses"], day["classes"], strict=False):
        watch_time = format_ms(family["life_s"] * use["life"] * scale.watch_share * US_PER_SECOND)
        lines.append(f"    (plan {bench_class['name']} (share {bench_class['share']}) (life {watch_time}))")
    return [*lines, "  )"]


def _spread_indices(items: list[Any], limit: int) -> list[int]:
    """Returns at most `limit` indices, spread evenly over a list."""
    if len(items) <= limit:
        return list(range(len(items)))
    return [round(index * len(items) / limit) for index in range(limit)]


def _fault_line(
    bench_fault: dict[str, Any],
    node_numbers: dict[int, int],
    server_count: int,
    front_count: int,
    zones: list[str],
) -> tuple[str, str]:
    """Returns the line of a fault, which is empty if the fault has no counterpart, and a note on how it was mapped."""
    bench_kind = bench_fault["kind"]
    size = float(bench_fault["size"])
    extra = float(bench_fault["extra"])
    kind = FAULT_KINDS.get(bench_kind)
    if kind is None:
        return "", f"not mapped: {bench_kind}"
    head = f"(fault {kind} (at {format_ms(bench_fault['at'])}) (for {format_ms(bench_fault['len'])})"
    if kind in ("zone-loss", "zone-cut"):
        zone = zones[int(bench_fault["which"]) % len(zones)]
        return f'{head} (on "{zone}") (size {size}) (extra {extra}))', f"mapped: {bench_kind} on {zone}"
    if kind == "crowd":
        note = f"mapped: {bench_kind} as a crowd of {size:.2f} times the arrival rate"
        return f"{head} (size {max(MIN_CROWD_SIZE, size)}))", note
    if kind in ("report-late", "shared-slow"):
        return f"{head} (size {size}))", f"mapped: {bench_kind}"
    if kind in ("front-kill", "front-stall"):
        front_numbers = _affected_fronts(bench_fault, front_count)
        parameters = _front_fault_parameters(kind, size, extra)
        return f"{head} (on {front_numbers}) {parameters})", f"mapped: {bench_kind} on fronts {front_numbers}"
    names = [f"n{node_numbers[server]}" for server in bench_fault["on"] if server in node_numbers]
    if not names:
        count = max(1, round(len(bench_fault["on"]) * len(node_numbers) / server_count))
        names = [f"n{number}" for number in range(count)]
    line = f"{head} (on {' '.join(names)}) (size {size}) (extra {extra}))"
    return line, f"mapped: {bench_kind} on {len(names)} nodes"


def _affected_fronts(bench_fault: dict[str, Any], front_count: int) -> str:
    """Returns the numbers of as many fronts as the file names, or of all if it names none."""
    count = len(bench_fault["on"]) or front_count
    return " ".join(str(number) for number in range(min(front_count, max(1, count))))


def _front_fault_parameters(kind: str, size: float, extra: float) -> str:
    """Returns size and extra of a fault of fronts."""
    if kind == "front-kill":
        return f"(size 0.0) (extra {extra or DEFAULT_DOWN_SECONDS})"
    seconds = size / MS_PER_SECOND if size > MAX_STALL_SECONDS else size
    return f"(size {seconds}) (extra {extra})"
