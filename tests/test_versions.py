"""Configuration changes while the front serves: fifty under load on real sockets, invalid ones among them."""

from __future__ import annotations

from collections import Counter
from functools import partial
from pathlib import Path

import orjson
import trio
from rig import SITE, Rig, run, standing, until

from oakcroft.cli import read_apart
from oakcroft.config.pipeline import check, told
from oakcroft.config.settings import Deployment
from oakcroft.decisions.routing.configuration_version import Verdict
from oakcroft.interface import Effect

CHANGES = 50


def own(rig: Rig) -> str:
    service = f"127.0.0.1:{rig.fleet.list_port}"
    return f'(front (zone west) (listen "127.0.0.1:0") (list-service "{service}") (kept "{rig.folder}/kept"))'


def version(i: int, front: str) -> Deployment | list[str]:
    """Even versions send requests to n1 on rung 0, odd ones to n2 on rung 1; every seventh is invalid."""
    pool, floor = ("n1", 0) if i % 2 == 0 else ("n2", 1)
    site = (
        SITE.replace("EXTRA", "")
        .replace("(revenue 1) (floor 0))", f"(revenue 1) (floor {floor}) (top {floor}))")
        .replace(
            '(route open (path "/whep/open/") (plan open))',
            '(route open (path "/whep/open/") (plan open) (pool p))',
        )
    )
    site += f"\n(pool p (nodes {pool}))\n(limit everyone (on all) (at-once {12 + i % 3}))"
    if i % 7 == 6:
        site += "\n(route broken (path nowhere) (plan nothing))"
    found, problems = check("front", lambda _: f"{front}\n{site}")
    return (
        [problems.show(p) for p in problems.errors]
        if found is None
        else told(found, {"course": 0, "open": 1, "seats": 2})
    )


async def viewer(rig: Rig, number: int, answers: Counter[int]) -> None:
    sat = await rig.watch(f"/whep/open/t{number % 5}", Idempotency_Key=f'"k{number}"')
    answers[sat.status] += 1
    if sat.status == 201:
        await trio.sleep(0.1)
        assert (await rig.ask("DELETE", sat.header("location") or "")).status == 200


def test_fifty_changes_under_load(tmp_path: Path) -> None:
    answers, verdicts = Counter[int](), Counter[Verdict]()

    async def test() -> None:
        async with standing(tmp_path) as rig:
            front = rig.front
            assert front is not None
            versions = [version(i, own(rig)) for i in range(CHANGES)]
            first = versions[0]
            assert isinstance(first, Deployment)
            verdicts[await front.offer(1, first)] += 1

            async def change() -> None:
                for i, found in enumerate(versions[1:], 2):
                    await trio.sleep(0.06)
                    verdicts[await front.offer(i, found)] += 1

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                for number in range(280):
                    nursery.start_soon(viewer, rig, number, answers)
                    await trio.sleep(0.0125)
            await until(lambda: not rig.playing())
            for fact in rig.facts("setup"):
                assert (fact["node"], fact["rung"]) in (("n1", 0), ("n2", 1)), "a half-applied version"
            assert {f["node"] for f in rig.facts("setup")} == {"n1", "n2"}
            held = 0
            for _, step in sorted(
                [(f["t"], 1) for f in rig.facts("ran")] + [(f["t"], -1) for f in rig.facts("over")]
            ):
                held += step
                assert held <= 14
            helm = front.helm
            assert helm is not None
            await until(lambda: not helm.ledger.held and not helm.viewings)

    run(test, 60)
    assert verdicts[Verdict.TAKEN] + verdicts[Verdict.BROKEN] == CHANGES
    assert verdicts[Verdict.BROKEN] == sum(i % 7 == 6 for i in range(CHANGES))
    assert sum(answers.values()) == 280
    assert set(answers) <= {201, 429, 503}
    # Five times the limit of concurrent playbacks; how many more get in depends on the speed of the machine.
    assert answers[201] > 70


def test_a_reload_takes_what_is_sound_and_says_what_needs_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            front = rig.front
            assert front is not None
            file = tmp_path / "front.oak"
            front.source = partial(read_apart, file)
            sound = front.told.meaning
            file.write_text(f"{own(rig)}\n{rig.site}")
            assert await front.reload() is Verdict.SAME
            file.write_text(f"{own(rig)}\n{rig.site}\n(token t (secret secret-one))")
            assert await front.reload() is Verdict.TAKEN
            assert (await rig.watch()).status == 401
            file.write_text(f"{own(rig)}\n{rig.site}\n(token t (secret short))")
            assert await front.reload() is Verdict.BROKEN
            assert (await rig.watch(Authorization="Bearer secret-one")).status == 201
            file.write_text(f"{own(rig)}\n{rig.site.replace('800kB/s', '900kB/s')}")
            assert await front.reload() is Verdict.RESTART
            assert sound["ladder"] == front.told.meaning["ladder"]
            assert b"secret-one" not in rig.log.getvalue()
            assert b"(secret" not in rig.log.getvalue()

    run(test)


def test_what_plays_keeps_its_terms_and_seats_count_across_a_change(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            front = rig.front
            assert front is not None
            helm = front.helm
            assert helm is not None
            sat = [await rig.watch("/whep/course/t", Idempotency_Key=f'"s{i}"') for i in range(3)]
            assert [s.status for s in sat] == [201] * 3
            site = rig.site.replace("(revenue 2)", "(revenue 2) (seats 2)")
            found, _ = check("f", lambda _: f"{own(rig)}\n{site}")
            assert found is not None
            families = {name: p.plan.family for name, p in helm.site.plans.items()}
            assert await front.offer(1, told(found, families)) is Verdict.TAKEN
            taken = next(e for e in rig.logged() if e["event"] == "configuration taken")
            assert taken["over_seats"] == ["t: 3 of 2"]
            assert (await rig.watch("/whep/course/t")).status == 503
            for s in sat[:2]:
                assert (await rig.ask("DELETE", s.header("location") or "")).status == 200
            await until(lambda: len(helm.sessions) == 1)
            assert (await rig.watch("/whep/course/t")).status == 201
            assert helm.site.plans["course"].plan.effect is Effect.PAID
            limited = found | {
                "limit": {"l": {"on": ("all",), "rate": 0.01, "burst": 1.0, "at-once": None, "of": "whole"}}
            }
            assert await front.offer(2, told(limited, families)) is Verdict.TAKEN
            assert (await rig.watch("/whep/open/t")).status == 201
            refused = await rig.watch("/whep/open/t")
            assert (refused.status, refused.header("retry-after")) == (429, "100")
            assert "Limit l" in orjson.loads(refused.body)["title"]

    run(test)
