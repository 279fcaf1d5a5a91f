"""Takeover of sessions at an emulated node: which sessions it offers to a front end, and how they change their holder."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec
import trio

from oakcroft.decisions.fleet.session_ownership import Caller, TakeoverAnswer, check_takeover
from oakcroft.httpwire.message import Request, Response
from oakcroft.signalling import takeover_messages
from oakcroft.standins.node_state import KEY_RETENTION_SECONDS, NodeState, Session, caller_of

MAX_LISTING_BYTES = 200_000
"""Size of one page of sessions that may be taken over."""

SESSION_OVERHEAD_BYTES = 1_000
"""Upper bound on the size of a session in a page beside its answer and its context."""

MAX_TAKEN_OVER = 1_024
"""Sessions taken over from one front end that a node still reports to it."""

JSON = ("Content-Type", "application/json")


def answer_takeover(node: NodeState, request: Request) -> Response:
    """Answers a request to `SESSIONS_PATH`: a GET lists what may be taken over, a POST takes some of it."""
    return _take_over(node, request) if request.method == "POST" else _list_offers(node, request)


def _list_offers(node: NodeState, request: Request) -> Response:
    """Answers with one page of sessions that may be taken over from the named front ends, and their states so far."""
    caller = caller_of(request)
    holders = [unquote(name) for name in (request.query_parameter("of") or "").split(",") if name][
        : takeover_messages.MAX_FRONTS_PER_REQUEST
    ]
    after = int(request.query_parameter("after") or 0)
    states = dict.fromkeys(holders, TakeoverAnswer.ALLOWED.value)
    page: list[takeover_messages.OfferedSession] = []
    next_page = ""
    bytes_left = MAX_LISTING_BYTES
    last_number = 0
    for session in sorted(node.sessions.values(), key=lambda session: session.setup_number):
        if session.holder.member not in states or not session.takeover_context:
            continue
        answer = _check_takeover(node, session, caller)
        if answer is not TakeoverAnswer.ALLOWED:
            states[session.holder.member] = answer.value
            continue
        if session.setup_number <= after:
            continue
        bytes_left -= len(session.answer) + len(session.takeover_context) + SESSION_OVERHEAD_BYTES
        if len(page) == takeover_messages.MAX_SESSIONS_PER_PAGE or bytes_left < 0:
            next_page = str(last_number)
            break
        last_number = session.setup_number
        page.append(_offer(node, session))
    body = msgspec.json.encode(takeover_messages.SessionListing(states, page, next_page))
    return Response(200, [JSON, ("Cache-Control", "no-store")], body)


def _offer(node: NodeState, session: Session) -> takeover_messages.OfferedSession:
    path = f"/sessions/{session.id}"
    rung = node.machine.streams[session.id].rung
    tag = str(session.entity_tag)
    return takeover_messages.OfferedSession(
        path, session.key, session.holder.member, rung, tag, session.takeover_context, session.answer
    )


def _check_takeover(node: NodeState, session: Session, caller: Caller) -> TakeoverAnswer:
    subscription = node.subscriptions.get(caller.pseudonym)
    is_connected = subscription is not None and subscription.channel is not None
    return check_takeover(session.holder, caller, node.disconnected_for(session.front), is_connected)


def _take_over(node: NodeState, request: Request) -> Response:
    """Hands over to the caller all requested sessions that it may take over, without yielding to other tasks."""
    caller = caller_of(request)
    try:
        requested = takeover_messages.SELECTION_DECODER.decode(request.body).sessions
    except msgspec.MsgspecError:
        return Response(400)
    taken = []
    for path in requested:
        session = node.sessions.get(path.removeprefix("/sessions/"))
        if session is None:
            continue
        is_allowed = _check_takeover(node, session, caller) is TakeoverAnswer.ALLOWED
        if is_allowed or node.faults.skips_holder_check:
            _change_holder(node, session, path, caller)
            taken.append(path)
    return Response(200, [JSON], msgspec.json.encode(takeover_messages.SessionSelection(taken)))


def _change_holder(node: NodeState, session: Session, path: str, caller: Caller) -> None:
    previous_front = session.front
    taken_over = node.subscription_of(previous_front).taken_over
    taken_over.append((trio.current_time(), path))
    while len(taken_over) > MAX_TAKEN_OVER or taken_over[0][0] < trio.current_time() - KEY_RETENTION_SECONDS:
        taken_over.popleft()
    session.front = caller.pseudonym
    session.holder = caller
    node.recent_keys(caller.pseudonym).append((trio.current_time(), session.key))
    node.record.note(
        "passed",
        node=node.name,
        session=session.id,
        key=session.key,
        plan=session.plan,
        title=session.title,
        before=previous_front,
        front=caller.pseudonym,
        start=caller.generation,
    )
