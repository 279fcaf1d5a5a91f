"""State that survives crashes: the state file and its faults, recovery decisions, and front ends that are killed."""

from __future__ import annotations

import hashlib
import io
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import apsw
import pytest
import structlog
import trio
from click.testing import CliRunner
from hypothesis import given, settings, strategies as st
from rig import Rig, wait_until_recovered, run_async_test, running_front_end, start_front_end, wait_until

from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.cli import main
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.state_file_health import (
    RECOVERY_COMMITS,
    FileState,
    FileHealth,
    FileFault,
    FileMaintenance,
)
from oakcroft.decisions.state.recovery import (
    MAX_IN_FLIGHT_NS,
    RecoveryAction,
    RecoveryPhase,
    Recovery,
    PromiseVerdict,
    NodeReport,
    recovery_action,
    restored_further_tries,
    judge_promise,
)
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage, apply_verdict
from oakcroft.decisions.state.promise import (
    PromiseState,
    Promise,
    after_answer,
    after_try,
    has_expired,
    transition,
    needs_durable_intent,
)
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.httpwire.client import ExchangeError
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS, SECOND, Effect, KeyScope, NodeStatus, Outcome, Plan
from oakcroft.rehearsal.viewers import offer
from oakcroft.rulecheck.facts import collect_set_ups as tries_of
from oakcroft.rulecheck.plan_terms import check_plan_terms
from oakcroft.rulecheck.repeated_set_ups import check_repeated_set_ups
from oakcroft.signalling import http_formats
from oakcroft.standins.disk import FaultyDisk
from oakcroft.store.file import (
    DeleteExpired,
    NamedValue,
    MoveRecord,
    PutPromise,
    StateFile,
    PutNodeList,
    StateFileError,
    VersionRecord,
    ReplaceContents,
    move_damaged_file,
)
from oakcroft.store.schema import MIGRATIONS, SCHEMA_VERSION
from oakcroft.store.writer import StateWriter

DISK_NUMBERS = count()
RETENTION = 300 * SECOND


def make_promise(
    id_: str = "p", mark: PromiseState = PromiseState.INTENT, effect: Effect = Effect.PAID, **changes: Any
) -> Promise:
    """Makes a promise that was sent to node n1 at one second."""
    promise = Promise(id_, f"key-{id_}", "about", "/whep/course/t", "t", "course", effect.value, False, False, "u", 2, "",
                   0, 5 * SECOND, mark, "n1", "n1-1", SECOND, changed=SECOND)  # fmt: skip
    return replace(promise, **changes)


def make_plan(effect: Effect, seats: int = 0) -> Plan:
    """Makes a plan."""
    return Plan(effect, KeyScope.ALL, SECOND, SECOND, 1.0, 0, 2, seats, 1.0, False)


def node_report(**changes: Any) -> NodeReport:
    """Makes a node report that can prove that an intent never ran."""
    received_at = 8 * SECOND
    return replace(
        NodeReport("n1-1", {}, frozenset(), 60 * SECOND, 60 * SECOND, received_at, received_at + MS),
        **changes,
    )


# Decisions: promises, node reports, recovery and the health of the file.


def test_a_promise_changes_state_only_by_valid_steps() -> None:
    """Invalid changes of state raise ValueError; outcomes and answers lead to the right states."""
    promise = make_promise()
    assert transition(None, promise) is promise
    for mark, allowed in (
        (PromiseState.ABORTED, {PromiseState.GONE}),
        (PromiseState.GONE, set[PromiseState]()),
    ):
        for state in PromiseState:
            if state in allowed:
                transition(make_promise(mark=mark), make_promise(mark=state))
            else:
                with pytest.raises(ValueError, match="cannot go"):
                    transition(make_promise(mark=mark), make_promise(mark=state))
    for outcome in Outcome:
        is_proven = outcome in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
        assert (after_try(promise, outcome, 9).mark is PromiseState.GONE) == is_proven
    assert after_answer(promise, FinalAnswer.ABORTED, 9).mark is PromiseState.ABORTED
    assert after_answer(make_promise(effect=Effect.FREE), FinalAnswer.ABORTED, 9).mark is PromiseState.GONE
    assert after_answer(promise, FinalAnswer.REJECTED, 9).mark is PromiseState.GONE
    assert [
        needs_durable_intent(make_plan(effect)) for effect in (Effect.FREE, Effect.KEYED, Effect.PAID)
    ] == [
        False,
        True,
        True,
    ]
    assert needs_durable_intent(make_plan(Effect.FREE, seats=1))
    # A promise that plays is kept.
    assert not has_expired(make_promise(mark=PromiseState.PLAYS), RETENTION, 1 << 60)


