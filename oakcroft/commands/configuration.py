"""The `config` commands: check, format and compare configurations, and explain how they route a request."""

from __future__ import annotations

import pickle
import sys
from pathlib import Path

import click
import orjson

from oakcroft.commands.arguments import BROKEN, FAULTY, FILE
from oakcroft.config import compare, explain as explaining, reference
from oakcroft.config.pipeline import Meaning, check as check_config, told
from oakcroft.config.expander import Folder
from oakcroft.config.format import fmt
from oakcroft.config.diagnostics import Grade, Problems, Unsound
from oakcroft.decisions.routing.route_table import Asked, Side


@click.group()
def config() -> None:
    """Check, lay out, compare and explain configurations."""


def checked(file: Path, front: bool) -> tuple[Meaning | None, Problems]:
    """Checks a file; its includes are relative to its folder."""
    return check_config(file.name, Folder(file.parent).open, front)


def sound(file: Path, front: bool) -> Meaning:
    """Returns the resolved configuration of a file. Ends the command if the file has errors."""
    found, problems = checked(file, front)
    if found is None:
        for problem in problems.errors:
            click.echo(problems.show(problem), err=True)
        sys.exit(FAULTY)
    return found


SHARED = click.option(
    "--shared", is_flag=True, help="The file is a shared part, without a (front …) of its own."
)


@config.command("check")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--json", "as_json", is_flag=True, help="For tools: a JSON object a file.")
@click.option("--strict", is_flag=True, help="Warnings count as errors.")
@SHARED
def config_check(files: tuple[Path, ...], as_json: bool, strict: bool, shared: bool) -> None:
    """Show every error and warning of FILES and of what they include."""
    bad = False
    for file in files:
        _, problems = checked(file, not shared)
        found = problems.sorted()
        bad = bad or bool(problems.errors) or (strict and bool(found))
        if as_json:
            plain = [problems.plain(p) for p in found]
            click.echo(
                orjson.dumps({"file": str(file), "sound": not problems.errors, "problems": plain}).decode()
            )
            continue
        for problem in found:
            click.echo(problems.show(problem))
        warnings = sum(p.grade is Grade.WARNING for p in found)
        click.echo(f"{file}: {len(problems.errors)} errors, {warnings} warnings")
    sys.exit(FAULTY if bad else 0)


@config.command("fmt")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit 2 if any file would change.")
def config_fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Bring FILES into their layout. Comments stay; meaning never changes."""
    changed = False
    for file in files:
        before = file.read_text(encoding="utf-8")
        try:
            after = fmt(before, str(file))
        except Unsound as fault:
            click.echo(str(fault), err=True)
            sys.exit(FAULTY)
        if after != before:
            changed = True
            click.echo(f"{file}: {'would change' if only_check else 'changed'}")
            if not only_check:
                file.write_text(after, encoding="utf-8")
    sys.exit(FAULTY if changed and only_check else 0)


@config.command("diff")
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@SHARED
def config_diff(a: Path, b: Path, shared: bool) -> None:
    """Show what B means otherwise than A, and example requests that would go elsewhere. Exit 1 where they differ."""
    one, other = sound(a, not shared), sound(b, not shared)
    changes = compare.compare(one, other)
    for line in compare.tell(changes):
        click.echo(line)
    moved = compare.elsewhere(one, other)
    if moved:
        click.echo("these requests would go elsewhere:")
    for m in moved:
        click.echo("  " + compare.told_move(m))
    sys.exit(BROKEN if changes else 0)


@config.command("explain")
@click.argument("file", type=FILE)
@click.argument("path")
@click.option("--publish", is_flag=True, help="As a publisher asks.")
@click.option("--wing", default=None, help="At a front in this wing; else that of the file's own front.")
@click.option("--token", default="", help="With the token of this name.")
@SHARED
def config_explain(file: Path, path: str, publish: bool, wing: str | None, token: str, shared: bool) -> None:
    """Tell which route takes a request for PATH, why others do not, and which plan, pool and limits follow."""
    deployment = told(sound(file, not shared))
    tokens = {t.name: t for t in deployment.site.tokens.values()}
    if token and token not in tokens:
        click.echo(f"there is no token {token}", err=True)
        sys.exit(FAULTY)
    where = deployment.stand.zone if wing is None else wing
    asked = Asked(Side.PUBLISH if publish else Side.WATCH, path, where, tokens[token].claims if token else {})
    for line in explaining.explain(deployment.site, asked, token, deployment.site.terms.front):
        click.echo(line)


@config.command("meaning", hidden=True)
@click.argument("file", type=FILE)
def config_meaning(file: Path) -> None:
    """Print what FILE means, for a serving front that reads it again."""
    sys.stdout.buffer.write(pickle.dumps(sound(file, True)))


@config.command("reference")
def config_reference() -> None:
    """Print the reference page, made from the schemas."""
    click.echo(reference.page(), nl=False)


@config.command("complete")
@click.argument("within", default="")
@click.argument("word", default="")
def config_complete(within: str, word: str) -> None:
    """For editors: names that may stand in form WITHIN ("" for a file) and begin with WORD."""
    for name in reference.complete(within, word):
        click.echo(name)
