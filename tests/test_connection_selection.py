"""Selection of the connection that is closed for a new one."""

from __future__ import annotations

from dataclasses import replace

import pytest

from oakcroft.decisions.admission.eviction import (
    FIRST_REQUEST_EXPECTED_NS,
    EvictionClass,
    IdleConnection,
    eviction_order,
    excess_session_connections,
)
from oakcroft.interface import SECOND
from oakcroft.platform.idle_connections import CANDIDATES_VALID_NS, MAX_CANDIDATES, IdleConnections

NOW = 100 * SECOND


def connection(
    since: int = NOW,
    has_sent_request: bool = True,
    sessions: int = 0,
    partial: bool = False,
    unsent: bool = False,
) -> IdleConnection:
    """Returns an idle connection; by default it has sent one request and has no session."""
    return IdleConnection(since, has_sent_request, sessions, partial, unsent)


def test_eviction_classes_are_in_order() -> None:
    """Connections are closed in the order of their classes: those without a request first, new ones late."""
    connections = [
        (connection(since=NOW - FIRST_REQUEST_EXPECTED_NS - 1, has_sent_request=False), False),
        (connection(), False),
        (connection(sessions=1), True),
        (connection(since=NOW - FIRST_REQUEST_EXPECTED_NS, has_sent_request=False), False),
        (connection(since=0, has_sent_request=False, partial=True), False),
        (connection(since=0, sessions=1, unsent=True), True),
        (connection(since=0, sessions=1, unsent=True), False),
    ]
    classes = [eviction_order(idle, NOW, is_excess=is_excess)[0] for idle, is_excess in connections]
    assert classes == list(EvictionClass)


def test_within_a_class_the_longest_idle_is_evicted_first() -> None:
    """Within a class the connection that was idle for longest is closed first, whatever the order of the input."""
    older, newer = connection(since=NOW - 2), connection(since=NOW - 1)
    assert min((newer, older), key=lambda idle: eviction_order(idle, NOW)) is older


class ManualClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        """Starts at `NOW`."""
        self.at = NOW

    def now(self) -> int:
        """Returns the time, ns."""
        return self.at


class FakeConnection:
    """A connection that has sent one request and plays nothing."""

    def __init__(self, since: int, sessions: int = 0, has_sent_request: bool = True) -> None:
        """`since`: time of its last message, ns."""
        self.is_open, self.is_idle, self.unread_count = True, True, 0
        self.session_count = sessions
        self.idle_state = connection(since, has_sent_request, sessions)


def idle_connections(
    connections: list[FakeConnection], clock: ManualClock | None = None
) -> IdleConnections[FakeConnection]:
    """Returns the queue of connections that hold all places."""
    return IdleConnections(connections, len(connections), clock or ManualClock())  # type: ignore[arg-type]


def evict(connections: IdleConnections[FakeConnection]) -> FakeConnection | None:
    """Closes the first connection in the order of eviction and returns it."""
    found = connections.next_to_evict()
    if found is None:
        return None
    evicted, _ = found
    evicted.is_open = evicted.is_idle = False
    evicted.session_count = 0
    return evicted


def test_connections_are_evicted_in_order_over_several_searches() -> None:
    """The order of eviction holds when the candidates of one search are used up."""
    connections = [FakeConnection(since) for since in range(3 * MAX_CANDIDATES)]
    idle = idle_connections(connections)
    evicted = [evict(idle) for _ in connections]
    assert evicted == connections


def test_a_candidate_that_is_in_use_again_is_kept() -> None:
    """A candidate is skipped if it is in use again or already closed.

    It has a request in progress, an unread message, a partial message or a session.
    """
    connections = [FakeConnection(since) for since in range(7)]
    idle = idle_connections(connections)
    assert evict(idle) is connections[0]
    connections[1].is_idle = False
    connections[2].unread_count = 1
    connections[3].idle_state = connection(since=3, partial=True)
    connections[4].idle_state = connection(since=4, sessions=1)
    connections[5].is_open = False
    assert evict(idle) is connections[6]


def test_old_candidates_are_searched_again() -> None:
    """The search is repeated once its candidates are old, so that connections idle for longer are found."""
    connections, clock = [FakeConnection(since) for since in range(10, 20)], ManualClock()
    idle = idle_connections(connections, clock)
    assert evict(idle) is connections[0]
    connections.append(FakeConnection(since=5))
    clock.at += CANDIDATES_VALID_NS + 1
    assert evict(idle) is connections[-1]


@pytest.mark.parametrize("is_partial", [False, True], ids=["silent", "with part of a request"])
def test_newcomers_evict_each_other_and_never_connections_with_sessions(is_partial: bool) -> None:
    """Guards against hundreds of clients that connect at one moment and close all connections with sessions."""
    playing = [FakeConnection(since, sessions=1) for since in range(4)]
    newcomers = [FakeConnection(NOW - number, has_sent_request=False) for number in (2, 1)]
    for newcomer in newcomers:
        newcomer.idle_state = replace(newcomer.idle_state, has_partial_message=is_partial)
    idle = idle_connections([*playing, *newcomers])
    assert [evict(idle) for _ in newcomers] == newcomers
    assert evict(idle) is None


@pytest.mark.parametrize("descriptors", [64, 255, 256, 1_024])
def test_all_connections_that_viewers_may_hold_fit_into_the_share_of_those_with_sessions(
    descriptors: int,
) -> None:
    """Viewers hold a third of the descriptors at most, and places are half of them."""
    assert excess_session_connections(descriptors // 3, descriptors // 2) == 0


def test_connections_with_sessions_over_their_share_are_evicted_before_newcomers() -> None:
    """Guards against connections with sessions that leave no place for newcomers; the longest idle go first."""
    playing = [FakeConnection(since, sessions=1) for since in range(8)]
    newcomer = FakeConnection(NOW, has_sent_request=False)
    places = len([*playing, newcomer])
    assert [excess_session_connections(count, places) for count in (6, 7, 8)] == [0, 1, 2]
    idle = idle_connections([*playing, newcomer])
    assert [evict(idle) for _ in range(4)] == [*playing[:2], newcomer, None]
