"""A command channel that sends damaged answers or falls silent."""

from __future__ import annotations

from contextlib import suppress

import pytest
from platform_rig import PlatformRig, run_on_platform
from rig import wait_until

from oakcroft.interface import NodeStatus
from oakcroft.platform import channel_follower

DELIVERY_TIMEOUT_S = 2  # after the wait that a poll asks for, an event counts as delivered


@pytest.mark.parametrize("corruption", ["half", "break", "again", "back"])
def test_damaged_channel_answers_neither_undo_nor_withhold_changes(corruption: str) -> None:
    """Damaged answers are not applied: half an answer, a break within one, and cursors that repeat or go back."""
    assert channel_follower.POLL_OVERDUE_S < DELIVERY_TIMEOUT_S

    async def test(rig: PlatformRig) -> None:
        follower = rig.platform.channel_follower
        assert follower is not None
        first_cursor, second_cursor = 2, 3
        rig.add_list_change(first_cursor, rig.member(rig.nodes[0], "draining"))
        await wait_until(lambda: follower.last_cursor == first_cursor)
        rig.channel.cmds[0]["nodes"]["members"][0]["phase"] = "up"
        rig.channel.corruptions = [corruption]
        rig.add_list_change(second_cursor, rig.member(rig.nodes[1], "draining"))
        await wait_until(lambda: rig.channel.corrupted_count and follower.last_cursor == second_cursor, 6)
        assert all(pool.node.status is NodeStatus.DRAINING for pool in rig.coordinator.pools.values())
        assert rig.channel.polls[-1] == second_cursor

    run_on_platform(test)


def test_an_answer_to_an_abandoned_poll_is_ignored() -> None:
    """An answer on the connection of an abandoned poll is ignored."""

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = True
        rig.channel.polls.clear()
        await wait_until(lambda: rig.channel.polls)
        abandoned_stream = rig.channel.stream
        await wait_until(lambda: rig.channel.stream is not abandoned_stream, 6)
        current_stream, rig.channel.stream = rig.channel.stream, abandoned_stream
        with suppress(OSError):
            rig.channel.answer_now(2, rig.member(rig.nodes[0], "draining"))
        rig.channel.stream = current_stream
        rig.channel.answer_now(2, rig.member(rig.nodes[1], "draining"))
        await wait_until(lambda: rig.coordinator.pools["n1"].node.status is NodeStatus.DRAINING)
        assert rig.coordinator.pools["n0"].node.status is NodeStatus.READY

    run_on_platform(test)
