"""Signals that arrive while a program is still being loaded."""

from __future__ import annotations

import signal
from types import SimpleNamespace

import pytest

from nettledeal.programs import main as program


@pytest.fixture(autouse=True)
def restored_handler():
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.mark.parametrize(
    ("name", "expected"), [("data-plane", True), ("control-plane", True), ("status", False)]
)
def test_a_hangup_does_not_end_a_plane_that_is_being_loaded(monkeypatch, name, expected):
    seen = []

    def load(_):
        seen.append(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
        return SimpleNamespace(__doc__="", add_arguments=lambda parser: None, run=lambda parsed: 0)

    monkeypatch.setattr(program, "import_module", load)
    assert program.run_subcommand(name, [], None) == 0
    assert seen == [expected]
