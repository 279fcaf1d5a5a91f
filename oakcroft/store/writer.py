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

from oakcroft.decisions.state.state_file_health import FileState, FileHealth, FileFault, FileMaintenance
from oakcroft.interface import MS, SECOND
from oakcroft.store.changes import COMPLETE_KEY, StateChange, DeleteExpired, StateContents, ReplaceContents
from oakcroft.store.file import StateFile, StateFileError, move_damaged_file

ResultT = TypeVar("ResultT")
MAX_QUEUED = 16_384  # changes
MAX_BATCH = 1_024  # changes in one commit
NODE_RETENTION_NS = 3600 * SECOND  # longer than any node stays cold or penalized
SHUTDOWN_TIMEOUT_SECONDS = 2
IDLE_POLL_SECONDS = 0.25  # between checks of health and maintenance while nothing is queued


@dataclass(eq=False)
class QueuedChange:
    """A queued change. If a caller waits for its commit, `finished` is set once it is committed or has failed."""

    change: StateChange
    finished: trio.Event | None = None
    is_durable: bool = False

    def finish(self, is_durable: bool) -> None:
        """Wakes the caller, if one waits: the change is committed, or was not written."""
        if self.finished is not None:
            self.is_durable = is_durable
            self.finished.set()


@dataclass
class WriteCounts:
    """Counters of commits and changes: `refused` durable ones, `dropped` others, and the longest commit in ns."""

    commits: int = 0
    changes: int = 0
    refused: int = 0
    dropped: int = 0
    longest_ns: int = 0


