"""Session takeover with several front-end processes that are killed, paused, partitioned and restarted.

The nodes record which front end holds which session; the tests check their records and the answers to requests.
"""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
import trio
from rig import run_async_test
from test_peers import TOKEN, Fronts, fronts

from oakcroft.decisions.fleet.session_takeover import HASH_SLOTS_PER_NODE
from oakcroft.decisions.membership.rendezvous import rank_order, weight
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.rehearsal.viewers import offer
from oakcroft.rulecheck.session_ownership import check_session_ownership, count_taken_over_and_ended
from oakcroft.rulecheck.rules import check_rules
from oakcroft.signalling import sdp, takeover_messages

FACT_KINDS = ("ran", "passed", "rung", "over", "listens", "death")


class TakeoverFronts(Fronts):
    """Front ends that take over each other's sessions."""

    takeover_form = "(adopting (after 200ms) (lease 10s))"
    has_state_file = False
    has_planted_breach = False  # set by a test that has caused a breach on purpose

    def file(self, name: str) -> Path:
        path = super().file(name)
        text = path.read_text()
        if self.has_state_file:
            text = text.replace("(zone west)", f'(zone west) (state "{self.folder}/{name}.state")', 1)
        path.write_text(f"{text}\n{self.takeover_form}")
        return path

    async def request(self, name: str, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
        peer = HttpClient("127.0.0.1", self.ports[name], connect_timeout_s=0.5)
        try:
            fields = [(header.replace("_", "-"), value) for header, value in headers.items()]
            return await peer.request(method, path, fields, body)
        finally:
            await peer.close()

    async def request_playback(self, name: str, path: str, key: str) -> Response:
        body = offer(20_000, 1, path.startswith("/whip")).encode()
        return await self.request(
            name, "POST", path, body, Content_Type=sdp.MEDIA_TYPE, Idempotency_Key=f'"{key}"'
        )

    async def request_until_playing(self, name: str, path: str, key: str) -> Response:
        """Requests a playback until it plays; a front end that has just started limits set-ups to its nodes."""
        with trio.fail_after(20):
            while (answer := await self.request_playback(name, path, key)).status in (429, 503):
                await trio.sleep(0.1)
        assert answer.status == 201, answer
        return answer

    async def status(self, name: str) -> dict[str, Any]:
        try:
            with trio.fail_after(2):
                response = await self.request(
                    name, "GET", "/operators/status", Authorization=f"Bearer {TOKEN}"
                )
            return dict(orjson.loads(response.body))
        except (ExchangeError, trio.TooSlowError):
            return {}

    def holders_by_key(self) -> dict[str, str]:
        """Returns the front end that holds each session, by idempotency key, as the nodes have it."""
        sessions = [session for node in self.nodes.nodes.values() for session in node.sessions.values()]
        return {session.key: session.holder.member for session in sessions}

    async def start_playbacks(self, name: str, count: int, plan: str = "open") -> list[str]:
        keys = [f"{name}-{plan}-{i}" for i in range(count)]
        for i, key in enumerate(keys):
            await self.request_until_playing(name, f"/whep/{plan}/t{i % 3}", key)
        return keys

    async def wait_until(self, condition: Callable[[], object], timeout_s: float = 10) -> None:
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.02)

    async def wait_until_playing(self, name: str, count: int, timeout_s: float = 10) -> None:
        """Waits until a front end has that many sessions of its own."""
        with trio.fail_after(timeout_s):
            while (await self.status(name)).get("playing", 0) < count:
                await trio.sleep(0.05)

    async def request_ignoring_errors(self, name: str, method: str, path: str) -> None:
        """Sends a request that the front end may never answer."""
        with trio.move_on_after(20), suppress(ExchangeError, OSError):
            await self.request(name, method, path)

    def lose_streams(self, name: str) -> None:
        """Closes a front end's event streams at the nodes, as if its machine had failed."""
        sessions = [session for node in self.nodes.nodes.values() for session in node.sessions.values()]
        pseudonyms = {session.front for session in sessions if session.holder.member == name}
        for node in self.nodes.nodes.values():
            for front in pseudonyms & set(node.subscriptions):
                if (channel := node.subscriptions[front].channel) is not None:
                    channel.close()

    def assert_rules_hold(self) -> None:
        """Asserts that each session had one front end at a time and that no front end exceeded its seats."""
        if self.has_planted_breach:
            return
        facts = self.facts(*FACT_KINDS, "setup", "answer", "broken")
        found = [*check_session_ownership(facts), check_rules(facts, self.nodes.day.site)[4]]
        assert [rule.breaches for rule in found] == [[]] * 4, found

    async def wait_until_held_by(
        self, keys: list[str], among: set[str], timeout_s: float = 14
    ) -> Counter[str]:
        """Waits until all sessions with these keys are held by front ends in `among`; counts them by front end."""
        holders: dict[str, str] = {}
        with trio.move_on_after(timeout_s):
            while True:
                holders = self.holders_by_key()
                if all(holders.get(key) in among for key in keys):
                    return Counter(holders[key] for key in keys)
                await trio.sleep(0.05)
        raise AssertionError(Counter(holders.get(key) for key in keys))


