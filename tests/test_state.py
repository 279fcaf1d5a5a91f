"""State that survives crashes: the file and its faults, the decisions of a recovery, and front ends that are
killed.
"""

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
    FileState as Standing,
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
from oakcroft.httpwire.client import Ended
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS, SECOND, Effect, KeyScope, NodeStatus, Outcome, Plan
from oakcroft.rehearsal.viewers import offer
from oakcroft.rulecheck.facts import set_ups as tries_of
from oakcroft.rulecheck.plan_terms import terms_kept
from oakcroft.rulecheck.repeated_set_ups import no_set_up_twice
from oakcroft.signalling import words
from oakcroft.standins.disk import Disk
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

NAMES = count()
KEEP = 300 * SECOND


def promise(
    id_: str = "p", mark: PromiseState = PromiseState.INTENT, effect: Effect = Effect.PAID, **more: Any
) -> Promise:
    """Makes a promise that was sent to node n1 at one second."""
    base = Promise(id_, f"key-{id_}", "about", "/whep/course/t", "t", "course", effect.value, False, False, "u", 2, "",
                   0, 5 * SECOND, mark, "n1", "n1-1", SECOND, changed=SECOND)  # fmt: skip
    return replace(base, **more)


def plan(effect: Effect, seats: int = 0) -> Plan:
    """Makes a plan."""
    return Plan(effect, KeyScope.ALL, SECOND, SECOND, 1.0, 0, 2, seats, 1.0, False)


def word(**more: Any) -> NodeReport:
    """Makes a node report that can prove that an intent never ran."""
    at = 8 * SECOND
    return replace(NodeReport("n1-1", {}, frozenset(), 60 * SECOND, 60 * SECOND, at, at + MS), **more)


# Decisions: promises, node reports, recovery and the health of the file.


def test_a_promise_goes_only_where_it_can() -> None:
    """Invalid changes of state raise ValueError; outcomes and answers lead to the right states."""
    p = promise()
    assert transition(None, p) is p
    for mark, allowed in (
        (PromiseState.ABORTED, {PromiseState.GONE}),
        (PromiseState.GONE, set[PromiseState]()),
    ):
        for to in PromiseState:
            if to in allowed:
                transition(promise(mark=mark), promise(mark=to))
            else:
                with pytest.raises(ValueError, match="cannot go"):
                    transition(promise(mark=mark), promise(mark=to))
    for outcome in Outcome:
        proven = outcome in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
        assert (after_try(p, outcome, 9).mark is PromiseState.GONE) == proven
    assert after_answer(p, FinalAnswer.ABORTED, 9).mark is PromiseState.ABORTED
    assert after_answer(promise(effect=Effect.FREE), FinalAnswer.ABORTED, 9).mark is PromiseState.GONE
    assert after_answer(p, FinalAnswer.REJECTED, 9).mark is PromiseState.GONE
    assert [needs_durable_intent(plan(e)) for e in (Effect.FREE, Effect.KEYED, Effect.PAID)] == [
        False,
        True,
        True,
    ]
    assert needs_durable_intent(plan(Effect.FREE, seats=1))
    assert not has_expired(promise(mark=PromiseState.PLAYS), KEEP, 1 << 60)  # a promise that plays is kept


def test_only_a_nodes_word_that_can_prove_it_frees_a_key() -> None:
    """Guards against a paid set-up that is sent twice after a restart.

    Only a report that covers the time of the set-up proves that it never ran.
    """
    p = promise()
    assert judge_promise(p, word()) is PromiseVerdict.NEVER_RAN
    # The process may be younger than the set-up.
    assert judge_promise(p, word(uptime=6 * SECOND)) is PromiseVerdict.UNPROVEN
    assert judge_promise(p, word(key_memory=6 * SECOND)) is PromiseVerdict.UNPROVEN
    # The set-up may still arrive.
    assert judge_promise(p, word(requested_at=5 * SECOND + MAX_IN_FLIGHT_NS - 1)) is PromiseVerdict.UNPROVEN
    assert judge_promise(p, word(known_keys=frozenset({p.key}))) is PromiseVerdict.RAN
    assert (
        judge_promise(p, word(running_sessions={"/s/1": p.key}, known_keys=frozenset({p.key})))
        is PromiseVerdict.RUNNING
    )
    plays = promise(mark=PromiseState.PLAYS, resource="/s/1")
    assert judge_promise(plays, word(running_sessions={"/s/1": p.key})) is PromiseVerdict.CONFIRMED
    assert judge_promise(plays, word()) is PromiseVerdict.OVER
    assert judge_promise(replace(plays, changed=9 * SECOND), word()) is PromiseVerdict.UNPROVEN
    assert apply_verdict(p, PromiseVerdict.RAN, 9).mark is PromiseState.ABORTED
    assert apply_verdict(p, PromiseVerdict.NEVER_RAN, 9).mark is PromiseState.GONE
    assert apply_verdict(promise(effect=Effect.FREE), PromiseVerdict.RAN, 9).mark is PromiseState.GONE
    assert apply_verdict(p, PromiseVerdict.UNPROVEN, 9) is p


