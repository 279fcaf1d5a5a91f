"""Faults injected into an emulated fleet, kind by kind, as operators have recorded them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio

from oakcroft.interface import SECOND
from oakcroft.standins.day import Fault
from oakcroft.standins.fleet import Fleet
from oakcroft.standins.playout import PlayoutNode

SILENT_OVER = 0.5
"""A lost zone whose `extra` is over this falls silent; otherwise its processes are seen to die."""

SHORTEST_NOTICE_SECONDS = 0.1
SHORTEST_SWING_SECONDS = 0.5
SHORTEST_RETURN_SECONDS = 1.0
SHORTEST_SLEEP_SECONDS = 0.01
"""Floors under the figures of a day's text, which may be left out and are 0 then."""

PREEMPTED_BATCH = 0.5
"""Share of the fleet that is preempted at one time, at most."""

DEPLOY_GAP_SECONDS = 0.5
"""In a rolling deploy, between a node's death and its replacement."""

AGEING_STEPS = 5
"""An ageing node grows slower in so many steps."""

Injector = Callable[[Fleet, list[PlayoutNode], Fault], Awaitable[None]]
"""Plays one kind of fault on the nodes that a fault names, from its beginning to its end."""


async def inject_all(fleet: Fleet, start: int) -> None:
    """Injects every fault of the fleet's day, which begins at `start` (ns), and returns after the last one's end."""
    async with trio.open_nursery() as nursery:
        for fault in fleet.day.faults:
            nursery.start_soon(_inject_on_time, fleet, fault, start)


async def _inject_on_time(fleet: Fleet, fault: Fault, start: int) -> None:
    await trio.sleep_until(fleet.clock.trio_time(start + fault.start_ns))
    fleet.record.note("fault", what=fault.kind, on=list(fault.targets), phase="begins")
    await inject(fleet, fault)
    fleet.record.note("fault", what=fault.kind, on=list(fault.targets), phase="ends")


async def inject(fleet: Fleet, fault: Fault) -> None:
    """Plays one fault from its beginning to its end. A kind that befalls no node or list (front ends, viewers) is left to
    others."""
    nodes = [fleet.nodes[name] for name in fault.targets if name in fleet.nodes]
    if fault.kind in INJECTORS:
        await INJECTORS[fault.kind](fleet, nodes, fault)


def _seconds(fault: Fault) -> float:
    return fault.duration_ns / SECOND


