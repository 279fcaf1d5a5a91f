"""A front end that comes back to a channel with much to tell never takes its answer. See claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fleet2
import rig2

NODES = 2_400  # the page has up to 3,200
REPLACED = NODES * 6 // 10  # six in ten
RELEASE = 7.0  # seconds for all of them
STEPS = 35
DOWN = 8.0  # seconds; the release begins one second after it does
GRACE = 0.25 + rig2.SLACK
TITLES = 300
WATCH = 20.0  # after discovery is back
CLASSES = [
    rig2.plan("course-lesson", "single_shot", 1000.0, 5000.0, 2.0),
    rig2.plan("open-lesson", "free", 1500.0, 4000.0, 1.0),
]


async def release(
    channel: rig2.Channel, old: list[fleet2.HostedNode], new: list[fleet2.HostedNode], record: rig2.Record
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
            await viewers.ask(plan, f"{rng.randrange(TITLES):016x}", wait, connection=connection)
        await asyncio.sleep(rng.expovariate(20.0))


async def play(record: rig2.Record, folder: Path) -> int:
    """Plays the case."""
    rng = random.Random(7)
    channel = rig2.Channel(record)
    await channel.start()
    nodes = [
        fleet2.HostedNode(f"s-{rng.getrandbits(32):08x}", number % 40) for number in range(NODES + REPLACED)
    ]
    hosts = await fleet2.start_hosts(nodes)
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
    viewers = rig2.Viewers(front, record, "a000", "home:0;copies:40")
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
    opens = await fleet2.collect_opens(hosts)
    requests = list(viewers.requests.values())
    record.say(f"{len(requests)} set-ups asked, {sum(one.answer == 'served' for one in requests)} served")
    record.say(f"{sum(len(found) for found in opens.values())} set-ups at nodes")
    return judge(record, old, opens, asked_again_at)


def judge(
    record: rig2.Record,
    old: list[fleet2.HostedNode],
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
