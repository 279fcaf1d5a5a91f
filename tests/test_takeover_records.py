"""Records of sessions that are taken over, in the state file of a front end that is killed around the hand-over.

One front end with a state file on the disk stand-in takes over what a failed front end has left on a node. The disk
loses power within the hand-over, so that nothing depends on how fast commits are.
"""

from __future__ import annotations

import hashlib
from functools import partial
from pathlib import Path
from random import Random

import pytest
import trio
from rig import Rig, run_async_test, running_front_end, start_front_end, wait_until, wait_until_recovered
from state_rig import (
    durable_state_of,
    key_header,
    make_disk,
    make_promise,
    problem_name,
    restart_front_end,
    wait_until_state_file_is_healthy,
)
from test_membership import SECRET, update

from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.state.promise import PromiseState, Promise, after_failed_takeover
from oakcroft.front.node_client import FrontIdentity, NodeClient
from oakcroft.front.session_takeover import TakeoverRunner
from oakcroft.httpwire.client import HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND, Effect
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp, takeover_messages
from oakcroft.standins.playout import PlayoutNode
from oakcroft.store.file import NamedValue, PutPromise, StateFile
from oakcroft.store.writer import StateWriter

FRONT_NAME = "f0"
FAILED_FRONT_NAME = "f9"
FAILED_PSEUDONYM = "failed-front"
PATH = "/whep/course/t"
LEASE_NS = 30 * SECOND
CREATED = 201
GATEWAY_TIMEOUT = 504


class PowerCut:
    """A disk with a state file, whose power can be cut."""

    def __init__(self) -> None:
        """An empty disk."""
        self.disk = make_disk()

    def open(self, _path: str) -> StateFile:
        """Opens the state file."""
        return StateFile("state", vfs=self.disk.name)

    def cut(self) -> None:
        """Cuts the power: programs that run write nowhere any more, the next ones find what was synced."""
        self.disk = self.disk.cut_power(Random(1))

    def synced_promises(self) -> list[Promise]:
        """The promises that a power cut now would leave."""
        file = StateFile("state", vfs=self.disk.cut_power(Random(1)).name)
        try:
            return file.read().promises
        finally:
            file.close()


def holder_node(rig: Rig) -> PlayoutNode:
    """The node on which the failed front end has its sessions."""
    return rig.node("n1")


def session_id(key: str) -> str:
    """The id that the failed front end gave to the session of a key."""
    return f"session-{key}"


def fingerprint() -> str:
    """The digest of each request."""
    return hashlib.blake2b(f"{PATH}\0{offer(20_000, 1)}".encode(), digest_size=16).hexdigest()


