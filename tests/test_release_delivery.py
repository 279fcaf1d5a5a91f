"""Delivery of releases: on which connections a release is sent, how often, and until when it is owed."""

from __future__ import annotations

from oakcroft.decisions.sessions.release_delivery import (
    CONFIRM_TIMEOUT_NS,
    MAX_ATTEMPTS_WITHOUT_EVIDENCE,
    MAX_OWED,
    MAX_PER_FLUSH,
    MAX_RESENDS_PER_ROUND,
    RELEASE_LIFETIME_NS,
    OwedRelease,
    ReleaseDelivery,
    ViewerEvidence,
)
from oakcroft.interface import SECOND

NOW = 100 * SECOND


class FakeConnection:
    """A connection of viewers or of a client that has none."""

    def __init__(self, session_count: int = 0) -> None:
        """Starts open."""
        self.session_count = session_count


def opened(
    delivery: ReleaseDelivery[FakeConnection],
    evidence: ViewerEvidence = ViewerEvidence.NONE,
    session_count: int = 0,
) -> FakeConnection:
    """Returns a connection that has opened and has shown some evidence of viewers."""
    connection = FakeConnection(session_count)
    assert delivery.connection_opened(connection) == []
    assert delivery.evidence_found(connection, evidence) == []
    return connection


def sent_to(
    delivery: ReleaseDelivery[FakeConnection], release: OwedRelease[FakeConnection], now: int
) -> FakeConnection | None:
    """Sends a release on the best connection, and returns that."""
    connection = next(delivery.targets(release), None)
    if connection is not None:
        delivery.record_sent(release, connection, now)
    return connection


def test_a_release_is_sent_on_its_own_connection_first_then_by_evidence() -> None:
    """A connection that has shown no evidence of viewers is the last choice, even with more sessions."""
    delivery = ReleaseDelivery[FakeConnection]()
    idle = opened(delivery)
    playing = opened(delivery, ViewerEvidence.SESSION, session_count=2)
    odd = opened(delivery, session_count=1)
    own = opened(delivery)
    requested = opened(delivery, ViewerEvidence.REQUEST)
    requested_later = opened(delivery, ViewerEvidence.REQUEST)
    served = opened(delivery, ViewerEvidence.SESSION)
    release = delivery.add("a", b"", own, NOW)
    expected = [own, playing, served, requested_later, requested, odd, idle]
    assert list(delivery.targets(release)) == expected


def test_a_release_is_repeated_until_confirmed() -> None:
    """Each attempt has its timeout; a release that is confirmed is not sent again."""
    delivery, now = ReleaseDelivery[FakeConnection](), NOW
    connections = [opened(delivery, ViewerEvidence.SESSION) for _ in range(10)]
    for session in ("confirmed", "unconfirmed"):
        sent_to(delivery, delivery.add(session, b"", None, now), now)
    assert delivery.take_overdue(now + CONFIRM_TIMEOUT_NS - 1) == []
    assert delivery.remove("confirmed")
    assert not delivery.remove("confirmed")
    carried_by = [connections[-1]]
    for _ in connections[1:]:
        now += CONFIRM_TIMEOUT_NS
        (release,) = delivery.take_overdue(now)
        assert release.session == "unconfirmed"
        carried_by.append(sent_to(delivery, release, now) or FakeConnection())
    assert carried_by == connections[::-1]  # each of them once
    now += CONFIRM_TIMEOUT_NS
    assert sent_to(delivery, delivery.take_overdue(now)[0], now) is None
    assert "unconfirmed" in delivery.owed


def test_attempts_without_evidence_are_bounded_and_do_not_end_the_release() -> None:
    """Guards against a release that goes to silent clients only and is then taken as heard."""
    delivery, now = ReleaseDelivery[FakeConnection](), NOW
    silent = [opened(delivery) for _ in range(MAX_ATTEMPTS_WITHOUT_EVIDENCE + 3)]
    release = delivery.add("a", b"", None, now)
    for _ in range(MAX_ATTEMPTS_WITHOUT_EVIDENCE):
        assert sent_to(delivery, release, now) in silent
        now += CONFIRM_TIMEOUT_NS
        assert delivery.take_overdue(now) == [release]
    assert sent_to(delivery, release, now) is None
    assert delivery.waiting_count == 1
    newcomer = opened(delivery)
    assert delivery.evidence_found(newcomer, ViewerEvidence.REQUEST) == [release]
    delivery.record_sent(release, newcomer, now)
    assert delivery.take_overdue(now + CONFIRM_TIMEOUT_NS) == [release]
    assert delivery.evidence_found(silent[-1], ViewerEvidence.REQUEST) == []  # it was sent there before


