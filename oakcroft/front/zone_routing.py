"""Preference between zones on one front end.

Collects evidence of the zones' health and restricts each new request to the zones that may take it. The decisions are in
`oakcroft/decisions/routing/zone_preference.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import structlog
import trio

from oakcroft.choice import DISTRUST_HALF, DISTRUSTED
from oakcroft.decisions.sessions.event_stream_health import Life as NodeLife, Loss
from oakcroft.decisions.routing.zone_preference import NodeEvidence, ZonePreference, ZoneState, zone_load
from oakcroft.front.session_coordinator import Helm
from oakcroft.interface import SECOND, Listing, Node

EVERY = 0.25  # seconds between checks
KNOCK = SECOND  # between two attempts to reconnect to one lost node


class ZoneRouting:
    """The zones that new requests to one front end may use.

    Without a (preference …) form in the configuration, or without a zone of its own, all zones.
    """

    def __init__(
        self, helm: Helm, zone: str, rng: Random, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """`zone` is this front end's own zone, "" for none; `rng` spreads requests over zones."""
        self.helm, self.zone, self.rng, self.log = helm, zone, rng, log
        self.knocked: dict[str, int] = {}
        self.zones = self._made()

    def _made(self) -> ZonePreference | None:
        site = self.helm.site
        if site.preference is None or not self.zone:
            return None
        others = [w for w in site.then if w != self.zone]
        return ZonePreference((self.zone, *others), site.preference)

    def evidence(self, now: int) -> dict[str, dict[NodeEvidence, int]]:
        """The number of nodes in each zone by the evidence on their health."""
        out: dict[str, dict[NodeEvidence, int]] = {}
        listed = {name.partition("+")[0] for name in self.helm.roster.lines}
        for name, node in self.helm.roster.nodes.items():
            if name in self.helm.roster.gone_at and name.partition("+")[0] in listed:
                continue  # the process that replaces it is counted instead
            seen = NodeEvidence.GONE if name in self.helm.roster.gone_at else self._seen(node, now)
            of_zone = out.setdefault(node.zone, {})
            of_zone[seen] = of_zone.get(seen, 0) + 1
        return out

    def _seen(self, node: Node, now: int) -> NodeEvidence:
        if node.listing is Listing.DRAINING:
            return NodeEvidence.DRAINS
        leg = self.helm.legs.get(node.name)
        if leg is not None and leg.lifeline.how is not None:
            return NodeEvidence.REFUSES if leg.lifeline.how is Loss.PROVEN else NodeEvidence.SILENT
        if leg is not None and leg.lifeline.state is NodeLife.SILENT:
            return NodeEvidence.SILENT
        return (
            NodeEvidence.SILENT
            if node.distrust.read(now, DISTRUST_HALF) >= DISTRUSTED
            else NodeEvidence.ANSWERS
        )

    def loads(self, zones: Iterable[str]) -> dict[str, float]:
        """The load of each zone, from the link loads that the decision module has estimated."""
        ready: dict[str, list[float]] = {zone: [] for zone in zones}
        for node in self.helm.roster.nodes.values():
            if node.listing is Listing.READY and node.zone in ready:
                ready[node.zone].append(node.level)
        return {zone: zone_load(levels) for zone, levels in ready.items()}

    async def run(self) -> None:
        """Updates the zones' health until cancelled."""
        made_from = (self.helm.site.preference, self.helm.site.then)
        while True:
            await trio.sleep(EVERY)
            if (self.helm.site.preference, self.helm.site.then) != made_from:
                made_from, self.zones = (self.helm.site.preference, self.helm.site.then), self._made()
            if self.zones is not None:
                self.look(self.zones)

    def look(self, zones: ZonePreference) -> None:
        """Updates the zones' health from current evidence; logs each change of state."""
        now = self.helm.clock.now()
        self._knock(zones, now)
        self.knocked = {n: at for n, at in self.knocked.items() if n in self.helm.legs}
        nodes = self.evidence(now)
        for zone, before, after in zones.look(nodes, now):
            health = zones.health[zone]
            # Operators' tools match the event name and its fields.
            self.log.warning("wing", wing=zone, before=before.value, after=after.value, falters=health.relapses,
                             ramp_s=health.ramp // 1_000_000_000, turned_away=zones.turned,
                             nodes={s.name.lower(): n for s, n in nodes.get(zone, {}).items()})  # fmt: skip

    def _knock(self, zones: ZonePreference, now: int) -> None:
        """Periodically opens the event streams of lost nodes in unhealthy zones.

        No requests go to such a zone, so nothing else would show that its nodes answer again.
        """
        for name, leg in self.helm.legs.items():
            node = self.helm.roster.nodes.get(name)
            if node is None or leg.lifeline.state is not NodeLife.LOST or node.listing is not Listing.READY:
                continue
            health = zones.health.get(node.zone)
            if (
                health is not None
                and health.state is not ZoneState.SOUND
                and now - self.knocked.get(name, 0) > KNOCK
            ):
                self.knocked[name] = now
                self.helm.follow_events(leg, leg.events)

    def admits(self) -> Callable[[Node], bool] | None:
        """The filter of nodes by zone for a new request; None for all nodes."""
        if self.zones is None:
            return None
        loads = self.loads(self.zones.tiers)
        chosen = self.zones.choose(loads, self.rng.random(), self.helm.clock.now())
        return lambda node: node.zone in chosen

    def status(self) -> dict[str, object]:
        """The zones' health and the overflow between them, for operators."""
        if self.zones is None:
            return {}
        now = self.helm.clock.now()
        out: dict[str, object] = {
            zone: {"state": health.state.value, "since_s": round((now - health.since) / 1e9, 1),
                   "share": round(health.share(now), 3), "falters": health.relapses,
                   "ramp_s": health.ramp // 1_000_000_000}
            for zone, health in self.zones.health.items()
        }  # fmt: skip
        spill = self.zones.spill
        return out | {"spilled": f"{spill.spilled} of {len(spill.sent)}", "turned_away": self.zones.turned}
