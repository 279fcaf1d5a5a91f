"""Changes on the command channel while a front end starts or serves, and a channel that fails."""

from __future__ import annotations

import time
from contextlib import suppress
from functools import partial
from pathlib import Path

import orjson
import pytest
import trio
from platform_rig import FAILED, A, B, PlatformRig, rule_breaches, run_on_platform
from rig import wait_until

from oakcroft.decisions.fleet import node_list_freshness
from oakcroft.interface import MS, SECOND, NodeStatus
from oakcroft.platform import channel_follower
from oakcroft.platform.playback_session import SetupRequest
from oakcroft.platformwire import framing

TOLD_AFTER_S = 6  # after a call that was given up, a change counts as told
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
        await wait_until(lambda: rig.channel.polls[-1] == second_cursor)  # in the poll that follows

    run_on_platform(test)


async def two_polls(rig: PlatformRig, silences: int) -> tuple[trio.SocketStream, trio.SocketStream]:
    """Returns the connections of an overdue poll and of the next, after as many overdue polls."""
    rig.channel.is_silent = True
    overdue = rig.channel.stream
    for _ in range(silences):
        overdue = rig.channel.stream
        await wait_until(lambda: rig.channel.stream is not overdue, 6)  # noqa: B023
    assert overdue is not None
    assert rig.channel.stream is not None
    return overdue, rig.channel.stream


def test_an_answer_to_an_abandoned_poll_is_ignored() -> None:
    """An answer on the connection of an abandoned poll, the first that is overdue, is ignored."""

    async def test(rig: PlatformRig) -> None:
        abandoned_stream, current_stream = await two_polls(rig, 1)
        rig.channel.stream = abandoned_stream
        with suppress(OSError):
            rig.channel.answer_now(2, rig.member(rig.nodes[0], "draining"))
        rig.channel.stream = current_stream
        rig.channel.answer_now(2, rig.member(rig.nodes[1], "draining"))
        await wait_until(lambda: rig.coordinator.pools["n1"].node.status is NodeStatus.DRAINING)
        assert rig.coordinator.pools["n0"].node.status is NodeStatus.READY

    run_on_platform(test)


def test_an_answer_to_a_kept_poll_does_not_undo_later_changes() -> None:
    """An answer to an overdue poll that is read beside the next one is ignored once a later one was applied."""

    async def test(rig: PlatformRig) -> None:
        follower = rig.platform.channel_follower
        assert follower is not None
        kept_stream, current_stream = await two_polls(rig, 2)
        assert follower.kept_connections
        rig.channel.stream = current_stream
        earlier_cursor, later_cursor = 2, 3
        rig.channel.answer_now(later_cursor, rig.member(rig.nodes[0], "draining"))
        await wait_until(lambda: rig.coordinator.pools["n0"].node.status is NodeStatus.DRAINING)
        rig.channel.stream = kept_stream
        rig.channel.answer_now(earlier_cursor, rig.member(rig.nodes[0], "up"))
        await wait_until(lambda: not follower.kept_connections)
        assert rig.coordinator.pools["n0"].node.status is NodeStatus.DRAINING
        assert follower.last_cursor == later_cursor

    run_on_platform(test)


@pytest.mark.parametrize("answers_late_by", [0.5, 1.5, 2.5, 4.0])
def test_a_slow_channel_is_heard_within_6_s(answers_late_by: float) -> None:
    """Guards against set-ups at draining nodes since each call is given up before its answer (review/3)."""

    async def test(rig: PlatformRig) -> None:
        follower = rig.platform.channel_follower
        assert follower is not None
        rig.channel.answers_late_by = answers_late_by
        rig.channel.polls.clear()
        await wait_until(lambda: len(rig.channel.polls) > 1, 2 * TOLD_AFTER_S)
        for cursor in (2, 3):
            rig.add_list_change(cursor, rig.member(rig.nodes[cursor - 2], "draining"))
            await wait_until(lambda expected=cursor: follower.last_cursor == expected, TOLD_AFTER_S)  # type: ignore[misc]
        rig.channel.answers_late_by = 0.0
        await wait_until(lambda: follower.freshness.is_current, TOLD_AFTER_S)
        assert all(pool.node.status is NodeStatus.DRAINING for pool in rig.coordinator.pools.values())

    run_on_platform(test)


def test_a_silent_channel_is_asked_again_within_2_s_of_the_wait() -> None:
    """Guards against drains heard too late since a channel that has stopped is waited for as if it were slow."""

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = True
        rig.channel.polls.clear()
        for _ in range(3):
            await wait_until(lambda: rig.channel.polls, DELIVERY_TIMEOUT_S + 1)
            rig.channel.polls.clear()

    run_on_platform(test)


def test_the_list_changes_while_serving_and_a_new_node_may_take_an_address() -> None:
    """Removals, drains and restarts on the command channel apply while it is served, also after a damaged
    answer.

    A new node that takes the address of a removed one is a different node.
    """

    async def test(rig: PlatformRig) -> None:
        viewer, (gone, stays) = await rig.viewer(), rig.nodes
        await viewer.send_setup(A, at="n0", wait="0")
        await wait_until(lambda: A in rig.coordinator.sessions and rig.coordinator.pools["n0"].connections)
        rig.channel.truncated_answers = 1
        rig.add_list_change(2, rig.member(gone, "removed"), rig.member(gone, "up", "n0b"))
        assert await viewer.receive() == (framing.RELEASE, A, FAILED, b"")
        await wait_until(lambda: set(rig.coordinator.pools) == {"n0b", "n1"})
        rig.channel.is_silent = True
        await wait_until(lambda: rig.channel.polls.count(2) > 1)
        rig.channel.is_silent = False
        drain_cursor = 3
        rig.add_list_change(drain_cursor, rig.member(stays, "draining"))
        await wait_until(lambda: rig.channel.polls[-1] == drain_cursor)
        await viewer.send_setup(B)
        assert (await viewer.receive() or (0,))[0] == framing.ANSWER
        assert not stays.received_messages("open")
        assert rig.coordinator.pools["n0b"].playing_sessions
        rig.add_list_change(
            4, rig.member(stays, "removed"), rig.member(gone, "up", "n0b") | {"up_since_ms": 10**13}
        )
        assert await viewer.receive() == (framing.RELEASE, B, FAILED, b"")  # its node was restarted
        await wait_until(lambda: set(rig.coordinator.pools) == {"n0b"})

    run_on_platform(test)


