"""One connection of long polls to the command channel, without a socket: octets in, answered polls out.

h11 reads the HTTP; this knows which poll is open and what its answer told. A poll is written only when the answer before
has been read whole, so that an answer always belongs to the last number that was asked with.
"""

from __future__ import annotations

import h11

from oakcroft.platformwire import channel

PATH = "/cmd/next"
MOST_ANSWER = 262_144
MOST_HEAD = 32_768


class Polling:
    """`ask` gives what is to be written, `receive_data` and `next_answer` what has been told.

    channel.Unreadable says that the connection is of no further use: what came is no answer, or breaks off.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        self.body = bytearray()
        self.status = 0

    def ask(self, after: int, block: int) -> bytes:
        """Asks for what comes after event `after`, which may take `block` ms to come."""
        if self.http.our_state is not h11.IDLE:
            raise channel.Unreadable("the answer before has not been read")
        request = h11.Request(
            method="GET", target=f"{PATH}?resume={after}&block={block}", headers=[("Host", self.host)]
        )
        return (self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes) -> None:
        """Takes octets in; none is the connection's end."""
        try:
            self.http.receive_data(data)
        except RuntimeError as fault:  # octets after the end
            raise channel.Unreadable(str(fault)) from fault

    def next_answer(self) -> tuple[int, list[channel.Change]] | None:
        """The answer to the open poll: the number of the last event, and the events. None while it is not whole."""
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_ANSWER:
                        raise channel.Unreadable("the answer is too large")
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                elif isinstance(event, h11.ConnectionClosed):
                    raise channel.Unreadable("closed without an answer")
        except h11.RemoteProtocolError as fault:
            raise channel.Unreadable(str(fault)) from fault

    def _whole(self) -> tuple[int, list[channel.Change]]:
        body, self.body = bytes(self.body), bytearray()
        if self.status != 200:
            raise channel.Unreadable(f"status {self.status}")
        found = channel.document(body)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return found

    @property
    def may_ask(self) -> bool:
        """Whether the connection takes another poll."""
        return bool(self.http.our_state is h11.IDLE)
