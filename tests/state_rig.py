"""Promises, node reports and disks for the tests of durable state, and steps of front ends with a state file."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

import apsw
import trio
from rig import Rig, start_front_end, wait_until, wait_until_recovered

from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.decisions.state.recovery import NodeReport
from oakcroft.decisions.state.state_file_health import FileState
from oakcroft.front.durable_state import FrontEndState
from oakcroft.httpwire.client import ExchangeError
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS, SECOND, Effect
from oakcroft.rulecheck.facts import collect_set_ups
from oakcroft.rulecheck.plan_terms import check_plan_terms
from oakcroft.rulecheck.repeated_set_ups import check_repeated_set_ups
from oakcroft.signalling import http_formats
from oakcroft.standins.disk import FaultyDisk
from oakcroft.store.file import StateFile

RETENTION = 300 * SECOND
DISK_NUMBERS = count()
GATEWAY_TIMEOUT = 504


def make_promise(
    id_: str = "p", mark: PromiseState = PromiseState.INTENT, effect: Effect = Effect.PAID, **changes: Any
) -> Promise:
    """Makes a promise that was sent to node n1 at one second."""
    promise = Promise(id_, f"key-{id_}", "about", "/whep/course/t", "t", "course", effect.value, False, False, "u", 2, "",
                   0, 5 * SECOND, mark, "n1", "n1-1", SECOND, changed=SECOND)  # fmt: skip
    return replace(promise, **changes)


def node_report(**changes: Any) -> NodeReport:
    """Makes a node report that can prove that an intent never ran."""
    received_at = 8 * SECOND
    return replace(
        NodeReport("n1-1", {}, frozenset(), 60 * SECOND, 60 * SECOND, received_at, received_at + MS),
        **changes,
    )


def make_disk() -> FaultyDisk:
    """Makes a disk with a unique name."""
    return FaultyDisk(f"disk-{next(DISK_NUMBERS)}")


def key_header(name: str) -> dict[str, Any]:
    """Returns the header of an idempotency key."""
    return {"Idempotency_Key": http_formats.quoted_string(name)}


def problem_name(response: Response) -> str:
    """Returns the last part of a response's problem type."""
    return http_formats.problem_type(response.body).rpartition(":")[2]


def durable_state_of(rig: Rig) -> FrontEndState:
    """The durable state of the running front end."""
    durable_state = rig.coordinator().durable_state
    assert durable_state is not None
    return durable_state


async def wait_until_state_file_is_healthy(rig: Rig) -> None:
    """Waits until the front end's state file takes records again."""
    await wait_until(lambda: durable_state_of(rig).store.health.state is FileState.HEALTHY)


def check_rules_2_and_5(rig: Rig) -> None:
    """Checks rules 2 and 5 on the nodes' records."""
    kinds = ("setup", "ran", "answer", "broken", "over")
    facts = [fact for kind in kinds for fact in rig.recorded(kind)]
    facts.sort(key=lambda fact: fact["t"])
    found, _ = check_file("site", lambda _: rig.site_text, False)
    assert found is not None
    site = build_deployment(found).shared
    set_ups = collect_set_ups(facts)
    repeated = check_repeated_set_ups(facts, set_ups, site).breaches
    assert repeated == [], repeated
    exceeded = check_plan_terms(facts, set_ups, site).breaches
    assert exceeded == [], exceeded


async def restart_front_end(
    rig: Rig, nursery: trio.Nursery, open_state_file: Callable[[str], StateFile] | None = None
) -> None:
    """Kills the front end and starts another on the same state."""
    rig.front_end_scope.cancel()
    await rig.exited.wait()
    await start_front_end(nursery, rig, with_state=True, open_state_file=open_state_file)


class KillRounds:
    """Kills a front end at chosen calls of its disk, and collects what it answers to each key before and after."""

    def __init__(self, rig: Rig, nursery: trio.Nursery) -> None:
        """Begins with an empty disk."""
        self.rig = rig
        self.nursery = nursery
        self.disk = make_disk()
        self.rng = Random(5)
        self.answers_by_key: dict[str, list[str]] = {}

    def open_state_file(self, _path: str) -> StateFile:
        """Opens the state file on the present disk."""
        return StateFile("state", vfs=self.disk.name)

    async def request(self, path: str, key: str) -> None:
        """Requests a playback and keeps its location or status, or that the connection was cut."""
        try:
            response = await self.rig.request_playback(path, **key_header(key))
        except (ExchangeError, OSError):
            self.answers_by_key.setdefault(key, []).append("cut")
            return
        self.answers_by_key.setdefault(key, []).append(response.header("location") or str(response.status))

    def set_kill_point(self, kill_point: int) -> None:
        """Lets a call of the disk, counted from now, kill the front end; this call and all later ones fail."""
        token = trio.lowlevel.current_trio_token()

        def kill_at_point(number: int, _call: str) -> None:
            if number >= kill_point:
                if number == kill_point:
                    token.run_sync_soon(self.rig.front_end_scope.cancel)
                raise apsw.exception_for(apsw.SQLITE_IOERR)

        self.disk.call_count = 0
        self.disk.on_call = kill_at_point

    async def request_until_killed(self, requested: list[tuple[str, str]], kill_point: int) -> None:
        """Sends requests, each a path and a key, at the same time; the front end is killed after them at the latest."""
        self.set_kill_point(kill_point)
        async with trio.open_nursery() as requests:
            for path, key in requested:
                requests.start_soon(self.request, path, key)
        if not self.rig.exited.is_set():
            self.rig.front_end_scope.cancel()
        await self.rig.exited.wait()

    async def restart(self) -> None:
        """Starts the front end again with what a power cut leaves of its disk."""
        self.disk.on_call = None
        self.disk = self.disk.cut_power(self.rng)
        await start_front_end(self.nursery, self.rig, with_state=True, open_state_file=self.open_state_file)
        await wait_until_recovered(self.rig)

    async def end_playbacks(self, keys: list[str]) -> None:
        """Ends all playbacks, which would leave no room for the requests of later kill points if they went on."""
        locations = {answer for key in keys for answer in self.answers_by_key[key]}
        for location in sorted(locations):
            if location.startswith("/"):
                await self.rig.request("DELETE", location)
        for node in self.rig.nodes_in_use():  # sessions whose answer was cut off
            for session in list(node.sessions):
                node.end_session(session, "ended by the test")
        await wait_until(lambda: not self.rig.nodes_in_use())

    def check_answers(self, min_played: int) -> None:
        """Checks that no key has two answers.

        Some keys must have been cut off by the kill, and `min_played` at least have been answered with a playback before.
        """
        first_answers = Counter(answers[0][:1] for answers in self.answers_by_key.values())
        assert first_answers["c"]
        assert first_answers["/"] >= min_played
        for key, (first, second) in self.answers_by_key.items():
            if first.startswith("/") or first == str(GATEWAY_TIMEOUT):
                assert second == first, f"{key}: {first} and then {second}"
