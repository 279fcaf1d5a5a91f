"""The fleet's duties on one front: its keeper, where it is one, its candidates, and the words between them and others'.

All words go by the peers' own datagrams. A keeper's answer leaves once what it rests on is durable in the front's state
file; where that fails the keeper says nothing, and so grants nothing. Time is CLOCK_BOOTTIME: no step of the wall clock
moves it, and it counts on while the machine sleeps, so an owner that slept knows that its term is over.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from random import Random
from typing import Protocol

import msgspec
import structlog
import trio

from oakcroft.config.told import PeersPlace
from oakcroft.decisions.fleet.keeping import MOST_DUTIES, Keeper
from oakcroft.decisions.fleet.owning import Candidate, Course, Word
from oakcroft.decisions.fleet.rendezvous import rank
from oakcroft.decisions.fleet.terms import MOST_NUMBER, Answer, Ask, Learnt, Step, Term, majority
from oakcroft.decisions.membership.membership import Membership
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.lease_codec import (
    ENCODER,
    LeaseCodec,
    LearntWord,
    LearnWord,
    OrderWord,
    ReportWord,
    RowWord,
    Taken,
    row_of,
    row_word,
)
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.sealing import KeyRing

IN_LINE = 5  # fronts that ask for a duty, the first in line first: a fleet of 200 is not to ask its keepers all the time
LOOK = 50 * MS
LEARN_EVERY = 500 * MS
MOST_WORKING = 16  # orders at work or waiting for their turn; what is dropped is ordered again
MOST_SAVING = 64  # answers that wait for the disk; past it a word is dropped, as any datagram may be
RECORD = "keeper"  # a fact of the state file: epoch, epochs and all rows, always together


def boot() -> int:
    """Now: ns since the machine started, its sleep included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


HELD = msgspec.msgpack.Decoder(tuple[int, list[tuple[str, int]], list[RowWord]])


class Keeping(Protocol):
    """The state file, as far as a keeper needs it."""

    async def save(self, name: str, value: bytes) -> bool:
        """Puts a named value on record, synced; False where that is not known to have succeeded."""

    def held(self) -> tuple[dict[str, bytes], bool] | None:
        """What is on record, and whether it is the last that was written; None while the file can't be read."""


