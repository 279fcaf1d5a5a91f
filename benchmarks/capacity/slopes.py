"""The file of slopes: what was measured, by which command, and how far it spreads. Nothing enters the page but by it."""

from __future__ import annotations

from pathlib import Path
from statistics import median
from typing import Literal

import msgspec

from benchmarks.capacity.fit import MIN_SIZES, Fit, FitError, Point, fit

FILE = Path(__file__).with_name("slopes.json")
MIN_RUNS = 3
MIN_COMMIT_DIGITS = 7


class SlopeError(Exception):
    """A slope that may not be used; says which, and why."""


class Measurement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One size and what each run gave there."""

    size: float
    runs: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the runs."""
        return median(self.runs)

    @property
    def spread(self) -> float:
        """Largest less smallest run, over the median."""
        return (max(self.runs) - min(self.runs)) / self.median if self.median else 0.0


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity against one size. `text`: the program that was measured, today's or with the new mechanism."""

    name: str
    quantity: str
    unit: str
    against: str
    kind: Literal["measured", "simulated"]
    text: Literal["today", "mechanism"]
    command: str
    seeds: tuple[int, ...]
    commit: str
    cores: int
    measurements: tuple[Measurement, ...]
    note: str = ""

    def check(self) -> None:
        """SlopeError where it lacks what makes it a measurement."""
        if not self.command.startswith("python -m "):
            raise SlopeError(f"{self.name}: no command that gives it")
        if len(self.commit) < MIN_COMMIT_DIGITS or not all(c in "0123456789abcdef" for c in self.commit):
            raise SlopeError(f"{self.name}: no commit")
        if self.cores < 1 or not self.seeds:
            raise SlopeError(f"{self.name}: no cores or no seeds")
        if len({m.size for m in self.measurements}) < MIN_SIZES:
            raise SlopeError(f"{self.name}: under {MIN_SIZES} sizes")
        short = [m.size for m in self.measurements if len(m.runs) < MIN_RUNS]
        if short:
            raise SlopeError(f"{self.name}: under {MIN_RUNS} runs at {short[0]:g}")

    @property
    def points(self) -> list[Point]:
        """Size and median of the runs."""
        return [(m.size, m.median) for m in self.measurements]

    @property
    def spread(self) -> float:
        """The widest of the runs at any size."""
        return max(m.spread for m in self.measurements)

    def fitted(self) -> Fit | None:
        """The fit; None where no form describes the points."""
        try:
            return fit(self.points)
        except FitError:
            return None


class SlopeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All slopes."""

    slopes: tuple[Slope, ...] = ()

    def find(self, name: str) -> Slope | None:
        """A slope by its name; None where it was not measured."""
        return next((one for one in self.slopes if one.name == name), None)


def decode(octets: bytes) -> SlopeFile:
    """A file's slopes. SlopeError where one of them may not be used."""
    try:
        found = msgspec.json.decode(octets, type=SlopeFile)
    except msgspec.MsgspecError as fault:
        raise SlopeError(str(fault)) from fault
    for one in found.slopes:
        one.check()
    if len({one.name for one in found.slopes}) < len(found.slopes):
        raise SlopeError("two slopes of one name")
    return found


def load(file: Path = FILE) -> SlopeFile:
    """The slopes on record."""
    return decode(file.read_bytes())


def store_slope(new: Slope, file: Path = FILE) -> None:
    """Puts a slope on record in place of the one of its name."""
    new.check()
    before = load(file).slopes if file.exists() else ()
    after = [one for one in before if one.name != new.name] + [new]
    after.sort(key=lambda one: one.name)
    octets = msgspec.json.format(msgspec.json.encode(SlopeFile(tuple(after))), indent=1)
    file.write_bytes(octets + b"\n")
