"""Sessions that outlive their front: what a node offers to those that would take over, and how it hands it on."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec
import trio

from oakcroft.decisions.fleet.session_ownership import Caller, TakeoverAnswer, check_takeover
from oakcroft.httpwire.message import Request, Response
from oakcroft.signalling import takeover_messages
from oakcroft.standins.node_state import KEYS_KEPT_SECONDS, NodeState, Session, caller_of

MOST_LISTING_OCTETS = 200_000
"""Of one answer to a front that would take over."""

SESSION_OVERHEAD_OCTETS = 1_000
"""What a session takes in a listing beside its answer and its memo, at most."""

MOST_PASSED = 1_024
"""Sessions of one front of which a node still tells it that others took them over."""

JSON = ("Content-Type", "application/json")


def answer_takeover(node: NodeState, request: Request) -> Response:
    """Answers a request to `SESSIONS_PATH`: a GET lists what may be taken over, a POST takes some of it."""
    return _take(node, request) if request.method == "POST" else _offer(node, request)


def _offer(node: NodeState, request: Request) -> Response:
    """One page of what may be taken over of the fronts that are named, and how each of them stands as far as it goes."""
    caller = caller_of(request)
    asked = [unquote(name) for name in (request.query_parameter("of") or "").split(",") if name][
        : takeover_messages.MAX_FRONTS_PER_REQUEST
    ]
    after = int(request.query_parameter("after") or 0)
    states = dict.fromkeys(asked, TakeoverAnswer.ALLOWED.value)
    page, going_on, room, last = list[takeover_messages.OfferedSession](), "", MOST_LISTING_OCTETS, 0
    for session in sorted(node.sessions.values(), key=lambda session: session.number):
        if session.holder.member not in states or not session.memo:
            continue
        word = _may_take(node, session, caller)
        if word is not TakeoverAnswer.ALLOWED:
            states[session.holder.member] = word.value
            continue
        if session.number <= after:
            continue
        room -= len(session.answer) + len(session.memo) + SESSION_OVERHEAD_OCTETS
        if len(page) == takeover_messages.MAX_SESSIONS_PER_PAGE or room < 0:
            going_on = str(last)
            break
        last = session.number
        page.append(_offered(node, session))
    body = msgspec.json.encode(takeover_messages.SessionListing(states, page, going_on))
    return Response(200, [JSON, ("Cache-Control", "no-store")], body)


def _offered(node: NodeState, session: Session) -> takeover_messages.OfferedSession:
    rung, path = node.machine.streams[session.id].rung, f"/sessions/{session.id}"
    tag, holder = str(session.tag), session.holder.member
    return takeover_messages.OfferedSession(
        path, session.key, holder, rung, tag, session.memo, session.answer
    )


def _may_take(node: NodeState, session: Session, caller: Caller) -> TakeoverAnswer:
    ear = node.ears.get(caller.pseudonym)
    listens = ear is not None and ear.send is not None
    return check_takeover(session.holder, caller, node.away(session.front), listens)


def _take(node: NodeState, request: Request) -> Response:
    """Hands sessions over to a front; all that may be, in one step of this node."""
    caller = caller_of(request)
    try:
        wanted = takeover_messages.SELECTION_DECODER.decode(request.body).sessions
    except msgspec.MsgspecError:
        return Response(400)
    given = []
    for path in wanted:
        session = node.sessions.get(path.removeprefix("/sessions/"))
        if session is None:
            continue
        if node.ails.trusts_all or _may_take(node, session, caller) is TakeoverAnswer.ALLOWED:
            _pass_on(node, session, path, caller)
            given.append(path)
    return Response(200, [JSON], msgspec.json.encode(takeover_messages.SessionSelection(given)))


def _pass_on(node: NodeState, session: Session, path: str, caller: Caller) -> None:
    before = session.front
    passed = node.ear_of(before).passed
    passed.append((trio.current_time(), path))
    while len(passed) > MOST_PASSED or passed[0][0] < trio.current_time() - KEYS_KEPT_SECONDS:
        passed.popleft()
    session.front, session.holder = caller.pseudonym, caller
    node.keys_ran(caller.pseudonym).append((trio.current_time(), session.key))
    node.record.note("passed", node=node.name, session=session.id, key=session.key, plan=session.plan,
                     title=session.title, before=before, front=caller.pseudonym, start=caller.generation)  # fmt: skip
