"""No component acts with a fencing token once it has learned of a higher one.

The fencing token of the control state is the epoch: even under severe faults no replica sends changes,
heartbeats or ranges of an epoch older than the one that it knows. Elsewhere, a replaced reader of the
platform's list stops calling (`test_discovery_catalogue_reader.py`), and an order that was refused for its
version isn't resent unchanged (`test_operator_client.py`).
"""

from __future__ import annotations

import pytest

from nettledeal.control.messages import Append, Heartbeat, Message, Ranges, Reconcile
from nettledeal.control.replica import Replica
from tests.system.control_severe_faults import SHAPES, SevereFaultInjector, SevereFaultWorld, Shape

FENCED = (Append, Heartbeat, Ranges, Reconcile)
LENGTH_S = 25.0


class FencedWorld(SevereFaultWorld):
    """Records messages of a primary whose epoch is lower than the one that their sender knows."""

    def __init__(self, seed: object, shape: Shape, replica_type: type[Replica] = Replica):
        self.stale: list[str] = []
        self.fenced_count = 0
        super().__init__(seed, shape, replica_type)

    def _transmit(self, machine, host: str, message: Message) -> None:
        record = machine.replica.record
        if isinstance(message, FENCED) and record is not None:
            self.fenced_count += 1
            if message.epoch < record.epoch:
                self.stale.append(f"{machine.host} sends {message} in epoch {record.epoch}")
        super()._transmit(machine, host, message)


def stale_messages(seed: int, shape: Shape, replica_type: type[Replica] = Replica) -> list[str]:
    world = FencedWorld(seed, shape, replica_type)
    SevereFaultInjector(world, LENGTH_S)
    world.run(LENGTH_S)
    assert world.fenced_count > 0
    return world.stale


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("seed", range(6))
def test_no_replica_uses_an_epoch_below_the_one_it_knows(seed, shape):
    assert stale_messages(seed, shape) == []


class ContinuesAfterDeposed(Replica):
    """A primary that continues in its epoch after it has learned of a later one."""

    def learn(self, now, record, source_id):
        primary = self.primary
        super().learn(now, record, source_id)
        if self.primary is None:
            self.primary = primary


def test_a_primary_that_continues_after_its_epoch_is_detected():
    assert any(stale_messages(seed, SHAPES["three"], ContinuesAfterDeposed) for seed in range(10))
