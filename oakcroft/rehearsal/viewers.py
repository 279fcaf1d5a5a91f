"""The audience of a day: viewers arrive in an open loop, request playbacks, watch, leave and come back."""

from __future__ import annotations

from http import HTTPStatus
from random import Random

import trio

from oakcroft.decisions.routing.route_table import ClientRole
from oakcroft.httpwire.client import ExchangeError, HttpClient, has_pending_input
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.rehearsal.tally import Tally
from oakcroft.rehearsal.visits import Visit, plan_visits
from oakcroft.signalling import http_formats, sdp
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

WEIGHTS_SEED_FACTOR, WEIGHTS_SEED_OFFSET = 31, 5
"""Keep the random numbers of the fronts' weights apart from others seeded with the day's seed."""

BANDWIDTH_MARGIN = 1.02
"""An offer requests slightly more than the rate of its highest rung, as rates are rounded to whole kbit/s."""

GIVE_UP_AFTER_SECONDS = 30.0
"""A viewer gives up this long after its first request; over the session API its playing time is added."""

RECONNECT_TIMEOUT_SECONDS = 8.0
"""How long a player that reconnects its event stream tries to reach its front, while its node plays on."""

RECONNECT_INTERVAL_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 1.0

LATE_ANSWER_SECONDS = 3
"""How long after its abandon time a viewer still waits for the answer, as the record must show a late one."""

END_TIMEOUT_SECONDS = 3
MIN_WATCH_SECONDS = 0.01
BITS_PER_BYTE = 8
EVENT_STREAM_HEADERS = [("Accept", http_formats.EVENT_STREAM_MEDIA_TYPE)]


def offer(kbit: int, number: int, publishes: bool = False) -> str:
    """Returns a browser-like SDP offer with a bandwidth line.

    `number` makes its origin and ICE user name unique; with `publishes` it sends media instead of receiving.
    """
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


