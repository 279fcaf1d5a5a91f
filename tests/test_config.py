"""The configuration language: its checker, formatter and diff; and routing, limits and versions of a configuration."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from oakcroft.cli import main
from oakcroft.config import reference
from oakcroft.config.compare import (
    apply_changes,
    find_changes,
    find_rerouted_requests,
    describe_changes,
    describe_rerouted_request,
)
from oakcroft.config.pipeline import ResolvedConfig, check_file, load_resolved, build_route, build_deployment
from oakcroft.config.expander import RootFolder
from oakcroft.config.explain import explain_request
from oakcroft.config.format import format_text
from oakcroft.config.diagnostics import Diagnostics, InvalidConfigurationError
from oakcroft.config.syntax import parse_text
from oakcroft.decisions.admission.request_limits import (
    LimitLedger,
    RequestLimit,
    LimitExceeded,
    RequestSubject,
    LimitScope,
    LimitReservation,
    burst_size,
    share_of_limit,
)
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import (
    RouteRequest,
    Match,
    Route,
    RouteTable,
    ClientRole,
    highest_specificity,
    ambiguous_routes,
    pattern_matches,
    specificity,
    find_mismatch,
)
from oakcroft.decisions.routing.configuration_version import (
    ActiveConfiguration,
    ConfigurationVersion,
    ConfigurationVerdict,
    plan_families,
)
from oakcroft.interface import SECOND, Node

HERE = Path(__file__).parent


def read_sections() -> dict[str, dict[str, str]]:
    """Returns the files and the expected output of each section of broken.txt, by section name."""
    sections_by_name: dict[str, dict[str, str]] = {}
    for section in (HERE / "broken.txt").read_text().split("=== ")[1:]:
        name, _, body = section.partition("\n")
        files = [part.partition("\n") for part in body.split("--- ")[1:]]
        sections_by_name[name] = {file: text.removesuffix("\n") for file, _, text in files}
    return sections_by_name


BROKEN = read_sections()
BASE = BROKEN.pop("base")["base.oak"]


def text_reader(files: dict[str, str]) -> Callable[[str], str]:
    """Returns a reader of texts by file name, for `check_file`."""

    def read_text(name: str) -> str:
        if name not in files:
            raise OSError("no such file")
        return files[name]

    return read_text


@pytest.mark.parametrize("name", BROKEN)
def test_an_invalid_file_is_reported_with_location_and_fix(name: str) -> None:
    """The output of a check is exactly that of broken.txt, and only errors reject the configuration."""
    files = {"base.oak": BASE, **BROKEN[name]}
    resolved, diagnostics = check_file("main.oak", text_reader(files))
    assert "\n".join(diagnostics.format(item) for item in diagnostics.sorted()) == files["output"]
    assert (resolved is None) == (": error: " in files["output"])


def test_the_base_file_is_valid() -> None:
    """Guards against sections that are invalid only because of the base file, and against lost sections."""
    assert len(BROKEN) >= 60
    resolved, diagnostics = check_file("base.oak", text_reader({"base.oak": BASE}))
    assert resolved is not None
    assert not diagnostics.items


def resolved_config(text: str) -> ResolvedConfig:
    """Returns the resolved configuration of a text that may include the base file."""
    resolved, diagnostics = check_file("main.oak", text_reader({"main.oak": text, "base.oak": BASE}))
    assert resolved is not None, [diagnostics.format(error) for error in diagnostics.errors]
    return resolved


# Generated configurations.

TITLES = st.sampled_from(["a", "ab", "abc", "a*", "ab*", "live-*", "live-b", "x y"])
PACES = st.sampled_from(
    ["(rate 1/s)", "(rate 60/min)", "(rate 40/s) (burst 9)", "(at-once 50)", "(rate 2/s) (at-once 7)"]
)


@st.composite
def configurations(draw: st.DrawFn) -> str:
    """Draws a valid configuration with a random layout."""
    separators = st.sampled_from(["", " ", "\n", "\n\n", "\n ; said\n", "  ; so\n", "\n\n\n  "])
    forms = ['(include "base.oak")']
    for number in range(draw(st.integers(0, 3))):
        target, abandon = draw(st.sampled_from([("1s", "5s"), ("1000ms", "0.1min"), ("800ms", "2s")]))
        seats = f"(seats {number})" if draw(st.booleans()) else ""
        forms.append(
            f"(plan p{number} (effect free) (startup-target {target}) (abandon {abandon}) (revenue {number}) {seats})"
        )
    plans = ["course", *(f"p{number}" for number in range(len(forms) - 1))]
    for number in range(draw(st.integers(0, 3))):
        titles = " ".join(f'"{title}"' for title in draw(st.lists(TITLES, min_size=1, max_size=3)))
        wing = draw(st.sampled_from(["", "(wing west)"]))
        plan = draw(st.sampled_from(plans))
        forms.append(f'(route r{number} (path "/r{number}/") (titles {titles}) {wing} (plan {plan}))')
    for number in range(draw(st.integers(0, 2))):
        scope = draw(st.sampled_from(["all", "plan course", "plan *", "wing west"]))
        forms.append(f"(limit l{number} (on {scope}) {draw(PACES)})")
    if draw(st.booleans()):
        forms.append(
            '(pool w (wings west east)(but n1 n2))\n(route pooled (path "/w/") (plan course) (pool w))'
        )
    head, rest = forms[0], draw(st.permutations(forms[1:]))
    text = head
    for form in rest:
        spaced = form.replace(") (", f"){draw(separators) or ' '}(").replace("))", f"){draw(separators)})")
        text += (draw(separators) or "\n") + spaced
    return text + draw(st.sampled_from(["", "\n", "\n; the end", "\n\n"]))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(configurations())
def test_formatting_is_idempotent_and_keeps_the_semantics(text: str) -> None:
    """Formatting twice changes nothing more, and formatting keeps values and comments."""
    formatted = format_text(text, "main.oak")
    assert format_text(formatted, "main.oak") == formatted
    assert resolved_config(formatted) == resolved_config(text)
    assert find_changes(resolved_config(text), resolved_config(formatted)) == []
    comments = [line.partition(";")[2].strip() for line in text.split("\n") if ";" in line]
    assert [line.partition(";")[2].strip() for line in formatted.split("\n") if ";" in line] == comments


@settings(derandomize=True, deadline=None, max_examples=120)
@given(configurations(), configurations())
def test_a_diff_is_empty_only_for_equal_configurations_and_can_be_applied(one: str, other: str) -> None:
    """Applying the changes to the old configuration gives the new one."""
    old, new = resolved_config(one), resolved_config(other)
    changes = find_changes(old, new)
    assert (not changes) == (old == new)
    assert apply_changes(changes, old) == new
    assert len(describe_changes(changes)) == len(changes)
    if not changes:
        assert find_rerouted_requests(old, new) == []


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(alphabet='()"; $ab1s%/\n\\{}', max_size=120))
def test_any_text_is_parsed_checked_and_formatted_or_rejected(text: str) -> None:
    """Guards against input that raises any other exception."""
    diagnostics = Diagnostics()
    parts = parse_text(text, "f", diagnostics)
    check_file("f", text_reader({"f": text}))
    if diagnostics.items:
        with pytest.raises(InvalidConfigurationError):
            format_text(text, "f")
    else:
        formatted = format_text(text, "f")
        assert format_text(formatted, "f") == formatted
        assert parts or not formatted.strip() or formatted.lstrip().startswith(";")


def test_deep_nesting_and_files_outside_the_folder_are_rejected(tmp_path: Path) -> None:
    """A symbolic link cannot include a file outside of the folder; a file that is not UTF-8 is rejected too."""
    _, diagnostics = check_file("f", text_reader({"f": "(" * 5000}))
    assert "nested" in diagnostics.errors[0].message
    (tmp_path / "in").mkdir()
    (tmp_path / "secret.oak").write_text("(plan x)")
    (tmp_path / "in" / "link.oak").symlink_to(tmp_path / "secret.oak")
    (tmp_path / "in" / "main.oak").write_text(f'(include "link.oak")\n{BASE}')
    _, diagnostics = check_file("main.oak", RootFolder(tmp_path / "in").read_text)
    assert "outside" in diagnostics.errors[0].message
    (tmp_path / "in" / "main.oak").write_bytes(b"\xff")
    with pytest.raises(InvalidConfigurationError, match="UTF-8"):
        load_resolved(tmp_path / "in" / "main.oak")


def test_order_units_includes_and_definitions_make_no_difference() -> None:
    """Texts that differ only in these resolve to the same configuration."""
    plain = resolved_config(
        '(include "base.oak")\n(limit a (on plan course) (rate 60/min))\n(limit b (on all) (at-once 9))'
    )
    other = resolved_config(
        "(define l (n p) (limit $n (on plan $p) (rate 1/s)))\n(limit b (at-once 9) (on all))\n(use l a course)\n"
        '(include "base.oak")'
    )
    assert find_changes(plain, other) == []


def test_a_diff_describes_changes_and_rerouted_requests() -> None:
    """Changes are described by field, and an example shows each request that is routed differently."""
    old = resolved_config(
        '(include "base.oak")\n(pool w (nodes n1))\n(route w (path "/w/") (plan course) (pool w))\n'
        "(limit all (on all) (rate 40/s))"
    )
    new = resolved_config(
        '(include "base.oak")\n(pool w (nodes n1 n2 n3))\n(route w (path "/w/") (plan course) (pool w))\n'
        '(route live (path "/w/") (titles "live-*") (plan course))\n(limit all (on all) (rate 60/s))'
    )
    lines = describe_changes(find_changes(old, new))
    assert "~ pool w: nodes now with n2, n3" in lines
    assert "~ limit all: rate from 40/s to 60/s" in lines
    assert any(line.startswith("+ route live added: path /w/") for line in lines)
    rerouted = [describe_rerouted_request(request) for request in find_rerouted_requests(old, new)]
    assert rerouted == [
        "watch /w/live-1 in east: from route w, plan course in pool w to route live, plan course"
    ]
    assert any(line.startswith("- route live") for line in describe_changes(find_changes(new, old)))


def test_explain_shows_the_matching_route_and_why_others_do_not_match() -> None:
    """The explanation also shows the limits that apply, with this front end's share."""
    shared = build_deployment(
        resolved_config(
            '(include "base.oak")\n(route vip (path "/whep/course/") (titles "vip-*") (plan course) (top 1))\n'
            "(limit each (on plan *) (rate 8/s) (at-once 6))"
        )
    ).shared
    lines = explain_request(shared, RouteRequest(ClientRole.WATCH, "/whep/course/a", "west", {}), "", 0)
    assert "  not route vip: the title is none of its titles" in lines
    assert "route course matches" in lines
    assert "limit each on plan *: 8/s, here 2/s; 6 at once, here 2" in lines
    assert "no route matches: 404" in explain_request(
        shared, RouteRequest(ClientRole.WATCH, "/nope/a", "", {}), "", 0
    )


