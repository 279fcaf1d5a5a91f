"""Commands on a front's state file and catalogue."""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from contextlib import closing
from pathlib import Path
from typing import Any

import click
import orjson
import trio

from oakcroft.catalogue.text import Unsound, read, write
from oakcroft.decisions.state.durable import Trouble
from oakcroft.decisions.state.remembered import Mark
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.httpwire.message import Response
from oakcroft.store.file import Held, StateFile, Unusable
from oakcroft.store.schema import VERSION

FAULTY, BROKEN = 2, 1
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW = click.Path(dir_okay=False, path_type=Path)


def opened(file: Path) -> StateFile:
    """A state file, or the end of the command with what is wrong."""
    try:
        return StateFile(str(file))
    except Unusable as fault:
        click.echo(f"{file}: {fault}", err=True)
        if fault.trouble is Trouble.BUSY:
            click.echo("a running front has it; ask that front: oakcroft status", err=True)
        sys.exit(BROKEN)


@click.group()
def state() -> None:
    """Look at, copy and check the state file of a front that does not run."""


def shown(held: Held, now: int) -> list[str]:
    """A state file's contents in lines."""
    marks = Counter(p.mark for p in held.promises)
    plans = Counter((p.plan, p.mark) for p in held.promises)
    alive = int(held.facts.get("alive", b"0"))
    out = [
        f"version {VERSION}; "
        + ("knows all promises" if "whole" in held.facts else "does not know all promises: nodes are asked"),
        f"last written {max(0, now - alive) / 1e9:.1f} s ago"
        if alive
        else "never written by a serving front",
        f"{len(held.promises)} promises: " + ", ".join(f"{marks[m]} {m.value}" for m in Mark if marks[m]),
        *(
            f"  {plan}: {n} {mark.value}"
            for (plan, mark), n in sorted(plans.items(), key=lambda x: (x[0][0], x[0][1].name))
        ),
        f"{len(held.lines)} nodes in list {held.list_version} of {held.service or 'no service'}",
        f"{len(held.grudges)} nodes with something held against them, {len(held.spent)} slots of cold nodes spent",
        f"{len(held.moves)} moves under way",
    ]
    return out + [f"{v.kind} {v.number} {v.digest} {v.why}".rstrip() for v in held.versions]


@state.command("show")
@click.argument("file", type=FILE)
@click.option("--promises", is_flag=True, help="Each promise on a line of its own.")
def state_show(file: Path, promises: bool) -> None:
    """Tell what FILE holds."""
    with closing(opened(file)) as one:
        held = one.read()
    for line in shown(held, time.time_ns()):
        click.echo(line)
    for p in held.promises if promises else []:
        click.echo(f"  {p.id} {p.mark.name.lower()} {p.plan} {p.title} {p.node} {p.key}")


@state.command("check")
@click.argument("file", type=FILE)
def state_check(file: Path) -> None:
    """Read all of FILE; exit 1 where it is damaged or another program's."""
    with closing(opened(file)) as one:
        try:
            held = one.read()
        except Unusable as fault:
            click.echo(f"{file}: {fault}", err=True)
            sys.exit(BROKEN)
    keys = Counter(p.key for p in held.promises)
    twice = [k for k, n in keys.items() if n > 1]
    click.echo(
        f"{file}: sound, {len(held.promises)} promises" + (f", {len(twice)} keys twice" if twice else "")
    )


@state.command("snapshot")
@click.argument("file", type=FILE)
@click.argument("to", type=NEW)
def state_snapshot(file: Path, to: Path) -> None:
    """Copy FILE to TO, whole or not at all."""
    with closing(opened(file)) as one:
        try:
            one.snapshot(to)
        except Unusable as fault:
            click.echo(f"{to}: {fault}", err=True)
            sys.exit(BROKEN)
        click.echo(f"{to}: {len(one.read().promises)} promises")


@state.command("restore")
@click.argument("snapshot", type=FILE)
@click.argument("file", type=NEW)
@click.option("--yes", is_flag=True, help="Replace a FILE that is there; it is kept beside, as FILE.before.")
def state_restore(snapshot: Path, file: Path, yes: bool) -> None:
    """Put SNAPSHOT in the place of FILE.

    A snapshot does not know what its front promised since: it is marked so, and the front asks its nodes at the next
    start before it takes paid requests.
    """
    if file.exists():
        if not yes:
            click.echo(f"{file} is there; say --yes to replace it", err=True)
            sys.exit(FAULTY)
        opened(file).close()  # nobody may have it, and its log goes into it
        file.replace(file.with_name(file.name + ".before"))
    with closing(opened(snapshot)) as held:
        count = len(held.read().promises)
        held.snapshot(file)
    with closing(opened(file)) as new:
        new.forget_fact("whole")
    click.echo(f"{file}: {count} promises; the front will ask its nodes for what it promised since")


