"""Crowds of set-ups: whose turn it is, what comes first, and what is answered in time."""

from __future__ import annotations

import time
from functools import partial
from typing import Any

import pytest
from platform_gates import gate_coordinator
from platform_rig import REJECTED, A, PlatformRig, run_on_platform
from platform_stubs import StubViewer
from rig import wait_until

from oakcroft.decisions.admission.open_setups import MIN_PLACES, may_open
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.interface import SECOND, Outcome, Playback
from oakcroft.platform import request_queue
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platformwire import framing

CROWD = 60
WAIT_S = 1.0
PROTOCOL_SLACK_S = 0.05
"""By which a time limit is longer on sockets."""


def crowd_id(number: int) -> str:
    """A session id of the crowd."""
    return f"{0xC0000 + number:016x}"


async def send_crowd(viewers: list[StubViewer], count: int) -> None:
    """Sends set-ups for ever new titles, on several connections in turn."""
    for number in range(count):
        await viewers[number % len(viewers)].send_setup(crowd_id(number), title=f"unknown-{number}")


def record_turns(coordinator: SessionCoordinator) -> list[str]:
    """Returns a list to which the id of each request is added when it has its turn."""
    turns = list[str]()
    process = coordinator.request_queue.process

    def record(request: Any) -> None:
        turns.append(request.session_id)
        process(request)

    coordinator.request_queue.process = record
    return turns