async def set_up_as_failed_front(rig: Rig, key: str) -> Response:
    """Sets a paid session up on a node as the front end that is going to fail, which the node lost long ago."""
    now = rig.fleet.clock.now()
    context = takeover_messages.SessionContext(
        session_id(key), fingerprint(), PATH, "t", "course", "v0000001", "", 2, now, now + SECOND, False
    )
    headers = [
        ("Via", f"1.1 {FAILED_PSEUDONYM}"),
        (takeover_messages.FRONT_HEADER, takeover_messages.format_front(FAILED_FRONT_NAME, 1)),
        (takeover_messages.LEASE_HEADER, str(LEASE_NS // SECOND)),
        (takeover_messages.CONTEXT_HEADER, takeover_messages.encode_context(context)),
        ("Content-Type", sdp.MEDIA_TYPE),
        ("Idempotency-Key", http_formats.quoted_string(key)),
    ]
    node = holder_node(rig)
    peer = HttpClient("127.0.0.1", node.port)
    response = await peer.request("POST", f"{PATH}?encodingId=0", headers, offer(20_000, 1).encode())
    await peer.close()
    assert response.status == CREATED
    node.subscription_of(FAILED_PSEUDONYM).disconnected_at -= 5
    return response


def start_takeover(rig: Rig) -> TakeoverRunner:
    """Lets the running front end take over the sessions of the failed one."""
    coordinator = rig.coordinator()
    coordinator.identity = FrontIdentity(FRONT_NAME, lambda: 1, LEASE_NS)
    for node_client in coordinator.node_clients.values():
        node_client.identity = coordinator.identity
    runner = TakeoverRunner(
        coordinator,
        Membership(update(FRONT_NAME), SECRET, Random(1), 0),
        TakeoverBounds(0, LEASE_NS, 100),
        lambda _: None,
        lambda: True,
        coordinator.logger,
    )
    runner.takeover.update_fronts([FAILED_FRONT_NAME], [FRONT_NAME], coordinator.clock.now())
    coordinator.nursery.start_soon(runner.run)
    return runner


def stop_takeover(rig: Rig, runner: TakeoverRunner) -> None:
    """Tells the takeover that the failed front end is back, so that it asks no node again."""
    runner.takeover.update_fronts([], [FRONT_NAME], rig.coordinator().clock.now())


def run_count(rig: Rig, key: str) -> int:
    """How often nodes have run the set-up of a key."""
    return len([fact for fact in rig.recorded("ran") if fact["key"] == key])


def is_held_here(rig: Rig) -> bool:
    """Whether all sessions of the node belong to the running front end."""
    pseudonym = rig.coordinator().pseudonym
    return all(session.front == pseudonym for session in holder_node(rig).sessions.values())


def test_a_front_killed_right_after_the_hand_over_knows_the_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second set-up of a paid key by a front end that dies right after it took the session over."""

    async def test() -> None:
        power = PowerCut()
        take_over = NodeClient.take_over
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:

            async def take_over_and_die(node_client: NodeClient, resources: list[str]) -> set[str] | None:
                granted = await take_over(node_client, resources)
                power.cut()
                rig.front_end_scope.cancel()
                return granted

            await restart_front_end(rig, nursery, power.open)
            await wait_until_recovered(rig)
            played = await set_up_as_failed_front(rig, "k1")
            with monkeypatch.context() as patches:
                patches.setattr(NodeClient, "take_over", take_over_and_die)
                start_takeover(rig)
                await rig.exited.wait()
            await start_front_end(nursery, rig, with_state=True, open_state_file=power.open)
            assert is_held_here(rig)
            repeated = await rig.request_playback(PATH, **key_header("k1"))
            assert run_count(rig, "k1") == 1
            assert (repeated.status, repeated.body) == (CREATED, played.body)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_front_killed_right_before_the_hand_over_takes_the_session_over_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A record without a hand-over is released after a restart, and the session may be taken over again."""

    async def test() -> None:
        power = PowerCut()
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:

            async def die(_node_client: NodeClient, _resources: list[str]) -> set[str] | None:
                power.cut()
                rig.front_end_scope.cancel()
                return None

            await restart_front_end(rig, nursery, power.open)
            await wait_until_recovered(rig)
            played = await set_up_as_failed_front(rig, "k1")
            with monkeypatch.context() as patches:
                patches.setattr(NodeClient, "take_over", die)
                start_takeover(rig)
                await rig.exited.wait()
            await start_front_end(nursery, rig, with_state=True, open_state_file=power.open)
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert not is_held_here(rig)
            start_takeover(rig)
            await wait_until(lambda: is_held_here(rig))
            await wait_until(lambda: rig.coordinator().sessions_by_id)
            repeated = await rig.request_playback(PATH, **key_header("k1"))
            assert run_count(rig, "k1") == 1
            assert (repeated.status, repeated.body) == (CREATED, played.body)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_all_sessions_of_an_answer_are_recorded_at_once_and_refused_ones_withdrawn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Records are synced before the node is asked; if it refuses, they are withdrawn and bind no key."""
    keys = {"k1", "k2"}

    async def test() -> None:
        power, take_over, write_durably = PowerCut(), NodeClient.take_over, StateWriter.write_durably
        writes = list[object]()
        all_begun, refused = trio.Event(), trio.Event()
        asked_with = list[Promise]()
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:

            async def write_together(writer: StateWriter, change: object) -> bool:
                writes.append(change)
                if len(writes) == len(keys):
                    all_begun.set()
                with trio.fail_after(5):  # one after the other, they would wait for each other for ever
                    await all_begun.wait()
                assert isinstance(change, PutPromise)
                return await write_durably(writer, change)

            async def take_nothing(node_client: NodeClient, _resources: list[str]) -> set[str] | None:
                asked_with.extend(power.synced_promises())
                stop_takeover(rig, runner)
                granted = await take_over(node_client, [])
                refused.set()
                return granted

            await restart_front_end(rig, nursery, power.open)
            await wait_until_recovered(rig)
            for key in sorted(keys):
                await set_up_as_failed_front(rig, key)
            with monkeypatch.context() as patches:
                patches.setattr(NodeClient, "take_over", take_nothing)
                patches.setattr(StateWriter, "write_durably", write_together)
                runner = start_takeover(rig)
                await refused.wait()
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert {(p.key, p.mark, p.node) for p in asked_with} == {
                (key, PromiseState.PLAYS, "n1") for key in keys
            }
            assert {p.resource for p in asked_with} == {f"/sessions/{s}" for s in holder_node(rig).sessions}
            assert all(p.answer and p.layer and p.events and p.tag for p in asked_with)
            durable_state = durable_state_of(rig)
            await wait_until(lambda: not durable_state.promises)
            assert await durable_state.store.write_durably(NamedValue("flushed", b"1"))
            assert power.synced_promises() == []
            assert not any(rig.coordinator().idempotency_store.has_replay(key) for key in keys)
            assert not is_held_here(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_session_that_ends_during_its_takeover_leaves_its_key_aborted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A paid session that was handed over and has ended here meanwhile is not set up a second time."""

    async def test() -> None:
        power, take_over, taken = PowerCut(), NodeClient.take_over, trio.Event()
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:

            async def end_meanwhile(node_client: NodeClient, resources: list[str]) -> set[str] | None:
                granted = await take_over(node_client, resources)
                coordinator = rig.coordinator()
                (session,) = runner.taken_over_sessions.values()
                await coordinator.submit(partial(coordinator.end_session, session))
                taken.set()
                return granted

            await restart_front_end(rig, nursery, power.open)
            await wait_until_recovered(rig)
            await set_up_as_failed_front(rig, "k1")
            with monkeypatch.context() as patches:
                patches.setattr(NodeClient, "take_over", end_meanwhile)
                runner = start_takeover(rig)
                await taken.wait()
                promises = durable_state_of(rig).promises
                await wait_until(lambda: [p.mark for p in promises.values()] == [PromiseState.ABORTED])
            repeated = await rig.request_playback(PATH, **key_header("k1"))
            assert (repeated.status, problem_name(repeated)) == (GATEWAY_TIMEOUT, "aborted")
            await restart_front_end(rig, nursery, power.open)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == GATEWAY_TIMEOUT
            assert run_count(rig, "k1") == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_while_the_disk_fails_a_session_is_taken_over_and_recorded_later(tmp_path: Path) -> None:
    """A session whose record cannot be written is taken over all the same, and recorded once the disk works."""

    async def test() -> None:
        power = PowerCut()
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            await restart_front_end(rig, nursery, power.open)
            await wait_until_recovered(rig)
            played = await set_up_as_failed_front(rig, "k1")
            power.disk.fail("full", 0, lasting=True)
            start_takeover(rig)
            await wait_until(lambda: rig.coordinator().sessions_by_id)
            assert is_held_here(rig)
            assert any(entry["event"] == "answer not on record" for entry in rig.log_entries())
            power.disk.repair()
            await wait_until_state_file_is_healthy(rig)
            assert [p.key for p in power.synced_promises()] == ["k1"]
            power.cut()
            await restart_front_end(rig, nursery, power.open)
            repeated = await rig.request_playback(PATH, **key_header("k1"))
            assert (repeated.status, repeated.body) == (CREATED, played.body)
            assert run_count(rig, "k1") == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_session_that_comes_back_to_a_front_leaves_its_key_aborted(tmp_path: Path) -> None:
    """A front end that takes over a session with a recorded abort serves it on, and its key stays aborted."""

    async def test() -> None:
        power = PowerCut()
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            now = rig.fleet.clock.now()
            aborted = make_promise(
                session_id("k1"), PromiseState.ABORTED, key="k1", changed=now, about=fingerprint()
            )
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            file = power.open("state")
            file.commit([PutPromise(aborted)])
            file.close()
            await start_front_end(nursery, rig, with_state=True, open_state_file=power.open)
            await wait_until_recovered(rig)
            await set_up_as_failed_front(rig, "k1")
            start_takeover(rig)
            await wait_until(lambda: rig.coordinator().sessions_by_id)
            assert is_held_here(rig)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == GATEWAY_TIMEOUT
            assert [p.mark for p in durable_state_of(rig).promises.values()] == [PromiseState.ABORTED]
            assert run_count(rig, "k1") == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


@pytest.mark.parametrize(
    ("effect", "was_refused", "mark"),
    [
        (Effect.PAID, True, PromiseState.GONE),
        (Effect.PAID, False, PromiseState.ABORTED),
        (Effect.KEYED, False, PromiseState.ABORTED),
        (Effect.FREE, False, PromiseState.GONE),
    ],
)
def test_what_a_failed_takeover_leaves_of_a_promise(
    effect: Effect, was_refused: bool, mark: PromiseState
) -> None:
    """Only a session that must not repeat, and that the node may have handed over, leaves an abort."""
    promise = make_promise("a", PromiseState.PLAYS, effect=effect, answer="v=0")
    updated = after_failed_takeover(promise, was_refused, 9)
    assert (updated.mark, updated.answer, updated.changed) == (mark, "", 9)
