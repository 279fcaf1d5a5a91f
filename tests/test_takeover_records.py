"""Records of sessions that are taken over, in the state file of the front end that takes them over.

One front end with a state file on the disk stand-in takes over what a failed front end has left on a node.
"""

from __future__ import annotations

import hashlib
from pathlib import Path
from random import Random

import trio
from rig import Rig, run_async_test, running_front_end, start_front_end, wait_until, wait_until_recovered
from test_state import key_header, make_disk, make_promise
from test_view import SECRET, update

from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.state.promise import PromiseState
from oakcroft.front.durable_state import FrontEndState
from oakcroft.front.node_client import FrontIdentity
from oakcroft.front.session_takeover import TakeoverRunner
from oakcroft.httpwire.client import Peer
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import handing, sdp, words
from oakcroft.standins.playout import PlayoutNode
from oakcroft.store.file import PutPromise, StateFile

FRONT_NAME = "f0"
FAILED_FRONT_NAME = "f9"
FAILED_PSEUDONYM = "failed-front"
PATH = "/whep/course/t"
LEASE_NS = 30 * SECOND
CREATED = 201
GATEWAY_TIMEOUT = 504


class StateDisk:
    """A disk with a state file."""

    def __init__(self) -> None:
        """An empty disk."""
        self.disk = make_disk()

    def open(self, _path: str) -> StateFile:
        """Opens the state file."""
        return StateFile("state", vfs=self.disk.name)


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
    memo = handing.Memo(
        session_id(key), fingerprint(), PATH, "t", "course", "v0000001", "", 2, now, now + SECOND, False
    )
    headers = [
        ("Via", f"1.1 {FAILED_PSEUDONYM}"),
        (handing.FRONT, handing.front(FAILED_FRONT_NAME, 1)),
        (handing.LEASE, str(LEASE_NS // SECOND)),
        (handing.MEMO, handing.memo(memo)),
        ("Content-Type", sdp.MEDIA_TYPE),
        ("Idempotency-Key", words.quoted(key)),
    ]
    node = holder_node(rig)
    peer = Peer("127.0.0.1", node.port)
    response = await peer.ask("POST", f"{PATH}?encodingId=0", headers, offer(20_000, 1).encode())
    await peer.close()
    assert response.status == CREATED
    node.ear_of(FAILED_PSEUDONYM).away_since -= 5
    return response


def start_takeover(rig: Rig) -> None:
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


def durable_state_of(rig: Rig) -> FrontEndState:
    """The durable state of the running front end."""
    durable_state = rig.coordinator().durable_state
    assert durable_state is not None
    return durable_state


def run_count(rig: Rig, key: str) -> int:
    """How often nodes have run the set-up of a key."""
    return len([fact for fact in rig.recorded("ran") if fact["key"] == key])


def is_held_here(rig: Rig) -> bool:
    """Whether all sessions of the node belong to the running front end."""
    pseudonym = rig.coordinator().pseudonym
    return all(session.front == pseudonym for session in holder_node(rig).sessions.values())


def test_a_session_that_comes_back_to_a_front_leaves_its_key_aborted(tmp_path: Path) -> None:
    """A front end takes over a session of which it has an abort on record: it goes on serving, the abort stays."""

    async def test() -> None:
        disk = StateDisk()
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            now = rig.fleet.clock.now()
            aborted = make_promise(
                session_id("k1"), PromiseState.ABORTED, key="k1", changed=now, about=fingerprint()
            )
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            file = disk.open("state")
            file.commit([PutPromise(aborted)])
            file.close()
            await start_front_end(nursery, rig, with_state=True, open_state_file=disk.open)
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