def test_a_viewer_that_asks_amid_clients_that_keep_asking_gets_the_release() -> None:
    """Guards against a crowd of clients each of which is the last to have asked when a release is sent again."""
    delivery, now = ReleaseDelivery[FakeConnection](), NOW
    opened(delivery, ViewerEvidence.REQUEST)
    release = delivery.add("a", b"", None, now)
    assert sent_to(delivery, release, now) is not None
    viewer = FakeConnection()
    assert delivery.connection_opened(viewer) == []
    assert delivery.evidence_found(viewer, ViewerEvidence.REQUEST) == [release]
    delivery.record_sent(release, viewer, now)
    assert delivery.evidence_found(viewer, ViewerEvidence.SESSION) == []
    playing = FakeConnection()
    delivery.connection_opened(playing)
    assert delivery.evidence_found(playing, ViewerEvidence.SESSION) == [release]
    delivery.record_sent(release, playing, now)
    other = FakeConnection()
    delivery.connection_opened(other)
    assert delivery.evidence_found(other, ViewerEvidence.SESSION) == []  # its confirmation is not overdue yet


def test_a_release_lost_with_its_own_connection_is_owed_again() -> None:
    """A release on its own connection is not repeated while that is open, and at once when it closes."""
    delivery = ReleaseDelivery[FakeConnection]()
    own, other = opened(delivery, ViewerEvidence.SESSION), opened(delivery, ViewerEvidence.SESSION)
    release = delivery.add("a", b"", own, NOW)
    assert sent_to(delivery, release, NOW) is own
    assert delivery.take_overdue(NOW + RELEASE_LIFETIME_NS) == []
    assert delivery.waiting_count == 0
    assert delivery.connection_closed(own) == [release]
    assert delivery.waiting_count == 1
    assert sent_to(delivery, release, NOW) is other


def test_a_connection_that_opens_gets_the_waiting_releases_in_portions() -> None:
    """Guards against a flush over the limit of a connection's send buffer."""
    delivery = ReleaseDelivery[FakeConnection]()
    releases = [delivery.add(str(number), b"", None, NOW) for number in range(MAX_PER_FLUSH + 1)]
    connection = FakeConnection()
    assert delivery.connection_opened(connection) == releases[:MAX_PER_FLUSH]
    for release in releases[:MAX_PER_FLUSH]:
        delivery.record_sent(release, connection, NOW)
    assert delivery.evidence_found(connection, ViewerEvidence.SESSION) == releases[MAX_PER_FLUSH:]
    assert delivery.sendable_on(connection) == releases[MAX_PER_FLUSH:]


def test_resends_in_one_round_are_bounded() -> None:
    """Guards against a burst of resends that holds up everything else."""
    delivery = ReleaseDelivery[FakeConnection]()
    opened(delivery)
    for number in range(MAX_RESENDS_PER_ROUND + 1):
        sent_to(delivery, delivery.add(str(number), b"", None, NOW), NOW)
    now = NOW + CONFIRM_TIMEOUT_NS
    assert [len(delivery.take_overdue(now)) for _ in range(3)] == [MAX_RESENDS_PER_ROUND, 1, 0]


def test_owed_releases_are_bounded_in_number_and_time() -> None:
    """Past either limit the oldest release is given up, and the caller is told."""
    delivery = ReleaseDelivery[FakeConnection]()
    own = opened(delivery)
    excess = 2
    for number in range(MAX_OWED + excess):
        sent_to(delivery, delivery.add(str(number), b"", own, NOW), NOW)
    assert delivery.take_given_up(NOW + RELEASE_LIFETIME_NS) == excess
    assert len(delivery.owed) == MAX_OWED
    assert "1" not in delivery.owed
    assert "2" in delivery.owed
    assert delivery.take_given_up(NOW + RELEASE_LIFETIME_NS + 1) == MAX_OWED
    assert delivery.connection_closed(own) == []
