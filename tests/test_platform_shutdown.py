"""The stop signal at each point of a front end's life, and the wait for the node list at its start."""

from __future__ import annotations

import socket

import pytest
import trio
import trio.testing
from platform_gates import fill_send_buffer, gate_coordinator, gate_viewer_readers
from platform_rig import FAILED, REJECTED, A, B, C, PlatformRig, run_on_platform
from platform_stubs import StubViewer
from rig import wait_until

from oakcroft.decisions.fleet.node_list_freshness import NodeListFreshness
from oakcroft.decisions.fleet.shutdown import FrontState, Shutdown
from oakcroft.interface import MS, SECOND
from oakcroft.platform import serve, session_coordinator
from oakcroft.platformwire import framing


@pytest.mark.parametrize("where", ["kernel", "socket", "inbox"])
@pytest.mark.parametrize("plays", [True, False])
def test_set_ups_received_by_the_stop_signal_are_answered(
    where: str, plays: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
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
            await wait_until(lambda: where == "socket" or A in rig.coordinator.request_queue.requests)
            rig.stop.set()
            with trio.move_on_after(0.5):  # the front end must not exit meanwhile
                await rig.ended.wait()
            assert not rig.ended.is_set()
        coordinator_gate.open()
        reader_gate.open()
        assert (await viewer.receive() or (0, ""))[:2] in ((framing.ANSWER, A), (framing.RELEASE, A))

    run_on_platform(test)


def test_a_buffered_answer_is_flushed_before_the_exit(
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


def test_a_stop_before_the_list_is_confirmed_ends_a_front_end_that_never_listened() -> None:
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


def test_a_stop_just_before_listening_ends_the_front_end_without_listening(
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


def test_late_set_ups_are_rejected_and_open_ones_end_before_the_exit(
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
        assert (await viewer.receive() or ())[:3] == (framing.RELEASE, B, REJECTED)
        assert (await viewer.receive() or ())[:2] == (framing.RELEASE, A)
        await rig.ended.wait()

    run_on_platform(test)


@pytest.mark.parametrize("longest_abandon_ns", [SECOND, 3 * SECOND, 5 * SECOND, 9 * SECOND])
@pytest.mark.parametrize(
    ("unanswered", "playing", "unsent"), [(1, 0, 1), (0, 1, 0), (0, 1, 1), (0, 0, 1), (0, 0, 0)]
)
def test_a_front_end_exits_before_it_is_killed_whatever_is_open(
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


@pytest.mark.parametrize(
    ("start_duration", "wait_s"), [(0, 8), (SECOND // 2, 8), (3 * SECOND, 6), (20 * SECOND, 1)]
)
def test_the_wait_for_the_list_shrinks_with_the_startup_time(start_duration: int, wait_s: int) -> None:
    """The wait for the list shrinks with the time the process took to start."""
    assert NodeListFreshness(100 * SECOND, start_duration).opens_at_latest == (100 + wait_s) * SECOND


def test_after_the_stop_signal_requests_are_answered_and_playbacks_go_on() -> None:
    """Requests after the stop signal are served, and no playback is ended at its node."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await viewer.send_setup(A)
        await viewer.receive()
        rig.stop.set()
        late = await rig.viewer()
        await late.send_setup(B)
        assert (await late.receive() or (0,))[0] == framing.ANSWER
        await rig.ended.wait()
        assert not any(node.received_messages("close") for node in rig.nodes)

    run_on_platform(test)
