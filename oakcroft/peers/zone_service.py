"""Hosts the protocol between zones: encodes and decodes its datagrams and reports zone status to operators."""

from __future__ import annotations

from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.zone_messages import OutgoingZoneMessage
from oakcroft.decisions.membership.zone_placement import ZoneStatus
from oakcroft.decisions.membership.zone_reporter import contact_of
from oakcroft.interface import MS
from oakcroft.peerwire.zone_codec import ZoneCodec


class ZoneService:
    """Connects one front's zoned membership to its datagrams."""

    def __init__(self, zoned: ZonedMembership, region: str, codec: ZoneCodec) -> None:
        """`region` is that of the front's own zone."""
        self.zoned = zoned
        self.region = region
        self.codec = codec

    def encode(self, outgoing: OutgoingZoneMessage) -> bytes:
        """Encodes a message as a datagram. Raises MessageError if it does not fit."""
        return self.codec.encode(contact_of(self.zoned.local.own_update), outgoing.message)

    def receive(self, opened: bytes, now: int) -> None:
        """Processes an authenticated datagram of this protocol. Raises MessageError if it is not valid."""
        received = self.codec.read(opened)
        self.zoned.receive_zone_message(received.sender, received.message, now)

    def status(self, now: int) -> dict[str, object]:
        """The own zone and region, the other zones, and the counters of this protocol, as plain values."""
        zoned = self.zoned
        return {
            "zone": zoned.zone,
            "region": self.region,
            "zones": [_zone_status(zone, now) for zone in zoned.zones()],
            "zone_counts": {
                **vars(zoned.paced_membership.counts),
                **vars(zoned.gossip.counts),
                **vars(zoned.directory.counts),
            },
        }


def _zone_status(zone: ZoneStatus, now: int) -> dict[str, object]:
    return {
        "zone": zone.zone,
        "region": zone.region,
        "present": zone.counts.present,
        "failed": zone.counts.failed,
        "left": zone.counts.left,
        "reachable": zone.is_reachable,
        "moved_ms": (now - zone.moved_at) // MS,
    }
