"""Injection of faults into an emulated fleet, with a function for each kind of fault that operators have seen."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio

from oakcroft.interface import SECOND
from oakcroft.standins.day import Fault
from oakcroft.standins.fleet import Fleet
from oakcroft.standins.playout import PlayoutNode

SILENT_ZONE_LOSS_ABOVE = 0.5
"""A lost zone whose `extra` is above this sends nothing; otherwise its processes die and reset their connections."""

MIN_NOTICE_SECONDS = 0.1
MIN_SWITCH_SECONDS = 0.5
MIN_DOWNTIME_SECONDS = 1.0
MIN_SLEEP_SECONDS = 0.01
"""Lower bounds for values of a day's text, which are 0 by default."""

PREEMPTED_BATCH_SHARE = 0.5
"""Share of the fleet that is preempted at one time, at most."""

DEPLOY_GAP_SECONDS = 0.5
"""Time between a node's death and its replacement in a rolling deploy."""

AGEING_STEPS = 5
"""Steps in which an ageing node becomes slower."""

Injector = Callable[[Fleet, list[PlayoutNode], Fault], Awaitable[None]]
"""Injects a fault of one kind into the nodes that it names, and returns when it has ended."""


async def inject_all(fleet: Fleet, start_ns: int) -> None:
    """Injects all faults of the fleet's day, which begins at `start_ns`, and returns when the last one has ended."""
    async with trio.open_nursery() as nursery:
        for fault in fleet.day.faults:
            nursery.start_soon(_inject_on_time, fleet, fault, start_ns)


async def _inject_on_time(fleet: Fleet, fault: Fault, start_ns: int) -> None:
    await trio.sleep_until(fleet.clock.trio_time(start_ns + fault.start_ns))
    fleet.record.note("fault", what=fault.kind, on=list(fault.targets), phase="begins")
    await inject(fleet, fault)
    fleet.record.note("fault", what=fault.kind, on=list(fault.targets), phase="ends")


async def inject(fleet: Fleet, fault: Fault) -> None:
    """Injects one fault and returns when it has ended.

    Kinds that concern neither nodes nor the list are ignored; the rehearsal injects those of front ends and viewers.
    """
    nodes = [fleet.nodes[name] for name in fault.targets if name in fleet.nodes]
    if fault.kind in INJECTORS:
        await INJECTORS[fault.kind](fleet, nodes, fault)


def _duration_seconds(fault: Fault) -> float:
    return fault.duration_ns / SECOND


