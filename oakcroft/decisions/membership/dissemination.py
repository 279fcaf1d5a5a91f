"""Gossip dissemination: selects the updates that are piggybacked on messages that are sent anyway.

Each update is sent often enough to reach all members with high probability (SWIM, section 5: a small multiple of log
n), the least sent first. A newer update about a member replaces an older one, so there is at most one update per
member.
"""

from __future__ import annotations

import math

from oakcroft.decisions.membership.member import MemberUpdate

RETRANSMIT_MULTIPLIER = 4
"""An update is sent this many times log10(n + 1) (as in memberlist): in 12 messages to random members at 200 members.
Members that all of them miss are reached by periodic push-pull."""


class UpdateQueue:
    """Updates to be disseminated, with the number of times that each was sent."""

    def __init__(self) -> None:
        """Starts empty."""
        self.pending: dict[str, tuple[MemberUpdate, int]] = {}

    def add(self, update: MemberUpdate) -> None:
        """Adds an update, replacing an older one about the same member."""
        self.pending[update.name] = (update, 0)

    def drop(self, name: str) -> None:
        """Removes the update about a member."""
        self.pending.pop(name, None)

    def __bool__(self) -> bool:
        """Whether any update is waiting to be sent."""
        return bool(self.pending)

    def take(self, limit: int, members: int) -> list[MemberUpdate]:
        """At most `limit` updates for the next message; `members` is the size of the fleet."""
        retransmit_limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        chosen = sorted(self.pending.values(), key=lambda entry: (entry[1], entry[0].name))[:limit]
        for update, times_sent in chosen:
            if times_sent + 1 >= retransmit_limit:
                del self.pending[update.name]
            else:
                self.pending[update.name] = (update, times_sent + 1)
        return [update for update, _ in chosen]
