"""One front end's part in catalogue rollouts: carries out the lease holder's orders.

One order is handled at a time, and it takes effect only after its fencing token and step are in this front end's state
file, so that an older order that arrives late is recognised, also after a restart. Catalogue texts are fetched by digest
from a front end that has them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import msgspec
import structlog
import trio

from oakcroft.catalogue.syntax import CatalogueError
from oakcroft.catalogue.text import format_catalogue, read_catalogue, text_digest
from oakcroft.decisions.fleet.lease import Fence
from oakcroft.decisions.fleet.rollout import RolloutPlan, RolloutStage
from oakcroft.decisions.routing.catalogue import CatalogueVerdict, is_in_share
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.front.catalogue_versions import CatalogueVersions
from oakcroft.front.rollout_messages import CATALOGUE_LEASE, EMPTY_DIGEST, ENCODER, ReportBody, decode_plan
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.peers.leases import LeaseHost
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.peerwire.lease_codec import ReceivedLeaseMessage
from oakcroft.peerwire.lease_wire import Order, OrderReport
from oakcroft.store.file import NamedValue

FENCE_NAME = "fence"
"""Named value in the state file: fencing token and step of the last order that took effect, by lease name."""

MAX_CACHED_TEXTS = 3
"""Room for the version being rolled out and earlier ones."""

MAX_OTHER_SOURCES = 2
"""Front ends that are asked for a text beside the sender of the order."""

MAX_REJECTION_LENGTH = 120
"""Characters of a rejection in a report."""

FENCE_DECODER = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])


def rejection_reason(verdict: CatalogueVerdict, reasons: list[str]) -> str:
    """Returns why a submitted version was not activated; "" if it is active."""
    if verdict in (CatalogueVerdict.TAKEN, CatalogueVerdict.SAME):
        return ""
    return f"{verdict.value}: {'; '.join(reasons)}"


class RolloutParticipant:
    """Carries out the orders of a rollout on one front end and reports on them."""

    def __init__(
        self,
        coordinator: SessionCoordinator,
        catalogues: CatalogueVersions,
        peers: PeerEndpoint,
        leases: LeaseHost,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Loads the fence from the state file."""
        self.coordinator = coordinator
        self.catalogues = catalogues
        self.peers = peers
        self.leases = leases
        self.log = log
        stored_fence = (
            coordinator.durable_state.store.named_values.get(FENCE_NAME)
            if coordinator.durable_state is not None
            else None
        )
        self.fence = self._load_fence(stored_fence)
        # A state file that may lack its last writes cannot reject old orders; the lease acceptors then tell the lowest
        # valid token.
        self.is_fence_complete = (
            coordinator.durable_state is not None
            and coordinator.durable_state.store.was_complete
            and stored_fence is not None
        )
        self.cached_texts: dict[str, str] = {}  # by digest
        self.order_lock = trio.Lock()
        self.ordered_plan: RolloutPlan | None = None  # from the last order
        self.step_start_answers = Counter[
            FinalAnswer
        ]()  # counts of final answers when the current step began here

    def _load_fence(self, stored_fence: bytes | None) -> Fence:
        try:
            return Fence(FENCE_DECODER.decode(stored_fence) if stored_fence else None)
        except msgspec.MsgspecError:
            self.log.error("stored fence unreadable", why="orders wait for an answer of the lease acceptors")
            return Fence()

    # Orders.

    async def handle_order(self, received: ReceivedLeaseMessage, order: Order) -> OrderReport | None:
        """Handles one order: records it, then carries it out and reports.

        An order older than the last recorded one is rejected. Returns None, so that no report is sent, if the order is
        invalid or its fencing token cannot be confirmed yet.
        """
        try:
            plan = decode_plan(order.body)
        except ValueError:
            return None
        if plan.step != order.step:
            return None
        async with self.order_lock:
            if not self._is_token_confirmed(order):
                return None
            if not self.fence.admits(CATALOGUE_LEASE, order.fencing_token, order.step):
                return self._report_late_order(received.sender, order)
            is_new = self.fence.highest_seen.get(CATALOGUE_LEASE) != (order.fencing_token, order.step)
            if is_new and not await self._record_order(plan, order):
                return self._make_report(plan, order, "the order could not be written to its state file")
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

    def _is_token_confirmed(self, order: Order) -> bool:
        """Returns whether the order's fencing token is known to have been granted; asks the acceptors if not.

        Guards against a token that no acceptor has promised, and, if this front end's state file may lack its last
        writes, against a token that was once the highest. The lease holder repeats the order.
        """
        highest_seen, _ = self.fence.highest_seen.get(CATALOGUE_LEASE, (0, 0))
        if self.is_fence_complete and order.fencing_token <= highest_seen:
            return True
        token_floor = self.leases.token_floor(CATALOGUE_LEASE)
        if token_floor is None or token_floor < order.fencing_token:
            self.leases.request_token_floor(CATALOGUE_LEASE)
            return False
        if not self.is_fence_complete:
            self.fence.record(CATALOGUE_LEASE, token_floor, 0)
            self.is_fence_complete = True
        return True

    def _report_late_order(self, sender: str, order: Order) -> OrderReport:
        """Returns the report that rejects an order older than the one in force."""
        fencing_token, step = self.fence.highest_seen[CATALOGUE_LEASE]
        self.log.warning(
            "late order",
            sender=sender,
            order=[order.fencing_token, order.step],
            stands=[fencing_token, step],
        )
        return OrderReport(CATALOGUE_LEASE, fencing_token, step, False, b"")

    async def _record_order(self, plan: RolloutPlan, order: Order) -> bool:
        """Records a new order durably, then puts it in force; returns False if it could not be written."""
        if not await self._write_fence(order.fencing_token, order.step):
            return False
        self.fence.record(CATALOGUE_LEASE, order.fencing_token, order.step)
        if self.ordered_plan is None or self.ordered_plan.step != plan.step:
            self.step_start_answers = Counter(self.coordinator.answer_counts)
        self.ordered_plan = plan
        return True

    async def _write_fence(self, fencing_token: int, step: int) -> bool:
        if self.coordinator.durable_state is None:
            return False
        highest_seen = {**self.fence.highest_seen, CATALOGUE_LEASE: (fencing_token, step)}
        return await self.coordinator.durable_state.store.write_durably(
            NamedValue(FENCE_NAME, ENCODER.encode(highest_seen))
        )

    def _make_report(self, plan: RolloutPlan, order: Order, rejection: str) -> OrderReport:
        answer_counts = self.coordinator.answer_counts - self.step_start_answers
        failures = answer_counts[FinalAnswer.REJECTED] + answer_counts[FinalAnswer.ABORTED]
        body = ReportBody(
            plan.step,
            self.has_text(plan.digest),
            self.active_digest,
            self._is_in_share(plan),
            rejection[:MAX_REJECTION_LENGTH],
            answer_counts[FinalAnswer.PLAYS] + failures,
            failures,
            self._has_no_catalogue(plan),
        )
        return OrderReport(CATALOGUE_LEASE, order.fencing_token, order.step, True, ENCODER.encode(body))

    # State of this front end.

    @property
    def active_digest(self) -> str:
        """The digest of the active catalogue, or of the empty catalogue if there is none."""
        return self.coordinator.catalogue.digest or EMPTY_DIGEST

    def has_text(self, digest: str) -> bool:
        """Returns whether a version's text is cached or active here."""
        return digest in self.cached_texts or digest == self.active_digest

    def _has_no_catalogue(self, plan: RolloutPlan) -> bool:
        """Returns whether this front end has no catalogue although there is a version before the plan's."""
        return self.active_digest == EMPTY_DIGEST and plan.base_digest != EMPTY_DIGEST

    def _is_in_share(self, plan: RolloutPlan) -> bool:
        terms = self.coordinator.site.terms
        return is_in_share(terms.front_index, terms.front_count, int(plan.digest, 16), plan.target_share)

    def _kept_version(self, digest: str) -> int | None:
        """Returns the number of the last kept version with a digest; None if none is kept."""
        numbers = [version.number for version in self.catalogues.history.versions if version.digest == digest]
        return numbers[-1] if numbers else None

    # Texts.

    def find_text(self, digest: str) -> bytes | None:
        """Returns the catalogue text with a digest, from the cache or the kept versions; None if it is in neither."""
        text = self.cached_texts.get(digest)
        if text is None:
            number = self._kept_version(digest)
            text = self.catalogues.texts_by_version.get(number) if number is not None else None
        return None if text is None else text.encode()

    def cache_text(self, digest: str, text: str) -> None:
        """Caches a text for other front ends to fetch; evicts the oldest if the cache is full."""
        self.cached_texts[digest] = text
        while len(self.cached_texts) > MAX_CACHED_TEXTS:
            del self.cached_texts[next(iter(self.cached_texts))]

    async def fetch_text(self, digest: str, sender: str) -> None:
        """Fetches the text of a version from the sender of the order or from other front ends.

        If no front end has it, the report on the order says that the text is missing, and the lease holder repeats the
        order.
        """
        if self.has_text(digest):
            return
        others = [
            front_name
            for front_name in self.peers.membership.present()
            if front_name not in (sender, self.peers.membership.own_update.name)
        ]
        for name in (sender, *others[:MAX_OTHER_SOURCES]):
            encoded_text = await self.peers.fetch(name, digest)
            if encoded_text is None:
                continue
            try:
                text = encoded_text.decode()
                content = await trio.to_thread.run_sync(read_catalogue, text)
            except (UnicodeDecodeError, CatalogueError):
                continue
            if text_digest(format_catalogue(content.titles.items(), content.others)) == digest:
                self.cache_text(digest, text)
                return

    # Plans.

    async def _apply_plan(self, plan: RolloutPlan, sender: str) -> str:
        """Brings this front end to the state that a plan wants; returns why it cannot, or ""."""
        if self._has_no_catalogue(plan) and plan.stage is not RolloutStage.DONE:
            # This front end has lost its catalogue with its state file, or is new: it activates the base version, which
            # all others have.
            base_plan = replace(plan, digest=plan.base_digest, base_digest=EMPTY_DIGEST)
            await self.fetch_text(base_plan.digest, sender)
            if rejection := await self._activate(base_plan):
                return rejection
        if plan.stage is RolloutStage.HANDED:
            await self.fetch_text(plan.digest, sender)
            return ""
        if plan.stage in (RolloutStage.BACK, RolloutStage.STOPPED):
            return await self._roll_back(plan)
        if self.active_digest == plan.digest or not self._is_in_share(plan):
            return ""
        await self.fetch_text(plan.digest, sender)
        return await self._activate(plan)

    async def _activate(self, plan: RolloutPlan) -> str:
        """Activates the plan's version if its text is cached; returns why it was refused, or ""."""
        if plan.digest not in self.cached_texts:
            return ""
        # After the rollout is done, a front end that was absent activates the version whatever its own base is.
        base_digest = (
            None if plan.base_digest == EMPTY_DIGEST or plan.stage is RolloutStage.DONE else plan.base_digest
        )
        reason = plan.change_reason or f"roll-out {plan.number}"
        verdict, reasons = await self.catalogues.replace(
            self.cached_texts[plan.digest], base_digest, plan.force, reason
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
            version_number = self._kept_version(plan.base_digest)
            if version_number is None:
                return "it does not have the version before"
            result = await self.catalogues.roll_back(version_number, None, True)
            if result is None:
                return "it does not have the version before"
            verdict, reasons = result
        self.log.warning(
            "catalogue rolled back",
            roll_out=plan.number,
            verdict=verdict.name.lower(),
            reason=plan.end_reason,
        )
        return rejection_reason(verdict, reasons)
