"""Parses and checks the parameters of a viewer's set-up request."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from oakcroft.interface import MS
from oakcroft.platformwire import framing, json_lines

MAX_NAME_BYTES = 128
MAX_EXTRAS_BYTES = 1_024
MAX_NUMBER_BYTES = 32
MAX_HINT = 1e9
NULL_SESSION_ID = "0" * 16


class SetupRequestError(Exception):
    """A set-up request is well-formed but cannot be served. The message names a counter in the logs."""


class SetupLimits(NamedTuple):
    """What the configuration allows in a set-up request."""

    abandon_ns_by_plan: Mapping[str, int]  # abandon time of each plan
    cell_count: int
    rung_count: int


class SetupParameters(NamedTuple):
    """The parsed parameters of a set-up request."""

    plan_name: str
    wait_ns: int
    title_name: str
    home_cell: int  # the first cell that holds the title
    copies: int  # number of cells that hold it
    top_rung: int
    description: str
    playing_node: str  # the node on which it plays already; "" for a new set-up


def text_parameter(parameters: Mapping[int, bytes], code: int, max_bytes: int = MAX_NAME_BYTES) -> str:
    """Decodes a parameter as text; raises SetupRequestError if it is missing, empty, too long or not UTF-8."""
    value = parameters.get(code, b"")
    if not value or len(value) > max_bytes:
        raise SetupRequestError(f"parameter {code} of {len(value)} octets")
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise SetupRequestError(f"parameter {code} is no text") from error


def parse_number(written: str, maximum: float, field: str) -> float:
    """Parses a number from 0 to `maximum`; raises SetupRequestError for anything else.

    Notations that only Python reads as a number, such as underscores or surrounding spaces, are refused.
    """
    is_plain = written.isascii() and "_" not in written and written.strip() == written
    try:
        value = float(written) if is_plain else math.nan
    except ValueError:
        value = math.nan
    if not 0 <= value <= maximum:  # NaN fails too
        raise SetupRequestError(f"{field} out of range")
    return value


def parse_whole_number(written: str, maximum: int, field: str) -> int:
    """Parses a whole number from 0 to `maximum`; raises SetupRequestError for anything else."""
    value = parse_number(written, maximum, field)
    if value != int(value):
        raise SetupRequestError(f"{field} is not whole")
    return int(value)


def parse_extras(written: str) -> dict[str, str]:
    """Parses extras of the form `a:1;b:2` by name; raises SetupRequestError for any other form."""
    extras = dict[str, str]()
    for part in written.split(";"):
        name, colon, value = part.partition(":")
        if not colon or not name or name in extras:
            raise SetupRequestError("extras are not of their form")
        extras[name] = value
    return extras


def whole_number_extra(extras_by_name: Mapping[str, str], name: str, maximum: int) -> int:
    """Parses one whole number of the extras; raises SetupRequestError if it is missing or out of range."""
    if name not in extras_by_name:
        raise SetupRequestError(f"no {name}")
    return parse_whole_number(extras_by_name[name], maximum, name)


def parse_setup_request(
    session_id: str, parameters: Mapping[int, bytes], limits: SetupLimits
) -> SetupParameters:
    """Parses and checks a set-up request; raises SetupRequestError if it cannot be served."""
    if session_id == NULL_SESSION_ID:
        raise SetupRequestError("no id")
    plan = text_parameter(parameters, framing.PLAN)
    if plan not in limits.abandon_ns_by_plan:
        raise SetupRequestError("a plan that does not exist")
    extras = parse_extras(text_parameter(parameters, framing.EXTRAS, MAX_EXTRAS_BYTES))
    playing_node = extras.get("at", "")
    wait_ms = 0.0  # a playback that plays already waits for no answer
    if not playing_node:
        # Viewers wait for the plan's abandon time at most; twice that allows for their clocks and for rounding.
        max_wait_ms = 2 * limits.abandon_ns_by_plan[plan] / MS
        wait_ms = parse_number(
            text_parameter(parameters, framing.WAIT, MAX_NUMBER_BYTES), max_wait_ms, "wait"
        )
    if framing.HINT in parameters:
        parse_number(text_parameter(parameters, framing.HINT, MAX_NUMBER_BYTES), MAX_HINT, "hint")
    title = text_parameter(parameters, framing.TITLE)
    if not title.isprintable():
        raise SetupRequestError("a title that can't be printed")
    description = text_parameter(parameters, framing.TEXT, framing.MAX_MESSAGE_BYTES)
    if not json_lines.fits_line(plan, title, description):
        raise SetupRequestError("the description is too long for a node")
    return SetupParameters(
        plan_name=plan,
        wait_ns=round(wait_ms * MS),
        title_name=title,
        home_cell=whole_number_extra(extras, "home", limits.cell_count - 1),
        copies=whole_number_extra(extras, "copies", limits.cell_count),
        top_rung=whole_number_extra(extras, "top", limits.rung_count - 1),
        description=description,
        playing_node=playing_node,
    )
