"""Promises, node reports and disks for the tests of durable state, and steps of front ends with a state file."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Any

import trio
from rig import Rig, start_front_end, wait_until

from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.decisions.state.recovery import NodeReport
from oakcroft.decisions.state.state_file_health import FileState
from oakcroft.front.durable_state import FrontEndState
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
    assert check_repeated_set_ups(facts, set_ups, site).breaches == []
    assert check_plan_terms(facts, set_ups, site).breaches == []


async def restart_front_end(
    rig: Rig, nursery: trio.Nursery, open_state_file: Callable[[str], StateFile] | None = None
) -> None:
    """Kills the front end and starts another on the same state."""
    rig.front_end_scope.cancel()
    await rig.exited.wait()
    await start_front_end(nursery, rig, with_state=True, open_state_file=open_state_file)
