"""WHEP and WHIP client over HTTP."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from urllib.parse import urlsplit

import orjson
import trio

from oakcroft.client.retry import NO_ANSWER, Retries, RetryAction, final_error
from oakcroft.decisions.sessions.setup_outcome import RequestEnd
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Headers, Response
from oakcroft.signalling import http_formats, sdp

CONNECT_TIMEOUT_S = 2.0
DEFAULT_WAIT_S = 30
RESPONSE_MARGIN_S = 2


@dataclass
class WhepSession:
    """A playback or a publication: its resource, the SDP answer, and the entity tag of its ICE session."""

    resource: str
    answer: str
    tag: str


Playing = WhepSession
"""Deprecated alias of `WhepSession`; the next release removes it."""


class WhepClient:
    """Client of one front end."""

    def __init__(self, base: str, token: str = "", retries: Retries | None = None) -> None:
        """Opens no connection yet.

        - `base`: for example http://127.0.0.1:8080.
        - `token`: bearer token, if the front end requires one.
        - `retries`: retry policy, which several clients may share.
        """
        parts = urlsplit(base)
        self.http_client = HttpClient(parts.hostname or "127.0.0.1", parts.port or 80, CONNECT_TIMEOUT_S)
        self.headers: Headers = [("Authorization", f"Bearer {token}")] if token else []
        self.retries = retries or Retries(Random())

    async def ask(
        self, path: str, offer: str, wait: int | None = None, key: str | None = None
    ) -> WhepSession:
        """Requests a playback at a path, or to publish there, and retries where that is safe.

        `wait`: seconds for each try; `key`: idempotency key of the first try. Raises Refused or Unsure if no try
        succeeds.
        """
        self.retries.began()
        key = key or str(uuid.uuid4())
        tries = 0
        while True:
            response, sent = await self._once(path, offer, key, wait)
            tries += 1
            if response is not None and response.status == HTTPStatus.CREATED:
                tag = (response.header("etag") or "").strip('"')
                return WhepSession(response.header("location") or "", response.body.decode(), tag)
            status, kind, title, retry, retry_after = parse_failure(response)
            action, seconds = self.retries.after(tries, status, kind, retry, retry_after, sent)
            if action is RetryAction.GIVE_UP:
                raise final_error(
                    status or NO_ANSWER,
                    kind,
                    title or "no answer",
                    retry and (response is not None or not sent),
                )
            await trio.sleep(seconds)
            if action is RetryAction.NEW_KEY:
                key = str(uuid.uuid4())

    async def _once(self, path: str, offer: str, key: str, wait: int | None) -> tuple[Response | None, bool]:
        """Returns the response, if any, and whether the front end may have read the request."""
        headers = [
            *self.headers,
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(key)),
        ]
        if wait is not None:
            headers.append(("Prefer", f"wait={wait}"))
        try:
            with trio.fail_after((wait or DEFAULT_WAIT_S) + RESPONSE_MARGIN_S):
                return await self.http_client.request("POST", path, headers, offer.encode()), True
        except ExchangeError as error:
            return None, error.end is not RequestEnd.UNREACHED
        except trio.TooSlowError:
            return None, True

    async def end(self, playing: WhepSession) -> None:
        """Ends a session; it is no error if the session has ended already."""
        try:
            await self.http_client.request("DELETE", playing.resource, self.headers, b"")
        except ExchangeError as error:
            raise final_error(NO_ANSWER, "", str(error), True) from error

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.http_client.close()


def parse_failure(response: Response | None) -> tuple[int | None, str, str, bool, float | None]:
    """Returns the status, problem type and title of a response, whether it allows a retry, and after how many seconds."""
    if response is None:
        return None, "", "", True, None
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        body = {}
    if not isinstance(body, dict):
        body = {}
    retry_after = response.header("retry-after")
    wait = float(retry_after) if retry_after and retry_after.isdigit() else None
    return (
        response.status,
        str(body.get("type", "")),
        str(body.get("title", "")),
        bool(body.get("retry", True)),
        wait,
    )
