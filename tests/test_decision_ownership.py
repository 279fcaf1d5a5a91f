"""Decisions that the decision module and another component could both make: one makes each, and a cause counts once."""

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
from oakcroft.decisions.routing.configuration_version import ConfigurationVerdict
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS
from oakcroft.standins.playout import PlayoutNode

PREFERENCE = "(preference (spill 50%) (window 60s) (hold 300ms) (ramp 2s) (room 2))"
ONE_RENDITION = "(catalogue (title t (renditions 200kB/s)) (others yes))"
TWO_RENDITIONS = "(catalogue (title t (renditions 200kB/s 400kB/s)) (others yes))"
THREE_RENDITIONS = "(catalogue (title t (renditions 200kB/s 400kB/s 800kB/s)) (others yes))"


def catalogues(rig: Rig) -> CatalogueVersions:
    assert rig.front_end is not None
    assert rig.front_end.catalogue_versions is not None
    return rig.front_end.catalogue_versions


async def replace_catalogue(rig: Rig, text: str) -> None:
    verdict, reasons = await catalogues(rig).replace(text, None, False, "")
    assert verdict is CatalogueVerdict.TAKEN, reasons


async def start_playback(rig: Rig) -> tuple[Response, PlaybackSession]:
    answer = await rig.request_playback()
    assert answer.status == 201
    return answer, rig.coordinator().sessions_by_id[(answer.header("location") or "").rpartition("/")[2]]


async def set_rung(rig: Rig, answer: Response, rung: int) -> int:
    layer_path = f"{answer.header('location')}/layer"
    body = b'{"encodingId": "%d"}' % rung
    response = await rig.request("POST", layer_path, body, Content_Type="application/json")
    return response.status


async def wait_until_stream_is_alive(rig: Rig) -> None:
    """Waits until the event stream of the node in use is established."""

    def is_alive() -> bool:
        node_client = rig.coordinator().node_clients[rig.nodes_in_use()[0].name]
        return node_client.stream_health.state is StreamState.ALIVE

    await wait_until(is_alive)


async def drain_node(rig: Rig, name: str) -> None:
    """Drains a node and waits until the front knows it."""
    rig.node(name).faults.is_draining = True
    rig.fleet.publish_list()
    await wait_until(lambda: rig.coordinator().node_list.listed_nodes[name].listing.value == "draining")


