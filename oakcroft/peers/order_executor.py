"""Executes orders that the holder of a lease sends to this front, each in a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import structlog
import trio

from oakcroft.peerwire.lease_codec import ReceivedLeaseMessage
from oakcroft.peerwire.lease_wire import Order, OrderReport

MAX_ACTIVE_ORDERS = 16
"""Orders in progress at once; further ones are dropped, and the holder sends them again."""

MAX_ERROR_LENGTH = 300
"""Characters of an error text that are logged."""

OrderHandler = Callable[[ReceivedLeaseMessage, Order], Awaitable[OrderReport | None]]
"""Executes an order; returns the report for its sender, or None."""


class OrderExecutor:
    """Passes each order to the handler of its lease and sends the handler's report to the order's sender."""

    def __init__(
        self, send_report: Callable[[str, OrderReport], None], log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """`send_report` sends a report to a front by name, without blocking."""
        self.send_report = send_report
        self.log = log
        self.handlers: dict[str, OrderHandler] = {}
        self.active_orders = 0
        self.nursery: trio.Nursery | None = None

    def begin(self, received: ReceivedLeaseMessage, order: Order) -> None:
        """Starts executing an order, unless it has no handler here or too many orders are in progress."""
        handler = self.handlers.get(order.lease_name)
        if handler is not None and self.nursery is not None and self.active_orders < MAX_ACTIVE_ORDERS:
            self.active_orders += 1
            self.nursery.start_soon(self._execute, handler, received, order)

    async def _execute(self, handler: OrderHandler, received: ReceivedLeaseMessage, order: Order) -> None:
        """Runs one handler; an exception in it must not stop the acceptor and membership, which share the nursery."""
        report = None
        try:
            report = await handler(received, order)
        except Exception as error:
            text = repr(error)[:MAX_ERROR_LENGTH]
            self.log.error(
                "order failed", duty=order.lease_name, sender=received.sender, error=text, exc_info=error
            )
        finally:
            self.active_orders -= 1
        if report is not None:
            self.send_report(received.sender, report)
