"""Sharing of nodes' loads among front ends.

Probes the nodes assigned to this front end, sends their loads to other front ends, and passes the loads that others send
to the decision module. The decisions are in decisions/fleet/load_sharing.py.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Protocol

import structlog
import trio

from oakcroft.decisions.fleet.load_sharing import Figures, Row
from oakcroft.front.session_coordinator import Helm
from oakcroft.interface import MS, SECOND

LOOK = 100 * MS


class Speaking(Protocol):
    """The fleet's other front ends, as far as loads go."""

    def send_loads(self, to: str, rows: list[Row]) -> None:
        """Sends load reports to one front end."""
        ...

    def present(self) -> list[str]:
        """The names of the present front ends."""
        ...


class Probing:
    """One front end's part in sharing nodes' loads."""

    def __init__(
        self, helm: Helm, peers: Speaking, me: str, every: int, seed: int,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        """`probe_interval` in ns; `seed` spreads the probes."""
        self.helm, self.peers, self.log = helm, peers, log
        self.figures = Figures(me, every, Random(seed))
        helm.heard_load = self.own

    def own(self, node: str, asked: float, age: int) -> None:
        """Records a node's load, reported with this front end's own traffic `age_ns` ago."""
        self.figures.own(node, asked, age, self.helm.clock.now())

    def heard(self, rows: list[Row]) -> None:
        """Handles load reports from another front end."""
        now = self.helm.clock.now()
        for node, asked, age in self.figures.heard(rows, now):
            self.helm.offer(partial(self.helm.told_load, node, asked, now - age))

    async def run(self) -> None:
        """Probes nodes and sends load reports as they are due, until cancelled."""
        while True:
            now = self.helm.clock.now()
            self.figures.listed({line.name: line.started_at for line in self.helm.roster.lines.values()})
            self.figures.sees(self.peers.present())
            for node in self.figures.due(now):
                self.helm.nursery.start_soon(self._ask, node)
            for to, rows in self.figures.tells(now):
                self.peers.send_loads(to, rows)
            await trio.sleep(LOOK / SECOND)

    async def _ask(self, node: str) -> None:
        asked, knows = None, True
        try:
            if (leg := self.helm.legs.get(node)) is not None:
                asked, knows = await leg.load()
        finally:
            now = self.helm.clock.now()
            self.figures.asked(node, asked, knows, now)
        if asked is not None:
            await self.helm.tell(partial(self.helm.told_load, node, asked, now))

    def status(self) -> dict[str, object]:
        """Probe counts and the ages of known loads, for operators."""
        figures, now = self.figures, self.helm.clock.now()
        ages = figures.ages(now)
        first = sum(p.rank == 0 for p in figures.places.values())
        return {
            "nodes": len(figures.places), "known": len(ages), "mine_to_ask": first,
            "age_ms": [ages[len(ages) // 2] // MS, ages[-1] // MS] if ages else None,
            "asks": figures.asks, "failed": figures.failed, "refused": figures.refused, "taken": figures.taken,
            "strange": figures.strange, "every_ms": figures.interval() // MS,
        }  # fmt: skip
