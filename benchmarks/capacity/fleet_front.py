"""The place of one hollow front end in a simulated fleet."""

from __future__ import annotations

from benchmarks.capacity.fleet_membership import Membership
from benchmarks.capacity.fleet_traffic import Traffic
from benchmarks.capacity.topology import Site


class HollowFront:
    """One front end's place, and the process that runs there now, if any."""

    __slots__ = ("busy", "membership", "process", "scheduled", "site", "started_at", "streams", "traffic")

    def __init__(self, site: Site, duration: int) -> None:
        """No process runs yet; traffic is counted for so many nanoseconds."""
        self.site = site
        self.membership: Membership | None = None
        self.process = 0  # counts the processes that ran here
        self.started_at = 0
        self.scheduled = -1
        self.streams = 0  # of others, served now
        self.busy = 0  # wall nanoseconds in membership code
        self.traffic = Traffic(duration)
