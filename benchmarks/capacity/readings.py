"""Figures that the page takes from slopes: the value at a size, and the largest size within a budget."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from benchmarks.capacity.fit import Estimate, Fit, estimate, largest_size_reaching, largest_size_within
from benchmarks.capacity.rows import Basis
from benchmarks.capacity.slopes import Slope, SlopeFile

NOT_MEASURED = "not measured"
SIGNIFICANT_DIGITS = 3
"""Of a figure on the page."""
MAX_SIZE = 1e9
"""Largest size that is searched."""


@dataclass(frozen=True)
class Reading:
    """A slope with its fit. Both are None if it was not measured; only the fit is None if no form describes it."""

    slope: Slope | None
    fitted: Fit | None

    @cached_property
    def basis(self) -> Basis:
        """How values of this slope are known."""
        if self.slope is None or self.fitted is None:
            return Basis.NOT_MEASURED
        return Basis.SIMULATED if self.slope.kind == "simulated" else Basis.MEASURED

    def estimate(self, size: float) -> Estimate | None:
        """Returns the estimate at a size, None without a fit."""
        return None if self.fitted is None else estimate(self.fitted, size)

    def value(self, size: float) -> float | None:
        """Returns the value at a size, None without a fit."""
        return None if self.fitted is None else self.fitted.value_at(size)

    def largest_size_within(self, budget: float, maximum: float = MAX_SIZE) -> float | None:
        """Returns the largest size whose value is within a budget, None without a fit."""
        return None if self.fitted is None else largest_size_within(self.fitted, budget, maximum)

    def largest_size_reaching(self, floor: float, maximum: float = MAX_SIZE) -> float | None:
        """Returns the largest size whose value is at least `floor`, None without a fit."""
        return None if self.fitted is None else largest_size_reaching(self.fitted, floor, maximum)

    def describe_source(self, size: float | None) -> str:
        """Describes where a size comes from: the slope, the form of its fit, and an extrapolation if it is one."""
        if self.slope is None or self.fitted is None:
            return NOT_MEASURED
        source = f"`{self.slope.name}`, {self.fitted.form}"
        return source if size is None else source + extrapolation_note(estimate(self.fitted, size))

    def table_cell(self, size: float, times: float = 1.0, unit: str = "") -> str:
        """Formats the value at a size for the page, multiplied by `times`; `unit` replaces the unit of the slope."""
        found = self.estimate(size)
        if found is None or self.slope is None:
            return NOT_MEASURED
        simulated = ", simulated" if self.slope.kind == "simulated" else ""
        return f"{format_number(found.value * times)} {unit or self.slope.unit}{simulated}{extrapolation_note(found)}"


def extrapolation_note(found: Estimate) -> str:
    """Returns the measured sizes and the size of an extrapolated estimate, and whether it is a guess; else nothing."""
    if not found.is_extrapolated:
        return ""
    guess = ", **a guess**" if found.is_guess else ""
    measured_sizes = f"{format_number(found.smallest)}..{format_number(found.largest)}"
    return f" (from {measured_sizes} to {format_number(found.size)}{guess})"


def format_number(value: float) -> str:
    """Formats a figure with three significant digits and a thousands separator."""
    if value == 0:
        return "0"
    if abs(value) >= 10**SIGNIFICANT_DIGITS / 10:
        digits = len(str(int(abs(value)))) - SIGNIFICANT_DIGITS
        return f"{round(value, -digits):,.0f}"
    return f"{value:.{SIGNIFICANT_DIGITS}g}"


class Readings:
    """The readings of all slopes, by name."""

    def __init__(self, file: SlopeFile) -> None:
        """Uses the slopes of a file; each is fitted when it is first requested."""
        self.file = file
        self._cache: dict[str, Reading] = {}

    def __getitem__(self, name: str) -> Reading:
        """Returns the reading of a slope, whether or not it was measured."""
        if name not in self._cache:
            found = self.file.find(name)
            self._cache[name] = Reading(found, found.fitted() if found is not None else None)
        return self._cache[name]
