"""Unusual sequences on the platform's protocol, each over real connections: reloads while nodes drain, whole
lists, nodes killed after an accept, requests in pieces, and late releases.
"""

from __future__ import annotations

import socket
import struct
from pathlib import Path

import orjson
import pytest
import trio
from platform_rig import FAILED, A, B, C, PlatformRig, run_on_platform
from platform_stubs import StubViewer
from rig import wait_until

from oakcroft.interface import NodeStatus
from oakcroft.platformwire import framing

SESSIONS = 8
SET_UPS = [f"{number:016x}" for number in range(100, 100 + SESSIONS)]


async def set_up_all(rig: PlatformRig, viewer: StubViewer) -> None:
    """Sets up several titles, enough that every node that may be chosen is chosen."""
    for sid in SET_UPS:
        await viewer.send_setup(sid, title=f"title {sid}")
        assert (await viewer.receive() or (0,))[0] == framing.ANSWER


def node_status(rig: PlatformRig, name: str) -> NodeStatus:
    """Returns the status of a node in the front end."""
    return rig.coordinator.pools[name].node.status


def setup_count(rig: PlatformRig, node: int) -> int:
    """Returns the number of set-ups that have reached a node."""
    return len(rig.nodes[node].received_messages("open"))


@pytest.mark.parametrize("how", ["drain on the new channel", "drain on the old channel"])
def test_a_reload_while_a_node_drains_sends_it_nothing(how: str, tmp_path: Path) -> None:
    """The command channel moves at the moment a node begins to drain."""

    async def test(rig: PlatformRig) -> None:
        rig.platform.configuration_file = tmp_path / "config.json"
        viewer, old, configuration = await rig.viewer(), rig.channel, rig.configuration()
        if how == "drain on the old channel":
            rig.add_list_change(2, rig.member(rig.nodes[0], "draining"))
            await wait_until(lambda: node_status(rig, "n0") is NodeStatus.DRAINING)
        new_port = await rig.listen(type(old).serve.__get__(rig.channel))
        rig.platform.configuration_file.write_bytes(
            orjson.dumps(configuration | {"channel": f"127.0.0.1:{new_port}"})
        )
        await rig.platform.reload()
        if how == "drain on the new channel":
            rig.add_list_change(2, rig.member(rig.nodes[0], "draining"))
            await wait_until(lambda: node_status(rig, "n0") is NodeStatus.DRAINING)
        before = setup_count(rig, 0)
        await set_up_all(rig, viewer)
        assert setup_count(rig, 0) == before
        assert rig.platform.channel_follower is not None
        assert rig.platform.channel_follower.address[1] == new_port

    run_on_platform(test)


def test_a_later_whole_list_removes_the_nodes_that_it_lacks() -> None:
    """A later event may carry a whole list; a node that is not on it is gone, with the playbacks there."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        await viewer.send_setup(A)
        await viewer.receive()
        node = next(n for n in rig.nodes if n.received_messages("open", A))
        other = next(n for n in rig.nodes if n is not node)
        remaining_list = {"complete": True, "members": [rig.member(other)]}
        rig.channel.cmds.append({"cursor": 2, "nodes": remaining_list})
        assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, FAILED)
        before = len(node.received_messages("open"))
        await set_up_all(rig, viewer)
        assert len(node.received_messages("open")) == before
        full_list = {"complete": True, "members": [rig.member(n) for n in rig.nodes]}
        rig.channel.cmds.append({"cursor": 3, "nodes": full_list})
        await wait_until(
            lambda: (
                len(rig.coordinator.pools) == len(rig.nodes)
                and node_status(rig, node.name) is NodeStatus.READY
            )
        )

    run_on_platform(test)


def reset(stream: trio.SocketStream) -> None:
    """Resets a connection, as the death of its process does."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


@pytest.mark.parametrize(("plan", "answers"), [("paid", (FAILED,)), ("free", (framing.ANSWER,))])
def test_a_node_killed_after_its_accept_causes_one_answer_and_no_second_run(
    plan: str, answers: tuple[int, ...]
) -> None:
    """A node accepts the connection and dies before it reads the set-up.

    The front end cannot tell whether the set-up ran, so a paid one is not repeated.
    """

    async def test(rig: PlatformRig) -> None:
        killed: list[int] = []
        for node in rig.nodes:
            node.may_read = trio.Event()
        viewer = await rig.viewer()
        await viewer.send_setup(A, plan)
        await wait_until(
            lambda: any(
                pool.connections and pool.connections[0].pending_setups
                for pool in rig.coordinator.pools.values()
            )
        )
        for number, node in enumerate(rig.nodes):
            if node.streams:
                killed.append(number)
                reset(node.streams[0])
        for number, node in enumerate(rig.nodes):
            if number not in killed:  # a dead node reads nothing
                node.may_read.set()
        reply = await viewer.receive()
        assert reply is not None
        assert (reply[2] if reply[0] == framing.RELEASE else reply[0],) == answers
        assert len(killed) == 1
        assert sum(setup_count(rig, number) for number in range(2)) == (plan == "free")
        await viewer.send_setup(C)
        assert (await viewer.receive() or (0, ""))[1] == C  # no second answer for the first id

    run_on_platform(test)


def test_a_request_in_pieces_is_answered_at_the_connection_limit() -> None:
    """Each byte is sent separately while other clients take up all connections.

    A connection on which a request is arriving is the last to be evicted.
    """

    async def test(rig: PlatformRig) -> None:
        viewers = rig.platform.viewer_server
        assert viewers is not None
        viewer = await rig.viewer()
        request = viewer.encode_setup(A, "paid")
        others = list[StubViewer]()
        for octet in request:
            await viewer.stream.send_all(bytes((octet,)))
            if len(others) < viewers.max_connections + SESSIONS:
                others.append(client := await rig.viewer())
                await client.send(framing.TEST, C, 0)
                await client.receive()
        assert len(others) == viewers.max_connections + SESSIONS
        assert (await viewer.receive() or ())[:2] == (framing.ANSWER, A)

    run_on_platform(test)


def test_a_request_completed_together_with_its_release_is_not_sent() -> None:
    """A request that is released in the same read that completes it is never sent to a node."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        request = viewer.encode_setup(A, "paid")
        await viewer.stream.send_all(request[:-1])
        await wait_until(
            lambda: any(
                connection.frames.has_partial_message for connection in rig.coordinator.viewer_connections
            )
        )
        await viewer.stream.send_all(
            request[-1:] + framing.encode(framing.RELEASE, A, (framing.CAUSE, b"\x10"))
        )
        await viewer.send_setup(B)
        assert (await viewer.receive() or ())[:2] == (framing.ANSWER, B)
        assert not any(node.received_messages("open", A) for node in rig.nodes)

    run_on_platform(test)
