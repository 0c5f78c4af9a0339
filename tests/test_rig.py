"""Short runs of real processes with injected faults, judged by the counts of broken rules."""

import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from test_fleet import PLAIN

from nettledeal.fleet.child_runtime import now
from nettledeal.fleet.clients import DEADLINE_SLACK
from nettledeal.fleet.processor_waits import ProcessorWaits, processor_wait_ns

ROOT = Path(__file__).parents[1]
# Same bound as `fleet run`: if clients are later than this, the machine is too busy for valid results.
BUSY_MS = 20
# Tolerance of the rule checker. If a client itself was later, the machine stalled for longer than that.
ALLOWED_MS = DEADLINE_SLACK / 10
MAX_ATTEMPTS = 4
FAULTS = """
[[fault]]
kind = "hang"
at = 1.0
until = 2.5
count = 1
[[fault]]
kind = "pause"
at = 1.2
until = 1.8
count = 2
[[fault]]
kind = "link"
at = 1.4
until = 2.4
share = 0.34
way = "back"
cut = true
to = 0.5
[[fault]]
kind = "kill"
at = 2.0
until = 2.1
count = 1
[[fault]]
kind = "replace"
at = 2.2
count = 1
"""


def fleet(tmp_path, text, *words, **environment):
    file = tmp_path / "asked.toml"
    file.write_text(text)
    return subprocess.Popen(
        [sys.executable, "-m", "nettledeal", "fleet", "run", str(file), *words],
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")} | environment,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def processes_using(folder):
    """Ids of processes whose environment names that folder."""
    found = []
    for place in Path("/proc").glob("[0-9]*"):
        try:
            if str(folder) in (place / "environ").read_text() and place.name != str(os.getpid()):
                found.append(int(place.name))
        except OSError:
            continue
    return found


def runs_with(tmp_path, expected_broken, text, *words):
    """Returns the runs of an experiment whose broken rules equal `expected_broken`.

    If they differ and the clients themselves were late, the result says nothing about the agents: the
    experiment is repeated a few times.
    """
    for _ in range(MAX_ATTEMPTS):
        process = fleet(tmp_path, text, "--json", *words)
        out, err = process.communicate(timeout=100)
        assert out, err
        runs = json.loads(out)["runs"]
        if [list(run["broken"]) for run in runs] == expected_broken:
            assert process.returncode == (1 if any(expected_broken) else 0), err
            return runs
        assert too_busy(runs), f"{err}\n{evidence(runs)}"
    raise AssertionError(f"{MAX_ATTEMPTS} attempts on a busy machine: {evidence(runs)}")


def too_busy(runs):
    """Whether clients were late: often (p99), or once by more than the tolerance of the rule checker."""
    return any(run["client_late_p99_ms"] > BUSY_MS or run["client_late_most_ms"] > ALLOWED_MS for run in runs)


def evidence(runs):
    """Diagnostics of a failed run: the broken rules and the delays of the clients."""
    keys = (
        "policy",
        "seed",
        "asked",
        "client_late_p99_ms",
        "client_late_most_ms",
        "agent_waited_most_ms",
        "broken",
    )
    return json.dumps([{key: run[key] for key in keys} for run in runs], indent=1)[:6000]


def test_processor_wait_of_a_process_is_measured():
    burn = "import os, time; os.sched_setaffinity(0, {0})\nfor _ in iter(time.monotonic, 0): pass"
    rivals = [subprocess.Popen([sys.executable, "-c", burn]) for _ in range(3)]
    waits, first = ProcessorWaits(), now()
    try:
        deadline = time.monotonic() + 30
        while waits.between(0, first, now()) <= 10 * ALLOWED_MS and time.monotonic() < deadline:
            waits.sample(0, rivals[0].pid, now())
            time.sleep(0.02)
    finally:
        for rival in rivals:
            rival.kill()
            rival.wait()
    assert waits.between(0, first, now()) > 10 * ALLOWED_MS
    assert processor_wait_ns(rivals[0].pid) is None


def test_processes_under_faults_break_no_rule(tmp_path):
    (found,) = runs_with(tmp_path, [[]], PLAIN + FAULTS)
    assert found["rules"] == "kept" and found["judged"]
    assert found["asked"] > 40 and found["on_time"] > 0.5
    assert [label for _, label in found["marks"]][:3] == ["hang 1", "pause 2", "link 2"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_kills_its_processes_and_leaves_no_result(tmp_path, number):
    (tmp_path / "tmp").mkdir()
    out = tmp_path / "out"
    run = fleet(
        tmp_path,
        PLAIN.replace("seconds = 4.0", "seconds = 60.0"),
        "--out",
        str(out),
        TMPDIR=str(tmp_path / "tmp"),
    )
    deadline = time.monotonic() + 40
    while len(list((tmp_path / "tmp").glob("*/agent-*.log"))) < 6 and time.monotonic() < deadline:
        time.sleep(0.05)
    assert len(list((tmp_path / "tmp").glob("*/agent-*.log"))) == 6
    run.send_signal(number)
    _, err = run.communicate(timeout=40)
    assert run.returncode == 1
    assert "all that was started has ended" in err
    assert not out.exists() and not list((tmp_path / "tmp").iterdir())
    assert processes_using(tmp_path / "tmp") == []


def test_an_agent_that_exits_unexpectedly_aborts_the_run_and_is_named(tmp_path):
    (tmp_path / "tmp").mkdir()
    out = tmp_path / "out"
    run = fleet(
        tmp_path,
        PLAIN.replace("seconds = 4.0", "seconds = 60.0"),
        "--out",
        str(out),
        TMPDIR=str(tmp_path / "tmp"),
    )
    started = []
    deadline = time.monotonic() + 40
    while len(started) < 6 and time.monotonic() < deadline:
        time.sleep(0.05)
        started = [log for log in (tmp_path / "tmp").glob("*/agent-*.log") if '"started"' in log.read_text()]
    home = started[0].with_suffix("")
    (victim,) = [pid for pid in processes_using(home) if pid != run.pid]
    os.kill(victim, signal.SIGKILL)
    _, err = run.communicate(timeout=40)
    assert run.returncode == 1
    assert f"agent {home.name[6:]} exited with status -9" in err and "all that was started has ended" in err
    assert not out.exists() and processes_using(tmp_path / "tmp") == []


LIGHT = (
    PLAIN.replace("seconds = 4.0", "seconds = 3.0")
    .replace("rate = 30.0", "rate = 200.0")
    .replace('"\n[[category]]', '"\nwork_ms = 8.0\n[[category]]')
    .replace('"unsafe"', '"unsafe"\nwork_ms = 8.0')
)
# More work than the warm backends can do, from many independent agents with outdated load reports. A policy
# that doesn't spare cold backends sends them about twice the load that crashes them; one that does sends at
# most about half of it. Requests are few and long, so that a moderately busy machine keeps up.
COLD = """processes = 2
cold = 0.5
cold_from = 0.1
warm_within = 300.0
push = 1.5
push_for = 2.6
report_lag = 0.5"""
LONG = "work_ms = 13.0\ndue_ms = 1700.0\nexpiry_ms = 3300.0"
CROWD = (
    LIGHT.replace("seconds = 3.0", "seconds = 6.5")
    .replace("work_ms = 8.0", LONG)
    .replace("count = 6", "count = 12\nprobes = false")
)
# For each rule, a modified build that breaks it (file, original text, replacement) and an experiment that
# shows it.
BUILDS = {
    "one answer": (
        "net/routing/router.py",
        "= received_at + self.admission.timeout(request)\n",
        "= received_at + self.admission.timeout(request) + 30_000\n",
        LIGHT + '[[fault]]\nkind = "hang"\nat = 0.5\nshare = 0.5\n',
    ),
    "no effect twice": (
        "units.py",
        '"unsafe": "exclusive"',
        '"unsafe": "rerunnable"',
        LIGHT + '[[fault]]\nkind = "lost"\nat = 0.2\nchance = 0.5\n',
    ),
    "drains kept": (
        "net/protocol/catalogue.py",
        '"draining": Lifecycle.DRAINING',
        '"draining": Lifecycle.RUNNING',
        LIGHT + '[[fault]]\nkind = "replace"\nat = 0.8\ncount = 2\n',
    ),
    "no cold backend pushed over": (
        "policy/shared_state.py",
        "return b.started_at > 0 and",
        "return False and",
        CROWD.replace("processes = 2", COLD),
    ),
}


@pytest.mark.parametrize("rule", BUILDS)
def test_the_rule_checker_finds_the_rule_that_a_modified_build_breaks(tmp_path, rule):
    file, old, new, experiment = BUILDS[rule]
    tree = tmp_path / "broken"
    shutil.copytree(ROOT / "src" / "nettledeal", tree / "nettledeal")
    text = (tree / "nettledeal" / file).read_text()
    assert text.count(old) == 1
    (tree / "nettledeal" / file).write_text(text.replace(old, new))
    sound, _ = runs_with(tmp_path, [[], [rule]], experiment, "--beside", f"broken={tree}")
    assert sound["rules"] == "kept"
