"""When a silent node is checked and counts as lost, for all timings that a deployment may have; no sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from oakcroft.decisions.sessions.node_liveness import (
    CHECK_TIMEOUT_NS,
    CHECKS_UNTIL_LOST,
    LATEST_CHECK_NS,
    LOSS_SILENCE_NS,
    REFUSALS_UNTIL_LOST,
    SILENCE_WITHOUT_REPORTS_NS,
    CheckResult,
    LivenessTimeouts,
    NodeLiveness,
    liveness_timeouts,
)
from oakcroft.interface import MS, SECOND

ROUND_NS = 100 * MS
RELEASE_LIMIT_NS = 8 * SECOND
NEVER = 1 << 62

INTERVALS = [0, 2200 * MS, 2800 * MS, 3000 * MS, 3600 * MS, 4500 * MS, 4600 * MS, 5000 * MS]
DELAYS = [400 * MS, 1200 * MS, 1400 * MS]


@dataclass
class SimulatedNode:
    """A node and the front end's checks of it; moves on in rounds of maintenance."""

    liveness: NodeLiveness
    connect_time_ns: Callable[[], int]
    """Draws the time that a connect takes; NEVER for one that does not come up."""

    answers: bool = True
    """Whether the process answers once a connect has come up; one that hangs does not."""

    now: int = SECOND
    check_count: int = 0
    open_checks: list[tuple[int, int]] = field(default_factory=list)
    """When each open check started, and when it comes up."""

    def round(self) -> bool:
        """Ends and starts checks as they are due; returns whether the node counts as lost."""
        for check in sorted(self.open_checks, key=lambda check: check[1]):
            started_at, connected_at = check
            if connected_at <= min(self.now, started_at + CHECK_TIMEOUT_NS):
                self.liveness.check_ended(started_at, CheckResult.CONNECTED, self.now)
                if self.answers:
                    self.liveness.message_received(self.now)
            elif started_at + CHECK_TIMEOUT_NS <= self.now:
                self.liveness.check_ended(started_at, CheckResult.UNANSWERED, self.now)
            else:
                continue
            self.open_checks.remove(check)
        for _ in range(self.liveness.checks_due(self.now)):
            self.check_count += 1
            self.liveness.check_started(self.now)
            self.open_checks.append((self.now, self.now + self.connect_time_ns()))
        return self.liveness.is_lost(self.now, has_open_connection=True)

    def pass_time(self, duration_ns: int) -> bool:
        """Lets time pass; returns whether the node counts as lost."""
        end = self.now + duration_ns
        while self.now < end:
            self.now += ROUND_NS
            if self.round():
                return True
        return False


def node_heard_now(interval_ns: int, delay_ns: int, connect_time_ns: Callable[[], int]) -> SimulatedNode:
    """Returns a node whose last message has just arrived."""
    timeouts = liveness_timeouts(interval_ns, delay_ns, may_test=False)
    node = SimulatedNode(NodeLiveness(timeouts), connect_time_ns)
    node.liveness.message_received(node.now)
    return node


@pytest.mark.parametrize("delay_ns", DELAYS)
@pytest.mark.parametrize("interval_ns", INTERVALS)
def test_a_vanished_node_is_lost_in_time_for_its_releases(interval_ns: int, delay_ns: int) -> None:
    """Guards against viewers told over 8 s after their node vanished, right after a message of it (review/2)."""
    node = node_heard_now(interval_ns, delay_ns, lambda: NEVER)
    heard_at = node.now
    assert node.pass_time(RELEASE_LIMIT_NS)
    assert node.now - heard_at <= RELEASE_LIMIT_NS - SECOND // 2
    assert node.check_count == CHECKS_UNTIL_LOST


@pytest.mark.parametrize("interval_ns", INTERVALS)
def test_a_silent_node_whose_connects_come_up_a_second_late_is_not_lost(interval_ns: int) -> None:
    """Guards against sessions that are cut off although their node lives, since connects to it are slow."""
    rng = Random(interval_ns)
    node = node_heard_now(interval_ns, 1400 * MS, lambda: rng.randrange(SECOND))
    assert not node.pass_time(600 * SECOND)


@pytest.mark.parametrize("interval_ns", INTERVALS)
def test_a_node_whose_connects_fail_now_and_then_is_not_lost(interval_ns: int) -> None:
    """Guards against a loss by single connects that never come up; one in fifty does not."""
    rng = Random(interval_ns)
    node = node_heard_now(interval_ns, 400 * MS, lambda: rng.choice([NEVER] + 49 * [3 * MS]))
    assert not node.pass_time(3600 * SECOND)


@pytest.mark.parametrize("interval_ns", INTERVALS)
def test_a_hung_node_whose_kernel_takes_connects_is_lost_in_time(interval_ns: int) -> None:
    """Guards against a node that counts as alive for ever since connects to it come up (issue 51)."""
    node = node_heard_now(interval_ns, 1400 * MS, lambda: 3 * MS)
    node.answers = False
    heard_at = node.now
    assert node.pass_time(RELEASE_LIMIT_NS)
    assert node.now - heard_at <= RELEASE_LIMIT_NS - SECOND // 2
    assert node.check_count <= CHECKS_UNTIL_LOST


