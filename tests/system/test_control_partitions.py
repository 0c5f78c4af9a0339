"""Network partitions of the core for twenty seconds: the answers to operators stay linearizable.

Operators send orders to machines on both sides. The partition is complete, or lets messages pass in one
direction only, or splits the core in half; it isolates the primary or a backup, and happens twice.
"""

from __future__ import annotations

import pytest

from nettledeal.control.replica import Replica
from tests.system.control_rehearsal import Client, World, heal, settled

CUT_S = 20.0
BEGIN_S = 5.0
SETTLE_S = 15.0
WHOLE, OUT_ONLY, IN_ONLY = "whole", "out only", "in only"


def pairs_between(world: World, cut_off: set[str], how: str) -> set[tuple[str, str]]:
    """The directed links to cut in order to isolate some hosts."""
    others = world.machines.keys() - cut_off
    inward = {(host, name) for host in others for name in cut_off}
    outward = {(name, host) for host in others for name in cut_off}
    return {WHOLE: inward | outward, OUT_ONLY: inward, IN_ONLY: outward}[how]


def hosts_to_isolate(world: World, whom: str) -> set[str]:
    leading = [machine.host for machine in world.running() if machine.replica.primary is not None]
    following = [machine.host for machine in world.running() if machine.replica.primary is None]
    if whom == "primary":
        return {leading[0]} if leading else {following[0]}
    if whom == "backup":
        return {following[0]}
    return {*leading[:1], *following[: len(world.machines) // 2 - 1]}


def play(
    seed: int, whom: str, how: str, count: int = 3, tolerated: int = 1, replica_type: type = Replica
) -> list[str]:
    world = World(f"{seed} cut {whom} {how}", count, machines=tolerated, replica_type=replica_type)
    clients = [Client(world, f"c{n}", BEGIN_S + 2 * CUT_S + SETTLE_S) for n in range(4)]
    for began in (BEGIN_S, BEGIN_S + CUT_S):
        world.run(began)
        pairs = pairs_between(world, hosts_to_isolate(world, whom), how)
        world.cuts |= pairs
        world.run(began + CUT_S - 1.0)
        world.reconnect(pairs)
    heal(world)
    world.run(BEGIN_S + 2 * CUT_S + SETTLE_S + 2.0)
    found = settled(world) + world.history.faults()
    if not found and sum(client.answer_count for client in clients) < 20:
        found.append("hardly an order was answered")
    return found


@pytest.mark.parametrize("how", [WHOLE, OUT_ONLY, IN_ONLY])
@pytest.mark.parametrize("whom", ["primary", "backup"])
@pytest.mark.parametrize("seed", range(2))
def test_three_machines(seed, whom, how):
    assert play(seed, whom, how) == []


@pytest.mark.parametrize("how", [WHOLE, OUT_ONLY, IN_ONLY])
@pytest.mark.parametrize("whom", ["primary", "backup", "half"])
def test_six_machines(whom, how):
    assert play(0, whom, how, 6, 2) == []


class ReadsUnconfirmed(Replica):
    """A primary that answers reads without confirmation from the other replicas."""

    def _become_primary(self, now, record, earlier):
        super()._become_primary(now, record, earlier)
        primary = self.primary

        def read(now, call_id):
            self.outbox.answer(call_id, primary._replicated.committed)

        primary.read = read


class RefusesUnconfirmed(Replica):
    """A primary that refuses orders based on its own state without confirmation from the other replicas."""

    def _become_primary(self, now, record, earlier):
        super()._become_primary(now, record, earlier)
        primary = self.primary

        def confirm(now, call_id, outcome):
            self.outbox.answer(call_id, outcome or primary._replicated.committed)

        primary._confirm = confirm


@pytest.mark.parametrize("replica_type", [ReadsUnconfirmed, RefusesUnconfirmed])
def test_a_primary_that_answers_unconfirmed_is_detected(replica_type):
    assert any(play(seed, "primary", WHOLE, replica_type=replica_type) for seed in range(6))
