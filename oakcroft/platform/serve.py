"""One front end as a process on the platform: puts the parts together, and ends in order on a signal."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import structlog
import trio

from oakcroft.decisions.fleet.stopping import Course, Stopping
from oakcroft.interface import MS, SECOND
from oakcroft.platform.follower import Follower
from oakcroft.platform.link import prepared
from oakcroft.platform.owner import Owner
from oakcroft.platform.viewers import Viewers
from oakcroft.platformwire.configuration import Configuration, Faulty, decode
from oakcroft.running.clock import Clock
from oakcroft.running.collections import spare_collections
from oakcroft.running.logs import set_up

FAULTY = 2
MOST_LINES = 50  # of the log in a second
LISTENS = 750 * MS  # after the stop signal: connections and requests still come for so long
LEAST_DRAIN = 3 * SECOND + 300 * MS  # what plays, plays on so long


class Platform:
    """A front end on the platform's protocol; `run` serves until it is stopped."""

    def __init__(
        self, told: Configuration, log: structlog.typing.FilteringBoundLogger, file: Path | None = None
    ) -> None:
        self.told, self.log, self.file = told, log, file
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
        """Serves. `ready` is told the port; `stop` works like a stop signal where there are none."""
        family = socket.AF_INET6 if ":" in self.told.listen[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        prepared(listener).bind(self.told.listen)
        self.port = listener.getsockname()[1]
        clock = Clock()
        longest = max(LEAST_DRAIN, *self.told.waits.values())
        stopping = Stopping(longest, 0, longest)
        async with trio.open_nursery() as nursery:
            self.owner = owner = Owner(self.told, clock, nursery, self.log)
            self.viewers = Viewers(listener, self.told.sockets // 2, owner, clock, nursery, self.log)
            last, changes = self.told.known
            self.follower = Follower(self.told.channel, last, owner, self.log)
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
        """Listens once the list may be acted on: until then whoever comes is told at once that nobody is here."""
        assert self.follower is not None
        assert self.owner is not None
        assert self.viewers is not None
        freshness = self.follower.freshness
        with trio.move_on_at(clock.deadline(freshness.opens_by)):
            await self.follower.confirmed.wait()
        if stopping.course is not Course.STARTING:
            return
        if not freshness.confirmed:
            self.log.warning("opened on the kept list", after=self.follower.last)
        await self.owner.tell(partial(self._known, stopping, clock))
        listener.listen(1024)
        nursery.start_soon(self.viewers.run)
        if ready is not None:
            await ready(self.port)

    def _known(self, stopping: Stopping, clock: Clock) -> None:
        """The known list has been given to the module: tests may pass."""
        assert self.viewers is not None
        self.viewers.ready = True
        if stopping.course is Course.STARTING:
            stopping.serve(clock.now())
        self.log.info(
            "serving", sockets=self.told.sockets, fronts=self.told.terms.fronts, front=self.told.terms.front
        )

    async def _watch(self, stopping: Stopping, clock: Clock) -> None:
        """Waits for the end of the front's course. Nothing that stands is cut by it."""
        assert self.owner is not None
        assert self.viewers is not None
        while True:
            await trio.sleep(0.05)
            now = clock.now()
            if self.viewers.tested and not self.owner.began:
                self.owner.began = now
            if stopping.course is Course.DRAINING and now - stopping.since < LISTENS:
                continue
            if stopping.course is not Course.SERVING and stopping.course is not Course.STARTING:
                self.viewers.stop()
            if stopping.look(self.owner.setting_up, self.owner.playing, 0, now) is Course.GONE:
                return

    async def _signals(self, stopping: Stopping, clock: Clock) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self.reload()
                elif stopping.signal(clock.now()):
                    self.log.info(
                        "stop signal", signal=signal.Signals(number).name, course=stopping.course.value
                    )

    async def _stopped(self, stop: trio.Event, stopping: Stopping, clock: Clock) -> None:
        await stop.wait()
        stopping.signal(clock.now())

    def reload(self) -> None:
        """Reads the file again. Only the channel's address may change meanwhile; a broken file changes nothing."""
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
    """Serves by the file that PROXY_CONFIG names until a stop signal; the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the front can follow it, a reload is none
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
    trio.run(Platform(told, log, Path(name)).run)
    return 0
