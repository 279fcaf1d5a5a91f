"""The decision module against a simple model of the six rules, on generated sequences of events."""

from __future__ import annotations

from dataclasses import replace

from helpers import FREE, KEYED, PAID, START_NS, TERMS, ControllerHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from oakcroft.interface import MS, SECOND, Effect, NodeStatus, NodeListKind, Node, Outcome, Playback, Title

NEVER_RAN = {Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
PLANS = [FREE, PAID, KEYED, replace(FREE, floor=1, seats=2)]
BUDGETED = replace(TERMS, retry_budget_base=1.0, retry_budget_share=0.5, retry_budget_window_ns=3 * SECOND)
STEP = st.tuples(
    st.sampled_from(["ask", "ask", "end", "end", "wait", "drain", "back", "play", "leave"]),
    st.integers(0, 20),
    st.sampled_from([o for o in Outcome if o is not Outcome.DONE]),
)


class Model:
    """What the rules allow, derived from the module's calls of its host one by one."""

    def __init__(self, fleet: ControllerHarness, budgeted: bool) -> None:
        """Watches the calls that the fleet records."""
        self.fleet, self.budgeted, self.seen = fleet, budgeted, 0
        self.taken: list[int] = []
        self.further: list[int] = []
        self.tries: dict[Playback, list[tuple[Node, int]]] = {}
        self.ran: dict[Playback, list[tuple[Node, int]]] = {}
        self.out: dict[Playback, Node] = {}
        self.answered: set[Playback] = set()
        self.cold: dict[Node, list[int]] = {}

    def check(self) -> None:
        """Checks the calls since the last check."""
        now = self.fleet.now
        for call in self.fleet.calls[self.seen :]:
            if call[0] == "send":
                self.check_send(call[1], call[2], now)
            elif call[0] in ("reject", "abort"):
                pb = call[1]
                assert pb not in self.answered
                assert pb not in self.out
                if call[0] == "reject":
                    assert pb.plan.effect is Effect.FREE or not self.ran.get(pb)
                self.answered.add(pb)
        self.seen = len(self.fleet.calls)

    def check_send(self, pb: Playback, node: Node, now: int) -> None:
        """Checks a setup try against the rules for repeats, seats, the retry budget and the cold pace."""
        assert pb not in self.answered
        assert pb not in self.out
        assert node.status is NodeStatus.READY
        for ran, at in self.ran.get(pb, []):
            assert pb.plan.effect is not Effect.PAID
            if pb.plan.effect is Effect.KEYED:
                assert ran.zone == node.zone
                assert now - at < pb.plan.key_ttl_ns
        seats = [p for p in self.out if (p.title, p.plan) == (pb.title, pb.plan)]
        assert not pb.plan.seats or len(seats) < pb.plan.seats
        if pb in self.tries and self.budgeted:
            self.further.append(now)
            span = now - BUDGETED.retry_budget_window_ns
            allowed = 1.0 + 0.5 * sum(t > span for t in self.taken)
            assert sum(t >= span for t in self.further) <= allowed
        if now - node.started_at < TERMS.cold_duration_ns:
            sent = self.cold.setdefault(node, [])
            sent.append(now)
            full = TERMS.overload_multiple * 12 / TERMS.cold_duration_ns * TERMS.overload_window_ns
            assert sum(t > now - TERMS.overload_window_ns for t in sent) <= max(1.0, full / TERMS.front_count)
        self.tries.setdefault(pb, []).append((node, now))
        self.out[pb] = node


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEP, min_size=5, max_size=60), st.booleans())
def test_module_and_model_agree_on_what_is_allowed(
    steps: list[tuple[str, int, Outcome]], budget: bool
) -> None:
    """No generated sequence of events makes the module break a rule or leave a request unanswered."""
    fleet = ControllerHarness(terms=BUDGETED if budget else TERMS)
    model = Model(fleet, budget)
    titles = [Title(f"t{i}", i % 4, 3) for i in range(3)]
    for what, k, outcome in steps:
        held = list(model.out)
        pb = held[k % len(held)] if held else None
        if what == "ask":
            model.taken.append(fleet.now)
            asked = fleet.request(PLANS[k % len(PLANS)], titles[k % 3])
            model.check()
            assert asked in model.out or asked in model.answered
        elif what == "wait":
            fleet.now += k * 100 * MS
            fleet.controller.on_timer(fleet.now)
        elif what in ("drain", "back"):
            node = fleet.nodes[k % len(fleet.nodes)]
            rest, fleet.nodes = fleet.nodes, [node]
            listing = NodeStatus.DRAINING if what == "drain" else NodeStatus.READY
            fleet.apply_list(NodeListKind.CHANGES, 0 if what == "drain" else fleet.now, listing)
            fleet.nodes = rest
        elif pb and what == "end":
            if outcome not in NEVER_RAN:
                model.ran.setdefault(pb, []).append(model.tries[pb][-1])
            closed = fleet.controller.is_over(pb) or pb.state.value == "playing"
            del model.out[pb]
            fleet.controller.on_try_ended(pb, outcome, closed, None, None, None, fleet.now)
            model.check()
            assert closed or pb in model.out or pb in model.answered
        elif pb and what == "play":
            fleet.controller.on_playing(pb, fleet.now)
        elif pb and what == "leave" and pb.state.value == "playing":
            fleet.controller.on_viewer_left(pb, fleet.now)
            fleet.controller.on_try_ended(pb, Outcome.WITHDRAWN, True, None, None, None, fleet.now)
            del model.out[pb]
        model.check()
    assert fleet.now >= START_NS


def test_limits_of_the_settings_neither_crash_nor_break_a_rule() -> None:
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
    fleet = ControllerHarness(nodes=1, terms=small)
    plan = replace(FREE, top_rung=0)
    pb = Playback(Title("t", 0, 0), plan, 0, fleet.now + SECOND, False)
    fleet.controller.on_request(pb, fleet.now)
    fleet.controller.on_timer(fleet.now)
    fleet.controller.on_try_ended(pb, Outcome.LATE, False, None, None, None, fleet.now)
    assert fleet.final_answers(pb) == ["reject"]
    empty = ControllerHarness(nodes=0)
    empty.controller.on_timer(empty.now)
    assert empty.final_answers(empty.request()) == ["reject"]


def test_an_error_on_a_title_that_never_played_costs_a_node_no_trust() -> None:
    """Requests for titles that don't exist must not raise the failure score of a good node."""
    fleet, title = ControllerHarness(), Title("unknown", 0, 0)

    def fails() -> float:
        pb = fleet.request(title=title)
        node = fleet.sent_nodes()[-1]
        fleet.controller.on_try_ended(pb, Outcome.ERROR, False, None, None, None, fleet.now)
        return node.failure_score.read(fleet.now, SECOND)

    assert fails() == 0.0
    pb = fleet.request(title=title)
    fleet.controller.on_playing(pb, fleet.now)
    assert fails() > 0.0