@click.group()
def catalogue() -> None:
    """Check catalogues, and change the one that a front serves by."""


def text_of(file: Path) -> str:
    """A catalogue file's own layout, or the end of the command with its faults."""
    try:
        said = read(file.read_text(encoding="utf-8"))
    except Unsound as fault:
        for one in fault.faults:
            click.echo(one.show(str(file)), err=True)
        sys.exit(FAULTY)
    except UnicodeDecodeError as fault:
        click.echo(f"{file}: not UTF-8: {fault}", err=True)
        sys.exit(FAULTY)
    return write(said.titles.items(), said.others)


@catalogue.command("check")
@click.argument("files", nargs=-1, required=True, type=FILE)
def catalogue_check(files: tuple[Path, ...]) -> None:
    """Show every fault of FILES."""
    for file in files:
        click.echo(f"{file}: sound, {text_of(file).count(chr(10)) - 3} titles")


@catalogue.command("fmt")
@click.argument("file", type=FILE)
def catalogue_fmt(file: Path) -> None:
    """Bring FILE into its layout: titles by name, one a line."""
    file.write_text(text_of(file), encoding="utf-8")


FRONT = click.option("--front", "address", required=True, help="HOST:PORT of the front.")
SECRET = "OAKCROFT_OPERATORS"


