"""The state file: its health, its contents across faults and power cuts, the writer, and the commands."""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import apsw
import msgspec
import pytest
import structlog
import trio
from click.testing import CliRunner
from rig import run_async_test, wait_until
from state_rig import RETENTION, make_disk, make_promise

from oakcroft.cli import main
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.state_file_health import (
    RECOVERY_COMMITS,
    FileFault,
    FileHealth,
    FileMaintenance,
    FileState,
)
from oakcroft.interface import MS, SECOND, NodeStatus
from oakcroft.standins.disk import FaultyDisk
from oakcroft.store.file import (
    DeleteExpired,
    MoveRecord,
    NamedValue,
    PutNodeList,
    PutPromise,
    ReplaceContents,
    StateFile,
    StateFileError,
    VersionRecord,
    move_damaged_file,
)
from oakcroft.store.schema import MIGRATIONS, SCHEMA_VERSION
from oakcroft.store.writer import StateWriter

WRONG_USAGE = 2
"""Exit code of a command that is used wrongly."""


def test_a_file_is_healthy_again_only_after_successful_commits() -> None:
    """A slow or failed file is healthy again only after commits that worked; retries wait longer each time."""
    health = FileHealth(slow_after=100)
    health.commit_started(0)
    assert health.can_record(100)
    assert not health.can_record(101)
    assert health.state is FileState.SLOW
    recovered = []
    for n in range(RECOVERY_COMMITS):
        health.commit_started(200 + n)
        recovered.append(health.commit_succeeded(200 + n))
    assert recovered == [False, False, True]
    assert health.can_record(210)
    health.commit_failed(FileFault.DISK_FULL, 300)
    assert not health.retry_due(300)
    assert health.retry_due(300 + health.retry_at)
    waits = []
    for _ in range(9):
        before = health.retry_delay
        health.commit_failed(FileFault.DISK_FULL, 0)
        waits.append(before)
    assert waits == sorted(waits)
    assert waits[-1] == 5 * SECOND
    assert not health.commit_succeeded(400)  # not a full rewrite
    assert health.commit_succeeded(401, is_full_rewrite=True)
    assert health.can_record(401)
    maintenance = FileMaintenance(max_rows=200, interval=10)
    assert [
        maintenance.allowance(health, 0, 10),
        maintenance.allowance(health, 0, 15),
        maintenance.allowance(health, 9, 25),
    ] == [200, 0, 20]
    health.commit_failed(FileFault.IO_ERROR, 30)
    assert maintenance.allowance(health, 0, 99) == 0


def list_entry(name: str) -> ListedNode:
    """Makes an entry of the node list."""
    return ListedNode(name, "127.0.0.1", 80, "west", 1, NodeStatus.READY, 5, 1000.0, 10.0, "", ("a",), None)


def write_one_of_each(file: StateFile) -> None:
    """Writes one record of each kind."""
    file.commit(
        [
            PutPromise(make_promise("a")),
            PutPromise(make_promise("b", PromiseState.PLAYS, resource="/s/b")),
            PutNodeList((list_entry("n1"), list_entry("n2")), 7, "svc", 9),
            MoveRecord("b", "copy", 3),
            NodePenalty("n1", 0.5, 4, 3),
            SlotUsage("n2", 1, 2, 3, 4),
            NamedValue("alive", b"12"),
            VersionRecord("catalogue", 1, "d", 5, "first", b"()"),
        ]
    )


def test_the_file_returns_what_was_committed(tmp_path: Path) -> None:
    """The file and a snapshot of it return what was committed."""
    file = StateFile(str(tmp_path / "state"))
    write_one_of_each(file)
    file.snapshot(tmp_path / "copy")
    file.commit([PutPromise(make_promise("a", PromiseState.GONE)), MoveRecord("b", "", 0)])
    file.close()
    for name, ids, moves in (("state", ["b"], 0), ("copy", ["a", "b"], 1)):
        file = StateFile(str(tmp_path / name))
        contents = file.read()
        assert [p.id for p in contents.promises] == ids
        assert contents.promises[-1] == make_promise("b", PromiseState.PLAYS, resource="/s/b")
        assert (contents.listed_nodes, contents.list_version, contents.service) == (
            [list_entry("n1"), list_entry("n2")],
            7,
            "svc",
        )
        assert (len(contents.moves), contents.node_penalties, contents.slot_usage) == (
            moves,
            [NodePenalty("n1", 0.5, 4, 3)],
            [SlotUsage("n2", 1, 2, 3, 4)],
        )
        assert contents.versions == [VersionRecord("catalogue", 1, "d", 5, "first", b"()")]
        assert contents.named_values["alive"] == b"12"
        file.close()


