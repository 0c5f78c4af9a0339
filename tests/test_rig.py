"""A short run of real processes, with faults between them; verdicts come from counts."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from test_fleet import PLAIN

ROOT = Path(__file__).parents[1]
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
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")} | environment, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.PIPE,
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


def test_a_dozen_processes_under_faults_keep_the_rules(tmp_path):
    run = fleet(tmp_path, PLAIN + FAULTS, "--json")
    out, err = run.communicate(timeout=80)
    assert run.returncode == 0, err + out[-2000:]
    (found,) = json.loads(out)["runs"]
    assert found["rules"] == "kept" and found["judged"]
    assert found["asked"] > 40 and found["on_time"] > 0.5
    assert [label for _, label in found["marks"]][:3] == ["hang 1", "pause 2", "link 2"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_all_that_it_started_and_leaves_no_result(tmp_path, number):
    (tmp_path / "tmp").mkdir()
    out = tmp_path / "out"
    run = fleet(
        tmp_path, PLAIN.replace("seconds = 4.0", "seconds = 60.0"), "--out", str(out),
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