def test_fates_at_the_start() -> None:
    """What becomes of a promise at the start, by its state, plan, node and age."""
    now = 10 * SECOND
    plays = promise(mark=PromiseState.PLAYS, resource="/s/1")
    assert recovery_action(plays, True, True, KEEP, now) is RecoveryAction.ADOPT
    assert recovery_action(plays, True, False, KEEP, now) is RecoveryAction.END
    assert recovery_action(plays, False, True, KEEP, now) is RecoveryAction.REMEMBER
    assert recovery_action(replace(plays, effect="free"), False, True, KEEP, now) is RecoveryAction.FORGET
    assert recovery_action(promise(), True, True, KEEP, now) is RecoveryAction.HOLD
    assert recovery_action(promise(), False, True, KEEP, now) is RecoveryAction.REMEMBER
    assert recovery_action(promise(effect=Effect.FREE), False, True, KEEP, now) is RecoveryAction.FORGET
    assert (
        recovery_action(promise(mark=PromiseState.ABORTED), True, True, KEEP, now) is RecoveryAction.REMEMBER
    )
    assert (
        recovery_action(promise(mark=PromiseState.ABORTED), True, True, KEEP, now + KEEP)
        is RecoveryAction.FORGET
    )
    assert recovery_action(promise(), True, True, KEEP, -now) is RecoveryAction.HOLD  # the clock went back


def test_a_front_without_its_state_asks_its_nodes_first() -> None:
    """A front end that lost its state records nothing until all listed nodes have reported, or the retention
    has passed.
    """
    r = Recovery(KEEP, 0)
    assert r.state_read(True, ["a"], 0) is RecoveryPhase.SERVING
    r = Recovery(KEEP, 0)
    assert r.state_read(False, [], 0) is RecoveryPhase.STATE_LOST  # no node list yet, so no node was asked
    r.nodes_listed(["a", "b"])
    assert r.report_received("a", word(known_keys=frozenset({"k"})), 1) is RecoveryPhase.STATE_LOST
    assert not r.can_record("other")
    r.nodes_listed(["a", "b", "c"])
    assert r.report_received("b", None, 2) is RecoveryPhase.STATE_LOST
    assert r.report_received("c", word(), 3) is RecoveryPhase.SERVING
    assert not r.can_record("k")
    assert r.can_record("other")
    r = Recovery(KEEP, 0)
    r.state_read(False, ["a"], 0)
    assert r.check(KEEP + 1) is RecoveryPhase.SERVING
    assert restored_further_tries(90, 3.0, 10, 95) == [90, 90, 90]
    assert restored_further_tries(90, 3.0, 10, 101) == []
    assert restored_further_tries(90, None, 10, 95) == []


def test_health_comes_back_only_by_what_worked() -> None:
    """A slow or failed file is healthy again only after commits that worked; retries wait longer each time."""
    h = FileHealth(slow_after=100)
    h.commit_started(0)
    assert h.can_record(100)
    assert not h.can_record(101)
    assert h.state is Standing.SLOW
    back = []
    for n in range(RECOVERY_COMMITS):
        h.commit_started(200 + n)
        back.append(h.commit_succeeded(200 + n))
    assert back == [False, False, True]
    assert h.can_record(210)
    h.commit_failed(FileFault.DISK_FULL, 300)
    assert not h.retry_due(300)
    assert h.retry_due(300 + h.retry_at)
    waits = []
    for _ in range(9):
        before = h.retry_delay
        h.commit_failed(FileFault.DISK_FULL, 0)
        waits.append(before)
    assert waits == sorted(waits)
    assert waits[-1] == 5 * SECOND
    assert not h.commit_succeeded(400)  # not a full rewrite
    assert h.commit_succeeded(401, is_full_rewrite=True)
    assert h.can_record(401)
    u = FileMaintenance(max_rows=200, interval=10)
    assert [u.allowance(h, 0, 10), u.allowance(h, 0, 15), u.allowance(h, 9, 25)] == [200, 0, 20]
    h.commit_failed(FileFault.IO_ERROR, 30)
    assert u.allowance(h, 0, 99) == 0


