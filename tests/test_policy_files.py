"""The decision module as the bench and ports of it use it: its files are listed, and within their limits."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "src" / "nettledeal" / "policy").glob("*.py"))
MAX_LINES = 1_050
MAX_COLUMNS = 110
# Modules that would give decisions a clock, I/O or state of the process.
FORBIDDEN_MODULES = {
    "time",
    "datetime",
    "os",
    "socket",
    "gevent",
    "logging",
    "threading",
    "structlog",
    "eliot",
}


def test_the_deploy_file_names_exactly_the_files_of_the_module():
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(listed) == [str(file.relative_to(ROOT)) for file in FILES]


def test_its_lines_are_within_the_limits():
    lines = [line for file in FILES for line in file.read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= MAX_LINES
    assert max(map(len, lines)) <= MAX_COLUMNS


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.name)
def test_it_imports_nothing_with_a_clock_or_io(file):
    names = []
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            names.append(node.module)
        elif isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
    roots = {name.partition(".")[0] for name in names}
    assert not roots & FORBIDDEN_MODULES
    assert roots <= sys.stdlib_module_names | {"nettledeal"}
    own = {name for name in names if name.startswith("nettledeal.") and "policy" not in name}
    assert own <= {f"nettledeal.{name}" for name in ("model", "records", "time_windows", "hash_ring")}
