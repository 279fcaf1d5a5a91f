"""The words of candidates and keepers, and of whoever owns a duty to the others, as MessagePack in a seal.

message = seal:16 form:1 body       body: an array [fleet, sender, start, kind, payload]

The payload is an array by kind. The form is another than that of the view's messages, so a program that knows no duties
drops them as `other form`. What can't be read, or is no sound value, is dropped with a reason to be counted by.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from oakcroft.decisions.fleet.terms import MOST_NOTE, MOST_NUMBER, Answer, Ask, Learnt, Note, Row, Step, Term
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM
from oakcroft.peerwire.sealing import KeyRing

FORM = 65
MOST_NAME = 64
MOST_KEEPERS = 7
STEPS = {s.value: s for s in Step}
ORDER, REPORT, FETCH, CHUNK = 32, 33, 34, 35
"""Kinds over those of `Step`: an owner's order to a front, and the front's word back; by stream, a text by its digest."""

CHUNK_OCTETS = 12_288
MOST_TEXT = 16_777_216


class TermWord(msgspec.Struct, array_like=True):
    number: int
    owner: str
    start: int


class NoteWord(msgspec.Struct, array_like=True, frozen=True):
    number: int = 0
    step: int = 0
    body: bytes = b""


class AskWord(msgspec.Struct, array_like=True):
    duty: str
    term: TermWord
    seq: int = 0
    length: int = 0
    note: NoteWord = NoteWord()


class AnswerWord(msgspec.Struct, array_like=True):
    duty: str
    epoch: int
    number: int
    seq: int = 0
    highest: int = 0
    running: TermWord | None = None
    left: int = 0
    note: NoteWord = NoteWord()
    epochs: list[tuple[str, int]] = []


class LearnWord(msgspec.Struct, array_like=True):
    epoch: int


class RowWord(msgspec.Struct, array_like=True):
    """A row of a keeper's record; also as it stands in the state file."""

    duty: str
    promised: int
    to: str
    term: TermWord | None
    note: NoteWord


class LearntWord(msgspec.Struct, array_like=True):
    """One part of what a keeper tells: a row, or none where it has none."""

    epoch: int
    sound: bool
    part: int
    parts: int
    row: RowWord | None = None


class OrderWord(msgspec.Struct, array_like=True):
    """An owner's order under its term's number and a step of it; `body` is the work's own."""

    duty: str
    number: int
    step: int
    body: bytes


class ReportWord(msgspec.Struct, array_like=True):
    """What became of an order; `taken` false: it was turned away here, and (number, step) is what stands."""

    duty: str
    number: int
    step: int
    taken: bool
    body: bytes


class FetchWord(msgspec.Struct, array_like=True):
    digest: str


class ChunkWord(msgspec.Struct, array_like=True):
    """A part of a text, in order. None at all and no more: whoever was asked does not hold it."""

    part: int
    more: bool
    octets: bytes


class Body(msgspec.Struct, array_like=True):
    fleet: str
    sender: str
    start: int
    kind: int
    payload: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
BODY = msgspec.msgpack.Decoder(Body)
ASK, ANSWER = msgspec.msgpack.Decoder(AskWord), msgspec.msgpack.Decoder(AnswerWord)
LEARN, LEARNT = msgspec.msgpack.Decoder(LearnWord), msgspec.msgpack.Decoder(LearntWord)
ORDERS, REPORTS = msgspec.msgpack.Decoder(OrderWord), msgspec.msgpack.Decoder(ReportWord)
FETCHES, CHUNKS = msgspec.msgpack.Decoder(FetchWord), msgspec.msgpack.Decoder(ChunkWord)
T = TypeVar("T")
Word = Ask | Answer | LearnWord | LearntWord | OrderWord | ReportWord


@dataclass(frozen=True)
class Taken:
    """A word, and whose."""

    sender: str
    start: int
    word: Word


def term_word(term: Term) -> TermWord:
    return TermWord(term.number, term.owner, term.start)


def note_word(note: Note) -> NoteWord:
    return NoteWord(note.number, note.step, note.body)


def row_word(duty: str, row: Row) -> RowWord:
    """A row for the wire or the state file."""
    term = None if row.term is None else term_word(row.term)
    return RowWord(duty, row.promised, row.to, term, note_word(row.note))


def row_of(word: RowWord) -> Row:
    """A row that has been read. MessageError where it is none."""
    return Row(_number(word.promised), _name(word.to, 2 * MOST_NAME), _term(word.term), _note(word.note))


def _framed(octets: bytes) -> bytes:
    return len(octets).to_bytes(2, "big") + octets


def _number(n: int) -> int:
    if not 0 <= n < MOST_NUMBER:
        raise MessageError("malformed")
    return n


def _name(name: str, most: int = MOST_NAME) -> str:
    if len(name) > most:
        raise MessageError("malformed")
    return name


def _term(word: TermWord | None) -> Term | None:
    return None if word is None else Term(_number(word.number), _name(word.owner), _number(word.start))


def _note(word: NoteWord) -> Note:
    if len(word.body) > MOST_NOTE:
        raise MessageError("malformed")
    return Note(_number(word.number), _number(word.step), word.body)


