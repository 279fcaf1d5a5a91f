"""The steps from a configuration's text to its resolved form and on to a front end's deployment settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from oakcroft.config.checks import cross_check
from oakcroft.config.deployment_builder import build_route, build_deployment
from oakcroft.config.expander import Expander, RootFolder
from oakcroft.config.resolved import ResolvedConfig, resolve
from oakcroft.config.diagnostics import Diagnostics, InvalidConfigurationError
from oakcroft.config.records import read_records
from oakcroft.config.syntax import Form
from oakcroft.config.settings import Deployment

__all__ = [
    "ResolvedConfig",
    "build_deployment",
    "build_route",
    "check_file",
    "check_forms",
    "load_deployment",
    "load_resolved",
]


def check_file(
    file_name: str, read_text: Callable[[str], str], is_front_file: bool = True
) -> tuple[ResolvedConfig | None, Diagnostics]:
    """Checks a file and everything it includes.

    `read_text` returns the text of a file by its path relative to the first file's folder, or raises OSError.
    `is_front_file`: the file belongs to one front end and must hold (front …). Returns the resolved configuration, None
    if there are errors, and all diagnostics.
    """
    diagnostics = Diagnostics()
    plain_forms = Expander(read_text, diagnostics).expand_file(file_name)
    return check_forms(plain_forms, diagnostics, is_front_file)


def check_forms(
    plain_forms: Iterable[Form], diagnostics: Diagnostics, is_front_file: bool
) -> tuple[ResolvedConfig | None, Diagnostics]:
    """Checks forms whose includes and definitions are expanded; see `check_file` for the arguments and the result."""
    records = read_records(plain_forms, diagnostics, is_front_file)
    if not diagnostics.is_incomplete:
        cross_check(records, diagnostics)
    return (None if diagnostics.errors else resolve(records)), diagnostics


def load_resolved(path: Path, is_front_file: bool = True) -> ResolvedConfig:
    """Returns the resolved configuration of a file.

    Raises InvalidConfigurationError if it has errors, a file that cannot be read among them.
    """
    resolved, diagnostics = check_file(path.name, RootFolder(path.parent).read_text, is_front_file)
    if resolved is None:
        raise InvalidConfigurationError(diagnostics)
    return resolved


def load_deployment(path: Path) -> Deployment:
    """Returns the deployment settings of a front end's file. Raises InvalidConfigurationError if it has errors."""
    return build_deployment(load_resolved(path))