def test_only_a_report_that_proves_it_frees_a_key() -> None:
    """Guards against a paid set-up that is sent twice after a restart.

    Only a report that covers the time of the set-up proves that it never ran.
    """
    promise = make_promise()
    assert judge_promise(promise, node_report()) is PromiseVerdict.NEVER_RAN
    # The process may be younger than the set-up.
    assert judge_promise(promise, node_report(uptime=6 * SECOND)) is PromiseVerdict.UNPROVEN
    assert judge_promise(promise, node_report(key_memory=6 * SECOND)) is PromiseVerdict.UNPROVEN
    # The set-up may still arrive.
    assert (
        judge_promise(promise, node_report(requested_at=5 * SECOND + MAX_IN_FLIGHT_NS - 1))
        is PromiseVerdict.UNPROVEN
    )
    assert judge_promise(promise, node_report(known_keys=frozenset({promise.key}))) is PromiseVerdict.RAN
    assert (
        judge_promise(
            promise, node_report(running_sessions={"/s/1": promise.key}, known_keys=frozenset({promise.key}))
        )
        is PromiseVerdict.RUNNING
    )
    plays = make_promise(mark=PromiseState.PLAYS, resource="/s/1")
    assert (
        judge_promise(plays, node_report(running_sessions={"/s/1": promise.key})) is PromiseVerdict.CONFIRMED
    )
    assert judge_promise(plays, node_report()) is PromiseVerdict.OVER
    assert judge_promise(replace(plays, changed=9 * SECOND), node_report()) is PromiseVerdict.UNPROVEN
    assert apply_verdict(promise, PromiseVerdict.RAN, 9).mark is PromiseState.ABORTED
    assert apply_verdict(promise, PromiseVerdict.NEVER_RAN, 9).mark is PromiseState.GONE
    assert apply_verdict(make_promise(effect=Effect.FREE), PromiseVerdict.RAN, 9).mark is PromiseState.GONE
    assert apply_verdict(promise, PromiseVerdict.UNPROVEN, 9) is promise


def test_recovery_actions() -> None:
    """What becomes of a promise at the start, by its state, plan, node and age."""
    now = 10 * SECOND
    plays = make_promise(mark=PromiseState.PLAYS, resource="/s/1")
    assert recovery_action(plays, True, True, RETENTION, now) is RecoveryAction.ADOPT
    assert recovery_action(plays, True, False, RETENTION, now) is RecoveryAction.END
    assert recovery_action(plays, False, True, RETENTION, now) is RecoveryAction.REMEMBER
    assert (
        recovery_action(replace(plays, effect="free"), False, True, RETENTION, now) is RecoveryAction.FORGET
    )
    assert recovery_action(make_promise(), True, True, RETENTION, now) is RecoveryAction.HOLD
    assert recovery_action(make_promise(), False, True, RETENTION, now) is RecoveryAction.REMEMBER
    assert (
        recovery_action(make_promise(effect=Effect.FREE), False, True, RETENTION, now)
        is RecoveryAction.FORGET
    )
    assert (
        recovery_action(make_promise(mark=PromiseState.ABORTED), True, True, RETENTION, now)
        is RecoveryAction.REMEMBER
    )
    assert (
        recovery_action(make_promise(mark=PromiseState.ABORTED), True, True, RETENTION, now + RETENTION)
        is RecoveryAction.FORGET
    )
    # The clock went back.
    assert recovery_action(make_promise(), True, True, RETENTION, -now) is RecoveryAction.HOLD


