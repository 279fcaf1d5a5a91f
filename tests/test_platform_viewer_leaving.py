"""Viewers that leave while their set-up is under way, forced at each point over real connections.

Tasks of the front end are held back while its peers act, or act within one step of the event loop. Nothing is set
up for a viewer that has left, and what was set up meanwhile is ended at its node.
"""

from __future__ import annotations

import pytest
import trio
from platform_gates import (
    check_cleaned_up,
    fill_send_buffer,
    gate_connects,
    gate_coordinator,
    gate_viewer_readers,
    has_no_open_setups,
    setup_count,
)
from platform_rig import FAILED, REJECTED, A, B, C, PlatformRig, run_on_platform
from platform_stubs import StubNode, StubViewer
from rig import wait_until

from oakcroft.interface import NodeStatus, PlaybackState
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platformwire import framing

WAYS_TO_LEAVE = ("close", "reset", "half-close", "release")


@pytest.mark.parametrize("plan", ["paid", "free"])
@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_nothing_is_sent_for_a_client_that_left_before_its_set_up_was_read(how: str, plan: str) -> None:
    """The set-up and the viewer's leaving arrive in one read, as after a pause of the front end."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        viewer.send_setup_now(A, plan)
        viewer.leave(how, A)
        await wait_until(lambda: rig.coordinator.counts.get("try:_viewer_gone", 0) or has_no_open_setups(rig))
        if how == "half-close":  # it still reads, so it is answered at once
            assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, REJECTED)
        await check_cleaned_up(rig)
        assert setup_count(rig) == 0

    run_on_platform(test)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("leaving_is_read", [True, False], ids=["its leaving read", "its leaving unread"])
def test_nothing_is_sent_for_a_client_that_left_while_its_set_up_waited_behind_others(
    how: str, leaving_is_read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The viewer leaves while its request waits in the inbox, seen or not yet seen by its connection's task."""
    coordinator_gate, reader_gate = gate_coordinator(monkeypatch), gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer, other = await rig.viewer(), await rig.viewer()
        await other.send_setup(B)
        await other.receive()
        coordinator_gate.close()
        for _ in range(1_000):
            rig.coordinator.event_sender.send_nowait(lambda: None)
        await viewer.send_setup(A, "paid")
        await wait_until(lambda: A in rig.coordinator.request_queue.requests)
        if not leaving_is_read:
            reader_gate.close()
        viewer.leave(how, A)
        if leaving_is_read:
            await wait_until(lambda: rig.coordinator.request_queue.requests[A].withdrawn)
        coordinator_gate.open()
        await wait_until(
            lambda: not rig.coordinator.request_queue.requests and not rig.coordinator.setup_count
        )
        reader_gate.open()
        await check_cleaned_up(rig)
        assert setup_count(rig) == 0
        assert rig.coordinator.sessions[B].playback.state is PlaybackState.PLAYING  # other playbacks go on

    run_on_platform(test)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_nothing_is_sent_for_a_client_that_left_while_a_connection_was_opened(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The viewer leaves while its set-up waits for a connect to a node."""
    connect_gate, reader_gate = gate_connects(monkeypatch), gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        connect_gate.close()
        await viewer.send_setup(A, "paid")
        await wait_until(lambda: any(pool.waiting_setups for pool in rig.coordinator.pools.values()))
        reader_gate.close()
        viewer.leave(how, A)
        connect_gate.open()
        await wait_until(lambda: rig.coordinator.counts.get("try:_viewer_gone"))
        reader_gate.open()
        await check_cleaned_up(rig)
        assert setup_count(rig) == 0

    run_on_platform(test)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_further_try_follows_for_a_client_that_left(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The viewer leaves before a refusal that would allow another try."""
    reader_gate = gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for node in rig.nodes:
            node.script = ["silence"]
        await viewer.send_setup(A, "paid")
        await wait_until(lambda: setup_count(rig))
        first = next(n for n in rig.nodes if n.received_messages("open"))
        reader_gate.close()
        viewer.leave(how, A)
        # The node is full, so another try would be allowed.
        await first.send(first.streams[0], msg="close", sid=A, attrs={}, code=34)
        await wait_until(lambda: rig.coordinator.counts.get("try:_viewer_gone"))
        reader_gate.open()
        for node in rig.nodes:
            node.script.clear()
        await check_cleaned_up(rig)
        assert setup_count(rig) == 1

    run_on_platform(test)


async def node_with_full_connection(rig: PlatformRig) -> tuple[StubNode, NodeConnection]:
    """Returns a node that no longer reads, and its only connection, whose send buffer is full."""
    first = await rig.viewer()
    await first.send_setup(B)
    await first.receive()
    node = next(n for n in rig.nodes if n.received_messages("open"))
    other = next(n for n in rig.nodes if n is not node)
    rig.add_list_change(2, rig.member(other, "draining"))
    await wait_until(lambda: rig.coordinator.pools[other.name].node.status is NodeStatus.DRAINING)
    pool = rig.coordinator.pools[node.name]
    node.may_read = trio.Event()
    pool.max_connections = 1
    await fill_send_buffer(
        pool.connections[0], b'{"msg":"trying","sid":"","attrs":{"x":"%b"}}\n' % (b"x" * 8_000)
    )
    return node, pool.connections[0]


@pytest.mark.parametrize("how", ["close", "release", "late", "drains"])
def test_a_set_up_in_the_send_buffer_is_retracted(how: str) -> None:
    """A set-up in the send buffer of a node that does not read is removed when it can no longer succeed.

    Its viewer leaves, its time runs out, or the node drains. Other set-ups on the connection are not affected.
    """

    async def test(rig: PlatformRig) -> None:
        node, connection = await node_with_full_connection(rig)
        viewer, later = await rig.viewer(), await rig.viewer()
        await viewer.send_setup(A, "paid", wait="300" if how == "late" else "1000")
        await wait_until(lambda: len(connection.pending_setups) == 1)
        await later.send_setup(C, "paid", wait="2000")
        await wait_until(lambda: len(connection.pending_setups) == len((viewer, later)))
        if how == "drains":
            rig.add_list_change(3, rig.member(node, "draining"))
        elif how != "late":
            viewer.leave(how, A)
        await wait_until(lambda: A not in rig.coordinator.sessions)
        assert len(connection.pending_setups) == (0 if how == "drains" else 1)
        node.may_read.set()
        if how == "late" or how == "drains":
            assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, REJECTED)  # no try ran
        if how != "drains":
            assert (await later.receive() or (0,))[0] == framing.ANSWER
        assert setup_count(rig) == 0
        assert B in rig.coordinator.sessions

    run_on_platform(test)


