"""A publisher over WHIP, by the blocking client.

python examples/publisher.py http://127.0.0.1:8080 /whip/live/lesson TOKEN
"""

from __future__ import annotations

import sys
import time

from oakcroft.client.blocking import BlockingWhepClient
from oakcroft.rehearsal.viewers import offer


def main(base: str, path: str, token: str = "") -> None:
    """One publisher."""
    with BlockingWhepClient(base, token) as client:
        playing = client.ask(path, offer(6_000, 1, publishes=True))
        print(f"published as {playing.resource}")
        time.sleep(5)
        client.end(playing)


if __name__ == "__main__":
    main(*sys.argv[1:4])
