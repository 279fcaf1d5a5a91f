"""A non-blocking connection with a bounded send buffer that knows how many bytes the kernel has accepted."""

from __future__ import annotations

import select
import socket

import trio

RECEIVE_BYTES = 16_384


class BufferedConnection:
    """A non-blocking socket that any task can write to without waiting.

    A set-up is written in the same step in which it is decided, so it is always known what has been sent: the
    kernel has accepted `sent_bytes` of `queued_bytes`. A peer that does not read is disconnected when more
    than `max_buffered_bytes` wait for it. This bounds the memory and the processing time that a client which
    sends without reading can use up.
    """

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, max_buffered_bytes: int = 65_536) -> None:
        """Wraps a configured socket; `nursery` runs the task that flushes the buffer."""
        self.sock = sock
        self.nursery = nursery
        self.max_buffered_bytes = max_buffered_bytes
        self.send_buffer = bytearray()
        self.queued_bytes = 0
        self.sent_bytes = 0
        self.is_open = True
        self.is_flushing = False
        self.has_received_end = False  # the peer has closed its side in order
        self.was_ended_by_peer = False  # in order or by a reset

    def write(self, data: bytes) -> bool:
        """Sends the data and buffers what the kernel does not accept; returns whether the connection is usable."""
        if not self.is_open:
            return False
        if len(self.send_buffer) + len(data) > self.max_buffered_bytes:
            self.close()
            return False
        self.queued_bytes += len(data)
        self.send_buffer += data
        self._flush()
        if self.is_open and self.send_buffer and not self.is_flushing:
            self.is_flushing = True
            self.nursery.start_soon(self._flush_when_writable)
        return self.is_open

    def _flush(self) -> None:
        """Passes as much of the buffer to the kernel as it accepts."""
        try:
            while self.send_buffer:
                sent = self.sock.send(self.send_buffer)
                del self.send_buffer[:sent]
                self.sent_bytes += sent
        except BlockingIOError:
            pass
        except OSError:
            self.was_ended_by_peer = True
            self.close()

    async def _flush_when_writable(self) -> None:
        """Flushes the buffer whenever the socket is writable, until the buffer is empty."""
        try:
            while self.is_open and self.send_buffer:
                await trio.lowlevel.wait_writable(self.sock)
                self._flush()
        except (trio.ClosedResourceError, OSError):
            self.close()
        finally:
            self.is_flushing = False

    async def read(self) -> bytes:
        """Waits for data and returns it; returns no bytes once the connection was closed or has failed."""
        while self.is_open:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                pass
            except OSError:
                self.was_ended_by_peer = True
                return b""
            else:
                self.has_received_end = self.was_ended_by_peer = not data
                return data
            try:
                await trio.lowlevel.wait_readable(self.sock)
            except (trio.ClosedResourceError, OSError):
                return b""
        return b""

    def is_at_end(self) -> bool:
        """Whether the peer has closed or reset the connection and everything received has been read."""
        try:
            return self.is_open and self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_ended_by_peer(self) -> bool:
        """Whether the peer has closed or reset the connection, as far as is known; not if it was closed here."""
        return self.was_ended_by_peer or self.is_at_end()

    def has_unread_input(self) -> bool:
        """Whether data of the peer, or the end of the connection, has arrived and was not read."""
        if not self.is_open:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)  # POLLERR and POLLHUP are always reported
        return bool(poll.poll(0))

    def retract(self, queued_range: range) -> bool:
        """Removes bytes that were queued, if the kernel has accepted none of them; returns whether it did.

        `queued_range` counts bytes as `queued_bytes` did when they were queued.
        """
        if not self.is_open or self.sent_bytes > queued_range.start:
            return False
        start = queued_range.start - self.sent_bytes
        del self.send_buffer[start : start + len(queued_range)]
        self.queued_bytes -= len(queued_range)
        return True

    def has_peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, even if data still lies unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)  # POLLERR and POLLHUP are always reported
        return bool(poll.poll(0))

    def shut_down_writing(self) -> None:
        """Half-closes the connection: nothing more is written, but the peer's data is still read."""
        if self.is_open:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def close(self) -> None:
        """Closes the connection at once; a task that reads it sees its end."""
        if self.is_open:
            self.is_open = False
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
            self.send_buffer.clear()


def configure_socket(sock: socket.socket) -> socket.socket:
    """Makes a socket non-blocking, turns off Nagle's algorithm, and returns the socket."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Opens a connection; raises OSError if it fails and trio.TooSlowError after `timeout_s` seconds.

    The socket is closed if the attempt fails or is cancelled.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = configure_socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        with trio.fail_after(timeout_s):
            try:
                sock.connect(address)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(sock)
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise OSError(error, "no connection") from None
    except BaseException:
        trio.lowlevel.notify_closing(sock)
        sock.close()
        raise
    return sock
