"""Whether a front may promise: the health of its state file, and what it does while that is not sound.

While the file does not take what is written in time, nothing that must be on record leaves: such requests are rejected
before anything is sent, with a time to come back. Free plans go on. Nothing but a commit that worked, after everything in
memory has been written anew, makes the file sound again; that is tried at growing intervals.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND


class Disk(Enum):
    """How the state file stands."""

    SOUND = "sound"
    SLOW = "slow"
    FAILING = "failing"
    FOREIGN = "written by a newer program"


class Trouble(Enum):
    """What a call on the file ended with."""

    FULL = "the disk is full"
    IO = "input or output error"
    READ_ONLY = "read-only"
    CORRUPT = "damaged"
    FOREIGN = "written by a newer program"
    BUSY = "another process has it"


FIRST_RETRY, LONGEST_RETRY = 200 * MS, 5 * SECOND
CALM = 3  # commits in time, one after the other, before a slow file is sound again


@dataclass
class Health:
    """The file's health. `slow_after`: a commit that takes longer, in ns, counts as slow while it lasts and after it.

    Guards against viewers that wait out their time for a disk that does not answer, and against flapping: a slow file
    is sound again after `CALM` commits in time. Harm: one commit delayed by chance rejects the paid requests of the next
    few.
    """

    slow_after: int = 250 * MS
    state: Disk = Disk.SOUND
    since: int = 0
    trouble: Trouble | None = None
    retry_at: int = 0
    retry: int = FIRST_RETRY
    began: int | None = None  # of the commit that is under way
    in_time: int = 0
    changes: int = 0

    def _change(self, state: Disk, now: int) -> bool:
        """The one place where the state changes; True when it did."""
        if state is self.state:
            return False
        self.state, self.since, self.changes = state, now, self.changes + 1
        return True

    def takes_promises(self, now: int) -> bool:
        """Whether a set-up that must be on record first may be begun now."""
        self.look(now)
        return self.state is Disk.SOUND

    def begins(self, now: int) -> None:
        """A commit begins."""
        self.began = now

    def look(self, now: int) -> bool:
        """To be called now and then: a commit under way for too long makes the file slow. True on a change."""
        if self.state is Disk.SOUND and self.began is not None and now - self.began > self.slow_after:
            self.in_time = 0
            return self._change(Disk.SLOW, now)
        return False

    def done(self, now: int, whole: bool = False) -> bool:
        """The commit worked. `whole`: it wrote all that is in memory anew. True on a change."""
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
        """The commit, or the opening, failed. True on a change."""
        self.began, self.in_time, self.trouble = None, 0, trouble
        self.retry_at, self.retry = now + self.retry, min(LONGEST_RETRY, self.retry * 2)
        return self._change(Disk.FOREIGN if trouble is Trouble.FOREIGN else Disk.FAILING, now)

    def due(self, now: int) -> bool:
        """Whether a file that failed is to be tried again now."""
        return self.state in (Disk.FAILING, Disk.FOREIGN) and now >= self.retry_at


@dataclass
class Upkeep:
    """How much background work the file gets: expired records and free pages go a few at a time, less while the front is
    busy, none while the file is not sound.

    Guards against a file that grows without end and against upkeep that delays intents. Harm: a file that grew under a
    long crowd shrinks over minutes.
    """

    rows: int = 200
    every: int = SECOND
    last: int = 0
    paused: bool = False

    def allowance(self, health: Health, waiting: int, now: int) -> int:
        """Rows and pages that may be dropped in the next commit; 0 for none now."""
        if self.paused or health.state is not Disk.SOUND or now - self.last < self.every:
            return 0
        self.last = now
        return max(10, self.rows // (1 + waiting))
