"""Requests a playback over WHEP, plays it for some seconds, and ends it.

python examples/viewer.py http://127.0.0.1:8080 /whep/open/intro
"""

from __future__ import annotations

import sys

import trio

from oakcroft.client import Refused, Unsure, WhepClient
from oakcroft.rehearsal.viewers import offer

MAX_KBIT = 6_000
WAIT_S = 5
DURATION_S = 5


async def main(base: str, path: str) -> None:
    """Requests, plays and ends one playback."""
    client = WhepClient(base)
    try:
        playback = await client.ask(path, offer(MAX_KBIT, 1), wait=WAIT_S)
    except Unsure as unsure:
        print(f"the playback may have been paid for, so it is not requested again: {unsure}")
        return
    except Refused as refused:
        print(f"request rejected: {refused}")
        return
    print(f"playing as {playback.resource}")
    await trio.sleep(DURATION_S)
    await client.end(playback)


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:3])