def test_a_front_end_without_its_state_waits_for_node_reports() -> None:
    """A front end that lost its state records nothing until all listed nodes have reported or the retention is over."""
    recovery = Recovery(RETENTION, 0)
    assert recovery.state_read(True, ["a"], 0) is RecoveryPhase.SERVING
    recovery = Recovery(RETENTION, 0)
    # No node list yet, so no node was asked.
    assert recovery.state_read(False, [], 0) is RecoveryPhase.STATE_LOST
    recovery.nodes_listed(["a", "b"])
    assert (
        recovery.report_received("a", node_report(known_keys=frozenset({"k"})), 1) is RecoveryPhase.STATE_LOST
    )
    assert not recovery.can_record("other")
    recovery.nodes_listed(["a", "b", "c"])
    assert recovery.report_received("b", None, 2) is RecoveryPhase.STATE_LOST
    assert recovery.report_received("c", node_report(), 3) is RecoveryPhase.SERVING
    assert not recovery.can_record("k")
    assert recovery.can_record("other")
    recovery = Recovery(RETENTION, 0)
    recovery.state_read(False, ["a"], 0)
    assert recovery.check(RETENTION + 1) is RecoveryPhase.SERVING
    assert restored_further_tries(90, 3.0, 10, 95) == [90, 90, 90]
    assert restored_further_tries(90, 3.0, 10, 101) == []
    assert restored_further_tries(90, None, 10, 95) == []


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


class World:
    """Model of paid requests with seats, one node, and a front end that is killed; it uses only pure functions."""

    SEATS = 2

    def __init__(self, rng: Random) -> None:
        """Starts with one process of the node and no requests."""
        self.rng = rng
        self.now = 100 * SECOND
        self.durable: dict[str, Promise] = {}
        self.memory: dict[str, Promise] = {}
        self.in_flight: list[Promise] = []  # set-ups that the node has not read; they outlive the front end
        self.running: dict[str, str] = {}
        self.ran: Counter[str] = Counter()
        self.ran_at: dict[str, int] = {}
        self.answers: dict[str, list[str]] = {}
        self.process = 1
        self.process_started_at = 0
        self.unanswered: set[str] = set()

    def seats(self) -> int:
        """Returns the number of seats taken."""
        return sum(
            promise.mark in (PromiseState.INTENT, PromiseState.PLAYS) for promise in self.memory.values()
        )

    def request(self, key: str) -> None:
        """Handles a viewer's request with a key, which may be a repeated one."""
        promise = self.memory.get(key)
        if promise is not None and promise.mark is PromiseState.PLAYS:
            self.answers.setdefault(key, []).append("plays")
        elif promise is not None and key not in self.unanswered:
            self.answers.setdefault(key, []).append("aborted")
        elif promise is None and self.seats() < self.SEATS:
            self.unanswered.add(key)  # a repeat in the same process gets no final answer
            promise = make_promise(
                key,
                sent_at=self.now,
                abandon=self.now + 3 * SECOND,
                changed=self.now,
                process=str(self.process),
            )
            self.memory[key] = transition(None, promise)
            if self.rng.random() < 0.2:
                return self.kill()  # before the intent was durable, so it was not sent
            self.durable[key] = promise
            self.in_flight.append(promise)
        return None

    def arrive(self) -> None:
        """Has the node read the oldest set-up that was sent, if it is not too late."""
        if self.in_flight and self.now <= self.in_flight[0].abandon + MAX_IN_FLIGHT_NS:
            promise = self.in_flight.pop(0)
            self.ran[promise.key] += 1
            self.ran_at[promise.key] = self.now
            self.running[promise.id] = promise.key
            if (
                (recorded := self.memory.get(promise.id)) is promise
                and promise.key[4:] in self.unanswered
                and self.rng.random() < 0.7
            ):
                plays = after_answer(promise, FinalAnswer.PLAYS, self.now)
                self.memory[promise.id] = transition(recorded, replace(plays, resource=promise.id))
                self.unanswered.discard(promise.id)
                if self.rng.random() < 0.3:
                    return self.kill()  # before the answer was recorded, so it was not given
                self.durable[promise.id] = self.memory[promise.id]
                self.answers.setdefault(promise.id, []).append("plays")
        elif self.in_flight:
            promise = self.in_flight.pop(0)  # its connection is closed by now
        return None

    def kill(self) -> None:
        """Kills the front end and restarts it from its durable promises."""
        self.memory = {}
        self.unanswered.clear()  # its connections are closed with it
        for id_, promise in self.durable.items():
            if recovery_action(promise, True, True, RETENTION, self.now) is not RecoveryAction.FORGET:
                self.memory[id_] = promise

    def receive_report(self) -> None:
        """Has the front end receive a node report."""
        keys = frozenset(k for k, t in self.ran_at.items() if self.now - t < 60 * SECOND)
        requested_at = self.now - self.rng.randrange(SECOND)
        report = NodeReport(
            str(self.process),
            dict(self.running),
            keys,
            self.now - self.process_started_at,
            60 * SECOND,
            requested_at,
            self.now,
        )
        for id_, promise in list(self.memory.items()):
            if promise.mark is PromiseState.ABORTED or (
                promise.mark is PromiseState.INTENT
                and promise in self.in_flight
                and self.now < promise.abandon
            ):
                continue
            verdict = judge_promise(promise, report)
            if verdict is PromiseVerdict.RUNNING:
                self.running.pop(id_, None)
            after = apply_verdict(promise, verdict, self.now, "aborted" in self.answers.get(id_, []))
            if after.mark is PromiseState.GONE:
                self.end_promise(id_)
            else:
                self.memory[id_] = self.durable[id_] = after

    def end_promise(self, id_: str) -> None:
        """Ends a promise: a later request with its key is a new one."""
        if self.memory.pop(id_).mark is PromiseState.PLAYS:
            self.ran[f"key-{id_}"] = 0
            self.answers.pop(id_, None)
        self.durable.pop(id_, None)

    def restart_node(self) -> None:
        """Replaces the node's process by a new one, which remembers no keys."""
        self.process += 1
        self.process_started_at = self.now
        self.running.clear()
        self.ran_at.clear()
        self.in_flight.clear()

    def check(self) -> None:
        """Checks that no paid key ran twice, no seat is exceeded, and each key has one answer."""
        assert max(self.ran.values(), default=0) <= 1, "a paid playback was set up twice"
        assert len(self.running) <= self.SEATS, "more than the seats"
        for key, heard in self.answers.items():
            assert len(set(heard)) <= 1, f"{key}: {heard}"


