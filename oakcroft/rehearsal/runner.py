"""Plays a day: starts the emulated fleet and the fronts as processes, sends the viewers, injects the faults of the
fronts, and checks the rules against the records.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

import orjson
import trio

from oakcroft.interface import SECOND
from oakcroft.rehearsal.front_faults import FrontFaults, affects_fronts
from oakcroft.rehearsal.front_processes import START_WITHIN_SECONDS, FrontProcesses, read_first_line
from oakcroft.rehearsal.observer import Observer, orders_in_effect
from oakcroft.rehearsal.outcome import Outcome
from oakcroft.rehearsal.viewers import Audience
from oakcroft.rulecheck.facts import Fact, Finding
from oakcroft.rulecheck.membership import check_membership
from oakcroft.rulecheck.session_ownership import check_session_ownership
from oakcroft.rulecheck.lease_holders import check_lease_holders
from oakcroft.rulecheck.rules import check_rules
from oakcroft.running.clock import Clock
from oakcroft.standins.peer_network import PeerNetwork
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record, read_facts

SETTLE_SECONDS = 6.5
"""Time from the start of the last front to the begin of the day.

A front limits its pace to every node for its first six seconds, as it cannot know which nodes are warm.
"""

FLEET_END_WITHIN_SECONDS = 10
PROGRESS_INTERVAL_SECONDS = 5
ANSWERS_SHOWN = 5
FLEET_LOG_TAIL, FLEET_START_LOG_TAIL = 300, 2000
"""Characters of the emulated fleet's log that are shown if it ended early, or did not start."""

ProgressCallback = Callable[[str], None]