def run_on_takeover_fronts(
    folder: Path,
    test: Callable[[TakeoverFronts], Awaitable[None]],
    kind: type[TakeoverFronts] = TakeoverFronts,
) -> None:
    async def run_and_check() -> None:
        async with fronts(folder, 5, kind) as rig:
            assert isinstance(rig, TakeoverFronts)
            await test(rig)
            rig.assert_rules_hold()

    run_async_test(run_and_check, 100)


def test_playbacks_outlive_their_front_and_the_next_one_and_their_keys_are_known(tmp_path: Path) -> None:
    async def test(rig: TakeoverFronts) -> None:
        keys = await rig.start_playbacks("f2", 12) + await rig.start_playbacks("f2", 6, "course")
        first = await rig.request_until_playing("f2", "/whep/course/t9", "paid")
        other_fronts = {n for n in rig.names if n != "f2"}
        rig.signal("f2", signal.SIGKILL)
        spread = await rig.wait_until_held_by([*keys, "paid"], other_fronts)
        assert len(spread) >= 3, spread  # the three requesting fronts of each node take a share each

        # A paid request repeated at the new holder gets the same answer, without a second set-up.
        holder = rig.holders_by_key()["paid"]
        repeated = await rig.request_playback(holder, "/whep/course/t9", "paid")
        assert (repeated.status, repeated.body) == (201, first.body)
        assert len([fact for fact in rig.facts("ran") if fact["key"] == "paid"]) == 1

        # Its viewer ends it there, at the location that it was given at first.
        location = str(first.header("location")).split("://", 1)[-1]
        ended = await rig.request(holder, "DELETE", location[location.index("/") :])
        assert ended.status == 200
        await rig.wait_until(lambda: "paid" not in rig.holders_by_key())

        # The front end that took over most fails too: its sessions are taken over, including those.
        second = spread.most_common(1)[0][0]
        rig.signal(second, signal.SIGKILL)
        await rig.wait_until_held_by(keys, other_fronts - {second})
        # The sessions that the nodes' leases would have ended still play after all requests are done.
        with trio.fail_after(30):
            for name in sorted(other_fronts - {second}):
                while (await rig.status(name))["adopting"]["asking"]:
                    await trio.sleep(0.1)
        assert set(keys) <= set(rig.holders_by_key())
        assert not [fact for fact in rig.facts("over") if fact["why"] == "front gone"]

    run_on_takeover_fronts(tmp_path, test)