class World:
    """Model of paid requests with seats, one node, and a front end that is killed; it uses only the pure
    functions.
    """

    SEATS = 2

    def __init__(self, rng: Random) -> None:
        """Starts with one process of the node and no requests."""
        self.rng, self.now = rng, 100 * SECOND
        self.durable: dict[str, Promise] = {}
        self.memory: dict[str, Promise] = {}
        self.flying: list[Promise] = []  # set-ups that the node has not read; they outlive the front end
        self.running: dict[str, str] = {}
        self.ran, self.times = Counter[str](), dict[str, int]()
        self.answers: dict[str, list[str]] = {}
        self.process, self.up = 1, 0
        self.outstanding: set[str] = set()

    def seats(self) -> int:
        """Returns the number of seats taken."""
        return sum(p.mark in (PromiseState.INTENT, PromiseState.PLAYS) for p in self.memory.values())

    def ask(self, key: str) -> None:
        """A viewer sends a request with a key, for the first time or again."""
        p = self.memory.get(key)
        if p is not None and p.mark is PromiseState.PLAYS:
            self.answers.setdefault(key, []).append("plays")
        elif p is not None and key not in self.outstanding:
            self.answers.setdefault(key, []).append("aborted")
        elif p is None and self.seats() < self.SEATS:
            self.outstanding.add(key)  # a repeat in the same process gets no final answer
            p = promise(
                key,
                sent_at=self.now,
                abandon=self.now + 3 * SECOND,
                changed=self.now,
                process=str(self.process),
            )
            self.memory[key] = transition(None, p)
            if self.rng.random() < 0.2:
                return self.kill()  # before the intent was durable, so it was not sent
            self.durable[key] = p
            self.flying.append(p)
        return None

    def arrive(self) -> None:
        """The node reads the oldest set-up that was sent, if it is not too late."""
        if self.flying and self.now <= self.flying[0].abandon + MAX_IN_FLIGHT_NS:
            p = self.flying.pop(0)
            self.ran[p.key] += 1
            self.times[p.key] = self.now
            self.running[p.id] = p.key
            if (
                (mine := self.memory.get(p.id)) is p
                and p.key[4:] in self.outstanding
                and self.rng.random() < 0.7
            ):
                plays = after_answer(p, FinalAnswer.PLAYS, self.now)
                self.memory[p.id] = transition(mine, replace(plays, resource=p.id))
                self.outstanding.discard(p.id)
                if self.rng.random() < 0.3:
                    return self.kill()  # before the answer was recorded, so it was not given
                self.durable[p.id] = self.memory[p.id]
                self.answers.setdefault(p.id, []).append("plays")
        elif self.flying:
            p = self.flying.pop(0)  # its connection is closed by now
        return None

    def kill(self) -> None:
        """The front end is killed and starts again from its durable promises."""
        self.memory = {}
        self.outstanding.clear()  # its connections are closed with it
        for id_, p in self.durable.items():
            if recovery_action(p, True, True, KEEP, self.now) is not RecoveryAction.FORGET:
                self.memory[id_] = p

    def hear(self) -> None:
        """The front end receives a node report."""
        keys = frozenset(k for k, t in self.times.items() if self.now - t < 60 * SECOND)
        asked = self.now - self.rng.randrange(SECOND)
        w = NodeReport(
            str(self.process), dict(self.running), keys, self.now - self.up, 60 * SECOND, asked, self.now
        )
        for id_, p in list(self.memory.items()):
            if p.mark is PromiseState.ABORTED or (
                p.mark is PromiseState.INTENT and p in self.flying and self.now < p.abandon
            ):
                continue
            verdict = judge_promise(p, w)
            if verdict is PromiseVerdict.RUNNING:
                self.running.pop(id_, None)
            after = apply_verdict(p, verdict, self.now, "aborted" in self.answers.get(id_, []))
            if after.mark is PromiseState.GONE:
                self.over(id_)
            else:
                self.memory[id_] = self.durable[id_] = after

    def over(self, id_: str) -> None:
        """A promise binds nothing any more: a request with its key is a new one."""
        if self.memory.pop(id_).mark is PromiseState.PLAYS:
            self.ran[f"key-{id_}"] = 0
            self.answers.pop(id_, None)
        self.durable.pop(id_, None)

    def node_dies(self) -> None:
        """The node's process is replaced by a new one, which remembers nothing."""
        self.process, self.up = self.process + 1, self.now
        self.running.clear()
        self.times.clear()
        self.flying.clear()

    def check(self) -> None:
        """Checks that no paid key ran twice, no seat is exceeded, and each key has one answer."""
        assert max(self.ran.values(), default=0) <= 1, "a paid playback was set up twice"
        assert len(self.running) <= self.SEATS, "more than the seats"
        for key, heard in self.answers.items():
            assert len(set(heard)) <= 1, f"{key}: {heard}"


