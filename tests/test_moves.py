"""Moves: every reachable state of the state machine, the decisions around it, and whole moves with their
failures.
"""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import orjson
import pytest
import trio
from helpers import FREE, KEYED, PAID, TERMS, Fleet
from rig import Rig, run, standing, until

from oakcroft.decisions.moving.degrading_nodes import Fadings
from oakcroft.decisions.moving.handover import OVER, TABLE, Act, Course, Handover, Happening
from oakcroft.decisions.moving.move_rules import Reason, Way, allowed, keeps_to_its_zone, stays, way
from oakcroft.decisions.moving.move_scheduler import Mover, Pace, Why
from oakcroft.decisions.moving.drain_notice import Notices
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS, SECOND, Group, Listing, Node, Outcome, Playback
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp, words
from oakcroft.standins import rtp
from oakcroft.standins.playout import PlayoutNode

# Model check: all states of a move with all faults.


@dataclass(frozen=True)
class World:
    """Model of one playback, its copy and what the front end owes; simpler than the front end."""

    state: Course
    source: str  # plays, ending, gone
    target: str  # none, out, plays, ending, gone
    viewer: bool  # whether it is connected
    offer: str  # none, waits, answered
    held: str  # where the player plays: source, target, nothing
    doomed: str = ""  # a copy whose set-up is in progress is to be ended once it plays


START = World(Course.PLANNED, "plays", "none", True, "none", "source")


def possible(w: World) -> list[Happening]:
    """Returns the events that can happen next."""
    out = []
    if w.state is Course.PLANNED:
        out.append(Happening.DUE)
    if w.source == "plays":
        out += [Happening.SOURCE_DIED, Happening.SOURCE_ENDED]
    if w.source == "ending":
        out += [Happening.SOURCE_ENDED, Happening.SOURCE_DIED]
    if w.target == "out":
        out += [Happening.PLACED, Happening.NO_PLACE]
    if w.target == "plays":
        out += [Happening.TARGET_DIED, Happening.TARGET_DRAINS]
    if w.viewer:
        out.append(Happening.VIEWER_LEFT)
        if w.offer == "none" and w.state is Course.ASKED:
            out.append(Happening.OFFER)
        if w.offer == "answered" and w.target == "plays":
            out.append(Happening.CONFIRMED)
    move = Handover(w.state)
    if (timer := move.waits_for()) is not None:
        out.append(timer)
    if w.source == "plays":
        out.append(Happening.TAKEN_BACK)
    return out


def after(w: World, what: Happening) -> World:
    """Returns the model after an event: its direct effect first, then what the state machine has the front
    end do.
    """
    source, target, viewer, asked, held, doomed = w.source, w.target, w.viewer, w.offer, w.held, w.doomed
    if what in (Happening.SOURCE_DIED, Happening.SOURCE_ENDED):
        source, held = "gone", "nothing" if held == "source" else held
    elif what is Happening.TARGET_DIED:
        target, held = "gone", "nothing" if held == "target" else held
    elif what is Happening.PLACED:
        target = "ending" if doomed else "plays"
    elif what is Happening.NO_PLACE:
        target = "gone"
    elif what is Happening.VIEWER_LEFT:
        viewer, held = False, "nothing"
    elif what is Happening.OFFER:
        asked = "waits"
    elif what is Happening.CONFIRMED:
        held = "target"
    move = Handover(w.state)
    act = move.happens(what)
    if act is Act.PLACE:
        target = "out"
    elif act in (Act.GIVE, Act.GIVE_AS_ONLY):
        asked, held = "answered", "target" if act is Act.GIVE_AS_ONLY else held
    elif act is Act.REFUSE:
        asked = "answered"
    elif act is Act.SWITCH:
        held = "target"
    elif act is Act.END_SOURCE:
        held = "target" if viewer and target == "plays" else held
        source = "ending" if source == "plays" else source
    elif act in (Act.END_TARGET, Act.END_TARGET_AND_REFUSE):
        target, asked = "ending" if target == "plays" else target, "answered"
        held = "source" if held == "target" and source == "plays" else held
    elif act is Act.END_ALL:
        source = "ending" if source == "plays" else source
        target, doomed = ("ending" if target == "plays" else target), "yes" if target == "out" else ""
        asked = "answered" if asked == "waits" else asked
    elif act is Act.TELL_LOST:
        asked, held = ("answered" if asked == "waits" else asked), "nothing"
    return World(move.state, source, target, viewer, asked, held, doomed)