def test_a_front_paused_during_a_takeover_changes_nothing_late(tmp_path: Path) -> None:
    async def test(rig: TakeoverFronts) -> None:
        keys = await rig.start_playbacks("f1", 8)
        first = await rig.request_until_playing("f1", "/whep/open/t5", "mine")
        location = str(first.header("location")).split("://", 1)[-1]
        path = location[location.index("/") :]
        other_fronts = {n for n in rig.names if n != "f1"}
        rig.signal(front_name := "f1", signal.SIGSTOP)
        # While nodes have its event stream, none of its sessions is taken over, whatever the other front ends see.
        await rig.wait_for_states(sorted(other_fronts), {front_name: "gone"}, 12)
        with trio.fail_after(10):
            while not any([(await rig.status(n))["adopting"]["asking"] for n in sorted(other_fronts)]):
                await trio.sleep(0.05)
        assert await rig.wait_until_held_by([*keys, "mine"], {front_name})
        # A viewer's request waits for the paused front end; its event streams break, and others take its sessions over.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.request_ignoring_errors, front_name, "DELETE", path)
            rig.lose_streams(front_name)
            await rig.wait_until_held_by([*keys, "mine"], other_fronts)
            rig.signal(front_name, signal.SIGCONT)
            await rig.wait_for_states(sorted(other_fronts), {front_name: "alive"}, 12)
            # The viewer's request may be handled before the nodes' report on the ninth session.
            with trio.fail_after(10):
                while (await rig.status(front_name))["adopting"]["passed_on"] < 8:
                    await trio.sleep(0.05)
        assert set(rig.holders_by_key()) == {*keys, "mine"}
        assert (await rig.status(front_name))["playing"] == 0
        assert len(rig.facts("turned away")) <= 1
        assert b"node lost" not in (tmp_path / "f1.log").read_bytes()
        await rig.request_until_playing(front_name, "/whep/open/t6", "after")

    run_on_takeover_fronts(tmp_path, test)


def test_a_partition_causes_no_takeover_and_a_restarted_front_gets_its_sessions_back(tmp_path: Path) -> None:
    async def test(rig: TakeoverFronts) -> None:
        keys = {n: await rig.start_playbacks(n, 4) for n in rig.names}
        halves = {"f0", "f1"}, {"f2", "f3", "f4"}
        for one_half, other_half in (halves, halves[::-1]):
            rig.network.cut(one_half, other_half)
        await rig.wait_for_states(["f0", "f1"], dict.fromkeys(halves[1], "gone"), 12)
        await rig.wait_for_states(sorted(halves[1]), dict.fromkeys(halves[0], "gone"), 12)
        with trio.fail_after(10):
            while not any([(await rig.status(n))["adopting"]["asking"] for n in rig.names]):
                await trio.sleep(0.05)
        rig.network.heal()
        await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"), 12)
        assert not rig.facts("passed")
        assert all([await rig.wait_until_held_by(keys[n], {n}) for n in rig.names])

        # Killed and restarted at once without a state file: it takes over the sessions of its previous run.
        rig.signal("f3", signal.SIGKILL)
        await rig.processes["f3"].wait()
        await rig.start("f3")
        await rig.wait_until_held_by(keys["f3"], set(rig.names))
        await rig.wait_until(lambda: len(rig.facts("passed")) >= 4)
        await rig.wait_until_playing(
            "f3", 4
        )  # the node's record comes before the front end has read its answer
        new_holders = {fact["front"] for fact in rig.facts("passed")}
        assert all(m.startswith("front-3-") for m in new_holders), new_holders
        repeated = await rig.request_playback("f3", "/whep/open/t0", keys["f3"][0])
        assert repeated.status == 201
        assert len([fact for fact in rig.facts("ran") if fact["key"] == keys["f3"][0]]) == 1

    run_on_takeover_fronts(tmp_path, test)


class FrontsWithState(TakeoverFronts):
    """Front ends with state files."""

    has_state_file = True


