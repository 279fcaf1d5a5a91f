"""Hosts the layer between zones: its datagrams in and out, and what operators see of other zones."""

from __future__ import annotations

from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.zone_messages import OutgoingZoneMessage
from oakcroft.decisions.membership.zone_placement import ZoneStatus
from oakcroft.decisions.membership.zone_summary import ZoneContact
from oakcroft.interface import MS
from oakcroft.peerwire.zone_codec import ZoneCodec


class ZoneService:
    """The layer between zones of one front."""

    def __init__(self, zoned: ZonedMembership, region: str, codec: ZoneCodec) -> None:
        """`zoned` decides, `region` is the own zone's, `codec` reads and writes messages."""
        self.zoned = zoned
        self.region = region
        self.codec = codec

    def encode(self, out: OutgoingZoneMessage) -> bytes:
        """A message as a datagram. MessageError where it is too long for one."""
        me = self.zoned.local.me
        sender = ZoneContact(me.name, me.generation, me.zone, me.host, me.port)
        return self.codec.encode(sender, out.message)

    def receive(self, opened: bytes, now: int) -> None:
        """An opened datagram of this layer. MessageError where it is none."""
        received = self.codec.read(opened)
        self.zoned.receive_zone_message(received.sender, received.message, now)

    def status(self, now: int) -> dict[str, object]:
        """The own zone and region, the other zones, and the counts of this layer, as plain values."""
        zoned = self.zoned
        return {
            "zone": zoned.zone,
            "region": self.region,
            "zones": [_zone_status(zone, now) for zone in zoned.zones()],
            "zone_counts": {
                **vars(zoned.pool.counts),
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