def test_every_reachable_state_has_a_way_out_and_keeps_the_promises() -> None:
    """Checks every reachable state of the model with all faults.

    Each state has a way out, every offer gets its answer, a playback whose source plays on is never lost, and
    no copy is left over.
    """
    seen, edge = {START}, [START]
    while edge:
        w = edge.pop()
        for what in possible(w):
            n = after(w, what)
            if n not in seen:
                seen.add(n)
                edge.append(n)
    states = Counter(w.state for w in seen)
    assert set(states) == set(Course)
    assert len(seen) == 38, len(seen)  # written in docs/moving.md
    for w in seen:
        if w.state not in OVER:
            assert any(after(w, what).state is not w.state for what in possible(w)), w  # it has a way out
        else:
            assert w.offer != "waits", w  # every offer has its answer
            if w.viewer and w.source == "plays":
                assert w.held == "source", w  # it plays on, whatever failed
            assert not (w.viewer and w.state is Course.DONE and w.held != "target" and w.target == "plays"), w
        assert not (w.source == "plays" and w.target == "plays" and w.state in OVER), (
            w
        )  # no copy is left over
        if w.state is Course.STAYED and w.viewer:
            assert w.source != "ending", w


def test_the_table_leads_only_forward_and_an_end_is_an_end() -> None:
    """No transition leaves an end state or keeps its state; a move that has ended ignores all events."""
    for (state, _), (to, _) in TABLE.items():
        assert state not in OVER
        assert to is not state
    move = Handover()
    for what in (
        Happening.DUE,
        Happening.OFFER,
        Happening.PLACED,
        Happening.CONFIRMED,
        Happening.SOURCE_ENDED,
    ):
        move.happens(what)
    assert move.over
    assert [move.happens(what) for what in Happening] == [Act.NOTHING] * len(Happening)


# The decisions around it: rules, notices, degrading nodes and the schedule.


def test_what_may_move_follows_from_the_rules() -> None:
    """Paid playbacks and unmovable players stay, keyed ones move within their group, and seats decide the
    order.
    """
    a, b = Node("a"), Node("b")
    a.zone, b.zone = "west", "east"
    assert stays(PAID, 0, 1, 0, True) is Reason.PAID
    assert stays(KEYED, 0, KEYED.key_lasts, 0, True) is Reason.KEY
    assert stays(KEYED, 0, 1, MS, True) is None
    assert stays(FREE, 0, 10**15, 0, False) is Reason.PLAYER
    assert not allowed(PAID, a, b)
    assert not allowed(FREE, a, a)
    assert allowed(FREE, a, b)
    assert KEYED.group is Group.ZONE
    assert not allowed(KEYED, a, b)
    confined = [KEYED, replace(KEYED, group=Group.CELL), replace(KEYED, group=Group.ALL), FREE, PAID]
    assert [keeps_to_its_zone(plan) for plan in confined] == [True, True, False, False, False]
    b.zone = "west"
    assert allowed(KEYED, a, b)
    seated = FREE.__class__(**{**FREE.__dict__, "seats": 2})
    assert way(seated, 1, 9 * SECOND, SECOND) is Way.MAKE_FIRST
    assert way(seated, 2, 9 * SECOND, SECOND) is Way.WAIT
    assert way(seated, 2, SECOND, SECOND) is Way.BREAK_FIRST


def test_notices_are_told_or_learnt() -> None:
    """The notice is the stated one or the estimate, which follows quickly downwards and slowly upwards."""
    n = Notices(10 * SECOND)
    assert n.begins("a", 0, None)
    assert not n.begins("a", SECOND, None)
    assert n.left("a", 2 * SECOND) == 6 * SECOND
    n.gone("a", 4 * SECOND)
    assert n.usual == 7 * SECOND  # follows quickly downwards
    n.begins("b", 0, None)
    n.gone("b", 17 * SECOND)
    assert n.usual == 8 * SECOND  # follows slowly upwards
    n.begins("c", 0, 30 * SECOND)
    assert n.left("c", 10 * SECOND) == 20 * SECOND
    n.gone("c", SECOND)
    assert n.usual == 8 * SECOND
    n.begins("d", 0, None)
    assert n.taken_back("d")
    assert n.left("d", 1) is None


