"""Translates settings, outcomes and metrics from the wire into the types and units of `oakcroft/interface.py`."""

from __future__ import annotations

from typing import Any

from oakcroft.interface import MS, DeploymentSettings, Effect, KeyScope, Outcome, Plan, PlaybackMetric

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
"""Outcomes of a refused set-up by the cause that the node gives; with any other cause it may have run."""
ENDS_BY_CAUSE = {16: Outcome.DONE, 31: Outcome.WITHDRAWN}
"""Outcomes of a playback's end by its cause; with any other cause it was cut off."""
METRICS_BY_NAME = {
    "fill": PlaybackMetric.DELIVERED_SHARE,
    "grade": PlaybackMetric.RUNG,
    "local": PlaybackMetric.LINK_LOAD,
    "upstream": PlaybackMetric.UPLINK_LOAD,
}
"""Metrics by their names on the platform's protocol."""


def ms_to_ns(ms: float | None) -> int:
    """Converts milliseconds to nanoseconds, rounded to whole microseconds; None is 0."""
    return round(ms * 1000) * 1000 if ms else 0


def ns_to_ms(ns: int) -> float:
    """Converts nanoseconds to milliseconds."""
    return ns / MS


def load_report_values(report: dict[str, float] | None) -> tuple[float | None, float | None, float | None]:
    """Returns the link's load, the link's load capped at 1, and the uplink's load; None where not reported."""
    if not report:
        return None, None, None
    return report.get("x0"), report.get("utilization"), report.get("x1")


def read_plans(settings: dict[str, Any]) -> dict[str, Plan]:
    """Reads the plans, by name.

    Raises KeyError where a setting is missing or has an unknown value.
    """
    family = settings["familyInfo"]
    highest_rung = len(family["ratesKb"]) - 1
    plans = {}
    for index, plan in enumerate(settings["classes"]):
        floor = min(family["floorByClass"][index], highest_rung)
        plans[plan["name"]] = Plan(
            effect=EFFECTS_BY_SETTING[plan["effect"]],
            key_scope=KEY_SCOPES_BY_SETTING.get(plan.get("group") or "all", KeyScope.CELL),
            key_ttl_ns=ms_to_ns(plan.get("keyTtlMs")),
            startup_target_ns=ms_to_ns(plan["objectiveMs"]),
            revenue=plan["worth"],
            floor=floor,
            top_rung=max(floor, min(family["classTop"][index], highest_rung)),
            seats=family["classSeats"][index],
            rate_factor=family["rateFactor"][index],
            shares_stream=family["live"][index],
        )
    return plans


def read_settings(settings: dict[str, Any]) -> DeploymentSettings:
    """Reads the settings of the decision module.

    Raises KeyError where a setting is missing.
    """
    family = settings["familyInfo"]
    rules = settings["rules"]
    permissions = settings["permissions"]
    return DeploymentSettings(
        front_count=max(1, settings["balancers"]),
        front_index=settings["me"],
        must_subscribe=settings["membershipMode"] == "subscribe",
        subscribe_within_ns=ms_to_ns(rules.get("askWithinMs")),
        cell_count=max(1, family["cells"]),
        rack_count=max(1, family["groups"]),
        rung_rates=tuple(family["ratesKb"]),
        rung_revenue_shares=tuple(family["rungWorth"]),
        uplink_capacity=family["uplinkKb"],
        join_rate_share=family["joinAdds"],
        report_delay_ns=ms_to_ns(family["seenAfterMs"]),
        report_interval_ns=ms_to_ns(family["reportsEveryMs"]),
        max_tries=permissions["maxAttempts"],
        max_retry_after_ns=ms_to_ns(permissions["maxRetryAfterMs"]) if permissions["retryAfter"] else 0,
        cold_pace_share=rules["coldShare"],
        cold_duration_ns=ms_to_ns(rules["coldMs"]),
        overload_multiple=rules["fallMultiple"],
        overload_window_ns=ms_to_ns(rules["overloadForMs"]),
        retry_budget_base=rules.get("extraFree"),
        retry_budget_share=rules.get("extraShare") or 0.0,
        retry_budget_window_ns=ms_to_ns(rules.get("budgetSpanMs")),
    )
