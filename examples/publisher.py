"""Publishes to a title over WHIP with the blocking client, for some seconds.

python examples/publisher.py http://127.0.0.1:8080 /whip/live/lesson TOKEN
"""

from __future__ import annotations

import sys
import time

from oakcroft.client.blocking import BlockingWhepClient
from oakcroft.rehearsal.viewers import offer

MAX_KBIT = 6_000
DURATION_S = 5


def main(base: str, path: str, token: str = "") -> None:
    """Publishes, waits, and ends the publication."""
    with BlockingWhepClient(base, token) as client:
        publication = client.ask(path, offer(MAX_KBIT, 1, publishes=True))
        print(f"published as {publication.resource}")
        time.sleep(DURATION_S)
        client.end(publication)


if __name__ == "__main__":
    main(*sys.argv[1:4])
