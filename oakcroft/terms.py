"""Translates settings, outcomes and metrics from the wire into the types and units of `oakcroft/interface.py`."""

from __future__ import annotations

from typing import Any

from oakcroft.interface import MS, Effect, Group, Note, Outcome, Plan, Terms

OUTCOMES = {
    "GOOD": Outcome.DONE,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.FULL,
    "LATE": Outcome.LATE,
    "NOCONN": Outcome.NO_CONNECTION,
    "RST": Outcome.RESET,
    "CXL": Outcome.WITHDRAWN,
    "NOP": Outcome.NOT_SENT,
}
NOTES = {1: Note.DELIVERED, 2: Note.RUNG, 3: Note.LINK_ASKED, 4: Note.UPLINK_ASKED}
EFFECTS = {"free": Effect.FREE, "guarded": Effect.KEYED, "single_shot": Effect.PAID}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


CAUSES = {34: Outcome.FULL, 47: Outcome.ERROR, 102: Outcome.NOT_SENT}
"""Outcomes of a refused set-up by the node's cause; with any other cause it may have run."""
ENDS = {16: Outcome.DONE, 31: Outcome.WITHDRAWN}
"""Outcomes of a playback's end by its cause; any other cause means that it was cut off."""
NOTE_NAMES = {"fill": NOTES[1], "grade": NOTES[2], "local": NOTES[3], "upstream": NOTES[4]}


def nanos(ms: float | None) -> int:
    """Converts milliseconds to nanoseconds, rounded to whole microseconds; None is 0."""
    return round(ms * 1000) * 1000 if ms else 0


def millis(ns: int) -> float:
    """Converts nanoseconds to milliseconds."""
    return ns / MS


def report_values(report: dict[str, float] | None) -> tuple[float | None, float | None, float | None]:
    """Returns the link's load, the link's load capped at 1, and the uplink's load; None for what is not reported."""
    if not report:
        return None, None, None
    return report.get("x0"), report.get("utilization"), report.get("x1")


def plans(env: dict[str, Any]) -> dict[str, Plan]:
    """Reads the plans, by name.

    Raises KeyError where a setting is missing or has an unknown word.
    """
    info = env["familyInfo"]
    rungs = len(info["ratesKb"])
    out = {}
    for i, c in enumerate(env["classes"]):
        floor = min(info["floorByClass"][i], rungs - 1)
        out[c["name"]] = Plan(
            effect=EFFECTS[c["effect"]],
            group=GROUPS.get(c.get("group") or "all", Group.CELL),
            key_lasts=nanos(c.get("keyTtlMs")),
            startup_target=nanos(c["objectiveMs"]),
            revenue=c["worth"],
            floor=floor,
            top=max(floor, min(info["classTop"][i], rungs - 1)),
            seats=info["classSeats"][i],
            rate_factor=info["rateFactor"][i],
            shares_stream=info["live"][i],
        )
    return out


def terms(env: dict[str, Any]) -> Terms:
    """Reads the settings of the decision module.

    Raises KeyError where a setting is missing.
    """
    info, rules, may = env["familyInfo"], env["rules"], env["permissions"]
    return Terms(
        fronts=max(1, env["balancers"]),
        front=env["me"],
        must_follow=env["membershipMode"] == "subscribe",
        ask_within=nanos(rules.get("askWithinMs")),
        cells=max(1, info["cells"]),
        racks=max(1, info["groups"]),
        rates=tuple(info["ratesKb"]),
        rung_worth=tuple(info["rungWorth"]),
        uplink=info["uplinkKb"],
        join_adds=info["joinAdds"],
        seen_after=nanos(info["seenAfterMs"]),
        reports_every=nanos(info["reportsEveryMs"]),
        most_tries=may["maxAttempts"],
        stay_away_most=nanos(may["maxRetryAfterMs"]) if may["retryAfter"] else 0,
        cold_share=rules["coldShare"],
        cold_for=nanos(rules["coldMs"]),
        fall_multiple=rules["fallMultiple"],
        fall_window=nanos(rules["overloadForMs"]),
        tries_free=rules.get("extraFree"),
        tries_share=rules.get("extraShare") or 0.0,
        tries_window=nanos(rules.get("budgetSpanMs")),
    )
