"""The place of one hollow front end in a simulated fleet."""

from __future__ import annotations

from benchmarks.capacity.fleet_membership import Membership
from benchmarks.capacity.fleet_traffic import Traffic
from benchmarks.capacity.topology import Site


class SimulatedFront:
    """One front end's place, and the process that runs there now, if any."""

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
        """No process runs yet; traffic is counted for so many nanoseconds."""
        self.site = site
        self.membership: Membership | None = None
        self.process_count = 0  # counts the processes that ran here
        self.started_at = 0
        self.timer_at = -1
        self.open_streams = 0  # of others, served now
        self.busy_ns = 0  # wall nanoseconds in membership code
        self.traffic = Traffic(duration)
