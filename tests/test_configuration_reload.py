"""Configuration changes while the front end serves: under load on real sockets, with invalid versions among them."""

from __future__ import annotations

from collections import Counter
from functools import partial
from pathlib import Path

import orjson
import trio
from rig import SITE_TEMPLATE, Rig, run_async_test, running_front_end, wait_until

from oakcroft.cli import read_deployment_in_subprocess
from oakcroft.config.pipeline import build_deployment, check_file
from oakcroft.config.settings import Deployment
from oakcroft.decisions.routing.configuration_version import ConfigurationVerdict
from oakcroft.interface import Effect

CHANGES = 50


def front_form(rig: Rig) -> str:
    """Returns the `front` form of a rig's configuration."""
    service = f"127.0.0.1:{rig.fleet.list_port}"
    return (
        f'(front (zone west) (listen "127.0.0.1:0") (list-service "{service}") (kept "{rig.directory}/kept"))'
    )


def build_version(number: int, front: str) -> Deployment | list[str]:
    """Builds a numbered version, or returns its errors.

    Even versions send requests to n1 on rung 0, odd ones to n2 on rung 1; every seventh is invalid.
    """
    pool, floor = ("n1", 0) if number % 2 == 0 else ("n2", 1)
    site = (
        SITE_TEMPLATE.replace("EXTRA", "")
        .replace("(revenue 1) (floor 0))", f"(revenue 1) (floor {floor}) (top {floor}))")
        .replace(
            '(route open (path "/whep/open/") (plan open))',
            '(route open (path "/whep/open/") (plan open) (pool p))',
        )
    )
    site += f"\n(pool p (nodes {pool}))\n(limit everyone (on all) (at-once {12 + number % 3}))"
    if number % 7 == 6:
        site += "\n(route broken (path nowhere) (plan nothing))"
    found, problems = check_file("front", lambda _: f"{front}\n{site}")
    return (
        [problems.format(problem) for problem in problems.errors]
        if found is None
        else build_deployment(found, {"course": 0, "open": 1, "seats": 2})
    )


async def run_viewer(rig: Rig, number: int, answers: Counter[int]) -> None:
    """Requests a playback, counts the answer and ends the playback after a moment."""
    answer = await rig.request_playback(f"/whep/open/t{number % 5}", Idempotency_Key=f'"k{number}"')
    answers[answer.status] += 1
    if answer.status == 201:
        await trio.sleep(0.1)
        assert (await rig.request("DELETE", answer.header("location") or "")).status == 200


def test_fifty_changes_under_load(tmp_path: Path) -> None:
    """Guards against set-ups under a half-applied version, and against limits that are lost in a change."""
    answers, verdicts = Counter[int](), Counter[ConfigurationVerdict]()

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            front = rig.front_end
            assert front is not None
            versions = [build_version(i, front_form(rig)) for i in range(CHANGES)]
            first = versions[0]
            assert isinstance(first, Deployment)
            verdicts[await front.apply_configuration(1, first)] += 1

            async def apply_versions() -> None:
                for i, found in enumerate(versions[1:], 2):
                    await trio.sleep(0.06)
                    verdicts[await front.apply_configuration(i, found)] += 1

            async with trio.open_nursery() as nursery:
                nursery.start_soon(apply_versions)
                for number in range(280):
                    nursery.start_soon(run_viewer, rig, number, answers)
                    await trio.sleep(0.0125)
            await wait_until(lambda: not rig.nodes_in_use())
            for fact in rig.recorded("setup"):
                assert (fact["node"], fact["rung"]) in (("n1", 0), ("n2", 1)), "a half-applied version"
            assert {f["node"] for f in rig.recorded("setup")} == {"n1", "n2"}
            running_playbacks = 0
            for _, step in sorted(
                [(f["t"], 1) for f in rig.recorded("ran")] + [(f["t"], -1) for f in rig.recorded("over")]
            ):
                running_playbacks += step
                assert running_playbacks <= 14
            coordinator = front.coordinator
            assert coordinator is not None
            await wait_until(
                lambda: not coordinator.limit_ledger.concurrent and not coordinator.sessions_by_playback
            )

    run_async_test(test, 60)
    assert verdicts[ConfigurationVerdict.TAKEN] + verdicts[ConfigurationVerdict.INVALID] == CHANGES
    assert verdicts[ConfigurationVerdict.INVALID] == sum(i % 7 == 6 for i in range(CHANGES))
    assert sum(answers.values()) == 280
    assert set(answers) <= {201, 429, 503}
    # Five times the limit of concurrent playbacks; how many more get in depends on the speed of the machine.
    assert answers[201] > 70


