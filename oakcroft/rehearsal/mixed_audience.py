"""An audience of which every second viewer comes over the WebSocket session API, by the client library."""

from __future__ import annotations

from http import HTTPStatus
from random import Random

import trio

from oakcroft.client.retry import Retries
from oakcroft.client.session import Playback, SessionClient
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import Audience, Visit
from oakcroft.signalling import sdp, session_api as api, words


BOTH_WAYS_EVERY, BOTH_WAYS_FIRST = 10, 5
"""Of all viewers: which ask over HTTP as well, under the key that they have asked by."""


class MixedAudience(Audience):
    """Half and half; what passes is recorded alike, so that the rules are judged over both ways."""

    async def _visit(self, visit: Visit) -> None:
        if visit.number % 2:
            await self._over_socket(visit)
        else:
            await super()._visit(visit)

    async def _over_socket(self, visit: Visit) -> None:
        rng, plan, name = Random(visit.seed), visit.plan, visit.plan.name
        began, watched, tries, served = trio.current_time(), 0.0, 0, False
        self.tally.asked[name] += 1
        worth = plan.plan.revenue * self.day.site.terms.rung_revenue_shares[visit.top]
        self.tally.offered[name] = self.tally.offered.get(name, 0.0) + visit.life / 1e9 * worth
        while not self.stopped and trio.current_time() - began < 30 + visit.life / 1e9:
            front, key = self._front(rng, visit.wing), f"v{visit.number}.{tries}"
            tries += 1
            retries = Retries(Random(visit.seed + tries), most=1)
            after, whole = 0.0, False
            with trio.move_on_after(plan.abandon_ns / 1e9 + 4 + visit.life / 1e9):
                url = f"http://127.0.0.1:{self.ports.get(front, 1)}"
                with trio.move_on_after(1.0) as connecting:
                    async with SessionClient.open(url, retries=retries) as client:
                        if connecting.cancel_called:  # up in the moment its time ended: nothing was asked
                            continue
                        connecting.deadline = float("inf")
                        answer = await self._say(client, visit, front, key)
                        if answer is not None and answer.status == HTTPStatus.CREATED:
                            if not served:
                                served = True
                                self.tally.served[name] += 1
                                self.tally.in_target[name] += (
                                    trio.current_time() - began <= plan.plan.startup_target_ns / 1e9
                                )
                            if visit.number % BOTH_WAYS_EVERY == BOTH_WAYS_FIRST:
                                await self._other_way(visit, front, key, answer.playback)
                            playback = Playback(answer.playback, answer.answer, answer.tag)
                            client.playbacks[answer.playback] = playback
                            sat = trio.current_time()
                            whole = await self._watch_events(client, playback, visit.life / 1e9 - watched)
                            watched += trio.current_time() - sat
                            self.tally.lost += not whole
                        elif answer is not None:
                            after = float(answer.retry_after_s or 0)
                            if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                                return
                if connecting.cancelled_caught:
                    self.tally.answers["unreached"] += 1
            if whole or rng.random() > self.day.crowd.returns:
                return
            await trio.sleep(max(after, rng.uniform(*self.day.crowd.back_after) / 1e9))

    async def _say(self, client: SessionClient, visit: Visit, front: int, key: str) -> api.Answer | None:
        """One request, recorded."""
        wait, (prefix, body) = visit.plan.abandon_ns, self._asked(visit)
        self.tally.requests += 1
        self.tally.waiting += 1
        sent = trio.current_time()
        self.record.note("ask", key=key, front=front, plan=visit.plan.name, title=visit.title, wait=wait)
        try:
            with trio.fail_after(wait / 1e9 + 3):
                ask = api.Ask(next(client.numbers), prefix + visit.title, body, key, -(-wait // SECOND))
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
            self.tally.waits.append(round((trio.current_time() - sent) * 1e9))
        return answer

    async def _other_way(self, visit: Visit, front: int, key: str, playback: str) -> None:
        """The same request under the same key over HTTP: it must hear of the same playback."""
        prefix, body = self._asked(visit)
        peer = Peer("127.0.0.1", self.ports.get(front, 1), 1.0)
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Idempotency-Key", words.quoted(key))]
        try:
            with trio.fail_after(2):
                sat = await peer.ask("POST", prefix + visit.title, headers, body.encode(), fresh=True)
        except (Ended, trio.TooSlowError):
            return
        finally:
            await peer.close()
        same = sat.status == HTTPStatus.CREATED and sat.header("location") == f"/session/{playback}"
        gone = sat.status != HTTPStatus.CREATED  # it ended, or its front was stopped, in between
        self.record.note("both ways", key=key, same=same, status=sat.status)
        self.tally.answers["both ways: " + ("same" if same else "gone" if gone else "ANOTHER")] += 1

    async def _watch_events(self, client: SessionClient, playback: Playback, seconds: float) -> bool:
        """Watches to the end and says so; False when the playback was lost before."""
        self.tally.playing += 1
        try:
            with trio.move_on_after(max(0.01, seconds)) as life:
                async for event in playback.events:
                    if event.kind == "inactive":
                        return False
                return False
            if life.cancelled_caught and not self.stopped:
                with trio.move_on_after(3):
                    await client.end(playback)
            return True
        finally:
            self.tally.playing -= 1
