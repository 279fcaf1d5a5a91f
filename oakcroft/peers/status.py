"""Membership status of one front as plain values, for operators.

The keys are an interface (`oakcroft fleet view --json`) and do not change: `standing` is a member's state, `start` its
generation, `wing` its zone.
"""

from __future__ import annotations

from oakcroft.decisions.membership.member_table import Member
from oakcroft.decisions.membership.membership import Membership
from oakcroft.interface import MS


def membership_status(membership: Membership, now: int) -> dict[str, object]:
    """Status of the membership: this front itself and all members."""
    members = [member_status(member, now) for _, member in sorted(membership.members.items())]
    return {
        "name": membership.own_update.name,
        "start": membership.own_update.generation,
        "incarnation": membership.own_update.incarnation,
        "displaced": membership.displaced,
        "joined": membership.joined,
        "slow": membership.health.multiplier,
        "members": members,
    }


def member_status(member: Member, now: int) -> dict[str, object]:
    """Status of one member."""
    latest = member.latest
    return {
        "name": latest.name,
        "standing": latest.state.label,
        "start": latest.generation,
        "incarnation": latest.incarnation,
        "address": f"{latest.host}:{latest.port}",
        "wing": latest.zone,
        "version": latest.version,
        "since_ms": (now - member.since) // MS,
        "heard_ms": (now - member.last_received_at) // MS if member.last_received_at else None,
        "by": latest.reported_by,
    }
