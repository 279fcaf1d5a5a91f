"""The messages of peers as MessagePack in a seal.

message = seal:16 form:1 body       body: an array [fleet, sender, kind, seq, to, to start, about, news] word    =
[name, start, incarnation, standing, host, port, wing, version, proof, by]

Neighbouring forms understand each other: a later form may add fields at the end of an array and kinds of message; the
earlier one leaves them out of account, and the later one does without them. Anything else is told apart by its reason
and dropped. What is decoded goes on as plain values; the structures here are the wire's own.
"""

from __future__ import annotations

from collections.abc import Sequence
from ipaddress import ip_address

import msgspec

from oakcroft.decisions.membership.member import News, Standing
from oakcroft.decisions.membership.membership import MOST_NEWS, Kind
from oakcroft.peerwire.sealing import MAC, Ring

FORM = 1
NEIGHBOURS = (FORM, FORM + 1)
"""Forms that are read. There is none before the first."""

MOST_DATAGRAM = 1_400
MOST_STREAM = 16_384
MOST_PARTS = 64  # messages of one exchange, each way
WORDS_A_PART = 96
STANDINGS = {s.value: s for s in Standing}
KINDS = {k.value: k for k in Kind}

Taken = tuple[News, Kind, int, tuple[str, int], tuple[str, int, tuple[str, int]] | None, list[News]]
"""Sender, kind, number, whom it is meant for, about whom, news."""


class Word(msgspec.Struct, array_like=True):
    name: str
    start: int
    incarnation: int
    standing: int
    host: str
    port: int
    wing: str
    version: str
    proof: bytes
    by: str = ""


class Body(msgspec.Struct, array_like=True):
    fleet: str
    sender: Word
    kind: int
    seq: int = 0
    to: str = ""
    to_start: int = 0
    about: tuple[str, int, str, int] | None = None
    news: list[Word] = []
    more: bool = False  # of an exchange: another part follows


class Dropped(Exception):
    """A message that is not taken; the reason is one word or two, to be counted by."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


def _word(news: News) -> Word:
    return Word(
        news.name, news.start, news.incarnation, news.standing.value, news.host, news.port, news.wing, news.version,
        news.proof, news.by,
    )  # fmt: skip


def _numeric(host: str) -> bool:
    """Guards the front's turns against addresses that would have to be looked up: a name in a peer's word held the whole
    process for seconds, as the resolver was asked for it."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def _news(word: Word) -> News | None:
    """A word that this form can say; one of a standing it does not know says nothing to it."""
    long = max(len(t) for t in (word.host, word.wing, word.version, word.by)) > 64
    if long or word.standing not in STANDINGS or not _numeric(word.host):
        return None
    return News(
        word.name, word.start, word.incarnation, STANDINGS[word.standing], word.host, word.port, word.wing, word.version,
        word.proof, word.by,
    )  # fmt: skip


class Codec:
    """Messages of one fleet."""

    def __init__(self, fleet: str, ring: Ring) -> None:
        self.fleet, self.ring = fleet, ring

    def datagram(
        self, sender: News, kind: Kind, seq: int, to: tuple[str, int],
        about: tuple[str, int, tuple[str, int]] | None, news: Sequence[News],
    ) -> bytes:  # fmt: skip
        """One datagram. News that does not fit stays out, the last first."""
        words = [_word(n) for n in news]
        whom = None if about is None else (about[0], about[1], *about[2])
        while True:
            body = Body(self.fleet, _word(sender), kind.value, seq, *to, whom, words)
            octets = self.ring.seal(bytes((FORM,)) + ENCODER.encode(body))
            if len(octets) <= MOST_DATAGRAM or not words:
                return octets
            words.pop()

    def opened(self, octets: bytes, now: int) -> bytes:
        """What a datagram's seal holds, its form first. Dropped where a holder of no key sealed it."""
        if len(octets) > MOST_DATAGRAM:
            raise Dropped("too long")
        opened = self.ring.open(octets, now)
        if opened is None:
            raise Dropped("not sealed")
        return opened

    def taken(self, octets: bytes, now: int) -> Taken:
        """What a datagram says. Dropped where it is none of this fleet's."""
        return self.read(self.opened(octets, now))

    def read(self, opened: bytes) -> Taken:
        """What an opened datagram says."""
        body = self._read(opened)
        kind = KINDS.get(body.kind)
        if kind is None or kind is Kind.EXCHANGE:
            raise Dropped("unknown kind")
        sender = _news(body.sender)
        if sender is None:
            raise Dropped("malformed")
        about = None if body.about is None else (body.about[0], body.about[1], (body.about[2], body.about[3]))
        if about is not None and not _numeric(about[2][0]):
            raise Dropped("malformed")
        news = [n for w in body.news[:MOST_NEWS] if (n := _news(w)) is not None]
        return sender, kind, body.seq, (body.to, body.to_start), about, news

    def _body(self, octets: bytes, now: int) -> Body:
        opened = self.ring.open(octets, now)
        if opened is None:
            raise Dropped("not sealed")
        return self._read(opened)

    def _read(self, opened: bytes) -> Body:
        if opened[:1] not in [bytes((f,)) for f in NEIGHBOURS]:
            raise Dropped("other form")
        try:
            body = DECODER.decode(opened[1:])
        except msgspec.MsgspecError as fault:
            raise Dropped("malformed") from fault
        if body.fleet != self.fleet:
            raise Dropped("other fleet")
        return body

    # Whole views, over a stream: each message behind its length in two octets.

    def whole(self, news: Sequence[News]) -> bytes:
        """A whole view, its own word first."""
        sender, rest = news[0], news[1 : 1 + MOST_PARTS * WORDS_A_PART]
        parts = [rest[i : i + WORDS_A_PART] for i in range(0, len(rest), WORDS_A_PART)] or [[]]
        out = bytearray()
        for i, part in enumerate(parts):
            words = [_word(n) for n in part]
            body = Body(
                self.fleet, _word(sender), Kind.EXCHANGE.value, i, news=words, more=i + 1 < len(parts)
            )
            octets = self.ring.seal(bytes((FORM,)) + ENCODER.encode(body))
            out += len(octets).to_bytes(2, "big") + octets
        return bytes(out)


class Stream:
    """Another's whole view, octet by octet. Dropped where it is none."""

    def __init__(self, codec: Codec) -> None:
        self.codec, self.buffer = codec, bytearray()
        self.sender: News | None = None
        self.news = list[News]()
        self.parts, self.done = 0, False

    def receive_data(self, octets: bytes, now: int) -> None:
        """Takes octets in; `done` once the view is whole."""
        self.buffer += octets
        while not self.done and len(self.buffer) >= 2:
            length = int.from_bytes(self.buffer[:2], "big")
            if length > MOST_STREAM or length <= MAC:
                raise Dropped("too long" if length > MAC else "malformed")
            if len(self.buffer) < 2 + length:
                return
            body = self.codec._body(bytes(self.buffer[2 : 2 + length]), now)
            del self.buffer[: 2 + length]
            self._part(body)

    def _part(self, body: Body) -> None:
        sender = _news(body.sender)
        if body.kind != Kind.EXCHANGE.value or body.seq != self.parts or sender is None:
            raise Dropped("malformed")
        if self.sender is not None and self.sender.name != sender.name:
            raise Dropped("malformed")
        self.sender, self.parts = sender, self.parts + 1
        self.news += [n for w in body.news[:WORDS_A_PART] if (n := _news(w)) is not None]
        if self.parts >= MOST_PARTS and body.more:
            raise Dropped("too long")
        self.done = not body.more
