"""A plane that fails ends its process and reports the reason."""

from __future__ import annotations

import gc
from types import SimpleNamespace

import gevent
import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.programs import main, process

REASON = ServingError(ErrorCode.FOREIGN_DATA, "join cluster", "the disk is of cluster a")


class FailingPlane:
    """Fails shortly after its start."""

    def __init__(self):
        self.on_failure = None
        self.stopped = False

    def start(self) -> None:
        gevent.spawn(lambda: self.on_failure(REASON))

    def stop(self) -> None:
        self.stopped = True


SETTINGS = SimpleNamespace(node_name="n", role="r", port_range=(7000, 7010), seeds=[])


@pytest.fixture
def run_plane(monkeypatch):
    thresholds = gc.get_threshold()
    monkeypatch.setattr(process.gevent, "signal_handler", lambda *arguments: None)
    monkeypatch.setattr(process, "configure_logs", lambda *arguments: None)
    monkeypatch.setattr(process.gc, "freeze", lambda: None)  # this process is not a program
    yield lambda plane: process.run_plane(SETTINGS, lambda seeds: plane)
    gc.set_threshold(*thresholds)


def test_the_plane_is_stopped_and_the_reason_raised(run_plane):
    plane = FailingPlane()
    with pytest.raises(ServingError) as raised:
        run_plane(plane)
    assert raised.value is REASON
    assert plane.stopped


def test_the_reason_is_one_line_and_the_status_2(run_plane, monkeypatch, capsys):
    monkeypatch.setattr(main, "run_subcommand", lambda *arguments: run_plane(FailingPlane()))
    with pytest.raises(SystemExit) as ended:
        main.main(["control-plane"])
    assert ended.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert lines == [f"nettledeal: {REASON}"]
