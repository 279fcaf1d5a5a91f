"""The controller of the decision module against a simple model of the six rules, on generated sequences of events."""

from __future__ import annotations

from dataclasses import replace

from helpers import FREE, KEYED, PAID, START_NS, TERMS, ControllerHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from oakcroft.interface import MS, SECOND, Effect, Node, NodeListKind, NodeStatus, Outcome, Playback, Title

NEVER_RAN = {Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
PLANS = [FREE, PAID, KEYED, replace(FREE, floor=1, seats=2)]
BUDGETED = replace(TERMS, retry_budget_base=1.0, retry_budget_share=0.5, retry_budget_window_ns=3 * SECOND)
STEP = st.tuples(
    st.sampled_from(["ask", "ask", "end", "end", "wait", "drain", "back", "play", "leave"]),
    st.integers(0, 20),
    st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.DONE]),
)


class Model:
    """Model of the rules, which checks each call of the controller to its host."""

    def __init__(self, harness: ControllerHarness, has_budget: bool) -> None:
        """Checks the calls that the harness records; `has_budget`: whether the settings have a retry budget."""
        self.harness = harness
        self.has_budget = has_budget
        self.calls_checked = 0
        self.request_times: list[int] = []
        self.retry_times: list[int] = []
        self.tries: dict[Playback, list[tuple[Node, int]]] = {}
        self.may_have_run: dict[Playback, list[tuple[Node, int]]] = {}
        self.open_tries: dict[Playback, Node] = {}
        self.answered: set[Playback] = set()
        self.cold_setups: dict[Node, list[int]] = {}

    def check(self) -> None:
        """Checks the calls since the last check."""
        now = self.harness.now
        for call in self.harness.calls[self.calls_checked :]:
            if call[0] == "send":
                self.check_send(call[1], call[2], now)
            elif call[0] in ("reject", "abort"):
                playback = call[1]
                assert playback not in self.answered
                assert playback not in self.open_tries
                if call[0] == "reject":
                    assert playback.plan.effect is Effect.FREE or not self.may_have_run.get(playback)
                self.answered.add(playback)
        self.calls_checked = len(self.harness.calls)

    def check_send(self, playback: Playback, node: Node, now: int) -> None:
        """Checks a setup try against the rules for repeats, seats, the retry budget and the cold pace."""
        assert playback not in self.answered
        assert playback not in self.open_tries
        assert node.status is NodeStatus.READY
        for earlier_node, sent_at in self.may_have_run.get(playback, []):
            assert playback.plan.effect is not Effect.PAID
            if playback.plan.effect is Effect.KEYED:
                assert earlier_node.zone == node.zone
                assert now - sent_at < playback.plan.key_ttl_ns
        seats = [
            other for other in self.open_tries if (other.title, other.plan) == (playback.title, playback.plan)
        ]
        assert not playback.plan.seats or len(seats) < playback.plan.seats
        if playback in self.tries and self.has_budget:
            self.retry_times.append(now)
            window_start = now - BUDGETED.retry_budget_window_ns
            allowed = 1.0 + 0.5 * sum(time > window_start for time in self.request_times)
            assert sum(time >= window_start for time in self.retry_times) <= allowed
        if now - node.started_at < TERMS.cold_duration_ns:
            sent = self.cold_setups.setdefault(node, [])
            sent.append(now)
            budget_of_warm_node = (
                TERMS.overload_multiple * 12 / TERMS.cold_duration_ns * TERMS.overload_window_ns
            )
            assert sum(time > now - TERMS.overload_window_ns for time in sent) <= max(
                1.0, budget_of_warm_node / TERMS.front_count
            )
        self.tries.setdefault(playback, []).append((node, now))
        self.open_tries[playback] = node


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEP, min_size=5, max_size=60), st.booleans())
def test_no_sequence_of_events_breaks_a_rule(steps: list[tuple[str, int, Outcome]], has_budget: bool) -> None:
    """No generated sequence of events makes the module break a rule or leave a request unanswered."""
    harness = ControllerHarness(terms=BUDGETED if has_budget else TERMS)
    model = Model(harness, has_budget)
    titles = [Title(f"t{i}", i % 4, 3) for i in range(3)]
    for step, number, outcome in steps:
        open_playbacks = list(model.open_tries)
        playback = open_playbacks[number % len(open_playbacks)] if open_playbacks else None
        if step == "ask":
            model.request_times.append(harness.now)
            requested = harness.request(PLANS[number % len(PLANS)], titles[number % 3])
            model.check()
            assert requested in model.open_tries or requested in model.answered
        elif step == "wait":
            harness.now += number * 100 * MS
            harness.controller.on_timer(harness.now)
        elif step in ("drain", "back"):
            node = harness.nodes[number % len(harness.nodes)]
            all_nodes = harness.nodes
            harness.nodes = [node]
            status = NodeStatus.DRAINING if step == "drain" else NodeStatus.READY
            harness.apply_list(NodeListKind.CHANGES, 0 if step == "drain" else harness.now, status)
            harness.nodes = all_nodes
        elif playback and step == "end":
            if outcome not in NEVER_RAN:
                model.may_have_run.setdefault(playback, []).append(model.tries[playback][-1])
            is_closed = harness.controller.is_over(playback) or playback.state.value == "playing"
            del model.open_tries[playback]
            harness.controller.on_try_ended(playback, outcome, is_closed, None, None, None, harness.now)
            model.check()
            assert is_closed or playback in model.open_tries or playback in model.answered
        elif playback and step == "play":
            harness.controller.on_playing(playback, harness.now)
        elif playback and step == "leave" and playback.state.value == "playing":
            harness.controller.on_viewer_left(playback, harness.now)
            harness.controller.on_try_ended(playback, Outcome.WITHDRAWN, True, None, None, None, harness.now)
            del model.open_tries[playback]
        model.check()
    assert harness.now >= START_NS


def test_smallest_settings_work() -> None:
    """The smallest settings work, and so does a front end without nodes."""
    small = replace(
        TERMS,
        front_count=1,
        cell_count=1,
        rack_count=1,
        rung_rates=(200.0,),
        rung_revenue_shares=(1.0,),
        uplink_capacity=0.0,
        report_interval_ns=0,
        max_tries=1,
        max_retry_after_ns=0,
    )
    harness = ControllerHarness(nodes=1, terms=small)
    plan = replace(FREE, top_rung=0)
    playback = Playback(Title("t", 0, 0), plan, 0, harness.now + SECOND, False)
    harness.controller.on_request(playback, harness.now)
    harness.controller.on_timer(harness.now)
    harness.controller.on_try_ended(playback, Outcome.LATE, False, None, None, None, harness.now)
    assert harness.final_answers(playback) == ["reject"]
    empty = ControllerHarness(nodes=0)
    empty.controller.on_timer(empty.now)
    assert empty.final_answers(empty.request()) == ["reject"]


def test_an_error_on_a_title_that_never_played_raises_no_failure_score() -> None:
    """Requests for titles that don't exist must not raise the failure score of a good node."""
    harness = ControllerHarness()
    title = Title("unknown", 0, 0)

    def score_after_error() -> float:
        playback = harness.request(title=title)
        node = harness.sent_nodes()[-1]
        harness.controller.on_try_ended(playback, Outcome.ERROR, False, None, None, None, harness.now)
        return node.failure_score.read(harness.now, SECOND)

    assert score_after_error() == 0.0
    playback = harness.request(title=title)
    harness.controller.on_playing(playback, harness.now)
    assert score_after_error() > 0.0
