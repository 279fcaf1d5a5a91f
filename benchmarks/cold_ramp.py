"""Simulates whole fleets of the real decision module and counts the set-ups that cold nodes get from all fronts together.

python -m benchmarks.cold_ramp [SEEDS [SETTINGS...]]

A window is the settings' overload window before each set-up on a cold node. Its bound is N + 2 * sqrt(N) + 2, where N is
what the settings allow at the node's age, by the warm-up that the module assumes, which is slower than the real one.
"""

from __future__ import annotations

import heapq
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from math import sqrt
from random import Random
from typing import NamedTuple

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
    Outcome,
    Plan,
    Playback,
    DeploymentSettings,
    Title,
)

PLAN = Plan(
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
MEAN_SESSION_NS = 25 * SECOND
SETUP_DELAY_NS = 80 * MS
LIST_DELAY_NS = (400 * MS, 2 * SECOND)
"""Shortest and longest time until a front knows a change of the node list."""
MAX_CLOCK_SKEW_NS = 50 * MS
RESTARTS_FROM_NS = 12 * SECOND
"""The first node restarts after this time."""
DAY_NS = 30 * SECOND
TITLES_PER_NODE = 4
HOT_TITLES = 8
HOT_TITLE_COPIES = 3
LINK_CAPACITY_PER_SESSION = 4000.0
"""kB/s of a node's link per session of its capacity."""
FRONT_COUNTS = (1, 2, 3, 20, 30, 200)


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


LOADS = (
    Load("even"),
    Load("uneven", front_share_sigma=0.8),
    Load("70% restarted", front_share_sigma=0.8, restarted_share=0.7),
    Load("hot titles, 30% restarted", front_share_sigma=0.8, restarted_share=0.3, has_hot_titles=True),
    Load("crowd of five, 70% restarted", front_share_sigma=0.8, restarted_share=0.7, crowd_factor=5.0),
)

SETTINGS = (
    Setting("lessons", 4.0, 3 * SECOND, 8 * SECOND, 0.5, (7.5,), 1.2),
    Setting("replays", 2.5, 1500 * MS, 8 * SECOND, 0.5, (5.3, 10.6), 1.2),
    Setting("halls", 3.0, 2 * SECOND, 10 * SECOND, 0.4, (60.0, 400.0), 12.0),
    Setting("kiosks", 2.0, SECOND, 5 * SECOND, 0.2, (4.0,), 1.0),
)


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


class Front:
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
        self.controller.on_request(Playback(title, PLAN, 2, local_now + 4 * SECOND, False), local_now)

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

    def abort(self, playback: Playback) -> None:
        """Does nothing."""

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Does nothing, as links are not simulated."""

    def set_timer(self, at: int) -> None:
        """Schedules the module's timer."""
        self.schedule(at - self.clock_skew, lambda: self.controller.on_timer(self.day.now + self.clock_skew))

    def schedule(self, at: int, event: Callable[[], None]) -> None:
        """Schedules an event that happens only if this process has not been replaced by then."""
        self.day.schedule(at, lambda: event() if self.day.fronts[self.number] is self else None)

    def subscribe_to_nodes(self) -> None:
        """Does nothing, as list changes are sent to all fronts."""

    def log(self, message: str) -> None:
        """Discards the message."""


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
        self.settings = DeploymentSettings(
            front_count=fronts,
            front_index=0,
            must_subscribe=False,
            subscribe_within_ns=0,
            cell_count=nodes,
            rack_count=3,
            rung_rates=(100.0, 200.0, 400.0),
            rung_revenue_shares=(0.3, 0.6, 1.0),
            uplink_capacity=0.0,
            join_rate_share=1.0,
            report_delay_ns=SECOND,
            report_interval_ns=3 * SECOND,
            max_tries=3,
            max_retry_after_ns=SECOND,
            cold_pace_share=setting.cold_pace_share,
            cold_duration_ns=setting.cold_duration_ns,
            overload_multiple=setting.overload_multiple,
            overload_window_ns=setting.overload_window_ns,
            retry_budget_base=None,
            retry_budget_share=0.0,
            retry_budget_window_ns=0,
        )
        self.event_heap = list[tuple[int, int, Callable[[], object]]]()
        self.setup_times: dict[str, list[int]] = {}
        capacities = [setting.capacities[i % len(setting.capacities)] for i in range(nodes)]
        self.listed_nodes = {f"n{i}": ListedNode(f"n{i}", i, capacities[i], 0) for i in range(nodes)}
        self.fronts = [Front(self, i, 0) for i in range(fronts)]
        weights = [self.rng.lognormvariate(0, load.front_share_sigma) for _ in range(fronts)]
        rate = setting.setups_per_node_second * nodes / sum(weights)
        title_count = HOT_TITLES if load.has_hot_titles else TITLES_PER_NODE * nodes
        self.title_names = [str(i) for i in range(title_count)]
        for i, weight in enumerate(weights):
            self._schedule_next_request(i, weight * rate)
        self.restarted_nodes: dict[str, ListedNode] = {}
        for i in range(0, nodes, 2):  # a new process under the same name
            restart_at = RESTARTS_FROM_NS + self.rng.randrange(8 * SECOND)
            self.schedule(restart_at, partial(self._restart_node, f"n{i}"))
        for i in range(fronts):
            if self.rng.random() < load.restarted_share:
                restart_at = RESTARTS_FROM_NS + self.rng.randrange(12 * SECOND)
                self.schedule(restart_at, partial(self._restart_front, i))

    def schedule(self, at: int, event: Callable[[], object]) -> None:
        """Schedules an event; events of the same time happen in random order."""
        heapq.heappush(self.event_heap, (at, len(self.event_heap) + self.rng.getrandbits(40), event))

    def _schedule_next_request(self, front: int, rate: float) -> None:
        def request() -> None:
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

    def play(self) -> tuple[int, int, float, float]:
        """Returns the number of windows, the number over the bound, the largest ratio of set-ups to the bound, and the
        used share of the budget."""
        while self.event_heap and self.event_heap[0][0] < DAY_NS:
            self.now, _, event = heapq.heappop(self.event_heap)
            event()
        setting = self.setting
        max_list_delay = LIST_DELAY_NS[1]
        window_count = 0
        over_bound_count = 0
        max_ratio = 0.0
        used = 0
        allowed = 0.0
        for name, node in self.restarted_nodes.items():
            # Set-ups from when all fronts know of the restart until the node is warm.
            setup_times = [
                time
                for time in self.setup_times.get(name, ())
                if node.started_at + max_list_delay <= time < node.started_at + setting.cold_duration_ns
            ]
            whole_windows = (setting.cold_duration_ns - max_list_delay) // setting.overload_window_ns
            allowed += sum(
                window_budget(setting, node.capacity, max_list_delay + i * setting.overload_window_ns)
                for i in range(max(1, whole_windows))
            )
            used += len(setup_times)
            for i, last in enumerate(setup_times):
                count = sum(1 for time in setup_times[: i + 1] if time > last - setting.overload_window_ns)
                bound = window_bound(window_budget(setting, node.capacity, last - node.started_at))
                window_count += 1
                over_bound_count += count > bound
                max_ratio = max(max_ratio, count / bound)
        return window_count, over_bound_count, max_ratio, used / allowed if allowed else 0.0


def main() -> None:
    """Prints the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print("| settings | fronts | load | windows | past, a thousand | fullest | budget used | rejected |")
    print("| --- " * 8 + "|")
    for setting in [s for s in SETTINGS if not sys.argv[2:] or s.name in sys.argv[2:]]:
        for fronts in FRONT_COUNTS:
            for load in LOADS:
                print("|", *(f"{cell} |" for cell in table_row(setting, fronts, load, seeds)), flush=True)


def table_row(setting: Setting, fronts: int, load: Load, seeds: int) -> list[object]:
    """Returns the cells of one row: the sums, means or maxima over all seeds."""
    results = list[tuple[int, int, float, float]]()
    rejected = 0
    requests = 0
    for seed in range(seeds):
        day = Day(setting, fronts, load, seed)
        results.append(day.play())
        rejected += day.rejected_count
        requests += day.request_count
    windows = sum(result[0] for result in results)
    over_bound = sum(result[1] for result in results)
    max_ratio = max(result[2] for result in results)
    used = sum(result[3] for result in results) / len(results)
    return [
        setting.name,
        fronts,
        load.name,
        windows,
        f"{1000 * over_bound / max(1, windows):.1f}",
        f"{max_ratio:.2f}",
        f"{used:.2f}",
        f"{rejected / max(1, requests):.1%}",
    ]


if __name__ == "__main__":
    main()
