"""Encodes a sample of the simulated datagrams to check their counted octets and to measure the cost of coding."""

from __future__ import annotations

import time

from benchmarks.capacity.fleet_membership import Implementation, Outgoing

SAMPLE_INTERVAL = 256
"""One datagram in this many is encoded, sealed, opened and decoded: enough for a mean, at under a tenth of the
run time."""


class SizeMismatchError(AssertionError):
    """The counted octets of a datagram differ from those of its encoding."""


class EncodingSampler:
    """Samples the datagrams of one run."""

    def __init__(self, implementation: Implementation) -> None:
        """Encodes and decodes with the codec of this implementation."""
        self._implementation = implementation
        self._datagram_count = 0
        self.samples = 0
        self.encoding_ns = 0  # wall-clock time over all samples
        self.decoding_ns = 0

    def count_datagram(self, message: Outgoing) -> None:
        """Counts a sent datagram and samples it if its turn has come."""
        self._datagram_count += 1
        if self._datagram_count % SAMPLE_INTERVAL == 0:
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
        """The estimated time to encode the sent and decode the received datagrams."""
        if not self.samples:
            return 0.0
        return (sent * self.encoding_ns + received * self.decoding_ns) / self.samples
