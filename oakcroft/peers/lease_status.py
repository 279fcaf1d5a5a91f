"""Lease status of one front as plain values, for operators.

The keys are an interface to operators and do not change: there a lease is a `duty`, and an acceptor a `keeper`.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from oakcroft.config.settings import PeerSettings
from oakcroft.decisions.fleet.candidate import LeaseCandidate
from oakcroft.decisions.fleet.lease import LeaseTerm
from oakcroft.decisions.membership.membership import Membership
from oakcroft.interface import MS
from oakcroft.peers.lease_acceptor import AcceptorHost


class LeaseStatusSource(Protocol):
    """The attributes of a front's lease host that its status is made of."""

    settings: PeerSettings
    membership: Membership
    acceptor_host: AcceptorHost | None
    candidates: dict[str, LeaseCandidate]
    wanted_leases: set[str]
    dropped: Counter[str]

    def current_term(self, lease_name: str) -> LeaseTerm | None:
        """Current term of a lease, as far as this front knows."""


def lease_status(host: LeaseStatusSource, now: int) -> dict[str, object]:
    """Status of all known leases, their holders and this front's acceptor."""
    acceptor = host.acceptor_host
    known = set(acceptor.acceptor.records) if acceptor is not None else set[str]()
    leases = [_lease_entry(host, lease_name, now) for lease_name in sorted(host.wanted_leases | known)]
    status: dict[str, object] = {
        "name": host.membership.own_update.name,
        "keepers": list(host.settings.lease_acceptors),
        "duties": leases,
        "term_ms": host.settings.term_ns // MS,
        "dropped": dict(host.dropped),
    }
    if acceptor is not None:
        status["keeper"] = acceptor.status(now)
    return status


def _lease_entry(host: LeaseStatusSource, lease_name: str, now: int) -> dict[str, object]:
    candidate = host.candidates.get(lease_name)
    holder = host.current_term(lease_name)
    acceptor = host.acceptor_host
    return {
        "duty": lease_name,
        "owner": holder.holder if holder is not None else None,
        "number": holder.fencing_token if holder is not None else 0,
        "mine": candidate is not None and candidate.held_term(now) is not None,
        "course": candidate.state.value if candidate is not None else None,
        "in_line": candidate.rank if candidate is not None else None,
        "promised": acceptor.promised_token(lease_name) if acceptor is not None else None,
        "left_ms": acceptor.time_left_ms(lease_name, now) if acceptor is not None else None,
    }
