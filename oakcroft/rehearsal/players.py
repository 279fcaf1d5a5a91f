"""Players of long playbacks, which receive RTP, follow moves, and measure the gaps in what they play."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

import orjson
import trio

from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import (
    EVENT_STREAM_HEADERS,
    LATE_ANSWER_SECONDS,
    Audience,
    failure_kind,
    offer,
    problem_type_of,
)
from oakcroft.rehearsal.visits import Visit
from oakcroft.signalling import http_formats
from oakcroft.standins import rtp
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

STALL_NS = 2 * rtp.PACKET_INTERVAL_NS
MODES = ("move", "break", "stay")
"""What players do on a request to move; see `Players`."""

MAX_TRIES = 40
END_MARGIN_SECONDS = 0.05
"""A playback that ended this shortly before its viewer's end counts as complete."""

FINISH_SECONDS = 8
"""How long players may go on after the end of the day."""

END_TIMEOUT_SECONDS = 2
MAX_PACKET_BYTES = 2048

OFFERED_KBIT = 50_000
MOVE_WINDOW_NS = SECOND
"""The gaps of a move are those within this time from the first packet of its target on."""


@dataclass
class WatchedPlayback:
    """What one player received, from its first packet to its end."""

    plan: str
    longest_gap_ns: int = 0
    moves: int = 0
    refused: int = 0
    """Moves that the front did not answer with a session."""
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


@dataclass
class MoveGapMeter:
    """Takes in the packets of one playback, and measures the longest gap around each of its moves."""

    tracker: rtp.PlayoutTracker
    gaps_ns: list[int]
    """Where the longest gap around each move is appended."""
    awaits_target: bool = False
    """Whether a move was answered and its target has sent no packet yet, which would come from a new source."""
    window_end: int | None = None
    longest_gap_ns: int = 0

    def receive(self, packet: rtp.Packet, now: int) -> bool:
        """Takes in a packet that arrives now; returns whether it is the first one from the target of a move."""
        is_new_source = packet.source not in self.tracker.sources
        gap = now - self.tracker.last_played_at if self.tracker.last_played_at else 0
        was_played = self.tracker.receive(packet, now)
        is_from_target = is_new_source and self.awaits_target
        if is_from_target:
            self.awaits_target = False
            self.window_end = now + MOVE_WINDOW_NS
            self.longest_gap_ns = 0
        if self.window_end is not None and was_played:
            self.longest_gap_ns = max(self.longest_gap_ns, gap)
            if now > self.window_end:
                self.gaps_ns.append(self.longest_gap_ns)
                self.window_end = None
        return is_from_target


@dataclass
class Player:
    """One player: it plays the sessions of its visit one after the other, and receives all their media on one port."""

    visit: Visit
    media: trio.socket.SocketType
    end_at: float
    """When its viewer wants to stop, on trio's clock."""
    tracker: rtp.PlayoutTracker = field(default_factory=rtp.PlayoutTracker)
    watched: WatchedPlayback | None = None

    @property
    def port(self) -> int:
        """Port at which it receives media."""
        return int(self.media.getsockname()[1])


@dataclass
class PlayedSession:
    """One session of a player on a front; `key` is the idempotency key of the request that created it."""

    player: Player
    watched: WatchedPlayback
    front: int
    key: str
    location: str
    gaps: MoveGapMeter
    move_count: int = 0


