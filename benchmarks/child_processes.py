"""Child processes of the benchmarks: a front, and the stand-in nodes that it uses."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

SITE = """(fleet (fronts 1) (cells {nodes}) (racks 4) (copies 6)
    (cold-for 200ms) (fall-multiple 90) (fall-window 1s) (reports-every 2s) (seen-after 500ms))
  (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
  (plan open (effect free) (startup-target 1s) (abandon 5s) (revenue 1))
  (route open (path "/whep/open/") (plan open))"""
WARM_UP_S = 7.0
"""A front takes all nodes for cold in the first 6 s after its start."""


def day_text(nodes: int) -> str:
    """Returns a stand-in day whose nodes have room for all playbacks."""
    lines = "".join(
        f"(node n{i} (wing a) (cell {i}) (link 100000000kB/s) (places 100000))\n" for i in range(nodes)
    )
    return (
        f"(day (length 1h) (fronts a) (setup 1ms 1ms) (late 0ms 0ms) (site {SITE.format(nodes=nodes)})\n{lines}"
        "(viewers (rate 1/s) (titles 1) (plan open (share 1) (life 1s))))"
    )


class Process:
    """A child process that prints one line when it is ready."""

    def __init__(self, *arguments: str) -> None:
        """Sets the arguments of `python -m oakcroft`; the process is not started yet."""
        self.command = [sys.executable, "-m", "oakcroft", *arguments]
        self.child: trio.Process | None = None

    async def start(self, log: Path) -> bytes:
        """Starts the process and returns its first line of output."""
        self.child = await trio.lowlevel.open_process(
            self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log.open("wb")
        )
        assert self.child.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            chunk = await self.child.stdout.receive_some(1)
            if not chunk:
                raise RuntimeError(log.read_text()[-1000:])
            line += chunk
        return line

    async def stop(self) -> None:
        """Kills the process, if it was started."""
        if self.child is not None:
            self.child.kill()
            await self.child.wait()

    def resident_bytes(self) -> int:
        """Returns the resident size."""
        assert self.child is not None
        pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def processor_seconds(self) -> float:
        """Returns the processor time used so far."""
        assert self.child is not None
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def stand_in_process(folder: Path, day: str) -> Process:
    """Writes the day to a file and returns the process that plays its nodes, not started yet."""
    (folder / "day.oak").write_text(day)
    return Process(
        "stand-in",
        str(folder / "day.oak"),
        "--seed",
        "1",
        "--start",
        str(1 << 62),
        "--record",
        str(folder / "record"),
    )


async def start_front(front: Process, log: Path) -> int:
    """Starts a front and returns the port on which it listens."""
    return int((await front.start(log)).split(b":")[-1])


class FrontAndNodes(NamedTuple):
    """A running front with the stand-in nodes that it uses."""

    front: Process
    nodes: Process
    port: int
    """On which the front listens."""
    node_ports: list[int]

    async def stop(self) -> None:
        """Kills both processes."""
        await self.front.stop()
        await self.nodes.stop()


async def start_front_and_nodes(
    folder: Path, day: str, site: str, front_options: str = "", further_forms: str = ""
) -> FrontAndNodes:
    """Starts the nodes of a day and a front with this site, further options and further forms of its configuration."""
    nodes = stand_in_process(folder, day)
    greeting = orjson.loads(await nodes.start(folder / "fleet.log"))
    front_form = (
        f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}"){front_options})'
    )
    (folder / "front.oak").write_text(f"{front_form}\n{site}{further_forms}")
    front = Process("serve", str(folder / "front.oak"))
    port = await start_front(front, folder / "front.log")
    return FrontAndNodes(front, nodes, port, greeting["nodes"])
