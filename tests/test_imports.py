"""Every module can be imported: a name that was changed but not in all its users fails here."""

import ast
import os
import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src"
# Runs in its own process, as importing the agent's module blocks signals in the process.
IMPORT_ALL = """
import importlib, sys
for name in sys.argv[1:]:
    try:
        importlib.import_module(name)
    except Exception as error:
        print(f"{name}: {error!r}")
"""


def module_names() -> list[str]:
    files = (file.relative_to(SOURCE) for file in SOURCE.rglob("*.py"))
    # Modules named __main__ run a program when they are imported.
    files = [file for file in files if file.stem not in ("__main__", "nettledeal_system")]
    return sorted(".".join(file.with_suffix("").parts).removesuffix(".__init__") for file in files)


def test_every_module_can_be_imported():
    names = module_names()
    assert len(names) > 200
    run = subprocess.run(
        [sys.executable, "-c", IMPORT_ALL, *names],
        env=os.environ | {"PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (run.returncode, run.stdout, run.stderr) == (0, "", "")


def imported_modules(file: Path, names: set[str]) -> set[str]:
    """The modules that a file imports, also those for annotations or inside functions."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in names else node.module)
    return found & names


def import_cycles(imports: dict[str, set[str]]) -> set[tuple[str, ...]]:
    """Groups of modules that import each other, directly or indirectly."""
    reachable = {name: set(found) for name, found in imports.items()}
    changed = True
    while changed:
        changed = False
        for found in reachable.values():
            new = set().union(*(reachable[name] for name in found)) - found
            changed |= bool(new)
            found |= new
    return {
        tuple(sorted(other for other in found if name in reachable[other]))
        for name, found in reachable.items()
        if name in found
    }


def test_there_are_no_import_cycles():
    files = {
        ".".join(file.relative_to(SOURCE).with_suffix("").parts).removesuffix(".__init__"): file
        for file in SOURCE.rglob("*.py")
    }
    imports = {name: imported_modules(file, set(files)) - {name} for name, file in files.items()}
    assert import_cycles(imports) == set()
