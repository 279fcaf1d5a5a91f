"""Faults of the front ends themselves: their deaths, their standing still, their disks, and the network between them."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

from oakcroft.interface import SECOND
from oakcroft.rehearsal.front_processes import FrontProcess, FrontProcesses
from oakcroft.rehearsal.observer import Observer, ask_operators
from oakcroft.standins.day import FRONT_FAULTS, PEER_FAULTS, Fault

MORE_THAN_HALF = 0.5
"""A fault's size stands for yes over this: all fronts at once, one direction only, a wing's fronts with its nodes."""

SHORTEST_DOWN_SECONDS = 0.2
SHORTEST_PAUSE_SECONDS = 0.1

OWNER_WITHIN_SECONDS = 10.0
OWNER_LOOK_SECONDS = 0.02
OWNER_SPEAKS_SECONDS = 0.8
"""How long an owner's messages are under way before it is stopped, so that some of them have left."""

OWNER_LATE_SPREAD_SECONDS = 0.5

HAND_WITHIN_SECONDS = 30.0
HAND_EVERY_SECONDS = 0.5
HAND_ANSWER_WITHIN_SECONDS = 14.0


def affects_fronts(fault: Fault) -> bool:
    """Whether a fault is one of the fronts, or of them as well."""
    return fault.kind in FRONT_FAULTS or (fault.kind == "zone-loss" and fault.size > MORE_THAN_HALF)


