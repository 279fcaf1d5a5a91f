"""Logs membership changes, one line each, with the reason. Event names and keys are an interface to operators."""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from oakcroft.decisions.membership.member_table import StateChange
from oakcroft.decisions.membership.zone_directory import ZoneChange


def log_changes(
    changes: Iterable[StateChange | ZoneChange], present: int, log: structlog.typing.FilteringBoundLogger
) -> None:
    """Logs each change; `present` is the current number of present members of the own zone."""
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