class LeaseHost:
    """All duties of one front."""

    def __init__(
        self, place: PeersPlace, ring: KeyRing, view: Membership, record: Keeping | None, seed: int,
        send: Callable[[str, bytes], None], log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        self.place, self.view, self.record, self.log = place, view, record, log
        self.send, self.codec, self.rng = send, LeaseCodec(place.fleet, ring), Random(seed)
        now = boot()
        self.keeper: Keeper | None = None
        if place.name in place.keepers and record is not None:
            self.keeper = Keeper(place.name, place.keepers, place.term, view.me.generation, now)
        self.candidates: dict[str, Candidate] = {}
        self.wanted: set[str] = set()
        self.ranked: list[str] | None = None  # the fronts by which `places` in line were found
        self.places: dict[str, int] = {}
        self.owned: dict[str, Term] = {}  # as the host was last told
        self.orders: dict[str, Callable[[Taken, OrderWord], Awaitable[ReportWord | None]]] = {}
        self.reports: dict[str, Callable[[str, ReportWord], None]] = {}
        self.changed: dict[str, Callable[[Term | None], None]] = {}
        self.floors: dict[str, dict[str, int]] = {}  # by duty and keeper, the highest number promised
        self.texts: Callable[[str], bytes | None] = lambda _: None  # what this front holds, by digest
        self.parts: dict[str, dict[int, LearntWord]] = {}
        self.saving = self.writing = self.working = 0
        self.disk_sound = True
        self.began = False
        self.learn_at = now
        self.dropped: Counter[str] = Counter()
        self.asks = 0
        self.nursery: trio.Nursery | None = None

    # What the front's own work asks for.

    def want(self, duty: str) -> None:
        """This front would have a duty when its turn in line comes."""
        self.wanted.add(duty)
        self.ranked = None

    def term(self, duty: str) -> Term | None:
        """The term of a duty, while this front may take itself for its owner."""
        candidate = self.candidates.get(duty)
        return candidate.owns(boot()) if candidate is not None else None

    def note(self, duty: str) -> bytes:
        """What the owners of a duty have put on record, as this owner found or wrote it."""
        candidate = self.candidates.get(duty)
        return candidate.note.body if candidate is not None else b""

    async def put_on_record(self, duty: str, body: bytes) -> bool:
        """Puts a note on record at a majority; False where the term ended first."""
        candidate = self.candidates.get(duty)
        if candidate is None or candidate.owns(boot()) is None:
            return False
        self._ask(candidate.record(body, boot()))
        key, term = candidate.note.key, candidate.term
        while candidate.owns(boot()) is not None and candidate.term == term:
            if candidate.settled >= key:
                return True
            await trio.sleep(LOOK / SECOND / 5)
        return False

    def owner(self, duty: str) -> Term | None:
        """Who has a duty, as far as this front knows: by its own term, its keeper, or what it was told when it asked."""
        candidate, now = self.candidates.get(duty), boot()
        seen = self.keeper.runs(duty, now) if self.keeper is not None else None
        told = candidate.owner(now) if candidate is not None else None
        return max((t for t in (seen, told) if t is not None), key=lambda t: t.number, default=None)

    def outbid(self, duty: str, number: int) -> None:
        """A resource has seen a higher number than this owner's: it asks for a term over that."""
        if (candidate := self.candidates.get(duty)) is not None and candidate.owns(boot()) is not None:
            candidate.highest = max(candidate.highest, min(number, MOST_NUMBER - 2))
            self._ask(candidate.want(False, boot()))
            candidate.want(True, boot())
            self._look(duty, candidate, boot())

    def floor(self, duty: str) -> int | None:
        """A number that no term of a duty that has begun is over, as a majority of keepers says; None until one has."""
        told = self.floors.get(duty, {})
        return max(told.values()) if len(told) >= majority(len(self.place.keepers)) else None

    def look_for_floor(self, duty: str) -> None:
        """Asks the keepers for it: a number as low as this is refused, with what was promised."""
        ask = Ask(Step.PREPARE, duty, Term(1, *self.me))
        self._ask([Word(k, ask) for k in self.place.keepers])

    def give_back(self, duty: str) -> None:
        """An operator has taken the duty from this front: it stands back for a few terms."""
        if (candidate := self.candidates.get(duty)) is not None:
            self._ask(candidate.want(False, boot()))
            candidate.rank = IN_LINE
            candidate.want(True, boot())

    # Words in.

    def taken(self, opened: bytes) -> None:
        """A word that came by datagram. MessageError where it is none."""
        got = self.codec.taken(opened)
        if self.view.displaced or self.view.left:
            return  # another process has this name: it speaks
        word, now = got.word, boot()
        if isinstance(word, Ask):
            self._asked(got.sender, word, now)
        elif isinstance(word, Answer):
            self._answered(word, now)
        elif isinstance(word, LearnWord):
            self._tell(got.sender, word.epoch)
        elif isinstance(word, LearntWord):
            self._hear(got.sender, word, now)
        elif isinstance(word, OrderWord):
            self._ordered(got, word)
        elif (reported := self.reports.get(word.duty)) is not None:
            reported(got.sender, word)

    def _asked(self, sender: str, ask: Ask, now: int) -> None:
        if self.keeper is None or not self.began or ask.term.owner != sender:
            return
        self.asks += 1
        answer = self.keeper.asked(ask, now)
        if answer is not None:
            self._when_saved(partial(self._say_answer, sender, answer))

    def _say_answer(self, to: str, answer: Answer) -> None:
        with suppress(MessageError):  # a name too long to fit: such a candidate gets nothing
            self._say(to, self.codec.answer(*self.me, answer))

    def _answered(self, answer: Answer, now: int) -> None:
        candidate = self.candidates.get(answer.duty)
        if candidate is not None:
            if answer.keeper in self.place.keepers:
                self.floors.setdefault(answer.duty, {})[answer.keeper] = answer.highest
            self._ask(candidate.heard(answer, now))
            self._look(answer.duty, candidate, now)

    def _tell(self, sender: str, epoch: int) -> None:
        if self.keeper is None or not self.began:
            return
        told = self.keeper.tells(sender, epoch)
        if told is None:
            return
        if self.keeper.sound:
            self._when_saved(partial(self._say_all, sender, told))
        else:  # it has no record yet that anything could rest on
            self._say_all(sender, told)

    def _say_all(self, to: str, told: Learnt) -> None:
        with suppress(MessageError):
            for part in self.codec.learnt(*self.me, told):
                self._say(to, part)

    def _hear(self, sender: str, word: LearntWord, now: int) -> None:
        """One part of what another keeper tells."""
        keeper = self.keeper
        if keeper is None or keeper.sound or sender not in keeper.keepers:
            return
        if not 0 <= word.part < word.parts <= MOST_DUTIES:
            raise MessageError("malformed")
        parts = self.parts.setdefault(sender, {})
        if any((p.epoch, p.sound, p.parts) != (word.epoch, word.sound, word.parts) for p in parts.values()):
            parts.clear()
        parts[word.part] = word
        if len(parts) == word.parts:
            rows = tuple((p.row.duty, row_of(p.row)) for p in parts.values() if p.row is not None)
            del self.parts[sender]
            if keeper.hears(Learnt(sender, word.epoch, word.sound, rows), now):
                self.log.info(
                    "keeper learnt", duties=len(keeper.rows), mute_ms=max(0, keeper.mute_until - now) // MS
                )
                self._when_saved(lambda: None)

    def _ordered(self, got: Taken, word: OrderWord) -> None:
        work = self.orders.get(word.duty)
        if work is not None and self.nursery is not None and self.working < MOST_WORKING:
            self.working += 1
            self.nursery.start_soon(self._work, work, got, word)

    async def _work(
        self, work: Callable[[Taken, OrderWord], Awaitable[ReportWord | None]], got: Taken, word: OrderWord
    ) -> None:
        report = None
        try:
            report = await work(got, word)
        except (
            Exception
        ) as fault:  # guards the keeper beside it, and the view, against a fault in one duty's work
            self.log.error(
                "order failed", duty=word.duty, sender=got.sender, error=repr(fault)[:300], exc_info=fault
            )
        finally:
            self.working -= 1
        if report is not None:
            self._say(got.sender, self.codec.report(*self.me, report))

    # Words out.

    @property
    def me(self) -> tuple[str, int]:
        """This front's name and start."""
        return self.view.me.name, self.view.me.generation

    def _ask(self, words: list[Word]) -> None:
        for word in words:
            with suppress(MessageError):
                self._say(word.to, self.codec.ask(*self.me, word.ask))

    def order(self, to: str, word: OrderWord) -> None:
        """An owner's order to a front."""
        self._say(to, self.codec.order(*self.me, word))

    def _say(self, to: str, octets: bytes) -> None:
        if to != self.view.me.name:
            self.send(to, octets)
        elif self.nursery is not None:  # to itself: no way that can be cut, but the next turn
            self.nursery.start_soon(self._to_itself, octets)

    async def _to_itself(self, octets: bytes) -> None:
        opened = self.codec.ring.open(octets, 0)
        if opened is not None:
            with suppress(MessageError):
                self.taken(opened)

    # The record.

    def _when_saved(self, then: Callable[[], object]) -> None:
        """Does something once what the keeper holds is on record; never where it can't be put there."""
        keeper = self.keeper
        if keeper is None or self.nursery is None:
            return
        if not keeper.unsaved and not self.writing:
            then()
        elif self.saving < MOST_SAVING:
            self.saving += 1
            self.nursery.start_soon(self._save, then)
        else:
            self.dropped["too many to save"] += 1

    async def _save(self, then: Callable[[], object]) -> None:
        """All that the keeper holds is written each time, so that no part of it can be missing from a file begun anew."""
        keeper, record = self.keeper, self.record
        assert keeper is not None
        assert record is not None
        duties, keeper.unsaved = keeper.unsaved, set()
        rows = [row_word(d, r) for d, r in sorted(keeper.rows.items())]
        value = ENCODER.encode((keeper.epoch, sorted(keeper.epochs.items()), rows))
        saved, self.writing = False, self.writing + 1
        try:
            saved = keeper.sound and await record.save(RECORD, value)
        finally:
            self.saving, self.writing = self.saving - 1, self.writing - 1
            if not saved:
                keeper.unsaved |= duties  # until it is, nothing that rests on it leaves
        if saved is not self.disk_sound and keeper.sound:
            self.disk_sound = saved
            self.log.warning(
                "keeper", grants=saved, why="on record again" if saved else "its record can't be written"
            )
        if saved:
            then()

    def _begin(self, now: int) -> None:
        """Takes the record on once it can be read."""
        keeper, record = self.keeper, self.record
        held = record.held() if record is not None else None
        if keeper is None or held is None:
            return
        facts, whole = held
        self.began = True
        try:
            epoch, epochs, words = HELD.decode(facts[RECORD])
            keeper.take_on(epoch, dict(epochs), {w.duty: row_of(w) for w in words}, whole, now)
        except KeyError:
            pass  # it never was a keeper, or all of it is lost
        except (msgspec.MsgspecError, MessageError) as fault:
            self.log.error("keeper's record unreadable", why=str(fault))
        if not keeper.sound:
            self.log.warning(
                "keeper remembers nothing", asks=len(keeper.keepers) - 1, mute_ms=self.place.term // MS
            )

    # Time.

    async def run(self) -> None:
        """Looks after all of it until it is cancelled."""
        try:
            async with trio.open_nursery() as self.nursery:
                while True:
                    self.look(boot())
                    await trio.sleep(LOOK / SECOND)
        finally:
            self.nursery = None

    def look(self, now: int) -> None:
        """Does what is due."""
        keeper = self.keeper
        if keeper is not None and not self.began:
            self._begin(now)
        if keeper is not None and self.began and not keeper.sound and now >= self.learn_at:
            self.learn_at = now + LEARN_EVERY
            keeper.epoch = self.view.me.generation
            if not keeper.asks_others():
                keeper.learnt.clear()  # all have told, and it was not enough: anew
            for other in keeper.asks_others():
                self._say(other, self.codec.learn(*self.me, keeper.epoch))
            if len(keeper.keepers) == 1:
                keeper.sound, keeper.unsaved = True, {""}  # nobody else to ask
        if self.view.displaced or self.view.left:
            for candidate in self.candidates.values():
                self._ask(candidate.want(False, now))
            return
        present = self.view.present()
        if (
            present is not self.ranked
        ):  # the view gives another list when it changes; two hundred hashes a look are saved
            self.ranked, self.places = present, {d: rank(d, self.view.me.name, present) for d in self.wanted}
        for duty in sorted(self.wanted):
            candidate = self._candidate(duty, now)
            place = self.places[duty]
            if candidate.course is Course.IDLE or candidate.rank < IN_LINE:
                candidate.rank = place
            self._ask(candidate.want(place < IN_LINE or candidate.owns(now) is not None, now))
            self._ask(candidate.tick(now))
            self._look(duty, candidate, now)

    def _candidate(self, duty: str, now: int) -> Candidate:
        known = self.candidates.get(duty)
        if known is not None and (known.start == self.view.me.generation or known.owns(now) is not None):
            return known
        start = self.view.me.generation
        self.candidates[duty] = new = Candidate(
            duty, self.view.me.name, start, self.place.keepers, self.place.term, self.rng, start, now
        )
        return new

    def _look(self, duty: str, candidate: Candidate, now: int) -> None:
        """Tells of a change of owner, as far as this front is concerned."""
        term, before = candidate.owns(now), self.owned.get(duty)
        if term == before:
            return
        if term is not None:
            self.owned[duty] = term
            self.log.info("duty taken", duty=duty, number=term.number, terms=candidate.taken)
        else:
            self.owned.pop(duty, None)
            self.log.info("duty over", duty=duty, number=before.number if before else 0)
        if (tell := self.changed.get(duty)) is not None:
            tell(term)

    def leave(self) -> None:
        """The front leaves: its duties pass on at once."""
        for candidate in self.candidates.values():
            self._ask(candidate.want(False, boot()))

    # What operators see.

    def status(self) -> dict[str, object]:
        """Duties, owners and this front's keeper, as plain values."""
        now, keeper = boot(), self.keeper
        duties = []
        for duty in sorted(self.wanted | set(keeper.rows if keeper else ())):
            candidate, row = self.candidates.get(duty), keeper.rows.get(duty) if keeper else None
            own = candidate.owns(now) if candidate is not None else None
            seen = keeper.runs(duty, now) if keeper is not None else None
            known = self.owner(duty)
            duties.append({
                "duty": duty, "owner": known.owner if known else None, "number": known.number if known else 0,
                "mine": own is not None, "course": candidate.course.value if candidate is not None else None,
                "in_line": candidate.rank if candidate is not None else None,
                "promised": row.promised if row is not None else None,
                "left_ms": (keeper.until[duty] - now) // MS if keeper is not None and seen is not None else None,
            })  # fmt: skip
        told: dict[str, object] = {"name": self.view.me.name, "keepers": list(self.place.keepers), "duties": duties,
                                   "term_ms": self.place.term // MS, "dropped": dict(self.dropped)}  # fmt: skip
        if keeper is not None:
            told["keeper"] = {
                "speaks": self.began and keeper.speaks(now), "sound": keeper.sound, "epoch": keeper.epoch,
                "record": self.disk_sound, "mute_ms": max(0, keeper.mute_until - now) // MS, "asks": self.asks,
                "waits_for": keeper.asks_others(), "epochs": dict(keeper.epochs),
            }  # fmt: skip
        return told
