"""Slopes of one real front end process: connections, sessions, reports, session ends, listed nodes, set-up rate."""

from __future__ import annotations

import os
import select
import time
from collections.abc import Awaitable, Callable

import trio

from benchmarks.capacity.experiments import Experiment, Quantity, ValuesBySize
from benchmarks.capacity.platform_process import (
    WARMUP_S,
    Emulators,
    FrontProcess,
    Viewer,
    encode_line,
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
REPORTS_S = 2.5
REPORTS_PER_S = 1_000
REPORT_TICK_S = 0.02
"""Interval at which batches of reports are sent."""
ARRIVALS_S = 4.0
SETTLE_S = 1.0
CONCURRENT_CONNECTIONS = 32
TITLES = 500
ENDS_TIMEOUT_S = 30.0
CAUSE_DONE = 16
"""Code with which a node closes a session that has ended normally."""

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


async def connect_more(front: FrontProcess, viewers: list[Viewer], count: int) -> None:
    """Opens viewer connections until there are `count`, and sends a test on each."""

    async def connect_share(share: int) -> None:
        """Opens connections one after the other."""
        for _ in range(share):
            viewer = await Viewer.connect(front.port)
            await viewer.test()
            viewers.append(viewer)

    more = count - len(viewers)
    async with trio.open_nursery() as nursery:
        for i in range(CONCURRENT_CONNECTIONS):
            nursery.start_soon(
                connect_share, more // CONCURRENT_CONNECTIONS + (i < more % CONCURRENT_CONNECTIONS)
            )


async def play_more(
    front: FrontProcess, emulators: Emulators, viewers: list[Viewer], count: int, title: str
) -> None:
    """Sets up sessions until there are `count`, each on its own connection.

    The title is `title`, or one of `TITLES` in turn if that is empty. Raises RuntimeError if a set-up is rejected.
    """

    async def set_up_share(numbers: range) -> None:
        """Sets up the sessions of these numbers one after the other."""
        for number in numbers:
            viewer = await Viewer.connect(front.port)
            if not await viewer.set_up(f"{number + 1:016x}", title or f"title-{number % TITLES}"):
                raise RuntimeError(f"the set-up of session {number} was rejected")
            viewers.append(viewer)

    async with trio.open_nursery() as nursery:
        for i in range(CONCURRENT_CONNECTIONS):
            nursery.start_soon(set_up_share, range(len(viewers) + i, count, CONCURRENT_CONNECTIONS))


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
            await play_more(front, emulators, viewers, count, "")
            set_up_ms = 1e3 * (front.cpu_seconds - cpu_before) / (count - held_before)
            await trio.sleep(SETTLE_S)
            idle = await front.cpu_share_over(IDLE_S)
            busy = await send_reports(front, emulators)
            report_us = 1e6 * (busy - idle) / REPORTS_PER_S
            found[count] = front.resident_octets / MB, 100 * idle, set_up_ms, report_us
        return found

    return run_with_front(FEW_NODES, measure)


async def send_reports(front: FrontProcess, emulators: Emulators) -> float:
    """Sends nodes' reports on their sessions at `REPORTS_PER_S`; returns the front end's share of a core meanwhile."""
    sessions = list(emulators.sessions.items())
    share = list[float]()

    async def sample_cpu() -> None:
        """Measures the share of a core while the reports are sent."""
        share.append(await front.cpu_share_over(REPORTS_S))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample_cpu)
        reports_per_tick = round(REPORTS_PER_S * REPORT_TICK_S)
        sent = 0
        started_at = trio.current_time()
        while trio.current_time() < started_at + REPORTS_S:
            for i in range(reports_per_tick):
                session, stream = sessions[(sent + i) % len(sessions)]
                await stream.send_all(
                    encode_line(msg="event", sid=session, attrs={"note": "local", "value": "0.3"})
                )
            sent += reports_per_tick
            await trio.sleep_until(started_at + sent / REPORTS_PER_S)
    return share[0]