def test_a_requested_rung_stays_within_the_catalogue_and_outlives_its_changes(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            await replace_catalogue(rig, TWO_RENDITIONS)
            answer, session = await start_playback(rig)
            assert await set_rung(rig, answer, 2) == 200  # a rung that exists, but not for this title
            await wait_until(lambda: session.requested_top == 2)
            assert session.playback.top_rung == 1
            assert await set_rung(rig, answer, 0) == 200
            await wait_until(lambda: session.playback.top_rung == 0)
            await replace_catalogue(rig, THREE_RENDITIONS)
            assert session.playback.top_rung == 0
            assert await set_rung(rig, answer, 2) == 200
            await wait_until(lambda: session.playback.top_rung == 2)
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_step_down_that_a_later_catalogue_revokes_is_not_carried_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            _, session = await start_playback(rig)
            session.playback.rung = 2
            # No batch is due yet.
            catalogues(rig).step_downs.last_batch_at = rig.coordinator().clock.now() + 10**12
            await replace_catalogue(rig, ONE_RENDITION)
            assert len(catalogues(rig).step_downs.waiting) == 1
            await replace_catalogue(rig, THREE_RENDITIONS)
            catalogues(rig).step_downs.last_batch_at = 0
            await wait_until(lambda: not catalogues(rig).step_downs.waiting)
            assert (await rig.request("GET", "/operators/status", **AUTH)).status == 200
            assert session.playback.top_rung == 2
            assert not any(fact["rung"] == 0 for fact in rig.recorded("rung"))

    run_async_test(test)


def test_a_service_level_bounds_only_playbacks_that_start_after_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            core = rig.front_end.service if rig.front_end else None
            assert core is not None
            assert core.level_control is not None
            first_answer, first = await start_playback(rig)
            core.level_control.controller.levels[0] = ServiceLevel("careful", (), LevelEffects(max_rung=1))
            second_answer, second = await start_playback(rig)
            assert (first.playback.top_rung, second.playback.top_rung) == (2, 1)
            for answer in (first_answer, second_answer):
                assert await set_rung(rig, answer, 2) == 200
            await trio.testing.wait_all_tasks_blocked()
            assert (first.playback.top_rung, second.playback.top_rung) == (2, 1)

    run_async_test(test)


def test_a_lost_node_counts_as_one_failure_however_many_playbacks_it_has(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            node, *_ = rig.fleet.nodes.values()
            await drain_node(rig, "n2")
            for n in range(6):
                assert (await rig.request_playback(f"/whep/open/t{n}")).status == 201
            node.faults.is_silent = True
            known_node = rig.coordinator().node_list.nodes["n1"]
            await wait_until(lambda: any(entry["event"] == "node lost" for entry in rig.log_entries()))
            assert 0 < known_node.failure_score.value <= 1.5
            node.faults.is_silent = False
            node.notify_changed()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_new_configuration_updates_plan_weights_in_the_fair_queue(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            core = rig.front_end.service if rig.front_end else None
            assert core is not None
            assert core.request_queue.fair_queue.plans["course"].weight == 0.5
            site = rig.coordinator().site
            plan = site.plans["course"]
            costly_plan = replace(plan, plan=replace(plan.plan, revenue=8.0, startup_target_ns=5))
            configuration = replace(
                rig.coordinator().active_configuration.version.compiled,
                shared=replace(site, plans=site.plans | {"course": costly_plan}),
            )
            resolved = dict(configuration.resolved) | {"plan": {"course": {"revenue": 8.0}}}
            configuration = replace(configuration, resolved=resolved)
            assert rig.front_end is not None
            verdict = await rig.front_end.apply_configuration(1, configuration)
            assert verdict is ConfigurationVerdict.TAKEN
            assert core.request_queue.fair_queue.plans["course"].weight == 0.8
            assert core.request_queue.fair_queue.startup_targets["course"] == 5

    run_async_test(test)


@dataclass
class RejectedCalls:
    """The paths of rejected calls, and whether calls are being rejected."""

    paths: list[str] = field(default_factory=list)
    is_active: bool = True


def reject_rung_changes(monkeypatch: pytest.MonkeyPatch, status: int) -> RejectedCalls:
    """Makes all nodes answer each rung change with `status`."""
    rejected_calls = RejectedCalls()
    handle = PlayoutNode.handle

    async def answer(node: PlayoutNode, request: Request) -> Response:
        if rejected_calls.is_active and request.path.endswith("/layer"):
            rejected_calls.paths.append(request.path)
            return Response(status)
        return await handle(node, request)

    monkeypatch.setattr(PlayoutNode, "handle", answer)
    return rejected_calls


def test_the_module_learns_the_rung_in_force_when_a_step_down_gets_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rejected_calls = reject_rung_changes(monkeypatch, 503)

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer, session = await start_playback(rig)
            before = session.playback.rung
            assert before > 0
            await wait_until_stream_is_alive(rig)
            assert await set_rung(rig, answer, 0) == 200
            await wait_until(lambda: len(rejected_calls.paths) > 1)
            await wait_until(lambda: session.playback.rung == before)
            assert not rig.recorded("rung")

    run_async_test(test)


def test_a_request_goes_to_another_zone_while_its_own_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, PREFERENCE, two_zones=True) as rig:
            await drain_node(rig, "n1")
            statuses = [(await rig.request_playback(f"/whep/open/u{n}")).status for n in range(8)]
            assert 201 in statuses

    run_async_test(test)


def test_a_refused_rung_change_is_made_once_the_node_accepts_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rejected_calls = reject_rung_changes(monkeypatch, 409)

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer, session = await start_playback(rig)
            before = session.playback.rung
            await wait_until_stream_is_alive(rig)
            assert await set_rung(rig, answer, 0) == 200
            # The node's event has reported the rung in force.
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
            await wait_until_stream_is_alive(rig)
            assert await set_rung(rig, answer, 0) == 200
            await wait_until(
                lambda: any(entry["event"] == "rendition bound not in force" for entry in rig.log_entries())
            )
            assert 3 <= len(rejected_calls.paths) <= 12
            # It plays on, and the decision module knows the rung in force.
            assert (session.playback.rung, session.playback.top_rung) == (before, 0)
            node_client = rig.coordinator().node_clients[rig.nodes_in_use()[0].name]
            rejected_calls.is_active = False
            earlier_request_at = node_client.stream_requested_at
            node_client.reopen_stream()
            await wait_until(
                lambda: (
                    node_client.stream_health.last_message_at
                    > node_client.stream_requested_at
                    > earlier_request_at
                )
            )
            await trio.testing.wait_all_tasks_blocked()
            assert not session.bound_retry_pending  # the node's event alone does not restart the attempts
            assert not rig.recorded("rung")
            assert await set_rung(rig, answer, 0) == 200  # a new request does
            await wait_until(lambda: rig.recorded("rung"))
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_playback_moves_to_another_zone_when_its_own_drains(tmp_path: Path) -> None:
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
