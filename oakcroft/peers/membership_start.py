"""Creates a front's membership: flat, or with zones if the configuration names a region."""

from __future__ import annotations

import secrets
from random import Random

import structlog

from oakcroft import __version__
from oakcroft.config.settings import PeerSettings
from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.member import MemberState, MemberUpdate, commitment
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.zone_placement import ZonePlacement, ZoneSeeds
from oakcroft.peers.generations import begin_generation

SECRET_LENGTH = 16

HostedMembership = Membership | ZonedMembership
"""The membership of a front; both kinds have the same methods."""


def begin_membership(
    settings: PeerSettings, zone: str, seed: int, now: int, log: structlog.typing.FilteringBoundLogger
) -> HostedMembership:
    """Creates the membership of this start, with a generation higher than that of the previous start."""
    generation, file_error = begin_generation(settings.start_count_file)
    if file_error:
        log.warning("start not kept", file=settings.start_count_file, why=file_error)
    secret = secrets.token_bytes(SECRET_LENGTH)
    own_update = MemberUpdate(
        settings.name,
        generation,
        0,
        MemberState.ALIVE,
        *settings.advertise,
        zone,
        __version__,
        commitment(secret),
    )
    if not settings.region:
        return Membership(own_update, secret, Random(seed), now, settings.seeds)
    others = tuple(ZoneSeeds(other.zone, other.region, other.addresses) for other in settings.other_zones)
    placement = ZonePlacement(settings.region, settings.seeds, others)
    return ZonedMembership(own_update, secret, Random(seed), now, placement)


def own_zone_membership(hosted: HostedMembership) -> Membership:
    """The flat membership: of the whole fleet, or of the front's own zone."""
    return hosted.local if isinstance(hosted, ZonedMembership) else hosted


def leave_in_order(hosted: HostedMembership, now: int) -> None:
    """Leaves the fleet: adds this front's last update to the messages to be sent."""
    if isinstance(hosted, ZonedMembership):
        hosted.leave(now)
    else:
        hosted.leave()
