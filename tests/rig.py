"""A front end and a small fleet of stand-in nodes in one event loop, on loopback, for end-to-end tests."""

from __future__ import annotations

import io
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import structlog
import trio

from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.decisions.state.recovery import RecoveryPhase
from oakcroft.running.clock import Clock
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.front_end import FrontEnd
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.rehearsal.viewers import offer
from oakcroft.rulecheck.rules import check_rules
from oakcroft.signalling import http_formats, sdp
from oakcroft.standins.day import parse_day
from oakcroft.standins.fleet import Fleet
from oakcroft.standins.playout import PlayoutNode
from oakcroft.standins.record import Record
from oakcroft.standins.record import read_facts as read_record
from oakcroft.store.file import StateFile

SITE_TEMPLATE = """(fleet (fronts 1) (wings west) (cells 2) (seen-after 50ms) (reports-every 500ms) (cold-for 200ms)
    (fall-multiple 50) (fall-window 1s) (stay-away-most 2s) (drain-grace 250ms))
  (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
  (plan course (effect paid) (startup-target 400ms) (abandon 1200ms) (revenue 2))
  (plan open (effect free) (startup-target 400ms) (abandon 1500ms) (revenue 1) (floor 0))
  (route course (path "/whep/course/") (plan course)) (route open (path "/whep/open/") (plan open))
  (plan seats (effect free) (startup-target 400ms) (abandon 1500ms) (revenue 1) (seats 2))
  (route seats (path "/whep/seats/") (plan seats)) (route studio (path "/whip/open/") (plan open) (for publish))
  (nodes (silent-after 1200ms) (lost-after 2500ms) (list-within 300ms)) (stopping (drain-within 1s) (leave-within 1s))
  (signalling (ice-servers "stun:127.0.0.1:3478")) EXTRA"""
DAY_TEMPLATE = """(day (length 60s) (fronts west) (late 10ms 20ms) (setup 2ms 4ms) (site SITE)
  (node n1 (wing west) (cell 0) (link 40000kB/s) (places 40)) (node n2 (wing west) (cell 1) (link 40000kB/s) (places 40))
  (viewers (rate 1/s) (titles 3) (plan course (share 1) (life 5s))))"""


def run_async_test(test: Callable[[], Awaitable[None]], timeout_seconds: float = 30) -> None:
    """Runs an async test with a timeout."""

    async def run_with_timeout() -> None:
        """Runs the test, and fails it after the timeout."""
        with trio.fail_after(timeout_seconds):
            await test()

    trio.run(run_with_timeout)


async def wait_until(condition: Callable[[], object], timeout_seconds: float = 6) -> None:
    """Waits until a condition holds that the test has caused."""
    with trio.fail_after(timeout_seconds):
        while not condition():
            await trio.sleep(0.01)


