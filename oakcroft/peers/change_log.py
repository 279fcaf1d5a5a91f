"""Changes of the membership as log lines, one each, with their evidence. The words are the operators'."""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from oakcroft.decisions.membership.member_table import StateChange
from oakcroft.decisions.membership.zone_directory import ZoneChange


def log_changes(
    changes: Iterable[StateChange | ZoneChange], present: int, log: structlog.typing.FilteringBoundLogger
) -> None:
    """A line for each change; `present` is how many members of the own zone are there now."""
    for change in changes:
        if isinstance(change, StateChange):
            log.info(
                "member", name=change.name, was=change.was, now=change.now, why=change.why, present=present
            )
        elif change.name:
            log.info(
                "zone member",
                zone=change.zone,
                name=change.name,
                was=change.was,
                now=change.now,
                why=change.why,
            )
        else:
            log.info("zone", zone=change.zone, was=change.was, now=change.now, why=change.why)
