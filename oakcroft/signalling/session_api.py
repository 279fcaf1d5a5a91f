"""Messages of the session API, version 1: the schema for decoding, encoding and the reference page.

Text frames carry JSON under the subprotocol `oakcroft.v1.json`, binary frames MessagePack under `oakcroft.v1.msgpack`.
Messages that must reach the client are numbered (`n`); the client acknowledges them with `ack`.
"""

from __future__ import annotations

from typing import Annotated, get_args

import msgspec

JSON = "oakcroft.v1.json"
MSGPACK = "oakcroft.v1.msgpack"
SUBPROTOCOLS = (JSON, MSGPACK)
SafeInteger = Annotated[int, msgspec.Meta(ge=-(2**53 - 1), le=2**53 - 1)]
"""An integer that every client can represent (RFC 8259 6) and that both subprotocols can encode."""


class Hello(msgspec.Struct, tag="hello", forbid_unknown_fields=True):
    """First message of a connection. A client that reconnects sends its resume token in `resume` and the last number that
    it received in `seen`."""

    resume: str = ""
    seen: SafeInteger = 0
    token: str = ""


class Ask(msgspec.Struct, tag="ask", forbid_unknown_fields=True):
    """Requests a playback. The response is one `answer` with the same `id`."""

    id: SafeInteger
    path: str
    offer: str
    key: str = ""
    wait_s: SafeInteger = 0
    top: SafeInteger | None = None


class Layer(msgspec.Struct, tag="layer", forbid_unknown_fields=True):
    """Sets the highest rung that the player accepts from now on."""

    playback: str
    rung: SafeInteger
    id: SafeInteger = 0


class Pause(msgspec.Struct, tag="pause", forbid_unknown_fields=True):
    """The player is paused: the playback goes down to the floor of its plan."""

    playback: str
    id: SafeInteger = 0


class Resume(msgspec.Struct, tag="resume", forbid_unknown_fields=True):
    """The player continues: the playback may use the rungs that it had before the pause."""

    playback: str
    id: SafeInteger = 0


class End(msgspec.Struct, tag="end", forbid_unknown_fields=True):
    """Ends a playback."""

    playback: str
    id: SafeInteger = 0


class Trickle(msgspec.Struct, tag="trickle", forbid_unknown_fields=True):
    """ICE candidates or an ICE restart, as in a WHEP PATCH. `tag` is the entity tag, or * for a restart."""

    playback: str
    tag: str
    fragment: str
    id: SafeInteger = 0


class MoveOffer(msgspec.Struct, tag="move-offer", forbid_unknown_fields=True):
    """The offer of a player that was told to move. The response is `moved-to` or `done`."""

    playback: str
    offer: str
    key: str = ""
    id: SafeInteger = 0


class MoveDone(msgspec.Struct, tag="move-done", forbid_unknown_fields=True):
    """The player plays from the target of its move."""

    playback: str
    id: SafeInteger = 0


class Ack(msgspec.Struct, tag="ack", forbid_unknown_fields=True):
    """Acknowledges all messages up to number `n`."""

    n: SafeInteger


class Bye(msgspec.Struct, tag="bye", forbid_unknown_fields=True):
    """The client leaves and does not reconnect. Its playbacks end."""


FromClient = Hello | Ask | Layer | Pause | Resume | End | Trickle | MoveOffer | MoveDone | Ack | Bye


class Welcome(msgspec.Struct, tag="welcome"):
    """Response to `hello`. `resume` is the token for a reconnect within `keep_ms` after the connection is lost. `back`:
    the client session was resumed; `why`: the reason if a resume token was not accepted. `remembers`: the front end
    keeps idempotency keys over a restart, so that a request may be repeated under its key."""

    resume: str
    keep_ms: int
    back: bool
    why: str = ""
    playbacks: list[str] = []
    remembers: bool = False


