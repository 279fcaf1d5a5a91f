"""The SQL statements that write each type of change, within the caller's transaction."""

from __future__ import annotations

from functools import singledispatch

import apsw
import msgspec

from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.promise import Mark, Promise
from oakcroft.store.changes import Dropped, Expire, Fact, Move, Put, Told, Version, Whole

LIST = "list"
"""The name of the value that holds version and service of the stored node list."""

TABLES_OF_NODES = ("grudges", "spent")
"""Tables with a row for each node, which may have left the fleet long ago."""


@singledispatch
def write_change(change: object, db: apsw.Connection) -> None:
    """Writes a change. Raises apsw.Error if that fails, and TypeError for an object that is no change."""
    raise TypeError(f"{type(change).__name__} is no change of a state file")


@write_change.register
def _put(change: Put, db: apsw.Connection) -> None:
    _put_promise(change.promise, db)


def _put_promise(promise: Promise, db: apsw.Connection) -> None:
    if promise.mark is Mark.GONE:
        db.execute("DELETE FROM promises WHERE id = ?", (promise.id,))
        return
    db.execute("INSERT OR REPLACE INTO promises VALUES (?, ?, ?, ?, ?, ?)", (
        promise.id, promise.key, promise.mark.name, promise.node, promise.changed, msgspec.msgpack.encode(promise),
    ))  # fmt: skip


@write_change.register
def _put_list(change: Told, db: apsw.Connection) -> None:
    db.execute("DELETE FROM nodes")
    for line in change.lines:
        values = (line.name, change.at, msgspec.msgpack.encode(line))
        db.execute("INSERT INTO nodes VALUES (?, ?, ?)", values)
    _put_fact(Fact(LIST, msgspec.msgpack.encode((change.version, change.service))), db)


@write_change.register
def _put_move(change: Move, db: apsw.Connection) -> None:
    if change.copy:
        values = (change.playback, change.copy, change.began)
        db.execute("INSERT OR REPLACE INTO moves VALUES (?, ?, ?)", values)
    else:
        db.execute("DELETE FROM moves WHERE playback = ?", (change.playback,))


@write_change.register
def _put_version(change: Version, db: apsw.Connection) -> None:
    db.execute("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?)", (
        change.kind, change.number, change.digest, change.taken, change.why, change.body,
    ))  # fmt: skip


@write_change.register
def _drop_version(change: Dropped, db: apsw.Connection) -> None:
    db.execute("DELETE FROM versions WHERE kind = ? AND number = ?", (change.kind, change.number))


@write_change.register
def _put_fact(change: Fact, db: apsw.Connection) -> None:
    db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (change.name, change.value))


@write_change.register
def _expire(change: Expire, db: apsw.Connection) -> None:
    old = "SELECT id FROM promises WHERE mark IN (?, ?) AND changed < ? LIMIT ?"
    values = (Mark.ABORTED.name, Mark.INTENT.name, change.before, change.most)
    db.execute(f"DELETE FROM promises WHERE id IN ({old})", values)
    for table in TABLES_OF_NODES:
        db.execute(f"DELETE FROM {table} WHERE at < ?", (change.nodes_before,))
    # One step frees one page, so all rows have to be fetched.
    db.execute(f"PRAGMA incremental_vacuum({int(change.most)})").fetchall()


@write_change.register
def _put_all(change: Whole, db: apsw.Connection) -> None:
    if change.told is not None:
        _put_list(change.told, db)
    db.execute("DELETE FROM promises")
    for promise in change.promises:
        _put_promise(promise, db)


@write_change.register
def _put_grudge(change: Grudge, db: apsw.Connection) -> None:
    values = (change.node, change.score, change.at, change.failed_at)
    db.execute("INSERT OR REPLACE INTO grudges VALUES (?, ?, ?, ?)", values)


@write_change.register
def _put_spent(change: Spent, db: apsw.Connection) -> None:
    values = (change.node, change.started_at, change.slot, change.used, change.at)
    db.execute("INSERT OR REPLACE INTO spent VALUES (?, ?, ?, ?, ?)", values)
