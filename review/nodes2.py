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
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

import rig2

UNKNOWN_TITLES_FROM = 1 << 32  # as in flood2.py


async def refuse_unknown_title(
    node: rig2.Node, session: str, message: dict[str, Any], writer: asyncio.StreamWriter
) -> bool:
    """Answers 'error' to a set-up for a title that no node knows."""
    if int(message["attrs"]["key"], 16) < UNKNOWN_TITLES_FROM:
        return False
    del node.pending[session]
    node.send(writer, "close", session, {"load": node.load()}, code=47)
    return True


async def host() -> None:
    """Hosts the nodes until standard input ends."""
    rng = random.Random(sys.argv[1])
    record = rig2.Record(Path("."))
    record.add = lambda text: None  # type: ignore[method-assign]
    nodes = {name: rig2.Node(name, record, rng, life=(1.5, 3.0)) for name in sys.argv[2:]}
    for node in nodes.values():
        node.on_open = refuse_unknown_title
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
