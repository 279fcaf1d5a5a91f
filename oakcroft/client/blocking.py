"""A blocking WHEP client for programs without an event loop: trio runs in a thread of its own."""

from __future__ import annotations

import threading
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import TypeVar

import trio

from oakcroft.client.whep import WhepClient, WhepSession

T = TypeVar("T")
THREAD_TIMEOUT_S = 10


class BlockingWhepClient:
    """A `WhepClient` with blocking calls.

    Usage: `with BlockingWhepClient(base) as client: session = client.ask(path, offer)`.
    """

    def __init__(self, base: str, token: str = "") -> None:
        """`base`: for example http://127.0.0.1:8080. The thread starts when the context is entered."""
        self.base = base
        self.token = token
        self.started = threading.Event()
        self.thread = threading.Thread(
            target=lambda: trio.run(self._run), name="oakcroft-client", daemon=True
        )

    async def _run(self) -> None:
        """Runs the client in the thread until it is stopped."""
        self.trio_token = trio.lowlevel.current_trio_token()
        self.stop_requested = trio.Event()
        self.client = WhepClient(self.base, self.token)
        self.started.set()
        await self.stop_requested.wait()
        await self.client.close()

    def __enter__(self) -> BlockingWhepClient:
        """Starts the thread and waits until its client is ready."""
        self.thread.start()
        self.started.wait(THREAD_TIMEOUT_S)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes the connections and ends the thread."""
        self._call(self._stop)
        self.thread.join(THREAD_TIMEOUT_S)

    async def _stop(self) -> None:
        """Asks the thread to end."""
        self.stop_requested.set()

    def _call(self, function: Callable[..., Awaitable[T]], *arguments: object) -> T:
        """Runs a coroutine function in the client's thread and waits for its result."""
        return trio.from_thread.run(function, *arguments, trio_token=self.trio_token)

    def ask(self, path: str, offer: str, wait: int | None = None) -> WhepSession:
        """Does the same as `WhepClient.ask`."""
        return self._call(self.client.ask, path, offer, wait)

    def end(self, playing: WhepSession) -> None:
        """Does the same as `WhepClient.end`."""
        self._call(self.client.end, playing)
