"""Answers of the command channel that hold a whole release: taken in parts, in bounded memory, or refused in peace."""

from __future__ import annotations

import socket
import time
import tracemalloc
from random import Random
from typing import Any

import orjson
import pytest
import trio
from helpers import production_garbage_collection
from platform_rig import PlatformRig, run_on_platform
from rig import wait_until

from oakcroft.interface import NodeStatus
from oakcroft.platform import channel_follower
from oakcroft.platform.channel_connection import ChannelConnection
from oakcroft.platformwire import answer_decoder, command_channel
from oakcroft.platformwire.answer_decoder import Answer, AnswerDecoder, decode_answer
from oakcroft.running.clock import Clock

OLD_LIMIT_BYTES = 262_144
LARGEST_FLEET = 3_200
RELEASES = 3
MAX_STEP_S = 0.05
"""Longest step of the event loop."""

TOLD_AFTER_S = 6.0
"""After that time a change counts as told, once the channel can be reached again."""

MAX_MEMORY_BYTES = 48 << 20
"""What a front end with 96 MB has left beside what it needs to serve."""


def entry(name: str, phase: str = "up", port: int = 5_000) -> dict[str, Any]:
    """A node as the channel lists it, with a long name."""
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "east-wing",
        "flavor": "three-core",
        "cell": 3,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 1,
    }


def event(cursor: int, *members: dict[str, Any], complete: bool = False) -> dict[str, Any]:
    """An event of the channel."""
    return {"cursor": cursor, "nodes": {"revision": cursor, "complete": complete, "members": list(members)}}


def release_events(releases: int) -> list[dict[str, Any]]:
    """Each node of the largest fleet drains, leaves and is replaced, several times."""
    events = list[dict[str, Any]]()
    for release in range(releases):
        for number in range(LARGEST_FLEET):
            old, new = (f"s-{number:0100}-{generation}" for generation in (release, release + 1))
            for member in (entry(old, "draining"), entry(new), entry(old, "removed")):
                events.append(event(len(events) + 2, member))
    return events


def answer_body(events: list[dict[str, Any]]) -> bytes:
    """The body of an answer."""
    return orjson.dumps({"cursor": events[-1]["cursor"], "cmds": events})


def test_an_answer_after_an_outage_is_taken_whatever_its_size() -> None:
    """Guards against an answer of over 256 KiB that is asked for for ever, so that drains are never learnt (review/7)."""

    async def test(rig: PlatformRig) -> None:
        follower = rig.platform.channel_follower
        assert follower is not None
        others = [entry(f"other-{number:0100}", "removed") for number in range(LARGEST_FLEET)]
        last_cursor = 3
        rig.channel.cmds.append(event(2, rig.member(rig.nodes[0], "draining"), *others))
        rig.channel.cmds.append(event(last_cursor, *others))
        assert len(answer_body(rig.channel.cmds)) > OLD_LIMIT_BYTES
        await wait_until(lambda: follower.last_cursor == last_cursor, 6)
        assert rig.coordinator.pools["n0"].node.status is NodeStatus.DRAINING
        assert rig.coordinator.pools["n1"].node.status is NodeStatus.READY

    run_on_platform(test)


def test_several_releases_are_decoded_in_short_steps() -> None:
    """Guards against an event loop that stands while it decodes megabytes (review/7)."""
    body = answer_body(release_events(RELEASES))
    answers, longest_s = list[Answer](), 0.0

    async def watch() -> None:
        nonlocal longest_s
        last = time.thread_time()
        while True:
            await trio.lowlevel.checkpoint()
            longest_s = max(longest_s, time.thread_time() - last)
            last = time.thread_time()

    async def take(_connection: ChannelConnection, answer: Answer) -> None:
        answers.append(answer)

    async def main() -> None:
        ours, peer = socket.socketpair()
        ours.setblocking(False)
        async with trio.open_nursery() as nursery:
            connection = ChannelConnection(ours, ("127.0.0.1", 1), Clock(), nursery, take)
            connection.send_poll(1, 0)
            nursery.start_soon(trio.to_thread.run_sync, send_answer, peer, body)
            nursery.start_soon(watch)
            with trio.fail_after(20):
                while not answers:
                    await connection.wait_until(trio.current_time() + 1)
            connection.close()
            nursery.cancel_scope.cancel()

    with production_garbage_collection():
        trio.run(main)
    (cursor, changes), *others = answers
    assert not others
    assert cursor == len(changes) + 1 == 3 * RELEASES * LARGEST_FLEET + 1
    assert longest_s < MAX_STEP_S


def send_answer(peer: socket.socket, body: bytes) -> None:
    """Sends an answer to the poll."""
    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def test_several_releases_are_held_in_bounded_memory() -> None:
    """Guards against a front end that is killed for its memory by what it has missed (review/7)."""
    body = answer_body(release_events(RELEASES))
    tracemalloc.start()
    decoder = AnswerDecoder()
    for start in range(0, len(body), 65_536):
        decoder.feed(body[start : start + 65_536])
        while decoder.advance(100):
            pass
    decoder.finish()
    while decoder.advance(100):
        pass
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert decoder.answer is not None
    assert peak < MAX_MEMORY_BYTES


