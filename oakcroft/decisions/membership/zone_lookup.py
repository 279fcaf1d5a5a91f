"""Questions for one member of another zone, put to some of that zone's delegates. Bounded in number and in
time."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakcroft.decisions.membership.zone_messages import LookupAnswer, LookupRequest, MemberRecord
from oakcroft.interface import SECOND

MAX_LOOKUPS = 256
"""Open at once; one more is answered `UNKNOWN` at once."""

LOOKUP_TIMEOUT = 2 * SECOND
NUMBER_BITS = 48
"""Of a question: drawn at random, so that nobody can answer who was not asked."""


@dataclass(frozen=True)
class LookupResult:
    """What a lookup found; `member` is None where the zone does not know it, or `is_answered` is False and
    nobody spoke."""

    zone: str
    name: str
    member: MemberRecord | None
    is_answered: bool


@dataclass
class Lookup:
    """An open question."""

    request: LookupRequest
    expires_at: int
    outstanding: int


class ZoneLookups:
    """The open questions of one front; what was found stands in `found`."""

    def __init__(self, rng: Random) -> None:
        """None is open."""
        self.rng = rng
        self.found: list[LookupResult] = []
        self._open: dict[int, Lookup] = {}

    def begin(self, zone: str, name: str, asked: int, now: int) -> LookupRequest | None:
        """The question to be put to so many; None, and found unanswered, where too many are open or nobody
        can be asked."""
        if asked == 0 or len(self._open) >= MAX_LOOKUPS:
            self.found.append(LookupResult(zone, name, None, is_answered=False))
            return None
        request = LookupRequest(self.rng.getrandbits(NUMBER_BITS), zone, name)
        self._open[request.number] = Lookup(request, now + LOOKUP_TIMEOUT, asked)
        return request

    def receive_answer(self, answer: LookupAnswer) -> None:
        """An answer: the first that knows the member counts, else the last that does not."""
        lookup = self._open.get(answer.number)
        if lookup is None or (answer.zone, answer.name) != (lookup.request.zone, lookup.request.name):
            return
        lookup.outstanding -= 1
        if answer.member is not None or lookup.outstanding == 0:
            del self._open[answer.number]
            self.found.append(LookupResult(answer.zone, answer.name, answer.member, is_answered=True))

    def due(self) -> int | None:
        """When the first question expires."""
        return min((lookup.expires_at for lookup in self._open.values()), default=None)

    def tick(self, now: int) -> None:
        """Questions that nobody answered in time."""
        for number, lookup in list(self._open.items()):
            if now >= lookup.expires_at:
                del self._open[number]
                request = lookup.request
                self.found.append(LookupResult(request.zone, request.name, None, is_answered=False))