class FrontFaults:
    """Injects a day's faults into its fronts."""

    def __init__(self, fronts: FrontProcesses, observer: Observer) -> None:
        """`observer`: tells which front owns a duty."""
        self.fronts, self.observer = fronts, observer
        self.peer_network, self.record = fronts.peer_network, fronts.record
        self.injectors: dict[str, Callable[[list[FrontProcess], Fault], Awaitable[None]]] = {
            "zone-loss": self._lose_zone, "front-stall": self._stall, "front-kill": self._kill,
            "roll-out": self._roll_out, "owner-stand": self._fail_owner, "owner-kill": self._fail_owner,
            **dict.fromkeys(PEER_FAULTS, self._fail_between),
        }  # fmt: skip

    async def inject(self, fault: Fault, begin: float) -> None:
        """Plays a fault from its beginning to its end. `begin`: when the day does, by the event loop's clock."""
        await trio.sleep_until(begin + fault.at / SECOND)
        if fault.kind == "zone-loss":
            chosen = self.fronts.in_wings(fault.on)
        else:
            chosen = [self.fronts.all[int(number)] for number in fault.on] or self.fronts.all
        await self.injectors[fault.kind](chosen, fault)

    async def _lose_zone(self, chosen: list[FrontProcess], fault: Fault) -> None:
        for front in chosen:
            self.fronts.kill(front)
        await trio.sleep(fault.length / SECOND)
        for front in chosen:
            await self.fronts.start(front)

    async def _kill(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """All in one moment, or one after the other, each down for `extra` seconds."""
        down = max(SHORTEST_DOWN_SECONDS, fault.extra)
        if fault.size > MORE_THAN_HALF:
            for front in chosen:
                self.fronts.kill(front)
            await trio.sleep(down)
            async with trio.open_nursery() as nursery:
                for front in chosen:
                    nursery.start_soon(self.fronts.start, front)
            return
        gap = fault.length / SECOND / max(1, len(chosen))
        for front in chosen:
            self.fronts.kill(front)
            await trio.sleep(down)
            await self.fronts.start(front)
            await trio.sleep(max(0.0, gap - fault.extra))

    async def _stall(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """Each front stands still for `size` seconds every `extra` seconds, apart from each other."""
        until = trio.current_time() + fault.length / SECOND

        async def one(front: FrontProcess, after: float) -> None:
            await trio.sleep(after)
            while trio.current_time() < until:
                if front.running and front.process is not None:
                    await self.fronts.pause(front, front.process, fault.size)
                await trio.sleep(max(SHORTEST_PAUSE_SECONDS, fault.extra))

        async with trio.open_nursery() as nursery:
            for index, front in enumerate(chosen):
                nursery.start_soon(one, front, index * fault.extra / max(1, len(chosen)))

    async def _fail_between(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """What befalls fronts beside their deaths: the network between them, their own standing still, their disks."""
        numbers = sorted(front.number for front in chosen)
        one_way = fault.size > MORE_THAN_HALF
        self.record.note(fault.kind, fronts=numbers, phase="begins", one_way=one_way)
        if fault.kind == "cut":
            self._cut(chosen, one_way)
        elif fault.kind == "lose":
            self._lose(chosen, fault)
        for front in chosen:
            self._begin(front, fault.kind)
        await trio.sleep(fault.length / SECOND)
        if fault.kind in ("cut", "lose") and self.peer_network is not None:
            self.peer_network.heal()
        for front in chosen:
            self._end(front, fault.kind)
        self.record.note(fault.kind, fronts=numbers, phase="ends", one_way=one_way)

    def _cut(self, chosen: list[FrontProcess], one_way: bool) -> None:
        if self.peer_network is not None:
            names = {f"f{front.number}" for front in chosen}
            others = {f"f{front.number}" for front in self.fronts.all if front not in chosen}
            self.peer_network.cut(names, others)
            self.peer_network.cut(others, names, not one_way)

    def _lose(self, chosen: list[FrontProcess], fault: Fault) -> None:
        for one in chosen if self.peer_network is not None else ():
            for other in self.fronts.all:
                assert self.peer_network is not None
                way = self.peer_network.on(f"f{one.number}", f"f{other.number}")
                way.lose, way.late = fault.size, (0.0, fault.extra)

    def _begin(self, front: FrontProcess, kind: str) -> None:
        """What a kind of fault does to one front."""
        match kind:
            case "stand" if front.running and front.process is not None:
                self.record.note("front stands still", front=front.number)
                front.process.send_signal(signal.SIGSTOP)
            case "fill":
                self.fronts.set_disk_full(front, True)
            case "wipe":
                self.fronts.wipe(front)

    def _end(self, front: FrontProcess, kind: str) -> None:
        match kind:
            case "stand" if front.running and front.process is not None:
                front.process.send_signal(signal.SIGCONT)
                self.record.note("front goes on", front=front.number)
            case "fill":
                self.fronts.set_disk_full(front, False)

    async def _roll_out(self, chosen: list[FrontProcess], fault: Fault) -> None:
        """An operator hands a front the so-many-th version, again until it is taken."""
        front = chosen[0]
        text = f"(catalogue (others yes) (title rolled-{fault.extra:g} (home 0) (copies 2)))".encode()
        path = f"/operators/fleet/roll-out?watch={fault.size:.0f}"
        with trio.move_on_after(HAND_WITHIN_SECONDS):
            while True:
                said = await ask_operators(front, "PUT", path, text, HAND_ANSWER_WITHIN_SECONDS)
                self.record.note("handed", front=front.number, said=said, version=fault.extra)
                if said.get("roll_out"):
                    return
                await trio.sleep(HAND_EVERY_SECONDS)

    async def _fail_owner(self, _: list[FrontProcess], fault: Fault) -> None:
        """Whoever owns the catalogue is killed, or stopped with its messages under way for `size` seconds, then woken."""
        front = await self._find_owner()
        if front is None or front.process is None:
            waited = f"{OWNER_WITHIN_SECONDS:g} s"
            self.fronts.failures.append(f"{fault.kind}: nobody owned the catalogue for {waited}")
            return
        if fault.kind == "owner-kill":
            self.fronts.kill(front)
            await trio.sleep(fault.length / SECOND)
            await self.fronts.start(front)
            return
        if self.peer_network is not None:
            for other in self.fronts.all:
                way = self.peer_network.on(f"f{front.number}", f"f{other.number}")
                way.late = (fault.size, fault.size + OWNER_LATE_SPREAD_SECONDS)
        await trio.sleep(OWNER_SPEAKS_SECONDS)
        await self.fronts.pause(front, front.process, fault.length / SECOND)
        if self.peer_network is not None:
            self.peer_network.heal()

    async def _find_owner(self) -> FrontProcess | None:
        with trio.move_on_after(OWNER_WITHIN_SECONDS):
            while True:
                for front in self.fronts.all:
                    if front.running and self.observer.owned.get(front.number):
                        return front
                await trio.sleep(OWNER_LOOK_SECONDS)
        return None