def test_a_node_fades_by_falling_notes_and_never_in_a_squeeze_of_all() -> None:
    """Guards against false alarms that empty a good node.

    A node degrades only by falling reports while the others deliver more, and one node at a time.
    """
    falling = [0.95, 0.85, 0.78, 0.7]
    alone, shared, swinging = Fadings(), Fadings(), Fadings()
    assert [alone.note("n", s, 1.0, i * SECOND) for i, s in enumerate(falling)] == [False, False, False, True]
    assert not any(shared.note("n", s, 0.7, i * SECOND) for i, s in enumerate(falling))
    assert not any(swinging.note("n", s, 1.0, i * SECOND) for i, s in enumerate([0.6, 0.9, 0.5, 0.6]))
    assert not any(alone.note("m", s, 1.0, i * SECOND) for i, s in enumerate(falling))  # one node at a time
    alone.note("n", 1.0, 1.0, 9 * SECOND)
    assert "n" not in alone.leaving


def test_two_hundred_fronts_spread_a_drain_and_keep_few_moves_at_once() -> None:
    """The moves of many front ends spread over the notice, without a burst in any second."""
    begun, notice, step = list[int](), 20 * SECOND, 50 * MS
    for front in range(200):
        mover = Mover(Pace(), Random(front))
        assert mover.leave("n", [(f"{front}.{i}", 1.0) for i in range(3)], notice, Why.DRAIN, 0) == 3
        for now in range(0, notice, step):
            for wish in mover.begin(now, 99):
                begun.append(now)
                assert mover.over(wish.key, True, now + 100 * MS, notice - now) is False
    assert len(begun) == 600
    assert max(begun) <= notice * 0.7
    seconds = Counter(t // SECOND for t in begun)
    assert max(seconds.values()) < 2 * 600 / (20 * 0.7 - 1.5)  # no burst in any second


def test_the_mover_begins_the_dearest_first_within_its_bounds_and_tries_again() -> None:
    """Moves of most value begin first, within the limits, and are tried again while there is time."""
    mover = Mover(Pace(at_once=2, to_one=1), Random(1))
    mover.leave("n", [("a", 1.0), ("b", 3.0), ("c", 2.0)], 0, Why.DRAIN, 0)
    assert [w.key for w in mover.begin(0, 9)] == ["b", "c"]
    assert mover.begin(10 * SECOND, 9) == []
    mover.goes_to("b", "t")
    assert not mover.may_go_to("c", "t")
    assert mover.may_go_to("b", "t")
    assert mover.over("b", False, 0, 5 * SECOND)  # it stayed, and there is time for another attempt
    assert not mover.over("c", True, 0, 5 * SECOND)
    assert mover.begin(SECOND, 0) == []  # no further tries are left
    assert {w.key for w in mover.begin(20 * SECOND, 9)} == {"a", "b"}
    assert not mover.over("b", False, 0, 100 * MS)  # too late for another attempt
    assert mover.taken_back("n") == ["a"]
    assert mover.leave("n", [("a", 1.0)], 0, Why.DRAIN, 0) == 0  # in progress already
    assert mover.next_due(0) is None


def test_a_copy_is_a_further_try_in_the_module_and_never_refused_at_the_door() -> None:
    """The copy of a playback counts as a further try, and is not rejected by admission control as a new
    request.
    """
    terms = TERMS.__class__(
        **{**TERMS.__dict__, "tries_free": 1.0, "tries_share": 0.0, "tries_window": 10 * SECOND}
    )
    fleet = Fleet(terms=terms)
    fleet.control.x = 9.0  # all new requests are rejected
    first = Playback(fleet.ask().title, FREE, 2, fleet.now + SECOND, False)
    answers = []
    for _ in range(2):
        copy = Playback(first.title, FREE, 2, fleet.now + SECOND, True)
        copy.beside = first
        fleet.control.arrived(copy, fleet.now)
        answers.append(fleet.answers(copy))
    assert answers == [[], ["reject"]]
    assert len(fleet.sends()) == 1
    fleet.control.tried(first, Outcome.DONE, True, None, None, None, fleet.now)


# Whole moves on sockets, with a front end and playout nodes.


@dataclass
class Player:
    """A viewer that can be moved."""

    rig: Rig
    sat: Response
    here: str
    told: trio.Event
    ended: trio.Event

    async def listen(self) -> None:
        """Reads its event stream and notes the request for an offer and the end of the playback."""
        peer, reader = Peer("127.0.0.1", self.rig.port), words.EventReader()
        with suppress(Ended):  # its front end may stop
            async with peer.stream("GET", f"{self.here}/events?kinds=inactive.move", []) as (_, chunks):
                async for chunk in chunks:
                    for name, data in reader.feed(chunk):
                        if name == "move":
                            assert orjson.loads(data) == {"offer": f"{self.here}/move"}
                            self.told.set()
                        elif name == "inactive":
                            self.ended.set()
        self.ended.set()

    async def offer(self) -> Response:
        """Makes its offer for the move."""
        return await self.rig.ask(
            "POST", f"{self.here}/move", offer(9_000, 2).encode(), Content_Type=sdp.MEDIA_TYPE
        )

    async def done(self) -> None:
        """Confirms that it plays from the target."""
        assert (await self.rig.ask("POST", f"{self.here}/move/done")).status == 204


async def playing(rig: Rig, nursery: trio.Nursery, path: str = "/whep/open/t") -> Player:
    """Starts a playback and its event stream."""
    sat = await rig.watch(path)
    assert sat.status == 201
    player = Player(rig, sat, sat.header("location") or "", trio.Event(), trio.Event())
    nursery.start_soon(player.listen)
    helm = rig.front.helm if rig.front else None
    assert helm is not None
    v = helm.sessions[player.here.rpartition("/")[2]]
    await until(lambda: v.readers and all(n.ears for n in rig.playing()))
    return player


def drain(rig: Rig) -> tuple[PlayoutNode, PlayoutNode]:
    """Begins to drain the node that plays; returns it and the other one."""
    source = rig.playing()[0]
    other = next(n for n in rig.fleet.nodes.values() if n is not source)
    source.ails.draining = True
    rig.fleet.publish()
    return source, other


def ends(rig: Rig) -> list[str]:
    """Returns the end states of all moves so far, from the log."""
    return [e["end"] for e in rig.logged() if e["event"] == "moved"]


def test_a_playback_leaves_a_draining_node_and_its_player_keeps_its_session(tmp_path: Path) -> None:
    """A move off a draining node keeps the session: the copy plays before the source ends."""

    async def test() -> None:
        async with standing(tmp_path) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            source, target = drain(rig)
            await player.told.wait()
            moved = await player.offer()
            assert (moved.status, moved.header("location")) == (201, player.here)
            assert moved.header("etag") != player.sat.header("etag") or target.name != source.name
            assert source.sessions
            assert target.sessions  # make before break
            await player.done()
            await until(lambda: not source.sessions and target.sessions)
            await until(lambda: ends(rig) == ["done"])
            assert (await rig.ask("POST", f"{player.here}/layer", b'{"encodingId": "1"}')).status == 200
            assert not player.ended.is_set()
            assert (await rig.ask("DELETE", player.here)).status == 200
            await until(lambda: not rig.playing())
            helm = rig.front.helm if rig.front else None
            assert helm is not None
            await until(lambda: not helm.viewings and helm.playing == 0 and not helm.upstreams)
            nursery.cancel_scope.cancel()

    run(test)


async def moved_away(rig: Rig, player: Player) -> PlayoutNode:
    """Drains the node that plays until its playback plays on the other one; returns the node that it left."""
    helm, before = rig.helm(), len(ends(rig))
    player.told = trio.Event()
    source, _ = drain(rig)
    await player.told.wait()
    assert (await player.offer()).status == 201
    await player.done()
    await until(lambda: len(ends(rig)) > before and not source.sessions)
    assert ends(rig)[-1] == "done"
    source.ails.draining = False
    rig.fleet.publish()
    await until(lambda: helm.roster.lines[source.name].listing is Listing.READY)
    return source


def test_a_playback_moves_back_to_the_node_that_it_left(tmp_path: Path) -> None:
    """A node that was left and is ready again can be the target of a later move."""

    async def test() -> None:
        async with standing(tmp_path) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            first = await moved_away(rig, player)
            second = await moved_away(rig, player)
            assert second is not first
            assert rig.playing() == [first]
            nursery.cancel_scope.cancel()

    run(test)


def test_a_copy_keeps_to_the_pool_of_its_route(tmp_path: Path) -> None:
    """Guards against a copy on a node outside the pool of its route."""
    form = """(pool first (nodes n1)) (route first (path "/whep/first/") (plan open) (pool first))"""

    async def test() -> None:
        async with standing(tmp_path, form) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery, "/whep/first/t")
            assert [n.name for n in rig.playing()] == ["n1"]
            drain(rig)
            await player.told.wait()
            assert (await player.offer()).status == 503
            assert [n.name for n in rig.playing()] == ["n1"]
            nursery.cancel_scope.cancel()

    run(test)


