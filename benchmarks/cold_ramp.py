"""What all fronts together send to nodes that start cold, simulated: whole fleets of the real module.

python -m benchmarks.cold_ramp [SEEDS [SETTINGS...]]

A window is the settings' time before each set-up on a cold node; its bound is N + 2 x root of N + 2, N being what the
settings allow at that age (the warming that the module assumes, which is the slower one).
"""

from __future__ import annotations

import heapq
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from math import sqrt
from random import Random

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
)
from oakcroft.interface import DeploymentSettings, Title

PLAN = Plan(
    effect=Effect.FREE, key_scope=KeyScope.ALL, key_ttl_ns=SECOND, startup_target_ns=SECOND, revenue=1.0,
    floor=0, top_rung=2, seats=0, rate_factor=1.0, shares_stream=False,
)  # fmt: skip
LIFE, SET_UP, LATE, SKEW = 25 * SECOND, 80 * MS, (400 * MS, 2 * SECOND), 50 * MS
WARM, LASTS = 12 * SECOND, 30 * SECOND  # before the first node starts; a day


@dataclass(frozen=True)
class Setting:
    """One deployment's figures, as far as the cold pace reads them, and what is asked of it."""

    name: str
    multiple: float
    window: int
    cold_for: int
    share: float
    places: tuple[float, ...]  # of the nodes in turn
    a_node: float  # set-ups a second and node, over all fronts


@dataclass(frozen=True)
class Load:
    """How the fronts are asked, and how many are restarted."""

    name: str
    uneven: float = 0.0  # sigma of the logarithm of each front's share
    restarts: float = 0.0
    hot: bool = False  # few titles, each on three nodes
    crowd: float = 1.0  # times as much from when the nodes start


LOADS = (
    Load("even"), Load("uneven", 0.8), Load("70% restarted", 0.8, 0.7), Load("hot titles, 30% restarted", 0.8, 0.3, True),
    Load("crowd of five, 70% restarted", 0.8, 0.7, False, 5.0),
)  # fmt: skip

SETTINGS = (
    Setting("lessons", 4.0, 3 * SECOND, 8 * SECOND, 0.5, (7.5,), 1.2),
    Setting("replays", 2.5, 1500 * MS, 8 * SECOND, 0.5, (5.3, 10.6), 1.2),
    Setting("halls", 3.0, 2 * SECOND, 10 * SECOND, 0.4, (60.0, 400.0), 12.0),
    Setting("kiosks", 2.0, SECOND, 5 * SECOND, 0.2, (4.0,), 1.0),
)


def budget(setting: Setting, places: float, age: int) -> float:
    """N: what the settings allow in a window at that age."""
    share = setting.share + (1 - setting.share) * min(1.0, age / setting.cold_for) ** 2
    return setting.multiple * share * places / setting.cold_for * setting.window


def bound(n: float) -> float:
    """What all processes together may send in a window, chance included."""
    return n + 2 * sqrt(n) + 2


class Front:
    """One process: the module with nodes of its own, and a clock of its own."""

    def __init__(self, day: Day, number: int, now: int) -> None:
        self.day, self.number, self.skew = day, number, day.rng.randrange(-SKEW, SKEW + 1)
        self.nodes: dict[str, Node] = {}
        self.titles: dict[str, Title] = {}
        self.control = Controller(
            replace(day.terms, front_index=number), day.rng.getrandbits(60), self, now + self.skew
        )
        self.told(list(day.listed.values()), now)

    def told(self, some: list[tuple[str, int, float, int]], now: int) -> None:
        entries = list[NodeEntry]()
        for name, cell, places, started in some:
            node = self.nodes.setdefault(name, Node(name))
            node.cell = cell
            entries.append(NodeEntry(node, NodeStatus.READY, started, 4000.0 * places, places))
        self.control.on_node_list(
            NodeListKind.CHANGES if self.control.nodes else NodeListKind.WHOLE, entries, now + self.skew
        )

    def ask(self, name: str, now: int) -> None:
        title = self.titles.setdefault(
            name, Title(name, int(name) % self.day.terms.cell_count, self.day.copies)
        )
        self.control.on_request(
            Playback(title, PLAN, 2, now + self.skew + 4 * SECOND, False), now + self.skew
        )

    # What the module asks for.

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        now, day = self.day.now, self.day
        day.sent.setdefault(node.name, []).append(now)
        self.later(now + SET_UP, lambda: self.control.on_playing(playback, day.now + self.skew))
        ends = now + round(day.rng.expovariate(1 / LIFE)) + SET_UP
        self.later(
            ends,
            lambda: self.control.on_try_ended(
                playback, Outcome.DONE, True, 0.3, None, None, day.now + self.skew
            ),
        )

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        self.day.rejected += 1

    def abort(self, playback: Playback) -> None: ...

    def set_rung(self, playback: Playback, rung: int) -> None: ...

    def set_timer(self, at: int) -> None:
        self.later(at - self.skew, lambda: self.control.on_timer(self.day.now + self.skew))

    def later(self, when: int, what: Callable[[], None]) -> None:
        """At that time, if this process still lives."""
        self.day.at(when, lambda: what() if self.day.fronts[self.number] is self else None)

    def subscribe_to_nodes(self) -> None: ...

    def log(self, message: str) -> None: ...


