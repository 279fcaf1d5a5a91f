"""The viewers of a day: they come open-loop from a seeded plan, ask, watch, leave and come again."""

from __future__ import annotations

import bisect
import itertools
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

import trio

from oakcroft.decisions.routing.route_table import ClientRole
from oakcroft.httpwire.client import Ended, Peer, readable
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.config.settings import PlanTerms
from oakcroft.signalling import sdp, words
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record


@dataclass(frozen=True)
class Visit:
    """One viewer to come: when, from which wing, for what and for how long. Times in ns from the day's start."""

    at: int
    number: int
    wing: str
    plan: PlanTerms
    title: str
    life: int
    top: int
    seed: int


def plan_visits(day: Day) -> list[Visit]:
    """Every viewer of the day, from its seed alone."""
    rng, crowd = Random(day.seed * 104729 + 3), day.crowd
    weights = [1 / (i + 1) ** crowd.zipf for i in range(crowd.titles)]
    titles = list(itertools.accumulate(weights))
    plans, shares = list(crowd.share), list(crowd.share.values())
    wings, rungs = sorted(set(day.fronts)), len(day.site.terms.rung_rates)
    crowds = [f for f in day.faults if f.kind == "crowd"]
    visits, at = list[Visit](), 0.0
    while True:
        at += rng.expovariate(crowd.rate)
        if at * SECOND >= day.length:
            break
        visits.append(
            _visit(day, rng, round(at * SECOND), len(visits), plans, shares, titles, wings, rungs, None)
        )
    for fault in crowds:
        t, rate = fault.at / SECOND, crowd.rate * fault.size
        hot = rng.randrange(crowd.titles)
        while rate > 0:
            t += rng.expovariate(rate)
            if t * SECOND >= fault.at + fault.length:
                break
            visits.append(
                _visit(day, rng, round(t * SECOND), len(visits), plans, shares, titles, wings, rungs, hot)
            )
    return sorted(visits, key=lambda v: (v.at, v.number))


def _visit(
    day: Day, rng: Random, at: int, number: int, plans: list[str], shares: list[float], titles: list[float],
    wings: list[str], rungs: int, hot: int | None,
) -> Visit:  # fmt: skip
    plan = day.site.plans[rng.choices(plans, shares)[0]]
    title = bisect.bisect(titles, rng.random() * titles[-1]) if hot is None else hot
    top = rng.randrange(1, max(2, rungs - 1)) if rng.random() < day.crowd.small_screens else rungs - 1
    life = round(day.crowd.life[plan.name] * min(4.0, rng.expovariate(1.0) + 0.1))
    return Visit(
        at,
        number,
        rng.choice(wings),
        plan,
        f"lesson-{title}",
        life,
        min(top, plan.plan.top_rung),
        rng.randrange(1 << 30),
    )


def offer(kbit: int, number: int, publishes: bool = False) -> str:
    """A browser-like offer with a bandwidth line."""
    lines = [
        "v=0", f"o=- {number + 1} 2 IN IP4 127.0.0.1", "s=-", f"b=AS:{kbit}", "t=0 0", "a=group:BUNDLE 0 1",
    ]  # fmt: skip
    for mid, kind, payload in ((0, "audio", "111"), (1, "video", "96")):
        lines += [
            f"m={kind} 9 UDP/TLS/RTP/SAVPF {payload}", "c=IN IP4 0.0.0.0", f"a=mid:{mid}",
            f"a=ice-ufrag:v{number:07d}", "a=ice-pwd:" + "p" * 24, "a=fingerprint:sha-256 " + ":".join(["0F"] * 32),
            "a=setup:actpass", "a=sendonly" if publishes else "a=recvonly", "a=rtcp-mux",
        ]  # fmt: skip
    return "\r\n".join(lines) + "\r\n"


@dataclass
class Tally:
    """What the viewers met, for each plan."""

    asked: Counter[str] = field(default_factory=Counter)
    in_target: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    offered: dict[str, float] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    lost: int = 0
    playing: int = 0
    waiting: int = 0
    waits: list[int] = field(default_factory=list)  # of every 201, ns


GIVE_UP_AFTER_SECONDS = 30.0  # seconds after its first request, a viewer that was turned away asks no more
RECONNECT_WITHIN_SECONDS = (
    8.0  # seconds for which a patient player looks for its front again, while its node plays on
)