@pytest.mark.parametrize("version", range(SCHEMA_VERSION + 1))
def test_a_file_of_any_earlier_version_is_migrated(tmp_path: Path, version: int) -> None:
    """A file of any earlier schema version is migrated, with its promises."""
    path = tmp_path / "state"
    db = apsw.Connection(str(path))
    for number in range(version):
        db.execute(MIGRATIONS[number])
    db.pragma("user_version", version)
    if version:
        old = make_promise("old")
        db.execute("INSERT INTO promises VALUES (?, ?, ?, ?, ?, ?)",
                   (old.id, old.key, old.mark.name, old.node, old.changed, msgspec.msgpack.encode(old)))  # fmt: skip
    db.close()
    file = StateFile(str(path))
    write_one_of_each(file)
    assert {p.id for p in file.read().promises} == ({"old", "a", "b"} if version else {"a", "b"})
    file.close()


def test_newer_foreign_and_locked_files_are_not_changed(tmp_path: Path) -> None:
    """A file of a newer version, of another program, or in use is not opened and not changed."""
    path = str(tmp_path / "state")
    first = StateFile(path)
    write_one_of_each(first)
    with pytest.raises(StateFileError) as busy:
        StateFile(path)
    assert busy.value.fault is FileFault.LOCKED
    first.close()
    for pragma, value in (("user_version", SCHEMA_VERSION + 1), ("application_id", 77)):
        db = apsw.Connection(path)
        before = db.pragma(pragma)
        db.pragma(pragma, value)
        db.close()
        with pytest.raises(StateFileError) as foreign:
            StateFile(path)
        assert foreign.value.fault is FileFault.NEWER_FORMAT
        db = apsw.Connection(path)
        db.pragma(pragma, before)
        db.close()
    StateFile(path).close()


def test_commits_are_durable_and_atomic_across_a_power_cut_at_any_call() -> None:
    """Guards against lost or partial commits after a power cut at any call of the file system."""
    for cut in range(60):
        disk = make_disk()
        rng = Random(cut)
        commits_done = 0

        def fail_from_cut(number: int, _call: str, cut: int = cut) -> None:
            if number >= cut:
                raise apsw.exception_for(apsw.SQLITE_IOERR)

        file = StateFile("state", vfs=disk.name)
        disk.call_count = 0
        disk.on_call = fail_from_cut
        try:
            for n in range(12):
                file.commit([PutPromise(make_promise(f"{n}-{part}")) for part in "abc"])
                commits_done = n + 1
        except StateFileError:
            pass
        disk.on_call = None
        after = StateFile("state", vfs=disk.cut_power(rng).name)
        ids = Counter(p.id.split("-")[0] for p in after.read().promises)
        assert set(ids.values()) <= {3}
        assert {str(n) for n in range(commits_done)} <= set(ids)
        assert len(ids) <= commits_done + 1
        after.close()


def test_expired_promises_are_dropped_in_steps_and_the_file_shrinks(tmp_path: Path) -> None:
    """Expired promises are dropped in steps, those that play stay, and the file shrinks."""
    file = StateFile(str(tmp_path / "state"))
    expired_count, kept_count, step = 400, 2, 100
    file.commit(
        [
            PutPromise(make_promise(str(n), PromiseState.ABORTED, answer="x" * 2000))
            for n in range(expired_count)
        ]
    )
    file.commit(
        [
            PutPromise(make_promise("plays", PromiseState.PLAYS, changed=0)),
            PutPromise(make_promise("young", changed=1 << 50)),
        ]
    )
    full = file.size()
    file.commit([DeleteExpired(2 * SECOND, step)])
    assert len(file.read().promises) == expired_count + kept_count - step
    for _ in range(10):
        file.commit([DeleteExpired(2 * SECOND, step)])
    assert [p.id for p in file.read().promises] == ["plays", "young"]
    assert file.size() < full / 4
    file.close()


def test_a_damaged_file_is_set_aside(tmp_path: Path) -> None:
    """A damaged file is reported, and set aside so that a new one can be made."""
    path = tmp_path / "state"
    file = StateFile(str(path))
    write_one_of_each(file)
    file.commit([PutPromise(make_promise(str(n), answer="y" * 3000)) for n in range(50)])
    file.close()
    body = bytearray(path.read_bytes())
    body[4096 * 3 : 4096 * 3 + 512] = bytes(512)
    path.write_bytes(body)
    with pytest.raises(StateFileError) as damaged:
        StateFile(str(path)).read()
    assert damaged.value.fault is FileFault.CORRUPT
    assert move_damaged_file(str(path)).endswith("damaged-1")
    assert StateFile(str(path)).read().promises == []


