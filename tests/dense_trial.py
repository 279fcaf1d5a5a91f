"""A short, dense trial of one front end process: many faults at once, drawn from a seed and judged by the pages.

`python tests/dense_trial.py FIRST_SEED COUNT [PARALLEL]` plays seeds by hand, and prints what broke a rule in each.
"""

from __future__ import annotations

import argparse
import math
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

import orjson
import trio
from dense_judge import judge
from dense_peers import TrialChannel, TrialNode, TrialRecord, TrialViewers
from loopback_addresses import next_loopback_address
from platform_rig import SETTINGS

from oakcroft.platformwire import framing

NODES = 6
ROOT = Path(__file__).resolve().parent.parent
SETTLE_SECONDS = 1.0
PLAY_SECONDS = 22.0
WATCH_SECONDS = 13.0
"""After the last fault, so that every release falls due."""

SETUP_INTERVAL = 0.045
WAIT_MS = {"paid": 1200, "free": 1500}
STOP_TO_KILL = 3.7
"""The longest deadline, counted as 3 s at least, and 0.7 s."""

FLOOD_SECONDS = 2.0
MAX_PRINTED_BREACHES = 5
RECORDS = ROOT / "found" / "records"


class Whim(Enum):
    """What a viewer does after its set-up."""

    STAYS = "stays"
    GIVES_UP = "gives up at once"
    ENDS_EARLY = "ends its session early"
    LEAVES = "closes its connection"


WHIM_WEIGHTS = [880, 80, 30, 10]


@dataclass
class TrialResult:
    """What a seed has shown."""

    seed: int
    breaches: list[str]
    requests: int
    answered: int
    sessions: int
    events: list[tuple[float, str]] = field(default_factory=list)
    log: str = ""


