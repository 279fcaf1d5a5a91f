"""A front end's part in a fleet with peers: its membership, and what the front ends do together.

The modules that talk to peers are imported only where the configuration has peers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog
import trio

from oakcroft.config.settings import Deployment, PeerSettings
from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.front.catalogue_versions import CatalogueVersions
from oakcroft.front.node_client import FrontIdentity
from oakcroft.front.operators_api import OperatorsApi
from oakcroft.front.session_service import SessionService
from oakcroft.store.file import NamedValue
from oakcroft.store.writer import StateWriter

if TYPE_CHECKING:
    from oakcroft.decisions.membership.membership import Membership
    from oakcroft.front.session_takeover import TakeoverRunner
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


class FleetParticipation:
    """Membership of one front end in its fleet; does nothing where the configuration has no peers."""

    def __init__(
        self,
        configuration: Deployment,
        service: SessionService,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the participation; `create_endpoint` and `join` have to follow."""
        self.front_settings = configuration.front
        self.service = service
        self.coordinator = service.coordinator
        self.log = log
        self.peers: PeerEndpoint | None = None
        self.takeover_runner: TakeoverRunner | None = None

    def create_endpoint(self) -> None:
        """Creates the endpoint for membership, where the configuration has peers.

        It sends nothing yet. Raises OSError for a key file that cannot be used.
        """
        peer_settings = self.front_settings.peers
        if peer_settings is None:
            return
        from oakcroft.peers.peer_endpoint import PeerEndpoint
        from oakcroft.peerwire.sealing import KeyFileError

        durable_state = self.coordinator.durable_state
        try:
            self.peers = PeerEndpoint(
                peer_settings,
                self.front_settings.zone,
                self.front_settings.seed + 6,
                self.service.clock,
                self.log,
                self._membership_handler(),
                StateRecord(durable_state.store) if durable_state is not None else None,
            )
        except KeyFileError as error:
            raise OSError(f"key file {peer_settings.key_file}: {error}") from error
        if peer_settings.takeover_bounds is not None:
            view = self.peers.membership
            self.coordinator.identity = FrontIdentity(
                peer_settings.name,
                lambda: view.own_update.generation,
                peer_settings.takeover_bounds.session_lease,
            )

    def _membership_handler(self) -> Callable[[Membership], None]:
        """Creates the handler of changes of the membership."""
        from oakcroft.decisions.membership.shares import rate_divisor

        coordinator = self.coordinator

        def membership_changed(view: Membership) -> None:
            """Applies the share of the request limits, and the front ends to take over from."""
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

        return membership_changed

    async def join(
        self, operators: OperatorsApi, catalogue_versions: CatalogueVersions, nursery: trio.Nursery
    ) -> None:
        """Joins the membership of the fleet, and starts what the front ends do together."""
        peers = self.peers
        peer_settings = self.front_settings.peers
        if peers is None or peer_settings is None:
            return
        operators.fleet_status = peers.status
        if peers.leases is not None:
            from oakcroft.front.catalogue_rollout import CatalogueRollout

            operators.leases = peers.leases
            operators.rollout = rollout = CatalogueRollout(
                self.coordinator, catalogue_versions, peers, self.log
            )
            nursery.start_soon(rollout.run)
        if peer_settings.probe_interval_ns:
            self._start_load_probing(peers, peer_settings, operators, nursery)
        if peer_settings.takeover_bounds is not None:
            self._start_takeovers(peers, peer_settings.takeover_bounds, operators, nursery)
        await nursery.start(peers.run)

    def _start_load_probing(
        self, peers: PeerEndpoint, peer_settings: PeerSettings, operators: OperatorsApi, nursery: trio.Nursery
    ) -> None:
        """Starts sharing the nodes' loads with the other front ends."""
        from oakcroft.front.load_probing import LoadProber

        operators.load_prober = load_prober = LoadProber(
            self.coordinator,
            peers,
            peer_settings.name,
            peer_settings.probe_interval_ns,
            self.front_settings.seed + 8,
            self.log,
        )
        peers.on_loads = load_prober.receive_reports
        nursery.start_soon(load_prober.run)

    def _start_takeovers(
        self, peers: PeerEndpoint, bounds: TakeoverBounds, operators: OperatorsApi, nursery: trio.Nursery
    ) -> None:
        """Starts taking over the sessions of front ends that are gone."""
        from oakcroft.front.session_takeover import TakeoverRunner

        operators.takeover = self.takeover_runner = TakeoverRunner(
            self.coordinator,
            peers.membership,
            bounds,
            self.service.register_publisher,
            self.service.shutdown.accepts_requests,
            self.log,
        )
        nursery.start_soon(self.takeover_runner.run)

    async def leave(self) -> None:
        """Leaves the fleet in order."""
        if self.peers is not None:
            await self.peers.leave()
