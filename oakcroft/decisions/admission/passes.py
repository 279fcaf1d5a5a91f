"""Passes by which a client comes back to its seat: authenticated, bound, expiring, with keys that rotate.

A pass names the seat, the client that it was given to and when it ends, sealed with HMAC-SHA256 (RFC 2104). The
sealing key is replaced every `rotate`; the one before still opens. A front that restarts has new keys, so an old pass is
told clearly that it opens nothing and the client asks anew with its Idempotency-Keys.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND


class Invalid(Enum):
    """Why a pass opens nothing."""

    SHAPE = "it is no pass"
    KEY = "this front did not give it, or long ago"
    SEAL = "its seal is broken, or it was given to another client"
    EXPIRED = "its time is up"


@dataclass
class Passes:
    """Gives and checks passes. Key material is handed in, since nothing here draws chance of its own."""

    lasts: int
    rotate: int = 3600 * SECOND
    keys: dict[int, bytes] = field(default_factory=dict)
    newest: int = -1
    since: int = 0

    def wants_key(self, now: int) -> bool:
        """Whether a new key is due."""
        return self.newest < 0 or now - self.since >= self.rotate

    def take_key(self, number: int, key: bytes, now: int) -> None:
        """A new key, with a number that grows; the one before stays, older ones go."""
        if number <= self.newest or len(key) < 32:
            raise ValueError("keys have growing numbers and 32 bytes")
        self.keys = {n: k for n, k in self.keys.items() if n == self.newest} | {number: key}
        self.newest, self.since = number, now

    def give(self, seat: str, client: str, now: int) -> str:
        """A pass to a seat for a client."""
        body = f"{self.newest}.{now + self.lasts}.{seat}"
        return f"{body}.{self._seal(self.keys[self.newest], body, client)}"

    def open(self, given: str, client: str, now: int) -> str | Invalid:
        """The seat that a pass opens for a client."""
        parts = given.split(".")
        if len(parts) != 4 or len(given) > 300 or not (parts[0].isdecimal() and parts[1].isdecimal()):
            return Invalid.SHAPE
        key = self.keys.get(int(parts[0]))
        if key is None:
            return Invalid.KEY
        body = ".".join(parts[:3])
        if not hmac.compare_digest(self._seal(key, body, client).encode(), parts[3].encode()):
            return Invalid.SEAL  # forged, or another client's: which of them is nobody's business
        return Invalid.EXPIRED if now > int(parts[1]) else parts[2]

    @staticmethod
    def _seal(key: bytes, body: str, client: str) -> str:
        mac = hmac.new(key, f"{body}\0{client}".encode(), hashlib.sha256).digest()
        return base64.urlsafe_b64encode(mac[:24]).decode()
