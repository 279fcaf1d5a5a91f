"""The front ends of a day as processes: their files, how they start and stop, and faults of their machines."""

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

START_TIMEOUT_SECONDS = 20
"""A process that has not printed its port after this time has failed."""

TERMINATION_TIMEOUT_SECONDS = 0.5
"""A front that still runs this long after SIGTERM is killed."""

MAX_LOG_TAIL = 500
"""How many last characters of its log are shown if a front did not start."""

SEED_MEMBER_COUNT = 2
"""Number of fronts that are the seed members of all."""

PEERS_KEY_HEX = "5a" * 32
RANDOM_SEED_FACTOR = 1000
"""The seed of a day is multiplied by this, so that fronts of different days have different random seeds."""

PERSISTENT_FILES = ("start", "state", "state-wal", "state-shm", "list")
"""Suffixes of the files in which a front stores data that survives a restart."""


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


@dataclass
class FrontProcesses:
    """All fronts of a day. The port of each is written to `ports`, and errors are appended to `failures`."""

    day: Day
    folder: Path
    policy: str
    record: Record
    peer_network: PeerNetwork | None
    keeps_state: bool
    ports: dict[int, int]
    failures: list[str]
    list_port: int = 0
    processes: list[FrontProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Creates an entry for each front of the day; none runs yet."""
        for number in range(len(self.day.front_zones)):
            name = f"front-{number}"
            self.processes.append(
                FrontProcess(number, self.folder / f"{name}.oak", self.folder / f"{name}.log")
            )

    def in_zones(self, zones: tuple[str, ...]) -> list[FrontProcess]:
        """Returns the fronts of some zones."""
        return [front for front in self.processes if self.day.front_zones[front.number] in zones]

    async def start_all(self) -> None:
        """Starts all fronts concurrently; returns once each listens, or has failed to start."""
        async with trio.open_nursery() as nursery:
            for front in self.processes:
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
        line = await read_first_line(front.process.stdout, START_TIMEOUT_SECONDS)
        if not line:
            tail = front.log.read_text()[-MAX_LOG_TAIL:]
            self.failures.append(f"front {front.number} did not start: {tail}")
            return
        front.port = int(line.split(b":")[-1])
        front.running = True
        if front.disk_full:
            self.set_disk_full(front, True)
        self.ports[front.number] = front.port
        self.record.note("front started", front=front.number)

    def _configuration(self, front: FrontProcess) -> str:
        """Returns a front's configuration, with the port that it had before, if any."""
        list_cache = self.folder / f"front-{front.number}.list"
        state = f'(state "{self.folder / f"front-{front.number}.state"}")' if self.keeps_state else ""
        return (
            f"{self._peers_configuration(front)}{self._shared_configuration()}"
            f"(front (number {front.number}) (seed {self.day.seed * RANDOM_SEED_FACTOR + front.number})\n"
            f'  (listen "127.0.0.1:{front.port}") (list-service "127.0.0.1:{self.list_port}")'
            f' (kept "{list_cache}") {state}\n'
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
        key_file.write_text(PEERS_KEY_HEX)
        seed_addresses = list(self.peer_network.relay_addresses.values())[:SEED_MEMBER_COUNT]
        seeds = " ".join(f'"{seed_host}:{seed_port}"' for seed_host, seed_port in seed_addresses)
        return (
            f'(operators (secret "{OPERATORS_TOKEN}"))'
            f' (peers (name {name}) (listen "{host}:{port}") (seeds {seeds})\n'
            f'  (advertise "{relay_host}:{port}") (key-file "{key_file}") (starts "{start_file}"))\n'
        )

    def _shared_configuration(self) -> str:
        """Returns the optional parts of the configuration that are the same on all fronts."""
        text = ""
        if self.day.lease_acceptors:
            names = " ".join(f"f{number}" for number in self.day.lease_acceptors)
            text += f"(keepers (names {names}) (term {self.day.lease_duration_ns // MS}ms))\n"
        if self.day.shares_node_loads:
            text += "(probing)\n"
        if self.day.has_takeovers:
            text += "(adopting (after 500ms) (lease 15s))\n"
        return text

    def kill(self, front: FrontProcess) -> None:
        """Kills the process of a front if it is running."""
        if front.running and front.process is not None:
            front.running = False
            self.record.note("front killed", front=front.number)
            front.process.kill()

    async def pause(self, front: FrontProcess, process: trio.Process, seconds: float) -> None:
        """Pauses a process of a front for a time by SIGSTOP, and resumes it."""
        self.record.note("front stands still", front=front.number)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.record.note("front goes on", front=front.number)

    def set_disk_full(self, front: FrontProcess, full: bool) -> None:
        """Makes the disk of a front appear full, or ends this, for its present process and those that follow.

        A limit on the file size of the process stops all its files from growing, its log included.
        """
        front.disk_full = full
        if front.running and front.process is not None:
            hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
            soft_limit = 0 if full else hard_limit
            resource.prlimit(front.process.pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit))

    def wipe(self, front: FrontProcess) -> None:
        """Deletes all files in which a front stores data that survives a restart."""
        for suffix in PERSISTENT_FILES:
            (self.folder / f"front-{front.number}.{suffix}").unlink(missing_ok=True)

    async def stop_all(self) -> None:
        """Stops all fronts by SIGTERM, or else by SIGKILL; a front that had already exited with an error is a failure."""
        for front in self.processes:
            if front.process is not None and front.process.poll() is None:
                front.process.send_signal(signal.SIGCONT)
                front.process.terminate()
        await trio.sleep(TERMINATION_TIMEOUT_SECONDS)
        for front in self.processes:
            if front.process is None:
                continue
            if front.process.poll() is None:
                front.process.kill()
            elif front.running and front.process.returncode not in (0, -signal.SIGTERM):
                self.failures.append(f"front {front.number} exited with status {front.process.returncode}")
            await front.process.wait()


async def read_first_line(stream: trio.abc.ReceiveStream, timeout_seconds: float) -> bytes:
    """Returns the first line of the output of a process, or b"" if it ends or the time is over before."""
    line = b""
    with trio.move_on_after(timeout_seconds):
        while not line.endswith(b"\n"):
            byte = await stream.receive_some(1)
            if not byte:
                return b""
            line += byte
        return line.strip()
    return b""
