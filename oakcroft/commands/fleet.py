"""The `status` and `fleet` commands, which query a running front end for its own state and its view of its peers."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import click
import orjson

from oakcroft.commands.arguments import EXISTING_FILE
from oakcroft.commands.catalogue import formatted_catalogue
from oakcroft.commands.operators import (
    FRONT_OPTION,
    request_front,
    print_and_exit,
    catalogue_etag,
    is_error,
    escape_query_text,
)

MS_PER_SECOND = 1000
UNKNOWN_OWNER = "nobody, as far as this front knows"


@click.command()
@FRONT_OPTION
def status(address: str) -> None:
    """Tell how a running front stands."""
    print_and_exit(request_front(address, "GET", "status"))


@click.group()
def fleet() -> None:
    """Ask a running front how it sees the others."""


@fleet.command("view")
@FRONT_OPTION
@click.option("--json", "as_json", is_flag=True, help="For tools: what the front said, as it said it.")
def fleet_view(address: str, as_json: bool) -> None:
    """Tell who is there, by one front: a line each, with how it stands, since when, and by whose word."""
    answer = request_front(address, "GET", "fleet")
    if as_json or is_error(answer):
        print_and_exit(answer)
    for line in describe_members(orjson.loads(answer.body)):
        click.echo(line)


@fleet.command("owners")
@FRONT_OPTION
@click.option("--json", "as_json", is_flag=True, help="For tools: what the front said, as it said it.")
@click.option(
    "--give-back",
    "duty",
    default="",
    help="A duty of this front: it lets go of it, for another.",
)
def fleet_owners(address: str, as_json: bool, duty: str) -> None:
    """Tell who owns which duty of the fleet, under which number, and how this front's keeper stands."""
    method, query = ("DELETE", f"?duty={duty}") if duty else ("GET", "")
    answer = request_front(address, method, f"fleet/owners{query}")
    if as_json or is_error(answer):
        print_and_exit(answer)
    for line in describe_owners(orjson.loads(answer.body)):
        click.echo(line)


@fleet.command("roll-out")
@click.argument("file", type=EXISTING_FILE, required=False)
@FRONT_OPTION
@click.option(
    "--watch", type=click.IntRange(0, 86_400), default=10, help="Seconds between one share and the next."
)
@click.option("--force", is_flag=True, help="Take it although a title would have no ready holder.")
@click.option("--why", default="", help="Kept with the version.")
@click.option("--take-back", is_flag=True, help="Have the one under way, or the last, taken back.")
def fleet_roll_out(
    file: Path | None, address: str, watch: int, force: bool, why: str, take_back: bool
) -> None:
    """Take the catalogue FILE to all fronts, a share after the other; without FILE tell how the last one stands.

    Any front takes it and hands it to the one that owns the catalogue. A version that a front refuses, or under which
    more answers fail than without it, is taken back everywhere.
    """
    if take_back:
        print_and_exit(request_front(address, "DELETE", f"fleet/roll-out?why={escape_query_text(why)}"))
    if file is None:
        print_and_exit(request_front(address, "GET", "fleet/roll-out"))
    else:
        tag = catalogue_etag(address)
        query = f"fleet/roll-out?watch={watch}&why={escape_query_text(why)}" + ("&force=yes" if force else "")
        print_and_exit(request_front(address, "PUT", query, formatted_catalogue(file).encode(), If_Match=tag))


def describe_owners(status: dict[str, Any]) -> list[str]:
    """Describes the duties' owners in lines of text, from a decoded answer."""
    term = status["term_ms"] / MS_PER_SECOND
    lines = [f"{status['name']}: keepers {', '.join(status['keepers'])}; a term is {term:g} s"]
    if keeper := status.get("keeper"):
        lines.append(_describe_keeper(keeper))
    for duty in status["duties"]:
        owner = f"{duty['owner']}, number {duty['number']}" if duty["owner"] else UNKNOWN_OWNER
        own_part = f"; here: {duty['course']}, {duty['in_line'] + 1}. in line" if duty["course"] else ""
        lines.append(f"  {duty['duty']}: {owner}{own_part}")
    return lines


def _describe_keeper(keeper: dict[str, Any]) -> str:
    grants = "grants" if keeper["speaks"] and keeper["record"] else "grants nothing"
    memory = "" if keeper["sound"] else ", remembers nothing"
    mute = f", mute for {keeper['mute_ms'] / MS_PER_SECOND:.1f} s" if keeper["mute_ms"] else ""
    waits = f", waits for {', '.join(keeper['waits_for'])}" if keeper["waits_for"] else ""
    disk = "" if keeper["record"] else ", its record can't be written"
    return f"  a keeper, {grants}{memory}{mute}{waits}{disk}"


def describe_members(view: dict[str, Any]) -> list[str]:
    """Describes a front end's view of its peers in lines of text, from a decoded answer."""
    members = view["members"]
    states = Counter(member["standing"] for member in members)
    own = "displaced by another of its name" if view["displaced"] else "alive"
    counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    width = max(len(member["name"]) for member in members)
    dropped = ", ".join(f"{what} {count}" for what, count in sorted(view["dropped"].items())) or "nothing"
    return [
        f"{view['name']}, start {view['start']}, {own}: {counts}",
        *(_describe_member(member, width) for member in members),
        *(_describe_zone(zone) for zone in view.get("zones", ())),
        f"  sent {view['sent']}, taken {view['taken']}, dropped: {dropped}",
    ]


def _describe_zone(zone: dict[str, Any]) -> str:
    reach = "reachable" if zone["reachable"] else "unreachable"
    counts = f"{zone['present']} present, {zone['failed']} gone, {zone['left']} left"
    moved = f"heard {zone['moved_ms'] / MS_PER_SECOND:.1f} s ago"
    return f"  zone {zone['zone']} of {zone['region']}: {reach}, {counts}, {moved}"


def _describe_member(member: dict[str, Any], width: int) -> str:
    heard = ""
    if member["heard_ms"] is not None:
        heard = f", heard {member['heard_ms'] / MS_PER_SECOND:.1f} s ago"
    by = f" by {member['by']}" if member["by"] else ""
    name = f"{member['name']:{width}}"
    since = f"{member['since_ms'] / MS_PER_SECOND:8.1f} s"
    return f"  {name} {member['standing']:9} {since}  {member['address']} {member['wing']}{heard}{by}"
