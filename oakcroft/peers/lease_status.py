"""What operators see of the leases of one front, as plain values.

The keys are the operators' interface and keep their words: a lease is a `duty`, an acceptor a `keeper`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakcroft.interface import MS

if TYPE_CHECKING:
    from oakcroft.peers.leases import LeaseHost


def lease_status(host: LeaseHost, now: int) -> dict[str, object]:
    """Leases, holders and this front's acceptor."""
    acceptor = host.acceptor
    known = set(acceptor.keeper.rows) if acceptor is not None else set[str]()
    leases = [_one_lease(host, duty, now) for duty in sorted(host.wanted | known)]
    status: dict[str, object] = {
        "name": host.membership.me.name,
        "keepers": list(host.place.keepers),
        "duties": leases,
        "term_ms": host.place.term // MS,
        "dropped": dict(host.dropped),
    }
    if acceptor is not None:
        status["keeper"] = acceptor.status(now)
    return status


def _one_lease(host: LeaseHost, duty: str, now: int) -> dict[str, object]:
    candidate, holder, acceptor = host.candidates.get(duty), host.owner(duty), host.acceptor
    return {
        "duty": duty,
        "owner": holder.owner if holder is not None else None,
        "number": holder.number if holder is not None else 0,
        "mine": candidate is not None and candidate.owns(now) is not None,
        "course": candidate.course.value if candidate is not None else None,
        "in_line": candidate.rank if candidate is not None else None,
        "promised": acceptor.promised(duty) if acceptor is not None else None,
        "left_ms": acceptor.time_left(duty, now) if acceptor is not None else None,
    }
