"""The emulated fleet: the playout nodes of a day on ports of their own, their list service, and their load reports.

Faults are no part of it; `faults` injects them from outside, by what this module offers.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

import trio

from oakcroft.decisions.admission.connection_limits import ConnectionLimits, ConnectionTable
from oakcroft.httpwire.server import Server
from oakcroft.interface import MS, SECOND
from oakcroft.running.clock import Clock
from oakcroft.standins.day import Day, NodeSpec
from oakcroft.standins.links import Machine, Rack, WarmUp
from oakcroft.standins.list_service import ListedNode, ListService
from oakcroft.standins.playout import PlayoutNode
from oakcroft.standins.record import Record

TICK_SECONDS = 0.1
"""The step in which the links are reckoned."""

TICKS_BETWEEN_SHARES = 10
"""A node's share is looked at once in so many ticks."""

SHORT_SHARE = 0.98
"""Under this share of its rates a node delivers short, and says so."""

LINK_SPREAD = (0.85, 1.15)
"""What a node's link gives over what the list says of it: lists are never exact."""

LIST_IDLE_NS = 3600 * SECOND
"""Connections to the list service are never cut for being idle within a day."""

SEED_FACTOR, SEED_OFFSET = 7919, 1
"""Keep the fleet's chance apart from that of other parts that are seeded with the day's seed as it is."""


@dataclass(order=True)
class DelayedReport:
    """A node's report that reaches the front ends at a time of the event loop's clock, if its process lives till then."""

    at: float
    number: int
    node: PlayoutNode = field(compare=False)
    process: str = field(compare=False)
    name: str = field(compare=False)
    data: object = field(compare=False)


