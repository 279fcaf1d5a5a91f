"""Players of long playbacks: they receive RTP, follow moves, and measure the gaps in what they play."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import orjson
import trio

from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import Audience, Visit, offer, plan_visits
from oakcroft.signalling import http_formats, sdp
from oakcroft.standins import rtp
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

STALL_NS = 2 * rtp.PACKET_INTERVAL_NS
MODES = ("move", "break", "stay")

MAX_TRIES = 40
END_MARGIN_SECONDS = 0.05
"""A playback that ended this shortly before its viewer's end counts as complete."""

FINISH_WITHIN_SECONDS = 8
"""How long players may go on after the end of the day."""

LATE_ANSWER_SECONDS = 3
"""How long after its abandon time a player still waits for the answer, as the record must show a late one."""

END_WITHIN_SECONDS = 2
CONNECT_WITHIN_SECONDS = 1.0
MAX_PACKET_BYTES = 2048

OFFERED_KBIT = 50_000
MOVE_WINDOW_NS = SECOND
"""The gaps of a move are those within this time from the first packet of its target on."""


@dataclass
class WatchedPlayback:
    """What one player saw of one playback, from its first packet to its end."""

    plan: str
    longest_gap_ns: int = 0
    moves: int = 0
    refused: int = 0
    complete: bool = True
    """Whether it played to the end that its viewer wanted."""
    packets_played: int = 0
    duplicate_packets: int = 0

    @property
    def stalled(self) -> bool:
        """Whether any gap was over two packet intervals, or the playback broke off."""
        return self.longest_gap_ns > STALL_NS or not self.complete


@dataclass
class PlayerResults:
    """What all players saw."""

    playbacks: list[WatchedPlayback] = field(default_factory=list)
    move_gaps_ns: list[int] = field(default_factory=list)
    """The longest gap around each move."""


