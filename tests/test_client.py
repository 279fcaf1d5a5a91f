"""Outcomes of set-up tries, from the stages that sockets show, against servers that each fail in one way."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
import trio
import trio.testing
from rig import run_async_test

from oakcroft.decisions.sessions.setup_outcome import RequestEnd, RequestProgress, setup_outcome
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.interface import Outcome
from oakcroft.standins.playout import reset_connection

Behaviour = Callable[[trio.SocketStream], Awaitable[None]]
CREATED = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"


async def read_request(stream: trio.SocketStream) -> None:
    """Reads a request up to its end."""
    request = b""
    while b"the end" not in request:
        request += await stream.receive_some(4096)


async def reset_at_once(stream: trio.SocketStream) -> None:
    """Resets the connection at the first byte of a request."""
    await stream.receive_some(1)
    reset_connection(stream)


async def reset_after(stream: trio.SocketStream) -> None:
    """Resets the connection after the request."""
    await read_request(stream)
    reset_connection(stream)


async def close_after(stream: trio.SocketStream) -> None:
    """Closes the connection after the request."""
    await read_request(stream)


async def no_answer(stream: trio.SocketStream) -> None:
    """Never reads or answers."""
    await trio.sleep_forever()


async def partial_answer(stream: trio.SocketStream) -> None:
    """Closes the connection within the response."""
    await read_request(stream)
    await stream.send_all(CREATED[:-1])


async def invalid_answer(stream: trio.SocketStream) -> None:
    """Answers with something other than HTTP."""
    await read_request(stream)
    await stream.send_all(b"SSH-2.0-x\r\n\r\n")


async def oversized_answer(stream: trio.SocketStream) -> None:
    """Answers with a body over the limit of the client."""
    await read_request(stream)
    with suppress(trio.BrokenResourceError):  # the client closes the connection
        await stream.send_all(b"HTTP/1.1 201 Created\r\nContent-Length: 9999999\r\n\r\n" + b"x" * 400_000)


async def early_refusal(stream: trio.SocketStream) -> None:
    """Answers with an error before the request is complete."""
    await stream.receive_some(10)
    await stream.send_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    await trio.sleep(0.1)


async def complete_answer(stream: trio.SocketStream) -> None:
    """Answers correctly."""
    await read_request(stream)
    await stream.send_all(CREATED)
    await trio.sleep(0.2)


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (reset_at_once, Outcome.RESET), (reset_after, Outcome.RESET), (close_after, Outcome.RESET),
        (no_answer, Outcome.LATE), (partial_answer, Outcome.RESET), (invalid_answer, Outcome.ERROR),
        (oversized_answer, Outcome.ERROR), (early_refusal, Outcome.ERROR), (complete_answer, Outcome.DONE),
    ],
)  # fmt: skip
def test_each_kind_of_failed_exchange_has_its_outcome(behaviour: Behaviour, expected: Outcome) -> None:
    """Each kind of server failure gives the outcome that the observed stages prove."""

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, behaviour, listeners)
            peer = HttpClient("127.0.0.1", listeners[0].socket.getsockname()[1])
            progress, end = RequestProgress(), RequestEnd.TIMED_OUT
            with trio.move_on_after(0.4):
                try:
                    await peer.request("POST", "/x", [], b"a body to the end", progress)
                    end = RequestEnd.ANSWERED
                except ExchangeError as caught:
                    end = caught.end
            assert setup_outcome(progress, end) is expected
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_refused_connection_and_a_request_that_got_no_connection_have_their_outcomes() -> None:
    """Nothing was sent where the connection was refused, or where no other exchange ended in time."""

    async def test() -> None:
        with socket.socket() as unused_port:
            unused_port.bind(("127.0.0.1", 0))
            progress = RequestProgress()
            with pytest.raises(ExchangeError) as caught:
                await HttpClient("127.0.0.1", unused_port.getsockname()[1]).request(
                    "POST", "/", [], b"x", progress
                )
            assert setup_outcome(progress, caught.value.end) is Outcome.NO_CONNECTION
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, no_answer, listeners)
            peer = HttpClient("127.0.0.1", listeners[0].socket.getsockname()[1], max_concurrent=1)
            nursery.start_soon(peer.request, "POST", "/", [], b"x")
            await trio.testing.wait_all_tasks_blocked(0.02)
            second_progress = RequestProgress()
            with trio.move_on_after(0.1):
                await peer.request("POST", "/", [], b"x", second_progress)
            assert setup_outcome(second_progress, RequestEnd.TIMED_OUT) is Outcome.NOT_SENT
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_an_idle_connection_that_the_server_closed_is_not_reused() -> None:
    """A request after the server closed the idle connection uses a new one."""

    async def test() -> None:
        closed = trio.Event()

        async def answer_once(stream: trio.SocketStream) -> None:
            """Answers one request and closes the connection."""
            await read_request(stream)
            await stream.send_all(CREATED)
            await stream.aclose()
            closed.set()

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, answer_once, listeners)
            peer = HttpClient("127.0.0.1", listeners[0].socket.getsockname()[1])
            for _ in range(3):
                assert (await peer.request("POST", "/", [], b"to the end")).status == 201
                await closed.wait()
                closed = trio.Event()
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    run_async_test(test)
