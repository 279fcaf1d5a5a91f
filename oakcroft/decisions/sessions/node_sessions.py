"""Sessions of this front end on one node: its own view reconciled with the node's reports.

A set-up whose answer was lost leaves a session that belongs to no playback, and while an event stream is broken,
ends of sessions are missed. The node's reports, sent when an event stream opens and at each start and end of a
session, reveal both.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class NodeSessions:
    """The sessions of this front end on one node, by the path of their resource.

    This guards against orphans. A session that the node started for this front end and that no try has
    claimed within `claim_timeout` (longer than any try may take) is to be ended, as its viewer was told that
    the set-up failed. Causes are lost answers, timeouts, viewers that left meanwhile, and a node that reports
    ever more sessions: past `max_unclaimed`, far more than the tries that can be in progress on one node, the
    oldest are ended at once. It also guards against playbacks kept here that the node has ended without the
    front end's knowledge.

    A front end that was paused for longer than `claim_timeout` would end sessions whose answers are still in
    its receive buffers, so pauses do not count (`discount_pause`).
    """

    def __init__(self, claim_timeout: int, max_unclaimed: int = 4096) -> None:
        """Starts without sessions. `claim_timeout`: ns."""
        self.claim_timeout = claim_timeout
        self.max_unclaimed = max_unclaimed
        self.claimed: dict[str, int] = {}  # claimed sessions and the times of their claims, ns
        self.unclaimed: OrderedDict[str, int] = OrderedDict()  # sessions that the node reported, and when, ns
        self.ended_unclaimed: OrderedDict[str, None] = OrderedDict()  # ended before they were claimed

    def claim(self, session: str, now: int) -> bool:
        """Claims the session that a try returned; False if the node has reported its end already. `now`: ns."""
        self.unclaimed.pop(session, None)
        if session in self.ended_unclaimed:
            del self.ended_unclaimed[session]
            return False
        self.claimed[session] = now
        return True

    def session_started(self, session: str, now: int) -> None:
        """Handles the node's report that it started a session for this front end. `now`: ns."""
        if session not in self.claimed and session not in self.ended_unclaimed:
            self.unclaimed.setdefault(session, now)

    def session_ended(self, session: str) -> bool:
        """Handles the node's report that a session ended; returns whether the session was claimed."""
        self.unclaimed.pop(session, None)
        if self.claimed.pop(session, None) is not None:
            return True
        self.ended_unclaimed[session] = None
        while len(self.ended_unclaimed) > self.max_unclaimed:
            self.ended_unclaimed.popitem(last=False)
        return False

    def session_released(self, session: str) -> None:
        """Forgets a session that this front end ended itself."""
        self.claimed.pop(session, None)
        self.unclaimed.pop(session, None)

    def reconcile(self, sessions: Iterable[str], requested_at: int, now: int) -> list[str]:
        """Compares with the node's list of all sessions of this front end; returns the claimed ones missing there.

        `requested_at`: when the list was requested, ns. A session claimed since then may be missing from the
        list although it plays, because it started between the node's report and the report's arrival.
        """
        running = set(sessions)
        lost = [
            session
            for session, claimed_at in self.claimed.items()
            if session not in running and claimed_at < requested_at
        ]
        for session in lost:
            del self.claimed[session]
        for session in sorted(running):
            self.session_started(session, now)
        return lost

    def take_orphans(self, now: int) -> list[str]:
        """Returns the sessions to end now, each of them once. `now`: ns."""
        orphans = []
        while self.unclaimed:
            session, since = next(iter(self.unclaimed.items()))
            if now - since <= self.claim_timeout and len(self.unclaimed) <= self.max_unclaimed:
                break
            del self.unclaimed[session]
            orphans.append(session)
        return orphans

    def discount_pause(self, pause_ns: int) -> None:
        """Discounts a pause of the front end from the age of all unclaimed sessions."""
        for session in self.unclaimed:
            self.unclaimed[session] += pause_ns

    def claimed_sessions(self) -> list[str]:
        """Returns the claimed sessions; on a silent node they stay claimed until their end is known."""
        return list(self.claimed)

    def lose_all(self) -> list[str]:
        """Forgets all sessions of a lost node and returns the claimed ones."""
        lost = list(self.claimed)
        self.claimed = {}
        self.unclaimed.clear()
        self.ended_unclaimed.clear()
        return lost
