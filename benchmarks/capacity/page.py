"""Generates the tables of docs/CAPACITY.md between their markers; the text around them is written by hand."""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity import assumptions, demand, slopes
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.roles_control import CONTROL_ROLES
from benchmarks.capacity.roles_nodes import NODE_ROLES
from benchmarks.capacity.roles_sessions import SESSION_ROLES
from benchmarks.capacity.rows import SUFFICIENT_RATIO, Limit, Row, sorted_by_ratio
from benchmarks.capacity.targets import BUDGET, TARGET

PAGE_FILE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
TABLE_BLOCK = re.compile(r"<!-- table: (?P<name>[a-z-]+) -->\n(?P<body>.*?)<!-- end -->", re.DOTALL)


class PageError(Exception):
    """The page lacks the markers of a table, or has markers of an unknown one."""


def role_rows(file: slopes.SlopeFile) -> list[Row]:
    """Returns the rows of all roles, the one with the lowest ratio first."""
    readings = Readings(file)
    return sorted_by_ratio([role(readings) for role in (*SESSION_ROLES, *NODE_ROLES, *CONTROL_ROLES)])


def markdown_table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    """Formats a Markdown table."""
    lines = [head, ["---"] * len(head), *body]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def format_ratio(limit: Limit | None) -> str:
    """Formats the ratio of carried to needed."""
    if limit is None or limit.ratio is None:
        return NOT_MEASURED
    if limit.ratio >= SUFFICIENT_RATIO:
        return f"{format_number(SUFFICIENT_RATIO)} or more"
    return format_number(limit.ratio)


def format_carried(limit: Limit) -> str:
    """Formats the carried and the needed value."""
    carried = NOT_MEASURED if limit.carried is None else format_number(limit.carried)
    or_more = " or more" if limit.ratio is not None and limit.ratio >= SUFFICIENT_RATIO else ""
    return f"{carried}{or_more} / {format_number(limit.needed)}"


def summary_table(rows: Sequence[Row]) -> str:
    """Formats the table of the tightest limits, one line per role."""
    body = []
    for row in rows:
        limit = row.tightest
        assumed = row.tightest_assumed
        if limit is None:
            limit_cells = ["none without an assumption", "", "", ""]
        else:
            limit_cells = [
                f"**{format_ratio(limit)}**",
                f"{limit.driver}: {format_carried(limit)}",
                format_basis(limit),
                limit.consequence,
            ]
        with_assumption = (
            ""
            if assumed is None
            else f"{format_ratio(assumed)} ({assumed.driver}: {format_carried(assumed)})"
        )
        with_mechanism = format_ratio(row.tightest_with_mechanism) if row.with_mechanism else ""
        body.append([row.role, *limit_cells, with_assumption, with_mechanism])
    head = (
        "role",
        "carried / needed",
        "driver",
        "known by",
        "effect beyond the limit",
        "lowest that rests on an assumption",
        "with the new mechanism",
    )
    return markdown_table(head, body)


def format_basis(limit: Limit) -> str:
    """Formats how the carried value is known."""
    return f"{limit.basis.value}: {limit.source}"


def roles_table(rows: Sequence[Row]) -> str:
    """Formats the table of the roles' budgets and source files."""
    return markdown_table(
        ("role", "budget", "mechanism"), [[row.role, row.budget, row.mechanism] for row in rows]
    )


def loads_table(rows: Sequence[Row]) -> str:
    """Formats the table of the roles' resource use, today and at the target."""
    body = [
        [row.role if i == 0 else "", load.resource, load.today, load.target]
        for row in rows
        for i, load in enumerate(row.loads)
    ]
    return markdown_table(("role", "resource", "at today's 200 fronts", "at the target"), body)


def limits_table(rows: Sequence[Row]) -> str:
    """Formats the table of all limits of all roles."""
    body = []
    for row in rows:
        marked = [("", limit) for limit in row.limits] + [
            ("new mechanism: ", limit) for limit in row.with_mechanism
        ]
        for mark, limit in marked:
            driver = mark + limit.driver
            body.append(
                [
                    row.role,
                    driver,
                    format_carried(limit),
                    format_ratio(limit),
                    format_basis(limit),
                    limit.assumption,
                    limit.consequence,
                ]
            )
    return markdown_table(
        ("role", "driver", "carried / needed", "ratio", "known by", "assumption", "effect beyond the limit"),
        body,
    )