@pytest.mark.parametrize("seed", range(20))
def test_an_answer_is_the_same_in_whatever_pieces_it_arrives(seed: int) -> None:
    """Guards against entries that are lost or misread where a piece ends."""
    rng = Random(seed)
    events = [
        event(2, entry('ä"\\é\u2028'), entry("b", "draining")),
        {"cursor": 3, "nodes": None, "x": [1, {}]},
    ]
    events.append(event(4, *(entry(f"n{number}", port=number) for number in range(1, 9)), complete=True))
    body = orjson.dumps({"other": {"a": [1.5, None]}, "cmds": events, "cursor": 123_456})
    decoder, position = AnswerDecoder(), 0
    while position < len(body):
        end = position + rng.randrange(1, 12)
        decoder.feed(body[position:end])
        position = end
        while decoder.advance(rng.randrange(1, 4)):
            pass
    decoder.finish()
    while decoder.advance(1):
        pass
    assert decoder.answer == decode_answer(body)
    cursor, changes = decode_answer(body)
    assert (cursor, [change.cursor for change in changes]) == (123_456, [2, 4])


@pytest.mark.parametrize(
    "body",
    [
        b"", b"[]", b"{}", b'{"cursor":1}', b'{"cmds":[]}', b'{"cursor":1,"cmds":{}}', b'{"cursor":1,"cmds":[1]}',
        b'{"cursor":1,"cmds":[]}x', b'{"cursor":1,"cmds":[],}', b'{"cursor":NaN,"cmds":[]}', b'{"cursor":1.0,"cmds":[]}',
        b'{"cursor":1,"cmds":[{"cursor":1,"nodes":{}}]}', b'{"cursor":1,"cmds":[{"cursor":1,"nodes":[]}]}',
        b'{"cursor":1,"cmds":[{"nodes":{"members":[]}}]}', b'{"cursor":1,"cmds":[{"cursor":1,"nodes":false}]}',
        b'{"cursor":1,"cmds":[{"cursor":1,"nodes":{"members":[],"complete":1}}]}', b'{"cursor":1 "cmds":[]}',
        b'{"cursor":1,"cmds":[]', b'\xff', b'{"cursor":1,"cmds":' + b"[" * 100_000, b'{1:1}',
        orjson.dumps({"cursor": 1, "cmds": [event(1, entry("x"))]}).replace(b'"x"', b'"\\ud800"'),
    ],
)  # fmt: skip
def test_an_invalid_answer_yields_nothing(body: bytes) -> None:
    """Guards against a decoder that stops with another error, or takes what is no answer."""
    with pytest.raises(command_channel.ChannelError):
        decode_answer(body)


def test_a_whole_list_makes_room_for_what_follows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Past the bound, the events before the last whole list are dropped; without one the answer is refused."""
    limit = 8
    monkeypatch.setattr(answer_decoder, "MAX_ANSWER_MEMBERS", limit)
    changes = [event(cursor, entry(f"n{cursor}"), entry(f"m{cursor}")) for cursor in range(1, 4)]
    whole = event(4, entry("a"), entry("b"), complete=True)
    _, kept = decode_answer(answer_body([*changes, whole, event(5, entry("c"), entry("d"))]))
    assert [change.cursor for change in kept] == [4, 5]
    with pytest.raises(command_channel.AnswerTooLargeError):
        decode_answer(answer_body([*changes, event(4, *(entry(f"o{number}") for number in range(limit)))]))


def test_an_answer_that_cannot_be_taken_is_asked_for_seldom(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a poll at full pace for an answer that is always refused, and a log full of it (review/7)."""
    monkeypatch.setattr(answer_decoder, "MAX_ANSWER_MEMBERS", 4)
    watched_s, max_polls = 4.0, 12

    async def test(rig: PlatformRig) -> None:
        follower = rig.platform.channel_follower
        assert follower is not None
        warnings = list[str]()
        follower.log = Warnings(warnings)  # type: ignore[assignment]
        others = [entry(f"other-{number}", "removed") for number in range(8)]
        rig.channel.cmds.append(event(2, *others))
        rig.channel.polls.clear()
        await trio.sleep(watched_s)
        assert 0 < len(rig.channel.polls) <= max_polls
        assert warnings.count("channel broken") == 1
        assert not follower.freshness.is_current

    assert TOLD_AFTER_S > channel_follower.MAX_TOO_LARGE_RETRY_DELAY_S
    run_on_platform(test)


class Warnings:
    """A log that keeps the names of warnings."""

    def __init__(self, warnings: list[str]) -> None:
        """Adds to a list."""
        self.warnings = warnings

    def warning(self, name: str, **_fields: object) -> None:
        """Keeps a warning."""
        self.warnings.append(name)

    def info(self, name: str, **_fields: object) -> None:
        """Drops what is no warning."""
