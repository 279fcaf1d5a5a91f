"""Seals: who holds the fleet's key may speak, and nobody else is heard.

A key file holds one key a line, 32 octets in hexadecimal. The first seals; all open. So a key is changed while
serving by adding the new one below the old on every front, then putting it first, then taking the old one out; one
that is taken out still opens for `LINGERS`, for the fronts that have not read their files yet. This is no encryption:
what peers say of each other is no secret, but nobody else may say it.
"""

from __future__ import annotations

import hashlib
import hmac

from oakcroft.interface import SECOND

MAC = 16
MOST_KEYS = 4
LINGERS = 120 * SECOND
PERSON = b"oakcroft-peers"


class BadKeys(Exception):
    """A key file that can't be used; says why, never what stands in it."""


def keys_of(text: str) -> tuple[bytes, ...]:
    """The keys of a file's text, the sealing one first. BadKeys where there is none, or one is no key."""
    found = list[bytes]()
    for number, line in enumerate(text.splitlines(), 1):
        word = line.split("#")[0].strip()
        if not word:
            continue
        try:
            key = bytes.fromhex(word)
        except ValueError:
            key = b""
        if len(key) != 32:
            raise BadKeys(f"line {number} is not 64 hexadecimal digits")
        found.append(key)
    if not 0 < len(found) <= MOST_KEYS:
        raise BadKeys(f"it holds {len(found)} keys; 1 to {MOST_KEYS} are wanted")
    return tuple(found)


class Ring:
    """The keys in force."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys
        self.former: dict[bytes, int] = {}  # until when they still open

    def change(self, keys: tuple[bytes, ...], now: int) -> None:
        """Other keys from now on."""
        self.former = {k: t for k, t in self.former.items() if t > now and k not in keys}
        self.former |= {k: now + LINGERS for k in self.keys if k not in keys}
        while len(self.former) > MOST_KEYS:
            del self.former[min(self.former, key=lambda k: self.former[k])]
        self.keys = keys

    def marks(self) -> list[str]:
        """A mark of each key in force, the sealing one first, for operators to compare; no key follows from it."""
        return [hashlib.blake2b(k, digest_size=4, person=b"oakcroft-mark").hexdigest() for k in self.keys]

    def seal(self, body: bytes) -> bytes:
        """A body under its seal."""
        return _mac(self.keys[0], body) + body

    def open(self, sealed: bytes, now: int) -> bytes | None:
        """The body of what a holder of a key has sealed; None for all else."""
        seal, body = sealed[:MAC], sealed[MAC:]
        for key in (*self.keys, *(k for k, until in self.former.items() if until > now)):
            if hmac.compare_digest(seal, _mac(key, body)):
                return body
        return None


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC, person=PERSON).digest()
