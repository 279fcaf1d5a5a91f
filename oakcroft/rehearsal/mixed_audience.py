"""An audience of which every second viewer uses the WebSocket session API, through the client library."""

from __future__ import annotations

from http import HTTPStatus
from random import Random

import trio

from oakcroft.client.retry import Retries
from oakcroft.client.session import Playback, SessionClient
from oakcroft.httpwire.client import ExchangeError
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import (
    CONNECT_TIMEOUT_SECONDS,
    END_TIMEOUT_SECONDS,
    GIVE_UP_AFTER_SECONDS,
    LATE_ANSWER_SECONDS,
    MIN_WATCH_SECONDS,
    Audience,
)
from oakcroft.rehearsal.visits import Visit
from oakcroft.signalling import http_formats, sdp, session_api as api

HTTP_REPEAT_INTERVAL, HTTP_REPEAT_REMAINDER = 10, 5
"""Viewers whose number divided by the first leaves the second also send their request over HTTP, under the same key."""

SESSION_SLACK_SECONDS = 4
"""How long a session may last beside its abandon time and playing time."""

REPEAT_TIMEOUT_SECONDS = 2


class MixedAudience(Audience):
    """Every second viewer uses the session API; the record has the same facts for both APIs, so the rules cover both."""

    async def _visit(self, visit: Visit) -> None:
        if visit.number % 2:
            await self._visit_by_session_api(visit)
        else:
            await super()._visit(visit)

    async def _visit_by_session_api(self, visit: Visit) -> None:
        """Plays one viewer: requests, watches, and requests again after a loss or a rejection."""
        rng = Random(visit.seed)
        watch_seconds = visit.watch_ns / SECOND
        started_at = trio.current_time()
        watched = 0.0
        tries = 0
        is_served = False
        self._count_viewer(visit)
        while not self.stopped and trio.current_time() - started_at < GIVE_UP_AFTER_SECONDS + watch_seconds:
            front = self._choose_front(rng, visit.zone)
            key = f"v{visit.number}.{tries}"
            tries += 1
            retries = Retries(Random(visit.seed + tries), most=1)
            retry_after = 0.0
            is_complete = False
            with trio.move_on_after(visit.plan.abandon_ns / SECOND + SESSION_SLACK_SECONDS + watch_seconds):
                url = f"http://127.0.0.1:{self.ports.get(front, 1)}"
                with trio.move_on_after(CONNECT_TIMEOUT_SECONDS) as connecting:
                    async with SessionClient.open(url, retries=retries) as client:
                        if connecting.cancel_called:  # connected just at the timeout; no request was sent
                            continue
                        connecting.deadline = float("inf")
                        answer = await self._request_by_session_api(client, visit, front, key)
                        if answer is not None and answer.status == HTTPStatus.CREATED:
                            if not is_served:
                                is_served = True
                                self._count_served(visit, started_at)
                            playback = await self._begin_playback(client, visit, front, key, answer)
                            watch_started_at = trio.current_time()
                            is_complete = await self._watch_playback(
                                client, playback, watch_seconds - watched
                            )
                            watched += trio.current_time() - watch_started_at
                            self.tally.lost_playbacks += not is_complete
                        elif answer is not None:
                            retry_after = float(answer.retry_after_s or 0)
                            if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                                return
                if connecting.cancelled_caught:
                    self.tally.answers["unreached"] += 1
            if is_complete or rng.random() > self.day.viewer_model.return_share:
                return
            await trio.sleep(max(retry_after, self._retry_delay(rng)))

    async def _begin_playback(
        self, client: SessionClient, visit: Visit, front: int, key: str, answer: api.Answer
    ) -> Playback:
        """Registers the playback of an answer with the client; of some viewers, repeats the request over HTTP first."""
        if visit.number % HTTP_REPEAT_INTERVAL == HTTP_REPEAT_REMAINDER:
            await self._repeat_over_http(visit, front, key, answer.playback)
        playback = Playback(answer.playback, answer.answer, answer.tag)
        client.playbacks[answer.playback] = playback
        return playback

    async def _request_by_session_api(
        self, client: SessionClient, visit: Visit, front: int, key: str
    ) -> api.Answer | None:
        """Sends one request and puts it on record; returns None if it got no answer."""
        wait = visit.plan.abandon_ns
        path, body = self._path_and_offer(visit)
        sent_at = trio.current_time()
        self._note_request(visit, front, key)
        try:
            with trio.fail_after(wait / SECOND + LATE_ANSWER_SECONDS):
                ask = api.Ask(next(client.call_ids), path, body, key, -(-wait // SECOND))
                answer = await client.call(ask)
        except trio.TooSlowError:
            self.record.note("cut", key=key, front=front, why="no answer")
            self.tally.answers["cut"] += 1
            return None
        finally:
            self.tally.waiting -= 1
        assert isinstance(answer, api.Answer)
        if answer.kind.endswith(":front-lost"):
            self.record.note("cut", key=key, front=front, why=answer.title)
            self.tally.answers["cut"] += 1
            return None
        self.record.note("got", key=key, status=answer.status, type=answer.kind, extra=False)
        self._count_answer(answer.status, answer.kind)
        if answer.status == HTTPStatus.CREATED:
            self.tally.created_times_ns.append(round((trio.current_time() - sent_at) * SECOND))
        return answer

    async def _repeat_over_http(self, visit: Visit, front: int, key: str, playback: str) -> None:
        """Sends the same request under the same key over HTTP; its answer must name the same playback."""
        path, body = self._path_and_offer(visit)
        http_client = self._client_of(front)
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Idempotency-Key", http_formats.quoted_string(key))]
        try:
            with trio.fail_after(REPEAT_TIMEOUT_SECONDS):
                response = await http_client.request(
                    "POST", path, headers, body.encode(), new_connection=True
                )
        except (ExchangeError, trio.TooSlowError):
            return
        finally:
            await http_client.close()
        is_same = (
            response.status == HTTPStatus.CREATED and response.header("location") == f"/session/{playback}"
        )
        is_gone = response.status != HTTPStatus.CREATED  # it has ended, or its front was stopped, meanwhile
        self.record.note("both ways", key=key, same=is_same, status=response.status)
        outcome = "same" if is_same else "gone" if is_gone else "ANOTHER"
        self.tally.answers[f"both ways: {outcome}"] += 1

    async def _watch_playback(self, client: SessionClient, playback: Playback, seconds: float) -> bool:
        """Watches to the viewer's end and ends the session; returns False if the playback was lost before."""
        self.tally.playing += 1
        try:
            with trio.move_on_after(max(MIN_WATCH_SECONDS, seconds)) as watch_scope:
                async for event in playback.events:
                    if event.kind == "inactive":
                        return False
                return False
            if watch_scope.cancelled_caught and not self.stopped:
                with trio.move_on_after(END_TIMEOUT_SECONDS):
                    await client.end(playback)
            return True
        finally:
            self.tally.playing -= 1
