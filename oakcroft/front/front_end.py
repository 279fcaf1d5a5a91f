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
from oakcroft.httpwire.client import Peer
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
        self.configuration, self.log, self.policy_factory, self.source = (
            configuration,
            log,
            policy_factory,
            source,
        )
        self.coordinator: SessionCoordinator | None = None
        self.service: SessionService | None = None
        self.connection_table: ConnectionTable | None = None
        self.pending_requests: PendingRequests | None = None
        self.session_api: SessionApi | None = None
        self.read_count = 0
        self.restored_state: StateContents | None = None
        self.catalogues: CatalogueVersions | None = None
        self.adopting: TakeoverRunner | None = None
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
        site, stand = self.configuration.shared, self.configuration.front
        clock = Clock()
        longest = max(p.abandon_ns for p in site.plans.values())
        stopping = Shutdown(site.drain_timeout_ns, site.leave_timeout_ns, longest)
        # A front end with stored state keeps its pseudonym across restarts.
        me = f"front-{site.terms.front_index}-" + (
            "0" if stand.state_file else f"{clock.now() // 1_000_000:x}"
        )
        async with trio.open_nursery() as nursery:
            helm = SessionCoordinator(
                self.configuration, stand.seed, me, clock, nursery, self.log, self.policy_factory
            )
            door = ConnectionTable(site.connection_limits)
            self.coordinator, self.connection_table = helm, door
            self.service = core = SessionService(stand.zone, helm, door, stopping, clock, self.log)
            sessions = SessionApi(core, nursery, self.log)
            self.catalogues = catalogues = CatalogueVersions(helm, self.log)
            core.service_levels = reducing = ServiceLevelControl(helm, Random(stand.seed + 4), self.log)
            nursery.start_soon(reducing.run)
            core.zone_routing = zone_routing = ZoneRouting(helm, stand.zone, Random(stand.seed + 5), self.log)
            nursery.start_soon(zone_routing.run)
            operators = OperatorsApi(helm, catalogues, reducing, zone_routing)
            viewers = WhipWhepApi(
                core, (SESSION_API_PATH, sessions.upgrade_response), (OPERATORS, operators.handle)
            )
            nursery.start_soon(sessions.expire_client_sessions)
            self.session_api = sessions
            server = Server(
                viewers.handle,
                door,
                clock.now,
                self._log_request_failure,
                viewers.shed_response,
                operators.allows_large_body,
            )
            self.pending_requests = core.pending_requests
            store = await self._open_store(helm, clock)
            peers = self._create_peers(helm, clock)
            catalogues.restore(self.restored_state)
            nursery.start_soon(catalogues.run)
            nursery.start_soon(core.run_queue)
            nursery.start_soon(helm.run)
            nursery.start_soon(helm.monitor_pauses)
            nursery.start_soon(helm.run_maintenance)
            nursery.start_soon(helm.move_executor.run)
            await self._load_cached_list(helm)
            if helm.durable_state is not None and store is not None:
                await self._restore_state(helm, core, store, nursery)
            peer = Peer(stand.list_service_host, stand.list_service_port)
            rng = Random(stand.seed + 2)
            follower = NodeListFollower(peer, clock, rng, stand.node_list_file, me, helm.apply_list, self.log)
            nursery.start_soon(follower.run)
            leave = await self._join_fleet(peers, core, operators, catalogues, nursery)
            # Guards against set-ups to nodes that began to drain, or went away, while this front end was down: until the
            # list service answers it only has the cached list. The cost: no service for that long while it is down.
            with trio.move_on_after(site.list_timeout_ns / 1e9):
                await follower.list_confirmed.wait()
            if not follower.list_confirmed.is_set():
                self.log.warning(
                    "opened on the kept list",
                    nodes=len(helm.node_list.listed_nodes),
                    waited_ms=site.list_timeout_ns // MS,
                )
            listeners = await trio.open_tcp_listeners(stand.port, host=stand.host, backlog=4096)
            port = listeners[0].socket.getsockname()[1]
            stopping.start_serving(clock.now())
            self.log.info("serving", host=stand.host, port=port, pseudonym=me, fronts=site.terms.front_count)
            nursery.start_soon(server.run, listeners)
            if ready is not None:
                await ready(port)
            if signals:
                nursery.start_soon(self._handle_reload_signals)
                nursery.start_soon(self._handle_stop_signals, stopping, clock, helm.count_changed)
            if stop is not None:
                nursery.start_soon(self._wait_for_stop, stop, stopping, clock, helm.count_changed)
            await self._wait_for_shutdown(stopping, helm, clock)
            if leave is not None:
                await leave()
            self.log.info("gone", unanswered=helm.unanswered_count, playing=helm.playing_count)
            nursery.cancel_scope.cancel()

    def _create_peers(self, coordinator: SessionCoordinator, clock: Clock) -> PeerEndpoint | None:
        """Creates this front end's endpoint for membership, where the configuration has peers.

        It sends nothing yet. Raises OSError for a key file that cannot be used.
        """
        stand = self.configuration.front
        if stand.peers is None:
            return None
        from oakcroft.decisions.membership.shares import rate_divisor
        from oakcroft.peers.peer_endpoint import PeerEndpoint
        from oakcroft.peerwire.sealing import KeyFileError

        def changed(view: Membership) -> None:
            into = rate_divisor(coordinator.site.terms.front_count, view.left_count())
            if coordinator.limit_ledger.set_rate_shares(into):
                self.log.info(
                    "shares of rates",
                    parts=into,
                    fronts=coordinator.site.terms.front_count,
                    left=view.left_count(),
                )
            if self.adopting is not None:
                self.adopting.update_fronts()

        try:
            record = (
                StateRecord(coordinator.durable_state.store)
                if coordinator.durable_state is not None
                else None
            )
            peers = PeerEndpoint(stand.peers, stand.zone, stand.seed + 6, clock, self.log, changed, record)
        except KeyFileError as fault:
            raise OSError(f"key file {stand.peers.key_file}: {fault}") from fault
        if stand.peers.takeover_bounds is not None:
            view = peers.membership
            coordinator.identity = FrontIdentity(
                stand.peers.name, lambda: view.me.generation, stand.peers.takeover_bounds.session_lease
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
        helm, place = service.coordinator, self.configuration.front.peers
        if peers is None or place is None:
            return None
        operators.fleet_status = peers.status
        if peers.duties is not None:
            from oakcroft.front.catalogue_rollout import CatalogueRollout

            operators.leases, operators.rollout = (
                peers.duties,
                (rolling := CatalogueRollout(helm, catalogues, peers, self.log)),
            )
            nursery.start_soon(rolling.run)
        if place.probe_interval_ns:
            from oakcroft.front.load_probing import LoadProbing

            seed = self.configuration.front.seed + 8
            operators.load_probing = probing = LoadProbing(
                helm, peers, place.name, place.probe_interval_ns, seed, self.log
            )
            peers.on_loads = probing.receive_reports
            nursery.start_soon(probing.run)
        if place.takeover_bounds is not None:
            from oakcroft.front.session_takeover import TakeoverRunner

            def published(v: PlaybackSession) -> None:
                service.publishers[v.playback.title.name] = v

            self.adopting = TakeoverRunner(
                helm,
                peers.membership,
                place.takeover_bounds,
                published,
                service.shutdown.accepts_requests,
                self.log,
            )
            operators.takeover = self.adopting
            nursery.start_soon(self.adopting.run)
        await nursery.start(peers.run)
        return peers.leave

    async def _open_store(self, coordinator: SessionCoordinator, clock: Clock) -> StateWriter | None:
        """Opens and reads the state file; None where none is configured."""
        stand = self.configuration.front
        if not stand.state_file:
            return None
        opens = None if self.open_state_file is None else partial(self.open_state_file, stand.state_file)
        store = StateWriter(
            stand.state_file,
            stand.is_state_synced,
            clock.now,
            self.log,
            coordinator.site.key_retention_ns,
            opens,
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

        def begin() -> None:
            assert coordinator.durable_state is not None
            coordinator.durable_state.restore(self.restored_state)
            done.set()

        await coordinator.submit(begin)
        await done.wait()
        service.publishers.update(
            {v.playback.title.name: v for v in coordinator.sessions_by_id.values() if v.publishes}
        )
        nursery.start_soon(store.run)

    async def _load_cached_list(self, coordinator: SessionCoordinator) -> None:
        """Applies the cached node list, if there is a usable one."""
        if not self.configuration.front.node_list_file:
            return
        try:
            body = load_list(Path(self.configuration.front.node_list_file))
            if body is not None:
                lines, version, service = parse_response(body)
                await coordinator.apply_list(lines, version, service, is_cached=True)
        except (NodeListError, OSError) as fault:
            self.log.warning("kept list unusable", why=str(fault))

    async def _wait_for_shutdown(
        self, shutdown: Shutdown, coordinator: SessionCoordinator, clock: Clock
    ) -> None:
        """Waits until the shutdown has completed, and ends all sessions when it begins to leave."""
        leaving = False
        while True:
            await coordinator.count_changed.wait_for_change(
                0.5 if shutdown.state in (FrontState.DRAINING, FrontState.LEAVING) else float("inf")
            )
            course = shutdown.advance(
                coordinator.unanswered_count,
                coordinator.playing_count,
                coordinator.pending_session_ends,
                clock.now(),
            )
            if course is FrontState.LEAVING and not leaving:
                leaving = True
                self.log.info("leaving", playing=coordinator.playing_count)
                for v in list(coordinator.sessions_by_playback.values()):
                    coordinator.end_session(v)
            elif course is FrontState.GONE:
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
        number, source, known = (
            self.read_count,
            self.source,
            {n: p.plan.family_id for n, p in self.coordinator.site.plans.items()},
        )
        return await self.apply_configuration(number, await trio.to_thread.run_sync(source, known))

    async def apply_configuration(
        self, version_number: int, result: Deployment | list[str]
    ) -> ConfigurationVerdict:
        """Applies the configuration of the given read, by count: a deployment, or the errors that make it
        invalid.

        Returns the verdict.
        """
        assert self.coordinator is not None
        helm, door = self.coordinator, self.connection_table
        if isinstance(result, list):
            self.log.warning(
                "configuration broken", errors=len(result), first=result[0].split("\n")[0] if result else ""
            )
            return helm.apply_configuration(None)[0]
        verdict, _ = helm.apply_configuration(ConfigurationVersion(version_number, result.resolved, result))
        if verdict is ConfigurationVerdict.TAKEN and door is not None:
            door.limits = helm.site.connection_limits
            if self.pending_requests is not None:
                self.pending_requests.limits = door.limits
            if self.service is not None:
                self.service.apply_configuration()
        return verdict

    async def _handle_stop_signals(
        self, shutdown: Shutdown, clock: Clock, count_changed: ChangeNotifier
    ) -> None:
        """Starts the shutdown on SIGTERM and SIGINT, and speeds it up on a second one."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for number in received:
                if shutdown.handle_stop_signal(clock.now()):
                    count_changed.notify()
                    self.log.info(
                        "stop signal", signal=signal.Signals(number).name, course=shutdown.state.value
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
