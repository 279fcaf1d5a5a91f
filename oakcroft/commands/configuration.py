"""The `config` commands: check, format and compare configurations, and explain how they route a request."""

from __future__ import annotations

import pickle
import sys
from pathlib import Path

import click
import orjson

from oakcroft.commands.arguments import EXIT_FAILURE, EXIT_INVALID_INPUT, EXISTING_FILE
from oakcroft.config import compare, explain as explaining, reference
from oakcroft.config.pipeline import ResolvedConfig, check_file as check_config, build_deployment
from oakcroft.config.expander import RootFolder
from oakcroft.config.format import format_text
from oakcroft.config.diagnostics import Severity, Diagnostics, InvalidConfigurationError
from oakcroft.decisions.routing.route_table import RouteRequest, ClientRole


@click.group()
def config() -> None:
    """Check, lay out, compare and explain configurations."""


def check_in_folder(file: Path, is_front_file: bool) -> tuple[ResolvedConfig | None, Diagnostics]:
    """Checks a file; its includes are relative to its folder."""
    return check_config(file.name, RootFolder(file.parent).read_text, is_front_file)


def load_or_exit(file: Path, is_front_file: bool) -> ResolvedConfig:
    """Returns the resolved configuration of a file. Ends the command if the file has errors."""
    resolved, diagnostics = check_in_folder(file, is_front_file)
    if resolved is None:
        for error in diagnostics.errors:
            click.echo(diagnostics.format(error), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    return resolved


SHARED_OPTION = click.option(
    "--shared", is_flag=True, help="The file is a shared part, without a (front …) of its own."
)


@config.command("check")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
@click.option("--json", "as_json", is_flag=True, help="For tools: a JSON object a file.")
@click.option("--strict", is_flag=True, help="Warnings count as errors.")
@SHARED_OPTION
def config_check(files: tuple[Path, ...], as_json: bool, strict: bool, shared: bool) -> None:
    """Show every error and warning of FILES and of what they include."""
    has_failed = False
    for file in files:
        _, diagnostics = check_in_folder(file, not shared)
        items = diagnostics.sorted()
        has_failed = has_failed or bool(diagnostics.errors) or (strict and bool(items))
        if as_json:
            plain = [diagnostics.to_dict(item) for item in items]
            click.echo(
                orjson.dumps({"file": str(file), "sound": not diagnostics.errors, "problems": plain}).decode()
            )
            continue
        for diagnostic in items:
            click.echo(diagnostics.format(diagnostic))
        warnings = sum(item.severity is Severity.WARNING for item in items)
        click.echo(f"{file}: {len(diagnostics.errors)} errors, {warnings} warnings")
    sys.exit(EXIT_INVALID_INPUT if has_failed else 0)


@config.command("fmt")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit 2 if any file would change.")
def config_fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Bring FILES into their layout. Comments stay; meaning never changes."""
    changed = False
    for file in files:
        before = file.read_text(encoding="utf-8")
        try:
            after = format_text(before, str(file))
        except InvalidConfigurationError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_INVALID_INPUT)
        if after != before:
            changed = True
            click.echo(f"{file}: {'would change' if only_check else 'changed'}")
            if not only_check:
                file.write_text(after, encoding="utf-8")
    sys.exit(EXIT_INVALID_INPUT if changed and only_check else 0)


@config.command("diff")
@click.argument("a", type=EXISTING_FILE)
@click.argument("b", type=EXISTING_FILE)
@SHARED_OPTION
def config_diff(a: Path, b: Path, shared: bool) -> None:
    """Show what B means otherwise than A, and example requests that would go elsewhere. Exit 1 where they differ."""
    old = load_or_exit(a, not shared)
    new = load_or_exit(b, not shared)
    changes = compare.find_changes(old, new)
    for line in compare.describe_changes(changes):
        click.echo(line)
    rerouted = compare.find_rerouted_requests(old, new)
    if rerouted:
        click.echo("these requests would go elsewhere:")
    for request in rerouted:
        click.echo("  " + compare.describe_rerouted_request(request))
    sys.exit(EXIT_FAILURE if changes else 0)


@config.command("explain")
@click.argument("file", type=EXISTING_FILE)
@click.argument("path")
@click.option("--publish", is_flag=True, help="As a publisher asks.")
@click.option("--wing", default=None, help="At a front in this wing; else that of the file's own front.")
@click.option("--token", default="", help="With the token of this name.")
@SHARED_OPTION
def config_explain(file: Path, path: str, publish: bool, wing: str | None, token: str, shared: bool) -> None:
    """Tell which route takes a request for PATH, why others do not, and which plan, pool and limits follow."""
    deployment = build_deployment(load_or_exit(file, not shared))
    tokens = {bearer_token.name: bearer_token for bearer_token in deployment.shared.tokens.values()}
    if token and token not in tokens:
        click.echo(f"there is no token {token}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    zone = deployment.front.zone if wing is None else wing
    request = RouteRequest(
        ClientRole.PUBLISH if publish else ClientRole.WATCH,
        path,
        zone,
        tokens[token].claims if token else {},
    )
    for line in explaining.explain_request(
        deployment.shared, request, token, deployment.shared.terms.front_index
    ):
        click.echo(line)


@config.command("meaning", hidden=True)
@click.argument("file", type=EXISTING_FILE)
def config_meaning(file: Path) -> None:
    """Print what FILE means, for a serving front that reads it again."""
    sys.stdout.buffer.write(pickle.dumps(load_or_exit(file, True)))


@config.command("reference")
def config_reference() -> None:
    """Print the reference page, made from the schemas."""
    click.echo(reference.reference_page(), nl=False)


@config.command("complete")
@click.argument("within", default="")
@click.argument("word", default="")
def config_complete(within: str, word: str) -> None:
    """For editors: names that may stand in form WITHIN ("" for a file) and begin with WORD."""
    for name in reference.completions(within, word):
        click.echo(name)