class DenseTrial:
    """One trial: the front end process, its peers, and the faults that the seed draws."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Draws the deployment."""
        self.seed = seed
        self.folder = folder
        self.rng = Random(seed)
        self.record = TrialRecord()
        self.note_interval = self.rng.choice([2.5, 3.0, 4.5, 5.0, 0.0])
        self.may_test = self.rng.choice([True, True, False])
        self.nodes = [
            TrialNode(f"s{number}", number % 2, self.record, Random(f"{seed} {number}"), self.note_interval)
            for number in range(NODES)
        ]
        self.channel = TrialChannel(self.record, next_loopback_address())
        self.address = next_loopback_address()
        self.viewers = [
            TrialViewers(self.record, Random(f"{seed} viewers {number}"), lambda: self.address)
            for number in range(4)
        ]
        self.stops: list[float] = []
        self.process: trio.Process | None = None
        self.crashes: list[str] = []
        self.next_name = NODES
        self.names = {node.name: node for node in self.nodes}

    def configuration(self) -> dict[str, Any]:
        """The front end's configuration; what the channel has told by now is known."""
        family = SETTINGS["familyInfo"] | {
            "reportsEveryMs": 1000 * self.note_interval,
            "seenAfterMs": 900.0,
        }
        permissions = SETTINGS["permissions"] | {
            "probing": self.may_test,
            "connIdleMs": self.rng.choice([4000.0, 15000.0]),
            "streamsPerConn": 32,
        }
        return {
            "name": "n0",
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": "07",
            "limits": {"sockets": 256, "memory_mb": 96, "cores": 1.0},
            "channel": f"{self.channel.host}:{self.channel.port}",
            "known": {"cursor": len(self.channel.events), "cmds": self.channel.events},
            "settings": SETTINGS | {"familyInfo": family, "permissions": permissions},
        }

    async def start_front(self) -> None:
        """Starts the front end's process."""
        self.address = next_loopback_address()
        file = self.folder / f"config-{len(self.stops)}.json"
        file.write_bytes(orjson.dumps(self.configuration()))
        log = (self.folder / "front.log").open("ab")
        environment = {**os.environ, "PROXY_CONFIG": str(file)}
        command = [sys.executable, "-m", "oakcroft", "platform"]
        self.process = await trio.lowlevel.open_process(
            command, env=environment, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
        )
        while not await self._passes_test():
            if self.process.poll() is not None:
                raise RuntimeError("the front end ended at its start")

    async def _passes_test(self) -> bool:
        """Whether the front end passes a test on a connection of its own."""
        with suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(*self.address) as stream:
                await stream.send_all(
                    framing.encode(framing.TEST, "00000000000000fe", (framing.CAUSE, b"\0"))
                )
                with trio.move_on_after(1.0):
                    return b"\x01" in (await stream.receive_some(4096))[-1:]
        await trio.sleep(0.05)
        return False

    async def play(self) -> TrialResult:
        """Plays the trial; ends the front end's process in any case, which else would go on to call others' ports."""
        try:
            return await self._play()
        finally:
            if self.process is not None and self.process.poll() is None:
                self.process.kill()

    async def _play(self) -> TrialResult:
        """Plays the trial."""
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                await nursery.start(node.run)
            await self.channel.listen(nursery)
            self.channel.tell([node.member("up") for node in self.nodes], complete=True)
            await self.start_front()
            for viewers in self.viewers:
                nursery.start_soon(viewers.run)
            await trio.sleep(SETTLE_SECONDS)
            nursery.start_soon(self._draw_faults, nursery)
            await self._send_setups(nursery)
            await trio.sleep(WATCH_SECONDS)
            nursery.cancel_scope.cancel()
        return self._result(trio.current_time())

    def _result(self, ended_at: float) -> TrialResult:
        """Ends the process and judges what was recorded."""
        assert self.process is not None
        if (code := self.process.poll()) is not None:
            self.crashes.append(f"the front end ended with {code}")
        else:
            self.process.kill()
        log = (self.folder / "front.log").read_text(errors="replace")
        self.crashes += [
            line for line in log.splitlines() if "Traceback" in line or '"level":"error"' in line
        ]
        answered = sum(
            bool(request.answers) and request.answers[0][1] == framing.ANSWER
            for request in self.record.requests.values()
        )
        return TrialResult(
            self.seed,
            [*self.crashes, *judge(self.record, self.nodes, self.channel, self.stops, ended_at)],
            len(self.record.requests),
            answered,
            len(self.record.sessions),
            self.record.events,
            log,
        )

    async def _send_setups(self, nursery: trio.Nursery) -> None:
        """Sends set-ups; some viewers give up early, some leave, some ask again under the same id."""
        ends_at = trio.current_time() + PLAY_SECONDS
        number = 0
        while trio.current_time() < ends_at:
            await trio.sleep(self.rng.expovariate(1 / SETUP_INTERVAL))
            number += 1
            nursery.start_soon(
                self._be_viewer, f"{self.seed % 65536:04x}{number:012x}", Random(f"{self.seed} {number}")
            )

    async def _be_viewer(self, session_id: str, rng: Random) -> None:
        """Plays one viewer."""
        viewers = rng.choice(self.viewers)
        plan = rng.choice(["paid", "free"])
        request = await viewers.ask(session_id, plan, WAIT_MS[plan])
        if request is None:
            return
        whim = rng.choices(list(Whim), WHIM_WEIGHTS)[0]
        if whim is Whim.GIVES_UP:
            await trio.sleep(rng.uniform(0.0, 0.3))
            await viewers.give_up(request)
        elif whim is Whim.ENDS_EARLY:
            await trio.sleep(rng.uniform(0.5, 4.0))
            await viewers.give_up(request)
        elif whim is Whim.LEAVES:
            viewers.leave()

    async def _draw_faults(self, nursery: trio.Nursery) -> None:
        """Draws one fault after the other."""
        rng = self.rng
        if rng.choice([True, False]):
            for node in self.nodes:
                node.may_fail_answers = True
        faults = [self._hang_shortly, self._hang_long, self._reset, self._drain, self._replace, self._trouble_channel,
                  self._flood]  # fmt: skip
        if rng.choice([True, True, False, False, False]):
            faults.append(self._restart)
        began_at = trio.current_time()
        while trio.current_time() < began_at + PLAY_SECONDS - 4:
            await trio.sleep(rng.uniform(0.4, 2.0))
            fault = rng.choice(faults)
            if fault == self._restart:
                faults.remove(fault)
            nursery.start_soon(fault, nursery)

    def _quiet_node(self) -> TrialNode | None:
        """Returns a node that is up and awake."""
        nodes = [node for node in self.nodes if node.phase == "up" and node.awake.is_set()]
        return self.rng.choice(nodes) if len(nodes) > NODES // 2 else None

    async def _hang_shortly(self, nursery: trio.Nursery) -> None:
        """A node hangs for up to 3 s."""
        if (node := self._quiet_node()) is not None:
            await node.hang(self.rng.uniform(0.3, 2.9))

    async def _hang_long(self, nursery: trio.Nursery) -> None:
        """A node hangs for long, maybe to the end."""
        if (node := self._quiet_node()) is not None:
            await node.hang(self.rng.choice([6.0, 12.0, 60.0]))

    async def _reset(self, nursery: trio.Nursery) -> None:
        """A node resets its connections, maybe several times."""
        for _ in range(self.rng.choice([1, 1, 3])):
            if (node := self._quiet_node()) is not None:
                node.reset_connections()
            await trio.sleep(self.rng.uniform(0.05, 0.5))

    def _tell(self, node: TrialNode, phase: str, name: str) -> None:
        """Tells a phase of a node on the channel, and notes when it counts as told."""
        self.channel.tell([node.member(phase, name)])
        node.told_phases.append((trio.current_time(), phase, name))

    async def _drain(self, nursery: trio.Nursery) -> None:
        """A node drains; it comes back, or is removed and replaced by another at its address."""
        if (node := self._quiet_node()) is None:
            return
        node.phase = "draining"
        self._tell(node, "draining", node.name)
        await trio.sleep(self.rng.uniform(1.0, 5.0))
        if self.rng.choice([True, False]):
            self._tell(node, "up", node.name)
        else:
            self._rename(node, is_told_at_once=True)
        node.phase = "up"

    def _rename(self, node: TrialNode, *, is_told_at_once: bool) -> str:
        """Lets another node take a node's address; returns the former name."""
        former, name = node.name, f"s{self.next_name}"
        self.next_name += 1
        node.be_replaced(name)
        if is_told_at_once:
            self._tell(node, "removed", former)
            self._tell(node, "up", name)
        return former

    async def _replace(self, nursery: trio.Nursery) -> None:
        """A node dies, and another one takes its address; where notes prove it, discovery tells it late."""
        if (node := self._quiet_node()) is None:
            return
        node.phase = "replaced"
        is_late = bool(self.note_interval) and self.rng.choice([True, False])
        former = self._rename(node, is_told_at_once=not is_late)
        if is_late:
            await trio.sleep(self.rng.uniform(1.0, 15.0))
            self._tell(node, "removed", former)
            self._tell(node, "up", node.name)
        node.phase = "up"

    async def _trouble_channel(self, nursery: trio.Nursery) -> None:
        """Discovery is down, silent or slow, and a node drains close to its return."""
        began_at = trio.current_time()
        if self.channel.troubles and began_at < self.channel.troubles[-1][1] + 1:
            return
        self.channel.troubles.append((began_at, math.inf))
        seconds = self.rng.uniform(0.5, 5.0)
        trouble = self.rng.choice(["down", "silent", "slow"])
        if trouble == "down":
            await self.channel.be_down(seconds, nursery)
        elif trouble == "silent":
            await self.channel.be_silent(seconds)
        else:
            await self.channel.be_slow(seconds, self.rng.uniform(0.3, 2.5))
        self.channel.troubles[-1] = (began_at, trio.current_time())
        await self._drain(nursery)

    async def _flood(self, nursery: trio.Nursery) -> None:
        """A bad client sends small or unsound requests at full speed for a time, under ever new names."""
        self.record.write("a bad client floods")
        kind = self.rng.choice(["tests", "releases", "unsound", "half"])
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            async with await trio.open_tcp_stream(*self.address) as stream:
                with trio.move_on_after(FLOOD_SECONDS):
                    for number in range(1_000_000):
                        await stream.send_all(flood_message(kind, number))

    async def _restart(self, nursery: trio.Nursery) -> None:
        """The front end is stopped, and killed at the earliest instant; a new process is handed what stands."""
        assert self.process is not None
        self.record.write("SIGTERM")
        process = self.process
        self.stops.append(trio.current_time())
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TO_KILL):
            await process.wait()
        if process.poll() is None:
            process.kill()
            await process.wait()
            self.record.write("SIGKILL")
        elif process.returncode:
            self.crashes.append(f"the front end ended with {process.returncode} on SIGTERM")
        await self.start_front()
        self.record.write("started again")
        await trio.sleep(0.1)
        for request in list(self.record.requests.values()):
            is_playing = bool(request.answers) and request.answers[-1][1] == framing.ANSWER
            session = next(
                (own for own in self.record.sessions if own.session_id == request.session_id), None
            )
            if is_playing and request.given_up_at == math.inf and session is not None:
                request.handed_over_at = trio.current_time()
                await self.viewers[0].ask(request.session_id, request.plan, 0, at=session.name)


