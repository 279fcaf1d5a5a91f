"""Selection of connections: the one that is closed for a new one, and the one on which a release is sent."""

from __future__ import annotations

from oakcroft.decisions.admission.eviction import (
    FIRST_REQUEST_EXPECTED_NS,
    EvictionClass,
    IdleConnection,
    eviction_order,
)
from oakcroft.decisions.sessions.release_delivery import (
    CONFIRM_TIMEOUT_NS,
    MAX_ATTEMPTS,
    MAX_UNCONFIRMED,
    ReleaseTarget,
    UnconfirmedReleases,
    target_order,
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
        connection(since=NOW - FIRST_REQUEST_EXPECTED_NS - 1, has_sent_request=False),
        connection(),
        connection(sessions=1),
        connection(since=NOW - FIRST_REQUEST_EXPECTED_NS, has_sent_request=False),
        connection(since=0, has_sent_request=False, partial=True),
        connection(since=0, sessions=1, unsent=True),
    ]
    classes = [eviction_order(idle, NOW)[0] for idle in connections]
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

    def __init__(self, since: int) -> None:
        """`since`: time of its last message, ns."""
        self.is_open, self.is_idle, self.unread_count = True, True, 0
        self.idle_state = connection(since=since)


def evict(connections: IdleConnections[FakeConnection]) -> FakeConnection | None:
    """Closes the first connection in the order of eviction and returns it."""
    found = connections.next_to_evict()
    if found is None:
        return None
    evicted, _ = found
    evicted.is_open = evicted.is_idle = False
    return evicted


def test_connections_are_evicted_in_order_over_several_searches() -> None:
    """The order of eviction holds when the candidates of one search are used up."""
    connections = [FakeConnection(since) for since in range(3 * MAX_CANDIDATES)]
    idle = IdleConnections(connections, ManualClock())  # type: ignore[arg-type]
    evicted = [evict(idle) for _ in connections]
    assert evicted == connections


def test_a_candidate_that_is_in_use_again_is_kept() -> None:
    """A candidate is skipped if it is in use again or already closed.

    It has a request in progress, an unread message, a partial message or a session.
    """
    connections = [FakeConnection(since) for since in range(7)]
    idle = IdleConnections(connections, ManualClock())  # type: ignore[arg-type]
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
    idle = IdleConnections(connections, clock)  # type: ignore[arg-type]
    assert evict(idle) is connections[0]
    connections.append(FakeConnection(since=5))
    clock.at += CANDIDATES_VALID_NS + 1
    assert evict(idle) is connections[-1]


def test_a_release_is_sent_on_its_own_connection_first_then_on_served_ones() -> None:
    """A connection on which no set-up was ever answered with a session is the last choice."""
    targets = [
        ReleaseTarget(carried_setup=True, has_served=False, session_count=0),
        ReleaseTarget(carried_setup=False, has_served=True, session_count=2),
        ReleaseTarget(carried_setup=False, has_served=True, session_count=0),
        ReleaseTarget(carried_setup=False, has_served=False, session_count=1),
        ReleaseTarget(carried_setup=False, has_served=False, session_count=0),
    ]
    shuffled = [targets[i] for i in (3, 0, 4, 2, 1)]
    assert sorted(shuffled, key=target_order) == targets


def test_a_release_is_repeated_until_confirmed_or_out_of_attempts() -> None:
    """Each attempt has its timeout; a release that is confirmed is not sent again."""
    releases, now = UnconfirmedReleases(), NOW
    for session in ("confirmed", "unconfirmed"):
        releases.record_sent(session, now)
    assert releases.overdue(now + CONFIRM_TIMEOUT_NS - 1) == []
    releases.confirm("confirmed")
    for _ in range(MAX_ATTEMPTS - 1):
        now += CONFIRM_TIMEOUT_NS
        assert releases.overdue(now) == ["unconfirmed"]
        releases.record_sent("unconfirmed", now)
    assert releases.overdue(now + CONFIRM_TIMEOUT_NS) == []
    assert len(releases) == 0


def test_unconfirmed_releases_are_bounded() -> None:
    """Past the limit the oldest release counts as confirmed."""
    releases = UnconfirmedReleases()
    for i in range(MAX_UNCONFIRMED + 2):
        releases.record_sent(str(i), NOW)
    assert len(releases) == MAX_UNCONFIRMED
    assert "1" not in releases
    assert "2" in releases