def test_a_reload_applies_valid_versions_and_rejects_what_needs_a_restart(tmp_path: Path) -> None:
    """A reload applies only a valid version that needs no restart, and no secret gets into the log."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            front = rig.front_end
            assert front is not None
            file = tmp_path / "front.oak"
            front.source = partial(read_deployment_in_subprocess, file)
            first_resolved = front.configuration.resolved
            file.write_text(f"{front_form(rig)}\n{rig.site_text}")
            assert await front.reload() is ConfigurationVerdict.SAME
            file.write_text(f"{front_form(rig)}\n{rig.site_text}\n(token t (secret secret-one))")
            assert await front.reload() is ConfigurationVerdict.TAKEN
            assert (await rig.request_playback()).status == 401
            file.write_text(f"{front_form(rig)}\n{rig.site_text}\n(token t (secret short))")
            assert await front.reload() is ConfigurationVerdict.INVALID
            assert (await rig.request_playback(Authorization="Bearer secret-one")).status == 201
            file.write_text(f"{front_form(rig)}\n{rig.site_text.replace('800kB/s', '900kB/s')}")
            assert await front.reload() is ConfigurationVerdict.NEEDS_RESTART
            assert first_resolved["ladder"] == front.configuration.resolved["ladder"]
            assert b"secret-one" not in rig.log_output.getvalue()
            assert b"(secret" not in rig.log_output.getvalue()

    run_async_test(test)


def test_playbacks_keep_their_terms_and_seats_count_across_a_change(tmp_path: Path) -> None:
    """Guards against seats that are counted by version, and against playbacks that a lower limit ends."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            front = rig.front_end
            assert front is not None
            coordinator = front.coordinator
            assert coordinator is not None
            answers = [
                await rig.request_playback("/whep/course/t", Idempotency_Key=f'"s{i}"') for i in range(3)
            ]
            assert [answer.status for answer in answers] == [201] * 3
            site = rig.site_text.replace("(revenue 2)", "(revenue 2) (seats 2)")
            found, _ = check_file("f", lambda _: f"{front_form(rig)}\n{site}")
            assert found is not None
            families = {name: plan.plan.family_id for name, plan in coordinator.site.plans.items()}
            assert (
                await front.apply_configuration(1, build_deployment(found, families))
                is ConfigurationVerdict.TAKEN
            )
            taken = next(e for e in rig.log_entries() if e["event"] == "configuration taken")
            assert taken["over_seats"] == ["t: 3 of 2"]
            assert (await rig.request_playback("/whep/course/t")).status == 503
            for answer in answers[:2]:
                assert (await rig.request("DELETE", answer.header("location") or "")).status == 200
            await wait_until(lambda: len(coordinator.sessions_by_id) == 1)
            assert (await rig.request_playback("/whep/course/t")).status == 201
            assert coordinator.site.plans["course"].plan.effect is Effect.PAID
            limited = found | {
                "limit": {"l": {"on": ("all",), "rate": 0.01, "burst": 1.0, "at-once": None, "of": "whole"}}
            }
            assert (
                await front.apply_configuration(2, build_deployment(limited, families))
                is ConfigurationVerdict.TAKEN
            )
            assert (await rig.request_playback("/whep/open/t")).status == 201
            refused = await rig.request_playback("/whep/open/t")
            assert (refused.status, refused.header("retry-after")) == (429, "100")
            assert "Limit l" in orjson.loads(refused.body)["title"]

    run_async_test(test)
