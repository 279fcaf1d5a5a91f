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
"""The error of each kind of fault, as SQLite's own file system would raise it."""

NO_CALL = -1
"""Number of the failing call while no fault is set."""

SECTOR_BYTES = 4096
"""Size of the disk's sectors, as SQLite asks for it."""

LOST_WRITE_SHARE = 0.5
TORN_WRITE_SHARE = 0.2
"""Share of the unsynced writes that a power cut loses, and share of the others that it leaves written in part."""

CORRUPT_BYTES = 64
CORRUPT_BYTE = 0xA5
"""Length and value of the bytes that `corrupt` writes."""


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
        """Opens a file of a disk."""
        self.disk = disk
        self.content = content

    def xRead(self, amount: int, offset: int) -> bytes:
        """Reads up to `amount` bytes; fewer at the end of the file."""
        self.disk.count_call("read")
        return bytes(self.content.current[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        """Writes bytes, which are lost in a power cut unless a sync follows."""
        self.disk.count_call("write")
        _write_at(self.content.current, offset, data)
        self.content.unsynced_writes.append((offset, bytes(data)))

    def xTruncate(self, size: int) -> None:
        """Truncates the file, which counts as a write."""
        self.disk.count_call("write")
        del self.content.current[size:]
        self.content.unsynced_writes.append((size, b""))

    def xSync(self, _flags: int) -> None:
        """Makes all writes so far survive a power cut."""
        self.disk.count_call("sync")
        self.content.synced = bytes(self.content.current)
        self.content.unsynced_writes = []

    def xFileSize(self) -> int:
        """Size in bytes."""
        return len(self.content.current)

    def xLock(self, _level: int) -> None:
        """Does nothing: one connection uses the file at a time."""

    def xUnlock(self, _level: int) -> None:
        """Does nothing, like `xLock`."""

    def xCheckReservedLock(self) -> bool:
        """No other connection has the file locked."""
        return False

    def xFileControl(self, _op: int, _pointer: int) -> bool:
        """Supports no file control operation."""
        return False

    def xSectorSize(self) -> int:
        """Size of a sector in bytes."""
        return SECTOR_BYTES

    def xDeviceCharacteristics(self) -> int:
        """Promises nothing, such as atomic writes, that would let SQLite skip a sync."""
        return 0

    def xClose(self) -> None:
        """Does nothing: the content stays on the disk."""


class FaultyDisk(apsw.VFS):
    """The disk, registered with SQLite as a VFS under its name."""

    def __init__(self, name: str) -> None:
        """An empty disk, registered under a name that no other disk has."""
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

    def fail(self, kind: str, call_number: int, lasting: bool = False, only: str = "") -> None:
        """Makes one write or sync from now on fail (0 for the next), and all later ones if `lasting`.

        `kind` is a key of `FAILURES`; `only`, "write" or "sync", restricts the fault, and the count, to these calls.
        """
        self.call_count = 0
        self.fail_at_call = call_number
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
        if self.fail_at_call == NO_CALL:
            return False
        return number == self.fail_at_call or (self.is_lasting and number > self.fail_at_call)

    def cut_power(self, rng: Random) -> FaultyDisk:
        """Returns the disk as it is found after a power cut.

        Of the unsynced writes, each is lost or kept at random, as writes reach a disk in any order, and some of those
        kept are torn. Programs from before the cut keep using the old disk, whose files are not read any more.
        """
        self.cut_count += 1
        # The reference is kept because SQLite unregisters a VFS that nothing refers to.
        self.successor = FaultyDisk(f"{self.name}-{self.cut_count}")
        for name, content in list(self.files.items()):
            remaining = _content_after_power_cut(content, rng)
            self.successor.files[name] = FileContent(remaining, bytes(remaining))
        return self.successor

    def corrupt(self, name: str, offset: int) -> None:
        """Overwrites a few bytes of the file whose name ends in `name`, like a defect of the medium."""
        content = next(content for path, content in self.files.items() if path.endswith(name))
        content.current[offset : offset + CORRUPT_BYTES] = bytes(CORRUPT_BYTES * [CORRUPT_BYTE])
        content.synced = bytes(content.current)

    # Methods that SQLite calls.

    def xOpen(  # type: ignore[override]
        self, name: apsw.URIFilename | str | None, flags: list[int]
    ) -> FileHandle:
        """Opens a file, or creates it; a file without a name is a temporary one."""
        path = name if isinstance(name, str) else name.filename() if name is not None else "temporary"
        return FileHandle(self, self.files.setdefault(path, FileContent()))

    def xDelete(self, name: str, syncdir: bool) -> None:
        """Deletes a file, if it exists."""
        self.files.pop(name, None)

    def xAccess(self, name: str, flags: int) -> bool:
        """Whether a file exists."""
        return name in self.files

    def xFullPathname(self, name: str) -> str:
        """The name itself, as there are no directories."""
        return name


def _write_at(content: bytearray, offset: int, data: bytes) -> None:
    """Writes data at an offset; a gap before it is filled with zeros."""
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


def _content_after_power_cut(content: FileContent, rng: Random) -> bytearray:
    """What a power cut leaves of a file: what was synced, and a random part of what was not."""
    remaining = bytearray(content.synced)
    for offset, data in list(content.unsynced_writes):
        if rng.random() < LOST_WRITE_SHARE:
            continue
        written = data[: rng.randrange(len(data) + 1)] if rng.random() < TORN_WRITE_SHARE else data
        if data:
            _write_at(remaining, offset, written)
        else:
            del remaining[offset:]
    return remaining
