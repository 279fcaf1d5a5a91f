"""Staged rollouts, without sockets: when a version advances or is rolled back, fencing of orders, and the messages."""

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
from oakcroft.front.rollout_messages import PLAN_DECODER, decode_plan, encode_plan
from oakcroft.interface import SECOND
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.lease_wire import Order, OrderReport, RecordPart, TextChunk, record_from_wire
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.sealing import KeyRing

FRONTS = [f"f{i}" for i in range(10)]
NEW, OLD = "new", "old"


def begun_rollout(watch: int = 10 * SECOND) -> Rollout:
    plan = new_plan(None, NEW, OLD, watch, False, "why")
    assert isinstance(plan, RolloutPlan)
    return Rollout(plan)


def report_as_planned(rollout: Rollout, now: int, fronts: list[str] = FRONTS, **changes: object) -> None:
    """Makes fronts report what the plan demands: the new version in force on its share of the fronts, else the old."""
    updated_count = round(rollout.plan.target_share * len(FRONTS))
    for front in fronts:
        is_included = FRONTS.index(front) < updated_count
        report = FrontReport(rollout.plan.step, True, NEW if is_included else OLD, is_included)
        rollout.receive_report(front, replace(report, **changes), now)  # type: ignore[arg-type]


def test_a_version_is_rolled_out_share_by_share() -> None:
    rollout = begun_rollout()
    now = 0
    seen = []
    while rollout.plan.stage is not RolloutStage.DONE:
        assert rollout.next_plan(FRONTS, now) is None  # no front has reported
        report_as_planned(rollout, now)
        next_plan = rollout.next_plan(FRONTS, now)
        if rollout.plan.stage is RolloutStage.TAKEN:
            assert next_plan is None
            assert rollout.next_plan(FRONTS, now + rollout.plan.watch_time - 1) is None
            now += rollout.plan.watch_time
            report_as_planned(rollout, now)
            next_plan = rollout.next_plan(FRONTS, now)
        assert next_plan is not None
        assert next_plan.step == rollout.plan.step + 1
        seen.append((next_plan.stage, next_plan.target_share))
        rollout.set_recorded_plan(next_plan)
    assert seen == [(RolloutStage.TAKEN, share) for share in ROLLOUT_SHARES] + [(RolloutStage.DONE, 1.0)]
    assert rollout.next_plan(FRONTS, now + 100 * SECOND) is None


@pytest.mark.parametrize("stage", [RolloutStage.HANDED, RolloutStage.TAKEN])
def test_one_refusal_stops_a_rollout(stage: RolloutStage) -> None:
    rollout = begun_rollout()
    if stage is RolloutStage.TAKEN:
        report_as_planned(rollout, 0)
        next_plan = rollout.next_plan(FRONTS, 0)
        assert next_plan is not None
        rollout.set_recorded_plan(next_plan)
    report_as_planned(rollout, 1, ["f3"], refused="no ready holder")
    next_plan = rollout.next_plan(FRONTS, 1)
    assert next_plan is not None
    # In the first stage no front has the version in force; later some may.
    assert next_plan.stage is (RolloutStage.STOPPED if stage is RolloutStage.HANDED else RolloutStage.BACK)
    assert "f3 refused it: no ready holder" in next_plan.end_reason


def activated_rollout(share_index: int = 0) -> Rollout:
    rollout = begun_rollout()
    rollout.set_recorded_plan(
        replace(rollout.plan, stage=RolloutStage.TAKEN, share_index=share_index, step=7)
    )
    return rollout


