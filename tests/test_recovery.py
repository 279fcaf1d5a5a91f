"""Decisions on promises: their states, what reports of nodes prove, and what becomes of them after a restart."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from random import Random

import pytest
from hypothesis import given, settings, strategies as st
from state_rig import RETENTION, make_promise, node_report

from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.promise import (
    PromiseState,
    Promise,
    after_answer,
    after_try,
    has_expired,
    needs_durable_intent,
    transition,
)
from oakcroft.decisions.state.recovery import (
    MAX_IN_FLIGHT_NS,
    NodeReport,
    PromiseVerdict,
    Recovery,
    RecoveryAction,
    RecoveryPhase,
    apply_verdict,
    judge_promise,
    recovery_action,
    restored_retry_times,
)
from oakcroft.interface import SECOND, Effect, KeyScope, Outcome, Plan

INTENT_LOST_SHARE = 0.2
ANSWER_IN_TIME_SHARE = 0.7
ANSWER_LOST_SHARE = 0.3
"""Shares of the model's events: kills before an intent is durable, set-ups whose answer the front end gets in time, and
kills before such an answer is recorded."""


def make_plan(effect: Effect, seats: int = 0) -> Plan:
    """Makes a plan."""
    return Plan(effect, KeyScope.ALL, SECOND, SECOND, 1.0, 0, 2, seats, 1.0, False)


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
    assert restored_retry_times(90, 3.0, 10, 95) == [90, 90, 90]
    assert restored_retry_times(90, 3.0, 10, 101) == []
    assert restored_retry_times(90, None, 10, 95) == []


class RestartModel:
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
        self.key_numbers = count()
        self.steps: dict[str, Callable[[], None]] = {
            "ask": lambda: self.request(f"k{next(self.key_numbers)}"),
            "again": lambda: self.request(f"k{self.rng.randrange(8)}"),
            "arrive": self.arrive,
            "kill": self.kill,
            "report": self.receive_report,
            "time": lambda: self.wait(SECOND),
            "long": lambda: self.wait(8 * SECOND),
            "end": self.end_first_session,
            "die": self.restart_node,
        }

    def wait(self, longest: int) -> None:
        """Lets time pass, less than `longest` ns."""
        self.now += self.rng.randrange(longest)

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
            if self.rng.random() < INTENT_LOST_SHARE:
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
                and self.rng.random() < ANSWER_IN_TIME_SHARE
            ):
                plays = after_answer(promise, FinalAnswer.PLAYS, self.now)
                self.memory[promise.id] = transition(recorded, replace(plays, resource=promise.id))
                self.unanswered.discard(promise.id)
                if self.rng.random() < ANSWER_LOST_SHARE:
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

    def end_first_session(self) -> None:
        """Ends the first session that runs, if its promise plays."""
        if not self.running:
            return
        id_ = sorted(self.running)[0]
        if self.memory.get(id_) is not None and self.memory[id_].mark is PromiseState.PLAYS:
            del self.running[id_]
            self.end_promise(id_)

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
        for key, answers in self.answers.items():
            assert len(set(answers)) <= 1, f"{key}: {answers}"


@settings(max_examples=400, deadline=None)
@given(st.integers(0, 1 << 32), st.lists(st.sampled_from(["ask", "ask", "again", "arrive", "arrive", "kill", "report",
                                                          "time", "long", "end", "die"]), max_size=60))  # fmt: skip
def test_no_history_of_restarts_runs_a_paid_key_twice_or_exceeds_the_seats(
    seed: int, steps: list[str]
) -> None:
    """Guards against double set-ups and exceeded seats across restarts, for any sequence of events."""
    model = RestartModel(Random(seed))
    for step in steps:
        model.steps[step]()
        model.check()
