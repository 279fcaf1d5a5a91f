"""Tests of the capacity page: fits, the slope file, rows and generated tables."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec
import pytest
from click.testing import CliRunner

from benchmarks.capacity import demand, experiments, measure_fleet, page, slopes
from benchmarks.capacity.__main__ import main
from benchmarks.capacity.assumptions import ASSUMPTIONS, TITLE_SKEW
from benchmarks.capacity.fit import (
    MAX_EXTRAPOLATION_FACTOR,
    FitError,
    Point,
    estimate,
    fit,
    largest_size_within,
)
from benchmarks.capacity.readings import Readings, format_number
from benchmarks.capacity.rows import SUFFICIENT_RATIO, Basis, Limit, Row, sorted_by_ratio
from benchmarks.capacity.slopes import Measurement, Slope, SlopeError, SlopeFile
from benchmarks.capacity.targets import TARGET

SIZES = (100, 200, 400, 800, 1_600)
ROLES = {
    "front end's data path",
    "membership",
    "leases and their quorum",
    "configuration distribution",
    "lists of nodes, placement of titles",
    "probing and load reports",
    "slow start of cold nodes",
    "fan-out of the largest topic",
    "takeover of sessions",
    "regional control machine",
    "wide-area links",
}
"""The roles that issue 34 lists."""


def slope(name: str = "some", runs: int = 3, points: list[Point] | None = None) -> Slope:
    """Returns a valid slope."""
    measured = points if points is not None else [(size, 2.0 * size) for size in SIZES]
    return Slope(
        name, "a cost", "ms", "fronts", "measured", "today", "python -m benchmarks.capacity slopes --only some",
        (1, 2, 3), "414ace3", 8, tuple(Measurement(size, (value,) * runs) for size, value in measured),
    )  # fmt: skip


def noisy(points: list[Point], part: float) -> list[Point]:
    """Returns the points with relative errors of up to `part`, the same in every run."""
    rng = Random(1)
    return [(size, value * (1 + rng.uniform(-part, part))) for size, value in points]


# Fits.


@pytest.mark.parametrize("part", [0.0, 0.03])
def test_linear_growth_is_recovered(part: float) -> None:
    """The fit of a line has its slope and values, also with noise."""
    found = fit(noisy([(size, 7 + 0.5 * size) for size in SIZES], part))
    assert found.form == "linear"
    assert found.coefficients[1] == pytest.approx(0.5, rel=0.08)
    assert found.value_at(3_200) == pytest.approx(1_607, rel=0.08)


@pytest.mark.parametrize("exponent", [0.5, 1.5, 2.0])
def test_power_law_is_recovered(exponent: float) -> None:
    """A power law is extrapolated as one."""
    found = fit(noisy([(size, 3 * size**exponent) for size in SIZES], 0.02))
    assert found.form != "linear"
    assert found.value_at(3_200) == pytest.approx(3 * 3_200**exponent, rel=0.15)


@pytest.mark.parametrize("base", [0.0, 5.0, 500.0])
def test_quadratic_growth_is_not_called_linear(base: float) -> None:
    """Not even if it starts from a large base."""
    found = fit([(size, base + 0.001 * size + 0.01 * size**2) for size in SIZES])
    assert found.form in ("power", "quadratic")
    assert found.value_at(6_400) == pytest.approx(base + 6.4 + 0.01 * 6_400**2, rel=0.05)


def test_quantity_that_does_not_grow_is_constant() -> None:
    """Noise around a constant cost is not fitted as growth."""
    found = fit(noisy([(size, 7.3) for size in SIZES], 0.04))
    assert found.form == "constant"
    assert found.value_at(1e6) == pytest.approx(7.3, rel=0.05)


def test_parabola_that_opens_downwards_is_not_extrapolated() -> None:
    """Such a parabola would predict that the cost falls beyond some size."""
    found = fit([(size, 100 * size - 0.03 * size**2) for size in SIZES])
    assert found.form != "quadratic"


def test_points_that_no_form_describes_are_not_extrapolated() -> None:
    """Points that no form describes have no fit."""
    with pytest.raises(FitError):
        fit([(100, 1.0), (200, 900.0), (400, 3.0), (800, 40_000.0), (1_600, 0.1)])


@pytest.mark.parametrize(
    "points", [[(1, 1.0), (2, 2.0), (3, 3.0)], [(1, 1.0)] * 5, [(1, 0.0), (2, 1), (3, 1), (4, 1)]]
)
def test_too_few_sizes_and_zeros_are_rejected(points: list[Point]) -> None:
    """A fit needs four sizes and positive values."""
    with pytest.raises(FitError):
        fit(points)


def test_largest_size_within_a_budget_meets_it() -> None:
    """It is 0 if no size is within the budget, and the given maximum if all are."""
    found = fit([(size, 7 + 0.5 * size) for size in SIZES])
    assert largest_size_within(found, 407, 1e9) == pytest.approx(800)
    assert largest_size_within(found, 5, 1e9) == 0
    assert largest_size_within(found, 1e12, TARGET.fronts) == TARGET.fronts


def test_an_estimate_far_beyond_the_measured_sizes_is_a_guess() -> None:
    """The page shows the measured sizes of an extrapolated value, and marks it as a guess beyond a factor of 20."""
    found = fit([(size, 2.0 * size) for size in SIZES])
    within, beyond, far = (
        estimate(found, size)
        for size in (800, 1_600 * MAX_EXTRAPOLATION_FACTOR, 1_601 * MAX_EXTRAPOLATION_FACTOR)
    )
    assert (within.is_extrapolated, within.is_guess) == (False, False)
    assert (beyond.is_extrapolated, beyond.is_guess) == (True, False)
    assert far.is_guess
    readings = Readings(SlopeFile((slope(),)))
    assert "a guess" in readings["some"].table_cell(33_000)
    assert "from 100..1,600 to 3,200" in readings["some"].table_cell(3_200)
    assert readings["some"].table_cell(800) == "1,600 ms"


# The slope file.


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("command", ""), ("command", "by hand"), ("commit", ""), ("commit", "somewhere"), ("cores", 0), ("seeds", ()),
        ("measurements", slope(points=[(size, 1.0) for size in SIZES[:3]]).measurements),
        ("measurements", slope(runs=2).measurements),
    ],
)  # fmt: skip
def test_incomplete_slope_is_rejected(field: str, value: object) -> None:
    """A slope needs a command, commit, cores, seeds, four sizes and three runs."""
    broken = msgspec.structs.replace(slope(), **{field: value})
    with pytest.raises(SlopeError, match="some"):
        slopes.decode(msgspec.json.encode(SlopeFile((broken,))))


def test_missing_or_unknown_field_is_rejected() -> None:
    """The file format is strict."""
    fields = msgspec.to_builtins(slope())
    for invalid in (
        {name: value for name, value in fields.items() if name != "commit"},
        fields | {"by": "me"},
    ):
        with pytest.raises(SlopeError):
            slopes.decode(msgspec.json.encode({"slopes": [invalid]}))


def test_stored_slope_replaces_the_one_with_its_name(tmp_path: Path) -> None:
    """An invalid slope is not stored."""
    file = tmp_path / "slopes.json"
    slopes.store_slope(slope("a"), file)
    slopes.store_slope(slope("b"), file)
    slopes.store_slope(slope("a", points=[(size, 5.0 * size) for size in SIZES]), file)
    found = slopes.load(file)
    assert [stored.name for stored in found.slopes] == ["a", "b"]
    assert found.slopes[0].points[0] == (100, 500.0)
    with pytest.raises(SlopeError):
        slopes.store_slope(slope("c", runs=1), file)
    assert slopes.load(file) == found


def test_slopes_of_an_experiment_have_the_sizes_that_all_runs_have(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They name the command that measures them and the commit of the program."""
    monkeypatch.setattr(experiments, "measured_commit", lambda: "414ace3")
    quantities = (
        experiments.Quantity("cost.time", "time", "ms"),
        experiments.Quantity("cost.octets", "octets", "kB"),
    )

    def measure(seed: int) -> dict[int, tuple[float, float]]:
        """Measures one size more in the first run."""
        sizes = SIZES if seed > 1 else (*SIZES, 3_200)
        return {size: (float(size * seed), float(size)) for size in sizes}

    found = experiments.run_experiment(
        experiments.Experiment("cost", "fronts", "measured", quantities, measure), lambda _line: None
    )
    assert [measured.name for measured in found] == ["cost.time", "cost.octets"]
    assert [measurement.size for measurement in found[0].measurements] == list(SIZES)
    assert found[0].measurements[0].runs == (100.0, 200.0, 300.0)
    assert found[0].command == "python -m benchmarks.capacity slopes --only cost"
    for measured in found:
        measured.check()