def slopes_table(file: slopes.SlopeFile) -> str:
    """Formats the table of all stored slopes with their fits."""
    body = []
    for slope in file.slopes:
        fitted = Readings(file)[slope.name].fitted
        points = ", ".join(f"{format_number(size)}: {format_number(median)}" for size, median in slope.points)
        mechanism = "" if slope.program == "today" else " (new mechanism)"
        seeds = ", ".join(map(str, slope.seeds))
        body.append(
            [
                f"`{slope.name}`",
                f"{slope.quantity}{mechanism}, {slope.unit}",
                f"{slope.against}: {points}",
                slope.kind,
                "no form describes it" if fitted is None else fitted.form,
                "" if fitted is None else f"{fitted.residual:.0%}, {fitted.prediction:.0%}",
                f"{slope.spread:.0%}",
                f"`{slope.command.removeprefix('python -m benchmarks.capacity ')}`",
                f"{seeds}; {slope.commit[:7]}; {slope.cores}",
            ]
        )
    head = (
        "slope",
        "quantity",
        "at sizes (median of the runs)",
        "kind",
        "form",
        "residual, error at the largest",
        "spread of runs",
        "command",
        "seeds; commit; cores",
    )
    return markdown_table(head, body)


def targets_table() -> str:
    """Formats the table of the users' figures."""
    target = [(name.replace("_", " "), f"{value:,}") for name, value in vars(TARGET).items()]
    budget = [
        (f"control budget: {name.replace('_', ' ')}", f"{value:,}") for name, value in vars(BUDGET).items()
    ]
    return markdown_table(("figure", "value"), [*target, *budget])


def assumptions_table() -> str:
    """Formats the table of assumptions."""
    body = [
        [
            assumption.name,
            f"{format_number(assumption.value)} {assumption.unit}".strip(),
            assumption.reason,
            assumption.effect_if_doubled,
        ]
        for assumption in assumptions.ASSUMPTIONS
    ]
    return markdown_table(("assumption", "value", "why", "if it is twice as large"), body)


def demand_table() -> str:
    """Formats the table of the derived load."""
    body = [
        [
            line.role,
            f"{line.quantity}, {line.unit}",
            format_number(line.mean),
            format_number(line.worst),
            line.worst_hour,
        ]
        for line in demand.demand_lines()
    ]
    return markdown_table(("role", "load", "mean", "worst hour", "event of the worst hour"), body)


def tables(file: slopes.SlopeFile) -> dict[str, str]:
    """Returns all generated tables by name."""
    rows = role_rows(file)
    return {
        "targets": targets_table(),
        "assumptions": assumptions_table(),
        "demand": demand_table(),
        "rows": summary_table(rows),
        "roles": roles_table(rows),
        "loads": loads_table(rows),
        "limits": limits_table(rows),
        "slopes": slopes_table(file),
    }


def render_page(text: str, tables_by_name: dict[str, str]) -> str:
    """Returns the page with its tables replaced. Raises PageError if its markers are not those of the tables."""
    places = [match["name"] for match in TABLE_BLOCK.finditer(text)]
    if sorted(places) != sorted(tables_by_name):
        raise PageError(
            f"the page has markers for {sorted(places)}, the generated tables are {sorted(tables_by_name)}"
        )
    return TABLE_BLOCK.sub(
        lambda match: f"<!-- table: {match['name']} -->\n{tables_by_name[match['name']]}<!-- end -->", text
    )


def differences(file: Path = PAGE_FILE, known: slopes.SlopeFile | None = None) -> list[str]:
    """Returns a message for each table of the page that differs from the generated one."""
    tables_by_name = tables(known if known is not None else slopes.load())
    text = file.read_text()
    render_page(text, tables_by_name)
    return [
        f"{file.name}: table {match['name']} differs from the arithmetic"
        for match in TABLE_BLOCK.finditer(text)
        if match["body"] != tables_by_name[match["name"]]
    ]


def write(file: Path = PAGE_FILE) -> None:
    """Replaces the tables in the page."""
    file.write_text(render_page(file.read_text(), tables(slopes.load())))
