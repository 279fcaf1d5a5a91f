"""Blocking access to the state file through SQLite (apsw), one thread at a time.

The file is locked exclusively while it is open, and is in WAL mode. A commit returns once its data is synced to disk
(`synchronous=FULL`), or, if `is_synced` is off, once the operating system has it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

import apsw
import msgspec

from oakcroft.decisions.state.state_file_health import FileFault
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.promise import Promise
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.store.changes import (
    StateChange,
    DropVersion,
    DeleteExpired,
    NamedValue,
    StateContents,
    MoveRecord,
    PutPromise,
    PutNodeList,
    VersionRecord,
    ReplaceContents,
)
from oakcroft.store.schema import MIGRATIONS, SCHEMA_VERSION
from oakcroft.store.statements import NODE_LIST_KEY, write_change

__all__ = [
    "DeleteExpired",
    "DropVersion",
    "MoveRecord",
    "NamedValue",
    "PutNodeList",
    "PutPromise",
    "ReplaceContents",
    "StateChange",
    "StateContents",
    "StateFile",
    "StateFileError",
    "VersionRecord",
    "move_damaged_file",
]  # fmt: skip

OAKCROFT_APPLICATION_ID = 0x6F616B63
"""SQLite's application id of a state file, "oakc" in ASCII."""

HEADER_LENGTH = 100
HEADER_MAGIC = b"SQLite format 3\0"
USER_VERSION_BYTES = slice(60, 64)
APPLICATION_ID_BYTES = slice(68, 72)
"""The header of a database and the positions of two numbers in it (SQLite's file format, section 1.3)."""

MAX_REPORT_LENGTH = 200
"""Bound on the text of a failed integrity check in an error message, in characters."""


class StateFileError(Exception):
    """Raised when a call on the state file fails. `fault` is the kind of failure."""

    def __init__(self, fault: FileFault, detail: str) -> None:
        """`detail` is the message of the library or the operating system."""
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


@contextmanager
def translated_errors() -> Iterator[None]:
    """Translates errors of SQLite, of decoding and of the operating system to StateFileError."""
    try:
        yield
    except apsw.FullError as error:
        raise StateFileError(FileFault.DISK_FULL, str(error)) from error
    except apsw.ReadOnlyError as error:
        raise StateFileError(FileFault.READ_ONLY, str(error)) from error
    except (apsw.CorruptError, apsw.NotADBError, msgspec.DecodeError) as error:
        raise StateFileError(FileFault.CORRUPT, str(error)) from error
    except (apsw.BusyError, apsw.LockedError) as error:
        raise StateFileError(FileFault.LOCKED, str(error)) from error
    except (apsw.Error, OSError) as error:
        raise StateFileError(FileFault.IO_ERROR, str(error)) from error


