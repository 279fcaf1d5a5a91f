"""Load sharing among fronts: who probes which node, what is passed on and how old it is, and what the module makes of it.

The last test runs several processes, with a front that is killed and one that sends false loads.
"""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio
from hypothesis import given, settings, strategies as st
from helpers import Fleet
from rig import run
from test_adopting import Adopters
from test_peers import KEY, fronts

from oakcroft.decisions.fleet.load_sharing import (
    AT_ONCE,
    FANOUT,
    MOST_AGE,
    MOST_ROWS,
    SECOND_AFTER,
    Figures,
    Row,
    mark,
)
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.peerwire.load_codec import LoadCodec
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM
from oakcroft.peerwire.sealing import KeyRing

EVERY = 2500 * MS
NAMES = [f"f{i}" for i in range(9)]
NODES = {f"n{i}": 1_000 + i for i in range(30)}


def front(name: str = "f0", present: list[str] = NAMES, nodes: dict[str, int] = NODES) -> Figures:
    figures = Figures(name, EVERY, Random(name))
    figures.listed(nodes)
    figures.sees(present)
    return figures


def due(figures: Figures, now: int) -> set[str]:
    """Returns all nodes that a front would probe now where no probe is answered."""
    some, asked = set(figures.due(now)), set[str]()
    while some:
        asked |= some
        for node in some:
            figures.asked(node, None, True, now)
        some = set(figures.due(now))
    return asked


def test_each_node_is_asked_by_one_and_few_pass_on_where_one_goes() -> None:
    first = {n: due(front(n), SECOND) for n in NAMES}
    assert set().union(*first.values()) == set(NODES)
    assert sum(len(s) for s in first.values()) == len(NODES)
    rest = [n for n in NAMES if n != "f4"]
    then = {n: due(front(n, rest), SECOND) for n in rest}
    assert set().union(*then.values()) == set(NODES)
    assert all(first[n] <= then[n] for n in rest)  # only the nodes of f4 have moved to other fronts


def test_the_second_in_line_asks_where_the_first_has_long_been_silent() -> None:
    late = 1 + SECOND_AFTER * EVERY
    asked = [due(front(n), late) for n in NAMES]
    assert sum(len(s) for s in asked) == 2 * len(NODES)


def test_what_traffic_tells_is_not_asked_for_and_told_at_the_interval() -> None:
    figures = front(present=["f0", "f1"])
    (one, *_) = sorted(due(figures, 0))
    figures = front(present=["f0", "f1"])
    figures.due(0)
    figures.own(one, 0.5, 0, 10 * SECOND)
    assert one not in due(figures, 10 * SECOND)
    ((to, rows),) = figures.tells(10 * SECOND)
    assert (to, [(r.mark, r.asked) for r in rows]) == ("f1", [(mark(one, NODES[one]), 0.5)])
    for i in range(5):  # loads seen before the interval is over are not reported
        figures.own(one, 0.6, 0, 10 * SECOND + (i + 1) * 100 * MS)
    told = [figures.tells(11 * SECOND + i * SECOND) for i in range(5)]
    assert sum(bool(t) for t in told) <= 2
    figures.own(one, 0.7, 0, 20 * SECOND)
    assert figures.tells(20 * SECOND)[0][1][0].asked == 0.7


def test_news_goes_on_a_few_times_grows_older_and_ends() -> None:
    figures = front("f3")
    (node,) = list(NODES)[:1]
    assert figures.heard([Row(mark(node, NODES[node]), 0.8, 300 * MS)], 10 * SECOND) == [
        (node, 0.8, 305 * MS)
    ]
    assert figures.heard([Row(mark(node, NODES[node]), 0.8, 300 * MS)], 10 * SECOND) == []  # known already
    rounds, now, ages = 0, 10 * SECOND, []
    while tells := figures.tells(now):
        assert len(tells) == FANOUT
        assert len({to for to, _ in tells}) == FANOUT
        assert "f3" not in {to for to, _ in tells}
        ages.append(tells[0][1][0].age)
        rounds, now = rounds + 1, now + SECOND
    assert 2 <= rounds <= 3
    assert ages == [305 * MS + i * SECOND for i in range(rounds)]


def test_nothing_of_an_earlier_process_or_of_no_sound_figure_comes_to_life() -> None:
    figures, node = front(), "n5"
    old = mark(node, NODES[node])
    figures.own(node, 0.9, 0, SECOND)
    figures.listed({**NODES, node: 5_000})
    assert figures.places[node].figure is None
    assert figures.heard([Row(old, 0.9, 0)], 2 * SECOND) == []
    new = mark(node, 5_000)
    for load, age in ((float("nan"), 0), (-0.1, 0), (1e9, 0), (0.5, MOST_AGE + 1), (0.5, -1)):
        assert figures.heard([Row(new, load, age)], 2 * SECOND) == []
    assert figures.strange == 6
    assert figures.heard([Row(new, 0.5, 0)], 2 * SECOND)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 80))
