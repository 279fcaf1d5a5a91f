"""Whether a front end may make promises: the health of its state file.

While the file does not take what is written in time, no set-up that must be recorded first is sent: such
requests are rejected, with a time after which to try again. Free plans go on. The file counts as healthy
again only after a commit that worked and wrote everything in memory anew; that is tried at growing intervals.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND


class Disk(Enum):
    """State of the state file. The values are written to the log."""

    SOUND = "sound"
    SLOW = "slow"
    FAILING = "failing"
    FOREIGN = "written by a newer program"


class Trouble(Enum):
    """How a call on the file failed."""

    FULL = "the disk is full"
    IO = "input or output error"
    READ_ONLY = "read-only"
    CORRUPT = "damaged"
    FOREIGN = "written by a newer program"
    BUSY = "another process has it"


FIRST_RETRY, LONGEST_RETRY = 200 * MS, 5 * SECOND
CALM = 3  # commits in time, one after the other, before a slow file is healthy again


@dataclass
class Health:
    """Health of the state file. Times in ns.

    A commit that takes longer than `slow_after` counts as slow, while it lasts and after it. This guards
    against viewers that wait in vain for a disk that does not answer. A slow file is healthy again after
    `RECOVERY_COMMITS` commits in time, which guards against flapping. Drawback: one commit delayed by chance
    rejects the paid requests during the next few commits.
    """

    slow_after: int = 250 * MS
    state: Disk = Disk.SOUND
    since: int = 0
    trouble: Trouble | None = None
    retry_at: int = 0
    retry: int = FIRST_RETRY
    began: int | None = None  # of the commit in progress
    in_time: int = 0
    changes: int = 0

    def _change(self, state: Disk, now: int) -> bool:
        """Changes the state; True if it is another. The only place where the state changes."""
        if state is self.state:
            return False
        self.state, self.since, self.changes = state, now, self.changes + 1
        return True

    def takes_promises(self, now: int) -> bool:
        """Whether a set-up that must be recorded first may be begun now."""
        self.look(now)
        return self.state is Disk.SOUND

    def begins(self, now: int) -> None:
        """A commit begins."""
        self.began = now

    def look(self, now: int) -> bool:
        """Notes if the commit in progress takes too long; True if the state changed."""
        if self.state is Disk.SOUND and self.began is not None and now - self.began > self.slow_after:
            self.in_time = 0
            return self._change(Disk.SLOW, now)
        return False

    def done(self, now: int, whole: bool = False) -> bool:
        """The commit worked; True if the state changed.

        `is_full_rewrite`: it wrote all that is in memory anew.
        """
        took = now - self.began if self.began is not None else 0
        self.began = None
        if self.state in (Disk.FAILING, Disk.FOREIGN):
            if not whole:
                return False
            self.trouble, self.retry = None, FIRST_RETRY
            return self._change(Disk.SOUND, now)
        if took > self.slow_after:
            self.in_time = 0
            return self._change(Disk.SLOW, now)
        self.in_time += 1
        return self.state is Disk.SLOW and self.in_time >= CALM and self._change(Disk.SOUND, now)

    def failed(self, trouble: Trouble, now: int) -> bool:
        """A commit, or the opening of the file, failed. True if the state changed."""
        self.began, self.in_time, self.trouble = None, 0, trouble
        self.retry_at, self.retry = now + self.retry, min(LONGEST_RETRY, self.retry * 2)
        return self._change(Disk.FOREIGN if trouble is Trouble.FOREIGN else Disk.FAILING, now)

    def due(self, now: int) -> bool:
        """Whether to try a failed file again now."""
        return self.state in (Disk.FAILING, Disk.FOREIGN) and now >= self.retry_at


@dataclass
class Upkeep:
    """Pace of the maintenance of the state file. Times in ns.

    Expired records and free pages are dropped a few at a time, fewer while the front end is busy, and none
    while the file is not healthy. This guards against a file that grows without bound and against maintenance
    that delays intents. Drawback: a file that grew during a long crowd takes minutes to shrink.
    """

    rows: int = 200
    every: int = SECOND
    last: int = 0
    paused: bool = False

    def allowance(self, health: Health, waiting: int, now: int) -> int:
        """Returns how many rows and pages the next commit may drop; 0 for none now."""
        if self.paused or health.state is not Disk.SOUND or now - self.last < self.every:
            return 0
        self.last = now
        return max(10, self.rows // (1 + waiting))
