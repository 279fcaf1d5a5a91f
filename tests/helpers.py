"""A host that records what the module asks for, and a small fleet to play with."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from oakcroft.choice import Controller
from oakcroft.interface import MS, SECOND, Effect, Entry, Group, Listing, ListKind, Node, Plan, Playback
from oakcroft.interface import Terms, Title

START = 100 * SECOND
TERMS = Terms(
    fronts=2, front=0, must_follow=False, ask_within=10 * SECOND, cells=4, racks=2,
    rates=(200.0, 400.0, 800.0), rung_worth=(0.3, 0.6, 1.0), uplink=20000.0, join_adds=1.0,
    seen_after=SECOND, reports_every=3 * SECOND, most_tries=3, stay_away_most=2 * SECOND,
    cold_share=0.4, cold_for=10 * SECOND, fall_multiple=2.5, fall_window=SECOND,
    tries_free=None, tries_share=0.0, tries_window=10 * SECOND,
)  # fmt: skip
FREE = Plan(
    effect=Effect.FREE, group=Group.ALL, key_lasts=SECOND, startup_target=SECOND, revenue=1.0,
    floor=0, top=2, seats=0, rate_factor=1.0, shares_stream=False,
)  # fmt: skip
PAID = replace(FREE, effect=Effect.PAID)
KEYED = replace(FREE, effect=Effect.KEYED, group=Group.ZONE)


class Fleet:
    """One front end before a few nodes; keeps every call that the module made of its host."""

    def __init__(self, nodes: int = 4, terms: Terms = TERMS, warm: bool = True) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.now = START
        self.control = Controller(terms, 7, self, START)
        self.nodes = [Node(f"n{i}") for i in range(nodes)]
        for i, node in enumerate(self.nodes):
            node.cell, node.zone = i, "east" if i % 2 else "west"
        self.relist(ListKind.KEPT)
        if warm:
            self.now += 20 * SECOND

    def relist(self, kind: ListKind, started_at: int = 0, listing: Listing = Listing.READY) -> None:
        lines = [Entry(n, listing, started_at, 4000.0, 12.0) for n in self.nodes]
        self.control.listed(kind, lines, self.now)

    def ask(self, plan: Plan = FREE, title: Title | None = None, wait: int = 4 * SECOND) -> Playback:
        pb = Playback(title or Title("t", 0, 0), plan, 2, self.now + wait, False)
        self.control.arrived(pb, self.now)
        return pb

    def sends(self) -> list[Node]:
        return [call[2] for call in self.calls if call[0] == "send"]

    def answers(self, pb: Playback) -> list[str]:
        return [c[0] for c in self.calls if c[0] in ("reject", "abort") and c[1] is pb]

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None:
        assert START < abandon_at <= pb.abandon + 40 * MS
        self.calls.append(("send", pb, node, abandon_at))

    def reject(self, pb: Playback, stay_away: int) -> None:
        self.calls.append(("reject", pb, stay_away))

    def abort(self, pb: Playback) -> None:
        self.calls.append(("abort", pb))

    def set_rung(self, pb: Playback, rung: int) -> None:
        assert pb.plan.floor <= rung <= pb.top
        self.calls.append(("set_rung", pb, rung))

    def alarm(self, at: int) -> None:
        self.calls.append(("alarm", at))

    def follow(self) -> None:
        self.calls.append(("follow",))

    def log(self, line: str) -> None:
        self.calls.append(("log", line))
