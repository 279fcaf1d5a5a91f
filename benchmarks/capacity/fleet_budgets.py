"""What a front end may spend on control, and the goals for membership, in the users' words."""

from __future__ import annotations

MAX_OCTETS_PER_SECOND = 8_000
"""Each way, of any front end in any ten seconds. Taken as decimal, the stricter reading of 8 KB."""

MAX_CORE_SHARE = 0.03
MAX_MEMORY_MEGABYTES = 256.0

OWN_ZONE_DETECTION_SECONDS = 6.0
"""Seconds, p99: a crash is known in its own zone."""

FLEET_DETECTION_SECONDS = 20.0
"""Seconds, all: a crash is known everywhere."""