def test_the_reference_page_is_generated_from_the_schemas() -> None:
    """Guards against a reference page that is out of date."""
    assert (HERE.parent / "docs" / "reference.md").read_text() == reference.reference_page()
    assert reference.completions("", "pl") == ["plan"]
    assert reference.completions("plan", "s") == ["seats", "shares-stream", "startup-target"]
    assert reference.completions("tries-budget", "") == ["free", "share", "window"]


def test_the_config_commands(tmp_path: Path) -> None:
    """The commands report errors by their exit codes."""
    cli, good, bad = CliRunner(), tmp_path / "good.oak", tmp_path / "bad.oak"
    good.write_text(BASE)
    bad.write_text(BASE.replace("(effect paid)", "(effect pade)"))
    assert cli.invoke(main, ["config", "check", str(good)]).exit_code == 0
    checked = cli.invoke(main, ["config", "check", "--json", str(bad)])
    assert checked.exit_code == 2
    assert '"fix":"write paid"' in checked.output
    assert cli.invoke(main, ["config", "fmt", "--check", str(good)]).exit_code == 2
    assert cli.invoke(main, ["config", "fmt", str(good)]).exit_code == 0
    assert cli.invoke(main, ["config", "fmt", "--check", str(good)]).exit_code == 0
    assert cli.invoke(main, ["config", "diff", str(good), str(good)]).exit_code == 0
    assert cli.invoke(main, ["config", "diff", str(good), str(bad)]).exit_code == 2
    explained = cli.invoke(main, ["config", "explain", str(good), "/whep/course/x"])
    assert "route course matches" in explained.output
    assert cli.invoke(main, ["serve", str(bad)]).exit_code == 2


