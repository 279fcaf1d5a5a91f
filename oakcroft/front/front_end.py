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
from oakcroft.decisions.admission.connection_limits import Door, Queue
from oakcroft.decisions.fleet.shutdown import Course, Stopping
from oakcroft.decisions.routing.configuration_version import Offer, Verdict
from oakcroft.front.catalogue_versions import Catalogues
from oakcroft.running.clock import Clock
from oakcroft.front.session_service import Core
from oakcroft.front.session_coordinator import Helm
from oakcroft.front.durable_state import Memory
from oakcroft.front.node_list_client import BadList, Follower, kept, parse
from oakcroft.front.operators_api import PATH as OPERATORS, Operators
from oakcroft.front.node_client import Standing
from oakcroft.front.service_levels import Reducing
from oakcroft.front.zone_routing import ZoneRouting
from oakcroft.front.protocols import Bell, Decide
from oakcroft.front.websocket_api import PATH, SessionApi
from oakcroft.front.whip_whep import Viewers
from oakcroft.httpwire.client import Peer
from oakcroft.httpwire.message import Request
from oakcroft.interface import MS
from oakcroft.httpwire.server import Server
from oakcroft.config.settings import Deployment
from oakcroft.store.file import Fact, Held, StateFile
from oakcroft.store.writer import Store

if TYPE_CHECKING:
    from oakcroft.decisions.membership.membership import Membership
    from oakcroft.front.session_takeover import Adopting
    from oakcroft.front.playback_session import Viewing
    from oakcroft.peers.peer_endpoint import PeerEndpoint


class StateRecord:
    """The state file, as the acceptor of fleet leases uses it."""

    def __init__(self, store: Store) -> None:
        """Wraps an open store."""
        self.store = store

    async def save(self, name: str, value: bytes) -> bool:
        """Stores a value durably; returns False where that is not known to have succeeded."""
        return await self.store.durable(Fact(name, value))

    def held(self) -> tuple[dict[str, bytes], bool] | None:
        """What the file held when it was read, and whether it was complete then; None before that."""
        return (self.store.facts, self.store.had) if self.store.read else None


Source = Callable[[dict[str, int]], "Deployment | list[str]"]
"""Reads the configuration again: a deployment (plans keep the family ids that are passed in), or its errors."""


