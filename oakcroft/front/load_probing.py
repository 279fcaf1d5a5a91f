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

from oakcroft.decisions.fleet.load_sharing import LoadSharing, LoadReport
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.interface import MS, SECOND

CHECK_INTERVAL_NS = 100 * MS


class LoadPeers(Protocol):
    """The fleet's other front ends, as far as loads go."""

    def send_loads(self, peer: str, reports: list[LoadReport]) -> None:
        """Sends load reports to one front end."""
        ...

    def present(self) -> list[str]:
        """The names of the present front ends."""
        ...


class LoadProbing:
    """One front end's part in sharing nodes' loads."""

    def __init__(
        self, coordinator: SessionCoordinator, peers: LoadPeers, front_name: str, probe_interval: int, seed: int,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        """`probe_interval` in ns; `seed` spreads the probes."""
        self.coordinator, self.peers, self.log = coordinator, peers, log
        self.load_sharing = LoadSharing(front_name, probe_interval, Random(seed))
        coordinator.on_link_load = self.record_own_load

    def record_own_load(self, node: str, load: float, age_ns: int) -> None:
        """Records a node's load, reported with this front end's own traffic `age_ns` ago."""
        self.load_sharing.record_own_load(node, load, age_ns, self.coordinator.clock.now())

    def receive_reports(self, reports: list[LoadReport]) -> None:
        """Handles load reports from another front end."""
        now = self.coordinator.clock.now()
        for node, asked, age in self.load_sharing.receive_reports(reports, now):
            self.coordinator.try_submit(partial(self.coordinator.apply_peer_load, node, asked, now - age))

    async def run(self) -> None:
        """Probes nodes and sends load reports as they are due, until cancelled."""
        while True:
            now = self.coordinator.clock.now()
            self.load_sharing.update_nodes(
                {line.name: line.started_at for line in self.coordinator.node_list.listed_nodes.values()}
            )
            self.load_sharing.update_present_fronts(self.peers.present())
            for node in self.load_sharing.due_probes(now):
                self.coordinator.nursery.start_soon(self._probe, node)
            for to, rows in self.load_sharing.due_messages(now):
                self.peers.send_loads(to, rows)
            await trio.sleep(CHECK_INTERVAL_NS / SECOND)

    async def _probe(self, node: str) -> None:
        asked, knows = None, True
        try:
            if (leg := self.coordinator.node_clients.get(node)) is not None:
                asked, knows = await leg.fetch_load()
        finally:
            now = self.coordinator.clock.now()
            self.load_sharing.probe_finished(node, asked, knows, now)
        if asked is not None:
            await self.coordinator.submit(partial(self.coordinator.apply_peer_load, node, asked, now))

    def status(self) -> dict[str, object]:
        """Probe counts and the ages of known loads, for operators."""
        figures, now = self.load_sharing, self.coordinator.clock.now()
        ages = figures.known_ages(now)
        first = sum(p.probe_rank == 0 for p in figures.nodes.values())
        return {
            "nodes": len(figures.nodes),
            "known": len(ages),
            "mine_to_ask": first,
            "age_ms": [ages[len(ages) // 2] // MS, ages[-1] // MS] if ages else None,
            "asks": figures.probes_sent,
            "failed": figures.probes_failed,
            "refused": figures.probes_unsupported,
            "taken": figures.reports_accepted,
            "strange": figures.reports_discarded,
            "every_ms": figures.effective_interval() // MS,
        }
