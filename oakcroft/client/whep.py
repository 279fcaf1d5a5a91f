"""WHEP and WHIP over HTTP."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from urllib.parse import urlsplit

import orjson
import trio

from oakcroft.client.retry import RetryAction, Retries, final_error
from oakcroft.decisions.sessions.setup_outcome import RequestEnd
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Headers, Response
from oakcroft.signalling import sdp, http_formats


@dataclass
class WhepSession:
    """A playback or a publication: its resource, the answer, and the tag of its ICE session."""

    resource: str
    answer: str
    tag: str


Playing = WhepSession
"""Deprecated alias of `WhepSession`; the next release removes it."""


class WhepClient:
    """Asks one front. `base`: as http://127.0.0.1:8080."""

    def __init__(self, base: str, token: str = "", retries: Retries | None = None) -> None:
        """`token`: a bearer token, if the front asks for one; `retries`: which may be shared by several clients."""
        parts = urlsplit(base)
        self.http_client = HttpClient(parts.hostname or "127.0.0.1", parts.port or 80, 2.0)
        self.headers: Headers = [("Authorization", f"Bearer {token}")] if token else []
        self.retries = retries or Retries(Random())

    async def ask(
        self, path: str, offer: str, wait: int | None = None, key: str | None = None
    ) -> WhepSession:
        """Asks for a playback at a path, or to publish there, and repeats where that is safe. `wait`: seconds for each
        try. Refused or Unsure where no try succeeds."""
        self.retries.began()
        key, tries = key or str(uuid.uuid4()), 0
        while True:
            response, sent = await self._once(path, offer, key, wait)
            tries += 1
            if response is not None and response.status == HTTPStatus.CREATED:
                tag = (response.header("etag") or "").strip('"')
                return WhepSession(response.header("location") or "", response.body.decode(), tag)
            status, kind, title, retry, after = parse_failure(response)
            action, seconds = self.retries.after(tries, status, kind, retry, after, sent)
            if action is RetryAction.GIVE_UP:
                raise final_error(
                    status or 0, kind, title or "no answer", retry and (response is not None or not sent)
                )
            await trio.sleep(seconds)
            if action is RetryAction.NEW_KEY:
                key = str(uuid.uuid4())

    async def _once(self, path: str, offer: str, key: str, wait: int | None) -> tuple[Response | None, bool]:
        """The answer, if any, and whether the front may have read the request."""
        headers = [
            *self.headers,
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(key)),
        ]
        if wait is not None:
            headers.append(("Prefer", f"wait={wait}"))
        try:
            with trio.fail_after((wait or 30) + 2):
                return await self.http_client.request("POST", path, headers, offer.encode()), True
        except ExchangeError as ended:
            return None, ended.end is not RequestEnd.UNREACHED
        except trio.TooSlowError:
            return None, True

    async def end(self, playing: WhepSession) -> None:
        """Ends it; one that has ended by itself is no error."""
        try:
            await self.http_client.request("DELETE", playing.resource, self.headers, b"")
        except ExchangeError as ended:
            raise final_error(0, "", str(ended), True) from ended

    async def close(self) -> None:
        """Closes idle connections."""
        await self.http_client.close()


def parse_failure(response: Response | None) -> tuple[int | None, str, str, bool, float | None]:
    """Status, problem type and title, whether to ask again, and the seconds to wait, of an answer."""
    if response is None:
        return None, "", "", True, None
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        body = {}
    body = body if isinstance(body, dict) else {}
    after = response.header("retry-after")
    wait = float(after) if after and after.isdigit() else None
    return (
        response.status,
        str(body.get("type", "")),
        str(body.get("title", "")),
        bool(body.get("retry", True)),
        wait,
    )
