"""Liveness of a playout node, judged by what its process sends when it is asked.

A machine that vanishes or is cut off gives no sign: its connections stay open and silent, and connects to it never
come up. A process that hangs gives none either, while its kernel goes on taking connects. So a connect that comes up
proves nothing; what the process has sent does: messages, the answer to a test, or the end of its side of a connection
after this front end has ended its own. A node that lives may be silent as well, and answers slowly at times.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND

RELEASE_LIMIT_NS = 8 * SECOND
"""Time from the end of a session to its viewer's release, where the node could not send the end (PROTOCOL)."""

RELEASE_RESERVE_NS = 750 * MS
"""Part of the release limit that is kept for the event loop's lag and for sending the releases."""

CHECK_TIMEOUT_NS = 1250 * MS
"""Time for the connect of a check: one whose first packet is lost comes up after a second (RFC 6298, section 2)."""

FIRST_CHECK_LEAD_NS = 75 * MS
"""Time that the first check of a silence has alone; a node that lives answers it within a few milliseconds."""

CHECK_ROUND_NS = 200 * MS
"""Longest time from the first check of a silent node to the others, which follow if it has not come up."""

CHECKS_UNTIL_LOST = 4
"""Unanswered checks in one silence after which a node counts as lost; single connects may never come up."""

REFUSALS_UNTIL_LOST = 2
"""Refused connects in a row after which a node's process counts as gone."""

LOSS_SILENCE_NS = RELEASE_LIMIT_NS - RELEASE_RESERVE_NS
"""Silence after which a node counts as lost, however it is asked; no shorter one proves that it does not merely hang."""

ANSWER_TIMEOUT_NS = 600 * MS
"""Time that a node has at least for the answer to the first question of a silence, also after a pause of this process."""

CHECK_AFTER_TEST_NS = 500 * MS
"""Time for the answer to a test on an open connection, before connects check the node as well."""

RECHECK_INTERVAL_NS = SECOND
"""Time from a check that has come up to the next one, if the process is still silent."""

MAX_CONNECTED_CHECKS = 3
"""Checks that come up in one silence; more connections ask the process nothing new."""

LATEST_CHECK_NS = RELEASE_LIMIT_NS - RELEASE_RESERVE_NS - CHECK_TIMEOUT_NS - CHECK_ROUND_NS
"""Silence after which checks must begin at the latest, so that the sessions of a lost node are released in time."""

SILENCE_WITHOUT_REPORTS_NS = 4 * SECOND
LATEST_TEST_NS = 4 * SECOND
"""Silence after which a node is tested at the latest, so that one that hangs for 3 s from then on is not lost."""

REPORT_TOLERANCE_NS = SECOND // 4
"""Lateness of reports beyond the configured delay that does not yet cause a check."""


class CheckResult(Enum):
    """How a check ended; the values are names of counters."""

    CONNECTED = "connected"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NO_DESCRIPTOR = "no descriptor"
    SUPERSEDED = "superseded"


@dataclass(frozen=True)
class LivenessTimeouts:
    """Silences of a node in ns, each since its last sign of life."""

    until_check: int
    """A connect checks the node."""

    until_test: int | None = None
    """The node is tested on its open connections; None where tests are not permitted."""

    until_report_overdue: int | None = None
    """A report of the node is overdue; None where nodes send none, or too rarely."""


def liveness_timeouts(report_interval_ns: int, report_delay_ns: int, *, may_test: bool) -> LivenessTimeouts:
    """Returns the silences after which a node is asked, for the reports and permissions of a deployment."""
    until_check = silence_until_check_ns(report_interval_ns, report_delay_ns)
    until_test = None
    if may_test:
        until_test = min(until_check, LATEST_TEST_NS)
        until_check = max(until_check, until_test + CHECK_AFTER_TEST_NS)
    until_report_overdue = report_interval_ns + report_delay_ns + REPORT_TOLERANCE_NS
    is_report_due_in_time = report_interval_ns and until_report_overdue <= LOSS_SILENCE_NS - ANSWER_TIMEOUT_NS
    return LivenessTimeouts(until_check, until_test, until_report_overdue if is_report_due_in_time else None)


def silence_until_check_ns(report_interval_ns: int, report_delay_ns: int) -> int:
    """Returns the time without a message after which a connect checks whether a node is still there.

    Nodes report the link load of each playback at a fixed interval, so one that is silent for longer may be gone.
    Where nodes send no reports (`report_interval_ns` is 0), silence is normal.
    """
    if not report_interval_ns:
        return SILENCE_WITHOUT_REPORTS_NS
    expected_silence = 3 * report_interval_ns // 2 + report_delay_ns + REPORT_TOLERANCE_NS
    return min(expected_silence, LATEST_CHECK_NS)


