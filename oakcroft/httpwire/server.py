"""HTTP server: connections within the limits of a connection table, and one handler for each request.

Every connection is a task in the server's nursery.
"""

from __future__ import annotations

import itertools

import h11
import trio

from oakcroft.decisions.admission.connection_limits import ConnectionTable, ConnectionVerdict
from oakcroft.httpwire.connection import (
    Clock,
    Connection,
    ConnectionContext,
    EarlyResponse,
    ErrorHandler,
    Handler,
    LargeBodyCheck,
)


class Server:
    """HTTP server for any number of listeners."""

    def __init__(
        self,
        handler: Handler,
        connection_table: ConnectionTable,
        clock: Clock,
        on_error: ErrorHandler,
        early_response: EarlyResponse | None = None,
        allows_large_body: LargeBodyCheck | None = None,
    ) -> None:
        """Creates a server that accepts nothing yet; see `ConnectionContext` for the parameters."""
        self.context = ConnectionContext(
            handler, connection_table, clock, on_error, early_response, allows_large_body
        )
        self.connection_table = connection_table
        self.clock = clock
        self.connection_numbers = itertools.count(1)
        self.scopes: dict[int, trio.CancelScope] = {}

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Accepts connections until it is cancelled."""
        await trio.serve_listeners(self.serve, listeners)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection until it closes."""
        number = next(self.connection_numbers)
        now = self.clock()
        try:
            source = str(stream.socket.getpeername()[0])
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        verdict, evicted = self.connection_table.accept(number, source, now)
        if evicted is not None and evicted in self.scopes:
            self.scopes[evicted].cancel()
        with trio.CancelScope() as scope:
            self.scopes[number] = scope
            connection = Connection(self.context, number, stream, source)
            try:
                if verdict is ConnectionVerdict.REJECT:
                    await connection.reject()
                else:
                    await connection.run()
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.RemoteProtocolError,
                h11.LocalProtocolError,
            ):
                pass  # the client has closed the connection, or has its error response
            finally:
                self.connection_table.remove(number)
                del self.scopes[number]
                await trio.aclose_forcefully(stream)
