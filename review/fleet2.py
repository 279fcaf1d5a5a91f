"""A large fleet of playout nodes, hosted by a few processes (`nodes2.py`)."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import TextIO

import rig2

REVIEW = Path(__file__).resolve().parent
HOSTS = 8


class HostedNode:
    """A node in one of the host processes."""

    def __init__(self, name: str, cell: int) -> None:
        """Creates a node without an address."""
        self.name = name
        self.cell = cell
        self.port = 0
        self.up_since_ms = 0
        self.drained_at = 0.0
        self.host_input: TextIO = sys.stdout  # of the process that hosts it; set when it has been started

    def member(self, phase: str) -> dict[str, object]:
        """The node as the command channel lists it."""
        return {
            "id": self.name, "host_port": f"{rig2.HOST}:{self.port}", "locality": "east-wing",
            "flavor": "three-core", "cell": self.cell, "phase": phase, "size": 1, "up_since_ms": self.up_since_ms,
        }  # fmt: skip


async def start_hosts(nodes: list[HostedNode]) -> list[subprocess.Popen[str]]:
    """Starts the processes that host the nodes."""
    hosts = []
    for number in range(HOSTS):
        own = nodes[number::HOSTS]
        command = [sys.executable, str(REVIEW / "nodes2.py"), str(number), *(node.name for node in own)]
        host = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        rig2.RUNNING.append(host)  # type: ignore[arg-type]
        hosts.append(host)
    for number, host in enumerate(hosts):
        if host.stdout is None:
            continue
        ports = json.loads(await asyncio.to_thread(host.stdout.readline))
        for node in nodes[number::HOSTS]:
            node.host_input, node.port = host.stdin or node.host_input, ports[node.name]
    return hosts


async def collect_opens(hosts: list[subprocess.Popen[str]]) -> dict[str, list[tuple[float, str, str]]]:
    """Ends the hosts; returns the set-ups that each node received."""
    opens: dict[str, list[tuple[float, str, str]]] = {}
    for host in hosts:
        if host.stdin is not None and host.stdout is not None:
            host.stdin.close()
            opens |= json.loads(await asyncio.to_thread(host.stdout.readline))
    return opens
