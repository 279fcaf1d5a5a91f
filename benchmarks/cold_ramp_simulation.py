"""A simulated day of a fleet whose nodes and fronts restart; counts the set-ups that cold nodes get from all fronts."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from math import sqrt
from random import Random
from typing import NamedTuple

from benchmarks.decision_module import PLAIN_DEPLOYMENT, NullHost, create_plan
from oakcroft.choice import Controller
from oakcroft.interface import (
    MS,
    SECOND,
    NodeEntry,
    NodeStatus,
    NodeListKind,
    Node,
    Outcome,
    Playback,
    DeploymentSettings,
    Title,
)

TOP_RUNG = 2
PLAN = create_plan(TOP_RUNG)
MEAN_SESSION_NS = 25 * SECOND
SETUP_DELAY_NS = 80 * MS
LIST_DELAY_NS = (400 * MS, 2 * SECOND)
"""Shortest and longest time until a front knows a change of the node list."""
MAX_CLOCK_SKEW_NS = 50 * MS
RESTARTS_FROM_NS = 12 * SECOND
"""Nodes and fronts restart after this time."""
NODE_RESTARTS_WITHIN_NS = 8 * SECOND
FRONT_RESTARTS_WITHIN_NS = 12 * SECOND
DAY_NS = 30 * SECOND
TITLES_PER_NODE = 4
HOT_TITLES = 8
HOT_TITLE_COPIES = 3
LINK_CAPACITY_PER_SESSION = 4000.0
"""kB/s of a node's link per session of its capacity."""


@dataclass(frozen=True)
class Setting:
    """The settings of a deployment that determine the pace on cold nodes, and its request rate."""

    name: str
    overload_multiple: float
    overload_window_ns: int
    cold_duration_ns: int
    cold_pace_share: float
    capacities: tuple[float, ...]
    """Assigned to the nodes in turn."""
    setups_per_node_second: float
    """Over all fronts."""


@dataclass(frozen=True)
class Load:
    """How requests are spread over the fronts, and how many of these restart."""

    name: str
    front_share_sigma: float = 0.0
    """Standard deviation of the logarithm of each front's share."""
    restarted_share: float = 0.0
    has_hot_titles: bool = False
    """Few titles, each on three nodes."""
    crowd_factor: float = 1.0
    """Multiplies the request rate from the time when nodes restart."""


def window_budget(setting: Setting, capacity: float, age: int) -> float:
    """Returns N, the number of set-ups that the settings allow in a window on a node of this age."""
    warmth = min(1.0, age / setting.cold_duration_ns) ** 2
    pace_share = setting.cold_pace_share + (1 - setting.cold_pace_share) * warmth
    pace = setting.overload_multiple * pace_share * capacity / setting.cold_duration_ns
    return pace * setting.overload_window_ns


def window_bound(budget: float) -> float:
    """Returns how many set-ups all fronts together may send in a window, with a margin for random variation."""
    return budget + 2 * sqrt(budget) + 2


class ListedNode(NamedTuple):
    """A node as it stands in the node list."""

    name: str
    cell: int
    capacity: float
    started_at: int