class Players(Audience):
    """An audience of players.

    `mode`: they follow moves ("move"), or break off and request again when told to move ("break"), or are plain players
    that cannot be moved ("stay").
    """

    mode = "move"

    def __init__(self, day: Day, record: Record) -> None:
        super().__init__(day, record)
        self.results = PlayerResults()

    async def run(self, start: float) -> None:
        async with trio.open_nursery() as nursery:
            for visit in plan_visits(self.day):
                await trio.sleep_until(start + visit.at / SECOND)
                nursery.start_soon(self._play, visit)
            await trio.sleep_until(start + self.day.duration_ns / SECOND)
            self.stopped = True
            nursery.cancel_scope.deadline = trio.current_time() + FINISH_WITHIN_SECONDS

    def _retry_delay(self, rng: Random) -> float:
        return rng.uniform(*self.day.viewer_model.return_delay_ns) / SECOND

    async def _play(self, visit: Visit) -> None:
        rng = Random(visit.seed)
        ends = trio.current_time() + visit.life / SECOND
        tries = 0
        watched: WatchedPlayback | None = None
        self.tally.asked[visit.plan.name] += 1
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as media:
            await media.bind(("127.0.0.1", 0))
            port = media.getsockname()[1]
            screen = rtp.PlayoutTracker()
            while not self.stopped and trio.current_time() < ends and tries < MAX_TRIES:
                front = self._choose_front(rng, visit.wing)
                key = f"v{visit.number}.{tries}"
                tries += 1
                path = f"/whep/{visit.plan.name}/{visit.title}"
                response = await self._send_offer(visit, front, key, port, path)
                if response is None or response.status != 201:
                    await trio.sleep(self._retry_delay(rng))
                    continue
                if watched is None:
                    watched = WatchedPlayback(visit.plan.name)
                    self.results.playbacks.append(watched)
                await self._watch_media(visit, front, response, key, media, port, screen, watched, ends)
                if trio.current_time() < ends - END_MARGIN_SECONDS and not self.stopped:
                    watched.complete = watched.complete and self.mode == "break"
                    await trio.sleep(0 if self.mode == "break" else self._retry_delay(rng))
            if watched is not None:
                watched.longest_gap_ns = max(watched.longest_gap_ns, screen.longest_gap_ns)
                watched.packets_played = screen.played_count
                watched.duplicate_packets = screen.duplicate_count

    async def _send_offer(self, visit: Visit, front: int, key: str, port: int, path: str) -> Response | None:
        """Sends one POST of an offer that receives media at `port`, and puts it on record as any request."""
        wait = visit.plan.abandon_ns
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(key)),
            ("Prefer", f"wait={-(-wait // SECOND)}"),
        ]
        candidate = f"a=candidate:1 1 udp 2130706431 127.0.0.1 {port} typ host\r\n"
        body = offer(OFFERED_KBIT, visit.number).replace("a=rtcp-mux\r\n", f"a=rtcp-mux\r\n{candidate}", 1)
        peer = HttpClient("127.0.0.1", self.ports.get(front, 1), CONNECT_WITHIN_SECONDS)
        self._note_request(visit, front, key)
        try:
            with trio.fail_after(wait / SECOND + LATE_ANSWER_SECONDS):
                response = await peer.request("POST", path, headers, body.encode(), new_connection=True)
        except (ExchangeError, trio.TooSlowError) as error:
            is_unreached = isinstance(error, ExchangeError) and error.end.name == "UNREACHED"
            self.record.note("unreached" if is_unreached else "cut", key=key, front=front, why=str(error))
            return None
        except trio.Cancelled:
            self.record.note("left", key=key, front=front)
            raise
        finally:
            self.tally.waiting -= 1
            await peer.close()
        problem = http_formats.problem_type(response.body) if response.status >= 400 else ""
        self.record.note("got", key=key, status=response.status, type=problem, extra=False)
        self.tally.answers[f"{response.status} {problem.rpartition(':')[2]}".strip()] += 1
        return response

    async def _watch_media(
        self, visit: Visit, front: int, response: Response, key: str, media: trio.socket.SocketType, port: int,
        screen: rtp.PlayoutTracker, watched: WatchedPlayback, ends: float,
    ) -> None:  # fmt: skip
        """Receives the media and follows the events of a session until its viewer's end, or until it ends or breaks."""
        location = response.header("location") or ""
        peer = HttpClient("127.0.0.1", self.ports.get(front, 1), CONNECT_WITHIN_SECONDS)
        self.tally.playing += 1
        left_early = False
        is_move_answered = False
        """Whether a move was answered and its target has sent no packet yet, which would come from a new source."""
        move_window_end: int | None = None
        longest_move_gap = 0

        async def receive() -> None:
            nonlocal is_move_answered, move_window_end, longest_move_gap
            while True:
                data, _ = await media.recvfrom(MAX_PACKET_BYTES)
                packet = rtp.parse_packet(data)
                if packet is None:
                    continue
                is_new_source = packet.source not in screen.sources
                now = trio_now()
                gap = now - screen.last_played_at if screen.last_played_at else 0
                was_played = screen.receive(packet, now)
                if is_new_source and is_move_answered:
                    is_move_answered = False
                    nursery.start_soon(self._confirm_move, front, location)
                    move_window_end = now + MOVE_WINDOW_NS
                    longest_move_gap = 0
                if move_window_end is not None and was_played:
                    longest_move_gap = max(longest_move_gap, gap)
                    if now > move_window_end:
                        self.results.move_gaps_ns.append(longest_move_gap)
                        move_window_end = None

        async def follow(moves: int = 0) -> None:
            nonlocal left_early, is_move_answered
            reader = http_formats.EventStreamParser()
            kinds = "inactive" if self.mode == "stay" else "inactive.move"
            events = f"{location}/events?kinds={kinds}"
            try:
                async with peer.stream("GET", events, [("Accept", http_formats.EVENT_STREAM_MEDIA_TYPE)]) as (
                    _,
                    chunks,
                ):
                    async for chunk in chunks:
                        for name, data in reader.feed(chunk):
                            if name == "inactive":
                                return
                            if name != "move":
                                continue
                            if self.mode == "break":
                                left_early = True
                                return
                            moves += 1
                            target = orjson.loads(data)["offer"]
                            answer = await self._send_offer(visit, front, f"{key}~{moves}", port, target)
                            if answer is not None and answer.status == 201:
                                watched.moves += 1
                                is_move_answered = True
                            else:
                                watched.refused += 1
            except ExchangeError:
                pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            with trio.move_on_at(ends) as life:
                await follow()
            if life.cancelled_caught or left_early:
                with trio.move_on_after(END_WITHIN_SECONDS):
                    with suppress(ExchangeError):
                        await peer.request("DELETE", location, [], b"", new_connection=True)
            nursery.cancel_scope.cancel()
        self.tally.playing -= 1

    async def _confirm_move(self, front: int, location: str) -> None:
        """Tells the front that the media of the target arrive."""
        peer = HttpClient("127.0.0.1", self.ports.get(front, 1), CONNECT_WITHIN_SECONDS)
        with trio.move_on_after(END_WITHIN_SECONDS):
            with suppress(ExchangeError):
                await peer.request("POST", f"{location}/move/done", [], b"", new_connection=True)


def trio_now() -> int:
    """Returns trio's time in ns."""
    return round(trio.current_time() * SECOND)
