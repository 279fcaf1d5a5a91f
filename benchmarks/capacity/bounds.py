"""Limits and delays that rows of the page rest on: constants of the program, with their values at commit 414ace3.

The values are copied, not imported, so that the rows of today's program do not change when the program does. `source`
names the constant's present module and name.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Bound:
    """The value of a constant, and the file that defines it."""

    value: float
    source: str


MAX_SESSIONS = Bound(8_192, "`platform/session_coordinator.py` MAX_SESSIONS")
MAX_TITLES = Bound(1_024, "`platform/session_coordinator.py` MAX_TITLES")
MAX_LIST_OCTETS = Bound(33_554_432, "`platformwire/long_poll.py` MAX_ANSWER_BYTES")
MAX_LIST_NODES = Bound(65_536, "`platformwire/command_channel.py` MAX_ANSWER_MEMBERS")
MAX_MEMBERS = Bound(1_024, "`decisions/membership/member_table.py` MAX_MEMBERS")
MAX_LEASES = Bound(64, "`decisions/fleet/acceptor.py` MAX_LEASES")
MAX_TAKEOVER_PAIRS = Bound(65_536, "`decisions/fleet/session_takeover.py` MAX_TASKS")
MAX_LOAD_AGE_S = Bound(20.0, "`decisions/fleet/load_sharing.py` MAX_REPORT_AGE")
KEPT_VERSIONS = Bound(50, "`decisions/routing/catalogue.py` VersionHistory.max_versions")
SESSION_LEASE_S = Bound(15.0, "docs/adopting.md, the lease of a failed front's sessions")
CRASH_DETECTION_S = Bound(6.0, "docs/fleet.md, time until all members know of a crash")
TAKEOVER_DELAY_S = Bound(1.0, "docs/adopting.md, `(after 1s)`")
