"""Encoding of full states over a stream, for push-pull: parts in order, each preceded by its length in two octets."""

from __future__ import annotations

from collections.abc import Sequence

from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.messages import MessageKind
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MembershipCodec, WireBody, from_wire, to_wire
from oakcroft.peerwire.sealing import SEAL_LENGTH

MAX_PART_BYTES = 16_384
MAX_PARTS = 64
"""Parts of one full state, in each direction."""

UPDATES_PER_PART = 96
LENGTH_OCTETS = 2


def frame(octets: bytes) -> bytes:
    """Prepends the length of `octets`."""
    return len(octets).to_bytes(LENGTH_OCTETS, "big") + octets


def write_full_state(codec: MembershipCodec, updates: Sequence[MemberUpdate]) -> bytes:
    """Encodes a full state; the first update is the sender's own. Updates beyond `MAX_PARTS` are left out."""
    sender = updates[0]
    rest = updates[1 : 1 + MAX_PARTS * UPDATES_PER_PART]
    parts = [rest[i : i + UPDATES_PER_PART] for i in range(0, len(rest), UPDATES_PER_PART)] or [[]]
    octets = bytearray()
    for number, part in enumerate(parts):
        more = number + 1 < len(parts)
        wire_updates = [to_wire(update) for update in part]
        kind = MessageKind.PUSH_PULL.value
        body = WireBody(codec.fleet, to_wire(sender), kind, number, updates=wire_updates, more=more)
        octets += frame(codec.seal(body))
    return bytes(octets)


class FullStateReader:
    """Incremental decoder of a full state. `done` is set once it is complete."""

    def __init__(self, codec: MembershipCodec) -> None:
        """Starts with an empty buffer."""
        self.codec = codec
        self.buffer = bytearray()
        self.sender: MemberUpdate | None = None
        self.updates = list[MemberUpdate]()
        self.parts = 0
        self.done = False

    def receive_data(self, octets: bytes, now: int) -> None:
        """Decodes received data. Raises MessageError if it is not a full state of this fleet."""
        self.buffer += octets
        while not self.done and len(self.buffer) >= LENGTH_OCTETS:
            length = int.from_bytes(self.buffer[:LENGTH_OCTETS], "big")
            if length > MAX_PART_BYTES:
                raise MessageError("too long")
            if length <= SEAL_LENGTH:
                raise MessageError("malformed")
            end = LENGTH_OCTETS + length
            if len(self.buffer) < end:
                return
            opened = self.codec.unseal(bytes(self.buffer[LENGTH_OCTETS:end]), now)
            del self.buffer[:end]
            self._add_part(self.codec.read_body(opened))

    def _add_part(self, body: WireBody) -> None:
        sender = from_wire(body.sender)
        if body.kind != MessageKind.PUSH_PULL.value or body.sequence != self.parts or sender is None:
            raise MessageError("malformed")
        if self.sender is not None and self.sender.name != sender.name:
            raise MessageError("malformed")
        self.sender = sender
        self.parts += 1
        self.updates += [
            update for wire in body.updates[:UPDATES_PER_PART] if (update := from_wire(wire)) is not None
        ]
        if self.parts >= MAX_PARTS and body.more:
            raise MessageError("too long")
        self.done = not body.more