@settings(max_examples=400, deadline=None)
@given(st.integers(0, 1 << 32), st.lists(st.sampled_from(["ask", "ask", "again", "arrive", "arrive", "kill", "hear",
                                                          "time", "long", "end", "die"]), max_size=60))  # fmt: skip
def test_over_any_history_of_lives_no_paid_key_runs_twice_and_no_seat_is_over(
    seed: int, steps: list[str]
) -> None:
    """Guards against double set-ups and exceeded seats across restarts, for any sequence of events."""
    world, numbers = World(Random(seed)), count()
    for what in steps:
        match what:
            case "ask":
                world.ask(f"k{next(numbers)}")
            case "again":
                world.ask(f"k{world.rng.randrange(8)}")
            case "arrive":
                world.arrive()
            case "kill":
                world.kill()
            case "hear":
                world.hear()
            case "time":
                world.now += world.rng.randrange(SECOND)
            case "long":
                world.now += world.rng.randrange(8 * SECOND)
            case "end" if world.running:
                id_ = sorted(world.running)[0]
                if world.memory.get(id_) is not None and world.memory[id_].mark is PromiseState.PLAYS:
                    del world.running[id_]
                    world.over(id_)
            case "die":
                world.node_dies()
        world.check()


# The state file.


def disk() -> Disk:
    """Makes a disk under a name of its own."""
    return Disk(f"disk-{next(NAMES)}")


def line(name: str) -> ListedNode:
    """Makes an entry of the node list."""
    return ListedNode(name, "127.0.0.1", 80, "west", 1, NodeStatus.READY, 5, 1000.0, 10.0, "", ("a",), None)


def filled(file: StateFile) -> None:
    """Writes one record of each kind."""
    file.commit(
        [
            PutPromise(promise("a")),
            PutPromise(promise("b", PromiseState.PLAYS, resource="/s/b")),
            PutNodeList((line("n1"), line("n2")), 7, "svc", 9),
            MoveRecord("b", "copy", 3),
            NodePenalty("n1", 0.5, 4, 3),
            SlotUsage("n2", 1, 2, 3, 4),
            NamedValue("alive", b"12"),
            VersionRecord("catalogue", 1, "d", 5, "first", b"()"),
        ]
    )


def test_the_file_gives_back_what_was_put_into_it(tmp_path: Path) -> None:
    """The file and a snapshot of it return what was committed."""
    file = StateFile(str(tmp_path / "state"))
    filled(file)
    file.snapshot(tmp_path / "copy")
    file.commit([PutPromise(promise("a", PromiseState.GONE)), MoveRecord("b", "", 0)])
    file.close()
    for name, ids, moves in (("state", ["b"], 0), ("copy", ["a", "b"], 1)):
        file = StateFile(str(tmp_path / name))
        held = file.read()
        assert [p.id for p in held.promises] == ids
        assert held.promises[-1] == promise("b", PromiseState.PLAYS, resource="/s/b")
        assert (held.listed_nodes, held.list_version, held.service) == ([line("n1"), line("n2")], 7, "svc")
        assert (len(held.moves), held.node_penalties, held.slot_usage) == (
            moves,
            [NodePenalty("n1", 0.5, 4, 3)],
            [SlotUsage("n2", 1, 2, 3, 4)],
        )
        assert held.versions == [VersionRecord("catalogue", 1, "d", 5, "first", b"()")]
        assert held.named_values["alive"] == b"12"
        file.close()


@pytest.mark.parametrize("version", range(SCHEMA_VERSION + 1))
def test_a_file_of_any_earlier_version_is_brought_forward(tmp_path: Path, version: int) -> None:
    """A file of any earlier schema version is migrated, with its promises."""
    path = tmp_path / "state"
    db = apsw.Connection(str(path))
    for number in range(version):
        db.execute(MIGRATIONS[number])
    db.pragma("user_version", version)
    if version:
        import msgspec

        old = promise("old")
        db.execute("INSERT INTO promises VALUES (?, ?, ?, ?, ?, ?)",
                   (old.id, old.key, old.mark.name, old.node, old.changed, msgspec.msgpack.encode(old)))  # fmt: skip
    db.close()
    file = StateFile(str(path))
    filled(file)
    assert {p.id for p in file.read().promises} == ({"old", "a", "b"} if version else {"a", "b"})
    file.close()


def test_a_newer_file_another_programs_and_one_in_use_are_left_alone(tmp_path: Path) -> None:
    """A file of a newer version, of another program, or in use is not opened and not changed."""
    path = str(tmp_path / "state")
    first = StateFile(path)
    filled(first)
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