class StateFile:
    """An open state file.

    A call that fails raises StateFileError; after that the file must be closed and opened anew.
    """

    def __init__(self, path: str, vfs: str | None = None, is_synced: bool = True) -> None:
        """Opens the file, or creates it, and migrates it to the current schema version.

        `vfs` is the name of an SQLite VFS to use in place of the default one. With `is_synced` off, commits don't wait
        for the disk.
        """
        self.path = path
        self.vfs = vfs
        self.written_count = 0
        if vfs is None:
            self._check_header(Path(path))
        with translated_errors():
            self.connection = apsw.Connection(path, vfs=vfs)
        try:
            with translated_errors():
                self._prepare(is_synced)
        except BaseException:
            self.close()
            raise

    @staticmethod
    def _check_header(path: Path) -> None:
        """Checks the file header before SQLite opens the file, so that the file of a newer program stays unchanged."""
        try:
            with path.open("rb") as file:
                header = file.read(HEADER_LENGTH)
        except FileNotFoundError:
            return
        except OSError as error:
            raise StateFileError(FileFault.IO_ERROR, str(error)) from error
        if len(header) == HEADER_LENGTH and header.startswith(HEADER_MAGIC):
            version = int.from_bytes(header[USER_VERSION_BYTES], "big")
            application_id = int.from_bytes(header[APPLICATION_ID_BYTES], "big")
            if application_id not in (0, OAKCROFT_APPLICATION_ID) or version > SCHEMA_VERSION:
                raise StateFileError(
                    FileFault.NEWER_FORMAT,
                    f"{path} has version {version}, this program knows {SCHEMA_VERSION}",
                )

    def _prepare(self, is_synced: bool) -> None:
        self.connection.pragma("locking_mode", "exclusive")
        self.connection.pragma("auto_vacuum", "incremental")
        version = int(self.connection.pragma("user_version"))
        application_id = int(self.connection.pragma("application_id"))
        if application_id not in (0, OAKCROFT_APPLICATION_ID):
            raise StateFileError(FileFault.NEWER_FORMAT, f"{self.path} belongs to another program")
        if version > SCHEMA_VERSION:
            raise StateFileError(
                FileFault.NEWER_FORMAT,
                f"{self.path} has version {version}, this program knows {SCHEMA_VERSION}",
            )
        self.connection.pragma("journal_mode", "wal")
        self.connection.pragma("synchronous", "full" if is_synced else "off")
        if (report := self.connection.pragma("quick_check")) != "ok":
            raise StateFileError(FileFault.CORRUPT, str(report)[:MAX_REPORT_LENGTH])
        if version < SCHEMA_VERSION:
            with self.connection:
                for number in range(version, SCHEMA_VERSION):
                    self.connection.execute(MIGRATIONS[number])
                self.connection.pragma("application_id", OAKCROFT_APPLICATION_ID)
                self.connection.pragma("user_version", SCHEMA_VERSION)

    def close(self) -> None:
        """Closes the file in any state. Data that the last checkpoint cannot write stays in the WAL."""
        with suppress(apsw.Error):
            self.connection.close(True)

    # Writing.

    def commit(self, changes: Iterable[StateChange]) -> None:
        """Writes the changes in one transaction."""
        with translated_errors(), self.connection:
            for change in changes:
                write_change(change, self.connection)
                self.written_count += 1

    def delete_named_value(self, name: str) -> None:
        """Deletes a named value."""
        with translated_errors():
            self.connection.execute("DELETE FROM facts WHERE name = ?", (name,))

    # Reading.

    def read(self) -> StateContents:
        """Returns all contents of the file."""
        with translated_errors():
            execute = self.connection.execute
            contents = StateContents()
            promise_decoder = msgspec.msgpack.Decoder(Promise)
            contents.promises = [
                promise_decoder.decode(body) for (body,) in execute("SELECT body FROM promises ORDER BY id")
            ]
            node_decoder = msgspec.msgpack.Decoder(ListedNode)
            contents.listed_nodes = [
                node_decoder.decode(body) for (body,) in execute("SELECT body FROM nodes ORDER BY name")
            ]
            contents.node_penalties = [
                NodePenalty(*row) for row in execute("SELECT * FROM grudges ORDER BY node")
            ]
            contents.slot_usage = [SlotUsage(*row) for row in execute("SELECT * FROM spent ORDER BY node")]
            contents.moves = [MoveRecord(*row) for row in execute("SELECT * FROM moves ORDER BY playback")]
            contents.versions = [
                VersionRecord(*row) for row in execute("SELECT * FROM versions ORDER BY kind, number")
            ]
            contents.named_values = dict(execute("SELECT name, value FROM facts ORDER BY name"))
            if NODE_LIST_KEY in contents.named_values:
                contents.list_version, contents.service = msgspec.msgpack.decode(
                    contents.named_values[NODE_LIST_KEY], type=tuple[int, str]
                )
            return contents

    def size(self) -> int:
        """Returns the size of the main file in bytes, without the WAL."""
        with translated_errors():
            return int(self.connection.pragma("page_count")) * int(self.connection.pragma("page_size"))

    def snapshot(self, target: Path) -> None:
        """Writes a copy of the committed contents to a file, which appears complete or not at all.

        Raises StateFileError if it cannot be written.
        """
        temporary = target.with_name(target.name + ".new")
        temporary.unlink(missing_ok=True)
        with translated_errors():
            with closing(apsw.Connection(str(temporary))) as copy:
                copy.pragma("synchronous", "full")
                with copy.backup("main", self.connection, "main") as backup:
                    backup.step()
                copy.pragma("journal_mode", "delete")
            temporary.replace(target)


def move_damaged_file(path: str) -> str:
    """Renames a damaged file and its logs, so that they can be examined later. Returns the file's new path."""
    original = Path(path)
    number = 1
    while (damaged := original.with_name(f"{original.name}.damaged-{number}")).exists():
        number += 1
    for suffix in ("-wal", "-journal", "-shm"):
        log = original.with_name(original.name + suffix)
        if log.exists():
            log.replace(damaged.with_name(damaged.name + suffix))
    if original.exists():
        original.replace(damaged)
    return str(damaged)
