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

    def present(self) -> list[str]:
        """The names of the present front ends."""


class LoadProber:
    """One front end's part in sharing nodes' loads."""

    def __init__(
        self,
        coordinator: SessionCoordinator,
        peers: LoadPeers,
        front_name: str,
        probe_interval_ns: int,
        seed: int,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the probing; `run` has to run beside it. `seed` spreads the probes of the front ends."""
        self.coordinator = coordinator
        self.peers = peers
        self.log = log
        self.load_sharing = LoadSharing(front_name, probe_interval_ns, Random(seed))
        coordinator.on_link_load = self.record_own_load

    def record_own_load(self, node_name: str, load: float, age_ns: int) -> None:
        """Records a node's load, reported with this front end's own traffic `age_ns` ago."""
        self.load_sharing.record_own_load(node_name, load, age_ns, self.coordinator.clock.now())

    def receive_reports(self, reports: list[LoadReport]) -> None:
        """Handles load reports from another front end."""
        now = self.coordinator.clock.now()
        for node_name, load, age_ns in self.load_sharing.receive_reports(reports, now):
            self.coordinator.try_submit(
                partial(self.coordinator.apply_peer_load, node_name, load, now - age_ns)
            )

    async def run(self) -> None:
        """Probes nodes and sends load reports as they are due, until cancelled."""
        while True:
            now = self.coordinator.clock.now()
            self.load_sharing.update_nodes(
                {
                    listed_node.name: listed_node.started_at
                    for listed_node in self.coordinator.node_list.listed_nodes.values()
                }
            )
            self.load_sharing.update_present_fronts(self.peers.present())
            for node_name in self.load_sharing.due_probes(now):
                self.coordinator.nursery.start_soon(self._probe, node_name)
            for peer, reports in self.load_sharing.due_messages(now):
                self.peers.send_loads(peer, reports)
            await trio.sleep(CHECK_INTERVAL_NS / SECOND)

    async def _probe(self, node_name: str) -> None:
        """Asks a node for its load and passes it to the decision module."""
        load = None
        is_supported = True
        try:
            if (node_client := self.coordinator.node_clients.get(node_name)) is not None:
                load, is_supported = await node_client.fetch_load()
        finally:
            now = self.coordinator.clock.now()
            self.load_sharing.probe_finished(node_name, load, is_supported, now)
        if load is not None:
            await self.coordinator.submit(partial(self.coordinator.apply_peer_load, node_name, load, now))

    def status(self) -> dict[str, object]:
        """Probe counts and the ages of known loads, for operators."""
        load_sharing = self.load_sharing
        now = self.coordinator.clock.now()
        ages = load_sharing.known_ages(now)
        first_ranked = sum(node.probe_rank == 0 for node in load_sharing.nodes.values())
        return {
            "nodes": len(load_sharing.nodes),
            "known": len(ages),
            "mine_to_ask": first_ranked,
            "age_ms": [ages[len(ages) // 2] // MS, ages[-1] // MS] if ages else None,
            "asks": load_sharing.probes_sent,
            "failed": load_sharing.probes_failed,
            "refused": load_sharing.probes_unsupported,
            "taken": load_sharing.reports_accepted,
            "strange": load_sharing.reports_discarded,
            "every_ms": load_sharing.effective_interval() // MS,
        }
