"""Group commits to the state file from a trio program: changes queued during one commit are written by the next.

The caller of a durable change waits for its commit, at most for as long as the file's health allows a commit to take.
All other changes are queued without waiting. The queue is bounded. When it is full, other changes are dropped and
everything in memory is written anew later; a durable change is refused, and with it the set-up that depends on it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

import structlog
import trio

from oakcroft.decisions.state.state_file_health import Disk, Health, Trouble, Upkeep
from oakcroft.interface import SECOND
from oakcroft.store.changes import Change, Expire, Held, Whole
from oakcroft.store.file import StateFile, Unusable, set_aside

WHOLE = "whole"  # the value's presence says that the file holds all promises
T = TypeVar("T")
MOST_WAITING = 16_384
MOST_TOGETHER = 1_024
NODES_KEPT = 3600 * SECOND  # longer than any node stays cold or penalized
BEAT = 0.25  # between checks of health and maintenance while nothing is queued


@dataclass(eq=False)
class Waiting:
    """A queued change. If a caller waits for its commit, `finished` is set once it is committed or has failed."""

    change: Change
    done: trio.Event | None = None
    durable: bool = False


@dataclass
class Counts:
    """Counters of commits and changes: `refused` durable ones, `dropped` others, and the longest commit in ns."""

    commits: int = 0
    changes: int = 0
    refused: int = 0
    dropped: int = 0
    longest_ns: int = 0


@dataclass
class Store:
    """Writes one state file from a queue of changes.

    `clock` returns the time in ns. `retention_ns` is how long promises that are no longer needed are kept.
    `snapshot_memory` returns everything in memory as one change. `on_late_read` is called with the contents of a file
    that could be read only after the start. `was_complete`: the file held all promises of this front end when it was
    read; `named_values` are its values at that time. `needs_full_write`: a change was not written, so everything in
    memory has to be written anew.
    """

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
    had: bool = False
    read: bool = False
    facts: dict[str, bytes] = field(default_factory=dict)
    stale: bool = False
    queue: deque[Waiting] = field(default_factory=deque)
    wake: trio.Event = field(default_factory=trio.Event)
    threads: trio.CapacityLimiter = field(default_factory=lambda: trio.CapacityLimiter(1))

    # Opening.

    async def start(self) -> Held | None:
        """Opens the file and returns its contents, None if it cannot be opened now.

        A damaged file is moved aside and replaced by a new one.
        """
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

    # Queueing changes.

    def note(self, change: Change) -> None:
        """Queues a change without waiting for its commit."""
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
        """Writes a change and waits for its commit.

        Returns True once it is committed, and synced if commits wait for the disk. After False it may or may not have
        been written, and must be treated as not written.
        """
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

    # Writing.

    async def run(self) -> None:
        """Writes queued changes until it is cancelled, then those that are left, and closes the file."""
        try:
            while True:
                if not self.queue and not self.stale:
                    with trio.move_on_after(BEAT):
                        await self.wake.wait()
                self.wake = trio.Event()
                await self._round()
        finally:
            # A call may still run in the file's one thread. The last changes are written after it, or lost if that
            # takes more than two seconds.
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
        """Empties the queue and wakes the callers of durable changes, which were not written."""
        self.stale = self.stale or bool(self.queue)
        while self.queue:
            one = self.queue.popleft()
            if one.done is not None:
                one.done.set()

    async def _try_again(self) -> None:
        """Reopens the file and writes everything in memory. Contents that were never read are reported first."""
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
