"""Really encodes a sample of the simulated datagrams: checks their counted octets, and what coding them costs."""

from __future__ import annotations

import time

from benchmarks.capacity.fleet_membership import Implementation, Outgoing

EVERY = 256
"""One datagram in so many is encoded, sealed, opened and decoded: often enough for a mean, and under a tenth of a
run's time."""


class SizeMismatchError(AssertionError):
    """A datagram whose counted octets are not those of its encoding."""


class Sampling:
    """The sample of one run."""

    def __init__(self, implementation: Implementation) -> None:
        """Messages are coded by this implementation."""
        self._implementation = implementation
        self._seen = 0
        self.samples = 0
        self.encoding = 0  # wall nanoseconds of all samples
        self.decoding = 0

    def sent(self, message: Outgoing) -> None:
        """A datagram leaves."""
        self._seen += 1
        if self._seen % EVERY == 0:
            self._sample(message)

    def _sample(self, message: Outgoing) -> None:
        began = time.perf_counter_ns()
        octets = self._implementation.encode(message.message)
        encoded = time.perf_counter_ns()
        self._implementation.decode(octets)
        self.encoding += encoded - began
        self.decoding += time.perf_counter_ns() - encoded
        self.samples += 1
        if len(octets) != message.octets:
            raise SizeMismatchError(f"{message.octets} octets counted, {len(octets)} encoded: {message}")

    def coding_nanoseconds(self, sent: int, received: int) -> float:
        """What so many datagrams cost to encode and to decode."""
        if not self.samples:
            return 0.0
        return (sent * self.encoding + received * self.decoding) / self.samples
