"""Decisions that both the decision module and a later component could make: one makes each, and no cause counts twice."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest
import trio
import trio.testing
from rig import Rig, run, standing, until
from test_catalogue import AUTH, OPS
from test_moves import drain, playing

from oakcroft.decisions.routing.catalogue import Verdict
from oakcroft.decisions.admission.service_levels import Acts, Level
from oakcroft.front.catalogue_versions import Catalogues
from oakcroft.front import rendition_bound
from oakcroft.front.playback_session import Viewing
from oakcroft.decisions.fleet.backoff import Rhythm
from oakcroft.decisions.sessions.event_stream_health import Life
from oakcroft.decisions.routing.configuration_version import Verdict as Taken
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


def catalogues(rig: Rig) -> Catalogues:
    assert rig.front is not None
    assert rig.front.catalogues is not None
    return rig.front.catalogues


async def taken(rig: Rig, text: str) -> None:
    verdict, why = await catalogues(rig).replace(text, None, False, "")
    assert verdict is Verdict.TAKEN, why


async def watched(rig: Rig) -> tuple[Response, Viewing]:
    sat = await rig.watch()
    assert sat.status == 201
    return sat, rig.helm().sessions[(sat.header("location") or "").rpartition("/")[2]]


async def layer(rig: Rig, sat: Response, rung: int) -> int:
    here = f"{sat.header('location')}/layer"
    return (
        await rig.ask("POST", here, b'{"encodingId": "%d"}' % rung, Content_Type="application/json")
    ).status


def test_a_viewers_wish_stays_within_the_catalogue_and_outlives_its_changes(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, OPS) as rig:
            await taken(rig, TWO)
            sat, v = await watched(rig)
            assert await layer(rig, sat, 2) == 200  # a rung that exists, but not for this title
            await until(lambda: v.asked_top == 2)
            assert v.pb.top == 1
            assert await layer(rig, sat, 0) == 200
            await until(lambda: v.pb.top == 0)
            await taken(rig, THREE)
            assert v.pb.top == 0
            assert await layer(rig, sat, 2) == 200
            await until(lambda: v.pb.top == 2)
            rig.judged()

    run(test)


def test_a_step_down_that_a_later_catalogue_takes_back_is_not_carried_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, OPS) as rig:
            _, v = await watched(rig)
            v.pb.rung = 2
            catalogues(rig).steps.last = rig.helm().clock.now() + 10**12  # no batch is due yet
            await taken(rig, ONE)
            assert len(catalogues(rig).steps.waiting) == 1
            await taken(rig, THREE)
            catalogues(rig).steps.last = 0
            await until(lambda: not catalogues(rig).steps.waiting)
            assert (await rig.ask("GET", "/operators/status", **AUTH)).status == 200
            assert v.pb.top == 2
            assert not any(f["rung"] == 0 for f in rig.facts("rung"))

    run(test)


def test_a_level_bounds_no_playback_that_plays_and_no_wish_beyond_what_it_is(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            core = rig.front.core if rig.front else None
            assert core is not None
            assert core.reducing is not None
            earlier, before = await watched(rig)
            core.reducing.levels.levels[0] = Level("careful", (), Acts(top=1))
            later, after = await watched(rig)
            assert (before.pb.top, after.pb.top) == (2, 1)
            for sat in (earlier, later):
                assert await layer(rig, sat, 2) == 200
            await trio.testing.wait_all_tasks_blocked()
            assert (before.pb.top, after.pb.top) == (2, 1)

    run(test)


def test_the_loss_of_a_node_speaks_once_against_it_however_many_play_there(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            node, *_ = rig.fleet.nodes.values()
            rig.node("n2").ails.draining = True
            rig.fleet.publish()
            await until(lambda: rig.helm().roster.lines["n2"].listing.value == "draining")
            for n in range(6):
                assert (await rig.watch(f"/whep/open/t{n}")).status == 201
            node.ails.silent = True
            known = rig.helm().roster.nodes["n1"]
            await until(lambda: any(e["event"] == "node lost" for e in rig.logged()))
            assert 0 < known.distrust.sum <= 1.5
            node.ails.silent = False
            node.stir()
            await until(lambda: not rig.helm().viewings)
            rig.judged()

    run(test)


def test_a_new_configuration_weighs_plans_in_the_line_too(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            core = rig.front.core if rig.front else None
            assert core is not None
            assert core.line.plans["course"].weight == 0.5
            site = rig.helm().site
            plan = site.plans["course"]
            dear = replace(plan, plan=replace(plan.plan, revenue=8.0, startup_target=5))
            found = replace(
                rig.helm().versions.offer.compiled, site=replace(site, plans=site.plans | {"course": dear})
            )
            meaning = dict(found.meaning) | {"plan": {"course": {"revenue": 8.0}}}
            assert rig.front is not None
            assert await rig.front.offer(1, replace(found, meaning=meaning)) is Taken.TAKEN
            assert core.line.plans["course"].weight == 0.8
            assert core.line.targets["course"] == 5

    run(test)


@dataclass
class Refused:
    """The paths of rejected calls, and whether calls are being rejected."""

    asked: list[str] = field(default_factory=list)
    now: bool = True


def refusing(monkeypatch: pytest.MonkeyPatch, status: int) -> Refused:
    """Makes all nodes answer each rung change with `status`."""
    refused, handle = Refused(), PlayoutNode.handle

    async def answer(node: PlayoutNode, request: Request) -> Response:
        if refused.now and request.path.endswith("/layer"):
            refused.asked.append(request.path)
            return Response(status)
        return await handle(node, request)

    monkeypatch.setattr(PlayoutNode, "handle", answer)
    return refused


def test_the_module_learns_what_is_in_force_where_a_step_down_found_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    refused = refusing(monkeypatch, 503)

    async def test() -> None:
        async with standing(tmp_path) as rig:
            sat, v = await watched(rig)
            before = v.pb.rung
            assert before > 0
            await until(lambda: rig.helm().legs[rig.playing()[0].name].lifeline.state is Life.HEARD)
            assert await layer(rig, sat, 0) == 200
            await until(lambda: len(refused.asked) > 1)
            await until(lambda: v.pb.rung == before)
            assert not rig.facts("rung")

    run(test)


def test_a_request_goes_to_another_wing_while_its_own_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, PREFERENCE, wings=True) as rig:
            rig.node("n1").ails.draining = True
            rig.fleet.publish()
            await until(lambda: rig.helm().roster.lines["n1"].listing.value == "draining")
            answers = [(await rig.watch(f"/whep/open/u{n}")).status for n in range(8)]
            assert 201 in answers

    run(test)


def test_a_wish_that_its_node_refused_is_carried_out_once_the_node_takes_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    refused = refusing(monkeypatch, 409)

    async def test() -> None:
        async with standing(tmp_path) as rig:
            sat, v = await watched(rig)
            before = v.pb.rung
            await until(lambda: rig.helm().legs[rig.playing()[0].name].lifeline.state is Life.HEARD)
            assert await layer(rig, sat, 0) == 200
            # The node's event has told the rung in force.
            await until(lambda: v.pb.top == 0 and v.pb.rung == before)
            refused.now = False
            for leg in rig.helm().legs.values():
                leg.renew()
            await until(lambda: rig.facts("rung"), 2)

    run(test)


def test_a_node_that_refuses_every_step_down_is_asked_a_bounded_number_of_times(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    refused = refusing(monkeypatch, 409)
    monkeypatch.setattr(rendition_bound, "RENDITION_BOUND", Rhythm(20 * MS, 40 * MS, 2.0, 200 * MS))

    async def test() -> None:
        async with standing(tmp_path) as rig:
            sat, v = await watched(rig)
            before = v.pb.rung
            await until(lambda: rig.helm().legs[rig.playing()[0].name].lifeline.state is Life.HEARD)
            assert await layer(rig, sat, 0) == 200
            await until(lambda: [e for e in rig.logged() if e["event"] == "rendition bound not in force"])
            assert 3 <= len(refused.asked) <= 12
            # It plays on, and the decision module knows the rung in force.
            assert (v.pb.rung, v.pb.top) == (before, 0)
            leg = rig.helm().legs[rig.playing()[0].name]
            refused.now, asked_at = False, leg.asked_at
            leg.renew()
            await until(lambda: leg.lifeline.last_heard > leg.asked_at > asked_at)
            await trio.testing.wait_all_tasks_blocked()
            assert not v.bound_retry_waits  # the node's event alone does not restart the attempts
            assert not rig.facts("rung")
            assert await layer(rig, sat, 0) == 200  # a new request does
            await until(lambda: rig.facts("rung"))
            rig.judged()

    run(test)


def test_a_playback_moves_to_another_wing_when_its_own_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, PREFERENCE, wings=True) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            drain(rig)
            await player.told.wait()
            answer = await player.offer()
            nursery.cancel_scope.cancel()
        assert answer.status == 201

    run(test)
