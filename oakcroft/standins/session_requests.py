"""Requests of front ends for a session that an emulated node runs: its end, ICE, and its rung."""

from __future__ import annotations

from dataclasses import replace

import orjson

from oakcroft.decisions.fleet.session_ownership import may_control
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.httpwire.message import Request, Response
from oakcroft.signalling import http_formats, sdp, takeover_messages
from oakcroft.standins.node_state import NodeState, Session, caller_of


def answer_session_request(node: NodeState, request: Request, front: str) -> Response:
    """Answers a request for one session, if it comes from the front end that holds it."""
    _, _, subpath = request.path.partition("/sessions/")
    session_id, _, resource = subpath.partition("/")
    session = node.sessions.get(session_id)
    if session is None:
        return Response(404)
    caller = caller_of(request)
    if not may_control(session.holder, caller) and not node.faults.skips_holder_check:
        node.record.note(
            "turned away", node=node.name, session=session_id, front=front, method=request.method
        )
        return _not_held_response()
    session.holder = replace(session.holder, generation=max(session.holder.generation, caller.generation))
    if request.method == "DELETE":
        node.end_session(session_id, "deleted", front)
        return Response(200)
    if request.method == "PATCH":
        return _answer_ice_fragment(request, session)
    if resource == "layer" and request.method == "POST":
        return _change_rung(node, request, session, front)
    return Response(405)


def _not_held_response() -> Response:
    problem = http_formats.problem_body(409, takeover_messages.NOT_HELD_PROBLEM, "another front has it")
    return Response(409, [("Content-Type", http_formats.PROBLEM_MEDIA_TYPE)], problem)


def _change_rung(node: NodeState, request: Request, session: Session, front: str) -> Response:
    rung = int(orjson.loads(request.body)["encodingId"])
    node.record.note("rung", node=node.name, front=front, plan=session.plan, session=session.id, rung=rung)
    stream = node.machine.streams[session.id]
    stream.rate = node.stream_rate(session.plan, session.title, rung)
    stream.rung = rung
    return Response(204)


def _answer_ice_fragment(request: Request, session: Session) -> Response:
    """Answers a trickle ICE fragment or an ICE restart (RFC 9725, section 4.3)."""
    fragment = sdp.parse_fragment(request.body.decode())
    if request.header("if-match") == "*":
        session.entity_tag += 1
        body = f"a=ice-ufrag:new{session.entity_tag:05d}\r\na=ice-pwd:{'C' * 24}\r\n".encode()
        headers = [("Content-Type", SDPFRAG_MEDIA_TYPE), ("ETag", f'"{session.entity_tag}"')]
        return Response(200, headers, body)
    if request.header("if-match") != f'"{session.entity_tag}"':
        return Response(412)
    return Response(204 if fragment.candidates or fragment.ended else 400)
