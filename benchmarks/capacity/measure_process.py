"""Slopes of one real front end process: connections, sessions, reports, session ends, listed nodes, set-up rate."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from benchmarks.capacity.experiments import Experiment, Quantity, ValuesBySize
from benchmarks.capacity.platform_load import (
    REPORTS_PER_S,
    connect_more,
    end_all_sessions,
    play_briefly,
    play_more,
    send_reports,
)
from benchmarks.capacity.platform_process import (
    WARMUP_S,
    Emulators,
    FrontProcess,
    Viewer,
    running_front,
)
from benchmarks.capacity.targets import MB

CONNECTIONS = (500, 1_000, 2_000, 4_000, 8_000)
SESSIONS = (500, 1_000, 2_000, 4_000)
ENDED_SESSIONS = (250, 500, 1_000, 2_000)
NODES = (100, 200, 400, 800, 1_600, 3_200)
SETUPS_PER_S = (25, 50, 100, 200)
FEW_NODES = 40
IDLE_S = 2.5
ARRIVALS_S = 4.0
SETTLE_S = 1.0

Measure = Callable[[FrontProcess, Emulators], Awaitable[ValuesBySize]]


def run_with_front(nodes: int, measure: Measure) -> ValuesBySize:
    """Runs a measurement with a front end that has `nodes` listed nodes, and with its emulators."""

    async def main() -> ValuesBySize:
        """Starts the emulators and the front end, measures, and stops them."""
        async with trio.open_nursery() as nursery:
            emulators = Emulators(nursery)
            await emulators.start()
            async with running_front(emulators, nodes) as front:
                found = await measure(front, emulators)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(main)


def measure_connections(_seed: int) -> ValuesBySize:
    """Measures memory, share of a core and descriptors with idle connections."""

    async def measure(front: FrontProcess, _emulators: Emulators) -> ValuesBySize:
        """Measures each number of connections."""
        found, viewers = ValuesBySize(), list[Viewer]()
        for count in CONNECTIONS:
            await connect_more(front, viewers, count)
            await trio.sleep(SETTLE_S)
            share = await front.cpu_share_over(IDLE_S)
            found[count] = front.resident_octets / MB, 100 * share, front.descriptor_count
        return found

    return run_with_front(FEW_NODES, measure)


def measure_sessions(_seed: int) -> ValuesBySize:
    """Measures memory and share of a core with held sessions, and the CPU time of a set-up and of a node's report."""

    async def measure(front: FrontProcess, emulators: Emulators) -> ValuesBySize:
        """Measures each number of sessions."""
        await trio.sleep(WARMUP_S)
        found, viewers = ValuesBySize(), list[Viewer]()
        for count in SESSIONS:
            cpu_before = front.cpu_seconds
            held_before = len(viewers)
            await play_more(front, viewers, count, "")
            set_up_ms = 1e3 * (front.cpu_seconds - cpu_before) / (count - held_before)
            await trio.sleep(SETTLE_S)
            idle = await front.cpu_share_over(IDLE_S)
            busy = await send_reports(front, emulators)
            report_us = 1e6 * (busy - idle) / REPORTS_PER_S
            found[count] = front.resident_octets / MB, 100 * idle, set_up_ms, report_us
        return found

    return run_with_front(FEW_NODES, measure)


def measure_ends(_seed: int) -> ValuesBySize:
    """Measures the end of all sessions of a title at once by their nodes: time until the last release, and CPU time."""

    async def measure(front: FrontProcess, emulators: Emulators) -> ValuesBySize:
        """Measures each number of sessions, which are set up anew."""
        await trio.sleep(WARMUP_S)
        found = ValuesBySize()
        for count in ENDED_SESSIONS:
            viewers = list[Viewer]()
            emulators.sessions.clear()
            await play_more(front, viewers, count, "the-largest")
            await trio.sleep(SETTLE_S)
            cpu_before = front.cpu_seconds
            duration_s = end_all_sessions(emulators, viewers)
            found[count] = 1e3 * duration_s, 1e6 * (front.cpu_seconds - cpu_before) / count
            for viewer in viewers:
                viewer.close()
            await trio.sleep(SETTLE_S)
        return found

    return run_with_front(FEW_NODES, measure)


