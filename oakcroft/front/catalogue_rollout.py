"""Staged roll-outs of the catalogue over the fleet, on one front end.

Each front end carries out orders; the one that holds the catalogue lease also runs the roll-out and sends the orders. The
decisions are in decisions/fleet: rollout (when to advance and when to roll back) and lease (`Fence`: whose orders are
valid). One order is handled at a time, and it takes effect only after its number and step are in this front end's state
file, so that an older order that arrives late is recognised, also after a restart. Catalogue texts are fetched by digest
from a front end that has them.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import replace

import msgspec
import structlog
import trio

from oakcroft.catalogue.text import CatalogueError, text_digest, read_catalogue, format_catalogue
from oakcroft.decisions.fleet.rollout import (
    FINAL_STAGES,
    ROLLOUT_SHARES,
    RolloutPlan,
    FrontReport,
    Rollout,
    RolloutStage,
    new_plan,
)
from oakcroft.decisions.fleet.lease import MAX_NOTE_OCTETS, Fence, LeaseTerm
from oakcroft.decisions.routing.catalogue import CatalogueVerdict, is_in_share
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.front.catalogue_versions import CatalogueVersions
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.peerwire.lease_codec import ReceivedLeaseMessage
from oakcroft.peerwire.lease_wire import Order, OrderReport
from oakcroft.store.file import NamedValue

CATALOGUE_LEASE = "catalogue"
# A named value in the state file: number and step of the last order that took effect, by lease name.
FENCE_FACT = "fence"
ORDER_INTERVAL_S = 0.5  # between orders to one front end, until it reports the wanted state
MAX_CACHED_TEXTS = 3  # room for the version being rolled out and earlier ones
SUBMIT_TIMEOUT_S = 12.0


class PlanMessage(msgspec.Struct, array_like=True, frozen=True):
    """A roll-out plan as it is recorded and sent with each order.

    Encoded by position; stages are encoded by their numbers, which must not change between releases.
    """

    number: int
    digest: str
    base_digest: str
    stage: RolloutStage
    step: int
    share_index: int
    watch_time: int
    force: bool
    change_reason: str
    end_reason: str

    def to_plan(self) -> RolloutPlan:
        """The decoded plan, not yet validated."""
        return RolloutPlan(
            self.number,
            self.digest,
            self.base_digest,
            self.stage,
            self.step,
            self.share_index,
            self.watch_time,
            self.force,
            self.change_reason,
            self.end_reason,
        )


class RolloutRequest(msgspec.Struct, array_like=True, frozen=True):
    """An operator's request, forwarded to the lease owner. Encoded by position.

    Starts a roll-out of the version with this digest; an empty digest rolls the current roll-out back.
    """

    digest: str
    base_digest: str
    watch_time: int
    force: bool
    change_reason: str


class ReportBody(msgspec.Struct, array_like=True, frozen=True):
    """What a front end reports to the lease owner after an order. Encoded by position."""

    step: int
    has_text: bool
    active_digest: str
    is_in_share: bool
    refused: str
    answers: int
    failures: int
    has_no_catalogue: bool = False


ENCODER = msgspec.msgpack.Encoder()
DIGEST_PATTERN = re.compile("[0-9a-f]{24}")
PLAN_DECODER = msgspec.msgpack.Decoder(PlanMessage)
REQUEST_DECODER = msgspec.msgpack.Decoder(RolloutRequest)
REPORT_DECODER = msgspec.msgpack.Decoder(ReportBody)
FENCE_DECODER = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])
# Lease names on the wire: an operator's request on its way to the owner, and the owner's reply.
REQUEST_ORDER = "submit"
REQUEST_REPLY = "submitted"


def encode_plan(plan: RolloutPlan) -> bytes:
    """Encodes a plan; the free-text reasons are shortened until it fits into a lease note."""
    change_reason = plan.change_reason
    end_reason = plan.end_reason
    while True:
        encoded = ENCODER.encode(
            PlanMessage(
                plan.number,
                plan.digest,
                plan.base_digest,
                plan.stage,
                plan.step,
                plan.share_index,
                plan.watch_time,
                plan.force,
                change_reason,
                end_reason,
            )
        )
        if len(encoded) <= MAX_NOTE_OCTETS or not (change_reason or end_reason):
            return encoded
        change_reason = change_reason[: len(change_reason) // 2]
        end_reason = end_reason[: max(0, len(end_reason) - 10)]


def decode_plan(body: bytes) -> RolloutPlan:
    """Decodes a recorded or received plan.

    Raises ValueError if it cannot be decoded, or if a digest or number in it is invalid.
    """
    plan = PLAN_DECODER.decode(body).to_plan()
    if not (DIGEST_PATTERN.fullmatch(plan.digest) and DIGEST_PATTERN.fullmatch(plan.base_digest)):
        raise ValueError("digests must be 24 hexadecimal digits")
    if not 0 <= plan.share_index < len(ROLLOUT_SHARES) or plan.step < 1 or plan.watch_time < 0:
        raise ValueError("share index, step or watch time is out of range")
    return plan


def rejection_reason(verdict: CatalogueVerdict, reasons: list[str]) -> str:
    """Why a submitted version was not activated; "" if it is active."""
    return (
        ""
        if verdict in (CatalogueVerdict.TAKEN, CatalogueVerdict.SAME)
        else f"{verdict.value}: {'; '.join(reasons)}"
    )


class CatalogueRollout:
    """One front end's part in roll-outs: carries out orders, and runs the roll-out while it holds the lease."""

    def __init__(
        self,
        coordinator: SessionCoordinator,
        catalogues: CatalogueVersions,
        peers: PeerEndpoint,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Registers the handlers of orders and reports with `peers`, and asks for the catalogue lease."""
        assert peers.leases is not None
        self.coordinator = coordinator
        self.catalogues = catalogues
        self.peers = peers
        self.leases = peers.leases
        self.log = log
        stored_fence = (
            coordinator.durable_state.store.named_values.get(FENCE_FACT)
            if coordinator.durable_state is not None
            else None
        )
        try:
            self.fence = Fence(FENCE_DECODER.decode(stored_fence) if stored_fence else None)
        except msgspec.MsgspecError:
            self.fence = Fence()
            log.error("stored fence unreadable", why="orders wait for an answer of the lease acceptors")
        # A state file that may lack its last writes cannot reject old orders; the lease acceptors then tell the lowest
        # valid number.
        self.is_fence_complete = (
            coordinator.durable_state is not None
            and coordinator.durable_state.store.was_complete
            and stored_fence is not None
        )
        self.cached_texts: dict[str, str] = {}
        self.order_lock = trio.Lock()
        self.ordered_plan: RolloutPlan | None = None  # from the last order
        # Counts of final answers when the current step began here.
        self.step_start_answers = Counter[FinalAnswer]()
        self.rollout: Rollout | None = None  # while this front end holds the lease
        self.request_replies: dict[str, str] = {}  # the owner's replies to forwarded requests, by request key
        self.pending_requests: set[str] = set()  # keys of requests whose reply is awaited
        self.wake = trio.Event()
        self.plan_lock = trio.Lock()
        leases = self.leases
        leases.become_candidate(CATALOGUE_LEASE)
        leases.order_handlers[CATALOGUE_LEASE] = self._handle_order
        leases.report_handlers[CATALOGUE_LEASE] = self._handle_report
        leases.order_handlers[REQUEST_ORDER] = self._handle_request
        leases.report_handlers[REQUEST_REPLY] = self._handle_reply
        leases.holder_handlers[CATALOGUE_LEASE] = self._owner_changed
        leases.find_text = self._find_text

    # Orders.

    async def _handle_order(self, received: ReceivedLeaseMessage, order: Order) -> OrderReport | None:
        """Handles one order: records it, then carries it out and reports.

        An order older than the last recorded one is rejected. None, which sends no report, if the order is invalid or
        its number cannot be confirmed yet.
        """
        try:
            plan = decode_plan(order.body)
        except ValueError:
            return None
        if plan.step != order.step:
            return None
        async with self.order_lock:
            # Guards against a number that no acceptor has promised, and, if this front end's state file may lack its last
            # writes, against a number that was once the highest: the acceptors tell the highest number. The owner repeats
            # the order.
            if (
                not self.is_fence_complete
                or order.fencing_token > self.fence.highest_seen.get(CATALOGUE_LEASE, (0, 0))[0]
            ):
                promised_number = self.leases.token_floor(CATALOGUE_LEASE)
                if promised_number is None or promised_number < order.fencing_token:
                    self.leases.request_token_floor(CATALOGUE_LEASE)
                    return None
                if not self.is_fence_complete:
                    self.fence.record(CATALOGUE_LEASE, promised_number, 0)
                    self.is_fence_complete = True
            if not self.fence.admits(CATALOGUE_LEASE, order.fencing_token, order.step):
                number, step = self.fence.highest_seen[CATALOGUE_LEASE]
                self.log.warning(
                    "late order",
                    sender=received.sender,
                    order=[order.fencing_token, order.step],
                    stands=[number, step],
                )
                return OrderReport(CATALOGUE_LEASE, number, step, False, b"")
            is_new = False
            if self.fence.highest_seen.get(CATALOGUE_LEASE) != (order.fencing_token, order.step):
                if not await self._record_fence(order.fencing_token, order.step):
                    return self._make_report(plan, order, "its state file does not take the order")
                self.fence.record(CATALOGUE_LEASE, order.fencing_token, order.step)
                if self.ordered_plan is None or self.ordered_plan.step != plan.step:
                    self.step_start_answers = Counter(self.coordinator.answer_counts)
                self.ordered_plan = plan
                is_new = True
            rejection = await self._apply_plan(plan, received.sender)
            if is_new:
                self.log.info(
                    "order",
                    duty=CATALOGUE_LEASE,
                    number=order.fencing_token,
                    step=order.step,
                    stage=plan.stage.name.lower(),
                    in_force=self.active_digest,
                    refused=rejection,
                    sender=received.sender,
                )
            return self._make_report(plan, order, rejection)

    async def _record_fence(self, number: int, step: int) -> bool:
        if self.coordinator.durable_state is None:
            return False
        highest_seen = {**self.fence.highest_seen, CATALOGUE_LEASE: (number, step)}
        return await self.coordinator.durable_state.store.write_durably(
            NamedValue(FENCE_FACT, ENCODER.encode(highest_seen))
        )

    def _make_report(self, plan: RolloutPlan, order: Order, rejection: str) -> OrderReport:
        answer_counts = self.coordinator.answer_counts - self.step_start_answers
        failures = answer_counts[FinalAnswer.REJECTED] + answer_counts[FinalAnswer.ABORTED]
        terms = self.coordinator.site.terms
        body = ReportBody(
            plan.step,
            plan.digest in self.cached_texts or plan.digest == self.active_digest,
            self.active_digest,
            is_in_share(terms.front_index, terms.front_count, int(plan.digest, 16), plan.target_share),
            rejection[:120],
            answer_counts[FinalAnswer.PLAYS] + failures,
            failures,
            self.active_digest == EMPTY_DIGEST and plan.base_digest != EMPTY_DIGEST,
        )
        return OrderReport(CATALOGUE_LEASE, order.fencing_token, order.step, True, ENCODER.encode(body))

    @property
    def active_digest(self) -> str:
        """The digest of the active catalogue, or of the empty catalogue if there is none."""
        return self.coordinator.catalogue.digest or EMPTY_DIGEST

    def _find_text(self, digest: str) -> bytes | None:
        """The catalogue text with this digest, from the cache or the kept versions; None if it is in neither."""
        text = self.cached_texts.get(digest)
        if text is None:
            numbers = [
                version.number for version in self.catalogues.history.versions if version.digest == digest
            ]
            text = self.catalogues.texts_by_version.get(numbers[-1]) if numbers else None
        return None if text is None else text.encode()

    async def _apply_plan(self, plan: RolloutPlan, sender: str) -> str:
        """Brings this front end to the state that a plan wants; returns why it cannot, or ""."""
        if (
            self.active_digest == EMPTY_DIGEST
            and plan.base_digest != EMPTY_DIGEST
            and plan.stage is not RolloutStage.DONE
        ):
            # This front end has lost its catalogue with its state file, or is new: it activates the base version, which
            # all others have.
            base_plan = replace(plan, digest=plan.base_digest, base_digest=EMPTY_DIGEST)
            if rejection := await self._fetch_text(base_plan, sender) or await self._activate(
                plan.base_digest, base_plan
            ):
                return rejection
        if plan.stage is RolloutStage.HANDED:
            return await self._fetch_text(plan, sender)
        if plan.stage in (RolloutStage.BACK, RolloutStage.STOPPED):
            return await self._roll_back(plan)
        if self.active_digest == plan.digest:
            return ""
        terms = self.coordinator.site.terms
        if not is_in_share(terms.front_index, terms.front_count, int(plan.digest, 16), plan.target_share):
            return ""
        if rejection := await self._fetch_text(plan, sender):
            return rejection
        return await self._activate(plan.digest, plan)

    async def _fetch_text(self, plan: RolloutPlan, sender: str) -> str:
        """Fetches the text of a version from the sender of the order or from two other front ends.

        Returns "" whether or not it was found; the report then tells that the text is missing.
        """
        if plan.digest in self.cached_texts or plan.digest == self.active_digest:
            return ""
        others = [
            front_name
            for front_name in self.peers.membership.present()
            if front_name not in (sender, self.peers.membership.own_update.name)
        ]
        for name in (sender, *others[:2]):
            encoded_text = await self.peers.fetch(name, plan.digest)
            if encoded_text is None:
                continue
            try:
                text = encoded_text.decode()
                content = await trio.to_thread.run_sync(read_catalogue, text)
            except (UnicodeDecodeError, CatalogueError):
                continue
            if text_digest(format_catalogue(content.titles.items(), content.others)) == plan.digest:
                self.cache_text(plan.digest, text)
                return ""
        return ""  # not found: the report says so, and the owner repeats the order

    def cache_text(self, digest: str, text: str) -> None:
        """Caches a text for other front ends to fetch; evicts the oldest if the cache is full."""
        self.cached_texts[digest] = text
        while len(self.cached_texts) > MAX_CACHED_TEXTS:
            del self.cached_texts[next(iter(self.cached_texts))]

    async def _activate(self, digest: str, plan: RolloutPlan) -> str:
        if digest not in self.cached_texts:
            return ""
        # After the roll-out is done, a front end that was absent activates the version whatever its own base is.
        base_digest = (
            None if plan.base_digest == EMPTY_DIGEST or plan.stage is RolloutStage.DONE else plan.base_digest
        )
        reason = plan.change_reason or f"roll-out {plan.number}"
        verdict, reasons = await self.catalogues.replace(
            self.cached_texts[digest], base_digest, plan.force, reason
        )
        return rejection_reason(verdict, reasons)

    async def _roll_back(self, plan: RolloutPlan) -> str:
        """Activates the base version if this front end has activated the one that is rolled back."""
        if self.active_digest != plan.digest:
            return ""
        if plan.base_digest == EMPTY_DIGEST:
            reason = f"roll-out {plan.number} taken back"
            verdict, reasons = await self.catalogues.replace(format_catalogue((), True), None, True, reason)
        else:
            version_numbers = [
                version.number
                for version in self.catalogues.history.versions
                if version.digest == plan.base_digest
            ]
            if not version_numbers:
                return "it does not keep the version before"
            result = await self.catalogues.roll_back(version_numbers[-1], None, True)
            if result is None:
                return "it does not keep the version before"
            verdict, reasons = result
        self.log.warning(
            "catalogue rolled back",
            roll_out=plan.number,
            verdict=verdict.name.lower(),
            reason=plan.end_reason,
        )
        return rejection_reason(verdict, reasons)

    # The owner of the lease.

    def _owner_changed(self, new_term: LeaseTerm | None) -> None:
        self.rollout = None
        self.wake.set()

    def _handle_report(self, sender: str, report: OrderReport) -> None:
        term = self.leases.held_term(CATALOGUE_LEASE)
        rollout = self.rollout
        if term is None or rollout is None:
            return
        if not report.accepted:
            if (report.fencing_token, report.step) > (term.fencing_token, rollout.plan.step):
                # The acceptors have promised numbers that this owner never saw: it asks for a term with a higher one.
                self.leases.raise_token(CATALOGUE_LEASE, report.fencing_token)
            return
        if report.fencing_token != term.fencing_token:
            return
        try:
            body = REPORT_DECODER.decode(report.body)
        except msgspec.MsgspecError:
            return
        rollout.receive_report(
            sender,
            FrontReport(
                body.step,
                body.has_text,
                body.active_digest,
                body.is_in_share,
                body.refused,
                body.answers,
                body.failures,
                body.has_no_catalogue,
            ),
            self.coordinator.clock.now(),
        )

    async def run(self) -> None:
        """Runs the roll-out while this front end holds the lease.

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
            return  # there has been no roll-out
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
        # During the roll-out all front ends report; after its end only those that have not confirmed it, or were absent.
        fronts_to_order = (
            rollout.unconfirmed_fronts(present, now) if rollout.plan.stage in FINAL_STAGES else present
        )
        for name in fronts_to_order:
            self.leases.send_order(name, Order(CATALOGUE_LEASE, term.fencing_token, rollout.plan.step, body))

    def _load_plan(self, term: LeaseTerm) -> None:
        """Continues the roll-out whose plan the previous owner recorded."""
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

    async def _record_plan(self, rollout: Rollout, new_plan: RolloutPlan) -> bool:
        if not await self.leases.record_note(CATALOGUE_LEASE, encode_plan(new_plan)):
            return False
        rollout.set_recorded_plan(new_plan)
        self.log.info(
            "roll-out",
            roll_out=new_plan.number,
            stage=new_plan.stage.name.lower(),
            part=new_plan.target_share,
            step=new_plan.step,
            digest=new_plan.digest,
            reason=new_plan.end_reason,
        )
        return True

    # Operators' requests.

    async def submit(
        self, text: str, base_digest: str, watch_time: int, force: bool, change_reason: str
    ) -> str:
        """Starts a roll-out of a catalogue; returns "" once its plan is recorded, else why not.

        `watch_time` in ns. Raises the parser's error if the text is invalid.
        """
        content = await trio.to_thread.run_sync(read_catalogue, text)
        formatted_text = format_catalogue(content.titles.items(), content.others)
        digest = text_digest(formatted_text)
        self.cache_text(digest, formatted_text)
        return await self._send_request(
            RolloutRequest(digest, base_digest or EMPTY_DIGEST, watch_time, force, change_reason)
        )

    async def roll_back(self, reason: str) -> str:
        """Rolls back the current or last roll-out; returns "" once that is recorded, else why not."""
        return await self._send_request(RolloutRequest("", "", 0, False, reason))

    async def _send_request(self, request: RolloutRequest) -> str:
        key = request.digest or "back"
        self.request_replies.pop(key, None)
        self.pending_requests.add(key)
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            while key not in self.request_replies:
                if self.leases.held_term(CATALOGUE_LEASE) is not None:
                    self.request_replies[key] = await self._start_request(
                        request, self.peers.membership.own_update.name
                    )
                    break
                self.leases.request_token_floor(CATALOGUE_LEASE)  # the acceptors' answers name the owner
                if owner := self.leases.current_term(CATALOGUE_LEASE):
                    self.leases.send_order(
                        owner.holder, Order(REQUEST_ORDER, owner.fencing_token, 0, ENCODER.encode(request))
                    )
                await trio.sleep(0.3)
        self.pending_requests.discard(key)
        return self.request_replies.pop(
            key, "nobody owns the duty just now: look at `fleet owners`, and ask again"
        )

    async def _handle_request(self, received: ReceivedLeaseMessage, order: Order) -> OrderReport | None:
        """Handles an operator's request that another front end has forwarded; None if it is invalid or misdirected."""
        if self.leases.held_term(CATALOGUE_LEASE) is None:
            return None
        try:
            request = REQUEST_DECODER.decode(order.body)
        except msgspec.MsgspecError:
            return None
        if request.digest and not (
            DIGEST_PATTERN.fullmatch(request.digest)
            and DIGEST_PATTERN.fullmatch(request.base_digest)
            and request.watch_time >= 0
        ):
            return None
        rejection = await self._start_request(request, received.sender)
        return OrderReport(
            REQUEST_REPLY,
            order.fencing_token,
            0,
            not rejection,
            f"{request.digest or 'back'} {rejection}".encode()[:300],
        )

    def _handle_reply(self, sender: str, report: OrderReport) -> None:
        key, _, rejection = report.body.decode("utf-8", "replace").partition(" ")
        # The owner may repeat its reply after the operator has been answered.
        if key in self.pending_requests:
            self.request_replies[key] = rejection

    async def _start_request(self, request: RolloutRequest, sender: str) -> str:
        """Starts a roll-out or rolls one back; returns why not, or "". A repeated request gets the same answer."""
        if request.digest:  # outside the lock: the fetch may take long
            await self._fetch_text(
                RolloutPlan(0, request.digest, request.base_digest, RolloutStage.HANDED, 0), sender
            )
        async with self.plan_lock:
            term = self.leases.held_term(CATALOGUE_LEASE)
            if term is None:
                return "the term ended meanwhile: ask again"
            self._load_plan(term)
            rollout = self.rollout
            last_plan = rollout.plan if rollout is not None else None
            if not request.digest:
                rolled_back_plan = (
                    rollout.roll_back(request.change_reason or "by hand") if rollout is not None else None
                )
                if rollout is None or rolled_back_plan is None:
                    was_rolled_back = last_plan is not None and last_plan.stage in (
                        RolloutStage.BACK,
                        RolloutStage.STOPPED,
                    )
                    return "" if was_rolled_back else "there is no roll-out"
                return (
                    ""
                    if await self._record_plan(rollout, rolled_back_plan)
                    else "the term ended meanwhile: ask again"
                )
            if (
                last_plan is not None
                and last_plan.digest == request.digest
                and last_plan.stage not in (RolloutStage.BACK, RolloutStage.STOPPED)
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
            if request.digest not in self.cached_texts and request.digest != self.active_digest:
                return f"its text could not be had from {sender}"
            new_rollout = Rollout(plan)
            if not await self._record_plan(new_rollout, plan):
                return "the term ended meanwhile: ask again"
            self.rollout = new_rollout
            self.wake.set()
            return ""

    def status(self) -> dict[str, object]:
        """The last roll-out as this front end knows it, for operators."""
        rollout = self.rollout
        plan = rollout.plan if rollout is not None else self.ordered_plan
        owner = self.leases.current_term(CATALOGUE_LEASE)
        told: dict[str, object] = {
            "owner": owner.holder if owner else None,
            "number": owner.fencing_token if owner else 0,
            "in_force": self.active_digest,
            "turned_away": self.fence.rejected_count,
            "fence": list(self.fence.highest_seen.get(CATALOGUE_LEASE, (0, 0))),
        }
        if plan is not None:
            told["roll_out"] = {
                "number": plan.number,
                "digest": plan.digest,
                "base": plan.base_digest,
                "why": plan.change_reason,
                "stage": plan.stage.name.lower(),
                "part": plan.target_share,
                "step": plan.step,
                "reason": plan.end_reason,
            }
        if rollout is not None:
            told["waits_for"] = rollout.unconfirmed_fronts(
                self.peers.membership.present(), self.coordinator.clock.now()
            )[:20]
        return told


EMPTY_DIGEST = text_digest(format_catalogue((), True))
