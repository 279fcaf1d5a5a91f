"""Streams between simulated front ends: a request and its reply on a TCP connection of its own."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.fleet_front import SimulatedFront
from benchmarks.capacity.fleet_membership import Implementation, Outgoing, StreamReply
from benchmarks.capacity.network import CONNECTION_SEGMENTS, TCP_HEADER_OCTETS, EventQueue, Network
from benchmarks.capacity.topology import Topology


@dataclass(frozen=True)
class _Stream:
    """One connection, and the process at each end when it was opened."""

    client: SimulatedFront
    client_process: int
    server: SimulatedFront
    server_process: int
    deadline: int

    def client_runs(self) -> bool:
        """Returns whether the process that opened the stream still runs."""
        return self.client.membership is not None and self.client.process_count == self.client_process

    def server_runs(self) -> bool:
        """Returns whether the process to which the stream was opened still runs."""
        return self.server.membership is not None and self.server.process_count == self.server_process


class StreamSimulator:
    """Simulates all streams of a fleet. `after_call` is called after each call of a membership."""

    def __init__(
        self,
        queue: EventQueue,
        network: Network,
        topology: Topology,
        fronts: Sequence[SimulatedFront],
        implementation: Implementation,
        after_call: Callable[[SimulatedFront], None],
    ) -> None:
        """Simulates streams between these front ends on this network."""
        self._queue = queue
        self._network = network
        self._topology = topology
        self._fronts = fronts
        self._implementation = implementation
        self._after_call = after_call

    def open(self, client: SimulatedFront, request: Outgoing) -> None:
        """Connects to an address and sends the request once the connection is established."""
        now = self._queue.now
        site = self._topology.by_address.get(request.address)
        syn = self._network.stream_transfer(client.site, site, 0) if site is not None else None
        if site is None or syn is None or self._fronts[site.index].membership is None:
            client.traffic.stream_sent(now, 0, TCP_HEADER_OCTETS)  # an unanswered SYN
            return
        syn_ack = self._network.stream_transfer(site, client.site, 0)
        assert syn_ack is not None
        server = self._fronts[site.index]
        headers = CONNECTION_SEGMENTS * TCP_HEADER_OCTETS
        for end in (client, server):
            end.traffic.stream_sent(now, 0, headers)
            end.traffic.stream_received(now, headers)
        deadline = now + self._implementation.stream_timeout_ns
        stream = _Stream(client, client.process_count, server, server.process_count, deadline)
        self._queue.schedule(now + syn.delay + syn_ack.delay, self._send_request, stream, request)

    def _send_request(self, stream: _Stream, request: Outgoing) -> None:
        if not stream.client_runs() or not stream.server_runs():
            return
        if stream.server.open_streams >= self._implementation.max_streams:
            return
        delay = self._transfer(stream.client, stream.server, request.octets)
        if delay is not None and self._queue.now + delay <= stream.deadline:
            stream.server.open_streams += 1
            self._queue.schedule(self._queue.now + delay, self._answer, stream, request.message)

    def _answer(self, stream: _Stream, message: object) -> None:
        server = stream.server
        now = self._queue.now
        if not stream.server_runs() or server.membership is None:
            return
        began = time.perf_counter_ns()
        reply = server.membership.answer_stream(message, now)
        server.busy_ns += time.perf_counter_ns() - began
        self._after_call(server)
        delay = self._transfer(server, stream.client, reply.octets) if reply is not None else None
        closed_at = stream.deadline if delay is None else min(stream.deadline, now + delay)
        self._queue.schedule(closed_at, self._close, stream)
        if reply is not None and delay is not None and now + delay <= stream.deadline:
            self._queue.schedule(now + delay, self._receive_reply, stream, reply)

    def _close(self, stream: _Stream) -> None:
        if stream.server_runs():
            stream.server.open_streams -= 1

    def _receive_reply(self, stream: _Stream, reply: StreamReply) -> None:
        client = stream.client
        if not stream.client_runs() or client.membership is None:
            return
        began = time.perf_counter_ns()
        client.membership.receive_reply(reply.message, self._queue.now)
        client.busy_ns += time.perf_counter_ns() - began
        self._after_call(client)

    def _transfer(self, sender: SimulatedFront, receiver: SimulatedFront, octets: int) -> int | None:
        """Sends octets on an open stream and returns their delay, or None across a cut."""
        transfer = self._network.stream_transfer(sender.site, receiver.site, octets)
        if transfer is None:
            return None
        now = self._queue.now
        sender.traffic.stream_sent(now, octets, transfer.forward_octets - octets)
        receiver.traffic.stream_received(now, transfer.forward_octets)
        receiver.traffic.stream_sent(now, 0, transfer.backward_octets)
        sender.traffic.stream_received(now, transfer.backward_octets)
        return transfer.delay
