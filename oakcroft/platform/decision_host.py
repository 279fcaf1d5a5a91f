"""The host of the decision module on the platform: queues the module's decisions and carries them out.

The module calls its host while it handles an event. Its decisions are queued and carried out after that call
has returned, so the module is never called from within one of its own calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from functools import partial

from oakcroft.choice import TRY_END_MARGIN_NS
from oakcroft.interface import Node, Playback, PlaybackState
from oakcroft.platform.node_pool import NodePool
from oakcroft.platform.playback_session import PlaybackSession
from oakcroft.platform.timers import TimerQueue
from oakcroft.platformwire import cause_codes, framing
from oakcroft.running.inbox import Event


class DecisionHost:
    """Implements the host's side of the decision module for the session coordinator."""

    def __init__(
        self,
        sessions: Mapping[Playback, PlaybackSession],
        pools: Mapping[str, NodePool],
        timers: TimerQueue,
        on_try_timeout: Callable[[PlaybackSession], None],
        on_final_answer: Callable[[PlaybackSession], None],
        on_timer: Event,
        log_mode: Callable[[str], None],
        paused_since: Callable[[int, int], int],
    ) -> None:
        """Creates a host with an empty queue; `sessions` and `pools` are live views.

        `on_try_timeout` gets the session of a try that has run out of time; `paused_since` tells for how much of the
        time between two times, in ns, this process was paused.
        """
        self.pending = deque[Event]()
        self.sessions = sessions
        self.pools = pools
        self.timers = timers
        self.on_try_timeout = on_try_timeout
        self.on_final_answer = on_final_answer
        self.on_timer = on_timer
        self.log_mode = log_mode
        self.paused_since = paused_since

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try to a node."""
        self.pending.append(partial(self._send_setup, self.sessions[playback], node, abandon_at))

    def _send_setup(self, session: PlaybackSession, node: Node, abandon_at: int) -> None:
        """Starts the try's timer and passes the set-up to the node's pool."""
        pool = self.pools[node.name]
        session.pool, session.abandon_at = pool, abandon_at
        self._start_try_timer(session, abandon_at)
        pool.send_setup(session)

    def _start_try_timer(self, session: PlaybackSession, due_at: int) -> None:
        """Starts the timer of a session's current try, in place of an earlier one."""
        self.timers.cancel(session.timer_id)
        session.timer_id = self.timers.schedule(
            due_at, partial(self._try_due, session, len(session.playback.tries))
        )

    def _try_due(self, session: PlaybackSession, try_count: int) -> None:
        """Ends a try that has run out of time, unless it has ended already.

        A pause of this process extends its time up to the viewer's own last moment: the node may have answered.
        """
        playback = session.playback
        if playback.state is not PlaybackState.SETTING_UP or len(playback.tries) != try_count:
            return
        now = self.timers.clock.now()
        paused_ns = self.paused_since(playback.tries[-1][1], now)
        extended = min(session.abandon_at + paused_ns, playback.abandon_at - TRY_END_MARGIN_NS)
        if paused_ns and extended > now:
            self._start_try_timer(session, extended)
        else:
            self.on_try_timeout(session)

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Answers that the playback is rejected, and that the viewer should not retry for a time."""
        self.pending.append(
            partial(self._send_final_answer, self.sessions[playback], cause_codes.REJECTED, retry_after_ns)
        )

    def abort(self, playback: Playback) -> None:
        """Answers that the playback is aborted."""
        self.pending.append(partial(self._send_final_answer, self.sessions[playback], cause_codes.FAILED, 0))

    def _send_final_answer(self, session: PlaybackSession, cause: int, retry_after_ns: int) -> None:
        """Sends the final answer to a set-up that does not become a playback."""
        if session.viewer is not None:
            session.viewer.write(framing.encode_release(session.id, cause, retry_after_ns))
        self.on_final_answer(session)

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Changes the rung of a playback."""
        if playback.state is PlaybackState.PLAYING:  # before that, the set-up itself carries the rung
            self.pending.append(partial(self._send_rung, self.sessions[playback], rung))

    def _send_rung(self, session: PlaybackSession, rung: int) -> None:
        """Tells the node the new rung, if the playback still plays."""
        if session.pool is not None and session.playback.state is PlaybackState.PLAYING:
            session.pool.send_message("level", session.id, {"rung": str(rung)})

    def set_timer(self, at: int) -> None:
        """Schedules a call of the decision module."""
        self.timers.schedule(at, self.on_timer)

    def subscribe_to_nodes(self) -> None:
        """Does nothing, since the command channel is always followed."""

    def log(self, message: str) -> None:
        """Logs a change of the decision module's mode."""
        self.log_mode(message)
