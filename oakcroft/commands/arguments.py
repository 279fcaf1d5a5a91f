"""Exit codes and argument types that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

EXIT_INVALID_INPUT = 2
"""The exit code for invalid input or wrong usage."""

EXIT_FAILURE = 1
"""The exit code for an operation that failed."""

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)
