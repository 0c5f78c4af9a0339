"""Whole systems of real processes on loopback. Every wait is for a condition, with a timeout."""

from pathlib import Path

import msgspec
import pytest

from nettledeal.common.settings import Bounds
from nettledeal.operator_api.configuration import Configuration
from nettledeal.standins.backend import EngineSpeed
from nettledeal.standins.checks import broken_rules
from nettledeal.standins.clients import Ending
from nettledeal.standins.layout import Layout, Network, Zone
from nettledeal.standins.processes import wait_until
from nettledeal.standins.scenario import BRIEF, CARD, EXTRA, QUESTION, make_backends, make_configuration
from nettledeal.standins.small_system import SmallSystem
from nettledeal.standins.traffic import Traffic

WITHIN_S = 60.0
KINDS = (BRIEF, QUESTION, CARD)
NO_TIME = EngineSpeed()
BOUNDS = Bounds(grace_s=2.0)  # a large part of it is needed for a data plane's shutdown


class RunningSystem:
    """A small system with configuration 1, and clients in each zone."""

    def __init__(self, folder, number: int, edges: int):
        layout = Layout(Network.of_this_process(number), edges=edges, bounds=BOUNDS)
        self.system = SmallSystem(layout, folder, make_backends(layout, NO_TIME, NO_TIME))
        self.operator = self.system.operator
        self.clients = Traffic([], layout.directory_addresses).clients

    def bring_up(self, programs: dict[str, Path]) -> None:
        """Start all processes; `programs` maps the names of those that run another program to it."""
        for process in self.system.processes:
            process.program = programs.get(process.name, process.program)
        self.system.start()
        assert self.operator.put_configuration(make_configuration(1), 0).status == 200
        for process in self.system.processes:
            process.wait_for("process:started", WITHIN_S)
        self.system.wait_ready(WITHIN_S)
        self.wait_served(CARD)

    def wait_served(self, kind) -> None:
        wait_until(lambda: self.endings(kind) == {Ending.SERVED}, WITHIN_S, f"{kind.name} is served")

    def wait_in_sync(self) -> None:
        count = len(self.system.cores)
        wait_until(
            lambda: len(self.system.primary_status().epoch.in_sync) == count,
            WITHIN_S,
            "all cores are in sync",
        )

    def endings(self, kind) -> set[Ending]:
        return {client.ask(kind, subject).ending for client in self.clients for subject in range(2)}

    def rules_hold(self) -> bool:
        return broken_rules([], self.clients, self.system.backends, [*KINDS, EXTRA]) == []

    def generation(self) -> int:
        answer = self.operator.get_configuration()
        return msgspec.json.decode(answer.body, type=Configuration).generation


@pytest.fixture
def start(tmp_path):
    """Starts systems; they are stopped after the test, and each running process must exit with 0."""
    started = []

    def bring_up(edges: int, programs: dict[str, Path] | None = None) -> RunningSystem:
        running = RunningSystem(tmp_path, len(started), edges)
        started.append(running)
        running.bring_up(programs or {})
        return running

    yield bring_up
    for running in started:
        running.system.wait_started(WITHIN_S)
    statuses = [status for running in started for status in running.system.stop()]
    assert set(statuses) <= {0}


def test_a_killed_primary_s_work_is_taken_over(start):
    running = start(edges=2)
    for kind in KINDS:
        assert running.endings(kind) == {Ending.SERVED}
    assert running.endings(EXTRA) == {Ending.FAILED}
    killed = running.system.primary()
    killed.kill()

    changed = make_configuration(2, with_extra_route=True)
    assert running.operator.put_configuration(changed, 1).status == 200
    assert running.operator.put_configuration(changed, 1).status == 200, "the same order again"
    assert running.operator.put_configuration(make_configuration(3), 1).status == 412
    assert running.system.primary() is not killed
    running.wait_served(EXTRA)
    for kind in KINDS:
        assert running.endings(kind) == {Ending.SERVED}
    assert running.rules_hold()


def test_a_killed_core_keeps_what_was_acknowledged(start):
    running = start(edges=1)
    changed = make_configuration(4, with_extra_route=True)
    assert running.operator.put_configuration(changed, 1).status == 200
    assert running.operator.set_evacuation(Zone.SOUTH_1, evacuated=True).status == 200
    for core in running.system.cores:
        core.kill()
    running.system.restart_cores()

    assert running.operator.get_configuration().body == changed
    assert running.operator.status().control.evacuated_zones == [Zone.SOUTH_1]
    assert running.operator.put_configuration(make_configuration(5), 4).status == 200
    assert running.generation() == 5
    running.wait_served(CARD)
    wait_until(lambda: running.endings(EXTRA) == {Ending.FAILED}, WITHIN_S, "the dropped route is gone")
    assert running.rules_hold()


def test_a_lost_disk_is_filled_again(start):
    running = start(edges=1)
    lost = next(core for core in running.system.cores if core is not running.system.primary())
    lost.kill()
    for path in (running.system.folder / lost.name).iterdir():
        path.unlink()
    changed = make_configuration(2, with_extra_route=True)
    assert running.operator.put_configuration(changed, 1).status == 200
    running.system.restart_cores()
    running.wait_in_sync()
    running.system.primary().kill()
    assert running.operator.get_configuration().body == changed
    running.wait_served(EXTRA)
    assert running.rules_hold()


def test_a_core_machine_is_replaced_by_one_at_another_address(start):
    running = start(edges=1)
    gone = next(core for core in running.system.cores if core is not running.system.primary())
    gone_host = running.system.layout.core_host(running.system.cores.index(gone))
    gone.kill()
    running.system.replace_core(gone)

    def replaced() -> bool:
        epoch = running.system.primary_status().epoch
        hosts = {voter.partition("@")[2] for voter in epoch.voters}
        return len(epoch.in_sync) == 3 and len(hosts) == 3 and gone_host not in hosts

    wait_until(replaced, WITHIN_S, "the new machine votes in place of the old one")
    changed = make_configuration(2, with_extra_route=True)
    running.system.primary().kill()
    assert running.operator.put_configuration(changed, 1).status == 200
    running.wait_served(EXTRA)
    assert running.rules_hold()


def test_a_core_without_any_disk_left_is_set_up_anew(start):
    """The last resort for operators: bootstrap again and put the configuration again."""
    running = start(edges=1)
    for process in running.system.processes:
        process.kill()
    for core in running.system.cores:
        for path in (running.system.folder / core.name).iterdir():
            path.unlink()
    for process in running.system.processes:
        process.start()
    assert running.operator.put_configuration(make_configuration(2, with_extra_route=True), 0).status == 200
    running.wait_served(EXTRA)
    assert running.rules_hold()
