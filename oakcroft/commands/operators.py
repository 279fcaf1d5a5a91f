"""Requests to the operators' interface of a running front end."""

from __future__ import annotations

import os
import sys

import click
import trio

from oakcroft.commands.arguments import EXIT_FAILURE, EXIT_INVALID_INPUT
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response

FRONT_OPTION = click.option("--front", "address", required=True, help="HOST:PORT of the front.")
TOKEN_VARIABLE = "OAKCROFT_OPERATORS"
"""The environment variable that holds the operators' bearer token."""

ANSWER_TIMEOUT_SECONDS = 60
FIRST_ERROR_STATUS = 400
"""HTTP status codes from here on are errors."""

ANY_VERSION = "*"


def request_front(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
    """Sends a request to the operators' interface, with the token from the environment.

    `path` is relative to /operators/. A keyword in `headers` has underscores for the header name's hyphens. Ends the
    command if the token is not set or the front end doesn't answer.
    """
    secret = os.environ.get(TOKEN_VARIABLE, "")
    if not secret:
        click.echo(f"set {TOKEN_VARIABLE} to the operators' token", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    host, _, port = address.rpartition(":")
    header_fields = [
        ("Authorization", f"Bearer {secret}"),
        *((name.replace("_", "-"), value) for name, value in headers.items()),
    ]

    async def send_request() -> Response:
        """Sends the request and waits for the response, up to a timeout."""
        with trio.fail_after(ANSWER_TIMEOUT_SECONDS):
            return await HttpClient(host or "127.0.0.1", int(port)).request(
                method, f"/operators/{path}", header_fields, body
            )

    try:
        return trio.run(send_request)
    except (ExchangeError, trio.TooSlowError, ValueError) as error:
        click.echo(f"{address}: {error or 'no answer'}", err=True)
        sys.exit(EXIT_FAILURE)


def is_error(response: Response) -> bool:
    """Whether a response has an error status."""
    return response.status >= FIRST_ERROR_STATUS


def print_and_exit(response: Response) -> None:
    """Prints a response and ends the command, with exit code 1 for an error."""
    click.echo(response.body.decode("utf-8", "replace"), err=is_error(response))
    sys.exit(EXIT_FAILURE if is_error(response) else 0)


def catalogue_etag(address: str) -> str:
    """Returns the entity tag of the catalogue in force at a front end, to base a change on."""
    return request_front(address, "GET", "catalogue").header("etag") or ANY_VERSION


def escape_query_text(text: str) -> str:
    """Makes text safe for a query: any character but a letter, digit, hyphen, underscore or dot becomes a space."""
    return "".join(character if character.isalnum() or character in "-_." else "%20" for character in text)
