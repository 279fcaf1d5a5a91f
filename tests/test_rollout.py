"""Staged rollouts: when a version advances, when it is rolled back, by whose orders, and the messages; no sockets."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakcroft.decisions.membership.rendezvous import rank_order, rank
from oakcroft.decisions.fleet.rollout import (
    FINAL_STAGES,
    ROLLOUT_SHARES,
    RolloutPlan,
    FrontReport,
    Rollout,
    RolloutStage,
    new_plan,
)
from oakcroft.decisions.fleet.lease import (
    MAX_NOTE_OCTETS,
    LeaseAnswer,
    LeaseRequest,
    Fence,
    AcceptorRecord,
    LeaseNote,
    LeaseRecord,
    LeaseMessageKind,
    LeaseTerm,
)
from oakcroft.front.catalogue_rollout import PLAN_DECODER, decode_plan, encode_plan
from oakcroft.interface import SECOND
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.lease_wire import Order, OrderReport, RecordPart, TextChunk, row_from_wire
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.sealing import KeyRing

FRONTS = [f"f{i}" for i in range(10)]
NEW, OLD = "new", "old"


def begun_rollout(watch: int = 10 * SECOND) -> Rollout:
    plan = new_plan(None, NEW, OLD, watch, False, "why")
    assert isinstance(plan, RolloutPlan)
    return Rollout(plan)


def report_as_planned(one: Rollout, now: int, some: list[str] = FRONTS, **more: object) -> None:
    """The fronts report as the plan wants: those of the share have the new version in force, the others the old."""
    share = round(one.plan.target_share * len(FRONTS))
    for front in some:
        part = FRONTS.index(front) < share
        report = FrontReport(one.plan.step, True, NEW if part else OLD, part)
        one.receive_report(front, replace(report, **more), now)  # type: ignore[arg-type]


def test_a_version_is_rolled_out_share_by_share() -> None:
    one, now, seen = begun_rollout(), 0, []
    while one.plan.stage is not RolloutStage.DONE:
        assert one.next_plan(FRONTS, now) is None  # no front has reported
        report_as_planned(one, now)
        after = one.next_plan(FRONTS, now)
        if one.plan.stage is RolloutStage.TAKEN:
            assert after is None
            assert one.next_plan(FRONTS, now + one.plan.watch_time - 1) is None
            now += one.plan.watch_time
            report_as_planned(one, now)
            after = one.next_plan(FRONTS, now)
        assert after is not None
        assert after.step == one.plan.step + 1
        seen.append((after.stage, after.target_share))
        one.set_recorded_plan(after)
    assert seen == [(RolloutStage.TAKEN, s) for s in ROLLOUT_SHARES] + [(RolloutStage.DONE, 1.0)]
    assert one.next_plan(FRONTS, now + 100 * SECOND) is None


@pytest.mark.parametrize("stage", [RolloutStage.HANDED, RolloutStage.TAKEN])
def test_one_refusal_stops_a_rollout(stage: RolloutStage) -> None:
    one = begun_rollout()
    if stage is RolloutStage.TAKEN:
        report_as_planned(one, 0)
        after = one.next_plan(FRONTS, 0)
        assert after is not None
        one.set_recorded_plan(after)
    report_as_planned(one, 1, ["f3"], refused="no ready holder")
    after = one.next_plan(FRONTS, 1)
    assert after is not None
    # In the first stage no front has the version in force; later some may.
    assert after.stage is (RolloutStage.STOPPED if stage is RolloutStage.HANDED else RolloutStage.BACK)
    assert "f3 refused it: no ready holder" in after.end_reason


def activated_rollout(share: int = 0) -> Rollout:
    one = begun_rollout()
    one.set_recorded_plan(replace(one.plan, stage=RolloutStage.TAKEN, share_index=share, step=7))
    return one


def test_failures_are_compared_with_fronts_without_the_version() -> None:
    one = activated_rollout(1)
    report_as_planned(one, 1, FRONTS[:5], answers=100, failures=20)
    report_as_planned(one, 1, FRONTS[5:], answers=100, failures=18)
    assert one.next_plan(FRONTS, 1) is None  # failures rise on all fronts alike
    report_as_planned(one, 2, FRONTS[5:], answers=100, failures=2)
    after = one.next_plan(FRONTS, 2)
    assert after is not None
    assert after.stage is RolloutStage.BACK
    assert "20% of 500 answers failed with it, 2% without" in after.end_reason
    few = activated_rollout()
    report_as_planned(few, 1, FRONTS[:1], answers=10, failures=10)
    assert few.next_plan(FRONTS[:1], 1) is None  # too few answers to judge
    # 7 of 60 failures against 3 of 60 is over MIN_FAILURE_INCREASE but within MIN_STANDARD_ERRORS.
    chance = activated_rollout()
    report_as_planned(chance, 1, FRONTS[:1], answers=60, failures=7)
    report_as_planned(chance, 1, FRONTS[1:2], answers=60, failures=3)
    assert chance.next_plan(FRONTS[:2], 1) is None


def test_a_front_without_a_catalogue_is_waited_for() -> None:
    one = begun_rollout()
    report_as_planned(one, 0)
    one.receive_report("f4", FrontReport(one.plan.step, True, "none", has_no_catalogue=True), 0)
    assert one.next_plan(FRONTS, 0) is None
    assert one.unconfirmed_fronts(FRONTS, 0) == ["f4"]
    one.set_recorded_plan(replace(one.plan, stage=RolloutStage.STOPPED, step=2))
    report_as_planned(one, 0)
    one.receive_report("f4", FrontReport(2, True, "none", has_no_catalogue=True), 0)
    assert one.unconfirmed_fronts(FRONTS, 0) == ["f4"]
    assert one.unconfirmed_fronts(FRONTS, 11 * SECOND) == FRONTS  # any front may have restarted since


def test_absent_fronts_are_not_waited_for_and_silent_present_ones_roll_back() -> None:
    one = activated_rollout()
    report_as_planned(one, 1, FRONTS[:9])
    assert one.unconfirmed_fronts(FRONTS, 1) == ["f9"]
    assert one.next_plan(FRONTS[:9], 1) is None
    assert one.complete_since == 1
    report_as_planned(one, 5 * SECOND, FRONTS[:9])
    assert one.next_plan(FRONTS, 5 * SECOND) is None  # f9 is back and sends no report
    report_as_planned(one, 20 * SECOND, FRONTS[:9])
    assert one.next_plan(FRONTS, 25 * SECOND) is None
    after = one.next_plan(FRONTS, 25 * SECOND + 1)
    assert after is not None
    assert after.stage is RolloutStage.BACK
    assert "f9 did not take it" in after.end_reason


def test_a_rollback_ends_when_no_front_has_the_version() -> None:
    one = activated_rollout(1)
    back = one.roll_back("by hand")
    assert back is not None
    one.set_recorded_plan(back)
    assert one.roll_back("again") is None
    report_as_planned(one, 2, FRONTS[:9])
    one.receive_report("f9", FrontReport(back.step, True, NEW), 2)
    assert one.next_plan(FRONTS, 2) is None
    one.receive_report("f9", FrontReport(back.step - 1, True, OLD), 3)  # on the step before
    assert one.next_plan(FRONTS, 3) is None
    one.receive_report("f9", FrontReport(back.step, True, OLD), 3)
    after = one.next_plan(FRONTS, 3)
    assert after is not None
    assert after.stage is RolloutStage.STOPPED
    assert after.end_reason == "by hand"


def test_one_rollout_at_a_time_with_growing_numbers() -> None:
    assert new_plan(begun_rollout().plan, "x", OLD, 0, False, "") == "roll-out 1 is under way"
    for stage in FINAL_STAGES:
        after = new_plan(replace(begun_rollout().plan, stage=stage, step=9), "x", NEW, 0, False, "")
        assert isinstance(after, RolloutPlan)
        assert (after.number, after.step, after.stage) == (2, 10, RolloutStage.HANDED)


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
def test_work_behind_a_fence_never_goes_back(orders: list[tuple[int, int]]) -> None:
    fence, effects = Fence(), list[tuple[int, int]]()
    for number, step in orders:
        if fence.admits("d", number, step):
            fence.record("d", number, step)
            effects.append((number, step))
    assert effects == sorted(effects)
    assert fence.rejected_count == len(orders) - len(effects)


@given(st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=30), st.text(max_size=8), st.data())
def test_only_the_work_of_a_front_that_goes_passes_on(
    names: set[str], work: str, data: st.DataObject
) -> None:
    order = rank_order(work, names)
    gone = data.draw(st.sampled_from(order))
    assert rank_order(work, names - {gone}) == [n for n in order if n != gone]
    assert [rank(work, n, names) for n in order] == list(range(len(order)))


def test_leases_are_spread_over_the_fronts() -> None:
    firsts = [rank_order(f"duty-{i}", FRONTS)[0] for i in range(1_000)]
    assert all(60 < firsts.count(n) < 140 for n in FRONTS)


# Messages.

KEY = bytes(range(32))
TERM = LeaseTerm(1 << 50, "f1", 99)
NOTE = LeaseNote(7, 2, b"plan")


def codec(fleet: str = "oakcroft", key: bytes = KEY) -> LeaseCodec:
    return LeaseCodec(fleet, KeyRing((key,)))


def opened(octets: bytes) -> bytes:
    found = KeyRing((KEY,)).open(octets, 0)
    assert found is not None
    return found


def test_messages_survive_encoding_and_decoding() -> None:
    one = codec()
    ask = LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", TERM, 3, 6 * SECOND, NOTE)
    answer = LeaseAnswer(LeaseMessageKind.REFUSED, "catalogue", "f1", 5, 6, 7, 8, TERM, 9, NOTE, (("f2", 3),))
    got = one.decode(opened(one.encode_request("f1", 99, ask)))
    assert (got.sender, got.generation, got.message) == ("f1", 99, ask)
    assert one.decode(opened(one.encode_answer("f1", 99, answer))).message == answer
    order, report = Order("catalogue", 5, 2, b"x" * 900), OrderReport("catalogue", 5, 2, True, b"y")
    assert one.decode(opened(one.encode_order("f1", 1, order))).message == order
    assert one.decode(opened(one.encode_report("f1", 1, report))).message == report
    rows = tuple((f"d{i}", LeaseRecord(i + 1, "f1/9", TERM, NOTE)) for i in range(64))
    parts = [
        one.decode(opened(p)).message for p in one.encode_record("f1", 1, AcceptorRecord("f1", 4, True, rows))
    ]
    assert len(parts) == 64
    assert (
        tuple((p.row.duty, row_from_wire(p.row)) for p in parts if isinstance(p, RecordPart) and p.row)
        == rows
    )
    assert len(one.encode_record("f1", 1, AcceptorRecord("f1", 4, False, ()))) == 1


def test_the_largest_messages_fit_a_datagram() -> None:
    name = "n" * 64
    big = LeaseNote((1 << 62) - 1, (1 << 62) - 1, b"x" * MAX_NOTE_OCTETS)
    row = LeaseTerm((1 << 62) - 1, name, (1 << 62) - 1)
    epochs = tuple((f"{i:02}" + "e" * 62, 1 << 60) for i in range(7))
    words = [
        codec().encode_request(
            name, 1 << 60, LeaseRequest(LeaseMessageKind.PROPOSE, name, row, 1 << 60, 1 << 60, big)
        ),
        codec().encode_answer(
            name, 1 << 60, LeaseAnswer(LeaseMessageKind.REFUSED, name, name, 1, 1, 1, 1, row, 1, big, epochs)
        ),
    ]
    assert all(len(w) <= MAX_DATAGRAM_BYTES for w in words), [len(w) for w in words]


def test_a_plan_fits_its_record_whatever_was_written_into_it() -> None:
    plan = replace(
        begun_rollout().plan,
        digest="d" * 64,
        base_digest="b" * 64,
        change_reason="\u20ac" * 120,
        end_reason="\U0001f600" * 120,
    )
    word = encode_plan(plan)
    assert len(word) <= MAX_NOTE_OCTETS
    again = PLAN_DECODER.decode(word).to_plan()
    assert (again.digest, again.base_digest, again.step, again.stage) == (
        plan.digest,
        plan.base_digest,
        plan.step,
        plan.stage,
    )
    small = replace(plan, change_reason="why", end_reason="reason")
    assert PLAN_DECODER.decode(encode_plan(small)).to_plan() == small


INVALID_FIELDS: list[dict[str, Any]] = [
    {"digest": "zz"},
    {"base_digest": "A" * 24},
    {"digest": "a" * 25},
    {"share_index": 3},
    {"share_index": -1},
    {"step": 0},
    {"watch_time": -1},
]


@pytest.mark.parametrize("wrong", INVALID_FIELDS)
def test_an_invalid_plan_is_rejected(wrong: dict[str, Any]) -> None:
    sound = replace(begun_rollout().plan, digest="ab" * 12, base_digest="01" * 12)
    assert decode_plan(encode_plan(sound)) == sound
    with pytest.raises(ValueError, match=r"digest|range"):
        decode_plan(encode_plan(replace(sound, **wrong)))
    with pytest.raises(ValueError, match=r"."):
        decode_plan(b"no plan")


def test_texts_are_sent_in_chunks() -> None:
    one, text = codec(), Random(1).randbytes(50_000)
    stream, parts = b"".join(one.encode_text("f1", 1, text)), list[TextChunk]()
    while stream:
        end = 2 + int.from_bytes(stream[:2], "big")
        parts.append(one.decode_text_chunk(opened(stream[2:end])))
        stream = stream[end:]
    assert b"".join(p.octets for p in parts) == text
    assert [p.more for p in parts] == [True] * (len(parts) - 1) + [False]
    asked = one.encode_text_request("f1", 1, "abc")
    assert one.decode_text_request(opened(asked[2:])) == "abc"
    with pytest.raises(MessageError):
        one.decode_text_chunk(opened(asked[2:]))


@given(st.binary(max_size=200))
def test_an_undecodable_message_is_rejected(octets: bytes) -> None:
    with pytest.raises(MessageError):
        codec().decode(bytes((65,)) + octets)


@given(st.integers(0, 2_000), st.integers(0, 255))
def test_a_changed_octet_raises_no_other_error(at: int, value: int) -> None:
    octets = bytearray(
        opened(
            codec().encode_request(
                "f1", 99, LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", TERM, 3, 6 * SECOND, NOTE)
            )
        )
    )
    octets[at % len(octets)] = value
    with suppress(MessageError):
        codec().decode(bytes(octets))
    other = codec("other").encode_request("f1", 99, LeaseRequest(LeaseMessageKind.PREPARE, "d", TERM))
    with pytest.raises(MessageError):
        codec().decode(opened(other))


# A holder that fails in the middle of each step.


class SimulatedRollout:
    """Ten fronts with their fences, the plan on record, and lease holders that fail at a chosen point."""

    def __init__(self, refuses: str = "") -> None:
        self.record = begun_rollout(0).plan
        self.fences = {f: Fence() for f in FRONTS}
        self.in_force = dict.fromkeys(FRONTS, OLD)
        self.held = dict.fromkeys(FRONTS, False)
        self.changes: dict[str, list[str]] = {f: [] for f in FRONTS}
        self.under_way: list[tuple[str, int, RolloutPlan]] = []
        self.refuses, self.number, self.now = refuses, 0, 0
        self.one = Rollout(self.record)

    def owner(self) -> None:
        """The next holder continues from what is on record."""
        self.number += 1
        self.one = Rollout(self.record)

    def order(self, front: str, number: int, plan: RolloutPlan) -> None:
        if not self.fences[front].admits("d", number, plan.step):
            return
        self.fences[front].record("d", number, plan.step)
        share, was, refused = round(plan.target_share * len(FRONTS)), self.in_force[front], ""
        if plan.stage is RolloutStage.HANDED:
            self.held[front] = True
        elif plan.stage in (RolloutStage.BACK, RolloutStage.STOPPED):
            self.in_force[front] = OLD
        elif FRONTS.index(front) < share:
            refused = "broken" if front == self.refuses else ""
            self.in_force[front] = self.in_force[front] if refused else NEW
        if self.in_force[front] != was:
            self.changes[front].append(self.in_force[front])
        if number == self.number:
            part = FRONTS.index(front) < share
            report = FrontReport(plan.step, self.held[front], self.in_force[front], part, refused)
            self.one.receive_report(front, report, self.now)

    def round(self, fails_at: str = "") -> bool:
        """Runs one round of the holder; returns True where it failed at the point `fails_at`."""
        self.now += SECOND
        after = self.one.next_plan(FRONTS, self.now)
        if after is not None:
            if fails_at == "before the record":
                return True
            self.record = after
            if fails_at == "after the record":
                return True
            self.one.set_recorded_plan(after)
        for i, front in enumerate(FRONTS):
            if fails_at == "between orders" and after is not None and i >= 5:
                self.under_way.append((front, self.number, self.one.plan))
            else:
                self.order(front, self.number, self.one.plan)
        return fails_at == "between orders" and after is not None


@pytest.mark.parametrize("refuses", ["", "f4"])
@pytest.mark.parametrize("point", ["before the record", "after the record", "between orders"])
def test_a_holder_fails_in_the_middle_of_each_step(point: str, refuses: str) -> None:
    failures = 0
    for at in range(1, 8):  # at which change of the plan the holder fails
        played, changes, failed = SimulatedRollout(refuses), 0, False
        played.owner()
        for _ in range(60):
            before = played.record.step
            soon = not failed and changes + 1 == at
            if played.round(point if soon else ""):
                failed = True
                failures += 1
                played.owner()
            changes += played.record.step > before
        for front, number, plan in played.under_way:  # late orders of the failed holder arrive
            played.order(front, number, plan)
        ends, stage = (OLD, RolloutStage.STOPPED) if refuses else (NEW, RolloutStage.DONE)
        assert played.record.stage is stage
        assert set(played.in_force.values()) == {ends}
        assert all(seen in ([], [NEW], [NEW, OLD]) for seen in played.changes.values()), played.changes
    assert failures >= 4  # once at each step that a rollout has
