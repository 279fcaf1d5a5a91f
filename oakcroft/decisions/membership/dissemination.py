"""What news goes along on the messages that are sent anyway.

Each word is carried so many times as it takes to reach all but surely (SWIM, section 5: a small multiple of log n), the
least carried first. A newer word of a member takes the place of an older one. Bounded: a word of every member at most.
"""

from __future__ import annotations

import math

from oakcroft.decisions.membership.member import News

TIMES = 4
"""Times log10(n + 1) that a word is carried (as memberlist does): at 200 members 12 messages, each to another at
random; a whole view exchanged now and then reaches whom all of them missed."""


class Spreading:
    """The words on their way round, with how often each was carried."""

    def __init__(self) -> None:
        self.carried: dict[str, tuple[News, int]] = {}

    def add(self, news: News) -> None:
        """A word to be carried from now on."""
        self.carried[news.name] = (news, 0)

    def drop(self, name: str) -> None:
        """The member is forgotten."""
        self.carried.pop(name, None)

    @property
    def fresh(self) -> bool:
        """Whether anything waits to be carried."""
        return bool(self.carried)

    def take(self, most: int, members: int) -> list[News]:
        """At most so many words for the next message, in a fleet of so many."""
        limit = TIMES * math.ceil(math.log10(members + 1))
        chosen = sorted(self.carried.values(), key=lambda told: (told[1], told[0].name))[:most]
        for news, times in chosen:
            if times + 1 >= limit:
                del self.carried[news.name]
            else:
                self.carried[news.name] = (news, times + 1)
        return [news for news, _ in chosen]
