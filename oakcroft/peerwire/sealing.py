"""Authentication of messages between peers by a keyed hash, the seal, with the keys that all fronts of a fleet share.

A key file has one key per line, 32 octets in hexadecimal. The first key seals messages, and all keys open them. So a
key can be replaced while the fleet is serving: add the new key below the old one on every front, then move it to the
first line, then remove the old one. A removed key still opens messages for `RETIRED_KEY_LIFETIME`, for fronts that have
not read their files yet. Messages are not encrypted, since their content is not secret, but only holders of a key can
send them.
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
"""Personalization of the keyed BLAKE2b (RFC 7693), so that seals are not valid for any other purpose."""

FINGERPRINT_LENGTH = 4


class KeyFileError(Exception):
    """A key file cannot be used; the text has the reason, but never the file's content."""


def parse_keys(text: str) -> tuple[bytes, ...]:
    """Parses a key file, the sealing key first. Raises KeyFileError if there is no key or an invalid one."""
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
        raise KeyFileError(f"it has {len(keys)} keys; 1 to {MAX_KEYS} are required")
    return tuple(keys)


class KeyRing:
    """The current keys, and removed ones that are still accepted."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """The first of `keys` seals messages; all of them open messages."""
        self.keys = keys
        self.retired: dict[bytes, int] = {}  # expiry time of removed keys

    def change(self, keys: tuple[bytes, ...], now: int) -> None:
        """Replaces the keys; removed ones remain valid for opening for `RETIRED_KEY_LIFETIME`."""
        self.retired = {
            key: expires_at
            for key, expires_at in self.retired.items()
            if expires_at > now and key not in keys
        }
        self.retired |= {key: now + RETIRED_KEY_LIFETIME for key in self.keys if key not in keys}
        while len(self.retired) > MAX_KEYS:
            del self.retired[min(self.retired, key=lambda key: self.retired[key])]
        self.keys = keys

    def fingerprints(self) -> list[str]:
        """Fingerprints of the current keys, the sealing key's first, for operators to compare."""
        return [
            hashlib.blake2b(key, digest_size=FINGERPRINT_LENGTH, person=b"oakcroft-mark").hexdigest()
            for key in self.keys
        ]

    def seal(self, body: bytes) -> bytes:
        """Prepends a body's seal."""
        return _mac(self.keys[0], body) + body

    def open(self, sealed: bytes, now: int) -> bytes | None:
        """Returns the body of a message that is sealed with a valid key; None otherwise."""
        seal = sealed[:SEAL_LENGTH]
        body = sealed[SEAL_LENGTH:]
        retired = (key for key, expires_at in self.retired.items() if expires_at > now)
        for key in (*self.keys, *retired):
            if hmac.compare_digest(seal, _mac(key, body)):
                return body
        return None


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=SEAL_LENGTH, person=SEAL_PERSONALIZATION).digest()
