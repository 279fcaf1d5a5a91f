"""A disk that loses what was not synced, as a power cut does, and fails to order: a file system for SQLite in memory.

Each file has what was written and, beside it, what has been synced. Calls are counted, so that a fault can be set on any
one of them: it fails that call, or all from that call on, until the disk is mended.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import apsw

FAULTS: dict[str, Callable[[], Exception]] = {
    "full": lambda: apsw.FullError("disk full"),
    "io-write": lambda: _io(apsw.SQLITE_IOERR_WRITE),
    "io-sync": lambda: _io(apsw.SQLITE_IOERR_FSYNC),
    "read-only": lambda: apsw.ReadOnlyError("read-only"),
}


def _io(code: int) -> Exception:
    error = apsw.exception_for(code)
    assert isinstance(error, apsw.IOError)
    return error


@dataclass
class Content:
    """One file: as it reads now, as a power cut leaves it at the least, and the writes in between."""

    now: bytearray = field(default_factory=bytearray)
    synced: bytes = b""
    since: list[tuple[int, bytes]] = field(default_factory=list)


class Handle:
    """One open file, as SQLite calls it."""

    def __init__(self, disk: Disk, content: Content) -> None:
        self.disk, self.content = disk, content

    def xRead(self, amount: int, offset: int) -> bytes:
        self.disk.call("read")
        return bytes(self.content.now[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.call("write")
        now = self.content.now
        if len(now) < offset:
            now.extend(bytes(offset - len(now)))
        now[offset : offset + len(data)] = data
        self.content.since.append((offset, bytes(data)))

    def xTruncate(self, size: int) -> None:
        self.disk.call("write")
        del self.content.now[size:]
        self.content.since.append((size, b""))

    def xSync(self, _flags: int) -> None:
        self.disk.call("sync")
        self.content.synced, self.content.since = bytes(self.content.now), []

    def xFileSize(self) -> int:
        return len(self.content.now)

    def xLock(self, _level: int) -> None:
        pass

    def xUnlock(self, _level: int) -> None:
        pass

    def xCheckReservedLock(self) -> bool:
        return False

    def xFileControl(self, _op: int, _pointer: int) -> bool:
        return False

    def xSectorSize(self) -> int:
        return 4096

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xClose(self) -> None:
        pass


class Disk(apsw.VFS):
    """The disk; SQLite knows it by its name."""

    def __init__(self, name: str) -> None:
        self.name, self.files = name, dict[str, Content]()
        self.cuts, self.after = 0, self
        self.calls, self.fail_at, self.lasting, self.kind, self.only = 0, -1, False, "", ""
        self.slow = 0.0  # seconds that each sync takes
        self.at_call: Callable[[int, str], None] | None = None
        super().__init__(name, "")

    # Faults.

    def fail(self, kind: str, at: int, lasting: bool = False, only: str = "") -> None:
        """The so-many-th write or sync from now fails (0: the next), or all from there. `only`: of this kind of call."""
        self.calls, self.fail_at, self.kind, self.lasting, self.only = 0, at, kind, lasting, only

    def mend(self) -> None:
        """Nothing fails any more."""
        self.fail_at, self.slow = -1, 0.0

    def call(self, what: str) -> None:
        """One call on a file."""
        if what == "read":
            return
        if what == "sync" and self.slow:
            time.sleep(self.slow)
        if self.only in ("", what):
            number = self.calls
            self.calls += 1
            if self.at_call is not None:
                self.at_call(number, what)
            if self.fail_at >= 0 and (number == self.fail_at or (self.lasting and number > self.fail_at)):
                raise FAULTS[self.kind]()

    def cut_power(self, rng: Random) -> Disk:
        """The disk as it is found after a power cut: what was not synced is lost, but for a part of it, as writes arrive
        in any order, the last one perhaps torn. Programs of before go on with this one, which nobody reads."""
        self.cuts += 1
        after = self.after = Disk(f"{self.name}-{self.cuts}")  # kept: SQLite forgets one that nothing holds
        for name, content in list(self.files.items()):
            left = bytearray(content.synced)
            for offset, data in list(content.since):
                if rng.random() < 0.5:
                    continue
                part = data[: rng.randrange(len(data) + 1)] if rng.random() < 0.2 else data
                if not data:
                    del left[offset:]
                    continue
                if len(left) < offset:
                    left.extend(bytes(offset - len(left)))
                left[offset : offset + len(part)] = part
            after.files[name] = Content(left, bytes(left))
        return after

    def damage(self, name: str, offset: int) -> None:
        """A page reads otherwise than it was written."""
        content = next(c for n, c in self.files.items() if n.endswith(name))
        content.now[offset : offset + 64] = bytes(64 * [0xA5])
        content.synced = bytes(content.now)

    # As SQLite calls it.

    def xOpen(  # type: ignore[override]
        self, name: apsw.URIFilename | str | None, flags: list[int]
    ) -> Handle:
        path = name if isinstance(name, str) else name.filename() if name is not None else "temporary"
        return Handle(self, self.files.setdefault(path, Content()))

    def xDelete(self, name: str, syncdir: bool) -> None:
        self.files.pop(name, None)

    def xAccess(self, name: str, flags: int) -> bool:
        return name in self.files

    def xFullPathname(self, name: str) -> str:
        return name