def test_a_paid_set_up_repeated_under_its_id_runs_at_most_once() -> None:
    """A paid set-up that was sent is not repeated under the same id after its release."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for node in rig.nodes:
            node.script = ["silence"] * 10
        await viewer.send_setup(A, "paid")
        await wait_until(lambda: setup_count(rig))
        for _ in range(300):
            viewer.leave("release", A)
            viewer.send_setup_now(A, "paid")
        viewer.leave("release", A)
        await wait_until(lambda: has_no_open_setups(rig))
        other = await rig.viewer()
        await other.send_setup(A, "paid")
        assert (await other.receive() or ())[:3] == (framing.RELEASE, A, FAILED)
        await wait_until(lambda: has_no_open_setups(rig))
        assert setup_count(rig) == 1

    run_on_platform(test)


def test_a_playback_ended_in_the_same_read_as_its_handover_is_closed_at_its_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The release of a playback may wait in the inbox behind its own handover; the node still gets the close."""
    coordinator_gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        coordinator_gate.close()
        viewer.send_setup_now(A, at="n0", wait="0")
        viewer.leave("release", A)
        await wait_until(
            lambda: (
                A in rig.coordinator.request_queue.requests
                and rig.coordinator.request_queue.requests[A].withdrawn
            )
        )
        coordinator_gate.open()
        await wait_until(lambda: rig.nodes[0].received_messages("close", A))

    run_on_platform(test)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("plan", ["paid", "free"])
