"""Sessions that outlive their front: what a node offers to those that would take over, and how it hands it on."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec
import trio

from oakcroft.decisions.fleet.session_ownership import Caller, TakeoverAnswer, check_takeover
from oakcroft.httpwire.message import Request, Response
from oakcroft.signalling import handing
from oakcroft.standins.node_state import KEY_RETENTION_SECONDS, NodeState, Session, caller_of

MAX_LISTING_BYTES = 200_000
"""Of one answer to a front that would take over."""

SESSION_OVERHEAD_BYTES = 1_000
"""What a session takes in a listing beside its answer and its memo, at most."""

MAX_TAKEN_OVER = 1_024
"""Sessions of one front of which a node still tells it that others took them over."""

JSON = ("Content-Type", "application/json")


def answer_takeover(node: NodeState, request: Request) -> Response:
    """Answers a request to `handing.PATH`: a GET lists what may be taken over, a POST takes some of it."""
    return _take(node, request) if request.method == "POST" else _offer(node, request)


def _offer(node: NodeState, request: Request) -> Response:
    """One page of what may be taken over of the fronts that are named, and how each of them stands as far as it goes."""
    caller = caller_of(request)
    asked = [unquote(name) for name in (request.query("of") or "").split(",") if name][: handing.MOST_OF]
    after = int(request.query("after") or 0)
    states = dict.fromkeys(asked, TakeoverAnswer.ALLOWED.value)
    page, going_on, room, last = list[handing.Offered](), "", MAX_LISTING_BYTES, 0
    for session in sorted(node.sessions.values(), key=lambda session: session.setup_number):
        if session.holder.member not in states or not session.memo:
            continue
        word = _may_take(node, session, caller)
        if word is not TakeoverAnswer.ALLOWED:
            states[session.holder.member] = word.value
            continue
        if session.setup_number <= after:
            continue
        room -= len(session.answer) + len(session.memo) + SESSION_OVERHEAD_BYTES
        if len(page) == handing.MOST_PAGE or room < 0:
            going_on = str(last)
            break
        last = session.setup_number
        page.append(_offered(node, session))
    body = msgspec.json.encode(handing.Listing(states, page, going_on))
    return Response(200, [JSON, ("Cache-Control", "no-store")], body)


def _offered(node: NodeState, session: Session) -> handing.Offered:
    rung, path = node.machine.streams[session.id].rung, f"/sessions/{session.id}"
    tag, holder = str(session.entity_tag), session.holder.member
    return handing.Offered(path, session.key, holder, rung, tag, session.memo, session.answer)


def _may_take(node: NodeState, session: Session, caller: Caller) -> TakeoverAnswer:
    ear = node.subscriptions.get(caller.pseudonym)
    listens = ear is not None and ear.channel is not None
    return check_takeover(session.holder, caller, node.disconnected_for(session.front), listens)


def _take(node: NodeState, request: Request) -> Response:
    """Hands sessions over to a front; all that may be, in one step of this node."""
    caller = caller_of(request)
    try:
        wanted = handing.TAKING.decode(request.body).sessions
    except msgspec.MsgspecError:
        return Response(400)
    given = []
    for path in wanted:
        session = node.sessions.get(path.removeprefix("/sessions/"))
        if session is None:
            continue
        if node.faults.skips_holder_check or _may_take(node, session, caller) is TakeoverAnswer.ALLOWED:
            _pass_on(node, session, path, caller)
            given.append(path)
    return Response(200, [JSON], msgspec.json.encode(handing.Taking(given)))


def _pass_on(node: NodeState, session: Session, path: str, caller: Caller) -> None:
    before = session.front
    passed = node.subscription_of(before).taken_over
    passed.append((trio.current_time(), path))
    while len(passed) > MAX_TAKEN_OVER or passed[0][0] < trio.current_time() - KEY_RETENTION_SECONDS:
        passed.popleft()
    session.front, session.holder = caller.pseudonym, caller
    node.recent_keys(caller.pseudonym).append((trio.current_time(), session.key))
    node.record.note("passed", node=node.name, session=session.id, key=session.key, plan=session.plan,
                     title=session.title, before=before, front=caller.pseudonym, start=caller.generation)  # fmt: skip