def test_what_was_committed_survives_a_power_cut_at_every_call_and_nothing_comes_by_halves() -> None:
    """Guards against lost or partial commits after a power cut at any call of the file system."""
    for cut in range(60):
        d, rng, done = disk(), Random(cut), 0

        def at(number: int, _what: str, cut: int = cut) -> None:
            if number >= cut:
                raise apsw.exception_for(apsw.SQLITE_IOERR)

        file = StateFile("state", vfs=d.name)
        d.calls, d.at_call = 0, at
        try:
            for n in range(12):
                file.commit([PutPromise(promise(f"{n}-{part}")) for part in "abc"])
                done = n + 1
        except StateFileError:
            pass
        d.at_call = None
        after = StateFile("state", vfs=d.cut_power(rng).name)
        ids = Counter(p.id.split("-")[0] for p in after.read().promises)
        assert set(ids.values()) <= {3}
        assert {str(n) for n in range(done)} <= set(ids)
        assert len(ids) <= done + 1
        after.close()


def test_expired_promises_go_a_few_at_a_time_and_the_file_shrinks(tmp_path: Path) -> None:
    """Expired promises are dropped in steps, those that play stay, and the file shrinks."""
    file = StateFile(str(tmp_path / "state"))
    file.commit([PutPromise(promise(str(n), PromiseState.ABORTED, answer="x" * 2000)) for n in range(400)])
    file.commit(
        [
            PutPromise(promise("plays", PromiseState.PLAYS, changed=0)),
            PutPromise(promise("young", changed=1 << 50)),
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


def test_a_damaged_file_is_put_aside(tmp_path: Path) -> None:
    """A damaged file is reported, and set aside so that a new one can be made."""
    path = tmp_path / "state"
    file = StateFile(str(path))
    filled(file)
    file.commit([PutPromise(promise(str(n), answer="y" * 3000)) for n in range(50)])
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


def store(d: Disk, whole: Callable[[], ReplaceContents] | None = None) -> StateWriter:
    """Makes a store on a disk."""
    log = structlog.wrap_logger(structlog.PrintLogger(io.StringIO()))
    made = StateWriter(
        "state",
        True,
        lambda: round(trio.current_time() * 1e9),
        log,
        KEEP,
        lambda: StateFile("state", vfs=d.name),
    )
    made.snapshot_memory = whole or (lambda: ReplaceContents(()))
    return made


@pytest.mark.parametrize("kind", ["full", "io-write", "io-sync", "read-only"])
def test_a_fault_at_any_call_refuses_what_must_be_durable_and_passes_by_itself(kind: str) -> None:
    """Guards against a promise that is reported as durable but lost.

    A fault at any call refuses the write, and the store recovers by itself.
    """

    async def test() -> None:
        for at in range(14):
            d, kept = disk(), dict[str, Promise]()
            s = store(d, lambda kept=kept: ReplaceContents(tuple(kept.values())))  # type: ignore[misc]
            await s.start()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(s.run)
                d.fail(kind, at, only="sync" if kind == "io-sync" else "")
                for n in range(12):
                    p = promise(str(n), changed=s.clock())
                    kept[p.id] = p
                    if not await s.write_durably(PutPromise(p)):
                        del kept[p.id]  # it was not sent
                    await trio.sleep(0.002)
                await wait_until(lambda s=s: s.health.state is Standing.HEALTHY)  # type: ignore[misc]
                kept["late"] = late = promise("late", changed=s.clock())
                while not await s.write_durably(PutPromise(late)):  # the fault may hit this write
                    await wait_until(lambda s=s: s.health.state is Standing.HEALTHY)  # type: ignore[misc]
                nursery.cancel_scope.cancel()
            d.mend()
            file = StateFile("state", vfs=d.cut_power(Random(at)).name)
            on_record = {p.id for p in file.read().promises}
            assert set(kept) <= on_record, (at, set(kept) - on_record)  # all that was reported as durable
            file.close()

    run_async_test(test, 60)


def test_a_slow_disk_refuses_at_once_and_a_full_queue_drops_no_durable_change() -> None:
    """A slow disk refuses durable writes at once and accepts them again later."""

    async def test() -> None:
        d = disk()
        s = store(d)
        s.health.slow_after = 50 * MS
        await s.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(s.run)
            assert await s.write_durably(PutPromise(promise("a")))
            d.slow = 0.4
            assert not await s.write_durably(PutPromise(promise("b")))
            assert s.health.state is Standing.SLOW
            assert not await s.write_durably(PutPromise(promise("c")))
            d.slow = 0.0

            def noted() -> bool:
                s.enqueue(NamedValue("alive", b"1"))
                return s.health.state is Standing.HEALTHY

            await wait_until(noted)
            assert await s.write_durably(PutPromise(promise("d")))
            nursery.cancel_scope.cancel()

    run_async_test(test)


# Whole front ends.


def key(name: str) -> dict[str, Any]:
    """Returns the header of an idempotency key."""
    return {"Idempotency_Key": words.quoted(name)}


def kind_of(sat: Response) -> str:
    """Returns the last part of a response's problem type."""
    return words.problem_type(sat.body).rpartition(":")[2]


def nothing_twice_and_no_seat_over(rig: Rig) -> None:
    """Checks rules 2 and 5 on the nodes' records."""
    facts = [f for kind in ("setup", "ran", "answer", "broken", "over") for f in rig.recorded(kind)]
    facts.sort(key=lambda f: f["t"])
    found, _ = check_file("site", lambda _: rig.site_text, False)
    assert found is not None
    site, tries = build_deployment(found).shared, tries_of(facts)
    assert no_set_up_twice(facts, tries, site).breaches == []
    assert terms_kept(facts, tries, site).breaches == []


async def again(rig: Rig, nursery: trio.Nursery, opens: Callable[[str], StateFile] | None = None) -> None:
    """Kills the front end and starts another on the same state."""
    rig.front_end_scope.cancel()
    await rig.exited.wait()
    await start_front_end(nursery, rig, with_state=True, open_state_file=opens)


def test_a_killed_front_goes_on_with_what_played(tmp_path: Path) -> None:
    """Guards against playbacks, keys and seats that are lost when a front end is killed."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            paid = await rig.request_playback("/whep/course/a", **key("k1"))
            free = await rig.request_playback("/whep/open/b", **key("k2"))
            seat = await rig.request_playback("/whep/seats/c", **key("k3"))
            assert [paid.status, free.status, seat.status] == [201, 201, 201]
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and not rig.front_end.coordinator.durable_state.store.queue
                )
            )
            await again(rig, nursery)
            same = await rig.request_playback("/whep/course/a", **key("k1"))
            assert (same.status, same.header("location"), same.body) == (
                201,
                paid.header("location"),
                paid.body,
            )
            assert (await rig.request_playback("/whep/open/b", **key("k2"))).header(
                "location"
            ) == free.header("location")
            assert (await rig.request_playback("/whep/seats/c", **key("k4"))).status == 201
            assert (
                await rig.request_playback("/whep/seats/c", **key("k5"))
            ).status == 503  # two seats, both taken
            assert len(rig.recorded("setup")) == 4
            assert (await rig.request("DELETE", free.header("location") or "")).status == 200
            await wait_until(lambda: len(rig.recorded("over")) == 1)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_playbacks_that_ended_while_no_front_was_there_say_nothing_against_their_nodes(
    tmp_path: Path,
) -> None:
    """Guards against a good node that is distrusted for playbacks that ended while the front end was down."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            for n in range(8):
                assert (await rig.request_playback("/whep/course/a", **key(f"k{n}"))).status == 201
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
            assert (await rig.request_playback("/whep/course/a", **key("new"))).status == 201
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_paid_set_up_that_was_out_when_its_front_died_is_never_sent_again(tmp_path: Path) -> None:
    """Guards against a paid set-up sent twice because the front end was killed before its answer arrived.

    The key is answered with an abort, and the session that nobody can use is ended.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            for node in rig.fleet.nodes.values():
                node.ails.lost_share = 1.0  # it runs, and its answer is lost
            nursery.start_soon(rig.request_playback_ignoring_errors, "/whep/course/a", key("k1"))
            await wait_until(lambda: rig.recorded("ran"))
            await again(rig, nursery)
            for node in rig.fleet.nodes.values():
                node.ails.lost_share = 0.0
            sat = await rig.request_playback("/whep/course/a", **key("k1"))
            assert (sat.status, kind_of(sat)) == (504, "aborted")
            await wait_until(lambda: len(rig.recorded("over")) == 1)  # no viewer can use it, so it is ended
            await again(rig, nursery)
            assert (await rig.request_playback("/whep/course/a", **key("k1"))).status == 504
            assert len(rig.recorded("ran")) == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_an_intent_that_provably_never_ran_frees_its_key_and_its_seat(tmp_path: Path) -> None:
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
            lost = promise("x", node="n1", sent_at=sent, abandon=now - 1900 * MS, changed=sent, about=about)
            told_of = replace(lost, id="z", key="key-z")
            seat = replace(lost, id="y", key="key-y", plan="seats", effect="free", seats=True, title="s")
            file.commit([PutPromise(lost), PutPromise(told_of), PutPromise(seat)])
            file.close()
            rig.node("n1").up_since -= 60
            await start_front_end(nursery, rig, with_state=True)
            assert (await rig.request_playback("/whep/course/t", **key("key-z"))).status == 504
            sat = [(await rig.request_playback("/whep/seats/s")).status for _ in range(2)]
            assert sat == [201, 503]  # the intent holds the other seat
            await wait_until(lambda: any(e.get("verdict") == "never_ran" for e in rig.log_entries()))
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and not rig.front_end.coordinator.durable_state.uncertain
                )
            )
            assert (await rig.request_playback("/whep/course/t", **key("key-x"))).status == 201
            assert (
                await rig.request_playback("/whep/course/t", **key("key-z"))
            ).status == 504  # its viewer was told so before
            assert (await rig.request_playback("/whep/seats/s")).status == 201
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_front_that_lost_its_state_learns_from_its_nodes_what_it_may_not_set_up(tmp_path: Path) -> None:
    """Guards against a second set-up by a front end whose state file is gone: its nodes report the keys that
    ran.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key("k1"))).status == 201
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            for part in tmp_path.glob("state*"):
                part.unlink()
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key("k1"))).status == 504
            assert (await rig.request_playback("/whep/course/a", **key("k2"))).status == 201
            assert Counter(f["key"] for f in rig.recorded("ran"))["k1"] == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


