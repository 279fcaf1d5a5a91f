"""The `catalogue` commands: check and format a file, and read or change the catalogue of a running front end."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from oakcroft.catalogue.syntax import CatalogueError
from oakcroft.catalogue.text import read_catalogue, format_catalogue
from oakcroft.commands.arguments import EXIT_INVALID_INPUT, EXISTING_FILE
from oakcroft.commands.operators import (
    FRONT_OPTION,
    request_front,
    print_and_exit,
    catalogue_etag,
    escape_query_text,
)

NON_TITLE_LINES = 3
"""Lines of a formatted catalogue that hold no title."""


@click.group()
def catalogue() -> None:
    """Check catalogues, and change the one that a front serves by."""


def formatted_catalogue(file: Path) -> str:
    """Returns a catalogue file's text in the canonical layout. Ends the command if the file has errors."""
    try:
        content = read_catalogue(file.read_text(encoding="utf-8"))
    except CatalogueError as error:
        for one in error.faults:
            click.echo(one.format(str(file)), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    except UnicodeDecodeError as error:
        click.echo(f"{file}: not UTF-8: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    return format_catalogue(content.titles.items(), content.others)


@catalogue.command("check")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
def catalogue_check(files: tuple[Path, ...]) -> None:
    """Show every fault of FILES."""
    for file in files:
        click.echo(f"{file}: sound, {formatted_catalogue(file).count(chr(10)) - NON_TITLE_LINES} titles")


@catalogue.command("fmt")
@click.argument("file", type=EXISTING_FILE)
def catalogue_fmt(file: Path) -> None:
    """Bring FILE into its layout: titles by name, one a line."""
    file.write_text(formatted_catalogue(file), encoding="utf-8")


@catalogue.command("get")
@FRONT_OPTION
@click.option("--version", default="", help="An earlier version.")
def catalogue_get(address: str, version: str) -> None:
    """Print the catalogue in force."""
    print_and_exit(request_front(address, "GET", f"catalogue?version={version}" if version else "catalogue"))


@catalogue.command("put")
@click.argument("file", type=EXISTING_FILE)
@FRONT_OPTION
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
    body = file.read_bytes() if change else formatted_catalogue(file).encode()
    query = f"catalogue?share={share}&why={escape_query_text(why)}" + ("&force=yes" if force else "")
    method = "PATCH" if change else "PUT"
    print_and_exit(request_front(address, method, query, body, If_Match=made_from or catalogue_etag(address)))


@catalogue.command("versions")
@FRONT_OPTION
def catalogue_versions(address: str) -> None:
    """List the versions that a front keeps."""
    print_and_exit(request_front(address, "GET", "catalogue/versions"))


@catalogue.command("roll-back")
@click.argument("to", type=int)
@FRONT_OPTION
def catalogue_roll_back(to: int, address: str) -> None:
    """Put version TO into force again, as a new version."""
    print_and_exit(
        request_front(address, "POST", f"catalogue/roll-back?to={to}", If_Match=catalogue_etag(address))
    )
