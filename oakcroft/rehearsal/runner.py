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
from oakcroft.rehearsal.front_processes import START_TIMEOUT_SECONDS, FrontProcesses, read_first_line
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
"""Time from the start of the last front to the start of the day.

A front limits its set-up pace to every node in its first six seconds, as it cannot know which nodes are warm.
"""

FLEET_TERMINATION_TIMEOUT_SECONDS = 10
PROGRESS_INTERVAL_SECONDS = 5
MAX_ANSWERS_SHOWN = 5
MAX_FLEET_LOG_TAIL, MAX_FLEET_START_LOG_TAIL = 300, 2000
"""How many last characters of the emulated fleet's log are shown if it exited early, or did not start."""

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

        With `keeps_state`, fronts have a state file that survives a restart, as on every day with lease acceptors.
        """
        self.day = day
        self.folder = folder
        self.policy = policy
        self.report_progress = report_progress
        self.record = Record(folder / "viewers.jsonl")
        self.audience = audience(day, self.record)
        self.failures: list[str] = []
        self.peer_network = create_peer_network(len(day.front_zones), day.seed) if day.has_peers else None
        self.fronts = FrontProcesses(
            day=day,
            folder=folder,
            policy=policy,
            record=self.record,
            peer_network=self.peer_network,
            keeps_state=keeps_state or bool(day.lease_acceptors),
            ports=self.audience.ports,
            failures=self.failures,
        )
        self.observer = Observer(self.fronts, self.record)
        self.front_faults = FrontFaults(self.fronts, self.observer)

    async def run(self) -> Outcome:
        """Plays the day and returns its outcome."""
        for node in self.day.nodes:
            self.record.note("place", node=node.name, places=node.playback_capacity)
        fleet = await self._start_fleet()
        async with trio.open_nursery() as network_nursery:
            if self.peer_network is not None:
                await network_nursery.start(self.peer_network.run)
            await self._play(fleet, network_nursery)
            network_nursery.cancel_scope.cancel()
        self.record.close()
        return self._outcome()

    async def _start_fleet(self) -> trio.Process:
        """Starts the emulated nodes and their list service, which wait for the start of the day on standard input."""
        command = [
            sys.executable, "-m", "oakcroft", "stand-in", str(self.folder / "day.oak"), "--seed", str(self.day.seed),
            "--record", str(self.folder / "fleet.jsonl"),
        ]  # fmt: skip
        log = self.folder / "fleet.log"
        process = await trio.lowlevel.open_process(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log.open("wb")
        )
        assert process.stdout is not None
        line = await read_first_line(process.stdout, START_TIMEOUT_SECONDS)
        if not line:
            raise RuntimeError(f"the fleet did not start: {log.read_text()[-MAX_FLEET_START_LOG_TAIL:]}")
        self.fronts.list_port = orjson.loads(line)["list"]
        return process

    async def _set_day_start(self, fleet: trio.Process) -> float:
        """Sets the start of the day one settle time from now and sends it to the fleet; returns it on trio's clock."""
        clock = Clock()
        day_start_ns = clock.now() + round(SETTLE_SECONDS * SECOND)
        assert fleet.stdin is not None
        with suppress(trio.BrokenResourceError):  # the fleet exited early, which _stop_fleet reports
            await fleet.stdin.send_all(b"%d\n" % day_start_ns)
        return clock.trio_time(day_start_ns)

    async def _play(self, fleet: trio.Process, network_nursery: trio.Nursery) -> None:
        """Starts the fronts, plays the day, and stops the fronts and the fleet in any case."""
        try:
            await self.fronts.start_all()
            if self.peer_network is not None:
                network_nursery.start_soon(self.observer.run)
            day_start = await self._set_day_start(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._show_progress, day_start)
                for fault in self.day.faults:
                    if affects_fronts(fault):
                        nursery.start_soon(self.front_faults.inject, fault, day_start)
                await trio.sleep_until(day_start)
                await self.audience.run(day_start)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self.fronts.stop_all()
                await self._stop_fleet(fleet)

    async def _show_progress(self, day_start: float) -> None:
        await trio.sleep_until(day_start)
        while True:
            tally = self.audience.tally
            top_answers = ", ".join(
                f"{count} {answer}" for answer, count in tally.answers.most_common(MAX_ANSWERS_SHOWN)
            )
            elapsed = trio.current_time() - day_start
            self.report_progress(
                f"{elapsed:5.0f} s  {tally.requests} requests, {tally.playing} playing, {tally.waiting} waiting;"
                f" {top_answers}"
            )
            await trio.sleep(PROGRESS_INTERVAL_SECONDS)

    async def _stop_fleet(self, fleet: trio.Process) -> None:
        """Terminates the fleet; a fleet that had already exited, or that does not exit in time, is a failure."""
        if fleet.poll() is not None:
            tail = (self.folder / "fleet.log").read_text()[-MAX_FLEET_LOG_TAIL:]
            self.failures.append(f"the fleet exited early: {tail}")
        fleet.terminate()
        with trio.move_on_after(FLEET_TERMINATION_TIMEOUT_SECONDS) as scope:
            await fleet.wait()
        if scope.cancelled_caught:
            fleet.kill()
            timeout = f"{FLEET_TERMINATION_TIMEOUT_SECONDS} s"
            self.failures.append(f"the fleet did not exit within {timeout} after SIGTERM")

    def _outcome(self) -> Outcome:
        """Reads the records and checks the rules against them."""
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
        """Checks the six rules, and the properties of the optional features that the day uses."""
        findings = check_rules(facts, self.day.site)
        names = {number: f"f{number}" for number in range(len(self.day.front_zones))}
        if self.day.has_peers:
            findings += check_membership(facts, names)
        if self.day.lease_acceptors:
            facts_with_orders = facts + orders_in_effect(self.fronts)
            findings += check_lease_holders(
                facts_with_orders, names, frozenset(self.day.lease_acceptors), self.day.lease_duration_ns
            )
        if self.day.has_takeovers:
            findings += check_session_ownership(facts)
        return findings


def create_peer_network(front_count: int, seed: int) -> PeerNetwork:
    """Creates a network between fronts, each with a loopback address of its own for itself and for its relay."""
    with socket.socket() as probe:
        probe.bind(("127.0.71.1", 0))
        port = probe.getsockname()[1]
    addresses = {f"f{number}": (f"127.0.71.{number + 1}", port) for number in range(front_count)}
    relays = {f"f{number}": (f"127.0.72.{number + 1}", port) for number in range(front_count)}
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

    Records and logs are kept in `keep_folder` if it is given. With `keeps_state`, fronts have a state file that survives
    a restart; with `reconnects`, players connect to their sessions again after it.
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
