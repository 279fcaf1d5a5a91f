"""Health of the state file, which decides whether a front end may make promises.

While commits fail or are slow, no set-up that must be recorded first is sent: such requests are rejected, with
a time after which to try again. Free plans are served. A failed file is healthy again only after a commit that
wrote everything in memory anew, which is tried at growing intervals.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND


class FileState(Enum):
    """State of the state file. The values are written to the log."""

    HEALTHY = "sound"
    SLOW = "slow"
    FAILING = "failing"
    NEWER_FORMAT = "written by a newer program"


class FileFault(Enum):
    """How a call on the file failed."""

    DISK_FULL = "the disk is full"
    IO_ERROR = "input or output error"
    READ_ONLY = "read-only"
    CORRUPT = "damaged"
    NEWER_FORMAT = "written by a newer program"
    LOCKED = "another process has it"


FIRST_RETRY_NS = 200 * MS
MAX_RETRY_NS = 5 * SECOND
MIN_ROWS = 10  # dropped in one commit, however many changes are queued
RECOVERY_COMMITS = 3  # commits in time, one after the other, before a slow file is healthy again


@dataclass
class FileHealth:
    """Health of the state file. Times in ns.

    A commit that takes longer than `slow_after` makes the file slow, while it lasts and after it. This guards
    against requests that wait for a disk that does not answer until their viewers give up. A slow file is
    healthy again after `RECOVERY_COMMITS` commits in time, which guards against flapping. Drawback: one commit
    delayed by chance rejects the paid requests during the next few commits.
    """

    slow_after: int = 250 * MS
    state: FileState = FileState.HEALTHY
    changed_at: int = 0
    fault: FileFault | None = None
    retry_at: int = 0
    retry_delay: int = FIRST_RETRY_NS
    commit_started_at: int | None = None
    timely_commits: int = 0
    change_count: int = 0

    def _set_state(self, state: FileState, now: int) -> bool:
        """Changes the state; True if it is another. The only place where the state changes."""
        if state is self.state:
            return False
        self.state = state
        self.changed_at = now
        self.change_count += 1
        return True

    def can_record(self, now: int) -> bool:
        """Whether a set-up that must be recorded first may be begun now."""
        self.check(now)
        return self.state is FileState.HEALTHY

    def commit_started(self, now: int) -> None:
        """A commit begins."""
        self.commit_started_at = now

    def check(self, now: int) -> bool:
        """Marks the file as slow if the commit in progress takes too long; True if the state changed."""
        if (
            self.state is FileState.HEALTHY
            and self.commit_started_at is not None
            and now - self.commit_started_at > self.slow_after
        ):
            self.timely_commits = 0
            return self._set_state(FileState.SLOW, now)
        return False

    def commit_succeeded(self, now: int, is_full_rewrite: bool = False) -> bool:
        """The commit worked; True if the state changed.

        `is_full_rewrite`: it wrote all that is in memory anew.
        """
        duration = now - self.commit_started_at if self.commit_started_at is not None else 0
        self.commit_started_at = None
        if self.state in (FileState.FAILING, FileState.NEWER_FORMAT):
            if not is_full_rewrite:
                return False
            self.fault = None
            self.retry_delay = FIRST_RETRY_NS
            return self._set_state(FileState.HEALTHY, now)
        if duration > self.slow_after:
            self.timely_commits = 0
            return self._set_state(FileState.SLOW, now)
        self.timely_commits += 1
        return (
            self.state is FileState.SLOW
            and self.timely_commits >= RECOVERY_COMMITS
            and self._set_state(FileState.HEALTHY, now)
        )

    def commit_failed(self, fault: FileFault, now: int) -> bool:
        """A commit, or the opening of the file, failed. True if the state changed."""
        self.commit_started_at = None
        self.timely_commits = 0
        self.fault = fault
        self.retry_at = now + self.retry_delay
        self.retry_delay = min(MAX_RETRY_NS, self.retry_delay * 2)
        state = FileState.NEWER_FORMAT if fault is FileFault.NEWER_FORMAT else FileState.FAILING
        return self._set_state(state, now)

    def retry_due(self, now: int) -> bool:
        """Whether to try a failed file again now."""
        return self.state in (FileState.FAILING, FileState.NEWER_FORMAT) and now >= self.retry_at


@dataclass
class FileMaintenance:
    """Pace of the maintenance of the state file. Times in ns.

    Expired records and free pages are dropped a few at a time, fewer while the front end is busy, and none
    while the file is not healthy. This guards against a file that grows without bound and against maintenance
    that delays intents. Drawback: a file that grew during a long crowd takes minutes to shrink.
    """

    max_rows: int = 200
    interval: int = SECOND
    last_run_at: int = 0
    is_paused: bool = False

    def allowance(self, health: FileHealth, queued_changes: int, now: int) -> int:
        """Returns how many rows and pages the next commit may drop; 0 for none now."""
        if self.is_paused or health.state is not FileState.HEALTHY or now - self.last_run_at < self.interval:
            return 0
        self.last_run_at = now
        return max(MIN_ROWS, self.max_rows // (1 + queued_changes))
