"""The viewers of a day: they arrive open-loop by a seeded plan, request playbacks, watch, leave and come back."""

from __future__ import annotations

import bisect
import itertools
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

import trio

from oakcroft.decisions.routing.route_table import ClientRole
from oakcroft.httpwire.client import ExchangeError, HttpClient, has_pending_input
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.config.settings import PlanTerms
from oakcroft.signalling import http_formats, sdp
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

VISITS_SEED_FACTOR, VISITS_SEED_OFFSET = 104729, 3
WEIGHTS_SEED_FACTOR, WEIGHTS_SEED_OFFSET = 31, 5
"""Keep the random numbers of the visits and of the fronts' weights apart from others seeded with the day's seed."""

VISIT_SEEDS = 1 << 30

MIN_LIFE_SHARE, MAX_LIFE_SHARE = 0.1, 4.0
"""The wanted playing time is distributed exponentially around its plan's mean, and limited by these shares of it."""

BANDWIDTH_MARGIN = 1.02
"""An offer asks for the rate of its highest rung and a little more, as rates are rounded to whole kbit/s."""

GIVE_UP_AFTER_SECONDS = 30.0
"""A rejected viewer requests no more this long after its first request."""

RECONNECT_WITHIN_SECONDS = 8.0
"""A patient player looks for its front again for this long, while its node plays on."""

RECONNECT_INTERVAL_SECONDS = 0.2
CONNECT_WITHIN_SECONDS = 1.0

LATE_ANSWER_SECONDS = 3
"""How long after its abandon time a viewer still waits for the answer, as the record must show a late one."""

END_WITHIN_SECONDS = 3
MIN_WATCH_SECONDS = 0.01


@dataclass(frozen=True)
class Visit:
    """One viewer to come: when, from which wing, for what and for how long. Times in ns from the day's start."""

    at: int
    number: int
    wing: str
    plan: PlanTerms
    title: str
    life: int
    """How long it wants to watch."""
    top: int
    """The highest rung that its screen shows."""
    seed: int


def plan_visits(day: Day) -> list[Visit]:
    """Returns every viewer of the day, drawn from its seed alone, in order of their arrival."""
    rng = Random(day.seed * VISITS_SEED_FACTOR + VISITS_SEED_OFFSET)
    crowd = day.viewer_model
    title_weights = list(
        itertools.accumulate(1 / (rank + 1) ** crowd.zipf_exponent for rank in range(crowd.title_count))
    )
    visits = list[Visit]()
    at = 0.0
    while True:
        at += rng.expovariate(crowd.arrival_rate)
        if at * SECOND >= day.duration_ns:
            break
        visits.append(_draw_visit(day, rng, title_weights, round(at * SECOND), len(visits), None))
    for fault in day.faults:
        if fault.kind != "crowd":
            continue
        at = fault.start_ns / SECOND
        rate = crowd.arrival_rate * fault.size
        crowded_title = rng.randrange(crowd.title_count)
        while rate > 0:
            at += rng.expovariate(rate)
            if at * SECOND >= fault.start_ns + fault.duration_ns:
                break
            visits.append(
                _draw_visit(day, rng, title_weights, round(at * SECOND), len(visits), crowded_title)
            )
    return sorted(visits, key=lambda visit: (visit.at, visit.number))


def _draw_visit(
    day: Day, rng: Random, title_weights: list[float], at: int, number: int, title: int | None
) -> Visit:
    """Draws a visit at a time, to a given title or to one by the cumulative weights of the titles."""
    crowd = day.viewer_model
    plan = day.site.plans[rng.choices(list(crowd.plan_shares), list(crowd.plan_shares.values()))[0]]
    if title is None:
        title = bisect.bisect(title_weights, rng.random() * title_weights[-1])
    rungs = len(day.site.terms.rung_rates)
    has_small_screen = rng.random() < crowd.small_screen_share
    top = rng.randrange(1, max(2, rungs - 1)) if has_small_screen else rungs - 1
    life = round(crowd.mean_watch_ns[plan.name] * min(MAX_LIFE_SHARE, rng.expovariate(1.0) + MIN_LIFE_SHARE))
    return Visit(
        at=at,
        number=number,
        wing=rng.choice(sorted(set(day.front_zones))),
        plan=plan,
        title=f"lesson-{title}",
        life=life,
        top=min(top, plan.plan.top_rung),
        seed=rng.randrange(VISIT_SEEDS),
    )