# The route table against a linear search over all routes.

MATCHES = st.builds(
    Match,
    st.sampled_from(list(ClientRole)),
    st.sampled_from(["/a/", "/b/"]),
    st.lists(st.sampled_from(["x", "xy", "x*", "xy*", "z*"]), max_size=2, unique=True).map(tuple),
    st.sampled_from(["", "west"]),
    st.sampled_from([(), (("r", "1"),), (("r", "1"), ("s", "2")), (("s", "2"),)]),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(MATCHES, max_size=8),
    st.sampled_from(["x", "xy", "xyz", "z", "q", ""]),
    st.booleans(),
    st.booleans(),
)
def test_the_route_table_agrees_with_a_linear_search(
    matches: list[Match], title: str, west: bool, claims: bool
) -> None:
    """The table finds a route of the highest specificity; routes that tie are reported as ambiguous."""
    routes = [Route(f"r{number}", match, "p") for number, match in enumerate(matches)]
    request = RouteRequest(
        ClientRole.WATCH,
        "/a/" + title,
        "west" if west else "",
        {"r": "1", "s": "2"} if claims else {"r": "1"},
    )

    def specificity_of(route: Route) -> tuple[int, int, int]:
        """Returns the specificity of the most specific pattern of a route that matches."""
        fits = [pattern for pattern in route.match.title_patterns if pattern_matches(pattern, title)]
        return max(
            (specificity(pattern, route.match) for pattern in fits), default=specificity(None, route.match)
        )

    matching = [route for route in routes if find_mismatch(route.match, request) is None]
    found = RouteTable(routes).find(request)
    if not matching:
        assert found is None
        return
    best = max(specificity_of(route) for route in matching)
    assert found is not None
    assert specificity_of(found) == best
    if sum(specificity_of(route) == best for route in matching) > 1:
        assert ambiguous_routes(routes)
    assert highest_specificity(found) >= best


