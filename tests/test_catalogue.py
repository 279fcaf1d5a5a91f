"""The catalogue: its text format, the evaluation of changes, and changes while a front end serves."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
import trio
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st
from rig import Rig, run_async_test, running_front_end, start_front_end, wait_until

from oakcroft.catalogue.syntax import CatalogueError
from oakcroft.catalogue.text import (
    CatalogueContent,
    apply_change,
    format_catalogue,
    read_catalogue,
    read_formatted,
    text_digest,
)
from oakcroft.cli import main
from oakcroft.decisions.routing.catalogue import (
    Catalogue,
    CatalogueTitle,
    CatalogueVerdict,
    FleetSnapshot,
    PlaybackEffect,
    StepDownQueue,
    VersionEntry,
    VersionHistory,
    changed_titles,
    effect_on_playback,
    evaluate_change,
    highest_rung,
    is_in_share,
)
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.httpwire.message import Response
from oakcroft.interface import HolderOrder, Placement

KEPT_VERSION = 5
SNAPSHOT = FleetSnapshot(frozenset({"n1", "n2+1"}), frozenset({"n1", "n2+1", "n3"}), 3, 4, {"course": 0})
OPERATORS_FORM = '(operators (secret "operators-secret"))'
HIGH_PLAN_FORM = """(plan high (effect free) (startup-target 400ms) (abandon 1500ms) (revenue 1) (floor 2))
  (route high (path "/whep/high/") (plan high))"""
AUTH: dict[str, Any] = {"Authorization": "Bearer operators-secret"}


def evaluate(
    old: Catalogue, new: Catalogue, base_digest: str | None, fleet: FleetSnapshot, force: bool = False
) -> Any:
    """Evaluates a change of all titles in which two versions differ."""
    return evaluate_change(old, new, changed_titles(old, new), base_digest, fleet, force)


def make_catalogue(number: int = 1, others: bool = False, **titles: CatalogueTitle) -> Catalogue:
    """Returns a version; `others`: whether titles that it does not name are served too."""
    return Catalogue(number, text_digest(format_catalogue(titles.items(), others)), titles, others)


@pytest.mark.parametrize(("text", "line", "message"), [
    ("(catalogue\n (title a (home 0)", 2, "never closed"),
    ("(catalogue))", 1, "never opened"),
    ('(catalogue\n(title "a', 2, "cannot be read"),
    ("(titles a)", 1, "one form"),
    ("(catalogue)\n(catalogue)", 2, "one form"),
    ("stray", 1, "outside every form"),
    ("(catalogue (title))", 1, "begins with its name"),
    ("(catalogue (title a/b))", 1, "cannot be a title"),
    ("(catalogue\n\n(title a (hold n1)))", 3, "write holders"),
    ("(catalogue (title a (holders n1 n1)))", 1, "twice"),
    ("(catalogue (title a (holders n1) (home 1) (copies 2)))", 1, "holders and cells"),
    ("(catalogue (title a (home 1)))", 1, "alone"),
    ("(catalogue (title a (renditions 200)))", 1, "write 200kB/s"),
    ("(catalogue (title a (renditions 2parsec/s)))", 1, "units"),
    ("(catalogue (title a (renditions 400kB/s 200kB/s)))", 1, "are not in ascending order"),
    ("(catalogue (title a)\n(title b)\n(title a))", 3, "first at line 1"),
    ("(catalogue (others perhaps))", 1, "yes or no"),
    ("(catalogue (film a))", 1, "no form film"),
    ("(catalogue (title a (holders)))", 1, "at least one"),
    ("((((((((", 1, "six deep"),
])  # fmt: skip
def test_each_error_in_a_text_is_reported_with_its_line(text: str, line: int, message: str) -> None:
    """An error in a catalogue text is reported with a message and its line."""
    with pytest.raises(CatalogueError) as found:
        read_catalogue(text)
    matching = [fault for fault in found.value.faults if message in fault.format()]
    assert matching, [fault.format() for fault in found.value.faults]
    assert matching[0].line == line


letters = st.characters(
    exclude_categories=["Cs", "Cc", "Cf", "Zl", "Zp", "Zs", "Co", "Cn"], exclude_characters="/"
)
names = st.text(letters, min_size=1, max_size=9)
items = st.one_of(
    st.builds(CatalogueTitle, holders=st.lists(names, min_size=1, max_size=4, unique=True).map(tuple)),
    st.builds(lambda h, c, r: CatalogueTitle((), h, c, tuple(sorted(r))), st.integers(0, 99), st.integers(0, 9),
              st.sets(st.integers(1, 5000).map(float), max_size=5)),
)  # fmt: skip


@given(st.dictionaries(names, items, max_size=6), st.booleans())
def test_a_formatted_catalogue_reads_as_the_same(titles: dict[str, CatalogueTitle], others: bool) -> None:
    """Guards against titles that are lost or changed when a catalogue is written and read again."""
    text = format_catalogue(titles.items(), others)
    assert read_catalogue(text) == CatalogueContent(titles, others)
    assert format_catalogue(read_catalogue(text).titles.items(), others) == text


@given(st.text(max_size=80))
def test_any_text_is_read_or_rejected_with_a_line(text: str) -> None:
    """Guards against input that raises any other exception, or an error without line and message."""
    for reader in (read_catalogue, lambda t: apply_change(t, CatalogueContent({}))):
        faults = []
        try:
            reader(text)
        except CatalogueError as error:
            faults = error.faults
            assert len(faults) > 0
        assert all(fault.line >= 1 and fault.message for fault in faults)


def test_the_fast_reader_agrees_with_the_full_reader_or_returns_none() -> None:
    """Guards against a text that the fast reader accepts and the full reader rejects or reads differently."""
    good = format_catalogue(
        {"a": CatalogueTitle(("n1",)), "b": CatalogueTitle((), 1, 2, (200.0, 400.0))}.items(), True
    )
    assert read_formatted(good) == read_catalogue(good.replace("(title", " (title"))
    for faulty in (
        good.replace("(others yes)", "(others so)"), good.replace("holders n1", "holders n1 n1"), good + "x",
        good.replace("(home 1)", "(home one)"), good.replace("title b", "title a"), good.replace("title a", "title a/b"),
        good.replace("(copies 2)", "(copies 2) (copies 3)"), good.replace("holders", "folders"), good[:-3],
        good.replace("200kB/s 400kB/s", "400kB/s 200kB/s"), good.replace("title a ", "title (a) "),
    ):  # fmt: skip
        assert read_formatted(faulty) is None, faulty


def test_a_change_is_applied_as_a_whole_or_not_at_all() -> None:
    """Guards against a change with an error of which a part is applied."""
    before = read_catalogue("(catalogue (title a (home 0) (copies 2)) (title b (home 1) (copies 2)))")
    after = apply_change("(put (title c (holders n1))) (drop a)", before)
    assert sorted(after.titles) == ["b", "c"]
    assert sorted(before.titles) == ["a", "b"]
    with pytest.raises(CatalogueError, match="no title z"):
        apply_change("(drop b) (drop z)", before)
    assert sorted(before.titles) == ["a", "b"]


def test_the_active_version_limits_the_rung_of_a_request() -> None:
    """The highest rung is that of the title, and none where the title is not served or under the floor."""
    catalogue = make_catalogue(2, a=CatalogueTitle(rates=(1.0, 2.0)), b=CatalogueTitle())
    tops = [highest_rung(catalogue, title, top, floor, 4) for title, top, floor in
            (("a", 9, 0), ("a", 0, 0), ("a", 9, 2), ("b", 9, 0), ("c", 9, 0))]  # fmt: skip
    assert tops == [1, 0, None, 3, None]
    assert highest_rung(Catalogue(), "c", 1 << 30, 0, 4) == 3


def test_the_verdicts_on_a_change() -> None:
    """A change is taken, the same as the active version, stale or refused with its reasons."""
    old = make_catalogue(1, a=CatalogueTitle(("n1",)), gone=CatalogueTitle(("n9",)))
    assert evaluate(
        old, make_catalogue(2, a=CatalogueTitle(("n1",)), gone=CatalogueTitle(("n9",))), old.digest, SNAPSHOT
    ) == (CatalogueVerdict.SAME, [])
    good = make_catalogue(
        2, a=CatalogueTitle(("n1", "n2")), gone=CatalogueTitle(("n9",)), b=CatalogueTitle((), 3, 2)
    )
    # A title that had no listed holder before does not block a change.
    assert evaluate(old, good, old.digest, SNAPSHOT) == (CatalogueVerdict.TAKEN, [])
    assert evaluate(old, good, "other", SNAPSHOT)[0] is CatalogueVerdict.STALE
    assert evaluate(old, good, None, SNAPSHOT)[0] is CatalogueVerdict.TAKEN
    for title, reason in (
        (CatalogueTitle(("n3",)), "no ready holder"),
        (CatalogueTitle(("n7",)), "not listed: n7"),
        (CatalogueTitle((), 4, 1), "there are 4"),
        (CatalogueTitle(rates=(1.0, 2.0, 3.0, 4.0)), "ladder has 3"),
    ):
        verdict, reasons = evaluate(old, make_catalogue(2, a=title), old.digest, SNAPSHOT)
        assert verdict is CatalogueVerdict.REFUSED
        assert reason in reasons[0]
    assert (
        evaluate(old, make_catalogue(2, a=CatalogueTitle(("n3",))), None, SNAPSHOT, force=True)[0]
        is CatalogueVerdict.TAKEN
    )
    with_high_floor = FleetSnapshot(SNAPSHOT.ready_nodes, SNAPSHOT.listed_nodes, 3, 4, {"course": 2})
    assert (
        "under the floor of plan course"
        in evaluate(
            old, make_catalogue(2, a=CatalogueTitle(("n1",), rates=(1.0, 2.0))), None, with_high_floor
        )[1][0]
    )


def test_playbacks_finish_or_step_down_and_never_under_their_floor() -> None:
    """Guards against a change that ends a playback, or steps it down under its floor or all at one moment."""
    two_rungs = CatalogueTitle(rates=(200.0, 400.0))
    assert effect_on_playback(0, 2, two_rungs, False, 3, "n1") == (PlaybackEffect.STEPS_DOWN, 1)
    assert effect_on_playback(0, 1, two_rungs, False, 3, "n1") == (PlaybackEffect.STAYS, 1)
    assert effect_on_playback(2, 2, two_rungs, False, 3, "n1") == (PlaybackEffect.FINISHES, 2)
    assert effect_on_playback(0, 2, None, False, 3, "n1") == (PlaybackEffect.FINISHES, 2)
    assert effect_on_playback(0, 1, None, True, 3, "n1") == (PlaybackEffect.STAYS, 2)
    assert effect_on_playback(0, 2, CatalogueTitle(("n2",)), False, 3, "n1") == (PlaybackEffect.FINISHES, 2)
    assert effect_on_playback(0, 2, CatalogueTitle(("n2",)), False, 3, "n2+4") == (PlaybackEffect.STAYS, 2)
    steps = StepDownQueue(batch_size=2, interval=10)
    steps.add(["a", "b", "c"])
    assert [steps.next_batch(0), steps.next_batch(5), steps.next_batch(10), steps.next_batch(30)] == [
        ["a", "b"],
        [],
        ["c"],
        [],
    ]


@given(st.integers(1, 200), st.integers(0, 1 << 60), st.floats(0, 1), st.floats(0, 1))
def test_front_ends_stay_included_while_the_share_of_a_rollout_grows(
    front_count: int, digest: int, first_share: float, second_share: float
) -> None:
    """Guards against front ends that leave a staged rollout when its share grows, and against a wrong share."""
    low, high = sorted((first_share, second_share))
    fronts = range(front_count)
    included = {front for front in fronts if is_in_share(front, front_count, digest, low)}
    assert included <= {front for front in fronts if is_in_share(front, front_count, digest, high)}
    assert abs(len(included) - low * front_count) <= 1
    assert all(is_in_share(front, front_count, digest, 1.0) for front in fronts)


def test_the_history_drops_the_oldest_version_and_the_title_cache_updates_changed_titles() -> None:
    """The history is bounded; cached titles change only where the catalogue differs."""
    history = VersionHistory(max_versions=3)
    dropped = [history.add(VersionEntry(n, str(n), n, "")) for n in range(1, 6)]
    assert dropped == [[], [], [], [1], [2]]
    assert (history.next_number, history.find(2), history.find(4)) == (6, None, VersionEntry(4, "4", 4, ""))
    cache = TitleCache(10, 4, 2, {"stated": (3, 1)})
    plain, stated = cache.get("plain", 9), cache.get("stated", 0)
    assert plain
    assert stated
    plain.holder_orders = {Placement(1, 2): HolderOrder([], b"", KEPT_VERSION)}
    stated.holder_orders = dict(plain.holder_orders)
    old, new = (
        Catalogue(),
        make_catalogue(1, plain=CatalogueTitle(("n1+2",), rates=(1.0,)), other=CatalogueTitle((), 1, 1)),
    )
    cache.apply_catalogue(new.titles, changed_titles(old, new))
    assert (plain.holder_names, plain.rung_rates, plain.holder_orders) == (frozenset({"n1"}), (1.0,), {})
    assert (stated.home_cell, stated.copies, stated.holder_names) == (3, 1, None)
    assert stated.holder_orders[Placement(1, 2)].version == KEPT_VERSION
    cache.apply_catalogue({}, changed_titles(new, Catalogue()))
    assert (plain.holder_names, plain.rung_rates, plain.home_cell, plain.copies) == (None, (), 1, 2)
    assert stated.holder_orders[Placement(1, 2)].version == KEPT_VERSION


async def send_catalogue(
    rig: Rig, text: str, match: str | None = "*", query: str = "", method: str = "PUT"
) -> Response:
    """Sends a catalogue, or a change of it, as an operator."""
    headers = AUTH | ({"If_Match": match} if match else {})
    return await rig.request(method, f"/operators/catalogue{query}", text.encode(), **headers)


def response_body(response: Response) -> dict[str, Any]:
    """Returns the JSON object in a response."""
    return dict(orjson.loads(response.body))


def test_the_operators_api(tmp_path: Path) -> None:
    """Operators read, replace, change and roll back the catalogue, with preconditions and after a restart."""
    one = "(catalogue (title a (holders n1)) (title b (home 0) (copies 2)))"

    async def test() -> None:
        async with (
            trio.open_nursery() as nursery,
            running_front_end(tmp_path, OPERATORS_FORM, with_state=True) as rig,
        ):
            assert (await rig.request("GET", "/operators/catalogue")).status == 401
            # Large bodies only with the operators' token.
            assert (await rig.request("PUT", "/operators/catalogue", b"x" * 100_000)).status == 413
            assert (await rig.request("GET", "/operators/nothing", **AUTH)).status == 404
            assert (await rig.request("DELETE", "/operators/catalogue", **AUTH)).status == 405
            first = await rig.request("GET", "/operators/catalogue", **AUTH)
            assert (first.status, first.header("etag")) == (200, '"none"')
            assert (await send_catalogue(rig, one, None)).status == 428
            answer = await send_catalogue(rig, one, '"none"', "?why=first")
            assert (answer.status, response_body(answer)["version"]) == (200, 1)
            assert (await send_catalogue(rig, one, '"none"')).status == 412
            assert response_body(await send_catalogue(rig, one))["verdict"] == "same"
            tag = answer.header("etag") or ""
            same = await rig.request("GET", "/operators/catalogue", If_None_Match=tag, **AUTH)
            assert same.status == 304
            broken = await send_catalogue(rig, "(catalogue (title a) (title a))", tag)
            assert broken.status == 422
            assert "is listed twice" in broken.body.decode()
            refused = await send_catalogue(rig, "(put (title c (holders n9)))", tag, "", "PATCH")
            assert refused.status == 409
            assert "no ready holder" in refused.body.decode()
            assert (
                await send_catalogue(
                    rig, "(put (title c (holders n2))) (drop b)", tag, "?why=lesson", "PATCH"
                )
            ).status == 200
            assert (await rig.request_playback("/whep/open/b")).status == 404
            assert (await rig.request_playback("/whep/open/c")).status == 201
            assert rig.recorded("setup")[-1]["node"] == "n2"
            assert rig.recorded("setup")[-1]["catalogue"] == 2
            assert (
                await send_catalogue(rig, "(put (title d (home 0) (copies 1)))", None, "", "PATCH")
            ).status == 428
            versions = orjson.loads((await rig.request("GET", "/operators/catalogue/versions", **AUTH)).body)
            assert [(v["version"], v["why"], v["in_force"]) for v in versions] == [
                (1, "first", False),
                (2, "lesson", True),
            ]
            await wait_until(
                lambda: (
                    rig.front_end
                    and rig.front_end.coordinator
                    and rig.front_end.coordinator.durable_state
                    and not rig.front_end.coordinator.durable_state.store.queue
                )
            )
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            await start_front_end(nursery, rig, with_state=True)
            # The version is active again after the restart.
            assert (await rig.request_playback("/whep/open/b")).status == 404
            back = await rig.request("POST", "/operators/catalogue/roll-back?to=1", If_Match="*", **AUTH)
            assert (back.status, response_body(back)["version"]) == (200, 3)
            assert (await rig.request_playback("/whep/open/b")).status == 201
            assert (
                await rig.request("POST", "/operators/catalogue/roll-back?to=9", If_Match="*", **AUTH)
            ).status == 404
            status = response_body(await rig.request("GET", "/operators/status", **AUTH))
            assert (status["catalogue"], status["state"]["disk"]) == (3, "sound")
            later = await send_catalogue(rig, "(drop a)", "*", "?share=0", "PATCH")
            assert (later.status, response_body(later)["verdict"]) == (202, "later")
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_playbacks_continue_when_their_rendition_title_or_holder_is_removed(tmp_path: Path) -> None:
    """Guards against a change that ends playbacks; a lower ladder steps them down where their floor allows it."""
    full = "(title a (home 0) (copies 2) (renditions 200kB/s 400kB/s 800kB/s))"

    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM + HIGH_PLAN_FORM) as rig:
            assert (await send_catalogue(rig, f"(catalogue {full} (title b (holders n1)))")).status == 200
            high, low = await rig.request_playback("/whep/high/a"), await rig.request_playback("/whep/open/a")
            other = await rig.request_playback("/whep/open/b")
            assert [high.status, low.status, other.status] == [201, 201, 201]
            refused = await send_catalogue(
                rig, "(put (title a (home 0) (copies 2) (renditions 200kB/s)))", "*", "", "PATCH"
            )
            assert refused.status == 409  # the title could not be served under plan high
            less = "(put (title a (home 0) (copies 2) (renditions 200kB/s))) (put (title b (holders n2)))"
            assert (await send_catalogue(rig, less, "*", "?force=yes", "PATCH")).status == 200
            assert (await rig.request_playback("/whep/high/a")).status == 404
            session = (low.header("location") or "").rpartition("/")[2]
            assert rig.front_end is not None
            assert rig.front_end.coordinator is not None
            low_session = rig.front_end.coordinator.sessions_by_id[session]
            await wait_until(lambda: low_session.playback.rung == 0)
            high_session = rig.front_end.coordinator.sessions_by_id[
                (high.header("location") or "").rpartition("/")[2]
            ]
            assert (
                high_session.playback.rung == 2
            )  # no rung at or above its floor is left, so it stays at its own
            assert (await send_catalogue(rig, "(drop a)", "*", "", "PATCH")).status == 200
            assert len([n for p in rig.nodes_in_use() for n in p.sessions]) == 3  # no session was ended
            assert (await rig.request_playback("/whep/open/b")).status == 201
            assert rig.recorded("setup")[-1]["node"] == "n2"
            assert (await rig.request("DELETE", high.header("location") or "")).status == 200

    run_async_test(test)


def random_catalogue(rng: Random) -> str:
    """Returns the text of a catalogue with up to four titles, each with one holder and one to three renditions."""
    titles = {}
    for number in range(4):
        if rng.random() < 0.8:
            rates = tuple(float(200 * (1 << rung)) for rung in range(rng.randrange(1, 4)))
            titles[f"t{number}"] = CatalogueTitle((rng.choice(["n1", "n2"]),), rates=rates)
    return format_catalogue(titles.items(), False)


def test_fifty_changes_under_load_and_every_set_up_belongs_to_one_version(tmp_path: Path) -> None:
    """Guards against a set-up that mixes two versions: its node and rung must be those of the version that it names."""

    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            rng, versions, answers = Random(4), dict[int, dict[str, CatalogueTitle]](), Counter[int]()
            stop = trio.Event()

            async def run_viewer(seed: int) -> None:
                viewer_rng = Random(seed)
                while not stop.is_set():
                    answer = await rig.request_playback(f"/whep/open/t{viewer_rng.randrange(4)}")
                    answers[answer.status] += 1
                    if answer.status == 201:
                        await rig.request("DELETE", answer.header("location") or "")

            async with trio.open_nursery() as nursery:
                for seed in range(4):
                    nursery.start_soon(run_viewer, seed)
                verdicts = Counter[int]()
                for n in range(50):
                    text = random_catalogue(rng)
                    if n % 10 == 3:  # a text with an error
                        text = text.replace("(title", "(tilte", 1) + "("
                    if n % 10 == 7:  # holders that are not listed
                        text = text.replace("n1", "n8").replace("n2", "n9")
                    tag = (await rig.request("GET", "/operators/catalogue", **AUTH)).header("etag") or ""
                    received = [await send_catalogue(rig, text, tag)]
                    if n % 10 == 5 and received[0].status == 200:
                        # A second change based on the same version.
                        received.append(await send_catalogue(rig, random_catalogue(rng), tag))
                    for response in received:
                        verdicts[response.status] += 1
                        if response.status == 200 and response_body(response)["verdict"] == "taken":
                            versions[response_body(response)["version"]] = dict(read_catalogue(text).titles)
                    await trio.sleep(0.02)
                stop.set()
            assert verdicts[422] == 5
            assert verdicts[409] >= 4
            assert verdicts[412] >= 3
            assert len(versions) > 25
            assert set(answers) <= {201, 404, 503}
            assert answers[201] > 50
            seen = Counter[int]()
            for fact in rig.recorded("setup"):
                if fact["catalogue"]:
                    # A KeyError would mean that the version has no such title.
                    title = versions[fact["catalogue"]][fact["title"]]
                    assert fact["node"] in title.holders, fact
                    assert fact["rung"] < len(title.rates), fact
                    seen[fact["catalogue"]] += 1
            assert len(seen) > 15
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


def test_a_retry_after_a_change_uses_the_new_version(tmp_path: Path) -> None:
    """Guards against a retry on a node that the catalogue no longer names as a holder."""

    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            both = "(catalogue (title a (holders n1 n2)))"
            assert (await send_catalogue(rig, both)).status == 200
            for node in rig.fleet.nodes.values():
                node.faults.is_silent = True
            first = list[Response]()

            async def request() -> None:
                first.append(await rig.request_playback("/whep/open/a"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(request)
                await wait_until(lambda: rig.recorded("setup"))
                removed_holder = rig.recorded("setup")[0]["node"]
                other = "n2" if removed_holder == "n1" else "n1"
                assert (
                    await send_catalogue(rig, f"(put (title a (holders {other})))", "*", "", "PATCH")
                ).status == 200
                rig.node(other).faults.is_silent = False
                rig.node(other).notify_changed()
            assert first[0].status == 201
            tries = [(f["node"], f["catalogue"]) for f in rig.recorded("setup")]
            assert tries == [(removed_holder, 1), (other, 2)]

    run_async_test(test)


def test_the_catalogue_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The commands check and format files, and read and change the catalogue of a running front end."""
    good, bad = tmp_path / "good.oak", tmp_path / "bad.oak"
    good.write_text("(catalogue (title b (holders n2))\n (title a))")
    bad.write_text("(catalogue (title a)\n (title a))")
    runner = CliRunner()
    assert runner.invoke(main, ["catalogue", "check", str(good)]).output.endswith("sound, 2 titles\n")
    faulty = runner.invoke(main, ["catalogue", "check", str(bad)])
    assert faulty.exit_code == 2
    assert "bad.oak:2: title a is listed twice" in faulty.output
    assert runner.invoke(main, ["catalogue", "fmt", str(good)]).exit_code == 0
    assert good.read_text() == "(catalogue\n  (others no)\n  (title a)\n  (title b (holders n2))\n)\n"
    monkeypatch.setenv("OAKCROFT_OPERATORS", "operators-secret")

    async def test() -> None:
        async with running_front_end(tmp_path, OPERATORS_FORM) as rig:
            front_options = ["--front", f"127.0.0.1:{rig.port}"]

            async def command(*words: str) -> Result:
                return await trio.to_thread.run_sync(
                    lambda: runner.invoke(main, ["catalogue", *words, *front_options])
                )

            taken = await command("put", str(good), "--why", "first lessons")
            assert (taken.exit_code, orjson.loads(taken.output)["verdict"]) == (0, "taken")
            assert (await command("get")).output.strip() == good.read_text().strip()
            bad.write_text("(drop nothing)")
            assert (await command("put", str(bad), "--change")).exit_code == 1
            assert orjson.loads((await command("versions")).output)[0]["why"] == "first lessons"
            assert (await command("roll-back", "7")).exit_code == 1
            status = await trio.to_thread.run_sync(lambda: runner.invoke(main, ["status", *front_options]))
            assert orjson.loads(status.output)["catalogue"] == 1

    run_async_test(test)
