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
from oakcroft.decisions.fleet.backoff import EVENT_STREAM_RETRY, LIST_RETRY, RetryBackoff
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.sessions.node_sessions import NodeSessions
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.decisions.routing.catalogue import CatalogueVerdict as Taken
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.promise import PromiseState
from oakcroft.store.file import DeleteExpired, StateFile
from oakcroft.decisions.sessions.setup_outcome import RequestProgress, setup_outcome
from oakcroft.decisions.sessions.event_stream_health import StreamState
from oakcroft.decisions.sessions.idempotency import IdempotencyStore, KeyDecision
from oakcroft.decisions.fleet.node_list import ListedNode, ListRejection, NodeList
from oakcroft.front import node_list_client
from oakcroft.front.session_service import MAX_EVENT_READERS
from oakcroft.front.node_client import NodeClient
from oakcroft.front.playback_session import UpstreamSession
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp
from oakcroft.signalling import session_api as api
from oakcroft.standins.playout import PlayoutNode, reset

from rig import Rig, wait_until_recovered, run_async_test, running_front_end, start_front_end, wait_until
from test_sessions import RawClient, coordinator_and_api, raw_client


# Faults that last for months.


def test_an_errand_that_fails_for_months_keeps_its_longest_wait() -> None:
    for rhythm in (LIST_RETRY, EVENT_STREAM_RETRY):
        again, now, wait = RetryBackoff(rhythm, Random(1), 0), 0, None
        for _ in range(3_000):
            wait = again.record_failure(now)
            assert wait is not None
            assert wait <= rhythm.max_delay
            now += SECOND
        assert wait
        assert wait >= rhythm.max_delay // 2


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


async def first_answer(rig: Rig, request_bytes: bytes) -> bytes:
    """The first bytes of the answer to `request_bytes` on a new connection."""
    stream = await trio.open_tcp_stream("127.0.0.1", rig.port)
    async with stream:
        await stream.send_all(request_bytes)
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
        async with running_front_end(tmp_path) as rig:
            assert (await first_answer(rig, f"{UPGRADE}{fields}\r\n".encode())).startswith(
                b"HTTP/1.1 %d" % status
            )
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


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
        async with running_front_end(tmp_path) as rig:
            async with raw_client(rig, api.Hello()) as one:
                await one.receive()
                await one.send(api.Ask(1, path, offer(20_000, 1), key))
                answer = await one.receive()
                assert isinstance(answer, api.Answer)
                assert answer.status == status
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


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
        async with running_front_end(tmp_path) as rig:
            answered, odd = PlayoutNode.set_up, [True]

            async def oddly(node: PlayoutNode, request: Request, front: str) -> Response:
                response = await answered(node, request, front)
                if odd and response.status == 201:
                    odd.clear()
                    response.headers = [(n, value if n == field else v) for n, v in response.headers]
                return response

            monkeypatch.setattr(PlayoutNode, "set_up", oddly)
            first = await rig.request_playback("/whep/course/t")
            assert first.status == status
            if status == 201:
                gone = await rig.request("DELETE", first.header("location") or "")
                assert gone.status == 200
            assert (await rig.request_playback("/whep/course/t")).status == 201

    run_async_test(test)


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
        lines, version, service = node_list_client.parse_response(body)
    except node_list_client.NodeListError:
        return
    assert isinstance(NodeList().apply(lines, version, service, 0), ListRejection)


# Repeated idempotency keys, in each state of their request.


def test_the_end_of_an_earlier_playback_ends_nothing_of_a_later_one_under_its_key() -> None:
    repeats, first, later = IdempotencyStore(10, 60 * SECOND), object(), object()
    repeats.begin("k", "a", False, 0)
    repeats.record_answer(
        "k", FinalAnswer.ABORTED, first, 1
    )  # its abandon time was reached; its set-up succeeds later
    repeats.begin("k", "a", False, 2)
    repeats.record_answer("k", FinalAnswer.PLAYS, later, 3)
    repeats.playback_ended("k", first, 4)
    assert repeats.decide("k", "a", 5) == (KeyDecision.REPLAY, None, later)