def test_a_lookup_does_not_visit_routes_that_cannot_match() -> None:
    """Guards against a lookup whose cost grows with the number of routes."""
    routes = [
        Route(f"r{number}", Match(ClientRole.WATCH, f"/p{number % 50}/", (f"t{number}*",)), "p")
        for number in range(5000)
    ]
    bucket = RouteTable(routes).by_prefix[ClientRole.WATCH, "/p7/"]
    assert [[route.name for route in level] for level in bucket.candidates("t57-x") if level] == [["r57"]]
    found = RouteTable(routes).find(RouteRequest(ClientRole.WATCH, "/p7/t57-x", "", {}))
    assert found is not None
    assert found.name == "r57"


def test_a_pool_admits_only_nodes_that_meet_all_of_its_conditions() -> None:
    """A node that fails any one condition is not admitted."""
    node = Node("n1+2")
    node.zone, node.cell, node.kind, node.tags = "west", 4, "big", frozenset({"gpu", "new"})
    assert Pool("p", ("west",), (1,), ("big",), ("gpu",), ("n1",)).admits(node, 3)
    for other in (
        Pool("p", ("east",)),
        Pool("p", racks=(0,)),
        Pool("p", kinds=("small",)),
        Pool("p", tags=("gpu", "old")),
        Pool("p", nodes=("n2",)),
        Pool("p", excluded_nodes=("n1+2",)),
    ):
        assert not other.admits(node, 3)


# Limits.


def test_limits_are_charged_together_or_not_at_all() -> None:
    """A rejected request is charged to none of its limits, and a reservation is released once."""
    ledger = LimitLedger()
    ledger.set_limits(
        [
            RequestLimit("slow", LimitScope.ALL, "", rate=1.0, burst=2),
            RequestLimit("each", LimitScope.PLAN, "*", max_concurrent=1),
            RequestLimit("tok", LimitScope.TOKEN, "t", max_concurrent=5),
        ]
    )
    subject = RequestSubject("t", "r", "p", "w")
    first = ledger.acquire(subject, 0)
    assert isinstance(first, LimitReservation)
    refused = ledger.acquire(subject, 0)
    assert refused == LimitExceeded("each", "1 at once", None)
    assert ledger.concurrent == {("tok", "t"): 1, ("each", "p"): 1, ("slow", ""): 1}
    assert isinstance(ledger.acquire(RequestSubject("t", "r", "q", "w"), 0), LimitReservation)
    delayed = ledger.acquire(RequestSubject("t", "r", "s", "w"), 0)
    assert isinstance(delayed, LimitExceeded)
    assert delayed.retry_after_ns == SECOND
    ledger.release(first)
    ledger.release(first)
    assert isinstance(ledger.acquire(subject, SECOND), LimitReservation)


def test_clock_jumps_do_not_exceed_a_limit() -> None:
    """A clock that jumps forward, stands still or goes back never admits more than the burst."""
    ledger, subject = LimitLedger(), RequestSubject("", "r", "p", "w")
    ledger.set_limits([RequestLimit("l", LimitScope.ALL, "", rate=10.0, burst=3)])
    assert sum(isinstance(ledger.acquire(subject, 0), LimitReservation) for _ in range(5)) == 3
    assert sum(isinstance(ledger.acquire(subject, 3600 * SECOND), LimitReservation) for _ in range(50)) == 3
    assert isinstance(ledger.acquire(subject, 5), LimitExceeded)  # the clock went back
    assert isinstance(ledger.acquire(subject, 3600 * SECOND), LimitExceeded)


