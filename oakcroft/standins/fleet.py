"""The fleet as a program: all nodes of a day on ports of their own, the list service, and the day's troubles.

It prints one JSON line with its ports when it is ready, plays from the given start, and ends on SIGTERM.
"""

from __future__ import annotations

import heapq
import signal
import sys
from pathlib import Path
from random import Random

import orjson
import trio

from oakcroft.decisions.admission.doors import Bounds, Door
from oakcroft.running.clock import Clock
from oakcroft.front.listing import PATH
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.interface import MS, SECOND
from oakcroft.standins.day import Day, Fault, NodePlace
from oakcroft.standins.links import Machine, Rack, Warmth
from oakcroft.standins.playout import PlayoutNode
from oakcroft.standins.record import Record

TICK = 0.1
HOLD = 20.0


SLOW = 0.15  # seconds that a slow list service takes for each answer


class ListService:
    """Knows which processes run, drain or are gone, and tells each front seconds late."""

    def __init__(self, day: Day, clock: Clock, record: Record) -> None:
        self.day, self.clock, self.record = day, clock, record
        self.history: list[tuple[int, list[dict[str, object]]]] = []
        self.changed = trio.Event()
        self.trouble = ""

    def publish(self, lines: list[dict[str, object]], at: int) -> None:
        """A new state of the fleet."""
        self.history.append((at, lines))
        self.changed.set()
        self.changed = trio.Event()

    def _seen_at(self, version: int, front: str) -> int:
        """When a version reaches a front: its own lateness, which differs from list to list."""
        low, high = self.day.late
        number = front.split("-")[1] if front.count("-") >= 2 else "0"
        if version == 0:
            return self.history[0][0]
        return self.history[version][0] + round(
            Random(f"{self.day.seed} {number} {version}").uniform(low, high)
        )

    async def handle(self, request: Request) -> Response:
        """One poll."""
        front = (request.header("via") or "").removeprefix("1.1 ")
        if request.path != PATH or request.method != "POST":
            return Response(404)
        asked = orjson.loads(request.body).get("version_info") or "-1"
        self.record.note("poll", front=front, version=int(asked))
        until = trio.current_time() + HOLD
        if self.trouble == "list-slow":
            await trio.sleep(SLOW)
        while trio.current_time() < until:
            if self.trouble == "list-down":
                return Response(503)
            if self.trouble == "list-broken":
                return Response(
                    200, [("Content-Type", "application/json")], b'{"version_info": "9", "resources": [{"clu'
                )
            if self.trouble == "list-empty":
                return Response(
                    200, [("Content-Type", "application/json")], self._body(len(self.history) + 1000, [])
                )
            now = self.clock.now()
            due = [(v, self._seen_at(v, front)) for v in range(int(asked) + 1, len(self.history))]
            visible = max((v for v, at in due if at <= now), default=-1)
            if visible > int(asked):
                lines = self.history[visible][1]
                self.record.note("told", front=front, version=visible,
                                 ready=[x["name"] for x in lines if x["health"] == "HEALTHY"],
                                 started={str(x["name"]): x["started"] for x in lines})  # fmt: skip
                return Response(200, [("Content-Type", "application/json")], self._body(visible, lines))
            soonest = min((at for _, at in due if at > now), default=now + 10 * SECOND)
            with trio.move_on_after(max(0.001, min((soonest - now) / 1e9, until - trio.current_time()))):
                await self.changed.wait()
        return Response(304)

    def _body(self, version: int, lines: list[dict[str, object]]) -> bytes:
        zones: dict[str, list[object]] = {}
        for x in lines:
            more = {"name": x["name"], "cell": x["cell"], "link_kb": x["link"], "places": x["places"],
                    "started_at_ms": x["started"]}  # fmt: skip
            zones.setdefault(str(x["zone"]), []).append({
                "endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": x["port"]}}},
                "health_status": x["health"], "metadata": {"filter_metadata": {"oakcroft": more}},
            })  # fmt: skip
        endpoints = [{"locality": {"zone": z}, "lb_endpoints": e} for z, e in zones.items()]
        return orjson.dumps({
            "version_info": str(version), "control_plane": {"identifier": "stand-in"},
            "resources": [{"cluster_name": "playout", "endpoints": endpoints}],
        })  # fmt: skip


