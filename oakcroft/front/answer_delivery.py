"""Gives requests their final answers, each one once, and handles answers that did not reach their viewers."""

from __future__ import annotations

from functools import partial

import structlog
import trio

from oakcroft.decisions.moving.handover import MoveEvent
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.front.move_executor import MoveExecutor
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.front.protocols import Coordinator
from oakcroft.interface import MS, PlaybackState

# A session whose answer was not delivered is kept for this long, in which its viewer may ask again.
UNDELIVERED_ANSWER_SECONDS = 10.0


class AnswerDelivery:
    """The final answers of one front end; all but its coroutines runs in the event task."""

    def __init__(
        self,
        coordinator: Coordinator,
        move_executor: MoveExecutor,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the delivery; `coordinator` has the sessions and the counts of answers."""
        self.coordinator = coordinator
        self.move_executor = move_executor
        self.log = log

    def finish_request(
        self, session: PlaybackSession, final_answer: FinalAnswer, reply: answers.Reply | None
    ) -> None:
        """Gives a request its final answer, or passes the result to the move that the session is part of."""
        if session.copy_of is not None:
            if (move := self.move_executor.move_of(session)) is not None:
                self.move_executor.handle(move, MoveEvent.TARGET_FAILED)
            return
        if (
            final_answer is FinalAnswer.PLAYS
            and self.coordinator.durable_state is not None
            and self.coordinator.durable_state.must_record_answer(session)
        ):
            self.coordinator.nursery.start_soon(self._answer_when_recorded, session)
            return
        self._give_answer(session, final_answer, reply)

    async def _answer_when_recorded(self, session: PlaybackSession) -> None:
        """Answers that a session plays, once that is stored or could not be stored in time."""
        assert self.coordinator.durable_state is not None
        if not await self.coordinator.durable_state.record_playing(session):
            self.log.warning("answer not on record", playback=session.id, plan=session.plan.name)
        await self.coordinator.submit(partial(self._answer_recorded, session))

    def _answer_recorded(self, session: PlaybackSession) -> None:
        """Gives the answer of a session whose promise has been stored, if it still plays."""
        if session.playback.state is PlaybackState.PLAYING and not session.is_ending:
            self._give_answer(session, FinalAnswer.PLAYS, None)
        elif session.final_answer is None:  # it was lost, or its viewer left, while it was being stored
            self.abort_unanswered(session)

    def _give_answer(
        self, session: PlaybackSession, final_answer: FinalAnswer, reply: answers.Reply | None
    ) -> None:
        """Gives a request its final answer, unless it has one."""
        if not session.set_answer(final_answer, reply):
            return
        self.coordinator.answer_counts[final_answer] += 1
        if final_answer is FinalAnswer.PLAYS:
            self.coordinator.playing_count += 1
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.answer_given(session, final_answer)
        self.coordinator.idempotency_store.record_answer(
            session.key, final_answer, session, self.coordinator.clock.now()
        )
        if self.coordinator.on_answer is not None:
            self.coordinator.on_answer(
                final_answer is FinalAnswer.REJECTED,
                session.plan,
                self.coordinator.clock.now() - session.deadline.written_at,
            )
        elapsed_ms = (self.coordinator.clock.now() - session.deadline.written_at) // MS
        node = session.upstream.node if session.upstream else None
        self.log.info(
            "answer",
            playback=session.id,
            plan=session.plan.name,
            final=final_answer.value,
            ms=elapsed_ms,
            tries=len(session.playback.tries),
            node=node,
            rung=session.playback.rung,
        )

    def abort_unanswered(self, session: PlaybackSession) -> None:
        """Answers a set-up that may have run, or has, and whose viewer did not wait for its answer."""
        session.set_answer(FinalAnswer.ABORTED, answers.aborted_reply(session.plan.plan.effect))
        self.coordinator.idempotency_store.record_answer(
            session.key, FinalAnswer.ABORTED, session, self.coordinator.clock.now()
        )
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.answer_given(session, FinalAnswer.ABORTED)

    def handle_undelivered(self, session: PlaybackSession) -> None:
        """Handles an answer that could not be written because the viewer's connection broke.

        Nobody then knows the session's name. A viewer that chose its idempotency key may ask again and gets
        the same answer; it has `UNDELIVERED_ANSWER_SECONDS` for that, since a paid playback would not be set
        up a second time. The cost: the playback of a viewer that does not come back holds its place for that
        long.
        """
        if not session.has_client_key:
            self.coordinator.submit_later(partial(self.coordinator.end_session, session))
        elif not session.answer_undelivered:
            session.answer_undelivered = True
            self.coordinator.nursery.start_soon(self._end_if_undelivered, session)

    async def _end_if_undelivered(self, session: PlaybackSession) -> None:
        """Ends a session whose undelivered answer was not asked for again in time."""
        await trio.sleep(UNDELIVERED_ANSWER_SECONDS)
        if session.answer_undelivered:
            await self.coordinator.submit(partial(self.coordinator.end_session, session))