def offer(kbit: int, number: int, publishes: bool = False) -> str:
    """Returns a browser-like SDP offer with a bandwidth line; `publishes`: it sends media instead of receiving."""
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
    """What the viewers experienced. Counts by plan name: viewers that came, were served in time, and were served."""

    asked: Counter[str] = field(default_factory=Counter)
    in_target: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    offered: dict[str, float] = field(default_factory=dict)
    """Revenue-seconds by plan name that all viewers together would have brought."""
    answers: Counter[str] = field(default_factory=Counter)
    """Answers by their status and problem type."""
    requests: int = 0
    lost: int = 0
    """Playbacks that broke before their viewer's end."""
    playing: int = 0
    waiting: int = 0
    waits: list[int] = field(default_factory=list)
    """How long every 201 took, ns."""


class Audience:
    """Sends the viewers of a day to the fronts.

    A `patient` player whose event stream breaks looks for its session again, as its media come from the node. Others
    count their playback as lost.
    """

    patient = False

    def __init__(self, day: Day, record: Record) -> None:
        """`record` gets all requests and answers."""
        self.day = day
        self.record = record
        self.tally = Tally()
        self.ports: dict[int, int] = {}
        """The port of each front, by its number."""
        self.stopped = False
        rng = Random(day.seed * WEIGHTS_SEED_FACTOR + WEIGHTS_SEED_OFFSET)
        self.weights = [1 + day.viewer_model.front_skew * rng.uniform(-1, 1) for _ in day.front_zones]

    async def run(self, start: float) -> None:
        """Plays all visits, from trio's time `start` on; returns when the day is over and the last answer is in."""
        async with trio.open_nursery() as nursery:
            for visit in plan_visits(self.day):
                await trio.sleep_until(start + visit.at / SECOND)
                nursery.start_soon(self._visit, visit)
            await trio.sleep_until(start + self.day.duration_ns / SECOND)
            self.stopped = True
            longest_wait = max(plan.abandon_ns for plan in self.day.site.plans.values()) / SECOND
            nursery.cancel_scope.deadline = trio.current_time() + longest_wait + 1

    def _choose_front(self, rng: Random, wing: str) -> int:
        """Draws one of the wing's fronts, or of all where the wing has none."""
        fronts = [number for number, front_wing in enumerate(self.day.front_zones) if front_wing == wing]
        fronts = fronts or list(range(len(self.day.front_zones)))
        return rng.choices(fronts, [self.weights[number] for number in fronts])[0]

    def _peer(self, front: int) -> HttpClient:
        return HttpClient("127.0.0.1", self.ports.get(front, 1), CONNECT_WITHIN_SECONDS)

    async def _visit(self, visit: Visit) -> None:
        rng = Random(visit.seed)
        name = visit.plan.name
        began = trio.current_time()
        watched = 0.0
        tries = 0
        is_served = False
        self._count_viewer(visit)
        while not self.stopped:
            key = f"v{visit.number}.{tries}"
            tries += 1
            front = self._choose_front(rng, visit.wing)
            response = await self._request(visit, front, key)
            if response is None or response.status != HTTPStatus.CREATED:
                may_retry = response is None or response.status == HTTPStatus.SERVICE_UNAVAILABLE
                if (
                    not may_retry
                    or rng.random() > self.day.viewer_model.return_share
                    or trio.current_time() - began > GIVE_UP_AFTER_SECONDS
                ):
                    return
                wait = rng.uniform(*self.day.viewer_model.return_delay_ns) / SECOND
                if response is not None and (retry_after := response.header("retry-after")):
                    wait = max(wait, float(retry_after))
                await trio.sleep(wait)
                continue
            if not is_served:
                is_served = True
                self.tally.served[name] += 1
                if trio.current_time() - began <= visit.plan.plan.startup_target_ns / SECOND:
                    self.tally.in_target[name] += 1
            watch_began = trio.current_time()
            is_complete = await self._watch(front, response, visit.life / SECOND - watched)
            watched += trio.current_time() - watch_began
            if is_complete or rng.random() > self.day.viewer_model.return_share:
                return
            self.tally.lost += 1
            await trio.sleep(rng.uniform(*self.day.viewer_model.return_delay_ns) / SECOND)

    def _count_viewer(self, visit: Visit) -> None:
        name = visit.plan.name
        self.tally.asked[name] += 1
        revenue = visit.plan.plan.revenue * self.day.site.terms.rung_revenue_shares[visit.top]
        self.tally.offered[name] = self.tally.offered.get(name, 0.0) + visit.life / SECOND * revenue

    def _path_and_offer(self, visit: Visit) -> tuple[str, str]:
        """Returns the path that a visit requests, and its offer."""
        site = self.day.site
        prefix = next(
            route.match.prefix
            for route in site.route_table.routes.values()
            if route.plan == visit.plan.name and route.match.role is ClientRole.WATCH
        )
        rate = site.terms.rung_rates[visit.top] * visit.plan.plan.rate_factor
        return prefix + visit.title, offer(int(rate * 8 * BANDWIDTH_MARGIN) + 1, visit.number)

    def _note_request(self, visit: Visit, front: int, key: str) -> None:
        """Counts a request and puts it on record."""
        self.tally.requests += 1
        self.tally.waiting += 1
        plan = visit.plan
        self.record.note("ask", key=key, front=front, plan=plan.name, title=visit.title, wait=plan.abandon_ns)

    async def _request(self, visit: Visit, front: int, key: str) -> Response | None:
        """Sends one request; returns None if the front was not reached or the connection broke."""
        wait = visit.plan.abandon_ns
        path, text = self._path_and_offer(visit)
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(key)),
            ("Prefer", f"wait={-(-wait // SECOND)}"),
        ]
        peer = self._peer(front)
        sent = trio.current_time()
        self._note_request(visit, front, key)
        try:
            with trio.fail_after(wait / SECOND + LATE_ANSWER_SECONDS):
                response = await peer.request("POST", path, headers, text.encode(), new_connection=True)
        except (ExchangeError, trio.TooSlowError) as error:
            is_unreached = isinstance(error, ExchangeError) and error.end.name == "UNREACHED"
            kind = "unreached" if is_unreached else "cut"
            self.record.note(kind, key=key, front=front, why=str(error))
            self.tally.answers[kind] += 1
            return None
        finally:
            self.tally.waiting -= 1
        extra = (
            bool(peer.idle)
            and has_pending_input(peer.idle[-1].stream)
            and response.header("connection") != "close"
        )
        problem = (
            http_formats.problem_type(response.body) if response.status >= HTTPStatus.BAD_REQUEST else ""
        )
        self.record.note("got", key=key, status=response.status, type=problem, extra=extra)
        self.tally.answers[f"{response.status} {problem.rpartition(':')[2]}".strip()] += 1
        if response.status == HTTPStatus.CREATED:
            self.tally.waits.append(round((trio.current_time() - sent) * SECOND))
        await peer.close()
        return response

    async def _listen(self, front: int, location: str) -> bool:
        """Listens to a session until it ends; returns True if the front closed the stream, so media may play on."""
        reader = http_formats.EventStreamParser()
        give_up_at = trio.current_time() + RECONNECT_WITHIN_SECONDS
        has_listened = False
        while True:
            try:
                peer = self._peer(front)
                events = f"{location}/events?kinds=inactive"
                async with peer.stream("GET", events, [("Accept", http_formats.EVENT_STREAM_MEDIA_TYPE)]) as (
                    head,
                    chunks,
                ):
                    if head.status != HTTPStatus.OK:
                        return False
                    has_listened = True
                    async for chunk in chunks:
                        if any(name == "inactive" for name, _ in reader.feed(chunk)):
                            return False
                return True
            except ExchangeError:
                if not self.patient:
                    return False
                if has_listened:
                    return True
                if trio.current_time() > give_up_at:
                    return False
                await trio.sleep(RECONNECT_INTERVAL_SECONDS)

    async def _watch(self, front: int, response: Response, seconds: float) -> bool:
        """Watches to the viewer's end and ends the session; returns False if the playback was lost before."""
        peer = self._peer(front)
        location = response.header("location") or ""
        self.tally.playing += 1
        is_lost = False
        try:
            with trio.move_on_after(max(MIN_WATCH_SECONDS, seconds)) as life:
                while await self._listen(front, location) and self.patient:
                    pass
                is_lost = True
            if life.cancelled_caught and not self.stopped:
                is_lost = False
                with trio.move_on_after(END_WITHIN_SECONDS):
                    await peer.request("DELETE", location, [], b"", new_connection=True)
        except ExchangeError:
            pass
        finally:
            self.tally.playing -= 1
        return not is_lost
