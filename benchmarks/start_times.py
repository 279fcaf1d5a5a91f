"""Measures how long a front takes to start without a state file, with an empty one, or with one that holds playbacks."""

from __future__ import annotations

import tempfile
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

import trio

from benchmarks.restart_rig import Rig, request_playback
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.running.clock import Clock
from oakcroft.rehearsal.viewers import offer
from oakcroft.store.file import PutPromise, StateFile

MAX_TRIES = 4000
"""Requests until the first answer 201, 5 ms apart."""


def write_promises(state_file: Path, count: int) -> None:
    """Writes a state file with this number of running playbacks."""
    file = StateFile(str(state_file))
    now = Clock().now()
    answer = offer(20_000, 1)
    promises = (
        Promise(
            id=f"id{i}",
            key=f"k{i}",
            about="about",
            path="/whep/open/t",
            title=f"t{i % 50}",
            plan="open",
            effect="free",
            seats=False,
            publishes=False,
            ufrag="u",
            top=2,
            token="",
            written=now,
            abandon=now,
            mark=PromiseState.PLAYS,
            node=f"n{i % 10}",
            process="",
            sent_at=now,
            resource=f"/sessions/s{i}",
            events="",
            layer="",
            tag="t",
            answer=answer,
            rung=1,
            changed=now,
        )
        for i in range(count)
    )
    file.commit(PutPromise(promise) for promise in promises)
    file.close()


class StartTimes(NamedTuple):
    """How long a front takes from its start, in seconds, and its memory."""

    listening_s: float
    first_free_s: float
    first_paid_s: float
    memory_mb: float


async def measure_start(kind: str, held_count: int) -> StartTimes:
    """Measures a start without a state file ("nothing"), with an "empty" one, or with one of "held" playbacks."""
    with tempfile.TemporaryDirectory() as name:
        rig = Rig(Path(name))
        await rig.start_fleet(kind != "nothing")
        if kind != "nothing":  # a front that ran before has left its node list
            await rig.start_front()
            await trio.sleep(1.0)
            await rig.kill_front()
        if kind == "held":
            write_promises(Path(name) / "state", held_count)
        began = trio.current_time()
        await rig.start_front()
        listening_s = trio.current_time() - began
        first_answers_s = []
        for plan in ("open", "paid"):
            for number in range(MAX_TRIES):
                answer = await request_playback(rig.port, f"/whep/{plan}/t1", f"{plan}{number}")
                if answer.status == HTTPStatus.CREATED:
                    break
                await trio.sleep(0.005)
            first_answers_s.append(trio.current_time() - began)
        memory_mb = rig.front.resident_bytes() / 1e6
        await rig.kill_front()
        await rig.fleet.stop()
        return StartTimes(listening_s, first_answers_s[0], first_answers_s[1], memory_mb)