def test_asks_rows_and_tables_are_bounded(seed: int, nodes: int) -> None:
    rng = Random(seed)
    list_ = {f"n{i}": i for i in range(nodes)}
    figures, now, out = front(nodes=list_), 0, set[str]()
    for _ in range(80):
        now += rng.randrange(SECOND)
        if rng.random() < 0.2:
            figures.listed({n: s for n, s in list_.items() if rng.random() < 0.8})
            out &= set(figures.places)
        if rng.random() < 0.2:
            figures.sees(n for n in NAMES if rng.random() < 0.7)
        new = figures.due(now)
        assert not out & set(new)
        out |= set(new)
        assert len(out) <= AT_ONCE
        assert figures.asking == sum(p.out for p in figures.places.values()) <= AT_ONCE
        for node in [n for n in out if rng.random() < 0.5]:
            out.discard(node)
            figures.asked(node, rng.choice([None, 0.3]), rng.random() < 0.9, now)
        rows = [Row(mark(n, s), rng.random(), rng.randrange(MOST_AGE)) for n, s in list_.items()]
        figures.heard(rows, now)
        for to, some in figures.tells(now):
            assert to in figures.present
            assert 0 < len(some) <= MOST_ROWS
        assert len(figures.marks) == len(figures.places)


def test_words_between_fronts() -> None:
    codec = LoadCodec("oakcroft", KeyRing((bytes.fromhex(KEY),)))
    rows = [Row(mark(f"n{i}", i), i / 8, i * 100 * MS) for i in range(MOST_ROWS)]
    octets = codec.rows("f" * 64, 1 << 55, rows)
    assert len(octets) <= MAX_DATAGRAM
    sender, taken = codec.taken(codec.ring.open(octets, 0) or b"")
    assert (sender, taken) == ("f" * 64, rows)
    assert codec.taken(codec.ring.open(codec.rows("f0", 1, [*rows, rows[0]]), 0) or b"")[1] == rows
    other = LoadCodec("another", codec.ring)
    for opened in (b"", b"C", b"C\xc1", octets, other.ring.open(other.rows("f0", 1, rows), 0) or b""):
        with pytest.raises(MessageError):
            codec.taken(opened)


def test_the_module_takes_others_words_only_where_its_own_traffic_is_silent() -> None:
    fleet = Fleet()
    module, node, now = fleet.control, fleet.nodes[0], fleet.now
    usual = node.level
    module.told(node, 0.95, SECOND, now)
    assert (node.heard, node.reported, node.told) == (True, 0.95, True)
    assert node.level != usual
    module.told(node, 0.2, 2 * SECOND, now)  # an older report
    assert node.reported == 0.95
    # The front's own traffic replaces the report, although it is slightly older.
    pb = fleet.ask()
    (node,) = fleet.sends()
    module.told(node, 0.95, 0, now)
    module.tried(pb, Outcome.FULL, False, 0.4, None, None, now)
    assert not node.told
    own = node.reported
    module.told(node, 0.05, 0, now + SECOND)  # own traffic counts while it is recent
    assert node.reported == own
    module.told(node, 0.05, 0, now + 30 * SECOND)
    assert (node.reported, node.told) == (0.05, True)


class Probers(Adopters):
    """Fronts that share the loads of nodes."""

    form = "(probing (every 500ms))"

    async def knows(self, name: str, within: float = 10, **more: Any) -> dict[str, Any]:
        """Waits until a front knows the loads of both nodes."""
        said = dict[str, Any]()
        with trio.move_on_after(within):
            while True:
                said = dict((await self.status(name)).get("probing", {}))
                if said.get("known") == 2 and (said["age_ms"] or [9e9, 9e9])[1] < 3_000:
                    return said
                await trio.sleep(0.05)
        raise AssertionError(said)


def test_processes_know_all_nodes_loads_by_one_asker_each(tmp_path: Path) -> None:
    async def whole() -> None:
        async with fronts(tmp_path, 5, Probers) as rig:
            assert isinstance(rig, Probers)
            for name in rig.names:
                await rig.knows(name)
            some = rig.facts("load asked")
            began, last = some[0]["t"], some[-1]["t"]
            await trio.sleep(4)  # the measured time
            later = [f for f in rig.facts("load asked") if f["t"] > last]
            span = (later[-1]["t"] - last) / 1e9
            assert began <= last
            # A node gets about two probes a second; with each of the five fronts probing it would get ten.
            assert len(later) / 2 / span < 4, (len(later), span)
            askers = {f["front"].split("-")[1] for f in later}
            assert 1 <= len(askers) <= 2 + 1  # one for each of two nodes, and at times the backup of one

            # A front that probes is killed: the others get the loads from another one.
            first = f"f{sorted(askers)[0]}"
            rig.signal(first, signal.SIGKILL)
            await rig.see([n for n in rig.names if n != first], {first: "gone"}, 12)
            for name in rig.names:
                if name != first:
                    await rig.knows(name)

            # A front with the key reports all nodes as full; fronts with playbacks there go by their own traffic.
            honest = next(n for n in rig.names if n != first)
            await rig.plays(honest, "/whep/open/t1", "before")
            codec = LoadCodec("oakcroft", KeyRing((bytes.fromhex(KEY),)))
            place = {n.name: round(n.machine.started) for n in rig.nodes.nodes.values()}
            lies = [Row(mark(n, at), 40.0, 0) for n, at in place.items()]
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as out:
                for _ in range(20):
                    await out.sendto(codec.rows(first, 1, lies), rig.between.fronts[honest])
                    await trio.sleep(0.01)
                await rig.plays(honest, "/whep/open/t1", "beside")
            rig.judged()

    run(whole, 90)
