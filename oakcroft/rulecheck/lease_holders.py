"""Checks from outside that each lease of the fleet had one holder at a time.

The input is what fronts answered when they were asked which leases they hold, the orders that took effect on each front,
in the order of its own log over all its processes, and what was done to the fronts.

Facts, beside those of membership.py: `owners` (front, asked: when it was asked, duties: fencing token by the name of
each lease that it believes to hold), `stands` (front, fence: fencing token and step, in_force, stage of the last
rollout) and `effect` (front, place: its line in the front's log, number: fencing token, step).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from itertools import pairwise
from typing import NamedTuple

from oakcroft.interface import SECOND
from oakcroft.rulecheck.facts import Fact, Finding
from oakcroft.rulecheck.membership import DEATH_KNOWN_WITHIN_NS, Outage, find_outages

POLL_INTERVAL_NS = SECOND
"""Longest time between two polls of the same front on a busy machine."""

MAX_VACANT_TERMS = 2
"""Longest time without a holder, in terms, beside the time until the death of the first candidates is known."""


class HeldTerm(NamedTuple):
    """The time (ns) in which fronts certainly held a lease: from the first answer that says so to the last question."""

    fencing_token: int
    begin: int
    end: int
    fronts: set[int]


def check_lease_holders(
    facts: list[Fact], names: Mapping[int, str], acceptors: frozenset[int], term: int
) -> list[Finding]:
    """Checks four properties: 21 one holder at a time, 22 no order of an older term takes effect after one of a newer
    term, 23 no long time without a holder, 24 all fronts are in the same state in the end.

    `acceptors` are the numbers of the fronts that grant leases, and `term` is the length of a lease in ns.
    """
    facts = sorted(facts, key=lambda fact: fact["t"])
    last = max((fact["t"] for fact in facts if fact["kind"] == "owners"), default=0)
    outages = find_outages(facts, last)
    return [
        _check_one_holder(facts),
        _check_order_of_effects(facts),
        _check_vacant_times(facts, outages, acceptors, term, last),
        _check_same_state(facts, outages, names),
    ]


def _check_one_holder(facts: list[Fact]) -> Finding:
    """Checks that each fencing token belongs to one front and that the times of two tokens do not overlap.

    A front's claim held at some moment between the question and its answer.
    """
    finding = Finding(21, "one lease holder at a time")
    claims = defaultdict[tuple[str, int], list[Fact]](list)
    for fact in facts:
        if fact["kind"] == "owners":
            for lease_name, token in fact["duties"].items():
                claims[lease_name, token].append(fact)
    terms_by_lease = defaultdict[str, list[HeldTerm]](list)
    for (lease_name, token), claims_of_token in claims.items():
        finding.cases += len(claims_of_token)
        fronts = {claim["front"] for claim in claims_of_token}
        if len(fronts) > 1:
            finding.add_breach(f"number {token} of {lease_name} is owned by fronts {sorted(fronts)}")
        begin = min(claim["t"] for claim in claims_of_token)
        end = max(claim["asked"] for claim in claims_of_token)
        terms_by_lease[lease_name].append(HeldTerm(token, begin, end, fronts))
    for lease_name, terms in terms_by_lease.items():
        terms.sort()
        for earlier, later in pairwise(terms):
            if min(later.end, later.begin) < earlier.end and earlier.fronts != later.fronts:
                finding.add_breach(
                    f"{lease_name}: fronts {sorted(later.fronts)} had {later.fencing_token} "
                    f"while {sorted(earlier.fronts)} still had {earlier.fencing_token}"
                )
    if not finding.cases:
        finding.add_breach("nobody ever owned anything")
    return finding


def _check_order_of_effects(facts: list[Fact]) -> Finding:
    """Checks that neither the orders in effect on a front nor its fence go back to an older token or step."""
    finding = Finding(22, "no older token after a newer")
    highest = defaultdict[int, tuple[int, int]](lambda: (0, 0))
    effects = (fact for fact in facts if fact["kind"] == "effect")
    for effect in sorted(effects, key=lambda effect: (effect["front"], effect["place"])):
        front = effect["front"]
        finding.cases += 1
        order = (effect["number"], effect["step"])
        if order < highest[front]:
            finding.add_breach(f"front {front}: {order} took effect after {highest[front]}")
        highest[front] = max(order, highest[front])
    fences = defaultdict[int, tuple[int, int]](lambda: (0, 0))
    for fact in facts:
        if fact["kind"] == "stands":
            front = fact["front"]
            finding.cases += 1
            fence = tuple(fact["fence"])
            if fence != (0, 0) and fence < fences[front]:
                finding.add_breach(f"front {front}: its fence went back from {fences[front]} to {fence}")
            fences[front] = max(fence, fences[front])
    return finding


def _check_vacant_times(
    facts: list[Fact], outages: list[Outage], acceptors: frozenset[int], term: int, last: int
) -> Finding:
    """Checks that no time without a holder is longer than two terms and the time until a death is known.

    Times in which no majority of acceptors was available, or the network was cut, do not count.
    """
    finding = Finding(23, "no long time without a holder")
    claim_times = sorted(
        (fact["t"], fact["asked"]) for fact in facts if fact["kind"] == "owners" and fact["duties"]
    )
    if not claim_times:
        return finding
    allowed = MAX_VACANT_TERMS * term + DEATH_KNOWN_WITHIN_NS + POLL_INTERVAL_NS
    for (since, _), (until, _) in zip(claim_times, [*claim_times[1:], (last, last)], strict=True):
        finding.cases += 1
        if until - since > allowed and not _is_excused(outages, acceptors, since, until, term):
            finding.add_breach(f"nobody owned it for {(until - since) / SECOND:.1f} s")
    return finding


def _is_excused(outages: list[Outage], acceptors: frozenset[int], since: int, until: int, term: int) -> bool:
    """Whether in a time the network was cut or no majority of acceptors was available."""
    unavailable = set[int]()
    for outage in outages:
        # An acceptor that was away grants nothing for a term after its return.
        if outage.begin >= until or outage.end + 2 * term <= since:
            continue
        if outage.kind == "cut":
            return True
        unavailable |= outage.fronts
    return 2 * len(acceptors & unavailable) >= len(acceptors)


def _check_same_state(facts: list[Fact], outages: list[Outage], names: Mapping[int, str]) -> Finding:
    """Checks that all running fronts end with the same version in force and no rollout in progress."""
    finding = Finding(24, "all fronts equal at the end")
    last_states = dict[int, Fact]()
    for fact in facts:
        if fact["kind"] == "stands":
            last_states[fact["front"]] = fact
    end = max((state["t"] for state in last_states.values()), default=0)
    down = {front for outage in outages if outage.end > end for front in outage.fronts}
    in_force = {front: state["in_force"] for front, state in last_states.items() if front not in down}
    finding.cases = len(in_force)
    if len(set(in_force.values())) > 1:
        finding.add_breach(f"in force: {in_force}")
    if set(in_force) != set(names) - down:
        finding.add_breach(f"no state is on record of fronts {sorted(set(names) - down - set(in_force))}")
    unfinished = sorted(
        front
        for front, state in last_states.items()
        if state["stage"] not in ("done", "stopped") and front not in down
    )
    if unfinished:
        finding.add_breach(f"the last rollout is not over on fronts {unfinished}")
    return finding