class LeaseCodec:
    """Writes and reads the words of one fleet's duties. MessageError for whatever is none of them."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        self.fleet, self.ring = fleet, ring

    def _sealed(self, sender: str, start: int, kind: int, payload: msgspec.Struct) -> bytes:
        body = Body(self.fleet, sender, start, kind, msgspec.Raw(ENCODER.encode(payload)))
        octets = self.ring.seal(bytes((FORM,)) + ENCODER.encode(body))
        if len(octets) > MAX_DATAGRAM:
            raise MessageError("too long")
        return octets

    def ask(self, sender: str, start: int, ask: Ask) -> bytes:
        """A candidate's word."""
        word = AskWord(ask.duty, term_word(ask.term), ask.seq, ask.length, note_word(ask.note))
        return self._sealed(sender, start, ask.step.value, word)

    def answer(self, sender: str, start: int, a: Answer) -> bytes:
        """A keeper's word to a candidate."""
        running = None if a.running is None else term_word(a.running)
        word = AnswerWord(a.duty, a.epoch, a.number, a.seq, a.highest, running, a.left, note_word(a.note),
                          list(a.epochs[:MOST_KEEPERS]))  # fmt: skip
        return self._sealed(sender, start, a.step.value, word)

    def learn(self, sender: str, start: int, epoch: int) -> bytes:
        """The question of a keeper that remembers nothing."""
        return self._sealed(sender, start, Step.LEARN.value, LearnWord(epoch))

    def learnt(self, sender: str, start: int, told: Learnt) -> list[bytes]:
        """The answer to it, a row a datagram."""
        parts = max(1, len(told.rows))
        words = [
            LearntWord(told.epoch, told.sound, i, parts, row_word(d, r)) for i, (d, r) in enumerate(told.rows)
        ]
        words = words or [LearntWord(told.epoch, told.sound, 0, 1)]
        return [self._sealed(sender, start, Step.LEARNT.value, w) for w in words]

    def order(self, sender: str, start: int, word: OrderWord) -> bytes:
        """An owner's order."""
        return self._sealed(sender, start, ORDER, word)

    def report(self, sender: str, start: int, word: ReportWord) -> bytes:
        """What became of an order."""
        return self._sealed(sender, start, REPORT, word)

    # By stream: each message behind its length in two octets.

    def fetch(self, sender: str, start: int, digest: str) -> bytes:
        """The question for a text."""
        return _framed(self._sealed(sender, start, FETCH, FetchWord(digest)))

    def chunks(self, sender: str, start: int, text: bytes) -> Iterator[bytes]:
        """A text, part by part."""
        starts = range(0, max(1, len(text)), CHUNK_OCTETS)
        for i, at in enumerate(starts):
            word = ChunkWord(i, i + 1 < len(starts), text[at : at + CHUNK_OCTETS])
            body = Body(self.fleet, sender, start, CHUNK, msgspec.Raw(ENCODER.encode(word)))
            yield _framed(self.ring.seal(bytes((FORM,)) + ENCODER.encode(body)))

    def asked_for(self, opened: bytes) -> str:
        """The digest of the text that a stream's first message asks for."""
        return self._of(opened, FETCH, FETCHES).digest

    def chunk(self, opened: bytes) -> ChunkWord:
        """One part of a text."""
        return self._of(opened, CHUNK, CHUNKS)

    def _of(self, opened: bytes, kind: int, decoder: msgspec.msgpack.Decoder[T]) -> T:
        try:
            body = BODY.decode(opened[1:])
            if opened[:1] != bytes((FORM,)) or body.fleet != self.fleet or body.kind != kind:
                raise MessageError("unknown kind")
            return decoder.decode(bytes(body.payload))
        except msgspec.MsgspecError as fault:
            raise MessageError("malformed") from fault

    def taken(self, opened: bytes) -> Taken:
        """What a message says that the ring has opened, its form first."""
        try:
            body = BODY.decode(opened[1:])
            if body.fleet != self.fleet:
                raise MessageError("other fleet")
            return Taken(_name(body.sender), _number(body.start), self._word(body))
        except msgspec.MsgspecError as fault:
            raise MessageError("malformed") from fault

    @staticmethod
    def _word(body: Body) -> Word:
        raw, step = bytes(body.payload), STEPS.get(body.kind)
        if body.kind == ORDER:
            order = ORDERS.decode(raw)
            _name(order.duty), _number(order.number), _number(order.step)
            return order
        if body.kind == REPORT:
            report = REPORTS.decode(raw)
            _name(report.duty), _number(report.number), _number(report.step)
            return report
        if step in (Step.PREPARE, Step.PROPOSE, Step.RELEASE):
            a = ASK.decode(raw)
            term = _term(a.term)
            assert term is not None
            return Ask(step, _name(a.duty), term, _number(a.seq), _number(a.length), _note(a.note))
        if step in (Step.PROMISED, Step.REFUSED, Step.ACCEPTED):
            b = ANSWER.decode(raw)
            epochs = tuple((_name(n), _number(e)) for n, e in b.epochs[:MOST_KEEPERS])
            return Answer(
                step, _name(b.duty), _name(body.sender), _number(b.epoch), _number(b.number), _number(b.seq),
                _number(b.highest), _term(b.running), _number(b.left), _note(b.note), epochs,
            )  # fmt: skip
        if step is Step.LEARN:
            return LEARN.decode(raw)
        if step is Step.LEARNT:
            return LEARNT.decode(raw)
        raise MessageError("unknown kind")
