"""The command line interface."""

from __future__ import annotations

import pickle
import subprocess
import sys
from functools import partial
from pathlib import Path

import click
import trio

from oakcroft.choice import Controller
from oakcroft.commands.arguments import EXIT_FAILURE, EXIT_INVALID_INPUT, EXISTING_FILE
from oakcroft.commands.catalogue import catalogue
from oakcroft.commands.configuration import config
from oakcroft.commands.fleet import fleet, status
from oakcroft.commands.rehearsal import rehearse, stand_in
from oakcroft.commands.state import state
from oakcroft.config.pipeline import load_resolved, build_deployment
from oakcroft.config.diagnostics import InvalidConfigurationError
from oakcroft.config.settings import Deployment
from oakcroft.front.front_end import FrontEnd
from oakcroft.front.protocols import PolicyFactory
from oakcroft.running.garbage_collection import reduce_gc_frequency
from oakcroft.running.logs import configure_logging

CHECK_TIMEOUT_SECONDS = 120
"""Timeout of a configuration check in a subprocess."""


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name=None, version="0.2.0", prog_name="oakcroft")
def main() -> None:
    """oakcroft places and shapes video sessions on streaming servers.

    Exit codes: 0 success, 1 a rule was violated or a run failed, 2 invalid usage or configuration.
    """


def read_deployment(file: Path, known_families: dict[str, int]) -> Deployment | list[str]:
    """Reads a front end's file. Returns the deployment settings, or the errors as lines of text.

    `known_families` holds the family numbers of plans that are in use.
    """
    try:
        return build_deployment(load_resolved(file), known_families)
    except InvalidConfigurationError as error:
        return [error.diagnostics.format(diagnostic) for diagnostic in error.diagnostics.errors]
    except OSError as error:
        return [f"{file}: {error}"]


def read_deployment_in_subprocess(file: Path, known_families: dict[str, int]) -> Deployment | list[str]:
    """Like `read_deployment`, but checks the file in a subprocess: a large check would delay the serving process."""
    command = [sys.executable, "-m", "oakcroft", "config", "meaning", str(file)]
    finished = subprocess.run(command, capture_output=True, timeout=CHECK_TIMEOUT_SECONDS, check=False)
    if finished.returncode == 0:
        return build_deployment(pickle.loads(finished.stdout), known_families)
    error_text = finished.stderr.decode("utf-8", "replace").strip()
    return [error_text or f"the configuration check exited with code {finished.returncode}"]


def serve_file(file: Path, decide: PolicyFactory = Controller) -> int:
    """Serves with a front end's file until a stop signal. Returns the exit code."""
    deployment = read_deployment(file, {})
    if isinstance(deployment, list):
        click.echo("\n".join(deployment), err=True)
        return EXIT_INVALID_INPUT
    front = deployment.front

    async def report_ready(port: int) -> None:
        """Reports that the front end accepts connections."""
        print(f"serving on {front.host}:{port}", flush=True)

    log = configure_logging(front.log_format, deployment.shared.terms.front_index)
    exit_code = 0
    reduce_gc_frequency()
    try:
        trio.run(
            FrontEnd(deployment, log, decide, partial(read_deployment_in_subprocess, file)).run, report_ready
        )
    except* OSError as group:
        exit_code = EXIT_FAILURE
        for error in group.exceptions:
            click.echo(f"cannot serve: {error}", err=True)
    return exit_code


@main.command()
@click.argument("file", type=EXISTING_FILE)
def serve(file: Path) -> None:
    """Run a front with the configuration FILE. SIGTERM drains and stops it; SIGHUP reloads FILE."""
    sys.exit(serve_file(file))


@main.command()
def platform() -> None:
    """Serve the platform's protocol with the configuration file named by PROXY_CONFIG, until a stop signal.

    `python -m oakcroft platform` does the same without loading any other module.
    """
    from oakcroft.platform.serve import main as serve

    sys.exit(serve())


for command in (state, catalogue, status, fleet, config, rehearse, stand_in):
    main.add_command(command)
