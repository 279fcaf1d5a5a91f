"""The emulated fleet as a program: it runs a day's nodes and list service and injects the day's faults.

It prints one JSON line with its ports when it is ready, plays from the given start, and ends on SIGTERM or when its
standard input ends, so that it never outlives who started it.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import orjson
import trio

from oakcroft.running.clock import Clock
from oakcroft.standins.day import Day
from oakcroft.standins.faults import inject_all
from oakcroft.standins.fleet import Fleet
from oakcroft.standins.record import Record


STANDARD_INPUT = 0
"""The descriptor that whoever started the program holds the other end of."""


async def main(day: Day, start: int, path: Path) -> None:
    """Plays a day that begins at `start` (ns since the epoch); `path` is where the record goes."""
    record = Record(path)
    fleet = Fleet(day, record, Clock())
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            ready = trio.Event()
            nursery.start_soon(fleet.run, ready)
            await ready.wait()
            nursery.start_soon(inject_all, fleet, start)
            ports = {"list": fleet.list_port, "nodes": [node.port for node in fleet.nodes.values()]}
            print(orjson.dumps(ports).decode(), flush=True)
            nursery.start_soon(_cancel_when_orphaned, nursery.cancel_scope)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                break
    record.note("earned", plans=fleet.revenue_by_plan())
    record.close()
    sys.stdout.flush()


async def _cancel_when_orphaned(scope: trio.CancelScope) -> None:
    """Guards against a fleet that goes on alone after whoever started it was killed."""
    stream = trio.lowlevel.FdStream(STANDARD_INPUT)
    try:
        while await stream.receive_some(1):
            pass
    except OSError:
        pass
    scope.cancel()
