"""End-to-end tests on loopback: viewers over HTTP, all decisions and the nodes, and failures of each."""

from __future__ import annotations

from collections.abc import AsyncIterator
import time
from pathlib import Path

import orjson
import pytest
import trio
from rig import Rig, run_async_test, running_front_end, start_front_end, wait_until
from stalls import watched_stalls

from oakcroft.decisions.sessions.event_stream_health import StreamState
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.httpwire.client import HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp
from oakcroft.standins.playout import PlayoutNode

FRAGMENT = (
    b"a=ice-ufrag:v0000001\r\na=candidate:1 1 udp 2130706431 127.0.0.1 9 typ host\r\na=end-of-candidates\r\n"
)
ABANDON_SECONDS = 1.2
"""Abandon time of the plan of courses."""

STALL_LEAD_SECONDS = 0.06
"""The answer of an abort is sent about 0.04 s before the abandon time."""

RESTART = b"a=ice-ufrag:fresh001\r\na=ice-pwd:" + b"q" * 24 + b"\r\n"


def test_a_playback_from_offer_to_end(tmp_path: Path) -> None:
    """A session answers each request as RFC 9725 demands, from its offer to its end."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer = await rig.request_playback("/whep/course/intro")
            assert (answer.status, answer.header("content-type")) == (201, sdp.MEDIA_TYPE)
            assert [m.kind for m in sdp.parse(answer.body.decode()).media] == ["audio", "video"]
            location = answer.header("location") or ""
            etag = answer.header("etag") or ""
            links = http_formats.parse_links(answer.header_values("link"))
            assert links[http_formats.REL_ICE_SERVER] == "stun:127.0.0.1:3478"
            assert links[http_formats.REL_EVENTS] == location + "/events"
            assert len(rig.nodes_in_use()) == 1
            trickle = {"Content_Type": SDPFRAG_MEDIA_TYPE}
            assert (await rig.request("PATCH", location, FRAGMENT, If_Match=etag, **trickle)).status == 204
            assert (await rig.request("PATCH", location, FRAGMENT, **trickle)).status == 428
            assert (await rig.request("PATCH", location, FRAGMENT, If_Match='"old"', **trickle)).status == 412
            assert (await rig.request("PATCH", location, b"junk", If_Match=etag, **trickle)).status == 400
            restart_answer = await rig.request("PATCH", location, RESTART, If_Match="*", **trickle)
            assert restart_answer.status == 200
            assert restart_answer.header("etag") not in (None, etag)
            assert b"ice-ufrag" in restart_answer.body
            assert (await rig.request("PATCH", location, FRAGMENT, If_Match=etag, **trickle)).status == 412
            assert (await rig.request("DELETE", location)).status == 200
            assert (await rig.request("DELETE", location)).status == 404
            await wait_until(lambda: not rig.nodes_in_use())

    run_async_test(test)


def test_each_invalid_request_gets_its_own_status(tmp_path: Path) -> None:
    """Each kind of invalid request gets its status and a problem document, and no secret is logged."""
    good = offer(900, 1).encode()
    content_type = {"Content_Type": sdp.MEDIA_TYPE}
    bad_direction = offer(900, 1, publishes=True).encode()

    async def test() -> None:
        async with running_front_end(
            tmp_path, '(token a (secret "secret-one")) (token b (secret "secret-two"))'
        ) as rig:
            token = {"Authorization": "Bearer secret-two"}
            cases: list[tuple[int, str, str, bytes, dict[str, str]]] = [
                (401, "POST", "/whep/open/t", good, content_type),
                (401, "POST", "/whep/open/t", good, {**content_type, "Authorization": "Bearer wrong"}),
                (404, "POST", "/nowhere", good, {**content_type, **token}),
                (404, "POST", "/whep/open/", good, {**content_type, **token}),
                (405, "GET", "/whep/open/t", b"", token),
                (
                    406,
                    "POST",
                    "/whep/open/t",
                    good,
                    {**content_type, **token, "Accept": "text/html;q=1, */*;q=0"},
                ),
                (415, "POST", "/whep/open/t", good, {**token, "Content_Type": "text/plain"}),
                (400, "POST", "/whep/open/t", b"v=1\n", {**content_type, **token}),
                (400, "POST", "/whep/open/t", b"\xff\xfe", {**content_type, **token}),
                (400, "POST", "/whep/open/t", good, {**content_type, **token, "Idempotency_Key": '"unended'}),
                (422, "POST", "/whep/open/t", bad_direction, {**content_type, **token}),
                (413, "POST", "/whep/open/t", b"x" * 70_000, {**content_type, **token}),
                (431, "POST", "/whep/open/t", b"", {f"x{i}": "y" for i in range(80)}),
                (404, "DELETE", "/session/unknown", b"", token),
                (405, "PUT", "/session/unknown", b"", token),
            ]
            for status, method, path, body, headers in cases:
                answer = await rig.request(method, path, body, **headers)
                assert answer.status == status, (path, headers)
                assert orjson.loads(answer.body)["status"] == status
                assert answer.header("content-type") == http_formats.PROBLEM_MEDIA_TYPE
            challenge = (await rig.request("POST", "/whep/open/t", good, **content_type)).header(
                "www-authenticate"
            )
            assert challenge == 'Bearer realm="oakcroft"'
            options = await rig.request("OPTIONS", "/whep/open/t")
            assert (options.status, options.header("accept-post")) == (204, sdp.MEDIA_TYPE)
            assert options.header("access-control-allow-origin") == "*"
            assert (await rig.request_playback(Authorization="Bearer secret-two")).status == 201
            assert b"secret" not in rig.log_output.getvalue()
            assert b"ice-pwd" not in rig.log_output.getvalue()

    run_async_test(test)


@pytest.mark.parametrize("stall_seconds", [0.0, 0.14])
def test_a_paid_playback_that_may_have_run_is_aborted_and_never_sent_again(
    tmp_path: Path, stall_seconds: float
) -> None:
    """Guards against a paid playback that is set up twice.

    Both nodes hang, so the set-up may have run unknown to the front end; a repeat must not send it again. The process,
    and the viewer in it, may stall just before the answer is due.
    """

    async def stall() -> None:
        await trio.sleep(ABANDON_SECONDS - STALL_LEAD_SECONDS)
        time.sleep(stall_seconds)

    async def test() -> None:
        async with (
            running_front_end(tmp_path) as rig,
            watched_stalls() as stalls,
            trio.open_nursery() as nursery,
        ):
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            requested_at = trio.current_time()
            nursery.start_soon(stall)
            answer = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
            stalled = stalls.seconds_since(requested_at + ABANDON_SECONDS - 2 * STALL_LEAD_SECONDS)
            assert stalled >= stall_seconds
            assert trio.current_time() - requested_at - stalled < ABANDON_SECONDS
            assert answer.status == 504
            assert orjson.loads(answer.body)["retry"] is False
            assert answer.header("retry-after") is None
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = False
                node.notify_changed()
            again = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
            assert again.status == 504
            assert len(rig.recorded("setup")) == 1
            # The set-up that ran is found as an orphan and ended.
            await wait_until(lambda: not rig.nodes_in_use(), 8)

    run_async_test(test)


def test_a_free_playback_is_tried_on_another_node_when_one_hangs(tmp_path: Path) -> None:
    """A free playback is tried on another node while its first node hangs."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            answers: list[Response] = []

            async def request() -> None:
                answers.append(await rig.request_playback("/whep/open/t"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(request)
                await wait_until(lambda: len(rig.recorded("setup")) == 1)
                hung_node = rig.recorded("setup")[0]["node"]
                for node in rig.fleet.nodes.values():
                    node.faults.is_hung = node.name == hung_node
            assert answers[0].status == 201
            assert rig.recorded("setup")[0]["node"] == hung_node
            assert {f["node"] for f in rig.recorded("answer")} == {
                n for n in rig.fleet.nodes if n != hung_node
            }

    run_async_test(test)


@pytest.mark.parametrize("condition", ["dead", "full", "draining"])
def test_a_paid_playback_is_tried_elsewhere_when_it_provably_did_not_run(
    tmp_path: Path, condition: str
) -> None:
    """A paid playback is tried on another node where the first one provably did not run it."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            first = await rig.request_playback("/whep/course/t")  # shows which node is chosen for the title
            chosen = rig.nodes_in_use()[0]
            await rig.request("DELETE", first.header("location") or "")
            await wait_until(lambda: not rig.nodes_in_use())
            if condition == "dead":
                chosen.kill()  # the node list still has it
            elif condition == "full":
                chosen.machine.playback_capacity = 0
            else:
                chosen.faults.is_draining = True
            for i in range(3):
                answer = await rig.request_playback("/whep/course/t", Idempotency_Key=f'"p{i}"')
                assert answer.status == 201
            assert chosen not in rig.nodes_in_use()

    run_async_test(test)


def test_a_viewer_is_notified_when_its_node_dies(tmp_path: Path) -> None:
    """The viewer gets exactly the event that it asked for when its node dies, and the session is gone."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer = await rig.request_playback()
            location = answer.header("location") or ""
            subscription = await rig.request("POST", location + "/events", b'["inactive", "nonsense"]')
            assert subscription.status == 201
            event_names: list[str] = []
            async with HttpClient("127.0.0.1", rig.port).stream(
                "GET", subscription.header("location") or "", []
            ) as (
                head,
                chunks,
            ):
                assert head.header("content-type") == http_formats.EVENT_STREAM_MEDIA_TYPE
                await wait_until(lambda: rig.nodes_in_use()[0].subscriptions)
                await trio.sleep(0.1)
                rig.nodes_in_use()[0].kill()
                reader = http_formats.EventStreamParser()
                async for chunk in chunks:
                    event_names += [name for name, _ in reader.feed(chunk) if name]
            assert event_names == ["inactive"]
            assert (await rig.request("DELETE", location)).status == 404

    run_async_test(test)


def test_a_viewer_that_leaves_during_its_set_up_leaves_no_session(tmp_path: Path) -> None:
    """Guards against a session that nobody ends, where the viewer leaves during the set-up."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            with trio.move_on_after(0.15):
                await rig.request_playback("/whep/open/t")
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = False
                node.notify_changed()
            await wait_until(lambda: rig.recorded("ran") and not rig.nodes_in_use())
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


def test_layers_and_the_highest_rung(tmp_path: Path) -> None:
    """The rung follows the offer's bandwidth, and a layer request is checked against the plan."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            low = await rig.request_playback(kbit=1000)
            assert rig.recorded("setup")[-1]["rung"] == 0
            assert low.status == 201
            location = (await rig.request_playback()).header("location") or ""
            assert (await rig.request("POST", location + "/layer", b'{"encodingId": "7"}')).status == 422
            assert (await rig.request("POST", location + "/layer", b"[]")).status == 400
            assert (await rig.request("POST", location + "/layer", b'{"encodingId": "0"}')).status == 200

    run_async_test(test)


def test_a_title_has_one_publisher(tmp_path: Path) -> None:
    """A second publisher of a title is rejected until the first one has ended."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            first = await rig.request_playback("/whip/open/live")
            assert first.status == 201
            assert http_formats.REL_LAYER not in http_formats.parse_links(first.header_values("link"))
            assert (await rig.request_playback("/whip/open/live")).status == 409
            assert (await rig.request("DELETE", first.header("location") or "")).status == 200
            assert (await rig.request_playback("/whip/open/live")).status == 201

    run_async_test(test)


def test_a_restarted_front_serves_from_its_cached_list(tmp_path: Path) -> None:
    """A restarted front end serves with the cached node list, and rejects a damaged one."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as nursery:
            assert (await rig.request_playback("/whep/course/t")).status == 201
            await wait_until(lambda: (tmp_path / "kept").exists())
            rig.front_end_scope.cancel()  # killed without any shutdown
            rig.log_output.truncate(0)
            rig.log_output.seek(0)
            await start_front_end(nursery, rig, list_port=1)
            assert (await rig.request_playback("/whep/course/t")).status == 201
            kinds = [e["kind"] for e in rig.log_entries() if e["event"] == "list"]
            assert kinds == ["kept"]
            (tmp_path / "kept").write_bytes(b"0\n{}")
            rig.front_end_scope.cancel()
            await start_front_end(nursery, rig, list_port=1)
            assert any(e["event"] == "kept list unusable" for e in rig.log_entries())
            assert (await rig.request_playback("/whep/course/t")).status == 503
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_restarted_front_waits_for_the_current_list(tmp_path: Path) -> None:
    """Guards against set-ups to a node that began to drain while the front end was down.

    The list service is slow to answer, so only the outdated cached list is known at first.
    """

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as nursery:
            assert (await rig.request_playback("/whep/open/t")).status == 201
            draining_node = rig.nodes_in_use()[0]
            await wait_until(lambda: (tmp_path / "kept").exists())
            rig.front_end_scope.cancel()
            draining_node.faults.is_draining = True
            rig.fleet.publish_list()
            rig.fleet.list_service.fault = "list-slow"
            before = len(rig.recorded("setup"))
            await start_front_end(nursery, rig)
            for _ in range(4):
                await rig.request_playback("/whep/open/t")
            assert rig.recorded("setup")[before:]
            assert draining_node.name not in [f["node"] for f in rig.recorded("setup")[before:]]
            assert not [e for e in rig.log_entries() if e["event"] == "opened on the kept list"]
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_stopping_front_rejects_new_requests_and_ends_its_playbacks(tmp_path: Path) -> None:
    """A stopping front end rejects new requests, still serves playing sessions, and ends them at last."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer = await rig.request_playback()
            rig.stop.set()
            await wait_until(lambda: rig.stop.is_set())
            await trio.sleep(0.05)
            refused = await rig.request_playback()
            assert (refused.status, refused.header("retry-after")) == (503, "1")
            assert (
                await rig.request(
                    "POST", (answer.header("location") or "") + "/layer", b'{"encodingId": "1"}'
                )
            ).status == 200
            await wait_until(lambda: any(e["event"] == "gone" for e in rig.log_entries()))
            assert not rig.nodes_in_use()

    run_async_test(test)


def test_invalid_node_lists_change_nothing(tmp_path: Path) -> None:
    """An empty or malformed node list is rejected and the one in force stays."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for fault, event in (("list-empty", "list refused"), ("list-broken", "list service failing")):
                rig.fleet.list_service.fault = fault
                rig.fleet.list_service.changed.set()
                rig.fleet.list_service.changed = trio.Event()
                await wait_until(lambda event=event: any(e["event"] == event for e in rig.log_entries()))  # type: ignore[misc]
                assert (await rig.request_playback()).status == 201
                rig.fleet.list_service.fault = ""
                await wait_until(
                    lambda: rig.log_entries()[-1]["event"] == "list service back" or rig.recorded("poll")
                )

    run_async_test(test)


async def send_in_pieces(rig: Rig, data: bytes, pause: float) -> bytes:
    """Sends data in pieces of 8 bytes with a pause after each; returns what came back within 3 s."""
    stream = await trio.open_tcp_stream("127.0.0.1", rig.port)
    async with stream:
        received = b""
        try:
            for i in range(0, len(data), 8):
                await stream.send_all(data[i : i + 8])
                await trio.sleep(pause)
        except trio.BrokenResourceError:
            pass
        with trio.move_on_after(3):
            while chunk := await stream.receive_some(4096):
                received += chunk
        return received


def test_slow_partial_and_malformed_requests_affect_no_other_client(tmp_path: Path) -> None:
    """Slow, partial and malformed requests get their status while other viewers are served."""
    limits = "(door (head-within 300ms) (body-within 300ms) (idle 400ms) (head-bytes 4kB))"

    async def test() -> None:
        async with running_front_end(tmp_path, limits) as rig:
            answers = list[bytes]()

            async def slow(data: bytes, pause: float) -> None:
                answers.append(await send_in_pieces(rig, data, pause))

            async with trio.open_nursery() as nursery:
                head = b"POST /whep/open/t HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
                nursery.start_soon(slow, head, 0.2)  # a head that is not complete in time
                nursery.start_soon(slow, head + b"v=0", 0.0)  # an incomplete body
                nursery.start_soon(slow, b"\x16\x03\x01 not http\r\n\r\n", 0.0)
                nursery.start_soon(slow, b"GET / HTTP/1.1\r\nX: " + b"y" * 9000, 0.0)
                nursery.start_soon(slow, b"", 0.0)  # no data
                for _ in range(5):
                    assert (await rig.request_playback()).status == 201
            codes = sorted(a.split(b" ")[1] if a else b"-" for a in answers)
            assert codes == [b"-", b"400", b"408", b"408", b"431"]

    run_async_test(test)


def test_seats_of_a_silent_node_stay_taken_until_it_confirms_the_end(tmp_path: Path) -> None:
    """Guards against more playbacks than seats.

    Playbacks of a node that is silent may play on, so their seats stay taken until the node has confirmed
    their end.
    """

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            viewer_answers = [await rig.request_playback("/whep/seats/t") for _ in range(2)]
            assert [answer.status for answer in viewer_answers] == [201, 201]
            await wait_until(lambda: all(n.subscriptions for n in rig.nodes_in_use()))
            for node in rig.fleet.nodes.values():
                node.faults.is_silent = True
                node.notify_changed()
            await wait_until(lambda: any(e["event"] == "node lost" for e in rig.log_entries()), 8)
            location = viewer_answers[0].header("location") or ""
            await wait_until(
                lambda: (
                    rig.front_end is not None
                    and rig.front_end.coordinator is not None
                    and not rig.front_end.coordinator.sessions_by_id
                )
            )
            assert (
                await rig.request("DELETE", location)
            ).status == 404  # the viewer has been told that it ended
            for node in rig.fleet.nodes.values():
                node.faults.is_silent = False
            assert (
                await rig.request_playback("/whep/seats/t")
            ).status == 503  # both may still play on the silent node
            for node in rig.fleet.nodes.values():
                node.notify_changed()
            await wait_until(lambda: not rig.nodes_in_use(), 10)
            coordinator = rig.front_end.coordinator if rig.front_end else None
            assert coordinator is not None
            await wait_until(lambda: not coordinator.sessions_by_playback)
            assert (await rig.request_playback("/whep/seats/t")).status in (201, 503)
            seats_taken = 0
            for _, change in sorted(
                [(f["t"], 1) for f in rig.recorded("ran")] + [(f["t"], -1) for f in rig.recorded("over")]
            ):
                seats_taken += change
                assert seats_taken <= 2

    run_async_test(test, 40)


def test_a_front_paused_for_long_ends_nothing_when_it_resumes(tmp_path: Path) -> None:
    """Guards against a pause of the process being taken for the silence of all nodes."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for i in range(4):
                assert (await rig.request_playback(f"/whep/open/t{i}")).status == 201
            coordinator = rig.coordinator()
            await wait_until(
                lambda: all(
                    node_client.stream_health.state is StreamState.ALIVE
                    for node_client in coordinator.node_clients.values()
                    if node_client.is_watched
                )
            )
            time.sleep(1.2 * coordinator.site.loss_timeout_ns / 1e9)
            await wait_until(lambda: any(e["event"] == "stood still" for e in rig.log_entries()))
            await wait_until(
                lambda: all(
                    node_client.stream_health.state is StreamState.ALIVE
                    for node_client in coordinator.node_clients.values()
                    if node_client.is_watched
                )
            )
            assert coordinator.playing_count == 4
            assert not [e for e in rig.log_entries() if e["event"] == "node lost"]
            assert not rig.recorded("over")

    run_async_test(test)


def test_a_session_that_starts_while_the_event_stream_opens_is_not_lost(tmp_path: Path) -> None:
    """Guards against ending a session that is newer than the node's hello event.

    The event is written before the session starts and arrives after it.
    """

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator = rig.front_end.coordinator if rig.front_end else None
            assert coordinator is not None
            open_events = PlayoutNode.open_event_stream
            released = trio.Event()

            def delayed_open_events(self: PlayoutNode, front: str) -> Response:
                response = open_events(self, front)  # the hello event is written now and arrives late
                chunks = response.stream
                assert chunks is not None

                async def delayed_chunks() -> AsyncIterator[bytes]:
                    await released.wait()
                    async for chunk in chunks:
                        yield chunk

                response.stream = delayed_chunks()
                return response

            for node in rig.fleet.nodes.values():
                node.open_event_stream = delayed_open_events.__get__(node)  # type: ignore[method-assign]
            viewer_answers = [await rig.request_playback("/whep/open/t") for _ in range(6)]
            assert [answer.status for answer in viewer_answers] == [201] * 6
            released.set()
            await wait_until(
                lambda: all(
                    node_client.stream_health.process
                    for node_client in coordinator.node_clients.values()
                    if node_client.is_watched
                )
            )
            await trio.sleep(0.1)
            assert len(coordinator.sessions_by_id) == 6

    run_async_test(test)


def test_a_pause_of_the_front_ends_no_session_whose_answer_is_unread(tmp_path: Path) -> None:
    """Guards against taking a session for an orphan whose answer was not read because the process was paused."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer = await rig.request_playback()
            coordinator = rig.front_end.coordinator if rig.front_end else None
            assert coordinator is not None
            node_client = coordinator.node_clients[rig.nodes_in_use()[0].name]
            await wait_until(lambda: node_client.stream_health.process)
            now = coordinator.clock.now()
            node_client.node_sessions.session_started("/sessions/unheard", now)
            for at in range(now, now + node_client.node_sessions.claim_timeout // 2, 20 * MS):
                coordinator.discount_pause(at)
            # The process is paused for the rest.
            resumed_at = now + 2 * node_client.node_sessions.claim_timeout
            coordinator.discount_pause(resumed_at)
            assert node_client.node_sessions.take_orphans(resumed_at) == []
            assert node_client.node_sessions.take_orphans(
                resumed_at + node_client.node_sessions.claim_timeout
            ) == ["/sessions/unheard"]
            assert answer.status == 201

    run_async_test(test)


def test_a_session_on_a_new_process_is_not_lost_with_the_old_one(tmp_path: Path) -> None:
    """A session that started on a node's new process survives the detected loss of the old process."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator = rig.front_end.coordinator if rig.front_end else None
            assert coordinator is not None
            for node_client in coordinator.node_clients.values():
                node_client.stream_health.process = (
                    "the one before"  # it ended unnoticed, and a new process accepts set-ups
                )
            answer = await rig.request_playback()
            assert answer.status == 201
            await wait_until(
                lambda: any(
                    node_client.stream_health.process.startswith("n")
                    for node_client in coordinator.node_clients.values()
                )
            )
            await trio.sleep(0.1)
            assert len(coordinator.sessions_by_id) == 1
            assert (await rig.request("DELETE", answer.header("location") or "")).status == 200

    run_async_test(test)


def test_requests_over_the_queue_limit_are_rejected_unread_on_a_connection_that_stays_open(
    tmp_path: Path,
) -> None:
    """Requests over the queue limit are rejected unread, and their connection stays usable."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            assert rig.front_end is not None
            assert rig.front_end.service is not None
            fair_queue = rig.front_end.service.request_queue.fair_queue
            peer = HttpClient("127.0.0.1", rig.port)
            headers = [("Content-Type", sdp.MEDIA_TYPE)]
            body = offer(900, 1).encode()
            assert (await peer.request("POST", "/whep/open/t", headers, body)).status == 201
            # No request gets its turn: four requests of a plan may wait, and no more.
            window = fair_queue.window
            # The least size as well, to which a late heartbeat sets the window.
            window.size = window.max_size = window.min_size = 0
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(rig.request_playback)
                await wait_until(lambda: len(fair_queue.waiting) == 4)
                # No turns until now either: the next heartbeat would count the one of the first request.
                fair_queue.throughput = 0.0
                fair_queue.turns_since_heartbeat = 0
                rejection = await peer.request("POST", "/whep/open/t", headers, body)
                assert (rejection.status, rejection.header("retry-after")) == (503, "1")
                assert http_formats.problem_type(rejection.body) == "urn:oakcroft:problem:busy"
                assert rig.front_end.service.request_queue.shed_count == 1
                # The connection is still usable.
                options = await peer.request("OPTIONS", "/whep/open/t", [], b"")
                assert options.status == 204
                window.size = window.max_size = 512
            assert (await peer.request("POST", "/whep/open/t", headers, body)).status == 201
            await wait_until(lambda: any(e["event"] == "shedding over" for e in rig.log_entries()))

    run_async_test(test)


def test_queued_events_are_handled_in_one_round(tmp_path: Path) -> None:
    """Guards against handling one queued event per round of the event loop."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            assert rig.front_end is not None
            assert rig.front_end.coordinator is not None
            seen = list[int]()
            for i in range(60):
                assert rig.front_end.coordinator.try_submit(lambda i=i: seen.append(i))  # type: ignore[misc]
            for _ in range(3):
                await trio.lowlevel.checkpoint()
            assert seen == list(range(60))

    run_async_test(test)
