"""Viewer connections: which one is evicted for a new one, and on which one a release is sent."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
import trio
from platform_gates import (
    gate_viewer_readers,
    setup_count,
)
from platform_rig import ENDED, A, B, C, PlatformRig, run_on_platform
from platform_stubs import StubNode, StubViewer
from rig import wait_until

from oakcroft.decisions.sessions.release_delivery import MAX_ATTEMPTS_WITHOUT_EVIDENCE
from oakcroft.platformwire import framing


def test_a_connection_with_an_unread_set_up_is_not_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An unread set-up in the socket protects its connection from eviction."""
    reader_gate = gate_viewer_readers(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        requesting, idle = clients = await rig.viewer(), await rig.viewer()
        await wait_until(lambda: len(viewers.connections) == len(clients))
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


def test_idle_clients_do_not_evict_connections_with_sessions() -> None:
    """Connections without sessions are evicted before those with sessions."""

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        viewer, node = await playing_viewer(rig, A)
        excess = 4  # connections over the limit, with that of the playing viewer
        idle_clients = [await idle_client(rig) for _ in range(viewers.max_connections - 1 + excess)]
        assert viewers.shed_count == excess
        assert [await client.receive() for client in idle_clients[:excess]] == [None] * excess
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        assert await viewer.receive() == (framing.RELEASE, A, ENDED, b"")

    run_on_platform(test)


def test_a_new_connection_is_not_evicted_before_its_first_request() -> None:
    """A new connection is not evicted for the next one before its first request can arrive."""

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        idle_clients = [await idle_client(rig) for _ in range(viewers.max_connections)]
        sids = (A, B, "0" * 15 + "d")
        new_clients = [await rig.viewer() for _ in sids]
        await wait_until(lambda: viewers.shed_count == len(sids))
        for client, sid in zip(new_clients, sids, strict=True):
            await client.send_setup(sid)
            assert (await client.receive() or (0,))[0] == framing.ANSWER
        assert [await client.receive() for client in idle_clients[: len(sids)]] == [None] * len(sids)

    run_on_platform(test)


def test_a_release_prefers_connections_that_were_served() -> None:
    """A release prefers connections on which a set-up was answered."""

    async def test(rig: PlatformRig) -> None:
        first = await idle_client(rig)
        viewer, node = await playing_viewer(rig, A)
        other, _ = await playing_viewer(rig, B)
        await viewer.stream.aclose()
        await wait_until(lambda: len(rig.coordinator.viewer_connections) == len((first, other)))
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        assert await other.receive() == (framing.RELEASE, A, ENDED, b"")
        await other.send(framing.RELEASE_CONFIRMED, A)
        await wait_until(lambda: not rig.coordinator.releases.delivery.owed)
        await first.send(framing.TEST, C, 0)
        assert (await first.receive() or (0,))[0] == framing.TESTED  # and no release before it

    run_on_platform(test)


@pytest.mark.parametrize(
    "is_unsent", [False, True], ids=["other connections open", "other connections open later"]
)
def test_an_unconfirmed_release_is_resent_on_other_connections(is_unsent: bool) -> None:
    """A release that is not confirmed is sent again on other connections."""

    async def test(rig: PlatformRig) -> None:
        idle_clients = [] if is_unsent else [await idle_client(rig), await idle_client(rig)]
        viewer, node = await playing_viewer(rig, A)
        await viewer.stream.aclose()
        await wait_until(lambda: len(rig.coordinator.viewer_connections) == len(idle_clients))
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        if is_unsent:
            await wait_until(lambda: rig.coordinator.releases.delivery.waiting_count)
            idle_clients = [await rig.viewer(), await rig.viewer()]
        for client in idle_clients:
            assert await client.receive() == (framing.RELEASE, A, ENDED, b"")
        late = await rig.viewer()
        assert await late.receive() == (framing.RELEASE, A, ENDED, b"")
        await late.send(framing.RELEASE_CONFIRMED, A)
        await wait_until(lambda: not rig.coordinator.releases.delivery.owed)

    run_on_platform(test)


async def connect_silent_clients(rig: PlatformRig, count: int) -> list[StubViewer]:
    """Returns clients that have connected at the same moment and say nothing, once they have their places."""
    server = rig.platform.viewer_server
    assert server is not None
    expected_count = server.shed_count + max(0, len(server.connections) + count - server.max_connections)
    clients = [await rig.viewer() for _ in range(count)]
    await wait_until(lambda: server.shed_count >= expected_count)
    return clients


async def wait_until_received(clients: list[StubViewer], count: int) -> None:
    """Waits until clients that say nothing have received a number of messages together."""
    messages = list[object]()

    async def collect(client: StubViewer) -> None:
        while (message := await client.receive(60)) is not None:
            messages.append(message)

    async with trio.open_nursery() as nursery:
        for client in clients:
            nursery.start_soon(collect, client)
        await wait_until(lambda: len(messages) >= count)
        nursery.cancel_scope.cancel()


async def close_all(clients: Iterable[StubViewer]) -> None:
    """Closes clients that a test has kept open."""
    for client in clients:
        await trio.aclose_forcefully(client.stream)


@pytest.mark.parametrize("wave_sizes", [(70,), (140,), (40, 40, 40)], ids=["burst", "double burst", "waves"])
def test_silent_clients_do_not_evict_connections_with_sessions(wave_sizes: tuple[int, ...]) -> None:
    """Guards against clients that connect by hundreds: each newcomer closed a connection with sessions."""

    async def test(rig: PlatformRig) -> None:
        server = rig.platform.viewer_server
        assert server is not None
        playing = [await playing_viewer(rig, sid) for sid in (A, B)]
        waves = [await connect_silent_clients(rig, wave_size) for wave_size in wave_sizes]
        assert len(server.connections) == server.max_connections
        for (viewer, node), sid in zip(playing, (A, B), strict=True):
            await node.send(node.streams[0], msg="close", sid=sid, attrs={}, code=16)
            assert await viewer.receive() == (framing.RELEASE, sid, ENDED, b"")
        await close_all(client for wave in waves for client in wave)

    run_on_platform(test)


@pytest.mark.parametrize("silent_count", [5, 70])
def test_a_release_sent_to_silent_clients_reaches_its_viewer_when_that_returns(silent_count: int) -> None:
    """Guards against a release that is taken as heard after it went to silent clients only.

    The viewer's own connection has gone, and the viewer comes back after all attempts on silent clients.
    """

    async def test(rig: PlatformRig) -> None:
        viewer, node = await playing_viewer(rig, A)
        await viewer.stream.aclose()
        await wait_until(lambda: not rig.coordinator.viewer_connections)
        silent_clients = await connect_silent_clients(rig, silent_count)
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        await wait_until_received(silent_clients, MAX_ATTEMPTS_WITHOUT_EVIDENCE)
        returned = await rig.viewer()
        await returned.send_setup(B)
        messages = [await returned.receive(), await returned.receive()]
        assert (framing.RELEASE, A, ENDED, b"") in messages
        assert any(message is not None and message[:2] == (framing.ANSWER, B) for message in messages)
        await returned.send(framing.RELEASE_CONFIRMED, A)
        await wait_until(lambda: not rig.coordinator.releases.delivery.owed)
        await close_all(silent_clients)

    run_on_platform(test)


def test_a_release_lost_with_its_own_connection_is_sent_on_another() -> None:
    """Guards against a release that is written to the session's own connection, which breaks with it unread."""

    async def test(rig: PlatformRig) -> None:
        viewer, node = await playing_viewer(rig, A)
        other, _ = await playing_viewer(rig, B)
        await node.send(node.streams[0], msg="close", sid=A, attrs={}, code=16)
        await wait_until(lambda: rig.coordinator.counts.get("end:_done"))
        viewer.leave("reset")
        assert await other.receive() == (framing.RELEASE, A, ENDED, b"")

    run_on_platform(test)


def test_a_message_unread_during_a_pause_is_not_overdue(
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
