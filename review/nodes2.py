"""Hosts many playout nodes in one process, for a case with a large fleet.

`nodes2.py SEED NAME...` prints a line of JSON with the port of each node. A line `draining NAME` on standard input
changes a node; at the end of standard input it prints the set-ups that each node received, and ends.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import rig2


async def host() -> None:
    """Hosts the nodes until standard input ends."""
    rng = random.Random(sys.argv[1])
    record = rig2.Record(Path("."))
    record.add = lambda text: None  # type: ignore[method-assign]
    nodes = {name: rig2.Node(name, record, rng, life=(1.5, 3.0)) for name in sys.argv[2:]}
    for node in nodes.values():
        await node.start()
    print(json.dumps({name: node.port for name, node in nodes.items()}), flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        phase, name = line.decode().split()
        nodes[name].phase = phase
    print(json.dumps({name: node.opens for name, node in nodes.items() if node.opens}), flush=True)
    os._exit(0)


asyncio.run(host())
