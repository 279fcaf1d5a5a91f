"""Codec of membership messages: sealed MessagePack.

message = seal:16 format:1 body
body = [fleet, sender, kind, sequence, receiver, receiver generation, target, updates, more]
update = [name, generation, incarnation, state, host, port, zone, version, proof, reported by]

Neighbouring formats are compatible: a later format may add fields at the end of an array and kinds of messages; a
program of the earlier format ignores them, and one of the later format does not need them. All other messages are
dropped, with a reason that is counted. The structures here are only used on the wire; decoded messages are types of
`oakcroft.decisions.membership`.
"""

from __future__ import annotations

from ipaddress import ip_address

import msgspec

from oakcroft.decisions.membership.member import MAX_NAME_LENGTH, MemberState, MemberUpdate
from oakcroft.decisions.membership.messages import (
    MAX_UPDATES,
    MemberId,
    Message,
    MessageKind,
    ProbeTarget,
    ReceivedMessage,
)
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.sealing import KeyRing

FORMAT = 1
FORMATS_READ = (FORMAT, FORMAT + 1)
"""Formats that are decoded; there is none before the first."""

MAX_DATAGRAM_BYTES = 1_400
"""Size of a datagram, including the seal; crosses an Ethernet path unfragmented, with room for tunnel headers."""

MAX_TEXT_LENGTH = MAX_NAME_LENGTH
"""Characters of a host, zone, version or reporter."""

STATES = {state.value: state for state in MemberState}
KINDS = {kind.value: kind for kind in MessageKind}


class WireUpdate(msgspec.Struct, array_like=True):
    """A `MemberUpdate` on the wire."""

    name: str
    generation: int
    incarnation: int
    state: int
    host: str
    port: int
    zone: str
    version: str
    proof: bytes
    reported_by: str = ""


class WireBody(msgspec.Struct, array_like=True):
    """The body of a message; `more` says whether another part of a push-pull follows."""

    fleet: str
    sender: WireUpdate
    kind: int
    sequence: int = 0
    receiver: str = ""
    receiver_generation: int = 0
    target: tuple[str, int, str, int] | None = None
    updates: list[WireUpdate] = []
    more: bool = False


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(WireBody)


def to_wire(update: MemberUpdate) -> WireUpdate:
    """Converts an update to its wire structure."""
    return WireUpdate(
        update.name,
        update.generation,
        update.incarnation,
        update.state.value,
        update.host,
        update.port,
        update.zone,
        update.version,
        update.proof,
        update.reported_by,
    )


def from_wire(wire: WireUpdate) -> MemberUpdate | None:
    """Converts a wire structure to an update; None if this format cannot express it, such as an unknown state."""
    longest = max(len(text) for text in (wire.host, wire.zone, wire.version, wire.reported_by))
    if longest > MAX_TEXT_LENGTH or wire.state not in STATES or not is_numeric_host(wire.host):
        return None
    return MemberUpdate(
        wire.name,
        wire.generation,
        wire.incarnation,
        STATES[wire.state],
        wire.host,
        wire.port,
        wire.zone,
        wire.version,
        wire.proof,
        wire.reported_by,
    )


def is_numeric_host(host: str) -> bool:
    """Whether a host is an IP address. A host name would block the whole process for seconds while it is resolved."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


class MembershipCodec:
    """Encodes and decodes the membership messages of one fleet."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """`fleet` is the fleet's name; `ring` has the keys to seal and open messages."""
        self.fleet = fleet
        self.ring = ring

    def encode(self, sender: MemberUpdate, message: Message) -> bytes:
        """Encodes one datagram. Leaves out the last updates if not all fit."""
        updates = [to_wire(update) for update in message.updates]
        while True:
            body = self._body(sender, message, updates)
            octets = self.seal(body)
            if len(octets) <= MAX_DATAGRAM_BYTES or not updates:
                return octets
            updates.pop()

    def _body(self, sender: MemberUpdate, message: Message, updates: list[WireUpdate]) -> WireBody:
        target = message.target
        wire_target = None if target is None else (target.name, target.generation, *target.address)
        return WireBody(
            self.fleet,
            to_wire(sender),
            message.kind.value,
            message.sequence,
            *message.receiver,
            wire_target,
            updates,
        )

    def seal(self, body: WireBody) -> bytes:
        """Encodes and seals a body."""
        return self.ring.seal(bytes((FORMAT,)) + ENCODER.encode(body))

    def open(self, octets: bytes, now: int) -> bytes:
        """Returns the content of a sealed datagram, format byte first. Raises MessageError if it is not authentic."""
        if len(octets) > MAX_DATAGRAM_BYTES:
            raise MessageError("too long")
        return self.unseal(octets, now)

    def unseal(self, octets: bytes, now: int) -> bytes:
        """Returns sealed content of any length. Raises MessageError if it is not authentic."""
        opened = self.ring.open(octets, now)
        if opened is None:
            raise MessageError("not sealed")
        return opened

    def decode(self, octets: bytes, now: int) -> ReceivedMessage:
        """Opens and decodes a datagram. Raises MessageError if it is invalid."""
        return self.read(self.open(octets, now))

    def read(self, opened: bytes) -> ReceivedMessage:
        """Decodes an opened datagram. Raises MessageError if it is invalid."""
        body = self.read_body(opened)
        kind = KINDS.get(body.kind)
        if kind is None or kind is MessageKind.PUSH_PULL:
            raise MessageError("unknown kind")
        sender = from_wire(body.sender)
        if sender is None:
            raise MessageError("malformed")
        updates = [update for wire in body.updates[:MAX_UPDATES] if (update := from_wire(wire)) is not None]
        receiver = MemberId(body.receiver, body.receiver_generation)
        return ReceivedMessage(sender, kind, body.sequence, receiver, _target(body), updates)

    def read_body(self, opened: bytes) -> WireBody:
        """Decodes the body of an opened message. Raises MessageError if it is not one of this fleet."""
        if not opened or opened[0] not in FORMATS_READ:
            raise MessageError("other form")
        try:
            body = DECODER.decode(opened[1:])
        except msgspec.MsgspecError as error:
            raise MessageError("malformed") from error
        if body.fleet != self.fleet:
            raise MessageError("other fleet")
        return body


def _target(body: WireBody) -> ProbeTarget | None:
    if body.target is None:
        return None
    name, generation, host, port = body.target
    if not is_numeric_host(host):
        raise MessageError("malformed")
    return ProbeTarget(name, generation, (host, port))
