"""A fifth of the fleet drains at once before two hundred fronts: set-ups at each target, by the pure modules alone.

    python -m benchmarks.mass_drain [--fronts 200] [--nodes 60] [--playbacks 1800] [--notice 15]

Every front is a Controller of `choice.py` and a Mover with its own seed; nodes are the link model; a clock of our own
runs in steps of 20 ms. Drained nodes are replaced by cold ones two seconds after the drain is known. Prints, for warm
and cold targets, the busiest second of set-ups beside what a node can take, and what became of the playbacks. The same
from the same seed.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from random import Random

from oakcroft.choice import Controller
from oakcroft.decisions.moving.move_scheduler import MoveScheduler, MoveLimits, MoveReason
from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    KeyScope,
    NodeStatus,
    NodeListKind,
    Node,
    PlaybackMetric,
    Outcome,
    Plan,
    Playback,
)
from oakcroft.interface import DeploymentSettings, Title
from oakcroft.standins.links import Machine, Rack, Stream, WarmUp

PLAN = Plan(Effect.FREE, KeyScope.ALL, SECOND, SECOND, 1.0, 0, 2, 0, 1.0, False)
STEP, COLD_FOR, WINDOW = 20 * MS, 8 * SECOND, 2 * SECOND


def terms(fronts: int, front: int, cells: int) -> DeploymentSettings:
    """The site, as one front is told it."""
    return DeploymentSettings(
        front_count=fronts,
        front_index=front,
        must_subscribe=False,
        subscribe_within_ns=0,
        cell_count=cells,
        rack_count=1,
        rung_rates=(200.0, 400.0, 800.0),
        rung_revenue_shares=(0.3, 0.6, 1.0),
        uplink_capacity=0.0,
        join_rate_share=1.0,
        report_delay_ns=600 * MS,
        report_interval_ns=2500 * MS,
        max_tries=3,
        max_retry_after_ns=SECOND,
        cold_pace_share=0.4,
        cold_duration_ns=COLD_FOR,
        overload_multiple=4.0,
        overload_window_ns=WINDOW,
        retry_budget_base=10.0,
        retry_budget_share=0.2,
        retry_budget_window_ns=5 * SECOND,
    )


class Front:
    """One front: the module and a mover, told of nodes by name, each with objects of its own."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.nodes: dict[str, Node] = {}
        self.control = Controller(terms(world.fronts, number, world.cells), number, self, 0)
        self.mover = MoveScheduler(MoveLimits(), Random(number))
        self.playing: dict[str, Playback] = {}
        self.copies: dict[Playback, str] = {}
        self.titles = [Title(f"t{i}", i * 7 % world.cells, 12) for i in range(60)]

    def hear(self, kind: NodeListKind, lines: list[tuple[str, int, NodeStatus, int]], now: int) -> None:
        """A list, or its changes: name, cell, listing, start."""
        entries = []
        for name, cell, listing, started in lines:
            node = self.nodes.setdefault(name, Node(name))
            node.cell, node.zone = cell, "w"
            entries.append(NodeEntry(node, listing, started, 24_000.0, 60.0))
        self.control.on_node_list(kind, entries, now)

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        self.world.sent(self, playback, node)

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        self._stays(playback)

    def abort(self, playback: Playback) -> None:
        self._stays(playback)

    def _stays(self, pb: Playback) -> None:
        key = self.copies.pop(pb, None)
        if key is not None:
            self.world.count["refused"] += 1
            self.mover.finish(key, False, self.world.now, self.world.notice_left())

    def set_rung(self, playback: Playback, rung: int) -> None:
        pass

    def set_timer(self, at: int) -> None:
        pass

    def subscribe_to_nodes(self) -> None:
        pass

    def log(self, message: str) -> None:
        pass


