"""Requests to the operators' interface of a running front end."""

from __future__ import annotations

import os
import sys

import click
import trio

from oakcroft.commands.arguments import BROKEN, FAULTY
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.httpwire.message import Response

FRONT = click.option("--front", "address", required=True, help="HOST:PORT of the front.")
SECRET = "OAKCROFT_OPERATORS"
"""The environment variable that holds the operators' bearer token."""

ANSWER_WITHIN_SECONDS = 60
FIRST_REFUSAL = 400
"""HTTP status codes from here on are errors."""

ANY_VERSION = "*"


def call(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
    """Sends a request to the operators' interface, with the token from the environment.

    `path` is relative to /operators/. A keyword in `headers` has underscores for the header name's hyphens. Ends the
    command if the token is not set or the front end doesn't answer.
    """
    secret = os.environ.get(SECRET, "")
    if not secret:
        click.echo(f"set {SECRET} to the operators' token", err=True)
        sys.exit(FAULTY)
    host, _, port = address.rpartition(":")
    fields = [("Authorization", f"Bearer {secret}"), *((k.replace("_", "-"), v) for k, v in headers.items())]

    async def ask() -> Response:
        with trio.fail_after(ANSWER_WITHIN_SECONDS):
            return await Peer(host or "127.0.0.1", int(port)).ask(method, f"/operators/{path}", fields, body)

    try:
        return trio.run(ask)
    except (Ended, trio.TooSlowError, ValueError) as fault:
        click.echo(f"{address}: {fault or 'no answer'}", err=True)
        sys.exit(BROKEN)


def is_refusal(answer: Response) -> bool:
    """Whether a response has an error status."""
    return answer.status >= FIRST_REFUSAL


def end_with(answer: Response) -> None:
    """Prints a response and ends the command, with exit code 1 for an error."""
    click.echo(answer.body.decode("utf-8", "replace"), err=is_refusal(answer))
    sys.exit(BROKEN if is_refusal(answer) else 0)


def etag(address: str) -> str:
    """Returns the entity tag of the catalogue in force at a front end, for a change that is based on it."""
    return call(address, "GET", "catalogue").header("etag") or ANY_VERSION


def query_text(text: str) -> str:
    """Makes text safe for a query: any character but a letter, digit, hyphen, underscore or dot becomes a space."""
    return "".join(letter if letter.isalnum() or letter in "-_." else "%20" for letter in text)