class Front(NullHost):
    """One front process: a decision module with its own nodes and its own clock."""

    def __init__(self, day: Day, number: int, now: int) -> None:
        """Creates the front with the node list of this time."""
        self.day = day
        self.number = number
        self.clock_skew = day.rng.randrange(-MAX_CLOCK_SKEW_NS, MAX_CLOCK_SKEW_NS + 1)
        self.nodes: dict[str, Node] = {}
        self.titles: dict[str, Title] = {}
        self.controller = Controller(
            replace(day.settings, front_index=number), day.rng.getrandbits(60), self, now + self.clock_skew
        )
        self.receive_node_list(list(day.listed_nodes.values()), now)

    def receive_node_list(self, listed_nodes: list[ListedNode], now: int) -> None:
        """Passes the first node list or changed entries of it to the module."""
        entries = list[NodeEntry]()
        for name, cell, capacity, started_at in listed_nodes:
            node = self.nodes.setdefault(name, Node(name))
            node.cell = cell
            link_capacity = LINK_CAPACITY_PER_SESSION * capacity
            entries.append(NodeEntry(node, NodeStatus.READY, started_at, link_capacity, capacity))
        kind = NodeListKind.CHANGES if self.controller.nodes else NodeListKind.WHOLE
        self.controller.on_node_list(kind, entries, now + self.clock_skew)

    def request(self, title_name: str, now: int) -> None:
        """Handles a viewer's request."""
        home_cell = int(title_name) % self.day.settings.cell_count
        title = self.titles.setdefault(title_name, Title(title_name, home_cell, self.day.title_copies))
        local_now = now + self.clock_skew
        self.controller.on_request(Playback(title, PLAN, TOP_RUNG, local_now + 4 * SECOND, False), local_now)

    # The host interface that the decision module calls.

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Counts the set-up, and schedules the start and the end of the playback."""
        day = self.day
        now = day.now
        day.setup_times.setdefault(node.name, []).append(now)
        self.schedule(
            now + SETUP_DELAY_NS, lambda: self.controller.on_playing(playback, day.now + self.clock_skew)
        )
        ends_at = now + round(day.rng.expovariate(1 / MEAN_SESSION_NS)) + SETUP_DELAY_NS
        self.schedule(
            ends_at,
            lambda: self.controller.on_try_ended(
                playback, Outcome.DONE, True, 0.3, None, None, day.now + self.clock_skew
            ),
        )

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Counts the rejection; viewers do not retry."""
        self.day.rejected_count += 1

    def set_timer(self, at: int) -> None:
        """Schedules the module's timer."""
        self.schedule(at - self.clock_skew, lambda: self.controller.on_timer(self.day.now + self.clock_skew))

    def schedule(self, at: int, event: Callable[[], None]) -> None:
        """Schedules an event that happens only if this process has not been replaced by then."""
        self.day.schedule(at, lambda: event() if self.day.fronts[self.number] is self else None)


def create_settings(setting: Setting, fronts: int, nodes: int) -> DeploymentSettings:
    """Returns the settings of a fleet of this size."""
    return replace(
        PLAIN_DEPLOYMENT,
        front_count=fronts,
        cell_count=nodes,
        rack_count=3,
        cold_pace_share=setting.cold_pace_share,
        cold_duration_ns=setting.cold_duration_ns,
        overload_multiple=setting.overload_multiple,
        overload_window_ns=setting.overload_window_ns,
    )


class ColdUse(NamedTuple):
    """How the fronts together used the cold nodes."""

    window_count: int
    over_bound_count: int
    """Windows with more set-ups than their bound."""
    max_ratio: float
    """Largest ratio of set-ups to the bound."""
    used_share: float
    """Used share of the budget."""


