"""The `state` commands, which work on the state file of a front end that is not running."""

from __future__ import annotations

import sys
import time
from collections import Counter
from contextlib import closing
from pathlib import Path

import click

from oakcroft.commands.arguments import EXIT_FAILURE, EXIT_INVALID_INPUT, EXISTING_FILE, NEW_FILE
from oakcroft.decisions.state.state_file_health import FileFault
from oakcroft.decisions.state.promise import PromiseState
from oakcroft.interface import SECOND
from oakcroft.store.changes import ALIVE_KEY, COMPLETE_KEY, StateContents
from oakcroft.store.file import StateFile, StateFileError
from oakcroft.store.schema import SCHEMA_VERSION


def open_or_exit(file: Path) -> StateFile:
    """Opens a state file. Prints the error and ends the command if that fails."""
    try:
        return StateFile(str(file))
    except StateFileError as error:
        click.echo(f"{file}: {error}", err=True)
        if error.fault is FileFault.LOCKED:
            click.echo("a running front has it open; ask that front: oakcroft status", err=True)
        sys.exit(EXIT_FAILURE)


@click.group()
def state() -> None:
    """Look at, copy and check the state file of a front that does not run."""


def describe_contents(contents: StateContents, now: int) -> list[str]:
    """Describes a state file's contents in lines of text. `now` is the time in ns since the epoch."""
    last_written_at = int(contents.named_values.get(ALIVE_KEY, b"0"))
    knows_all = COMPLETE_KEY in contents.named_values
    counts = Counter(promise.mark for promise in contents.promises)
    counts_by_mark = ", ".join(f"{counts[mark]} {mark.value}" for mark in PromiseState if counts[mark])
    return [
        f"version {SCHEMA_VERSION}; "
        + ("knows all promises" if knows_all else "does not know all promises: nodes are asked"),
        f"last written {max(0, now - last_written_at) / SECOND:.1f} s ago"
        if last_written_at
        else "never written by a serving front",
        f"{len(contents.promises)} promises: {counts_by_mark}",
        *_describe_plans(contents),
        f"{len(contents.listed_nodes)} nodes in list {contents.list_version} of {contents.service or 'no service'}",
        f"{len(contents.node_penalties)} nodes with a penalty, "
        f"{len(contents.slot_usage)} cold nodes with used set-up slots",
        f"{len(contents.moves)} moves under way",
        *(
            f"{version.kind} {version.number} {version.digest} {version.reason}".rstrip()
            for version in contents.versions
        ),
    ]


def _describe_plans(contents: StateContents) -> list[str]:
    """Describes how many promises of each plan have each mark, one line for each pair."""
    counts = Counter((promise.plan, promise.mark) for promise in contents.promises)
    in_order = sorted(counts, key=lambda plan_and_mark: (plan_and_mark[0], plan_and_mark[1].name))
    return [f"  {plan}: {counts[plan, mark]} {mark.value}" for plan, mark in in_order]


@state.command("show")
@click.argument("file", type=EXISTING_FILE)
@click.option("--promises", "lists_promises", is_flag=True, help="Each promise on a line of its own.")
def state_show(file: Path, lists_promises: bool) -> None:
    """Tell what FILE holds."""
    with closing(open_or_exit(file)) as state_file:
        contents = state_file.read()
    for line in describe_contents(contents, time.time_ns()):
        click.echo(line)
    for promise in contents.promises if lists_promises else []:
        mark = promise.mark.name.lower()
        click.echo(f"  {promise.id} {mark} {promise.plan} {promise.title} {promise.node} {promise.key}")


@state.command("check")
@click.argument("file", type=EXISTING_FILE)
def state_check(file: Path) -> None:
    """Read all of FILE; exit 1 where it is damaged or another program's."""
    with closing(open_or_exit(file)) as state_file:
        try:
            contents = state_file.read()
        except StateFileError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(EXIT_FAILURE)
    keys = Counter(promise.key for promise in contents.promises)
    duplicates = [key for key, count in keys.items() if count > 1]
    suffix = f", {len(duplicates)} keys twice" if duplicates else ""
    click.echo(f"{file}: sound, {len(contents.promises)} promises{suffix}")


@state.command("snapshot")
@click.argument("file", type=EXISTING_FILE)
@click.argument("copy", metavar="TO", type=NEW_FILE)
def state_snapshot(file: Path, copy: Path) -> None:
    """Copy FILE to TO, whole or not at all."""
    with closing(open_or_exit(file)) as state_file:
        try:
            state_file.snapshot(copy)
        except StateFileError as error:
            click.echo(f"{copy}: {error}", err=True)
            sys.exit(EXIT_FAILURE)
        click.echo(f"{copy}: {len(state_file.read().promises)} promises")


@state.command("restore")
@click.argument("snapshot", type=EXISTING_FILE)
@click.argument("file", type=NEW_FILE)
@click.option("--yes", is_flag=True, help="Replace a FILE that is there; it is kept beside, as FILE.before.")
def state_restore(snapshot: Path, file: Path, yes: bool) -> None:
    """Put SNAPSHOT in the place of FILE.

    A snapshot does not know what its front promised since: it is marked so, and the front asks its nodes at the next
    start before it takes paid requests.
    """
    if file.exists():
        if not yes:
            click.echo(f"{file} exists; pass --yes to replace it", err=True)
            sys.exit(EXIT_INVALID_INPUT)
        open_or_exit(file).close()  # no front end may have it open; closing also checkpoints its WAL
        file.replace(file.with_name(file.name + ".before"))
    with closing(open_or_exit(snapshot)) as source:
        count = len(source.read().promises)
        source.snapshot(file)
    with closing(open_or_exit(file)) as restored:
        restored.delete_named_value(COMPLETE_KEY)
    click.echo(f"{file}: {count} promises; the front will ask its nodes for what it promised since")
