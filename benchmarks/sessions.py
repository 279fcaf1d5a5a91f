"""The session API at size: idle and busy connections on one front, beside WHEP in the same run.

    python -m benchmarks.sessions [--idle 10000] [--busy 1000] [--rate 120] [--slow 200]

Idle connections say hello and take nothing more from their sockets. Slow readers, in a second measurement beside them,
call twenty times a second and read nothing, over a receive buffer of a few kB. Busy ones ask for a playback and end it,
open-loop at the given rate over all, each measured from when it was due; half of the set-ups go by WHEP meanwhile.
"""

from __future__ import annotations

import argparse
import os
import platform
import tempfile
from pathlib import Path
from random import Random
from typing import Any

import orjson
import trio
import wsproto
from hdrh.histogram import HdrHistogram
from wsproto import events

from benchmarks.front_cost import SITE, WARM, Load, Process, day, line
from oakcroft.client import Retries, SessionClient
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import session_api as api


async def hello(port: int) -> trio.SocketStream:
    """One connection that says hello and no more."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    ws = wsproto.WSConnection(wsproto.ConnectionType.CLIENT)
    await stream.send_all(ws.send(events.Request(host="a", target="/api/v1", subprotocols=[api.JSON])))
    greeted = False
    while not greeted:
        ws.receive_data(await stream.receive_some(4096))
        greeted = any(isinstance(e, events.AcceptConnection) for e in ws.events())
    text = api.Codec(api.JSON).encode(api.Hello()).decode()
    await stream.send_all(ws.send(events.TextMessage(data=text)))
    await stream.receive_some(4096)
    return stream


async def slow_reader(port: int, seconds: float, gone: list[float]) -> None:
    """Calls and reads nothing, until the front has had enough; notes when that was."""
    raw = trio.socket.socket()
    raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
    await raw.connect(("127.0.0.1", port))
    stream, ws = trio.SocketStream(raw), wsproto.WSConnection(wsproto.ConnectionType.CLIENT)
    await stream.send_all(ws.send(events.Request(host="a", target="/api/v1", subprotocols=[api.JSON])))
    greeted = False
    while not greeted:
        ws.receive_data(await stream.receive_some(4096))
        greeted = any(isinstance(e, events.AcceptConnection) for e in ws.events())
    codec, began = api.Codec(api.JSON), trio.current_time()
    await stream.send_all(ws.send(events.TextMessage(data=codec.encode(api.Hello()).decode())))
    with trio.move_on_after(seconds):
        try:
            for number in range(1, 1 << 30):
                call = codec.encode(api.Layer("x" * 400, 0, number)).decode()
                await stream.send_all(ws.send(events.TextMessage(data=call)))
                await trio.sleep(0.05)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            gone.append(trio.current_time() - began)
    await trio.aclose_forcefully(stream)


async def busy(
    port: int, connections: int, rate: float, seconds: float, load: Load
) -> tuple[HdrHistogram, HdrHistogram]:
    """Set-ups over WebSocket and, at the same rate, over WHEP."""
    sockets, whep, rng = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3), Random(3)
    clients: list[SessionClient] = []
    body = offer(20_000, 1)

    async def keep(task_status: Any) -> None:
        async with SessionClient.open(f"http://127.0.0.1:{port}", retries=Retries(rng, most=1)) as client:
            task_status.started(client)
            await trio.sleep_forever()

    async def one(client: SessionClient, at: float) -> None:
        ask = api.Ask(next(client.call_ids), f"/whep/open/t{rng.randrange(50)}", body)
        answer = await client.call(ask)
        sockets.record_value(round((trio.current_time() - at) * 1e6))
        if isinstance(answer, api.Answer) and answer.status == 201:
            await client.call(api.End(answer.playback, next(client.call_ids)))
        else:
            load.failed += 1

    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            clients.append(await nursery.start(keep))
        async with trio.open_nursery() as work:
            work.start_soon(load.timed, rate / 2, seconds, False, whep)
            start, due = trio.current_time(), 0.0
            while due < seconds:
                await trio.sleep_until(start + due)
                work.start_soon(one, rng.choice(clients), start + due)
                due += rng.expovariate(rate / 2)
        nursery.cancel_scope.cancel()
    return sockets, whep


async def measure(idle: int, busy_ones: int, rate: float, seconds: float, slow: int) -> None:
    """One front."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "day.oak").write_text(day(10))
        fleet = Process("stand-in", str(folder / "day.oak"), "--seed", "1", "--start", str(1 << 62),
                        "--record", str(folder / "record"))  # fmt: skip
        greeting = orjson.loads(await fleet.start(folder / "fleet.log"))
        own = f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}"))'
        (folder / "front.oak").write_text(f"{own}\n{SITE.format(nodes=10)}")
        front = Process("serve", str(folder / "front.oak"))
        port = int((await front.start(folder / "front.log")).split(b":")[-1])
        try:
            await trio.sleep(WARM)
            load, base, streams = Load(port, greeting["nodes"]), front.memory(), list[trio.SocketStream]()
            for _ in range(idle):
                streams.append(await hello(port))
            each = (front.memory() - base) / max(1, idle) / 1000
            print(
                f"{idle} idle connections: {(front.memory() - base) / 1e6:.0f} MB, {each:.1f} kB each",
                flush=True,
            )
            sockets, whep = await busy(port, busy_ones, rate, seconds, load)
            print(
                f"{busy_ones} busy ones beside them, {rate:.0f} set-ups a second, half each way; failed {load.failed}"
            )
            print(f"  WebSocket {line(sockets)}\n  WHEP      {line(whep)}", flush=True)
            gone = list[float]()
            async with trio.open_nursery() as nursery:
                for _ in range(slow):
                    nursery.start_soon(slow_reader, port, seconds + 8, gone)
                await trio.sleep(1)
                sockets, whep = await busy(port, busy_ones, rate, seconds, load)
                nursery.cancel_scope.cancel()
            first = f", the first after {min(gone):.1f} s" if gone else ""
            print(
                f"the same beside {slow} slow readers; {len(gone)} of them were cut off{first}; failed {load.failed}"
            )
            print(f"  WebSocket {line(sockets)}\n  WHEP      {line(whep)}", flush=True)
            for stream in streams:
                await trio.aclose_forcefully(stream)
        finally:
            await front.stop()
            await fleet.stop()


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--idle", type=int, default=10_000)
    parser.add_argument("--busy", type=int, default=1_000)
    parser.add_argument("--rate", type=float, default=120)
    parser.add_argument("--slow", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=12)
    given = parser.parse_args()
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; times in ms")
    trio.run(measure, given.idle, given.busy, given.rate, given.seconds, given.slow)


if __name__ == "__main__":
    main()