@pytest.mark.parametrize("may_test", [False, True])
@pytest.mark.parametrize("interval_ns", INTERVALS)
def test_no_node_is_lost_before_the_latest_time_for_its_releases(interval_ns: int, may_test: bool) -> None:
    """Guards against sessions cut off at a node that hangs for a few seconds, also where its listen queue is full."""
    for connect_time_ns in (3 * MS, NEVER):
        timeouts = liveness_timeouts(interval_ns, 400 * MS, may_test=may_test)
        node = SimulatedNode(NodeLiveness(timeouts), lambda: connect_time_ns, answers=False)  # noqa: B023
        node.liveness.message_received(node.now)
        node.liveness.question_sent(node.now + ROUND_NS)
        assert not node.pass_time(LOSS_SILENCE_NS - ROUND_NS)


def test_unanswered_checks_of_earlier_silences_do_not_add_up() -> None:
    """Guards against a loss by checks that failed in several silences, each ended by a message."""
    node = node_heard_now(3000 * MS, 900 * MS, lambda: NEVER)
    for _ in range(2 * CHECKS_UNTIL_LOST):
        assert not node.pass_time(LATEST_CHECK_NS + CHECK_TIMEOUT_NS - 2 * ROUND_NS)
        node.liveness.message_received(node.now)


@pytest.mark.parametrize("interval_ns", INTERVALS[1:])
def test_a_node_that_reports_in_time_is_not_checked(interval_ns: int) -> None:
    """Guards against connects to each node of a fleet in each interval, by every front end."""
    node = node_heard_now(interval_ns, 1400 * MS, lambda: 3 * MS)
    for _ in range(20):
        assert not node.pass_time(interval_ns)
        node.liveness.message_received(node.now)
    assert not node.check_count


def test_a_silent_node_that_lives_costs_one_connect_a_silence() -> None:
    """Guards against several connects at a time to nodes that answer the first."""
    node = node_heard_now(0, 0, lambda: 3 * MS)
    assert not node.pass_time(60 * SECOND)
    assert node.check_count <= 60 * SECOND // SILENCE_WITHOUT_REPORTS_NS


def test_several_rounds_at_one_moment_start_one_check() -> None:
    """Guards against four connects to each node for the playbacks that are handed over to a front end at its start."""
    node = SimulatedNode(NodeLiveness(LivenessTimeouts(SECOND)), lambda: 3 * MS, now=100 * SECOND)
    for _ in range(20):
        node.round()
    assert node.check_count == 1


def test_a_refusal_before_a_message_does_not_count() -> None:
    """Guards against a node taken for gone for refusals that it has outlived."""
    liveness = NodeLiveness(liveness_timeouts(3000 * MS, 900 * MS, may_test=False))
    for _ in range(REFUSALS_UNTIL_LOST):
        liveness.connect_failed(is_refused=True)
    assert liveness.is_lost(SECOND, has_open_connection=False)
    liveness.message_received(SECOND)
    assert not liveness.is_lost(SECOND, has_open_connection=False)


def test_connects_that_fail_at_once_do_not_shorten_the_time_for_checks() -> None:
    """Guards against a loss by a route that is missing for a moment, with an error at once instead of no answer."""
    liveness = NodeLiveness(liveness_timeouts(3000 * MS, 900 * MS, may_test=False))
    liveness.message_received(SECOND)
    now = 10 * SECOND
    for _ in range(CHECKS_UNTIL_LOST):
        liveness.check_started(now)
        liveness.check_ended(now, CheckResult.UNANSWERED, now)
    assert not liveness.is_lost(now, has_open_connection=False)
    assert liveness.is_lost(now + CHECK_TIMEOUT_NS, has_open_connection=False)


def test_checks_without_a_descriptor_prove_nothing() -> None:
    """Guards against nodes that count as lost since this process has no descriptor to check them with."""
    liveness = NodeLiveness(liveness_timeouts(3000 * MS, 900 * MS, may_test=False))
    liveness.message_received(SECOND)
    now = 10 * SECOND
    for _ in range(2 * CHECKS_UNTIL_LOST):
        liveness.check_started(now)
        liveness.check_ended(now, CheckResult.NO_DESCRIPTOR, now)
    assert not liveness.is_lost(now + SECOND, has_open_connection=False)
    assert liveness.checks_due(now) == 1


def test_unanswered_connects_for_set_ups_do_not_make_a_node_lost() -> None:
    """Guards against a loss amid set-ups: their connects have less time than a slow one takes."""
    liveness = NodeLiveness(liveness_timeouts(3000 * MS, 900 * MS, may_test=False))
    liveness.message_received(SECOND)
    for _ in range(2 * CHECKS_UNTIL_LOST):
        liveness.connect_failed(is_refused=False)
    assert not liveness.is_lost(10 * SECOND, has_open_connection=False)
