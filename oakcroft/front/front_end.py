"""One front end as a process: creates its parts, listens, and shuts down in order on a signal."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random

from typing import TYPE_CHECKING

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
from oakcroft.front.operators_api import OPERATORS_PATH as OPERATORS, OperatorsApi
from oakcroft.front.node_client import FrontIdentity
from oakcroft.front.service_levels import ServiceLevelControl
from oakcroft.front.zone_routing import ZoneRouting
from oakcroft.front.protocols import ChangeNotifier, PolicyFactory
from oakcroft.front.websocket_api import SESSION_API_PATH, SessionApi
from oakcroft.front.whip_whep import WhipWhepApi
from oakcroft.httpwire.client import HttpClient
from oakcroft.httpwire.message import Request
from oakcroft.interface import MS
from oakcroft.httpwire.server import Server
from oakcroft.config.settings import Deployment
from oakcroft.store.file import NamedValue, StateContents, StateFile
from oakcroft.store.writer import StateWriter

if TYPE_CHECKING:
    from oakcroft.decisions.membership.membership import Membership
    from oakcroft.front.session_takeover import TakeoverRunner
    from oakcroft.front.playback_session import PlaybackSession
    from oakcroft.peers.peer_endpoint import PeerEndpoint


class StateRecord:
    """The state file, as the acceptor of fleet leases uses it."""

    def __init__(self, store: StateWriter) -> None:
        """Wraps an open store."""
        self.store = store

    async def save(self, name: str, value: bytes) -> bool:
        """Stores a value durably; returns False where that is not known to have succeeded."""
        return await self.store.write_durably(NamedValue(name, value))

    def held(self) -> tuple[dict[str, bytes], bool] | None:
        """What the file held when it was read, and whether it was complete then; None before that."""
        return (self.store.named_values, self.store.was_complete) if self.store.is_read else None


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
        self.catalogues: CatalogueVersions | None = None
        self.takeover_runner: TakeoverRunner | None = None
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
        site = self.configuration.shared
        front_settings = self.configuration.front
        clock = Clock()
        longest_abandon_ns = max(plan_terms.abandon_ns for plan_terms in site.plans.values())
        shutdown = Shutdown(site.drain_timeout_ns, site.leave_timeout_ns, longest_abandon_ns)
        # A front end with stored state keeps its pseudonym across restarts.
        pseudonym = f"front-{site.terms.front_index}-" + (
            "0" if front_settings.state_file else f"{clock.now() // 1_000_000:x}"
        )
        async with trio.open_nursery() as nursery:
            coordinator = SessionCoordinator(
                self.configuration,
                front_settings.seed,
                pseudonym,
                clock,
                nursery,
                self.log,
                self.policy_factory,
            )
            connection_table = ConnectionTable(site.connection_limits)
            self.coordinator = coordinator
            self.connection_table = connection_table
            self.service = service = SessionService(
                front_settings.zone, coordinator, connection_table, shutdown, clock, self.log
            )
            session_api = SessionApi(service, nursery, self.log)
            self.catalogues = catalogues = CatalogueVersions(coordinator, self.log)
            service.service_levels = service_levels = ServiceLevelControl(
                coordinator, Random(front_settings.seed + 4), self.log
            )
            nursery.start_soon(service_levels.run)
            service.zone_routing = zone_routing = ZoneRouting(
                coordinator, front_settings.zone, Random(front_settings.seed + 5), self.log
            )
            nursery.start_soon(zone_routing.run)
            operators_api = OperatorsApi(coordinator, catalogues, service_levels, zone_routing)
            whip_whep_api = WhipWhepApi(
                service, (SESSION_API_PATH, session_api.upgrade_response), (OPERATORS, operators_api.handle)
            )
            nursery.start_soon(session_api.expire_client_sessions)
            self.session_api = session_api
            server = Server(
                whip_whep_api.handle,
                connection_table,
                clock.now,
                self._log_request_failure,
                whip_whep_api.shed_response,
                operators_api.allows_large_body,
            )
            self.pending_requests = service.pending_requests
            store = await self._open_store(coordinator, clock)
            peers = self._create_peers(coordinator, clock)
            catalogues.restore(self.restored_state)
            nursery.start_soon(catalogues.run)
            nursery.start_soon(service.run_queue)
            nursery.start_soon(coordinator.run)
            nursery.start_soon(coordinator.monitor_pauses)
            nursery.start_soon(coordinator.run_maintenance)
            nursery.start_soon(coordinator.move_executor.run)
            await self._load_cached_list(coordinator)
            if coordinator.durable_state is not None and store is not None:
                await self._restore_state(coordinator, service, store, nursery)
            peer = HttpClient(front_settings.list_service_host, front_settings.list_service_port)
            rng = Random(front_settings.seed + 2)
            follower = NodeListFollower(
                peer, clock, rng, front_settings.node_list_file, pseudonym, coordinator.apply_list, self.log
            )
            nursery.start_soon(follower.run)
            leave = await self._join_fleet(peers, service, operators_api, catalogues, nursery)
            await self._wait_for_node_list(follower, coordinator)
            listeners = await trio.open_tcp_listeners(
                front_settings.port, host=front_settings.host, backlog=4096
            )
            port = listeners[0].socket.getsockname()[1]
            shutdown.start_serving(clock.now())
            self.log.info(
                "serving",
                host=front_settings.host,
                port=port,
                pseudonym=pseudonym,
                fronts=site.terms.front_count,
            )
            nursery.start_soon(server.run, listeners)
            if ready is not None:
                await ready(port)
            if signals:
                nursery.start_soon(self._handle_reload_signals)
                nursery.start_soon(self._handle_stop_signals, shutdown, clock, coordinator.count_changed)
            if stop is not None:
                nursery.start_soon(self._wait_for_stop, stop, shutdown, clock, coordinator.count_changed)
            await self._wait_for_shutdown(shutdown, coordinator, clock)
            if leave is not None:
                await leave()
            self.log.info("gone", unanswered=coordinator.unanswered_count, playing=coordinator.playing_count)
            nursery.cancel_scope.cancel()

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

    def _create_peers(self, coordinator: SessionCoordinator, clock: Clock) -> PeerEndpoint | None:
        """Creates this front end's endpoint for membership, where the configuration has peers.

        It sends nothing yet. Raises OSError for a key file that cannot be used.
        """
        front_settings = self.configuration.front
        if front_settings.peers is None:
            return None
        from oakcroft.decisions.membership.shares import rate_divisor
        from oakcroft.peers.peer_endpoint import PeerEndpoint
        from oakcroft.peerwire.sealing import KeyFileError

        def membership_changed(view: Membership) -> None:
            rate_shares = rate_divisor(coordinator.site.terms.front_count, view.left_count())
            if coordinator.limit_ledger.set_rate_shares(rate_shares):
                self.log.info(
                    "shares of rates",
                    parts=rate_shares,
                    fronts=coordinator.site.terms.front_count,
                    left=view.left_count(),
                )
            if self.takeover_runner is not None:
                self.takeover_runner.update_fronts()

        try:
            record = (
                StateRecord(coordinator.durable_state.store)
                if coordinator.durable_state is not None
                else None
            )
            peers = PeerEndpoint(
                front_settings.peers,
                front_settings.zone,
                front_settings.seed + 6,
                clock,
                self.log,
                membership_changed,
                record,
            )
        except KeyFileError as error:
            raise OSError(f"key file {front_settings.peers.key_file}: {error}") from error
        if front_settings.peers.takeover_bounds is not None:
            view = peers.membership
            coordinator.identity = FrontIdentity(
                front_settings.peers.name,
                lambda: view.own_update.generation,
                front_settings.peers.takeover_bounds.session_lease,
            )
        return peers

    async def _join_fleet(
        self,
        peers: PeerEndpoint | None,
        service: SessionService,
        operators: OperatorsApi,
        catalogues: CatalogueVersions,
        nursery: trio.Nursery,
    ) -> Callable[[], Awaitable[None]] | None:
        """Joins the membership of the fleet; returns the function by which to leave it in order."""
        coordinator = service.coordinator
        peer_settings = self.configuration.front.peers
        if peers is None or peer_settings is None:
            return None
        operators.fleet_status = peers.status
        if peers.leases is not None:
            from oakcroft.front.catalogue_rollout import CatalogueRollout

            operators.leases = peers.leases
            operators.rollout = rollout = CatalogueRollout(coordinator, catalogues, peers, self.log)
            nursery.start_soon(rollout.run)
        if peer_settings.probe_interval_ns:
            from oakcroft.front.load_probing import LoadProbing

            seed = self.configuration.front.seed + 8
            operators.load_probing = load_probing = LoadProbing(
                coordinator, peers, peer_settings.name, peer_settings.probe_interval_ns, seed, self.log
            )
            peers.on_loads = load_probing.receive_reports
            nursery.start_soon(load_probing.run)
        if peer_settings.takeover_bounds is not None:
            from oakcroft.front.session_takeover import TakeoverRunner

            def register_publisher(session: PlaybackSession) -> None:
                service.publishers[session.playback.title.name] = session

            self.takeover_runner = TakeoverRunner(
                coordinator,
                peers.membership,
                peer_settings.takeover_bounds,
                register_publisher,
                service.shutdown.accepts_requests,
                self.log,
            )
            operators.takeover = self.takeover_runner
            nursery.start_soon(self.takeover_runner.run)
        await nursery.start(peers.run)
        return peers.leave

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
            await coordinator.apply_list(
                self.restored_state.listed_nodes,
                self.restored_state.list_version,
                self.restored_state.service,
                is_cached=True,
            )
        done = trio.Event()

        def restore() -> None:
            assert coordinator.durable_state is not None
            coordinator.durable_state.restore(self.restored_state)
            done.set()

        await coordinator.submit(restore)
        await done.wait()
        service.publishers.update(
            {
                session.playback.title.name: session
                for session in coordinator.sessions_by_id.values()
                if session.publishes
            }
        )
        nursery.start_soon(store.run)

    async def _load_cached_list(self, coordinator: SessionCoordinator) -> None:
        """Applies the cached node list, if there is a usable one."""
        if not self.configuration.front.node_list_file:
            return
        try:
            body = load_list(Path(self.configuration.front.node_list_file))
            if body is not None:
                listed_nodes, version, service = parse_response(body)
                await coordinator.apply_list(listed_nodes, version, service, is_cached=True)
        except (NodeListError, OSError) as error:
            self.log.warning("kept list unusable", why=str(error))

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
                self.service.apply_configuration()
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
