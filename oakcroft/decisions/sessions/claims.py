"""Which sessions on a node are whose: what a front believes to play there against what the node says.

A set-up whose answer was lost leaves a session that nobody names; a stream that broke hides ends. The node's own
word, given when a stream opens and with each start and end, settles both.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class Claims:
    """The sessions of this front on one node, by the path of their resource.

    Guards against orphans: a session that the node started for this front and that no try has claimed in
    `claim_within` (longer than any try may be out) is to be ended, as its viewer was told that it failed. Covers
    answers lost on the way, time-outs, viewers that left in between, and a node that names sessions without end: past
    `most`, far more than tries can be out to one node, the oldest are ended at once. Also guards against playbacks kept
    here that the node has ended unheard. Harm: none while claims come in time; a front that stands still for longer than
    `claim_within` would end sessions whose answers lie in its buffers, so time stood still is not counted
    (`stood`).
    """

    def __init__(self, claim_within: int, most: int = 4096) -> None:
        self.claim_within, self.most = claim_within, most
        self.mine: dict[str, int] = {}  # claimed, and since when
        self.unclaimed: OrderedDict[str, int] = OrderedDict()  # started by the node's word, and when
        self.ended_early: OrderedDict[str, None] = OrderedDict()  # ended before they were claimed

    def claim(self, session: str, now: int) -> bool:
        """A try came back with this session. False when the node has said already that it ended."""
        self.unclaimed.pop(session, None)
        if session in self.ended_early:
            del self.ended_early[session]
            return False
        self.mine[session] = now
        return True

    def started(self, session: str, now: int) -> None:
        """The node says that it started one for this front."""
        if session not in self.mine and session not in self.ended_early:
            self.unclaimed.setdefault(session, now)

    def ended(self, session: str) -> bool:
        """The node says that one ended; whether it was claimed."""
        self.unclaimed.pop(session, None)
        if self.mine.pop(session, None) is not None:
            return True
        self.ended_early[session] = None
        while len(self.ended_early) > self.most:
            self.ended_early.popitem(last=False)
        return False

    def drop(self, session: str) -> None:
        """This front ended one itself."""
        self.mine.pop(session, None)
        self.unclaimed.pop(session, None)

    def told(self, sessions: Iterable[str], as_of: int, now: int) -> list[str]:
        """All sessions that the node runs for this front, in a word that was asked for at a time; returns those claimed
        here that it lacks.

        A session claimed after the asking may be missing from the word and play all the same: it began between the
        node's word and the word's arrival.
        """
        running = set(sessions)
        lost = [s for s, since in self.mine.items() if s not in running and since < as_of]
        for session in lost:
            del self.mine[session]
        for session in sorted(running):
            self.started(session, now)
        return lost

    def orphans(self, now: int) -> list[str]:
        """The sessions to end now; each is named once."""
        out = []
        while self.unclaimed:
            session, since = next(iter(self.unclaimed.items()))
            if now - since <= self.claim_within and len(self.unclaimed) <= self.most:
                break
            del self.unclaimed[session]
            out.append(session)
        return out

    def stood(self, for_ns: int) -> None:
        """The front stood still for so long; that time counts against nobody's claim."""
        for session in self.unclaimed:
            self.unclaimed[session] += for_ns

    def presumed(self) -> list[str]:
        """The node is silent for too long: the sessions claimed there, which stay so until their end is known."""
        return list(self.mine)

    def all_lost(self) -> list[str]:
        """The node is lost: every claimed session, which it forgets."""
        lost, self.mine = list(self.mine), {}
        self.unclaimed.clear()
        self.ended_early.clear()
        return lost