def test_a_reload_applies_the_channel_address_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """A reload applies the channel's new address; a file that is not valid JSON has no effect."""

    async def test(rig: PlatformRig) -> None:
        rig.platform.configuration_file = tmp_path / "config.json"
        rig.platform.configuration_file.write_bytes(b"{")
        await rig.platform.reload()
        configuration = rig.configuration()
        rig.channel.polls.clear()
        await wait_until(lambda: rig.channel.polls)
        old, rig.channel.port = rig.channel, await rig.listen(rig.channel.serve)
        rig.platform.configuration_file.write_bytes(
            orjson.dumps(configuration | {"channel": f"127.0.0.1:{old.port}"})
        )
        await rig.platform.reload()
        assert rig.platform.channel_follower is not None
        assert rig.platform.channel_follower.address[1] == old.port
        rig.add_list_change(2, rig.member(rig.nodes[0], "removed"))
        await wait_until(lambda: set(rig.coordinator.pools) == {"n1"})

    run_on_platform(test)


def test_a_starting_front_end_sends_nothing_to_a_node_that_began_to_drain() -> None:
    """A front end that starts must not serve on the list from before its start.

    Seen on the bench (herd+mass): front ends served for 4 to 106 ms on the old list.
    """

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = True  # the command channel is slow to answer
        rig.nursery.start_soon(rig.start)
        await wait_until(lambda: rig.channel.polls == [1])
        with pytest.raises(OSError, match=r"."):
            await trio.open_tcp_stream("127.0.0.1", rig.platform.port)  # not listening yet
        drains = rig.member(rig.nodes[0], "draining")
        rig.channel.cmds.append({"cursor": 2, "nodes": {"complete": False, "members": [drains]}})
        rig.channel.is_silent = False
        await wait_until(lambda: rig.port)
        viewer = await rig.viewer()
        reply_kinds = list[int]()
        for i in range(8):
            await viewer.send_setup(f"{i:016x}", "free", title=f"t{i}")
            reply_kinds.append((await viewer.receive() or (0,))[0])
        assert framing.ANSWER in reply_kinds
        assert not rig.nodes[0].received_messages("open")
        assert rule_breaches(rig) == []

    run_on_platform(test, started=False)


def test_a_front_end_that_starts_without_the_channel_uses_the_known_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If the command channel does not answer, the front end serves on the known list after a time."""
    monkeypatch.setattr(node_list_freshness, "MAX_LIST_WAIT", 300 * MS)

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = True
        await rig.start()
        assert not rig.platform.channel_follower.freshness.is_confirmed  # type: ignore[union-attr]
        viewer = await rig.viewer()
        await viewer.send_setup(A, "free")
        reply = await viewer.receive()
        assert reply is not None
        assert reply[0] == framing.ANSWER

    run_on_platform(test, started=False)


def test_list_changes_are_applied_before_queued_set_ups() -> None:
    """A list change takes effect before the set-ups that wait in the inbox of a front end that is behind."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await wait_until(lambda: rig.coordinator.viewer_connections)
        connection, coordinator = next(iter(rig.coordinator.viewer_connections)), rig.coordinator
        for i in range(100, 124):
            await viewer.send_setup(f"{i:016x}", title=f"t{i}")
            await viewer.receive()
        before = [len(node.received_messages("open")) for node in rig.nodes]
        assert all(before)  # an open connection to each node, so that a set-up is sent at once
        for pool in coordinator.pools.values():
            pool.max_connections = 1
        rig.channel.is_silent = True
        rig.channel.polls.clear()
        await wait_until(lambda: rig.channel.polls)
        now = coordinator.clock.now()
        for i in range(24):  # half a second of work, and the requests that arrive meanwhile
            coordinator.event_sender.send_nowait(partial(time.sleep, 0.02))
            coordinator.request_received(
                SetupRequest(connection, f"{i:016x}", now, "free", SECOND, f"t{i}", 0, 0, 2, "offer", "")
            )
        rig.channel.answer_now(2, rig.member(rig.nodes[0], "draining"))
        for _ in range(24):
            await viewer.receive()
        assert len(rig.nodes[1].received_messages("open")) > before[1]
        assert len(rig.nodes[0].received_messages("open")) <= before[0] + 2  # those of one turn of the loop

    run_on_platform(test)


def test_a_channel_that_closes_after_each_answer_does_not_count_as_failing() -> None:
    """Connections that the channel closes after an answer do not count as failures."""

    async def test(rig: PlatformRig) -> None:
        rig.channel.closes_after_answer = True
        for cursor in (2, 3, 4):
            rig.add_list_change(cursor, rig.member(rig.nodes[0], "draining" if cursor % 2 == 0 else "up"))
            await wait_until(lambda expected=cursor: rig.platform.channel_follower.last_cursor == expected)  # type: ignore[misc,union-attr]
        assert rig.coordinator.pools["n0"].node.status is NodeStatus.DRAINING
        assert rig.platform.channel_follower is not None
        assert rig.platform.channel_follower.freshness.is_current

    run_on_platform(test)
