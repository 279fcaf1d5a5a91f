"""The `config` commands: check, format and compare configurations, and explain how they route a request."""

from __future__ import annotations

import pickle
import sys
from pathlib import Path

import click
import orjson

from oakcroft.commands.arguments import EXIT_FAILURE, EXIT_INVALID_INPUT, EXISTING_FILE
from oakcroft.config import compare, reference
from oakcroft.config.explain import explain_request
from oakcroft.config.pipeline import ResolvedConfig, check_file, build_deployment
from oakcroft.config.expander import RootFolder
from oakcroft.config.format import format_text
from oakcroft.config.diagnostics import Severity, Diagnostics, InvalidConfigurationError
from oakcroft.decisions.routing.route_table import RouteRequest, ClientRole


@click.group()
def config() -> None:
    """Check, format, compare and explain configurations."""


def check_in_folder(file: Path, is_front_file: bool) -> tuple[ResolvedConfig | None, Diagnostics]:
    """Checks a file; its includes are relative to its folder."""
    return check_file(file.name, RootFolder(file.parent).read_text, is_front_file)


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
@click.option("--json", "as_json", is_flag=True, help="For tools: print one JSON object for each file.")
@click.option("--strict", is_flag=True, help="Treat warnings as errors.")
@SHARED_OPTION
def config_check(files: tuple[Path, ...], as_json: bool, strict: bool, shared: bool) -> None:
    """Show every error and warning of FILES and of what they include."""
    has_failed = False
    for file in files:
        _, diagnostics = check_in_folder(file, not shared)
        items = diagnostics.sorted()
        has_failed = has_failed or bool(diagnostics.errors) or (strict and bool(items))
        if as_json:
            problems = [diagnostics.to_dict(item) for item in items]
            click.echo(
                orjson.dumps(
                    {"file": str(file), "sound": not diagnostics.errors, "problems": problems}
                ).decode()
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
    """Format FILES. Comments are kept, and semantics never change."""
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
@click.argument("old_file", metavar="A", type=EXISTING_FILE)
@click.argument("new_file", metavar="B", type=EXISTING_FILE)
@SHARED_OPTION
def config_diff(old_file: Path, new_file: Path, shared: bool) -> None:
    """Show the semantic differences from A to B, and example requests that are routed differently.

    Exit code 1 if there are any.
    """
    old = load_or_exit(old_file, not shared)
    new = load_or_exit(new_file, not shared)
    changes = compare.find_changes(old, new)
    for line in compare.describe_changes(changes):
        click.echo(line)
    rerouted = compare.find_rerouted_requests(old, new)
    if rerouted:
        click.echo("these requests would be routed differently:")
    for request in rerouted:
        click.echo("  " + compare.describe_rerouted_request(request))
    sys.exit(EXIT_FAILURE if changes else 0)


@config.command("explain")
@click.argument("file", type=EXISTING_FILE)
@click.argument("path")
@click.option("--publish", is_flag=True, help="Explain a publisher's request.")
@click.option(
    "--wing", "zone", default=None, help="At a front in this wing; by default that of the file's front."
)
@click.option("--token", "token_name", default="", help="With the bearer token of this name.")
@SHARED_OPTION
def config_explain(
    file: Path, path: str, publish: bool, zone: str | None, token_name: str, shared: bool
) -> None:
    """Show which route matches a request for PATH, why others don't, and its plan, pool and limits."""
    deployment = build_deployment(load_or_exit(file, not shared))
    tokens = {bearer_token.name: bearer_token for bearer_token in deployment.shared.tokens.values()}
    if token_name and token_name not in tokens:
        click.echo(f"there is no token {token_name}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    request = RouteRequest(
        ClientRole.PUBLISH if publish else ClientRole.WATCH,
        path,
        deployment.front.zone if zone is None else zone,
        tokens[token_name].claims if token_name else {},
    )
    for line in explain_request(deployment.shared, request, token_name, deployment.shared.terms.front_index):
        click.echo(line)


@config.command("meaning", hidden=True)
@click.argument("file", type=EXISTING_FILE)
def config_resolve(file: Path) -> None:
    """Write the resolved configuration of FILE in pickle format, for a serving front end that reloads it."""
    sys.stdout.buffer.write(pickle.dumps(load_or_exit(file, True)))


@config.command("reference")
def config_reference() -> None:
    """Print the reference page, which is generated from the schemas."""
    click.echo(reference.reference_page(), nl=False)


@config.command("complete")
@click.argument("form_name", metavar="[FORM]", default="")
@click.argument("prefix", metavar="[PREFIX]", default="")
def config_complete(form_name: str, prefix: str) -> None:
    """For editors: list the names that may be used in FORM ("" for a file) and begin with PREFIX."""
    for name in reference.completions(form_name, prefix):
        click.echo(name)
