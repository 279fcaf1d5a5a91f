"""The process of one front end on the platform: builds the parts, and shuts down in order on a signal."""

from __future__ import annotations

import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import structlog
import trio

from oakcroft.decisions.fleet.shutdown import Course, Stopping
from oakcroft.interface import MS, SECOND
from oakcroft.platform.channel_follower import Follower
from oakcroft.platform.connection import prepared
from oakcroft.platform.session_coordinator import Owner
from oakcroft.platform.viewers import BACKLOG, Viewers
from oakcroft.platformwire.configuration import Configuration, Faulty, decode
from oakcroft.running.clock import Clock
from oakcroft.running.collections import spare_collections
from oakcroft.running.logs import set_up

FAULTY = 2
MOST_LINES = 50
LISTENS = 750 * MS  # connections and requests still arrive for a while after the stop signal
LEAST_DRAIN = 3 * SECOND + 300 * MS  # playbacks continue for so long
# The platform kills the process a fixed delay after the longest abandon time, which counts as 3 s at least.
LEAST_LONGEST, KILLED_AFTER = 3 * SECOND, 700 * MS
BEFORE_KILL, LAST_ANSWER = (
    200 * MS,
    350 * MS,
)  # the process ends, and the last answer is given, so long before
FAREWELL = 500 * MS  # for answers and releases that wait for a slow reader


