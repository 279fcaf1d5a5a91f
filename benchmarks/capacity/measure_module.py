"""Slopes of the decisions and the list inside one process: the platform's owner and module, without sockets."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

import orjson
import structlog
import trio

from benchmarks.capacity.experiments import Experiment, Quantity
from benchmarks.capacity.platform_process import SETTINGS, members
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
    Playback,
    PlaybackState,
    Title,
)
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platformwire import command_channel, configuration
from oakcroft.running.clock import Clock

NODES = (100, 200, 400, 800, 1_600, 3_200)
SESSIONS = (1_000, 2_000, 4_000, 8_000, 16_000)
TITLES = (1_000, 4_000, 16_000, 64_000)
SOME_NODES = 300
"""Nodes of one region at the target: 2,700 over nine."""
SHUFFLED_TITLES = 50
LISTS, CHANGES, TURNS = 5, 50, 5
START = 1_000 * SECOND
LINK, PLACES = 4e8, 4_000.0
MB = 1e6

Found = dict[int, Sequence[float]]


def told() -> configuration.Configuration:
    """The configuration of a front end with an empty list."""
    said = {
        "name": "front", "listen": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 18_000, "memory_mb": 4_096},
        "channel": "127.0.0.1:1", "known": {"cursor": 1, "cmds": []}, "settings": SETTINGS,
    }  # fmt: skip
    return configuration.decode(orjson.dumps(said))


def milliseconds(work: Callable[[], object], times: int) -> float:
    """Processor time of one turn."""
    began = time.process_time()
    for _ in range(times):
        work()
    return 1e3 * (time.process_time() - began) / times


def lists(_seed: int) -> Found:
    """A whole list, one change of it, the first set-up of a title after it, and a second's rounds over all nodes."""

    async def main() -> Found:
        async with trio.open_nursery() as nursery:
            return {count: measure_list(count, nursery) for count in NODES}

    return trio.run(main)


def measure_list(count: int, nursery: trio.Nursery) -> Sequence[float]:
    """All of it at one number of nodes."""
    owner = SessionCoordinator(told(), Clock(), nursery, structlog.wrap_logger(structlog.ReturnLogger()))
    whole = answer(1, True, members([1], count))
    change = answer(2, False, members([1], count)[:1])

    def take(octets: bytes) -> None:
        for _, complete, some in command_channel.decode_events(octets)[1]:
            owner.apply_list_immediately(complete, some)

    whole_ms = milliseconds(lambda: take(whole), LISTS)
    change_ms = milliseconds(lambda: take(change), CHANGES)
    names = iter(range(1_000_000))
    title_ms = milliseconds(
        lambda: owner.controller._holders(Title(f"title-{next(names)}", 0, 0)), SHUFFLED_TITLES
    )

    def second() -> None:
        for _ in range(10):
            owner._maintain()
        owner.controller._end_interval(owner.clock.now())

    return whole_ms, change_ms, title_ms, milliseconds(second, TURNS) / 10, len(whole) / 1e3


def answer(cursor: int, complete: bool, some: list[dict[str, object]]) -> bytes:
    """An answer of the channel with one event."""
    cmd = {"cursor": cursor, "nodes": {"complete": complete, "members": some}}
    return orjson.dumps({"cursor": cursor, "cmds": [cmd]})


class QuietHost:
    """A host of the module that answers nothing."""

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """A set-up leaves."""

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """A set-up is refused."""

    def abort(self, playback: Playback) -> None:
        """A set-up is given up."""

    def set_rung(self, playback: Playback, rung: int) -> None:
        """A session changes its rendition."""

    def set_timer(self, at: int) -> None:
        """The module would be called then."""

    def subscribe_to_nodes(self) -> None:
        """The list would be followed."""

    def log(self, message: str) -> None:
        """The module has changed its mode."""


def held(seed: int) -> Found:
    """Sessions that the module holds on a region's nodes: one interval of its design, and one set-up."""
    rng = Random(seed)
    site, plan = terms.read_settings(SETTINGS), terms.read_plans(SETTINGS)["free"]
    control = Controller(replace(site, front_count=200), seed, QuietHost(), START)
    some = [Node(f"node-{i:05}") for i in range(SOME_NODES)]
    for i, node in enumerate(some):
        node.cell = i % site.cell_count
    now = START + 20 * SECOND
    control.on_node_list(
        NodeListKind.WHOLE, [NodeEntry(n, NodeStatus.READY, 0, LINK, PLACES) for n in some], now
    )
    titles, playing, found = [Title(f"title-{i}", 0, 0) for i in range(1_000)], 0, Found()
    for count in SESSIONS:
        began = time.process_time()
        before = playing
        while playing < count:
            pb = Playback(rng.choice(titles), plan, 2, now + 8 * SECOND, False)
            control.on_request(pb, now)
            if pb.state is not PlaybackState.SETTING_UP:
                raise RuntimeError(f"refused with {playing} held: {pb.state}")
            control.on_playing(pb, now)
            playing += 1
        set_up = 1e3 * (time.process_time() - began) / (count - before)
        now += SECOND

        def interval(at: int = now) -> None:
            control._end_interval(at)

        found[count] = milliseconds(interval, TURNS) / 10, set_up
        now += MS
    return found


def titles(_seed: int) -> Found:
    """Titles that a front has met, each with its order of a region's nodes: memory."""
    site = terms.read_settings(SETTINGS)
    control = Controller(site, 1, QuietHost(), START)
    some = [NodeEntry(Node(f"node-{i:05}"), NodeStatus.READY, 0, LINK, PLACES) for i in range(SOME_NODES)]
    control.on_node_list(NodeListKind.WHOLE, some, START)
    found = Found()
    tracemalloc.start()
    before, met = tracemalloc.get_traced_memory()[0], 0
    shelf = TitleCache(max(TITLES), site.cell_count, 0, {})
    for count in TITLES:
        while met < count:
            title = shelf.get(f"title-{met}", 0)
            assert title is not None
            title.holders, title.holders_version = list(control.nodes), control.list_version
            met += 1
        found[count] = ((tracemalloc.get_traced_memory()[0] - before) / MB,)
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
        lists,
    ),
    Experiment(
        "module-held", "held sessions", "measured",
        (
            Quantity("held.interval", "processor time of the module's interval, each second", "% of a core"),
            Quantity("held.set-up", "processor time of the module for one set-up", "ms"),
        ),
        held,
    ),
    Experiment(
        "module-titles", "titles met", "measured",
        (Quantity("titles.memory", "memory of titles with their holders in order, 300 nodes", "MB"),),
        titles,
    ),
)  # fmt: skip
