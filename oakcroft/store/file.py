"""The state file itself: blocking calls on SQLite (apsw), one thread at a time.

The file is held exclusively for as long as it is open, in WAL mode. A commit returns when its bytes are synced
(`synchronous=FULL`), or with `sync` off when the operating system has them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import closing, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import apsw
import msgspec

from oakcroft.decisions.state.durable import Trouble
from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.remembered import Mark, Promise
from oakcroft.decisions.fleet.roster import Line
from oakcroft.store.schema import STEPS, VERSION

MAGIC = 0x6F616B63  # "oakc": what the file says that it is


class Unusable(Exception):
    """A call on the file failed; `trouble` says how."""

    def __init__(self, trouble: Trouble, detail: str) -> None:
        super().__init__(f"{trouble.value}: {detail}")
        self.trouble = trouble


@dataclass(frozen=True)
class Put:
    """A promise as it stands now; one that binds no more goes."""

    promise: Promise


@dataclass(frozen=True)
class Told:
    """The list of nodes in force."""

    lines: tuple[Line, ...]
    version: int
    service: str
    at: int


@dataclass(frozen=True)
class Move:
    """A move under way, or over (no copy)."""

    playback: str
    copy: str
    began: int


@dataclass(frozen=True)
class Version:
    """A version of a document that is changed while serving."""

    kind: str
    number: int
    digest: str
    taken: int
    why: str
    body: bytes


@dataclass(frozen=True)
class Dropped:
    """A version that is out of its history."""

    kind: str
    number: int


@dataclass(frozen=True)
class Fact:
    """One named value."""

    name: str
    value: bytes


@dataclass(frozen=True)
class Expire:
    """Drops up to `most` promises in these marks that were changed before a time, what is held against nodes and spent
    of their slots `nodes_before` another, and gives pages back."""

    before: int
    most: int
    nodes_before: int = 0


@dataclass(frozen=True)
class Whole:
    """Everything that is in memory, in the place of everything that is in the file; versions and facts stay."""

    promises: tuple[Promise, ...]
    told: Told | None = None


Change = Put | Told | Move | Version | Dropped | Fact | Expire | Whole | Grudge | Spent


@dataclass
class Held:
    """All that a file holds."""

    promises: list[Promise] = field(default_factory=list)
    lines: list[Line] = field(default_factory=list)
    list_version: int = -1
    service: str = ""
    grudges: list[Grudge] = field(default_factory=list)
    spent: list[Spent] = field(default_factory=list)
    moves: list[Move] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    facts: dict[str, bytes] = field(default_factory=dict)


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
        """Looks at the head of a file before SQLite touches it, so that a newer program's stays as it is (file format
        1.3: user version at 60, application id at 68)."""
        try:
            with path.open("rb") as file:
                head = file.read(100)
        except FileNotFoundError:
            return
        except OSError as error:
            raise Unusable(Trouble.IO, str(error)) from error
        if len(head) == 100 and head.startswith(b"SQLite format 3\0"):
            version, magic = int.from_bytes(head[60:64], "big"), int.from_bytes(head[68:72], "big")
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
            raise Unusable(Trouble.CORRUPT, str(said)[:200])
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
                self._apply(change)
                self.written += 1

    def _apply(self, change: Change) -> None:
        run = self.db.execute
        match change:
            case Put(p):
                self._put(p)
            case Told(lines, version, service, at):
                run("DELETE FROM nodes")
                for line in lines:
                    run("INSERT INTO nodes VALUES (?, ?, ?)", (line.name, at, msgspec.msgpack.encode(line)))
                self._fact("list", msgspec.msgpack.encode((version, service)))
            case Move(playback, copy, began) if copy:
                run("INSERT OR REPLACE INTO moves VALUES (?, ?, ?)", (playback, copy, began))
            case Move(playback):
                run("DELETE FROM moves WHERE playback = ?", (playback,))
            case Version():
                run("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?)", (
                    change.kind, change.number, change.digest, change.taken, change.why, change.body,
                ))  # fmt: skip
            case Dropped(kind, number):
                run("DELETE FROM versions WHERE kind = ? AND number = ?", (kind, number))
            case Fact(name, value):
                self._fact(name, value)
            case Expire(before, most, nodes_before):
                old = "SELECT id FROM promises WHERE mark IN (?, ?) AND changed < ? LIMIT ?"
                run(
                    f"DELETE FROM promises WHERE id IN ({old})",
                    (Mark.ABORTED.name, Mark.INTENT.name, before, most),
                )
                for table in ("grudges", "spent"):  # of nodes that are long gone, too
                    run(f"DELETE FROM {table} WHERE at < ?", (nodes_before,))
                run(f"PRAGMA incremental_vacuum({int(most)})").fetchall()  # a row for each page
            case Whole(promises, told):
                if told is not None:
                    self._apply(told)
                run("DELETE FROM promises")
                for p in promises:
                    self._put(p)
            case Grudge(node, score, at, failed):
                run("INSERT OR REPLACE INTO grudges VALUES (?, ?, ?, ?)", (node, score, at, failed))
            case Spent(node, started, slot, used, at):
                run("INSERT OR REPLACE INTO spent VALUES (?, ?, ?, ?, ?)", (node, started, slot, used, at))

    def _put(self, p: Promise) -> None:
        if p.mark is Mark.GONE:
            self.db.execute("DELETE FROM promises WHERE id = ?", (p.id,))
            return
        self.db.execute("INSERT OR REPLACE INTO promises VALUES (?, ?, ?, ?, ?, ?)", (
            p.id, p.key, p.mark.name, p.node, p.changed, msgspec.msgpack.encode(p),
        ))  # fmt: skip

    def _fact(self, name: str, value: bytes) -> None:
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

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
            if "list" in held.facts:
                held.list_version, held.service = msgspec.msgpack.decode(
                    held.facts["list"], type=tuple[int, str]
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
