"""Parses and checks the parameters of a viewer's set-up request."""

from __future__ import annotations

import math
from collections.abc import Mapping

from oakcroft.interface import MS
from oakcroft.platformwire import framing, json_lines

MOST_NAME = 128
NO_ID = "0" * 16


class Unusable(Exception):
    """A set-up request that is well-formed but cannot be served."""


def text(params: Mapping[int, bytes], code: int, most: int = MOST_NAME) -> str:
    """A parameter as text; raises SetupRequestError if it is missing, empty, too long or not UTF-8."""
    value = params.get(code, b"")
    if not value or len(value) > most:
        raise Unusable(f"parameter {code} of {len(value)} octets")
    try:
        return value.decode()
    except UnicodeDecodeError as fault:
        raise Unusable(f"parameter {code} is no text") from fault


def number(said: str, most: float, what: str) -> float:
    """A number from 0 to `maximum`; raises SetupRequestError otherwise.

    Notations that only Python reads as a number, such as underscores or surrounding spaces, are refused.
    """
    plain = said.isascii() and "_" not in said and said.strip() == said
    try:
        value = float(said) if plain else math.nan
    except ValueError:
        value = math.nan
    if not 0 <= value <= most:  # NaN fails too
        raise Unusable(f"{what} out of range")
    return value


def whole(said: str, most: int, what: str) -> int:
    """A whole number from 0 to `maximum`; raises SetupRequestError otherwise."""
    value = number(said, most, what)
    if value != int(value):
        raise Unusable(f"{what} is not whole")
    return int(value)


def extras(said: str) -> dict[str, str]:
    """The extras `a:1;b:2` by name; raises SetupRequestError if they do not have that form."""
    found = dict[str, str]()
    for part in said.split(";"):
        name, colon, value = part.partition(":")
        if not colon or not name or name in found:
            raise Unusable("extras are not of their form")
        found[name] = value
    return found


def figure(found: Mapping[str, str], name: str, most: int) -> int:
    """One whole number of the extras; raises SetupRequestError if it is missing or out of range."""
    if name not in found:
        raise Unusable(f"no {name}")
    return whole(found[name], most, name)


def playback(
    session: str, params: Mapping[int, bytes], plans: Mapping[str, int], cells: int, rungs: int
) -> tuple[str, int, str, int, int, int, str, str]:
    """The checked parameters of a set-up request; raises SetupRequestError if they cannot be served.

    Returns the plan's name, the wait in ns, the title, its first cell and number of copies, the highest rung,
    the description, and the node on which it plays already ("" for a new set-up). `abandon_ns_by_plan` has
    each plan's abandon time.
    """
    if session == NO_ID:
        raise Unusable("no id")
    plan = text(params, framing.PLAN)
    if plan not in plans:
        raise Unusable("a plan that does not exist")
    found = extras(text(params, framing.EXTRAS, 1024))
    at = found.get("at", "")
    # Allows for the viewer's clock and for rounding; otherwise nobody waits longer than the plan's abandon time.
    longest = 2 * plans[plan] / MS
    # A playback that plays already waits for no answer.
    wait = 0.0 if at else number(text(params, framing.WAIT, 32), longest, "wait")
    if framing.HINT in params:
        number(text(params, framing.HINT, 32), 1e9, "hint")
    title = text(params, framing.TITLE)
    if not title.isprintable():
        raise Unusable("a title that can't be printed")
    description = text(params, framing.TEXT, framing.MOST)
    if not json_lines.carries(plan, title, description):
        raise Unusable("the description is too long for a node")
    return (
        plan, round(wait * MS), title, figure(found, "home", cells - 1), figure(found, "copies", cells),
        figure(found, "top", rungs - 1), description, at,
    )  # fmt: skip