def test_failures_are_compared_with_fronts_without_the_version() -> None:
    rollout = activated_rollout(1)
    report_as_planned(rollout, 1, FRONTS[:5], answers=100, failures=20)
    report_as_planned(rollout, 1, FRONTS[5:], answers=100, failures=18)
    assert rollout.next_plan(FRONTS, 1) is None  # failures rise on all fronts alike
    report_as_planned(rollout, 2, FRONTS[5:], answers=100, failures=2)
    next_plan = rollout.next_plan(FRONTS, 2)
    assert next_plan is not None
    assert next_plan.stage is RolloutStage.BACK
    assert "20% of 500 answers failed with it, 2% without" in next_plan.end_reason
    low_traffic = activated_rollout()
    report_as_planned(low_traffic, 1, FRONTS[:1], answers=10, failures=10)
    assert low_traffic.next_plan(FRONTS[:1], 1) is None  # too few answers to judge
    # 7 of 60 failures against 3 of 60 is over MIN_FAILURE_INCREASE but within MIN_STANDARD_ERRORS.
    within_chance = activated_rollout()
    report_as_planned(within_chance, 1, FRONTS[:1], answers=60, failures=7)
    report_as_planned(within_chance, 1, FRONTS[1:2], answers=60, failures=3)
    assert within_chance.next_plan(FRONTS[:2], 1) is None


def test_a_front_without_a_catalogue_is_waited_for() -> None:
    rollout = begun_rollout()
    report_as_planned(rollout, 0)
    rollout.receive_report("f4", FrontReport(rollout.plan.step, True, "none", has_no_catalogue=True), 0)
    assert rollout.next_plan(FRONTS, 0) is None
    assert rollout.unconfirmed_fronts(FRONTS, 0) == ["f4"]
    rollout.set_recorded_plan(replace(rollout.plan, stage=RolloutStage.STOPPED, step=2))
    report_as_planned(rollout, 0)
    rollout.receive_report("f4", FrontReport(2, True, "none", has_no_catalogue=True), 0)
    assert rollout.unconfirmed_fronts(FRONTS, 0) == ["f4"]
    assert rollout.unconfirmed_fronts(FRONTS, 11 * SECOND) == FRONTS  # any front may have restarted since


def test_absent_fronts_are_not_waited_for_and_silent_present_ones_roll_back() -> None:
    rollout = activated_rollout()
    report_as_planned(rollout, 1, FRONTS[:9])
    assert rollout.unconfirmed_fronts(FRONTS, 1) == ["f9"]
    assert rollout.next_plan(FRONTS[:9], 1) is None
    assert rollout.complete_since == 1
    report_as_planned(rollout, 5 * SECOND, FRONTS[:9])
    assert rollout.next_plan(FRONTS, 5 * SECOND) is None  # f9 is back and sends no report
    report_as_planned(rollout, 20 * SECOND, FRONTS[:9])
    assert rollout.next_plan(FRONTS, 25 * SECOND) is None
    next_plan = rollout.next_plan(FRONTS, 25 * SECOND + 1)
    assert next_plan is not None
    assert next_plan.stage is RolloutStage.BACK
    assert "f9 did not take it" in next_plan.end_reason


def test_a_rollback_ends_when_no_front_has_the_version() -> None:
    rollout = activated_rollout(1)
    rollback_plan = rollout.roll_back("by hand")
    assert rollback_plan is not None
    rollout.set_recorded_plan(rollback_plan)
    assert rollout.roll_back("again") is None
    report_as_planned(rollout, 2, FRONTS[:9])
    rollout.receive_report("f9", FrontReport(rollback_plan.step, True, NEW), 2)
    assert rollout.next_plan(FRONTS, 2) is None
    rollout.receive_report("f9", FrontReport(rollback_plan.step - 1, True, OLD), 3)  # on the step before
    assert rollout.next_plan(FRONTS, 3) is None
    rollout.receive_report("f9", FrontReport(rollback_plan.step, True, OLD), 3)
    next_plan = rollout.next_plan(FRONTS, 3)
    assert next_plan is not None
    assert next_plan.stage is RolloutStage.STOPPED
    assert next_plan.end_reason == "by hand"


