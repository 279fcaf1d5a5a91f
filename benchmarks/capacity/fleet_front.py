"""One front end of a simulated fleet."""

from __future__ import annotations

from benchmarks.capacity.fleet_membership import Membership
from benchmarks.capacity.fleet_traffic import Traffic
from benchmarks.capacity.topology import Site


class SimulatedFront:
    """A site of the topology and the process that runs there, if any. It has a membership and no viewers."""

    __slots__ = (
        "busy_ns",
        "membership",
        "open_streams",
        "process_count",
        "site",
        "started_at",
        "timer_at",
        "traffic",
    )

    def __init__(self, site: Site, duration: int) -> None:
        """Starts without a process; traffic is counted for `duration` nanoseconds."""
        self.site = site
        self.membership: Membership | None = None
        self.process_count = 0  # processes started at this site so far
        self.started_at = 0
        self.timer_at = -1  # when the timer fires; -1: not set
        self.open_streams = 0  # opened by other front ends and served here
        self.busy_ns = 0  # wall-clock time spent in membership code
        self.traffic = Traffic(duration)
