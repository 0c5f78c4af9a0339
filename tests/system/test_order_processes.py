"""Operators' commands to real core processes that are killed, suspended, wiped and partitioned."""

from __future__ import annotations

from pathlib import Path

from tests.system.order_processes import Trial

STALE_PROGRAM = Path(__file__).with_name("stale_program.py")


def test_one_order_of_events_explains_all_answers(tmp_path):
    trial = Trial(1, tmp_path, network=1)
    try:
        assert trial.play(15.0) == []
    finally:
        trial.system.stop()
    assert trial.fault_count >= 3
    assert len(trial.history.reads) > 100


def test_a_backup_that_missed_hundreds_of_changes_catches_up_and_may_become_primary(tmp_path):
    trial = Trial(5, tmp_path, network=3)
    try:
        assert trial.play(2.0, faults=("backup_outage",)) == []
    finally:
        trial.system.stop()
    assert len(trial.history.puts) > 300


def test_a_primary_that_answers_reads_alone_is_caught(tmp_path):
    trial = Trial(3, tmp_path, network=2, program=STALE_PROGRAM)
    try:
        assert trial.play(8.0, faults=("isolate_primary",))
    finally:
        trial.system.stop()
