"""Preference between zones on one front end.

Collects evidence of the zones' health and restricts each new request to the zones that may take it. The decisions are in
`oakcroft/decisions/routing/zone_preference.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import structlog
import trio

from oakcroft.choice import FAILURE_SCORE_HALF_LIFE_NS, FAILURE_SCORE_LIMIT
from oakcroft.decisions.sessions.event_stream_health import StreamState, LossCertainty
from oakcroft.decisions.routing.zone_preference import NodeEvidence, ZonePreference, ZoneState, zone_load
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.interface import SECOND, NodeStatus, Node

CHECK_INTERVAL_S = 0.25
RECONNECT_INTERVAL_NS = SECOND  # between two attempts to reconnect to one lost node


class ZoneRouter:
    """The zones that new requests to one front end may use.

    Without a (preference …) form in the configuration, or without a zone of its own, all zones.
    """

    def __init__(
        self,
        coordinator: SessionCoordinator,
        zone: str,
        rng: Random,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """`zone` is this front end's own zone, "" for none; `rng` spreads requests over zones."""
        self.coordinator = coordinator
        self.zone = zone
        self.rng = rng
        self.log = log
        self.reconnected_at: dict[str, int] = {}
        self.preference = self._new_preference()

    def _new_preference(self) -> ZonePreference | None:
        """The configured preference, or None for all zones."""
        site = self.coordinator.site
        if site.zone_preference is None or not self.zone:
            return None
        other_zones = [zone for zone in site.preferred_zones if zone != self.zone]
        return ZonePreference((self.zone, *other_zones), site.zone_preference)

    def evidence_by_zone(self, now: int) -> dict[str, dict[NodeEvidence, int]]:
        """The number of nodes in each zone by the evidence on their health."""
        counts_by_zone: dict[str, dict[NodeEvidence, int]] = {}
        listed = {name.partition("+")[0] for name in self.coordinator.node_list.listed_nodes}
        for name, node in self.coordinator.node_list.nodes.items():
            if name in self.coordinator.node_list.removed_at and name.partition("+")[0] in listed:
                continue  # the process that replaces it is counted instead
            evidence = (
                NodeEvidence.GONE
                if name in self.coordinator.node_list.removed_at
                else self._node_evidence(node, now)
            )
            zone_counts = counts_by_zone.setdefault(node.zone, {})
            zone_counts[evidence] = zone_counts.get(evidence, 0) + 1
        return counts_by_zone

    def _node_evidence(self, node: Node, now: int) -> NodeEvidence:
        """Evidence on the health of a node that the list has."""
        if node.status is NodeStatus.DRAINING:
            return NodeEvidence.DRAINS
        node_client = self.coordinator.node_clients.get(node.name)
        if node_client is not None and node_client.stream_health.loss is not None:
            return (
                NodeEvidence.REFUSES
                if node_client.stream_health.loss is LossCertainty.PROVEN
                else NodeEvidence.SILENT
            )
        if node_client is not None and node_client.stream_health.state is StreamState.SILENT:
            return NodeEvidence.SILENT
        return (
            NodeEvidence.SILENT
            if node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS) >= FAILURE_SCORE_LIMIT
            else NodeEvidence.ANSWERS
        )

    def zone_loads(self, zones: Iterable[str]) -> dict[str, float]:
        """The load of each zone, from the link loads that the decision module has estimated."""
        loads_by_zone: dict[str, list[float]] = {zone: [] for zone in zones}
        for node in self.coordinator.node_list.nodes.values():
            if node.status is NodeStatus.READY and node.zone in loads_by_zone:
                loads_by_zone[node.zone].append(node.estimated_load)
        return {zone: zone_load(loads) for zone, loads in loads_by_zone.items()}

    async def run(self) -> None:
        """Updates the zones' health until cancelled; a changed configuration starts a new preference."""
        site = self.coordinator.site
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if (self.coordinator.site.zone_preference, self.coordinator.site.preferred_zones) != (
                site.zone_preference,
                site.preferred_zones,
            ):
                site = self.coordinator.site
                self.preference = self._new_preference()
            if self.preference is not None:
                self.update(self.preference)

    def update(self, preference: ZonePreference) -> None:
        """Updates the zones' health from current evidence; logs each change of state."""
        now = self.coordinator.clock.now()
        self._reconnect_lost_nodes(preference, now)
        self.reconnected_at = {
            name: reconnected_at
            for name, reconnected_at in self.reconnected_at.items()
            if name in self.coordinator.node_clients
        }
        evidence_by_zone = self.evidence_by_zone(now)
        for zone, before, after in preference.update(evidence_by_zone, now):
            health = preference.health[zone]
            # Operators' tools match the event name and its fields.
            self.log.warning(
                "wing",
                wing=zone,
                before=before.value,
                after=after.value,
                falters=health.relapses,
                ramp_s=health.ramp_time // SECOND,
                turned_away=preference.rejected_count,
                nodes={
                    evidence.name.lower(): count for evidence, count in evidence_by_zone.get(zone, {}).items()
                },
            )

    def _reconnect_lost_nodes(self, preference: ZonePreference, now: int) -> None:
        """Periodically opens the event streams of lost nodes in unhealthy zones.

        No requests go to such a zone, so nothing else would show that its nodes answer again.
        """
        for name, node_client in self.coordinator.node_clients.items():
            node = self.coordinator.node_list.nodes.get(name)
            if (
                node is None
                or node_client.stream_health.state is not StreamState.LOST
                or node.status is not NodeStatus.READY
            ):
                continue
            health = preference.health.get(node.zone)
            if (
                health is not None
                and health.state is not ZoneState.SOUND
                and now - self.reconnected_at.get(name, 0) > RECONNECT_INTERVAL_NS
            ):
                self.reconnected_at[name] = now
                self.coordinator.follow_events(node_client, node_client.events_path)

    def node_filter(self) -> Callable[[Node], bool] | None:
        """The filter of nodes by zone for a new request; None for all nodes."""
        if self.preference is None:
            return None
        loads = self.zone_loads(self.preference.zones)
        chosen_zones = self.preference.choose_zones(loads, self.rng.random(), self.coordinator.clock.now())
        return lambda node: node.zone in chosen_zones

    def status(self) -> dict[str, object]:
        """The zones' health and the overflow between them, for operators."""
        if self.preference is None:
            return {}
        now = self.coordinator.clock.now()
        zones: dict[str, object] = {
            zone: {
                "state": health.state.value,
                "since_s": round((now - health.state_since) / 1e9, 1),
                "share": round(health.traffic_share(now), 3),
                "falters": health.relapses,
                "ramp_s": health.ramp_time // SECOND,
            }
            for zone, health in self.preference.health.items()
        }
        overflow = self.preference.overflow
        return zones | {
            "spilled": f"{overflow.overflowed} of {len(overflow.requests)}",
            "turned_away": self.preference.rejected_count,
        }
