"""Connections to playout nodes: their choice, races with answers and time-outs, silence and descriptors."""

from __future__ import annotations

import socket
import time
from functools import partial

import pytest
import trio
from platform_gates import (
    gate_connects,
    setup_count,
)
from platform_rig import A, B, C, PlatformRig, run_on_platform
from platform_stubs import StubNode, StubViewer
from rig import wait_until

from oakcroft.interface import MS, PlaybackState
from oakcroft.platform import connection
from oakcroft.platformwire import framing

PAUSE_SECONDS = 0.3
"""Longer than a try of the free plan may take, which is 160 ms."""

TIMERS_FIRE_SECONDS = 0.03
CONNECT_TIMEOUT_SECONDS = 0.25
CONNECTS = 20


def test_a_waiting_set_up_is_sent_on_a_connection_that_becomes_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """A set-up that waits for a connect is sent on a connection that becomes free first."""
    connect_gate = gate_connects(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        rig.add_list_change(2, rig.member(rig.nodes[1], "removed"))
        await wait_until(
            lambda: rig.coordinator.pools["n0"].node.status and set(rig.coordinator.pools) == {"n0"}
        )
        node, viewer = rig.nodes[0], await rig.viewer()
        node.script = ["silence"]
        await viewer.send_setup(A)
        await wait_until(lambda: setup_count(rig))
        connect_gate.close()
        await viewer.send_setup(B)
        await wait_until(lambda: rig.coordinator.pools["n0"].waiting_setups)
        await node.send(node.streams[0], msg="ready", sid=A, attrs={}, text="answer")
        assert (await viewer.receive() or ())[:2] == (framing.ANSWER, A)
        # B is sent on the connection that A has freed, while its own connect is still held back.
        assert (await viewer.receive() or ())[:2] == (framing.ANSWER, B)

    run_on_platform(test)


@pytest.mark.parametrize("repeated", ["ready", "close"])
def test_repeated_late_foreign_and_cancelled_answers_are_ignored(repeated: str) -> None:
    """Repeated and late answers, answers of another node, and answers to cancelled set-ups are ignored."""

    async def test(rig: PlatformRig) -> None:
        viewer, leaver = await rig.viewer(), await rig.viewer()
        await viewer.send_setup(A, "paid")
        assert (await viewer.receive() or ())[:2] == (framing.ANSWER, A)
        node = next(n for n in rig.nodes if n.received_messages("open", A))
        other = next(n for n in rig.nodes if n is not node)
        for n in rig.nodes:
            n.script = ["silence"]
        await leaver.send_setup(B, "paid")
        await wait_until(lambda: setup_count(rig, B))
        asked_node = next(n for n in rig.nodes if n.received_messages("open", B))
        leaver.leave("release", B)
        await wait_until(lambda: asked_node.received_messages("close", B))
        await asked_node.send(asked_node.streams[-1], msg=repeated, sid=B, attrs={}, text="late", code=47)
        await viewer.send_setup(C, at=other.name, wait="0")  # connects to the other node
        await wait_until(lambda: other.streams and C in rig.coordinator.sessions)
        await other.send(other.streams[0], msg=repeated, sid=A, attrs={}, text="of another node", code=16)
        await node.send(node.streams[0], msg="ready", sid=A, attrs={}, text="twice")
        await node.send(node.streams[0], msg=repeated, sid="f" * 16, attrs={}, text="of no session", code=34)
        await viewer.send(framing.TEST, "e" * 16, 0)
        assert (await viewer.receive() or ())[:2] == (framing.TESTED, "e" * 16)
        assert rig.coordinator.sessions[A].playback.state is PlaybackState.PLAYING
        assert setup_count(rig, B) == 1

    run_on_platform(test)


def test_a_connection_that_the_node_has_just_closed_is_not_chosen() -> None:
    """A connection that the node has just closed is not chosen for a set-up."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await viewer.send_setup(A)
        await viewer.receive()
        node = next(n for n in rig.nodes if n.received_messages("open"))
        pool = rig.coordinator.pools[node.name]
        session = rig.coordinator.sessions[A]
        node.streams[0].socket.close()  # the check follows without a turn of the event loop
        assert pool._least_used_connection() is None
        assert session.playback.state is PlaybackState.PLAYING

    run_on_platform(test)


def test_a_waiting_set_up_is_not_sent_to_a_former_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A set-up that waits for a connect is not sent to the former address of its node."""
    connect_gate = gate_connects(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer, (former, other) = await rig.viewer(), rig.nodes
        rig.add_list_change(2, rig.member(other, "removed"))
        await wait_until(lambda: set(rig.coordinator.pools) == {"n0"})
        connect_gate.close()
        await viewer.send_setup(A, "paid")
        await wait_until(lambda: rig.coordinator.pools["n0"].waiting_setups)
        rig.add_list_change(3, rig.member(other, "up", "n0") | {"up_since_ms": 1})
        await wait_until(lambda: rig.coordinator.pools["n0"].address[1] == other.port)
        connect_gate.open()
        assert (await viewer.receive() or ())[:2] in ((framing.ANSWER, A), (framing.RELEASE, A))
        assert not former.received_messages("open")

    run_on_platform(test)


@pytest.mark.parametrize("plan", ["paid", "free"])
def test_an_answer_in_the_step_of_its_time_out_gets_the_viewer_one_answer(plan: str) -> None:
    """A node's answer arrives in the same step in which the try times out: the viewer gets one answer."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for node in rig.nodes:
            node.script = ["silence"] * 3
        await viewer.send_setup(A, plan)
        await wait_until(lambda: setup_count(rig))
        node = next(n for n in rig.nodes if n.received_messages("open"))
        node.streams[0].socket._sock.send(b'{"msg":"ready","sid":"%b","attrs":{},"text":"x"}\n' % A.encode())  # type: ignore[attr-defined]
        session = rig.coordinator.sessions[A]
        # In one step with the answer.
        rig.coordinator._handle_event(partial(rig.coordinator._try_timed_out, session))
        for n in rig.nodes:
            n.script.clear()
        assert (await viewer.receive() or (0, ""))[1] == A
        await viewer.send(framing.TEST, C, 0)
        assert (await viewer.receive() or ())[:2] == (framing.TESTED, C)  # no second answer
        assert node.received_messages("close", A)

    run_on_platform(test)


def test_a_pause_of_the_front_end_does_not_end_a_try_as_late() -> None:
    """Guards against a second set-up, and a node taken out of use, for a try that fell due in a pause of the process."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for node in rig.nodes:
            node.script = ["silence"] * 3
        await viewer.send_setup(A, "free")
        await wait_until(lambda: setup_count(rig))
        time.sleep(PAUSE_SECONDS)  # blocks the process, as a pause does
        await trio.sleep(TIMERS_FIRE_SECONDS)
        node = next(n for n in rig.nodes if n.received_messages("open"))
        await node.send(node.streams[0], msg="ready", sid=A, attrs={}, text="x")
        assert (await viewer.receive() or ())[:2] == (framing.ANSWER, A)
        assert setup_count(rig) == 1
        assert "try:_late" not in rig.coordinator.counts

    run_on_platform(test)


def test_a_connection_that_comes_up_in_a_pause_of_the_front_end_is_used() -> None:
    """Guards against a node out of use, or taken for gone, for connects that fell due in a pause of the process."""

    async def test() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        sockets = list[socket.socket]()

        async def connect_to_node() -> None:
            address = listener.socket.getsockname()
            sockets.append(await connection.connect(address, CONNECT_TIMEOUT_SECONDS))

        async with trio.open_nursery() as nursery:
            for _ in range(CONNECTS):
                nursery.start_soon(connect_to_node)
            await trio.lowlevel.checkpoint()
            time.sleep(PAUSE_SECONDS)  # blocks the process, as a pause does
        assert len(sockets) == CONNECTS
        for sock in sockets:
            sock.close()
        await listener.aclose()

    trio.run(test)


@pytest.mark.parametrize(("report_interval_ms", "tolerated_ms"), [(1000.0, 1_800), (0.0, 4_000)])
def test_a_node_without_reports_may_be_silent_for_longer(
    report_interval_ms: float, tolerated_ms: int
) -> None:
    """Without reports, silence is tolerated for longer before another connection checks the node.

    Seen on the bench (piedmont-playback): 16,150 connections to nodes for 1,653 requests.
    """

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await viewer.send_setup(A)
        await viewer.receive()
        pool = next(p for p in rig.coordinator.pools.values() if p.playing_sessions)
        now, pool.last_connect_at = rig.coordinator.clock.now(), 0
        for silent_ms in (tolerated_ms - 100, tolerated_ms + 100):
            pool.liveness.last_activity_at = now - silent_ms * MS
            pool.maintain(now)
            assert pool.opening_count == (silent_ms > tolerated_ms)

    run_on_platform(test, info={"reportsEveryMs": report_interval_ms})


def test_connections_to_many_nodes_share_the_descriptors() -> None:
    """Connections to many nodes share a bounded number of descriptors, and all set-ups are still served."""

    async def test(rig: PlatformRig) -> None:
        rig.coordinator.node_pools.max_connections = 1
        viewer = await rig.viewer()
        for i in range(12):
            await viewer.send_setup(f"{i + 1:016x}", title=f"t{i}")
            assert (await viewer.receive() or (0,))[0] == framing.ANSWER
            assert sum(p.descriptor_count for p in rig.coordinator.pools.values()) <= 1
        assert all(node.received_messages("open") for node in rig.nodes)

    run_on_platform(test)


async def playing_session(rig: PlatformRig) -> tuple[StubViewer, StubNode]:
    """Returns the viewer of a playing session, and the node that it plays on."""
    viewer = await rig.viewer()
    await viewer.send_setup(A)
    assert (await viewer.receive() or (0,))[0] == framing.ANSWER
    return viewer, next(node for node in rig.nodes if node.received_messages("open", A))


async def release_towards_dead_connection(viewer: StubViewer, node: StubNode) -> None:
    """Lets a viewer end its session, whose close the node does not take from its connection; others are read."""
    never = node.may_read = trio.Event()
    await viewer.send(framing.RELEASE, A)
    await wait_until(lambda: never.statistics().tasks_waiting)  # the close has arrived
    node.may_read = trio.Event()
    node.may_read.set()


def test_a_close_lost_with_its_connection_is_sent_on_another() -> None:
    """Guards against a playback that goes on at its node since the viewer's release was written to a dying connection."""

    async def test(rig: PlatformRig) -> None:
        viewer, node = await playing_session(rig)
        await release_towards_dead_connection(viewer, node)
        await trio.aclose_forcefully(node.streams[0])
        await wait_until(lambda: node.received_messages("close", A))
        await node.send(node.streams[-1], msg="close", sid=A, attrs={}, code=31)
        await wait_until(lambda: not rig.coordinator.sessions)

    run_on_platform(test)


def test_a_close_that_the_node_does_not_confirm_is_sent_again_on_a_new_connection() -> None:
    """Guards against a playback that goes on at its node since the connection of the close was dead at the other end."""

    async def test(rig: PlatformRig) -> None:
        viewer, node = await playing_session(rig)
        await release_towards_dead_connection(viewer, node)
        await wait_until(lambda: node.received_messages("close", A))
        await node.send(node.streams[-1], msg="close", sid=A, attrs={}, code=31)
        await wait_until(lambda: not rig.coordinator.sessions)
        assert len(node.received_messages("close", A)) == 1

    run_on_platform(test)


@pytest.mark.parametrize("plan", ["paid", "free"])
def test_an_answer_of_a_removed_node_leaves_no_session_behind(plan: str) -> None:
    """Guards against sessions that are never released: they were answered after their node was removed (dense trial)."""

    async def test(rig: PlatformRig) -> None:
        for node in rig.nodes:
            node.script = ["silence"]
        viewer = await rig.viewer()
        await viewer.send_setup(A, plan)
        await wait_until(lambda: setup_count(rig))
        node = next(node for node in rig.nodes if node.received_messages("open"))
        rig.add_list_change(2, rig.member(node, "removed"), rig.member(node, "up", "n9"))
        await wait_until(lambda: "n9" in rig.coordinator.pools)
        await node.send(node.streams[0], msg="ready", sid=A, attrs={}, text="of a node that is gone")
        await wait_until(lambda: node.received_messages("close", A))
        reply = await viewer.receive()
        assert reply is not None
        assert reply[3] != b"of a node that is gone"
        if plan == "paid":
            assert reply[:2] == (framing.RELEASE, A)
        await wait_until(lambda: all(not pool.is_removed for pool in rig.coordinator.node_pools))
        assert all(
            session.pool in rig.coordinator.pools.values() for session in rig.coordinator.sessions.values()
        )

    run_on_platform(test)