async def _crash(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    await _down(fleet, nodes, _seconds(fault), silent=False)


async def _vanish(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    await _down(fleet, nodes, _seconds(fault), silent=True)


async def _lose_zone(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    nodes = [node for node in fleet.nodes.values() if node.zone in fault.targets]
    await _down(fleet, nodes, _seconds(fault), silent=fault.extra > SILENT_OVER)


async def _hang(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    await _while(nodes, _seconds(fault), "is_hung", True, False)


async def _lose_answers(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    await _while(nodes, _seconds(fault), "lost_answer_share", fault.size, 0.0)


async def _report_late(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    await _while(
        nodes or list(fleet.nodes.values()), _seconds(fault), "report_delay_seconds", fault.size, 0.0
    )


async def _slow_down(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    await _slow(nodes, _seconds(fault), fault.size)


async def _slow_down_all(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    await _slow(list(fleet.nodes.values()), _seconds(fault), fault.size)


async def _noisy_neighbour(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Another program takes a share of each node's link, on and off."""
    swing = max(SHORTEST_SWING_SECONDS, fault.extra)
    until, on = trio.current_time() + _seconds(fault), False
    while trio.current_time() < until:
        on = not on
        for node in nodes:
            node.machine.taken_share = fault.size if on else 0.0
        await trio.sleep(min(swing, max(SHORTEST_SLEEP_SECONDS, until - trio.current_time())))
    for node in nodes:
        node.machine.taken_share = 0.0


async def _ageing(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Slower and slower one after the other, then one death each and a cold return."""
    away = max(SHORTEST_RETURN_SECONDS, fault.extra)
    async with trio.open_nursery() as nursery:
        for index, node in enumerate(nodes):
            lasts = _seconds(fault) * (index + 1) / (len(nodes) + 1)
            nursery.start_soon(_age, fleet, node, lasts, fault.size, away)


async def _age(fleet: Fleet, node: PlayoutNode, lasts: float, times: float, away: float) -> None:
    for step in range(1, AGEING_STEPS + 1):
        await trio.sleep(lasts / AGEING_STEPS)
        node.machine.slowdown = 1 + (max(1.0, times) - 1) * step / AGEING_STEPS
    node.kill()
    fleet.publish_list()
    await trio.sleep(away)
    node.machine.slowdown = 1.0
    await return_cold(fleet, node)
    fleet.publish_list()


async def _deploy(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    notice = max(SHORTEST_NOTICE_SECONDS, fault.extra)
    await _replace(fleet, nodes, _seconds(fault), fault.size, notice, DEPLOY_GAP_SECONDS)


async def _preempt(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    notice = max(SHORTEST_NOTICE_SECONDS, fault.size)
    gap = max(DEPLOY_GAP_SECONDS, fault.extra)
    await _replace(fleet, nodes, _seconds(fault), PREEMPTED_BATCH, notice, gap)


async def _cut_zone(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    """Front ends and nodes on different sides of the cut do not reach each other."""
    wings = sorted({node.zone for node in fleet.nodes.values()})
    for node in fleet.nodes.values():
        node.faults.unreachable_zones = {
            wing for wing in wings if (wing in fault.targets) != (node.zone in fault.targets)
        }
        node.notify_changed()
    await trio.sleep(_seconds(fault))
    for node in fleet.nodes.values():
        node.faults.unreachable_zones = set()
        node.notify_changed()


async def _fail_list(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    fleet.list_service.set_fault(fault.kind)
    await trio.sleep(_seconds(fault))
    fleet.list_service.clear_fault()


INJECTORS: dict[str, Injector] = {
    "crash": _crash, "vanish": _vanish, "zone-loss": _lose_zone, "hang": _hang, "answer-lost": _lose_answers,
    "report-late": _report_late, "slow": _slow_down, "shared-slow": _slow_down_all, "neighbour": _noisy_neighbour,
    "ageing": _ageing, "deploy": _deploy, "preempt": _preempt, "zone-cut": _cut_zone, "list-empty": _fail_list,
    "list-broken": _fail_list, "list-down": _fail_list,
}  # fmt: skip


async def _while(nodes: list[PlayoutNode], seconds: float, name: str, faulty: object, sound: object) -> None:
    """Sets one of the nodes' ailments for so long."""
    for node in nodes:
        setattr(node.faults, name, faulty)
        node.notify_changed()
    await trio.sleep(seconds)
    for node in nodes:
        setattr(node.faults, name, sound)
        node.notify_changed()


async def _down(fleet: Fleet, nodes: Iterable[PlayoutNode], seconds: float, silent: bool) -> None:
    """Processes die and come back cold; with `silent`, nothing comes from them until then."""
    down = [node for node in nodes if not node.faults.is_dead]
    for node in down:
        if silent:
            fleet.record.note("silent", node=node.name)
            node.faults.is_silent = True
            node.notify_changed()
        else:
            node.kill()
    if not silent:
        fleet.publish_list()
    await trio.sleep(seconds)
    for node in down:
        if silent:
            node.kill()
        await return_cold(fleet, node)
    fleet.publish_list()


async def return_cold(fleet: Fleet, node: PlayoutNode) -> None:
    """A dead node's process starts again, if the node is still part of the fleet."""
    if node.faults.is_dead and fleet.nodes.get(node.name) is node:
        node.machine.restart(fleet.clock.now())
        await fleet.start_node(node)


async def _slow(nodes: list[PlayoutNode], seconds: float, times: float) -> None:
    for node in nodes:
        node.machine.slowdown *= max(1.0, times)
    await trio.sleep(seconds)
    for node in nodes:
        node.machine.slowdown /= max(1.0, times)


async def _replace(
    fleet: Fleet, nodes: list[PlayoutNode], seconds: float, batch: float, notice: float, gap: float
) -> None:
    """In batches: listed as draining, dead after the notice, a new cold node in each one's place some time later."""
    size = max(1, round(len(fleet.nodes) * batch))
    batches = [nodes[first : first + size] for first in range(0, len(nodes), size)]
    async with trio.open_nursery() as nursery:
        for some in batches:
            nursery.start_soon(_replace_batch, fleet, some, notice, gap)
            await trio.sleep(seconds / len(batches))


async def _replace_batch(fleet: Fleet, batch: list[PlayoutNode], notice: float, gap: float) -> None:
    batch = [node for node in batch if fleet.nodes.get(node.name) is node]
    for node in batch:
        node.faults.is_draining = True
        fleet.record.note("draining", node=node.name)
    fleet.publish_list()
    await trio.sleep(notice)
    for node in batch:
        node.kill()
        fleet.remove(node)
    fleet.publish_list()
    await trio.sleep(gap)
    for node in batch:
        base, _, number = node.name.partition("+")
        replacement = fleet.add(fleet.spec_of(node.name), f"{base}+{int(number or 0) + 1}")
        replacement.machine.restart(fleet.clock.now())
        await fleet.start_node(replacement)
    fleet.publish_list()