class Players(Audience):
    """An audience of players.

    `mode`: they follow moves ("move"), or end the session and send a new request instead ("break"), or do not support
    moves ("stay").
    """

    mode = "move"

    def __init__(self, day: Day, record: Record) -> None:
        """`record` gets all requests and answers."""
        super().__init__(day, record)
        self.results = PlayerResults()

    def _finish_seconds(self) -> float:
        return FINISH_SECONDS

    async def _visit(self, visit: Visit) -> None:
        """Plays the sessions of one viewer until it has watched enough or the day is over."""
        rng = Random(visit.seed)
        end_at = trio.current_time() + visit.watch_ns / SECOND
        tries = 0
        self.tally.viewers[visit.plan.name] += 1
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as media:
            await media.bind(("127.0.0.1", 0))
            player = Player(visit, media, end_at)
            while not self.stopped and trio.current_time() < end_at and tries < MAX_TRIES:
                front = self._choose_front(rng, visit.zone)
                key = f"v{visit.number}.{tries}"
                tries += 1
                path = f"/whep/{visit.plan.name}/{visit.title}"
                response = await self._send_offer(player, front, key, path)
                if response is None or response.status != HTTPStatus.CREATED:
                    await trio.sleep(self._retry_delay(rng))
                    continue
                watched = self._watched_playback(player)
                await self._play_session(player, watched, front, key, response)
                if trio.current_time() < end_at - END_MARGIN_SECONDS and not self.stopped:
                    watched.complete = watched.complete and self.mode == "break"
                    await trio.sleep(0 if self.mode == "break" else self._retry_delay(rng))
            if player.watched is not None:
                player.watched.longest_gap_ns = max(
                    player.watched.longest_gap_ns, player.tracker.longest_gap_ns
                )
                player.watched.packets_played = player.tracker.played_count
                player.watched.duplicate_packets = player.tracker.duplicate_count

    def _watched_playback(self, player: Player) -> WatchedPlayback:
        """Returns the results of a player, which are added to those of all with its first session."""
        if player.watched is None:
            player.watched = WatchedPlayback(player.visit.plan.name)
            self.results.playbacks.append(player.watched)
        return player.watched

    async def _send_offer(self, player: Player, front: int, key: str, path: str) -> Response | None:
        """Sends one POST of an offer that receives media at the player's port, and puts it on record as any request."""
        visit = player.visit
        headers = self._offer_headers(visit, key)
        candidate = f"a=candidate:1 1 udp 2130706431 127.0.0.1 {player.port} typ host\r\n"
        body = offer(OFFERED_KBIT, visit.number).replace("a=rtcp-mux\r\n", f"a=rtcp-mux\r\n{candidate}", 1)
        client = self._client_of(front)
        self._note_request(visit, front, key)
        try:
            with trio.fail_after(visit.plan.abandon_ns / SECOND + LATE_ANSWER_SECONDS):
                response = await client.request("POST", path, headers, body.encode(), new_connection=True)
        except (ExchangeError, trio.TooSlowError) as error:
            self.record.note(failure_kind(error), key=key, front=front, why=str(error))
            return None
        except trio.Cancelled:
            self.record.note("left", key=key, front=front)
            raise
        finally:
            self.tally.waiting -= 1
            await client.close()
        problem = problem_type_of(response)
        self.record.note("got", key=key, status=response.status, type=problem, extra=False)
        self._count_answer(response.status, problem)
        return response

    async def _play_session(
        self, player: Player, watched: WatchedPlayback, front: int, key: str, response: Response
    ) -> None:
        """Receives the media and follows the events of a session until its viewer's end, or until it ends or breaks."""
        location = response.header("location") or ""
        gaps = MoveGapMeter(player.tracker, self.results.move_gaps_ns)
        session = PlayedSession(player, watched, front, key, location, gaps)
        client = self._client_of(front)
        self.tally.playing += 1
        has_left = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_media, nursery, session)
            with trio.move_on_at(player.end_at) as watch_scope:
                has_left = await self._follow_events(client, session)
            if watch_scope.cancelled_caught or has_left:
                with trio.move_on_after(END_TIMEOUT_SECONDS):
                    with suppress(ExchangeError):
                        await client.request("DELETE", location, [], b"", new_connection=True)
            nursery.cancel_scope.cancel()
        self.tally.playing -= 1

    async def _receive_media(self, nursery: trio.Nursery, session: PlayedSession) -> None:
        """Receives packets until cancelled, and confirms each move at the first packet of its target."""
        while True:
            data, _ = await session.player.media.recvfrom(MAX_PACKET_BYTES)
            packet = rtp.parse_packet(data)
            if packet is not None and session.gaps.receive(packet, trio_now()):
                nursery.start_soon(self._confirm_move, session)

    async def _follow_events(self, client: HttpClient, session: PlayedSession) -> bool:
        """Follows the events of a session until it ends; returns True if the player leaves it on a request to move."""
        parser = http_formats.EventStreamParser()
        kinds = "inactive" if self.mode == "stay" else "inactive.move"
        events = f"{session.location}/events?kinds={kinds}"
        has_left = False
        try:
            async with client.stream("GET", events, EVENT_STREAM_HEADERS) as (_, chunks):
                async for chunk in chunks:
                    for name, data in parser.feed(chunk):
                        if name == "inactive":
                            return False
                        if name == "move" and self.mode == "break":
                            has_left = True
                            return True
                        if name == "move":
                            await self._move(session, orjson.loads(data)["offer"])
        except ExchangeError:  # also of closing the stream, after the player has left
            pass
        return has_left

    async def _move(self, session: PlayedSession, target: str) -> None:
        """Requests the session on the target of a move, while the present one plays on."""
        session.move_count += 1
        key = f"{session.key}~{session.move_count}"
        answer = await self._send_offer(session.player, session.front, key, target)
        if answer is not None and answer.status == HTTPStatus.CREATED:
            session.watched.moves += 1
            session.gaps.awaits_target = True
        else:
            session.watched.refused += 1

    async def _confirm_move(self, session: PlayedSession) -> None:
        """Reports to the front that media of the target arrive."""
        client = self._client_of(session.front)
        with trio.move_on_after(END_TIMEOUT_SECONDS):
            with suppress(ExchangeError):
                await client.request("POST", f"{session.location}/move/done", [], b"", new_connection=True)


def trio_now() -> int:
    """Returns trio's time in ns."""
    return round(trio.current_time() * SECOND)
