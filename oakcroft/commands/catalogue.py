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
    """Check catalogues, and read or change the active catalogue of a front."""


def format_file_or_exit(file: Path) -> str:
    """Returns a catalogue file's text in the canonical layout. Ends the command if the file has errors."""
    try:
        content = read_catalogue(file.read_text(encoding="utf-8"))
    except CatalogueError as error:
        for fault in error.faults:
            click.echo(fault.format(str(file)), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    except UnicodeDecodeError as error:
        click.echo(f"{file}: not UTF-8: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    return format_catalogue(content.titles.items(), content.others)


@catalogue.command("check")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
def catalogue_check(files: tuple[Path, ...]) -> None:
    """Show every error in FILES."""
    for file in files:
        click.echo(f"{file}: sound, {format_file_or_exit(file).count(chr(10)) - NON_TITLE_LINES} titles")


@catalogue.command("fmt")
@click.argument("file", type=EXISTING_FILE)
def catalogue_fmt(file: Path) -> None:
    """Format FILE: titles sorted by name, one a line."""
    file.write_text(format_file_or_exit(file), encoding="utf-8")


@catalogue.command("get")
@FRONT_OPTION
@click.option("--version", default="", help="Print an earlier version.")
def catalogue_get(address: str, version: str) -> None:
    """Print the active catalogue."""
    print_and_exit(request_front(address, "GET", f"catalogue?version={version}" if version else "catalogue"))


@catalogue.command("put")
@click.argument("file", type=EXISTING_FILE)
@FRONT_OPTION
@click.option("--change", is_flag=True, help="FILE contains changes, (put …) and (drop …).")
@click.option(
    "--from",
    "base_etag",
    default="",
    help="ETag of the version that FILE is based on; by default the active one.",
)
@click.option("--force", is_flag=True, help="Accept it although a title would have no ready holder.")
@click.option("--share", type=float, default=1.0, help="Apply it on this share of the fronts only.")
@click.option("--why", "reason", default="", help="The reason, which is kept with the version.")
def catalogue_put(
    file: Path, address: str, change: bool, base_etag: str, force: bool, share: float, reason: str
) -> None:
    """Submit FILE to a front."""
    body = file.read_bytes() if change else format_file_or_exit(file).encode()
    query = f"catalogue?share={share}&why={escape_query_text(reason)}" + ("&force=yes" if force else "")
    method = "PATCH" if change else "PUT"
    print_and_exit(request_front(address, method, query, body, If_Match=base_etag or catalogue_etag(address)))


@catalogue.command("versions")
@FRONT_OPTION
def catalogue_versions(address: str) -> None:
    """List the versions that a front keeps."""
    print_and_exit(request_front(address, "GET", "catalogue/versions"))


@catalogue.command("roll-back")
@click.argument("version", metavar="TO", type=int)
@FRONT_OPTION
def catalogue_roll_back(version: int, address: str) -> None:
    """Activate version TO again, as a new version."""
    print_and_exit(
        request_front(address, "POST", f"catalogue/roll-back?to={version}", If_Match=catalogue_etag(address))
    )
