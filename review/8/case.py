"""Bad clients make a front end answer the usual viewers long after their time. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fleet2
import rig2

NODES = 3_200  # the page has 3,200 at most
CLIENTS = 8  # "some clients"
AT_ONCE = 250  # "hundreds of requests at once"
SETTLE = 9.0
FLOOD = 10.0
WATCH = 12.0  # after the flood, so that all answers fall due
LATE = 0.5 + rig2.SLACK  # after its time an answer only earns nothing; later it is lost
WORST_LAG = 0.25  # of this script, in seconds; past it the case counts as not run
MAX_SAID = 15
PLANS = [("course-lesson", 5.0), ("open-lesson", 4.0)]


async def be_viewers(viewers: rig2.Viewers, rng: random.Random, until: float) -> None:
    """The usual viewers; each waits for its answer."""
    while time.time() < until:
        plan, wait = rng.choice(PLANS)
        connection = await viewers.shared(8)
        if connection is not None:
            await viewers.ask(plan, f"{rng.randrange(30):016x}", wait, connection=connection)
        await asyncio.sleep(rng.expovariate(20.0))


async def be_bad(front: rig2.Front, record: rig2.Record) -> None:
    """The bad clients, in a process of their own."""
    words = [front.port, CLIENTS, AT_ONCE, FLOOD, "open-lesson", 4000, 40]
    command = [sys.executable, str(fleet2.REVIEW / "flood2.py"), *map(str, words)]
    record.add("the bad clients begin")
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    rig2.RUNNING.append(process)
    output, _ = await asyncio.to_thread(process.communicate)
    record.say(f"the bad clients end: {json.loads(output)}")


async def play(record: rig2.Record, folder: Path) -> int:
    """Plays the case."""
    rng = random.Random(8)
    channel = rig2.Channel(record)
    await channel.start()
    nodes = [fleet2.HostedNode(f"s-{rng.getrandbits(32):08x}", number % 40) for number in range(NODES)]
    await fleet2.start_hosts(nodes)
    channel.tell([node.member("up") for node in nodes], complete=True)
    deployment = rig2.settings(
        classes=[
            rig2.plan("course-lesson", "single_shot", 1000.0, 5000.0, 2.0),
            rig2.plan("open-lesson", "free", 1500.0, 4000.0, 1.0),
        ],
        models=["three-core"],
        zone="east-wing",
        zones=["east-wing", "west-wing"],
        familyInfo={
            "cells": 40,
            "groups": 40,
            "classSeats": [0, 0],
            "classTop": [4, 4],
            "floorByClass": [0, 0],
            "live": [False, False],
            "rateFactor": [1.2, 0.7],
            "uplinkKb": 0.0,
        },
    )
    front = rig2.Front("n0", 0, record, folder, rig2.configuration(channel, deployment, 192, 1024))
    await front.start()
    viewers = rig2.Viewers(front, record, "a000", "home:0;copies:40")
    lag = rig2.LagMeter()
    meter = asyncio.ensure_future(lag.run())
    asking = asyncio.ensure_future(be_viewers(viewers, rng, time.time() + SETTLE + FLOOD + 1))
    await asyncio.sleep(SETTLE)
    if rig2.TROUBLE:
        await be_bad(front, record)
    else:
        await asyncio.sleep(FLOOD)
    await asking
    await asyncio.sleep(WATCH)
    meter.cancel()
    if lag.worst > WORST_LAG:
        raise rig2.CannotRunError(f"this script itself ran {lag.worst:.2f} s late")
    return judge(record, viewers)


def judge(record: rig2.Record, viewers: rig2.Viewers) -> int:
    """Judges the answers to the usual viewers; one whose connection ended is not judged."""
    lost = []
    for request in viewers.requests.values():
        answered_at = request.messages[0][0] if request.messages else float("inf")
        if answered_at > request.give_up_at + LATE and not request.ended.is_set():
            lost.append((answered_at - request.sent_at, request))
    for took, request in sorted(lost, key=lambda found: -found[0])[:MAX_SAID]:
        wait = request.give_up_at - request.sent_at
        record.say(
            f"BROKEN: {request.session} waits {wait:.0f} s, and is told '{request.answer}' after {took:.2f} s"
        )
    told = [request.answer for request in viewers.requests.values()]
    counts = ", ".join(f"{told.count(answer)} {answer}" for answer in sorted(set(told)))
    record.say(f"usual viewers: {counts}; {len(lost)} answered over 0.55 s after their time, or never")
    return rig2.BROKEN if lost else rig2.HELD


rig2.main(str(Path(__file__).resolve().parent), play)
