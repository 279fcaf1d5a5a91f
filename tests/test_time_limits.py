"""Time limits that pauses of the process extend, so that these do not count against a node."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
import trio
import trio.testing
from rig import run_async_test, running_front_end, wait_until

from oakcroft.httpwire.time_limits import cancel_at_deadline
from oakcroft.interface import MS, SECOND

DEADLINE = 0.16
LAST_DEADLINE = 0.39
"""Seconds from the start."""

PAUSE_SECONDS = 0.3
"""Longer than a try of the test deployment may take, which is 160 ms."""

REQUESTS = 6
SETUP_DURATION_NS = 50 * MS
CREATED = 201
SIGNIFICANT_FAILURE_SCORE = 0.1


@pytest.mark.parametrize(("paused_seconds", "ended_at"), [(0.0, DEADLINE), (0.1, 0.26), (1.0, LAST_DEADLINE)])
def test_a_pause_extends_a_deadline_up_to_the_last_one(paused_seconds: float, ended_at: float) -> None:
    """The deadline moves by the pause that is found when it falls due, but not past the last one."""
    assert cancelled_at(DEADLINE, LAST_DEADLINE, [paused_seconds] * 2) == pytest.approx(ended_at)


def test_a_further_pause_extends_a_deadline_again() -> None:
    """A pause after the first deadline counts as well."""
    assert cancelled_at(DEADLINE, LAST_DEADLINE, [0.05, 0.15, 0.15]) == pytest.approx(DEADLINE + 0.15)


def test_a_deadline_past_the_last_one_is_kept() -> None:
    """A pause never makes the time shorter than it was to be."""
    assert cancelled_at(LAST_DEADLINE + 1, LAST_DEADLINE, [1.0]) == pytest.approx(LAST_DEADLINE + 1)


def cancelled_at(deadline: float, last_deadline: float, paused_seconds: list[float]) -> float:
    """Seconds after which a scope is cancelled; `paused_seconds` are the totals that are found one after the other."""

    async def run() -> float:
        start = trio.current_time()
        totals = iter(paused_seconds)
        with trio.CancelScope() as scope:
            await cancel_at_deadline(scope, start + deadline, start + last_deadline, lambda _: next(totals))
        assert scope.cancel_called
        return trio.current_time() - start

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_pause_of_the_front_end_does_not_count_against_its_nodes(tmp_path: Path) -> None:
    """Guards against rejections after a pause: the tries that were out ended as late, and their nodes got no more.

    The process is paused while it has set-ups out, for longer than their tries and connections may take.
    """

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as requests:
            statuses: list[int] = []

            async def request(name: str) -> None:
                statuses.append((await rig.request_playback(f"/whep/open/{name}")).status)

            for node in rig.fleet.nodes.values():
                node.setup_duration_ns = (SETUP_DURATION_NS, SETUP_DURATION_NS)
            for number in range(REQUESTS):
                requests.start_soon(request, f"before-{number}")
            await wait_until(lambda: any(node.machine.pending_setups for node in rig.fleet.nodes.values()))
            time.sleep(PAUSE_SECONDS)  # blocks the process, as a pause does
            await wait_until(lambda: len(statuses) == REQUESTS)
            assert statuses == [CREATED] * REQUESTS
            now = rig.fleet.clock.now()
            scores = [
                node.failure_score.read(now, SECOND) for node in rig.coordinator().node_list.nodes.values()
            ]
            assert max(scores) < SIGNIFICANT_FAILURE_SCORE
            assert len(rig.recorded("setup")) == REQUESTS

    run_async_test(test)
