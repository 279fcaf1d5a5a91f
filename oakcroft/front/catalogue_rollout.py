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

from oakcroft.catalogue.text import Unsound, digest as digest_of, read, write
from oakcroft.decisions.fleet.rollout import ENDED, SHARES, Plan, Report, Rollout, Stage, begins
from oakcroft.decisions.fleet.lease import MOST_NOTE, Fence, Term
from oakcroft.decisions.routing.catalogue import Verdict, takes_part
from oakcroft.decisions.sessions.answers import Final
from oakcroft.front.catalogue_versions import Catalogues
from oakcroft.front.session_coordinator import Helm
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.peerwire.lease_codec import ReceivedLeaseMessage
from oakcroft.peerwire.lease_wire import Order, OrderReport
from oakcroft.store.file import Fact

DUTY = "catalogue"
FENCE = "fence"  # a fact in the state file: number and step of the last order that took effect, by lease name
ORDER_EVERY = 0.5  # seconds between orders to one front end, until it reports the wanted state
MOST_TEXTS = 3  # room for the version being rolled out and earlier ones
SUBMIT_WITHIN = 12.0


class PlanWord(msgspec.Struct, array_like=True, frozen=True):
    """A roll-out plan as it is recorded and sent with each order.

    Encoded by position; stages are encoded by their numbers, which must not change between releases.
    """

    number: int
    digest: str
    base: str
    stage: Stage
    step: int
    share: int
    watch: int
    force: bool
    why: str
    reason: str

    def plan(self) -> Plan:
        """The decoded plan, not yet validated."""
        return Plan(self.number, self.digest, self.base, self.stage, self.step, self.share, self.watch, self.force,
                    self.why, self.reason)  # fmt: skip


class SubmitWord(msgspec.Struct, array_like=True, frozen=True):
    """An operator's request, forwarded to the lease owner. Encoded by position.

    Starts a roll-out of the version with this digest; an empty digest rolls the current roll-out back.
    """

    digest: str
    base: str
    watch: int
    force: bool
    why: str


class ReportBody(msgspec.Struct, array_like=True, frozen=True):
    """What a front end reports to the lease owner after an order. Encoded by position."""

    step: int
    holds: bool
    in_force: str
    takes_part: bool
    refused: str
    answers: int
    failures: int
    bare: bool = False


ENCODER = msgspec.msgpack.Encoder()
DIGEST = re.compile("[0-9a-f]{24}")
PLAN = msgspec.msgpack.Decoder(PlanWord)
SUBMIT, REPORT = msgspec.msgpack.Decoder(SubmitWord), msgspec.msgpack.Decoder(ReportBody)
SEEN = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])
SUBMITTED, ACCEPTED = "submit", "submitted"
"""Lease names on the wire for an operator's request on its way to the owner, and for the owner's reply."""


