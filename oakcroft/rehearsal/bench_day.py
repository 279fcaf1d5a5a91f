"""A day as the bench draws it, translated into a day of ours and scaled to one machine."""

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

MOST_NODES, MOST_FRONTS, MOST_RATE = 24, 4, 45.0
"""What one machine plays: nodes, fronts, and new playbacks a second."""

LEAST_RATE, SHORTEST_LIVES = 20.0, 0.15
"""Lives are shortened so that no fewer playbacks come a second, but to no less than this part of them."""

LOAD_SHARE = 0.92
"""Of the load that is drawn. Why it is not all of it was never written down."""

NODES_IN_A_RACK, LEAST_PLACES, LEAST_COPIES, MOST_TITLES = 4, 4, 3, 60
SEEDS = 1_000_000
US_PER_MS, US_PER_SECOND = 1000, 1e6
REJOIN_SPREAD = (0.7, 1.3)
UNEVEN = 0.4

LEAST_CROWD = 0.05
LONGEST_STALL_SECONDS = 20
"""A stall that is drawn longer is drawn in ms."""

DOWN_SECONDS = 0.5
"""How long a killed front is down where that is not drawn."""


@dataclass(frozen=True)
class Scale:
    """A drawn day brought to the size of one machine. Links and uplinks in kB a second."""

    picked: list[int]
    """Numbers of the drawn servers that are kept."""
    fronts: list[dict[str, Any]]
    zones: list[str]
    links: list[float]
    places: list[int]
    uplinks: list[float]
    rate: float
    """New playbacks a second."""
    shorter: float
    """Lives times this."""
    notes: list[str]


def translate(body: bytes, name: str) -> tuple[str, list[str]]:
    """The day as text, and notes on how it was scaled and what was not mapped. ValueError: no such file."""
    try:
        day: dict[str, Any] = orjson.loads(body)
        return _translate(day)
    except (orjson.JSONDecodeError, KeyError, TypeError, IndexError) as fault:
        raise ValueError(f"{name}: not a day as the bench draws it: {type(fault).__name__} {fault}") from None


def as_ms(value: float) -> str:
    """Microseconds as a time of ours."""
    return f"{max(1, round(value / US_PER_MS))}ms"


def _translate(day: dict[str, Any]) -> tuple[str, list[str]]:
    scale = _scale(day)
    kept = {number: place for place, number in enumerate(scale.picked)}
    lines = [
        *_day_lines(day, scale),
        *_site_lines(day, scale),
        *_node_lines(day, scale),
        *_viewer_lines(day, scale),
    ]
    notes = list(scale.notes)
    for trouble in day["troubles"]:
        line, note = _fault(trouble, kept, len(day["servers"]), len(scale.fronts), scale.zones)
        if line:
            lines.append("  " + line)
        notes.append(note)
    return "\n".join([*lines, ")"]) + "\n", notes


