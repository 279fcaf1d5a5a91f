"""Shared by the benchmarks that run the decision module without a front: a plan, and a host that does nothing."""

from __future__ import annotations

from oakcroft.interface import SECOND, Effect, KeyScope, Node, Plan, Playback


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