class NodeLiveness:
    """Decides when a node is asked for a sign of life, and when it counts as lost. All times in ns.

    - Lost at once: two refused connects without a message since, unless an open connection was heard of recently.
    - Lost by silence: nothing of its process for `LOSS_SILENCE_NS`, although it was asked, or owed a report, at least
      `ANSWER_TIMEOUT_NS` ago. That holds for a machine that has vanished and for a process that hangs.
    - It is asked by a test on an open connection where that is permitted. A connect follows, alone at first, then up
      to `CHECKS_UNTIL_LOST` together if it does not come up; the pool asks further on the new connection.

    Drawback: a node that hangs for over `LOSS_SILENCE_NS`, less the time since its last message, counts as lost; the
    release limit leaves no more time.
    """

    def __init__(self, timeouts: LivenessTimeouts) -> None:
        """Starts with a node that was never heard of, and so is checked at once."""
        self.timeouts = timeouts
        self.last_activity_at = 0
        self.watched_since = 0
        self.has_failed_connect = False
        self.open_checks = 0
        self.unanswered_checks = 0
        self.connected_checks = 0
        self.last_connected_at = 0
        self.first_check_at = 0  # of the present silence; not after the last activity if there was none
        self.first_question_at = 0  # likewise
        self.consecutive_refusals = 0

    def watch_started(self, now: int) -> None:
        """Handles the first session at the node; silence before it proves nothing about that session."""
        self.watched_since = now

    def message_received(self, written_at: int) -> None:
        """Handles a sign of life of the process that it gave at `written_at` at the earliest."""
        self.last_activity_at = max(self.last_activity_at, written_at)
        self.unanswered_checks = 0
        self.connected_checks = 0
        self.consecutive_refusals = 0

    def connected(self) -> None:
        """Handles a connect that has come up, which shows that something listens, and no more."""
        self.has_failed_connect = False
        self.consecutive_refusals = 0

    def connect_failed(self, *, is_refused: bool) -> None:
        """Handles the failure of a connect, for a set-up or for a check, that is due to the node."""
        self.has_failed_connect = True
        self.consecutive_refusals = self.consecutive_refusals + 1 if is_refused else 0

    def question_sent(self, now: int) -> None:
        """Registers that the process was asked for a sign of life."""
        if self.first_question_at <= self.last_activity_at:
            self.first_question_at = now

    def check_started(self, now: int) -> None:
        """Registers a check, which ends with `check_ended`."""
        if self.first_check_at <= self.last_activity_at:
            self.first_check_at = now
        self.open_checks += 1

    def check_ended(self, started_at: int, result: CheckResult, now: int) -> None:
        """Handles the end of a check; one counts if the node has been silent since it began."""
        self.open_checks -= 1
        if result is CheckResult.CONNECTED:
            self.connected()
            self.last_connected_at = now
        elif result in (CheckResult.REFUSED, CheckResult.UNANSWERED):
            self.connect_failed(is_refused=result is CheckResult.REFUSED)
        if started_at <= self.last_activity_at:
            return
        if result is CheckResult.CONNECTED:
            self.connected_checks += 1
        if result is CheckResult.UNANSWERED:
            self.unanswered_checks += 1
        if result in (CheckResult.CONNECTED, CheckResult.UNANSWERED):
            self.question_sent(started_at)

    def loss_reported(self) -> None:
        """Starts anew after a loss was reported; sessions that come later need evidence of their own."""
        self.unanswered_checks = 0
        self.connected_checks = 0
        self.consecutive_refusals = 0

    @property
    def silence_before_check(self) -> int:
        """How long the node had been silent when the first check of this silence began; 0 if there was none."""
        return max(0, self.first_check_at - self.last_activity_at)

    def silent_for(self, now: int) -> int:
        """Returns how long the node has given no sign of life while sessions were there, ns."""
        return now - max(self.last_activity_at, self.watched_since)

    def unanswered_for(self, now: int) -> int:
        """Returns for how long the first question of the present silence has been unanswered, ns; 0 if there is none."""
        return now - self.first_question_at if self.first_question_at > self.last_activity_at else 0

    def is_silent(self, now: int) -> bool:
        """Whether the node has been silent for so long that it has to be checked."""
        return now - self.last_activity_at > self.timeouts.until_check

    def is_test_due(self, now: int) -> bool:
        """Whether the node has been silent for so long that it is to be tested."""
        until_test = self.timeouts.until_test
        return until_test is not None and now - self.last_activity_at > until_test

    def checks_due(self, now: int) -> int:
        """Returns the number of checks to start now because of the node's silence."""
        if not self.is_silent(now):
            return 0
        if self.connected_checks:
            is_due = now - self.last_connected_at >= RECHECK_INTERVAL_NS and not self.open_checks
            return int(is_due and self.connected_checks < MAX_CONNECTED_CHECKS)
        if not self.open_checks and not self.unanswered_checks:
            return 1
        if now - self.first_check_at < FIRST_CHECK_LEAD_NS:
            return 0
        return max(0, CHECKS_UNTIL_LOST - self.open_checks - self.unanswered_checks)

    def is_lost(self, now: int, *, has_open_connection: bool, connected_since: int = 0) -> bool:
        """Whether the node's process or machine is gone, or hangs, so that its sessions are to be released.

        `connected_since` is when the oldest open connection came up, if there is one, ns.
        """
        if self.consecutive_refusals >= REFUSALS_UNTIL_LOST:
            return self.is_silent(now) or not has_open_connection
        silent_since = max(self.last_activity_at, self.watched_since)
        if self.silent_for(now) < LOSS_SILENCE_NS:
            return False
        if (
            self.first_question_at > self.last_activity_at
            and now - self.first_question_at >= ANSWER_TIMEOUT_NS
        ):
            return True
        until_report_overdue = self.timeouts.until_report_overdue
        if until_report_overdue is None or not has_open_connection:
            return False
        return now - max(silent_since, connected_since) >= until_report_overdue + ANSWER_TIMEOUT_NS
