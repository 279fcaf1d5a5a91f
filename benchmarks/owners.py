"""How long a duty is without an owner after its owner's crash, and what keeping it costs.

    python -m benchmarks.owners [--kills 200] [--term 6] [--loss 0.05]

Pure keepers and candidates on a simulated network, seeded, the same every time. Fronts learn of a crash `KNOWN` seconds
after it (docs/fleet.md: what all know at p99), until then the dead stand in line. The killed come back after ten terms.
"""

from __future__ import annotations

import argparse
import heapq
from collections.abc import Callable
from random import Random

from oakcroft.decisions.fleet.keeping import Keeper
from oakcroft.decisions.fleet.owning import Candidate, Course, Word
from oakcroft.decisions.fleet.rendezvous import rank
from oakcroft.decisions.fleet.terms import Answer
from oakcroft.interface import MS, SECOND

DUTY = "catalogue"
KNOWN = 4.4
LOOK = 50 * MS
IN_LINE = 5


class Fleet:
    """So many fronts, the first of them keepers."""

    def __init__(self, fronts: int, keepers: int, term: int, loss: float, seed: int) -> None:
        self.rng, self.loss, self.term = Random(seed), loss, term
        self.names = [f"f{i:03}" for i in range(fronts)]
        granting = self.names[:keepers]
        self.keepers = {k: Keeper(k, granting, term, 1, -term) for k in granting}
        for k in self.keepers.values():
            k.take_on(1, {}, {}, True, 0)
        self.candidates = {n: self._candidate(n, 1, 0) for n in self.names}
        self.dead, self.known_dead = set[str](), set[str]()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.now = self.count = self.messages = 0
        for i, name in enumerate(self.names):
            self.later(i * MS % LOOK, lambda n=name: self._look(n))  # type: ignore[misc]

    def _candidate(self, name: str, start: int, now: int) -> Candidate:
        return Candidate(DUTY, name, start, self.keepers, self.term, Random(f"{name}/{start}"), 0, now)

    def later(self, after: int, event: Callable[[], None]) -> None:
        """Does something after a time, ns."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + after, self.count, event))

    def run(self, for_: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Plays on for so long, or until something holds."""
        end = self.now + for_
        while self.heap and self.heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self.heap)
            event()
            if until():
                return True
        self.now = end
        return False

    def _pass(self, event: Callable[[], None]) -> None:
        self.messages += 1
        if self.rng.random() >= self.loss:
            self.later(self.rng.randrange(MS, 5 * MS), event)

    def _look(self, name: str) -> None:
        self.later(LOOK, lambda: self._look(name))
        if name in self.dead:
            return
        one = self.candidates[name]
        place = rank(DUTY, name, [n for n in self.names if n not in self.known_dead])
        one.rank = place
        self._say(name, one.want(place < IN_LINE or one.owns(self.now) is not None, self.now))
        self._say(name, one.tick(self.now))

    def _say(self, name: str, words: list[Word]) -> None:
        for word in words:
            self._pass(lambda w=word: self._asked(name, w))  # type: ignore[misc]

    def _asked(self, name: str, word: Word) -> None:
        if word.to in self.dead:
            return
        answer = self.keepers[word.to].asked(word.ask, self.now)
        if answer is not None:
            self._pass(lambda: self._answered(name, answer))

    def _answered(self, name: str, answer: Answer) -> None:
        if name not in self.dead:
            self._say(name, self.candidates[name].heard(answer, self.now))

    def owner(self) -> str | None:
        """Whoever takes itself for the owner; more than one would be a fault of the program."""
        living = (
            (n, c) for n, c in self.candidates.items() if n not in self.dead and c.course is Course.OWNS
        )
        some = [n for n, c in living if c.owns(self.now)]
        assert len(some) <= 1, some
        return some[0] if some else None

    def kill(self, name: str) -> None:
        """A front ends with no word, and starts again without its candidate's memory."""
        self.dead.add(name)
        self.later(round(KNOWN * SECOND), lambda: self.known_dead.add(name))

        def back() -> None:
            self.dead.discard(name)
            self.known_dead.discard(name)
            self.candidates[name] = self._candidate(name, self.now, self.now)
            if (old := self.keepers.get(name)) is not None:
                new = Keeper(name, self.keepers, self.term, 1, self.now)
                new.take_on(old.epoch, old.epochs, old.rows, True, self.now)
                self.keepers[name] = new

        self.later(10 * self.term, back)


HEADER = "| fronts | keepers | term, s | loss | no owner after a crash, s (p50, p99, most) | messages a second, all |"


def measure(fronts: int, keepers: int, term: int, loss: float, kills: int) -> str:
    """One row: crashes of the owner, and the messages of a quiet time."""
    fleet = Fleet(fronts, keepers, term, loss, 1)
    fleet.run(20 * SECOND, lambda: fleet.owner() is not None)
    fleet.run(5 * term)
    fleet.messages = 0
    fleet.run(10 * term)
    quiet = fleet.messages / (10 * term / SECOND)
    gaps = list[float]()
    for _ in range(kills):
        owner = fleet.owner()
        if owner is None:
            fleet.run(20 * SECOND, lambda: fleet.owner() is not None)
            owner = fleet.owner()
        assert owner is not None
        fleet.run(fleet.rng.randrange(term))
        owner = fleet.owner() or owner
        began = fleet.now
        fleet.kill(owner)
        assert fleet.run(30 * term, lambda: fleet.owner() is not None)
        gaps.append((fleet.now - began) / SECOND)
        fleet.run(11 * term)
    gaps.sort()
    p = [gaps[min(len(gaps) - 1, int(q * len(gaps)))] for q in (0.5, 0.99)]
    times = f"{p[0]:.1f}, {p[1]:.1f}, {gaps[-1]:.1f}"
    return f"| {fronts} | {keepers} | {term / SECOND:g} | {loss:.0%} | {times} | {quiet:.1f} |"


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--term", type=float, default=6)
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.05, 0.2])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 50])
    given = parser.parse_args()
    print(
        "| fronts | keepers | term, s | loss | no owner after a crash, s (p50, p99, most) | messages a second, all |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for fronts in given.sizes:
        for keepers in (3, 5):
            for loss in given.loss:
                print(measure(fronts, keepers, round(given.term * SECOND), loss, given.kills), flush=True)


if __name__ == "__main__":
    main()
