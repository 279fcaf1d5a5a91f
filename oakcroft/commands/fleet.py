"""The `status` and `fleet` commands, which query a running front end for its own state and its view of its peers.

In the operators' interface a lease is a `duty`, its holder an `owner`, its fencing token a `number` and an acceptor a
`keeper`.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import click
import orjson

from oakcroft.commands.arguments import EXISTING_FILE
from oakcroft.commands.catalogue import format_file_or_exit
from oakcroft.commands.operators import (
    FRONT_OPTION,
    request_front,
    print_and_exit,
    catalogue_etag,
    is_error,
    escape_query_text,
)

MS_PER_SECOND = 1000
UNKNOWN_HOLDER = "nobody, as far as this front knows"


@click.command()
@FRONT_OPTION
def status(address: str) -> None:
    """Show the status of a running front."""
    print_and_exit(request_front(address, "GET", "status"))


@click.group()
def fleet() -> None:
    """Query a running front about the fleet."""


@fleet.command("view")
@FRONT_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print the front's answer unchanged, for tools.")
def fleet_view(address: str, as_json: bool) -> None:
    """List the members that a front knows, one a line: state, since when, and who reported it."""
    answer = request_front(address, "GET", "fleet")
    if as_json or is_error(answer):
        print_and_exit(answer)
    for line in describe_members(orjson.loads(answer.body)):
        click.echo(line)


@fleet.command("owners")
@FRONT_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print the front's answer unchanged, for tools.")
@click.option(
    "--give-back",
    "lease_name",
    default="",
    help="Name of a duty that this front is to release, so that another front takes it.",
)
def fleet_owners(address: str, as_json: bool, lease_name: str) -> None:
    """List the duties of the fleet with their owners and numbers, and the state of this front's keeper."""
    method, query = ("DELETE", f"?duty={lease_name}") if lease_name else ("GET", "")
    answer = request_front(address, method, f"fleet/owners{query}")
    if as_json or is_error(answer):
        print_and_exit(answer)
    for line in describe_leases(orjson.loads(answer.body)):
        click.echo(line)


@fleet.command("roll-out")
@click.argument("file", type=EXISTING_FILE, required=False)
@FRONT_OPTION
@click.option(
    "--watch",
    type=click.IntRange(0, 86_400),
    default=10,
    help="Seconds for which a share of the fronts is watched before the next.",
)
@click.option("--force", is_flag=True, help="Accept it although a title would have no ready holder.")
@click.option("--why", default="", help="Reason, kept with the version.")
@click.option("--take-back", is_flag=True, help="Roll back the rollout under way, or the last one.")
def fleet_roll_out(
    file: Path | None, address: str, watch: int, force: bool, why: str, take_back: bool
) -> None:
    """Roll out the catalogue FILE to all fronts in stages; without FILE show the state of the last rollout.

    Any front accepts it and forwards it to the one that owns the catalogue. A version that a front refuses, or under
    which more answers fail than without it, is rolled back everywhere.
    """
    if take_back:
        print_and_exit(request_front(address, "DELETE", f"fleet/roll-out?why={escape_query_text(why)}"))
    if file is None:
        print_and_exit(request_front(address, "GET", "fleet/roll-out"))
    else:
        tag = catalogue_etag(address)
        query = f"fleet/roll-out?watch={watch}&why={escape_query_text(why)}" + ("&force=yes" if force else "")
        print_and_exit(request_front(address, "PUT", query, format_file_or_exit(file).encode(), If_Match=tag))


def describe_leases(status: dict[str, Any]) -> list[str]:
    """Returns lines of text that describe the duties and their owners, from a decoded answer."""
    term = status["term_ms"] / MS_PER_SECOND
    lines = [f"{status['name']}: keepers {', '.join(status['keepers'])}; a term is {term:g} s"]
    if acceptor := status.get("keeper"):
        lines.append(_describe_acceptor(acceptor))
    for lease in status["duties"]:
        holder = f"{lease['owner']}, number {lease['number']}" if lease["owner"] else UNKNOWN_HOLDER
        own_part = f"; here: {lease['course']}, {lease['in_line'] + 1}. in line" if lease["course"] else ""
        lines.append(f"  {lease['duty']}: {holder}{own_part}")
    return lines


def _describe_acceptor(acceptor: dict[str, Any]) -> str:
    grants = "grants" if acceptor["speaks"] and acceptor["record"] else "grants nothing"
    memory = "" if acceptor["sound"] else ", remembers nothing"
    mute = f", mute for {acceptor['mute_ms'] / MS_PER_SECOND:.1f} s" if acceptor["mute_ms"] else ""
    waits = f", waits for {', '.join(acceptor['waits_for'])}" if acceptor["waits_for"] else ""
    disk = "" if acceptor["record"] else ", its record can't be written"
    return f"  a keeper, {grants}{memory}{mute}{waits}{disk}"


def describe_members(view: dict[str, Any]) -> list[str]:
    """Returns lines of text that describe a front end's view of its peers, from a decoded answer."""
    members = view["members"]
    states = Counter(member["standing"] for member in members)
    own_state = "displaced by another of its name" if view["displaced"] else "alive"
    counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    name_width = max(len(member["name"]) for member in members)
    dropped = ", ".join(f"{reason} {count}" for reason, count in sorted(view["dropped"].items())) or "nothing"
    return [
        f"{view['name']}, start {view['start']}, {own_state}: {counts}",
        *(_describe_member(member, name_width) for member in members),
        *(_describe_zone(zone) for zone in view.get("zones", ())),
        f"  sent {view['sent']}, taken {view['taken']}, dropped: {dropped}",
    ]


def _describe_zone(zone: dict[str, Any]) -> str:
    reach = "reachable" if zone["reachable"] else "unreachable"
    counts = f"{zone['present']} present, {zone['failed']} gone, {zone['left']} left"
    last_received = f"heard {zone['moved_ms'] / MS_PER_SECOND:.1f} s ago"
    return f"  zone {zone['zone']} of {zone['region']}: {reach}, {counts}, {last_received}"


def _describe_member(member: dict[str, Any], name_width: int) -> str:
    last_received = ""
    if member["heard_ms"] is not None:
        last_received = f", heard {member['heard_ms'] / MS_PER_SECOND:.1f} s ago"
    reporter = f" by {member['by']}" if member["by"] else ""
    name = f"{member['name']:{name_width}}"
    since = f"{member['since_ms'] / MS_PER_SECOND:8.1f} s"
    return f"  {name} {member['standing']:9} {since}  {member['address']} {member['wing']}{last_received}{reporter}"
