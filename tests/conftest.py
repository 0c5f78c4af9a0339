"""Tests that KNOWN-RED.txt lists may fail without failing the run; they are printed at its end. Tests are
split into two lanes (`lanes`), selected with `--lane`.

The agent logs as in production: structlog's developer renderer prints all locals of a traceback, which takes
seconds per error, so that tests with a time limit failed.
"""

from __future__ import annotations

import gc
import re
from collections.abc import Iterator
from pathlib import Path

import lane_reports
import pytest
from lanes import ALONE, TOGETHER, Guard, lane

from nettledeal.log_setup import configure_log

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
# A node id ends at a comma, but the brackets of a parametrized test may contain commas.
NODE_ID = re.compile(r"[^,\[]+(?:\[.*?\](?=\s*(?:,|$)))?")


configure_log("debug")
guard = Guard()


def known_red() -> dict[str, str]:
    """Map the node ids of the listed tests to their lines."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return {NODE_ID.match(line)[0].strip(): line for line in lines if line and not line.startswith("#")}


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options; without `--lane`, all tests run sequentially."""
    parser.addoption("--lane", choices=(TOGETHER, ALONE), help="run only the tests of this lane")
    parser.addoption("--reports-to", type=Path, help="file for the reports of this run")
    parser.addoption("--reports-from", type=Path, help="file with reports of a run before, counted too")


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker."""
    config.addinivalue_line("markers", f"{ALONE}: starts processes, uses sockets or measures real time")


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as xfail, and deselect those of the other lane."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=False))
    chosen = config.getoption("--lane")
    if chosen:
        items[:] = [item for item in items if lane(item) == chosen]


def pytest_collection_finish() -> None:
    """Exempt all that collecting the tests has left from garbage collection, as programs do once they serve.

    A collection of it takes 0.1 to 0.2 s, and during it a test that measures time measures the collection.
    """
    gc.collect()
    gc.freeze()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Iterator[None]:
    """Fail a test of the parallel lane that does something only the sequential lane allows.

    The check applies only in a run of that lane: in a run of both, greenlets left behind by an earlier test
    of the other lane may connect at any moment.
    """
    if item.config.getoption("--lane") != TOGETHER:
        return (yield)
    guard.watch()
    try:
        found = yield
    finally:
        seen = guard.seen()
    if seen:
        pytest.fail(f"runs together with others and causes {', '.join(seen)}: mark it {ALONE}")
    return found


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the known failures, so that no run hides them, and count the other lane's tests.

    Nothing is printed with --collect-only, whose output is node ids only.
    """
    config, stats = terminalreporter.config, terminalreporter.stats
    if config.getoption("collectonly"):
        return
    if file := config.getoption("--reports-from"):
        lane_reports.add(config, stats, file)
    if file := config.getoption("--reports-to"):
        lane_reports.save(config, stats, file)
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")
