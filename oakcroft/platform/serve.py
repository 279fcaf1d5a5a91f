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

from oakcroft.decisions.fleet.shutdown import FrontState, Shutdown
from oakcroft.interface import MS, SECOND
from oakcroft.platform.channel_follower import ChannelFollower
from oakcroft.platform.connection import configure_socket
from oakcroft.platform.list_updates import ListUpdates
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platform.viewers import LISTEN_BACKLOG, ViewerServer
from oakcroft.platformwire.configuration import Configuration, ConfigurationError, decode
from oakcroft.running.clock import Clock
from oakcroft.running.garbage_collection import reduce_gc_frequency
from oakcroft.running.logs import configure_logging

EXIT_CONFIGURATION_ERROR = 2
MAX_LOG_LINES_PER_SECOND = 50
MIN_CORES = 0.01  # a smaller share of a core, or 0, counts as this one
ACCEPT_AFTER_STOP_NS = 750 * MS  # after the stop signal; connections and requests still arrive for a while
MIN_DRAIN_NS = 3 * SECOND + 300 * MS  # playbacks continue for at least this long
# The platform kills the process a fixed delay after the longest abandon time, which counts as 3 s at least.
MIN_LONGEST_ABANDON_NS = 3 * SECOND
KILL_DELAY_NS = 700 * MS
# How long before the platform's kill the process ends, and the last answer is given.
EXIT_BEFORE_KILL_NS = 200 * MS
LAST_ANSWER_BEFORE_KILL_NS = 350 * MS
SHUTDOWN_CHECK_INTERVAL_S = 0.05
FLUSH_TIMEOUT_NS = 500 * MS  # for answers and releases that wait for a slow reader


