"""Emulated fleet: the playout nodes of a day on ports of their own, their list service, and their load reports.

Faults are injected from outside by `faults`, through the methods of this module.
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
"""Step in which the link model advances."""

TICKS_PER_SHARE_CHECK = 10
"""A node checks every so many ticks whether it delivers less than the rates of its streams."""

SHORT_DELIVERY_SHARE = 0.98
"""Below this share of its rates a node reports short delivery."""

LINK_SPREAD = (0.85, 1.15)
"""Range of a node's real link capacity relative to the listed one, as lists are never exact."""

LIST_IDLE_TIMEOUT_NS = 3600 * SECOND
"""Long enough that no connection to the list service is closed for being idle within a day."""

SEED_FACTOR = 7919
SEED_OFFSET = 1
"""Keep the fleet's random draws independent of those of other parts, which derive theirs from the same seed."""


@dataclass(order=True)
class DelayedReport:
    """A node's report that reaches the front ends after a delay, if its process is still running then.

    Reports are ordered by the event loop's time of their delivery, and by their number where that is equal.
    """

    deliver_at: float
    number: int
    node: PlayoutNode = field(compare=False)
    process: str = field(compare=False)
    name: str = field(compare=False)
    data: object = field(compare=False)


class Fleet:
    """All nodes of a day, and the list service that announces them."""

    def __init__(self, day: Day, record: Record, clock: Clock) -> None:
        """Creates the nodes without running processes; `run` starts them."""
        self.day = day
        self.record = record
        self.clock = clock
        self.rng = Random(day.seed * SEED_FACTOR + SEED_OFFSET)
        self.racks = [Rack(uplink) for uplink in day.uplink_capacities]
        self.nodes: dict[str, PlayoutNode] = {}
        self.removed_nodes: list[PlayoutNode] = []
        self.list_service = ListService(day, clock, record)
        self.list_port = 0
        self._reports: list[DelayedReport] = []
        self._report_count = 0
        self._is_short: dict[str, bool] = {}
        for spec in day.nodes:
            self.add(spec, spec.name)

    def add(self, spec: NodeSpec, name: str) -> PlayoutNode:
        """Adds a node under a name that may differ from its specification's; its process is not started."""
        terms = self.day.site.terms
        warm_up = WarmUp(
            terms.cold_pace_share, terms.cold_duration_ns, terms.overload_multiple, terms.overload_window_ns
        )
        link_capacity = spec.link_capacity * self.rng.uniform(*LINK_SPREAD)
        machine = Machine(
            name,
            self.racks[spec.cell % terms.rack_count],
            link_capacity,
            spec.playback_capacity,
            warm_up,
            self.day.full_link_load,
        )
        node = PlayoutNode(
            name,
            spec.zone,
            spec.cell,
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
        """Removes a dead node from the fleet; its revenue still counts."""
        del self.nodes[node.name]
        self.removed_nodes.append(node)
        node.machine.rack.nodes.remove(node.machine)

    def zone_of_front(self, front: str) -> str:
        """Returns the zone of a front end by its pseudonym, which contains its number; empty if it has none."""
        _, _, suffix = front.partition("-")
        number = suffix.partition("-")[0]
        return self.day.front_zones[int(number)] if number.isdigit() else ""

    def spec_of(self, name: str) -> NodeSpec:
        """Returns the specification of a node, or of the node that it replaces."""
        return next(spec for spec in self.day.nodes if spec.name == name.split("+")[0])

    async def run(self, ready: trio.Event) -> None:
        """Runs all nodes and the list service until cancelled; sets `ready` once every port is open."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for node in list(self.nodes.values()):
                await self.start_node(node)
            service = Server(
                self.list_service.handle,
                ConnectionTable(ConnectionLimits(idle=LIST_IDLE_TIMEOUT_NS)),
                self.clock.now,
                lambda *_: None,
            )
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.publish_list()
            nursery.start_soon(service.run, listeners)
            nursery.start_soon(self._advance_links)
            self.list_port = listeners[0].socket.getsockname()[1]
            ready.set()

    async def start_node(self, node: PlayoutNode) -> None:
        """Starts a node's process."""
        listeners = await node.listen()
        self.nursery.start_soon(node.run_process, listeners)

    def publish_list(self) -> None:
        """Publishes the list of all nodes whose processes are running."""
        running = [node for node in self.nodes.values() if not node.faults.is_dead]
        self.list_service.publish([self._list_entry(node) for node in running], self.clock.now())

    def _list_entry(self, node: PlayoutNode) -> ListedNode:
        spec = self.spec_of(node.name)
        health = "DRAINING" if node.faults.is_draining else "HEALTHY"
        return ListedNode(
            node.name,
            node.zone,
            node.cell,
            node.port,
            health,
            spec.link_capacity,
            spec.playback_capacity,
            node.machine.started_at / MS,
        )

    async def _advance_links(self) -> None:
        """Advances the link model tick by tick, and delivers the nodes' reports with their delays."""
        last = trio.current_time()
        tick = 0
        report_interval_seconds = self.day.site.terms.report_interval_ns / SECOND
        ticks_per_load_report = max(1, round(report_interval_seconds / TICK_SECONDS))
        while True:
            await trio.sleep(TICK_SECONDS)
            now = trio.current_time()
            tick += 1
            for node in list(self.nodes.values()):
                faults = node.faults
                delivers_nothing = faults.is_dead or faults.is_hung or faults.is_silent
                node.machine.advance(now - last, self.day.shortfall_penalty, delivers_nothing)
                if faults.is_dead or faults.is_silent:
                    continue
                if tick % TICKS_PER_SHARE_CHECK == 0:
                    self._report_share(node, now)
                    node.end_sessions_of_lost_fronts()
                if tick % ticks_per_load_report == 0:
                    self._report_load(node, now)
            self._deliver_reports(now)
            last = now

    def _report_share(self, node: PlayoutNode, now: float) -> None:
        """Reports the delivered share of a node that is short, and once more when it has recovered."""
        share = 0.0 if node.faults.is_hung else node.machine.smoothed_share
        is_short = share < SHORT_DELIVERY_SHARE
        if is_short or self._is_short.get(node.name):
            self._queue_report(node, now, "share", {"share": share})
        self._is_short[node.name] = is_short

    def _report_load(self, node: PlayoutNode, now: float) -> None:
        load = {"asked": node.machine.link_load()}
        if node.machine.rack.uplink_capacity:
            load["uplink"] = node.machine.uplink_load()
        self._queue_report(node, now, "link", load)

    def _queue_report(self, node: PlayoutNode, now: float, name: str, data: object) -> None:
        """Queues a report of a node for delivery after the delay of reports."""
        deliver_at = now + self.day.site.terms.report_delay_ns / SECOND + node.faults.report_delay_seconds
        self._report_count += 1
        report = DelayedReport(deliver_at, self._report_count, node, node.process, name, data)
        heapq.heappush(self._reports, report)

    def _deliver_reports(self, now: float) -> None:
        """Sends every report that is due to the front ends that have sessions on its node."""
        while self._reports and self._reports[0].deliver_at <= now:
            report = heapq.heappop(self._reports)
            node = report.node
            if report.process != node.process or node.faults.is_dead:
                continue
            playing = {session.front for session in node.sessions.values()}
            for front, subscription in list(node.subscriptions.items()):
                if front in playing:
                    node.send_event(subscription, report.name, report.data)

    def revenue_by_plan(self) -> dict[str, float]:
        """Ends all sessions and returns the revenue of each plan, of removed nodes as well."""
        total: dict[str, float] = {}
        for node in [*self.nodes.values(), *self.removed_nodes]:
            for session_id in list(node.sessions):
                node.end_session(session_id, "end of the day")
            for plan, revenue in node.revenue_by_plan.items():
                total[plan] = total.get(plan, 0.0) + revenue
        return total
