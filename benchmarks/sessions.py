"""Measures the session API with many connections on one front: idle, busy and slow ones, beside WHEP in the same run.

    python -m benchmarks.sessions [--idle 10000] [--busy 1000] [--rate 120] [--slow 200]

Idle connections send a hello and read nothing after its answer. Busy connections request a playback and end it, open-loop
at the given rate over all of them, each request measured from when it was due; half of the set-ups use WHEP. In a second
measurement, slow readers are added, which send 20 calls per second and read nothing, with a receive buffer of 4 kB.
"""

from __future__ import annotations

import argparse
import tempfile
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any

import trio
import wsproto
from hdrh.histogram import HdrHistogram
from wsproto import events

from benchmarks.child_processes import SITE, WARM_UP_S, day_text, start_front_and_nodes
from benchmarks.load_generator import (
    TITLE_COUNT,
    LoadGenerator,
    format_percentiles,
    new_latencies,
    record_latency,
)
from benchmarks.results import describe_machine
from oakcroft.client import Retries, SessionClient
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import session_api as api

NODES = 10
SLOW_RECEIVE_BUFFER_BYTES = 4096
SLOW_CALL_INTERVAL_S = 0.05


async def connect_websocket(stream: trio.SocketStream) -> wsproto.WSConnection:
    """Runs the WebSocket handshake."""
    websocket = wsproto.WSConnection(wsproto.ConnectionType.CLIENT)
    request = events.Request(host="a", target="/api/v1", subprotocols=[api.JSON])
    await stream.send_all(websocket.send(request))
    is_accepted = False
    while not is_accepted:
        websocket.receive_data(await stream.receive_some(4096))
        is_accepted = any(isinstance(event, events.AcceptConnection) for event in websocket.events())
    return websocket


async def send_hello(stream: trio.SocketStream, websocket: wsproto.WSConnection) -> None:
    """Sends the hello; its answer is not read."""
    hello = api.Codec(api.JSON).encode(api.Hello()).decode()
    await stream.send_all(websocket.send(events.TextMessage(data=hello)))


async def open_idle_connection(port: int) -> trio.SocketStream:
    """Opens a connection that reads nothing after the answer to its hello."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await send_hello(stream, await connect_websocket(stream))
    await stream.receive_some(4096)
    return stream


async def run_slow_reader(port: int, seconds: float, closed_after: list[float]) -> None:
    """Sends calls and reads nothing until the front closes the connection; adds the time until then, in seconds."""
    raw_socket = trio.socket.socket()
    raw_socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
    await raw_socket.connect(("127.0.0.1", port))
    stream = trio.SocketStream(raw_socket)
    websocket = await connect_websocket(stream)
    codec = api.Codec(api.JSON)
    began = trio.current_time()
    await send_hello(stream, websocket)
    with trio.move_on_after(seconds):
        try:
            for call_id in range(1, 1 << 30):
                call = codec.encode(api.Layer("x" * 400, 0, call_id)).decode()
                await stream.send_all(websocket.send(events.TextMessage(data=call)))
                await trio.sleep(SLOW_CALL_INTERVAL_S)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            closed_after.append(trio.current_time() - began)
    await trio.aclose_forcefully(stream)


async def run_busy_connections(
    port: int, connections: int, rate: float, seconds: float, load: LoadGenerator
) -> tuple[HdrHistogram, HdrHistogram]:
    """Sends set-ups over WebSocket and, at the same rate, over WHEP; returns the latencies of both."""
    websocket_latencies = new_latencies()
    whep_latencies = new_latencies()
    rng = Random(3)
    clients: list[SessionClient] = []
    sdp_offer = offer(20_000, 1)

    async def keep_open(task_status: Any) -> None:
        """Opens a connection, reports it as started and keeps it until it is cancelled."""
        async with SessionClient.open(f"http://127.0.0.1:{port}", retries=Retries(rng, most=1)) as client:
            task_status.started(client)
            await trio.sleep_forever()

    async def play_once(client: SessionClient, due_at: float) -> None:
        """Requests a playback over WebSocket and ends it once it was set up."""
        request = api.Ask(next(client.call_ids), f"/whep/open/t{rng.randrange(TITLE_COUNT)}", sdp_offer)
        answer = await client.call(request)
        record_latency(websocket_latencies, due_at)
        if isinstance(answer, api.Answer) and answer.status == HTTPStatus.CREATED:
            await client.call(api.End(answer.playback, next(client.call_ids)))
        else:
            load.failed_count += 1

    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            clients.append(await nursery.start(keep_open))
        async with trio.open_nursery() as requests:
            requests.start_soon(load.run_open_loop, rate / 2, seconds, False, whep_latencies)
            start = trio.current_time()
            due = 0.0
            while due < seconds:
                await trio.sleep_until(start + due)
                requests.start_soon(play_once, rng.choice(clients), start + due)
                due += rng.expovariate(rate / 2)
        nursery.cancel_scope.cancel()
    return websocket_latencies, whep_latencies


def print_latencies(websocket: HdrHistogram, whep: HdrHistogram) -> None:
    """Prints the percentiles of both protocols."""
    print(f"  WebSocket {format_percentiles(websocket)}\n  WHEP      {format_percentiles(whep)}", flush=True)


async def measure(idle_count: int, busy_count: int, rate: float, seconds: float, slow_count: int) -> None:
    """Measures one front."""
    with tempfile.TemporaryDirectory() as folder:
        rig = await start_front_and_nodes(Path(folder), day_text(NODES), SITE.format(nodes=NODES))
        front, port = rig.front, rig.port
        try:
            await trio.sleep(WARM_UP_S)
            load = LoadGenerator(port, rig.node_ports)
            initial_bytes = front.resident_bytes()
            streams = [await open_idle_connection(port) for _ in range(idle_count)]
            each_kb = (front.resident_bytes() - initial_bytes) / max(1, idle_count) / 1000
            all_mb = (front.resident_bytes() - initial_bytes) / 1e6
            print(f"{idle_count} idle connections: {all_mb:.0f} MB, {each_kb:.1f} kB each", flush=True)
            latencies = await run_busy_connections(port, busy_count, rate, seconds, load)
            print(
                f"{busy_count} busy ones beside them, {rate:.0f} set-ups a second, half each way; "
                f"failed {load.failed_count}"
            )
            print_latencies(*latencies)
            closed_after = list[float]()
            async with trio.open_nursery() as nursery:
                for _ in range(slow_count):
                    nursery.start_soon(run_slow_reader, port, seconds + 8, closed_after)
                await trio.sleep(1)
                latencies = await run_busy_connections(port, busy_count, rate, seconds, load)
                nursery.cancel_scope.cancel()
            first = f", the first after {min(closed_after):.1f} s" if closed_after else ""
            print(
                f"the same beside {slow_count} slow readers; {len(closed_after)} of them were cut off{first}; "
                f"failed {load.failed_count}"
            )
            print_latencies(*latencies)
            for stream in streams:
                await trio.aclose_forcefully(stream)
        finally:
            await rig.stop()


def main() -> None:
    """Parses the arguments and runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--idle", type=int, default=10_000)
    parser.add_argument("--busy", type=int, default=1_000)
    parser.add_argument("--rate", type=float, default=120)
    parser.add_argument("--slow", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=12)
    arguments = parser.parse_args()
    print(f"{describe_machine()}; times in ms")
    trio.run(measure, arguments.idle, arguments.busy, arguments.rate, arguments.seconds, arguments.slow)


if __name__ == "__main__":
    main()