@settings(max_examples=400, deadline=None)
@given(st.integers(0, 1 << 32), st.lists(st.sampled_from(["ask", "ask", "again", "arrive", "arrive", "kill", "report",
                                                          "time", "long", "end", "die"]), max_size=60))  # fmt: skip
def test_no_history_of_restarts_runs_a_paid_key_twice_or_exceeds_the_seats(
    seed: int, steps: list[str]
) -> None:
    """Guards against double set-ups and exceeded seats across restarts, for any sequence of events."""
    world, numbers = World(Random(seed)), count()
    for step in steps:
        match step:
            case "ask":
                world.request(f"k{next(numbers)}")
            case "again":
                world.request(f"k{world.rng.randrange(8)}")
            case "arrive":
                world.arrive()
            case "kill":
                world.kill()
            case "report":
                world.receive_report()
            case "time":
                world.now += world.rng.randrange(SECOND)
            case "long":
                world.now += world.rng.randrange(8 * SECOND)
            case "end" if world.running:
                id_ = sorted(world.running)[0]
                if world.memory.get(id_) is not None and world.memory[id_].mark is PromiseState.PLAYS:
                    del world.running[id_]
                    world.end_promise(id_)
            case "die":
                world.restart_node()
        world.check()


# The state file.


def make_disk() -> FaultyDisk:
    """Makes a disk with a unique name."""
    return FaultyDisk(f"disk-{next(DISK_NUMBERS)}")


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
        held = file.read()
        assert [p.id for p in held.promises] == ids
        assert held.promises[-1] == make_promise("b", PromiseState.PLAYS, resource="/s/b")
        assert (held.listed_nodes, held.list_version, held.service) == (
            [list_entry("n1"), list_entry("n2")],
            7,
            "svc",
        )
        assert (len(held.moves), held.node_penalties, held.slot_usage) == (
            moves,
            [NodePenalty("n1", 0.5, 4, 3)],
            [SlotUsage("n2", 1, 2, 3, 4)],
        )
        assert held.versions == [VersionRecord("catalogue", 1, "d", 5, "first", b"()")]
        assert held.named_values["alive"] == b"12"
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
        import msgspec

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
    file.commit(
        [PutPromise(make_promise(str(n), PromiseState.ABORTED, answer="x" * 2000)) for n in range(400)]
    )
    file.commit(
        [
            PutPromise(make_promise("plays", PromiseState.PLAYS, changed=0)),
            PutPromise(make_promise("young", changed=1 << 50)),
        ]
    )
    full = file.size()
    file.commit([DeleteExpired(2 * SECOND, 100)])
    assert len(file.read().promises) == 302
    for _ in range(10):
        file.commit([DeleteExpired(2 * SECOND, 100)])
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


