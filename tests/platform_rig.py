"""One front end on the platform's protocol with stubs of its peers, in one event loop on loopback."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import orjson
import structlog
import trio
from platform_stubs import StubChannel, StubNode, StubViewer

from oakcroft.config import pipeline
from oakcroft.platform.serve import PlatformFrontEnd
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platformwire import configuration
from oakcroft.rulecheck.rules import check_rules

A, B, C = "000000000000000a", "000000000000000b", "000000000000000c"  # session ids
FAILED, REJECTED, ENDED = 41, 42, 16  # causes of releases, as numbers on the wire
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "membershipMode": "automatic",
    "models": ["k"],
    "classes": [
        {"name": "paid", "effect": "single_shot", "objectiveMs": 300.0, "deadlineMs": 1200.0, "worth": 2.0},
        {"name": "free", "effect": "free", "objectiveMs": 400.0, "deadlineMs": 1500.0, "worth": 1.0},
    ],
    "familyInfo": {
        "cells": 2,
        "classSeats": [0, 0],
        "classTop": [2, 2],
        "floorByClass": [0, 0],
        "groups": 1,
        "joinAdds": 1.0,
        "kindSlots": [400],
        "live": [False, False],
        "rateFactor": [1.0, 1.0],
        "ratesKb": [100.0, 200.0, 400.0],
        "reportsEveryMs": 1000.0,
        "rungWorth": [0.3, 0.6, 1.0],
        "seenAfterMs": 50.0,
        "uplinkKb": 0.0,
        "weightKb": 400000.0,
    },
    "permissions": {
        "maxAttempts": 3,
        "maxRetryAfterMs": 1000.0,
        "retryAfter": True,
        "connIdleMs": 15000.0,
        "dialTimeoutMs": 250.0,
        "streamsPerConn": 1024,
        "maxOpen": 1000,
    },
    "rules": {
        "coldMs": 200.0,
        "coldShare": 0.5,
        "drainGraceMs": 250.0,
        "fallMultiple": 50.0,
        "overloadForMs": 1000.0,
    },
}


class PlatformRig:
    """One front end on the platform's protocol, with the nodes n0 and n1."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Creates the stubs; `start` runs them and the front end."""
        self.nursery = nursery
        self.facts = list[dict[str, Any]]()
        self.answered_ids = set[str]()  # sessions whose viewers got an answer
        self.nodes = [StubNode("n0", self.facts), StubNode("n1", self.facts)]
        self.channel = StubChannel()
        self.stop = trio.Event()
        self.ended = trio.Event()
        self.host, self.port = "127.0.0.1", 0
        self.platform: PlatformFrontEnd
        self.info: dict[str, Any] = dict(SETTINGS["familyInfo"])
        self.permissions: dict[str, Any] = dict(SETTINGS["permissions"])

    @property
    def coordinator(self) -> SessionCoordinator:
        """The front end's session coordinator."""
        assert self.platform.coordinator is not None
        return self.platform.coordinator

    async def listen(self, serve: Any) -> int:
        """Serves a stub on a free port; returns the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    def member(self, node: StubNode, phase: str = "up", name: str = "") -> dict[str, Any]:
        """Returns a node as the command channel lists it."""
        return {
            "id": name or node.name,
            "host_port": f"127.0.0.1:{node.port}",
            "locality": "w",
            "flavor": "k",
            "cell": int(node.name[1]),
            "phase": phase,
            "size": 1,
            "up_since_ms": 0,
        }

    def configuration(self) -> dict[str, Any]:
        """Returns the front end's configuration, with both nodes on the known list."""
        members = [self.member(n) for n in self.nodes]
        known = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": members}}]}
        return {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "07",
            "limits": {"sockets": 64, "memory_mb": 64},
            "channel": f"127.0.0.1:{self.channel.port}",
            "known": known,
            "settings": SETTINGS | {"familyInfo": self.info, "permissions": self.permissions},
        }

    async def start(self, dead: int = -1) -> None:
        """Starts the stubs and the front end, and waits until it listens. Nothing listens at the node `dead`."""
        self.channel.port = await self.listen(self.channel.serve)
        for i, node in enumerate(self.nodes):
            node.port = 1 if i == dead else await self.listen(node.serve)
        decoded = configuration.decode(orjson.dumps(self.configuration()))
        decoded.listen_address = ("127.0.0.1", 0)
        self.platform = PlatformFrontEnd(decoded, structlog.wrap_logger(structlog.ReturnLogger()))
        listening = trio.Event()

        async def ready(port: int) -> None:
            self.port = port
            listening.set()

        async def run() -> None:
            await self.platform.run(signals=False, stop=self.stop, ready=ready)
            self.ended.set()

        self.nursery.start_soon(run)
        await listening.wait()

    async def viewer(self) -> StubViewer:
        """Opens a viewer's connection."""
        stream = await trio.open_tcp_stream(self.host, self.port)
        return StubViewer(stream, self.facts, self.answered_ids)

    def add_list_change(self, cursor: int, *members: dict[str, Any]) -> None:
        """Adds an event with changes of the list to the command channel."""
        self.channel.cmds.append({"cursor": cursor, "nodes": {"complete": False, "members": list(members)}})


def rule_settings() -> Any:
    """Returns the deployment settings by which the recorded facts are judged."""
    found, _problems = pipeline.check_file(
        "s",
        lambda _: (
            """(fleet (fronts 1) (cells 2) (drain-grace 250ms) (cold-share 0.5) (cold-for 200ms)
    (fall-multiple 50) (fall-window 1s)) (ladder (rates 100kB/s 200kB/s 400kB/s) (worth 0.3 0.6 1))
  (plan paid (effect paid) (startup-target 300ms) (abandon 1200ms) (revenue 2))
  (plan free (effect free) (startup-target 400ms) (abandon 1500ms) (revenue 1))
  (route p (path "/p/") (plan paid)) (route f (path "/f/") (plan free))"""
        ),
        is_front_file=False,
    )
    assert found is not None
    return pipeline.build_deployment(found).shared


def rule_breaches(rig: PlatformRig) -> list[str]:
    """Returns the breaches of the rules in the recorded facts."""
    return [breach for finding in check_rules(rig.facts, rule_settings()) for breach in finding.breaches]


@asynccontextmanager
async def running_platform(
    info: dict[str, Any] | None = None, permissions: dict[str, Any] | None = None
) -> AsyncIterator[PlatformRig]:
    """Runs one front end with its stubs while the block runs; `info` and `permissions` replace settings."""
    async with trio.open_nursery() as nursery:
        rig = PlatformRig(nursery)
        rig.info |= info or {}
        rig.permissions |= permissions or {}
        await rig.start()
        yield rig
        nursery.cancel_scope.cancel()


def run_on_platform(
    test: Callable[[PlatformRig], Awaitable[None]],
    dead: int = -1,
    started: bool = True,
    within: float = 30,
    info: dict[str, Any] | None = None,
) -> None:
    """Runs a test against one front end, within a time limit. Unless `started`, the test starts it itself."""

    async def bounded() -> None:
        with trio.fail_after(within):
            async with trio.open_nursery() as nursery:
                rig = PlatformRig(nursery)
                rig.info |= info or {}
                if started:
                    await rig.start(dead)
                await test(rig)
                nursery.cancel_scope.cancel()

    trio.run(bounded)
