"""A short run of real processes, with faults between them; verdicts come from counts."""

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

from nettledeal.fleet.clients import SLACK
from nettledeal.fleet.processor_waits import ProcessorWaits, processor_wait_ns
from nettledeal.fleet.wires import now

ROOT = Path(__file__).parents[1]
# As `fleet run` has it: with clients later than this the machine was too busy for the figures.
BUSY_MS = 20
# The checker allows the agents this much; where a client was later, the machine stood still for longer.
ALLOWED_MS = SLACK / 10
PLAYS = 4
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


def mine(folder):
    """Processes that were told something in that folder."""
    found = []
    for place in Path("/proc").glob("[0-9]*"):
        try:
            if str(folder) in (place / "environ").read_text() and place.name != str(os.getpid()):
                found.append(int(place.name))
        except OSError:
            continue
    return found


def runs_with(tmp_path, verdict, text, *words):
    """The runs of a play in which the rules broken by each are those of `verdict`. Where they are others and
    the clients themselves were late, that says nothing of the agents: it is played again, some times."""
    for _ in range(PLAYS):
        play = fleet(tmp_path, text, "--json", *words)
        out, err = play.communicate(timeout=100)
        assert out, err
        runs = json.loads(out)["runs"]
        if [list(run["broken"]) for run in runs] == verdict:
            assert play.returncode == (1 if any(verdict) else 0), err
            return runs
        assert too_busy(runs), f"{err}\n{evidence(runs)}"
    raise AssertionError(f"{PLAYS} plays on a busy machine: {evidence(runs)}")


def too_busy(runs):
    """Whether clients of a run were late: often, or one by more than the checker allows the agents."""
    return any(run["client_late_p99_ms"] > BUSY_MS or run["client_late_most_ms"] > ALLOWED_MS for run in runs)


def evidence(runs):
    """What a failed play leaves for whoever traces it: the rules that broke and the clients' delays."""
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


def test_what_a_process_waits_for_a_processor_is_measured():
    burn = "import os, time; os.sched_setaffinity(0, {0})\nfor _ in iter(time.monotonic, 0): pass"
    rivals = [subprocess.Popen([sys.executable, "-c", burn]) for _ in range(3)]
    waits, first = ProcessorWaits(), now()
    try:
        limit = time.monotonic() + 30
        while waits.between(0, first, now()) <= 10 * ALLOWED_MS and time.monotonic() < limit:
            waits.sample(0, rivals[0].pid, now())
            time.sleep(0.02)
    finally:
        for rival in rivals:
            rival.kill()
            rival.wait()
    assert waits.between(0, first, now()) > 10 * ALLOWED_MS
    assert processor_wait_ns(rivals[0].pid) is None


def test_a_dozen_processes_under_faults_keep_the_rules(tmp_path):
    (found,) = runs_with(tmp_path, [[]], PLAIN + FAULTS)
    assert found["rules"] == "kept" and found["judged"]
    assert found["asked"] > 40 and found["on_time"] > 0.5
    assert [label for _, label in found["marks"]][:3] == ["hang 1", "pause 2", "link 2"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_all_that_it_started_and_leaves_no_result(tmp_path, number):
    (tmp_path / "tmp").mkdir()
    out = tmp_path / "out"
    run = fleet(
        tmp_path,
        PLAIN.replace("seconds = 4.0", "seconds = 60.0"),
        "--out",
        str(out),
        TMPDIR=str(tmp_path / "tmp"),
    )
    limit = time.monotonic() + 40
    while len(list((tmp_path / "tmp").glob("*/agent-*.log"))) < 6 and time.monotonic() < limit:
        time.sleep(0.05)
    assert len(list((tmp_path / "tmp").glob("*/agent-*.log"))) == 6
    run.send_signal(number)
    _, err = run.communicate(timeout=40)
    assert run.returncode == 1
    assert "all that was started has ended" in err
    assert not out.exists() and not list((tmp_path / "tmp").iterdir())
    assert mine(tmp_path / "tmp") == []


def test_an_agent_that_ends_by_itself_ends_the_run_and_is_named(tmp_path):
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
    limit = time.monotonic() + 40
    while len(started) < 6 and time.monotonic() < limit:
        time.sleep(0.05)
        started = [log for log in (tmp_path / "tmp").glob("*/agent-*.log") if '"started"' in log.read_text()]
    home = started[0].with_suffix("")
    (victim,) = [pid for pid in mine(home) if pid != run.pid]
    os.kill(victim, signal.SIGKILL)
    _, err = run.communicate(timeout=40)
    assert run.returncode == 1
    assert f"agent {home.name[6:]} ended with -9" in err and "all that was started has ended" in err
    assert not out.exists() and mine(tmp_path / "tmp") == []


LIGHT = (
    PLAIN.replace("seconds = 4.0", "seconds = 3.0")
    .replace("rate = 30.0", "rate = 200.0")
    .replace('"\n[[category]]', '"\nwork_ms = 8.0\n[[category]]')
    .replace('"unsafe"', '"unsafe"\nwork_ms = 8.0')
)
# More work than the warm ones can do, of more agents than see each other's, on reports of a while ago: who
# does not spare the cold ones sends them some twice what topples them, who does about a half of it at most.
# Few and long work items, so that a machine that is somewhat busy keeps up.
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
# A build that breaks each rule (the file, a line of it, what stands there instead), and what brings it out.
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
def test_the_checker_finds_the_rule_that_a_broken_build_breaks_and_none_in_ours(tmp_path, rule):
    file, old, new, day = BUILDS[rule]
    tree = tmp_path / "broken"
    shutil.copytree(ROOT / "src" / "nettledeal", tree / "nettledeal")
    text = (tree / "nettledeal" / file).read_text()
    assert text.count(old) == 1
    (tree / "nettledeal" / file).write_text(text.replace(old, new))
    sound, _ = runs_with(tmp_path, [[], [rule]], day, "--beside", f"broken={tree}")
    assert sound["rules"] == "kept"
