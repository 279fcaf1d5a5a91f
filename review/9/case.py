"""A bad client's figures decide where the set-ups of other viewers go. See claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

CELLS = 14
COPIES = 4  # cells that hold a title; the page has three at least
TITLES = 24
BAD_COPIES = ("1", "2")  # out of range: the page has three at least
SETTLE = 7.0
PLAY = 20.0


def home_of(title: int) -> int:
    """The first cell that holds a title."""
    return title * 5 % CELLS


def holds(cell: int, title: int) -> bool:
    """Whether a cell holds a title."""
    return (cell - home_of(title)) % CELLS < COPIES


async def answer_error_elsewhere(
    node: rig2.Node, session: str, message: dict, writer: asyncio.StreamWriter
) -> bool:
    """A node that does not hold the title answers 'error'; else it answers as usual."""
    if holds(node.cell, int(message["attrs"]["key"], 16)):
        return False
    del node.pending[session]
    node.record.add(f"node {node.name} in cell {node.cell} does not hold {message['attrs']['key']}: error")
    node.send(writer, "close", session, {}, code=47)
    return True


async def be_bad(viewers: rig2.Viewers, until: float) -> None:
    """A bad client asks for each title with figures that are out of range."""
    title = 0
    while time.time() < until:
        extras = f"home:{(home_of(title) + CELLS // 2) % CELLS};copies:{BAD_COPIES[title % 2]}"
        await viewers.ask("live-class", f"{title % TITLES:016x}", 5.0, extras=extras)
        title += 1
        await asyncio.sleep(0.25)


async def be_viewers(viewers: rig2.Viewers, rng: random.Random, until: float) -> None:
    """The usual viewers ask with the figures of the title."""
    while time.time() < until:
        title = min(rng.randrange(TITLES), rng.randrange(TITLES))
        plan = rng.choice(["live-class", "recorded-class"])
        connection = await viewers.shared(6)
        extras = f"home:{home_of(title)};copies:{COPIES}"
        if connection is not None:
            await viewers.ask(plan, f"{title:016x}", 5.0, extras=extras, connection=connection)
        await asyncio.sleep(rng.expovariate(10.0))


async def play(record: rig2.Record, folder: Path) -> int:
    """Plays the case."""
    rng = random.Random(9)
    channel = rig2.Channel(record)
    await channel.start()
    nodes = [
        rig2.Node(f"s-{rng.getrandbits(32):08x}", record, rng, cell=cell, kind="std-3core", life=(2.0, 4.0))
        for cell in range(CELLS)
    ]
    for node in nodes:
        node.on_open = answer_error_elsewhere
        await node.start()
    channel.tell([node.member() for node in nodes], complete=True)
    deployment = rig2.settings(
        classes=[
            rig2.plan("live-class", "free", 800.0, 5000.0, 3.0),
            rig2.plan("recorded-class", "free", 800.0, 5000.0, 1.0),
        ],
        models=["std-3core"],
        familyInfo={
            "classSeats": [0, 0],
            "floorByClass": [0, 0],
            "classTop": [4, 3],
            "rateFactor": [1.4, 0.7],
        },
        rules={"drainGraceMs": 2000.0, "overloadForMs": 3000.0},
    )
    front = rig2.Front("n0", 0, record, folder, rig2.configuration(channel, deployment))
    await front.start()
    usual = rig2.Viewers(front, record, "a000", "")
    bad = rig2.Viewers(front, record, "bad0", "")
    until = time.time() + SETTLE + PLAY
    work = [be_viewers(usual, rng, until)]
    if rig2.TROUBLE:
        work.append(be_bad(bad, until))
    await asyncio.gather(*work)
    await asyncio.sleep(1.0)
    return judge(record, nodes, usual)


def judge(record: rig2.Record, nodes: list[rig2.Node], usual: rig2.Viewers) -> int:
    """Judges where the set-ups of the usual viewers went."""
    broken = 0
    for node in nodes:
        for _, session, title in node.opened_titles:
            if session in usual.requests and not holds(node.cell, int(title, 16)):
                broken += 1
                asked = f"home:{home_of(int(title, 16))};copies:{COPIES}"
                record.say(
                    f"BROKEN: {session} asked with {asked}, and went to {node.name} in cell {node.cell}"
                )
    told = [request.answer for request in usual.requests.values()]
    counts = ", ".join(f"{told.count(answer)} {answer}" for answer in sorted(set(told)))
    record.say(f"usual viewers: {counts}; {broken} of their set-ups at nodes that do not hold the title")
    return rig2.BROKEN if broken else rig2.HELD


rig2.main(str(Path(__file__).resolve().parent), play)
