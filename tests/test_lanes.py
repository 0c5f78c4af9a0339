"""The checks' own rules: no test falls out of both lanes, known-red tests alone may fail, and both say so."""

import gc
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from lanes import FILES, ROOT

TESTS = ROOT / "tests"
SMALL = """
import subprocess, sys

import pytest


@pytest.mark.parametrize("words", ["a, b", "c"])
def test_red(words):
    assert not words


def test_green():
    pass


def test_starts_a_process():
    subprocess.run([sys.executable, "-c", ""], check=True)


@pytest.mark.alone
def test_starts_a_process_and_says_so():
    subprocess.run([sys.executable, "-c", ""], check=True)
"""
LEFT_OVER = """
import gevent
from gevent import socket


def connect_later():
    gevent.sleep(0.01)
    socket.create_connection(("127.0.0.1", 9), timeout=0.1)


def test_leaves_a_greenlet_behind():
    gevent.spawn(connect_later)
"""
WAITS = """
import gevent


def test_waits():
    gevent.sleep(0.1)
"""
A_LISTED = sorted(FILES)[0]


def started(root: Path, *words: str) -> subprocess.Popen:
    """Pytest on the tests beneath `root`, which knows none of the words of this run."""
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *words]
    return subprocess.Popen(command, cwd=root, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def said(process: subprocess.Popen) -> str:
    """All that it printed."""
    return process.communicate(timeout=100)[0]


@pytest.fixture
def small(tmp_path):
    """A project of one file of tests, named as one that runs together with others."""
    tests = tmp_path / "tests"
    file = tmp_path / A_LISTED
    file.parent.mkdir(parents=True)
    for part in ("conftest.py", "lanes.py", "lane_reports.py", "together.txt"):
        shutil.copy(TESTS / part, tests)
    file.write_text(SMALL)
    settings = f'[tool.pytest.ini_options]\ntestpaths = ["tests"]\npythonpath = ["{ROOT / "src"}"]\n'
    (tmp_path / "pyproject.toml").write_text(settings)
    return tmp_path


def assert_lanes_make_the_whole(root: Path) -> None:
    """Each test beneath `root` is collected by exactly one of the lanes."""
    chosen = [("--lane=together",), ("--lane=alone",), ()]
    runs = [started(root, "--collect-only", *words) for words in chosen]
    together, alone, whole = ([line for line in said(run).splitlines() if "::" in line] for run in runs)
    assert sorted(together + alone) == sorted(whole)
    assert together and alone and len(set(whole)) == len(whole)


def test_both_lanes_together_are_all_that_is_collected():
    assert_lanes_make_the_whole(ROOT)


def test_known_red_tests_are_collected_once_like_others(small):
    (small / "KNOWN-RED.txt").write_text(f"{A_LISTED}::test_green, cause, issue\n")
    assert_lanes_make_the_whole(small)


def test_listed_files_are_there():
    assert [name for name in sorted(FILES) if not (ROOT / name).is_file()] == []


def test_a_test_that_runs_together_with_others_may_start_nothing(small):
    runs = [started(small, f"--lane={lane}", "-k", "process", "-rA") for lane in ("together", "alone")]
    together, alone = (said(run) for run in runs)
    assert "1 failed, 3 deselected" in together
    assert "runs together with others and causes subprocess.Popen: mark it alone" in together
    assert "1 passed, 3 deselected" in alone


def test_what_is_left_over_from_the_other_lane_fails_no_test_where_both_run_in_one_process(small):
    """A greenlet that an earlier test left behind connects while a test of the other lane waits."""
    left_over = small / "tests" / "test_0_left_over.py"
    left_over.write_text(LEFT_OVER)
    (small / A_LISTED).write_text(WAITS)
    told = said(started(small, str(left_over), A_LISTED, "-rA"))
    assert "2 passed" in told


@pytest.mark.parametrize(
    ("lane", "closing"),
    [("together", "2 failed, 1 passed, 1 deselected"), ("alone", "1 passed, 1 deselected")],
)
def test_a_lane_runs_its_own_tests_only(small, lane, closing):
    shown = started(small, f"--lane={lane}", "-k", "not test_starts_a_process or so")
    assert closing in said(shown)


def test_the_closing_line_of_the_second_lane_counts_both(small):
    words = ("-k", "not test_starts_a_process or so")
    first = started(small, "--lane=together", "-n", "2", "--reports-to=reports.json", *words)
    assert "2 failed, 1 passed" in said(first)
    second = said(started(small, "--lane=alone", "--reports-from=reports.json", *words))
    assert "2 failed, 2 passed, 1 deselected" in second
    assert f"FAILED {A_LISTED}::test_red[a, b]" in second


def test_known_red_tests_may_fail_and_are_printed_and_no_others(small):
    line = f"{A_LISTED}::test_red[a, b], the cause, issue 7"
    (small / "KNOWN-RED.txt").write_text(f"# Listed for the time being.\n\n{line}\n")
    run = started(small, "-k", "red or green")
    told = said(run)
    assert run.returncode == 1
    assert "1 failed, 1 passed, 2 deselected, 1 xfailed" in told
    assert f"known red: {line}" in told


def test_a_run_whose_only_failures_are_known_red_passes_and_a_listed_test_may_pass_again(small):
    lines = [f"{A_LISTED}::{name}, cause, issue" for name in ("test_red[a, b]", "test_red[c]", "test_green")]
    (small / "KNOWN-RED.txt").write_text("\n".join(lines))
    run = started(small, "-k", "red or green")
    told = said(run)
    assert run.returncode == 0
    assert "2 xfailed, 1 xpassed" in told
    assert [line for line in told.splitlines() if line.startswith("known red: ")] == [
        f"known red: {line}" for line in lines
    ]


def test_what_collecting_the_tests_left_is_not_garbage_collected_again():
    # Guards against pauses of 0.1 s and more in tests that measure time: the rest is looked at, this isn't.
    assert gc.get_freeze_count() > len(sys.modules)
