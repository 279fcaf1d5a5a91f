"""One front end as a process: creates its parts, listens, and shuts down in order on a signal."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random

import structlog
import trio

from oakcroft.choice import Controller
from oakcroft.decisions.admission.connection_limits import ConnectionTable, PendingRequests
from oakcroft.decisions.fleet.shutdown import FrontState, Shutdown
from oakcroft.decisions.routing.configuration_version import ConfigurationVersion, ConfigurationVerdict
from oakcroft.front.catalogue_versions import CatalogueVersions
from oakcroft.running.clock import Clock
from oakcroft.front.session_service import SessionService
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.durable_state import FrontEndState
from oakcroft.front.node_list_client import NodeListError, NodeListFollower, load_list, parse_response
from oakcroft.front.operators_api import OPERATORS_PATH, OperatorsApi
from oakcroft.front.fleet_participation import FleetParticipation
from oakcroft.front.service_levels import ServiceLevelControl
from oakcroft.front.zone_routing import ZoneRouter
from oakcroft.front.protocols import ChangeNotifier, PolicyFactory
from oakcroft.front.websocket_api import SESSION_API_PATH, SessionApi
from oakcroft.front.whip_whep import WhipWhepApi
from oakcroft.httpwire.client import HttpClient
from oakcroft.httpwire.message import Request
from oakcroft.interface import MS
from oakcroft.httpwire.server import Server
from oakcroft.config.settings import Deployment
from oakcroft.store.file import StateContents, StateFile
from oakcroft.store.writer import StateWriter

LISTEN_BACKLOG = 4_096
ConfigurationSource = Callable[[dict[str, int]], "Deployment | list[str]"]
"""Reads the configuration again: a deployment (plans keep the family ids that are passed in), or its errors."""


class FrontEnd:
    """A front end; `run` serves until it is stopped."""

    def __init__(
        self,
        configuration: Deployment,
        log: structlog.typing.FilteringBoundLogger,
        policy_factory: PolicyFactory = Controller,
        source: ConfigurationSource | None = None,
    ) -> None:
        """Creates a front end; `source` reads the configuration again, without which it cannot be reloaded."""
        self.configuration = configuration
        self.log = log
        self.policy_factory = policy_factory
        self.source = source
        self.coordinator: SessionCoordinator | None = None
        self.service: SessionService | None = None
        self.connection_table: ConnectionTable | None = None
        self.pending_requests: PendingRequests | None = None
        self.session_api: SessionApi | None = None
        self.read_count = 0
        self.restored_state: StateContents | None = None
        self.catalogue_versions: CatalogueVersions | None = None
        self.open_state_file: Callable[[str], StateFile] | None = None  # replaces the file system's

    async def run(
        self,
        ready: Callable[[int], Awaitable[None]] | None = None,
        signals: bool = True,
        stop: trio.Event | None = None,
    ) -> None:
        """Serves until it is stopped.

        `ready` is called with the port; `stop` works like a stop signal where there are none.
        """
        clock = Clock()
        shutdown = self._create_shutdown()
        pseudonym = self._pseudonym(clock)
        async with trio.open_nursery() as nursery:
            coordinator = self._create_coordinator(pseudonym, clock, nursery)
            service, catalogue_versions = self._create_service(coordinator, shutdown, nursery)
            operators_api, server = self._create_apis(service, catalogue_versions, nursery)
            store = await self._open_store(coordinator, clock)
            fleet = FleetParticipation(self.configuration, service, self.log)
            fleet.create_endpoint()
            catalogue_versions.restore(self.restored_state)
            self._start_tasks(coordinator, service, catalogue_versions, nursery)
            await self._load_cached_list(coordinator)
            if coordinator.durable_state is not None and store is not None:
                await self._restore_state(coordinator, service, store, nursery)
            follower = self._follow_node_list(coordinator, nursery)
            await fleet.join(operators_api, catalogue_versions, nursery)
            await self._wait_for_node_list(follower, coordinator)
            port = await self._start_serving(server, shutdown, coordinator, nursery)
            if ready is not None:
                await ready(port)
            if signals:
                nursery.start_soon(self._handle_reload_signals)
                nursery.start_soon(self._handle_stop_signals, shutdown, clock, coordinator.count_changed)
            if stop is not None:
                nursery.start_soon(self._wait_for_stop, stop, shutdown, clock, coordinator.count_changed)
            await self._wait_for_shutdown(shutdown, coordinator, clock)
            await fleet.leave()
            self.log.info("gone", unanswered=coordinator.unanswered_count, playing=coordinator.playing_count)
            nursery.cancel_scope.cancel()

    # Parts of the front end.

    def _create_shutdown(self) -> Shutdown:
        """Creates the state of the shutdown, with the time limits of the configuration."""
        site = self.configuration.shared
        longest_abandon_ns = max(plan_terms.abandon_ns for plan_terms in site.plans.values())
        return Shutdown(site.drain_timeout_ns, site.leave_timeout_ns, longest_abandon_ns)

    def _pseudonym(self, clock: Clock) -> str:
        """Name of this front end towards nodes; one with stored state keeps it across restarts."""
        start = "0" if self.configuration.front.state_file else f"{clock.now() // MS:x}"
        return f"front-{self.configuration.shared.terms.front_index}-{start}"

    def _create_coordinator(self, pseudonym: str, clock: Clock, nursery: trio.Nursery) -> SessionCoordinator:
        """Creates the coordinator, whose tasks are not started yet."""
        self.coordinator = SessionCoordinator(
            self.configuration,
            self.configuration.front.seed,
            pseudonym,
            clock,
            nursery,
            self.log,
            self.policy_factory,
        )
        return self.coordinator

    def _create_service(
        self, coordinator: SessionCoordinator, shutdown: Shutdown, nursery: trio.Nursery
    ) -> tuple[SessionService, CatalogueVersions]:
        """Creates the session operations and what restricts new requests; starts the latter."""
        front_settings = self.configuration.front
        self.connection_table = ConnectionTable(self.configuration.shared.connection_limits)
        self.service = service = SessionService(
            front_settings.zone, coordinator, self.connection_table, shutdown, coordinator.clock, self.log
        )
        self.pending_requests = service.pending_requests
        self.catalogue_versions = CatalogueVersions(coordinator, self.log)
        service.level_control = ServiceLevelControl(coordinator, Random(front_settings.seed + 4), self.log)
        service.request_queue.on_loop_lag = service.level_control.record_loop_lag
        nursery.start_soon(service.level_control.run)
        service.zone_router = ZoneRouter(
            coordinator, front_settings.zone, Random(front_settings.seed + 5), self.log
        )
        nursery.start_soon(service.zone_router.run)
        return service, self.catalogue_versions

    def _create_apis(
        self, service: SessionService, catalogue_versions: CatalogueVersions, nursery: trio.Nursery
    ) -> tuple[OperatorsApi, Server]:
        """Creates the APIs and the HTTP server in front of them, which does not listen yet."""
        assert service.level_control is not None
        assert service.zone_router is not None
        self.session_api = SessionApi(service, nursery, self.log)
        operators_api = OperatorsApi(
            service.coordinator, catalogue_versions, service.level_control, service.zone_router
        )
        whip_whep_api = WhipWhepApi(
            service,
            (SESSION_API_PATH, self.session_api.upgrade_response),
            (OPERATORS_PATH, operators_api.handle),
        )
        nursery.start_soon(self.session_api.expire_client_sessions)
        server = Server(
            whip_whep_api.handle,
            service.connection_table,
            service.clock.now,
            self._log_request_failure,
            whip_whep_api.shed_response,
            operators_api.allows_large_body,
        )
        return operators_api, server

    @staticmethod
    def _start_tasks(
        coordinator: SessionCoordinator,
        service: SessionService,
        catalogue_versions: CatalogueVersions,
        nursery: trio.Nursery,
    ) -> None:
        """Starts the tasks that handle events, requests and moves."""
        nursery.start_soon(catalogue_versions.run)
        nursery.start_soon(service.request_queue.run)
        nursery.start_soon(coordinator.run)
        nursery.start_soon(coordinator.monitor_pauses)
        nursery.start_soon(coordinator.run_maintenance)
        nursery.start_soon(coordinator.move_executor.run)

    def _follow_node_list(self, coordinator: SessionCoordinator, nursery: trio.Nursery) -> NodeListFollower:
        """Starts to follow the list of the node list service."""
        front_settings = self.configuration.front
        follower = NodeListFollower(
            HttpClient(front_settings.list_service_host, front_settings.list_service_port),
            coordinator.clock,
            Random(front_settings.seed + 2),
            front_settings.node_list_file,
            coordinator.pseudonym,
            coordinator.node_list_updater.apply,
            self.log,
        )
        nursery.start_soon(follower.run)
        return follower

    async def _start_serving(
        self, server: Server, shutdown: Shutdown, coordinator: SessionCoordinator, nursery: trio.Nursery
    ) -> int:
        """Opens the listening sockets and starts the server; returns the port."""
        front_settings = self.configuration.front
        listeners = await trio.open_tcp_listeners(
            front_settings.port, host=front_settings.host, backlog=LISTEN_BACKLOG
        )
        port: int = listeners[0].socket.getsockname()[1]
        shutdown.start_serving(coordinator.clock.now())
        self.log.info(
            "serving",
            host=front_settings.host,
            port=port,
            pseudonym=coordinator.pseudonym,
            fronts=self.configuration.shared.terms.front_count,
        )
        nursery.start_soon(server.run, listeners)
        return port

    # Start.

    async def _wait_for_node_list(self, follower: NodeListFollower, coordinator: SessionCoordinator) -> None:
        """Waits until the list service has answered, or its time is up.

        Guards against set-ups to nodes that began to drain, or went away, while this front end was down: until the
        list service answers it only has the cached list. The cost: no service for that long while it is down.
        """
        timeout_ns = self.configuration.shared.list_timeout_ns
        with trio.move_on_after(timeout_ns / 1e9):
            await follower.list_confirmed.wait()
        if not follower.list_confirmed.is_set():
            self.log.warning(
                "opened on the kept list",
                nodes=len(coordinator.node_list.listed_nodes),
                waited_ms=timeout_ns // MS,
            )

    async def _open_store(self, coordinator: SessionCoordinator, clock: Clock) -> StateWriter | None:
        """Opens and reads the state file; None where none is configured."""
        front_settings = self.configuration.front
        if not front_settings.state_file:
            return None
        open_file = (
            None if self.open_state_file is None else partial(self.open_state_file, front_settings.state_file)
        )
        store = StateWriter(
            front_settings.state_file,
            front_settings.is_state_synced,
            clock.now,
            self.log,
            coordinator.site.key_retention_ns,
            open_file,
        )
        self.restored_state = await store.start()
        coordinator.durable_state = FrontEndState(store, coordinator, self.log)
        return store

    async def _restore_state(
        self,
        coordinator: SessionCoordinator,
        service: SessionService,
        store: StateWriter,
        nursery: trio.Nursery,
    ) -> None:
        """Restores the state of the earlier process before the first request is accepted."""
        assert coordinator.durable_state is not None
        if (
            self.restored_state is not None
            and self.restored_state.listed_nodes
            and not coordinator.node_list.listed_nodes
        ):
            await coordinator.node_list_updater.apply(
                self.restored_state.listed_nodes,
                self.restored_state.list_version,
                self.restored_state.service,
                is_cached=True,
            )
        restored = trio.Event()
        await coordinator.submit(partial(self._restore_sessions, coordinator.durable_state, restored))
        await restored.wait()
        service.publishers.update(
            {
                session.playback.title.name: session
                for session in coordinator.sessions_by_id.values()
                if session.publishes
            }
        )
        nursery.start_soon(store.run)

    def _restore_sessions(self, durable_state: FrontEndState, restored: trio.Event) -> None:
        """Restores the stored sessions in the event task, then sets `restored`."""
        durable_state.restore(self.restored_state)
        restored.set()

    async def _load_cached_list(self, coordinator: SessionCoordinator) -> None:
        """Applies the cached node list, if there is a usable one."""
        if not self.configuration.front.node_list_file:
            return
        try:
            body = load_list(Path(self.configuration.front.node_list_file))
            if body is not None:
                listed_nodes, version, service = parse_response(body)
                await coordinator.node_list_updater.apply(listed_nodes, version, service, is_cached=True)
        except (NodeListError, OSError) as error:
            self.log.warning("kept list unusable", why=str(error))

    # Shutdown and reload.

    async def _wait_for_shutdown(
        self, shutdown: Shutdown, coordinator: SessionCoordinator, clock: Clock
    ) -> None:
        """Waits until the shutdown has completed, and ends all sessions when it begins to leave."""
        is_leaving = False
        while True:
            await coordinator.count_changed.wait_for_change(
                0.5 if shutdown.state in (FrontState.DRAINING, FrontState.LEAVING) else float("inf")
            )
            state = shutdown.advance(
                coordinator.unanswered_count,
                coordinator.playing_count,
                coordinator.pending_session_ends,
                clock.now(),
            )
            if state is FrontState.LEAVING and not is_leaving:
                is_leaving = True
                self.log.info("leaving", playing=coordinator.playing_count)
                for session in list(coordinator.sessions_by_playback.values()):
                    coordinator.end_session(session)
            elif state is FrontState.GONE:
                return

    async def _handle_reload_signals(self) -> None:
        """Reloads the configuration on SIGHUP."""
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            async for _ in received:
                await self.reload()

    async def reload(self) -> ConfigurationVerdict | None:
        """Reads the configuration in a worker thread, then applies it; None where there is no source."""
        if self.source is None or self.coordinator is None:
            return None
        self.read_count += 1
        version_number = self.read_count
        source = self.source
        known_families = {
            name: plan_terms.plan.family_id for name, plan_terms in self.coordinator.site.plans.items()
        }
        return await self.apply_configuration(
            version_number, await trio.to_thread.run_sync(source, known_families)
        )

    async def apply_configuration(
        self, version_number: int, result: Deployment | list[str]
    ) -> ConfigurationVerdict:
        """Applies a configuration that was read, and returns the verdict.

        `version_number` counts the reads; `result` is the deployment, or the errors that make it invalid.
        """
        assert self.coordinator is not None
        coordinator = self.coordinator
        connection_table = self.connection_table
        if isinstance(result, list):
            self.log.warning(
                "configuration broken", errors=len(result), first=result[0].split("\n")[0] if result else ""
            )
            return coordinator.apply_configuration(None)[0]
        verdict, _ = coordinator.apply_configuration(
            ConfigurationVersion(version_number, result.resolved, result)
        )
        if verdict is ConfigurationVerdict.TAKEN and connection_table is not None:
            connection_table.limits = coordinator.site.connection_limits
            if self.pending_requests is not None:
                self.pending_requests.limits = connection_table.limits
            if self.service is not None:
                self.service.request_queue.apply_configuration()
        return verdict

    async def _handle_stop_signals(
        self, shutdown: Shutdown, clock: Clock, count_changed: ChangeNotifier
    ) -> None:
        """Starts the shutdown on SIGTERM and SIGINT, and speeds it up on a second one."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for signal_number in received:
                if shutdown.handle_stop_signal(clock.now()):
                    count_changed.notify()
                    self.log.info(
                        "stop signal", signal=signal.Signals(signal_number).name, course=shutdown.state.value
                    )

    async def _wait_for_stop(
        self, stop: trio.Event, shutdown: Shutdown, clock: Clock, count_changed: ChangeNotifier
    ) -> None:
        """Starts the shutdown when the event is set."""
        await stop.wait()
        shutdown.handle_stop_signal(clock.now())
        count_changed.notify()

    def _log_request_failure(self, request: Request, error: BaseException) -> None:
        """Logs an exception that a request handler raised."""
        self.log.error("request failed", method=request.method, path=request.path, error=repr(error))
