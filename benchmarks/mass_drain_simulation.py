"""A simulated fleet of which some nodes drain at once; counts the set-ups that each target node gets."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import NamedTuple

from benchmarks.decision_module import PLAIN_DEPLOYMENT, NullHost, create_plan
from oakcroft.choice import Controller
from oakcroft.decisions.moving.move_scheduler import MoveScheduler, MoveLimits, MoveReason
from oakcroft.interface import (
    MS,
    SECOND,
    NodeEntry,
    NodeStatus,
    NodeListKind,
    Node,
    PlaybackMetric,
    Outcome,
    Playback,
    DeploymentSettings,
    Title,
)
from oakcroft.standins.links import Machine, Rack, Stream, WarmUp

TOP_RUNG = 2
PLAN = create_plan(TOP_RUNG)
STEP_NS = 20 * MS
COLD_DURATION_NS = 8 * SECOND
COLD_PACE_SHARE = 0.4
OVERLOAD_MULTIPLE = 4.0
OVERLOAD_WINDOW_NS = 2 * SECOND
NODE_CAPACITY = 60
LINK_CAPACITY = 24_000.0
"""kB/s."""
RUNG_RATES = (200.0, 400.0, 800.0)
RUNG_REVENUE_SHARES = (0.3, 0.6, 1.0)
STREAM_RATE = 400.0
TITLE_COUNT = 60
TITLE_COPIES = 12
SETUP_DELAY_NS = 15 * MS
MAX_LIST_DELAY_NS = 2 * SECOND
"""A front knows of the drain after a random time up to this one."""
REPLACEMENT_DELAY_NS = 2 * SECOND
MAX_STARTS_PER_STEP = 8


def front_settings(fronts: int, front: int, cells: int) -> DeploymentSettings:
    """Returns the deployment settings of one front."""
    return replace(
        PLAIN_DEPLOYMENT,
        front_count=fronts,
        front_index=front,
        cell_count=cells,
        rung_rates=RUNG_RATES,
        rung_revenue_shares=RUNG_REVENUE_SHARES,
        report_delay_ns=600 * MS,
        report_interval_ns=2500 * MS,
        cold_pace_share=COLD_PACE_SHARE,
        cold_duration_ns=COLD_DURATION_NS,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_window_ns=OVERLOAD_WINDOW_NS,
        retry_budget_base=10.0,
        retry_budget_share=0.2,
        retry_budget_window_ns=5 * SECOND,
    )


class ListedNode(NamedTuple):
    """An entry of the node list."""

    name: str
    cell: int
    status: NodeStatus
    started_at: int


class PendingSetup(NamedTuple):
    """A set-up that a node will answer."""

    answered_at: int
    front: Front
    copy: Playback
    node: Node


class Front(NullHost):
    """One front: a decision module and a move scheduler, with their own objects for nodes and titles."""

    def __init__(self, simulation: DrainSimulation, number: int) -> None:
        """Creates the front without a node list."""
        self.simulation = simulation
        self.nodes: dict[str, Node] = {}
        cell_count = simulation.cell_count
        self.controller = Controller(
            front_settings(simulation.front_count, number, cell_count), number, self, 0
        )
        self.scheduler = MoveScheduler(MoveLimits(), Random(number))
        self.playing: dict[str, Playback] = {}
        self.keys_by_copy: dict[Playback, str] = {}
        self.titles = [Title(f"t{i}", i * 7 % cell_count, TITLE_COPIES) for i in range(TITLE_COUNT)]

    def receive_node_list(self, kind: NodeListKind, listed_nodes: list[ListedNode], now: int) -> None:
        """Passes a node list, or changes of it, to the module."""
        entries = []
        for name, cell, status, started_at in listed_nodes:
            node = self.nodes.setdefault(name, Node(name))
            node.cell = cell
            node.zone = "w"
            entries.append(NodeEntry(node, status, started_at, LINK_CAPACITY, float(NODE_CAPACITY)))
        self.controller.on_node_list(kind, entries, now)

    # The host interface that the decision module calls. The simulation calls its timer each second.

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Sends the set-up of a copy."""
        self.simulation.receive_setup(self, playback, node)

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Ends the move of a copy that was rejected."""
        self._fail_move(playback)

    def abort(self, playback: Playback) -> None:
        """Ends the move of a copy that was aborted."""
        self._fail_move(playback)

    def _fail_move(self, copy: Playback) -> None:
        key = self.keys_by_copy.pop(copy, None)
        if key is not None:
            self.simulation.outcome_counts["refused"] += 1
            self.scheduler.finish(key, False, self.simulation.now, self.simulation.remaining_notice())


class DrainSimulation:
    """Fronts, nodes and the clock."""

    def __init__(
        self, front_count: int, node_count: int, playback_count: int, notice: int, seed: int
    ) -> None:
        """Creates the fleet with playbacks that are running. `notice`: time from the drain until nodes stop, in ns."""
        self.now = 0
        self.front_count = front_count
        self.cell_count = node_count
        self.rng = Random(seed)
        warm_up = WarmUp(COLD_PACE_SHARE, COLD_DURATION_NS, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_NS)
        self.machines = {f"n{i}": new_machine(f"n{i}", warm_up) for i in range(node_count)}
        self.cells = {f"n{i}": i for i in range(node_count)}
        self.outcome_counts: Counter[str] = Counter()
        self.setups_by_second: dict[str, Counter[int]] = {name: Counter() for name in self.machines}
        self.pending_setups: list[PendingSetup] = []
        self.notice = notice
        self.drained_at = 0
        self.fronts = [Front(self, i) for i in range(front_count)]
        listed_nodes = [ListedNode(name, cell, NodeStatus.READY, 0) for name, cell in self.cells.items()]
        for front in self.fronts:
            front.receive_node_list(NodeListKind.KEPT, listed_nodes, 0)
        self.now = 20 * SECOND
        for number in range(1, playback_count + 1):
            self._add_playback(f"p{number}")

    def _add_playback(self, key: str) -> None:
        front = self.rng.choice(self.fronts)
        title = self.rng.choice(front.titles)
        node_name = f"n{(title.home_cell + self.rng.randrange(TITLE_COPIES)) % self.cell_count}"
        playback = Playback(title, PLAN, TOP_RUNG, self.now, False)
        front.controller.on_handed_over(playback, front.nodes[node_name], self.now)
        front.playing[key] = playback
        self.machines[node_name].add_stream(key, Stream(STREAM_RATE, 1, RUNG_REVENUE_SHARES, 0))

    def remaining_notice(self) -> int:
        """Returns how long the draining nodes will still run."""
        return max(0, self.drained_at + self.notice - self.now)

    def receive_setup(self, front: Front, copy: Playback, node: Node) -> None:
        """Counts a set-up at a node, which answers after a delay."""
        self.setups_by_second[node.name][self.now // SECOND] += 1
        if not self.machines[node.name].admit_setup(self.now):
            self.outcome_counts["pushed over"] += 1
        front.scheduler.set_target(front.keys_by_copy[copy], node.name)
        self.pending_setups.append(PendingSetup(self.now + SETUP_DELAY_NS, front, copy, node))

    def run(self, drained: list[str]) -> None:
        """Drains nodes and runs until their notice has ended."""
        self.drained_at = self.now
        drain_known_at = {front: self.now + self.rng.randrange(MAX_LIST_DELAY_NS) for front in self.fronts}
        replacements_known_at = {
            front: drain_known_at[front] + REPLACEMENT_DELAY_NS + self.rng.randrange(SECOND)
            for front in self.fronts
        }
        replacement_list = self._add_replacements(drained)
        next_timer_at = {front: self.now + self.rng.randrange(SECOND) for front in self.fronts}
        while self.now < self.drained_at + self.notice:
            for front in self.fronts:
                if drain_known_at.get(front, self.now + 1) <= self.now:
                    del drain_known_at[front]
                    self._drain(front, drained)
                if replacements_known_at.get(front, self.now + 1) <= self.now:
                    del replacements_known_at[front]
                    front.receive_node_list(NodeListKind.CHANGES, replacement_list, self.now)
                if next_timer_at[front] <= self.now:
                    next_timer_at[front] += SECOND
                    front.controller.on_timer(self.now)
                for move in front.scheduler.start_due(self.now, MAX_STARTS_PER_STEP):
                    self._request_copy(front, move.key)
            self._answer_setups()
            self.now += STEP_NS

    def _add_replacements(self, drained: list[str]) -> list[ListedNode]:
        """Adds a node for each drained one, which starts after a delay; returns the list of the new nodes."""
        started_at = self.now + REPLACEMENT_DELAY_NS
        replacement_list = []
        for old in drained:
            new = f"{old}+1"
            self.machines[new] = new_machine(new, self.machines[old].warm_up)
            self.machines[new].restart(started_at)
            self.setups_by_second[new] = Counter()
            self.cells[new] = self.cells[old]
            replacement_list.append(ListedNode(new, self.cells[new], NodeStatus.READY, started_at))
        return replacement_list

    def _drain(self, front: Front, drained: list[str]) -> None:
        listed_nodes = [ListedNode(name, self.cells[name], NodeStatus.DRAINING, 0) for name in drained]
        front.receive_node_list(NodeListKind.CHANGES, listed_nodes, self.now)
        for name in drained:
            node = front.nodes[name]
            to_move = [(key, 1.0) for key, playback in front.playing.items() if playback.node is node]
            self.outcome_counts["to move"] += front.scheduler.plan_node(
                name, to_move, self.remaining_notice(), MoveReason.DRAIN, self.now
            )

    def _request_copy(self, front: Front, key: str) -> None:
        original = front.playing[key]
        copy = Playback(original.title, PLAN, TOP_RUNG, self.now + 4 * SECOND, True)
        copy.copy_of = original
        copy.node_filter = lambda node: front.scheduler.has_room_on(key, node.name)
        front.keys_by_copy[copy] = key
        front.controller.on_request(copy, self.now)

    def _answer_setups(self) -> None:
        for setup in [setup for setup in self.pending_setups if setup.answered_at <= self.now]:
            self.pending_setups.remove(setup)
            self._finish_move(setup.front, setup.copy, setup.node)

    def _finish_move(self, front: Front, copy: Playback, node: Node) -> None:
        key = front.keys_by_copy.pop(copy)
        machine = self.machines[node.name]
        original = front.playing[key]
        front.controller.on_playing(copy, self.now)
        front.controller.on_metric(copy, PlaybackMetric.LINK_LOAD, machine.link_load(), self.now)
        assert original.node is not None
        self.machines[original.node.name].remove_stream(key)
        machine.add_stream(key, Stream(STREAM_RATE, copy.rung, RUNG_REVENUE_SHARES, self.now))
        front.controller.on_viewer_left(original, self.now)
        front.controller.on_try_ended(original, Outcome.WITHDRAWN, True, None, None, None, self.now)
        front.playing[key] = copy
        front.scheduler.finish(key, True, self.now, None)
        self.outcome_counts["moved"] += 1


def new_machine(name: str, warm_up: WarmUp) -> Machine:
    """Returns a node of the link model."""
    return Machine(name, Rack(0.0), LINK_CAPACITY, NODE_CAPACITY, warm_up)
