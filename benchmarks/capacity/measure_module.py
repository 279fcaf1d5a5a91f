"""Slopes of the node list and the decision module in one process, without sockets."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from functools import partial
from random import Random

import orjson
import structlog
import trio

from benchmarks.capacity.experiments import CPU_MS_PER_S_PER_PERCENT, Experiment, Quantity, ValuesBySize
from benchmarks.capacity.platform_process import SETTINGS, node_members
from benchmarks.capacity.targets import MB
from benchmarks.decision_module import NullHost
from oakcroft import terms
from oakcroft.choice import Controller
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.interface import (
    MS,
    SECOND,
    NodeEntry,
    NodeStatus,
    NodeListKind,
    Node,
    Placement,
    Playback,
    PlaybackState,
    Title,
)
from oakcroft.platform.list_updates import ListUpdates
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platformwire import answer_decoder, configuration
from oakcroft.running.clock import Clock

NODES = (100, 200, 400, 800, 1_600, 3_200)
SESSIONS = (1_000, 2_000, 4_000, 8_000, 16_000)
TITLES = (1_000, 4_000, 16_000, 64_000)
NODES_PER_REGION = 300
"""Nodes of one region at the target: 2,700 in nine regions."""
ORDERED_TITLES = 50
LIST_REPEATS = 5
CHANGE_REPEATS = 50
INTERVAL_REPEATS = 5
START_NS = 1_000 * SECOND
LINK_CAPACITY = 4e8
PLAYBACK_CAPACITY = 4_000.0


def front_configuration() -> configuration.Configuration:
    """Returns the configuration of a front end with an empty node list."""
    settings = {
        "name": "front", "listen": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 18_000, "memory_mb": 4_096},
        "channel": "127.0.0.1:1", "known": {"cursor": 1, "cmds": []}, "settings": SETTINGS,
    }  # fmt: skip
    return configuration.decode(orjson.dumps(settings))


def cpu_milliseconds(work: Callable[[], object], times: int) -> float:
    """Returns the mean CPU time of one call in milliseconds."""
    started_at = time.process_time()
    for _ in range(times):
        work()
    return 1e3 * (time.process_time() - started_at) / times


async def async_cpu_milliseconds(work: Callable[[], Awaitable[None]], times: int) -> float:
    """Returns the mean CPU time of one call of an asynchronous function in milliseconds."""
    started_at = time.process_time()
    for _ in range(times):
        await work()
    return 1e3 * (time.process_time() - started_at) / times


def measure_lists(_seed: int) -> ValuesBySize:
    """Measures a whole list, a change of it, ordering the holders of a title after it, and the periodic passes."""

    async def main() -> ValuesBySize:
        """Measures each number of nodes; the coordinator needs a nursery."""
        async with trio.open_nursery() as nursery:
            return {count: await measure_list(count, nursery) for count in NODES}

    return trio.run(main)


async def measure_list(count: int, nursery: trio.Nursery) -> Sequence[float]:
    """Measures all quantities of `measure_lists` at one number of nodes."""
    coordinator = SessionCoordinator(
        front_configuration(), Clock(), nursery, structlog.wrap_logger(structlog.ReturnLogger())
    )
    whole = channel_answer(1, True, node_members([1], count))
    change = channel_answer(2, False, node_members([1], count)[:1])

    list_updates = ListUpdates(coordinator)

    async def apply_answer(octets: bytes) -> None:
        """Decodes an answer of the command channel and applies its lists."""
        await list_updates.apply(answer_decoder.decode_answer(octets)[1])

    whole_ms = await async_cpu_milliseconds(lambda: apply_answer(whole), LIST_REPEATS)
    change_ms = await async_cpu_milliseconds(lambda: apply_answer(change), CHANGE_REPEATS)
    title_numbers = iter(range(1_000_000))
    holder_orders = coordinator.controller.holder_orders
    title_ms = cpu_milliseconds(
        lambda: next(holder_orders.holders(Title(f"title-{next(title_numbers)}", 0, 0), Placement(0, 0))),
        ORDERED_TITLES,
    )

    def run_one_second() -> None:
        """Runs the periodic passes over all nodes that are due in one second."""
        for _ in range(10):
            coordinator._maintain()
        coordinator.controller._end_interval(coordinator.clock.now())

    return (
        whole_ms,
        change_ms,
        title_ms,
        cpu_milliseconds(run_one_second, INTERVAL_REPEATS) / CPU_MS_PER_S_PER_PERCENT,
        len(whole) / 1e3,
    )


def channel_answer(cursor: int, complete: bool, listed: list[dict[str, object]]) -> bytes:
    """Encodes an answer of the command channel with one event."""
    cmd = {"cursor": cursor, "nodes": {"complete": complete, "members": listed}}
    return orjson.dumps({"cursor": cursor, "cmds": [cmd]})


def measure_held_sessions(seed: int) -> ValuesBySize:
    """Measures the module's interval and a set-up while it holds sessions on a region's nodes."""
    rng = Random(seed)
    site = terms.read_settings(SETTINGS)
    plan = terms.read_plans(SETTINGS)["free"]
    controller = Controller(replace(site, front_count=200), seed, NullHost(), START_NS)
    nodes = [Node(f"node-{i:05}") for i in range(NODES_PER_REGION)]
    for i, node in enumerate(nodes):
        node.cell = i % site.cell_count
    now = START_NS + 20 * SECOND
    controller.on_node_list(
        NodeListKind.WHOLE,
        [NodeEntry(node, NodeStatus.READY, 0, LINK_CAPACITY, PLAYBACK_CAPACITY) for node in nodes],
        now,
    )
    titles = [Title(f"title-{i}", 0, 0) for i in range(1_000)]
    playing = 0
    found = ValuesBySize()
    for count in SESSIONS:
        started_at = time.process_time()
        playing_before = playing
        while playing < count:
            playback = Playback(rng.choice(titles), plan, 2, now + 8 * SECOND, False)
            controller.on_request(playback, now)
            if playback.state is not PlaybackState.SETTING_UP:
                raise RuntimeError(f"a set-up was not tried with {playing} sessions held: {playback.state}")
            controller.on_playing(playback, now)
            playing += 1
        setup_ms = 1e3 * (time.process_time() - started_at) / (count - playing_before)
        now += SECOND

        interval_ms = cpu_milliseconds(partial(controller._end_interval, now), INTERVAL_REPEATS)
        found[count] = interval_ms / CPU_MS_PER_S_PER_PERCENT, setup_ms
        now += MS
    return found


def measure_titles(_seed: int) -> ValuesBySize:
    """Measures the memory of a front's cached titles, each with an order of a region's nodes."""
    site = terms.read_settings(SETTINGS)
    controller = Controller(site, 1, NullHost(), START_NS)
    entries = [
        NodeEntry(Node(f"node-{i:05}"), NodeStatus.READY, 0, LINK_CAPACITY, PLAYBACK_CAPACITY)
        for i in range(NODES_PER_REGION)
    ]
    controller.on_node_list(NodeListKind.WHOLE, entries, START_NS)
    found = ValuesBySize()
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    cached = 0
    title_cache = TitleCache(max(TITLES), site.cell_count, 0, {})
    for count in TITLES:
        while cached < count:
            title = title_cache.get(f"title-{cached}", 0)
            assert title is not None
            next(controller.holder_orders.holders(title, Placement(0, 0)))
            cached += 1
        found[count] = ((tracemalloc.get_traced_memory()[0] - memory_before) / MB,)
    tracemalloc.stop()
    return found


MODULE_EXPERIMENTS = (
    Experiment(
        "module-lists", "nodes on the list", "measured",
        (
            Quantity("list.whole", "processor time of a whole list, read and taken", "ms"),
            Quantity("list.change", "processor time of a change of one node, read and taken", "ms"),
            Quantity("list.title", "processor time of ordering the holders of a title after a change of the list", "ms"),
            Quantity("list.rounds", "processor time of the rounds over all nodes, nothing playing", "% of a core"),
            Quantity("list.octets", "a whole list on the command channel", "kB"),
        ),
        measure_lists,
    ),
    Experiment(
        "module-held", "held sessions", "measured",
        (
            Quantity("held.interval", "processor time of the module's interval, each second", "% of a core"),
            Quantity("held.set-up", "processor time of the module for one set-up", "ms"),
        ),
        measure_held_sessions,
    ),
    Experiment(
        "module-titles", "titles met", "measured",
        (Quantity("titles.memory", "memory of titles with their holders in order, 300 nodes", "MB"),),
        measure_titles,
    ),
)  # fmt: skip
