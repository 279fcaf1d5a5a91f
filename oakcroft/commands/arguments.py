"""What several commands share: their exit codes, and arguments that are files."""

from __future__ import annotations

from pathlib import Path

import click

FAULTY = 2
"""The exit code where what was given has faults, or a word is missing."""

BROKEN = 1
"""The exit code where something could not be done."""

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)
