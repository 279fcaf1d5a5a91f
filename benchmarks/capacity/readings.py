"""What the page reads off slopes: a value at a size, and the largest size within a budget, each with how it is known."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from benchmarks.capacity.fit import Estimate, Fit, estimate, largest_over, largest_within
from benchmarks.capacity.rows import Basis
from benchmarks.capacity.slopes import Slope, SlopeFile

NOT_MEASURED = "not measured"
DIGITS = 3
"""That count in a figure on the page."""
FAR = 1e9
"""Sizes past this are not looked at."""


@dataclass(frozen=True)
class Reading:
    """A slope with its fit; both None where it was not measured, the fit alone where no form describes it."""

    slope: Slope | None
    fitted: Fit | None

    @cached_property
    def basis(self) -> Basis:
        """How it is known."""
        if self.slope is None or self.fitted is None:
            return Basis.NOT_MEASURED
        return Basis.SIMULATED if self.slope.kind == "simulated" else Basis.MEASURED

    def estimate(self, size: float) -> Estimate | None:
        """The value at a size."""
        return None if self.fitted is None else estimate(self.fitted, size)

    def value(self, size: float) -> float | None:
        """The same, bare."""
        return None if self.fitted is None else self.fitted.at(size)

    def within(self, budget: float, most: float = FAR) -> float | None:
        """The largest size whose value is within a budget."""
        return None if self.fitted is None else largest_within(self.fitted, budget, most)

    def over(self, floor: float, most: float = FAR) -> float | None:
        """The largest size whose value is still as large as a floor."""
        return None if self.fitted is None else largest_over(self.fitted, floor, most)

    def source(self, size: float | None) -> str:
        """Where a size comes from: the slope, its form, and how far beyond the measured sizes it lies."""
        if self.slope is None or self.fitted is None:
            return NOT_MEASURED
        said = f"`{self.slope.name}`, {self.fitted.form}"
        return said if size is None else said + range_of(estimate(self.fitted, size))

    def cell(self, size: float, times: float = 1.0, unit: str = "") -> str:
        """The value at a size for the page. `times`: of another unit, named by `unit`."""
        found = self.estimate(size)
        if found is None or self.slope is None:
            return NOT_MEASURED
        simulated = ", simulated" if self.slope.kind == "simulated" else ""
        return f"{number(found.value * times)} {unit or self.slope.unit}{simulated}{range_of(found)}"


def range_of(found: Estimate) -> str:
    """How an estimate is marked: not at all within the measured sizes, else from where to where, and if it is a guess."""
    if not found.extrapolated:
        return ""
    guess = ", **a guess**" if found.guess else ""
    return f" (from {number(found.smallest)}..{number(found.largest)} to {number(found.size)}{guess})"


def number(value: float) -> str:
    """A figure with three digits that count, thousands parted."""
    if value == 0:
        return "0"
    if abs(value) >= 10**DIGITS / 10:
        digits = len(str(int(abs(value)))) - DIGITS
        return f"{round(value, -digits):,.0f}"
    return f"{value:.{DIGITS}g}"


class Readings:
    """All slopes, by name."""

    def __init__(self, file: SlopeFile) -> None:
        """Of a file; each is fitted when it is first asked for."""
        self.file = file
        self.read: dict[str, Reading] = {}

    def __getitem__(self, name: str) -> Reading:
        """The reading of a slope, whether or not it was measured."""
        if name not in self.read:
            found = self.file.named(name)
            self.read[name] = Reading(found, found.fitted() if found is not None else None)
        return self.read[name]
