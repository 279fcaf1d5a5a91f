"""Injects faults into the front ends: deaths, pauses, disk faults, and faults of the network between them."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

from oakcroft.interface import SECOND
from oakcroft.rehearsal.front_processes import FrontProcess, FrontProcesses
from oakcroft.rehearsal.observer import Observer, ask_operators
from oakcroft.standins.day import FRONT_FAULTS, PEER_FAULTS, Fault

YES_OVER = 0.5
"""A fault's size over this means yes: all fronts at once, one direction only, or a wing's fronts with its nodes."""

MIN_DOWN_SECONDS = 0.2
MIN_PAUSE_INTERVAL_SECONDS = 0.1

OWNER_WITHIN_SECONDS = 10.0
OWNER_POLL_INTERVAL_SECONDS = 0.02
OWNER_SENDS_SECONDS = 0.8
"""How long an owner runs with delayed messages before it is paused, so that some of them are in flight."""

OWNER_DELAY_SPREAD_SECONDS = 0.5

ROLL_OUT_WITHIN_SECONDS = 30.0
ROLL_OUT_RETRY_SECONDS = 0.5
ROLL_OUT_ANSWER_WITHIN_SECONDS = 14.0


def affects_fronts(fault: Fault) -> bool:
    """Whether a fault affects fronts, alone or beside nodes."""
    return fault.kind in FRONT_FAULTS or (fault.kind == "zone-loss" and fault.size > YES_OVER)


class FrontFaults:
    """Injects a day's faults into its fronts."""

    def __init__(self, fronts: FrontProcesses, observer: Observer) -> None:
        """`observer` tells which front owns a duty."""
        self.fronts = fronts
        self.observer = observer
        self.peer_network = fronts.peer_network
        self.record = fronts.record
        self.injectors: dict[str, Callable[[list[FrontProcess], Fault], Awaitable[None]]] = {
            "zone-loss": self._lose_zone,
            "front-stall": self._stall,
            "front-kill": self._kill,
            "roll-out": self._roll_out,
            "owner-stand": self._fail_owner,
            "owner-kill": self._fail_owner,
            **dict.fromkeys(PEER_FAULTS, self._fail_peers),
        }

    async def inject(self, fault: Fault, begin: float) -> None:
        """Plays a fault from its begin to its end. `begin` is when the day begins, by trio's clock."""
        await trio.sleep_until(begin + fault.start_ns / SECOND)
        if fault.kind == "zone-loss":
            chosen = self.fronts.in_wings(fault.targets)
        else:
            chosen = [self.fronts.all[int(number)] for number in fault.targets] or self.fronts.all
        await self.injectors[fault.kind](chosen, fault)

    async def _lose_zone(self, chosen: list[FrontProcess], fault: Fault) -> None:
        for front in chosen:
            self.fronts.kill(front)
        await trio.sleep(fault.duration_ns / SECOND)
        for front in chosen:
            await self.fronts.start(front)

    async def _kill(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Kills all at once, or one after the other, each for `extra` seconds."""
        down_seconds = max(MIN_DOWN_SECONDS, fault.extra)
        if fault.size > YES_OVER:
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
        """Pauses each front for `size` seconds, again `extra` seconds after each pause, and not all at the same time."""
        until = trio.current_time() + fault.duration_ns / SECOND

        async def stall(front: FrontProcess, delay: float) -> None:
            await trio.sleep(delay)
            while trio.current_time() < until:
                if front.running and front.process is not None:
                    await self.fronts.pause(front, front.process, fault.size)
                await trio.sleep(max(MIN_PAUSE_INTERVAL_SECONDS, fault.extra))

        async with trio.open_nursery() as nursery:
            for index, front in enumerate(chosen):
                nursery.start_soon(stall, front, index * fault.extra / max(1, len(chosen)))

    async def _fail_peers(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Plays a fault of the network between fronts, or a pause or a disk fault of fronts that are peers."""
        numbers = sorted(front.number for front in chosen)
        one_way = fault.size > YES_OVER
        self.record.note(fault.kind, fronts=numbers, phase="begins", one_way=one_way)
        if fault.kind == "cut":
            self._cut(chosen, one_way)
        elif fault.kind == "lose":
            self._lose_messages(chosen, fault)
        for front in chosen:
            self._begin_fault(front, fault.kind)
        await trio.sleep(fault.duration_ns / SECOND)
        if fault.kind in ("cut", "lose") and self.peer_network is not None:
            self.peer_network.heal()
        for front in chosen:
            self._end_fault(front, fault.kind)
        self.record.note(fault.kind, fronts=numbers, phase="ends", one_way=one_way)

    def _cut(self, chosen: list[FrontProcess], one_way: bool) -> None:
        if self.peer_network is not None:
            names = {f"f{front.number}" for front in chosen}
            others = {f"f{front.number}" for front in self.fronts.all if front not in chosen}
            self.peer_network.cut(names, others)
            self.peer_network.cut(others, names, not one_way)

    def _lose_messages(self, chosen: list[FrontProcess], fault: Fault) -> None:
        if self.peer_network is None:
            return
        for front in chosen:
            for other in self.fronts.all:
                link = self.peer_network.faults_on(f"f{front.number}", f"f{other.number}")
                link.loss_rate = fault.size
                link.delay_seconds = (0.0, fault.extra)

    def _begin_fault(self, front: FrontProcess, kind: str) -> None:
        """Begins a fault of one front; a kind that is none of a front itself does nothing."""
        match kind:
            case "stand" if front.running and front.process is not None:
                self.record.note("front stands still", front=front.number)
                front.process.send_signal(signal.SIGSTOP)
            case "fill":
                self.fronts.set_disk_full(front, True)
            case "wipe":
                self.fronts.wipe(front)

    def _end_fault(self, front: FrontProcess, kind: str) -> None:
        match kind:
            case "stand" if front.running and front.process is not None:
                front.process.send_signal(signal.SIGCONT)
                self.record.note("front goes on", front=front.number)
            case "fill":
                self.fronts.set_disk_full(front, False)

    async def _roll_out(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Sends a front a version of the catalogue to roll out, again and again until the front accepts it."""
        front = chosen[0]
        text = f"(catalogue (others yes) (title rolled-{fault.extra:g} (home 0) (copies 2)))".encode()
        path = f"/operators/fleet/roll-out?watch={fault.size:.0f}"
        with trio.move_on_after(ROLL_OUT_WITHIN_SECONDS):
            while True:
                answer = await ask_operators(front, "PUT", path, text, ROLL_OUT_ANSWER_WITHIN_SECONDS)
                self.record.note("handed", front=front.number, said=answer, version=fault.extra)
                if answer.get("roll_out"):
                    return
                await trio.sleep(ROLL_OUT_RETRY_SECONDS)

    async def _fail_owner(self, _: list[FrontProcess], fault: Fault) -> None:
        """Kills the owner of the catalogue, or pauses it while its messages are delayed by `size` seconds."""
        front = await self._find_owner()
        if front is None or front.process is None:
            waited = f"{OWNER_WITHIN_SECONDS:g} s"
            self.fronts.failures.append(f"{fault.kind}: nobody owned the catalogue for {waited}")
            return
        if fault.kind == "owner-kill":
            self.fronts.kill(front)
            await trio.sleep(fault.duration_ns / SECOND)
            await self.fronts.start(front)
            return
        if self.peer_network is not None:
            for other in self.fronts.all:
                link = self.peer_network.faults_on(f"f{front.number}", f"f{other.number}")
                link.delay_seconds = (fault.size, fault.size + OWNER_DELAY_SPREAD_SECONDS)
        await trio.sleep(OWNER_SENDS_SECONDS)
        await self.fronts.pause(front, front.process, fault.duration_ns / SECOND)
        if self.peer_network is not None:
            self.peer_network.heal()

    async def _find_owner(self) -> FrontProcess | None:
        with trio.move_on_after(OWNER_WITHIN_SECONDS):
            while True:
                for front in self.fronts.all:
                    if front.running and self.observer.owned.get(front.number):
                        return front
                await trio.sleep(OWNER_POLL_INTERVAL_SECONDS)
        return None