class World:
    """Fronts, nodes and the clock."""

    def __init__(self, fronts: int, nodes: int, playbacks: int, notice: int, seed: int) -> None:
        self.now, self.fronts, self.cells, self.rng = 0, fronts, nodes, Random(seed)
        warmth = WarmUp(0.4, COLD_FOR, 4.0, WINDOW)
        self.machines = {f"n{i}": Machine(f"n{i}", Rack(0.0), 24_000.0, 60, warmth) for i in range(nodes)}
        self.cell = {f"n{i}": i for i in range(nodes)}
        self.count: Counter[str] = Counter()
        self.setups: dict[str, Counter[int]] = {n: Counter() for n in self.machines}
        self.due: list[tuple[int, Front, Playback, Node]] = []
        self.notice, self.drained_at, self.number = notice, 0, 0
        self.all = [Front(self, i) for i in range(fronts)]
        lines = [(n, c, NodeStatus.READY, 0) for n, c in self.cell.items()]
        for front in self.all:
            front.hear(NodeListKind.KEPT, lines, 0)
        self.now = 20 * SECOND
        for _ in range(playbacks):
            front = self.rng.choice(self.all)
            title = self.rng.choice(front.titles)
            name = f"n{(title.home_cell + self.rng.randrange(12)) % nodes}"
            pb = Playback(title, PLAN, 2, self.now, False)
            front.control.on_handed_over(pb, front.nodes[name], self.now)
            self.number += 1
            front.playing[f"p{self.number}"] = pb
            self.machines[name].add_stream(f"p{self.number}", Stream(400.0, 1, (0.3, 0.6, 1.0), 0))

    def notice_left(self) -> int:
        """Time that the draining nodes are good for."""
        return max(0, self.drained_at + self.notice - self.now)

    def sent(self, front: Front, pb: Playback, node: Node) -> None:
        """A set-up reaches a node, which answers 15 ms later."""
        machine = self.machines[node.name]
        self.setups[node.name][self.now // SECOND] += 1
        if not machine.admit_setup(self.now):
            self.count["pushed over"] += 1
        front.mover.set_target(front.copies[pb], node.name)
        self.due.append((self.now + 15 * MS, front, pb, node))

    def run(self, drained: list[str]) -> None:
        """The drain and the notice."""
        replaced = {n: f"{n}+1" for n in drained}
        self.drained_at = self.now
        heard = {f: self.now + self.rng.randrange(2 * SECOND) for f in self.all}
        ready = {f: heard[f] + 2 * SECOND + self.rng.randrange(SECOND) for f in self.all}
        cold_at = self.now + 2 * SECOND
        for old, new in replaced.items():
            self.machines[new] = Machine(new, Rack(0.0), 24_000.0, 60, self.machines[old].warm_up)
            self.machines[new].restart(cold_at)
            self.setups[new], self.cell[new] = Counter(), self.cell[old]
        ticks = {f: self.now + self.rng.randrange(SECOND) for f in self.all}
        while self.now < self.drained_at + self.notice:
            for front in self.all:
                if heard.get(front, self.now + 1) <= self.now:
                    del heard[front]
                    self._drain(front, drained)
                if ready.get(front, self.now + 1) <= self.now:
                    del ready[front]
                    lines = [(new, self.cell[new], NodeStatus.READY, cold_at) for new in replaced.values()]
                    front.hear(NodeListKind.CHANGES, lines, self.now)
                if ticks[front] <= self.now:
                    ticks[front] += SECOND
                    front.control.on_timer(self.now)
                for wish in front.mover.start_due(self.now, 8):
                    self._copy(front, wish.key)
            for at, front, pb, node in [d for d in self.due if d[0] <= self.now]:
                self.due.remove((at, front, pb, node))
                self._placed(front, pb, node)
            self.now += STEP

    def _drain(self, front: Front, drained: list[str]) -> None:
        front.hear(
            NodeListKind.CHANGES, [(n, self.cell[n], NodeStatus.DRAINING, 0) for n in drained], self.now
        )
        for name in drained:
            some = [(k, 1.0) for k, pb in front.playing.items() if pb.node is front.nodes[name]]
            self.count["to move"] += front.mover.plan_node(
                name, some, self.notice_left(), MoveReason.DRAIN, self.now
            )

    def _copy(self, front: Front, key: str) -> None:
        old = front.playing[key]
        copy = Playback(old.title, PLAN, 2, self.now + 4 * SECOND, True)
        copy.copy_of = old
        copy.node_filter = lambda node: front.mover.has_room_on(key, node.name)
        front.copies[copy] = key
        front.control.on_request(copy, self.now)

    def _placed(self, front: Front, pb: Playback, node: Node) -> None:
        key = front.copies.pop(pb)
        machine, old = self.machines[node.name], front.playing[key]
        front.control.on_playing(pb, self.now)
        front.control.on_metric(pb, PlaybackMetric.LINK_LOAD, machine.link_load(), self.now)
        assert old.node is not None
        self.machines[old.node.name].remove_stream(key)
        machine.add_stream(key, Stream(400.0, pb.rung, (0.3, 0.6, 1.0), self.now))
        front.control.on_viewer_left(old, self.now)
        front.control.on_try_ended(old, Outcome.WITHDRAWN, True, None, None, None, self.now)
        front.playing[key] = pb
        front.mover.finish(key, True, self.now, None)
        self.count["moved"] += 1


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, value in (("fronts", 200), ("nodes", 60), ("playbacks", 1800), ("notice", 15), ("seed", 1)):
        parser.add_argument(f"--{name}", type=int, default=value)
    given = parser.parse_args()
    began = time.perf_counter()
    world = World(given.fronts, given.nodes, given.playbacks, given.notice * SECOND, given.seed)
    drained = [f"n{i}" for i in range(0, given.nodes, 5)]
    world.run(drained)
    warm = [n for n in world.machines if n not in drained and "+" not in n]
    cold = [n for n in world.machines if "+" in n]
    left = sum(len(world.machines[n].streams) for n in drained)
    where = f"{given.fronts} fronts, {given.nodes} nodes, {len(drained)} drain in {given.notice} s"
    print(f"{where}, seed {given.seed}")
    print(f"  {dict(world.count)}; left on draining nodes {left}")
    for what, some in (("warm", warm), ("cold", cold)):
        peaks = sorted(max(world.setups[n].values(), default=0) for n in some)
        total = sum(sum(world.setups[n].values()) for n in some)
        print(
            f"  {what} targets: {total} set-ups; busiest second: median {peaks[len(peaks) // 2]}, most {peaks[-1]}"
        )
    pace = 0.4 * 60 / (COLD_FOR / SECOND) * 4
    print(f"  a node that has just started stands {pace:.0f} set-ups a second for {WINDOW // SECOND} s")
    full = max(len(world.machines[n].streams) for n in warm + cold)
    asked = max(world.machines[n].link_load() for n in warm + cold)
    took = time.perf_counter() - began
    print(f"  fullest target: {full} of 60 places, {asked:.2f} of its link; {took:.1f} s of computing")


if __name__ == "__main__":
    main()