def word_of(plan: Plan) -> bytes:
    """Encodes a plan; the free-text reasons are shortened until it fits into a lease note."""
    why, reason = plan.why, plan.reason
    while True:
        word = ENCODER.encode(PlanWord(plan.number, plan.digest, plan.base, plan.stage, plan.step, plan.share,
                                       plan.watch, plan.force, why, reason))  # fmt: skip
        if len(word) <= MOST_NOTE or not (why or reason):
            return word
        why, reason = why[: len(why) // 2], reason[: max(0, len(reason) - 10)]


def plan_of(body: bytes) -> Plan:
    """Decodes a recorded or received plan.

    Raises ValueError if it cannot be decoded, or if a digest or number in it is invalid.
    """
    plan = PLAN.decode(body).plan()
    if not (DIGEST.fullmatch(plan.digest) and DIGEST.fullmatch(plan.base)):
        raise ValueError("a digest is 24 hexadecimal digits")
    if not 0 <= plan.share < len(SHARES) or plan.step < 1 or plan.watch < 0:
        raise ValueError("a figure is out of range")
    return plan


def why_not(verdict: Verdict, reasons: list[str]) -> str:
    """Why a submitted version was not activated; "" if it is active."""
    return "" if verdict in (Verdict.TAKEN, Verdict.SAME) else f"{verdict.value}: {'; '.join(reasons)}"


class Rolling:
    """One front end's part in roll-outs: carries out orders, and runs the roll-out while it holds the lease."""

    def __init__(
        self,
        helm: Helm,
        catalogues: Catalogues,
        peers: PeerEndpoint,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Registers the handlers of orders and reports with `peers`, and asks for the catalogue lease."""
        assert peers.duties is not None
        self.helm, self.catalogues, self.peers, self.duties, self.log = (
            helm,
            catalogues,
            peers,
            peers.duties,
            log,
        )
        held = helm.memory.store.facts.get(FENCE) if helm.memory is not None else None
        try:
            self.fence = Fence(SEEN.decode(held) if held else None)
        except msgspec.MsgspecError:
            self.fence = Fence()
            log.error("fence unreadable", why="orders wait for what the keepers say")
        # A state file that may lack its last writes cannot reject old orders; the lease acceptors then tell the lowest
        # valid number.
        self.sure = helm.memory is not None and helm.memory.store.had and held is not None
        self.texts: dict[str, str] = {}
        self.turn = trio.Lock()
        self.plan: Plan | None = None  # from the last order
        self.base = Counter[Final]()  # counts of final answers when the current step began here
        self.running: Rollout | None = None  # while this front end holds the lease
        self.accepted: dict[str, str] = {}  # the owner's replies to forwarded requests, by request key
        self.waited: set[str] = set()  # keys of requests whose reply is awaited
        self.wake = trio.Event()
        self.beginning = trio.Lock()
        duties = self.duties
        duties.want(DUTY)
        duties.orders[DUTY] = self._ordered
        duties.reports[DUTY] = self._reported
        duties.orders[SUBMITTED] = self._submitted
        duties.reports[ACCEPTED] = self._answered
        duties.changed[DUTY] = self._changed
        duties.texts = self._held

    # Orders.

    async def _ordered(self, got: ReceivedLeaseMessage, word: Order) -> OrderReport | None:
        """Handles one order: records it, then carries it out and reports.

        An order older than the last recorded one is rejected. None, which sends no report, if the order is invalid or
        its number cannot be confirmed yet.
        """
        try:
            plan = plan_of(word.body)
        except ValueError:
            return None
        if plan.step != word.step:
            return None
        async with self.turn:
            # Guards against a number that no acceptor has promised, and, if this front end's state file may lack its last
            # writes, against a number that was once the highest: the acceptors tell the highest number. The owner repeats
            # the order.
            if not self.sure or word.number > self.fence.seen.get(DUTY, (0, 0))[0]:
                floor = self.duties.floor(DUTY)
                if floor is None or floor < word.number:
                    self.duties.look_for_floor(DUTY)
                    return None
                if not self.sure:
                    self.fence.takes(DUTY, floor, 0)
                    self.sure = True
            if not self.fence.admits(DUTY, word.number, word.step):
                number, step = self.fence.seen[DUTY]
                self.log.warning(
                    "late order", sender=got.sender, order=[word.number, word.step], stands=[number, step]
                )
                return OrderReport(DUTY, number, step, False, b"")
            new = False
            if self.fence.seen.get(DUTY) != (word.number, word.step):
                if not await self._on_record(word.number, word.step):
                    return self._report(plan, word, "its state file does not take the order")
                self.fence.takes(DUTY, word.number, word.step)
                if self.plan is None or self.plan.step != plan.step:
                    self.base = Counter(self.helm.finals)
                self.plan = plan
                new = True
            refused = await self._do(plan, got.sender)
            if new:
                self.log.info("order", duty=DUTY, number=word.number, step=word.step, stage=plan.stage.name.lower(),
                              in_force=self.in_force, refused=refused, sender=got.sender)  # fmt: skip
            return self._report(plan, word, refused)

    async def _on_record(self, number: int, step: int) -> bool:
        if self.helm.memory is None:
            return False
        seen = {**self.fence.seen, DUTY: (number, step)}
        return await self.helm.memory.store.durable(Fact(FENCE, ENCODER.encode(seen)))

    def _report(self, plan: Plan, word: Order, refused: str) -> OrderReport:
        some = self.helm.finals - self.base
        failures = some[Final.REJECTED] + some[Final.ABORTED]
        terms = self.helm.site.terms
        body = ReportBody(
            plan.step, plan.digest in self.texts or plan.digest == self.in_force, self.in_force,
            takes_part(terms.front, terms.fronts, int(plan.digest, 16), plan.part), refused[:120],
            some[Final.PLAYS] + failures, failures, self.in_force == NONE and plan.base != NONE,
        )  # fmt: skip
        return OrderReport(DUTY, word.number, word.step, True, ENCODER.encode(body))

    @property
    def in_force(self) -> str:
        """The digest of the active catalogue, or of the empty catalogue if there is none."""
        return self.helm.catalogue.digest or NONE

    def _held(self, digest: str) -> bytes | None:
        """The catalogue text with this digest, from the cache or the kept versions; None if it is in neither."""
        text = self.texts.get(digest)
        if text is None:
            numbers = [k.number for k in self.catalogues.history.versions if k.digest == digest]
            text = self.catalogues.texts.get(numbers[-1]) if numbers else None
        return None if text is None else text.encode()

    async def _do(self, plan: Plan, sender: str) -> str:
        """Brings this front end to the state that a plan wants; returns why it cannot, or ""."""
        if self.in_force == NONE and plan.base != NONE and plan.stage is not Stage.DONE:
            # This front end has lost its catalogue with its state file, or is new: it activates the base version, which
            # all others have.
            before = replace(plan, digest=plan.base, base=NONE)
            if why := await self._hold(before, sender) or await self._take(plan.base, before):
                return why
        if plan.stage is Stage.HANDED:
            return await self._hold(plan, sender)
        if plan.stage in (Stage.BACK, Stage.STOPPED):
            return await self._go_back(plan)
        if self.in_force == plan.digest:
            return ""
        terms = self.helm.site.terms
        if not takes_part(terms.front, terms.fronts, int(plan.digest, 16), plan.part):
            return ""
        if why := await self._hold(plan, sender):
            return why
        return await self._take(plan.digest, plan)

    async def _hold(self, plan: Plan, sender: str) -> str:
        """Fetches the text of a version from the sender of the order or from two other front ends.

        Returns "" whether or not it was found; the report then tells that the text is missing.
        """
        if plan.digest in self.texts or plan.digest == self.in_force:
            return ""
        others = [
            n for n in self.peers.membership.present() if n not in (sender, self.peers.membership.me.name)
        ]
        for name in (sender, *others[:2]):
            found = await self.peers.fetch(name, plan.digest)
            if found is None:
                continue
            try:
                text = found.decode()
                said = await trio.to_thread.run_sync(read, text)
            except (UnicodeDecodeError, Unsound):
                continue
            if digest_of(write(said.titles.items(), said.others)) == plan.digest:
                self.hold(plan.digest, text)
                return ""
        return ""  # not found: the report says so, and the owner repeats the order

    def hold(self, digest: str, text: str) -> None:
        """Caches a text for other front ends to fetch; evicts the oldest if the cache is full."""
        self.texts[digest] = text
        while len(self.texts) > MOST_TEXTS:
            del self.texts[next(iter(self.texts))]

    async def _take(self, digest: str, plan: Plan) -> str:
        if digest not in self.texts:
            return ""
        # After the roll-out is done, a front end that was absent activates the version whatever its own base is.
        made_from = None if plan.base == NONE or plan.stage is Stage.DONE else plan.base
        reason = plan.why or f"roll-out {plan.number}"
        verdict, why = await self.catalogues.replace(self.texts[digest], made_from, plan.force, reason)
        return why_not(verdict, why)

    async def _go_back(self, plan: Plan) -> str:
        """Activates the base version if this front end has activated the one that is rolled back."""
        if self.in_force != plan.digest:
            return ""
        if plan.base == NONE:
            said = f"roll-out {plan.number} taken back"
            verdict, why = await self.catalogues.replace(write((), True), None, True, said)
        else:
            kept = [k.number for k in self.catalogues.history.versions if k.digest == plan.base]
            if not kept:
                return "it does not keep the version before"
            offer = await self.catalogues.roll_back(kept[-1], None, True)
            if offer is None:
                return "it does not keep the version before"
            verdict, why = offer
        self.log.warning(
            "catalogue taken back", roll_out=plan.number, verdict=verdict.name.lower(), reason=plan.reason
        )
        return why_not(verdict, why)

    # The owner of the lease.

    def _changed(self, term: Term | None) -> None:
        self.running = None
        self.wake.set()

    def _reported(self, sender: str, word: OrderReport) -> None:
        term, running = self.duties.term(DUTY), self.running
        if term is None or running is None:
            return
        if not word.taken:
            if (word.number, word.step) > (term.number, running.plan.step):
                # The acceptors have promised numbers that this owner never saw: it asks for a term with a higher one.
                self.duties.outbid(DUTY, word.number)
            return
        if word.number != term.number:
            return
        try:
            body = REPORT.decode(word.body)
        except msgspec.MsgspecError:
            return
        running.heard(sender, Report(
            body.step, body.holds, body.in_force, body.takes_part, body.refused, body.answers, body.failures, body.bare
        ), self.helm.clock.now())  # fmt: skip

    async def run(self) -> None:
        """Runs the roll-out while this front end holds the lease.

        Orders are sent only during a term of the lease and only after their plan is recorded.
        """
        while True:
            self.wake = trio.Event()
            term = self.duties.term(DUTY)
            if term is not None:
                await self._own(term)
            with trio.move_on_after(ORDER_EVERY):
                await self.wake.wait()

    async def _own(self, term: Term) -> None:
        self._load(term)
        if self.running is None:
            return  # there has been no roll-out
        running, present = self.running, self.peers.membership.present()
        now = self.helm.clock.now()
        # An operator's request changes the plan too, and each change is a step of its own.
        async with self.beginning:
            after = running.next(present, now)
            if after is not None:
                await self._go_on(running, after)
        if self.duties.term(DUTY) != term or self.running is not running:
            return
        body = word_of(running.plan)
        # During the roll-out all front ends report; after its end only those that have not confirmed it, or were absent.
        some = running.unconfirmed(present, now) if running.plan.stage in ENDED else present
        for name in some:
            self.duties.order(name, Order(DUTY, term.number, running.plan.step, body))

    def _load(self, term: Term) -> None:
        """Continues the roll-out whose plan the previous owner recorded."""
        note = self.duties.note(DUTY)
        if self.running is not None or not note:
            return
        try:
            plan = plan_of(note)
        except ValueError as fault:
            self.log.error("plan unreadable", why=str(fault))
            return
        self.running = Rollout(plan)
        self.log.info(
            "roll-out gone on with", roll_out=plan.number, stage=plan.stage.name.lower(), term=term.number
        )

    async def _go_on(self, running: Rollout, after: Plan) -> bool:
        if not await self.duties.put_on_record(DUTY, word_of(after)):
            return False
        running.recorded(after)
        self.log.info("roll-out", roll_out=after.number, stage=after.stage.name.lower(), part=after.part, step=after.step,
                      digest=after.digest, reason=after.reason)  # fmt: skip
        return True

    # Operators' requests.

    async def submit(self, text: str, base: str, watch: int, force: bool, why: str) -> str:
        """Starts a roll-out of a catalogue; returns "" once its plan is recorded, else why not.

        `watch_time` in ns. Raises the parser's error if the text is invalid.
        """
        said = await trio.to_thread.run_sync(read, text)
        laid_out = write(said.titles.items(), said.others)
        digest = digest_of(laid_out)
        self.hold(digest, laid_out)
        return await self._hand_on(SubmitWord(digest, base or NONE, watch, force, why))

    async def take_back(self, why: str) -> str:
        """Rolls back the current or last roll-out; returns "" once that is recorded, else why not."""
        return await self._hand_on(SubmitWord("", "", 0, False, why))

    async def _hand_on(self, wish: SubmitWord) -> str:
        key = wish.digest or "back"
        self.accepted.pop(key, None)
        self.waited.add(key)
        with trio.move_on_after(SUBMIT_WITHIN):
            while key not in self.accepted:
                if self.duties.term(DUTY) is not None:
                    self.accepted[key] = await self._begin(wish, self.peers.membership.me.name)
                    break
                self.duties.look_for_floor(DUTY)  # the acceptors' answers name the owner
                if owner := self.duties.owner(DUTY):
                    self.duties.order(owner.owner, Order(SUBMITTED, owner.number, 0, ENCODER.encode(wish)))
                await trio.sleep(0.3)
        self.waited.discard(key)
        return self.accepted.pop(key, "nobody owns the duty just now: look at `fleet owners`, and ask again")

    async def _submitted(self, got: ReceivedLeaseMessage, word: Order) -> OrderReport | None:
        """Handles an operator's request that another front end has forwarded; None if it is invalid or misdirected."""
        if self.duties.term(DUTY) is None:
            return None
        try:
            wish = SUBMIT.decode(word.body)
        except msgspec.MsgspecError:
            return None
        if wish.digest and not (
            DIGEST.fullmatch(wish.digest) and DIGEST.fullmatch(wish.base) and wish.watch >= 0
        ):
            return None
        said = await self._begin(wish, got.sender)
        return OrderReport(
            ACCEPTED, word.number, 0, not said, f"{wish.digest or 'back'} {said}".encode()[:300]
        )

    def _answered(self, sender: str, word: OrderReport) -> None:
        key, _, said = word.body.decode("utf-8", "replace").partition(" ")
        if key in self.waited:  # the owner may repeat its reply after the operator has been answered
            self.accepted[key] = said

    async def _begin(self, wish: SubmitWord, by: str) -> str:
        """Starts a roll-out or rolls one back; returns why not, or "". A repeated request gets the same answer."""
        if wish.digest:  # outside the lock: the fetch may take long
            await self._hold(Plan(0, wish.digest, wish.base, Stage.HANDED, 0), by)
        async with self.beginning:
            term = self.duties.term(DUTY)
            if term is None:
                return "the term ended meanwhile: ask again"
            self._load(term)
            running = self.running
            last = running.plan if running is not None else None
            if not wish.digest:
                after = running.take_back(wish.why or "by hand") if running is not None else None
                if running is None or after is None:
                    back = last is not None and last.stage in (Stage.BACK, Stage.STOPPED)
                    return "" if back else "there is no roll-out"
                return "" if await self._go_on(running, after) else "the term ended meanwhile: ask again"
            if (
                last is not None
                and last.digest == wish.digest
                and last.stage not in (Stage.BACK, Stage.STOPPED)
            ):
                return ""
            plan = begins(last, wish.digest, wish.base, wish.watch, wish.force, wish.why)
            if isinstance(plan, str):
                return plan
            if wish.digest not in self.texts and wish.digest != self.in_force:
                return f"its text could not be had from {by}"
            fresh = Rollout(plan)
            if not await self._go_on(fresh, plan):
                return "the term ended meanwhile: ask again"
            self.running = fresh
            self.wake.set()
            return ""

    def status(self) -> dict[str, object]:
        """The last roll-out as this front end knows it, for operators."""
        running = self.running
        plan = running.plan if running is not None else self.plan
        owner = self.duties.owner(DUTY)
        told: dict[str, object] = {"owner": owner.owner if owner else None, "number": owner.number if owner else 0,
                                   "in_force": self.in_force, "turned_away": self.fence.turned_away,
                                   "fence": list(self.fence.seen.get(DUTY, (0, 0)))}  # fmt: skip
        if plan is not None:
            told["roll_out"] = {"number": plan.number, "digest": plan.digest, "base": plan.base, "why": plan.why,
                                "stage": plan.stage.name.lower(), "part": plan.part, "step": plan.step,
                                "reason": plan.reason}  # fmt: skip
        if running is not None:
            told["waits_for"] = running.unconfirmed(self.peers.membership.present(), self.helm.clock.now())[
                :20
            ]
        return told


NONE = digest_of(write((), True))
