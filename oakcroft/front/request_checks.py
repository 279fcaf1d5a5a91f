"""Checks of requests that all signalling protocols share, and the error of a request that fails one."""

from __future__ import annotations

from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE, ResourceError
from oakcroft.signalling import http_formats, sdp


class RequestError(Exception):
    """A request that is answered with a problem document (RFC 9457)."""

    def __init__(self, status: int, kind: str, title: str, detail: str = "") -> None:
        """Creates an error with an HTTP status, the last part of a problem type, a title and a detail."""
        super().__init__(title)
        self.status = status
        self.problem_type = f"urn:oakcroft:problem:{kind}"
        self.title = title
        self.detail = detail


def parse_offer(offer_text: str) -> sdp.Description:
    """Parses an offer. Raises RequestError 400."""
    try:
        return sdp.parse(offer_text)
    except sdp.SdpError as fault:
        raise RequestError(400, "sdp", "The offer is no session description", str(fault)) from None


def check_offer(offer: sdp.Description, publishes: bool) -> None:
    """Checks that an offer can be answered. Raises RequestError 422."""
    try:
        sdp.check_offer(offer, publishes)
    except sdp.SdpError as fault:
        raise RequestError(422, "offer", "The offer cannot be answered", str(fault)) from None


def check_key(key: str | None) -> None:
    """Checks the form of an idempotency key. Raises RequestError 400."""
    if key is not None and not http_formats.is_idempotency_key(key):
        raise RequestError(400, "key", 'A key is 1 to 255 visible characters or spaces but " and \\')


def parse_fragment(content_type: str, body: bytes) -> sdp.Fragment:
    """Parses a trickle ICE fragment; empty for another content type. Raises RequestError 400."""
    if content_type != SDPFRAG_MEDIA_TYPE:
        return sdp.Fragment("", "", [], True)
    try:
        return sdp.parse_fragment(body.decode("utf-8"))
    except (UnicodeDecodeError, sdp.SdpError) as error:
        raise RequestError(400, "sdp", "This is no trickle fragment", str(error)) from None


def resource_error(error: ResourceError) -> RequestError:
    """The error of a session resource as RequestError."""
    return RequestError(error.status, error.problem_type.rpartition(":")[2], error.title)