def flood_message(kind: str, number: int) -> bytes:
    """Returns a message of a bad client."""
    session_id = f"ff{number:014x}"
    if kind == "tests":
        return framing.encode(framing.TEST, session_id, (framing.CAUSE, b"\0"))
    if kind == "releases":
        return framing.encode(framing.RELEASE, session_id, (framing.CAUSE, b"\x10"))
    if kind == "unsound":
        return framing.encode(framing.SET_UP, session_id, (framing.PLAN, b"p%d" % number))
    return b"\x20\x01"


def play_seed(seed: int) -> TrialResult:
    """Plays one seed."""
    with tempfile.TemporaryDirectory(prefix="dense-") as folder:
        return trio.run(DenseTrial(seed, Path(folder)).play)


def play_seeds(seeds: Sequence[int], parallel: int) -> Iterator[TrialResult]:
    """Plays seeds, several at a time, each in a process of its own; yields their results in order."""
    with multiprocessing.get_context("spawn").Pool(parallel, maxtasksperchild=1) as pool:
        yield from pool.imap(play_seed, seeds, chunksize=1)


def keep_record(result: TrialResult) -> Path:
    """Writes down what happened in a trial; returns the file."""
    RECORDS.mkdir(parents=True, exist_ok=True)
    file = RECORDS / f"dense-{result.seed}.txt"
    events = [f"{at:.3f} {text}" for at, text in result.events]
    file.write_text("\n".join([*events, *result.breaches, result.log]))
    return file


def main(first_seed: int, count: int, parallel: int) -> int:
    """Plays seeds in parallel and prints the results; returns the number of those with breaches."""
    broken = 0
    for result in play_seeds(range(first_seed, first_seed + count), parallel):
        state = "held"
        if result.breaches:
            broken += 1
            state = f"BROKEN, record {keep_record(result)}"
        print(
            f"seed {result.seed}: {state}; {result.requests} set-ups, {result.answered} answered", flush=True
        )
        for breach in result.breaches[:MAX_PRINTED_BREACHES]:
            print(f"    {breach}", flush=True)
    print(f"{count - broken} of {count} held")
    return broken


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first_seed", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("parallel", type=int, nargs="?", default=4)
    arguments = parser.parse_args()
    sys.exit(min(1, main(arguments.first_seed, arguments.count, arguments.parallel)))
