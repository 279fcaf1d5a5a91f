"""Group commits to the state file, from a trio program: what waits while one commit runs goes out with the next.

A change that must be durable waits for its commit, at most as long as health allows a commit to take; all others are
noted and never waited for. The queue is bounded: a note that finds it full is dropped and everything in memory is written
anew later; a change that must be durable is refused, and so what depends on it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

import structlog
import trio

from oakcroft.decisions.state.durable import Disk, Health, Trouble, Upkeep
from oakcroft.interface import SECOND
from oakcroft.store.changes import Change, Expire, Held, Whole
from oakcroft.store.file import StateFile, Unusable, set_aside

WHOLE = "whole"  # the fact that a file knows all promises
T = TypeVar("T")
MOST_WAITING = 16_384
MOST_TOGETHER = 1_024
NODES_KEPT = 3600 * SECOND  # for longer than any cold time or distrust lasts
BEAT = 0.25  # seconds between looks at health and upkeep while nothing is to be written


@dataclass(eq=False)
class Waiting:
    """One change in the queue, and who waits for it."""

    change: Change
    done: trio.Event | None = None
    durable: bool = False


@dataclass
class Counts:
    """What was written."""

    commits: int = 0
    changes: int = 0
    refused: int = 0
    dropped: int = 0
    longest_ns: int = 0


@dataclass
class Store:
    """One state file and the queue before it. `now`: the front's clock; `whole`: all promises in memory; `keep`: for
    how long promises of no more use are kept, in ns; `found`: told of what a file held that could not be read earlier."""

    path: str
    sync: bool
    now: Callable[[], int]
    log: structlog.typing.FilteringBoundLogger
    keep: int
    open_: Callable[[], StateFile] | None = None
    whole: Callable[[], Whole] | None = None
    found: Callable[[Held], None] | None = None
    health: Health = field(default_factory=Health)
    upkeep: Upkeep = field(default_factory=Upkeep)
    counts: Counts = field(default_factory=Counts)
    file: StateFile | None = None
    had: bool = False  # the file knew all that this front had promised
    read: bool = False  # what it held has been taken on
    facts: dict[str, bytes] = field(default_factory=dict)  # as they were then
    stale: bool = False  # something was not written: all is to be written anew
    queue: deque[Waiting] = field(default_factory=deque)
    wake: trio.Event = field(default_factory=trio.Event)
    threads: trio.CapacityLimiter = field(default_factory=lambda: trio.CapacityLimiter(1))

    # Opening.

    async def start(self) -> Held | None:
        """Opens the file and reads it; None where it cannot be had now. A damaged one is put aside, a new one begun."""
        held: Held | None = None
        try:
            held = await self._thread(self._open)
        except Unusable as fault:
            if fault.trouble is not Trouble.CORRUPT:
                self._failed(fault)
                return None
            held = await self._begin_anew(fault)
        if held is not None:
            self.read, self.facts = True, held.facts
            self.had = WHOLE in held.facts
        return held

    async def _begin_anew(self, fault: Unusable) -> Held | None:
        try:
            aside = await self._thread(partial(set_aside, self.path))
            self.log.error("state damaged", why=str(fault), kept_as=aside)
            return await self._thread(self._open)
        except (Unusable, OSError) as again:
            self._failed(again if isinstance(again, Unusable) else Unusable(Trouble.IO, str(again)))
            return None

    def _open(self) -> Held:
        self._close()
        self.file = self.open_() if self.open_ is not None else StateFile(self.path, sync=self.sync)
        return self.file.read()

    def _close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None

    async def _thread(self, call: Callable[[], T]) -> T:
        return await trio.to_thread.run_sync(call, abandon_on_cancel=True, limiter=self.threads)

    # What is to be written.

    def note(self, change: Change) -> None:
        """Written soon, and waited for by nobody."""
        if self.health.state in (Disk.FAILING, Disk.FOREIGN):
            self.stale = True
            return
        if len(self.queue) >= MOST_WAITING:
            self.counts.dropped += 1
            self.stale = True
            return
        self.queue.append(Waiting(change))
        self.wake.set()

    async def durable(self, change: Change) -> bool:
        """Written and synced when this returns True. False: nobody knows, and it must be taken as not written."""
        if not self.health.takes_promises(self.now()) or len(self.queue) >= MOST_WAITING:
            self.counts.refused += 1
            return False
        one = Waiting(change, trio.Event())
        assert one.done is not None
        self.queue.append(one)
        self.wake.set()
        with trio.move_on_after(self.health.slow_after / 1e9):
            await one.done.wait()
        if not one.durable:
            self.counts.refused += 1
        self._tell(self.health.look(self.now()))
        return one.durable

    # The writer.

    async def run(self) -> None:
        """Writes until it is cancelled, then what still waits."""
        try:
            while True:
                if not self.queue and not self.stale:
                    with trio.move_on_after(BEAT):
                        await self.wake.wait()
                self.wake = trio.Event()
                await self._round()
        finally:
            # The file's one thread may be at work still: what waits goes out behind it, or is left after two seconds.
            with trio.CancelScope(shield=True), trio.move_on_after(2):
                if self.health.state in (Disk.SOUND, Disk.SLOW):
                    await self._write(list(self.queue))
                await self._thread(self._close)

    async def _round(self) -> None:
        now = self.now()
        if self.health.state in (Disk.FAILING, Disk.FOREIGN) or self.file is None:
            self._refuse_all()
            if self.health.due(now):
                await self._try_again()
            else:
                await trio.sleep(min(BEAT, max(0.0, (self.health.retry_at - now) / 1e9)))
            return
        batch = [self.queue.popleft() for _ in range(min(MOST_TOGETHER, len(self.queue)))]
        if self.stale and self.whole is not None:
            self.stale = False
            batch.insert(0, Waiting(self.whole()))
        if rows := self.upkeep.allowance(self.health, len(self.queue), now):
            batch.append(Waiting(Expire(now - self.keep, rows, now - max(self.keep, NODES_KEPT))))
        if batch:
            await self._write(batch)

    async def _write(self, batch: list[Waiting], whole: bool = False) -> None:
        if self.file is None:
            return
        began = self.now()
        self.health.begins(began)
        try:
            await self._thread(partial(self.file.commit, [w.change for w in batch]))
        except Unusable as fault:
            self.stale = True
            self._failed(fault)
            for one in batch:
                if one.done is not None:
                    one.done.set()
            return
        now = self.now()
        self.counts.commits += 1
        self.counts.changes += len(batch)
        self.counts.longest_ns = max(self.counts.longest_ns, now - began)
        self._tell(self.health.done(now, whole))
        for one in batch:
            if one.done is not None:
                one.durable = True
                one.done.set()

    def _refuse_all(self) -> None:
        """Nothing that waits can be written now."""
        self.stale = self.stale or bool(self.queue)
        while self.queue:
            one = self.queue.popleft()
            if one.done is not None:
                one.done.set()

    async def _try_again(self) -> None:
        """Opens the file anew and writes all that is in memory; what it held that was never read is told first."""
        try:
            held = await self._thread(self._open)
        except Unusable as fault:
            if fault.trouble is not Trouble.CORRUPT:
                self._failed(fault)
                return
            held_anew = await self._begin_anew(fault)
            if held_anew is None:
                return
            held = held_anew
        if not self.read and self.found is not None:
            self.read, self.facts, self.had = True, held.facts, WHOLE in held.facts
            self.found(held)
        if self.whole is not None:
            self.stale = False
            await self._write([Waiting(self.whole())], whole=True)

    def _failed(self, fault: Unusable) -> None:
        now = self.now()
        changed = self.health.failed(fault.trouble, now)
        if changed:
            self.log.error("state not written", why=str(fault), disk=self.health.state.value,
                           retry_ms=(self.health.retry_at - now) // 1_000_000)  # fmt: skip

    def _tell(self, changed: bool) -> None:
        if changed:
            self.log.warning("state file", disk=self.health.state.value, longest_ms=self.counts.longest_ns // 1_000_000,
                             commits=self.counts.commits, refused=self.counts.refused)  # fmt: skip
