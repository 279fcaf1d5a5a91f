"""Fleet leases over several processes: holders that are killed, suspended or cut off, and acceptors without a record.

The tests read only the operators' interface of the fronts, where a lease is a duty, its holder an owner and an acceptor
a keeper.
"""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
import trio
from rig import DAY_TEMPLATE, SITE_TEMPLATE, run_async_test
from test_peers import TOKEN, Fronts, fronts

from oakcroft.commands.fleet import describe_leases
from oakcroft.config.pipeline import check_file
from oakcroft.config.diagnostics import InvalidConfigurationError
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.standins.day import parse_day

TERM = 2.0
FIRST_CATALOGUE = "(catalogue (others yes) (title a (home 0) (copies 1)))"
SECOND_CATALOGUE = "(catalogue (others yes) (title b (home 1) (copies 2)))"
REFUSED_CATALOGUE = "(catalogue (others yes) (title c (holders nobody)))"


class LeaseFronts(Fronts):
    """Fronts of which the first three are acceptors; all have a state file."""

    def file(self, name: str) -> Path:
        """Returns the configuration file of a front, with the acceptors and a state file."""
        path = super().file(name)
        text = path.read_text().replace("(zone west)", f'(zone west) (state "{self.folder}/{name}.state")', 1)
        path.write_text(f"{text}\n(keepers (names f0 f1 f2) (term {TERM:g}s))")
        return path

    async def call(
        self, name: str, method: str, path: str, body: bytes = b"", **headers: str
    ) -> dict[str, Any]:
        """Calls the operators' interface of a front; the status is 0 if it cannot be reached."""
        client = HttpClient("127.0.0.1", self.ports[name], connect_timeout_s=0.5)
        try:
            with trio.move_on_after(14):
                header_fields = [
                    ("Authorization", f"Bearer {TOKEN}"),
                    *((header.replace("_", "-"), value) for header, value in headers.items()),
                ]
                response = await client.request(method, f"/operators/{path}", header_fields, body)
                content = orjson.loads(response.body or b"{}")
                if not isinstance(content, dict):
                    content = {"all": content}
                return {"status": response.status, **content}
        except ExchangeError:
            pass
        finally:
            await client.close()
        return {"status": 0}

    async def held_leases(self, name: str) -> list[dict[str, Any]]:
        """Returns the leases that a front holds, as it reports them."""
        leases = (await self.call(name, "GET", "fleet/owners")).get("duties", [])
        return [lease for lease in leases if lease["mine"]]

    async def wait_for_holder(self, names: list[str], timeout_s: float = 12) -> tuple[str, int]:
        """Waits until one of these fronts holds the lease and returns its name and fencing token."""
        with trio.fail_after(timeout_s):
            while True:
                for name in names:
                    for lease in await self.held_leases(name):
                        if lease["duty"] == "catalogue":
                            return name, lease["number"]
                await trio.sleep(0.05)

    async def is_holder(self, name: str) -> bool:
        """Returns whether a front acts as the holder."""
        return bool(await self.held_leases(name))

    async def rollout_state(self, name: str) -> dict[str, Any]:
        """Returns what a front reports about the last rollout and its own version."""
        return await self.call(name, "GET", "fleet/roll-out")

    async def wait_for_rollout(
        self, names: list[str], timeout_s: float = 25, **expected: object
    ) -> list[dict[str, Any]]:
        """Waits until all of these fronts report these values of the last rollout."""
        states = list[dict[str, Any]]()
        with trio.move_on_after(timeout_s):
            while True:
                states = [await self.rollout_state(name) for name in names]
                rollouts = [state.get("roll_out", {}) for state in states]
                if all({key: rollout.get(key) for key in expected} == expected for rollout in rollouts):
                    return states
                await trio.sleep(0.05)
        pytest.fail(f"within {timeout_s} s not {expected}: {states}")

    async def start_rollout(self, name: str, text: str, watch: int = 0) -> dict[str, Any]:
        """Starts a rollout by a request to a front."""
        return await self.call(name, "PUT", f"fleet/roll-out?watch={watch}", text.encode(), If_Match="*")

    async def fences(self, names: list[str]) -> list[tuple[int, int]]:
        """Returns the (fencing token, step) of each front's fence."""
        return [tuple((await self.rollout_state(name))["fence"]) for name in names]

    async def versions(self, name: str) -> list[str]:
        """Returns the digests of all versions that a front had in force, in order."""
        versions = (await self.call(name, "GET", "catalogue/versions"))["all"]
        return [version["digest"] for version in versions]


