"""Translates a day file of the bench into a day of the rehearsal, scaled to one machine.

Times in the bench's file are in microseconds and rates in kB/s.
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

MAX_NODES, MAX_FRONTS, MAX_RATE = 24, 4, 45.0
"""Highest numbers that one machine plays: nodes, fronts, and new playbacks a second."""

MIN_RATE, MIN_LIFE_SHARE = 20.0, 0.15
"""Playing times are shortened so that at least this many playbacks come a second, but at most to this share."""

LOAD_SHARE = 0.92
"""Share of the drawn load that is played; why it is not all of it is not on record."""

NODES_PER_RACK, MIN_PLACES, MIN_COPIES, MAX_TITLES = 4, 4, 3, 60
MAX_SEED = 1_000_000
US_PER_MS, US_PER_SECOND = 1000, 1e6
MS_PER_SECOND = 1000
BACK_AFTER_SPREAD = (0.7, 1.3)
FRONT_WEIGHT_SPREAD = 0.4

MIN_CROWD_SIZE = 0.05
MAX_STALL_SECONDS = 20
"""A drawn size of a stall over this is in ms, not in seconds."""

DEFAULT_DOWN_SECONDS = 0.5
"""How long a killed front is down if the file does not say it."""


@dataclass(frozen=True)
class Scale:
    """A drawn day scaled to one machine. Links and uplinks in kB/s."""

    picked: list[int]
    """Numbers of the drawn servers that are kept."""
    fronts: list[dict[str, Any]]
    zones: list[str]
    links: list[float]
    places: list[int]
    uplinks: list[float]
    rate: float
    """New playbacks a second."""
    life_share: float
    """Factor for the playing times of the viewers."""
    notes: list[str]


def translate(body: bytes, name: str) -> tuple[str, list[str]]:
    """Returns the day as text, and notes on how it was scaled and what was not mapped.

    Raises ValueError if the body is not a day of the bench.
    """
    try:
        day: dict[str, Any] = orjson.loads(body)
        return _translate(day)
    except (orjson.JSONDecodeError, KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{name}: not a day as the bench draws it: {type(error).__name__} {error}") from None


def as_ms(value: float) -> str:
    """Formats microseconds as a time of the configuration, in ms and at least 1 ms."""
    return f"{max(1, round(value / US_PER_MS))}ms"


def _translate(day: dict[str, Any]) -> tuple[str, list[str]]:
    scale = _scale(day)
    node_numbers = {server: number for number, server in enumerate(scale.picked)}
    lines = [
        *_header_lines(day, scale),
        *_site_lines(day, scale),
        *_node_lines(day, scale),
        *_viewer_lines(day, scale),
    ]
    notes = list(scale.notes)
    for drawn_fault in day["troubles"]:
        line, note = _fault_line(
            drawn_fault, node_numbers, len(day["servers"]), len(scale.fronts), scale.zones
        )
        if line:
            lines.append("  " + line)
        notes.append(note)
    return "\n".join([*lines, ")"]) + "\n", notes


def _scale(day: dict[str, Any]) -> Scale:
    """Scales a day to one machine, with notes on how."""
    family = day["fam"]
    servers = day["servers"]
    balancers = day["balancers"]
    picked = _spread_indices(servers, MAX_NODES)
    fronts = [balancers[number] for number in _spread_indices(balancers, MAX_FRONTS)]
    cores = [_server_kinds(day)[servers[number]["kind"]]["cores"] for number in picked]
    links = [count * family["core_kb"] for count in cores]
    notes = [f"scaled: {len(servers)} nodes to {len(picked)}, {len(balancers)} fronts to {len(fronts)}"]
    rate, life_share = _rate_and_life_share(day, sum(links))
    if rate > MAX_RATE:
        notes.append(f"{rate:.0f} new playbacks a second held to {MAX_RATE:.0f}")
        rate = MAX_RATE
    notes.append(f"{rate:.1f} new playbacks a second, lives times {life_share:.2f}")
    drawn_uplinks = family["uplink_kb"]
    racks = max(1, min(len(drawn_uplinks), len(picked) // NODES_PER_RACK))
    return Scale(
        picked=picked,
        fronts=fronts,
        zones=[str(zone) for zone in day["zones"]],
        links=links,
        places=[max(MIN_PLACES, round(count * family["core_slots"])) for count in cores],
        uplinks=[
            uplink * len(picked) / len(servers) * len(drawn_uplinks) / racks
            for uplink in drawn_uplinks[:racks]
        ],
        rate=rate,
        life_share=life_share,
        notes=notes,
    )


def _server_kinds(day: dict[str, Any]) -> list[dict[str, Any]]:
    kinds: list[dict[str, Any]] = day["tiers"][0]["kinds"]
    return kinds


def _rate_and_life_share(day: dict[str, Any], links: float) -> tuple[float, float]:
    """Returns how many new playbacks a second make the drawn load of all links, and the share of their playing time."""
    family = day["fam"]
    rates = family["rates"]
    middle_rate = rates[len(rates) // 2]
    uses = zip(family["uses"], day["classes"], strict=False)
    scale = sum(use["scale"] * drawn_class["share"] * use["life"] for use, drawn_class in uses)
    rate = day["traffic"]["load"] * LOAD_SHARE * links / (middle_rate * scale * family["life_s"])
    if rate >= MIN_RATE:
        return rate, 1.0
    life_share = max(MIN_LIFE_SHARE, rate / MIN_RATE)
    return rate / life_share, life_share


def _header_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    family = day["fam"]
    late = day["discovery"]
    fronts = " ".join(f'"{scale.zones[front["zone"]]}"' for front in scale.fronts)
    uplinks = " ".join(f"{uplink:.0f}kB/s" for uplink in scale.uplinks)
    return [
        "(day",
        f"  (length {as_ms(day['length'])}) (seed {day['noise'] % MAX_SEED + 1})",
        f"  (fronts {fronts})",
        f"  (uplinks {uplinks})",
        f"  (late {as_ms(late['add'])} {as_ms(late['notice'])}) (guard {family['guard']})",
        f"  (stall {family['stall']})",
    ]


def _site_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    family = day["fam"]
    allowed = day["allow"]
    kind = _server_kinds(day)[0]
    copies = max(MIN_COPIES, round(family["copies"] * 4)) if family["copies"] else 0
    max_retry_after = as_ms(day["clients"]["max_retry_after"]) if allowed["retry_after"] else "0ms"
    uplink = sum(scale.uplinks) / len(scale.uplinks)
    wings = " ".join(f'"{zone}"' for zone in scale.zones)
    rates = " ".join(f"{rate}kB/s" for rate in family["rates"])
    worth = " ".join(str(share) for share in family["worth"])
    return [
        "  (site (fleet",
        f"      (fronts {len(scale.fronts)}) (cells {len(scale.picked)}) (racks {len(scale.uplinks)})"
        f" (uplink {uplink:.0f}kB/s)",
        f"      (wings {wings}) (copies {copies}) (seen-after {as_ms(family['see'])})",
        f"      (reports-every {as_ms(family['tell'])}) (most-tries {allowed['max_attempts']})"
        f" (stay-away-most {max_retry_after})",
        f"      (cold-share {kind['cold_from']:.3f}) (cold-for {as_ms(kind['cold'])})",
        f"      (fall-multiple {day['fall_multiple']}) (fall-window {as_ms(day['fall_for'])})",
        f"      (drain-grace {as_ms(day['drain_grace'])}))",
        "    (nodes (lost-after 6s) (silent-after 2s))",
        f"    (ladder (rates {rates})",
        f"      (worth {worth}))",
        *_plan_lines(day),
        "  )",
    ]


def _plan_lines(day: dict[str, Any]) -> list[str]:
    lines = []
    top_rung = len(day["fam"]["rates"]) - 1
    for use, drawn_class in zip(day["fam"]["uses"], day["classes"], strict=False):
        name = drawn_class["name"]
        effect = EFFECTS[drawn_class["effect"]]
        lines.append(
            f"    (plan {name} (effect {effect})"
            f" (key-lasts {as_ms(drawn_class['window'])}) (group {drawn_class['group']})"
            f" (startup-target {as_ms(drawn_class['aim'])}) (abandon {as_ms(drawn_class['deadline'])})"
            f" (revenue {drawn_class['worth']}) (rate-factor {use['scale']})"
            f" (floor {use['floor']}) (top {min(use['top'], top_rung)}) (seats {use['seats']}))"
        )
        lines.append(f'    (route {name} (path "/{name}/") (plan {name}))')
    return lines


def _node_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    lines = []
    for cell, number in enumerate(scale.picked):
        zone = scale.zones[day["servers"][number]["zone"]]
        link, places = scale.links[cell], scale.places[cell]
        lines.append(
            f'  (node n{cell} (wing "{zone}") (cell {cell}) (link {link:.0f}kB/s) (places {places}))'
        )
    return lines


def _viewer_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    family = day["fam"]
    soonest, latest = (as_ms(family["rejoin_us"] * part) for part in BACK_AFTER_SPREAD)
    lines = [
        f"  (viewers (rate {scale.rate:.2f}/s) (titles {min(MAX_TITLES, family['titles'])}) "
        f"(zipf {family['title_zipf']:.3f}) (returns {family['returns']:.3f}) (back-after {soonest} {latest}) "
        f"(small-screens {family['small_screens']:.3f}) (uneven {FRONT_WEIGHT_SPREAD})"
    ]
    for use, drawn_class in zip(family["uses"], day["classes"], strict=False):
        life = as_ms(family["life_s"] * use["life"] * scale.life_share * US_PER_SECOND)
        lines.append(f"    (plan {drawn_class['name']} (share {drawn_class['share']}) (life {life}))")
    return [*lines, "  )"]


def _spread_indices(items: list[Any], limit: int) -> list[int]:
    """Returns at most `limit` indices, spread evenly over a list."""
    if len(items) <= limit:
        return list(range(len(items)))
    return [round(index * len(items) / limit) for index in range(limit)]


def _fault_line(
    drawn_fault: dict[str, Any], node_numbers: dict[int, int], servers: int, fronts: int, zones: list[str]
) -> tuple[str, str]:
    """Returns the line of a fault and a note on how it was mapped; the line is empty if it was not."""
    drawn_kind = drawn_fault["kind"]
    size = float(drawn_fault["size"])
    extra = float(drawn_fault["extra"])
    kind = FAULT_KINDS.get(drawn_kind)
    if kind is None:
        return "", f"not mapped: {drawn_kind}"
    head = f"(fault {kind} (at {as_ms(drawn_fault['at'])}) (for {as_ms(drawn_fault['len'])})"
    if kind in ("zone-loss", "zone-cut"):
        zone = zones[int(drawn_fault["which"]) % len(zones)]
        return f'{head} (on "{zone}") (size {size}) (extra {extra}))', f"mapped: {drawn_kind} on {zone}"
    if kind == "crowd":
        note = f"mapped: {drawn_kind} as a crowd of {size:.2f} of the rate"
        return f"{head} (size {max(MIN_CROWD_SIZE, size)}))", note
    if kind in ("report-late", "shared-slow"):
        return f"{head} (size {size}))", f"mapped: {drawn_kind}"
    if kind in ("front-kill", "front-stall"):
        on = _affected_fronts(drawn_fault, fronts)
        parameters = _front_fault_parameters(kind, size, extra)
        return f"{head} (on {on}) {parameters})", f"mapped: {drawn_kind} on fronts {on}"
    names = [f"n{node_numbers[server]}" for server in drawn_fault["on"] if server in node_numbers]
    if not names:
        count = max(1, round(len(drawn_fault["on"]) * len(node_numbers) / servers))
        names = [f"n{number}" for number in range(count)]
    line = f"{head} (on {' '.join(names)}) (size {size}) (extra {extra}))"
    return line, f"mapped: {drawn_kind} on {len(names)} nodes"


def _affected_fronts(drawn_fault: dict[str, Any], fronts: int) -> str:
    """As many fronts as the file names, or all."""
    count = len(drawn_fault["on"]) or fronts
    return " ".join(str(number) for number in range(min(fronts, max(1, count))))


def _front_fault_parameters(kind: str, size: float, extra: float) -> str:
    if kind == "front-kill":
        return f"(size 0.0) (extra {extra or DEFAULT_DOWN_SECONDS})"
    seconds = size / MS_PER_SECOND if size > MAX_STALL_SECONDS else size
    return f"(size {seconds}) (extra {extra})"
