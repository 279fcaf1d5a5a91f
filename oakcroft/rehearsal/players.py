"""Players of long lessons: they receive RTP, follow moves, and measure the gaps in what they play."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import orjson
import trio

from oakcroft.httpwire.client import Ended, Peer
from oakcroft.httpwire.message import Response
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import Audience, Visit, offer, plan_visits
from oakcroft.signalling import sdp, words
from oakcroft.standins import rtp
from oakcroft.standins.day import Day
from oakcroft.standins.record import Record

STALL_NS = 2 * rtp.INTERVAL
MODES = ("move", "break", "stay")


@dataclass
class WatchedPlayback:
    """What one player saw of one playback, from its first packet to its end."""

    plan: str
    longest_gap_ns: int = 0
    moves: int = 0
    refused: int = 0
    complete: bool = True  # played to the end its viewer wanted
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
    move_gaps_ns: list[int] = field(default_factory=list)  # the longest gap around each move, ns


class Players(Audience):
    """An audience of players. `mode`: they follow moves; they break and ask anew when told to move; or they are plain
    players that cannot be moved."""

    mode = "move"

    def __init__(self, day: Day, record: Record) -> None:
        super().__init__(day, record)
        self.results = PlayerResults()

    async def run(self, start: float) -> None:
        async with trio.open_nursery() as nursery:
            for visit in plan_visits(self.day):
                await trio.sleep_until(start + visit.at / 1e9)
                nursery.start_soon(self._play, visit)
            await trio.sleep_until(start + self.day.length / 1e9)
            self.stopped = True
            nursery.cancel_scope.deadline = trio.current_time() + 8

    async def _play(self, visit: Visit) -> None:
        rng, ends = Random(visit.seed), trio.current_time() + visit.life / 1e9
        tries = 0
        seen: WatchedPlayback | None = None
        self.tally.asked[visit.plan.name] += 1
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as media:
            await media.bind(("127.0.0.1", 0))
            port = media.getsockname()[1]
            screen = rtp.Playout()
            while not self.stopped and trio.current_time() < ends and tries < 40:
                front, key = self._front(rng, visit.wing), f"v{visit.number}.{tries}"
                tries += 1
                sat = await self._ask_for(visit, front, key, port, f"/whep/{visit.plan.name}/{visit.title}")
                if sat is None or sat.status != 201:
                    await trio.sleep(rng.uniform(*self.day.crowd.back_after) / 1e9)
                    continue
                if seen is None:
                    seen = WatchedPlayback(visit.plan.name)
                    self.results.playbacks.append(seen)
                await self._watch_media(visit, front, sat, key, media, port, screen, seen, ends)
                if seen is not None and trio.current_time() < ends - 0.05 and not self.stopped:
                    seen.complete = seen.complete and self.mode == "break"
                    await trio.sleep(
                        0 if self.mode == "break" else rng.uniform(*self.day.crowd.back_after) / 1e9
                    )
            if seen is not None:
                seen.longest_gap_ns, seen.packets_played, seen.duplicate_packets = (
                    max(seen.longest_gap_ns, screen.longest),
                    screen.played,
                    screen.doubles,
                )

    async def _ask_for(self, visit: Visit, front: int, key: str, port: int, path: str) -> Response | None:
        """One POST of an offer, recorded like any."""
        wait = visit.plan.abandon_ns
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Idempotency-Key", words.quoted(key)),
                   ("Prefer", f"wait={-(-wait // SECOND)}")]  # fmt: skip
        candidate = f"a=candidate:1 1 udp 2130706431 127.0.0.1 {port} typ host\r\n"
        body = offer(50_000, visit.number).replace("a=rtcp-mux\r\n", f"a=rtcp-mux\r\n{candidate}", 1)
        peer = Peer("127.0.0.1", self.ports.get(front, 1), 1.0)
        self.tally.requests += 1
        self.tally.waiting += 1
        self.record.note("ask", key=key, front=front, plan=visit.plan.name, title=visit.title, wait=wait)
        try:
            with trio.fail_after(wait / 1e9 + 3):
                response = await peer.ask("POST", path, headers, body.encode(), fresh=True)
        except (Ended, trio.TooSlowError) as fault:
            refused = isinstance(fault, Ended) and fault.end.name == "UNREACHED"
            self.record.note("unreached" if refused else "cut", key=key, front=front, why=str(fault))
            return None
        except trio.Cancelled:
            self.record.note("left", key=key, front=front)
            raise
        finally:
            self.tally.waiting -= 1
            await peer.close()
        kind = words.problem_type(response.body) if response.status >= 400 else ""
        self.record.note("got", key=key, status=response.status, type=kind, extra=False)
        self.tally.answers[f"{response.status} {kind.rpartition(':')[2]}".strip()] += 1
        return response

    async def _watch_media(
        self, visit: Visit, front: int, sat: Response, key: str, media: trio.socket.SocketType, port: int,
        screen: rtp.Playout, seen: WatchedPlayback, ends: float,
    ) -> None:  # fmt: skip
        here = sat.header("location") or ""
        peer = Peer("127.0.0.1", self.ports.get(front, 1), 1.0)
        self.tally.playing += 1
        left_early = False
        around: list[int] = []
        confirm: list[int] = []  # sources known when a move was answered: a new one is the target

        async def receive() -> None:
            while True:
                data, _ = await media.recvfrom(2048)
                packet = rtp.parse(data)
                if packet is None:
                    continue
                new = packet.source not in screen.sources
                now = trio_now()
                gap = now - screen.last_at if screen.last_at else 0
                played = screen.take(packet, now)
                if new and confirm:
                    confirm.clear()
                    nursery.start_soon(self._done, front, here)
                    around[:] = [now + SECOND, 0]  # its gaps for a second from the first packet of the target
                if around and played:
                    around[1] = max(around[1], gap)
                    if now > around[0]:
                        self.results.move_gaps_ns.append(around[1])
                        around.clear()

        async def follow(moves: int = 0) -> None:
            nonlocal left_early
            reader, kinds = words.EventReader(), "inactive" if self.mode == "stay" else "inactive.move"
            try:
                async with peer.stream("GET", f"{here}/events?kinds={kinds}", [("Accept", words.EVENTS)]) as (
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
                            moved = await self._ask_for(visit, front, f"{key}~{moves}", port, target)
                            if moved is not None and moved.status == 201:
                                seen.moves += 1
                                confirm.append(1)
                            else:
                                seen.refused += 1
            except Ended:
                pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            with trio.move_on_at(ends) as life:
                await follow()
            if life.cancelled_caught or left_early:
                with trio.move_on_after(2):
                    with suppress(Ended):
                        await peer.ask("DELETE", here, [], b"", fresh=True)
            nursery.cancel_scope.cancel()
        self.tally.playing -= 1

    async def _done(self, front: int, here: str) -> None:
        peer = Peer("127.0.0.1", self.ports.get(front, 1), 1.0)
        with trio.move_on_after(2):
            with suppress(Ended):
                await peer.ask("POST", f"{here}/move/done", [], b"", fresh=True)


def trio_now() -> int:
    """Trio's time in ns."""
    return round(trio.current_time() * 1e9)
