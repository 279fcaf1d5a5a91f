"""One connection: a bounded buffer of what is to be written, and the count of what the kernel has taken of it."""

from __future__ import annotations

import select
import socket

import trio

RECEIVE_BYTES = 16_384


class BufferedConnection:
    """A non-blocking socket that is written to at once, from any task and without waiting.

    A set-up is written in the same step in which it is decided, so that what has left and what has not is known at
    every moment: `sent_bytes` octets of `queued_bytes` are with the kernel. A peer that does not read is cut off when
    more than `max_buffered_bytes` octets wait for it: guards memory, and the others' turns, against clients that only
    ask.
    """

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, max_buffered_bytes: int = 65_536) -> None:
        self.sock, self.nursery, self.max_buffered_bytes = sock, nursery, max_buffered_bytes
        self.send_buffer = bytearray()
        self.queued_bytes = self.sent_bytes = 0
        self.is_open = True
        self.is_flushing = False

    def write(self, data: bytes) -> bool:
        """Writes, or queues what can't be written at once; whether the connection is still of use."""
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
        try:
            while self.send_buffer:
                sent = self.sock.send(self.send_buffer)
                del self.send_buffer[:sent]
                self.sent_bytes += sent
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    async def _flush_when_writable(self) -> None:
        try:
            while self.is_open and self.send_buffer:
                await trio.lowlevel.wait_writable(self.sock)
                self._flush()
        except (trio.ClosedResourceError, OSError):
            self.close()
        finally:
            self.is_flushing = False

    async def read(self) -> bytes:
        """What has come; nothing at its end, however it ended."""
        while self.is_open:
            try:
                return self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                pass
            except OSError:
                return b""
            try:
                await trio.lowlevel.wait_readable(self.sock)
            except (trio.ClosedResourceError, OSError):
                return b""
        return b""

    def is_at_end(self) -> bool:
        """Whether the peer has closed or reset a connection on which all that came has been read."""
        try:
            return self.is_open and self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def retract(self, queued_range: range) -> bool:
        """Takes back octets that were queued, where none of them is with the kernel; whether that was so."""
        if not self.is_open or self.sent_bytes > queued_range.start:
            return False
        start = queued_range.start - self.sent_bytes
        del self.send_buffer[start : start + len(queued_range)]
        self.queued_bytes -= len(queued_range)
        return True

    def has_peer_closed(self) -> bool:
        """Whether the peer has closed or reset it, however much of what it sent lies unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)  # POLLERR and POLLHUP are told unasked
        return bool(poll.poll(0))

    def shut_down_writing(self) -> None:
        """Says that nothing more will be written; what the peer has still to say is read."""
        if self.is_open:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def close(self) -> None:
        """Closes it at once; whoever reads it sees its end."""
        if self.is_open:
            self.is_open = False
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
            self.send_buffer.clear()


def configure_socket(sock: socket.socket) -> socket.socket:
    """A socket as links want it: never blocking, small messages sent at once."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """A connection; OSError or trio.TooSlowError where there is none in time. One that is given up is closed."""
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
