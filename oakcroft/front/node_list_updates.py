"""Applies node lists: creates the clients of new nodes, and passes the changes on.

The policy gets them first, then the state file and the moves.
"""

from __future__ import annotations

from random import Random

import structlog
import trio

from oakcroft.decisions.fleet.node_list import ListedNode, ListRejection
from oakcroft.decisions.sessions.event_stream_health import LossCertainty, StreamTimeouts
from oakcroft.front.move_executor import MoveExecutor
from oakcroft.front.node_client import MAX_TRY_GRACE_NS, NodeClient
from oakcroft.front.node_events import NodeEventHandler
from oakcroft.front.protocols import Coordinator
from oakcroft.interface import NodeEntry, NodeListKind

MAX_LOGGED_CHANGES = 6


class NodeListUpdater:
    """Applies the node lists of one front end."""

    def __init__(
        self,
        coordinator: Coordinator,
        move_executor: MoveExecutor,
        node_events: NodeEventHandler,
        rng: Random,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the updater; `rng` spreads the retries of requests to nodes."""
        self.coordinator = coordinator
        self.move_executor = move_executor
        self.node_events = node_events
        self.rng = rng
        self.log = log

    async def apply(
        self, listed_nodes: list[ListedNode], version: int, service: str, is_cached: bool = False
    ) -> bool:
        """Submits a node list and waits until it is applied; returns whether it was accepted.

        `version` is the list's version, `service` the name of the list service, and `is_cached` says that the
        list was read from the cache of an earlier process.
        """
        is_accepted = False
        applied = trio.Event()

        def apply_in_event_task() -> None:
            """Applies the list and lets the caller go on."""
            nonlocal is_accepted
            is_accepted = self._apply(listed_nodes, version, service, is_cached)
            applied.set()

        await self.coordinator.submit(apply_in_event_task)
        await applied.wait()
        return is_accepted

    def _apply(self, listed_nodes: list[ListedNode], version: int, service: str, is_cached: bool) -> bool:
        """Applies a node list; returns False when it was rejected."""
        now = self.coordinator.clock.now()
        applied = self.coordinator.node_list.apply(listed_nodes, version, service, now, is_cached)
        if isinstance(applied, ListRejection):
            self.log.warning(
                "list refused", why=applied.reason, nodes=len(self.coordinator.node_list.listed_nodes)
            )
            return False
        if applied is None:
            return True
        kind, entries = applied
        node_list = self.coordinator.node_list
        for listed_node in node_list.listed_nodes.values():
            node_client = self.coordinator.node_clients.get(listed_node.name)
            if node_client is None or node_client.address != (listed_node.address, listed_node.port):
                self._add_node_client(listed_node)
        self.coordinator.policy.on_node_list(kind, entries, now)
        if self.coordinator.durable_state is not None and not is_cached:
            self.coordinator.durable_state.node_list_changed(
                node_list.listed_nodes.values(), version, service
            )
            self.coordinator.durable_state.nodes_listed(node_list.listed_nodes.values())
        self.move_executor.on_node_list(
            entries, {node.name: node.drains_until for node in node_list.listed_nodes.values()}, now
        )
        self._log_list(kind, entries, version)
        return True

    def _log_list(self, kind: NodeListKind, entries: list[NodeEntry], version: int) -> None:
        """Logs an applied list with the first of its changes."""
        changes = ", ".join(
            f"{entry.node.name} {entry.status.value}" for entry in entries[:MAX_LOGGED_CHANGES]
        )
        self.log.info(
            "list",
            kind=kind.value,
            version=version,
            nodes=len(self.coordinator.node_list.listed_nodes),
            changes=changes,
            changed=len(entries),
        )

    def _add_node_client(self, listed_node: ListedNode) -> None:
        """Creates the client of a listed node, in place of one for another address."""
        previous = self.coordinator.node_clients.get(listed_node.name)
        if previous is not None:
            self.node_events.node_lost(previous, LossCertainty.PROVEN, "it has another address")
            self.coordinator.nursery.start_soon(previous.close)
        site = self.coordinator.site
        timeouts = StreamTimeouts(site.silence_timeout_ns, site.loss_timeout_ns)
        claim_timeout_ns = self.coordinator.longest_abandon_ns + MAX_TRY_GRACE_NS
        node_client = NodeClient(
            listed_node.name,
            listed_node.address,
            listed_node.port,
            self.coordinator.pseudonym,
            self.coordinator.clock,
            self.rng,
            site.connect_timeout_ns,
            timeouts,
            claim_timeout_ns,
            self.coordinator.paused_since,
        )
        node_client.identity = self.coordinator.identity
        node_client.detect_pause = self.coordinator.discount_pause
        self.coordinator.node_clients[listed_node.name] = node_client