def measure_nodes(_seed: int) -> ValuesBySize:
    """Measures the time from start to ready, memory and idle share of a core with listed nodes."""

    async def measure(front: FrontProcess, _emulators: Emulators) -> ValuesBySize:
        """Measures one front end; the caller knows its number of nodes."""
        await trio.sleep(SETTLE_S)
        share = await front.cpu_share_over(IDLE_S)
        return {0: (front.ready_s, front.resident_octets / MB, 100 * share)}

    return {count: run_with_front(count, measure)[0] for count in NODES}


async def cpu_share_at_rate(front: FrontProcess, emulators: Emulators, rate: int, first_number: int) -> float:
    """Returns the front end's share of a core with set-ups at a rate, numbered from `first_number`."""
    share = list[float]()
    started_at = trio.current_time()

    async def sample_cpu() -> None:
        """Measures the share of a core while the set-ups are sent."""
        share.append(await front.cpu_share_over(ARRIVALS_S))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample_cpu)
        for i in range(round(rate * ARRIVALS_S)):
            await trio.sleep_until(started_at + i / rate)
            nursery.start_soon(play_briefly, front, emulators, first_number + i)
    return share[0]


def measure_arrivals(_seed: int) -> ValuesBySize:
    """Measures the share of a core with set-ups at a rate, each session ended by its node at once."""

    async def measure(front: FrontProcess, emulators: Emulators) -> ValuesBySize:
        """Measures each rate."""
        await trio.sleep(WARMUP_S)
        found = ValuesBySize()
        for rate in SETUPS_PER_S:
            found[rate] = (100 * await cpu_share_at_rate(front, emulators, rate, 1_000_000 * rate),)
            await trio.sleep(SETTLE_S)
        return found

    return run_with_front(FEW_NODES, measure)


PROCESS_EXPERIMENTS = (
    Experiment(
        "front-connections", "idle connections", "measured",
        (
            Quantity("connections.memory", "resident memory of a front end", "MB"),
            Quantity("connections.processor", "processor time of a front end, nothing happening", "% of a core"),
            Quantity("connections.descriptors", "open descriptors of a front end", "descriptors"),
        ),
        measure_connections,
    ),
    Experiment(
        "front-sessions", "held sessions", "measured",
        (
            Quantity("sessions.memory", "resident memory of a front end, a connection each", "MB"),
            Quantity("sessions.processor", "processor time of a front end, nothing happening", "% of a core"),
            Quantity("sessions.set-up", "processor time of one set-up, while so many come to be held", "ms"),
            Quantity("sessions.report", "processor time of one node's report on a session", "us"),
        ),
        measure_sessions,
    ),
    Experiment(
        "front-ends", "sessions of one title that end at once", "measured",
        (
            Quantity("ends.time", "from the nodes' word until the last viewer has its release", "ms"),
            Quantity("ends.processor", "processor time of the front end for each", "us"),
        ),
        measure_ends,
    ),
    Experiment(
        "front-nodes", "nodes on the list", "measured",
        (
            Quantity("nodes.ready", "from the start of the process until it passes a test", "s"),
            Quantity("nodes.memory", "resident memory of a front end", "MB"),
            Quantity("nodes.processor", "processor time of a front end, nothing happening", "% of a core"),
        ),
        measure_nodes,
    ),
    Experiment(
        "front-arrivals", "set-ups a second", "measured",
        (Quantity("arrivals.processor", "processor time of a front end, each session ended at once", "% of a core"),),
        measure_arrivals,
    ),
)  # fmt: skip