def test_concurrency_counts_survive_a_new_configuration() -> None:
    """Playbacks admitted under an older limit count against a lower one."""
    ledger, subject = LimitLedger(), RequestSubject("", "r", "p", "w")
    ledger.set_limits([RequestLimit("l", LimitScope.ALL, "", max_concurrent=3)])
    tickets = [answer for _ in range(3) if isinstance(answer := ledger.acquire(subject, 0), LimitReservation)]
    ledger.set_limits([RequestLimit("l", LimitScope.ALL, "", max_concurrent=1)])
    for ticket in tickets[:2]:
        ledger.release(ticket)
        assert isinstance(ledger.acquire(subject, 1), LimitExceeded)
    ledger.release(tickets[2])
    assert isinstance(ledger.acquire(subject, 1), LimitReservation)


@given(st.integers(0, 200), st.integers(1, 60))
def test_the_shares_of_all_front_ends_add_up_to_the_limit(at_once: int, fronts: int) -> None:
    """Guards against places that are lost or granted twice by rounding."""
    whole = RequestLimit("l", LimitScope.ALL, "", rate=30.0, burst=60.0, max_concurrent=at_once)
    shares = [share_of_limit(whole, front_index, fronts) for front_index in range(fronts)]
    assert sum(share.max_concurrent or 0 for share in shares) == at_once
    assert abs(sum(share.rate or 0 for share in shares) - 30.0) < 1e-6


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.lists(st.tuples(st.integers(0, 2 * SECOND), st.sampled_from("pq"), st.booleans()), max_size=60))
def test_no_window_admits_more_than_burst_and_rate(steps: list[tuple[int, str, bool]]) -> None:
    """Also, no plan exceeds its concurrency."""
    limits = [
        RequestLimit("all", LimitScope.ALL, "", rate=2.0, burst=4.0),
        RequestLimit("each", LimitScope.PLAN, "*", rate=1.0, max_concurrent=3),
    ]
    ledger, now, passed, held = (
        LimitLedger(),
        0,
        list[tuple[int, str]](),
        list[tuple[str, LimitReservation]](),
    )
    ledger.set_limits(limits)
    for wait, plan, ends in steps:
        now += wait
        if ends and held:
            ledger.release(held.pop(0)[1])
        answer = ledger.acquire(RequestSubject("", "", plan, ""), now)
        if isinstance(answer, LimitReservation):
            passed.append((now, plan))
            held.append((plan, answer))
        assert sum(held_plan == plan for held_plan, _ in held) <= 3
    for first, (start, _) in enumerate(passed):
        for last in range(first, len(passed)):
            span = (passed[last][0] - start) / SECOND
            assert last - first + 1 <= burst_size(limits[0]) + 2.0 * span + 1e-6


# Versions.


def test_configuration_versions_apply_only_in_the_order_they_were_read() -> None:
    """An older, invalid, equal or incompatible version leaves the active one in force."""
    a, b, c = ({"plan": {"p": i}, "ladder": {"": 1}} for i in range(3))
    active = ActiveConfiguration(ConfigurationVersion(0, a, "a"))
    assert active.apply(None) == (ConfigurationVerdict.INVALID, [])
    assert active.apply(ConfigurationVersion(2, c, "c")) == (ConfigurationVerdict.TAKEN, [])
    assert active.apply(ConfigurationVersion(1, b, "b")) == (ConfigurationVerdict.OLDER, [])
    assert active.apply(ConfigurationVersion(3, c, "again")) == (ConfigurationVerdict.SAME, [])
    assert active.version.compiled == "c"
    assert active.apply(ConfigurationVersion(4, {**c, "ladder": {"": 2}}, "d")) == (
        ConfigurationVerdict.NEEDS_RESTART,
        ["ladder"],
    )
    assert plan_families({"x": 0}, ["y", "x"]) == {"x": 0, "y": 1}


def test_seats_are_counted_across_versions_of_a_plan() -> None:
    """A plan of a new version is equal to the old one as a key."""
    one = build_deployment(resolved_config('(include "base.oak")')).shared.plans["course"].plan
    two = (
        build_deployment(
            resolved_config('(include "base.oak")\n(limit l (on all) (rate 1/s))'), {"course": one.family_id}
        )
        .shared.plans["course"]
        .plan
    )
    assert one is not two
    assert {one: 3}[two] == 3
    assert build_route("r", resolved_config(BASE)["route"]["course"]).plan == "course"
