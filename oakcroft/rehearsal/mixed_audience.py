"""An audience of which every second viewer uses the WebSocket session API, by the client library."""

from __future__ import annotations

from http import HTTPStatus
from random import Random

import trio

from oakcroft.client.retry import Retries
from oakcroft.client.session import Playback, SessionClient
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import Audience, Visit
from oakcroft.signalling import http_formats, sdp, session_api as api

BOTH_WAYS_EVERY, BOTH_WAYS_FIRST = 10, 5
"""Which of all viewers also ask over HTTP, under the key of their request."""

GIVE_UP_AFTER_SECONDS = 30
"""A viewer makes no further try this long after its first one, beside its playing time."""

SESSION_SLACK_SECONDS = 4
"""How long a session may last beside its abandon time and playing time."""

CONNECT_WITHIN_SECONDS = 1.0
LATE_ANSWER_SECONDS = 3
"""How long after its abandon time a viewer still waits for the answer, as the record must show a late one."""

REPEAT_WITHIN_SECONDS = 2
END_WITHIN_SECONDS = 3
MIN_WATCH_SECONDS = 0.01


class MixedAudience(Audience):
    """Every second viewer uses the session API; all requests are recorded alike, so that the rules cover both ways."""

    async def _visit(self, visit: Visit) -> None:
        if visit.number % 2:
            await self._visit_by_session_api(visit)
        else:
            await super()._visit(visit)

    async def _visit_by_session_api(self, visit: Visit) -> None:
        rng = Random(visit.seed)
        plan = visit.plan
        life = visit.life / SECOND
        began = trio.current_time()
        watched = 0.0
        tries = 0
        is_served = False
        self._count_viewer(visit)
        while not self.stopped and trio.current_time() - began < GIVE_UP_AFTER_SECONDS + life:
            front = self._choose_front(rng, visit.wing)
            key = f"v{visit.number}.{tries}"
            tries += 1
            retries = Retries(Random(visit.seed + tries), most=1)
            retry_after = 0.0
            is_complete = False
            with trio.move_on_after(plan.abandon_ns / SECOND + SESSION_SLACK_SECONDS + life):
                url = f"http://127.0.0.1:{self.ports.get(front, 1)}"
                with trio.move_on_after(CONNECT_WITHIN_SECONDS) as connecting:
                    async with SessionClient.open(url, retries=retries) as client:
                        if connecting.cancel_called:  # connected just as the time was over: nothing was asked
                            continue
                        connecting.deadline = float("inf")
                        answer = await self._request_by_session_api(client, visit, front, key)
                        if answer is not None and answer.status == HTTPStatus.CREATED:
                            if not is_served:
                                is_served = True
                                self.tally.served[plan.name] += 1
                                startup = trio.current_time() - began
                                is_in_target = startup <= plan.plan.startup_target_ns / SECOND
                                self.tally.in_target[plan.name] += is_in_target
                            if visit.number % BOTH_WAYS_EVERY == BOTH_WAYS_FIRST:
                                await self._repeat_over_http(visit, front, key, answer.playback)
                            playback = Playback(answer.playback, answer.answer, answer.tag)
                            client.playbacks[answer.playback] = playback
                            watch_began = trio.current_time()
                            is_complete = await self._watch_playback(client, playback, life - watched)
                            watched += trio.current_time() - watch_began
                            self.tally.lost += not is_complete
                        elif answer is not None:
                            retry_after = float(answer.retry_after_s or 0)
                            if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                                return
                if connecting.cancelled_caught:
                    self.tally.answers["unreached"] += 1
            if is_complete or rng.random() > self.day.viewer_model.return_share:
                return
            await trio.sleep(max(retry_after, rng.uniform(*self.day.viewer_model.return_delay_ns) / SECOND))

    async def _request_by_session_api(
        self, client: SessionClient, visit: Visit, front: int, key: str
    ) -> api.Answer | None:
        """Sends one request and puts it on record; returns None if it got no answer."""
        wait = visit.plan.abandon_ns
        path, body = self._path_and_offer(visit)
        sent = trio.current_time()
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
        self.tally.answers[f"{answer.status} {answer.kind.rpartition(':')[2]}".strip()] += 1
        if answer.status == HTTPStatus.CREATED:
            self.tally.waits.append(round((trio.current_time() - sent) * SECOND))
        return answer

    async def _repeat_over_http(self, visit: Visit, front: int, key: str, playback: str) -> None:
        """Sends the same request under the same key over HTTP, whose answer must name the same playback."""
        path, body = self._path_and_offer(visit)
        peer = HttpClient("127.0.0.1", self.ports.get(front, 1), CONNECT_WITHIN_SECONDS)
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Idempotency-Key", http_formats.quoted_string(key))]
        try:
            with trio.fail_after(REPEAT_WITHIN_SECONDS):
                response = await peer.request("POST", path, headers, body.encode(), new_connection=True)
        except (ExchangeError, trio.TooSlowError):
            return
        finally:
            await peer.close()
        is_same = (
            response.status == HTTPStatus.CREATED and response.header("location") == f"/session/{playback}"
        )
        is_gone = response.status != HTTPStatus.CREATED  # it ended, or its front was stopped, in between
        self.record.note("both ways", key=key, same=is_same, status=response.status)
        outcome = "same" if is_same else "gone" if is_gone else "ANOTHER"
        self.tally.answers[f"both ways: {outcome}"] += 1

    async def _watch_playback(self, client: SessionClient, playback: Playback, seconds: float) -> bool:
        """Watches to the viewer's end and ends the session; returns False if the playback was lost before."""
        self.tally.playing += 1
        try:
            with trio.move_on_after(max(MIN_WATCH_SECONDS, seconds)) as life:
                async for event in playback.events:
                    if event.kind == "inactive":
                        return False
                return False
            if life.cancelled_caught and not self.stopped:
                with trio.move_on_after(END_WITHIN_SECONDS):
                    await client.end(playback)
            return True
        finally:
            self.tally.playing -= 1
