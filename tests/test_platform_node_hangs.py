"""Nodes whose process hangs while its kernel goes on taking connects; front ends and nodes are processes."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
import trio
from node_process import NodeProcess, NodeSettings, running_node
from platform_rig import A, B, PlatformRig
from platform_stubs import StubViewer
from rig import wait_until
from test_platform_process import connect_when_listening, running_process

from oakcroft.platformwire import framing

RELEASE_LIMIT_SECONDS = 8.05
PLAY_LIMIT_SECONDS = 30
SETTLE_SECONDS = 2.0
SHORT_HANG_SECONDS = 3.0
OBSERVED_SECONDS = 14.0
RESETS = 5
RESET_INTERVAL_SECONDS = 2.3
RESET_SECONDS = 0.1
CONFIRMED_SECONDS = 2.0
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


def play_deployments(play: Play, folder: Path, deployments: list[Deployment]) -> None:
    """Plays deployments at the same time, since each play takes seconds."""

    async def play_all() -> None:
        with trio.fail_after(PLAY_LIMIT_SECONDS):
            async with trio.open_nursery() as nursery:
                for number, deployment in enumerate(deployments):
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


async def release_of(running: ProcessRig, node: NodeProcess) -> float:
    """Returns after how many seconds the last session at a node was released; infinity if it was not."""
    sessions = {session_id for session_id in SESSION_IDS if running.node_of[session_id] is node}
    return await running.release_after(sessions, 1.5 * RELEASE_LIMIT_SECONDS)


async def release_of_hung_node(running: ProcessRig, deployment: Deployment) -> float:
    """Stops a node's process; its kernel takes connects."""
    hung = running.node_of[A]
    hung.send_signal(signal.SIGSTOP)
    return await release_of(running, hung)


async def release_of_hung_node_with_taken_address(running: ProcessRig, deployment: Deployment) -> float:
    """Stops a node's process after another one has taken its address."""
    hung = running.node_of[A]
    async with taken_address(hung, deployment):
        hung.send_signal(signal.SIGSTOP)
        return await release_of(running, hung)


async def release_of_replaced_node(running: ProcessRig, deployment: Deployment) -> float:
    """Kills a node's process after another one has taken its address."""
    killed = running.node_of[A]
    async with taken_address(killed, deployment):
        killed.send_signal(signal.SIGKILL)
        return await release_of(running, killed)


async def release_of_node_that_hangs_and_resets(running: ProcessRig, deployment: Deployment) -> float:
    """Resets the connections of a node and stops its process at once."""
    hung = running.node_of[A]
    hung.send_signal(signal.SIGUSR2)
    await trio.sleep(RESET_SECONDS)
    hung.send_signal(signal.SIGSTOP)
    return await release_of(running, hung)


def proven_only(deployments: list[Deployment]) -> list[Deployment]:
    """Returns those with notes; else nothing tells a new process from one that has reset its connections."""
    return [deployment for deployment in deployments if deployment.note_interval_seconds]


@pytest.mark.parametrize(
    ("play_loss", "deployments"),
    [
        (release_of_hung_node, DEPLOYMENTS),
        (release_of_hung_node_with_taken_address, DEPLOYMENTS),
        (release_of_replaced_node, proven_only(DEPLOYMENTS)),
        (release_of_node_that_hangs_and_resets, DEPLOYMENTS),
    ],
)
def test_sessions_of_a_hung_or_replaced_node_are_released_within_8_s(
    play_loss: Callable[[ProcessRig, Deployment], Awaitable[float]],
    deployments: list[Deployment],
    tmp_path: Path,
) -> None:
    """Guards against viewers never told of sessions that are over, while something takes connects at their node."""
    released_after = dict[Deployment, float]()

    async def play(deployment: Deployment, folder: Path) -> None:
        async with running_front(deployment, folder) as running:
            await trio.sleep(SETTLE_SECONDS)
            released_after[deployment] = await play_loss(running, deployment)

    play_deployments(play, tmp_path, deployments)
    late = {key: seconds for key, seconds in released_after.items() if seconds > RELEASE_LIMIT_SECONDS}
    assert not late
    assert len(released_after) == len(deployments)


async def hang_shortly(node: NodeProcess) -> None:
    """Stops a node's process for some seconds."""
    node.send_signal(signal.SIGSTOP)
    await trio.sleep(SHORT_HANG_SECONDS)
    node.send_signal(signal.SIGCONT)


async def reset_often(node: NodeProcess) -> None:
    """Resets all connections of a node several times."""
    for _ in range(RESETS):
        node.send_signal(signal.SIGUSR2)
        await trio.sleep(RESET_INTERVAL_SECONDS)


@pytest.mark.parametrize("trouble", [hang_shortly, reset_often])
def test_a_node_that_lives_loses_no_session(
    trouble: Callable[[NodeProcess], Awaitable[None]], tmp_path: Path
) -> None:
    """Guards against sessions cut off at a node that hangs for 3 s, or that resets its connections."""
    released = list[Deployment]()

    async def play(deployment: Deployment, folder: Path) -> None:
        async with running_front(deployment, folder) as running:
            await trio.sleep(SETTLE_SECONDS)
            await trouble(running.node_of[A])
            if await running.release_after({A}, OBSERVED_SECONDS) < math.inf:
                released.append(deployment)

    play_deployments(play, tmp_path, DEPLOYMENTS)
    assert not released


def test_a_node_that_wakes_after_its_sessions_were_released_ends_them(tmp_path: Path) -> None:
    """Guards against sessions that go on at a node that woke too late, and against a second release for them."""

    async def play(deployment: Deployment, folder: Path) -> None:
        async with running_front(deployment, folder) as running:
            hung = running.node_of[A]
            assert await release_of_hung_node(running, deployment) <= RELEASE_LIMIT_SECONDS
            hung.send_signal(signal.SIGCONT)
            await wait_until(lambda: any(close["sid"] == A for close in hung.messages("close")))
            assert await running.release_after({A}, CONFIRMED_SECONDS) == math.inf

    play_deployments(play, tmp_path, DEPLOYMENTS[:2])


@asynccontextmanager
async def taken_address(node: NodeProcess, deployment: Deployment) -> AsyncIterator[NodeProcess]:
    """Lets another process listen at the address of a node, which keeps its connections."""
    node.send_signal(signal.SIGUSR1)
    await node.has_closed_listener.wait()
    settings = NodeSettings("n9", node.port, deployment.note_interval_seconds, deployment.answers_tests)
    async with running_node(settings) as other:
        yield other
