"""Plays several titles over one WebSocket connection, like the tiles of a video wall, and prints their rungs.

python examples/wall.py http://127.0.0.1:8080 /whep/open/ 12
"""

from __future__ import annotations

import sys

import trio

from oakcroft.client import Refused, SessionClient
from oakcroft.rehearsal.viewers import offer

MAX_KBIT = 20_000
WAIT_S = 5
RETRY_DELAY_S = 2
DURATION_S = 30


async def tile(client: SessionClient, number: int, path: str, rungs: dict[int, str]) -> None:
    """Keeps one tile playing and records its rung."""
    while True:
        try:
            playback = await client.play(f"{path}lesson-{number}", offer(MAX_KBIT, number), wait=WAIT_S)
        except Refused as refused:
            rungs[number] = "-"
            print(f"{number}: {refused}")
            await trio.sleep(RETRY_DELAY_S)
            continue
        async for event in playback.events:
            rungs[number] = event.data.get("encodingId", rungs.get(number, "?"))
        rungs[number] = "x"


async def main(base: str, path: str, tile_count: str) -> None:
    """Runs all tiles and prints their rungs once a second."""
    rungs: dict[int, str] = {}
    async with SessionClient.open(base) as client, trio.open_nursery() as nursery:
        for number in range(int(tile_count)):
            nursery.start_soon(tile, client, number, path, rungs)
        for _ in range(DURATION_S):
            await trio.sleep(1)
            rung_list = " ".join(rungs.get(number, ".") for number in range(int(tile_count)))
            print(rung_list, f" resumed {client.resumed}")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:4])
