"""Counts how far the member lists of all front ends agree with the processes that run, updated at each change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Disturbance:
    """An event after which the lists have to converge again.

    `settled_at`: when all lists first agreed after it; None until then.
    """

    description: str
    occurred_at: int
    settled_at: int | None = None


class AgreementTracker:
    """The member list of each running observer, compared with the processes that run.

    `wrong_entries`: the number of pairs of observer and member whose entry is wrong.
    """

    def __init__(self, front_ends: int) -> None:
        """Starts with no process running and all lists empty."""
        self._runs = bytearray(front_ends)
        self._lists: list[bytearray | None] = [None] * front_ends
        self.wrong_entries = 0
        self.disturbances: list[Disturbance] = []

    def record_disturbance(self, description: str, now: int) -> None:
        """Starts to measure the settling time of a new disturbance; earlier ones that have not settled stay open."""
        self.disturbances.append(Disturbance(description, now))

    def record_settling(self, now: int) -> None:
        """Marks the open disturbances as settled if all lists agree."""
        if self.wrong_entries:
            return
        for disturbance in reversed(self.disturbances):
            if disturbance.settled_at is not None:
                return
            disturbance.settled_at = now

    def started(self, index: int) -> None:
        """Records that a process started; its list holds only itself."""
        self._runs[index] = 1
        self._count_process_change(index, 1)
        own = bytearray(len(self._runs))
        own[index] = 1
        self._lists[index] = own
        self.wrong_entries += self._differences(own)

    def ended(self, index: int) -> None:
        """Records that a process ended."""
        own = self._lists[index]
        assert own is not None
        self.wrong_entries -= self._differences(own)
        self._lists[index] = None
        self._runs[index] = 0
        self._count_process_change(index, 0)

    def set_listed(self, observer: int, member: int, listed: bool) -> None:
        """Records whether an observer lists a member."""
        own = self._lists[observer]
        assert own is not None
        if own[member] != listed:
            own[member] = listed
            self.wrong_entries += 1 if listed != self._runs[member] else -1

    def is_listed(self, observer: int, member: int) -> bool:
        """Whether the observer runs and lists the member."""
        own = self._lists[observer]
        return own is not None and bool(own[member])

    def running_indexes(self) -> list[int]:
        """The indexes of the front ends whose process runs."""
        return [index for index, runs in enumerate(self._runs) if runs]

    def pair_count(self) -> int:
        """The number of pairs of a running observer and any front end."""
        return sum(self._runs) * len(self._runs)

    def _count_process_change(self, member: int, runs: int) -> None:
        """Adjusts `wrong_entries` after the process of a member started or ended."""
        for own in self._lists:
            if own is not None:
                self.wrong_entries += 1 if own[member] != runs else -1

    def _differences(self, own: bytearray) -> int:
        """The number of wrong entries of one list. Entries are 0 or 1, so each differing bit is one differing entry."""
        return (int.from_bytes(own) ^ int.from_bytes(self._runs)).bit_count()