def test_paid_playbacks_and_plain_players_stay(tmp_path: Path) -> None:
    """A paid playback on a draining node stays there, and its player is not asked."""

    async def test() -> None:
        async with standing(tmp_path) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery, "/whep/course/t")
            drain(rig)
            await until(lambda: any(e["event"] == "leaving node" for e in rig.logged()))
            said = next(e for e in rig.logged() if e["event"] == "leaving node")
            assert (said["moves"], said["stay"]) == (0, 1)
            assert (await player.offer()).status == 409
            assert not player.told.is_set()
            assert len(rig.facts("ran")) == 1
            nursery.cancel_scope.cancel()

    run(test)


@pytest.mark.parametrize(
    "fault",
    ["silent player", "target refuses", "target dies beside", "source dies asked", "source dies placing",
     "viewer leaves beside", "taken back", "taken back placing", "source dies beside"],
)  # fmt: skip
def test_whatever_fails_in_a_move_has_its_stated_end(tmp_path: Path, fault: str) -> None:
    """Each failure during a move leads to its defined end state, on real sockets."""

    async def test() -> None:
        async with standing(tmp_path, fleet="(most-tries 1)") as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            source, target = drain(rig)
            await player.told.wait()
            answers: list[Response] = []

            async def offer_() -> None:
                answers.append(await player.offer())

            match fault:
                case "silent player":
                    await until(lambda: ends(rig))
                    assert ends(rig)[0] == "stayed"
                    assert source.sessions
                case "target refuses":
                    target.machine.places = 0
                    assert (await player.offer()).status == 503
                    assert ends(rig) == ["stayed"]
                    assert source.sessions
                case "target dies beside":
                    assert (await player.offer()).status == 201
                    target.kill()
                    await until(lambda: ends(rig) == ["stayed"])
                    assert source.sessions
                case "source dies asked":
                    source.kill()
                    await player.ended.wait()
                    assert ends(rig) == ["lost"]
                case "source dies placing":
                    target.ails.hung = True
                    nursery.start_soon(offer_)
                    await until(lambda: target.sessions)
                    source.kill()
                    await until(lambda: any(e.get("state") == Course.ORPHANED.value for e in rig.logged()))
                    target.ails.hung = False
                    target.stir()
                    await until(lambda: answers)
                    assert answers[0].status == 201  # the copy has become the playback
                    assert not player.ended.is_set()
                    assert (await rig.ask("DELETE", player.here)).status == 200
                case "viewer leaves beside":
                    assert (await player.offer()).status == 201
                    assert (await rig.ask("DELETE", player.here)).status == 200
                    await until(lambda: not rig.playing())
                case "taken back":
                    source.ails.draining = False
                    rig.fleet.publish()
                    await until(lambda: ends(rig) == ["stayed"])
                    assert (await player.offer()).status == 409
                case "taken back placing":
                    target.ails.hung = True
                    nursery.start_soon(offer_)
                    await until(lambda: target.sessions)
                    source.ails.draining = False
                    rig.fleet.publish()
                    await until(lambda: any(e.get("state") == Course.RECALLED.value for e in rig.logged()))
                    target.ails.hung = False
                    target.stir()
                    await until(lambda: answers and not target.sessions)
                    assert answers[0].status == 503
                    assert source.sessions
                case "source dies beside":
                    assert (await player.offer()).status == 201
                    source.kill()
                    await until(lambda: ends(rig) == ["done"])
                    assert not player.ended.is_set()
                    assert (await rig.ask("DELETE", player.here)).status == 200
                    await until(lambda: not rig.playing())
            nursery.cancel_scope.cancel()

    run(test)


def test_rtp_is_read_as_it_is_sent_and_a_screen_plays_an_overlap_once() -> None:
    """RTP packets are parsed as sent, and a player plays overlapping streams once."""
    for i in range(5):
        sent = rtp.packet(65_535 + i, 1000 + i, 7, 123, 2)
        read = rtp.parse(sent)
        assert read is not None
        assert (read.sequence, read.source, read.rung) == ((65_535 + i) & 0xFFFF, 7, 2)
    assert rtp.parse(b"\x80" * 21) is None
    assert rtp.parse(b"") is None
    screen = rtp.Playout()
    ticks = [(0, 1), (1, 1), (2, 1), (2, 2), (3, 2), (3, 1), (4, 2), (9, 2)]
    for tick, source in ticks:
        packet = rtp.parse(rtp.packet(tick, tick, source, 0, 0))
        assert packet is not None
        screen.take(packet, tick * rtp.INTERVAL + 1)
    assert (screen.played, screen.doubles, screen.longest) == (6, 2, 5 * rtp.INTERVAL)