def measure_ends(_seed: int) -> ValuesBySize:
    """Measures the end of all sessions of a title at once by their nodes: time until the last release, and CPU time."""

    async def measure(front: FrontProcess, emulators: Emulators) -> ValuesBySize:
        """Measures each number of sessions, which are set up anew."""
        await trio.sleep(WARMUP_S)
        found = ValuesBySize()
        for count in ENDED_SESSIONS:
            viewers = list[Viewer]()
            emulators.sessions.clear()
            await play_more(front, emulators, viewers, count, "the-largest")
            await trio.sleep(SETTLE_S)
            cpu_before = front.cpu_seconds
            duration_s = end_all_sessions(emulators, viewers)
            found[count] = 1e3 * duration_s, 1e6 * (front.cpu_seconds - cpu_before) / count
            for viewer in viewers:
                viewer.close()
            await trio.sleep(SETTLE_S)
        return found

    return run_with_front(FEW_NODES, measure)


def end_all_sessions(emulators: Emulators, viewers: list[Viewer]) -> float:
    """Ends all sessions at once and returns the seconds until the last viewer has its release.

    Blocks, so that nothing else runs in this process meanwhile. Raises RuntimeError if a viewer gets no release.
    """
    poll = select.epoll()
    for viewer in viewers:
        poll.register(viewer.sock.fileno(), select.EPOLLIN)
    sessions_by_stream: dict[trio.SocketStream, list[str]] = {}
    for session, stream in emulators.sessions.items():
        sessions_by_stream.setdefault(stream, []).append(session)
    messages = [
        (
            stream.socket.fileno(),
            b"".join(
                encode_line(msg="close", sid=session, attrs={}, code=CAUSE_DONE) for session in sessions
            ),
        )
        for stream, sessions in sessions_by_stream.items()
    ]
    started_at = time.perf_counter()
    for descriptor, octets in messages:
        write_all(descriptor, octets)
    left = len(viewers)
    while left and time.perf_counter() < started_at + ENDS_TIMEOUT_S:
        for descriptor, _ in poll.poll(1.0):
            poll.unregister(descriptor)
            left -= 1
    poll.close()
    if left:
        raise RuntimeError(f"{left} viewers received no release")
    return time.perf_counter() - started_at


def write_all(descriptor: int, octets: bytes) -> None:
    """Writes to a non-blocking socket, waiting while its buffer is full."""
    poll = select.poll()  # select() accepts no descriptor above 1,023
    poll.register(descriptor, select.POLLOUT)
    while octets:
        poll.poll(1e3 * ENDS_TIMEOUT_S)
        octets = octets[os.write(descriptor, octets) :]


def measure_nodes(_seed: int) -> ValuesBySize:
    """Measures the time from start to ready, memory and idle share of a core with listed nodes."""

    async def measure(front: FrontProcess, _emulators: Emulators) -> ValuesBySize:
        """Measures one front end; the caller knows its number of nodes."""
        await trio.sleep(SETTLE_S)
        share = await front.cpu_share_over(IDLE_S)
        return {0: (front.ready_s, front.resident_octets / MB, 100 * share)}

    return {count: run_with_front(count, measure)[0] for count in NODES}


async def play_briefly(front: FrontProcess, emulators: Emulators, number: int) -> None:
    """Sets up a session, which its node ends at once, and waits for the release."""
    viewer = await Viewer.connect(front.port)
    session = f"{number + 1:016x}"
    if await viewer.set_up(session, f"title-{number % TITLES}"):
        # Writes to the socket itself, as a task of the emulated node may be sending on the stream. A message as short
        # as this is never split.
        stream = emulators.sessions.pop(session)
        write_all(stream.socket.fileno(), encode_line(msg="close", sid=session, attrs={}, code=CAUSE_DONE))
        await viewer.receive()
    viewer.close()


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
