"""How far the lists of all front ends agree with who runs, kept up to date at each change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Disturbance:
    """Something after which lists have to come to agree again. `settled_at`: when they first did."""

    description: str
    occurred_at: int
    settled_at: int | None = None


class AgreementTracker:
    """One row of listed members an observer, beside the truth. `wrong_entries`: pairs of observer and member that differ."""

    def __init__(self, front_ends: int) -> None:
        """Nobody runs, and nobody lists anybody."""
        self._runs = bytearray(front_ends)
        self._lists: list[bytearray | None] = [None] * front_ends
        self.wrong_entries = 0
        self.disturbances: list[Disturbance] = []

    def record_disturbance(self, description: str, now: int) -> None:
        """Settling is counted from here, for this and for all before that have not settled."""
        self.disturbances.append(Disturbance(description, now))

    def record_settling(self, now: int) -> None:
        """Notes when all agree for the first time since a disturbance."""
        if self.wrong_entries:
            return
        for disturbance in reversed(self.disturbances):
            if disturbance.settled_at is not None:
                return
            disturbance.settled_at = now

    def started(self, index: int) -> None:
        """A process runs; its own list holds itself alone."""
        self._runs[index] = 1
        self._truth_changed(index, 1)
        own = self._lists[index] = bytearray(len(self._runs))
        own[index] = 1
        self.wrong_entries += self._differences(own)

    def ended(self, index: int) -> None:
        """A process runs no more."""
        own = self._lists[index]
        assert own is not None
        self.wrong_entries -= self._differences(own)
        self._lists[index] = None
        self._runs[index] = 0
        self._truth_changed(index, 0)

    def set_listed(self, observer: int, member: int, listed: bool) -> None:
        """An observer's list has changed."""
        own = self._lists[observer]
        assert own is not None
        if own[member] != listed:
            own[member] = listed
            self.wrong_entries += 1 if listed != self._runs[member] else -1

    def is_listed(self, observer: int, member: int) -> bool:
        """Whether a running observer lists a member."""
        own = self._lists[observer]
        return own is not None and bool(own[member])

    def running_indexes(self) -> list[int]:
        """The front ends that run."""
        return [index for index, runs in enumerate(self._runs) if runs]

    def pair_count(self) -> int:
        """Pairs of a running observer and any front end."""
        return sum(self._runs) * len(self._runs)

    def _truth_changed(self, member: int, runs: int) -> None:
        for own in self._lists:
            if own is not None:
                self.wrong_entries += 1 if own[member] != runs else -1

    def _differences(self, own: bytearray) -> int:
        """Each entry is 0 or 1, so that the bits that differ are the entries that do."""
        return (int.from_bytes(own) ^ int.from_bytes(self._runs)).bit_count()
