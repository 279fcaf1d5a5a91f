"""Races around set-ups, answers and releases, forced over real connections.

Tasks of the front end are held back while its peers act, or act within one step of the event loop.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import pytest
import trio
import trio.testing
from platform_rig import SETTINGS, PlatformRig, run_on_platform
from platform_stubs import StubNode, StubViewer
from rig import wait_until

from oakcroft.decisions.fleet.node_list_freshness import NodeListFreshness
from oakcroft.decisions.fleet.shutdown import FrontState, Shutdown
from oakcroft.interface import MS, SECOND, NodeStatus, PlaybackState
from oakcroft.platform import (
    channel_follower,
    connection as connection_module,
    session_coordinator,
    node_pool,
    serve,
    viewer_connection,
)
from oakcroft.platform.connection import BufferedConnection
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platformwire import framing

A, B, C = "000000000000000a", "000000000000000b", "000000000000000c"
FAILED, REFUSED, OVER = 41, 42, 16
WAYS_TO_LEAVE = ("close", "reset", "half-close", "release")


class Gate:
    """Holds back a task of the front end while it is closed."""

    def __init__(self) -> None:
        """Creates an open gate."""
        self.released = trio.Event()
        self.released.set()

    def close(self) -> None:
        """Holds the task back at its next step."""
        self.released = trio.Event()

    def open(self) -> None:
        """Lets the task continue."""
        self.released.set()


def gate_coordinator(monkeypatch: pytest.MonkeyPatch) -> Gate:
    """Returns a gate before the coordinator's inbox, which is closed as on a front end that is behind."""
    gate = Gate()

    async def handle_all(inbox: Any, handle: Callable[[Any], None]) -> None:
        async for event in inbox:
            await gate.released.wait()
            handle(event)

    monkeypatch.setattr(session_coordinator, "handle_events", handle_all)
    return gate


def gate_connects(monkeypatch: pytest.MonkeyPatch) -> Gate:
    """Returns a gate before connects to nodes."""
    gate = Gate()
    connect = connection_module.connect

    async def late(address: tuple[str, int], within: float) -> socket.socket:
        await gate.released.wait()
        return await connect(address, within)

    monkeypatch.setattr(node_pool, "connect", late)
    return gate


def gate_viewer_readers(monkeypatch: pytest.MonkeyPatch) -> Gate:
    """Returns a gate before the tasks that read viewers' connections."""
    gate = Gate()
    wait = viewer_connection.ViewerConnection.wait_for_data

    async def late(connection: viewer_connection.ViewerConnection) -> None:
        await wait(connection)
        await gate.released.wait()

    monkeypatch.setattr(viewer_connection.ViewerConnection, "wait_for_data", late)
    return gate


def setup_count(rig: PlatformRig, sid: str = A) -> int:
    """Returns how many set-ups of a session have reached nodes."""
    return sum(len(node.received_messages("open", sid)) for node in rig.nodes)


def has_no_open_setups(rig: PlatformRig) -> bool:
    """Returns whether no table holds anything of an open set-up."""
    coordinator = rig.coordinator
    connections = [connection for pool in coordinator.pools.values() for connection in pool.connections]
    held: list[Any] = [coordinator.queued_requests, *(p.waiting_setups for p in coordinator.pools.values())]
    held += [
        [session for session in coordinator.sessions.values() if not session.began_at],
        [session for session in coordinator.sessions_by_playback.values() if not session.began_at],
    ]
    held += [connection.pending_setups for connection in connections] + [
        connection.queued_requests or connection.open_setups for connection in coordinator.viewer_connections
    ]
    return not any(held) and coordinator.setup_count == coordinator.description_chars == 0


async def check_cleaned_up(rig: PlatformRig) -> None:
    """Checks that a set-up whose viewer left is cleaned up, and that another viewer is served."""
    await wait_until(lambda: has_no_open_setups(rig))
    other = await rig.viewer()
    await other.send_setup(C)
    assert (await other.receive() or (0,))[0] == framing.ANSWER


# Viewers that have left: no set-up is sent for them.


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
            assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, REFUSED)
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
        await wait_until(lambda: A in rig.coordinator.queued_requests)
        if not leaving_is_read:
            reader_gate.close()
        viewer.leave(how, A)
        if leaving_is_read:
            await wait_until(lambda: rig.coordinator.queued_requests[A].withdrawn)
        coordinator_gate.open()
        await wait_until(lambda: not rig.coordinator.queued_requests and not rig.coordinator.setup_count)
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


