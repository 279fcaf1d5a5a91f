"""Counters of messages and updates that a membership dropped or corrected, by reason."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Counters:
    """Counts since the start. The field names appear in `fleet view --json` and in metrics, and do not change."""

    unsound: int = 0  # implausible updates
    old_start: int = 0  # messages of an older generation
    other_start: int = 0  # probes meant for another generation of this front
    misaddressed: int = 0  # probes meant for another member that had this address
    full: int = 0  # new members that were not added because the table was full
    refuted: int = 0  # accusations of this front that it refuted
    stood_still: int = 0  # pauses of this process
    refused_leaves: int = 0  # leave updates without a valid proof