@pytest.mark.parametrize("connections", [1, 8])
def test_a_crowd_takes_no_turns_of_another_client(connections: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against set-ups that wait behind all those of bad clients, for longer than their viewers do (review/8)."""
    gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        crowd, viewer = [await rig.viewer() for _ in range(connections)], await rig.viewer()
        turns = record_turns(rig.coordinator)
        gate.close()
        await send_crowd(crowd, CROWD)
        await wait_until(lambda: len(rig.coordinator.request_queue.requests) == CROWD)
        await viewer.send_setup(A)
        await wait_until(lambda: A in rig.coordinator.request_queue.requests)
        gate.open()
        await viewer.receive()
        assert turns.index(A) <= connections

    run_on_platform(test)


def test_what_has_arrived_comes_before_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers of nodes and due timers that wait behind the requests of a crowd (review/8)."""
    gate = gate_coordinator(monkeypatch)

    async def test(rig: PlatformRig) -> None:
        crowd = await rig.viewer()
        turns = record_turns(rig.coordinator)
        gate.close()
        await send_crowd([crowd], CROWD)
        await wait_until(lambda: len(rig.coordinator.request_queue.requests) == CROWD)
        await rig.coordinator.submit(partial(turns.append, "event"))
        gate.open()
        await wait_until(lambda: len(turns) == CROWD + 1)
        assert turns.index("event") <= 1

    run_on_platform(test)


def test_a_set_up_that_gets_no_turn_is_rejected_in_time() -> None:
    """Guards against requests that are processed, and answered, after their viewers have given up (review/8)."""
    turn_s = 0.02

    async def test(rig: PlatformRig) -> None:
        crowd = await rig.viewer()
        process = rig.coordinator.request_queue.process
        late = list[str]()

        def process_slowly(request: Any) -> None:
            time.sleep(turn_s)
            if rig.coordinator.clock.now() > request.written_at + WAIT_S * SECOND:
                late.append(request.session_id)
            process(request)

        rig.coordinator.request_queue.process = process_slowly
        await wait_until(lambda: rig.coordinator.viewer_connections)
        connection = next(iter(rig.coordinator.viewer_connections))
        write, written_at = connection.write, list[float]()

        def record_write(data: bytes) -> bool:
            written_at.append(time.monotonic())
            return write(data)

        connection.write = record_write  # type: ignore[method-assign]
        sent_at = time.monotonic()
        for number in range(CROWD):
            crowd.send_setup_now(crowd_id(number), title=f"unknown-{number}")
        answers = list[int]()
        for _ in range(CROWD):
            reply = await crowd.receive()
            assert reply is not None
            answers.append(reply[2] if reply[0] == framing.RELEASE else framing.ANSWER)
        assert len(written_at) == CROWD
        assert max(written_at) < sent_at + WAIT_S + PROTOCOL_SLACK_S
        assert not late
        assert REJECTED in answers
        assert rig.coordinator.counts["turned_away:_no_turn_in_time"]

    run_on_platform(test)


def test_an_answer_of_a_node_after_the_viewer_has_given_up_is_not_passed_on() -> None:
    """Guards against a viewer that is told after its time that it plays, as timers wait behind answers (review/8)."""

    async def test(rig: PlatformRig) -> None:
        for node in rig.nodes:
            node.script = ["silent"]
        viewer = await rig.viewer()
        await viewer.send_setup(A, "paid")

        def session_is_open() -> bool:
            session = rig.coordinator.sessions.get(A)
            return session is not None and session.node_connection is not None

        await wait_until(session_is_open)
        session, ended = rig.coordinator.sessions[A], list[Outcome]()
        pool, now = session.pool, session.playback.abandon_at + 1
        on_try_ended = rig.coordinator.controller.on_try_ended

        def record(playback: Playback, outcome: Outcome, *others: Any) -> None:
            ended.append(outcome)
            on_try_ended(playback, outcome, *others)

        rig.coordinator.controller.on_try_ended = record  # type: ignore[method-assign, assignment]
        rig.coordinator._handle_event(
            partial(rig.coordinator._setup_answered, session, pool, session.node_connection, "answer", now)  # type: ignore[arg-type]
        )
        reply = await viewer.receive()
        assert reply is not None
        assert reply[0] == framing.RELEASE
        assert ended == [Outcome.LATE]

    run_on_platform(test)


def test_a_full_queue_has_room_for_others_than_the_crowd(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a crowd that fills the queue, so that all others are rejected at once."""
    gate = gate_coordinator(monkeypatch)
    monkeypatch.setattr(request_queue, "MAX_QUEUED_REQUESTS", CROWD)

    async def test(rig: PlatformRig) -> None:
        crowd, viewer = await rig.viewer(), await rig.viewer()
        queue = rig.coordinator.request_queue
        gate.close()
        await send_crowd([crowd], CROWD + 1)
        reply = await crowd.receive()
        assert reply is not None
        assert reply[:2] == (framing.RELEASE, crowd_id(CROWD))
        await viewer.send_setup(A)
        await wait_until(lambda: A in queue.requests)
        reply = await crowd.receive()
        assert reply is not None
        assert reply[:2] == (framing.RELEASE, crowd_id(CROWD - 1))
        gate.open()
        reply = await viewer.receive()
        assert reply is not None
        assert reply[0] == framing.ANSWER

    run_on_platform(test)


def test_titles_that_nobody_knows_push_out_none_that_have_played() -> None:
    """Guards against the orders of usual titles computed again for each set-up, as a flood pushes them out (review/8)."""
    size, usual_count = 64, 20
    cache = TitleCache(size, 40, 0, {})
    usual = [cache.get(f"usual-{number}", 0) for number in range(usual_count)]
    for title in usual:
        assert title is not None
        title.has_played = True
    seat = object()
    for number in range(10 * size):
        unknown = cache.get(f"unknown-{number}", 0)
        if unknown is not None:
            unknown.seats_taken[seat] = 1  # type: ignore[index]
    assert [cache.titles.get(f"usual-{number}") for number in range(usual_count)] == usual
    assert len(cache.titles) == size


def test_one_connection_leaves_places_for_open_set_ups_to_others() -> None:
    """Guards against a client whose open set-ups use up the places of all."""
    assert may_open(400, 500, 1_024, 8)
    assert not may_open(128, 512, 1_024, 8)
    assert may_open(127, 1_023, 1_024, 8)
    assert may_open(1, 1_000, 1_024, 500)
    assert not may_open(2, 1_000, 1_024, 500)
    assert may_open(MIN_PLACES - 1, 1_000, 1_024, 2_000)
    assert not may_open(MIN_PLACES, 1_000, 1_024, 2_000)
    assert not may_open(0, 1_024, 1_024, 8)