# The writer of the state file.


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


# Whole front ends.


def key_header(name: str) -> dict[str, Any]:
    """Returns the header of an idempotency key."""
    return {"Idempotency_Key": http_formats.quoted_string(name)}


def problem_name(response: Response) -> str:
    """Returns the last part of a response's problem type."""
    return http_formats.problem_type(response.body).rpartition(":")[2]


async def wait_until_state_file_is_healthy(rig: Rig) -> None:
    """Waits until the front end's state file takes records again."""
    await wait_until(
        lambda: (
            rig.front_end
            and rig.front_end.coordinator
            and rig.front_end.coordinator.durable_state
            and rig.front_end.coordinator.durable_state.store.health.state is FileState.HEALTHY
        )
    )


def check_rules_2_and_5(rig: Rig) -> None:
    """Checks rules 2 and 5 on the nodes' records."""
    facts = [f for kind in ("setup", "ran", "answer", "broken", "over") for f in rig.recorded(kind)]
    facts.sort(key=lambda f: f["t"])
    found, _ = check_file("site", lambda _: rig.site_text, False)
    assert found is not None
    site, tries = build_deployment(found).shared, tries_of(facts)
    assert check_repeated_set_ups(facts, tries, site).breaches == []
    assert check_plan_terms(facts, tries, site).breaches == []


async def restart_front_end(
    rig: Rig, nursery: trio.Nursery, open_state_file: Callable[[str], StateFile] | None = None
) -> None:
    """Kills the front end and starts another on the same state."""
    rig.front_end_scope.cancel()
    await rig.exited.wait()
    await start_front_end(nursery, rig, with_state=True, open_state_file=open_state_file)


