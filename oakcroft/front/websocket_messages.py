"""Messages to clients of the session API, made from the results of the session service.

Each function takes the number of the message last, since a message gets its number when it is queued.
"""

from __future__ import annotations

from collections.abc import Callable

from oakcroft.decisions.sessions.answers import Reply
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.signalling import session_api as api

MessageFactory = Callable[[int], object]
"""Makes a message from its number."""


def playing_answer(
    call_id: int, session: PlaybackSession, is_replay: bool, message_number: int
) -> api.Answer:
    """Answer to a request whose playback plays."""
    assert session.upstream is not None
    assert session.resource is not None
    return api.Answer(
        message_number,
        call_id,
        201,
        playback=session.id,
        answer=session.upstream.sdp_answer,
        tag=session.resource.etag,
        again=is_replay,
    )


def reply_answer(call_id: int, reply: Reply, message_number: int) -> api.Answer:
    """Answer to a request that was rejected or aborted."""
    return api.Answer(
        message_number,
        call_id,
        reply.status,
        reply.problem_type,
        reply.title,
        reply.may_retry,
        reply.retry_after_s,
    )


def error_answer(call_id: int, status: int, problem_type: str, title: str, message_number: int) -> api.Answer:
    """Answer to a request that is wrong itself, or over a limit of its client."""
    return api.Answer(message_number, call_id, status, problem_type, title)


def event_message(playback_id: str, kind: str, data: dict[str, str], message_number: int) -> api.Event:
    """Event of a playback."""
    return api.Event(message_number, playback_id, kind, data)


def done_message(
    call_id: int,
    status: int,
    problem_type: str,
    title: str,
    message_number: int,
    etag: str = "",
    fragment: str = "",
) -> api.Done:
    """Response to a call other than a request for a playback."""
    return api.Done(message_number, call_id, status, problem_type, title, etag, fragment)


def moved_message(call_id: int, playback_id: str, answer: str, etag: str, message_number: int) -> api.MovedTo:
    """The target node's answer to the offer of a player that is being moved."""
    return api.MovedTo(message_number, call_id, playback_id, answer, etag)