def test_program_with_uncommitted_changes_is_not_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its commit would not identify the measured program."""
    monkeypatch.setattr(
        experiments,
        "run_git",
        lambda *arguments: " M oakcroft/choice.py" if "status" in arguments else "414ace3",
    )
    with pytest.raises(experiments.UncommittedChangesError, match="choice"):
        experiments.measured_commit()


REPORT = """
kB/s sent                    median 2.78, worst front 4.45, worst ten seconds of any 14.99 (front-0007 from 31.0 s); budget 8  MISSED
kB/s received                median 2.75, worst front 3.25, worst ten seconds of any 11.52 (front-0017 from 0.5 s); budget 8  MISSED
  kB/s sent, whole start     0 to 20 s: mean 4.25, first ten seconds' mean 7.15, worst ten seconds 11.19
  kB/s sent, quiet           20 to 30 s: mean 1.28, first ten seconds' mean 1.28, worst ten seconds 2.06
  kB/s sent, region          30 to 60 s: mean 3.07, first ten seconds' mean 6.26, worst ten seconds 14.99
share of a core              median 0.53%, worst front 0.59%: decisions (mean 0.02%), coding by 167 samples; budget 3%
MB a front                   state of its own: median 0.05 (50 members), largest 0.06 (50); budget 256  within
"""  # noqa: E501


def test_fleet_report_is_parsed_or_rejected() -> None:
    """Each figure comes from its own line, and a missing line is an error."""
    assert measure_fleet.parse_report(REPORT) == [11.19, 1.28, 14.99, 11.52, 0.59, 0.06]
    for line in REPORT.strip().splitlines():
        if "region" not in line:
            with pytest.raises(measure_fleet.FleetReportError):
                measure_fleet.parse_report(REPORT.replace(line, ""))


# Rows and the page.


def test_every_role_has_a_row_with_and_without_slopes() -> None:
    """The rows do not depend on what was measured."""
    for file in (slopes.load(), SlopeFile()):
        assert {row.role for row in page.role_rows(file)} == ROLES


def test_unmeasured_rows_are_shown_as_not_measured() -> None:
    """Rows and limits without slopes are shown without a figure."""
    found = page.role_rows(SlopeFile())
    summary = page.summary_table(found)
    assert all(f"| {role} |" in summary for role in ROLES)
    assert "not measured" in page.loads_table(found)
    unknown = [limit for row in found for limit in row.limits if limit.basis is Basis.NOT_MEASURED]
    assert unknown
    assert all(limit.carried is None and limit.ratio is None for limit in unknown)


def test_rows_are_sorted_by_lowest_ratio_with_unmeasured_ones_last() -> None:
    """The first row has the lowest ratio."""

    def row(name: str, *carried: float | None) -> Row:
        """Returns a row with a limit for each carried value."""
        limits = tuple(Limit("size", value, 100, Basis.MEASURED, "", "") for value in carried)
        return Row(name, "", "", (), limits)

    found = sorted_by_ratio(
        [row("unknown", None), row("high", 90, None), row("low", 95, 3), row("middle", 20)]
    )
    assert [found_row.role for found_row in found] == ["low", "middle", "high", "unknown"]


def test_limit_that_rests_on_an_assumption_is_shown_separately() -> None:
    """Rows with a limit that rests on no assumption come first, and the other limits have their own column."""

    def limit(carried: float, assumption: str = "") -> Limit:
        """Returns a limit of which 100 are needed."""
        return Limit("size", carried, 100, Basis.MEASURED, "", "", assumption)

    both = Row("both", "", "", (), (limit(40), limit(1, "a guess")))
    alone = Row("assumed alone", "", "", (), (limit(2, "a guess"),))
    assert both.tightest == limit(40)
    assert both.tightest_assumed == limit(1, "a guess")
    assert [row.role for row in sorted_by_ratio([alone, both])] == ["both", "assumed alone"]
    assert "0.01 (size: 1 / 100)" in page.summary_table([both])


def test_slopes_of_the_new_mechanism_do_not_replace_those_of_today() -> None:
    """They change the last column only."""
    today = [stored for stored in slopes.load().slopes if stored.program == "today"]
    names = ("start", "quiet", "sent", "received", "processor", "memory")
    points: list[Point] = [(size, 0.0001 * size) for size in SIZES]
    zoned = [
        msgspec.structs.replace(slope(f"zoned.{name}", points=points), program="mechanism") for name in names
    ]
    before, after = (page.role_rows(SlopeFile(tuple(stored))) for stored in (today, today + zoned))
    old, new = (next(row for row in found if row.role == "membership") for found in (before, after))
    assert (old.with_mechanism, old.tightest) == ((), new.tightest)
    assert new.tightest_with_mechanism is not None
    assert new.tightest_with_mechanism.carried == TARGET.fronts * SUFFICIENT_RATIO
    assert page.summary_table(after).count("2 or more |\n") == 1


def test_committed_page_is_up_to_date() -> None:
    """This is the check that CI runs."""
    assert page.differences() == []
    assert CliRunner().invoke(main, ["page", "--check"]).exit_code == 0


def test_changed_table_is_reported(tmp_path: Path) -> None:
    """A change in any of the tables is reported with its name."""
    copy = tmp_path / "CAPACITY.md"
    text = page.PAGE_FILE.read_text()
    for i, (name, body) in enumerate(page.TABLE_BLOCK.findall(text)):
        copy.write_text(
            text.replace(body, body.replace("|", "| 1", 1) if i % 2 else body[: len(body) // 2], 1)
        )
        assert page.differences(copy) == [f"CAPACITY.md: table {name} differs from the arithmetic"]


def test_changed_slope_makes_the_page_differ() -> None:
    """A new measurement needs a new page."""
    known = slopes.load()
    first = known.slopes[0]
    faster = tuple(
        Measurement(measured.size, tuple(run / 2 for run in measured.runs)) for measured in first.measurements
    )
    other = SlopeFile((msgspec.structs.replace(first, measurements=faster), *known.slopes[1:]))
    assert page.differences(known=other)


def test_command_exits_with_1_if_the_page_differs(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The command prints which table differs."""
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(page.PAGE_FILE.read_text().replace("150,000,000", "160,000,000"))
    monkeypatch.setattr(page, "differences", lambda check=page.differences: check(copy))
    found = CliRunner().invoke(main, ["page", "--check"])
    assert found.exit_code == 1
    assert "table targets differs" in found.output


