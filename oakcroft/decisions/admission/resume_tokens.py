"""Tokens by which a client resumes its session: signed, bound to the client, expiring, with rotating keys.

A resume token names the client session and its expiry. It is signed with HMAC-SHA256 (RFC 2104) over these
and the client that it was issued to. The signing key is replaced every `rotation_interval`; the previous key
still verifies. A front end that restarts has new keys: it refuses older tokens with a defined error, and the
client sends its requests again with their Idempotency-Keys.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND

MIN_KEY_BYTES = 32
MAX_TOKEN_LENGTH = 300
TOKEN_PARTS = 4  # key number, expiry, client session and signature
SIGNATURE_BYTES = 24  # of the HMAC


class TokenError(Enum):
    """Why a resume token is refused."""

    MALFORMED = "it is no pass"
    UNKNOWN_KEY = "this front did not give it, or long ago"
    BAD_SIGNATURE = "its seal is broken, or it was given to another client"
    EXPIRED = "its time is up"


@dataclass
class ResumeTokens:
    """Issues and verifies resume tokens. Times in ns.

    Keys are passed in, since this module draws no random numbers.
    """

    lifetime: int
    rotation_interval: int = 3600 * SECOND
    keys: dict[int, bytes] = field(default_factory=dict)
    newest_key_number: int = -1
    rotated_at: int = 0

    def needs_key(self, now: int) -> bool:
        """Whether a new key is due."""
        return self.newest_key_number < 0 or now - self.rotated_at >= self.rotation_interval

    def add_key(self, number: int, key: bytes, now: int) -> None:
        """Adds a signing key under a growing number; only the previous key is kept beside it.

        Raises ValueError for a number that does not grow or a key of less than 32 bytes.
        """
        if number <= self.newest_key_number or len(key) < MIN_KEY_BYTES:
            raise ValueError("a signing key needs a number above the last one and at least 32 bytes")
        previous = {
            key_number: key_bytes
            for key_number, key_bytes in self.keys.items()
            if key_number == self.newest_key_number
        }
        self.keys = previous | {number: key}
        self.newest_key_number = number
        self.rotated_at = now

    def issue(self, session_id: str, client: str, now: int) -> str:
        """Issues a token for a client session to a client."""
        body = f"{self.newest_key_number}.{now + self.lifetime}.{session_id}"
        return f"{body}.{self._signature(self.keys[self.newest_key_number], body, client)}"

    def verify(self, token: str, client: str, now: int) -> str | TokenError:
        """Returns the client session that a token is for, or why the token is refused."""
        parts = token.split(".")
        if len(parts) != TOKEN_PARTS or len(token) > MAX_TOKEN_LENGTH:
            return TokenError.MALFORMED
        key_number, expires_at, session_id, signature = parts
        if not (key_number.isdecimal() and expires_at.isdecimal()):
            return TokenError.MALFORMED
        key = self.keys.get(int(key_number))
        if key is None:
            return TokenError.UNKNOWN_KEY
        body = f"{key_number}.{expires_at}.{session_id}"
        if not hmac.compare_digest(self._signature(key, body, client).encode(), signature.encode()):
            # Forged or issued to another client; the error does not tell which.
            return TokenError.BAD_SIGNATURE
        return TokenError.EXPIRED if now > int(expires_at) else session_id

    @staticmethod
    def _signature(key: bytes, body: str, client: str) -> str:
        """Returns the signature of a token's body for a client."""
        mac = hmac.new(key, f"{body}\0{client}".encode(), hashlib.sha256).digest()
        return base64.urlsafe_b64encode(mac[:SIGNATURE_BYTES]).decode()
