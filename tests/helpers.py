"""A host of the decision module that records its calls."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from oakcroft.choice import Controller
from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    KeyScope,
    NodeStatus,
    NodeListKind,
    Node,
    Plan,
    Playback,
    DeploymentSettings,
    Title,
)
from oakcroft.running.garbage_collection import reduce_gc_frequency

START_NS = 100 * SECOND
TERMS = DeploymentSettings(
    front_count=2,
    front_index=0,
    must_subscribe=False,
    subscribe_within_ns=10 * SECOND,
    cell_count=4,
    rack_count=2,
    rung_rates=(200.0, 400.0, 800.0),
    rung_revenue_shares=(0.3, 0.6, 1.0),
    uplink_capacity=20000.0,
    join_rate_share=1.0,
    report_delay_ns=SECOND,
    report_interval_ns=3 * SECOND,
    max_tries=3,
    max_retry_after_ns=2 * SECOND,
    cold_pace_share=0.4,
    cold_duration_ns=10 * SECOND,
    overload_multiple=2.5,
    overload_window_ns=SECOND,
    retry_budget_base=None,
    retry_budget_share=0.0,
    retry_budget_window_ns=10 * SECOND,
)
FREE = Plan(
    effect=Effect.FREE,
    key_scope=KeyScope.ALL,
    key_ttl_ns=SECOND,
    startup_target_ns=SECOND,
    revenue=1.0,
    floor=0,
    top_rung=2,
    seats=0,
    rate_factor=1.0,
    shares_stream=False,
)
PAID = replace(FREE, effect=Effect.PAID)
KEYED = replace(FREE, effect=Effect.KEYED, key_scope=KeyScope.ZONE)


@contextmanager
def production_garbage_collection() -> Iterator[None]:
    """Sets the garbage collector as the process of a front end does, while the block runs."""
    thresholds = gc.get_threshold()
    reduce_gc_frequency()
    try:
        yield
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)


class ControllerHarness:
    """A decision module with a few nodes and a host that keeps every call."""

    def __init__(self, nodes: int = 4, terms: DeploymentSettings = TERMS, warm: bool = True) -> None:
        """Lists the nodes as kept from before; with `warm` they have started long enough ago not to be cold."""
        self.calls: list[tuple[Any, ...]] = []
        self.now = START_NS
        self.controller = Controller(terms, 7, self, START_NS)
        self.nodes = [Node(f"n{i}") for i in range(nodes)]
        for i, node in enumerate(self.nodes):
            node.cell = i
            node.zone = "east" if i % 2 else "west"
        self.apply_list(NodeListKind.KEPT)
        if warm:
            self.now += 20 * SECOND

    @classmethod
    def with_cells(cls, node_count: int, rack_count: int) -> ControllerHarness:
        """A decision module with one node in each of many cells."""
        harness = cls(0, replace(TERMS, cell_count=node_count, rack_count=rack_count))
        harness.nodes = [Node(f"n{cell}") for cell in range(node_count)]
        for cell, node in enumerate(harness.nodes):
            node.cell = cell
        harness.apply_list(NodeListKind.WHOLE)
        return harness

    def apply_list(
        self, kind: NodeListKind, started_at: int = 0, listing: NodeStatus = NodeStatus.READY
    ) -> None:
        """Gives the module the whole list, with every node in one status."""
        entries = [NodeEntry(node, listing, started_at, 4000.0, 12.0) for node in self.nodes]
        self.controller.on_node_list(kind, entries, self.now)

    def request(self, plan: Plan = FREE, title: Title | None = None, wait: int = 4 * SECOND) -> Playback:
        """A viewer's request that waits for so long."""
        playback = Playback(title or Title("t", 0, 0), plan, 2, self.now + wait, False)
        self.controller.on_request(playback, self.now)
        return playback

    def sent_nodes(self) -> list[Node]:
        """The nodes that setup tries were sent to, in order."""
        return [call[2] for call in self.calls if call[0] == "send"]

    def final_answers(self, playback: Playback) -> list[str]:
        """The kinds of final answers to a playback."""
        return [call[0] for call in self.calls if call[0] in ("reject", "abort") and call[1] is playback]

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Records a setup try; its abandon time must not be later than the playback's."""
        assert START_NS < abandon_at <= playback.abandon_at + 40 * MS
        self.calls.append(("send", playback, node, abandon_at))

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Records a rejected playback."""
        self.calls.append(("reject", playback, retry_after_ns))

    def abort(self, playback: Playback) -> None:
        """Records an aborted playback."""
        self.calls.append(("abort", playback))

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Records a rung, which must be within the bounds of the plan and the viewer."""
        assert playback.plan.floor <= rung <= playback.top_rung
        self.calls.append(("set_rung", playback, rung))

    def set_timer(self, at: int) -> None:
        """Records a timer."""
        self.calls.append(("alarm", at))

    def subscribe_to_nodes(self) -> None:
        """Records a subscription to the list."""
        self.calls.append(("follow",))

    def log(self, message: str) -> None:
        """Records a log line."""
        self.calls.append(("log", message))