def test_a_front_with_a_state_file_restores_its_sessions_and_others_share_those_of_a_failed_one(
    tmp_path: Path,
) -> None:
    async def test(rig: TakeoverFronts) -> None:
        keys = await rig.start_playbacks("f1", 4) + await rig.start_playbacks("f1", 4, "course")
        rig.signal("f1", signal.SIGKILL)
        await rig.processes["f1"].wait()
        await rig.start("f1")
        await rig.wait_until_held_by(keys, {"f1"})
        assert not rig.facts("passed")  # it restored them from its state file
        repeated = await rig.request_playback("f1", "/whep/course/t0", keys[4])
        assert repeated.status == 201

        other_fronts = {n for n in rig.names if n != "f1"}
        rig.signal("f1", signal.SIGKILL)
        await rig.processes["f1"].wait()
        spread = await rig.wait_until_held_by(keys, other_fronts)
        holder = rig.holders_by_key()[keys[4]]
        # A front end records a session that it takes over: after a restart it knows the key and sets nothing up.
        rig.signal(holder, signal.SIGKILL)
        await rig.processes[holder].wait()
        await rig.start(holder)
        await rig.wait_until_held_by([keys[4]], {holder})
        repeated = await rig.request_playback(holder, "/whep/course/t0", keys[4])
        assert repeated.status == 201
        assert len([fact for fact in rig.facts("ran") if fact["key"] == keys[4]]) == 1

        # The failed front end restarts late with its state file: it ends no session that others hold.
        await rig.start("f1")
        with trio.fail_after(10):
            while (await rig.status("f1"))["adopting"]["passed_on"] < len(keys) - spread.get("f1", 0):
                await trio.sleep(0.05)
        assert set(keys) <= set(rig.holders_by_key())
        assert "f1" not in {rig.holders_by_key()[k] for k in keys}

    run_on_takeover_fronts(tmp_path, test, FrontsWithState)


class FrontsWithLongDrain(TakeoverFronts):
    """Front ends that drain for a long time when they stop."""

    def file(self, name: str) -> Path:
        path = super().file(name)
        text = path.read_text()
        path.write_text(
            text.replace("(drain-within 1s) (leave-within 1s)", "(drain-within 14s) (leave-within 1s)")
        )
        return path


def test_a_front_that_is_leaving_takes_nothing_over(tmp_path: Path) -> None:
    async def test(rig: TakeoverFronts) -> None:
        dead, node = "f4", "n1"
        order = rank_order(
            f"{node}/{weight('slot', dead) % HASH_SLOTS_PER_NODE}", [n for n in rig.names if n != dead]
        )
        leaving = order[0]  # the first that would send a takeover request
        keys = await rig.start_playbacks(dead, 10)
        kept = await rig.start_playbacks(leaving, 2)
        rig.signal(leaving, signal.SIGTERM)
        rig.signal(dead, signal.SIGKILL)
        await rig.wait_until_held_by(keys, set(order[1:]))
        number = leaving.removeprefix("f")
        assert not [fact for fact in rig.facts("passed") if fact["front"].startswith(f"front-{number}-")]
        assert await rig.wait_until_held_by(kept, {leaving})

    run_on_takeover_fronts(tmp_path, test, FrontsWithLongDrain)


def test_sessions_without_a_free_seat_are_declined_and_no_rule_is_broken(tmp_path: Path) -> None:
    async def test(rig: TakeoverFronts) -> None:
        for name in ("f0", "f1", "f2", "f3"):  # each front end has two seats a title
            for i in range(2):
                await rig.request_until_playing(name, "/whep/seats/t0", f"{name}-seat-{i}")
        rig.signal("f0", signal.SIGKILL)
        await rig.wait_until_held_by(["f0-seat-0", "f0-seat-1"], {"f4"})
        # No front end has seats for its two: nodes end them when the lease expires.
        rig.signal("f1", signal.SIGKILL)
        ended = {"f1-seat-0", "f1-seat-1"}
        await rig.wait_until(lambda: not ended & set(rig.holders_by_key()), 25)
        why = {fact["why"] for fact in rig.facts("over") if fact["key"] in ended}
        assert why == {"front gone"}
        declined = [(await rig.status(n))["adopting"]["left"] for n in ("f2", "f3", "f4")]
        assert any("its seats are taken" in t for t in declined), declined

    run_on_takeover_fronts(tmp_path, test)