class Fleet:
    """All nodes of a day, and the list service that names them."""

    def __init__(self, day: Day, record: Record, clock: Clock) -> None:
        """The nodes stand but no process runs yet; `run` starts them."""
        self.day, self.record, self.clock = day, record, clock
        self.rng = Random(day.seed * SEED_FACTOR + SEED_OFFSET)
        self.racks = [Rack(uplink) for uplink in day.uplink_capacities]
        self.nodes: dict[str, PlayoutNode] = {}
        self.removed_nodes: list[PlayoutNode] = []
        self.list_service = ListService(day, clock, record)
        self.list_port = 0
        self._reports: list[DelayedReport] = []
        self._reports_made = 0
        self._delivers_short: dict[str, bool] = {}
        for place in day.nodes:
            self.add(place, place.name)

    def add(self, place: NodeSpec, name: str) -> PlayoutNode:
        """Puts a node on a place, under a name of its own; its process is not started."""
        terms = self.day.site.terms
        warmth = WarmUp(
            terms.cold_pace_share, terms.cold_duration_ns, terms.overload_multiple, terms.overload_window_ns
        )
        link = place.link_capacity * self.rng.uniform(*LINK_SPREAD)
        machine = Machine(
            name,
            self.racks[place.cell % terms.rack_count],
            link,
            place.playback_capacity,
            warmth,
            self.day.full_link_load,
        )
        node = PlayoutNode(
            name,
            place.zone,
            place.cell,
            machine,
            self.day.site,
            self.record,
            Random(f"{self.day.seed} {name}"),
            self.day.setup_duration_ns,
            self.clock.now,
            self.zone_of_front,
        )
        self.nodes[name] = node
        return node

    def remove(self, node: PlayoutNode) -> None:
        """Takes a dead node out of the fleet; what it earned still counts."""
        del self.nodes[node.name]
        self.removed_nodes.append(node)
        node.machine.rack.nodes.remove(node.machine)

    def zone_of_front(self, front: str) -> str:
        """The wing of a front, by the name that it goes by."""
        _, _, rest = front.partition("-")
        number = rest.partition("-")[0]
        return self.day.front_zones[int(number)] if number.isdigit() else ""

    def spec_of(self, name: str) -> NodeSpec:
        """The place that a node, or its replacement, stands on."""
        return next(place for place in self.day.nodes if place.name == name.split("+")[0])

    async def run(self, ready: trio.Event) -> None:
        """Runs all nodes and the list service until cancelled; sets `ready` once every port is open."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for node in list(self.nodes.values()):
                await self.start_node(node)
            service = Server(
                self.list_service.handle,
                ConnectionTable(ConnectionLimits(idle=LIST_IDLE_NS)),
                self.clock.now,
                lambda *_: None,
            )
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.publish_list()
            nursery.start_soon(service.run, listeners)
            nursery.start_soon(self._pass_time)
            self.list_port = listeners[0].socket.getsockname()[1]
            ready.set()

    async def start_node(self, node: PlayoutNode) -> None:
        """Starts a node's process."""
        listeners = await node.listen()
        self.nursery.start_soon(node.run_process, listeners)

    def publish_list(self) -> None:
        """Publishes the list of all nodes whose process lives."""
        living = [node for node in self.nodes.values() if not node.faults.is_dead]
        self.list_service.publish([self._listed(node) for node in living], self.clock.now())

    def _listed(self, node: PlayoutNode) -> ListedNode:
        place = self.spec_of(node.name)
        health = "DRAINING" if node.faults.is_draining else "HEALTHY"
        return ListedNode(
            node.name,
            node.zone,
            node.cell,
            node.port,
            health,
            place.link_capacity,
            place.playback_capacity,
            node.machine.started_at / MS,
        )

    async def _pass_time(self) -> None:
        """Time passes for the links; what the nodes report of them reaches the front ends late."""
        last, tick = trio.current_time(), 0
        ticks_between_loads = max(1, round(self.day.site.terms.report_interval_ns / SECOND / TICK_SECONDS))
        while True:
            await trio.sleep(TICK_SECONDS)
            now, tick = trio.current_time(), tick + 1
            for node in list(self.nodes.values()):
                ails = node.faults
                node.machine.advance(
                    now - last, self.day.shortfall_penalty, ails.is_dead or ails.is_hung or ails.is_silent
                )
                if ails.is_dead or ails.is_silent:
                    continue
                if tick % TICKS_BETWEEN_SHARES == 0:
                    self._report_share(node, now)
                    node.end_sessions_of_lost_fronts()
                if tick % ticks_between_loads == 0:
                    self._report_load(node, now)
            self._deliver_reports(now)
            last = now

    def _report_share(self, node: PlayoutNode, now: float) -> None:
        """A node that delivers short says so, and once more when it does no longer."""
        share = 0.0 if node.faults.is_hung else node.machine.smoothed_share
        short = share < SHORT_SHARE
        if short or self._delivers_short.get(node.name):
            self._delay(node, now, "share", {"share": share})
        self._delivers_short[node.name] = short

    def _report_load(self, node: PlayoutNode, now: float) -> None:
        load = {"asked": node.machine.link_load()}
        if node.machine.rack.uplink_capacity:
            load["uplink"] = node.machine.uplink_load()
        self._delay(node, now, "link", load)

    def _delay(self, node: PlayoutNode, now: float, name: str, data: object) -> None:
        at = now + self.day.site.terms.report_delay_ns / SECOND + node.faults.report_delay_seconds
        self._reports_made += 1
        heapq.heappush(self._reports, DelayedReport(at, self._reports_made, node, node.process, name, data))

    def _deliver_reports(self, now: float) -> None:
        """Sends every report that is due to the front ends that play something on its node."""
        while self._reports and self._reports[0].at <= now:
            report = heapq.heappop(self._reports)
            node = report.node
            if report.process != node.process or node.faults.is_dead:
                continue
            playing = {session.front for session in node.sessions.values()}
            for front, ear in list(node.subscriptions.items()):
                if front in playing:
                    node.send_event(ear, report.name, report.data)

    def revenue_by_plan(self) -> dict[str, float]:
        """Revenue-seconds earned for each plan."""
        out: dict[str, float] = {}
        for node in [*self.nodes.values(), *self.removed_nodes]:
            for session in list(node.sessions):
                node.end_session(session, "end of the day")
            for plan, earned in node.revenue_by_plan.items():
                out[plan] = out.get(plan, 0.0) + earned
        return out
