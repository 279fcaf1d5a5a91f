"""SQL statements that write each type of change, within the caller's transaction.

Tables and columns keep the names that they had when files were first written: node penalties are in `grudges`, slot
usage in `spent`, named values in `facts`.
"""

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
def write_change(change: object, connection: apsw.Connection) -> None:
    """Writes a change. Raises apsw.Error if that fails, and TypeError for an object that is no change."""
    raise TypeError(f"{type(change).__name__} is not a state file change")


@write_change.register
def _put_promise_change(change: PutPromise, connection: apsw.Connection) -> None:
    _put_promise(change.promise, connection)


def _put_promise(promise: Promise, connection: apsw.Connection) -> None:
    if promise.mark is PromiseState.GONE:
        connection.execute("DELETE FROM promises WHERE id = ?", (promise.id,))
        return
    connection.execute("INSERT OR REPLACE INTO promises VALUES (?, ?, ?, ?, ?, ?)", (
        promise.id, promise.key, promise.mark.name, promise.node, promise.changed, msgspec.msgpack.encode(promise),
    ))  # fmt: skip


@write_change.register
def _put_node_list(change: PutNodeList, connection: apsw.Connection) -> None:
    connection.execute("DELETE FROM nodes")
    for listed_node in change.listed_nodes:
        values = (listed_node.name, change.received_at, msgspec.msgpack.encode(listed_node))
        connection.execute("INSERT INTO nodes VALUES (?, ?, ?)", values)
    _put_named_value(
        NamedValue(NODE_LIST_KEY, msgspec.msgpack.encode((change.version, change.service))), connection
    )


@write_change.register
def _put_move(change: MoveRecord, connection: apsw.Connection) -> None:
    if change.new_playback:
        values = (change.playback, change.new_playback, change.started_at)
        connection.execute("INSERT OR REPLACE INTO moves VALUES (?, ?, ?)", values)
    else:
        connection.execute("DELETE FROM moves WHERE playback = ?", (change.playback,))


@write_change.register
def _put_version(change: VersionRecord, connection: apsw.Connection) -> None:
    connection.execute("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?)", (
        change.kind, change.number, change.digest, change.activated_at, change.reason, change.body,
    ))  # fmt: skip


@write_change.register
def _drop_version(change: DropVersion, connection: apsw.Connection) -> None:
    connection.execute("DELETE FROM versions WHERE kind = ? AND number = ?", (change.kind, change.number))


@write_change.register
def _put_named_value(change: NamedValue, connection: apsw.Connection) -> None:
    connection.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (change.name, change.value))


@write_change.register
def _delete_expired(change: DeleteExpired, connection: apsw.Connection) -> None:
    expired_ids = "SELECT id FROM promises WHERE mark IN (?, ?) AND changed < ? LIMIT ?"
    values = (PromiseState.ABORTED.name, PromiseState.INTENT.name, change.changed_before, change.max_promises)
    connection.execute(f"DELETE FROM promises WHERE id IN ({expired_ids})", values)
    for table in NODE_TABLES:
        connection.execute(f"DELETE FROM {table} WHERE at < ?", (change.node_rows_before,))
    # One step frees one page, so all rows have to be fetched.
    connection.execute(f"PRAGMA incremental_vacuum({int(change.max_promises)})").fetchall()


@write_change.register
def _replace_contents(change: ReplaceContents, connection: apsw.Connection) -> None:
    if change.node_list is not None:
        _put_node_list(change.node_list, connection)
    connection.execute("DELETE FROM promises")
    for promise in change.promises:
        _put_promise(promise, connection)


@write_change.register
def _put_node_penalty(change: NodePenalty, connection: apsw.Connection) -> None:
    values = (change.node, change.score, change.recorded_at, change.failed_at)
    connection.execute("INSERT OR REPLACE INTO grudges VALUES (?, ?, ?, ?)", values)


@write_change.register
def _put_slot_usage(change: SlotUsage, connection: apsw.Connection) -> None:
    values = (change.node, change.started_at, change.slot, change.used, change.recorded_at)
    connection.execute("INSERT OR REPLACE INTO spent VALUES (?, ?, ?, ?, ?)", values)
