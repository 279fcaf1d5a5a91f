"""Front ends with a state file that are killed, or whose disk fails, and that lose no promise, key or seat."""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random

import apsw
import pytest
import trio
from rig import run_async_test, running_front_end, start_front_end, wait_until, wait_until_recovered
from state_rig import (
    KillRounds,
    check_rules_2_and_5,
    durable_state_of,
    key_header,
    make_disk,
    make_promise,
    problem_name,
    restart_front_end,
    wait_until_state_file_is_healthy,
)

from oakcroft.decisions.state.recovery import proof_possible_at
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.viewers import offer
from oakcroft.store.file import PutPromise, StateFile
from oakcroft.store.schema import SCHEMA_VERSION

OK = 200
CREATED = 201
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MIN_ANSWERED_BEFORE_KILL = 10
SIGNIFICANT_FAILURE_SCORE = 0.1


def test_a_restarted_front_end_resumes_its_playbacks(tmp_path: Path) -> None:
    """Guards against playbacks, keys and seats that are lost when a front end is killed."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            paid = await rig.request_playback("/whep/course/a", **key_header("k1"))
            free = await rig.request_playback("/whep/open/b", **key_header("k2"))
            seat = await rig.request_playback("/whep/seats/c", **key_header("k3"))
            assert [paid.status, free.status, seat.status] == [CREATED, CREATED, CREATED]
            await wait_until(lambda: not durable_state_of(rig).store.queue)
            await restart_front_end(rig, nursery)
            same = await rig.request_playback("/whep/course/a", **key_header("k1"))
            assert (same.status, same.header("location"), same.body) == (
                CREATED,
                paid.header("location"),
                paid.body,
            )
            assert (await rig.request_playback("/whep/open/b", **key_header("k2"))).header(
                "location"
            ) == free.header("location")
            assert (await rig.request_playback("/whep/seats/c", **key_header("k4"))).status == CREATED
            # Two seats, both taken.
            assert (await rig.request_playback("/whep/seats/c", **key_header("k5"))).status == UNAVAILABLE
            assert Counter(f["plan"] for f in rig.recorded("setup")) == {"course": 1, "open": 1, "seats": 2}
            assert (await rig.request("DELETE", free.header("location") or "")).status == OK
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
                assert (await rig.request_playback("/whep/course/a", **key_header(f"k{n}"))).status == CREATED
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            for node in rig.fleet.nodes.values():
                for session in list(node.sessions):
                    node.end_session(session, "lease")
            await start_front_end(nursery, rig, with_state=True)
            await wait_until(lambda: not rig.coordinator().sessions_by_id)
            assert all(
                node.failure_score.value < SIGNIFICANT_FAILURE_SCORE
                for node in rig.coordinator().node_list.nodes.values()
            )
            assert (await rig.request_playback("/whep/course/a", **key_header("new"))).status == CREATED
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
            assert (response.status, problem_name(response)) == (GATEWAY_TIMEOUT, "aborted")
            await wait_until(lambda: len(rig.recorded("over")) == 1)  # no viewer can use it, so it is ended
            await restart_front_end(rig, nursery)
            assert (
                await rig.request_playback("/whep/course/a", **key_header("k1"))
            ).status == GATEWAY_TIMEOUT
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
            # A process that is younger than the set-ups proves nothing of them.
            rig.node("n1").process_started_at = trio.current_time()
            await start_front_end(nursery, rig, with_state=True)
            assert (
                await rig.request_playback("/whep/course/t", **key_header("key-z"))
            ).status == GATEWAY_TIMEOUT
            response = [(await rig.request_playback("/whep/seats/s")).status for _ in range(2)]
            assert response == [CREATED, UNAVAILABLE]  # the intent holds the other seat
            rig.node("n1").process_started_at -= 60
            node_client = rig.coordinator().node_clients["n1"]
            await wait_until(lambda: node_client.stream_health.process)
            await wait_until(lambda: rig.coordinator().clock.now() >= proof_possible_at(lost))
            node_client.reopen_stream()
            await wait_until(lambda: any(e.get("verdict") == "never_ran" for e in rig.log_entries()))
            await wait_until(lambda: not durable_state_of(rig).uncertain)
            assert (await rig.request_playback("/whep/course/t", **key_header("key-x"))).status == CREATED
            # Its viewer got this answer before.
            assert (
                await rig.request_playback("/whep/course/t", **key_header("key-z"))
            ).status == GATEWAY_TIMEOUT
            assert (await rig.request_playback("/whep/seats/s")).status == CREATED
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_front_end_that_lost_its_state_learns_the_keys_from_its_nodes(tmp_path: Path) -> None:
    """Guards against a second set-up by a front end whose state file is gone: its nodes report the keys that ran."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == CREATED
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            for part in tmp_path.glob("state*"):
                part.unlink()
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            assert (
                await rig.request_playback("/whep/course/a", **key_header("k1"))
            ).status == GATEWAY_TIMEOUT
            assert (await rig.request_playback("/whep/course/a", **key_header("k2"))).status == CREATED
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
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == CREATED
            disk.fail(kind, 0, lasting=True, only=only)
            before = len(rig.recorded("setup"))
            response = [await rig.request_playback("/whep/course/a", **key_header(f"f{n}")) for n in range(3)]
            assert {answer.status for answer in response} == {UNAVAILABLE}
            assert all(answer.header("retry-after") for answer in response[1:])
            assert len(rig.recorded("setup")) == before  # none of them was sent
            assert (await rig.request_playback("/whep/open/a", **key_header("k3"))).status == CREATED
            # The earlier answer still holds.
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == CREATED
            disk.repair()
            await wait_until_state_file_is_healthy(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k4"))).status == CREATED
            disk = disk.cut_power(Random(1))
            await restart_front_end(rig, nursery, open_state_file)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == CREATED
            assert (await rig.request_playback("/whep/course/a", **key_header("k4"))).status == CREATED
            assert {f["key"] for f in rig.recorded("ran") if f["plan"] == "course"} == {"k1", "k4"}
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_kill_at_any_commit_gives_no_key_two_answers_or_two_runs(tmp_path: Path) -> None:
    """Guards against two answers for one key, or two runs, when the front end is killed at any commit."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            rounds = KillRounds(rig, nursery)
            await restart_front_end(rig, nursery, rounds.open_state_file)
            await wait_until_recovered(rig)
            for kill_point in range(0, 112, 2):
                requested = [(f"/whep/course/c{kill_point}", f"c{kill_point}.{n}") for n in range(2)]
                requested += [(f"/whep/seats/s{kill_point}", f"s{kill_point}.{n}") for n in range(3)]
                await rounds.request_until_killed(requested, kill_point)
                await rounds.restart()
                for path, key in requested:
                    await rounds.request(path, key)
                await rounds.end_playbacks([key for _, key in requested])
            rounds.check_answers(MIN_ANSWERED_BEFORE_KILL)
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


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
                free = responses[f"o{failing_call}"]
                assert free.status == CREATED, (free, rig.log_entries()[-30:])  # a free plan is not affected
                for path, name in requested[:2]:
                    first, second = responses[name], await rig.request_playback(path, **key_header(name))
                    assert second.status in (
                        {first.status}
                        if first.status in (CREATED, GATEWAY_TIMEOUT)
                        else {CREATED, UNAVAILABLE, GATEWAY_TIMEOUT}
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
            assert (refused.status, problem_name(refused)) == (UNAVAILABLE, "no-record")
            assert (await rig.request_playback("/whep/open/a")).status == CREATED
            assert Path(path).read_bytes() == before
            db = apsw.Connection(path)
            db.pragma("user_version", SCHEMA_VERSION)
            db.close()
            await wait_until_state_file_is_healthy(rig)
            await wait_until_recovered(rig)
            same = await rig.request_playback("/whep/course/a", **key_header("k1"))
            assert (same.status, same.header("location")) == (CREATED, paid.header("location"))
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_truncated_file_costs_no_key_its_answer(tmp_path: Path) -> None:
    """Guards against a second run of a key after its state file was damaged: the node knows that it ran."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback("/whep/course/a", **key_header("k1"))).status == CREATED
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            path = tmp_path / "state"
            body = bytearray(path.read_bytes())
            path.write_bytes(body[: len(body) // 2])  # truncated to half
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            # The node knows that it ran.
            assert (
                await rig.request_playback("/whep/course/a", **key_header("k1"))
            ).status == GATEWAY_TIMEOUT
            assert (await rig.request_playback("/whep/course/a", **key_header("k2"))).status == CREATED
            assert list(tmp_path.glob("state.damaged-1"))
            assert Counter(f["key"] for f in rig.recorded("ran"))["k1"] == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)