def test_a_playback_answered_for_a_client_that_left_is_closed_at_its_node(
    how: str, plan: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A playback whose viewer left before the node's answer is closed at the node."""
    reader_gate = gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for node in rig.nodes:
            node.script = ["silence"]
        await viewer.send_setup(A, plan)
        await wait_until(lambda: setup_count(rig))
        node = next(n for n in rig.nodes if n.received_messages("open"))
        reader_gate.close()
        viewer.leave(how, A)
        await node.send(node.streams[0], msg="ready", sid=A, attrs={}, text="answer")
        await wait_until(lambda: node.received_messages("close", A))
        reader_gate.open()
        await wait_until(lambda: has_no_open_setups(rig))
        assert not rig.coordinator.sessions

    run_on_platform(test)


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_a_playback_whose_connection_ends_in_the_same_read_as_its_handover_plays_on(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A playback is not tied to the connection on which its viewer hands it over."""
    coordinator_gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        coordinator_gate.close()
        await viewer.send_setup(A, at="n0", wait="0")
        await wait_until(lambda: A in rig.coordinator.request_queue.requests)
        viewer.leave(how)
        await wait_until(lambda: not rig.coordinator.viewer_connections)
        coordinator_gate.open()
        await wait_until(lambda: A in rig.coordinator.sessions and rig.nodes[0].streams)
        assert rig.coordinator.sessions[A].playback.state is PlaybackState.PLAYING
        assert not rig.nodes[0].received_messages("close")

    run_on_platform(test)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_playback_handed_over_in_vain_is_released_on_another_connection(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a release that is written to the connection of the handover only, which has closed by then."""
    coordinator_gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer, other = await rig.viewer(), await rig.viewer()
        coordinator_gate.close()
        await viewer.send_setup(A, at="unknown", wait="0")
        await wait_until(lambda: A in rig.coordinator.request_queue.requests)
        viewer.leave(how)
        await wait_until(lambda: len(rig.coordinator.viewer_connections) == 1)
        coordinator_gate.open()
        assert (await other.receive() or ())[:3] == (framing.RELEASE, A, FAILED)

    run_on_platform(test)


def test_a_playback_handed_over_twice_at_once_plays_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a release for the second handover, sent while the first still waits in the inbox."""
    coordinator_gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer, other = await rig.viewer(), await rig.viewer()
        coordinator_gate.close()
        for connection in (viewer, other):
            await connection.send_setup(A, at="n0", wait="0")
            await connection.send(framing.TEST, C, 0)
            assert (await connection.receive() or ())[:2] == (framing.TESTED, C)  # and no release before it
        coordinator_gate.open()
        await wait_until(lambda: A in rig.coordinator.sessions)

    run_on_platform(test)


async def viewer_with_full_connection(rig: PlatformRig, room: int) -> tuple[StubViewer, StubNode]:
    """Returns a viewer that does not read, whose set-up waits for the node's answer, and the node.

    Its connection takes at most `room` bytes more.
    """
    viewer = await rig.viewer()
    for node in rig.nodes:
        node.script = ["silence"]
    await viewer.send_setup(A, "paid")
    await wait_until(lambda: setup_count(rig))
    connection = next(iter(rig.coordinator.viewer_connections))
    padding = framing.encode(framing.PROGRESS, C, (framing.TEXT, b"x" * 1_000))
    await fill_send_buffer(connection, padding)
    while len(connection.send_buffer) < connection.max_buffered_bytes - room:
        connection.send_buffer += b"x"
        connection.queued_bytes += 1
    return viewer, next(node for node in rig.nodes if node.received_messages("open"))


@pytest.mark.parametrize("room", [10, 4_000], ids=["dropped", "buffered"])
def test_a_playback_whose_answer_never_left_is_closed_at_its_node(room: int) -> None:
    """Guards against a playback that no viewer knows of, as its answer was still here when the connection ended."""

    async def test(rig: PlatformRig) -> None:
        viewer, node = await viewer_with_full_connection(rig, room)
        await node.send(node.streams[-1], msg="ready", sid=A, attrs={}, text="answer")
        is_buffered = room > len("answer") + framing.LENGTH_BYTES + framing.MIN_MESSAGE_LENGTH
        if is_buffered:
            await wait_until(lambda: rig.coordinator.sessions[A].began_at)
            viewer.leave("reset")
        await wait_until(lambda: node.received_messages("close", A))
        await node.send(node.streams[-1], msg="close", sid=A, attrs={}, code=31)
        await wait_until(lambda: not rig.coordinator.sessions)
        assert has_no_open_setups(rig)

    run_on_platform(test)