class Rehearsal:
    """One run of one day."""

    def __init__(
        self,
        day: Day,
        folder: Path,
        policy: str,
        report_progress: ProgressCallback,
        audience: type[Audience] = Audience,
        keeps_state: bool = False,
    ) -> None:
        """`folder` is for records, configurations and logs.

        With `keeps_state`, fronts keep a state file over a restart, which they do anyway if the day has keepers.
        """
        self.day = day
        self.folder = folder
        self.policy = policy
        self.report_progress = report_progress
        self.record = Record(folder / "viewers.jsonl")
        self.audience = audience(day, self.record)
        self.failures: list[str] = []
        self.peer_network = peer_network(len(day.front_zones), day.seed) if day.has_peers else None
        self.fronts = FrontProcesses(
            day=day,
            folder=folder,
            policy=policy,
            record=self.record,
            peer_network=self.peer_network,
            keeps_state=keeps_state or bool(day.keepers),
            ports=self.audience.ports,
            failures=self.failures,
        )
        self.observer = Observer(self.fronts, self.record)
        self.faults = FrontFaults(self.fronts, self.observer)

    async def run(self) -> Outcome:
        """Plays the day and returns its outcome."""
        for place in self.day.nodes:
            self.record.note("place", node=place.name, places=place.playback_capacity)
        fleet = await self._start_fleet()
        async with trio.open_nursery() as net:
            if self.peer_network is not None:
                await net.start(self.peer_network.run)
            await self._play(fleet, net)
            net.cancel_scope.cancel()
        self.record.close()
        return self._outcome()

    async def _start_fleet(self) -> trio.Process:
        """Starts the emulated nodes and their list service, which wait on standard input for the begin of the day."""
        command = [
            sys.executable, "-m", "oakcroft", "stand-in", str(self.folder / "day.oak"), "--seed", str(self.day.seed),
            "--record", str(self.folder / "fleet.jsonl"),
        ]  # fmt: skip
        log = self.folder / "fleet.log"
        process = await trio.lowlevel.open_process(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log.open("wb")
        )
        assert process.stdout is not None
        line = await read_first_line(process.stdout, START_WITHIN_SECONDS)
        if not line:
            raise RuntimeError(f"the fleet did not start: {log.read_text()[-FLEET_START_LOG_TAIL:]}")
        self.fronts.list_port = orjson.loads(line)["list"]
        return process

    async def _set_begin(self, fleet: trio.Process) -> float:
        """Sets the begin of the day one settle time from now and sends it to the fleet; returns it by trio's clock."""
        clock = Clock()
        begin_ns = clock.now() + round(SETTLE_SECONDS * SECOND)
        assert fleet.stdin is not None
        with suppress(trio.BrokenResourceError):  # the fleet ended early, which _end_fleet reports
            await fleet.stdin.send_all(b"%d\n" % begin_ns)
        return clock.trio_time(begin_ns)

    async def _play(self, fleet: trio.Process, net: trio.Nursery) -> None:
        try:
            await self.fronts.start_all()
            if self.peer_network is not None:
                net.start_soon(self.observer.run)
            begin = await self._set_begin(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._show_progress, begin)
                for fault in self.day.faults:
                    if affects_fronts(fault):
                        nursery.start_soon(self.faults.inject, fault, begin)
                await trio.sleep_until(begin)
                await self.audience.run(begin)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self.fronts.stop_all()
                await self._end_fleet(fleet)

    async def _show_progress(self, begin: float) -> None:
        await trio.sleep_until(begin)
        while True:
            tally = self.audience.tally
            top = ", ".join(f"{count} {answer}" for answer, count in tally.answers.most_common(ANSWERS_SHOWN))
            at = trio.current_time() - begin
            self.report_progress(
                f"{at:5.0f} s  {tally.requests} asked, {tally.playing} playing, {tally.waiting} waiting; {top}"
            )
            await trio.sleep(PROGRESS_INTERVAL_SECONDS)

    async def _end_fleet(self, fleet: trio.Process) -> None:
        if fleet.poll() is not None:
            tail = (self.folder / "fleet.log").read_text()[-FLEET_LOG_TAIL:]
            self.failures.append(f"the fleet ended early: {tail}")
        fleet.terminate()
        with trio.move_on_after(FLEET_END_WITHIN_SECONDS) as scope:
            await fleet.wait()
        if scope.cancelled_caught:
            fleet.kill()
            self.failures.append("the fleet did not end")

    def _outcome(self) -> Outcome:
        facts = read_facts(self.folder / "viewers.jsonl") + read_facts(self.folder / "fleet.jsonl")
        earned_revenue: dict[str, float] = next(
            (fact["plans"] for fact in facts if fact["kind"] == "earned"), {}
        )
        node_errors = [fact for fact in facts if fact["kind"] == "stand-in failed"]
        self.failures += [f"{fact['path']}: {fact['error']}" for fact in node_errors]
        injected = {fact["what"] for fact in facts if fact["kind"] == "fault"}
        return Outcome(
            self.day,
            self.policy,
            self._check(facts),
            self.audience.tally,
            earned_revenue,
            faults=sorted(injected | {fault.kind for fault in self.day.faults}),
            failures=self.failures,
            overloaded_cold_nodes=sum(fact["kind"] == "fell" for fact in facts),
            facts=sorted(facts, key=lambda fact: fact["t"]),
        )

    def _check(self, facts: list[Fact]) -> list[Finding]:
        """Checks the six rules, and the properties of the parts that the day uses besides."""
        findings = check_rules(facts, self.day.site)
        names = {number: f"f{number}" for number in range(len(self.day.front_zones))}
        if self.day.has_peers:
            findings += check_membership(facts, names)
        if self.day.keepers:
            with_orders = facts + orders_in_effect(self.fronts)
            findings += check_lease_holders(with_orders, names, frozenset(self.day.keepers), self.day.term_ns)
        if self.day.has_takeovers:
            findings += check_session_ownership(facts)
        return findings


def peer_network(fronts: int, seed: int) -> PeerNetwork:
    """Creates a network between a number of fronts, each with a loopback address of its own."""
    with socket.socket() as probe:
        probe.bind(("127.0.71.1", 0))
        port = probe.getsockname()[1]
    addresses = {f"f{number}": (f"127.0.71.{number + 1}", port) for number in range(fronts)}
    relays = {f"f{number}": (f"127.0.72.{number + 1}", port) for number in range(fronts)}
    return PeerNetwork(addresses, relays, Random(seed))


def play(
    day: Day,
    body: str,
    policy: str,
    report_progress: ProgressCallback,
    keep_folder: Path | None = None,
    audience: type[Audience] = Audience,
    keeps_state: bool = False,
    reconnects: bool = False,
) -> Outcome:
    """Plays a day whose text is `body`, and returns its outcome.

    Records and logs are kept in `keep_folder` if it is given. With `keeps_state`, fronts keep a state file over a
    restart; with `reconnects`, players connect to their sessions again after it.
    """
    with tempfile.TemporaryDirectory(prefix="oakcroft-") as temporary:
        folder = keep_folder or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.oak").write_text(body)
        os.environ.setdefault("PYTHONUNBUFFERED", "1")
        rehearsal = Rehearsal(day, folder, policy, report_progress, audience, keeps_state)
        rehearsal.audience.reconnects = reconnects
        outcome = trio.run(rehearsal.run)
        outcome.audience = rehearsal.audience
        return outcome
