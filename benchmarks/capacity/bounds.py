"""Bounds and paces that stand as constants in today's text, commit 414ace3, as far as rows rest on them.

They are typed here, not imported: the rows of today's text stay what they were when that text changes.
"""

from __future__ import annotations

from dataclasses import dataclass

COMMIT = "414ace3"


@dataclass(frozen=True)
class Bound:
    """One constant, its name and the file that has it."""

    value: float
    source: str


MAX_SESSIONS = Bound(8_192, "`platform/owner.py` MOST_PLAYING")
MAX_TITLES = Bound(1_024, "`platform/owner.py` MOST_TITLES")
MAX_LIST_OCTETS = Bound(262_144, "`platformwire/polling.py` MOST_ANSWER")
MAX_LIST_NODES = Bound(4_096, "`platformwire/channel.py` MOST_NODES")
MAX_MEMBERS = Bound(1_024, "`decisions/fleet/view.py` MOST_MEMBERS")
MAX_LEASES = Bound(64, "`decisions/fleet/keeping.py` MOST_DUTIES")
MAX_TAKEOVER_PAIRS = Bound(65_536, "`decisions/fleet/adopting.py` MOST_PAIRS")
STAGED_ROLLOUT_S = Bound(30.0, "`decisions/fleet/rollout.py` SHARES, three of them, and 10 s of watch each")
MAX_LOAD_AGE_S = Bound(20.0, "`decisions/fleet/figures.py` MOST_AGE")
MAX_LOAD_REPORTS_PER_S = Bound(36.0, "`decisions/fleet/figures.py` A_SECOND")
KEPT_VERSIONS = Bound(50, "`decisions/routing/catalogue.py`, versions kept")
SESSION_LEASE_S = Bound(15.0, "docs/adopting.md, the lease of a lost front's sessions")
CRASH_DETECTION_S = Bound(6.0, "docs/fleet.md, a crash known to all")
TAKEOVER_DELAY_S = Bound(1.0, "docs/adopting.md, `(after 1s)`")