def _scale(day: dict[str, Any]) -> Scale:
    """Brings a day to the size of one machine, with notes on how."""
    family, servers, balancers = day["fam"], day["servers"], day["balancers"]
    picked = _spread(servers, MOST_NODES)
    fronts = [balancers[number] for number in _spread(balancers, MOST_FRONTS)]
    cores = [_kinds(day)[servers[number]["kind"]]["cores"] for number in picked]
    links = [count * family["core_kb"] for count in cores]
    notes = [f"scaled: {len(servers)} nodes to {len(picked)}, {len(balancers)} fronts to {len(fronts)}"]
    rate, shorter = _rate(day, sum(links))
    if rate > MOST_RATE:
        notes.append(f"{rate:.0f} new playbacks a second held to {MOST_RATE:.0f}")
        rate = MOST_RATE
    notes.append(f"{rate:.1f} new playbacks a second, lives times {shorter:.2f}")
    racks = max(1, min(len(family["uplink_kb"]), len(picked) // NODES_IN_A_RACK))
    drawn = family["uplink_kb"]
    return Scale(
        picked, fronts, zones=[str(zone) for zone in day["zones"]], links=links,
        places=[max(LEAST_PLACES, round(count * family["core_slots"])) for count in cores],
        uplinks=[uplink * len(picked) / len(servers) * len(drawn) / racks for uplink in drawn[:racks]],
        rate=rate, shorter=shorter, notes=notes,
    )  # fmt: skip


def _kinds(day: dict[str, Any]) -> list[dict[str, Any]]:
    kinds: list[dict[str, Any]] = day["tiers"][0]["kinds"]
    return kinds


def _rate(day: dict[str, Any], links: float) -> tuple[float, float]:
    """New playbacks a second that make the drawn load of these links, and the part of their lives that they play."""
    family = day["fam"]
    rates = family["rates"]
    middle = rates[len(rates) // 2]
    uses = zip(family["uses"], day["classes"], strict=False)
    scale = sum(use["scale"] * one["share"] * use["life"] for use, one in uses)
    rate = day["traffic"]["load"] * LOAD_SHARE * links / (middle * scale * family["life_s"])
    if rate >= LEAST_RATE:
        return rate, 1.0
    shorter = max(SHORTEST_LIVES, rate / LEAST_RATE)
    return rate / shorter, shorter


def _day_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    family, late = day["fam"], day["discovery"]
    fronts = " ".join(f'"{scale.zones[front["zone"]]}"' for front in scale.fronts)
    uplinks = " ".join(f"{uplink:.0f}kB/s" for uplink in scale.uplinks)
    return [
        "(day",
        f"  (length {as_ms(day['length'])}) (seed {day['noise'] % SEEDS + 1})",
        f"  (fronts {fronts})",
        f"  (uplinks {uplinks})",
        f"  (late {as_ms(late['add'])} {as_ms(late['notice'])}) (guard {family['guard']})",
        f"  (stall {family['stall']})",
    ]


def _site_lines(day: dict[str, Any], scale: Scale) -> list[str]:
    family, allowed, kind = day["fam"], day["allow"], _kinds(day)[0]
    copies = max(LEAST_COPIES, round(family["copies"] * 4)) if family["copies"] else 0
    stay = as_ms(day["clients"]["max_retry_after"]) if allowed["retry_after"] else "0ms"
    uplink = sum(scale.uplinks) / len(scale.uplinks)
    wings = " ".join(f'"{zone}"' for zone in scale.zones)
    rates = " ".join(f"{rate}kB/s" for rate in family["rates"])
    worth = " ".join(str(one) for one in family["worth"])
    return [
        "  (site (fleet",
        f"      (fronts {len(scale.fronts)}) (cells {len(scale.picked)}) (racks {len(scale.uplinks)})"
        f" (uplink {uplink:.0f}kB/s)",
        f"      (wings {wings}) (copies {copies}) (seen-after {as_ms(family['see'])})",
        f"      (reports-every {as_ms(family['tell'])}) (most-tries {allowed['max_attempts']}) (stay-away-most {stay})",
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
    lines, last = [], len(day["fam"]["rates"]) - 1
    for use, one in zip(day["fam"]["uses"], day["classes"], strict=False):
        name, lasts = one["name"], f"(key-lasts {as_ms(one['window'])}) (group {one['group']})"
        lines.append(
            f"    (plan {name} (effect {EFFECTS[one['effect']]}) {lasts} (startup-target {as_ms(one['aim'])}) "
            f"(abandon {as_ms(one['deadline'])}) (revenue {one['worth']}) (rate-factor {use['scale']}) "
            f"(floor {use['floor']}) (top {min(use['top'], last)}) (seats {use['seats']}))"
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
    soon, late = (as_ms(family["rejoin_us"] * part) for part in REJOIN_SPREAD)
    lines = [
        f"  (viewers (rate {scale.rate:.2f}/s) (titles {min(MOST_TITLES, family['titles'])}) "
        f"(zipf {family['title_zipf']:.3f}) (returns {family['returns']:.3f}) (back-after {soon} {late}) "
        f"(small-screens {family['small_screens']:.3f}) (uneven {UNEVEN})"
    ]
    for use, one in zip(family["uses"], day["classes"], strict=False):
        life = as_ms(family["life_s"] * use["life"] * scale.shorter * US_PER_SECOND)
        lines.append(f"    (plan {one['name']} (share {one['share']}) (life {life}))")
    return [*lines, "  )"]


def _spread(things: list[Any], most: int) -> list[int]:
    if len(things) <= most:
        return list(range(len(things)))
    return [round(i * len(things) / most) for i in range(most)]


def _fault(
    trouble: dict[str, Any], kept: dict[int, int], servers: int, fronts: int, zones: list[str]
) -> tuple[str, str]:
    """The line of a fault and a note on how it was mapped; no line where it was not."""
    drawn, size, extra = trouble["kind"], float(trouble["size"]), float(trouble["extra"])
    kind = FAULT_KINDS.get(drawn)
    if kind is None:
        return "", f"not mapped: {drawn}"
    head = f"(fault {kind} (at {as_ms(trouble['at'])}) (for {as_ms(trouble['len'])})"
    if kind in ("zone-loss", "zone-cut"):
        zone = zones[int(trouble["which"]) % len(zones)]
        return f'{head} (on "{zone}") (size {size}) (extra {extra}))', f"mapped: {drawn} on {zone}"
    if kind == "crowd":
        note = f"mapped: {drawn} as a crowd of {size:.2f} of the rate"
        return f"{head} (size {max(LEAST_CROWD, size)}))", note
    if kind in ("report-late", "shared-slow"):
        return f"{head} (size {size}))", f"mapped: {drawn}"
    if kind in ("front-kill", "front-stall"):
        on, figures = _on_fronts(trouble, fronts), _front_figures(kind, size, extra)
        return f"{head} (on {on}) {figures})", f"mapped: {drawn} on fronts {on}"
    names = [f"n{kept[number]}" for number in trouble["on"] if number in kept]
    if not names:
        wanted = max(1, round(len(trouble["on"]) * len(kept) / servers))
        names = [f"n{number}" for number in range(wanted)]
    line = f"{head} (on {' '.join(names)}) (size {size}) (extra {extra}))"
    return line, f"mapped: {drawn} on {len(names)} nodes"


def _on_fronts(trouble: dict[str, Any], fronts: int) -> str:
    """As many of the fronts as are drawn, or all."""
    wanted = len(trouble["on"]) or fronts
    return " ".join(str(number) for number in range(min(fronts, max(1, wanted))))


def _front_figures(kind: str, size: float, extra: float) -> str:
    if kind == "front-kill":
        return f"(size 0.0) (extra {extra or DOWN_SECONDS})"
    seconds = size / 1000 if size > LONGEST_STALL_SECONDS else size
    return f"(size {seconds}) (extra {extra})"
