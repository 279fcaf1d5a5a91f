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
from oakcroft.standins.day import Day, NodePlace
from oakcroft.standins.links import Machine, Rack, Warmth
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
        self.racks = [Rack(uplink) for uplink in day.uplinks]
        self.nodes: dict[str, PlayoutNode] = {}
        self.retired: list[PlayoutNode] = []
        self.list = ListService(day, clock, record)
        self.list_port = 0
        self._reports: list[DelayedReport] = []
        self._reports_made = 0
        self._delivers_short: dict[str, bool] = {}
        for place in day.nodes:
            self.add(place, place.name)

    def add(self, place: NodePlace, name: str) -> PlayoutNode:
        """Puts a node on a place, under a name of its own; its process is not started."""
        terms = self.day.site.terms
        warmth = Warmth(
            terms.cold_pace_share, terms.cold_duration_ns, terms.overload_multiple, terms.overload_window_ns
        )
        link = place.link * self.rng.uniform(*LINK_SPREAD)
        machine = Machine(
            name, self.racks[place.cell % terms.rack_count], link, place.places, warmth, self.day.guard
        )
        node = PlayoutNode(name, place.wing, place.cell, machine, self.day.site, self.record,
                           Random(f"{self.day.seed} {name}"), self.day.setup, self.clock.now, self.wing_of)  # fmt: skip
        self.nodes[name] = node
        return node

    def retire(self, node: PlayoutNode) -> None:
        """Takes a dead node out of the fleet; what it earned still counts."""
        del self.nodes[node.name]
        self.retired.append(node)
        node.machine.rack.nodes.remove(node.machine)

    def wing_of(self, front: str) -> str:
        """The wing of a front, by the name that it goes by."""
        _, _, rest = front.partition("-")
        number = rest.partition("-")[0]
        return self.day.fronts[int(number)] if number.isdigit() else ""

    def place(self, name: str) -> NodePlace:
        """The place that a node, or its replacement, stands on."""
        return next(place for place in self.day.nodes if place.name == name.split("+")[0])

    async def run(self, ready: trio.Event) -> None:
        """Runs all nodes and the list service until cancelled; sets `ready` once every port is open."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for node in list(self.nodes.values()):
                await self.boot(node)
            service = Server(
                self.list.handle,
                ConnectionTable(ConnectionLimits(idle=LIST_IDLE_NS)),
                self.clock.now,
                lambda *_: None,
            )
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.publish()
            nursery.start_soon(service.run, listeners)
            nursery.start_soon(self._pass_time)
            self.list_port = listeners[0].socket.getsockname()[1]
            ready.set()

    async def boot(self, node: PlayoutNode) -> None:
        """Starts a node's process."""
        listeners = await node.listen()
        self.nursery.start_soon(node.live, listeners)

    def publish(self) -> None:
        """Publishes the list of all nodes whose process lives."""
        living = [node for node in self.nodes.values() if not node.ails.dead]
        self.list.publish([self._listed(node) for node in living], self.clock.now())

    def _listed(self, node: PlayoutNode) -> ListedNode:
        place = self.place(node.name)
        health = "DRAINING" if node.ails.draining else "HEALTHY"
        return ListedNode(node.name, node.wing, node.cell, node.port, health, place.link, place.places,
                          node.machine.started / MS)  # fmt: skip

    async def _pass_time(self) -> None:
        """Time passes for the links; what the nodes report of them reaches the front ends late."""
        last, tick = trio.current_time(), 0
        ticks_between_loads = max(1, round(self.day.site.terms.report_interval_ns / SECOND / TICK_SECONDS))
        while True:
            await trio.sleep(TICK_SECONDS)
            now, tick = trio.current_time(), tick + 1
            for node in list(self.nodes.values()):
                ails = node.ails
                node.machine.pass_time(now - last, self.day.stall, ails.dead or ails.hung or ails.silent)
                if ails.dead or ails.silent:
                    continue
                if tick % TICKS_BETWEEN_SHARES == 0:
                    self._report_share(node, now)
                    node.look_for_lost_fronts()
                if tick % ticks_between_loads == 0:
                    self._report_load(node, now)
            self._deliver_reports(now)
            last = now

    def _report_share(self, node: PlayoutNode, now: float) -> None:
        """A node that delivers short says so, and once more when it does no longer."""
        share = 0.0 if node.ails.hung else node.machine.smooth
        short = share < SHORT_SHARE
        if short or self._delivers_short.get(node.name):
            self._delay(node, now, "share", {"share": share})
        self._delivers_short[node.name] = short

    def _report_load(self, node: PlayoutNode, now: float) -> None:
        load = {"asked": node.machine.asked()}
        if node.machine.rack.uplink:
            load["uplink"] = node.machine.uplink_asked()
        self._delay(node, now, "link", load)

    def _delay(self, node: PlayoutNode, now: float, name: str, data: object) -> None:
        at = now + self.day.site.terms.report_delay_ns / SECOND + node.ails.late
        self._reports_made += 1
        heapq.heappush(self._reports, DelayedReport(at, self._reports_made, node, node.process, name, data))

    def _deliver_reports(self, now: float) -> None:
        """Sends every report that is due to the front ends that play something on its node."""
        while self._reports and self._reports[0].at <= now:
            report = heapq.heappop(self._reports)
            node = report.node
            if report.process != node.process or node.ails.dead:
                continue
            playing = {session.front for session in node.sessions.values()}
            for front, ear in list(node.ears.items()):
                if front in playing:
                    node.say(ear, report.name, report.data)

    def summary(self) -> dict[str, float]:
        """Revenue-seconds earned for each plan."""
        out: dict[str, float] = {}
        for node in [*self.nodes.values(), *self.retired]:
            for session in list(node.sessions):
                node.end_session(session, "end of the day")
            for plan, earned in node.earned.items():
                out[plan] = out.get(plan, 0.0) + earned
        return out
