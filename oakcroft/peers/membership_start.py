"""How a front begins its membership: flat, or by zone and region where the configuration names a region."""

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
"""What a front hosts; both are called alike."""


def begin_membership(
    place: PeerSettings, zone: str, seed: int, now: int, log: structlog.typing.FilteringBoundLogger
) -> HostedMembership:
    """The membership of this start, with a generation over the last one."""
    generation, trouble = begin_generation(place.start_count_file)
    if trouble:
        log.warning("start not kept", file=place.start_count_file, why=trouble)
    secret = secrets.token_bytes(SECRET_LENGTH)
    me = MemberUpdate(
        place.name, generation, 0, MemberState.ALIVE, *place.advertise, zone, __version__, commitment(secret)
    )
    if not place.region:
        return Membership(me, secret, Random(seed), now, place.seeds)
    others = tuple(ZoneSeeds(other.zone, other.region, other.addresses) for other in place.other_zones)
    placement = ZonePlacement(place.region, place.seeds, others)
    return ZonedMembership(me, secret, Random(seed), now, placement)


def own_zone_membership(hosted: HostedMembership) -> Membership:
    """The flat membership in it: of the whole fleet, or of the own zone."""
    return hosted.local if isinstance(hosted, ZonedMembership) else hosted


def leave_in_order(hosted: HostedMembership, now: int) -> None:
    """Puts the last update of this front into the messages to be sent."""
    if isinstance(hosted, ZonedMembership):
        hosted.leave(now)
    else:
        hosted.leave()
