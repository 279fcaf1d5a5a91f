"""A front end that comes back to a channel with much to tell never takes its answer. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import TextIO

REVIEW = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REVIEW))

import rig2  # noqa: E402

NODES = 2_400  # the page has up to 3,200
REPLACED = NODES * 6 // 10  # six in ten
RELEASE = 7.0  # seconds for all of them
STEPS = 35
DOWN = 8.0  # seconds; the release begins one second after it does
HOSTS = 8
GRACE = 0.25 + rig2.SLACK
WATCH = 12.0  # after discovery is back
CLASSES = [
    rig2.plan("course-lesson", "single_shot", 1000.0, 5000.0, 2.0),
    rig2.plan("open-lesson", "free", 1500.0, 4000.0, 1.0),
]


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


async def release(
    channel: rig2.Channel, old: list[HostedNode], new: list[HostedNode], record: rig2.Record
) -> None:
    """Replaces nodes: the old ones drain, to the end of the case, and each has a successor."""
    for step in range(STEPS):
        leaving, coming = old[step::STEPS], new[step::STEPS]
        for node in leaving:
            node.host_input.write(f"draining {node.name}\n")
            node.drained_at = time.time()
        for host_input in {id(node.host_input): node.host_input for node in leaving}.values():
            host_input.flush()
        for node in coming:
            node.up_since_ms = int(time.time() * 1000)
        channel.tell(
            [*(node.member("draining") for node in leaving), *(node.member("up") for node in coming)]
        )
        await asyncio.sleep(RELEASE / STEPS)
    record.say(f"the release is over: {len(old)} of {NODES} nodes drain, {len(channel.events)} events")


async def be_viewers(viewers: rig2.Viewers, rng: random.Random, until: float) -> None:
    """Sends set-ups on a few connections."""
    while time.time() < until:
        plan, wait = rng.choice([("course-lesson", 5.0), ("open-lesson", 4.0)])
        connection = await viewers.shared(8)
        if connection is not None:
            await viewers.ask(plan, f"{rng.randrange(30):016x}", wait, connection=connection)
        await asyncio.sleep(rng.expovariate(20.0))


async def play(record: rig2.Record, folder: Path) -> int:
    """Plays the case."""
    rng = random.Random(6)
    channel = rig2.Channel(record)
    await channel.start()
    nodes = [HostedNode(f"s-{rng.getrandbits(32):08x}", number % 40) for number in range(NODES + REPLACED)]
    hosts = await start_hosts(nodes)
    first, new = nodes[:NODES], nodes[NODES:]
    old = first[:REPLACED]
    channel.tell([node.member("up") for node in first], complete=True)
    deployment = rig2.settings(
        classes=CLASSES, models=["three-core"], zone="east-wing", zones=["east-wing", "west-wing"],
        familyInfo={"cells": 40, "groups": 40, "classSeats": [0, 0], "floorByClass": [0, 0], "live": [False, False],
                    "rateFactor": [1.2, 0.7], "uplinkKb": 0.0, "classTop": [4, 4]},
    )  # fmt: skip
    config = rig2.configuration(channel, deployment, memory_mb=192, sockets=1024)
    front = rig2.Front("n0", 0, record, folder, config)
    await front.start()
    viewers = rig2.Viewers(front, record, "a000")
    asking = asyncio.ensure_future(be_viewers(viewers, rng, time.time() + 6 + 1 + DOWN + WATCH))
    await asyncio.sleep(6)
    record.add("discovery goes down" if rig2.TROUBLE else "discovery stays up")
    if rig2.TROUBLE:
        channel.stop()
    back_at = time.time() + DOWN
    await asyncio.sleep(1.0)
    await release(channel, old, new, record)
    await asyncio.sleep(max(0.0, back_at - time.time()))
    if rig2.TROUBLE:
        await channel.start()
        record.add("discovery is back")
    await asking
    told = [at for at, after, _ in channel.polls if at >= back_at - 0.001 and after < len(channel.events)]
    if rig2.TROUBLE and not told:
        raise rig2.CannotRunError("the front end never asked again")
    asked_again_at = min(told, default=0.0)
    if rig2.TROUBLE:
        record.say(f"asked again {asked_again_at - back_at:.2f} s after the return, {len(told)} times in all")
    opens = await collect_opens(hosts)
    requests = list(viewers.requests.values())
    record.say(f"{len(requests)} set-ups asked, {sum(one.answer == 'served' for one in requests)} served")
    record.say(f"{sum(len(found) for found in opens.values())} set-ups at nodes")
    return judge(record, old, opens, asked_again_at)


async def collect_opens(hosts: list[subprocess.Popen[str]]) -> dict[str, list[tuple[float, str, str]]]:
    """Ends the hosts; returns the set-ups that each node received."""
    opens: dict[str, list[tuple[float, str, str]]] = {}
    for host in hosts:
        if host.stdin is not None and host.stdout is not None:
            host.stdin.close()
            opens |= json.loads(await asyncio.to_thread(host.stdout.readline))
    return opens


def judge(
    record: rig2.Record,
    old: list[HostedNode],
    opens: dict[str, list[tuple[float, str, str]]],
    asked_again_at: float,
) -> int:
    """Judges the set-ups at the nodes that drain.

    With the channel up, an event is told when it is there; else when the front end has asked again, which is the latest
    time that the pages give.
    """
    late = [
        (at, node.name, session)
        for node in old
        for at, session, _ in opens.get(node.name, [])
        if at > max(node.drained_at, asked_again_at) + GRACE
    ]
    for at, name, session in sorted(late)[:20]:
        since = f", {at - asked_again_at:.2f} s after the front end asked again" if rig2.TROUBLE else ""
        record.say(f"BROKEN: draining node {name} got set-up {session}{since}")
    record.say(f"{len(late)} set-ups at nodes that the front end had been told drain")
    return rig2.BROKEN if late else rig2.HELD


rig2.main(str(Path(__file__).resolve().parent), play)
