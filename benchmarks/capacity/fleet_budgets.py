"""What a front end may spend on control, and the goals for membership, in the users' words."""

from __future__ import annotations

OCTETS_A_SECOND = 8_000
"""Each way, of any front end in any ten seconds. Taken as decimal, the stricter reading of 8 KB."""

SHARE_OF_A_CORE = 0.03
MEGABYTES = 256.0

OWN_ZONE_WITHIN = 6.0
"""Seconds, p99: a crash is known in its own zone."""

EVERYWHERE_WITHIN = 20.0
"""Seconds, all: a crash is known everywhere."""
