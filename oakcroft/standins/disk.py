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

FAILURES: dict[str, Callable[[], Exception]] = {
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
class FileContent:
    """One file: as it reads now, as a power cut leaves it at the least, and the writes in between."""

    current: bytearray = field(default_factory=bytearray)
    synced: bytes = b""
    unsynced_writes: list[tuple[int, bytes]] = field(default_factory=list)


class FileHandle:
    """One open file, as SQLite calls it."""

    def __init__(self, disk: FaultyDisk, content: FileContent) -> None:
        self.disk, self.content = disk, content

    def xRead(self, amount: int, offset: int) -> bytes:
        self.disk.count_call("read")
        return bytes(self.content.current[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.count_call("write")
        now = self.content.current
        if len(now) < offset:
            now.extend(bytes(offset - len(now)))
        now[offset : offset + len(data)] = data
        self.content.unsynced_writes.append((offset, bytes(data)))

    def xTruncate(self, size: int) -> None:
        self.disk.count_call("write")
        del self.content.current[size:]
        self.content.unsynced_writes.append((size, b""))

    def xSync(self, _flags: int) -> None:
        self.disk.count_call("sync")
        self.content.synced, self.content.unsynced_writes = bytes(self.content.current), []

    def xFileSize(self) -> int:
        return len(self.content.current)

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


class FaultyDisk(apsw.VFS):
    """The disk; SQLite knows it by its name."""

    def __init__(self, name: str) -> None:
        self.name, self.files = name, dict[str, FileContent]()
        self.cut_count, self.successor = 0, self
        self.call_count, self.fail_at_call, self.is_lasting, self.failure, self.failing_call = (
            0,
            -1,
            False,
            "",
            "",
        )
        self.sync_delay_seconds = 0.0  # seconds that each sync takes
        self.on_call: Callable[[int, str], None] | None = None
        super().__init__(name, "")

    # Faults.

    def fail(self, kind: str, at: int, lasting: bool = False, only: str = "") -> None:
        """The so-many-th write or sync from now fails (0: the next), or all from there. `only`: of this kind of call."""
        self.call_count, self.fail_at_call, self.failure, self.is_lasting, self.failing_call = (
            0,
            at,
            kind,
            lasting,
            only,
        )

    def repair(self) -> None:
        """Nothing fails any more."""
        self.fail_at_call, self.sync_delay_seconds = -1, 0.0

    def count_call(self, what: str) -> None:
        """One call on a file."""
        if what == "read":
            return
        if what == "sync" and self.sync_delay_seconds:
            time.sleep(self.sync_delay_seconds)
        if self.failing_call in ("", what):
            number = self.call_count
            self.call_count += 1
            if self.on_call is not None:
                self.on_call(number, what)
            if self.fail_at_call >= 0 and (
                number == self.fail_at_call or (self.is_lasting and number > self.fail_at_call)
            ):
                raise FAILURES[self.failure]()

    def cut_power(self, rng: Random) -> FaultyDisk:
        """The disk as it is found after a power cut: what was not synced is lost, but for a part of it, as writes arrive
        in any order, the last one perhaps torn. Programs of before go on with this one, which nobody reads."""
        self.cut_count += 1
        after = self.successor = FaultyDisk(
            f"{self.name}-{self.cut_count}"
        )  # kept: SQLite forgets one that nothing holds
        for name, content in list(self.files.items()):
            left = bytearray(content.synced)
            for offset, data in list(content.unsynced_writes):
                if rng.random() < 0.5:
                    continue
                part = data[: rng.randrange(len(data) + 1)] if rng.random() < 0.2 else data
                if not data:
                    del left[offset:]
                    continue
                if len(left) < offset:
                    left.extend(bytes(offset - len(left)))
                left[offset : offset + len(part)] = part
            after.files[name] = FileContent(left, bytes(left))
        return after

    def corrupt(self, name: str, offset: int) -> None:
        """A page reads otherwise than it was written."""
        content = next(c for n, c in self.files.items() if n.endswith(name))
        content.current[offset : offset + 64] = bytes(64 * [0xA5])
        content.synced = bytes(content.current)

    # As SQLite calls it.

    def xOpen(  # type: ignore[override]
        self, name: apsw.URIFilename | str | None, flags: list[int]
    ) -> FileHandle:
        path = name if isinstance(name, str) else name.filename() if name is not None else "temporary"
        return FileHandle(self, self.files.setdefault(path, FileContent()))

    def xDelete(self, name: str, syncdir: bool) -> None:
        self.files.pop(name, None)

    def xAccess(self, name: str, flags: int) -> bool:
        return name in self.files

    def xFullPathname(self, name: str) -> str:
        return name
