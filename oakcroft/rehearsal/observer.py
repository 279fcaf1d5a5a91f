"""What the fronts themselves say of the fleet, asked twice a second by way of their operators' interface."""

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

ASK_EVERY_SECONDS = 0.5
ANSWER_WITHIN_SECONDS = 1.0
CONNECT_WITHIN_SECONDS = 0.5
PROBLEM_SHOWN = 200
"""Characters of a refusal that go on record."""

FIRST_REFUSAL = 300
"""Statuses from here on say that the front did not do it."""


class Observer:
    """Puts on record how each front sees the others and which duties it takes for its own."""

    def __init__(self, fronts: FrontProcesses, record: Record) -> None:
        """Asks nothing yet; `run` does."""
        self.fronts, self.record = fronts, record
        self.owned: dict[int, dict[str, int]] = {}
        """By front, the duties that it takes for its own, with the number of its term."""

    async def run(self) -> None:
        """Asks every front until cancelled."""
        async with trio.open_nursery() as nursery:
            for front in self.fronts.all:
                nursery.start_soon(self._ask_again_and_again, front)

    async def _ask_again_and_again(self, front: FrontProcess) -> None:
        while True:
            await trio.sleep(ASK_EVERY_SECONDS)
            if not front.running:
                self.owned.pop(front.number, None)
                continue
            if self.fronts.day.keepers:
                await self._ask_owners(front)
            view = await ask_operators(front, "GET", "/operators/fleet")
            if "members" in view:
                members = {
                    member["name"]: [member["standing"], member["start"]] for member in view["members"]
                }
                self.record.note("seen", front=front.number, start=view["start"], members=members)

    async def _ask_owners(self, front: FrontProcess) -> None:
        asked = time.time_ns()
        said = await ask_operators(front, "GET", "/operators/fleet/owners")
        if "duties" in said:
            mine = {duty["duty"]: duty["number"] for duty in said["duties"] if duty["mine"]}
            self.owned[front.number] = mine
            self.record.note("owners", front=front.number, asked=asked, duties=mine)
        else:
            self.owned.pop(front.number, None)
        said = await ask_operators(front, "GET", "/operators/fleet/roll-out")
        if "fence" in said:
            plan = said.get("roll_out") or {}
            self.record.note("stands", front=front.number, fence=said["fence"], in_force=said["in_force"],
                             stage=plan.get("stage", "stopped"), turned_away=said["turned_away"])  # fmt: skip


async def ask_operators(
    front: FrontProcess, method: str, path: str, body: bytes = b"", within: float = ANSWER_WITHIN_SECONDS
) -> dict[str, Any]:
    """What a front says to its operators; nothing where it does not answer, or another life of it does."""
    port = front.port
    peer = HttpClient("127.0.0.1", port, connect_timeout_s=CONNECT_WITHIN_SECONDS)
    try:
        with trio.move_on_after(within):
            fields = [("Authorization", f"Bearer {OPERATORS_TOKEN}"), ("If-Match", "*")]
            answer = await peer.request(method, path, fields, body)
            if port == front.port and answer.status < FIRST_REFUSAL:
                return dict(orjson.loads(answer.body))
            problem = answer.body.decode("utf-8", "replace")[:PROBLEM_SHOWN]
            return {"status": answer.status, "problem": problem}
    except (ExchangeError, orjson.JSONDecodeError):
        pass
    finally:
        await peer.close()
    return {}


def orders_in_effect(fronts: FrontProcesses) -> list[Fact]:
    """Orders that took effect, in the order of each front's own log over all its lives."""
    some = list[Fact]()
    for front in fronts.all:
        for place, line in enumerate(front.log.read_bytes().splitlines()):
            if b'"order"' not in line:
                continue
            with suppress(orjson.JSONDecodeError):
                said = orjson.loads(line)
                if said.get("event") == "order":
                    some.append({"t": 0, "kind": "effect", "front": front.number, "place": place,
                                 "number": said["number"], "step": said["step"]})  # fmt: skip
    return some