class Audience:
    """Sends the viewers of a day to the fronts. `patient`: a player whose event stream breaks looks for its session
    again, as its media come from the node; else it takes its playback as lost."""

    patient = False

    def __init__(self, day: Day, record: Record) -> None:
        """`record`: told of what is asked and answered."""
        self.day, self.record, self.tally = day, record, Tally()
        self.ports: dict[int, int] = {}
        self.stopped = False
        rng = Random(day.seed * 31 + 5)
        self.weights = [1 + day.crowd.uneven * rng.uniform(-1, 1) for _ in day.fronts]

    async def run(self, start: float) -> None:
        """All visits, from trio's time `start` on; returns when the day is over and the last answer is in."""
        async with trio.open_nursery() as nursery:
            for visit in plan_visits(self.day):
                await trio.sleep_until(start + visit.at / 1e9)
                nursery.start_soon(self._visit, visit)
            await trio.sleep_until(start + self.day.length / 1e9)
            self.stopped = True
            longest = max(p.abandon_ns for p in self.day.site.plans.values()) / 1e9
            nursery.cancel_scope.deadline = trio.current_time() + longest + 1

    def _front(self, rng: Random, wing: str) -> int:
        near = [i for i, w in enumerate(self.day.fronts) if w == wing] or list(range(len(self.day.fronts)))
        return rng.choices(near, [self.weights[i] for i in near])[0]

    async def _visit(self, visit: Visit) -> None:
        rng, plan, name = Random(visit.seed), visit.plan, visit.plan.name
        began, watched, tries = trio.current_time(), 0.0, 0
        self.tally.asked[name] += 1
        worth = plan.plan.revenue * self.day.site.terms.rung_revenue_shares[visit.top]
        self.tally.offered[name] = self.tally.offered.get(name, 0.0) + visit.life / 1e9 * worth
        served = False
        while not self.stopped:
            left = visit.life / 1e9 - watched
            key = f"v{visit.number}.{tries}"
            tries += 1
            front = self._front(rng, visit.wing)
            sat = await self._ask(visit, rng, front, key)
            if sat is None or sat.status != HTTPStatus.CREATED:
                again = sat is None or sat.status == HTTPStatus.SERVICE_UNAVAILABLE
                if (
                    not again
                    or rng.random() > self.day.crowd.returns
                    or trio.current_time() - began > GIVE_UP_AFTER_SECONDS
                ):
                    return
                wait = rng.uniform(*self.day.crowd.back_after) / 1e9
                if sat is not None and (after := sat.header("retry-after")):
                    wait = max(wait, float(after))
                await trio.sleep(wait)
                continue
            if not served:
                served = True
                self.tally.served[name] += 1
                if trio.current_time() - began <= plan.plan.startup_target_ns / 1e9:
                    self.tally.in_target[name] += 1
            sat_down = trio.current_time()
            whole = await self._watch(front, sat, left)
            watched += trio.current_time() - sat_down
            if whole or rng.random() > self.day.crowd.returns:
                return
            self.tally.lost += 1
            await trio.sleep(rng.uniform(*self.day.crowd.back_after) / 1e9)

    def _asked(self, visit: Visit) -> tuple[str, str]:
        """Path before the title, and the offer, that a visit asks with."""
        site = self.day.site
        prefix = next(r.match.prefix for r in site.route_table.routes.values()
                      if r.plan == visit.plan.name and r.match.role is ClientRole.WATCH)  # fmt: skip
        rate = site.terms.rung_rates[visit.top] * visit.plan.plan.rate_factor
        return prefix, offer(int(rate * 8 * 1.02) + 1, visit.number)

    async def _ask(self, visit: Visit, rng: Random, front: int, key: str) -> Response | None:
        """One request; None where no front took it or it was cut."""
        wait, (prefix, text) = visit.plan.abandon_ns, self._asked(visit)
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Idempotency-Key", words.quoted(key)),
                   ("Prefer", f"wait={-(-wait // SECOND)}")]  # fmt: skip
        peer = Peer("127.0.0.1", self.ports.get(front, 1), 1.0)
        body = text.encode()
        asked = {"key": key, "front": front, "plan": visit.plan.name, "title": visit.title, "wait": wait}
        self.tally.requests += 1
        self.tally.waiting += 1
        sent = trio.current_time()
        self.record.note("ask", **asked)
        try:
            with trio.fail_after(wait / 1e9 + 3):  # it is impatient, but the record must show a late answer
                response = await peer.ask("POST", prefix + visit.title, headers, body, fresh=True)
        except (Ended, trio.TooSlowError) as fault:
            refused = isinstance(fault, Ended) and fault.end.name == "UNREACHED"
            self.record.note("unreached" if refused else "cut", key=key, front=front, why=str(fault))
            self.tally.answers["unreached" if refused else "cut"] += 1
            return None
        finally:
            self.tally.waiting -= 1
        extra = (
            bool(peer.idle) and readable(peer.idle[-1].stream) and response.header("connection") != "close"
        )
        kind = words.problem_type(response.body) if response.status >= HTTPStatus.BAD_REQUEST else ""
        self.record.note("got", key=key, status=response.status, type=kind, extra=extra)
        self.tally.answers[f"{response.status} {kind.rpartition(':')[2]}".strip()] += 1
        if response.status == HTTPStatus.CREATED:
            self.tally.waits.append(round((trio.current_time() - sent) * 1e9))
        await peer.close()
        return response

    async def _listens(self, front: int, here: str) -> bool:
        """Listens to a session until it ends; True where the front went instead, and the media may play on."""
        reader, until = words.EventReader(), trio.current_time() + RECONNECT_WITHIN_SECONDS
        while True:
            try:
                peer = Peer("127.0.0.1", self.ports.get(front, 1), 1.0)
                events = f"{here}/events?kinds=inactive"
                async with peer.stream("GET", events, [("Accept", words.EVENTS)]) as (head, chunks):
                    if head.status != HTTPStatus.OK:
                        return False
                    until = 0.0
                    async for chunk in chunks:
                        if any(name == "inactive" for name, _ in reader.feed(chunk)):
                            return False
                return True
            except Ended:
                if not self.patient or trio.current_time() > until > 0:
                    return False
                if not until:
                    return True
                await trio.sleep(0.2)

    async def _watch(self, front: int, sat: Response, seconds: float) -> bool:
        """Watches to the end and says so; False when the playback was lost before."""
        peer, here = Peer("127.0.0.1", self.ports.get(front, 1), 1.0), sat.header("location") or ""
        self.tally.playing += 1
        lost = False
        try:
            with trio.move_on_after(max(0.01, seconds)) as life:
                while await self._listens(front, here) and self.patient:
                    pass
                lost = True
            if life.cancelled_caught and not self.stopped:
                lost = False
                with trio.move_on_after(3):
                    await peer.ask("DELETE", here, [], b"", fresh=True)
        except Ended:
            pass
        finally:
            self.tally.playing -= 1
        return not lost