@dataclass
class StateWriter:
    """Writes one state file from a queue of changes.

    `clock` returns the time in ns. `retention_ns` is how long promises that are no longer needed are kept.
    `snapshot_memory` returns everything in memory as one change. `on_late_read` is called with the contents of a file
    that could be read only after the start. `was_complete`: the file held all promises of this front end when it was
    read; `named_values` are its values at that time. `needs_full_write`: a change was not written, so everything in
    memory has to be written anew.
    """

    path: str
    is_synced: bool
    clock: Callable[[], int]
    log: structlog.typing.FilteringBoundLogger
    retention_ns: int
    open_file: Callable[[], StateFile] | None = None
    snapshot_memory: Callable[[], ReplaceContents] | None = None
    on_late_read: Callable[[StateContents], None] | None = None
    health: FileHealth = field(default_factory=FileHealth)
    maintenance: FileMaintenance = field(default_factory=FileMaintenance)
    counts: WriteCounts = field(default_factory=WriteCounts)
    file: StateFile | None = None
    was_complete: bool = False
    is_read: bool = False
    named_values: dict[str, bytes] = field(default_factory=dict)
    needs_full_write: bool = False
    queue: deque[QueuedChange] = field(default_factory=deque)
    wakeup: trio.Event = field(default_factory=trio.Event)
    thread_limiter: trio.CapacityLimiter = field(default_factory=lambda: trio.CapacityLimiter(1))

    # Opening.

    async def start(self) -> StateContents | None:
        """Opens the file and returns its contents, None if it cannot be opened now.

        A damaged file is moved aside and replaced by a new one.
        """
        contents: StateContents | None = None
        try:
            contents = await self._run_in_thread(self._open)
        except StateFileError as error:
            if error.fault is not FileFault.CORRUPT:
                self._record_failure(error)
                return None
            contents = await self._replace_damaged_file(error)
        if contents is not None:
            self._record_first_read(contents)
        return contents

    def _record_first_read(self, contents: StateContents) -> None:
        self.is_read = True
        self.named_values = contents.named_values
        self.was_complete = COMPLETE_KEY in contents.named_values

    async def _replace_damaged_file(self, error: StateFileError) -> StateContents | None:
        try:
            damaged_path = await self._run_in_thread(partial(move_damaged_file, self.path))
            self.log.error("state damaged", why=str(error), kept_as=damaged_path)
            return await self._run_in_thread(self._open)
        except (StateFileError, OSError) as second_error:
            self._record_failure(
                second_error
                if isinstance(second_error, StateFileError)
                else StateFileError(FileFault.IO_ERROR, str(second_error))
            )
            return None

    def _open(self) -> StateContents:
        self._close()
        self.file = (
            self.open_file() if self.open_file is not None else StateFile(self.path, is_synced=self.is_synced)
        )
        return self.file.read()

    def _close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None

    async def _run_in_thread(self, call: Callable[[], ResultT]) -> ResultT:
        return await trio.to_thread.run_sync(call, abandon_on_cancel=True, limiter=self.thread_limiter)

    # Queueing changes.

    def enqueue(self, change: StateChange) -> None:
        """Queues a change without waiting for its commit."""
        if self.health.state in (FileState.FAILING, FileState.NEWER_FORMAT):
            self.needs_full_write = True
            return
        if len(self.queue) >= MAX_QUEUED:
            self.counts.dropped += 1
            self.needs_full_write = True
            return
        self.queue.append(QueuedChange(change))
        self.wakeup.set()

    async def write_durably(self, change: StateChange) -> bool:
        """Writes a change and waits for its commit.

        Returns True once it is committed, and synced if commits wait for the disk. After False it may or may not have
        been written, and must be treated as not written.
        """
        if not self.health.can_record(self.clock()) or len(self.queue) >= MAX_QUEUED:
            self.counts.refused += 1
            return False
        finished = trio.Event()
        queued = QueuedChange(change, finished)
        self.queue.append(queued)
        self.wakeup.set()
        with trio.move_on_after(self.health.slow_after / SECOND):
            await finished.wait()
        if not queued.is_durable:
            self.counts.refused += 1
        self._log_health_change(self.health.check(self.clock()))
        return queued.is_durable

    # Writing.

    async def run(self) -> None:
        """Writes queued changes until it is cancelled, then those that are left, and closes the file."""
        try:
            while True:
                if not self.queue and not self.needs_full_write:
                    with trio.move_on_after(IDLE_POLL_SECONDS):
                        await self.wakeup.wait()
                self.wakeup = trio.Event()
                await self._write_batch()
        finally:
            # A call may still run in the file's one thread. The last changes are written after it, or lost if that
            # exceeds the timeout.
            with trio.CancelScope(shield=True), trio.move_on_after(SHUTDOWN_TIMEOUT_SECONDS):
                if self.health.state in (FileState.HEALTHY, FileState.SLOW):
                    await self._commit(list(self.queue))
                await self._run_in_thread(self._close)

    async def _write_batch(self) -> None:
        now = self.clock()
        if self.health.state in (FileState.FAILING, FileState.NEWER_FORMAT) or self.file is None:
            self._fail_queued()
            if self.health.retry_due(now):
                await self._reopen()
            else:
                await trio.sleep(min(IDLE_POLL_SECONDS, max(0.0, (self.health.retry_at - now) / SECOND)))
            return
        if batch := self._next_batch(now):
            await self._commit(batch)

    def _next_batch(self, now: int) -> list[QueuedChange]:
        """Takes the oldest changes from the queue, after everything in memory where that has to be written anew."""
        batch = [self.queue.popleft() for _ in range(min(MAX_BATCH, len(self.queue)))]
        if self.needs_full_write and self.snapshot_memory is not None:
            self.needs_full_write = False
            batch.insert(0, QueuedChange(self.snapshot_memory()))
        if max_rows := self.maintenance.allowance(self.health, len(self.queue), now):
            promises_before = now - self.retention_ns
            node_rows_before = now - max(self.retention_ns, NODE_RETENTION_NS)
            batch.append(QueuedChange(DeleteExpired(promises_before, max_rows, node_rows_before)))
        return batch

    async def _commit(self, batch: list[QueuedChange], is_full_write: bool = False) -> None:
        if self.file is None:
            return
        started_at = self.clock()
        self.health.commit_started(started_at)
        try:
            await self._run_in_thread(partial(self.file.commit, [queued.change for queued in batch]))
        except StateFileError as error:
            self.needs_full_write = True
            self._record_failure(error)
            for queued in batch:
                queued.finish(is_durable=False)
            return
        now = self.clock()
        self.counts.commits += 1
        self.counts.changes += len(batch)
        self.counts.longest_ns = max(self.counts.longest_ns, now - started_at)
        self._log_health_change(self.health.commit_succeeded(now, is_full_write))
        for queued in batch:
            queued.finish(is_durable=True)

    def _fail_queued(self) -> None:
        """Empties the queue and wakes the callers of durable changes, which were not written."""
        self.needs_full_write = self.needs_full_write or bool(self.queue)
        while self.queue:
            self.queue.popleft().finish(is_durable=False)

    async def _reopen(self) -> None:
        """Reopens the file and writes everything in memory. Contents that were never read are reported first."""
        try:
            contents = await self._run_in_thread(self._open)
        except StateFileError as error:
            if error.fault is not FileFault.CORRUPT:
                self._record_failure(error)
                return
            new_contents = await self._replace_damaged_file(error)
            if new_contents is None:
                return
            contents = new_contents
        if not self.is_read and self.on_late_read is not None:
            self._record_first_read(contents)
            self.on_late_read(contents)
        if self.snapshot_memory is not None:
            self.needs_full_write = False
            await self._commit([QueuedChange(self.snapshot_memory())], is_full_write=True)

    def _record_failure(self, error: StateFileError) -> None:
        now = self.clock()
        has_changed = self.health.commit_failed(error.fault, now)
        if has_changed:
            self.log.error("state not written", why=str(error), disk=self.health.state.value,
                           retry_ms=(self.health.retry_at - now) // MS)  # fmt: skip

    def _log_health_change(self, has_changed: bool) -> None:
        if has_changed:
            self.log.warning("state file", disk=self.health.state.value, longest_ms=self.counts.longest_ns // MS,
                             commits=self.counts.commits, refused=self.counts.refused)  # fmt: skip
