"""Nodes whose process hangs while its kernel goes on taking connects; front ends and nodes are processes."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

import trio
from node_process import NodeProcess, NodeSettings, running_node
from platform_rig import A, B, PlatformRig
from platform_stubs import StubViewer
from test_platform_process import connect_when_listening, running_process

from oakcroft.platformwire import framing

RELEASE_LIMIT_SECONDS = 8.05
PLAY_LIMIT_SECONDS = 30
SETTLE_SECONDS = 2.0
SHORT_HANG_SECONDS = 3.0
OBSERVED_SECONDS = 14.0
SETUP_INTERVAL_SECONDS = 0.2
SESSION_IDS = (A, B)


@dataclass(frozen=True)
class Deployment:
    """How nodes of a deployment can be heard."""

    note_interval_seconds: float
    may_test: bool
    answers_tests: bool = True
    has_setups: bool = False


DEPLOYMENTS = [
    Deployment(3.0, may_test=True),
    Deployment(4.5, may_test=True),
    Deployment(3.0, may_test=False),
    Deployment(5.0, may_test=False),
    Deployment(0.0, may_test=True),
    Deployment(0.0, may_test=False),
    Deployment(3.0, may_test=True, answers_tests=False),
    Deployment(3.0, may_test=True, has_setups=True),
    Deployment(0.0, may_test=True, has_setups=True),
    Deployment(0.0, may_test=False, has_setups=True),
]

Play = Callable[[Deployment, Path], Awaitable[None]]


def play_deployments(play: Play, folder: Path) -> None:
    """Plays all deployments at the same time, since each play takes seconds."""

    async def play_all() -> None:
        with trio.fail_after(PLAY_LIMIT_SECONDS):
            async with trio.open_nursery() as nursery:
                for number, deployment in enumerate(DEPLOYMENTS):
                    own_folder = folder / str(number)
                    own_folder.mkdir()
                    nursery.start_soon(play, deployment, own_folder)

    trio.run(play_all)


class ProcessRig:
    """A front end, the nodes n0 and n1, and one connection of viewers."""

    def __init__(self, rig: PlatformRig, nodes: list[NodeProcess], viewer: StubViewer) -> None:
        """Wraps what runs."""
        self.rig = rig
        self.nodes = nodes
        self.viewer = viewer
        self.node_of = dict[str, NodeProcess]()

    async def set_up(self, session_id: str) -> None:
        """Sets a session up, and notes at which node it stands."""
        await self.viewer.send_setup(session_id)
        reply = await self.viewer.receive()
        assert (reply or ())[:2] == (framing.ANSWER, session_id)
        assert reply is not None
        self.node_of[session_id] = self.nodes[int(reply[3][1:2])]

    async def ask_for_setups(self) -> None:
        """Sends set-ups of a free plan all the time, on a connection of their own."""
        viewer = await self.rig.viewer()
        number = 4096
        while True:
            number += 1
            await viewer.send_setup(f"{number:016x}", wait="400")
            await trio.sleep(SETUP_INTERVAL_SECONDS)

    async def release_after(self, session_ids: set[str], seconds: float) -> float:
        """Returns after how many seconds the last of the sessions was released; infinity if not within `seconds`."""
        began_at = trio.current_time()
        missing = set(session_ids)
        with trio.move_on_after(seconds):
            while missing:
                reply = await self.viewer.receive(math.inf)
                assert reply is not None
                assert reply[0] == framing.RELEASE
                missing.discard(reply[1])
        return math.inf if missing else trio.current_time() - began_at


@asynccontextmanager
async def running_front(deployment: Deployment, folder: Path) -> AsyncIterator[ProcessRig]:
    """Runs a front end with two nodes, at which the sessions of SESSION_IDS stand."""
    async with AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        rig = PlatformRig(nursery)
        rig.info["reportsEveryMs"] = 1000 * deployment.note_interval_seconds
        rig.info["seenAfterMs"] = 900.0
        rig.permissions["probing"] = deployment.may_test
        base = NodeSettings("n0", 0, deployment.note_interval_seconds, deployment.answers_tests)
        nodes = list[NodeProcess]()
        for stub in rig.nodes:
            node = await stack.enter_async_context(running_node(replace(base, name=stub.name)))
            stub.port = node.port
            nodes.append(node)
        await stack.enter_async_context(running_process(rig, {}, folder))
        running = ProcessRig(rig, nodes, await connect_when_listening(rig))
        for session_id in SESSION_IDS:
            await running.set_up(session_id)
        if deployment.has_setups:
            nursery.start_soon(running.ask_for_setups)
        yield running
        nursery.cancel_scope.cancel()


def test_sessions_of_a_hung_node_are_released_within_8_s(tmp_path: Path) -> None:
    """Guards against viewers never told: a node hangs, sessions there end, and its kernel goes on taking connects."""
    released_after = dict[Deployment, float]()

    async def play(deployment: Deployment, folder: Path) -> None:
        async with running_front(deployment, folder) as running:
            await trio.sleep(SETTLE_SECONDS)
            hung = running.node_of[A]
            sessions = {session_id for session_id in SESSION_IDS if running.node_of[session_id] is hung}
            hung.send_signal(signal.SIGSTOP)
            released_after[deployment] = await running.release_after(sessions, 1.5 * RELEASE_LIMIT_SECONDS)

    play_deployments(play, tmp_path)
    late = {key: seconds for key, seconds in released_after.items() if seconds > RELEASE_LIMIT_SECONDS}
    assert not late
    assert len(released_after) == len(DEPLOYMENTS)


def test_a_node_that_hangs_for_3_s_loses_no_session(tmp_path: Path) -> None:
    """Guards against sessions cut off at a node that lives, and hangs for a few seconds now and then."""
    released = list[Deployment]()

    async def play(deployment: Deployment, folder: Path) -> None:
        async with running_front(deployment, folder) as running:
            await trio.sleep(SETTLE_SECONDS)
            hung = running.node_of[A]
            hung.send_signal(signal.SIGSTOP)
            await trio.sleep(SHORT_HANG_SECONDS)
            hung.send_signal(signal.SIGCONT)
            if await running.release_after({A}, OBSERVED_SECONDS) < math.inf:
                released.append(deployment)

    play_deployments(play, tmp_path)
    assert not released