class Day:
    """A fleet of which half the nodes are replaced, with fronts that restart meanwhile."""

    def __init__(self, setting: Setting, fronts: int, load: Load, seed: int) -> None:
        self.setting, self.rng, self.now, self.rejected, self.asked = setting, Random(seed), 0, 0, 0
        self.crowd = load.crowd
        nodes = max(6, min(60, fronts // 2))
        self.copies = 3 if load.hot else 0
        self.terms = DeploymentSettings(
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
            cold_pace_share=setting.share,
            cold_duration_ns=setting.cold_for,
            overload_multiple=setting.multiple,
            overload_window_ns=setting.window,
            retry_budget_base=None,
            retry_budget_share=0.0,
            retry_budget_window_ns=0,
        )
        self.heap = list[tuple[int, int, Callable[[], object]]]()
        self.sent: dict[str, list[int]] = {}
        places = [setting.places[i % len(setting.places)] for i in range(nodes)]
        self.listed = {f"n{i}": (f"n{i}", i, places[i], 0) for i in range(nodes)}
        self.fronts = [Front(self, i, 0) for i in range(fronts)]
        weights = [self.rng.lognormvariate(0, load.uneven) for _ in range(fronts)]
        rate = setting.a_node * nodes / sum(weights)
        self.titles = [str(i) for i in range(8 if load.hot else 4 * nodes)]
        for i, weight in enumerate(weights):
            self._arrive(i, weight * rate)
        self.started: dict[str, tuple[int, float]] = {}
        for i in range(0, nodes, 2):  # a new process under the same name
            self.at(WARM + self.rng.randrange(8 * SECOND), partial(self._start, f"n{i}"))
        for i in range(fronts):
            if self.rng.random() < load.restarts:
                self.at(WARM + self.rng.randrange(12 * SECOND), partial(self._restart, i))

    def at(self, when: int, what: Callable[[], object]) -> None:
        heapq.heappush(self.heap, (when, len(self.heap) + self.rng.getrandbits(40), what))

    def _arrive(self, i: int, rate: float) -> None:
        def ask() -> None:
            self.asked += 1
            self.fronts[i].ask(self.rng.choice(self.titles), self.now)
            self._arrive(i, rate)

        many = self.crowd if self.now >= WARM else 1
        self.at(self.now + round(self.rng.expovariate(rate * many) * SECOND), ask)

    def _start(self, name: str) -> None:
        _, cell, places, _ = self.listed[name]
        self.started[name] = self.now, places
        for front in self.fronts:  # the list comes to each at its own time
            self.at(self.now + self.rng.randrange(*LATE), partial(self._tell, front.number, name))
        self.listed[name] = name, cell, places, self.now

    def _tell(self, number: int, name: str) -> None:
        self.fronts[number].told([self.listed[name]], self.now)

    def _restart(self, number: int) -> None:
        self.fronts[number] = Front(self, number, self.now)

    def play(self) -> tuple[int, int, float, float]:
        """Windows, those past the bound, the fullest against its bound, and the part of the budget that was used."""
        while self.heap and self.heap[0][0] < LASTS:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        windows, past, most, used, allowed = 0, 0, 0.0, 0, 0.0
        for name, (began, places) in self.started.items():
            known = [
                t for t in self.sent.get(name, ()) if began + LATE[1] <= t < began + self.setting.cold_for
            ]
            allowed += sum(
                budget(self.setting, places, LATE[1] + k * self.setting.window)
                for k in range(max(1, (self.setting.cold_for - LATE[1]) // self.setting.window))
            )
            used += len(known)
            for i, last in enumerate(known):
                count = sum(1 for t in known[: i + 1] if t > last - self.setting.window)
                n = budget(self.setting, places, last - began)
                windows, past = windows + 1, past + (count > bound(n))
                most = max(most, count / bound(n))
        return windows, past, most, used / allowed if allowed else 0.0


def main() -> None:
    """Prints a table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print("| settings | fronts | load | windows | past, a thousand | fullest | budget used | rejected |")
    print("| --- " * 8 + "|")
    for setting in [s for s in SETTINGS if not sys.argv[2:] or s.name in sys.argv[2:]]:
        for fronts in (1, 2, 3, 20, 30, 200):
            for load in LOADS:
                rows, turned, asked = list[tuple[int, int, float, float]](), 0, 0
                for seed in range(seeds):
                    day = Day(setting, fronts, load, seed)
                    rows.append(day.play())
                    turned, asked = turned + day.rejected, asked + day.asked
                windows, past = sum(r[0] for r in rows), sum(r[1] for r in rows)
                used = sum(r[3] for r in rows) / len(rows)
                rate, most = 1000 * past / max(1, windows), max(r[2] for r in rows)
                row = [setting.name, fronts, load.name, windows, f"{rate:.1f}", f"{most:.2f}", f"{used:.2f}"]
                print("|", *(f"{cell} |" for cell in row), f"{turned / max(1, asked):.1%} |", flush=True)


if __name__ == "__main__":
    main()