async def _crash(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Kills the nodes, whose connections are reset."""
    await _take_down(fleet, nodes, _duration_seconds(fault), is_silent=False)


async def _vanish(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Makes the nodes send nothing, as if their machines had lost power."""
    await _take_down(fleet, nodes, _duration_seconds(fault), is_silent=True)


async def _lose_zone(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    """Kills or silences all nodes of the named zones."""
    nodes = [node for node in fleet.nodes.values() if node.zone in fault.targets]
    await _take_down(fleet, nodes, _duration_seconds(fault), is_silent=fault.extra > SILENT_ZONE_LOSS_ABOVE)


async def _hang(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Makes the nodes accept requests without answering set-ups or sending media."""
    await _set_fault_for(nodes, _duration_seconds(fault), "is_hung", True, False)


async def _lose_answers(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Makes the nodes run a share `size` of set-ups without sending the answer."""
    await _set_fault_for(nodes, _duration_seconds(fault), "lost_answer_share", fault.size, 0.0)


async def _report_late(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Delays the reports of the nodes, or of all nodes, by `size` seconds."""
    await _set_fault_for(
        nodes or list(fleet.nodes.values()), _duration_seconds(fault), "report_delay_seconds", fault.size, 0.0
    )


async def _slow_down(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Slows the nodes down by the factor `size`."""
    await _slow(nodes, _duration_seconds(fault), fault.size)


async def _slow_down_all(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    """Slows all nodes down by the factor `size`, as a shared dependency would."""
    await _slow(list(fleet.nodes.values()), _duration_seconds(fault), fault.size)


async def _noisy_neighbour(_: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Lets another program use a share of each node's link, on and off."""
    switch_seconds = max(MIN_SWITCH_SECONDS, fault.extra)
    until = trio.current_time() + _duration_seconds(fault)
    is_busy = False
    while trio.current_time() < until:
        is_busy = not is_busy
        for node in nodes:
            node.machine.other_traffic_share = fault.size if is_busy else 0.0
        await trio.sleep(min(switch_seconds, max(MIN_SLEEP_SECONDS, until - trio.current_time())))
    for node in nodes:
        node.machine.other_traffic_share = 0.0


async def _ageing(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Slows the nodes down, each over a longer time than the previous one; each then dies and restarts cold."""
    downtime_seconds = max(MIN_DOWNTIME_SECONDS, fault.extra)
    async with trio.open_nursery() as nursery:
        for index, node in enumerate(nodes):
            ageing_seconds = _duration_seconds(fault) * (index + 1) / (len(nodes) + 1)
            nursery.start_soon(_age, fleet, node, ageing_seconds, fault.size, downtime_seconds)


async def _age(
    fleet: Fleet, node: PlayoutNode, ageing_seconds: float, slowdown: float, downtime_seconds: float
) -> None:
    """Slows a node down step by step, kills it, and restarts it cold after the downtime."""
    for step in range(1, AGEING_STEPS + 1):
        await trio.sleep(ageing_seconds / AGEING_STEPS)
        node.machine.slowdown = 1 + (max(1.0, slowdown) - 1) * step / AGEING_STEPS
    node.kill()
    fleet.publish_list()
    await trio.sleep(downtime_seconds)
    node.machine.slowdown = 1.0
    await restart_cold(fleet, node)
    fleet.publish_list()


async def _deploy(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Replaces the nodes in batches of a share `size` of the fleet, each with `extra` seconds of notice."""
    notice_seconds = max(MIN_NOTICE_SECONDS, fault.extra)
    await _replace(fleet, nodes, _duration_seconds(fault), fault.size, notice_seconds, DEPLOY_GAP_SECONDS)


async def _preempt(fleet: Fleet, nodes: list[PlayoutNode], fault: Fault) -> None:
    """Replaces the nodes in large batches with `size` seconds of notice; replacements start after `extra` seconds."""
    notice_seconds = max(MIN_NOTICE_SECONDS, fault.size)
    gap_seconds = max(DEPLOY_GAP_SECONDS, fault.extra)
    await _replace(fleet, nodes, _duration_seconds(fault), PREEMPTED_BATCH_SHARE, notice_seconds, gap_seconds)


async def _cut_zone(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    """Cuts the network between the named zones and the others, for front ends and nodes alike."""
    zones = sorted({node.zone for node in fleet.nodes.values()})
    for node in fleet.nodes.values():
        node.faults.unreachable_zones = {
            zone for zone in zones if (zone in fault.targets) != (node.zone in fault.targets)
        }
        node.notify_changed()
    await trio.sleep(_duration_seconds(fault))
    for node in fleet.nodes.values():
        node.faults.unreachable_zones = set()
        node.notify_changed()


async def _fail_list(fleet: Fleet, _: list[PlayoutNode], fault: Fault) -> None:
    """Applies a fault of the list service."""
    fleet.list_service.set_fault(fault.kind)
    await trio.sleep(_duration_seconds(fault))
    fleet.list_service.clear_fault()


INJECTORS: dict[str, Injector] = {
    "crash": _crash,
    "vanish": _vanish,
    "zone-loss": _lose_zone,
    "hang": _hang,
    "answer-lost": _lose_answers,
    "report-late": _report_late,
    "slow": _slow_down,
    "shared-slow": _slow_down_all,
    "neighbour": _noisy_neighbour,
    "ageing": _ageing,
    "deploy": _deploy,
    "preempt": _preempt,
    "zone-cut": _cut_zone,
    "list-empty": _fail_list,
    "list-broken": _fail_list,
    "list-down": _fail_list,
}


async def _set_fault_for(
    nodes: list[PlayoutNode], seconds: float, field: str, faulty: object, healthy: object
) -> None:
    """Sets one field of the nodes' faults for a time."""
    for node in nodes:
        setattr(node.faults, field, faulty)
        node.notify_changed()
    await trio.sleep(seconds)
    for node in nodes:
        setattr(node.faults, field, healthy)
        node.notify_changed()


async def _take_down(fleet: Fleet, nodes: Iterable[PlayoutNode], seconds: float, is_silent: bool) -> None:
    """Takes the nodes' processes down for a time and restarts them cold.

    They are killed at once, or, with `is_silent`, send nothing and are killed at the end.
    """
    running = [node for node in nodes if not node.faults.is_dead]
    for node in running:
        if is_silent:
            fleet.record.note("silent", node=node.name)
            node.faults.is_silent = True
            node.notify_changed()
        else:
            node.kill()
    if not is_silent:
        fleet.publish_list()
    await trio.sleep(seconds)
    for node in running:
        if is_silent:
            node.kill()
        await restart_cold(fleet, node)
    fleet.publish_list()


async def restart_cold(fleet: Fleet, node: PlayoutNode) -> None:
    """Restarts a dead node's process, if the node is still part of the fleet."""
    if node.faults.is_dead and fleet.nodes.get(node.name) is node:
        node.machine.restart(fleet.clock.now())
        await fleet.start_node(node)


async def _slow(nodes: list[PlayoutNode], seconds: float, factor: float) -> None:
    """Slows the nodes down for a time; several such faults at once multiply."""
    for node in nodes:
        node.machine.slowdown *= max(1.0, factor)
    await trio.sleep(seconds)
    for node in nodes:
        node.machine.slowdown /= max(1.0, factor)


async def _replace(
    fleet: Fleet,
    nodes: list[PlayoutNode],
    seconds: float,
    batch_share: float,
    notice_seconds: float,
    gap_seconds: float,
) -> None:
    """Replaces nodes in batches: they drain, die after the notice, and are replaced by cold ones after the gap."""
    size = max(1, round(len(fleet.nodes) * batch_share))
    batches = [nodes[first : first + size] for first in range(0, len(nodes), size)]
    async with trio.open_nursery() as nursery:
        for batch in batches:
            nursery.start_soon(_replace_batch, fleet, batch, notice_seconds, gap_seconds)
            await trio.sleep(seconds / len(batches))


async def _replace_batch(
    fleet: Fleet, batch: list[PlayoutNode], notice_seconds: float, gap_seconds: float
) -> None:
    """Replaces the nodes of one batch that are still part of the fleet."""
    batch = [node for node in batch if fleet.nodes.get(node.name) is node]
    for node in batch:
        node.faults.is_draining = True
        fleet.record.note("draining", node=node.name)
    fleet.publish_list()
    await trio.sleep(notice_seconds)
    for node in batch:
        node.kill()
        fleet.remove(node)
    fleet.publish_list()
    await trio.sleep(gap_seconds)
    for node in batch:
        base, _, number = node.name.partition("+")
        replacement = fleet.add(fleet.spec_of(node.name), f"{base}+{int(number or 0) + 1}")
        replacement.machine.restart(fleet.clock.now())
        await fleet.start_node(replacement)
    fleet.publish_list()
