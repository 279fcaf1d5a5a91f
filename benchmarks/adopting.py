"""What taking over costs and gains: a whole fleet's decisions over simulated time, and processes with a front killed.

python -m benchmarks.adopting            simulated: 200 fronts, 200 nodes, 1 to 140 killed in one moment
python -m benchmarks.adopting processes  five fronts, two nodes, one and two killed, with and without (adopting …)
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import trio

from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.interface import SECOND
from oakcroft.rehearsal.takeover_simulation import NetworkConditions, TakeoverSimulation

ROWS = [
    (7, 5, 100, 1, 0.0),
    (50, 40, 40, 1, 0.0),
    (200, 200, 40, 1, 0.0),
    (200, 200, 40, 20, 0.0),
    (200, 200, 40, 140, 0.0),
    (200, 200, 40, 140, 0.05),
]
HEAD = ("fronts", "nodes", "playbacks each", "killed", "words lost", "outlive", "s without a front (p50, p99, most)",
        "most asks a node a second", "most held, and the mean", "ms of a core a front a second")  # fmt: skip


def at(some: list[int], part: float) -> float:
    """A quantile, in seconds."""
    return sorted(some)[min(len(some) - 1, int(part * len(some)))] / 1e9 if some else 0.0


def simulated() -> None:
    """A row for each size of loss."""
    print(" | ".join(HEAD))
    for fronts, nodes, each, killed, lose in ROWS:
        fleet = TakeoverSimulation(
            fronts, nodes, each, 1, TakeoverBounds(SECOND, 15 * SECOND, 1_000), NetworkConditions(loss=lose)
        )
        fleet.run(2)
        fleet.processor_seconds = 0.0
        fleet.kill([f"f{i}" for i in range(killed)])
        fleet.run(20)
        theirs = killed * each
        living = fronts - killed
        held = [sum(h.member == f.name for n in fleet.nodes for h in n.holder.values())
                for f in fleet.fronts.values() if not f.is_dead]  # fmt: skip
        mean = sum(held) / living
        assert not fleet.breaches, fleet.breaches[:3]
        delays, most_asks = fleet.takeover_delays, fleet.max_requests_per_second()
        print(f"{fronts} | {nodes} | {each} | {killed} | {lose:.0%} | {100 * len(delays) / theirs:.1f}% | "
              f"{at(delays, 0.5):.1f}, {at(delays, 0.99):.1f}, {at(delays, 1):.1f} | {most_asks} | "
              f"{max(held)} to {mean:.0f} | {1000 * fleet.processor_seconds / living / 20:.2f}")  # fmt: skip


async def killed(form: str, victims: list[str]) -> tuple[int, int, float]:
    """Kills fronts of five with 40 playbacks each: how many of theirs play 20 s later, of how many; and the longest time
    that one was without a front."""
    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    import signal

    import test_adopting
    import test_peers

    from oakcroft.rulecheck.session_ownership import takeover_delays

    class Fronts(test_adopting.TakeoverFronts):
        pass

    Fronts.adopting_form = form
    with tempfile.TemporaryDirectory() as folder:
        async with test_peers.fronts(Path(folder), 5, Fronts) as rig:
            assert isinstance(rig, Fronts)
            for node in rig.nodes.nodes.values():
                node.machine.playback_capacity = 400
            keys = [k for name in victims for k in await rig.start_playbacks(name, 14)]
            for name in victims:
                rig.signal(name, signal.SIGKILL)
            await trio.sleep(20)
            left = sum(k in rig.holders_by_key() for k in keys)
            after = takeover_delays(rig.facts("listens", "passed"))
            return left, len(keys), after[-1] if after else 0.0


def processes() -> None:
    """With and without, one and two killed."""
    for form in ("", "(adopting (after 200ms) (lease 15s))"):
        for victims in (["f1"], ["f1", "f2"]):
            left, of, longest = trio.run(killed, form, victims)
            said = f"{left} of {of} play on after 20 s, longest without a front {longest:.1f} s"
            print(f"{form or 'without':40} {len(victims)} killed: {said}")


if __name__ == "__main__":
    processes() if sys.argv[1:] == ["processes"] else simulated()
