"""Lookups of one member of another zone by asking some of that zone's delegates; bounded in number and in time."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakcroft.decisions.membership.zone_messages import LookupAnswer, LookupRequest, MemberRecord
from oakcroft.interface import SECOND

MAX_LOOKUPS = 256
"""Lookups open at once; a further one ends immediately without an answer."""

LOOKUP_TIMEOUT = 2 * SECOND
NUMBER_BITS = 48
"""Size of request numbers, which are random so that only a front that was asked can answer."""


@dataclass(frozen=True)
class LookupResult:
    """Result of a lookup; `member` is None if the zone does not know it, or if there was no answer."""

    zone: str
    name: str
    member: MemberRecord | None
    is_answered: bool


@dataclass
class Lookup:
    """An open lookup; `outstanding` is the number of answers that may still arrive."""

    request: LookupRequest
    expires_at: int
    outstanding: int


class ZoneLookups:
    """The open lookups of one front; results are added to `results`."""

    def __init__(self, rng: Random) -> None:
        """Starts without open lookups."""
        self.rng = rng
        self.results: list[LookupResult] = []
        self._open: dict[int, Lookup] = {}

    def begin(self, zone: str, name: str, asked: int, now: int) -> LookupRequest | None:
        """Opens a lookup and returns the request to send to `asked` fronts.

        Returns None, with an unanswered result, if too many lookups are open or there is no front to ask.
        """
        if asked == 0 or len(self._open) >= MAX_LOOKUPS:
            self.results.append(LookupResult(zone, name, None, is_answered=False))
            return None
        request = LookupRequest(self.rng.getrandbits(NUMBER_BITS), zone, name)
        self._open[request.number] = Lookup(request, now + LOOKUP_TIMEOUT, asked)
        return request

    def receive_answer(self, answer: LookupAnswer) -> None:
        """Processes an answer: the first that has the member ends the lookup, otherwise the last one."""
        lookup = self._open.get(answer.number)
        if lookup is None or (answer.zone, answer.name) != (lookup.request.zone, lookup.request.name):
            return
        lookup.outstanding -= 1
        if answer.member is not None or lookup.outstanding == 0:
            del self._open[answer.number]
            self.results.append(LookupResult(answer.zone, answer.name, answer.member, is_answered=True))

    def due(self) -> int | None:
        """When the first lookup expires; None if none is open."""
        return min((lookup.expires_at for lookup in self._open.values()), default=None)

    def tick(self, now: int) -> None:
        """Ends lookups that were not answered in time."""
        for number, lookup in list(self._open.items()):
            if now >= lookup.expires_at:
                del self._open[number]
                request = lookup.request
                self.results.append(LookupResult(request.zone, request.name, None, is_answered=False))
