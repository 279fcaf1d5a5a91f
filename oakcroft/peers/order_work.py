"""Work that the holder of a lease orders of this front, one task for each order."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import structlog
import trio

from oakcroft.peerwire.lease_codec import ReceivedLeaseMessage
from oakcroft.peerwire.lease_wire import Order, OrderReport

MAX_WORKING = 16
"""Orders at work or waiting for their turn; what is dropped is ordered again."""

MAX_ERROR_LENGTH = 300
"""Characters of an error in the log."""

Work = Callable[[ReceivedLeaseMessage, Order], Awaitable[OrderReport | None]]
"""Does what an order says; the report to whoever sent it, or none."""


class OrderWork:
    """Starts the work that each order is for. `send_report` takes what became of it to a front by name."""

    def __init__(
        self, send_report: Callable[[str, OrderReport], None], log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """`send_report` sends without waiting."""
        self.send_report = send_report
        self.log = log
        self.handlers: dict[str, Work] = {}
        self.working = 0
        self.nursery: trio.Nursery | None = None

    def begin(self, received: ReceivedLeaseMessage, order: Order) -> None:
        """Begins the work of one order, if this front knows it and not too much is under way."""
        work = self.handlers.get(order.duty)
        if work is not None and self.nursery is not None and self.working < MAX_WORKING:
            self.working += 1
            self.nursery.start_soon(self._do, work, received, order)

    async def _do(self, work: Work, received: ReceivedLeaseMessage, order: Order) -> None:
        """Guards the acceptor beside it, and the membership, against a fault in one order's work."""
        report = None
        try:
            report = await work(received, order)
        except Exception as error:
            shown = repr(error)[:MAX_ERROR_LENGTH]
            self.log.error(
                "order failed", duty=order.duty, sender=received.sender, error=shown, exc_info=error
            )
        finally:
            self.working -= 1
        if report is not None:
            self.send_report(received.sender, report)