def make_writer(
    disk: FaultyDisk, snapshot_memory: Callable[[], ReplaceContents] | None = None
) -> StateWriter:
    """Makes a writer of a state file on a disk."""
    log = structlog.wrap_logger(structlog.PrintLogger(io.StringIO()))
    writer = StateWriter(
        "state",
        True,
        lambda: round(trio.current_time() * 1e9),
        log,
        RETENTION,
        lambda: StateFile("state", vfs=disk.name),
    )
    writer.snapshot_memory = snapshot_memory or (lambda: ReplaceContents(()))
    return writer


@pytest.mark.parametrize("kind", ["full", "io-write", "io-sync", "read-only"])
def test_a_fault_at_any_call_refuses_durable_writes_until_the_file_recovers(kind: str) -> None:
    """Guards against a promise that is reported as durable but lost.

    A fault at any call refuses the write, and the store recovers by itself.
    """

    async def test() -> None:
        for failing_call in range(14):
            disk, kept = make_disk(), dict[str, Promise]()
            writer = make_writer(disk, lambda kept=kept: ReplaceContents(tuple(kept.values())))  # type: ignore[misc]
            await writer.start()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                disk.fail(kind, failing_call, only="sync" if kind == "io-sync" else "")
                for n in range(12):
                    promise = make_promise(str(n), changed=writer.clock())
                    kept[promise.id] = promise
                    if not await writer.write_durably(PutPromise(promise)):
                        del kept[promise.id]  # it was not sent
                    await trio.sleep(0.002)
                await wait_until(lambda writer=writer: writer.health.state is FileState.HEALTHY)  # type: ignore[misc]
                kept["late"] = late = make_promise("late", changed=writer.clock())
                while not await writer.write_durably(PutPromise(late)):  # the fault may hit this write
                    await wait_until(lambda writer=writer: writer.health.state is FileState.HEALTHY)  # type: ignore[misc]
                nursery.cancel_scope.cancel()
            disk.repair()
            file = StateFile("state", vfs=disk.cut_power(Random(failing_call)).name)
            stored_ids = {promise.id for promise in file.read().promises}
            # All that was reported as durable is stored.
            assert set(kept) <= stored_ids, (failing_call, set(kept) - stored_ids)
            file.close()

    run_async_test(test, 60)


def test_a_slow_disk_refuses_durable_writes_at_once() -> None:
    """A slow disk refuses durable writes at once and accepts them again later."""

    async def test() -> None:
        disk = make_disk()
        writer = make_writer(disk)
        writer.health.slow_after = 50 * MS
        await writer.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            assert await writer.write_durably(PutPromise(make_promise("a")))
            disk.sync_delay_seconds = 0.4
            assert not await writer.write_durably(PutPromise(make_promise("b")))
            assert writer.health.state is FileState.SLOW
            assert not await writer.write_durably(PutPromise(make_promise("c")))
            disk.sync_delay_seconds = 0.0

            def is_healthy_after_write() -> bool:
                writer.enqueue(NamedValue("alive", b"1"))
                return writer.health.state is FileState.HEALTHY

            await wait_until(is_healthy_after_write)
            assert await writer.write_durably(PutPromise(make_promise("d")))
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_commands_on_a_state_file(tmp_path: Path) -> None:
    """The commands show, check, snapshot and restore a state file."""
    path, copy, runner = tmp_path / "state", tmp_path / "copy", CliRunner()
    file = StateFile(str(path))
    write_one_of_each(file)
    file.commit([NamedValue("whole", b"1")])
    assert runner.invoke(main, ["state", "show", str(path)]).exit_code == 1  # a front end has it open
    file.close()
    shown = runner.invoke(main, ["state", "show", str(path), "--promises"]).output
    assert "knows all promises" in shown
    assert "b plays course t n1 key-b" in shown
    assert "sound, 2 promises" in runner.invoke(main, ["state", "check", str(path)]).output
    assert runner.invoke(main, ["state", "snapshot", str(path), str(copy)]).exit_code == 0
    assert runner.invoke(main, ["state", "restore", str(copy), str(path)]).exit_code == WRONG_USAGE
    assert runner.invoke(main, ["state", "restore", str(copy), str(path), "--yes"]).exit_code == 0
    assert (tmp_path / "state.before").exists()
    assert "does not know all promises" in runner.invoke(main, ["state", "show", str(path)]).output
    path.write_bytes(b"no state at all, but text" * 400)
    assert runner.invoke(main, ["state", "check", str(path)]).exit_code == 1
