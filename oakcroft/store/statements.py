"""The SQL statements that write each type of change, within the caller's transaction."""

from __future__ import annotations

from functools import singledispatch

import apsw
import msgspec

from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.store.changes import (
    DropVersion,
    DeleteExpired,
    NamedValue,
    MoveRecord,
    PutPromise,
    PutNodeList,
    VersionRecord,
    ReplaceContents,
)

NODE_LIST_KEY = "list"
"""The name of the value that holds version and service of the stored node list."""

NODE_TABLES = ("grudges", "spent")
"""Tables with a row for each node, which may have left the fleet long ago."""


@singledispatch
def write_change(change: object, db: apsw.Connection) -> None:
    """Writes a change. Raises apsw.Error if that fails, and TypeError for an object that is no change."""
    raise TypeError(f"{type(change).__name__} is not a state file change")


@write_change.register
def _put_promise_change(change: PutPromise, db: apsw.Connection) -> None:
    _put_promise(change.promise, db)


def _put_promise(promise: Promise, db: apsw.Connection) -> None:
    if promise.mark is PromiseState.GONE:
        db.execute("DELETE FROM promises WHERE id = ?", (promise.id,))
        return
    db.execute("INSERT OR REPLACE INTO promises VALUES (?, ?, ?, ?, ?, ?)", (
        promise.id, promise.key, promise.mark.name, promise.node, promise.changed, msgspec.msgpack.encode(promise),
    ))  # fmt: skip


@write_change.register
def _put_node_list(change: PutNodeList, db: apsw.Connection) -> None:
    db.execute("DELETE FROM nodes")
    for line in change.listed_nodes:
        values = (line.name, change.received_at, msgspec.msgpack.encode(line))
        db.execute("INSERT INTO nodes VALUES (?, ?, ?)", values)
    _put_named_value(NamedValue(NODE_LIST_KEY, msgspec.msgpack.encode((change.version, change.service))), db)


@write_change.register
def _put_move(change: MoveRecord, db: apsw.Connection) -> None:
    if change.new_playback:
        values = (change.playback, change.new_playback, change.started_at)
        db.execute("INSERT OR REPLACE INTO moves VALUES (?, ?, ?)", values)
    else:
        db.execute("DELETE FROM moves WHERE playback = ?", (change.playback,))


@write_change.register
def _put_version(change: VersionRecord, db: apsw.Connection) -> None:
    db.execute("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?)", (
        change.kind, change.number, change.digest, change.activated_at, change.reason, change.body,
    ))  # fmt: skip


@write_change.register
def _drop_version(change: DropVersion, db: apsw.Connection) -> None:
    db.execute("DELETE FROM versions WHERE kind = ? AND number = ?", (change.kind, change.number))


@write_change.register
def _put_named_value(change: NamedValue, db: apsw.Connection) -> None:
    db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (change.name, change.value))


@write_change.register
def _delete_expired(change: DeleteExpired, db: apsw.Connection) -> None:
    expired_ids = "SELECT id FROM promises WHERE mark IN (?, ?) AND changed < ? LIMIT ?"
    values = (PromiseState.ABORTED.name, PromiseState.INTENT.name, change.changed_before, change.max_promises)
    db.execute(f"DELETE FROM promises WHERE id IN ({expired_ids})", values)
    for table in NODE_TABLES:
        db.execute(f"DELETE FROM {table} WHERE at < ?", (change.node_rows_before,))
    # One step frees one page, so all rows have to be fetched.
    db.execute(f"PRAGMA incremental_vacuum({int(change.max_promises)})").fetchall()


@write_change.register
def _replace_contents(change: ReplaceContents, db: apsw.Connection) -> None:
    if change.node_list is not None:
        _put_node_list(change.node_list, db)
    db.execute("DELETE FROM promises")
    for promise in change.promises:
        _put_promise(promise, db)


@write_change.register
def _put_node_penalty(change: NodePenalty, db: apsw.Connection) -> None:
    values = (change.node, change.score, change.recorded_at, change.failed_at)
    db.execute("INSERT OR REPLACE INTO grudges VALUES (?, ?, ?, ?)", values)


@write_change.register
def _put_slot_usage(change: SlotUsage, db: apsw.Connection) -> None:
    values = (change.node, change.started_at, change.slot, change.used, change.recorded_at)
    db.execute("INSERT OR REPLACE INTO spent VALUES (?, ?, ?, ?, ?)", values)
