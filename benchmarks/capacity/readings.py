"""What the page reads off slopes: a value at a size, and the largest size within a budget, each with how it is known."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from benchmarks.capacity.fit import Estimate, Fit, estimate, largest_size_reaching, largest_size_within
from benchmarks.capacity.rows import Basis
from benchmarks.capacity.slopes import Slope, SlopeFile

NOT_MEASURED = "not measured"
SIGNIFICANT_DIGITS = 3
"""That count in a figure on the page."""
MAX_SIZE = 1e9
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
        return None if self.fitted is None else self.fitted.value_at(size)

    def largest_size_within(self, budget: float, maximum: float = MAX_SIZE) -> float | None:
        """The largest size whose value is within a budget."""
        return None if self.fitted is None else largest_size_within(self.fitted, budget, maximum)

    def largest_size_reaching(self, floor: float, maximum: float = MAX_SIZE) -> float | None:
        """The largest size whose value is still as large as a floor."""
        return None if self.fitted is None else largest_size_reaching(self.fitted, floor, maximum)

    def describe_source(self, size: float | None) -> str:
        """Where a size comes from: the slope, its form, and how far beyond the measured sizes it lies."""
        if self.slope is None or self.fitted is None:
            return NOT_MEASURED
        said = f"`{self.slope.name}`, {self.fitted.form}"
        return said if size is None else said + extrapolation_note(estimate(self.fitted, size))

    def table_cell(self, size: float, times: float = 1.0, unit: str = "") -> str:
        """The value at a size for the page. `times`: of another unit, named by `unit`."""
        found = self.estimate(size)
        if found is None or self.slope is None:
            return NOT_MEASURED
        simulated = ", simulated" if self.slope.kind == "simulated" else ""
        return f"{format_number(found.value * times)} {unit or self.slope.unit}{simulated}{extrapolation_note(found)}"


def extrapolation_note(found: Estimate) -> str:
    """How an estimate is marked: not at all within the measured sizes, else from where to where, and if it is a guess."""
    if not found.is_extrapolated:
        return ""
    guess = ", **a guess**" if found.is_guess else ""
    return f" (from {format_number(found.smallest)}..{format_number(found.largest)} to {format_number(found.size)}{guess})"


def format_number(value: float) -> str:
    """A figure with three digits that count, thousands parted."""
    if value == 0:
        return "0"
    if abs(value) >= 10**SIGNIFICANT_DIGITS / 10:
        digits = len(str(int(abs(value)))) - SIGNIFICANT_DIGITS
        return f"{round(value, -digits):,.0f}"
    return f"{value:.{SIGNIFICANT_DIGITS}g}"


class Readings:
    """All slopes, by name."""

    def __init__(self, file: SlopeFile) -> None:
        """Of a file; each is fitted when it is first asked for."""
        self.file = file
        self._cache: dict[str, Reading] = {}

    def __getitem__(self, name: str) -> Reading:
        """The reading of a slope, whether or not it was measured."""
        if name not in self._cache:
            found = self.file.find(name)
            self._cache[name] = Reading(found, found.fitted() if found is not None else None)
        return self._cache[name]
