"""The emulated fleet as a program: it runs a day's nodes and list service and injects the day's faults.

It prints one JSON line with its ports when it is ready and plays from the given start. Without one it serves and waits
for the start on the first line of its standard input, since front ends need its ports before the start can be known.
It ends on SIGTERM or when its standard input ends, so that it never outlives the process that started it.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import orjson
import trio

from oakcroft.running.clock import Clock
from oakcroft.standins.day import Day
from oakcroft.standins.faults import inject_all
from oakcroft.standins.fleet import Fleet
from oakcroft.standins.record import Record


STANDARD_INPUT = 0
"""File descriptor of a pipe from the process that started the program."""


MAX_START_LINE_BYTES = 32
"""Longer than any time in ns since the epoch."""


class InvalidStartError(Exception):
    """Raised if the first line of standard input is missing or is not a time."""


async def main(day: Day, start_ns: int | None, record_path: Path) -> None:
    """Plays a day that begins at `start_ns` (since the epoch), and writes the record to a file.

    Without `start_ns`, the first line of standard input gives it; raises InvalidStartError if that line does not.
    """
    record = Record(record_path)
    fleet = Fleet(day, record, Clock())
    start_error: InvalidStartError | None = None
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            ready = trio.Event()
            nursery.start_soon(fleet.run, ready)
            await ready.wait()
            nursery.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
            ports = {"list": fleet.list_port, "nodes": [node.port for node in fleet.nodes.values()]}
            print(orjson.dumps(ports).decode(), flush=True)
            standard_input = trio.lowlevel.FdStream(STANDARD_INPUT)
            try:
                day_start = await _read_start(standard_input) if start_ns is None else start_ns
            except InvalidStartError as error:
                start_error = error
            else:
                nursery.start_soon(inject_all, fleet, day_start)
                await _wait_until_closed(standard_input)
            nursery.cancel_scope.cancel()
    record.note("earned", plans=fleet.revenue_by_plan())
    record.close()
    sys.stdout.flush()
    if start_error is not None:
        raise start_error


async def _cancel_on_signal(signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
    async for _ in signals:
        scope.cancel()
        return


async def _read_start(stream: trio.abc.ReceiveStream) -> int:
    """Reads the line with the start of the day, in ns since the epoch."""
    line = b""
    with suppress(OSError, trio.BrokenResourceError):
        while not line.endswith(b"\n") and len(line) < MAX_START_LINE_BYTES:
            byte = await stream.receive_some(1)
            if not byte:
                break
            line += byte
    if not line.endswith(b"\n") or not line.strip().isdigit():
        raise InvalidStartError(
            f"the first line of standard input is no start in ns since the epoch: {line!r}"
        )
    return int(line)


async def _wait_until_closed(stream: trio.abc.ReceiveStream) -> None:
    """Returns when the process that started the program has closed its end of the pipe or was killed."""
    with suppress(OSError):
        while await stream.receive_some(1):
            pass
