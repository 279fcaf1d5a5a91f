"""The users' budgets for the control traffic, processor time and memory of a front end, and goals for detection."""

from __future__ import annotations

MAX_OCTETS_PER_SECOND = 8_000
"""In each direction, for any front end over any ten seconds. The budget says 8 KB; decimal is the stricter reading."""

MAX_CORE_SHARE = 0.03
MAX_MEMORY_MEGABYTES = 256.0

OWN_ZONE_DETECTION_SECONDS = 6.0
"""99th percentile of the time until a crash is known in its own zone."""

FLEET_DETECTION_SECONDS = 20.0
"""Maximum of the time until a crash is known everywhere."""
