"""The handover of playbacks from before the start of this front end.

After a start, viewers hand over the playbacks that already play. Nodes report on them as soon as they are
connected, possibly before that.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from oakcroft.interface import SECOND
from oakcroft.running.inbox import Event

HANDOVER_WINDOW_NS = 15 * SECOND  # after the first health check; viewers hand over their playbacks by then
MAX_EARLY_SESSIONS = 4_096  # sessions with messages of nodes before their viewers hand them over
EARLY_MESSAGES_PER_SESSION = 4


class Handover:
    """The time window of the handover, and the messages on playbacks that are not handed over yet."""

    def __init__(self) -> None:
        """Starts before the first health check."""
        self.first_health_check_at = 0  # 0 before it
        self.early_messages: dict[str, deque[Event]] = {}  # by session id

    def is_over(self, now: int) -> bool:
        """Whether the time is over in which viewers hand over playbacks."""
        return bool(self.first_health_check_at) and now - self.first_health_check_at > HANDOVER_WINDOW_NS

    def keep_message(self, session_id: str, message: Event) -> None:
        """Keeps a message on a playback until its viewer hands it over.

        Without these messages the rung would be taken for the lowest and the node for nearly empty.
        """
        if len(self.early_messages) < MAX_EARLY_SESSIONS:
            kept = self.early_messages.setdefault(session_id, deque(maxlen=EARLY_MESSAGES_PER_SESSION))
            kept.append(message)

    def take_messages(self, session_id: str) -> Iterable[Event]:
        """Returns the messages that were kept on a playback, the oldest first, and drops them."""
        return self.early_messages.pop(session_id, ())

    def drop_messages_when_over(self, now: int) -> None:
        """Drops all kept messages once the handover is over."""
        if self.early_messages and self.is_over(now):
            self.early_messages.clear()
