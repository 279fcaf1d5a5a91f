"""Injects faults into the front ends: crashes, pauses, disk faults, and faults of the network between them."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

from oakcroft.interface import SECOND
from oakcroft.rehearsal.front_processes import FrontProcess, FrontProcesses
from oakcroft.rehearsal.observer import Observer, request_operators_api
from oakcroft.standins.day import Fault
from oakcroft.standins.day_schema import FRONT_FAULTS, PEER_FAULTS

FLAG_THRESHOLD = 0.5
"""A size above this sets a flag: all fronts at once, one direction only, or the fronts of a lost zone with its nodes."""

MIN_DOWN_SECONDS = 0.2
MIN_PAUSE_INTERVAL_SECONDS = 0.1

LEASE_HOLDER_TIMEOUT_SECONDS = 10.0
LEASE_HOLDER_POLL_INTERVAL_SECONDS = 0.02
DELAYED_SENDING_SECONDS = 0.8
"""How long a lease holder runs with delayed messages before it is paused, so that some of them are in flight."""

MESSAGE_DELAY_SPREAD_SECONDS = 0.5

ROLLOUT_TIMEOUT_SECONDS = 30.0
ROLLOUT_RETRY_SECONDS = 0.5
ROLLOUT_ANSWER_TIMEOUT_SECONDS = 14.0


def affects_fronts(fault: Fault) -> bool:
    """Returns whether a fault affects fronts, alone or together with nodes."""
    return fault.kind in FRONT_FAULTS or (fault.kind == "zone-loss" and fault.size > FLAG_THRESHOLD)


class FrontFaults:
    """Injects a day's faults into its fronts."""

    def __init__(self, fronts: FrontProcesses, observer: Observer) -> None:
        """`observer` shows which front holds a lease."""
        self.fronts = fronts
        self.observer = observer
        self.peer_network = fronts.peer_network
        self.record = fronts.record
        self.injectors: dict[str, Callable[[list[FrontProcess], Fault], Awaitable[None]]] = {
            "zone-loss": self._lose_zone,
            "front-stall": self._stall,
            "front-kill": self._kill,
            "roll-out": self._start_rollout,
            "owner-stand": self._fail_lease_holder,
            "owner-kill": self._fail_lease_holder,
            **dict.fromkeys(PEER_FAULTS, self._fail_peers),
        }

    async def inject(self, fault: Fault, day_start: float) -> None:
        """Injects a fault from its start to its end. `day_start` is on trio's clock."""
        await trio.sleep_until(day_start + fault.start_ns / SECOND)
        if fault.kind == "zone-loss":
            chosen = self.fronts.in_zones(fault.targets)
        else:
            chosen = [self.fronts.processes[int(number)] for number in fault.targets] or self.fronts.processes
        await self.injectors[fault.kind](chosen, fault)

    async def _lose_zone(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Kills the fronts of a zone, and restarts them when the fault ends."""
        for front in chosen:
            self.fronts.kill(front)
        await trio.sleep(fault.duration_ns / SECOND)
        for front in chosen:
            await self.fronts.start(front)

    async def _kill(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Kills all fronts at once or one after the other, and restarts each after `extra` seconds."""
        down_seconds = max(MIN_DOWN_SECONDS, fault.extra)
        if fault.size > FLAG_THRESHOLD:
            for front in chosen:
                self.fronts.kill(front)
            await trio.sleep(down_seconds)
            async with trio.open_nursery() as nursery:
                for front in chosen:
                    nursery.start_soon(self.fronts.start, front)
            return
        gap = fault.duration_ns / SECOND / max(1, len(chosen))
        for front in chosen:
            self.fronts.kill(front)
            await trio.sleep(down_seconds)
            await self.fronts.start(front)
            await trio.sleep(max(0.0, gap - fault.extra))

    async def _stall(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Pauses each front for `size` seconds again and again, `extra` seconds apart, and not all at the same time."""
        until = trio.current_time() + fault.duration_ns / SECOND

        async def pause_repeatedly(front: FrontProcess, delay: float) -> None:
            await trio.sleep(delay)
            while trio.current_time() < until:
                if front.running and front.process is not None:
                    await self.fronts.pause(front, front.process, fault.size)
                await trio.sleep(max(MIN_PAUSE_INTERVAL_SECONDS, fault.extra))

        async with trio.open_nursery() as nursery:
            for index, front in enumerate(chosen):
                nursery.start_soon(pause_repeatedly, front, index * fault.extra / max(1, len(chosen)))

    async def _fail_peers(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Injects a fault of the network between fronts, or a pause or a disk fault of fronts that are peers."""
        numbers = sorted(front.number for front in chosen)
        one_way = fault.size > FLAG_THRESHOLD
        self.record.note(fault.kind, fronts=numbers, phase="begins", one_way=one_way)
        if fault.kind == "cut":
            self._cut(chosen, one_way)
        elif fault.kind == "lose":
            self._lose_messages(chosen, fault)
        for front in chosen:
            self._start_fault(front, fault.kind)
        await trio.sleep(fault.duration_ns / SECOND)
        if fault.kind in ("cut", "lose") and self.peer_network is not None:
            self.peer_network.heal()
        for front in chosen:
            self._end_fault(front, fault.kind)
        self.record.note(fault.kind, fronts=numbers, phase="ends", one_way=one_way)

    def _cut(self, chosen: list[FrontProcess], one_way: bool) -> None:
        """Cuts the links from some fronts to the others, and those back unless the cut is one-way."""
        if self.peer_network is not None:
            names = {f"f{front.number}" for front in chosen}
            others = {f"f{front.number}" for front in self.fronts.processes if front not in chosen}
            self.peer_network.cut(names, others)
            self.peer_network.cut(others, names, cut=not one_way)

    def _lose_messages(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Loses a share `size` of the messages from some fronts, and delays the others by up to `extra` seconds."""
        if self.peer_network is None:
            return
        for front in chosen:
            for other in self.fronts.processes:
                link = self.peer_network.faults_on(f"f{front.number}", f"f{other.number}")
                link.loss_rate = fault.size
                link.delay_seconds = (0.0, fault.extra)

    def _start_fault(self, front: FrontProcess, kind: str) -> None:
        """Starts a fault of a single front; does nothing for a fault of the network."""
        match kind:
            case "stand" if front.running and front.process is not None:
                self.record.note("front stands still", front=front.number)
                front.process.send_signal(signal.SIGSTOP)
            case "fill":
                self.fronts.set_disk_full(front, True)
            case "wipe":
                self.fronts.wipe(front)

    def _end_fault(self, front: FrontProcess, kind: str) -> None:
        """Ends a fault of a single front."""
        match kind:
            case "stand" if front.running and front.process is not None:
                front.process.send_signal(signal.SIGCONT)
                self.record.note("front goes on", front=front.number)
            case "fill":
                self.fronts.set_disk_full(front, False)

    async def _start_rollout(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Requests a rollout of a new version of the catalogue from a front, and retries until the front accepts it."""
        front = chosen[0]
        text = f"(catalogue (others yes) (title rolled-{fault.extra:g} (home 0) (copies 2)))".encode()
        path = f"/operators/fleet/roll-out?watch={fault.size:.0f}"
        with trio.move_on_after(ROLLOUT_TIMEOUT_SECONDS):
            while True:
                answer = await request_operators_api(front, "PUT", path, text, ROLLOUT_ANSWER_TIMEOUT_SECONDS)
                self.record.note("handed", front=front.number, said=answer, version=fault.extra)
                if answer.get("roll_out"):
                    return
                await trio.sleep(ROLLOUT_RETRY_SECONDS)

    async def _fail_lease_holder(self, _: list[FrontProcess], fault: Fault) -> None:
        """Kills the holder of the catalogue lease, or pauses it while its messages are delayed by `size` seconds."""
        front = await self._find_lease_holder()
        if front is None or front.process is None:
            self.fronts.failures.append(
                f"{fault.kind}: no front held the catalogue lease within {LEASE_HOLDER_TIMEOUT_SECONDS:g} s"
            )
            return
        if fault.kind == "owner-kill":
            self.fronts.kill(front)
            await trio.sleep(fault.duration_ns / SECOND)
            await self.fronts.start(front)
            return
        if self.peer_network is not None:
            for other in self.fronts.processes:
                link = self.peer_network.faults_on(f"f{front.number}", f"f{other.number}")
                link.delay_seconds = (fault.size, fault.size + MESSAGE_DELAY_SPREAD_SECONDS)
        await trio.sleep(DELAYED_SENDING_SECONDS)
        await self.fronts.pause(front, front.process, fault.duration_ns / SECOND)
        if self.peer_network is not None:
            self.peer_network.heal()

    async def _find_lease_holder(self) -> FrontProcess | None:
        """Returns a front that holds a lease, or None if there is none before the timeout."""
        with trio.move_on_after(LEASE_HOLDER_TIMEOUT_SECONDS):
            while True:
                for front in self.fronts.processes:
                    if front.running and self.observer.held_leases.get(front.number):
                        return front
                await trio.sleep(LEASE_HOLDER_POLL_INTERVAL_SECONDS)
        return None
