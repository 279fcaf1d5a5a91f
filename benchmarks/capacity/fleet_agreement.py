"""How far the lists of all front ends agree with who runs, kept up to date at each change."""

from __future__ import annotations


class Agreement:
    """One row of listed members an observer, beside the truth. `wrong`: pairs of observer and member that differ."""

    def __init__(self, front_ends: int) -> None:
        """Nobody runs, and nobody lists anybody."""
        self._runs = bytearray(front_ends)
        self._lists: list[bytearray | None] = [None] * front_ends
        self.wrong = 0
        self.disturbed_at = 0
        self.settled_at: int | None = None

    def disturbed(self, now: int) -> None:
        """Settling is counted from here."""
        self.disturbed_at, self.settled_at = now, None

    def look(self, now: int) -> None:
        """Notes when all agree for the first time since the last disturbance."""
        if self.settled_at is None and self.wrong == 0:
            self.settled_at = now

    def started(self, index: int) -> None:
        """A process runs; its own list holds itself alone."""
        self._runs[index] = 1
        self._truth_changed(index, 1)
        own = self._lists[index] = bytearray(len(self._runs))
        own[index] = 1
        self.wrong += self._differences(own)

    def ended(self, index: int) -> None:
        """A process runs no more."""
        own = self._lists[index]
        assert own is not None
        self.wrong -= self._differences(own)
        self._lists[index] = None
        self._runs[index] = 0
        self._truth_changed(index, 0)

    def seen(self, observer: int, member: int, listed: bool) -> None:
        """An observer's list has changed."""
        own = self._lists[observer]
        assert own is not None
        if own[member] != listed:
            own[member] = listed
            self.wrong += 1 if listed != self._runs[member] else -1

    def lists(self, observer: int, member: int) -> bool:
        """Whether a running observer lists a member."""
        own = self._lists[observer]
        return own is not None and bool(own[member])

    def running(self) -> list[int]:
        """The front ends that run."""
        return [index for index, runs in enumerate(self._runs) if runs]

    def pairs(self) -> int:
        """Pairs of a running observer and any front end."""
        return sum(self._runs) * len(self._runs)

    def _truth_changed(self, member: int, runs: int) -> None:
        for own in self._lists:
            if own is not None:
                self.wrong += 1 if own[member] != runs else -1

    def _differences(self, own: bytearray) -> int:
        """Each entry is 0 or 1, so that the bits that differ are the entries that do."""
        return (int.from_bytes(own) ^ int.from_bytes(self._runs)).bit_count()
