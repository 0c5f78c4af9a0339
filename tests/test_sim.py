import io
import os
import subprocess
import sys
from pathlib import Path

import pytest

from nettledeal import units
from nettledeal.model import Answer, SendAttempt, Verdict
from nettledeal.sim import codec
from nettledeal.sim import host as host_module
from nettledeal.sim.host import main

SRC = str(Path(__file__).parents[1] / "src")
UP = (
    "up i=1 prng=5 balancers=2 zone=0 resolution=1000000 discovery=pushed categories.count=1 "
    "categories.0.effect=safe categories.0.due_time=300000000 categories.0.expiry=750000000 "
    "allowed.most_hand_offs=4"
)
START = (
    "tick sim_time=1000000000\npool table=0 members=2\nentry lifecycle=live backend=1.1.1.1:1\n"
    "entry backend=1.1.1.1:2 brand_new=5\n" + UP + "\nannounce i=1 scope=warm_copy index=0 table=0\neob\n"
)
ASK = "tick sim_time=1100000000\nsubmit i=1 txn=9 band=0 client_deadline=1800000000\n"


def run_bridge(text):
    out, err = io.StringIO(), io.StringIO()
    return main(io.StringIO(text), out, err), out.getvalue(), err.getvalue()


def test_a_work_item_is_sent():
    status, out, err = run_bridge(START + ASK + "eob\n")
    assert (status, err) == (0, "")
    assert out.count("ready") == 2
    assert "relay i=1 txn=9" in out


@pytest.mark.parametrize(
    ("text", "line", "fault"),
    [
        ("tick sim_time=x\neob\n", 1, "sim_time"),
        ("tick\neob\n", 1, "sim_time"),
        ("eob\n", 1, "outside"),
        ("tick sim_time=5\nsubmit i=1 txn=4\neob\n", 2, "band is missing"),
        ("tick sim_time=5\nsubmit i=1 junk\neob\n", 2, "junk"),
        ("tick sim_time=5\n", 2, "inside a batch"),
        ("tick sim_time=5\npool table=0 members=1\neob\n", 3, "entries"),
        (START + "tick sim_time=5\nended i=1 txn=4 go=0 backend=a:1 outcome=Q\neob\n", 9, "Q"),
    ],
)
def test_unreadable_input(text, line, fault):
    status, _, err = run_bridge(text)
    assert status == 2
    assert err.startswith(f"nettledeal: line {line}: ")
    assert fault in err
    assert err.count("\n") == 1


@pytest.mark.parametrize(
    "event",
    [
        "surprise i=1 x=2",
        "submit i=4 txn=4 band=0 client_deadline=9",
        "withdrawn i=1 txn=77",
        "ended i=1 txn=77 go=0 backend=1.1.1.1:1 outcome=S",
        "ring i=1 token=99",
        "destroy i=8",
        "pong i=1 backend=9.9.9.9:9 outcome=T",
        "announce i=1 scope=hearsay",
    ],
)
def test_unknown_events_and_ids_are_ignored(event):
    status, out, _ = run_bridge(START + f"tick sim_time=1000000500\n{event}\neob\n")
    assert status == 0
    assert out == "ready\nready\n"


def test_an_exception_in_the_decisions_is_reported(monkeypatch):
    def broken(*_args, **_fields):
        raise RuntimeError("no such luck")

    monkeypatch.setattr(host_module.Balancer, "submit", broken)
    status, out, err = run_bridge(START + ASK + "eob\n")
    assert status == 0
    assert "bail_out i=1 message=RuntimeError: no such luck" in out
    assert "Traceback" in err


@pytest.mark.parametrize(
    ("name", "text", "value"),
    [
        ("rules.answer_slack", "5050000", 50),
        ("rules.warm_within", "8600050000", 86_001),
        ("categories.3.effect", "unsafe", "exclusive"),
        ("categories.0.window", "199999", 1),
        ("allowed.probes", "true", True),
        ("tariffs.probe", "0.002", 0.002),
        ("me", "3", 3),
    ],
)
def test_settings_are_converted_to_our_names_and_units(name, text, value):
    assert codec.settings(f"{name}={text}") == {name: value}


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (SendAttempt(9, 0, "a:1", 25), "relay i=2 txn=9 give_up_after=2500000 backend=a:1"),
        (Answer(9, Verdict.DEFERRED, 10), "reject i=2 txn=9 retry_after=1000000"),
        (Answer(9, Verdict.DEFERRED), "reject i=2 txn=9"),
        (Answer(9, Verdict.FAILED), "finish_error i=2 txn=9"),
    ],
)
def test_actions_are_encoded_as_lines(action, line):
    assert codec.encode(2, action) == line


def test_clock_rounds_up_and_expiry_down():
    assert (units.round_up(100_001), units.round_down(199_999)) == (2, 1)


@pytest.mark.alone
def test_hash_seed_changes_nothing():
    lines = [START]
    for n in range(30):
        lines.append(f"tick sim_time={1_100_000_000 + n * 1_000_000}\n")
        lines.append(f"submit i=1 txn={n} band=0 client_deadline={1_900_000_000 + n * 1_000_000}\neob\n")
    outs = {
        subprocess.run(
            [sys.executable, "-m", "nettledeal.sim"],
            input="".join(lines),
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONPATH": SRC, "PYTHONHASHSEED": seed},
            check=True,
        ).stdout
        for seed in ("0", "1", "2")
    }
    assert len(outs) == 1
