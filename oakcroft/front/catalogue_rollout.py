"""Staged rollouts of the catalogue over the fleet, on one front end.

Each front end carries out orders (rollout_participant.py); the one that holds the catalogue lease also runs the rollout
and sends the orders. The decisions are in decisions/fleet: rollout (when to advance and when to roll back) and lease
(`Fence`: whose orders are valid). An operator's request may reach any front end, which forwards it to the lease holder.
"""

from __future__ import annotations

import msgspec
import structlog
import trio

from oakcroft.catalogue.text import format_catalogue, read_catalogue, text_digest
from oakcroft.decisions.fleet.lease import LeaseTerm
from oakcroft.decisions.fleet.rollout import FINAL_STAGES, Rollout, RolloutPlan, RolloutStage, new_plan
from oakcroft.front.catalogue_versions import CatalogueVersions
from oakcroft.front.rollout_messages import (
    CATALOGUE_LEASE,
    EMPTY_DIGEST,
    ENCODER,
    REPORT_DECODER,
    REQUEST_ORDER,
    REQUEST_REPLY,
    RolloutRequest,
    decode_plan,
    decode_request,
    encode_plan,
)
from oakcroft.front.rollout_participant import RolloutParticipant
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.peerwire.lease_codec import ReceivedLeaseMessage
from oakcroft.peerwire.lease_wire import Order, OrderReport

ORDER_INTERVAL_S = 0.5
"""Interval between orders to one front end, until it reports the wanted state."""

REQUEST_INTERVAL_S = 0.3
"""Interval between two attempts to pass an operator's request on to the lease holder."""

REQUEST_TIMEOUT_S = 12.0
"""Timeout of an operator's request."""

ROLLBACK_KEY = "back"
"""Stands for the digest in the key of a request to roll back."""

MAX_REPLY_OCTETS = 300
MAX_LISTED_FRONTS = 20
"""Unconfirmed front ends that the status names."""

TERM_ENDED = "the term has ended: try again"
ROLLED_BACK_STAGES = (RolloutStage.BACK, RolloutStage.STOPPED)


