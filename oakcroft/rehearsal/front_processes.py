"""The front ends of a day as processes: their files, their starts, and what a machine may do to them."""

from __future__ import annotations

import resource
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio

from oakcroft.interface import MS
from oakcroft.standins.between import Between
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

OPERATORS_TOKEN = "rehearsal-operators"

START_WITHIN_SECONDS = 20
"""A process that has not said its port by then has failed."""

END_WITHIN_SECONDS = 0.5
"""After SIGTERM; a front that is still there then is killed."""

LOG_TAIL = 500
"""Characters of a log that are shown of a front that did not start."""

SEEDS = 2
"""Fronts that each other one is told of at its start."""

PEERS_KEY = "5a" * 32
SEED_STEP = 1000
"""Keeps seeds of one day's fronts apart from another's."""

KEPT_FILES = ("start", "state", "state-wal", "state-shm", "list")
"""Endings of the files by which a front remembers anything."""


@dataclass
class FrontProcess:
    """One front of the day."""

    number: int
    file: Path
    log: Path
    process: trio.Process | None = None
    port: int = 0
    running: bool = False
    disk_full: bool = False
    """Whether its disk is full."""


@dataclass
class FrontProcesses:
    """All fronts of a day. `ports`: told where each listens; `failures`: told what did not work."""

    day: Day
    folder: Path
    policy: str
    record: Record
    peer_network: Between | None
    keeps_state: bool
    ports: dict[int, int]
    failures: list[str]
    list_port: int = 0
    all: list[FrontProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        """One front for each of the day's, none of which runs yet."""
        for number in range(len(self.day.fronts)):
            name = f"front-{number}"
            self.all.append(FrontProcess(number, self.folder / f"{name}.oak", self.folder / f"{name}.log"))

    def in_wings(self, wings: tuple[str, ...]) -> list[FrontProcess]:
        """The fronts that stand in any of some wings."""
        return [front for front in self.all if self.day.fronts[front.number] in wings]

    async def start_all(self) -> None:
        """Starts all, side by side."""
        async with trio.open_nursery() as nursery:
            for front in self.all:
                nursery.start_soon(self.start, front)

    async def start(self, front: FrontProcess) -> None:
        """Writes a front's file and starts it; returns once it listens, or has failed to."""
        front.file.write_text(self._text(front))
        module = ["oakcroft", "serve"] if self.policy == "oakcroft" else ["oakcroft.rehearsal.baseline"]
        front.process = await trio.lowlevel.open_process(
            [sys.executable, "-m", *module, str(front.file)],
            stdout=subprocess.PIPE,
            stderr=front.log.open("ab"),
        )
        assert front.process.stdout is not None
        line = await read_first_line(front.process.stdout, START_WITHIN_SECONDS)
        if not line:
            tail = front.log.read_text()[-LOG_TAIL:]
            self.failures.append(f"front {front.number} did not start: {tail}")
            return
        front.port = int(line.split(b":")[-1])
        front.running = True
        if front.disk_full:
            self.set_disk_full(front, True)
        self.ports[front.number] = front.port
        self.record.note("front started", front=front.number)

    def _text(self, front: FrontProcess) -> str:
        """A front's configuration; on the port that it had before, if any."""
        kept = self.folder / f"front-{front.number}.list"
        state = f'(state "{self.folder / f"front-{front.number}.state"}")' if self.keeps_state else ""
        return (
            f"{self._peers_text(front)}{self._shared_text()}"
            f"(front (number {front.number}) (seed {self.day.seed * SEED_STEP + front.number})\n"
            f'  (listen "127.0.0.1:{front.port}") (list-service "127.0.0.1:{self.list_port}") (kept "{kept}") {state}\n'
            f'  (zone "{self.day.fronts[front.number]}"))\n{self.day.site_text}\n'
        )

    def _peers_text(self, front: FrontProcess) -> str:
        if self.peer_network is None:
            return ""
        name = f"f{front.number}"
        (host, port), (relay, _) = self.peer_network.fronts[name], self.peer_network.relays[name]
        key, start = self.folder / "peers.key", self.folder / f"front-{front.number}.start"
        key.write_text(PEERS_KEY)
        seeds = " ".join(
            f'"{address}:{number}"' for address, number in [*self.peer_network.relays.values()][:SEEDS]
        )
        return (
            f'(operators (secret "{OPERATORS_TOKEN}"))'
            f' (peers (name {name}) (listen "{host}:{port}") (seeds {seeds})\n'
            f'  (advertise "{relay}:{port}") (key-file "{key}") (starts "{start}"))\n'
        )

    def _shared_text(self) -> str:
        """What is the same on all fronts, where the day has it."""
        text = ""
        if self.day.keepers:
            keepers = " ".join(f"f{number}" for number in self.day.keepers)
            text += f"(keepers (names {keepers}) (term {self.day.term // MS}ms))\n"
        if self.day.probing:
            text += "(probing)\n"
        if self.day.adopting:
            text += "(adopting (after 500ms) (lease 15s))\n"
        return text

    def kill(self, front: FrontProcess) -> None:
        """Kills a front's process, if it runs."""
        if front.running and front.process is not None:
            front.running = False
            self.record.note("front killed", front=front.number)
            front.process.kill()

    async def pause(self, front: FrontProcess, process: trio.Process, seconds: float) -> None:
        """One process is stopped for so long, and woken."""
        self.record.note("front stands still", front=front.number)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.record.note("front goes on", front=front.number)

    def set_disk_full(self, front: FrontProcess, full: bool) -> None:
        """No file of a front may grow, its log's neither, in this life and those that follow; or they may again."""
        front.disk_full = full
        if front.running and front.process is not None:
            most = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
            resource.prlimit(front.process.pid, resource.RLIMIT_FSIZE, (0 if full else most, most))

    def wipe(self, front: FrontProcess) -> None:
        """Deletes all by which a front remembers anything."""
        for ending in KEPT_FILES:
            (self.folder / f"front-{front.number}.{ending}").unlink(missing_ok=True)

    async def stop_all(self) -> None:
        """Ends all, by SIGTERM or else by SIGKILL; one that had ended by itself is a failure."""
        for front in self.all:
            if front.process is not None and front.process.poll() is None:
                front.process.send_signal(signal.SIGCONT)
                front.process.terminate()
        await trio.sleep(END_WITHIN_SECONDS)
        for front in self.all:
            if front.process is None:
                continue
            if front.process.poll() is None:
                front.process.kill()
            elif front.running and front.process.returncode not in (0, -signal.SIGTERM):
                self.failures.append(f"front {front.number} ended with {front.process.returncode}")
            await front.process.wait()


async def read_first_line(stream: trio.abc.ReceiveStream, seconds: float) -> bytes:
    """The first line of a process, b"" if none came in time."""
    got = b""
    with trio.move_on_after(seconds):
        while not got.endswith(b"\n"):
            chunk = await stream.receive_some(1)
            if not chunk:
                return b""
            got += chunk
        return got.strip()
    return b""