def test_a_full_memory_of_keys_begins_no_paid_request_that_it_could_not_know_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            rig.coordinator().idempotency_store.capacity = 1
            assert (await rig.request_playback("/whep/course/t")).status == 201
            assert (await rig.request_playback("/whep/open/t")).status == 201
            assert (await rig.request_playback("/whep/course/u")).status == 503
            assert len(rig.recorded("setup")) == 2

    run_async_test(test)
    repeats = IdempotencyStore(1, 60 * SECOND)
    repeats.begin("paid", "", True, 0)
    repeats.record_answer("paid", FinalAnswer.ABORTED, None, 1)
    assert not repeats.begin("other", "", False, 2)
    assert repeats.decide("paid", "", 3)[0] is KeyDecision.REPLAY


def test_a_paid_key_is_answered_the_same_after_its_playback_has_ended(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            first = await rig.recorded_viewer("k", "/whep/course/t")
            assert first is not None
            here = first.header("location") or ""
            assert (await rig.request("DELETE", here)).status == 200
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            again = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
            assert (again.status, again.header("location"), again.body) == (201, here, first.body)
            assert (await rig.request("DELETE", here)).status == 404
            rig.stop.set()
            await rig.exited.wait()
            async with trio.open_nursery() as nursery:
                await start_front_end(nursery, rig, with_state=True)
                await wait_until_recovered(rig)
                later = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
                assert (later.status, orjson.loads(later.body)["retry"]) == (504, False)
                nursery.cancel_scope.cancel()
            assert len(rig.recorded("ran")) == 1
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_free_key_waits_for_the_end_of_the_set_up_that_its_viewer_left(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.ails.hung = True
            async with trio.open_nursery() as nursery:
                await nursery.start(rig.recorded_viewer, "k")
                await wait_until(lambda: rig.recorded("setup"))
                nursery.cancel_scope.cancel()
            again = await rig.request_playback(Idempotency_Key='"k"')
            assert again.status == 409
            for node in rig.fleet.nodes.values():
                node.ails.hung = False
                node.stir()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert (await rig.request_playback(Idempotency_Key='"k"')).status == 201
            rig.assert_rules_hold()

    run_async_test(test)


@pytest.mark.parametrize("plan", ["course", "open"])
def test_an_answer_cut_on_its_way_is_given_to_the_key_that_comes_again_or_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, plan: str
) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            helm, path = rig.coordinator(), f"/whep/{plan}/t"
            first = await rig.request_playback(path, Idempotency_Key='"k"')
            v = helm.sessions_by_id[(first.header("location") or "").rpartition("/")[2]]
            helm.answer_undelivered(v)  # as if the connection was lost while the answer was written
            assert (await rig.request_playback(path, Idempotency_Key='"k"')).header(
                "location"
            ) == first.header("location")
            assert not v.answer_undelivered
            monkeypatch.setattr("oakcroft.front.session_coordinator.UNDELIVERED_ANSWER_SECONDS", 0.05)
            helm.answer_undelivered(v)
            await wait_until(lambda: not helm.sessions_by_playback)
            assert len(rig.recorded("ran")) == 1
            rig.assert_rules_hold()

    run_async_test(test)


def test_nothing_is_set_up_for_a_viewer_that_left_before_the_module_was_asked(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            helm = rig.coordinator()
            offered, waits = helm.try_submit, list[Callable[[], None]]()
            helm.try_submit = lambda event: not waits.append(event)  # type: ignore[method-assign,func-returns-value]
            async with trio.open_nursery() as nursery:
                await nursery.start(rig.recorded_viewer, "k", "/whep/course/t")
                await wait_until(lambda: waits)
                nursery.cancel_scope.cancel()
            await wait_until(lambda: len(waits) > 1)
            helm.try_submit = offered  # type: ignore[method-assign]
            for event in waits:
                await helm.submit(event)
            assert (await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')).status == 201
            assert len(rig.recorded("setup")) == 1
            rig.assert_rules_hold()

    run_async_test(test)


async def request_playback(
    client: RawClient, key: str, call_id: int = 1, path: str = "/whep/open/t"
) -> api.Answer:
    """Requests a playback over the session API and returns the answer."""
    await client.send(api.Ask(call_id, path, offer(20_000, 1), key))
    while not isinstance(answer := await client.receive(), api.Answer):
        pass
    return answer


def test_a_playback_belongs_to_the_seat_that_asked_for_it_last(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig, AsyncExitStack() as stack:
            _, seats = coordinator_and_api(rig)
            first = None
            # Each a new client session, as of a client without its resume token.
            for _ in range(MAX_EVENT_READERS + 2):
                one = await stack.enter_async_context(raw_client(rig, api.Hello()))
                await one.receive()
                answer = await request_playback(one, "k")
                assert answer.status == 201
                first = first or answer.playback
                assert answer.playback == first
            *earlier, last = seats.clients.values()
            assert [len(h.playbacks) + len(h.event_readers) + len(h.requested_rungs) for h in earlier] == [
                0
            ] * (MAX_EVENT_READERS + 1)
            assert [h.usage.playbacks for h in seats.clients.values()] == [0] * (MAX_EVENT_READERS + 1) + [1]
            for holder in earlier:
                await seats.end_client_session(holder)
            again = await request_playback(one, "k", 2)
            assert (again.playback, again.answer, again.again) == (first, answer.answer, True)
            await one.send(api.End(first or "", 3))
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert [
                len(last.playbacks),
                len(last.event_readers),
                len(last.requested_rungs),
                last.usage.playbacks,
            ] == [0] * 4
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_playback_that_ended_under_its_answer_leaves_its_seat(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as one:
            _, seats = coordinator_and_api(rig)
            await one.receive()
            # The node's report of the end arrived first.
            monkeypatch.setattr(NodeSessions, "claim", lambda *_: False)
            answer = await request_playback(one, "k")
            assert answer.status == 201
            event = await one.receive()
            assert isinstance(event, api.Event)
            assert (event.playback, event.kind) == (answer.playback, "inactive")
            (holder,) = seats.clients.values()
            await wait_until(
                lambda: (
                    not (
                        holder.playbacks
                        or holder.event_readers
                        or holder.requested_rungs
                        or holder.usage.playbacks
                    )
                )
            )

    run_async_test(test)


def test_a_repeat_of_an_answered_request_is_let_in_at_every_door(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as one:
            core = rig.front_end.service if rig.front_end else None
            assert core is not None
            await one.receive()
            over_seat = await request_playback(one, "seat")
            paid = await rig.request_playback("/whep/course/t", Idempotency_Key='"paid"')
            core.should_shed = lambda path: True  # type: ignore[method-assign]
            for holder in coordinator_and_api(rig)[1].clients.values():
                holder.usage.pending_requests = holder.usage.limits.pending_requests
            core.coordinator.site.route_table.plans.clear()
            assert (await rig.request_playback()).status == 503
            assert (await request_playback(one, "other", 2)).status == 429
            assert (await request_playback(one, "seat", 3)).playback == over_seat.playback
            again = await rig.request_playback("/whep/course/t", Idempotency_Key='"paid"')
            assert (again.status, again.header("location")) == (201, paid.header("location"))

    run_async_test(test)


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
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as one:
            await one.receive()
            seat = await request_playback(one, "k")
            here = (await rig.request_playback()).header("location") or ""
            for node in rig.nodes_in_use():
                node.ails.silent = ended == "ending"  # the end of the session at the node is not answered yet
            for name in (here, f"/session/{seat.playback}"):
                assert (await rig.request("DELETE", name)).status == 200
            if ended == "ended":
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            for method, part in LATE_CALLS:
                body = offer(20_000, 1).encode() if part == "/move" else b'{"encodingId": "0"}'
                kind = {"": SDPFRAG_MEDIA_TYPE, "/move": sdp.MEDIA_TYPE}.get(part, "application/json")
                late = await rig.request(method, here + part, body, Content_Type=kind, If_Match="*")
                assert late.status == 404, (method, part)
            for n, call in enumerate([api.Layer(seat.playback, 0, 7), api.Pause(seat.playback, 8),
                                      api.MoveDone(seat.playback, 9), api.End(seat.playback, 10)]):  # fmt: skip
                await one.send(call)
                while not isinstance(done := await one.receive(), api.Done):
                    pass
                assert (done.id, done.status) == (7 + n, 200 if done.id == 10 and ended == "ending" else 404)
            for node in rig.fleet.nodes.values():
                node.ails.silent = False
                node.stir()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)

    run_async_test(test)


# Nodes that are added and removed.


async def replace_node_list(rig: Rig, *lines: ListedNode) -> None:
    """Applies a new node list: these nodes, and those of the current list that they do not replace."""
    helm = rig.coordinator()
    kept = {x.name: x for x in helm.node_list.listed_nodes.values()} | {x.name: x for x in lines}
    assert await helm.apply_list(list(kept.values()), helm.node_list.version + 100, helm.node_list.service)


def test_nodes_that_come_and_go_leave_no_leg_no_task_and_no_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            helm = rig.coordinator()
            monkeypatch.setattr(NodeList, "REMOVED_RETENTION", -1)
            n1 = helm.node_list.listed_nodes["n1"]
            before = len(helm.nursery.child_tasks)
            for n in range(20):  # a replaced machine has a new name, a moved one a new address
                line = replace(n1, name=f"n{n + 10}", port=1 + n, address="127.0.0.1")
                await replace_node_list(rig, line)
                leg = helm.node_clients[line.name]
                helm.follow_events(leg, "/events/x")
                await replace_node_list(rig, replace(line, port=101 + n))
                helm.follow_events(helm.node_clients[line.name], "/events/x")
                del helm.node_list.listed_nodes[line.name]
                del helm.node_list.nodes[line.name]
            await wait_until(lambda: len(helm.node_clients) == 2 and len(helm.nursery.child_tasks) == before)
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


@pytest.mark.parametrize(("path", "status"), [("/whep/course/t", 504), ("/whep/open/t", 201)])
def test_a_set_up_answered_by_a_process_that_the_list_has_replaced_is_ended_there(
    tmp_path: Path, path: str, status: int
) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.ails.hung = True
            async with trio.open_nursery() as nursery:
                answers = list[Response | None]()

                async def ask() -> None:
                    answers.append(await rig.recorded_viewer("k", path))

                nursery.start_soon(ask)
                await wait_until(lambda: rig.recorded("ran"))
                name = rig.recorded("setup")[0]["node"]
                await replace_node_list(rig, replace(rig.coordinator().node_list.listed_nodes[name], port=1))
                for node in rig.fleet.nodes.values():
                    node.ails.hung = False
                    node.stir()
                await wait_until(lambda: answers)
            assert answers[0] is not None
            assert answers[0].status == status
            await wait_until(lambda: not rig.node(name).sessions)
            rig.assert_rules_hold()

    run_async_test(test)


def test_publishers_that_ended_by_themselves_leave_no_entry(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            core = rig.front_end.service if rig.front_end else None
            assert core is not None
            for n in range(4):
                assert (await rig.request_playback(f"/whip/open/live{n}")).status == 201
                (node,) = rig.nodes_in_use()
                leg = rig.coordinator().node_clients[node.name]
                await wait_until(lambda leg=leg: leg.stream_health.state is StreamState.ALIVE)  # type: ignore[misc]
                for session in list(node.sessions):
                    node.end_session(session, "the publisher has gone")
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert len(core.publishers) == 1

    run_async_test(test)


def test_the_state_file_forgets_versions_out_of_their_history_and_nodes_long_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            catalogues = rig.front_end.catalogues if rig.front_end else None
            assert catalogues is not None
            catalogues.history.max_versions = 3
            for n in range(8):
                text = f"(catalogue (title t{n} (home 0) (copies 1)) (others yes))"
                assert (await catalogues.replace(text, None, False, ""))[0] is Taken.TAKEN
            rig.stop.set()
            await rig.exited.wait()

    run_async_test(test)
    file = StateFile(str(tmp_path / "state"))
    assert [v.number for v in file.read().versions] == [6, 7, 8]
    file.commit(
        [
            NodePenalty("old", 1.0, 5, 5),
            NodePenalty("new", 1.0, 9, 9),
            SlotUsage("old", 0, 1, 1, 5),
            SlotUsage("new", 0, 1, 1, 9),
        ]
    )
    file.commit([DeleteExpired(0, 10, 8)])
    held = file.read()
    assert ([g.node for g in held.node_penalties], [s.node for s in held.slot_usage]) == (["new"], ["new"])
    file.close()


def test_a_record_that_comes_after_the_abort_of_its_request_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            sat = await rig.request_playback("/whep/course/t")
            helm, memory = rig.coordinator(), rig.coordinator().durable_state
            assert memory is not None
            v = helm.sessions_by_id[(sat.header("location") or "").rpartition("/")[2]]
            # As if its abandon time was reached meanwhile.
            memory.update_promise(replace(memory.promises[v.id], mark=PromiseState.ABORTED))
            v.final_answer = FinalAnswer.ABORTED
            assert not await memory.record_playing(v)
            assert not await memory.record_intent(v, "n1", 0, helm.clock.now() + SECOND)
            assert memory.promises[v.id].mark is PromiseState.ABORTED
            v.final_answer = FinalAnswer.PLAYS
            helm.submit_later(lambda: helm.end_session(v))
            await wait_until(lambda: not helm.sessions_by_playback)

    run_async_test(test)


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
            trail = RequestProgress()
            with pytest.raises(Ended) as ended:
                await peer.ask("POST", "/a", [], b"x" * 10, trail)
            assert setup_outcome(trail, ended.value.end) is Outcome.RESET
            assert not peer.idle
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_idle_connections_and_readers_that_stop_lose_their_connection_and_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("oakcroft.front.websocket_api.WRITE_TIMEOUT_S", 0.2)

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, AsyncExitStack() as stack:
            helm, seats = coordinator_and_api(rig)
            door = rig.front_end.connection_table if rig.front_end else None
            assert door is not None
            door.limits = replace(door.limits, idle=200 * MS, write_within=200 * MS)
            sat = await rig.request_playback()
            here = sat.header("location") or ""
            v = helm.sessions_by_id[here.rpartition("/")[2]]
            idle, reader = [await trio.open_tcp_stream("127.0.0.1", rig.port) for _ in range(2)]
            await reader.send_all(f"GET {here}/events HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            one = await stack.enter_async_context(raw_client(rig, api.Hello()))
            await one.receive()
            assert (await request_playback(one, "k")).status == 201
            (holder,) = seats.clients.values()
            await wait_until(lambda: v.readers)
            for _ in range(100):  # far more than the socket buffers hold
                helm.publish_event(v, "layers", {"encodingId": "x" * 200_000})
                for w in list(holder.playbacks.values()):
                    helm.publish_event(w, "layers", {"encodingId": "x" * 200_000})
                await trio.sleep(0)
            await wait_until(lambda: not v.readers and holder.connection is None)
            assert await idle.receive_some(1) == b""
            await wait_until(lambda: not door.connections)
            assert len(helm.sessions_by_id) == 2  # playbacks continue: the client may resume its session
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


def test_an_ice_restart_that_a_move_overtakes_changes_nothing_of_the_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            sat = await rig.request_playback()
            here, patch = sat.header("location") or "", NodeClient.patch
            v = rig.coordinator().sessions_by_id[here.rpartition("/")[2]]
            target = UpstreamSession("n9", "/sessions/9", "", "", "target", "")

            async def overtaken(
                leg: NodeClient, upstream: UpstreamSession, if_match: str, body: bytes
            ) -> Response | None:
                reply = await patch(leg, upstream, if_match, body)
                v.upstream = target  # the move switched to its target while the node answered
                return reply

            monkeypatch.setattr(NodeClient, "patch", overtaken)
            fragment = b"a=ice-ufrag:fresh001\r\na=ice-pwd:" + b"q" * 24 + b"\r\n"
            assert (
                await rig.request("PATCH", here, fragment, Content_Type=SDPFRAG_MEDIA_TYPE, If_Match="*")
            ).status == 200
            assert target.etag == "target"

    run_async_test(test)


def test_a_node_that_names_sessions_without_end_fills_no_memory() -> None:
    claims = NodeSessions(10 * SECOND, max_unclaimed=100)
    for number in range(1_000):
        claims.session_started(f"/s/{number}", 0)
    assert len(claims.take_orphans(0)) == 900
    assert len(claims.unclaimed) == 100
    assert claims.claim("/s/950", 0)