@dataclass
class Rig:
    """One front end and its fleet."""

    port: int
    fleet: Fleet
    record: Record
    directory: Path
    log_output: io.BytesIO
    stop: trio.Event
    front_end_scope: trio.CancelScope
    site_text: str
    front_end: FrontEnd | None = None
    exited: trio.Event = field(default_factory=trio.Event)
    serving: trio.Event = field(default_factory=trio.Event)
    """Set when `port` is that of the running front end."""

    def node(self, name: str) -> PlayoutNode:
        """Node by name."""
        return self.fleet.nodes[name]

    def nodes_in_use(self) -> list[PlayoutNode]:
        """Nodes that have sessions."""
        return [node for node in self.fleet.nodes.values() if node.sessions]

    def recorded(self, kind: str) -> list[dict[str, Any]]:
        """Recorded facts of one kind, in order."""
        self.record.file.flush()
        return [fact for fact in read_record(self.directory / "fleet.jsonl") if fact["kind"] == kind]

    def log_entries(self) -> list[dict[str, Any]]:
        """Log entries of the front end so far."""
        return [orjson.loads(line) for line in self.log_output.getvalue().splitlines()]

    async def request(self, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
        """Sends one HTTP request on a connection of its own; header names have underscores for hyphens."""
        peer = HttpClient("127.0.0.1", self.port)
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        response = await peer.request(method, path, fields, body)
        await peer.close()
        return response

    async def request_playback(
        self, path: str = "/whep/open/t", kbit: int = 20_000, **headers: str
    ) -> Response:
        """Requests a playback with an offer of the given bandwidth in kbit/s."""
        headers.setdefault("Content_Type", sdp.MEDIA_TYPE)
        return await self.request("POST", path, offer(kbit, 1, path.startswith("/whip")).encode(), **headers)

    async def recorded_viewer(
        self,
        key: str,
        path: str = "/whep/open/t",
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> Response | None:
        """Requests a playback with a key of its own, and records the request and its answer, or its leaving."""
        plan = path.split("/")[2]
        wait = self.fleet.day.site.plans[plan].abandon_ns
        self.record.note("ask", key=key, plan=plan, front=0, wait=wait)
        task_status.started()
        response = None
        try:
            response = await self.request_playback(path, Idempotency_Key=f'"{key}"')
            kind = http_formats.problem_type(response.body) if response.status != 201 else ""
            self.record.note("got", key=key, status=response.status, type=kind, extra=False)
        except ExchangeError:
            self.record.note("cut", key=key)
        except trio.Cancelled:
            self.record.note("left", key=key)
            raise
        return response

    def rule_breaches(self) -> dict[int, list[str]]:
        """Breaches of the six rules, by rule, judged from the recorded facts."""
        self.record.file.flush()
        found = check_rules(read_record(self.directory / "fleet.jsonl"), self.fleet.day.site)
        assert [finding.rule for finding in found] == [1, 2, 3, 4, 5, 6]
        return {finding.rule: finding.breaches for finding in found if finding.breaches}

    def assert_rules_hold(self) -> None:
        """Asserts that all six rules held."""
        assert self.rule_breaches() == {}

    def coordinator(self) -> SessionCoordinator:
        """Session coordinator of the front end that runs."""
        assert self.front_end is not None
        assert self.front_end.coordinator is not None
        return self.front_end.coordinator

    async def request_playback_ignoring_errors(self, path: str, headers: dict[str, Any]) -> None:
        """Requests a playback from a front end that may be killed meanwhile."""
        with suppress(ExchangeError, OSError):
            await self.request_playback(path, **headers)


@asynccontextmanager
async def running_front_end(
    folder: Path, extra: str = "", fleet: str = "", with_state: bool = False, two_zones: bool = False
) -> AsyncIterator[Rig]:
    """A front end that serves and two warm nodes that it knows.

    `with_state`: it keeps a state file across restarts. `two_zones`: the second node is in another zone than
    the front end.
    """
    site = SITE_TEMPLATE.replace("EXTRA", extra).replace(
        "(drain-grace 250ms)", f"(drain-grace 250ms) {fleet}"
    )
    day = DAY_TEMPLATE.replace("n2 (wing west)", "n2 (wing east)") if two_zones else DAY_TEMPLATE
    site = site.replace("(wings west)", "(wings west east)") if two_zones else site
    scenario = parse_day(day.replace("SITE", site), "day")
    record = Record(folder / "fleet.jsonl")
    log_output = io.BytesIO()
    async with trio.open_nursery() as nursery:
        fleet_nodes = Fleet(scenario, record, Clock())
        fleet_up = trio.Event()
        nursery.start_soon(fleet_nodes.run, fleet_up)
        await fleet_up.wait()
        rig = Rig(0, fleet_nodes, record, folder, log_output, trio.Event(), trio.CancelScope(), site)
        await start_front_end(nursery, rig, with_state=with_state)
        await wait_until(lambda: any(e["event"] == "list" for e in rig.log_entries()))
        yield rig
        nursery.cancel_scope.cancel()
    record.close()


async def wait_until_recovered(rig: Rig) -> None:
    """Waits until the front end has recovered and stores promises."""

    def is_serving() -> bool:
        """Whether recovery has ended."""
        coordinator = rig.front_end.coordinator if rig.front_end is not None else None
        state = coordinator.durable_state if coordinator is not None else None
        return state is not None and state.recovery.phase is RecoveryPhase.SERVING

    await wait_until(is_serving)


async def start_front_end(
    nursery: trio.Nursery,
    rig: Rig,
    list_port: int | None = None,
    port: int = 0,
    with_state: bool = False,
    open_state_file: Callable[[str], StateFile] | None = None,
) -> None:
    """Starts or restarts a front end."""
    list_port = rig.fleet.list_port if list_port is None else list_port
    endpoints = (
        f'(listen "127.0.0.1:{port}") (list-service "127.0.0.1:{list_port}") (kept "{rig.directory}/kept")'
    )
    if with_state:
        endpoints += f' (state "{rig.directory}/state")'
    text = f"(front (zone west) {endpoints})"
    checked, diagnostics = check_file("front", lambda _: f"{text}\n{rig.site_text}")
    assert checked is not None, [diagnostics.format(error) for error in diagnostics.errors]
    log = structlog.wrap_logger(
        structlog.BytesLogger(rig.log_output),
        wrapper_class=structlog.make_filtering_bound_logger(10),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(serializer=orjson.dumps),
        ],
    )
    rig.serving = trio.Event()
    stop = trio.Event()
    scope = trio.CancelScope()

    async def ready(listen_port: int) -> None:
        """Takes the port of the front end that serves now."""
        rig.port = listen_port
        rig.serving.set()

    rig.front_end = front_end = FrontEnd(build_deployment(checked), log)
    front_end.open_state_file = open_state_file

    async def serve() -> None:
        """Runs the front end until it stops or is killed."""
        with scope:
            await front_end.run(ready, signals=False, stop=stop)
        rig.exited.set()

    nursery.start_soon(serve)
    rig.stop = stop
    rig.front_end_scope = scope
    rig.exited = trio.Event()
    await rig.serving.wait()
