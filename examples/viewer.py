"""A viewer over WHEP: asks for a lesson, watches for some seconds, leaves.

python examples/viewer.py http://127.0.0.1:8080 /whep/open/intro
"""

from __future__ import annotations

import sys

import trio

from oakcroft.client import Refused, Unsure, WhepClient
from oakcroft.rehearsal.viewers import offer


async def main(base: str, path: str) -> None:
    """One viewer."""
    client = WhepClient(base)
    try:
        playing = await client.ask(path, offer(6_000, 1), wait=5)
    except Unsure as unsure:
        print(f"it may have been paid for and is not asked for again: {unsure}")
        return
    except Refused as refused:
        print(f"not now: {refused}")
        return
    print(f"plays as {playing.resource}")
    await trio.sleep(5)
    await client.end(playing)


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:3])
