"""A small wall of viewers over one WebSocket connection, with a live view of their rungs.

python examples/wall.py http://127.0.0.1:8080 /whep/open/ 12
"""

from __future__ import annotations

import sys

import trio

from oakcroft.client import Refused, SessionClient
from oakcroft.rehearsal.viewers import offer


async def tile(client: SessionClient, number: int, path: str, rungs: dict[int, str]) -> None:
    """One viewer of the wall."""
    while True:
        try:
            playback = await client.play(f"{path}lesson-{number}", offer(20_000, number), wait=5)
        except Refused as refused:
            rungs[number] = "-"
            print(f"{number}: {refused}")
            await trio.sleep(2)
            continue
        async for event in playback.events:
            rungs[number] = event.data.get("encodingId", rungs.get(number, "?"))
        rungs[number] = "x"


async def main(base: str, path: str, many: str) -> None:
    """The wall, for half a minute."""
    rungs: dict[int, str] = {}
    async with SessionClient.open(base) as client, trio.open_nursery() as nursery:
        for number in range(int(many)):
            nursery.start_soon(tile, client, number, path, rungs)
        for _ in range(30):
            await trio.sleep(1)
            print(" ".join(rungs.get(n, ".") for n in range(int(many))), f" resumed {client.resumed}")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:4])
