"""Bad clients: hundreds of set-ups at once, and the same again as soon as one is turned away.

`flood2.py PORT CLIENTS OPEN SECONDS CLASS WAIT_MS CELLS` opens a connection for each client, sends OPEN set-ups on it
for titles that no playout node knows, and another one for each that is turned away. It reads all that it is sent, and
prints the number of set-ups that it sent and of each answer as JSON.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import rig2

UNKNOWN_TITLES_FROM = 1 << 32
"""Titles from this number on are those that no node knows."""


class BadClient:
    """One bad client, on one connection."""

    def __init__(self, number: int, plan: str, wait_ms: str, counts: Counter[str]) -> None:
        """Creates a client that is not connected."""
        self.rng = random.Random(number)
        self.number = number
        self.sent = 0
        self.plan = plan
        self.wait_ms = wait_ms
        self.counts = counts

    def setup(self) -> bytes:
        """The next set-up, for a title that no playout node knows."""
        self.sent += 1
        self.counts["sent"] += 1
        session = f"bad{self.number:x}{self.sent:012x}"
        title = f"{self.rng.randrange(UNKNOWN_TITLES_FROM, 1 << 63):016x}"
        extras = f"home:0;copies:{sys.argv[7]};top:4;viewer:{session}"
        return rig2.encode_frame(
            rig2.SET_UP,
            session,
            (100, self.plan.encode()),
            (101, self.wait_ms.encode()),
            (104, title.encode()),
            (105, extras.encode()),
            (115, b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"),
        )

    async def run(self, port: int, open_setups: int, until: float) -> None:
        """Floods the front end for a time."""
        while time.time() < until:
            try:
                reader, writer = await asyncio.open_connection(rig2.HOST, port)
                writer.write(b"".join(self.setup() for _ in range(open_setups)))
                while time.time() < until:
                    kind, _, _ = await asyncio.wait_for(rig2.read_frame(reader), until - time.time())
                    self.counts["answer" if kind == rig2.ANSWER else "release"] += 1
                    writer.write(self.setup())
                writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)


async def main() -> None:
    """Runs the clients."""
    port, clients, open_setups = (int(word) for word in sys.argv[1:4])
    until = time.time() + float(sys.argv[4])
    counts: Counter[str] = Counter()
    bad = [BadClient(number, sys.argv[5], sys.argv[6], counts) for number in range(clients)]
    await asyncio.gather(*(client.run(port, open_setups, until) for client in bad))
    print(json.dumps(counts))


asyncio.run(main())
