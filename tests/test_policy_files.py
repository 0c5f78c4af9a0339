"""The decision module as the bench and whoever ports it find it: its files are told, within its limits."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "src" / "nettledeal" / "policy").glob("*.py"))
MOST_LINES = 1_050
WIDEST = 110
# Modules that would give a decision a clock, I/O or state of the process.
BARRED = {"time", "datetime", "os", "socket", "gevent", "logging", "threading", "structlog", "eliot"}


def test_the_deploy_file_names_exactly_the_files_of_the_module():
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(told) == [str(file.relative_to(ROOT)) for file in FILES]


def test_its_lines_are_within_the_limits():
    lines = [line for file in FILES for line in file.read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= MOST_LINES
    assert max(map(len, lines)) <= WIDEST


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.name)
def test_it_imports_nothing_with_a_clock_or_io(file):
    names = []
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            names.append(node.module)
        elif isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
    roots = {name.partition(".")[0] for name in names}
    assert not roots & BARRED
    assert roots <= sys.stdlib_module_names | {"nettledeal"}
    own = {name for name in names if name.startswith("nettledeal.") and "policy" not in name}
    assert own <= {f"nettledeal.{name}" for name in ("model", "records", "time_windows", "hash_ring")}
