"""Fits of growth over size, and estimates beyond the measured sizes.

Three forms are tried: linear a + b x, quadratic a + b x + c x^2, and power c x^k. Each is fitted by least squares of
the relative error, so that small sizes count as much as large ones. A form is judged by how well it predicts the value
at the largest size when fitted to the others (leave-one-out, at the end that is extrapolated), since a form with three
parameters passes through any few points. The linear form is used if it predicts well, else the better of the other two.
If none predicts well, there is no fit and nothing is extrapolated.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_SIZES = 4
MAX_LINEAR_PREDICTION_ERROR = 0.10
"""Relative error at the largest size up to which the linear form is used."""
MAX_PREDICTION_ERROR = 0.50
"""Relative error at the largest size beyond which a form does not describe the points."""
MAX_EXTRAPOLATION_FACTOR = 20.0
"""An estimate at a size further than this factor beyond the measured ones is marked as a guess."""
MAX_CONSTANT_SPREAD = 0.10
"""Range of the values over their mean up to which a quantity counts as constant."""
BISECTION_STEPS = 60

Point = tuple[float, float]


class FitError(Exception):
    """The points cannot be fitted."""


@dataclass(frozen=True)
class Fit:
    """One fitted form.

    `residual` is the root mean square of the relative errors at all measured sizes, `prediction` the relative error at
    the largest size when the form is fitted without it. `smallest` and `largest` are the ends of the measured sizes.
    """

    form: str
    coefficients: tuple[float, ...]
    smallest: float
    largest: float
    residual: float
    prediction: float

    def value_at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return evaluate(self.form, self.coefficients, size)


@dataclass(frozen=True)
class Estimate:
    """A value of a fit at one size, with the range of sizes that were measured."""

    value: float
    size: float
    smallest: float
    largest: float
    form: str

    @property
    def extrapolation_factor(self) -> float:
        """The factor by which the size lies outside the measured ones, at either end; 1 within them."""
        below = self.smallest / self.size if self.size > 0 else 1.0
        return max(1.0, self.size / self.largest, below)

    @property
    def is_extrapolated(self) -> bool:
        """Whether the size lies outside the measured ones."""
        return self.extrapolation_factor > 1

    @property
    def is_guess(self) -> bool:
        """Whether the size lies so far outside the measured ones that the value is a guess."""
        return self.extrapolation_factor > MAX_EXTRAPOLATION_FACTOR


def evaluate(form: str, coefficients: Sequence[float], size: float) -> float:
    """Returns the value of a form at a size."""
    if form == "power":
        factor, exponent = coefficients
        return factor * float(size**exponent)
    return sum(coefficient * size**i for i, coefficient in enumerate(coefficients))


def fit(points: Sequence[Point]) -> Fit:
    """Returns the simplest form that describes the points.

    Raises FitError for fewer than `MIN_SIZES` sizes, sizes or values that are not positive, or if no form fits.
    """
    points_by_size = sorted(points)
    if len({size for size, _ in points_by_size}) < MIN_SIZES:
        raise FitError(f"{len(points_by_size)} points; at least {MIN_SIZES} different sizes are needed")
    if any(value <= 0 or size <= 0 for size, value in points_by_size):
        raise FitError("sizes and values must be positive")
    if is_constant(points_by_size):
        return fit_form("constant", points_by_size)
    linear = fit_form("linear", points_by_size)
    if linear.prediction <= MAX_LINEAR_PREDICTION_ERROR:
        return linear
    curved = [fit_form("power", points_by_size), fit_form("quadratic", points_by_size)]
    # A parabola that opens downwards would predict that the cost falls beyond some size.
    rising = [fitted for fitted in curved if fitted.form == "power" or fitted.coefficients[-1] > 0]
    best = min(rising, key=lambda fitted: fitted.prediction)
    if best.prediction > MAX_PREDICTION_ERROR:
        raise FitError(f"no form predicts the largest size within {MAX_PREDICTION_ERROR:.0%}")
    return best


def is_constant(points: Sequence[Point]) -> bool:
    """Returns whether the values do not depend on the size."""
    values = [value for _, value in points]
    mean = sum(values) / len(values)
    return max(values) - min(values) <= MAX_CONSTANT_SPREAD * mean


def fit_form(form: str, points: Sequence[Point]) -> Fit:
    """Fits one form to all points, which are in order of size."""
    coefficients = FORMS[form](points)
    errors = [relative_error(form, coefficients, point) for point in points]
    residual = math.sqrt(sum(error * error for error in errors) / len(errors))
    prediction = abs(relative_error(form, FORMS[form](points[:-1]), points[-1]))
    return Fit(form, coefficients, points[0][0], points[-1][0], residual, prediction)


def relative_error(form: str, coefficients: Sequence[float], point: Point) -> float:
    """Returns the relative error of a form at one point."""
    size, value = point
    return (evaluate(form, coefficients, size) - value) / value


def estimate(fitted: Fit, size: float) -> Estimate:
    """Returns the estimate of a fit at a size."""
    return Estimate(fitted.value_at(size), size, fitted.smallest, fitted.largest, fitted.form)


def largest_size_within(fitted: Fit, budget: float, maximum: float) -> float:
    """Returns the largest size up to `maximum` whose value is within a budget, 0 if none is; for growing forms."""
    return bisect_largest_size(fitted.value_at, budget, maximum)


def largest_size_reaching(fitted: Fit, floor: float, maximum: float) -> float:
    """Returns the largest size up to `maximum` whose value is at least `floor`, 0 if none is; for falling forms."""
    return bisect_largest_size(lambda size: -fitted.value_at(size), -floor, maximum)


def bisect_largest_size(value: Callable[[float], float], budget: float, maximum: float) -> float:
    """Returns the largest size up to `maximum` at which a growing function is within a budget, 0 if it never is."""
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
    """Returns a function that fits a polynomial of a degree by least squares of the relative error."""

    def fit_polynomial(points: Sequence[Point]) -> tuple[float, ...]:
        """Returns the coefficients, that of the lowest power first."""
        unit = max(size for size, _ in points)  # keeps the powers of large sizes near 1
        rows = [[(size / unit) ** i / value for i in range(degree + 1)] for size, value in points]
        matrix = [
            [sum(row[i] * row[j] for row in rows) for j in range(degree + 1)] for i in range(degree + 1)
        ]
        right_side = [sum(row[i] for row in rows) for i in range(degree + 1)]
        return tuple(scaled / unit**i for i, scaled in enumerate(solve_linear_system(matrix, right_side)))

    return fit_polynomial


def fit_power(points: Sequence[Point]) -> tuple[float, ...]:
    """Returns factor and exponent of a power, fitted by least squares of the logarithms."""
    logs = [(math.log(size), math.log(value)) for size, value in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    spread = sum((x - mean_x) ** 2 for x, _ in logs)
    exponent = sum((x - mean_x) * (y - mean_y) for x, y in logs) / spread
    return math.exp(mean_y - exponent * mean_x), exponent


def solve_linear_system(matrix: list[list[float]], right_side: list[float]) -> list[float]:
    """Returns the solution of a linear system, by Gaussian elimination with partial pivoting."""
    size = len(right_side)
    rows = [[*row, value] for row, value in zip(matrix, right_side, strict=True)]
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(rows[row][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        for lower in range(column + 1, size):
            factor = rows[lower][column] / rows[column][column]
            rows[lower] = [
                value - factor * above for value, above in zip(rows[lower], rows[column], strict=True)
            ]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known = sum(rows[row][column] * solution[column] for column in range(row + 1, size))
        solution[row] = (rows[row][size] - known) / rows[row][row]
    return solution


FORMS: dict[str, Callable[[Sequence[Point]], tuple[float, ...]]] = {
    "constant": polynomial_fitter(0),
    "linear": polynomial_fitter(1),
    "quadratic": polynomial_fitter(2),
    "power": fit_power,
}