class CatalogueRollout:
    """One front end's part in rollouts: carries out orders, and runs the rollout while it holds the lease."""

    def __init__(
        self,
        coordinator: SessionCoordinator,
        catalogues: CatalogueVersions,
        peers: PeerEndpoint,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Registers the handlers of orders and reports with `peers`, and becomes a candidate for the catalogue lease."""
        assert peers.leases is not None
        self.coordinator = coordinator
        self.peers = peers
        self.leases = peers.leases
        self.log = log
        self.participant = RolloutParticipant(coordinator, catalogues, peers, peers.leases, log)
        self.rollout: Rollout | None = None  # while this front end holds the lease
        self.request_replies: dict[
            str, str
        ] = {}  # the holder's replies to forwarded requests, by request key
        self.pending_requests: set[str] = set()  # keys of requests whose reply is awaited
        self.wake = trio.Event()
        self.plan_lock = trio.Lock()
        self._register_handlers()

    def _register_handlers(self) -> None:
        leases = self.leases
        leases.become_candidate(CATALOGUE_LEASE)
        leases.order_handlers[CATALOGUE_LEASE] = self.participant.handle_order
        leases.report_handlers[CATALOGUE_LEASE] = self._handle_report
        leases.order_handlers[REQUEST_ORDER] = self._handle_request
        leases.report_handlers[REQUEST_REPLY] = self._handle_reply
        leases.holder_handlers[CATALOGUE_LEASE] = self._holder_changed
        leases.find_text = self.participant.find_text

    # The holder of the lease.

    def _holder_changed(self, new_term: LeaseTerm | None) -> None:
        self.rollout = None
        self.wake.set()

    def _handle_report(self, sender: str, report: OrderReport) -> None:
        term = self.leases.held_term(CATALOGUE_LEASE)
        rollout = self.rollout
        if term is None or rollout is None:
            return
        if not report.accepted:
            if (report.fencing_token, report.step) > (term.fencing_token, rollout.plan.step):
                # The acceptors have promised tokens that this holder never saw: it requests a term with a higher one.
                self.leases.raise_token(CATALOGUE_LEASE, report.fencing_token)
            return
        if report.fencing_token != term.fencing_token:
            return
        try:
            body = REPORT_DECODER.decode(report.body)
        except msgspec.MsgspecError:
            return
        rollout.receive_report(sender, body.to_report(), self.coordinator.clock.now())

    async def run(self) -> None:
        """Runs the rollout while this front end holds the lease.

        Orders are sent only during a term of the lease and only after their plan is recorded.
        """
        while True:
            self.wake = trio.Event()
            term = self.leases.held_term(CATALOGUE_LEASE)
            if term is not None:
                await self._advance_rollout(term)
            with trio.move_on_after(ORDER_INTERVAL_S):
                await self.wake.wait()

    async def _advance_rollout(self, term: LeaseTerm) -> None:
        self._load_plan(term)
        if self.rollout is None:
            return  # there has been no rollout
        rollout = self.rollout
        present = self.peers.membership.present()
        now = self.coordinator.clock.now()
        # An operator's request changes the plan too, and each change is a step of its own.
        async with self.plan_lock:
            next_plan = rollout.next_plan(present, now)
            if next_plan is not None:
                await self._record_plan(rollout, next_plan)
        if self.leases.held_term(CATALOGUE_LEASE) != term or self.rollout is not rollout:
            return
        body = encode_plan(rollout.plan)
        # During the rollout all front ends report; after its end only those that have not confirmed it, or were absent.
        fronts_to_order = (
            rollout.unconfirmed_fronts(present, now) if rollout.plan.stage in FINAL_STAGES else present
        )
        for name in fronts_to_order:
            self.leases.send_order(name, Order(CATALOGUE_LEASE, term.fencing_token, rollout.plan.step, body))

    def _load_plan(self, term: LeaseTerm) -> None:
        """Continues the rollout whose plan the previous holder recorded."""
        recorded_plan = self.leases.recorded_note(CATALOGUE_LEASE)
        if self.rollout is not None or not recorded_plan:
            return
        try:
            plan = decode_plan(recorded_plan)
        except ValueError as fault:
            self.log.error("recorded roll-out plan unreadable", why=str(fault))
            return
        self.rollout = Rollout(plan)
        self.log.info(
            "roll-out resumed",
            roll_out=plan.number,
            stage=plan.stage.name.lower(),
            term=term.fencing_token,
        )

    async def _record_plan(self, rollout: Rollout, next_plan: RolloutPlan) -> bool:
        """Records a plan at the acceptors, then puts it in force; returns False if the term ended first."""
        if not await self.leases.record_note(CATALOGUE_LEASE, encode_plan(next_plan)):
            return False
        rollout.set_recorded_plan(next_plan)
        self.log.info(
            "roll-out",
            roll_out=next_plan.number,
            stage=next_plan.stage.name.lower(),
            part=next_plan.target_share,
            step=next_plan.step,
            digest=next_plan.digest,
            reason=next_plan.end_reason,
        )
        return True

    # Operators' requests.

    async def submit(
        self, text: str, base_digest: str, watch_time: int, force: bool, change_reason: str
    ) -> str:
        """Starts a rollout of a catalogue; returns "" once its plan is recorded, else why not.

        `watch_time` in ns. Raises the parser's error if the text is invalid.
        """
        content = await trio.to_thread.run_sync(read_catalogue, text)
        formatted_text = format_catalogue(content.titles.items(), content.others)
        digest = text_digest(formatted_text)
        self.participant.cache_text(digest, formatted_text)
        return await self._send_request(
            RolloutRequest(digest, base_digest or EMPTY_DIGEST, watch_time, force, change_reason)
        )

    async def roll_back(self, reason: str) -> str:
        """Rolls back the current or last rollout; returns "" once that is recorded, else why not."""
        return await self._send_request(RolloutRequest("", "", 0, False, reason))

    async def _send_request(self, request: RolloutRequest) -> str:
        """Carries a request out here, or sends it to the lease holder until that replies."""
        key = request.digest or ROLLBACK_KEY
        self.request_replies.pop(key, None)
        self.pending_requests.add(key)
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            while key not in self.request_replies:
                if self.leases.held_term(CATALOGUE_LEASE) is not None:
                    self.request_replies[key] = await self._start_request(
                        request, self.peers.membership.own_update.name
                    )
                    break
                self.leases.request_token_floor(CATALOGUE_LEASE)  # the acceptors' answers name the holder
                if term := self.leases.current_term(CATALOGUE_LEASE):
                    self.leases.send_order(
                        term.holder, Order(REQUEST_ORDER, term.fencing_token, 0, ENCODER.encode(request))
                    )
                await trio.sleep(REQUEST_INTERVAL_S)
        self.pending_requests.discard(key)
        return self.request_replies.pop(
            key, "nobody owns the duty at present: see `fleet owners`, and try again"
        )

    async def _handle_request(self, received: ReceivedLeaseMessage, order: Order) -> OrderReport | None:
        """Handles an operator's request that another front end has forwarded; None if it is invalid or misdirected."""
        if self.leases.held_term(CATALOGUE_LEASE) is None:
            return None
        try:
            request = decode_request(order.body)
        except ValueError:
            return None
        rejection = await self._start_request(request, received.sender)
        return OrderReport(
            REQUEST_REPLY,
            order.fencing_token,
            0,
            not rejection,
            f"{request.digest or ROLLBACK_KEY} {rejection}".encode()[:MAX_REPLY_OCTETS],
        )

    def _handle_reply(self, sender: str, report: OrderReport) -> None:
        key, _, rejection = report.body.decode("utf-8", "replace").partition(" ")
        # The holder may repeat its reply after the operator has been answered.
        if key in self.pending_requests:
            self.request_replies[key] = rejection

    async def _start_request(self, request: RolloutRequest, sender: str) -> str:
        """Starts a rollout or rolls one back; returns why not, or "". A repeated request gets the same answer."""
        if request.digest:  # outside the lock: the fetch may take long
            await self.participant.fetch_text(request.digest, sender)
        async with self.plan_lock:
            term = self.leases.held_term(CATALOGUE_LEASE)
            if term is None:
                return TERM_ENDED
            self._load_plan(term)
            if request.digest:
                return await self._start_rollout(request, sender)
            return await self._start_rollback(request.change_reason or "by hand")

    async def _start_rollback(self, reason: str) -> str:
        rollout = self.rollout
        if rollout is None:
            return "there is no roll-out"
        next_plan = rollout.roll_back(reason)
        if next_plan is None or await self._record_plan(rollout, next_plan):
            return ""  # rolled back already, or from now on
        return TERM_ENDED

    async def _start_rollout(self, request: RolloutRequest, sender: str) -> str:
        last_plan = self.rollout.plan if self.rollout is not None else None
        if (
            last_plan is not None
            and last_plan.digest == request.digest
            and last_plan.stage not in ROLLED_BACK_STAGES
        ):
            return ""
        plan = new_plan(
            last_plan,
            request.digest,
            request.base_digest,
            request.watch_time,
            request.force,
            request.change_reason,
        )
        if isinstance(plan, str):
            return plan
        if not self.participant.has_text(request.digest):
            return f"its text could not be fetched from {sender}"
        rollout = Rollout(plan)
        if not await self._record_plan(rollout, plan):
            return TERM_ENDED
        self.rollout = rollout
        self.wake.set()
        return ""

    # Status.

    def status(self) -> dict[str, object]:
        """The last rollout as this front end knows it, for operators; the keys do not change."""
        rollout = self.rollout
        plan = rollout.plan if rollout is not None else self.participant.ordered_plan
        term = self.leases.current_term(CATALOGUE_LEASE)
        fence = self.participant.fence
        status: dict[str, object] = {
            "owner": term.holder if term else None,
            "number": term.fencing_token if term else 0,
            "in_force": self.participant.active_digest,
            "turned_away": fence.rejected_count,
            "fence": list(fence.highest_seen.get(CATALOGUE_LEASE, (0, 0))),
        }
        if plan is not None:
            status["roll_out"] = _plan_status(plan)
        if rollout is not None:
            status["waits_for"] = rollout.unconfirmed_fronts(
                self.peers.membership.present(), self.coordinator.clock.now()
            )[:MAX_LISTED_FRONTS]
        return status


def _plan_status(plan: RolloutPlan) -> dict[str, object]:
    return {
        "number": plan.number,
        "digest": plan.digest,
        "base": plan.base_digest,
        "why": plan.change_reason,
        "stage": plan.stage.name.lower(),
        "part": plan.target_share,
        "step": plan.step,
        "reason": plan.end_reason,
    }
