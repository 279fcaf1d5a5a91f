"""One connection: a bounded buffer of what is to be written, and the count of what the kernel has taken of it."""

from __future__ import annotations

import select
import socket

import trio

READ = 16_384


class Link:
    """A non-blocking socket that is written to at once, from any task and without waiting.

    A set-up is written in the same step in which it is decided, so that what has left and what has not is known at
    every moment: `taken` octets of `queued` are with the kernel. A peer that does not read is cut off when more than
    `most` octets wait for it: guards memory, and the others' turns, against clients that only ask.
    """

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, most: int = 65_536) -> None:
        self.sock, self.nursery, self.most = sock, nursery, most
        self.out = bytearray()
        self.queued = self.taken = 0
        self.open = True
        self.pumping = False

    def write(self, data: bytes) -> bool:
        """Writes, or queues what can't be written at once; whether the connection is still of use."""
        if not self.open:
            return False
        if len(self.out) + len(data) > self.most:
            self.shut()
            return False
        self.queued += len(data)
        self.out += data
        self._flush()
        if self.open and self.out and not self.pumping:
            self.pumping = True
            self.nursery.start_soon(self._pump)
        return self.open

    def _flush(self) -> None:
        try:
            while self.out:
                n = self.sock.send(self.out)
                del self.out[:n]
                self.taken += n
        except BlockingIOError:
            pass
        except OSError:
            self.shut()

    async def _pump(self) -> None:
        try:
            while self.open and self.out:
                await trio.lowlevel.wait_writable(self.sock)
                self._flush()
        except (trio.ClosedResourceError, OSError):
            self.shut()
        finally:
            self.pumping = False

    async def read(self) -> bytes:
        """What has come; nothing at its end, however it ended."""
        while self.open:
            try:
                return self.sock.recv(READ)
            except BlockingIOError:
                pass
            except OSError:
                return b""
            try:
                await trio.lowlevel.wait_readable(self.sock)
            except (trio.ClosedResourceError, OSError):
                return b""
        return b""

    def ended(self) -> bool:
        """Whether the peer has closed or reset a connection on which all that came has been read."""
        try:
            return self.open and self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def unsay(self, said: range) -> bool:
        """Takes back octets that were queued, where none of them is with the kernel; whether that was so."""
        if not self.open or self.taken > said.start:
            return False
        at = said.start - self.taken
        del self.out[at : at + len(said)]
        self.queued -= len(said)
        return True

    def closing(self) -> bool:
        """Whether the peer has closed or reset it, however much of what it sent lies unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)  # POLLERR and POLLHUP are told unasked
        return bool(poll.poll(0))

    def finish(self) -> None:
        """Says that nothing more will be written; what the peer has still to say is read."""
        if self.open:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.shut()

    def shut(self) -> None:
        """Closes it at once; whoever reads it sees its end."""
        if self.open:
            self.open = False
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
            self.out.clear()


def prepared(sock: socket.socket) -> socket.socket:
    """A socket as links want it: never blocking, small messages sent at once."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def connect(address: tuple[str, int], within: float) -> socket.socket:
    """A connection; OSError or trio.TooSlowError where there is none in time. One that is given up is closed."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = prepared(socket.socket(family, socket.SOCK_STREAM))
    try:
        with trio.fail_after(within):
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