class Fleet:
    """All nodes, and what befalls them."""

    def __init__(self, day: Day, record: Record, clock: Clock) -> None:
        self.day, self.record, self.clock = day, record, clock
        self.rng = Random(day.seed * 7919 + 1)
        self.racks = [Rack(u) for u in day.uplinks]
        self.nodes: dict[str, PlayoutNode] = {}
        self.retired: list[PlayoutNode] = []
        self.heap: list[tuple[float, int, PlayoutNode, str, str, object]] = []
        self.heap_number = 0
        self.list = ListService(day, clock, record)
        self.short: dict[str, bool] = {}
        self.list_port = 0
        for place in day.nodes:
            self._add(place, place.name)

    def _add(self, place: NodePlace, name: str) -> PlayoutNode:
        t = self.day.site.terms
        warmth = Warmth(t.cold_share, t.cold_for, t.fall_multiple, t.fall_window)
        wonky = place.link * self.rng.uniform(0.85, 1.15)
        machine = Machine(name, self.racks[place.cell % t.racks], wonky, place.places, warmth, self.day.guard)
        node = PlayoutNode(name, place.wing, place.cell, machine, self.day.site, self.record,
                           Random(f"{self.day.seed} {name}"), self.day.setup, self.clock.now, self.wing_of)  # fmt: skip
        self.nodes[name] = node
        return node

    def wing_of(self, front: str) -> str:
        """The wing of a front, by the name that it goes by."""
        parts = front.split("-")
        return self.day.fronts[int(parts[1])] if len(parts) >= 2 and parts[1].isdigit() else ""

    def place(self, name: str) -> NodePlace:
        """The place that a node, or its replacement, stands on."""
        return next(p for p in self.day.nodes if p.name == name.split("+")[0])

    async def run(self, start: int, ready: trio.Event) -> None:
        """The day."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for node in list(self.nodes.values()):
                await self.boot(node)
            service = Server(
                self.list.handle, Door(Bounds(idle=3600 * 10**9)), self.clock.now, lambda *_: None
            )
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.publish()
            nursery.start_soon(service.run, listeners)
            nursery.start_soon(self._notes)
            self.list_port = listeners[0].socket.getsockname()[1]
            ready.set()
            for fault in self.day.faults:
                nursery.start_soon(self._befall, fault, start)
            await trio.sleep_forever()

    async def boot(self, node: PlayoutNode) -> None:
        """Starts a node's process."""
        listeners = await node.listen()
        self.nursery.start_soon(node.live, listeners)

    def publish(self) -> None:
        """Tells the list service how the fleet stands."""
        lines: list[dict[str, object]] = []
        for node in self.nodes.values():
            if node.ails.dead:
                continue
            place = self.place(node.name)
            health = "DRAINING" if node.ails.draining else "HEALTHY"
            lines.append({"name": node.name, "zone": node.wing, "cell": node.cell, "port": node.port, "health": health,
                          "link": place.link, "places": place.places, "started": node.machine.started / MS})  # fmt: skip
        self.list.publish(lines, self.clock.now())

    # Notes to the fronts.

    async def _notes(self) -> None:
        """Time passes for the links; what they tell goes out late."""
        last, tick = trio.current_time(), 0
        terms = self.day.site.terms
        every = max(1, round(terms.reports_every / 1e9 / TICK))
        while True:
            await trio.sleep(TICK)
            now, tick = trio.current_time(), tick + 1
            for node in list(self.nodes.values()):
                dead = node.ails.dead or node.ails.hung or node.ails.silent
                node.machine.pass_time(now - last, self.day.stall, dead)
                if node.ails.dead or node.ails.silent:
                    continue
                late = terms.seen_after / 1e9 + node.ails.late
                if tick % 10 == 0:
                    share = 0.0 if node.ails.hung else node.machine.smooth
                    if share < 0.98 or self.short.get(node.name):
                        self._later(node, now + late, "share", {"share": share})
                    self.short[node.name] = share < 0.98
                    node.look_for_lost_fronts()
                if tick % every == 0:
                    word = {"asked": node.machine.asked()}
                    if node.machine.rack.uplink:
                        word["uplink"] = node.machine.uplink_asked()
                    self._later(node, now + late, "link", word)
            while self.heap and self.heap[0][0] <= now:
                _, _, node, process, name, data = heapq.heappop(self.heap)
                if process == node.process and not node.ails.dead:
                    playing = {s.front for s in node.sessions.values()}
                    for front, ear in list(node.ears.items()):
                        if front in playing:
                            node.say(ear, name, data)
            last = now

    def _later(self, node: PlayoutNode, at: float, name: str, data: object) -> None:
        self.heap_number += 1
        heapq.heappush(self.heap, (at, self.heap_number, node, node.process, name, data))

    # Troubles.

    async def _befall(self, fault: Fault, start: int) -> None:
        from oakcroft.standins.troubles import befall

        await trio.sleep_until(self.clock.deadline(start + fault.at))
        self.record.note("fault", what=fault.kind, on=list(fault.on), phase="begins")
        await befall(self, fault)
        self.record.note("fault", what=fault.kind, on=list(fault.on), phase="ends")

    def summary(self) -> dict[str, float]:
        """Revenue-seconds earned for each plan."""
        out: dict[str, float] = {}
        for node in [*self.nodes.values(), *self.retired]:
            for session in list(node.sessions):
                node._drop(session, "end of the day")
            for plan, earned in node.earned.items():
                out[plan] = out.get(plan, 0.0) + earned
        return out


async def main(day: Day, start: int, path: Path) -> None:
    """Runs the fleet until SIGTERM or the end of standard input, so that it never outlives who started it."""
    record, clock = Record(path), Clock()
    fleet = Fleet(day, record, clock)

    async def orphaned(scope: trio.CancelScope) -> None:
        stream = trio.lowlevel.FdStream(0)
        try:
            while await stream.receive_some(1):
                pass
        except OSError:
            pass
        scope.cancel()

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            ready = trio.Event()
            nursery.start_soon(fleet.run, start, ready)
            await ready.wait()
            ports = {"list": fleet.list_port, "nodes": [n.port for n in fleet.nodes.values()]}
            print(orjson.dumps(ports).decode(), flush=True)
            nursery.start_soon(orphaned, nursery.cancel_scope)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                break
    record.note("earned", plans=fleet.summary())
    record.close()
    sys.stdout.flush()