@pytest.mark.parametrize(
    ("kind", "only"), [("full", ""), ("io-sync", "sync"), ("read-only", ""), ("io-write", "write")]
)
def test_while_the_disk_fails_free_plans_go_on_and_paid_ones_are_turned_away_unsent(
    tmp_path: Path, kind: str, only: str
) -> None:
    """While the disk fails, free plans are served, and paid ones are rejected before anything is sent."""

    async def test() -> None:
        d = disk()
        opens = lambda _: StateFile("state", vfs=d.name)  # noqa: E731
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await again(rig, nursery, opens)
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key("k1"))).status == 201
            d.fail(kind, 0, lasting=True, only=only)
            before = len(rig.recorded("setup"))
            sat = [await rig.request_playback("/whep/course/a", **key(f"f{n}")) for n in range(3)]
            assert {s.status for s in sat} == {503}
            assert all(s.header("retry-after") for s in sat[1:])
            assert len(rig.recorded("setup")) == before  # none of them was sent
            assert (await rig.request_playback("/whep/open/a", **key("k3"))).status == 201
            assert (
                await rig.request_playback("/whep/course/a", **key("k1"))
            ).status == 201  # the earlier answer still holds
            d.mend()
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and rig.front_end.coordinator.durable_state.store.health.state is Standing.HEALTHY
                )
            )
            assert (await rig.request_playback("/whep/course/a", **key("k4"))).status == 201
            d = d.cut_power(Random(1))
            await again(rig, nursery, opens)
            assert (await rig.request_playback("/whep/course/a", **key("k1"))).status == 201
            assert (await rig.request_playback("/whep/course/a", **key("k4"))).status == 201
            assert len({f["key"] for f in rig.recorded("ran") if f["plan"] == "course"}) == 2
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_killed_at_every_commit_point_no_key_is_answered_two_ways_and_none_runs_twice(tmp_path: Path) -> None:
    """Guards against two answers for one key, or two runs, when the front end is killed at any commit."""

    async def test() -> None:
        d, rng = disk(), Random(5)
        opens = lambda _: StateFile("state", vfs=d.name)  # noqa: E731
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await again(rig, nursery, opens)
            await wait_until_recovered(rig)
            heard: dict[str, list[str]] = {}

            async def ask(path: str, name: str) -> None:
                try:
                    sat = await rig.request_playback(path, **key(name))
                except (Ended, OSError):
                    heard.setdefault(name, []).append("cut")
                    return
                heard.setdefault(name, []).append(sat.header("location") or str(sat.status))

            for point in range(0, 64, 2):
                token = trio.lowlevel.current_trio_token()

                def at(
                    number: int, _what: str, point: int = point, token: trio.lowlevel.TrioToken = token
                ) -> None:
                    if number >= point:
                        if number == point:
                            token.run_sync_soon(rig.front_end_scope.cancel)
                        raise apsw.exception_for(apsw.SQLITE_IOERR)

                d.calls, d.at_call = 0, at
                paths = [(f"/whep/course/c{point}", f"c{point}.{n}") for n in range(2)]
                paths += [(f"/whep/seats/s{point}", f"s{point}.{n}") for n in range(3)]
                async with trio.open_nursery() as asking:
                    for path, name in paths:
                        asking.start_soon(ask, path, name)
                if not rig.exited.is_set():
                    rig.front_end_scope.cancel()
                await rig.exited.wait()
                d.at_call = None
                d = d.cut_power(rng)
                await start_front_end(nursery, rig, with_state=True, open_state_file=opens)
                await wait_until_recovered(rig)
                for path, name in paths:
                    await ask(path, name)
            sat = Counter(answers[0][:1] for answers in heard.values())
            assert sat["c"]  # some were cut off
            assert sat["/"]  # and some were answered before the kill
            for name, (first, second) in heard.items():
                if first.startswith("/") or first == "504":
                    assert second == first, f"{name}: {first} and then {second}"
            nothing_twice_and_no_seat_over(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


def test_commands_on_a_state_file(tmp_path: Path) -> None:
    """The commands show, check, snapshot and restore a state file."""
    path, copy, runner = tmp_path / "state", tmp_path / "copy", CliRunner()
    file = StateFile(str(path))
    filled(file)
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
def test_one_fault_at_each_call_in_turn_under_a_front_breaks_no_rule(tmp_path: Path, kind: str) -> None:
    """One disk fault at each call under a running front end breaks no rule."""

    async def test() -> None:
        d = disk()
        opens = lambda _: StateFile("state", vfs=d.name)  # noqa: E731
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await again(rig, nursery, opens)
            await wait_until_recovered(rig)
            heard: dict[str, Response] = {}

            async def ask(path: str, name: str) -> None:
                heard[name] = await rig.request_playback(path, **key(name))

            for call in range(0, 24, 2):
                d.fail(kind, call, only="sync" if kind == "io-sync" else "")
                names = [(f"/whep/course/c{call}", f"c{call}.{n}") for n in range(2)]
                names += [(f"/whep/seats/s{call}", f"s{call}.{n}") for n in range(3)]
                names += [(f"/whep/open/o{call}", f"o{call}")]
                async with trio.open_nursery() as asking:
                    for path, name in names:
                        asking.start_soon(ask, path, name)
                assert heard[f"o{call}"].status == 201  # a free plan is not affected
                for path, name in names[:2]:
                    first, second = heard[name], await rig.request_playback(path, **key(name))
                    assert second.status in (
                        {first.status} if first.status in (201, 504) else {201, 503, 504}
                    ), name
                d.mend()
                await wait_until(
                    lambda: (
                        rig.front_end
                        and rig.front_end.coordinator
                        and rig.front_end.coordinator.durable_state
                        and rig.front_end.coordinator.durable_state.store.health.state is Standing.HEALTHY
                    )
                )
            nothing_twice_and_no_seat_over(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


def test_a_file_of_a_newer_program_is_left_alone_until_it_can_be_read(tmp_path: Path) -> None:
    """A file of a newer version stays untouched, and is used once it can be read."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            paid = await rig.request_playback("/whep/course/a", **key("k1"))
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            path = str(tmp_path / "state")
            db = apsw.Connection(path)
            db.pragma("user_version", SCHEMA_VERSION + 1)
            db.close()
            before = Path(path).read_bytes()
            await start_front_end(nursery, rig, with_state=True)
            refused = await rig.request_playback("/whep/course/a", **key("k1"))
            assert (refused.status, kind_of(refused)) == (503, "no-record")
            assert (await rig.request_playback("/whep/open/a")).status == 201
            assert Path(path).read_bytes() == before
            db = apsw.Connection(path)
            db.pragma("user_version", SCHEMA_VERSION)
            db.close()
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and rig.front_end.coordinator.durable_state.store.health.state is Standing.HEALTHY
                )
            )
            await wait_until_recovered(rig)
            same = await rig.request_playback("/whep/course/a", **key("k1"))
            assert (same.status, same.header("location")) == (201, paid.header("location"))
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_damaged_file_and_one_with_a_torn_end_cost_no_key_its_answer(tmp_path: Path) -> None:
    """Guards against a second run of a key after its state file was damaged: the node knows that it ran."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key("k1"))).status == 201
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            path = tmp_path / "state"
            body = bytearray(path.read_bytes())
            path.write_bytes(body[: len(body) // 2])  # torn: half of it is gone
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            assert (
                await rig.request_playback("/whep/course/a", **key("k1"))
            ).status == 504  # the node knows that it ran
            assert (await rig.request_playback("/whep/course/a", **key("k2"))).status == 201
            assert list(tmp_path.glob("state.damaged-1"))
            assert Counter(f["key"] for f in rig.recorded("ran"))["k1"] == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)
