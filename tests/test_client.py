"""What the sockets tell of each setup try, stage by stage, against a peer that does just one wrong thing."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
import trio
import trio.testing
from rig import run_async_test

from oakcroft.decisions.sessions.setup_outcome import RequestEnd, RequestProgress, setup_outcome
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.interface import Outcome
from oakcroft.standins.playout import reset_connection

Behaviour = Callable[[trio.SocketStream], Awaitable[None]]
CREATED = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"


async def after_request(stream: trio.SocketStream) -> None:
    got = b""
    while b"the end" not in got:
        got += await stream.receive_some(4096)


async def reset_at_once(stream: trio.SocketStream) -> None:
    await stream.receive_some(1)
    reset_connection(stream)


async def reset_after(stream: trio.SocketStream) -> None:
    await after_request(stream)
    reset_connection(stream)


async def close_after(stream: trio.SocketStream) -> None:
    await after_request(stream)


async def silence(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def half_an_answer(stream: trio.SocketStream) -> None:
    await after_request(stream)
    await stream.send_all(CREATED[:-1])


async def garbage(stream: trio.SocketStream) -> None:
    await after_request(stream)
    await stream.send_all(b"SSH-2.0-x\r\n\r\n")


async def endless(stream: trio.SocketStream) -> None:
    await after_request(stream)
    with suppress(trio.BrokenResourceError):  # the client has had enough
        await stream.send_all(b"HTTP/1.1 201 Created\r\nContent-Length: 9999999\r\n\r\n" + b"x" * 400_000)


async def early_refusal(stream: trio.SocketStream) -> None:
    await stream.receive_some(10)
    await stream.send_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    await trio.sleep(0.1)


async def well(stream: trio.SocketStream) -> None:
    await after_request(stream)
    await stream.send_all(CREATED)
    await trio.sleep(0.2)


@pytest.mark.parametrize(
    ("behaviour", "wanted"),
    [
        (reset_at_once, Outcome.RESET), (reset_after, Outcome.RESET), (close_after, Outcome.RESET),
        (silence, Outcome.LATE), (half_an_answer, Outcome.RESET), (garbage, Outcome.ERROR), (endless, Outcome.ERROR),
        (early_refusal, Outcome.ERROR), (well, Outcome.DONE),
    ],
)  # fmt: skip
def test_each_way_to_fail_is_told_apart(behaviour: Behaviour, wanted: Outcome) -> None:
    async def test() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, behaviour, listeners)
            peer = Peer("127.0.0.1", listeners[0].socket.getsockname()[1])
            trail, end = RequestProgress(), RequestEnd.TIMED_OUT
            with trio.move_on_after(0.4):
                try:
                    await peer.ask("POST", "/x", [], b"a body to the end", trail)
                    end = RequestEnd.ANSWERED
                except Ended as ended:
                    end = ended.end
            assert setup_outcome(trail, end) is wanted
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_nobody_there_is_no_connection_and_no_turn_is_not_sent() -> None:
    async def test() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            trail = RequestProgress()
            with pytest.raises(Ended) as ended:
                await Peer("127.0.0.1", free.getsockname()[1]).ask("POST", "/", [], b"x", trail)
            assert setup_outcome(trail, ended.value.end) is Outcome.NO_CONNECTION
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, silence, listeners)
            peer = Peer("127.0.0.1", listeners[0].socket.getsockname()[1], most=1)
            nursery.start_soon(peer.ask, "POST", "/", [], b"x")
            await trio.testing.wait_all_tasks_blocked(0.02)
            second = RequestProgress()
            with trio.move_on_after(0.1):
                await peer.ask("POST", "/", [], b"x", second)
            assert setup_outcome(second, RequestEnd.TIMED_OUT) is Outcome.NOT_SENT
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_connection_that_its_peer_closed_while_idle_is_not_used_again() -> None:
    async def test() -> None:
        closed = trio.Event()

        async def once(stream: trio.SocketStream) -> None:
            await after_request(stream)
            await stream.send_all(CREATED)
            await stream.aclose()
            closed.set()

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, once, listeners)
            peer = Peer("127.0.0.1", listeners[0].socket.getsockname()[1])
            for _ in range(3):
                assert (await peer.ask("POST", "/", [], b"to the end")).status == 201
                await closed.wait()
                closed = trio.Event()
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    run_async_test(test)
