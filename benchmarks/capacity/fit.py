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

LEAST_SIZES = 4
GOOD_PREDICTION = 0.10
"""Relative error at the largest size under which a simpler form is kept."""
WORST_PREDICTION = 0.50
"""Past it no form describes the points, and none is extended."""
GUESS_FACTOR = 20.0
"""An estimate further than this beyond the measured sizes is a guess."""
NEARLY_FLAT = 0.10
"""Spread of all values over their mean under which a quantity does not grow with the size."""
BISECTIONS = 60

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

    def at(self, size: float) -> float:
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
    def factor(self) -> float:
        """How many times the size lies beyond the measured ones, at either end; 1 within them."""
        below = self.smallest / self.size if self.size > 0 else 1.0
        return max(1.0, self.size / self.largest, below)

    @property
    def extrapolated(self) -> bool:
        """Whether the size lies beyond those measured."""
        return self.factor > 1

    @property
    def guess(self) -> bool:
        """Whether it lies so far beyond them that the value is a guess."""
        return self.factor > GUESS_FACTOR


def evaluate(form: str, coefficients: Sequence[float], size: float) -> float:
    """The value of a form at a size."""
    if form == "power":
        factor, exponent = coefficients
        return factor * float(size**exponent)
    return sum(c * size**i for i, c in enumerate(coefficients))


def fit(points: Sequence[Point]) -> Fit:
    """The simplest form that describes the points. FitError where there are under four sizes, or no form does."""
    some = sorted(points)
    if len({size for size, _ in some}) < LEAST_SIZES:
        raise FitError(f"{len(some)} sizes; {LEAST_SIZES} at least are wanted")
    if any(value <= 0 or size <= 0 for size, value in some):
        raise FitError("sizes and values have to be over 0")
    if flat(some):
        return candidate("constant", some)
    linear = candidate("linear", some)
    if linear.prediction <= GOOD_PREDICTION:
        return linear
    curved = [candidate("power", some), candidate("quadratic", some)]
    # A parabola that opens downwards would say that the cost falls beyond some size.
    rising = [one for one in curved if one.form == "power" or one.coefficients[-1] > 0]
    best = min(rising, key=lambda one: one.prediction)
    if best.prediction > WORST_PREDICTION:
        raise FitError(f"no form predicts the largest size within {WORST_PREDICTION:.0%}")
    return best


def flat(points: Sequence[Point]) -> bool:
    """Whether the values do not grow with the size."""
    values = [value for _, value in points]
    mean = sum(values) / len(values)
    return max(values) - min(values) <= NEARLY_FLAT * mean


def candidate(form: str, points: Sequence[Point]) -> Fit:
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
    return Estimate(fitted.at(size), size, fitted.smallest, fitted.largest, fitted.form)


def largest_within(fitted: Fit, budget: float, most: float) -> float:
    """The largest size up to `most` whose value stays within a budget; 0 where none does. Growing forms only."""
    return largest_root(fitted.at, budget, most)


def largest_over(fitted: Fit, floor: float, most: float) -> float:
    """The largest size up to `most` whose value is still as large as wanted; 0 where none is. Falling forms only."""
    return largest_root(lambda size: -fitted.at(size), -floor, most)


def largest_root(value: Callable[[float], float], budget: float, most: float) -> float:
    """The largest size up to `most` at which a growing function is within a budget; 0 where it never is."""
    if value(most) <= budget:
        return most
    low, high = 0.0, most
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if value(middle) <= budget:
            low = middle
        else:
            high = middle
    return low


def polynomial(degree: int) -> Callable[[Sequence[Point]], tuple[float, ...]]:
    """Least squares of the relative error for a polynomial of a degree."""

    def solve(points: Sequence[Point]) -> tuple[float, ...]:
        unit = max(size for size, _ in points)  # keeps the powers of large sizes near 1
        rows = [[(size / unit) ** i / value for i in range(degree + 1)] for size, value in points]
        matrix = [
            [sum(row[i] * row[j] for row in rows) for j in range(degree + 1)] for i in range(degree + 1)
        ]
        right = [sum(row[i] for row in rows) for i in range(degree + 1)]
        return tuple(c / unit**i for i, c in enumerate(solved(matrix, right)))

    return solve


def power(points: Sequence[Point]) -> tuple[float, ...]:
    """Least squares in the logarithms: factor and exponent."""
    logs = [(math.log(size), math.log(value)) for size, value in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    spread = sum((x - mean_x) ** 2 for x, _ in logs)
    exponent = sum((x - mean_x) * (y - mean_y) for x, y in logs) / spread
    return math.exp(mean_y - exponent * mean_x), exponent


def solved(matrix: list[list[float]], right: list[float]) -> list[float]:
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
    "constant": polynomial(0),
    "linear": polynomial(1),
    "quadratic": polynomial(2),
    "power": power,
}
