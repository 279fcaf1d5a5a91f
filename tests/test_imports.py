"""Decisions touch no socket, file, clock or package around them; arrows between packages go one way."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "oakcroft"
PURE = {"__future__", "collections", "dataclasses", "enum", "hashlib", "math", "random", "re", "typing", "itertools",
        "bisect", "heapq", "functools", "fnmatch", "hmac", "base64"}  # fmt: skip
BELOW = {  # each package may import these beside itself
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


KNOWN_CYCLES: set[frozenset[str]] = set()
"""Modules that import each other and are still to be parted. None joins it; one that is parted leaves it."""


MATTERS = {  # each folder of decisions may import these beside itself
    "admission": set[str](),
    "fleet": {"membership"},
    "membership": set[str](),
    "moving": set[str](),
    "routing": set[str](),
    "sessions": {"admission"},
    "state": {"sessions"},
}


def imported(path: Path) -> set[str]:
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


def module_name(path: Path) -> str:
    """The name by which a file of the package is imported."""
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def modules_imported(path: Path, known: set[str]) -> set[str]:
    """Modules of ours that a file names in an import, wherever in it: within a function and under TYPE_CHECKING, too."""
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path.name}:{node.lineno}: imports are written whole here"
            submodules = {f"{node.module}.{alias.name}" for alias in node.names}
            names |= submodules & known or {node.module or ""}
    return names & known


def cycles(imports: dict[str, set[str]]) -> set[frozenset[str]]:
    """Sets of modules each of which imports, by way of others, all of its set (strongly connected components)."""
    reached = {module: _reached(module, imports) for module in imports}
    in_cycles = [module for module in imports if module in reached[module]]
    return {
        frozenset(other for other in in_cycles if other in reached[module] and module in reached[other])
        for module in in_cycles
    }


def _reached(start: str, imports: dict[str, set[str]]) -> set[str]:
    found, waiting = set[str](), [start]
    while waiting:
        more = imports[waiting.pop()] - found
        found |= more
        waiting += more
    return found


def test_a_planted_cycle_is_found() -> None:
    """The search itself: a ring of three with a tail is one cycle of three, and a module that imports itself is one."""
    ring = {"a": {"b"}, "b": {"c"}, "c": {"a", "tail"}, "tail": set[str](), "alone": {"alone"}}
    assert cycles(ring) == {frozenset("abc"), frozenset({"alone"})}


def test_imports_under_type_checking_and_in_functions_count(tmp_path: Path) -> None:
    """Both hide a cycle from the interpreter, not from a reader."""
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
    """Modules that need each other to be understood are one module in two files."""
    paths = {module_name(path): path for path in sorted(ROOT.rglob("*.py"))}
    known = set(paths)
    found = cycles({module: modules_imported(path, known) for module, path in paths.items()})
    assert found <= KNOWN_CYCLES, f"part these: {sorted(map(sorted, found - KNOWN_CYCLES))}"
    assert found >= KNOWN_CYCLES, f"take these out of the list: {sorted(map(sorted, KNOWN_CYCLES - found))}"


@pytest.mark.parametrize(
    "path", [*(ROOT / "decisions").rglob("*.py"), ROOT / "choice.py", ROOT / "interface.py"], ids=str
)
def test_decisions_are_pure(path: Path) -> None:
    for name in imported(path):
        top = name.split(".")[0]
        allowed = top in PURE or name == "oakcroft.interface" or name.startswith("oakcroft.decisions.")
        assert allowed, f"{path.name} imports {name}"
        assert top != "oakcroft" or "decisions" in path.parts or name == "oakcroft.interface"


@pytest.mark.parametrize("package", BELOW)
def test_arrows_go_one_way(package: str) -> None:
    for path in (ROOT / package).rglob("*.py"):
        for name in imported(path):
            if name.startswith("oakcroft."):
                part = name.split(".")[1]
                assert part == package or part in BELOW[package], f"{path.name} imports {name}"


@pytest.mark.parametrize("path", [*(ROOT / "decisions").glob("*/*.py")], ids=str)
def test_decisions_are_grouped_by_matter(path: Path) -> None:
    mine = path.parent.name
    for name in imported(path):
        if name.startswith("oakcroft.decisions."):
            matter = name.split(".")[2]
            assert matter == mine or matter in MATTERS[mine], f"{path.name} imports {name}"


def test_the_platform_loads_nothing_of_peers() -> None:
    """The platform's front ends have no peers (permissions.peerMessages): no such code is in their process."""
    code = "import sys, oakcroft.platform.serve; print(*sorted(m for m in sys.modules if m.startswith('oakcroft.')))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT.parent
    ).stdout.split()
    assert "oakcroft.platform.session_coordinator" in loaded
    barred = ("oakcroft.peer", "oakcroft.decisions.membership", "oakcroft.front", "oakcroft.config")
    assert not [m for m in loaded if m.startswith(barred)]
