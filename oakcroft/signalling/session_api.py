"""The messages of the session API, version 1: schema of what is read, written, and of the reference page.

Text frames carry JSON under the subprotocol `oakcroft.v1.json`, binary ones MessagePack under `oakcroft.v1.msgpack`.
What a client must hear is numbered (`n`); it acknowledges with `ack`.
"""

from __future__ import annotations

from typing import Annotated, get_args

import msgspec

JSON, MSGPACK = "oakcroft.v1.json", "oakcroft.v1.msgpack"
SUBPROTOCOLS = (JSON, MSGPACK)
SafeInteger = Annotated[int, msgspec.Meta(ge=-(2**53 - 1), le=2**53 - 1)]
"""A whole number as every client can hold it (RFC 8259 6), and as both subprotocols can say it again."""


class Hello(msgspec.Struct, tag="hello", forbid_unknown_fields=True):
    """First message of a connection: a new client, or one that comes back with its pass and the last number it has."""

    resume: str = ""
    seen: SafeInteger = 0
    token: str = ""


class Ask(msgspec.Struct, tag="ask", forbid_unknown_fields=True):
    """Asks for a playback: answered by one `answer` with the same `id`."""

    id: SafeInteger
    path: str
    offer: str
    key: str = ""
    wait_s: SafeInteger = 0
    top: SafeInteger | None = None


class Layer(msgspec.Struct, tag="layer", forbid_unknown_fields=True):
    """The highest rung that the player takes from now on."""

    playback: str
    rung: SafeInteger
    id: SafeInteger = 0


class Pause(msgspec.Struct, tag="pause", forbid_unknown_fields=True):
    """The player shows nothing for now: the playback goes down to its plan's floor."""

    playback: str
    id: SafeInteger = 0


class Resume(msgspec.Struct, tag="resume", forbid_unknown_fields=True):
    """And up again, to what it took before."""

    playback: str
    id: SafeInteger = 0


class End(msgspec.Struct, tag="end", forbid_unknown_fields=True):
    """Ends a playback."""

    playback: str
    id: SafeInteger = 0


class Trickle(msgspec.Struct, tag="trickle", forbid_unknown_fields=True):
    """ICE candidates or a restart, as in a WHEP PATCH: `tag` is the entity tag, or * for a restart."""

    playback: str
    tag: str
    fragment: str
    id: SafeInteger = 0


class MoveOffer(msgspec.Struct, tag="move-offer", forbid_unknown_fields=True):
    """The offer of a player that was told to move; answered by `moved-to` or `done`."""

    playback: str
    offer: str
    key: str = ""
    id: SafeInteger = 0


class MoveDone(msgspec.Struct, tag="move-done", forbid_unknown_fields=True):
    """The player plays from the target."""

    playback: str
    id: SafeInteger = 0


class Ack(msgspec.Struct, tag="ack", forbid_unknown_fields=True):
    """The client has everything up to `n`."""

    n: SafeInteger


class Bye(msgspec.Struct, tag="bye", forbid_unknown_fields=True):
    """The client leaves for good: what it plays ends."""


FromClient = Hello | Ask | Layer | Pause | Resume | End | Trickle | MoveOffer | MoveDone | Ack | Bye


class Welcome(msgspec.Struct, tag="welcome"):
    """Answer to `hello`: the pass to come back with, for how long, and whether the client came back to its seat.
    `remembers`: the front knows its keys over a restart, so that a request may be said again under its key."""

    resume: str
    keep_ms: int
    back: bool
    why: str = ""
    playbacks: list[str] = []
    remembers: bool = False


class Answer(msgspec.Struct, tag="answer"):
    """The one answer to an `ask`: 201 plays, 503 rejected, 504 aborted, others as in HTTP. `again`: this key's answer was
    given before."""

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
    """News of a playback: `layers` with encodingId, `move`, `inactive` with why."""

    n: int
    playback: str
    kind: str
    data: dict[str, str]


class Done(msgspec.Struct, tag="done"):
    """The end of a call other than `ask`: 200, or a problem; `tag` and `fragment` after an ICE restart."""

    n: int
    id: int
    status: int
    kind: str = ""
    title: str = ""
    tag: str = ""
    fragment: str = ""


class MovedTo(msgspec.Struct, tag="moved-to"):
    """The target's answer to a `move-offer`."""

    n: int
    id: int
    playback: str
    answer: str
    tag: str


class Replaced(msgspec.Struct, tag="replaced"):
    """Another connection speaks for this client now."""


ToClient = Welcome | Answer | Event | Done | MovedTo | Replaced


class Codec:
    """Reads and writes messages of one subprotocol. ValueError for what is no message."""

    def __init__(self, subprotocol: str) -> None:
        self.binary = subprotocol == MSGPACK

    def encode(self, message: object) -> bytes:
        """A message as bytes."""
        return msgspec.msgpack.encode(message) if self.binary else msgspec.json.encode(message)

    def decode_client_message(self, data: bytes) -> FromClient:
        """A client's message."""
        try:
            if self.binary:
                return msgspec.msgpack.decode(data, type=FromClient)
            return msgspec.json.decode(data, type=FromClient)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            raise ValueError(str(fault)) from None

    def decode_server_message(self, data: bytes) -> ToClient:
        """A front's message, as a client reads it."""
        try:
            if self.binary:
                return msgspec.msgpack.decode(data, type=ToClient)
            return msgspec.json.decode(data, type=ToClient)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            raise ValueError(str(fault)) from None


def reference() -> str:
    """The reference page of the API, from the messages themselves."""
    out = ["# Session API, version 1", "", "Made from `oakcroft/signalling/session_api.py`; do not edit.", "",
           (__doc__ or "").strip(), ""]  # fmt: skip
    for title, union in (("From the client", FromClient), ("To the client", ToClient)):
        out += [f"## {title}", ""]
        for kind in get_args(union):
            out += [f"### `{kind.__struct_config__.tag}`", "", " ".join((kind.__doc__ or "").split()), ""]
            fields = list(msgspec.structs.fields(kind))
            if fields:
                out += ["| field | type | default |", "| --- | --- | --- |"]
                for f in fields:
                    shown = getattr(f.type, "__name__", None) if isinstance(f.type, type) else str(f.type)
                    shown = (
                        str(shown)
                        .replace(f"typing.Optional[{SafeInteger}]", "int | None")
                        .replace(str(SafeInteger), "int")
                    )
                    default = (
                        "must stand"
                        if f.required
                        else f"`{f.default!r}`"
                        if f.default is not msgspec.NODEFAULT
                        else "`[]`"
                    )
                    out.append(f"| `{f.name}` | {str(shown).replace('|', 'or')} | {default} |")
                out.append("")
    return "\n".join(out).rstrip() + "\n"