class Platform:
    """A front end on the platform's protocol; `run` serves until it is stopped."""

    def __init__(
        self, told: Configuration, log: structlog.typing.FilteringBoundLogger, file: Path | None = None,
        start_took: int = 0,
    ) -> None:  # fmt: skip
        """`configuration_file` is read again on reload; `start_took_ns` is the time the process has spent
        starting.
        """
        self.told, self.log, self.file, self.start_took = told, log, file, start_took
        self.serving = trio.Event()
        self.owner: Owner | None = None
        self.viewers: Viewers | None = None
        self.follower: Follower | None = None
        self.port = 0

    async def run(
        self,
        signals: bool = True,
        stop: trio.Event | None = None,
        ready: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        """Serves until stopped.

        `ready` receives the port once the front end listens; setting `stop` acts like a stop signal. Raises
        OSError if the address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in self.told.listen[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        prepared(listener).bind(self.told.listen)
        self.port = listener.getsockname()[1]
        clock = Clock()
        longest = max(LEAST_DRAIN, *self.told.waits.values())
        self.killed_after = max(LEAST_LONGEST, *self.told.waits.values()) + KILLED_AFTER
        stopping = Stopping(longest, FAREWELL, longest, self.killed_after - BEFORE_KILL)
        async with trio.open_nursery() as nursery:
            self.owner = owner = Owner(self.told, clock, nursery, self.log)
            self.viewers = Viewers(listener, self.told.sockets // 2, owner, clock, nursery, self.log)
            last, changes = self.told.known
            self.follower = Follower(self.told.channel, last, owner, self.log, self.start_took)
            if signals:
                nursery.start_soon(self._signals, stopping, clock)
            if stop is not None:
                nursery.start_soon(self._stopped, stop, stopping, clock)
            for task in (owner.run, owner.beat, owner.alarms.run, owner.look_after):
                nursery.start_soon(task)
            for _, complete, members in changes:
                owner.listed_at_once(complete, members)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._open, listener, stopping, clock, nursery, ready)
            await self._watch(stopping, clock)
            self.log.info("gone", open=owner.setting_up, playing=len(owner.tickets))
            nursery.cancel_scope.cancel()

    async def _open(
        self, listener: socket.socket, stopping: Stopping, clock: Clock, nursery: trio.Nursery,
        ready: Callable[[int], Awaitable[None]] | None,
    ) -> None:  # fmt: skip
        """Starts to listen once the node list may be used; until then connections are refused."""
        assert self.follower is not None
        assert self.owner is not None
        freshness = self.follower.freshness
        with trio.move_on_at(clock.deadline(freshness.opens_by)):
            await self.follower.confirmed.wait()
        if not freshness.confirmed:
            self.log.warning("opened on the kept list", after=self.follower.last)
        await self.owner.tell(partial(self._serve, listener, stopping, clock, nursery))
        await self.serving.wait()
        if ready is not None:
            await ready(self.port)

    def _serve(
        self, listener: socket.socket, stopping: Stopping, clock: Clock, nursery: trio.Nursery
    ) -> None:
        """Starts to listen and to pass the platform's tests; runs after the known list has been applied.

        Listening and the change of state happen in one step, so a stop signal finds either a front end that
        nobody can have reached, or one that owes answers.
        """
        assert self.viewers is not None
        if stopping.course is not Course.STARTING:
            return
        listener.listen(BACKLOG)
        stopping.serve(clock.now())
        self.viewers.ready = True
        nursery.start_soon(self.viewers.run)
        self.serving.set()
        self.log.info(
            "serving", sockets=self.told.sockets, fronts=self.told.terms.fronts, front=self.told.terms.front
        )

    async def _watch(self, stopping: Stopping, clock: Clock) -> None:
        """Returns when the front end has shut down. The shutdown itself ends no playback."""
        assert self.owner is not None
        assert self.viewers is not None
        while True:
            await trio.sleep(0.05)
            now = clock.now()
            if self.viewers.tested and not self.owner.began:
                self.owner.began = now
            if stopping.course in (Course.STARTING, Course.SERVING):
                continue
            if stopping.course is Course.DRAINING and now - stopping.since < LISTENS:
                continue
            self.viewers.stop()
            owed = self.owner.setting_up + self.viewers.unanswered
            unsaid = self.viewers.unsaid + self.owner.unsaid
            if stopping.look(owed, self.owner.playing, owed + unsaid, now) is Course.GONE:
                return

    async def _signals(self, stopping: Stopping, clock: Clock) -> None:
        """Reloads on SIGHUP, and stops on SIGTERM and SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self.reload()
                else:
                    self._stop(stopping, clock, signal.Signals(number).name)

    async def _stopped(self, stop: trio.Event, stopping: Stopping, clock: Clock) -> None:
        """Stops when the event is set."""
        await stop.wait()
        self._stop(stopping, clock, "none")

    def _stop(self, stopping: Stopping, clock: Clock, name: str) -> None:
        """Starts the shutdown. Requests that arrive in time are still served, but must be answered before the
        process ends.
        """
        assert self.owner is not None
        now = clock.now()
        if stopping.signal(now):
            self.log.info("stop signal", signal=name, course=stopping.course.value)
        if stopping.course is Course.DRAINING and stopping.since == now:
            self.owner.closes_at = now + LISTENS
            self.owner.ends_at = now + self.killed_after - LAST_ANSWER

    def reload(self) -> None:
        """Reads the configuration file again. Only the command channel's address may change; a faulty file
        changes nothing.
        """
        assert self.follower is not None
        try:
            told = decode(self.file.read_bytes()) if self.file is not None else self.told
        except (OSError, Faulty) as fault:
            self.log.warning("configuration not taken", why=str(fault)[:200])
            return
        same = told.settings == self.told.settings
        self.log.info(
            "configuration taken",
            after=self.follower.last,
            settings="unchanged" if same else "kept till restart",
        )
        self.follower.turn_to(told.channel)


def main() -> int:
    """Serves with the configuration that PROXY_CONFIG names until a stop signal; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a reload has no effect before the front end runs
    name = os.environ.get("PROXY_CONFIG", "")
    try:
        if not name:
            raise Faulty("PROXY_CONFIG is not set")
        told = decode(Path(name).read_bytes())
    except (OSError, Faulty) as fault:
        print(f"oakcroft: configuration: {fault}", file=sys.stderr)
        return FAULTY
    log = set_up("json", told.terms.front, sys.stdout, MOST_LINES)
    spare_collections()
    took = time.process_time_ns() / max(told.cores, 0.01)  # with its share of a core
    trio.run(Platform(told, log, Path(name), round(took)).run)
    return 0