class PlatformFrontEnd:
    """A front end on the platform's protocol; `run` serves until it is stopped."""

    def __init__(
        self,
        configuration: Configuration,
        log: structlog.typing.FilteringBoundLogger,
        configuration_file: Path | None = None,
        startup_duration_ns: int = 0,
    ) -> None:
        """Creates a front end that does not run yet.

        `configuration_file` is read again on reload; `startup_duration_ns` is the time that the process has
        taken to start.
        """
        self.configuration = configuration
        self.log = log
        self.configuration_file = configuration_file
        self.startup_duration_ns = startup_duration_ns
        self.serving = trio.Event()
        self.coordinator: SessionCoordinator | None = None
        self.viewer_server: ViewerServer | None = None
        self.channel_follower: ChannelFollower | None = None
        self.port = 0
        self.kill_after_ns = 0  # after the stop signal; set when it runs

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
        listener = self._bind_listener()
        clock = Clock()
        shutdown = self._create_shutdown()
        async with trio.open_nursery() as nursery:
            coordinator, channel_follower = self._create_parts(listener, clock, nursery)
            if signals:
                nursery.start_soon(self._handle_signals, shutdown, clock)
            if stop is not None:
                nursery.start_soon(self._wait_for_stop, stop, shutdown, clock)
            nursery.start_soon(coordinator.run)
            nursery.start_soon(coordinator.monitor_lag)
            nursery.start_soon(coordinator.timers.run)
            nursery.start_soon(coordinator.run_maintenance)
            _, known_changes = self.configuration.known_events
            await ListUpdates(coordinator).apply(known_changes)
            nursery.start_soon(channel_follower.run)
            nursery.start_soon(self._open_listener, listener, shutdown, clock, nursery, ready)
            await self._run_until_gone(shutdown, clock)
            self.log.info("gone", open=coordinator.setup_count, playing=len(coordinator.sessions))
            nursery.cancel_scope.cancel()

    def _bind_listener(self) -> socket.socket:
        """Binds the listener's socket, which does not listen yet; raises OSError if that fails."""
        host, _ = self.configuration.listen_address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        configure_socket(listener).bind(self.configuration.listen_address)
        self.port = listener.getsockname()[1]
        return listener

    def _create_shutdown(self) -> Shutdown:
        """Creates the lifecycle, with time limits that follow from the longest abandon time."""
        abandon_times_ns = self.configuration.abandon_ns_by_plan.values()
        drain_ns = max(MIN_DRAIN_NS, *abandon_times_ns)
        self.kill_after_ns = max(MIN_LONGEST_ABANDON_NS, *abandon_times_ns) + KILL_DELAY_NS
        return Shutdown(drain_ns, FLUSH_TIMEOUT_NS, drain_ns, self.kill_after_ns - EXIT_BEFORE_KILL_NS)

    def _create_parts(
        self, listener: socket.socket, clock: Clock, nursery: trio.Nursery
    ) -> tuple[SessionCoordinator, ChannelFollower]:
        """Creates the parts, none of which runs yet; returns the coordinator and the channel follower."""
        configuration = self.configuration
        self.coordinator = SessionCoordinator(configuration, clock, nursery, self.log)
        self.viewer_server = ViewerServer(
            listener, configuration.max_sockets // 2, self.coordinator, clock, nursery, self.log
        )
        last_cursor, _ = configuration.known_events
        self.channel_follower = ChannelFollower(
            configuration.channel_address, last_cursor, self.coordinator, self.log, self.startup_duration_ns
        )
        return self.coordinator, self.channel_follower

    async def _open_listener(
        self, listener: socket.socket, shutdown: Shutdown, clock: Clock, nursery: trio.Nursery,
        ready: Callable[[int], Awaitable[None]] | None,
    ) -> None:  # fmt: skip
        """Starts to listen once the node list may be used; until then connections are refused."""
        assert self.channel_follower is not None
        assert self.coordinator is not None
        freshness = self.channel_follower.freshness
        with trio.move_on_at(clock.trio_time(freshness.opens_at_latest)):
            await self.channel_follower.confirmed.wait()
        if not freshness.is_confirmed:
            self.log.warning("opened on the kept list", after=self.channel_follower.last_cursor)
        await self.coordinator.submit(partial(self._start_serving, listener, shutdown, clock, nursery))
        await self.serving.wait()
        if ready is not None:
            await ready(self.port)

    def _start_serving(
        self, listener: socket.socket, shutdown: Shutdown, clock: Clock, nursery: trio.Nursery
    ) -> None:
        """Starts to listen and to pass health checks; runs after the known list has been applied.

        Listening and the change of state happen in one step, so a stop signal finds either a front end that no
        viewer can have reached, or one that answers what it has received.
        """
        assert self.viewer_server is not None
        if shutdown.state is not FrontState.STARTING:
            return
        listener.listen(LISTEN_BACKLOG)
        shutdown.start_serving(clock.now())
        self.viewer_server.is_ready = True
        nursery.start_soon(self.viewer_server.run)
        self.serving.set()
        self.log.info(
            "serving",
            sockets=self.configuration.max_sockets,
            fronts=self.configuration.deployment_settings.front_count,
            front=self.configuration.deployment_settings.front_index,
        )

    async def _run_until_gone(self, shutdown: Shutdown, clock: Clock) -> None:
        """Returns when the front end has shut down. The shutdown itself ends no playback."""
        assert self.coordinator is not None
        assert self.viewer_server is not None
        while True:
            await trio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            now = clock.now()
            if self.viewer_server.was_health_checked and not self.coordinator.handover.first_health_check_at:
                self.coordinator.handover.first_health_check_at = now
            if shutdown.state in (FrontState.STARTING, FrontState.SERVING):
                continue
            if shutdown.state is FrontState.DRAINING and now - shutdown.state_since < ACCEPT_AFTER_STOP_NS:
                continue
            self.viewer_server.stop()
            unanswered = self.coordinator.setup_count + self.viewer_server.unanswered_count
            unsent = self.viewer_server.unsent_count + self.coordinator.unsent_count
            if (
                shutdown.advance(unanswered, self.coordinator.playing_count, unanswered + unsent, now)
                is FrontState.GONE
            ):
                return

    async def _handle_signals(self, shutdown: Shutdown, clock: Clock) -> None:
        """Reloads on SIGHUP, and stops on SIGTERM and SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    await self.reload()
                else:
                    self._begin_stop(shutdown, clock, signal.Signals(number).name)

    async def _wait_for_stop(self, stop: trio.Event, shutdown: Shutdown, clock: Clock) -> None:
        """Stops when the event is set."""
        await stop.wait()
        self._begin_stop(shutdown, clock, "none")

    def _begin_stop(self, shutdown: Shutdown, clock: Clock, signal_name: str) -> None:
        """Starts the shutdown. Requests that arrive in time are still served, but must be answered before the
        process ends.
        """
        assert self.coordinator is not None
        now = clock.now()
        if shutdown.handle_stop_signal(now):
            self.log.info("stop signal", signal=signal_name, course=shutdown.state.value)
        if shutdown.state is FrontState.DRAINING and shutdown.state_since == now:
            self.coordinator.begin_shutdown(
                now + ACCEPT_AFTER_STOP_NS, now + self.kill_after_ns - LAST_ANSWER_BEFORE_KILL_NS
            )

    async def reload(self) -> None:
        """Reads the configuration file again. Only the command channel's address may change; a faulty file
        changes nothing.
        """
        assert self.channel_follower is not None
        try:
            # In a thread, since the node list that it holds may be long.
            configuration = await trio.to_thread.run_sync(self._read_configuration)
        except (OSError, ConfigurationError) as error:
            self.log.warning("configuration not taken", why=str(error)[:200])
            return
        settings_unchanged = configuration.raw_settings == self.configuration.raw_settings
        self.log.info(
            "configuration taken",
            after=self.channel_follower.last_cursor,
            settings="unchanged" if settings_unchanged else "kept till restart",
        )
        self.channel_follower.switch_address(configuration.channel_address)

    def _read_configuration(self) -> Configuration:
        """Reads the configuration file; raises OSError or ConfigurationError if that fails."""
        if self.configuration_file is None:
            return self.configuration
        return decode(self.configuration_file.read_bytes())


def main() -> int:
    """Serves with the configuration that PROXY_CONFIG names until a stop signal; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a reload has no effect before the front end runs
    file_name = os.environ.get("PROXY_CONFIG", "")
    try:
        if not file_name:
            raise ConfigurationError("PROXY_CONFIG is not set")
        configuration = decode(Path(file_name).read_bytes())
    except (OSError, ConfigurationError) as error:
        print(f"oakcroft: configuration: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    log = configure_logging(
        "json", configuration.deployment_settings.front_index, sys.stdout, MAX_LOG_LINES_PER_SECOND
    )
    reduce_gc_frequency()
    # The time that the start took by the clock, estimated from its processor time and the share of a core.
    startup_duration_ns = round(time.process_time_ns() / max(configuration.cores, MIN_CORES))
    trio.run(PlatformFrontEnd(configuration, log, Path(file_name), startup_duration_ns).run)
    return 0