def run_with_fronts(folder: Path, test: Callable[[LeaseFronts], Awaitable[None]]) -> None:
    """Runs a test with five fronts."""

    async def run() -> None:
        async with fronts(folder, 5, LeaseFronts) as rig:
            assert isinstance(rig, LeaseFronts)
            await test(rig)

    run_async_test(run, 100)


def test_a_rollout_survives_its_holder_and_a_late_holder_changes_nothing(tmp_path: Path) -> None:
    async def test(rig: LeaseFronts) -> None:
        first, first_token = await rig.wait_for_holder(rig.names)
        others = [name for name in rig.names if name != first]
        assert (await rig.start_rollout(others[0], FIRST_CATALOGUE, watch=2))["status"] == 202
        await rig.wait_for_rollout([first], stage="taken")
        rig.signal(first, signal.SIGKILL)
        second, second_token = await rig.wait_for_holder(others, timeout_s=6 * TERM)
        assert second_token > first_token
        await rig.start(first)
        await rig.wait_for_rollout(rig.names, stage="done", number=1)
        first_versions = {(await rig.rollout_state(name))["in_force"] for name in rig.names}
        assert len(first_versions) == 1

        # A share has the next version when the holder's orders begin to take long, and the holder is suspended. The next
        # holder rolls the version back meanwhile, so the late orders must be rejected.
        second, second_token = await rig.wait_for_holder(rig.names)
        others = [name for name in rig.names if name != second]
        assert (await rig.start_rollout(second, SECOND_CATALOGUE, watch=60))["status"] == 202
        await rig.wait_for_rollout(rig.names, stage="taken")
        for name in others:
            rig.network.faults_on(second, name).delay_seconds = (4 * TERM, 4 * TERM + 1)
        delayed_before = rig.network.delayed_count
        with trio.fail_after(6):
            while rig.network.delayed_count < delayed_before + 40:  # 40 of its messages are in flight
                await trio.sleep(0.02)
        rig.signal(second, signal.SIGSTOP)
        third, third_token = await rig.wait_for_holder(others, timeout_s=6 * TERM)
        assert third_token > second_token
        assert (await rig.call(third, "DELETE", "fleet/roll-out"))["status"] == 202
        await rig.wait_for_rollout(others, stage="stopped")
        fences_before = await rig.fences(others)
        rig.signal(second, signal.SIGCONT)
        with trio.fail_after(20):
            while not sum([(await rig.rollout_state(name))["turned_away"] for name in others]):
                await trio.sleep(0.05)
        fences = await rig.fences(others)
        assert all(after >= before for after, before in zip(fences, fences_before, strict=True))
        rig.network.heal()
        await rig.wait_for_rollout(rig.names, stage="stopped")
        for name in rig.names:
            assert (await rig.rollout_state(name))["in_force"] in first_versions
            assert len(await rig.versions(name)) <= 3  # the first, the second, and the first again

    run_with_fronts(tmp_path, test)


def test_a_minority_holds_no_lease_and_acceptors_without_a_record_wait(tmp_path: Path) -> None:
    async def test(rig: LeaseFronts) -> None:
        first, first_token = await rig.wait_for_holder(rig.names)
        minority = {first}
        majority = {name for name in rig.names if name != first}
        acceptors = {"f0", "f1", "f2"}
        rig.network.cut(minority, majority)
        rig.network.cut(majority, minority)
        second, second_token = await rig.wait_for_holder(sorted(majority), timeout_s=6 * TERM)
        assert second_token > first_token
        with trio.fail_after(3 * TERM):
            while await rig.is_holder(first):
                await trio.sleep(0.05)
        assert (await rig.rollout_state(first))["status"] == 200  # it still serves
        rig.network.heal()

        # An acceptor loses its record: it grants nothing for a term, gets the records of the others, and tokens grow on.
        wiped = next(name for name in sorted(acceptors) if name != second)
        rig.signal(wiped, signal.SIGKILL)
        await rig.processes[wiped].wait()
        for file in tmp_path.glob(f"{wiped}.state*"):
            file.unlink()
        await rig.start(wiped)
        leases = await rig.call(wiped, "GET", "fleet/owners")
        assert not leases["keeper"]["speaks"]
        with trio.fail_after(6 * TERM):
            while not (await rig.call(wiped, "GET", "fleet/owners"))["keeper"]["speaks"]:
                await trio.sleep(0.05)
        assert (await rig.call(wiped, "GET", "fleet/owners"))["keeper"]["sound"]
        rig.signal(second, signal.SIGKILL)
        others = [name for name in rig.names if name != second]
        _, third_token = await rig.wait_for_holder(others, timeout_s=6 * TERM)
        assert third_token > second_token

    run_with_fronts(tmp_path, test)


