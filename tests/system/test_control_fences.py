"""Who was told of a higher fence does not call or order again with the one that it has.

The fence of the control state is the epoch. On the worst days no replica sends changes, heartbeats or ranges
of an epoch older than the one that it knows; of two readers of the platform's list the one that was replaced
calls no more (`test_discovery_reader.py`), and an order that was refused for its version is not sent again
unchanged (`test_operator_client.py`).
"""

from __future__ import annotations

import pytest

from nettledeal.control.messages import Append, Heartbeat, Message, Ranges, Reconcile
from nettledeal.control.replica import Replica
from tests.system.control_worst_days import SHAPES, Shape, WorstDay, WorstFaults

FENCED = (Append, Heartbeat, Ranges, Reconcile)
LENGTH_S = 25.0


class FencedDay(WorstDay):
    """Counts messages of a primary with a fence below the one that its sender knows."""

    def __init__(self, seed: object, shape: Shape, replica_type: type[Replica] = Replica):
        self.stale: list[str] = []
        self.fenced = 0
        super().__init__(seed, shape, replica_type)

    def _transmit(self, machine, host: str, message: Message) -> None:
        record = machine.replica.record
        if isinstance(message, FENCED) and record is not None:
            self.fenced += 1
            if message.epoch < record.epoch:
                self.stale.append(f"{machine.host} sends {message} in epoch {record.epoch}")
        super()._transmit(machine, host, message)


def stale_messages(seed: int, shape: Shape, replica_type: type[Replica] = Replica) -> list[str]:
    day = FencedDay(seed, shape, replica_type)
    WorstFaults(day, LENGTH_S)
    day.run(LENGTH_S)
    assert day.fenced > 0
    return day.stale


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("seed", range(6))
def test_no_replica_uses_a_fence_below_the_one_it_knows(seed, shape):
    assert stale_messages(seed, shape) == []


class GoesOnDeposed(Replica):
    """A primary that goes on in its epoch once it has learned of a later one."""

    def learn(self, now, record, source_id):
        primary = self.primary
        super().learn(now, record, source_id)
        if self.primary is None:
            self.primary = primary


def test_a_primary_that_goes_on_after_its_epoch_is_caught():
    assert any(stale_messages(seed, SHAPES["three"], GoesOnDeposed) for seed in range(10))