def test_one_rollout_at_a_time_with_growing_numbers() -> None:
    assert new_plan(begun_rollout().plan, "x", OLD, 0, False, "") == "roll-out 1 is under way"
    for stage in FINAL_STAGES:
        next_plan = new_plan(replace(begun_rollout().plan, stage=stage, step=9), "x", NEW, 0, False, "")
        assert isinstance(next_plan, RolloutPlan)
        assert (next_plan.number, next_plan.step, next_plan.stage) == (2, 10, RolloutStage.HANDED)


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
def test_a_fence_admits_no_earlier_order(orders: list[tuple[int, int]]) -> None:
    fence = Fence()
    admitted = list[tuple[int, int]]()
    for token, step in orders:
        if fence.admits("d", token, step):
            fence.record("d", token, step)
            admitted.append((token, step))
    assert admitted == sorted(admitted)
    assert fence.rejected_count == len(orders) - len(admitted)


@given(st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=30), st.text(max_size=8), st.data())
def test_only_the_leases_of_a_removed_front_pass_on(
    names: set[str], lease_name: str, data: st.DataObject
) -> None:
    order = rank_order(lease_name, names)
    removed = data.draw(st.sampled_from(order))
    assert rank_order(lease_name, names - {removed}) == [name for name in order if name != removed]
    assert [rank(lease_name, name, names) for name in order] == list(range(len(order)))


def test_leases_are_spread_over_the_fronts() -> None:
    first_ranked = [rank_order(f"duty-{i}", FRONTS)[0] for i in range(1_000)]
    assert all(60 < first_ranked.count(front) < 140 for front in FRONTS)


# Messages.

KEY = bytes(range(32))
TERM = LeaseTerm(1 << 50, "f1", 99)
NOTE = LeaseNote(7, 2, b"plan")


def codec(fleet: str = "oakcroft", key: bytes = KEY) -> LeaseCodec:
    return LeaseCodec(fleet, KeyRing((key,)))


def unsealed(datagram: bytes) -> bytes:
    message = KeyRing((KEY,)).open(datagram, 0)
    assert message is not None
    return message


def test_messages_survive_encoding_and_decoding() -> None:
    lease_codec = codec()
    request = LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", TERM, 3, 6 * SECOND, NOTE)
    answer = LeaseAnswer(LeaseMessageKind.REFUSED, "catalogue", "f1", 5, 6, 7, 8, TERM, 9, NOTE, (("f2", 3),))
    decoded = lease_codec.decode(unsealed(lease_codec.encode_request("f1", 99, request)))
    assert (decoded.sender, decoded.generation, decoded.message) == ("f1", 99, request)
    assert lease_codec.decode(unsealed(lease_codec.encode_answer("f1", 99, answer))).message == answer
    order = Order("catalogue", 5, 2, b"x" * 900)
    report = OrderReport("catalogue", 5, 2, True, b"y")
    assert lease_codec.decode(unsealed(lease_codec.encode_order("f1", 1, order))).message == order
    assert lease_codec.decode(unsealed(lease_codec.encode_report("f1", 1, report))).message == report
    records = tuple((f"d{i}", LeaseRecord(i + 1, "f1/9", TERM, NOTE)) for i in range(64))
    parts = [
        lease_codec.decode(unsealed(p)).message
        for p in lease_codec.encode_record("f1", 1, AcceptorRecord("f1", 4, True, records))
    ]
    assert len(parts) == 64
    assert (
        tuple(
            (p.lease_record.lease_name, record_from_wire(p.lease_record))
            for p in parts
            if isinstance(p, RecordPart) and p.lease_record
        )
        == records
    )
    assert len(lease_codec.encode_record("f1", 1, AcceptorRecord("f1", 4, False, ()))) == 1


def test_the_largest_messages_fit_a_datagram() -> None:
    name = "n" * 64
    largest_note = LeaseNote((1 << 62) - 1, (1 << 62) - 1, b"x" * MAX_NOTE_OCTETS)
    term = LeaseTerm((1 << 62) - 1, name, (1 << 62) - 1)
    epochs = tuple((f"{i:02}" + "e" * 62, 1 << 60) for i in range(7))
    messages = [
        codec().encode_request(
            name, 1 << 60, LeaseRequest(LeaseMessageKind.PROPOSE, name, term, 1 << 60, 1 << 60, largest_note)
        ),
        codec().encode_answer(
            name,
            1 << 60,
            LeaseAnswer(LeaseMessageKind.REFUSED, name, name, 1, 1, 1, 1, term, 1, largest_note, epochs),
        ),
    ]
    sizes = [len(message) for message in messages]
    assert max(sizes) <= MAX_DATAGRAM_BYTES, sizes