def test_a_refused_version_is_not_activated_and_full_disks_grant_no_lease(tmp_path: Path) -> None:
    async def test(rig: LeaseFronts) -> None:
        await rig.wait_for_holder(rig.names)
        assert (await rig.start_rollout("f4", REFUSED_CATALOGUE))["status"] == 202
        states = await rig.wait_for_rollout(rig.names, stage="stopped")
        # On an overloaded machine the distribution may time out before a front refuses the version.
        reason = states[0]["roll_out"]["reason"]
        assert "refused it" in reason or "did not take it in" in reason
        assert [await rig.versions(name) for name in rig.names] == [[]] * 5

        # Two of three acceptors have a full disk: no term can begin, and all fronts still serve.
        for name in ("f0", "f1"):
            rig.signal(name, signal.SIGKILL)
            await rig.processes[name].wait()
        for name in ("f0", "f1"):
            await rig.start(name, full_disk=True)
        await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"))
        with trio.fail_after(4 * TERM):
            while sum([await rig.is_holder(name) for name in rig.names]):
                await trio.sleep(0.05)
        answer = await rig.start_rollout("f4", FIRST_CATALOGUE)
        assert answer["status"] == 409
        assert "nobody owns" in answer["title"] + str(answer)
        for name in rig.names:
            assert (await rig.rollout_state(name))["status"] == 200

    run_with_fronts(tmp_path, test)


def test_the_check_finds_acceptors_that_cannot_work() -> None:
    def problem_messages(forms: str, has_peers: bool = True, has_state: bool = True) -> list[str]:
        state_form = '(state "f.state")' if has_state else ""
        text = SITE_TEMPLATE.replace("EXTRA", "") + (
            f'(front (zone west) (listen "127.0.0.1:80") (list-service "127.0.0.1:1") {state_form}) {forms}'
        )
        if has_peers:
            text += '(peers (name f0) (listen "127.0.0.1:7946") (seeds "127.0.0.2:7946") (key-file "k"))'
        _, problems = check_file("front", lambda _: text)
        return [
            problem.message
            for problem in [*problems.errors, *problems.items]
            if "keeper" in problem.message or "seven" in problem.message
        ]

    valid = "(keepers (names f0 f1 f2))"
    assert problem_messages(valid) == []
    assert "is listed twice" in problem_messages("(keepers (names f0 f1 f1))")[0]
    assert "there is no (peers …)" in problem_messages(valid, has_peers=False)[0]
    assert "would lose its grants in a restart" in problem_messages(valid, has_state=False)[0]
    # This front is no acceptor.
    assert problem_messages("(keepers (names f1 f2 f3))", has_state=False) == []
    assert "2 keepers tolerate no more failures than 1" in problem_messages("(keepers (names f0 f1))")[0]


def test_operators_read_the_leases() -> None:
    acceptor = {"speaks": False, "sound": False, "record": True, "mute_ms": 1500, "waits_for": ["f1"]}
    lease = {
        "duty": "catalogue",
        "owner": "f2",
        "number": 7,
        "mine": False,
        "course": "waits before it asks",
        "in_line": 0,
    }
    status = {
        "name": "f0",
        "keepers": ["f0", "f1", "f2"],
        "term_ms": 6000,
        "duties": [lease],
        "keeper": acceptor,
    }
    assert describe_leases(status) == [
        "f0: keepers f0, f1, f2; a term is 6 s",
        "  a keeper, grants nothing, remembers nothing, mute for 1.5 s, waits for f1",
        "  catalogue: f2, number 7; here: waits before it asks, 1. in line",
    ]
    free_lease = {
        "duty": "catalogue",
        "owner": None,
        "number": 0,
        "mine": False,
        "course": None,
        "in_line": None,
    }
    acceptor_with_full_disk = {"speaks": True, "sound": True, "record": False, "mute_ms": 0, "waits_for": []}
    status |= {"duties": [free_lease], "keeper": acceptor_with_full_disk}
    assert describe_leases(status)[1:] == [
        "  a keeper, grants nothing, its record can't be written",
        "  catalogue: nobody, as far as this front knows",
    ]


def test_a_day_with_leases_needs_existing_acceptors() -> None:
    def errors(forms: str) -> str:
        day = DAY_TEMPLATE.replace("SITE", SITE_TEMPLATE.replace("EXTRA", "")).replace(
            "(fronts west)", f"(fronts west) {forms}", 1
        )
        with pytest.raises(InvalidConfigurationError) as caught:
            parse_day(day, "day")
        return str(caught.value)

    assert "reached among the peers" in errors("(keepers 0)")
    assert "there is no front 3" in errors("(peers yes) (keepers 3)")
    assert "nobody grants terms" in errors("(fault owner-kill (at 1s) (for 1s))")
