"""A core machine's successor on real processes: it has to have joined when the next loss comes."""

from __future__ import annotations

import shutil
from random import Random

import gevent
import pytest

from nettledeal.common.settings import Bounds
from nettledeal.operator_api.client import OperatorClient
from nettledeal.standins.layout import Network
from nettledeal.standins.processes import wait_until
from nettledeal.standins.scenario import make_configuration
from nettledeal.standins.soak_actions import MachineActions
from nettledeal.standins.soak_observer import SoakObserver
from nettledeal.standins.soak_operator import SoakOperator
from nettledeal.standins.soak_system import SoakSystem

BOUNDS = Bounds()
RECOVER_WITHIN_S = BOUNDS.recovery_s + 2 * BOUNDS.contact_ms / 1000
START_WITHIN_S = 60.0
SEEDS_DOWN_S = 0.6


@pytest.fixture
def system(tmp_path):
    system = SoakSystem(tmp_path, Network.of_this_process(), 3, 3, BOUNDS)
    try:
        system.start()
        yield system
    finally:
        system.stop()


def put(system: SoakSystem, generation: int) -> bytes:
    body = make_configuration(generation)
    answer = OperatorClient(system.control_addresses, START_WITHIN_S).put_configuration(body, generation - 1)
    assert answer.status == 200
    return body


def replace_core_while_its_seeds_restart(system: SoakSystem, actions: MachineActions) -> None:
    """Leaves the successor the time that a machine has to catch up."""
    gone = system.cores[-1]
    actions.stop(gone)
    gevent.joinall([gevent.spawn(actions.stop, relay) for relay in system.relays], raise_error=True)
    successor = system.add_successor(gone)
    successor.start()
    gevent.sleep(SEEDS_DOWN_S)
    actions.start(system.relays)
    gevent.sleep(BOUNDS.catch_up_s - SEEDS_DOWN_S)


@pytest.mark.parametrize("lost", [0, 1])
def test_a_configuration_outlives_a_disk_and_all_power_lost_once_a_successor_has_caught_up(system, lost):
    actions = MachineActions(Random(lost), START_WITHIN_S)
    observer = SoakObserver(system, Random(lost), START_WITHIN_S)
    operator = SoakOperator(lambda: system.control_addresses, Random(lost))
    observer.wait_settled()
    put(system, 1)
    system.name_seeds([relay.settings.ip for relay in system.relays])
    replace_core_while_its_seeds_restart(system, actions)
    newest = put(system, 2)
    actions.kill(system.machines)
    shutil.rmtree(system.cores[lost].settings.data_dir)
    actions.start(system.machines)
    wait_until(
        lambda: any(operator.read_at(address) == newest for address in system.control_addresses),
        RECOVER_WITHIN_S,
        "the configuration is read back",
    )