def test_a_plan_fits_its_record_whatever_the_reasons_are() -> None:
    plan = replace(
        begun_rollout().plan,
        digest="d" * 64,
        base_digest="b" * 64,
        change_reason="\u20ac" * 120,
        end_reason="\U0001f600" * 120,
    )
    encoded = encode_plan(plan)
    assert len(encoded) <= MAX_NOTE_OCTETS
    decoded = PLAN_DECODER.decode(encoded).to_plan()
    assert (decoded.digest, decoded.base_digest, decoded.step, decoded.stage) == (
        plan.digest,
        plan.base_digest,
        plan.step,
        plan.stage,
    )
    short_plan = replace(plan, change_reason="why", end_reason="reason")
    assert PLAN_DECODER.decode(encode_plan(short_plan)).to_plan() == short_plan


INVALID_FIELDS: list[dict[str, Any]] = [
    {"digest": "zz"},
    {"base_digest": "A" * 24},
    {"digest": "a" * 25},
    {"share_index": 3},
    {"share_index": -1},
    {"step": 0},
    {"watch_time": -1},
]


@pytest.mark.parametrize("invalid_fields", INVALID_FIELDS)
def test_an_invalid_plan_is_rejected(invalid_fields: dict[str, Any]) -> None:
    valid_plan = replace(begun_rollout().plan, digest="ab" * 12, base_digest="01" * 12)
    assert decode_plan(encode_plan(valid_plan)) == valid_plan
    with pytest.raises(ValueError, match=r"digest|range"):
        decode_plan(encode_plan(replace(valid_plan, **invalid_fields)))
    with pytest.raises(ValueError, match=r"."):
        decode_plan(b"no plan")


def test_texts_are_sent_in_chunks() -> None:
    lease_codec = codec()
    text = Random(1).randbytes(50_000)
    stream = b"".join(lease_codec.encode_text("f1", 1, text))
    chunks = list[TextChunk]()
    while stream:
        end = 2 + int.from_bytes(stream[:2], "big")
        chunks.append(lease_codec.decode_text_chunk(unsealed(stream[2:end])))
        stream = stream[end:]
    assert b"".join(chunk.octets for chunk in chunks) == text
    assert [chunk.more for chunk in chunks] == [True] * (len(chunks) - 1) + [False]
    request = lease_codec.encode_text_request("f1", 1, "abc")
    assert lease_codec.decode_text_request(unsealed(request[2:])) == "abc"
    with pytest.raises(MessageError):
        lease_codec.decode_text_chunk(unsealed(request[2:]))


@given(st.binary(max_size=200))
def test_an_undecodable_message_is_rejected(octets: bytes) -> None:
    with pytest.raises(MessageError):
        codec().decode(bytes((65,)) + octets)


@given(st.integers(0, 2_000), st.integers(0, 255))
def test_a_changed_octet_raises_no_other_error(index: int, value: int) -> None:
    octets = bytearray(
        unsealed(
            codec().encode_request(
                "f1", 99, LeaseRequest(LeaseMessageKind.PROPOSE, "catalogue", TERM, 3, 6 * SECOND, NOTE)
            )
        )
    )
    octets[index % len(octets)] = value
    with suppress(MessageError):
        codec().decode(bytes(octets))
    of_other_fleet = codec("other").encode_request(
        "f1", 99, LeaseRequest(LeaseMessageKind.PREPARE, "d", TERM)
    )
    with pytest.raises(MessageError):
        codec().decode(unsealed(of_other_fleet))


# A holder that fails in the middle of each step.


