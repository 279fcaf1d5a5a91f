"""Unusual but legal input and faults that show only after months: each is handled as defined and affects no others."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random

import orjson
import pytest
import trio
import trio.testing
from oakcroft.client.retry import Retries
from oakcroft.client.session import SessionClient
from oakcroft.decisions.fleet.backoff import EVENTS, LIST, Again
from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.sessions.node_sessions import Claims
from oakcroft.decisions.sessions.session_resource import SDPFRAG
from oakcroft.decisions.routing.catalogue import Verdict as Taken
from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.promise import Mark
from oakcroft.store.file import Expire, StateFile
from oakcroft.decisions.sessions.setup_outcome import Trail, outcome
from oakcroft.decisions.sessions.event_stream_health import Life
from oakcroft.decisions.sessions.idempotency import Repeats, Turn
from oakcroft.decisions.fleet.node_list import Line, Refused, Roster
from oakcroft.front import node_list_client
from oakcroft.front.session_service import MOST_READERS
from oakcroft.front.node_client import NodeLeg
from oakcroft.front.playback_session import Upstream
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp
from oakcroft.signalling import session_api as api
from oakcroft.standins.playout import PlayoutNode, reset

from rig import Rig, remembers, run, standing, start_front, until
from test_sessions import Raw, parts, raw


# Faults that last for months.


def test_an_errand_that_fails_for_months_keeps_its_longest_wait() -> None:
    for rhythm in (LIST, EVENTS):
        again, now, wait = Again(rhythm, Random(1), 0), 0, None
        for _ in range(3_000):
            wait = again.failed(now)
            assert wait is not None
            assert wait <= rhythm.longest
            now += SECOND
        assert wait
        assert wait >= rhythm.longest // 2


def test_a_client_goes_on_trying_a_front_that_is_away_for_long() -> None:
    tried = [0]

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            client = SessionClient("http://127.0.0.1:1", "", api.JSON, nursery, Retries(Random(1)))

            async def refused() -> None:
                tried[0] += 1
                if tried[0] > 1_100:
                    nursery.cancel_scope.cancel()
                raise OSError("connection refused")

            client._connect = refused  # type: ignore[method-assign]
            nursery.start_soon(client._run)

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    assert tried[0] > 1_100


# Input of one client or one node over sockets: the front end keeps serving all others.

UPGRADE = (
    "GET /api/v1 HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nSec-WebSocket-Protocol: oakcroft.v1.json\r\n"
)


async def said(rig: Rig, data: bytes) -> bytes:
    """The first bytes of the answer to `request_bytes` on a new connection."""
    stream = await trio.open_tcp_stream("127.0.0.1", rig.port)
    async with stream:
        await stream.send_all(data)
        return bytes(await stream.receive_some(65_536))


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ("Connection: Upgrade\r\n", 426),
        ("Connection: Upgrade\r\nSec-WebSocket-Key: x\r\nSec-WebSocket-Version: 12\r\n", 426),
        ("Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n", 400),
        ("Sec-WebSocket-Key: x\r\nSec-WebSocket-Version: 13\r\n", 400),
    ],
)
def test_a_handshake_that_is_none_gets_its_answer_and_ends_nothing(
    tmp_path: Path, fields: str, status: int
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            assert (await said(rig, f"{UPGRADE}{fields}\r\n".encode())).startswith(b"HTTP/1.1 %d" % status)
            assert (await rig.watch()).status == 201

    run(test)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/whep/open/\u00e9", "k", 404),
        ("/whep/open/t?encodingId=2&x=", "k", 404),
        ("/whep/open/a b", "k", 404),
        ("/whep/open/t", "\u00e9", 400),
        ("/whep/open/t", "a\r\nVia: b", 400),
        ("/whep/open/t", "k" * 256, 400),
        ("/whep/open/%C3%A9", "a key", 201),
    ],
)
def test_what_no_http_request_can_say_is_refused_over_the_session_api_too(
    tmp_path: Path, path: str, key: str, status: int
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            async with raw(rig, api.Hello()) as one:
                await one.hear()
                await one.say(api.Ask(1, path, offer(20_000, 1), key))
                answer = await one.hear()
                assert isinstance(answer, api.Answer)
                assert answer.status == status
            assert (await rig.watch()).status == 201

    run(test)


def test_a_number_that_only_one_subprotocol_can_say_is_no_message() -> None:
    for number in (2**53, -(2**53), 10**400):
        with pytest.raises(ValueError, match="int"):
            api.Codec(api.JSON).read(b'{"type":"end","playback":"p","id":%d}' % number)


@pytest.mark.parametrize(
    ("field", "value", "status"),
    [
        ("Location", "http://127.0.0.1:99999/s", 504),
        ("Location", "//[", 504),
        ("Location", "/sessions/\u00e9", 504),
        ("Link", '<//[>; rel="urn:ietf:params:whep:ext:core:layer"', 201),
        ("ETag", '"\u00e9"', 201),
    ],
)
def test_a_nodes_odd_answer_costs_only_its_own_set_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, field: str, value: str, status: int
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            answered, odd = PlayoutNode.set_up, [True]

            async def oddly(node: PlayoutNode, request: Request, front: str) -> Response:
                response = await answered(node, request, front)
                if odd and response.status == 201:
                    odd.clear()
                    response.headers = [(n, value if n == field else v) for n, v in response.headers]
                return response

            monkeypatch.setattr(PlayoutNode, "set_up", oddly)
            first = await rig.watch("/whep/course/t")
            assert first.status == status
            if status == 201:
                gone = await rig.ask("DELETE", first.header("location") or "")
                assert gone.status == 200
            assert (await rig.watch("/whep/course/t")).status == 201

    run(test)


@pytest.mark.parametrize(
    "wrong",
    [{"started_at_ms": 1e305}, {"drains_until_ms": -1e305}, {"address": "a..b"}, {"address": "\u00e9" * 80}],
)
def test_a_list_with_an_impossible_time_or_address_is_refused_whole(wrong: dict[str, object]) -> None:
    particulars = {"name": "n", "cell": 0, "link_kb": 1.0, "places": 1.0} | wrong
    place = {"address": particulars.pop("address", "127.0.0.1"), "port_value": 1}
    line = {
        "endpoint": {"address": {"socket_address": place}},
        "metadata": {"filter_metadata": {"oakcroft": particulars}},
    }
    resources = [{"cluster_name": "c", "endpoints": [{"lb_endpoints": [line]}]}]
    body = orjson.dumps({"version_info": "1", "resources": resources})
    try:
        lines, version, service = node_list_client.parse(body)
    except node_list_client.BadList:
        return
    assert isinstance(Roster().take(lines, version, service, 0), Refused)


# Repeated idempotency keys, in each state of their request.


def test_the_end_of_an_earlier_playback_ends_nothing_of_a_later_one_under_its_key() -> None:
    repeats, first, later = Repeats(10, 60 * SECOND), object(), object()
    repeats.begin("k", "a", False, 0)
    repeats.settled("k", Final.ABORTED, first, 1)  # its abandon time was reached; its set-up succeeds later
    repeats.begin("k", "a", False, 2)
    repeats.settled("k", Final.PLAYS, later, 3)
    repeats.ended("k", first, 4)
    assert repeats.turn("k", "a", 5) == (Turn.AGAIN, None, later)


def test_a_full_memory_of_keys_begins_no_paid_request_that_it_could_not_know_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            rig.helm().repeats.most = 1
            assert (await rig.watch("/whep/course/t")).status == 201
            assert (await rig.watch("/whep/open/t")).status == 201
            assert (await rig.watch("/whep/course/u")).status == 503
            assert len(rig.facts("setup")) == 2

    run(test)
    repeats = Repeats(1, 60 * SECOND)
    repeats.begin("paid", "", True, 0)
    repeats.settled("paid", Final.ABORTED, None, 1)
    assert not repeats.begin("other", "", False, 2)
    assert repeats.turn("paid", "", 3)[0] is Turn.AGAIN


def test_a_paid_key_is_answered_the_same_after_its_playback_has_ended(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, state=True) as rig:
            await remembers(rig)
            first = await rig.viewer("k", "/whep/course/t")
            assert first is not None
            here = first.header("location") or ""
            assert (await rig.ask("DELETE", here)).status == 200
            await until(lambda: not rig.helm().viewings)
            again = await rig.watch("/whep/course/t", Idempotency_Key='"k"')
            assert (again.status, again.header("location"), again.body) == (201, here, first.body)
            assert (await rig.ask("DELETE", here)).status == 404
            rig.stop.set()
            await rig.ended.wait()
            async with trio.open_nursery() as nursery:
                await start_front(nursery, rig, state=True)
                await remembers(rig)
                later = await rig.watch("/whep/course/t", Idempotency_Key='"k"')
                assert (later.status, orjson.loads(later.body)["retry"]) == (504, False)
                nursery.cancel_scope.cancel()
            assert len(rig.facts("ran")) == 1
            rig.judged()

    run(test)


def test_a_free_key_waits_for_the_end_of_the_set_up_that_its_viewer_left(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.ails.hung = True
            async with trio.open_nursery() as nursery:
                await nursery.start(rig.viewer, "k")
                await until(lambda: rig.facts("setup"))
                nursery.cancel_scope.cancel()
            again = await rig.watch(Idempotency_Key='"k"')
            assert again.status == 409
            for node in rig.fleet.nodes.values():
                node.ails.hung = False
                node.stir()
            await until(lambda: not rig.helm().viewings)
            assert (await rig.watch(Idempotency_Key='"k"')).status == 201
            rig.judged()

    run(test)


@pytest.mark.parametrize("plan", ["course", "open"])
def test_an_answer_cut_on_its_way_is_given_to_the_key_that_comes_again_or_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, plan: str
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            helm, path = rig.helm(), f"/whep/{plan}/t"
            first = await rig.watch(path, Idempotency_Key='"k"')
            v = helm.sessions[(first.header("location") or "").rpartition("/")[2]]
            helm.unsent(v)  # as if the connection was lost while the answer was written
            assert (await rig.watch(path, Idempotency_Key='"k"')).header("location") == first.header(
                "location"
            )
            assert not v.unheard
            monkeypatch.setattr("oakcroft.front.session_coordinator.UNHEARD", 0.05)
            helm.unsent(v)
            await until(lambda: not helm.viewings)
            assert len(rig.facts("ran")) == 1
            rig.judged()

    run(test)


def test_nothing_is_set_up_for_a_viewer_that_left_before_the_module_was_asked(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            helm = rig.helm()
            offered, waits = helm.offer, list[Callable[[], None]]()
            helm.offer = lambda event: not waits.append(event)  # type: ignore[method-assign,func-returns-value]
            async with trio.open_nursery() as nursery:
                await nursery.start(rig.viewer, "k", "/whep/course/t")
                await until(lambda: waits)
                nursery.cancel_scope.cancel()
            await until(lambda: len(waits) > 1)
            helm.offer = offered  # type: ignore[method-assign]
            for event in waits:
                await helm.tell(event)
            assert (await rig.watch("/whep/course/t", Idempotency_Key='"k"')).status == 201
            assert len(rig.facts("setup")) == 1
            rig.judged()

    run(test)


async def plays(one: Raw, key: str, id_: int = 1, path: str = "/whep/open/t") -> api.Answer:
    """Requests a playback over the session API and returns the answer."""
    await one.say(api.Ask(id_, path, offer(20_000, 1), key))
    while not isinstance(answer := await one.hear(), api.Answer):
        pass
    return answer


def test_a_playback_belongs_to_the_seat_that_asked_for_it_last(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig, AsyncExitStack() as stack:
            _, seats = parts(rig)
            first = None
            # Each a new client session, as of a client without its resume token.
            for _ in range(MOST_READERS + 2):
                one = await stack.enter_async_context(raw(rig, api.Hello()))
                await one.hear()
                answer = await plays(one, "k")
                assert answer.status == 201
                first = first or answer.playback
                assert answer.playback == first
            *earlier, last = seats.holders.values()
            assert [len(h.playbacks) + len(h.readers) + len(h.tops) for h in earlier] == [0] * (
                MOST_READERS + 1
            )
            assert [h.client.playbacks for h in seats.holders.values()] == [0] * (MOST_READERS + 1) + [1]
            for holder in earlier:
                await seats.end(holder)
            again = await plays(one, "k", 2)
            assert (again.playback, again.answer, again.again) == (first, answer.answer, True)
            await one.say(api.End(first or "", 3))
            await until(lambda: not rig.helm().viewings)
            assert [len(last.playbacks), len(last.readers), len(last.tops), last.client.playbacks] == [0] * 4
            rig.judged()

    run(test)


def test_a_playback_that_ended_under_its_answer_leaves_its_seat(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig, raw(rig, api.Hello()) as one:
            _, seats = parts(rig)
            await one.hear()
            # The node's report of the end arrived first.
            monkeypatch.setattr(Claims, "claim", lambda *_: False)
            answer = await plays(one, "k")
            assert answer.status == 201
            event = await one.hear()
            assert isinstance(event, api.Event)
            assert (event.playback, event.kind) == (answer.playback, "inactive")
            (holder,) = seats.holders.values()
            await until(
                lambda: not (holder.playbacks or holder.readers or holder.tops or holder.client.playbacks)
            )

    run(test)


def test_a_repeat_of_an_answered_request_is_let_in_at_every_door(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig, raw(rig, api.Hello()) as one:
            core = rig.front.core if rig.front else None
            assert core is not None
            await one.hear()
            over_seat = await plays(one, "seat")
            paid = await rig.watch("/whep/course/t", Idempotency_Key='"paid"')
            core.sheds = lambda path: True  # type: ignore[method-assign]
            for holder in parts(rig)[1].holders.values():
                holder.client.asks = holder.client.allowance.asks
            core.helm.site.table.plans.clear()
            assert (await rig.watch()).status == 503
            assert (await plays(one, "other", 2)).status == 429
            assert (await plays(one, "seat", 3)).playback == over_seat.playback
            again = await rig.watch("/whep/course/t", Idempotency_Key='"paid"')
            assert (again.status, again.header("location")) == (201, paid.header("location"))

    run(test)


LATE_CALLS = [
    ("PATCH", ""),
    ("DELETE", ""),
    ("POST", "/layer"),
    ("GET", "/events"),
    ("POST", "/move"),
    ("POST", "/move/done"),
]


@pytest.mark.parametrize("ended", ["ending", "ended"])
def test_every_call_on_a_session_that_has_ended_gets_404(tmp_path: Path, ended: str) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig, raw(rig, api.Hello()) as one:
            await one.hear()
            seat = await plays(one, "k")
            here = (await rig.watch()).header("location") or ""
            for node in rig.playing():
                node.ails.silent = ended == "ending"  # the end of the session at the node is not answered yet
            for name in (here, f"/session/{seat.playback}"):
                assert (await rig.ask("DELETE", name)).status == 200
            if ended == "ended":
                await until(lambda: not rig.helm().viewings)
            for method, part in LATE_CALLS:
                body = offer(20_000, 1).encode() if part == "/move" else b'{"encodingId": "0"}'
                kind = {"": SDPFRAG, "/move": sdp.MEDIA_TYPE}.get(part, "application/json")
                late = await rig.ask(method, here + part, body, Content_Type=kind, If_Match="*")
                assert late.status == 404, (method, part)
            for n, call in enumerate([api.Layer(seat.playback, 0, 7), api.Pause(seat.playback, 8),
                                      api.MoveDone(seat.playback, 9), api.End(seat.playback, 10)]):  # fmt: skip
                await one.say(call)
                while not isinstance(done := await one.hear(), api.Done):
                    pass
                assert (done.id, done.status) == (7 + n, 200 if done.id == 10 and ended == "ending" else 404)
            for node in rig.fleet.nodes.values():
                node.ails.silent = False
                node.stir()
            await until(lambda: not rig.helm().viewings)

    run(test)


# Nodes that are added and removed.


async def relisted(rig: Rig, *lines: Line) -> None:
    """Applies a new node list: these nodes, and those of the current list that they do not replace."""
    helm = rig.helm()
    kept = {x.name: x for x in helm.roster.lines.values()} | {x.name: x for x in lines}
    assert await helm.listed(list(kept.values()), helm.roster.version + 100, helm.roster.service)


def test_nodes_that_come_and_go_leave_no_leg_no_task_and_no_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            helm = rig.helm()
            monkeypatch.setattr(Roster, "WITHHELD", -1)
            n1 = helm.roster.lines["n1"]
            before = len(helm.nursery.child_tasks)
            for n in range(20):  # a replaced machine has a new name, a moved one a new address
                line = replace(n1, name=f"n{n + 10}", port=1 + n, address="127.0.0.1")
                await relisted(rig, line)
                leg = helm.legs[line.name]
                helm.follow_events(leg, "/events/x")
                await relisted(rig, replace(line, port=101 + n))
                helm.follow_events(helm.legs[line.name], "/events/x")
                del helm.roster.lines[line.name]
                del helm.roster.nodes[line.name]
            await until(lambda: len(helm.legs) == 2 and len(helm.nursery.child_tasks) == before)
            assert (await rig.watch()).status == 201

    run(test)


@pytest.mark.parametrize(("path", "status"), [("/whep/course/t", 504), ("/whep/open/t", 201)])
def test_a_set_up_answered_by_a_process_that_the_list_has_replaced_is_ended_there(
    tmp_path: Path, path: str, status: int
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.ails.hung = True
            async with trio.open_nursery() as nursery:
                answers = list[Response | None]()

                async def ask() -> None:
                    answers.append(await rig.viewer("k", path))

                nursery.start_soon(ask)
                await until(lambda: rig.facts("ran"))
                name = rig.facts("setup")[0]["node"]
                await relisted(rig, replace(rig.helm().roster.lines[name], port=1))
                for node in rig.fleet.nodes.values():
                    node.ails.hung = False
                    node.stir()
                await until(lambda: answers)
            assert answers[0] is not None
            assert answers[0].status == status
            await until(lambda: not rig.node(name).sessions)
            rig.judged()

    run(test)


def test_publishers_that_ended_by_themselves_leave_no_entry(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            core = rig.front.core if rig.front else None
            assert core is not None
            for n in range(4):
                assert (await rig.watch(f"/whip/open/live{n}")).status == 201
                (node,) = rig.playing()
                leg = rig.helm().legs[node.name]
                await until(lambda leg=leg: leg.lifeline.state is Life.HEARD)  # type: ignore[misc]
                for session in list(node.sessions):
                    node.end_session(session, "the publisher has gone")
                await until(lambda: not rig.helm().viewings)
            assert len(core.publishing) == 1

    run(test)


def test_the_state_file_forgets_versions_out_of_their_history_and_nodes_long_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, state=True) as rig:
            catalogues = rig.front.catalogues if rig.front else None
            assert catalogues is not None
            catalogues.history.most = 3
            for n in range(8):
                text = f"(catalogue (title t{n} (home 0) (copies 1)) (others yes))"
                assert (await catalogues.replace(text, None, False, ""))[0] is Taken.TAKEN
            rig.stop.set()
            await rig.ended.wait()

    run(test)
    file = StateFile(str(tmp_path / "state"))
    assert [v.number for v in file.read().versions] == [6, 7, 8]
    file.commit(
        [
            Grudge("old", 1.0, 5, 5),
            Grudge("new", 1.0, 9, 9),
            Spent("old", 0, 1, 1, 5),
            Spent("new", 0, 1, 1, 9),
        ]
    )
    file.commit([Expire(0, 10, 8)])
    held = file.read()
    assert ([g.node for g in held.grudges], [s.node for s in held.spent]) == (["new"], ["new"])
    file.close()


def test_a_record_that_comes_after_the_abort_of_its_request_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, state=True) as rig:
            await remembers(rig)
            sat = await rig.watch("/whep/course/t")
            helm, memory = rig.helm(), rig.helm().memory
            assert memory is not None
            v = helm.sessions[(sat.header("location") or "").rpartition("/")[2]]
            # As if its abandon time was reached meanwhile.
            memory.put(replace(memory.promises[v.id], mark=Mark.ABORTED))
            v.final = Final.ABORTED
            assert not await memory.record(v)
            assert not await memory.before_try(v, "n1", 0, helm.clock.now() + SECOND)
            assert memory.promises[v.id].mark is Mark.ABORTED
            v.final = Final.PLAYS
            helm.insist(lambda: helm.end(v))
            await until(lambda: not helm.viewings)

    run(test)


# Connections that fail.


def test_a_kept_alive_connection_closed_as_a_set_up_is_written_proves_nothing() -> None:
    async def node(stream: trio.SocketStream) -> None:
        while b"\r\n\r\n" not in await stream.receive_some(4_096):
            pass
        await stream.send_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
        await stream.receive_some(1)  # the next request has begun to arrive
        reset(stream)

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(partial(trio.serve_tcp, node, 0, host="127.0.0.1"))
            peer = Peer("127.0.0.1", listener.socket.getsockname()[1])
            assert (await peer.ask("POST", "/a", [], b"x" * 10)).status == 201
            assert len(peer.idle) == 1
            trail = Trail()
            with pytest.raises(Ended) as ended:
                await peer.ask("POST", "/a", [], b"x" * 10, trail)
            assert outcome(trail, ended.value.end) is Outcome.RESET
            assert not peer.idle
            nursery.cancel_scope.cancel()

    run(test)


def test_idle_connections_and_readers_that_stop_lose_their_connection_and_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("oakcroft.front.websocket_api.WRITE_WITHIN", 0.2)

    async def test() -> None:
        async with standing(tmp_path) as rig, AsyncExitStack() as stack:
            helm, seats = parts(rig)
            door = rig.front.door if rig.front else None
            assert door is not None
            door.bounds = replace(door.bounds, idle=200 * MS, write_within=200 * MS)
            sat = await rig.watch()
            here = sat.header("location") or ""
            v = helm.sessions[here.rpartition("/")[2]]
            idle, reader = [await trio.open_tcp_stream("127.0.0.1", rig.port) for _ in range(2)]
            await reader.send_all(f"GET {here}/events HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            one = await stack.enter_async_context(raw(rig, api.Hello()))
            await one.hear()
            assert (await plays(one, "k")).status == 201
            (holder,) = seats.holders.values()
            await until(lambda: v.readers)
            for _ in range(100):  # far more than the socket buffers hold
                helm.publish(v, "layers", {"encodingId": "x" * 200_000})
                for w in list(holder.playbacks.values()):
                    helm.publish(w, "layers", {"encodingId": "x" * 200_000})
                await trio.sleep(0)
            await until(lambda: not v.readers and holder.link is None)
            assert await idle.receive_some(1) == b""
            await until(lambda: not door.guests)
            assert len(helm.sessions) == 2  # playbacks continue: the client may resume its session
            assert (await rig.watch()).status == 201

    run(test)


def test_an_ice_restart_that_a_move_overtakes_changes_nothing_of_the_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with standing(tmp_path) as rig:
            sat = await rig.watch()
            here, patch = sat.header("location") or "", NodeLeg.patch
            v = rig.helm().sessions[here.rpartition("/")[2]]
            target = Upstream("n9", "/sessions/9", "", "", "target", "")

            async def overtaken(
                leg: NodeLeg, upstream: Upstream, if_match: str, body: bytes
            ) -> Response | None:
                reply = await patch(leg, upstream, if_match, body)
                v.upstream = target  # the move switched to its target while the node answered
                return reply

            monkeypatch.setattr(NodeLeg, "patch", overtaken)
            fragment = b"a=ice-ufrag:fresh001\r\na=ice-pwd:" + b"q" * 24 + b"\r\n"
            assert (await rig.ask("PATCH", here, fragment, Content_Type=SDPFRAG, If_Match="*")).status == 200
            assert target.tag == "target"

    run(test)


def test_a_node_that_names_sessions_without_end_fills_no_memory() -> None:
    claims = Claims(10 * SECOND, most=100)
    for number in range(1_000):
        claims.started(f"/s/{number}", 0)
    assert len(claims.orphans(0)) == 900
    assert len(claims.unclaimed) == 100
    assert claims.claim("/s/950", 0)
