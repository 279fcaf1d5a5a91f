"""Polls the fronts for their view of the fleet twice a second, over their operators' interface."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import Any

import orjson
import trio

from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.rehearsal.front_processes import OPERATORS_TOKEN, FrontProcess, FrontProcesses
from oakcroft.rulecheck.facts import Fact
from oakcroft.standins.record import Record

POLL_INTERVAL_SECONDS = 0.5
ANSWER_WITHIN_SECONDS = 1.0
CONNECT_WITHIN_SECONDS = 0.5
PROBLEM_SHOWN = 200
"""Characters of a refused answer that go on record."""

FIRST_REFUSAL_STATUS = 300
"""Statuses from this one on say that the front did not do what was asked."""


class Observer:
    """Records how each front sees the others and which duties it believes to own."""

    def __init__(self, fronts: FrontProcesses, record: Record) -> None:
        """Polls nothing until `run`."""
        self.fronts = fronts
        self.record = record
        self.owned: dict[int, dict[str, int]] = {}
        """By front, the duties that it believes to own, with the number of its term."""

    async def run(self) -> None:
        """Polls every front until cancelled."""
        async with trio.open_nursery() as nursery:
            for front in self.fronts.all:
                nursery.start_soon(self._poll, front)

    async def _poll(self, front: FrontProcess) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL_SECONDS)
            if not front.running:
                self.owned.pop(front.number, None)
                continue
            if self.fronts.day.keepers:
                await self._record_duties(front)
            view = await ask_operators(front, "GET", "/operators/fleet")
            if "members" in view:
                members = {
                    member["name"]: [member["standing"], member["start"]] for member in view["members"]
                }
                self.record.note("seen", front=front.number, start=view["start"], members=members)

    async def _record_duties(self, front: FrontProcess) -> None:
        asked_at = time.time_ns()
        owners = await ask_operators(front, "GET", "/operators/fleet/owners")
        if "duties" in owners:
            owned = {duty["duty"]: duty["number"] for duty in owners["duties"] if duty["mine"]}
            self.owned[front.number] = owned
            self.record.note("owners", front=front.number, asked=asked_at, duties=owned)
        else:
            self.owned.pop(front.number, None)
        rollout = await ask_operators(front, "GET", "/operators/fleet/roll-out")
        if "fence" in rollout:
            plan = rollout.get("roll_out") or {}
            self.record.note(
                "stands",
                front=front.number,
                fence=rollout["fence"],
                in_force=rollout["in_force"],
                stage=plan.get("stage", "stopped"),
                turned_away=rollout["turned_away"],
            )


async def ask_operators(
    front: FrontProcess, method: str, path: str, body: bytes = b"", within: float = ANSWER_WITHIN_SECONDS
) -> dict[str, Any]:
    """Sends a request to a front's operators' interface and returns the JSON of its answer.

    Returns status and problem of a refusal, and an empty dict if the front does not answer in time. An answer that comes
    after the front has moved to another port counts as a refusal.
    """
    port = front.port
    peer = HttpClient("127.0.0.1", port, connect_timeout_s=CONNECT_WITHIN_SECONDS)
    try:
        with trio.move_on_after(within):
            headers = [("Authorization", f"Bearer {OPERATORS_TOKEN}"), ("If-Match", "*")]
            response = await peer.request(method, path, headers, body)
            if port == front.port and response.status < FIRST_REFUSAL_STATUS:
                return dict(orjson.loads(response.body))
            problem = response.body.decode("utf-8", "replace")[:PROBLEM_SHOWN]
            return {"status": response.status, "problem": problem}
    except (ExchangeError, orjson.JSONDecodeError):
        pass
    finally:
        await peer.close()
    return {}


def orders_in_effect(fronts: FrontProcesses) -> list[Fact]:
    """Returns a fact for each order that took effect, in the order of each front's log over all its processes."""
    effects = list[Fact]()
    for front in fronts.all:
        for place, line in enumerate(front.log.read_bytes().splitlines()):
            if b'"order"' not in line:
                continue
            with suppress(orjson.JSONDecodeError):
                entry = orjson.loads(line)
                if entry.get("event") == "order":
                    effects.append(
                        {
                            "t": 0,
                            "kind": "effect",
                            "front": front.number,
                            "place": place,
                            "number": entry["number"],
                            "step": entry["step"],
                        }
                    )
    return effects