def test_the_check_finds_takeovers_and_changes_that_a_node_must_not_allow() -> None:
    def fact(t: int, kind: str, **fields: Any) -> dict[str, Any]:
        return {"t": t, "kind": kind, "node": "n1", **fields}

    valid = [
        fact(1, "listens", front="a", open=True), fact(2, "ran", session="s", front="a", key="k"),
        fact(3, "rung", session="s", front="a", rung=1), fact(4, "listens", front="a", open=False),
        fact(9, "passed", session="s", before="a", front="b"),
        fact(10, "over", session="s", front="b", why="deleted", by="b"),
    ]  # fmt: skip
    assert [rule.breaches for rule in check_session_ownership(valid)] == [[], [], []]
    assert count_taken_over_and_ended(valid) == (1, 0)
    late = [*valid[:5], fact(10, "rung", session="s", front="a", rung=0)]
    assert [len(rule.breaches) for rule in check_session_ownership(late)] == [1, 0, 0]
    ended = [*valid[:5], fact(10, "over", session="s", front="b", why="deleted", by="a")]
    assert [len(rule.breaches) for rule in check_session_ownership(ended)] == [1, 0, 0]
    taken_while_connected = [fact for fact in valid if not (fact["kind"] == "listens" and not fact["open"])]
    assert [len(rule.breaches) for rule in check_session_ownership(taken_while_connected)] == [0, 1, 0]
    twice = [*valid[:5], fact(10, "passed", session="s", before="a", front="c")]
    assert [len(rule.breaches) for rule in check_session_ownership(twice)] == [1, 0, 1]


def test_late_requests_of_a_former_holder_are_rejected_and_a_node_that_accepts_them_is_found(
    tmp_path: Path,
) -> None:
    async def test(rig: TakeoverFronts) -> None:
        await rig.request_until_playing("f1", "/whep/open/t5", "mine")
        node = next(n for n in rig.nodes.nodes.values() if n.sessions)
        (session,) = node.sessions.values()
        late = [
            ("Via", f"1.1 {session.front}"),
            (takeover_messages.FRONT_HEADER, takeover_messages.format_front("f1", session.holder.generation)),
        ]
        path = f"/sessions/{session.id}"
        rig.signal("f1", signal.SIGKILL)
        await rig.wait_until_held_by(["mine"], {n for n in rig.names if n != "f1"})
        rung = node.machine.streams[session.id].rung

        async def send_late(method: str, target: str, body: bytes = b"") -> int:
            peer = HttpClient("127.0.0.1", node.port)
            answer = await peer.request(method, target, late, body)
            await peer.close()
            return answer.status

        # Late requests of the failed front end: a rung change, a trickle ICE fragment, an end and a takeover.
        assert await send_late("POST", f"{path}/layer", b'{"encodingId": "0"}') == 409
        assert await send_late("PATCH", path) == 409
        assert await send_late("DELETE", path) == 409
        taking = orjson.dumps({"sessions": [path]})
        assert await send_late("POST", takeover_messages.SESSIONS_PATH, taking) == 200
        assert rig.holders_by_key() == {"mine": session.holder.member}
        assert session.holder.member != "f1"
        assert node.machine.streams[session.id].rung == rung
        rig.assert_rules_hold()

        node.faults.skips_holder_check = True
        assert await send_late("DELETE", path) == 200
        (held, *_) = check_session_ownership(rig.facts(*FACT_KINDS))
        assert any("ended by front-1-" in b for b in held.breaches), held
        rig.has_planted_breach = True

    run_on_takeover_fronts(tmp_path, test)
