"""Load for a front: set-ups at a rate or as fast as possible, and histograms of their latencies."""

from __future__ import annotations

from http import HTTPStatus
from random import Random

import trio
from hdrh.histogram import HdrHistogram

from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp

MAX_LATENCY_US = 60_000_000
TITLE_COUNT = 50
PERCENTILES = (50, 99, 99.9)


def new_latencies() -> HdrHistogram:
    """Returns a histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def record_latency(latencies: HdrHistogram, due_at: float) -> None:
    """Adds the time since a request was due."""
    latencies.record_value(round((trio.current_time() - due_at) * 1e6))


def format_percentiles(latencies: HdrHistogram) -> str:
    """Returns percentiles in milliseconds."""
    return "  ".join(
        f"p{percentile:g} {latencies.get_value_at_percentile(percentile) / 1000:7.2f}"
        for percentile in PERCENTILES
    )


class LoadGenerator:
    """Sends set-ups to a front and directly to nodes."""

    def __init__(self, front_port: int, node_ports: list[int]) -> None:
        """Creates clients, which connect when they are used."""
        self.front = HttpClient("127.0.0.1", front_port, max_concurrent=400, max_idle=400)
        self.nodes = [HttpClient("127.0.0.1", port, max_concurrent=100, max_idle=8) for port in node_ports]
        self.rng = Random(7)
        self.request_count = 0
        self.failed_count = 0
        self.offer = offer(20_000, 1).encode()

    async def request_playback(self, client: HttpClient, direct: bool) -> Response:
        """Requests a playback of a random title under a key of its own."""
        self.request_count += 1
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(f"b{self.request_count}")),
        ]
        if direct:
            headers.append(("Via", "1.1 direct"))
        path = f"/whep/open/t{self.rng.randrange(TITLE_COUNT)}"
        return await client.request("POST", path, headers, self.offer)

    async def open_playback(self) -> bool:
        """Sets up one playback through the front, which stays open; returns whether it was set up."""
        try:
            response = await self.request_playback(self.front, direct=False)
        except ExchangeError:
            self.failed_count += 1
            return False
        if response.status != HTTPStatus.CREATED:
            self.failed_count += 1
            return False
        return True

    async def run_open_loop(self, rate: float, seconds: float, direct: bool, latencies: HdrHistogram) -> None:
        """Sends set-ups open-loop, each measured from the time at which it was due, and ends the playbacks at once."""

        async def play_once(due_at: float) -> None:
            """Requests a playback and ends it once it was set up."""
            client = self.rng.choice(self.nodes) if direct else self.front
            try:
                response = await self.request_playback(client, direct)
                record_latency(latencies, due_at)
                if response.status == HTTPStatus.CREATED:
                    await client.request("DELETE", response.header("location") or "", [], b"")
                else:
                    self.failed_count += 1
            except ExchangeError:
                self.failed_count += 1

        start = trio.current_time()
        due = 0.0
        async with trio.open_nursery() as nursery:
            while due < seconds:
                await trio.sleep_until(start + due)
                nursery.start_soon(play_once, start + due)
                due += self.rng.expovariate(rate)

    async def measure_max_rate(self, workers: int, seconds: float) -> float:
        """Returns the set-ups per second when each worker sends its next request after the answer to the last."""
        setup_count = 0
        ends_at = trio.current_time() + seconds

        async def request_until_end() -> None:
            """Requests playbacks one after the other."""
            nonlocal setup_count
            while trio.current_time() < ends_at:
                if await self.open_playback():
                    setup_count += 1

        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(workers):
                nursery.start_soon(request_until_end)
        return setup_count / (trio.current_time() - began)


async def open_playbacks(load: LoadGenerator, count: int, workers: int = 20) -> None:
    """Opens this number of playbacks through the front."""

    async def open_share(share: int) -> None:
        """Opens playbacks one after the other and retries each that fails after 0.1 s."""
        for _ in range(share):
            while not await load.open_playback():
                await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        for i in range(workers):
            nursery.start_soon(open_share, count // workers + (i < count % workers))
