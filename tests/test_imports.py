"""Import rules: decisions use no socket, file, clock or host package, and packages depend on each other one way only."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "oakcroft"
PURE = {"__future__", "collections", "dataclasses", "enum", "hashlib", "math", "random", "re", "typing", "itertools",
        "bisect", "heapq", "functools", "fnmatch", "hmac", "base64"}  # fmt: skip
ALLOWED_PACKAGES = {  # packages that each package may import besides itself
    "decisions": {"interface"},
    "signalling": set[str](),
    "config": {"decisions", "interface"},
    "httpwire": {"decisions", "signalling"},
    "store": {"decisions", "interface"},
    "catalogue": {"config", "decisions"},
    "running": set[str](),
    "front": {
        "running",
        "catalogue",
        "store",
        "choice",
        "decisions",
        "httpwire",
        "interface",
        "config",
        "peers",  # where the configuration has any
        "peerwire",
        "signalling",
    },
    "peerwire": {"decisions", "interface"},
    "peers": {"config", "decisions", "interface", "peerwire", "running"},
    "rulecheck": {"config", "decisions", "interface"},
    "client": {"decisions", "httpwire", "signalling"},
    "wirehost": {"choice", "interface", "terms"},
    "platformwire": {"interface", "terms"},
    "platform": {"choice", "decisions", "interface", "platformwire", "running", "terms"},
}


CHOICE_IMPORTS = {
    "oakcroft.interface",
    "oakcroft.decisions.routing.holder_order",
    "oakcroft.decisions.routing.listed_nodes",
}
"""What choice.py may import of the project: the interface, and the indexes of listed nodes."""


KNOWN_CYCLES: set[frozenset[str]] = set()
"""Modules that import each other and are still to be separated. The set only shrinks."""


ALLOWED_DECISION_PACKAGES = {  # packages of decisions that each of them may import besides itself
    "admission": set[str](),
    "fleet": {"membership"},
    "membership": set[str](),
    "moving": set[str](),
    "routing": set[str](),
    "sessions": {"admission"},
    "state": {"sessions"},
}


def imported_names(path: Path) -> set[str]:
    """Names of all modules that a file imports."""
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


def module_name(path: Path) -> str:
    """The module name of a file of the package."""
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def modules_imported(path: Path, known: set[str]) -> set[str]:
    """Modules of this project that a file imports anywhere, also within functions and under TYPE_CHECKING."""
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path.name}:{node.lineno}: relative imports are not allowed"
            submodules = {f"{node.module}.{alias.name}" for alias in node.names}
            names |= submodules & known or {node.module or ""}
    return names & known


def cycles(imports: dict[str, set[str]]) -> set[frozenset[str]]:
    """Sets of modules that import each other, directly or not (strongly connected components)."""
    reached = {module: _reachable(module, imports) for module in imports}
    in_cycles = [module for module in imports if module in reached[module]]
    return {
        frozenset(other for other in in_cycles if other in reached[module] and module in reached[other])
        for module in in_cycles
    }


def _reachable(start: str, imports: dict[str, set[str]]) -> set[str]:
    found, waiting = set[str](), [start]
    while waiting:
        more = imports[waiting.pop()] - found
        found |= more
        waiting += more
    return found


def test_the_search_finds_import_cycles() -> None:
    """Three modules in a ring with a tail are one cycle of three; a module that imports itself is a cycle, too."""
    ring = {"a": {"b"}, "b": {"c"}, "c": {"a", "tail"}, "tail": set[str](), "alone": {"alone"}}
    assert cycles(ring) == {frozenset("abc"), frozenset({"alone"})}


def test_imports_under_type_checking_and_in_functions_count(tmp_path: Path) -> None:
    """Such imports hide a cycle from the interpreter, but the modules still depend on each other."""
    file = tmp_path / "some.py"
    file.write_text(
        "if TYPE_CHECKING:\n    from oakcroft.front.session_coordinator import SessionCoordinator\n"
        "def late():\n    from oakcroft.config import forms\n    import oakcroft.choice\n"
    )
    known = {
        "oakcroft.front.session_coordinator",
        "oakcroft.config",
        "oakcroft.config.forms",
        "oakcroft.choice",
    }
    assert modules_imported(file, known) == known - {"oakcroft.config"}


def test_no_modules_import_each_other() -> None:
    """Modules that import each other can only be understood together."""
    paths = {module_name(path): path for path in sorted(ROOT.rglob("*.py"))}
    known = set(paths)
    found = cycles({module: modules_imported(path, known) for module, path in paths.items()})
    assert found <= KNOWN_CYCLES, f"separate these: {sorted(map(sorted, found - KNOWN_CYCLES))}"
    assert found >= KNOWN_CYCLES, (
        f"remove these from KNOWN_CYCLES: {sorted(map(sorted, KNOWN_CYCLES - found))}"
    )


@pytest.mark.parametrize(
    "path", [*(ROOT / "decisions").rglob("*.py"), ROOT / "choice.py", ROOT / "interface.py"], ids=str
)
def test_decisions_are_pure(path: Path) -> None:
    """Decisions import only pure modules of the standard library and other decisions."""
    for name in imported_names(path):
        top = name.split(".")[0]
        allowed = top in PURE or name == "oakcroft.interface" or name.startswith("oakcroft.decisions.")
        assert allowed, f"{path.name} imports {name}"
        assert top != "oakcroft" or "decisions" in path.parts or name in CHOICE_IMPORTS


def test_what_the_decision_module_imports_needs_only_the_interface() -> None:
    """Guards against hosts, I/O or further decisions that reach the decision module by way of what it imports."""
    for name in CHOICE_IMPORTS - {"oakcroft.interface"}:
        path = ROOT.parent / (name.replace(".", "/") + ".py")
        own_imports = {imported for imported in imported_names(path) if imported.startswith("oakcroft")}
        assert own_imports <= CHOICE_IMPORTS, name


@pytest.mark.parametrize("package", ALLOWED_PACKAGES)
def test_packages_import_only_allowed_packages(package: str) -> None:
    """Guards against packages that depend on each other in both directions."""
    for path in (ROOT / package).rglob("*.py"):
        for name in imported_names(path):
            if name.startswith("oakcroft."):
                part = name.split(".")[1]
                assert part == package or part in ALLOWED_PACKAGES[package], f"{path.name} imports {name}"


@pytest.mark.parametrize("path", [*(ROOT / "decisions").glob("*/*.py")], ids=str)
def test_decision_packages_import_only_allowed_ones(path: Path) -> None:
    """Guards against decision packages that depend on each other in both directions."""
    own_package = path.parent.name
    for name in imported_names(path):
        if name.startswith("oakcroft.decisions."):
            package = name.split(".")[2]
            assert package == own_package or package in ALLOWED_DECISION_PACKAGES[own_package], (
                f"{path.name} imports {name}"
            )


def test_the_platform_loads_no_peer_code() -> None:
    """The platform's front ends have no peers (permissions.peerMessages), so their process loads no such code."""
    code = "import sys, oakcroft.platform.serve; print(*sorted(m for m in sys.modules if m.startswith('oakcroft.')))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT.parent
    ).stdout.split()
    assert "oakcroft.platform.session_coordinator" in loaded
    forbidden = ("oakcroft.peer", "oakcroft.decisions.membership", "oakcroft.front", "oakcroft.config")
    assert not [m for m in loaded if m.startswith(forbidden)]
