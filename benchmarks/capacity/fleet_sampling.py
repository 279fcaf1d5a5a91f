"""Really encodes a sample of the simulated datagrams: checks their counted octets, and what coding them costs."""

from __future__ import annotations

import time

from benchmarks.capacity.fleet_membership import Implementation, Outgoing

SAMPLE_INTERVAL = 256
"""One datagram in so many is encoded, sealed, opened and decoded: often enough for a mean, and under a tenth of a
run's time."""


class SizeMismatchError(AssertionError):
    """A datagram whose counted octets are not those of its encoding."""


class EncodingSampler:
    """The sample of one run."""

    def __init__(self, implementation: Implementation) -> None:
        """Messages are coded by this implementation."""
        self._implementation = implementation
        self._seen = 0
        self.samples = 0
        self.encoding_ns = 0  # wall nanoseconds of all samples
        self.decoding_ns = 0

    def count_datagram(self, message: Outgoing) -> None:
        """A datagram leaves."""
        self._seen += 1
        if self._seen % SAMPLE_INTERVAL == 0:
            self._sample(message)

    def _sample(self, message: Outgoing) -> None:
        began = time.perf_counter_ns()
        octets = self._implementation.encode(message.message)
        encoded = time.perf_counter_ns()
        self._implementation.decode(octets)
        self.encoding_ns += encoded - began
        self.decoding_ns += time.perf_counter_ns() - encoded
        self.samples += 1
        if len(octets) != message.octets:
            raise SizeMismatchError(f"{message.octets} octets counted, {len(octets)} encoded: {message}")

    def coding_ns(self, sent: int, received: int) -> float:
        """What so many datagrams cost to encode and to decode."""
        if not self.samples:
            return 0.0
        return (sent * self.encoding_ns + received * self.decoding_ns) / self.samples
