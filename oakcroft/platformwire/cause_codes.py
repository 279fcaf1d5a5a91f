"""Cause codes that the front end sends in releases to viewers and in closes to playout nodes."""

from __future__ import annotations

# Releases to viewers.
ENDED = 16  # the playback ended in order
FAILED = 41  # the set-up was aborted, or the playback was cut off
REJECTED = 42  # the set-up was rejected, and nothing ran

# Closes to nodes.
CANCELLED = 16  # the set-up was cancelled, or the viewer has ended the playback

# Tests of nodes.
TEST = 0
