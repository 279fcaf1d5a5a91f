"""Processor time of one event of the node list in fleets of several sizes, and of the set-up that follows it.

Run with `python -m benchmarks.list_events`.
"""

from __future__ import annotations

import time
from dataclasses import replace
from itertools import pairwise
from statistics import median
from typing import NamedTuple

from benchmarks.decision_module import PLAIN_DEPLOYMENT, NullHost, create_plan
from oakcroft.choice import Controller
from oakcroft.interface import SECOND, Node, NodeEntry, NodeListKind, NodeStatus, Playback, Title

NODE_COUNTS = (200, 800, 3_200)
RACK_COUNTS = (40, 457)
EVENTS = 100
START_NS = 1_000 * SECOND
PLAN = create_plan(2)
UPLINK_CAPACITY = 49_000.0
LINK_CAPACITY = 7_000.0
PLAYBACK_CAPACITY = 23.0


class EventCost(NamedTuple):
    """Median processor times in microseconds."""

    event: float
    known_title: float
    """The set-up of a title that was asked for before the event."""
    new_title: float
    """The set-up of a title that was never asked for."""


def measure(node_count: int, rack_count: int) -> EventCost:
    """Measures the drain of single nodes, each followed by two set-ups."""
    settings = replace(
        PLAIN_DEPLOYMENT, cell_count=node_count, rack_count=rack_count, uplink_capacity=UPLINK_CAPACITY
    )
    controller = Controller(settings, 1, NullHost(), START_NS)
    nodes = [Node(f"node-{number:05}") for number in range(node_count)]
    for cell, node in enumerate(nodes):
        node.cell = cell
    entries = [NodeEntry(node, NodeStatus.READY, 0, LINK_CAPACITY, PLAYBACK_CAPACITY) for node in nodes]
    now = START_NS + 20 * SECOND
    controller.on_node_list(NodeListKind.WHOLE, entries, now)
    known_title = Title("known", 0, 0)
    request(controller, known_title, now)
    costs = list[EventCost]()
    for number, entry in enumerate(entries[:EVENTS]):
        times = [time.process_time()]
        controller.on_node_list(NodeListKind.CHANGES, [replace(entry, status=NodeStatus.DRAINING)], now)
        times.append(time.process_time())
        request(controller, known_title, now)
        times.append(time.process_time())
        request(controller, Title(f"new-{number}", 0, 0), now)
        times.append(time.process_time())
        costs.append(EventCost(*(1e6 * (after - before) for before, after in pairwise(times))))
    return EventCost(*(median(values) for values in zip(*costs, strict=True)))


def request(controller: Controller, title: Title, now: int) -> None:
    """Asks for a title."""
    controller.on_request(Playback(title, PLAN, 2, now + 8 * SECOND, False), now)


def main() -> None:
    """Prints a table."""
    print("| nodes | racks | event, us | set-up of a known title, us | set-up of a new title, us |")
    print("| --- | --- | --- | --- | --- |")
    for rack_count in RACK_COUNTS:
        for node_count in NODE_COUNTS:
            cost = measure(node_count, rack_count)
            print("|", node_count, "|", rack_count, "|", *(f"{value:.0f} |" for value in cost), flush=True)


if __name__ == "__main__":
    main()
