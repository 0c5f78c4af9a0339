"""How processes of core machines find one another after losses, on loopback."""

from __future__ import annotations

import pytest

from nettledeal.common.errors import ServingError
from nettledeal.common.settings import Bounds
from nettledeal.operator_api.client import OperatorClient
from nettledeal.operator_api.status import StatusReport
from nettledeal.standins.layout import Network
from nettledeal.standins.processes import wait_until
from nettledeal.standins.soak_system import Machine, SoakSystem

BOUNDS = Bounds()
START_WITHIN_S = 60.0
CONTACT_S = BOUNDS.contact_ms / 1000
STATUS_WITHIN_S = 2.0


@pytest.fixture
def system(tmp_path):
    """Three core machines, in sync and members of one group."""
    system = SoakSystem(tmp_path, Network.of_this_process(), 0, 0, BOUNDS)
    try:
        system.start()
        wait_until(lambda: all_know_each_other(system), START_WITHIN_S, "the core machines have met")
        yield system
    finally:
        system.stop()


def status(machine: Machine) -> StatusReport | None:
    try:
        return OperatorClient([machine.control_address], STATUS_WITHIN_S).status()
    except ServingError:
        return None


def all_know_each_other(system: SoakSystem) -> bool:
    reports = [status(machine) for machine in system.cores]
    return all(
        report is not None and len(report.epoch.in_sync) == len(report.members) == len(system.cores)
        for report in reports
    )


def test_core_machines_that_all_restart_meet_as_members_though_their_seeds_are_gone(system):
    # Guards against replicas that find one another by the record on their disks, while membership, and the
    # directory that goes by it, knows the own process alone for good.
    system.name_seeds(["127.0.0.9"])
    for machine in system.cores:
        machine.process.kill()
    for machine in system.cores:
        machine.start()
    within_s = BOUNDS.recovery_s + 2 * CONTACT_S
    wait_until(lambda: all_know_each_other(system), within_s, "the core machines have met again")
