"""The front ends of a day as processes: their files, their starts and ends, and faults of their machine."""

from __future__ import annotations

import resource
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio

from oakcroft.interface import MS
from oakcroft.standins.peer_network import PeerNetwork
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

OPERATORS_TOKEN = "rehearsal-operators"

START_WITHIN_SECONDS = 20
"""A process that has not printed its port within this has failed."""

END_WITHIN_SECONDS = 0.5
"""A front that still runs this long after SIGTERM is killed."""

LOG_TAIL = 500
"""Characters of the log that are shown of a front that did not start."""

SEED_MEMBERS = 2
"""How many fronts each front is configured with as seeds of its membership."""

PEERS_KEY = "5a" * 32
SEED_STEP = 1000
"""Keeps the random seeds of one day's fronts apart from another day's."""

PERSISTENT_FILES = ("start", "state", "state-wal", "state-shm", "list")
"""Suffixes of the files in which a front keeps data over a restart."""


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
    """All fronts of a day. The port of each is put into `ports`, and errors into `failures`."""

    day: Day
    folder: Path
    policy: str
    record: Record
    peer_network: PeerNetwork | None
    keeps_state: bool
    ports: dict[int, int]
    failures: list[str]
    list_port: int = 0
    all: list[FrontProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Creates an entry for each front of the day; none runs yet."""
        for number in range(len(self.day.front_zones)):
            name = f"front-{number}"
            self.all.append(FrontProcess(number, self.folder / f"{name}.oak", self.folder / f"{name}.log"))

    def in_wings(self, wings: tuple[str, ...]) -> list[FrontProcess]:
        """Returns the fronts of some wings."""
        return [front for front in self.all if self.day.front_zones[front.number] in wings]

    async def start_all(self) -> None:
        """Starts all fronts concurrently; returns once each listens, or has failed to start."""
        async with trio.open_nursery() as nursery:
            for front in self.all:
                nursery.start_soon(self.start, front)

    async def start(self, front: FrontProcess) -> None:
        """Writes a front's configuration and starts it; returns once it listens, or has failed to start."""
        front.file.write_text(self._configuration(front))
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

    def _configuration(self, front: FrontProcess) -> str:
        """A front's configuration, with the port that it had before, if any."""
        kept_list = self.folder / f"front-{front.number}.list"
        state = f'(state "{self.folder / f"front-{front.number}.state"}")' if self.keeps_state else ""
        return (
            f"{self._peers_configuration(front)}{self._shared_configuration()}"
            f"(front (number {front.number}) (seed {self.day.seed * SEED_STEP + front.number})\n"
            f'  (listen "127.0.0.1:{front.port}") (list-service "127.0.0.1:{self.list_port}")'
            f' (kept "{kept_list}") {state}\n'
            f'  (zone "{self.day.front_zones[front.number]}"))\n{self.day.site_text}\n'
        )

    def _peers_configuration(self, front: FrontProcess) -> str:
        if self.peer_network is None:
            return ""
        name = f"f{front.number}"
        host, port = self.peer_network.front_addresses[name]
        relay_host, _ = self.peer_network.relay_addresses[name]
        key_file = self.folder / "peers.key"
        start_file = self.folder / f"front-{front.number}.start"
        key_file.write_text(PEERS_KEY)
        seed_addresses = list(self.peer_network.relay_addresses.values())[:SEED_MEMBERS]
        seeds = " ".join(f'"{seed_host}:{seed_port}"' for seed_host, seed_port in seed_addresses)
        return (
            f'(operators (secret "{OPERATORS_TOKEN}"))'
            f' (peers (name {name}) (listen "{host}:{port}") (seeds {seeds})\n'
            f'  (advertise "{relay_host}:{port}") (key-file "{key_file}") (starts "{start_file}"))\n'
        )

    def _shared_configuration(self) -> str:
        """The optional parts of the configuration that are the same on all fronts."""
        text = ""
        if self.day.keepers:
            keepers = " ".join(f"f{number}" for number in self.day.keepers)
            text += f"(keepers (names {keepers}) (term {self.day.term_ns // MS}ms))\n"
        if self.day.shares_node_loads:
            text += "(probing)\n"
        if self.day.has_takeovers:
            text += "(adopting (after 500ms) (lease 15s))\n"
        return text

    def kill(self, front: FrontProcess) -> None:
        """Kills a front's process, if it runs."""
        if front.running and front.process is not None:
            front.running = False
            self.record.note("front killed", front=front.number)
            front.process.kill()

    async def pause(self, front: FrontProcess, process: trio.Process, seconds: float) -> None:
        """Stops a process of a front for a time by SIGSTOP, and resumes it."""
        self.record.note("front stands still", front=front.number)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.record.note("front goes on", front=front.number)

    def set_disk_full(self, front: FrontProcess, full: bool) -> None:
        """Makes the disk of a front seem full, or ends this, for its present process and those that follow.

        A limit on the size of files lets none of them grow, nor its log.
        """
        front.disk_full = full
        if front.running and front.process is not None:
            hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
            soft_limit = 0 if full else hard_limit
            resource.prlimit(front.process.pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit))

    def wipe(self, front: FrontProcess) -> None:
        """Deletes all files in which a front keeps data over a restart."""
        for suffix in PERSISTENT_FILES:
            (self.folder / f"front-{front.number}.{suffix}").unlink(missing_ok=True)

    async def stop_all(self) -> None:
        """Stops all fronts by SIGTERM, or else by SIGKILL; one that had ended by itself with an error is a failure."""
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
    """Returns the first line of a process's output, or b"" if none came in time."""
    line = b""
    with trio.move_on_after(seconds):
        while not line.endswith(b"\n"):
            byte = await stream.receive_some(1)
            if not byte:
                return b""
            line += byte
        return line.strip()
    return b""