class Day:
    """A simulated day of a fleet in which half of the nodes restart, and some fronts at the same time."""

    def __init__(self, setting: Setting, fronts: int, load: Load, seed: int) -> None:
        """Creates the fleet and schedules the first requests and all restarts."""
        self.setting = setting
        self.rng = Random(seed)
        self.now = 0
        self.rejected_count = 0
        self.request_count = 0
        self.crowd_factor = load.crowd_factor
        nodes = max(6, min(60, fronts // 2))
        self.title_copies = HOT_TITLE_COPIES if load.has_hot_titles else 0
        self.settings = create_settings(setting, fronts, nodes)
        self.event_heap = list[tuple[int, int, Callable[[], object]]]()
        self.setup_times: dict[str, list[int]] = {}
        capacities = [setting.capacities[i % len(setting.capacities)] for i in range(nodes)]
        self.listed_nodes = {f"n{i}": ListedNode(f"n{i}", i, capacities[i], 0) for i in range(nodes)}
        self.fronts = [Front(self, i, 0) for i in range(fronts)]
        title_count = HOT_TITLES if load.has_hot_titles else TITLES_PER_NODE * nodes
        self.title_names = [str(i) for i in range(title_count)]
        self.restarted_nodes: dict[str, ListedNode] = {}
        self._schedule_first_requests(load.front_share_sigma)
        self._schedule_restarts(load.restarted_share)

    def _schedule_first_requests(self, front_share_sigma: float) -> None:
        weights = [self.rng.lognormvariate(0, front_share_sigma) for _ in self.fronts]
        rate = self.setting.setups_per_node_second * len(self.listed_nodes) / sum(weights)
        for front, weight in enumerate(weights):
            self._schedule_next_request(front, weight * rate)

    def _schedule_restarts(self, restarted_share: float) -> None:
        """Schedules new processes under the same names: of every second node, and of a random share of the fronts."""
        for i in range(0, len(self.listed_nodes), 2):
            restart_at = RESTARTS_FROM_NS + self.rng.randrange(NODE_RESTARTS_WITHIN_NS)
            self.schedule(restart_at, partial(self._restart_node, f"n{i}"))
        for i in range(len(self.fronts)):
            if self.rng.random() < restarted_share:
                restart_at = RESTARTS_FROM_NS + self.rng.randrange(FRONT_RESTARTS_WITHIN_NS)
                self.schedule(restart_at, partial(self._restart_front, i))

    def schedule(self, at: int, event: Callable[[], object]) -> None:
        """Schedules an event; events of the same time happen in random order."""
        heapq.heappush(self.event_heap, (at, len(self.event_heap) + self.rng.getrandbits(40), event))

    def _schedule_next_request(self, front: int, rate: float) -> None:
        def request() -> None:
            """Requests a playback and schedules the next request."""
            self.request_count += 1
            self.fronts[front].request(self.rng.choice(self.title_names), self.now)
            self._schedule_next_request(front, rate)

        factor = self.crowd_factor if self.now >= RESTARTS_FROM_NS else 1
        self.schedule(self.now + round(self.rng.expovariate(rate * factor) * SECOND), request)

    def _restart_node(self, name: str) -> None:
        restarted = self.listed_nodes[name]._replace(started_at=self.now)
        self.restarted_nodes[name] = restarted
        for front in self.fronts:  # each front gets the list after its own delay
            known_at = self.now + self.rng.randrange(*LIST_DELAY_NS)
            self.schedule(known_at, partial(self._send_list_change, front.number, name))
        self.listed_nodes[name] = restarted

    def _send_list_change(self, front: int, name: str) -> None:
        self.fronts[front].receive_node_list([self.listed_nodes[name]], self.now)

    def _restart_front(self, number: int) -> None:
        self.fronts[number] = Front(self, number, self.now)

    def play(self) -> ColdUse:
        """Runs the day and returns how the cold nodes were used."""
        while self.event_heap and self.event_heap[0][0] < DAY_NS:
            self.now, _, event = heapq.heappop(self.event_heap)
            event()
        window_count = 0
        over_bound_count = 0
        max_ratio = 0.0
        used = 0
        allowed = 0.0
        for node in self.restarted_nodes.values():
            setup_times = self._cold_setup_times(node)
            allowed += self._cold_budget(node)
            used += len(setup_times)
            for i, last in enumerate(setup_times):
                begin = last - self.setting.overload_window_ns
                count = sum(1 for time in setup_times[: i + 1] if time > begin)
                bound = window_bound(window_budget(self.setting, node.capacity, last - node.started_at))
                window_count += 1
                over_bound_count += count > bound
                max_ratio = max(max_ratio, count / bound)
        return ColdUse(window_count, over_bound_count, max_ratio, used / allowed if allowed else 0.0)

    def _cold_setup_times(self, node: ListedNode) -> list[int]:
        """Returns the times of set-ups from when all fronts know of the node's restart until it is warm."""
        known_at = node.started_at + LIST_DELAY_NS[1]
        warm_at = node.started_at + self.setting.cold_duration_ns
        return [time for time in self.setup_times.get(node.name, ()) if known_at <= time < warm_at]

    def _cold_budget(self, node: ListedNode) -> float:
        """Returns how many set-ups the settings allow in that time."""
        max_list_delay = LIST_DELAY_NS[1]
        window = self.setting.overload_window_ns
        whole_windows = (self.setting.cold_duration_ns - max_list_delay) // window
        return sum(
            window_budget(self.setting, node.capacity, max_list_delay + i * window)
            for i in range(max(1, whole_windows))
        )
