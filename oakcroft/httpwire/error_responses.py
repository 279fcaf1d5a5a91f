"""Responses that the HTTP server itself gives to requests that it cannot pass to the handler."""

from __future__ import annotations

from http import HTTPStatus

from oakcroft.httpwire.message import Response
from oakcroft.signalling.http_formats import PROBLEM_MEDIA_TYPE, problem_body

PROBLEM_TITLES = {
    400: "Malformed request",
    408: "The request came too slowly",
    413: "The body is too large",
    431: "The head is too large",
    500: "The front failed on this request",
    503: "Too many connections",
}


class HttpError(Exception):
    """An exchange ends with an error response of the server itself, or without a response if `status` is None."""

    def __init__(self, status: int | None) -> None:
        """Creates the error; with `status` None the connection is closed without a response."""
        super().__init__(str(status))
        self.status = status


def error_response(status: int, detail: str = "") -> Response:
    """Returns a problem response (RFC 9457) after which the connection closes."""
    problem_type = f"urn:oakcroft:problem:http-{status}"
    headers = [("Content-Type", PROBLEM_MEDIA_TYPE)]
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        headers.append(("Retry-After", "1"))
    body = problem_body(status, problem_type, PROBLEM_TITLES.get(status, "Refused"), detail)
    return Response(status, headers, body, close=True)