async def fill_send_buffer(connection: BufferedConnection, message: bytes) -> None:
    """Sends a message until the kernel accepts no more, so that whatever follows stays in the send buffer."""
    full_rounds = 0
    while full_rounds < 5:
        connection._flush()  # the kernel may accept some before it reports the socket as writable
        full_rounds = full_rounds + 1 if connection.send_buffer else 0
        while not connection.send_buffer:
            connection.write(message)
        await trio.sleep(0.02)


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
def test_a_set_up_in_unsent_bytes_is_taken_back_whole(how: str) -> None:
    """A set-up in the send buffer of a node that does not read is removed when it can no longer succeed.

    Its viewer leaves, its time runs out, or the node drains. Other set-ups on the connection are not affected.
    """

    async def test(rig: PlatformRig) -> None:
        node, connection = await node_with_full_connection(rig)
        viewer, later = await rig.viewer(), await rig.viewer()
        await viewer.send_setup(A, "paid", wait="300" if how == "late" else "1000")
        await wait_until(lambda: len(connection.pending_setups) == 1)
        await later.send_setup(C, "paid", wait="2000")
        await wait_until(lambda: len(connection.pending_setups) == 2)
        if how == "drains":
            rig.add_list_change(3, rig.member(node, "draining"))
        elif how != "late":
            viewer.leave(how, A)
        await wait_until(lambda: A not in rig.coordinator.sessions)
        assert len(connection.pending_setups) == (0 if how == "drains" else 1)
        node.may_read.set()
        if how == "late" or how == "drains":
            assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, REFUSED)  # no try ran
        if how != "drains":
            assert (await later.receive() or (0,))[0] == framing.ANSWER
        assert setup_count(rig) == 0
        assert B in rig.coordinator.sessions

    run_on_platform(test)


def test_hundreds_under_one_id_taken_back_and_sent_again_are_set_up_once_at_most() -> None:
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


def test_a_playback_ended_in_the_same_read_as_its_handing_over_ends_at_its_node(
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
            lambda: A in rig.coordinator.queued_requests and rig.coordinator.queued_requests[A].withdrawn
        )
        coordinator_gate.open()
        await wait_until(lambda: rig.nodes[0].received_messages("close", A))

    run_on_platform(test)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("plan", ["paid", "free"])
