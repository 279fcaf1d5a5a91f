"""The same clients for programs that do not run an event loop: one thread of trio behind plain calls."""

from __future__ import annotations

import threading
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import TypeVar

import trio

from oakcroft.client.whep import WhepSession, WhepClient

T = TypeVar("T")


class BlockingWhepClient:
    """`with BlockingWhepClient(base) as client: playing = client.ask(path, offer)`."""

    def __init__(self, base: str, token: str = "") -> None:
        """`base`: as http://127.0.0.1:8080. Its thread starts where the client is entered."""
        self.base, self.token = base, token
        self.started = threading.Event()
        self.thread = threading.Thread(
            target=lambda: trio.run(self._run), name="oakcroft-client", daemon=True
        )

    async def _run(self) -> None:
        self.trio_token, self.stop_requested = trio.lowlevel.current_trio_token(), trio.Event()
        self.client = WhepClient(self.base, self.token)
        self.started.set()
        await self.stop_requested.wait()
        await self.client.close()

    def __enter__(self) -> BlockingWhepClient:
        """Starts the thread that speaks to the front."""
        self.thread.start()
        self.started.wait(10)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes the connection and ends the thread."""
        self._call(self._stop)
        self.thread.join(10)

    async def _stop(self) -> None:
        self.stop_requested.set()

    def _call(self, function: Callable[..., Awaitable[T]], *arguments: object) -> T:
        return trio.from_thread.run(function, *arguments, trio_token=self.trio_token)

    def ask(self, path: str, offer: str, wait: int | None = None) -> WhepSession:
        """As `WhepClient.ask`."""
        return self._call(self.client.ask, path, offer, wait)

    def end(self, playing: WhepSession) -> None:
        """As `WhepClient.end`."""
        self._call(self.client.end, playing)