class Front:
    """A front end; `run` serves until it is stopped."""

    def __init__(
        self, told: Deployment, log: structlog.typing.FilteringBoundLogger, decide: Decide = Controller,
        source: Source | None = None,
    ) -> None:  # fmt: skip
        """Creates a front end; `source` reads the configuration again, without which it cannot be reloaded."""
        self.told, self.log, self.decide, self.source = told, log, decide, source
        self.helm: Helm | None = None
        self.core: Core | None = None
        self.door: Door | None = None
        self.queue: Queue | None = None
        self.sessions: SessionApi | None = None
        self.reads = 0
        self.held: Held | None = None
        self.catalogues: Catalogues | None = None
        self.adopting: Adopting | None = None
        self.opens: Callable[[str], StateFile] | None = None  # replaces the file system's

    async def run(
        self,
        ready: Callable[[int], Awaitable[None]] | None = None,
        signals: bool = True,
        stop: trio.Event | None = None,
    ) -> None:
        """Serves until it is stopped.

        `ready` is called with the port; `stop` works like a stop signal where there are none.
        """
        site, stand = self.told.site, self.told.stand
        clock = Clock()
        longest = max(p.abandon for p in site.plans.values())
        stopping = Stopping(site.drain_within, site.leave_within, longest)
        # A front end with stored state keeps its pseudonym across restarts.
        me = f"front-{site.terms.front}-" + ("0" if stand.state else f"{clock.now() // 1_000_000:x}")
        async with trio.open_nursery() as nursery:
            helm = Helm(self.told, stand.seed, me, clock, nursery, self.log, self.decide)
            door = Door(site.bounds)
            self.helm, self.door = helm, door
            self.core = core = Core(stand.zone, helm, door, stopping, clock, self.log)
            sessions = SessionApi(core, nursery, self.log)
            self.catalogues = catalogues = Catalogues(helm, self.log)
            core.reducing = reducing = Reducing(helm, Random(stand.seed + 4), self.log)
            nursery.start_soon(reducing.run)
            core.zone_routing = zone_routing = ZoneRouting(helm, stand.zone, Random(stand.seed + 5), self.log)
            nursery.start_soon(zone_routing.run)
            operators = Operators(helm, catalogues, reducing, zone_routing)
            viewers = Viewers(core, (PATH, sessions.response), (OPERATORS, operators.handle))
            nursery.start_soon(sessions.look_after)
            self.sessions = sessions
            server = Server(viewers.handle, door, clock.now, self._failed, viewers.shed, operators.roomy)
            self.queue = core.queue
            store = await self._store(helm, clock)
            peers = self._peers(helm, clock)
            catalogues.begin(self.held)
            nursery.start_soon(catalogues.run)
            nursery.start_soon(core.beat)
            nursery.start_soon(helm.run)
            nursery.start_soon(helm.beat)
            nursery.start_soon(helm.look_after)
            nursery.start_soon(helm.moves.run)
            await self._take_kept(helm)
            if helm.memory is not None and store is not None:
                await self._recall(helm, core, store, nursery)
            peer = Peer(stand.list_host, stand.list_port)
            rng = Random(stand.seed + 2)
            follower = Follower(peer, clock, rng, stand.kept, me, helm.listed, self.log)
            nursery.start_soon(follower.run)
            leave = await self._meet(peers, core, operators, catalogues, nursery)
            # Guards against set-ups to nodes that began to drain, or went away, while this front end was down: until the
            # list service answers it only has the cached list. The cost: no service for that long while it is down.
            with trio.move_on_after(site.list_within / 1e9):
                await follower.answered.wait()
            if not follower.answered.is_set():
                self.log.warning(
                    "opened on the kept list", nodes=len(helm.roster.lines), waited_ms=site.list_within // MS
                )
            listeners = await trio.open_tcp_listeners(stand.port, host=stand.host, backlog=4096)
            port = listeners[0].socket.getsockname()[1]
            stopping.serve(clock.now())
            self.log.info("serving", host=stand.host, port=port, pseudonym=me, fronts=site.terms.fronts)
            nursery.start_soon(server.run, listeners)
            if ready is not None:
                await ready(port)
            if signals:
                nursery.start_soon(self._reloads)
                nursery.start_soon(self._signals, stopping, clock, helm.bell)
            if stop is not None:
                nursery.start_soon(self._stopped, stop, stopping, clock, helm.bell)
            await self._watch(stopping, helm, clock)
            if leave is not None:
                await leave()
            self.log.info("gone", unanswered=helm.unanswered, playing=helm.playing)
            nursery.cancel_scope.cancel()

    def _peers(self, helm: Helm, clock: Clock) -> PeerEndpoint | None:
        """Creates this front end's endpoint for membership, where the configuration has peers.

        It sends nothing yet. Raises OSError for a key file that cannot be used.
        """
        stand = self.told.stand
        if stand.peers is None:
            return None
        from oakcroft.decisions.membership.shares import rate_divisor
        from oakcroft.peers.peer_endpoint import PeerEndpoint
        from oakcroft.peerwire.sealing import KeyFileError

        def changed(view: Membership) -> None:
            into = rate_divisor(helm.site.terms.fronts, view.left_count())
            if helm.ledger.take_parts(into):
                self.log.info(
                    "shares of rates", parts=into, fronts=helm.site.terms.fronts, left=view.left_count()
                )
            if self.adopting is not None:
                self.adopting.sees()

        try:
            record = StateRecord(helm.memory.store) if helm.memory is not None else None
            peers = PeerEndpoint(stand.peers, stand.zone, stand.seed + 6, clock, self.log, changed, record)
        except KeyFileError as fault:
            raise OSError(f"key file {stand.peers.key_file}: {fault}") from fault
        if stand.peers.adopts is not None:
            view = peers.membership
            helm.standing = Standing(stand.peers.name, lambda: view.me.generation, stand.peers.adopts.lease)
        return peers

    async def _meet(
        self,
        peers: PeerEndpoint | None,
        core: Core,
        operators: Operators,
        catalogues: Catalogues,
        nursery: trio.Nursery,
    ) -> Callable[[], Awaitable[None]] | None:
        """Joins the membership of the fleet; returns the function by which to leave it in order."""
        helm, place = core.helm, self.told.stand.peers
        if peers is None or place is None:
            return None
        operators.fleet = peers.status
        if peers.duties is not None:
            from oakcroft.front.catalogue_rollout import Rolling

            operators.duties, operators.rolling = (
                peers.duties,
                (rolling := Rolling(helm, catalogues, peers, self.log)),
            )
            nursery.start_soon(rolling.run)
        if place.probes:
            from oakcroft.front.load_probing import Probing

            seed = self.told.stand.seed + 8
            operators.probing = probing = Probing(helm, peers, place.name, place.probes, seed, self.log)
            peers.on_loads = probing.heard
            nursery.start_soon(probing.run)
        if place.adopts is not None:
            from oakcroft.front.session_takeover import Adopting

            def published(v: Viewing) -> None:
                core.publishing[v.pb.title.name] = v

            self.adopting = Adopting(
                helm, peers.membership, place.adopts, published, core.stopping.takes_new, self.log
            )
            operators.adopting = self.adopting
            nursery.start_soon(self.adopting.run)
        await nursery.start(peers.run)
        return peers.leave

    async def _store(self, helm: Helm, clock: Clock) -> Store | None:
        """Opens and reads the state file; None where none is configured."""
        stand = self.told.stand
        if not stand.state:
            return None
        opens = None if self.opens is None else partial(self.opens, stand.state)
        store = Store(stand.state, stand.state_sync, clock.now, self.log, helm.site.keep_keys, opens)
        self.held = await store.start()
        helm.memory = Memory(store, helm, self.log)
        return store

    async def _recall(self, helm: Helm, core: Core, store: Store, nursery: trio.Nursery) -> None:
        """Restores the state of the earlier process before the first request is accepted."""
        assert helm.memory is not None
        if self.held is not None and self.held.lines and not helm.roster.lines:
            await helm.listed(self.held.lines, self.held.list_version, self.held.service, kept=True)
        done = trio.Event()

        def begin() -> None:
            assert helm.memory is not None
            helm.memory.begin(self.held)
            done.set()

        await helm.tell(begin)
        await done.wait()
        core.publishing.update({v.pb.title.name: v for v in helm.sessions.values() if v.publishes})
        nursery.start_soon(store.run)

    async def _take_kept(self, helm: Helm) -> None:
        """Applies the cached node list, if there is a usable one."""
        if not self.told.stand.kept:
            return
        try:
            body = kept(Path(self.told.stand.kept))
            if body is not None:
                lines, version, service = parse(body)
                await helm.listed(lines, version, service, kept=True)
        except (BadList, OSError) as fault:
            self.log.warning("kept list unusable", why=str(fault))

    async def _watch(self, stopping: Stopping, helm: Helm, clock: Clock) -> None:
        """Waits until the shutdown has completed, and ends all sessions when it begins to leave."""
        leaving = False
        while True:
            await helm.bell.wait(
                0.5 if stopping.course in (Course.DRAINING, Course.LEAVING) else float("inf")
            )
            course = stopping.look(helm.unanswered, helm.playing, helm.farewells, clock.now())
            if course is Course.LEAVING and not leaving:
                leaving = True
                self.log.info("leaving", playing=helm.playing)
                for v in list(helm.viewings.values()):
                    helm.end(v)
            elif course is Course.GONE:
                return

    async def _reloads(self) -> None:
        """Reloads the configuration on SIGHUP."""
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            async for _ in received:
                await self.reload()

    async def reload(self) -> Verdict | None:
        """Reads the configuration in a worker thread, then applies it; None where there is no source."""
        if self.source is None or self.helm is None:
            return None
        self.reads += 1
        number, source, known = (
            self.reads,
            self.source,
            {n: p.plan.family for n, p in self.helm.site.plans.items()},
        )
        return await self.offer(number, await trio.to_thread.run_sync(source, known))

    async def offer(self, number: int, found: Deployment | list[str]) -> Verdict:
        """Applies the configuration of the given read, by count: a deployment, or the errors that make it
        invalid.

        Returns the verdict.
        """
        assert self.helm is not None
        helm, door = self.helm, self.door
        if isinstance(found, list):
            self.log.warning(
                "configuration broken", errors=len(found), first=found[0].split("\n")[0] if found else ""
            )
            return helm.take_version(None)[0]
        verdict, _ = helm.take_version(Offer(number, found.meaning, found))
        if verdict is Verdict.TAKEN and door is not None:
            door.bounds = helm.site.bounds
            if self.queue is not None:
                self.queue.bounds = door.bounds
            if self.core is not None:
                self.core.take_version()
        return verdict

    async def _signals(self, stopping: Stopping, clock: Clock, bell: Bell) -> None:
        """Starts the shutdown on SIGTERM and SIGINT, and speeds it up on a second one."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for number in received:
                if stopping.signal(clock.now()):
                    bell.ring()
                    self.log.info(
                        "stop signal", signal=signal.Signals(number).name, course=stopping.course.value
                    )

    async def _stopped(self, stop: trio.Event, stopping: Stopping, clock: Clock, bell: Bell) -> None:
        """Starts the shutdown when the event is set."""
        await stop.wait()
        stopping.signal(clock.now())
        bell.ring()

    def _failed(self, request: Request, error: BaseException) -> None:
        """Logs an exception that a request handler raised."""
        self.log.error("request failed", method=request.method, path=request.path, error=repr(error))
