"""Fits of growth over size, and what may be read off them beyond the sizes that were measured.

Three forms are tried: linear a + b x, quadratic a + b x + c x^2, and power c x^k. Each is fitted by least squares of the
relative error, so that small sizes count as much as large ones. A form is judged by what it predicts for the largest
size from the others (one left out, at the end that matters here), since any form with three parameters passes through few
points.
A line is kept where it predicts well, else the better of the others is taken; where none does, nothing is extended.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_SIZES = 4
MAX_LINEAR_PREDICTION_ERROR = 0.10
"""Relative error at the largest size under which a simpler form is kept."""
MAX_PREDICTION_ERROR = 0.50
"""Past it no form describes the points, and none is extended."""
MAX_EXTRAPOLATION_FACTOR = 20.0
"""An estimate further than this beyond the measured sizes is a guess."""
MAX_CONSTANT_SPREAD = 0.10
"""Spread of all values over their mean under which a quantity does not grow with the size."""
BISECTION_STEPS = 60

Point = tuple[float, float]


class FitError(Exception):
    """Points from which no growth can be read."""


@dataclass(frozen=True)
class Fit:
    """One fitted form. `residual`: root mean square of the relative errors at all measured sizes; `prediction`: relative
    error at the largest size when the form is fitted without it."""

    form: str
    coefficients: tuple[float, ...]
    smallest: float
    largest: float
    residual: float
    prediction: float

    def value_at(self, size: float) -> float:
        """The fitted value at a size."""
        return evaluate(self.form, self.coefficients, size)


@dataclass(frozen=True)
class Estimate:
    """A value read off a fit, with how far it is from what was measured."""

    value: float
    size: float
    smallest: float
    largest: float
    form: str

    @property
    def extrapolation_factor(self) -> float:
        """How many times the size lies beyond the measured ones, at either end; 1 within them."""
        below = self.smallest / self.size if self.size > 0 else 1.0
        return max(1.0, self.size / self.largest, below)

    @property
    def is_extrapolated(self) -> bool:
        """Whether the size lies beyond those measured."""
        return self.extrapolation_factor > 1

    @property
    def is_guess(self) -> bool:
        """Whether it lies so far beyond them that the value is a guess."""
        return self.extrapolation_factor > MAX_EXTRAPOLATION_FACTOR


def evaluate(form: str, coefficients: Sequence[float], size: float) -> float:
    """The value of a form at a size."""
    if form == "power":
        factor, exponent = coefficients
        return factor * float(size**exponent)
    return sum(c * size**i for i, c in enumerate(coefficients))


def fit(points: Sequence[Point]) -> Fit:
    """The simplest form that describes the points. FitError where there are under four sizes, or no form does."""
    some = sorted(points)
    if len({size for size, _ in some}) < MIN_SIZES:
        raise FitError(f"{len(some)} sizes; {MIN_SIZES} at least are wanted")
    if any(value <= 0 or size <= 0 for size, value in some):
        raise FitError("sizes and values have to be over 0")
    if is_constant(some):
        return fit_form("constant", some)
    linear = fit_form("linear", some)
    if linear.prediction <= MAX_LINEAR_PREDICTION_ERROR:
        return linear
    curved = [fit_form("power", some), fit_form("quadratic", some)]
    # A parabola that opens downwards would say that the cost falls beyond some size.
    rising = [one for one in curved if one.form == "power" or one.coefficients[-1] > 0]
    best = min(rising, key=lambda one: one.prediction)
    if best.prediction > MAX_PREDICTION_ERROR:
        raise FitError(f"no form predicts the largest size within {MAX_PREDICTION_ERROR:.0%}")
    return best


def is_constant(points: Sequence[Point]) -> bool:
    """Whether the values do not grow with the size."""
    values = [value for _, value in points]
    mean = sum(values) / len(values)
    return max(values) - min(values) <= MAX_CONSTANT_SPREAD * mean


def fit_form(form: str, points: Sequence[Point]) -> Fit:
    """One form, fitted to all points, with its residual and its prediction of the largest."""
    coefficients = FORMS[form](points)
    errors = [relative_error(form, coefficients, point) for point in points]
    residual = math.sqrt(sum(e * e for e in errors) / len(errors))
    prediction = abs(relative_error(form, FORMS[form](points[:-1]), points[-1]))
    return Fit(form, coefficients, points[0][0], points[-1][0], residual, prediction)


def relative_error(form: str, coefficients: Sequence[float], point: Point) -> float:
    """Of a form at one point."""
    size, value = point
    return (evaluate(form, coefficients, size) - value) / value


def estimate(fitted: Fit, size: float) -> Estimate:
    """What a fit says at a size, with the range that it was measured over."""
    return Estimate(fitted.value_at(size), size, fitted.smallest, fitted.largest, fitted.form)


def largest_size_within(fitted: Fit, budget: float, maximum: float) -> float:
    """The largest size up to `maximum` whose value stays within a budget; 0 where none does. Growing forms only."""
    return bisect_largest_size(fitted.value_at, budget, maximum)


def largest_size_reaching(fitted: Fit, floor: float, maximum: float) -> float:
    """The largest size up to `maximum` whose value is still as large as wanted; 0 where none is. Falling forms only."""
    return bisect_largest_size(lambda size: -fitted.value_at(size), -floor, maximum)


def bisect_largest_size(value: Callable[[float], float], budget: float, maximum: float) -> float:
    """The largest size up to `maximum` at which a growing function is within a budget; 0 where it never is."""
    if value(maximum) <= budget:
        return maximum
    low, high = 0.0, maximum
    for _ in range(BISECTION_STEPS):
        midpoint = (low + high) / 2
        if value(midpoint) <= budget:
            low = midpoint
        else:
            high = midpoint
    return low


def polynomial_fitter(degree: int) -> Callable[[Sequence[Point]], tuple[float, ...]]:
    """Least squares of the relative error for a polynomial of a degree."""

    def solve(points: Sequence[Point]) -> tuple[float, ...]:
        unit = max(size for size, _ in points)  # keeps the powers of large sizes near 1
        rows = [[(size / unit) ** i / value for i in range(degree + 1)] for size, value in points]
        matrix = [
            [sum(row[i] * row[j] for row in rows) for j in range(degree + 1)] for i in range(degree + 1)
        ]
        right = [sum(row[i] for row in rows) for i in range(degree + 1)]
        return tuple(c / unit**i for i, c in enumerate(solve_linear_system(matrix, right)))

    return solve


def fit_power(points: Sequence[Point]) -> tuple[float, ...]:
    """Least squares in the logarithms: factor and exponent."""
    logs = [(math.log(size), math.log(value)) for size, value in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    spread = sum((x - mean_x) ** 2 for x, _ in logs)
    exponent = sum((x - mean_x) * (y - mean_y) for x, y in logs) / spread
    return math.exp(mean_y - exponent * mean_x), exponent


def solve_linear_system(matrix: list[list[float]], right: list[float]) -> list[float]:
    """The solution of a small linear system, by elimination with pivots."""
    size = len(right)
    rows = [[*row, value] for row, value in zip(matrix, right, strict=True)]
    for column in range(size):
        pivot = max(range(column, size), key=lambda r: abs(rows[r][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        for r in range(column + 1, size):
            factor = rows[r][column] / rows[column][column]
            rows[r] = [a - factor * b for a, b in zip(rows[r], rows[column], strict=True)]
    out = [0.0] * size
    for r in reversed(range(size)):
        known = sum(rows[r][c] * out[c] for c in range(r + 1, size))
        out[r] = (rows[r][size] - known) / rows[r][r]
    return out


FORMS: dict[str, Callable[[Sequence[Point]], tuple[float, ...]]] = {
    "constant": polynomial_fitter(0),
    "linear": polynomial_fitter(1),
    "quadratic": polynomial_fitter(2),
    "power": fit_power,
}