def test_a_restarted_front_end_resumes_its_playbacks(tmp_path: Path) -> None:
    """Guards against playbacks, keys and seats that are lost when a front end is killed."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            paid = await rig.request_playback("/whep/course/a", **key_header("k1"))
            free = await rig.request_playback("/whep/open/b", **key_header("k2"))
            seat = await rig.request_playback("/whep/seats/c", **key_header("k3"))
            assert [paid.status, free.status, seat.status] == [201, 201, 201]
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and not rig.front_end.coordinator.durable_state.store.queue
                )
            )
            await restart_front_end(rig, nursery)
            same = await rig.request_playback("/whep/course/a", **key_header("k1"))
            assert (same.status, same.header("location"), same.body) == (
                201,
                paid.header("location"),
                paid.body,
            )
            assert (await rig.request_playback("/whep/open/b", **key_header("k2"))).header(
                "location"
            ) == free.header("location")
            assert (await rig.request_playback("/whep/seats/c", **key_header("k4"))).status == 201
            # Two seats, both taken.
            assert (await rig.request_playback("/whep/seats/c", **key_header("k5"))).status == 503
            assert len(rig.recorded("setup")) == 4
            assert (await rig.request("DELETE", free.header("location") or "")).status == 200
            await wait_until(lambda: len(rig.recorded("over")) == 1)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_playbacks_that_ended_while_the_front_end_was_down_cause_no_distrust(
    tmp_path: Path,
) -> None:
    """Guards against a good node that is distrusted for playbacks that ended while the front end was down."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            for n in range(8):
                assert (await rig.request_playback("/whep/course/a", **key_header(f"k{n}"))).status == 201
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            for node in rig.fleet.nodes.values():
                for session in list(node.sessions):
                    node.end_session(session, "lease")
            await start_front_end(nursery, rig, with_state=True)
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and not rig.front_end.coordinator.sessions_by_id
                )
            )
            assert rig.front_end is not None
            assert rig.front_end.coordinator is not None
            assert all(
                n.failure_score.value < 0.1 for n in rig.front_end.coordinator.node_list.nodes.values()
            )
            assert (await rig.request_playback("/whep/course/a", **key_header("new"))).status == 201
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_paid_set_up_in_flight_at_a_kill_is_never_sent_again(tmp_path: Path) -> None:
    """Guards against a paid set-up sent twice because the front end was killed before its answer arrived.

    The key is answered with an abort, and the session that nobody can use is ended.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            for node in rig.fleet.nodes.values():
                node.faults.lost_answer_share = 1.0  # it runs, and its answer is lost
            nursery.start_soon(rig.request_playback_ignoring_errors, "/whep/course/a", key_header("k1"))
            await wait_until(lambda: rig.recorded("ran"))
            await restart_front_end(rig, nursery)
            for node in rig.fleet.nodes.values():
                node.faults.lost_answer_share = 0.0
            response = await rig.request_playback("/whep/course/a", **key_header("k1"))
            assert (response.status, problem_name(response)) == (504, "aborted")
            await wait_until(lambda: len(rig.recorded("over")) == 1)  # no viewer can use it, so it is ended
            await restart_front_end(rig, nursery)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 504
            assert len(rig.recorded("ran")) == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_an_intent_proven_not_run_frees_its_key_and_its_seat(tmp_path: Path) -> None:
    """A node report that proves that an intent never ran frees its key and its seat."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            file = StateFile(str(tmp_path / "state"))
            now = rig.fleet.clock.now()
            about = hashlib.blake2b(
                f"/whep/course/t\0{offer(20_000, 1)}".encode(), digest_size=16
            ).hexdigest()
            sent = now - 3 * SECOND
            lost = make_promise(
                "x", node="n1", sent_at=sent, abandon=now - 1900 * MS, changed=sent, about=about
            )
            answered = replace(lost, id="z", key="key-z")
            seat = replace(lost, id="y", key="key-y", plan="seats", effect="free", seats=True, title="s")
            file.commit([PutPromise(lost), PutPromise(answered), PutPromise(seat)])
            file.close()
            rig.node("n1").process_started_at -= 60
            await start_front_end(nursery, rig, with_state=True)
            assert (await rig.request_playback("/whep/course/t", **key_header("key-z"))).status == 504
            response = [(await rig.request_playback("/whep/seats/s")).status for _ in range(2)]
            assert response == [201, 503]  # the intent holds the other seat
            await wait_until(lambda: any(e.get("verdict") == "never_ran" for e in rig.log_entries()))
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and not rig.front_end.coordinator.durable_state.uncertain
                )
            )
            assert (await rig.request_playback("/whep/course/t", **key_header("key-x"))).status == 201
            # Its viewer got this answer before.
            assert (await rig.request_playback("/whep/course/t", **key_header("key-z"))).status == 504
            assert (await rig.request_playback("/whep/seats/s")).status == 201
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_front_end_that_lost_its_state_learns_the_keys_from_its_nodes(tmp_path: Path) -> None:
    """Guards against a second set-up by a front end whose state file is gone: its nodes report the keys that ran."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 201
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            for part in tmp_path.glob("state*"):
                part.unlink()
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 504
            assert (await rig.request_playback("/whep/course/a", **key_header("k2"))).status == 201
            assert Counter(f["key"] for f in rig.recorded("ran"))["k1"] == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


@pytest.mark.parametrize(
    ("kind", "only"), [("full", ""), ("io-sync", "sync"), ("read-only", ""), ("io-write", "write")]
)
def test_while_the_disk_fails_only_free_plans_are_served(tmp_path: Path, kind: str, only: str) -> None:
    """While the disk fails, free plans are served, and paid ones are rejected before anything is sent."""

    async def test() -> None:
        disk = make_disk()
        open_state_file = lambda _: StateFile("state", vfs=disk.name)  # noqa: E731
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await restart_front_end(rig, nursery, open_state_file)
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 201
            disk.fail(kind, 0, lasting=True, only=only)
            before = len(rig.recorded("setup"))
            response = [await rig.request_playback("/whep/course/a", **key_header(f"f{n}")) for n in range(3)]
            assert {answer.status for answer in response} == {503}
            assert all(answer.header("retry-after") for answer in response[1:])
            assert len(rig.recorded("setup")) == before  # none of them was sent
            assert (await rig.request_playback("/whep/open/a", **key_header("k3"))).status == 201
            # The earlier answer still holds.
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 201
            disk.repair()
            await wait_until_state_file_is_healthy(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k4"))).status == 201
            disk = disk.cut_power(Random(1))
            await restart_front_end(rig, nursery, open_state_file)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 201
            assert (await rig.request_playback("/whep/course/a", **key_header("k4"))).status == 201
            assert len({f["key"] for f in rig.recorded("ran") if f["plan"] == "course"}) == 2
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_kill_at_any_commit_gives_no_key_two_answers_or_two_runs(tmp_path: Path) -> None:
    """Guards against two answers for one key, or two runs, when the front end is killed at any commit."""

    async def test() -> None:
        disk, rng = make_disk(), Random(5)
        open_state_file = lambda _: StateFile("state", vfs=disk.name)  # noqa: E731
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await restart_front_end(rig, nursery, open_state_file)
            await wait_until_recovered(rig)
            answers_by_key: dict[str, list[str]] = {}

            async def request(path: str, name: str) -> None:
                try:
                    response = await rig.request_playback(path, **key_header(name))
                except (ExchangeError, OSError):
                    answers_by_key.setdefault(name, []).append("cut")
                    return
                answers_by_key.setdefault(name, []).append(
                    response.header("location") or str(response.status)
                )

            for kill_point in range(0, 112, 2):
                token = trio.lowlevel.current_trio_token()

                def kill_at_point(
                    number: int,
                    _call: str,
                    kill_point: int = kill_point,
                    token: trio.lowlevel.TrioToken = token,
                ) -> None:
                    if number >= kill_point:
                        if number == kill_point:
                            token.run_sync_soon(rig.front_end_scope.cancel)
                        raise apsw.exception_for(apsw.SQLITE_IOERR)

                disk.call_count = 0
                disk.on_call = kill_at_point
                paths = [(f"/whep/course/c{kill_point}", f"c{kill_point}.{n}") for n in range(2)]
                paths += [(f"/whep/seats/s{kill_point}", f"s{kill_point}.{n}") for n in range(3)]
                async with trio.open_nursery() as requests:
                    for path, name in paths:
                        requests.start_soon(request, path, name)
                if not rig.exited.is_set():
                    rig.front_end_scope.cancel()
                await rig.exited.wait()
                disk.on_call = None
                disk = disk.cut_power(rng)
                await start_front_end(nursery, rig, with_state=True, open_state_file=open_state_file)
                await wait_until_recovered(rig)
                for path, name in paths:
                    await request(path, name)
                # Playbacks that went on would leave no room for the requests of later kill points.
                locations = {answer for _, name in paths for answer in answers_by_key[name]}
                for location in sorted(locations):
                    if location.startswith("/"):
                        await rig.request("DELETE", location)
                for node in rig.nodes_in_use():  # sessions whose answer was cut off
                    for session in list(node.sessions):
                        node.end_session(session, "ended by the test")
                await wait_until(lambda: not rig.nodes_in_use())
            response = Counter(answers[0][:1] for answers in answers_by_key.values())
            assert response["c"]  # some were cut off
            assert response["/"] >= 10  # and some were answered before the kill
            for name, (first, second) in answers_by_key.items():
                if first.startswith("/") or first == "504":
                    assert second == first, f"{name}: {first} and then {second}"
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


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
    assert runner.invoke(main, ["state", "restore", str(copy), str(path)]).exit_code == 2
    assert runner.invoke(main, ["state", "restore", str(copy), str(path), "--yes"]).exit_code == 0
    assert (tmp_path / "state.before").exists()
    assert "does not know all promises" in runner.invoke(main, ["state", "show", str(path)]).output
    path.write_bytes(b"no state at all, but text" * 400)
    assert runner.invoke(main, ["state", "check", str(path)]).exit_code == 1


@pytest.mark.parametrize("kind", ["full", "io-write", "io-sync", "read-only"])
def test_a_disk_fault_at_any_call_under_a_front_end_breaks_no_rule(tmp_path: Path, kind: str) -> None:
    """One disk fault at each call under a running front end breaks no rule."""

    async def test() -> None:
        disk = make_disk()
        open_state_file = lambda _: StateFile("state", vfs=disk.name)  # noqa: E731
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await restart_front_end(rig, nursery, open_state_file)
            await wait_until_recovered(rig)
            responses: dict[str, Response] = {}

            async def request(path: str, name: str) -> None:
                responses[name] = await rig.request_playback(path, **key_header(name))

            for failing_call in range(0, 24, 2):
                disk.fail(kind, failing_call, only="sync" if kind == "io-sync" else "")
                requested = [(f"/whep/course/c{failing_call}", f"c{failing_call}.{n}") for n in range(2)]
                requested += [(f"/whep/seats/s{failing_call}", f"s{failing_call}.{n}") for n in range(3)]
                requested += [(f"/whep/open/o{failing_call}", f"o{failing_call}")]
                async with trio.open_nursery() as requests:
                    for path, name in requested:
                        requests.start_soon(request, path, name)
                assert responses[f"o{failing_call}"].status == 201  # a free plan is not affected
                for path, name in requested[:2]:
                    first, second = responses[name], await rig.request_playback(path, **key_header(name))
                    assert second.status in (
                        {first.status} if first.status in (201, 504) else {201, 503, 504}
                    ), name
                disk.repair()
                await wait_until_state_file_is_healthy(rig)
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


def test_a_newer_file_is_not_changed_and_used_once_readable(tmp_path: Path) -> None:
    """A file of a newer version stays untouched, and is used once it can be read."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            paid = await rig.request_playback("/whep/course/a", **key_header("k1"))
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            path = str(tmp_path / "state")
            db = apsw.Connection(path)
            db.pragma("user_version", SCHEMA_VERSION + 1)
            db.close()
            before = Path(path).read_bytes()
            await start_front_end(nursery, rig, with_state=True)
            refused = await rig.request_playback("/whep/course/a", **key_header("k1"))
            assert (refused.status, problem_name(refused)) == (503, "no-record")
            assert (await rig.request_playback("/whep/open/a")).status == 201
            assert Path(path).read_bytes() == before
            db = apsw.Connection(path)
            db.pragma("user_version", SCHEMA_VERSION)
            db.close()
            await wait_until_state_file_is_healthy(rig)
            await wait_until_recovered(rig)
            same = await rig.request_playback("/whep/course/a", **key_header("k1"))
            assert (same.status, same.header("location")) == (201, paid.header("location"))
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_truncated_file_costs_no_key_its_answer(tmp_path: Path) -> None:
    """Guards against a second run of a key after its state file was damaged: the node knows that it ran."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 201
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            path = tmp_path / "state"
            body = bytearray(path.read_bytes())
            path.write_bytes(body[: len(body) // 2])  # truncated to half
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            # The node knows that it ran.
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == 504
            assert (await rig.request_playback("/whep/course/a", **key_header("k2"))).status == 201
            assert list(tmp_path.glob("state.damaged-1"))
            assert Counter(f["key"] for f in rig.recorded("ran"))["k1"] == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)
