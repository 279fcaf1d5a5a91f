"""Lease holders over minutes of simulated time: flapping partitions, acceptors that lose their records, clocks set back.

The simulation itself asserts at each message that there is at most one holder and that the tokens of terms only grow.
"""

from __future__ import annotations

import pytest

from oakcroft.interface import SECOND
from oakcroft.rehearsal.lease_simulation import LeaseSimulation

TERM = 2 * SECOND


def simulation_with_holder(
    fronts: int = 7, acceptors: int = 3, loss: float = 0.0, seed: int = 1
) -> LeaseSimulation:
    fleet = LeaseSimulation(fronts, acceptors, TERM, loss, seed)
    assert fleet.run(5 * TERM, lambda: bool(fleet.terms_begun))
    return fleet


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_holder_without_faults_keeps_its_lease(loss: float) -> None:
    fleet = simulation_with_holder(loss=loss)
    fleet.run(300 * TERM)
    assert len(fleet.terms_begun) <= (1 if not loss else 6)
    assert fleet.holder() is not None


@pytest.mark.parametrize(("acceptors", "seed"), [(3, 1), (3, 2), (5, 3)])
def test_after_a_crash_another_holds_the_lease_within_two_terms(acceptors: int, seed: int) -> None:
    fleet = simulation_with_holder(9, acceptors, 0.05, seed)
    for _ in range(30):
        fleet.run(3 * TERM + fleet.rng.randrange(TERM))
        holder, count, now = fleet.holder(), len(fleet.terms_begun), fleet.now
        if holder is None:
            continue
        fleet.kill(holder, 4 * TERM)
        assert fleet.run(20 * TERM, lambda n=count: len(fleet.terms_begun) > n)  # type: ignore[misc]
        assert fleet.now - now <= 2 * TERM
        fleet.run(5 * TERM)


def test_a_flapping_partition_passes_a_lease_on_once_a_term_at_most() -> None:
    fleet = simulation_with_holder(8, 3, 0.0, 4)
    half = {"f000", "f003", "f004", "f005"}
    began, count = fleet.now, len(fleet.terms_begun)
    for _ in range(100):
        fleet.cut = lambda a, b: (a in half) != (b in half)
        fleet.run(TERM * 3 // 4)
        fleet.cut = lambda _a, _b: False
        fleet.run(TERM // 3)
    assert len(fleet.terms_begun) - count <= (fleet.now - began) // TERM
    fleet.run(4 * TERM)
    assert fleet.holder() is not None


def test_no_front_holds_the_lease_for_ten_minutes_without_a_majority_and_one_does_soon_after() -> None:
    fleet = simulation_with_holder(7, 3)
    for acceptor in ("f000", "f001"):
        fleet.kill(acceptor, 600 * SECOND)
    fleet.run(2 * TERM)
    count = len(fleet.terms_begun)
    fleet.run(600 * SECOND - 3 * TERM)
    assert fleet.holder() is None
    assert len(fleet.terms_begun) == count
    assert fleet.run(6 * TERM, lambda: len(fleet.terms_begun) > count)


@pytest.mark.parametrize(("acceptors", "wiped"), [(3, 1), (4, 2), (5, 2)])
def test_a_lease_gets_a_holder_after_half_of_the_acceptors_lose_their_records_at_once(
    acceptors: int, wiped: int
) -> None:
    fleet = simulation_with_holder(9, acceptors, 0.05, acceptors)
    for round_ in range(10):
        count = len(fleet.terms_begun)
        for name in [f"f{(round_ + i) % acceptors:03}" for i in range(wiped)]:
            fleet.kill(name, TERM // 2, keeps_record=False)
        holder = fleet.holder()
        if holder is not None and holder not in fleet.dead:
            fleet.kill(holder, TERM)
        assert fleet.run(20 * TERM, lambda n=count: len(fleet.terms_begun) > n)  # type: ignore[misc]
        fleet.run(5 * TERM)


def test_terms_do_not_overlap_after_all_records_are_lost_at_once() -> None:
    """Tokens then continue from the clock, which gives each new process a higher minimum."""
    fleet = simulation_with_holder(7, 3)
    for name in fleet.names:
        fleet.kill(name, TERM // 4, keeps_record=False, min_token=1_000)
    end = fleet.now + TERM  # terms granted so far may run until then
    count = len(fleet.terms_begun)
    assert fleet.run(20 * TERM, lambda: len(fleet.terms_begun) > count)
    assert fleet.now >= end
    assert fleet.terms_begun[-1][1] > 1_000


def test_a_candidate_whose_clock_was_set_back_learns_the_highest_number() -> None:
    fleet = simulation_with_holder(7, 3)
    for name in fleet.names:
        if name not in fleet.acceptors:
            fleet.kill(name, TERM, min_token=0)
    for acceptor in fleet.acceptors.values():
        acceptor.records = {
            d: type(r)(10**15, r.promised_to, None, r.note) for d, r in acceptor.records.items()
        }
        acceptor.running_until.clear()
    count = len(fleet.terms_begun)
    for acceptor_name in fleet.acceptors:
        fleet.candidates[acceptor_name].set_wanted(False, fleet.now)
    assert fleet.run(20 * TERM, lambda: len(fleet.terms_begun) > count)
    assert fleet.terms_begun[-1][1] > 10**15
