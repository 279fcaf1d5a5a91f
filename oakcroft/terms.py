"""Translates settings, outcomes and metrics from the wire into the types and units of `oakcroft/interface.py`."""

from __future__ import annotations

from typing import Any

from oakcroft.interface import MS, Effect, KeyScope, PlaybackMetric, Outcome, Plan, DeploymentSettings

OUTCOMES_BY_WIRE_CODE = {
    "GOOD": Outcome.DONE,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.FULL,
    "LATE": Outcome.LATE,
    "NOCONN": Outcome.NO_CONNECTION,
    "RST": Outcome.RESET,
    "CXL": Outcome.WITHDRAWN,
    "NOP": Outcome.NOT_SENT,
}
METRICS_BY_WIRE_KIND = {
    1: PlaybackMetric.DELIVERED_SHARE,
    2: PlaybackMetric.RUNG,
    3: PlaybackMetric.LINK_LOAD,
    4: PlaybackMetric.UPLINK_LOAD,
}
EFFECTS_BY_SETTING = {"free": Effect.FREE, "guarded": Effect.KEYED, "single_shot": Effect.PAID}
KEY_SCOPES_BY_SETTING = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}


REFUSALS_BY_CAUSE = {34: Outcome.FULL, 47: Outcome.ERROR, 102: Outcome.NOT_SENT}
"""Outcomes of a refused set-up by the node's cause; with any other cause it may have run."""
ENDS_BY_CAUSE = {16: Outcome.DONE, 31: Outcome.WITHDRAWN}
"""Outcomes of a playback's end by its cause; any other cause means that it was cut off."""
METRICS_BY_NAME = {
    "fill": METRICS_BY_WIRE_KIND[1],
    "grade": METRICS_BY_WIRE_KIND[2],
    "local": METRICS_BY_WIRE_KIND[3],
    "upstream": METRICS_BY_WIRE_KIND[4],
}


def ms_to_ns(ms: float | None) -> int:
    """Converts milliseconds to nanoseconds, rounded to whole microseconds; None is 0."""
    return round(ms * 1000) * 1000 if ms else 0


def ns_to_ms(ns: int) -> float:
    """Converts nanoseconds to milliseconds."""
    return ns / MS


def load_report_values(report: dict[str, float] | None) -> tuple[float | None, float | None, float | None]:
    """Returns the link's load, the link's load capped at 1, and the uplink's load; None for what is not reported."""
    if not report:
        return None, None, None
    return report.get("x0"), report.get("utilization"), report.get("x1")


def read_plans(settings: dict[str, Any]) -> dict[str, Plan]:
    """Reads the plans, by name.

    Raises KeyError where a setting is missing or has an unknown word.
    """
    info = settings["familyInfo"]
    rungs = len(info["ratesKb"])
    out = {}
    for i, c in enumerate(settings["classes"]):
        floor = min(info["floorByClass"][i], rungs - 1)
        out[c["name"]] = Plan(
            effect=EFFECTS_BY_SETTING[c["effect"]],
            key_scope=KEY_SCOPES_BY_SETTING.get(c.get("group") or "all", KeyScope.CELL),
            key_ttl_ns=ms_to_ns(c.get("keyTtlMs")),
            startup_target_ns=ms_to_ns(c["objectiveMs"]),
            revenue=c["worth"],
            floor=floor,
            top_rung=max(floor, min(info["classTop"][i], rungs - 1)),
            seats=info["classSeats"][i],
            rate_factor=info["rateFactor"][i],
            shares_stream=info["live"][i],
        )
    return out


def read_settings(settings: dict[str, Any]) -> DeploymentSettings:
    """Reads the settings of the decision module.

    Raises KeyError where a setting is missing.
    """
    info, rules, may = settings["familyInfo"], settings["rules"], settings["permissions"]
    return DeploymentSettings(
        front_count=max(1, settings["balancers"]),
        front_index=settings["me"],
        must_subscribe=settings["membershipMode"] == "subscribe",
        subscribe_within_ns=ms_to_ns(rules.get("askWithinMs")),
        cell_count=max(1, info["cells"]),
        rack_count=max(1, info["groups"]),
        rung_rates=tuple(info["ratesKb"]),
        rung_revenue_shares=tuple(info["rungWorth"]),
        uplink_capacity=info["uplinkKb"],
        join_rate_share=info["joinAdds"],
        report_delay_ns=ms_to_ns(info["seenAfterMs"]),
        report_interval_ns=ms_to_ns(info["reportsEveryMs"]),
        max_tries=may["maxAttempts"],
        max_retry_after_ns=ms_to_ns(may["maxRetryAfterMs"]) if may["retryAfter"] else 0,
        cold_pace_share=rules["coldShare"],
        cold_duration_ns=ms_to_ns(rules["coldMs"]),
        overload_multiple=rules["fallMultiple"],
        overload_window_ns=ms_to_ns(rules["overloadForMs"]),
        retry_budget_base=rules.get("extraFree"),
        retry_budget_share=rules.get("extraShare") or 0.0,
        retry_budget_window_ns=ms_to_ns(rules.get("budgetSpanMs")),
    )
