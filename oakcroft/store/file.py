"""The state file itself: blocking calls on SQLite (apsw), one thread at a time.

The file is held exclusively for as long as it is open, in WAL mode. A commit returns when its bytes are synced
(`synchronous=FULL`), or with `sync` off when the operating system has them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

import apsw
import msgspec

from oakcroft.decisions.state.durable import Trouble
from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.remembered import Promise
from oakcroft.decisions.fleet.roster import Line
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
"""The application id, "oakc": what the file says that it is."""

HEAD_OCTETS = 100
HEAD_BEGINS = b"SQLite format 3\0"
USER_VERSION, APPLICATION_ID = slice(60, 64), slice(68, 72)
"""The head of a database, and where two numbers stand in it (SQLite's file format, section 1.3)."""

REPORT_SHOWN = 200
"""Characters of a failed check that are shown."""


class Unusable(Exception):
    """A call on the file failed; `trouble` says how."""

    def __init__(self, trouble: Trouble, detail: str) -> None:
        """`detail`: what the library or the system said."""
        super().__init__(f"{trouble.value}: {detail}")
        self.trouble = trouble


@contextmanager
def troubles() -> Iterator[None]:
    """Turns the library's errors into ours."""
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
    """One open file. Unusable where a call cannot be carried out; after that it must be closed and opened anew."""

    def __init__(self, path: str, vfs: str | None = None, sync: bool = True) -> None:
        """Opens the file, made where there is none, and brings it to this program's version."""
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
        """Looks at the head of a file before SQLite touches it, so that a newer program's stays as it is."""
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
        """Closes it, whatever state it is in; what a last checkpoint could not write stays in the log."""
        with suppress(apsw.Error):
            self.db.close(True)

    # Writing.

    def commit(self, changes: Iterable[Change]) -> None:
        """All of these, or none."""
        with troubles(), self.db:
            for change in changes:
                write_change(change, self.db)
                self.written += 1

    def forget_fact(self, name: str) -> None:
        """Drops a named value."""
        with troubles():
            self.db.execute("DELETE FROM facts WHERE name = ?", (name,))

    # Reading.

    def read(self) -> Held:
        """Everything."""
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
        """Bytes of the main file."""
        with troubles():
            return int(self.db.pragma("page_count")) * int(self.db.pragma("page_size"))

    def snapshot(self, to: Path) -> None:
        """A copy of all that is committed, whole or not at all. Unusable where it cannot be written."""
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
    """Puts a damaged file and its log out of the way, where they can be looked at; the new name."""
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
