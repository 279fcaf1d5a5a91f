"""Decisions that both the decision module and a later component could make: one makes each, and no cause counts twice."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest
import trio
import trio.testing
from rig import Rig, run_async_test, running_front_end, wait_until
from test_catalogue import AUTH, OPERATORS_FORM
from test_moves import drain, playing

from oakcroft.decisions.routing.catalogue import CatalogueVerdict
from oakcroft.decisions.admission.service_levels import LevelEffects, ServiceLevel
from oakcroft.front.catalogue_versions import CatalogueVersions
from oakcroft.front import rendition_bound
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.decisions.fleet.backoff import RetryPolicy
from oakcroft.decisions.sessions.event_stream_health import StreamState
from oakcroft.decisions.routing.configuration_version import ConfigurationVerdict as Taken
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS
from oakcroft.standins.playout import PlayoutNode

PREFERENCE = "(preference (spill 50%) (window 60s) (hold 300ms) (ramp 2s) (room 2))"
TWO, ONE, THREE = (
    f"(catalogue (title t {rates}) (others yes))"
    for rates in (
        "(renditions 200kB/s 400kB/s)",
        "(renditions 200kB/s)",
        "(renditions 200kB/s 400kB/s 800kB/s)",
    )
)


def catalogues(rig: Rig) -> CatalogueVersions:
    assert rig.front_end is not None
    assert rig.front_end.catalogues is not None
    return rig.front_end.catalogues


async def replace_catalogue(rig: Rig, text: str) -> None:
    verdict, reasons = await catalogues(rig).replace(text, None, False, "")
    assert verdict is CatalogueVerdict.TAKEN, reasons


async def start_playback(rig: Rig) -> tuple[Response, PlaybackSession]:
    answer = await rig.request_playback()
    assert answer.status == 201
    return answer, rig.coordinator().sessions_by_id[(answer.header("location") or "").rpartition("/")[2]]


async def set_rung(rig: Rig, answer: Response, rung: int) -> int:
    layer_path = f"{answer.header('location')}/layer"
    return (
        await rig.request("POST", layer_path, b'{"encodingId": "%d"}' % rung, Content_Type="application/json")
    ).status


def test_a_viewers_wish_stays_within_the_catalogue_and_outlives_its_changes(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            await replace_catalogue(rig, TWO)
            answer, session = await start_playback(rig)
            assert await set_rung(rig, answer, 2) == 200  # a rung that exists, but not for this title
            await wait_until(lambda: session.requested_top == 2)
            assert session.playback.top_rung == 1
            assert await set_rung(rig, answer, 0) == 200
            await wait_until(lambda: session.playback.top_rung == 0)
            await replace_catalogue(rig, THREE)
            assert session.playback.top_rung == 0
            assert await set_rung(rig, answer, 2) == 200
            await wait_until(lambda: session.playback.top_rung == 2)
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_step_down_that_a_later_catalogue_takes_back_is_not_carried_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            _, session = await start_playback(rig)
            session.playback.rung = 2
            # No batch is due yet.
            catalogues(rig).step_downs.last_batch_at = rig.coordinator().clock.now() + 10**12
            await replace_catalogue(rig, ONE)
            assert len(catalogues(rig).step_downs.waiting) == 1
            await replace_catalogue(rig, THREE)
            catalogues(rig).step_downs.last_batch_at = 0
            await wait_until(lambda: not catalogues(rig).step_downs.waiting)
            assert (await rig.request("GET", "/operators/status", **AUTH)).status == 200
            assert session.playback.top_rung == 2
            assert not any(f["rung"] == 0 for f in rig.recorded("rung"))

    run_async_test(test)


def test_a_level_bounds_no_playback_that_plays_and_no_wish_beyond_what_it_is(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            core = rig.front_end.service if rig.front_end else None
            assert core is not None
            assert core.service_levels is not None
            earlier, before = await start_playback(rig)
            core.service_levels.controller.levels[0] = ServiceLevel("careful", (), LevelEffects(max_rung=1))
            later, after = await start_playback(rig)
            assert (before.playback.top_rung, after.playback.top_rung) == (2, 1)
            for answer in (earlier, later):
                assert await set_rung(rig, answer, 2) == 200
            await trio.testing.wait_all_tasks_blocked()
            assert (before.playback.top_rung, after.playback.top_rung) == (2, 1)

    run_async_test(test)


def test_the_loss_of_a_node_speaks_once_against_it_however_many_play_there(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            node, *_ = rig.fleet.nodes.values()
            rig.node("n2").faults.is_draining = True
            rig.fleet.publish_list()
            await wait_until(
                lambda: rig.coordinator().node_list.listed_nodes["n2"].listing.value == "draining"
            )
            for n in range(6):
                assert (await rig.request_playback(f"/whep/open/t{n}")).status == 201
            node.faults.is_silent = True
            known = rig.coordinator().node_list.nodes["n1"]
            await wait_until(lambda: any(e["event"] == "node lost" for e in rig.log_entries()))
            assert 0 < known.failure_score.value <= 1.5
            node.faults.is_silent = False
            node.notify_changed()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_new_configuration_weighs_plans_in_the_line_too(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            core = rig.front_end.service if rig.front_end else None
            assert core is not None
            assert core.fair_queue.plans["course"].weight == 0.5
            site = rig.coordinator().site
            plan = site.plans["course"]
            costly_plan = replace(plan, plan=replace(plan.plan, revenue=8.0, startup_target_ns=5))
            found = replace(
                rig.coordinator().active_configuration.version.compiled,
                shared=replace(site, plans=site.plans | {"course": costly_plan}),
            )
            meaning = dict(found.resolved) | {"plan": {"course": {"revenue": 8.0}}}
            assert rig.front_end is not None
            assert await rig.front_end.apply_configuration(1, replace(found, resolved=meaning)) is Taken.TAKEN
            assert core.fair_queue.plans["course"].weight == 0.8
            assert core.fair_queue.startup_targets["course"] == 5

    run_async_test(test)


@dataclass
class RejectedCalls:
    """The paths of rejected calls, and whether calls are being rejected."""

    paths: list[str] = field(default_factory=list)
    is_active: bool = True


def reject_rung_changes(monkeypatch: pytest.MonkeyPatch, status: int) -> RejectedCalls:
    """Makes all nodes answer each rung change with `status`."""
    rejected_calls, handle = RejectedCalls(), PlayoutNode.handle

    async def answer(node: PlayoutNode, request: Request) -> Response:
        if rejected_calls.is_active and request.path.endswith("/layer"):
            rejected_calls.paths.append(request.path)
            return Response(status)
        return await handle(node, request)

    monkeypatch.setattr(PlayoutNode, "handle", answer)
    return rejected_calls


def test_the_module_learns_what_is_in_force_where_a_step_down_found_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rejected_calls = reject_rung_changes(monkeypatch, 503)

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer, session = await start_playback(rig)
            before = session.playback.rung
            assert before > 0
            await wait_until(
                lambda: (
                    rig.coordinator().node_clients[rig.nodes_in_use()[0].name].stream_health.state
                    is StreamState.ALIVE
                )
            )
            assert await set_rung(rig, answer, 0) == 200
            await wait_until(lambda: len(rejected_calls.paths) > 1)
            await wait_until(lambda: session.playback.rung == before)
            assert not rig.recorded("rung")

    run_async_test(test)


def test_a_request_goes_to_another_wing_while_its_own_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, PREFERENCE, two_zones=True) as rig:
            rig.node("n1").faults.is_draining = True
            rig.fleet.publish_list()
            await wait_until(
                lambda: rig.coordinator().node_list.listed_nodes["n1"].listing.value == "draining"
            )
            answers = [(await rig.request_playback(f"/whep/open/u{n}")).status for n in range(8)]
            assert 201 in answers

    run_async_test(test)


def test_a_wish_that_its_node_refused_is_carried_out_once_the_node_takes_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rejected_calls = reject_rung_changes(monkeypatch, 409)

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer, session = await start_playback(rig)
            before = session.playback.rung
            await wait_until(
                lambda: (
                    rig.coordinator().node_clients[rig.nodes_in_use()[0].name].stream_health.state
                    is StreamState.ALIVE
                )
            )
            assert await set_rung(rig, answer, 0) == 200
            # The node's event has told the rung in force.
            await wait_until(lambda: session.playback.top_rung == 0 and session.playback.rung == before)
            rejected_calls.is_active = False
            for node_client in rig.coordinator().node_clients.values():
                node_client.reopen_stream()
            await wait_until(lambda: rig.recorded("rung"), 2)

    run_async_test(test)


def test_a_node_that_refuses_every_step_down_is_asked_a_bounded_number_of_times(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rejected_calls = reject_rung_changes(monkeypatch, 409)
    monkeypatch.setattr(
        rendition_bound, "RENDITION_BOUND_RETRY", RetryPolicy(20 * MS, 40 * MS, 2.0, 200 * MS)
    )

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer, session = await start_playback(rig)
            before = session.playback.rung
            await wait_until(
                lambda: (
                    rig.coordinator().node_clients[rig.nodes_in_use()[0].name].stream_health.state
                    is StreamState.ALIVE
                )
            )
            assert await set_rung(rig, answer, 0) == 200
            await wait_until(
                lambda: [e for e in rig.log_entries() if e["event"] == "rendition bound not in force"]
            )
            assert 3 <= len(rejected_calls.paths) <= 12
            # It plays on, and the decision module knows the rung in force.
            assert (session.playback.rung, session.playback.top_rung) == (before, 0)
            node_client = rig.coordinator().node_clients[rig.nodes_in_use()[0].name]
            rejected_calls.is_active, asked_at = False, node_client.stream_requested_at
            node_client.reopen_stream()
            await wait_until(
                lambda: node_client.stream_health.last_heard_at > node_client.stream_requested_at > asked_at
            )
            await trio.testing.wait_all_tasks_blocked()
            assert not session.bound_retry_pending  # the node's event alone does not restart the attempts
            assert not rig.recorded("rung")
            assert await set_rung(rig, answer, 0) == 200  # a new request does
            await wait_until(lambda: rig.recorded("rung"))
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_playback_moves_to_another_wing_when_its_own_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            running_front_end(tmp_path, PREFERENCE, two_zones=True) as rig,
            trio.open_nursery() as nursery,
        ):
            player = await playing(rig, nursery)
            drain(rig)
            await player.offer_requested.wait()
            answer = await player.offer()
            nursery.cancel_scope.cancel()
        assert answer.status == 201

    run_async_test(test)
