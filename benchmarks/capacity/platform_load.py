"""Load on a real front end process: connections, sessions, and what the emulated nodes send on them."""

from __future__ import annotations

import os
import select
import time

import trio

from benchmarks.capacity.platform_process import Emulators, FrontProcess, Viewer, encode_line

REPORTS_S = 2.5
REPORTS_PER_S = 1_000
REPORT_TICK_S = 0.02
"""Interval at which batches of reports are sent."""
CONCURRENT_CONNECTIONS = 32
TITLES = 500
ENDS_TIMEOUT_S = 30.0
CAUSE_DONE = 16
"""Code with which a node closes a session that has ended normally."""


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


async def play_more(front: FrontProcess, viewers: list[Viewer], count: int, title: str) -> None:
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