class Audience:
    """Sends the viewers of a day to the fronts.

    With `reconnects`, a player whose event stream breaks connects to its session again, as its media come from the
    node. Otherwise its playback counts as lost.
    """

    reconnects = False

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
                await trio.sleep_until(start + visit.arrival_ns / SECOND)
                nursery.start_soon(self._visit, visit)
            await trio.sleep_until(start + self.day.duration_ns / SECOND)
            self.stopped = True
            nursery.cancel_scope.deadline = trio.current_time() + self._finish_seconds()

    def _finish_seconds(self) -> float:
        """Returns how long viewers may go on after the end of the day."""
        longest_wait = max(plan.abandon_ns for plan in self.day.site.plans.values()) / SECOND
        return longest_wait + 1

    def _choose_front(self, rng: Random, zone: str) -> int:
        """Draws one of the zone's fronts, or of all where the zone has none."""
        fronts = [number for number, front_zone in enumerate(self.day.front_zones) if front_zone == zone]
        fronts = fronts or list(range(len(self.day.front_zones)))
        return rng.choices(fronts, [self.weights[number] for number in fronts])[0]

    def _client_of(self, front: int) -> HttpClient:
        """Returns a new client of a front."""
        return HttpClient("127.0.0.1", self.ports.get(front, 1), CONNECT_TIMEOUT_SECONDS)

    def _retry_delay(self, rng: Random) -> float:
        """Draws how many seconds a viewer waits before its next request."""
        return rng.uniform(*self.day.viewer_model.return_delay_ns) / SECOND

    async def _visit(self, visit: Visit) -> None:
        """Plays one viewer: requests, watches, and requests again after a loss or a rejection."""
        rng = Random(visit.seed)
        started_at = trio.current_time()
        watched = 0.0
        tries = 0
        is_served = False
        self._count_viewer(visit)
        while not self.stopped:
            key = f"v{visit.number}.{tries}"
            tries += 1
            front = self._choose_front(rng, visit.zone)
            response = await self._request(visit, front, key)
            if response is None or response.status != HTTPStatus.CREATED:
                if not self._retries(rng, response, started_at):
                    return
                wait = self._retry_delay(rng)
                if response is not None and (retry_after := response.header("retry-after")):
                    wait = max(wait, float(retry_after))
                await trio.sleep(wait)
                continue
            if not is_served:
                is_served = True
                self._count_served(visit, started_at)
            watch_started_at = trio.current_time()
            is_complete = await self._watch(front, response, visit.watch_ns / SECOND - watched)
            watched += trio.current_time() - watch_started_at
            if is_complete or rng.random() > self.day.viewer_model.return_share:
                return
            self.tally.lost_playbacks += 1
            await trio.sleep(self._retry_delay(rng))

    def _retries(self, rng: Random, response: Response | None, started_at: float) -> bool:
        """Draws whether a viewer that got no playback, or no answer at all, requests again."""
        may_retry = response is None or response.status == HTTPStatus.SERVICE_UNAVAILABLE
        return (
            may_retry
            and rng.random() <= self.day.viewer_model.return_share
            and trio.current_time() - started_at <= GIVE_UP_AFTER_SECONDS
        )

    def _count_viewer(self, visit: Visit) -> None:
        """Counts a viewer, and the revenue that its playback would bring on its highest rung."""
        name = visit.plan.name
        self.tally.viewers[name] += 1
        revenue = visit.plan.plan.revenue * self.day.site.terms.rung_revenue_shares[visit.top_rung]
        offered = self.tally.offered_revenue.get(name, 0.0) + visit.watch_ns / SECOND * revenue
        self.tally.offered_revenue[name] = offered

    def _count_served(self, visit: Visit, started_at: float) -> None:
        """Counts a viewer's first successful set-up, whose first request was sent at `started_at`."""
        name = visit.plan.name
        self.tally.served[name] += 1
        if trio.current_time() - started_at <= visit.plan.plan.startup_target_ns / SECOND:
            self.tally.in_target[name] += 1

    def _count_answer(self, status: int, problem_type: str) -> None:
        self.tally.answers[f"{status} {problem_type.rpartition(':')[2]}".strip()] += 1

    def _path_and_offer(self, visit: Visit) -> tuple[str, str]:
        """Returns the path that a visit requests, and its offer."""
        site = self.day.site
        prefix = next(
            route.match.prefix
            for route in site.route_table.routes.values()
            if route.plan == visit.plan.name and route.match.role is ClientRole.WATCH
        )
        rate = site.terms.rung_rates[visit.top_rung] * visit.plan.plan.rate_factor
        kbit = int(rate * BITS_PER_BYTE * BANDWIDTH_MARGIN) + 1
        return prefix + visit.title, offer(kbit, visit.number)

    @staticmethod
    def _offer_headers(visit: Visit, key: str) -> list[tuple[str, str]]:
        """Returns the headers of an offer, with its idempotency key and how many whole seconds it waits."""
        return [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(key)),
            ("Prefer", f"wait={-(-visit.plan.abandon_ns // SECOND)}"),
        ]

    def _note_request(self, visit: Visit, front: int, key: str) -> None:
        """Counts a request and puts it on record."""
        self.tally.requests += 1
        self.tally.waiting += 1
        plan = visit.plan
        self.record.note("ask", key=key, front=front, plan=plan.name, title=visit.title, wait=plan.abandon_ns)

    async def _request(self, visit: Visit, front: int, key: str) -> Response | None:
        """Sends one request; returns None if the front was not reached or the connection broke."""
        path, text = self._path_and_offer(visit)
        headers = self._offer_headers(visit, key)
        client = self._client_of(front)
        sent_at = trio.current_time()
        self._note_request(visit, front, key)
        try:
            with trio.fail_after(visit.plan.abandon_ns / SECOND + LATE_ANSWER_SECONDS):
                response = await client.request("POST", path, headers, text.encode(), new_connection=True)
        except (ExchangeError, trio.TooSlowError) as error:
            kind = failure_kind(error)
            self.record.note(kind, key=key, front=front, why=str(error))
            self.tally.answers[kind] += 1
            return None
        finally:
            self.tally.waiting -= 1
        has_extra_bytes = (
            bool(client.idle)
            and has_pending_input(client.idle[-1].stream)
            and response.header("connection") != "close"
        )
        problem = problem_type_of(response)
        self.record.note("got", key=key, status=response.status, type=problem, extra=has_extra_bytes)
        self._count_answer(response.status, problem)
        if response.status == HTTPStatus.CREATED:
            self.tally.created_times_ns.append(round((trio.current_time() - sent_at) * SECOND))
        await client.close()
        return response

    async def _follow_session(self, front: int, location: str) -> bool:
        """Reads a session's event stream to its end.

        Returns False if the session has ended or cannot be reached, and True if only the front closed the stream or its
        connection broke, so that media may go on.
        """
        parser = http_formats.EventStreamParser()
        give_up_at = trio.current_time() + RECONNECT_TIMEOUT_SECONDS
        was_connected = False
        while True:
            try:
                client = self._client_of(front)
                events = f"{location}/events?kinds=inactive"
                async with client.stream("GET", events, EVENT_STREAM_HEADERS) as (head, chunks):
                    if head.status != HTTPStatus.OK:
                        return False
                    was_connected = True
                    async for chunk in chunks:
                        if any(name == "inactive" for name, _ in parser.feed(chunk)):
                            return False
                return True
            except ExchangeError:
                if not self.reconnects:
                    return False
                if was_connected:
                    return True
                if trio.current_time() > give_up_at:
                    return False
                await trio.sleep(RECONNECT_INTERVAL_SECONDS)

    async def _watch(self, front: int, response: Response, seconds: float) -> bool:
        """Watches to the viewer's end and ends the session; returns False if the playback was lost before."""
        client = self._client_of(front)
        location = response.header("location") or ""
        self.tally.playing += 1
        is_lost = False
        try:
            with trio.move_on_after(max(MIN_WATCH_SECONDS, seconds)) as watch_scope:
                while await self._follow_session(front, location) and self.reconnects:
                    pass
                is_lost = True
            if watch_scope.cancelled_caught and not self.stopped:
                is_lost = False
                with trio.move_on_after(END_TIMEOUT_SECONDS):
                    await client.request("DELETE", location, [], b"", new_connection=True)
        except ExchangeError:
            pass
        finally:
            self.tally.playing -= 1
        return not is_lost


def failure_kind(error: ExchangeError | trio.TooSlowError) -> str:
    """Returns the kind of fact for a request without an answer: the front was not reached, or was lost later."""
    is_unreached = isinstance(error, ExchangeError) and error.end.name == "UNREACHED"
    return "unreached" if is_unreached else "cut"


def problem_type_of(response: Response) -> str:
    """Returns the type of the problem that a response reports, or an empty string."""
    return http_formats.problem_type(response.body) if response.status >= HTTPStatus.BAD_REQUEST else ""
