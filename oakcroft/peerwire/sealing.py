"""Seals: only holders of the fleet's key may speak, and nobody else is listened to.

A key file holds one key a line, 32 octets in hexadecimal. The first seals; all open. So a key is changed while
serving by adding the new one below the old on every front, then putting it first, then taking the old one out; one
that is taken out still opens for `RETIRED_KEY_LIFETIME`, for the fronts that have not read their files yet. This is no
encryption: what peers say of each other is no secret, but nobody else may say it.
"""

from __future__ import annotations

import hashlib
import hmac

from oakcroft.interface import SECOND

SEAL_LENGTH = 16
KEY_LENGTH = 32
MAX_KEYS = 4
RETIRED_KEY_LIFETIME = 120 * SECOND
SEAL_PERSONALIZATION = b"oakcroft-peers"
"""Domain of the keyed BLAKE2b (RFC 7693), so that a seal is good for nothing else."""

FINGERPRINT_LENGTH = 4


class KeyFileError(Exception):
    """A key file that can't be used; says why, never what stands in it."""


def parse_keys(text: str) -> tuple[bytes, ...]:
    """The keys of a file's text, the sealing one first. KeyFileError where there is none, or one is no key."""
    keys = list[bytes]()
    for number, line in enumerate(text.splitlines(), 1):
        digits = line.split("#")[0].strip()
        if not digits:
            continue
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            key = b""
        if len(key) != KEY_LENGTH:
            raise KeyFileError(f"line {number} is not {2 * KEY_LENGTH} hexadecimal digits")
        keys.append(key)
    if not 0 < len(keys) <= MAX_KEYS:
        raise KeyFileError(f"it holds {len(keys)} keys; 1 to {MAX_KEYS} are wanted")
    return tuple(keys)


class KeyRing:
    """The keys in force."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """The first of `keys` seals; all open."""
        self.keys = keys
        self.former: dict[bytes, int] = {}  # until when they still open

    def change(self, keys: tuple[bytes, ...], now: int) -> None:
        """Other keys from now on."""
        self.former = {k: until for k, until in self.former.items() if until > now and k not in keys}
        self.former |= {k: now + RETIRED_KEY_LIFETIME for k in self.keys if k not in keys}
        while len(self.former) > MAX_KEYS:
            del self.former[min(self.former, key=lambda k: self.former[k])]
        self.keys = keys

    def fingerprints(self) -> list[str]:
        """Of each key in force, the sealing one first, for operators to compare; no key follows from it."""
        return [
            hashlib.blake2b(key, digest_size=FINGERPRINT_LENGTH, person=b"oakcroft-mark").hexdigest()
            for key in self.keys
        ]

    def seal(self, body: bytes) -> bytes:
        """A body under its seal."""
        return _mac(self.keys[0], body) + body

    def open(self, sealed: bytes, now: int) -> bytes | None:
        """The body of what a holder of a key has sealed; None for all else."""
        seal, body = sealed[:SEAL_LENGTH], sealed[SEAL_LENGTH:]
        lingering = (key for key, until in self.former.items() if until > now)
        for key in (*self.keys, *lingering):
            if hmac.compare_digest(seal, _mac(key, body)):
                return body
        return None


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=SEAL_LENGTH, person=SEAL_PERSONALIZATION).digest()
