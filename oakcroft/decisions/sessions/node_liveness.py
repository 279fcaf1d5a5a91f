"""Liveness of a playout node, judged by its messages and by connects that check it.

A machine that vanishes or is cut off gives no sign: its connections stay open and silent, and connects to it never
come up. A node that lives may be silent as well, for example because it hangs, and connects to it may be slow. So
silence alone proves nothing, and neither does a connect that was given less time than a slow one takes.
"""

from __future__ import annotations

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

LATEST_CHECK_NS = RELEASE_LIMIT_NS - RELEASE_RESERVE_NS - CHECK_TIMEOUT_NS - CHECK_ROUND_NS
"""Silence after which checks must begin at the latest, so that the sessions of a lost node are released in time."""

SILENCE_WITHOUT_REPORTS_NS = 4 * SECOND
REPORT_TOLERANCE_NS = SECOND // 4
"""Lateness of reports beyond the configured delay that does not yet cause a check."""


class CheckResult(Enum):
    """How a check ended; the values are names of counters."""

    CONNECTED = "connected"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NO_DESCRIPTOR = "no descriptor"
    SUPERSEDED = "superseded"


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
    """Decides when a node is checked by a connect, and when it counts as lost. All times in ns.

    - Lost at once: two refused connects without a message since, unless an open connection was heard of recently.
    - Lost by silence: `CHECKS_UNTIL_LOST` checks that began in the present silence were unanswered. The first is
      made alone, so that a node that lives costs one connect; the others follow together in the next round.
    - A connect for a set-up has less time than a check, so one that is unanswered does not count.

    Drawback: a node whose machine lives, but takes no connect and sends nothing for over
    `silence_until_check + CHECK_TIMEOUT_NS`, counts as lost; the release limit leaves no more time.
    """

    def __init__(self, silence_until_check: int) -> None:
        """Starts with a node that was never heard of, and so is checked at once."""
        self.silence_until_check = silence_until_check
        self.last_activity_at = 0
        self.has_failed_connect = False
        self.open_checks = 0
        self.unanswered_checks = 0
        self.first_check_at = 0  # of the present silence; not after the last activity if there was none
        self.consecutive_refusals = 0

    def message_received(self, now: int) -> None:
        """Handles any data from the node, which proves that its process lives."""
        self.last_activity_at = now
        self.unanswered_checks = 0
        self.consecutive_refusals = 0

    def connected(self, now: int) -> None:
        """Handles a connect that has come up."""
        self.message_received(now)
        self.has_failed_connect = False

    def connect_failed(self, *, is_refused: bool) -> None:
        """Handles the failure of a connect, for a set-up or for a check, that is due to the node."""
        self.has_failed_connect = True
        self.consecutive_refusals = self.consecutive_refusals + 1 if is_refused else 0

    def check_started(self, now: int) -> None:
        """Registers a check, which ends with `check_ended`."""
        if self.first_check_at <= self.last_activity_at:
            self.first_check_at = now
        self.open_checks += 1

    def check_ended(self, started_at: int, result: CheckResult, now: int) -> None:
        """Handles the end of a check; an unanswered one counts if the node has been silent since it began."""
        self.open_checks -= 1
        if result is CheckResult.CONNECTED:
            self.connected(now)
        elif result in (CheckResult.REFUSED, CheckResult.UNANSWERED):
            self.connect_failed(is_refused=result is CheckResult.REFUSED)
        if result is CheckResult.UNANSWERED and started_at > self.last_activity_at:
            self.unanswered_checks += 1

    def loss_reported(self) -> None:
        """Starts anew after a loss was reported; sessions that come later need evidence of their own."""
        self.unanswered_checks = 0
        self.consecutive_refusals = 0

    @property
    def silence_before_check(self) -> int:
        """How long the node had been silent when the first check of this silence began; 0 if there was none."""
        return max(0, self.first_check_at - self.last_activity_at)

    def is_silent(self, now: int) -> bool:
        """Whether the node has been silent for so long that it has to be checked."""
        return now - self.last_activity_at > self.silence_until_check

    def checks_due(self, now: int) -> int:
        """Returns the number of checks to start now because of the node's silence."""
        if not self.is_silent(now):
            return 0
        if not self.open_checks and not self.unanswered_checks:
            return 1
        if now - self.first_check_at < FIRST_CHECK_LEAD_NS:
            return 0
        return max(0, CHECKS_UNTIL_LOST - self.open_checks - self.unanswered_checks)

    def is_lost(self, now: int, *, has_open_connection: bool) -> bool:
        """Whether the node's process or machine is gone, with all sessions there."""
        is_silent = self.is_silent(now)
        if self.consecutive_refusals >= REFUSALS_UNTIL_LOST:
            return is_silent or not has_open_connection
        was_given_time = now - self.first_check_at >= CHECK_TIMEOUT_NS  # connects may fail at once as well
        return is_silent and was_given_time and self.unanswered_checks >= CHECKS_UNTIL_LOST