class SimulatedRollout:
    """Ten fronts with their fences, the plan on record, and lease holders that fail at a chosen point."""

    def __init__(self, refusing_front: str = "") -> None:
        self.recorded_plan = begun_rollout(0).plan
        self.fences = {front: Fence() for front in FRONTS}
        self.in_force = dict.fromkeys(FRONTS, OLD)
        self.has_text = dict.fromkeys(FRONTS, False)
        self.changes: dict[str, list[str]] = {front: [] for front in FRONTS}
        self.delayed_orders: list[tuple[str, int, RolloutPlan]] = []
        self.refusing_front = refusing_front
        self.token = 0
        self.now = 0
        self.rollout = Rollout(self.recorded_plan)

    def start_holder(self) -> None:
        """Starts the next holder, which continues from the recorded plan."""
        self.token += 1
        self.rollout = Rollout(self.recorded_plan)

    def deliver_order(self, front: str, token: int, plan: RolloutPlan) -> None:
        """Makes a front carry out an order that its fence admits, and report to the holder that sent it."""
        if not self.fences[front].admits("d", token, plan.step):
            return
        self.fences[front].record("d", token, plan.step)
        is_included = FRONTS.index(front) < round(plan.target_share * len(FRONTS))
        earlier = self.in_force[front]
        refused = ""
        if plan.stage is RolloutStage.HANDED:
            self.has_text[front] = True
        elif plan.stage in (RolloutStage.BACK, RolloutStage.STOPPED):
            self.in_force[front] = OLD
        elif is_included:
            refused = "broken" if front == self.refusing_front else ""
            self.in_force[front] = self.in_force[front] if refused else NEW
        if self.in_force[front] != earlier:
            self.changes[front].append(self.in_force[front])
        if token == self.token:
            report = FrontReport(plan.step, self.has_text[front], self.in_force[front], is_included, refused)
            self.rollout.receive_report(front, report, self.now)

    def run_round(self, fails_at: str = "") -> bool:
        """Runs one round of the holder; returns True where it failed at the point `fails_at`."""
        self.now += SECOND
        next_plan = self.rollout.next_plan(FRONTS, self.now)
        if next_plan is not None:
            if fails_at == "before the record":
                return True
            self.recorded_plan = next_plan
            if fails_at == "after the record":
                return True
            self.rollout.set_recorded_plan(next_plan)
        for i, front in enumerate(FRONTS):
            if fails_at == "between orders" and next_plan is not None and i >= 5:
                self.delayed_orders.append((front, self.token, self.rollout.plan))
            else:
                self.deliver_order(front, self.token, self.rollout.plan)
        return fails_at == "between orders" and next_plan is not None


@pytest.mark.parametrize("refusing_front", ["", "f4"])
@pytest.mark.parametrize("point", ["before the record", "after the record", "between orders"])
def test_a_holder_fails_in_the_middle_of_each_step(point: str, refusing_front: str) -> None:
    failure_count = 0
    for failing_change in range(1, 8):  # at which change of the plan the holder fails
        simulation = SimulatedRollout(refusing_front)
        change_count = 0
        has_failed = False
        simulation.start_holder()
        for _ in range(60):
            step_before = simulation.recorded_plan.step
            fails_now = not has_failed and change_count + 1 == failing_change
            if simulation.run_round(point if fails_now else ""):
                has_failed = True
                failure_count += 1
                simulation.start_holder()
            change_count += simulation.recorded_plan.step > step_before
        for front, token, plan in simulation.delayed_orders:  # late orders of the failed holder arrive
            simulation.deliver_order(front, token, plan)
        final_version, final_stage = (
            (OLD, RolloutStage.STOPPED) if refusing_front else (NEW, RolloutStage.DONE)
        )
        assert simulation.recorded_plan.stage is final_stage
        assert set(simulation.in_force.values()) == {final_version}
        assert all(versions in ([], [NEW], [NEW, OLD]) for versions in simulation.changes.values()), (
            simulation.changes
        )
    assert failure_count >= 4  # once at each step that a rollout has
