"""In-memory file system for SQLite that loses unsynced data like a power cut, and fails on demand.

Each file holds its current content and, beside it, the content at its last sync. Write and sync calls are counted, so
that a fault can be set on any one of them: that call fails, or that call and all later ones until the disk is repaired.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import apsw

FAILURES: dict[str, Callable[[], Exception]] = {
    "full": lambda: apsw.FullError("disk full"),
    "io-write": lambda: _io_error(apsw.SQLITE_IOERR_WRITE),
    "io-sync": lambda: _io_error(apsw.SQLITE_IOERR_FSYNC),
    "read-only": lambda: apsw.ReadOnlyError("read-only"),
}
NO_CALL = -1


def _io_error(code: int) -> Exception:
    error = apsw.exception_for(code)
    assert isinstance(error, apsw.IOError)
    return error


@dataclass
class FileContent:
    """A file: its content as it reads now, its content at the last sync, and the writes since then, by offset.

    A write without data truncates the file at its offset.
    """

    current: bytearray = field(default_factory=bytearray)
    synced: bytes = b""
    unsynced_writes: list[tuple[int, bytes]] = field(default_factory=list)


class FileHandle:
    """An open file; the methods are those that SQLite calls."""

    def __init__(self, disk: FaultyDisk, content: FileContent) -> None:
        self.disk, self.content = disk, content

    def xRead(self, amount: int, offset: int) -> bytes:
        self.disk.count_call("read")
        return bytes(self.content.current[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.count_call("write")
        current = self.content.current
        if len(current) < offset:
            current.extend(bytes(offset - len(current)))
        current[offset : offset + len(data)] = data
        self.content.unsynced_writes.append((offset, bytes(data)))

    def xTruncate(self, size: int) -> None:
        self.disk.count_call("write")
        del self.content.current[size:]
        self.content.unsynced_writes.append((size, b""))

    def xSync(self, _flags: int) -> None:
        self.disk.count_call("sync")
        self.content.synced = bytes(self.content.current)
        self.content.unsynced_writes = []

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
    """The disk, registered with SQLite as a VFS under its name."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.files: dict[str, FileContent] = {}
        self.cut_count = 0
        self.successor = self  # disk after the last power cut
        self.call_count = 0
        self.fail_at_call = NO_CALL
        self.is_lasting = False
        self.failure = ""
        self.failing_call = ""
        self.sync_delay_seconds = 0.0
        self.on_call: Callable[[int, str], None] | None = None
        super().__init__(name, "")

    # Faults.

    def fail(self, kind: str, at: int, lasting: bool = False, only: str = "") -> None:
        """Makes the write or sync number `at` from now fail (0 for the next), and all later ones if `lasting`.

        `kind` is a key of `FAILURES`; `only` restricts the fault, and the count, to calls of one kind.
        """
        self.call_count = 0
        self.fail_at_call = at
        self.failure = kind
        self.is_lasting = lasting
        self.failing_call = only

    def repair(self) -> None:
        """Clears all faults."""
        self.fail_at_call = NO_CALL
        self.sync_delay_seconds = 0.0

    def count_call(self, call: str) -> None:
        """Counts a call on a file, and raises the error that is set on it."""
        if call == "read":
            return
        if call == "sync" and self.sync_delay_seconds:
            time.sleep(self.sync_delay_seconds)
        if self.failing_call not in ("", call):
            return
        number = self.call_count
        self.call_count += 1
        if self.on_call is not None:
            self.on_call(number, call)
        if self._fails_at(number):
            raise FAILURES[self.failure]()

    def _fails_at(self, number: int) -> bool:
        if self.fail_at_call < 0:
            return False
        return number == self.fail_at_call or (self.is_lasting and number > self.fail_at_call)

    def cut_power(self, rng: Random) -> FaultyDisk:
        """Returns the disk as it is found after a power cut.

        Of the unsynced writes, each is lost or kept at random, as writes reach a disk in any order, and some of those
        kept are torn. Programs from before the cut go on with this disk, whose files nobody reads any more.
        """
        self.cut_count += 1
        # The reference is kept because SQLite unregisters a VFS that nothing refers to.
        successor = self.successor = FaultyDisk(f"{self.name}-{self.cut_count}")
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
            successor.files[name] = FileContent(left, bytes(left))
        return successor

    def corrupt(self, name: str, offset: int) -> None:
        """Overwrites 64 bytes of the file whose name ends in `name`, as if the medium had gone bad."""
        content = next(content for path, content in self.files.items() if path.endswith(name))
        content.current[offset : offset + 64] = bytes(64 * [0xA5])
        content.synced = bytes(content.current)

    # Methods that SQLite calls.

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
