"""A fleet and a front that is killed and restarted, and the requests of its clients."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

from benchmarks.child_processes import Process, stand_in_process
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp

SITE = """(fleet (fronts 1) (cells 10) (copies 6) (cold-for 2s) (fall-multiple 60) (fall-window 1s)
    (reports-every 2s) (seen-after 200ms) (tries-budget (free 10) (share 20%) (window 5s)))
  (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
  (plan paid (effect paid) (startup-target 1s) (abandon 3s) (revenue 2))
  (plan seats (effect free) (startup-target 1s) (abandon 3s) (revenue 1) (seats 3))
  (plan open (effect free) (startup-target 1s) (abandon 3s) (revenue 1))
  (route paid (path "/whep/paid/") (plan paid)) (route seats (path "/whep/seats/") (plan seats))
  (route open (path "/whep/open/") (plan open))"""
OFFER = offer(20_000, 1).encode()


def day_text() -> str:
    """Returns a day of ten nodes with room for all playbacks."""
    nodes = "".join(f"(node n{i} (wing a) (cell {i}) (link 10000000kB/s) (places 1000))\n" for i in range(10))
    viewers = "(viewers (rate 1/s) (titles 1) (plan open (share 1) (life 1s)))"
    return f"(day (length 1h) (fronts a) (setup 2ms 30ms) (late 0ms 0ms) (site {SITE})\n{nodes}{viewers})"


class Rig:
    """One fleet, and the front that is killed and restarted."""

    def __init__(self, folder: Path) -> None:
        """Prepares both processes; none is started yet."""
        self.folder = folder
        self.port = 0
        self.front = Process()
        self.front_is_up = trio.Event()
        self.fleet = stand_in_process(folder, day_text())

    async def start_fleet(self, has_state: bool = True) -> None:
        """Starts the fleet and writes the front's configuration."""
        list_port = orjson.loads(await self.fleet.start(self.folder / "fleet.log"))["list"]
        settings = f'(listen "127.0.0.1:0") (list-service "127.0.0.1:{list_port}")'
        if has_state:
            settings += f' (kept "{self.folder}/kept") (state "{self.folder}/state")'
        (self.folder / "front.oak").write_text(f"(front {settings})\n{SITE}")

    async def start_front(self) -> None:
        """Starts the front and waits until it listens."""
        self.front = Process("serve", str(self.folder / "front.oak"))
        line = await self.front.start(self.folder / f"front-{trio.current_time():.3f}.log")
        self.port = int(line.split(b":")[-1])
        self.front_is_up.set()

    async def kill_front(self) -> None:
        """Kills the front with SIGKILL."""
        self.front_is_up = trio.Event()
        await self.front.stop()


class Answer(NamedTuple):
    """What a client got for one request."""

    status: int
    location: str
    retry_after_s: float

    def binding_part(self) -> tuple[int, str]:
        """Returns what must be the same in all answers for a key."""
        return self.status, self.location


NO_ANSWER = Answer(0, "", 0.0)
"""Stands for a request during which the front was killed."""


async def request_playback(port: int, path: str, key: str) -> Answer:
    """Requests a playback on a connection of its own."""
    client = HttpClient("127.0.0.1", port, 1.0)
    try:
        with trio.fail_after(6):
            headers = [("Content-Type", sdp.MEDIA_TYPE), ("Idempotency-Key", http_formats.quoted_string(key))]
            response = await client.request("POST", path, headers, OFFER)
            retry_after_s = float(response.header("retry-after") or 0)
            return Answer(response.status, response.header("location") or "", retry_after_s)
    except (ExchangeError, trio.TooSlowError, OSError):
        return NO_ANSWER
    finally:
        await client.close()


async def end_playback(port: int, location: str) -> None:
    """Ends a playback; does nothing if the front cannot be reached."""
    client = HttpClient("127.0.0.1", port, 1.0)
    with suppress(ExchangeError, trio.TooSlowError, OSError), trio.fail_after(3):
        await client.request("DELETE", location, [], b"", new_connection=True)
