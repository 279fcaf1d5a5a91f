"""Measures session takeover: the decisions of a whole simulated fleet, and real processes of which some are killed.

python -m benchmarks.session_takeover            simulated: up to 200 fronts and 200 nodes, 1 to 140 fronts killed at once
python -m benchmarks.session_takeover processes  five fronts, two nodes, one and two killed, with and without (adopting …)
"""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import trio

from benchmarks.results import quantile
from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.interface import SECOND
from oakcroft.rehearsal.takeover_simulation import NetworkConditions, TakeoverSimulation


class Case(NamedTuple):
    """One row of the table of simulated fleets."""

    fronts: int
    nodes: int
    playbacks_each: int
    """Of each front."""
    killed_count: int
    loss: float
    """Share of the messages."""


CASES = (
    Case(7, 5, 100, 1, 0.0),
    Case(50, 40, 40, 1, 0.0),
    Case(200, 200, 40, 1, 0.0),
    Case(200, 200, 40, 20, 0.0),
    Case(200, 200, 40, 140, 0.0),
    Case(200, 200, 40, 140, 0.05),
)
HEAD = (
    "fronts",
    "nodes",
    "playbacks each",
    "killed",
    "words lost",
    "outlive",
    "s without a front (p50, p99, most)",
    "most asks a node a second",
    "most held, and the mean",
    "ms of a core a front a second",
)
OBSERVED_S = 20
"""How long takeovers are observed after the kill."""


def quantile_s(values_ns: list[int], share: float) -> float:
    """Returns a quantile in seconds, 0 if there are no values."""
    return quantile(values_ns, share) / SECOND if values_ns else 0.0


def simulate_case(case: Case) -> TakeoverSimulation:
    """Simulates a fleet for `OBSERVED_S` after the kill."""
    fleet = TakeoverSimulation(
        case.fronts,
        case.nodes,
        case.playbacks_each,
        1,
        TakeoverBounds(SECOND, 15 * SECOND, 1_000),
        NetworkConditions(loss=case.loss),
    )
    fleet.run(2)
    fleet.processor_seconds = 0.0
    fleet.kill([f"f{i}" for i in range(case.killed_count)])
    fleet.run(OBSERVED_S)
    return fleet


def print_simulated() -> None:
    """Prints the table of simulated fleets."""
    print(" | ".join(HEAD))
    for case in CASES:
        fleet = simulate_case(case)
        orphan_count = case.killed_count * case.playbacks_each
        live_count = case.fronts - case.killed_count
        held = [
            sum(holder.member == front.name for node in fleet.nodes for holder in node.holders.values())
            for front in fleet.fronts.values()
            if not front.is_dead
        ]
        mean_held = sum(held) / live_count
        assert not fleet.breaches, fleet.breaches[:3]
        delays = fleet.takeover_delays
        cells = (
            f"{case.fronts}",
            f"{case.nodes}",
            f"{case.playbacks_each}",
            f"{case.killed_count}",
            f"{case.loss:.0%}",
            f"{100 * len(delays) / orphan_count:.1f}%",
            ", ".join(f"{quantile_s(delays, share):.1f}" for share in (0.5, 0.99, 1)),
            f"{fleet.max_requests_per_second()}",
            f"{max(held)} to {mean_held:.0f}",
            f"{1000 * fleet.processor_seconds / live_count / OBSERVED_S:.2f}",
        )
        print(" | ".join(cells))


async def kill_fronts(form: str, victims: list[str]) -> tuple[int, int, float]:
    """Kills some of five fronts.

    Returns how many of their playbacks play 20 s later, how many there were, and the longest time in seconds that a
    playback had no front.
    """
    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    import test_takeover_processes
    import test_peers

    from oakcroft.rulecheck.session_ownership import takeover_delays

    class Fronts(test_takeover_processes.TakeoverFronts):
        """Fronts with this form for takeovers in their configuration."""

        takeover_form = form

    with tempfile.TemporaryDirectory() as folder:
        async with test_peers.fronts(Path(folder), 5, Fronts) as rig:
            assert isinstance(rig, Fronts)
            for node in rig.nodes.nodes.values():
                node.machine.playback_capacity = 400
            keys = [key for name in victims for key in await rig.start_playbacks(name, 14)]
            for name in victims:
                rig.signal(name, signal.SIGKILL)
            await trio.sleep(OBSERVED_S)
            playing_count = sum(key in rig.holders_by_key() for key in keys)
            delays = takeover_delays(rig.facts("listens", "passed"))
            return playing_count, len(keys), delays[-1] if delays else 0.0


def print_processes() -> None:
    """Prints the results with and without takeover, for one and two killed fronts."""
    for form in ("", "(adopting (after 200ms) (lease 15s))"):
        for victims in (["f1"], ["f1", "f2"]):
            playing_count, count, longest_s = trio.run(kill_fronts, form, victims)
            result = (
                f"{playing_count} of {count} play on after 20 s, longest without a front {longest_s:.1f} s"
            )
            print(f"{form or 'without':40} {len(victims)} killed: {result}")


if __name__ == "__main__":
    print_processes() if sys.argv[1:] == ["processes"] else print_simulated()
