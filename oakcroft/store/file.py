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

from oakcroft.decisions.state.state_file_health import Trouble
from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.promise import Promise
from oakcroft.decisions.fleet.node_list import Line
from oakcroft.store.changes import (
    Change, Dropped, Expire, Fact, Held, Move, Put, Told, Version, Whole,
)  # fmt: skip
from oakcroft.store.schema import STEPS, VERSION
from oakcroft.store.statements import LIST, write_change

__all__ = [
    "Change", "Dropped", "Expire", "Fact", "Held", "Move", "Put", "StateFile", "Told", "Unusable", "Version", "Whole",
    "set_aside",
]  # fmt: skip

MAGIC = 0x6F616B63
"""SQLite's application id of a state file, "oakc" in ASCII."""

HEAD_OCTETS = 100
HEAD_BEGINS = b"SQLite format 3\0"
USER_VERSION, APPLICATION_ID = slice(60, 64), slice(68, 72)
"""The header of a database and the positions of two numbers in it (SQLite's file format, section 1.3)."""

REPORT_SHOWN = 200
"""Bound on the text of a failed integrity check in an error message, in characters."""


class Unusable(Exception):
    """Raised when a call on the state file fails. `fault` is the kind of failure."""

    def __init__(self, trouble: Trouble, detail: str) -> None:
        """`detail` is the message of the library or the operating system."""
        super().__init__(f"{trouble.value}: {detail}")
        self.trouble = trouble


@contextmanager
def troubles() -> Iterator[None]:
    """Translates errors of SQLite, of decoding and of the operating system to StateFileError."""
    try:
        yield
    except apsw.FullError as error:
        raise Unusable(Trouble.FULL, str(error)) from error
    except apsw.ReadOnlyError as error:
        raise Unusable(Trouble.READ_ONLY, str(error)) from error
    except (apsw.CorruptError, apsw.NotADBError, msgspec.DecodeError) as error:
        raise Unusable(Trouble.CORRUPT, str(error)) from error
    except (apsw.BusyError, apsw.LockedError) as error:
        raise Unusable(Trouble.BUSY, str(error)) from error
    except (apsw.Error, OSError) as error:
        raise Unusable(Trouble.IO, str(error)) from error


class StateFile:
    """An open state file.

    A call that fails raises StateFileError; after that the file must be closed and opened anew.
    """

    def __init__(self, path: str, vfs: str | None = None, sync: bool = True) -> None:
        """Opens the file, or creates it, and migrates it to the current schema version.

        `vfs` is the name of an SQLite VFS to use in place of the default one. With `is_synced` off, commits don't wait
        for the disk.
        """
        self.path, self.vfs, self.written = path, vfs, 0
        if vfs is None:
            self._look(Path(path))
        with troubles():
            self.db = apsw.Connection(path, vfs=vfs)
        try:
            with troubles():
                self._open(sync)
        except BaseException:
            self.close()
            raise

    @staticmethod
    def _look(path: Path) -> None:
        """Checks the file header before SQLite opens the file, so that the file of a newer program stays unchanged."""
        try:
            with path.open("rb") as file:
                head = file.read(HEAD_OCTETS)
        except FileNotFoundError:
            return
        except OSError as error:
            raise Unusable(Trouble.IO, str(error)) from error
        if len(head) == HEAD_OCTETS and head.startswith(HEAD_BEGINS):
            version = int.from_bytes(head[USER_VERSION], "big")
            magic = int.from_bytes(head[APPLICATION_ID], "big")
            if magic not in (0, MAGIC) or version > VERSION:
                raise Unusable(Trouble.FOREIGN, f"{path} has version {version}, this program knows {VERSION}")

    def _open(self, sync: bool) -> None:
        self.db.pragma("locking_mode", "exclusive")
        self.db.pragma("auto_vacuum", "incremental")
        version = int(self.db.pragma("user_version"))
        magic = int(self.db.pragma("application_id"))
        if magic not in (0, MAGIC):
            raise Unusable(Trouble.FOREIGN, f"{self.path} is another program's")
        if version > VERSION:
            raise Unusable(
                Trouble.FOREIGN, f"{self.path} has version {version}, this program knows {VERSION}"
            )
        self.db.pragma("journal_mode", "wal")
        self.db.pragma("synchronous", "full" if sync else "off")
        if (said := self.db.pragma("quick_check")) != "ok":
            raise Unusable(Trouble.CORRUPT, str(said)[:REPORT_SHOWN])
        if version < VERSION:
            with self.db:
                for number in range(version, VERSION):
                    self.db.execute(STEPS[number])
                self.db.pragma("application_id", MAGIC)
                self.db.pragma("user_version", VERSION)

    def close(self) -> None:
        """Closes the file in any state. Data that the last checkpoint cannot write stays in the WAL."""
        with suppress(apsw.Error):
            self.db.close(True)

    # Writing.

    def commit(self, changes: Iterable[Change]) -> None:
        """Writes the changes in one transaction."""
        with troubles(), self.db:
            for change in changes:
                write_change(change, self.db)
                self.written += 1

    def forget_fact(self, name: str) -> None:
        """Deletes a named value."""
        with troubles():
            self.db.execute("DELETE FROM facts WHERE name = ?", (name,))

    # Reading.

    def read(self) -> Held:
        """Returns all contents of the file."""
        with troubles():
            run, held = self.db.execute, Held()
            bodies = msgspec.msgpack.Decoder(Promise)
            held.promises = [bodies.decode(b) for (b,) in run("SELECT body FROM promises ORDER BY id")]
            lines = msgspec.msgpack.Decoder(Line)
            held.lines = [lines.decode(b) for (b,) in run("SELECT body FROM nodes ORDER BY name")]
            held.grudges = [Grudge(*row) for row in run("SELECT * FROM grudges ORDER BY node")]
            held.spent = [Spent(*row) for row in run("SELECT * FROM spent ORDER BY node")]
            held.moves = [Move(*row) for row in run("SELECT * FROM moves ORDER BY playback")]
            held.versions = [Version(*row) for row in run("SELECT * FROM versions ORDER BY kind, number")]
            held.facts = dict(run("SELECT name, value FROM facts ORDER BY name"))
            if LIST in held.facts:
                held.list_version, held.service = msgspec.msgpack.decode(
                    held.facts[LIST], type=tuple[int, str]
                )
            return held

    def size(self) -> int:
        """Returns the size of the main file in bytes, without the WAL."""
        with troubles():
            return int(self.db.pragma("page_count")) * int(self.db.pragma("page_size"))

    def snapshot(self, to: Path) -> None:
        """Writes a copy of the committed contents to a file, which appears complete or not at all.

        Raises StateFileError if it cannot be written.
        """
        temporary = to.with_name(to.name + ".new")
        temporary.unlink(missing_ok=True)
        with troubles():
            with closing(apsw.Connection(str(temporary))) as copy:
                copy.pragma("synchronous", "full")
                with copy.backup("main", self.db, "main") as backup:
                    backup.step()
                copy.pragma("journal_mode", "delete")
            temporary.replace(to)


def set_aside(path: str) -> str:
    """Renames a damaged file and its logs, so that they can be examined later. Returns the file's new path."""
    kept = Path(path)
    number = 1
    while (aside := kept.with_name(f"{kept.name}.damaged-{number}")).exists():
        number += 1
    for end in ("-wal", "-journal", "-shm"):
        log = kept.with_name(kept.name + end)
        if log.exists():
            log.replace(aside.with_name(aside.name + end))
    if kept.exists():
        kept.replace(aside)
    return str(aside)
