"""Exit codes and argument types that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

FAULTY = 2
"""The exit code for invalid input or wrong usage."""

BROKEN = 1
"""The exit code for an operation that failed."""

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)