def test_page_without_the_markers_of_a_table_is_rejected(tmp_path: Path) -> None:
    """Otherwise a table could be missing from the page unnoticed."""
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(page.PAGE_FILE.read_text().replace("<!-- table: rows -->", ""))
    with pytest.raises(page.PageError):
        page.differences(copy)


# Targets and assumptions.


def test_each_assumption_states_its_reason_and_the_effect_of_doubling_it() -> None:
    """Names are unique, and no reason or effect is empty."""
    assert len({assumption.name for assumption in ASSUMPTIONS}) == len(ASSUMPTIONS)
    assert all(assumption.reason and assumption.effect_if_doubled for assumption in ASSUMPTIONS)


def test_largest_title_has_the_listeners_that_the_users_give() -> None:
    """With the assumed popularity of titles."""
    weights = [rank**-TITLE_SKEW.value for rank in range(1, TARGET.topic_shards + 1)]
    largest = TARGET.largest_topic_listeners / TARGET.connections
    assert 1 / sum(weights) == pytest.approx(largest, rel=0.05)


def test_derived_load_follows_the_target() -> None:
    """The load of the worst hour is never below the mean."""
    assert demand.connections_per_front() == pytest.approx(55_556, abs=1)
    assert demand.changes_per_s() * 86_400 == pytest.approx(14_000)
    double = replace(TARGET, fronts=2 * TARGET.fronts)
    assert demand.connections_per_front(double) == demand.connections_per_front() / 2
    assert all(line.worst >= line.mean for line in demand.demand_lines())


@pytest.mark.parametrize(
    ("value", "shown"),
    [(0, "0"), (0.00333, "0.00333"), (27.07, "27.1"), (55_555.6, "55,600"), (100, "100"), (1234.5, "1,230")],
)
def test_figures_have_three_significant_digits(value: float, shown: str) -> None:
    """Thousands are separated by commas."""
    assert format_number(value) == shown