def call(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
    """One request to the operators' interface, with the token from the environment."""
    secret = os.environ.get(SECRET, "")
    if not secret:
        click.echo(f"set {SECRET} to the operators' token", err=True)
        sys.exit(FAULTY)
    host, _, port = address.rpartition(":")
    fields = [("Authorization", f"Bearer {secret}"), *((k.replace("_", "-"), v) for k, v in headers.items())]

    async def ask() -> Response:
        with trio.fail_after(60):
            return await Peer(host or "127.0.0.1", int(port)).ask(method, f"/operators/{path}", fields, body)

    try:
        return trio.run(ask)
    except (Ended, trio.TooSlowError, ValueError) as fault:
        click.echo(f"{address}: {fault or 'no answer'}", err=True)
        sys.exit(BROKEN)


def told(sat: Response) -> None:
    """Prints an answer; the command ends with 1 where it is a refusal."""
    click.echo(sat.body.decode("utf-8", "replace"), err=sat.status >= 400)
    sys.exit(BROKEN if sat.status >= 400 else 0)


@catalogue.command("get")
@FRONT
@click.option("--version", default="", help="An earlier version.")
def catalogue_get(address: str, version: str) -> None:
    """Print the catalogue in force."""
    told(call(address, "GET", f"catalogue?version={version}" if version else "catalogue"))


@catalogue.command("put")
@click.argument("file", type=FILE)
@FRONT
@click.option("--change", is_flag=True, help="FILE holds changes, (put …) and (drop …).")
@click.option(
    "--from", "made_from", default="", help="ETag of the version it was made from; else the one in force now."
)
@click.option("--force", is_flag=True, help="Take it although a title would have no ready holder.")
@click.option("--share", type=float, default=1.0, help="Only this share of the fronts takes it.")
@click.option("--why", default="", help="Kept with the version.")
def catalogue_put(
    file: Path, address: str, change: bool, made_from: str, force: bool, share: float, why: str
) -> None:
    """Offer FILE to a front."""
    body = file.read_bytes() if change else text_of(file).encode()
    tag = made_from or call(address, "GET", "catalogue").header("etag") or "*"
    words = "".join(c if c.isalnum() or c in "-_." else "%20" for c in why)
    query = f"catalogue?share={share}&why={words}" + ("&force=yes" if force else "")
    told(call(address, "PATCH" if change else "PUT", query, body, If_Match=tag))


@catalogue.command("versions")
@FRONT
def catalogue_versions(address: str) -> None:
    """List the versions that a front keeps."""
    told(call(address, "GET", "catalogue/versions"))


@catalogue.command("roll-back")
@click.argument("to", type=int)
@FRONT
def catalogue_roll_back(to: int, address: str) -> None:
    """Put version TO into force again, as a new version."""
    tag = call(address, "GET", "catalogue").header("etag") or "*"
    told(call(address, "POST", f"catalogue/roll-back?to={to}", If_Match=tag))


@click.command()
@FRONT
def status(address: str) -> None:
    """Tell how a running front stands."""
    told(call(address, "GET", "status"))


@click.group()
def fleet() -> None:
    """Ask a running front how it sees the others."""


@fleet.command("view")
@FRONT
@click.option("--json", "as_json", is_flag=True, help="For tools: what the front said, as it said it.")
def fleet_view(address: str, as_json: bool) -> None:
    """Tell who is there, by one front: a line each, with how it stands, since when, and by whose word."""
    sat = call(address, "GET", "fleet")
    if as_json or sat.status >= 400:
        told(sat)
    for line in seen(orjson.loads(sat.body)):
        click.echo(line)


@fleet.command("owners")
@FRONT
@click.option("--json", "as_json", is_flag=True, help="For tools: what the front said, as it said it.")
@click.option(
    "--give-back",
    "duty",
    default="",
    help="A duty of this front: it lets go of it, for another.",
)
def fleet_owners(address: str, as_json: bool, duty: str) -> None:
    """Tell who owns which duty of the fleet, under which number, and how this front's keeper stands."""
    sat = call(address, "DELETE" if duty else "GET", f"fleet/owners?duty={duty}" if duty else "fleet/owners")
    if as_json or sat.status >= 400:
        told(sat)
    for line in owners(orjson.loads(sat.body)):
        click.echo(line)


@fleet.command("roll-out")
@click.argument("file", type=FILE, required=False)
@FRONT
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
    words = "".join(c if c.isalnum() or c in "-_." else "%20" for c in why)
    if take_back:
        told(call(address, "DELETE", f"fleet/roll-out?why={words}"))
    if file is None:
        told(call(address, "GET", "fleet/roll-out"))
    else:
        tag = call(address, "GET", "catalogue").header("etag") or "*"
        query = f"fleet/roll-out?watch={watch}&why={words}" + ("&force=yes" if force else "")
        told(call(address, "PUT", query, text_of(file).encode(), If_Match=tag))


def owners(said: dict[str, Any]) -> list[str]:
    """Duties in lines."""
    out = [f"{said['name']}: keepers {', '.join(said['keepers'])}; a term is {said['term_ms'] / 1e3:g} s"]
    if keeper := said.get("keeper"):
        waits = f", waits for {', '.join(keeper['waits_for'])}" if keeper["waits_for"] else ""
        mute = f", mute for {keeper['mute_ms'] / 1e3:.1f} s" if keeper["mute_ms"] else ""
        how = "grants" if keeper["speaks"] and keeper["record"] else "grants nothing"
        disk = "" if keeper["record"] else ", its record can't be written"
        out.append(f"  a keeper, {how}{'' if keeper['sound'] else ', remembers nothing'}{mute}{waits}{disk}")
    for d in said["duties"]:
        who = f"{d['owner']}, number {d['number']}" if d["owner"] else "nobody, as far as this front knows"
        mine = f"; here: {d['course']}, {d['in_line'] + 1}. in line" if d["course"] else ""
        out.append(f"  {d['duty']}: {who}{mine}")
    return out


def seen(view: dict[str, Any]) -> list[str]:
    """A front's view in lines."""
    standings = Counter(m["standing"] for m in view["members"])
    own = "displaced by another of its name" if view["displaced"] else "alive"
    out = [
        f"{view['name']}, start {view['start']}, {own}: "
        + ", ".join(f"{n} {s}" for s, n in sorted(standings.items()))
    ]
    width = max(len(m["name"]) for m in view["members"])
    for m in view["members"]:
        heard = "" if m["heard_ms"] is None else f", heard {m['heard_ms'] / 1e3:.1f} s ago"
        by = f" by {m['by']}" if m["by"] else ""
        out.append(
            f"  {m['name']:{width}} {m['standing']:9} {m['since_ms'] / 1e3:8.1f} s  {m['address']} {m['wing']}{heard}{by}"
        )
    out += [zone_line(zone) for zone in view.get("zones", ())]
    dropped = ", ".join(f"{what} {n}" for what, n in sorted(view["dropped"].items())) or "nothing"
    return [*out, f"  sent {view['sent']}, taken {view['taken']}, dropped: {dropped}"]


def zone_line(zone: dict[str, Any]) -> str:
    """Another zone in a line."""
    reach = "reachable" if zone["reachable"] else "unreachable"
    counts = f"{zone['present']} present, {zone['failed']} gone, {zone['left']} left"
    moved = f"heard {zone['moved_ms'] / 1e3:.1f} s ago"
    return f"  zone {zone['zone']} of {zone['region']}: {reach}, {counts}, {moved}"
