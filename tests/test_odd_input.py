"""Odd but legal input, and what only shows after months: each answered as stated, ending nothing for anybody else."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing
from oakcroft.client.retry import Retries
from oakcroft.client.session import SessionClient
from oakcroft.decisions.again import EVENTS, LIST, Again
from oakcroft.interface import SECOND
from oakcroft.signalling import session_api as api

from rig import Rig, run, standing


# What goes on for months.


def test_an_errand_that_fails_for_months_keeps_its_longest_wait() -> None:
    for rhythm in (LIST, EVENTS):
        again, now, wait = Again(rhythm, Random(1), 0), 0, None
        for _ in range(3_000):
            wait = again.failed(now)
            assert wait is not None
            assert wait <= rhythm.longest
            now += SECOND
        assert wait
        assert wait >= rhythm.longest // 2


def test_a_client_goes_on_trying_a_front_that_is_away_for_long() -> None:
    tried = [0]

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            client = SessionClient("http://127.0.0.1:1", "", api.JSON, nursery, Retries(Random(1)))

            async def refused() -> None:
                tried[0] += 1
                if tried[0] > 1_100:
                    nursery.cancel_scope.cancel()
                raise OSError("connection refused")

            client._connect = refused  # type: ignore[method-assign]
            nursery.start_soon(client._run)

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    assert tried[0] > 1_100


# What one client or one node says, on sockets: the front goes on for all others.

UPGRADE = (
    "GET /api/v1 HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nSec-WebSocket-Protocol: oakcroft.v1.json\r\n"
)


async def said(rig: Rig, data: bytes) -> bytes:
    """The first bytes of the answer to bytes on a connection of their own."""
    stream = await trio.open_tcp_stream("127.0.0.1", rig.port)
    async with stream:
        await stream.send_all(data)
        return bytes(await stream.receive_some(65_536))


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ("Connection: Upgrade\r\n", 426),
        ("Connection: Upgrade\r\nSec-WebSocket-Key: x\r\nSec-WebSocket-Version: 12\r\n", 426),
        ("Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n", 400),
        ("Sec-WebSocket-Key: x\r\nSec-WebSocket-Version: 13\r\n", 400),
    ],
)
def test_a_handshake_that_is_none_gets_its_answer_and_ends_nothing(
    tmp_path: Path, fields: str, status: int
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            assert (await said(rig, f"{UPGRADE}{fields}\r\n".encode())).startswith(b"HTTP/1.1 %d" % status)
            assert (await rig.watch()).status == 201

    run(test)
