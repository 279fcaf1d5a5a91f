"""The tables of docs/CAPACITY.md, made from the arithmetic and set between markers; what stands round them is by hand."""

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
    """A page without the place for a table."""


def rows(file: slopes.SlopeFile) -> list[Row]:
    """All roles, the lowest carried / needed first."""
    readings = Readings(file)
    return sorted_by_ratio([role(readings) for role in (*SESSION_ROLES, *NODE_ROLES, *CONTROL_ROLES)])


def markdown_table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    """A table of Markdown."""
    lines = [head, ["---"] * len(head), *body]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def format_ratio(limit: Limit | None) -> str:
    """Carried over needed, for the page."""
    if limit is None or limit.ratio is None:
        return NOT_MEASURED
    return (
        f"{format_number(SUFFICIENT_RATIO)} or more"
        if limit.ratio >= SUFFICIENT_RATIO
        else format_number(limit.ratio)
    )


def format_carried(limit: Limit) -> str:
    """What is carried and what is needed."""
    known = NOT_MEASURED if limit.carried is None else format_number(limit.carried)
    more = " or more" if limit.ratio is not None and limit.ratio >= SUFFICIENT_RATIO else ""
    return f"{known}{more} / {format_number(limit.needed)}"


def summary_table(found: Sequence[Row]) -> str:
    """One line a role."""
    body = []
    for row in found:
        limit, assumed = row.tightest, row.tightest_assumed
        if limit is None:
            first = ["not by the users' figures alone", "", "", ""]
        else:
            first = [
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
        after = format_ratio(row.tightest_with_mechanism) if row.with_mechanism else ""
        body.append([row.role, *first, with_assumption, after])
    head = ("role", "carried / needed", "of what", "known by", "what breaks first", "lowest that rests on an assumption",
            "with the new mechanism")  # fmt: skip
    return markdown_table(head, body)


def format_basis(limit: Limit) -> str:
    """How what is carried is known."""
    return f"{limit.basis.value}: {limit.source}"


def roles_table(found: Sequence[Row]) -> str:
    """What each role may take, and where it stands."""
    return markdown_table(
        ("role", "budget", "mechanism"), [[row.role, row.budget, row.mechanism] for row in found]
    )


def loads_table(found: Sequence[Row]) -> str:
    """What each role takes, today and at the target."""
    body = [[row.role if i == 0 else "", load.resource, load.today, load.target]
            for row in found for i, load in enumerate(row.loads)]  # fmt: skip
    return markdown_table(("role", "what", "at today's 200 fronts", "at the target"), body)


def limits_table(found: Sequence[Row]) -> str:
    """Every limit of every role."""
    body = []
    for row in found:
        marked = [("", limit) for limit in row.limits] + [
            ("new mechanism: ", limit) for limit in row.with_mechanism
        ]
        for text, limit in marked:
            name = text + limit.driver
            body.append(
                [
                    row.role,
                    name,
                    format_carried(limit),
                    format_ratio(limit),
                    format_basis(limit),
                    limit.assumption,
                    limit.consequence,
                ]
            )
    return markdown_table(
        ("role", "driver", "carried / needed", "ratio", "known by", "assumes", "past it"), body
    )


def slopes_table(file: slopes.SlopeFile) -> str:
    """Every slope on record with its fit."""
    body = []
    for one in file.slopes:
        fitted = Readings(file)[one.name].fitted
        points = ", ".join(f"{format_number(m.size)}: {format_number(m.median)}" for m in one.measurements)
        form = "no form describes it" if fitted is None else fitted.form
        errors = "" if fitted is None else f"{fitted.residual:.0%}, {fitted.prediction:.0%}"
        text = "" if one.text == "today" else " (new mechanism)"
        what, against = f"{one.quantity}{text}, {one.unit}", f"{one.against}: {points}"
        body.append([f"`{one.name}`", what, against, one.kind, form, errors,
                     f"{one.spread:.0%}", f"`{one.command.removeprefix('python -m benchmarks.capacity ')}`",
                     f"{', '.join(map(str, one.seeds))}; {one.commit[:7]}; {one.cores}"])  # fmt: skip
    head = ("slope", "quantity", "at sizes (median of the runs)", "kind", "form", "residual, error at the largest",
            "spread of runs", "command", "seeds; commit; cores")  # fmt: skip
    return markdown_table(head, body)


def targets_table() -> str:
    """The users' figures."""
    target = [(name.replace("_", " "), f"{value:,}") for name, value in vars(TARGET).items()]
    budget = [
        (f"control budget: {name.replace('_', ' ')}", f"{value:,}") for name, value in vars(BUDGET).items()
    ]
    return markdown_table(("figure", "value"), [*target, *budget])


def assumptions_table() -> str:
    """What had to be assumed."""
    body = [
        [one.name, f"{format_number(one.value)} {one.unit}".strip(), one.why, one.doubled]
        for one in assumptions.ASSUMPTIONS
    ]
    return markdown_table(("assumption", "value", "why", "if it is twice as large"), body)


def demand_table() -> str:
    """The derived load."""
    body = [
        [d.role, f"{d.quantity}, {d.unit}", format_number(d.mean), format_number(d.worst), d.worst_hour]
        for d in demand.demand_lines()
    ]
    return markdown_table(("role", "load", "mean", "worst hour", "which"), body)


def tables(file: slopes.SlopeFile) -> dict[str, str]:
    """All generated tables by name."""
    found = rows(file)
    return {
        "targets": targets_table(),
        "assumptions": assumptions_table(),
        "demand": demand_table(),
        "rows": summary_table(found),
        "roles": roles_table(found),
        "loads": loads_table(found),
        "limits": limits_table(found),
        "slopes": slopes_table(file),
    }


def render_page(text: str, made: dict[str, str]) -> str:
    """A page with its tables made anew. PageError where one has no place, or a place has no table."""
    places = [match["name"] for match in TABLE_BLOCK.finditer(text)]
    if sorted(places) != sorted(made):
        raise PageError(f"the page has places for {sorted(places)}, the arithmetic makes {sorted(made)}")
    return TABLE_BLOCK.sub(lambda m: f"<!-- table: {m['name']} -->\n{made[m['name']]}<!-- end -->", text)


def differences(file: Path = PAGE_FILE, known: slopes.SlopeFile | None = None) -> list[str]:
    """The tables of the page that the arithmetic would make otherwise."""
    made = tables(known if known is not None else slopes.load())
    text = file.read_text()
    render_page(text, made)
    return [f"{file.name}: table {m['name']} differs from the arithmetic" for m in TABLE_BLOCK.finditer(text)
            if m["body"] != made[m["name"]]]  # fmt: skip


def write(file: Path = PAGE_FILE) -> None:
    """Makes the tables anew."""
    file.write_text(render_page(file.read_text(), tables(slopes.load())))
