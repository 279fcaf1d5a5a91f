"""Gossip dissemination: which updates are piggybacked on messages that are sent anyway.

Each update is carried so many times as it takes to reach all but surely (SWIM, section 5: a small multiple of log n),
the least carried first. A newer update about a member takes the place of an older one. Bounded: one update for each
member at most.
"""

from __future__ import annotations

import math

from oakcroft.decisions.membership.member import MemberUpdate

RETRANSMIT_MULTIPLIER = 4
"""Times log10(n + 1) that an update is carried (as memberlist does): at 200 members 12 messages, each to another at
random; a push-pull now and then reaches whom all of them missed."""


class UpdateQueue:
    """The updates under way, with how often each was carried."""

    def __init__(self) -> None:
        """Starts with nothing to carry."""
        self.pending: dict[str, tuple[MemberUpdate, int]] = {}

    def add(self, update: MemberUpdate) -> None:
        """An update to be carried from now on."""
        self.pending[update.name] = (update, 0)

    def drop(self, name: str) -> None:
        """The member is forgotten."""
        self.pending.pop(name, None)

    def __bool__(self) -> bool:
        """Whether any update waits to be carried."""
        return bool(self.pending)

    def take(self, most: int, members: int) -> list[MemberUpdate]:
        """At most so many updates for the next message, in a fleet of so many members."""
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        chosen = sorted(self.pending.values(), key=lambda entry: (entry[1], entry[0].name))[:most]
        for update, times in chosen:
            if times + 1 >= limit:
                del self.pending[update.name]
            else:
                self.pending[update.name] = (update, times + 1)
        return [update for update, _ in chosen]
