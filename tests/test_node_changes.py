"""Nodes that are added, removed or replaced, and entries that must not stay behind."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from pathlib import Path

import pytest
import trio
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.routing.catalogue import CatalogueVerdict
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.promise import PromiseState
from oakcroft.store.file import DeleteExpired, StateFile
from oakcroft.decisions.sessions.event_stream_health import StreamState
from oakcroft.decisions.fleet.node_list import ListedNode, NodeList
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND

from rig import Rig, wait_until_recovered, run_async_test, running_front_end, wait_until

NODE_COUNT = 2  # nodes of the rig


async def replace_node_list(rig: Rig, *listed_nodes: ListedNode) -> None:
    """Applies a new node list: these nodes, and those of the current list that they do not replace."""
    coordinator = rig.coordinator()
    kept = {x.name: x for x in coordinator.node_list.listed_nodes.values()} | {
        x.name: x for x in listed_nodes
    }
    assert await coordinator.node_list_updater.apply(
        list(kept.values()), coordinator.node_list.version + 100, coordinator.node_list.service
    )


def test_added_and_removed_nodes_leave_no_client_no_task_and_no_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slow leak over many changes of the node list."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator = rig.coordinator()
            monkeypatch.setattr(NodeList, "REMOVED_RETENTION", -1)
            n1 = coordinator.node_list.listed_nodes["n1"]
            before = len(coordinator.nursery.child_tasks)
            for n in range(20):  # a replaced machine has a new name, a moved one a new address
                listed_node = replace(n1, name=f"n{n + 10}", port=1 + n, address="127.0.0.1")
                await replace_node_list(rig, listed_node)
                node_client = coordinator.node_clients[listed_node.name]
                coordinator.follow_events(node_client, "/events/x")
                await replace_node_list(rig, replace(listed_node, port=101 + n))
                coordinator.follow_events(coordinator.node_clients[listed_node.name], "/events/x")
                del coordinator.node_list.listed_nodes[listed_node.name]
                del coordinator.node_list.nodes[listed_node.name]
            await wait_until(
                lambda: (
                    len(coordinator.node_clients) == NODE_COUNT
                    and len(coordinator.nursery.child_tasks) == before
                )
            )
            assert (await rig.request_playback()).status == HTTPStatus.CREATED

    run_async_test(test)


@pytest.mark.parametrize(("path", "status"), [("/whep/course/t", 504), ("/whep/open/t", 201)])
def test_a_set_up_answered_by_a_process_that_the_list_has_replaced_is_ended_there(
    tmp_path: Path, path: str, status: int
) -> None:
    """A paid set-up is aborted, a free one is tried elsewhere, and the late session is ended."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            async with trio.open_nursery() as nursery:
                answers = list[Response | None]()

                async def ask() -> None:
                    answers.append(await rig.recorded_viewer("k", path))

                nursery.start_soon(ask)
                await wait_until(lambda: rig.recorded("ran"))
                name = rig.recorded("setup")[0]["node"]
                await replace_node_list(rig, replace(rig.coordinator().node_list.listed_nodes[name], port=1))
                for node in rig.fleet.nodes.values():
                    node.faults.is_hung = False
                    node.notify_changed()
                await wait_until(lambda: answers)
            assert answers[0] is not None
            assert answers[0].status == status
            await wait_until(lambda: not rig.node(name).sessions)
            rig.assert_rules_hold()

    run_async_test(test)


def test_publishers_that_ended_by_themselves_leave_no_entry(tmp_path: Path) -> None:
    """Guards against a table of publishers that grows with each of them."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            service = rig.front_end.service if rig.front_end else None
            assert service is not None
            for n in range(4):
                assert (await rig.request_playback(f"/whip/open/live{n}")).status == HTTPStatus.CREATED
                (node,) = rig.nodes_in_use()
                node_client = rig.coordinator().node_clients[node.name]
                await wait_until(lambda c=node_client: c.stream_health.state is StreamState.ALIVE)  # type: ignore[misc]
                for session in list(node.sessions):
                    node.end_session(session, "the publisher has gone")
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert len(service.publishers) == 1

    run_async_test(test)


def test_the_state_file_drops_old_versions_and_removed_nodes(tmp_path: Path) -> None:
    """Guards against a state file that grows with each catalogue version and each node."""

    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            catalogues = rig.front_end.catalogue_versions if rig.front_end else None
            assert catalogues is not None
            catalogues.history.max_versions = 3
            for n in range(8):
                text = f"(catalogue (title t{n} (home 0) (copies 1)) (others yes))"
                assert (await catalogues.replace(text, None, False, ""))[0] is CatalogueVerdict.TAKEN
            rig.stop.set()
            await rig.exited.wait()

    run_async_test(test)
    file = StateFile(str(tmp_path / "state"))
    assert [version.number for version in file.read().versions] == [6, 7, 8]
    file.commit(
        [
            NodePenalty("old", 1.0, 5, 5),
            NodePenalty("new", 1.0, 9, 9),
            SlotUsage("old", 0, 1, 1, 5),
            SlotUsage("new", 0, 1, 1, 9),
        ]
    )
    file.commit([DeleteExpired(0, 10, 8)])
    remaining = file.read()
    assert [penalty.node for penalty in remaining.node_penalties] == ["new"]
    assert [usage.node for usage in remaining.slot_usage] == ["new"]
    file.close()


def test_a_record_after_the_abort_of_its_request_changes_nothing(tmp_path: Path) -> None:
    """A late record does not turn an aborted promise into a playing one."""

    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            answer = await rig.request_playback("/whep/course/t")
            coordinator, durable_state = rig.coordinator(), rig.coordinator().durable_state
            assert durable_state is not None
            session = coordinator.sessions_by_id[(answer.header("location") or "").rpartition("/")[2]]
            # As if its abandon time was reached meanwhile.
            durable_state.update_promise(
                replace(durable_state.promises[session.id], mark=PromiseState.ABORTED)
            )
            session.final_answer = FinalAnswer.ABORTED
            assert not await durable_state.record_playing(session)
            assert not await durable_state.record_intent(session, "n1", 0, coordinator.clock.now() + SECOND)
            assert durable_state.promises[session.id].mark is PromiseState.ABORTED
            session.final_answer = FinalAnswer.PLAYS
            coordinator.submit_later(lambda: coordinator.end_session(session))
            await wait_until(lambda: not coordinator.sessions_by_playback)

    run_async_test(test)
