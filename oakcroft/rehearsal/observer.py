"""Polls the fronts for their view of the fleet twice a second, through their operators' API."""

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
ANSWER_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_PROBLEM_CHARACTERS = 200
"""How much of the body of a refusal goes on record."""

FIRST_REFUSAL_STATUS = 300
"""From this status on, the front has refused the request."""


class Observer:
    """Records how each front sees the others and which leases it believes to hold."""

    def __init__(self, fronts: FrontProcesses, record: Record) -> None:
        """Polls nothing until `run` is called."""
        self.fronts = fronts
        self.record = record
        self.held_leases: dict[int, dict[str, int]] = {}
        """For each front, the fencing tokens of the leases that it believes to hold, by their names."""

    async def run(self) -> None:
        """Polls every front until cancelled."""
        async with trio.open_nursery() as nursery:
            for front in self.fronts.processes:
                nursery.start_soon(self._poll, front)

    async def _poll(self, front: FrontProcess) -> None:
        """Polls one front until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_SECONDS)
            if not front.running:
                self.held_leases.pop(front.number, None)
                continue
            if self.fronts.day.lease_acceptors:
                await self._record_leases(front)
            view = await request_operators_api(front, "GET", "/operators/fleet")
            if "members" in view:
                members = {
                    member["name"]: [member["standing"], member["start"]] for member in view["members"]
                }
                self.record.note("seen", front=front.number, start=view["start"], members=members)

    async def _record_leases(self, front: FrontProcess) -> None:
        """Records the leases that a front believes to hold, and the state of its latest rollout."""
        asked_at = time.time_ns()
        answer = await request_operators_api(front, "GET", "/operators/fleet/owners")
        if "duties" in answer:
            held = {lease["duty"]: lease["number"] for lease in answer["duties"] if lease["mine"]}
            self.held_leases[front.number] = held
            self.record.note("owners", front=front.number, asked=asked_at, duties=held)
        else:
            self.held_leases.pop(front.number, None)
        rollout = await request_operators_api(front, "GET", "/operators/fleet/roll-out")
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


async def request_operators_api(
    front: FrontProcess,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_seconds: float = ANSWER_TIMEOUT_SECONDS,
) -> dict[str, Any]:
    """Sends a request to a front's operators' API and returns the JSON of its answer.

    Returns status and problem of a refusal, and an empty dict if the front does not answer in time. An answer that comes
    after the front has restarted on another port counts as a refusal.
    """
    port = front.port
    client = HttpClient("127.0.0.1", port, connect_timeout_s=CONNECT_TIMEOUT_SECONDS)
    try:
        with trio.move_on_after(timeout_seconds):
            headers = [("Authorization", f"Bearer {OPERATORS_TOKEN}"), ("If-Match", "*")]
            response = await client.request(method, path, headers, body)
            if port == front.port and response.status < FIRST_REFUSAL_STATUS:
                return dict(orjson.loads(response.body))
            problem = response.body.decode("utf-8", "replace")[:MAX_PROBLEM_CHARACTERS]
            return {"status": response.status, "problem": problem}
    except (ExchangeError, orjson.JSONDecodeError):
        pass
    finally:
        await client.close()
    return {}


def orders_in_effect(fronts: FrontProcesses) -> list[Fact]:
    """Returns a fact for each order that took effect, read from the log of each front over all its processes."""
    effects = list[Fact]()
    for front in fronts.processes:
        for line_number, line in enumerate(front.log.read_bytes().splitlines()):
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
                            "place": line_number,
                            "number": entry["number"],
                            "step": entry["step"],
                        }
                    )
    return effects
