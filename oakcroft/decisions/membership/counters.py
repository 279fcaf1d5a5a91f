"""What a membership dropped or corrected, and why."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Counters:
    """Counts since the start. The field names are what `fleet view --json` and metrics show, and stay as they are."""

    unsound: int = 0  # updates that no sound member could have sent
    old_start: int = 0  # messages of an older generation
    other_start: int = 0  # probes meant for another generation of this front
    misaddressed: int = 0  # probes meant for another member that had this address
    full: int = 0  # newcomers for whom the table had no room
    refuted: int = 0  # accusations of this front
    stood_still: int = 0  # pauses of this process
    refused_leaves: int = 0  # leaves without the proof