class Answer(msgspec.Struct, tag="answer"):
    """The only response to an `ask`: 201 plays, 503 rejected, 504 aborted, others as in HTTP. `again`: this replays an
    earlier answer to the same key."""

    n: int
    id: int
    status: int
    kind: str = ""
    title: str = ""
    retry: bool = True
    retry_after_s: int | None = None
    playback: str = ""
    answer: str = ""
    tag: str = ""
    again: bool = False


class Event(msgspec.Struct, tag="event"):
    """Event of a playback. `kind` is `layers` with encodingId, `move`, or `inactive` with why."""

    n: int
    playback: str
    kind: str
    data: dict[str, str]


class Done(msgspec.Struct, tag="done"):
    """Response to a call other than `ask`: 200, or a problem. `tag` and `fragment` are set after an ICE restart."""

    n: int
    id: int
    status: int
    kind: str = ""
    title: str = ""
    tag: str = ""
    fragment: str = ""


class MovedTo(msgspec.Struct, tag="moved-to"):
    """The target node's answer to a `move-offer`."""

    n: int
    id: int
    playback: str
    answer: str
    tag: str


class Replaced(msgspec.Struct, tag="replaced"):
    """Another connection of this client has replaced this one."""


ToClient = Welcome | Answer | Event | Done | MovedTo | Replaced


class Codec:
    """Encodes and decodes messages of one subprotocol; decoding raises ValueError for an invalid message."""

    def __init__(self, subprotocol: str) -> None:
        """`subprotocol`: one of `SUBPROTOCOLS`."""
        self.is_binary = subprotocol == MSGPACK

    def encode(self, message: object) -> bytes:
        """Encodes a message."""
        return msgspec.msgpack.encode(message) if self.is_binary else msgspec.json.encode(message)

    def decode_client_message(self, data: bytes) -> FromClient:
        """Decodes a message from a client."""
        try:
            if self.is_binary:
                return msgspec.msgpack.decode(data, type=FromClient)
            return msgspec.json.decode(data, type=FromClient)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from None

    def decode_server_message(self, data: bytes) -> ToClient:
        """Decodes a message from a front end."""
        try:
            if self.is_binary:
                return msgspec.msgpack.decode(data, type=ToClient)
            return msgspec.json.decode(data, type=ToClient)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from None


def reference() -> str:
    """Returns the reference page of the API, generated from the message classes."""
    lines = [
        "# Session API, version 1",
        "",
        "Made from `oakcroft/signalling/session_api.py`; do not edit.",
        "",
        (__doc__ or "").strip(),
        "",
    ]
    for title, union in (("From the client", FromClient), ("To the client", ToClient)):
        lines += [f"## {title}", ""]
        for message_class in get_args(union):
            lines += _message_reference(message_class)
    return "\n".join(lines).rstrip() + "\n"


def _message_reference(message_class: type[msgspec.Struct]) -> list[str]:
    """Returns the section of the reference page on one message."""
    description = " ".join((message_class.__doc__ or "").split())
    lines = [f"### `{message_class.__struct_config__.tag}`", "", description, ""]
    fields = msgspec.structs.fields(message_class)
    if not fields:
        return lines
    lines += ["| field | type | default |", "| --- | --- | --- |"]
    lines += [f"| `{field.name}` | {_type_name(field.type)} | {_default(field)} |" for field in fields]
    return [*lines, ""]


def _type_name(type_: object) -> str:
    """Returns the name of a field type as the reference page has it."""
    name = type_.__name__ if isinstance(type_, type) else str(type_)
    name = name.replace(f"typing.Optional[{SafeInteger}]", "int | None").replace(str(SafeInteger), "int")
    return name.replace("|", "or")


def _default(field: msgspec.structs.FieldInfo) -> str:
    """Returns the default of a field as the reference page has it."""
    if field.required:
        return "required"
    return f"`{field.default!r}`" if field.default is not msgspec.NODEFAULT else "`[]`"
