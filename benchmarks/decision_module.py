"""Shared by the benchmarks that run the decision module without a front: settings, a plan and a host."""

from __future__ import annotations

from oakcroft.interface import SECOND, DeploymentSettings, Effect, KeyScope, Node, Plan, Playback

PLAIN_DEPLOYMENT = DeploymentSettings(
    front_count=1,
    front_index=0,
    must_subscribe=False,
    subscribe_within_ns=0,
    cell_count=1,
    rack_count=1,
    rung_rates=(100.0, 200.0, 400.0),
    rung_revenue_shares=(0.3, 0.6, 1.0),
    uplink_capacity=0.0,
    join_rate_share=1.0,
    report_delay_ns=SECOND,
    report_interval_ns=3 * SECOND,
    max_tries=3,
    max_retry_after_ns=SECOND,
    cold_pace_share=0.5,
    cold_duration_ns=SECOND,
    overload_multiple=2.5,
    overload_window_ns=SECOND,
    retry_budget_base=None,
    retry_budget_share=0.0,
    retry_budget_window_ns=0,
)
"""A deployment of one front end without limits on uplinks or retries; benchmarks replace what they vary."""


def create_plan(
    top_rung: int,
    effect: Effect = Effect.FREE,
    revenue: float = 1.0,
    rate_factor: float = 1.0,
    startup_target_ns: int = SECOND,
) -> Plan:
    """Returns a plan without seats or floor."""
    return Plan(
        effect=effect,
        key_scope=KeyScope.ALL,
        key_ttl_ns=SECOND,
        startup_target_ns=startup_target_ns,
        revenue=revenue,
        floor=0,
        top_rung=top_rung,
        seats=0,
        rate_factor=rate_factor,
        shares_stream=False,
    )


class NullHost:
    """A host of the decision module that does nothing; simulations override what they need."""

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Ignores a set-up try."""

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Ignores a rejection."""

    def abort(self, playback: Playback) -> None:
        """Ignores an abort."""

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Ignores a change of rendition."""

    def set_timer(self, at: int) -> None:
        """Ignores the timer; the caller calls the module itself."""

    def subscribe_to_nodes(self) -> None:
        """Ignores the subscription; the caller supplies the list itself."""

    def log(self, message: str) -> None:
        """Ignores a log message."""