def test_an_answer_for_a_client_that_left_ends_at_its_node(
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
def test_a_playback_whose_connection_ends_in_the_same_read_as_its_handing_over_plays_on(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A playback is not tied to the connection on which its viewer hands it over."""
    coordinator_gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        coordinator_gate.close()
        await viewer.send_setup(A, at="n0", wait="0")
        await wait_until(lambda: A in rig.coordinator.queued_requests)
        viewer.leave(how)
        await wait_until(lambda: not rig.coordinator.viewer_connections)
        coordinator_gate.open()
        await wait_until(lambda: A in rig.coordinator.sessions and rig.nodes[0].streams)
        assert rig.coordinator.sessions[A].playback.state is PlaybackState.PLAYING
        assert not rig.nodes[0].received_messages("close")

    run_on_platform(test)


# Shutdown.


@pytest.mark.parametrize("where", ["kernel", "socket", "inbox"])
@pytest.mark.parametrize("plays", [True, False])
def test_what_came_by_the_stop_is_answered(where: str, plays: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Set-ups that wait in the kernel, a socket or the inbox at the stop signal are answered before the exit."""
    monkeypatch.setattr(serve, "ACCEPT_AFTER_STOP_NS", 100 * MS)
    coordinator_gate, reader_gate = gate_coordinator(monkeypatch), gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        if plays:
            await (first := await rig.viewer()).send_setup(B)
            await first.receive()
        viewer = await rig.viewer()
        await wait_until(lambda: viewer is not None and len(rig.coordinator.viewer_connections) == 1 + plays)
        (reader_gate if where == "socket" else coordinator_gate).close()
        if where == "kernel":
            assert rig.platform.viewer_server is not None
            coordinator_gate.open()
            rig.stop.set()
            await wait_until(lambda: rig.coordinator.setups_close_at < session_coordinator.NEVER)
            raw = socket.create_connection(("127.0.0.1", rig.port))  # in one step with closing the listener
            raw.send(viewer.encode_setup(A))
            rig.platform.viewer_server.stop()
            raw.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
            viewer = StubViewer(stream, rig.facts, rig.answered_ids)
        else:
            viewer.send_setup_now(A)
            await wait_until(lambda: where == "socket" or A in rig.coordinator.queued_requests)
            rig.stop.set()
            with trio.move_on_after(0.5):  # the front end must not exit meanwhile
                await rig.ended.wait()
            assert not rig.ended.is_set()
        coordinator_gate.open()
        reader_gate.open()
        assert (await viewer.receive() or (0, ""))[:2] in ((framing.ANSWER, A), (framing.RELEASE, A))

    run_on_platform(test)


def test_an_answer_behind_a_slow_reader_is_read_whole_before_the_front_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process waits a while for answers in a send buffer before it exits."""
    monkeypatch.setattr(serve, "ACCEPT_AFTER_STOP_NS", 0)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await wait_until(lambda: rig.coordinator.viewer_connections)
        connection = next(iter(rig.coordinator.viewer_connections))
        await fill_send_buffer(connection, framing.encode(framing.PROGRESS, C, (framing.TEXT, b"x" * 8_000)))
        # The final answer is queued behind the data above.
        await viewer.send_setup(A, "paid", p115=b"x", p101=b"nan")
        await wait_until(lambda: rig.coordinator.counts)
        queued_bytes = len(connection.send_buffer)
        rig.stop.set()
        await wait_until(lambda: rig.coordinator.setups_close_at < session_coordinator.NEVER)
        assert queued_bytes
        with trio.move_on_after(serve.FLUSH_TIMEOUT_NS / SECOND / 2):  # nothing else is due or plays
            await rig.ended.wait()
        message = await viewer.receive()
        while message is not None and message[1] != A:
            message = await viewer.receive()
        assert (message or ())[:3] == (framing.RELEASE, A, FAILED)
        await rig.ended.wait()

    run_on_platform(test)


def test_a_stop_before_the_list_is_confirmed_ends_a_front_that_nobody_has_reached() -> None:
    """A stop signal before the list is confirmed ends the process, which never listens."""

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = True
        rig.nursery.start_soon(rig.start)
        await wait_until(lambda: rig.channel.polls == [1])
        rig.stop.set()
        await rig.ended.wait()
        with pytest.raises(OSError, match=r"."):
            await trio.open_tcp_stream("127.0.0.1", rig.platform.port)

    run_on_platform(test, started=False)


def test_a_stop_that_crosses_the_listening_finds_none_reached_or_owes_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The stop signal arrives after the list is confirmed and before the front end starts to listen.

    It must then end without listening, since a viewer that reached it would not be answered.
    """
    coordinator_gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        coordinator_gate.close()
        rig.nursery.start_soon(rig.start)
        await wait_until(lambda: hasattr(rig, "platform") and rig.platform.channel_follower is not None)
        await wait_until(lambda: rig.platform.channel_follower.confirmed.is_set())  # type: ignore[union-attr]
        with pytest.raises(OSError, match=r"."):
            await trio.open_tcp_stream("127.0.0.1", rig.platform.port)
        rig.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        coordinator_gate.open()
        await rig.ended.wait()
        assert not rig.platform.serving.is_set()

    run_on_platform(test, started=False)


def test_set_ups_after_the_listening_are_refused_and_none_waits_past_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Late set-ups are rejected, and the waits of open ones are cut to the process's end."""
    monkeypatch.setattr(serve, "ACCEPT_AFTER_STOP_NS", 50 * MS)
    monkeypatch.setattr(serve, "MIN_LONGEST_ABANDON_NS", 100 * MS)
    monkeypatch.setattr(serve, "MIN_DRAIN_NS", 0)

    async def test(rig: PlatformRig) -> None:
        for node in rig.nodes:
            node.script = ["silence"] * 4
        viewer = await rig.viewer()
        rig.stop.set()
        await wait_until(lambda: rig.coordinator.setups_close_at < session_coordinator.NEVER)
        await viewer.send_setup(A, wait="1500")
        await wait_until(lambda: A in rig.coordinator.sessions)
        assert rig.coordinator.sessions[A].playback.abandon_at <= rig.coordinator.last_answer_at
        await wait_until(lambda: rig.coordinator.clock.now() > rig.coordinator.setups_close_at)
        await viewer.send_setup(B)
        assert (await viewer.receive() or ())[:3] == (framing.RELEASE, B, REFUSED)
        assert (await viewer.receive() or ())[:2] == (framing.RELEASE, A)
        await rig.ended.wait()

    run_on_platform(test)


@pytest.mark.parametrize("longest_abandon_ns", [SECOND, 3 * SECOND, 5 * SECOND, 9 * SECOND])
@pytest.mark.parametrize(
    ("unanswered", "playing", "unsent"), [(1, 0, 1), (0, 1, 0), (0, 1, 1), (0, 0, 1), (0, 0, 0)]
)
def test_a_front_has_ended_before_it_is_killed_whatever_holds_it(
    longest_abandon_ns: int, unanswered: int, playing: int, unsent: int
) -> None:
    """The process exits before the platform kills it, whatever is still open, and soon if nothing is."""
    drain_ns = max(serve.MIN_DRAIN_NS, longest_abandon_ns)
    kill_after = max(serve.MIN_LONGEST_ABANDON_NS, longest_abandon_ns) + serve.KILL_DELAY_NS
    shutdown = Shutdown(drain_ns, serve.FLUSH_TIMEOUT_NS, drain_ns, kill_after - serve.EXIT_BEFORE_KILL_NS)
    now = SECOND
    shutdown.start_serving(0)
    shutdown.handle_stop_signal(now)
    state = FrontState.DRAINING
    while state is not FrontState.GONE:
        now += 50 * MS
        state = shutdown.advance(unanswered, playing, unsent, now)
        shutdown.handle_stop_signal(now)  # a repeated signal in every state
    assert now - SECOND < kill_after - 50 * MS
    if not (unanswered or unsent or playing):
        assert now - SECOND <= 200 * MS


# Connections.


def test_a_set_up_that_waits_takes_a_connection_that_comes_free(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_viewer_whose_set_up_is_arriving_is_not_the_one_that_makes_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An unread set-up in the socket protects its connection from eviction."""
    reader_gate = gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        requesting, idle = await rig.viewer(), await rig.viewer()
        await wait_until(lambda: len(viewers.connections) == 2)
        reader_gate.close()
        requesting.send_setup_now(A, "paid")
        assert viewers._make_room()
        reader_gate.open()
        assert (await requesting.receive() or (0,))[0] == framing.ANSWER
        assert await idle.receive() is None
        assert setup_count(rig) == 1

    run_on_platform(test)


async def idle_client(rig: PlatformRig) -> StubViewer:
    """Returns a client that has sent one message, got its answer, and keeps its connection open."""
    client = await rig.viewer()
    await client.send(framing.TEST, C, 0)
    assert (await client.receive() or (0,))[0] == framing.TESTED
    return client


async def playing_viewer(rig: PlatformRig, sid: str) -> tuple[StubViewer, StubNode]:
    """Returns a viewer with a playing session, and the node that it plays on."""
    viewer = await rig.viewer()
    await viewer.send_setup(sid)
    assert (await viewer.receive() or (0,))[0] == framing.ANSWER
    return viewer, next(node for node in rig.nodes if node.received_messages("open", sid))


def test_a_crowd_that_asks_once_and_stays_closes_no_connection_with_a_session() -> None:
    """Connections without sessions are evicted before those with sessions."""

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        viewer, node = await playing_viewer(rig, A)
        idle_clients = [await idle_client(rig) for _ in range(viewers.max_connections + 3)]
        assert viewers.shed_count == 4
        assert [await client.receive() for client in idle_clients[:4]] == [None] * 4
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        assert await viewer.receive() == (framing.RELEASE, A, OVER, b"")

    run_on_platform(test)


def test_a_newcomer_does_not_close_the_one_before_it_whose_set_up_is_on_its_way() -> None:
    """A new connection is not evicted for the next one before its first request can arrive."""

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        idle_clients = [await idle_client(rig) for _ in range(viewers.max_connections)]
        newcomers = [await rig.viewer() for _ in range(3)]
        await wait_until(lambda: viewers.shed_count == 3)
        for client, sid in zip(newcomers, (A, B, "0" * 15 + "d"), strict=True):
            await client.send_setup(sid)
            assert (await client.receive() or (0,))[0] == framing.ANSWER
        assert [await client.receive() for client in idle_clients[:3]] == [None] * 3

    run_on_platform(test)


def test_an_end_whose_connection_has_gone_goes_to_one_that_was_served_and_to_no_stranger() -> None:
    """A release prefers connections on which a set-up was answered."""

    async def test(rig: PlatformRig) -> None:
        first = await idle_client(rig)
        viewer, node = await playing_viewer(rig, A)
        other, _ = await playing_viewer(rig, B)
        await viewer.stream.aclose()
        await wait_until(lambda: len(rig.coordinator.viewer_connections) == 2)
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        assert await other.receive() == (framing.RELEASE, A, OVER, b"")
        await other.send(framing.RELEASE_CONFIRMED, A)
        await wait_until(lambda: len(rig.coordinator.releases.unconfirmed) == 0)
        await first.send(framing.TEST, C, 0)
        assert (await first.receive() or (0,))[0] == framing.TESTED  # and no release before it

    run_on_platform(test)


@pytest.mark.parametrize("is_unsent", [False, True], ids=["strangers there", "strangers come"])
def test_an_end_that_strangers_do_not_confirm_is_sent_again_until_a_viewer_hears_it(is_unsent: bool) -> None:
    """A release that is not confirmed is sent again on other connections."""

    async def test(rig: PlatformRig) -> None:
        idle_clients = [] if is_unsent else [await idle_client(rig), await idle_client(rig)]
        viewer, node = await playing_viewer(rig, A)
        await viewer.stream.aclose()
        await wait_until(lambda: len(rig.coordinator.viewer_connections) == len(idle_clients))
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        if is_unsent:
            await wait_until(lambda: rig.coordinator.releases.unsent)
            idle_clients = [await rig.viewer(), await rig.viewer()]
        for client in idle_clients:
            assert await client.receive() == (framing.RELEASE, A, OVER, b"")
        late = await rig.viewer()
        assert await late.receive() == (framing.RELEASE, A, OVER, b"")
        await late.send(framing.RELEASE_CONFIRMED, A)
        await wait_until(lambda: len(rig.coordinator.releases.unconfirmed) == 0)

    run_on_platform(test)


def test_a_front_that_stood_still_does_not_hold_it_against_those_who_spoke(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection is not closed as overdue while its message lies unread because the front end was paused."""
    reader_gate = gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await wait_until(lambda: rig.coordinator.viewer_connections)
        reader_gate.close()
        next(iter(rig.coordinator.viewer_connections)).idle_since = 0
        viewer.send_setup_now(A)
        with trio.move_on_after(0.3):
            await rig.ended.wait()
        reader_gate.open()
        assert (await viewer.receive() or (0,))[0] == framing.ANSWER

    run_on_platform(test)


@pytest.mark.parametrize("repeated", ["ready", "close"])
def test_answers_twice_late_of_others_and_to_what_was_given_up_change_nothing(repeated: str) -> None:
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
        await node.send(node.streams[0], msg=repeated, sid="f" * 16, attrs={}, text="of nobody", code=34)
        await viewer.send(framing.TEST, "e" * 16, 0)
        assert (await viewer.receive() or ())[:2] == (framing.TESTED, "e" * 16)
        assert rig.coordinator.sessions[A].playback.state is PlaybackState.PLAYING
        assert setup_count(rig, B) == 1

    run_on_platform(test)


def test_a_connection_closed_in_the_step_in_which_a_set_up_is_chosen_for_it_carries_none() -> None:
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


# A command channel that fails.


@pytest.mark.parametrize("corruption", ["half", "break", "again", "back"])
def test_an_answer_of_the_channel_that_is_none_neither_undoes_news_nor_keeps_it(corruption: str) -> None:
    """Damaged answers are not applied: half an answer, a break within one, and cursors that repeat or go back."""
    # An event counts as delivered 2 s after the wait that the poll asked for.
    assert channel_follower.POLL_OVERDUE_S < 2

    async def test(rig: PlatformRig) -> None:
        follower = rig.platform.channel_follower
        assert follower is not None
        rig.add_list_change(2, rig.member(rig.nodes[0], "draining"))
        await wait_until(lambda: follower.last_cursor == 2)
        rig.channel.cmds[0]["nodes"]["members"][0]["phase"] = "up"
        rig.channel.corruptions = [corruption]
        rig.add_list_change(3, rig.member(rig.nodes[1], "draining"))
        await wait_until(lambda: rig.channel.corrupted_count and follower.last_cursor == 3, 6)
        assert all(pool.node.status is NodeStatus.DRAINING for pool in rig.coordinator.pools.values())
        assert rig.channel.polls[-1] == 3

    run_on_platform(test)


def test_an_answer_to_a_question_that_was_given_up_is_not_heard() -> None:
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


def test_a_set_up_that_waits_for_an_address_its_node_has_left_is_not_sent_there(
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
def test_a_node_that_answers_in_the_instant_in_which_its_time_is_up_is_answered_once(plan: str) -> None:
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
        rig.coordinator._handle_event(
            partial(rig.coordinator._try_timed_out, session, len(session.playback.tries))
        )
        for n in rig.nodes:
            n.script.clear()
        assert (await viewer.receive() or (0, ""))[1] == A
        await viewer.send(framing.TEST, C, 0)
        assert (await viewer.receive() or ())[:2] == (framing.TESTED, C)  # no second answer
        assert node.received_messages("close", A)

    run_on_platform(test)


@pytest.mark.parametrize(("report_interval_ms", "tolerated_ms"), [(1000.0, 1_800), (0.0, 4_000)])
def test_a_node_that_tells_nothing_unasked_is_not_taken_for_silent(
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
            pool.last_activity_at = now - silent_ms * MS
            pool.maintain(now)
            assert pool.opening_count == (silent_ms > tolerated_ms)

    run_on_platform(test, info={"reportsEveryMs": report_interval_ms})


# Descriptors.


def test_more_nodes_than_descriptors_leave_the_channel_and_viewers_theirs() -> None:
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


# Tests that need a process of their own.


@asynccontextmanager
async def running_process(
    rig: PlatformRig, overrides: dict[str, Any], folder: Path, max_files: int = 0
) -> AsyncIterator[trio.Process]:
    """Runs the program as the platform starts it, with a limit of descriptors if given; kills it at the end."""
    rig.channel.port = rig.channel.port or await rig.listen(rig.channel.serve)
    for node in rig.nodes:
        node.port = node.port or await rig.listen(node.serve)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        rig.port = probe.getsockname()[1]
    config_file = folder / "config.json"
    config_file.write_bytes(
        orjson.dumps(rig.configuration() | {"listen": f"127.0.0.1:{rig.port}"} | overrides)
    )
    limits = (
        partial(resource.setrlimit, resource.RLIMIT_NOFILE, (max_files, max_files)) if max_files else None
    )
    command = [sys.executable, "-m", "oakcroft", "platform"]
    env = {**os.environ, "PROXY_CONFIG": str(config_file)}
    running = await trio.lowlevel.open_process(command, env=env, stdout=subprocess.DEVNULL, preexec_fn=limits)
    try:
        yield running
    finally:
        if running.poll() is None:
            running.kill()
        await running.wait()


async def connect_when_listening(rig: PlatformRig) -> StubViewer:
    """Connects a viewer as soon as the front end listens."""
    while True:
        try:
            return await rig.viewer()
        except OSError:
            await trio.sleep(0.02)


def test_idle_clients_that_fill_all_while_the_channel_is_down_leave_it_and_good_ones_their_descriptors(
    tmp_path: Path,
) -> None:
    """Idle connections must not take the descriptors of the command channel and of new viewers.

    Tested with the least limit that a configuration may give, as a limit of the process too.
    """

    async def test(rig: PlatformRig) -> None:
        configuration = {"limits": {"sockets": 64, "memory_mb": 64, "cores": 1.0}}
        async with running_process(rig, configuration, tmp_path, max_files=64) as running:
            await connect_when_listening(rig)
            rig.channel.is_silent = True
            rig.channel.polls.clear()
            await wait_until(lambda: rig.channel.polls)
            # Those that get no connection slot are closed, or wait in the kernel.
            idle = [await rig.viewer() for _ in range(200)]
            for client in idle[::2]:
                with suppress(trio.BrokenResourceError):
                    await client.stream.send_all(b"\x00\x20\x01")
            rig.add_list_change(2, rig.member(rig.nodes[0], "draining"))
            rig.channel.is_silent = False
            rig.channel.polls.clear()
            with trio.fail_after(3):
                viewer = await rig.viewer()
                await viewer.send_setup(A)
                assert (await viewer.receive() or (0,))[0] == framing.ANSWER
            await wait_until(lambda: 2 in rig.channel.polls)
            for i in range(8):
                await viewer.send_setup(f"{i + 1:016x}", title=f"t{i}")
                assert (await viewer.receive() or (0,))[0] == framing.ANSWER
            assert running.poll() is None
            assert setup_count(rig, "0" * 15 + "8") == 1
            assert not rig.nodes[0].received_messages("open", "0" * 15 + "8")

    run_on_platform(test, started=False)


@pytest.mark.parametrize("when", ["before the list", "serving", "twice", "with a reload"])
def test_a_process_told_to_stop_ends_in_order(when: str, tmp_path: Path) -> None:
    """The process answers what is open and exits with code 0."""

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = when == "before the list"
        async with running_process(rig, {}, tmp_path) as running:
            if rig.channel.is_silent:
                await wait_until(lambda: rig.channel.polls)
            else:
                for node in rig.nodes:
                    node.script = ["silence"]
                viewer = await connect_when_listening(rig)
                await viewer.send_setup(A, "paid")
                await wait_until(lambda: setup_count(rig))
            if when == "with a reload":
                running.send_signal(signal.SIGHUP)
            running.send_signal(signal.SIGTERM)
            if when == "with a reload":
                running.send_signal(signal.SIGHUP)
            if when == "twice":
                running.send_signal(signal.SIGTERM)
            if not rig.channel.is_silent:
                assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, FAILED)
            with trio.fail_after(serve.ACCEPT_AFTER_STOP_NS / SECOND + 2):  # soon after the last answer
                assert await running.wait() == 0

    run_on_platform(test, started=False)


def test_thirty_fronts_together_keep_the_pace_of_cold_nodes_also_when_some_start_again(
    tmp_path: Path,
) -> None:
    """Thirty processes with their own clocks and lists keep the common pace of set-ups to cold nodes.

    All nodes count as cold, since no front end has heard of them, and a third of the front ends restart.
    """
    window_s = 1.0
    capacity = 40
    cold_s = 6.0
    rules = SETTINGS["rules"] | {
        "coldMs": 1000 * cold_s,
        "fallMultiple": 4.0,
        "overloadForMs": 1000 * window_s,
    }
    setup_budget = 4.0 * SETTINGS["rules"]["coldShare"] * capacity / cold_s * window_s
    info = SETTINGS["familyInfo"] | {"kindSlots": [capacity]}

    async def front(rig: PlatformRig, index: int, process_count: int) -> None:
        """Runs one front end and its viewer, which requests again as soon as it is answered or rejected."""
        own_rig = PlatformRig(rig.nursery)
        own_rig.nodes, own_rig.channel = rig.nodes, rig.channel
        settings = SETTINGS | {"balancers": 30, "me": index, "rules": rules, "familyInfo": info}
        for process_number in range(process_count):
            (tmp_path / f"{index}").mkdir(exist_ok=True)
            async with running_process(own_rig, {"settings": settings}, tmp_path / f"{index}"):
                viewer = await connect_when_listening(own_rig)
                with trio.move_on_after(4 / process_count):
                    for i in range(1_000):
                        await viewer.send_setup(f"{index:04x}{process_number:04x}{i:08x}", title=f"t{i % 7}")
                        await viewer.receive(10)
                        await trio.sleep(0.1)

    async def test(rig: PlatformRig) -> None:
        rig.channel.port = await rig.listen(rig.channel.serve)
        for node in rig.nodes:
            node.port = await rig.listen(node.serve)
        async with trio.open_nursery() as nursery:
            for index in range(30):
                nursery.start_soon(front, rig, index, 2 if index % 3 == 0 else 1)
        for node in rig.nodes:
            times = [f["t"] / SECOND for f in rig.facts if f["kind"] == "setup" and f["node"] == node.name]
            fullest_window = max(
                sum(1 for sent_at in times if last - window_s < sent_at <= last) for last in times
            )
            assert fullest_window <= setup_budget + 2 * setup_budget**0.5 + 2
            assert len(times) > setup_budget / 2  # a front end that sends nothing would keep any pace

    run_on_platform(test, started=False, within=90)


# Readiness.


@pytest.mark.parametrize(
    ("start_duration", "wait_s"), [(0, 8), (SECOND // 2, 8), (3 * SECOND, 6), (20 * SECOND, 1)]
)
def test_a_front_that_started_slowly_waits_for_its_list_no_longer_than_its_readiness_allows(
    start_duration: int, wait_s: int
) -> None:
    """The wait for the list shrinks with the time the process took to start."""
    assert NodeListFreshness(100 * SECOND, start_duration).opens_at_latest == (100 + wait_s) * SECOND
