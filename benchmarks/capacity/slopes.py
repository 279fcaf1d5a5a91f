"""The file of measured slopes, with the command, commit and seeds of each: the only source of the page's figures."""

from __future__ import annotations

import statistics
from pathlib import Path
from typing import Literal

import msgspec

from benchmarks.capacity.fit import MIN_SIZES, Fit, FitError, Point, fit

FILE = Path(__file__).with_name("slopes.json")
MIN_RUNS = 3
MIN_COMMIT_DIGITS = 7


class SlopeError(Exception):
    """A slope is invalid; the message says which and why."""


class Measurement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One size with the value of each run."""

    size: float
    runs: tuple[float, ...]

    @property
    def median(self) -> float:
        """Median of the runs."""
        return statistics.median(self.runs)

    @property
    def spread(self) -> float:
        """Range of the runs over their median."""
        return (max(self.runs) - min(self.runs)) / self.median if self.median else 0.0


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity against one size. `program`: the measured one, today's or that with the new mechanism."""

    name: str
    quantity: str
    unit: str
    against: str
    kind: Literal["measured", "simulated"]
    program: Literal["today", "mechanism"] = msgspec.field(name="text")
    command: str
    seeds: tuple[int, ...]
    commit: str
    cores: int
    measurements: tuple[Measurement, ...]
    note: str = ""

    def check(self) -> None:
        """Raises SlopeError if the command, commit, cores, seeds, sizes or runs are missing or too few."""
        if not self.command.startswith("python -m "):
            raise SlopeError(f"{self.name}: the command is not a `python -m` command")
        if len(self.commit) < MIN_COMMIT_DIGITS or not all(
            digit in "0123456789abcdef" for digit in self.commit
        ):
            raise SlopeError(f"{self.name}: the commit is not a hash of at least {MIN_COMMIT_DIGITS} digits")
        if self.cores < 1 or not self.seeds:
            raise SlopeError(f"{self.name}: the number of cores or the seeds are missing")
        if len({measurement.size for measurement in self.measurements}) < MIN_SIZES:
            raise SlopeError(f"{self.name}: fewer than {MIN_SIZES} sizes")
        for measurement in self.measurements:
            if len(measurement.runs) < MIN_RUNS:
                raise SlopeError(f"{self.name}: fewer than {MIN_RUNS} runs at size {measurement.size:g}")

    @property
    def points(self) -> list[Point]:
        """Each size with the median of its runs."""
        return [(measurement.size, measurement.median) for measurement in self.measurements]

    @property
    def spread(self) -> float:
        """The largest spread of the runs at any size."""
        return max(measurement.spread for measurement in self.measurements)

    def fitted(self) -> Fit | None:
        """Returns the fit, None if no form describes the points."""
        try:
            return fit(self.points)
        except FitError:
            return None


class SlopeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The stored slopes."""

    slopes: tuple[Slope, ...] = ()

    def find(self, name: str) -> Slope | None:
        """Returns a slope by its name, None if it was not measured."""
        return next((slope for slope in self.slopes if slope.name == name), None)


def decode(octets: bytes) -> SlopeFile:
    """Decodes the contents of a slope file. Raises SlopeError if one of its slopes is invalid."""
    try:
        found = msgspec.json.decode(octets, type=SlopeFile)
    except msgspec.MsgspecError as error:
        raise SlopeError(str(error)) from error
    for slope in found.slopes:
        slope.check()
    if len({slope.name for slope in found.slopes}) < len(found.slopes):
        raise SlopeError("two slopes have the same name")
    return found


def load(file: Path = FILE) -> SlopeFile:
    """Reads a slope file."""
    return decode(file.read_bytes())


def store_slope(new: Slope, file: Path = FILE) -> None:
    """Adds a slope to the file, replacing the one with the same name. Raises SlopeError if it is invalid."""
    new.check()
    before = load(file).slopes if file.exists() else ()
    after = [slope for slope in before if slope.name != new.name] + [new]
    after.sort(key=lambda slope: slope.name)
    octets = msgspec.json.format(msgspec.json.encode(SlopeFile(tuple(after))), indent=1)
    file.write_bytes(octets + b"\n")
