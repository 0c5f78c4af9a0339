"""How long orders wait for an acknowledgement when core machines fail, in simulated time.

The bounds follow from the protocol's timing: silence is detected after `silence_s`, then come the candidates'
staggered turns and a ballot. No bound allows a second silence, the cost of a dead replica counted as live.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from nettledeal.control.state import Outcome, PutConfiguration
from nettledeal.control.timing import Timing
from tests.system.control_rehearsal import Machine, World

SEEDS = range(12)
CALM_S = 6.0
ATTEMPT_S = 0.05
LIMIT_S = 20.0
AGREEMENT_S = 0.5  # ballots, reconciliation and commit on links of up to 25 ms and disks of up to 8 ms
ONE_SILENCE_S = Timing().silence_s + 2 * Timing().election_stagger_s + AGREEMENT_S
HANDOVER_S = 0.5


class Operator:
    """Sends one order to whichever machine considers itself the primary, until it is acknowledged."""

    def __init__(self, world: World):
        self.world = world
        self.order = PutConfiguration(0, 1, b"order", b"order")
        self.acknowledged_at: float | None = None

    def wait(self, since: float) -> float:
        """Seconds from `since` to the acknowledgement."""
        self._attempt()
        while self.acknowledged_at is None and self.world.now < since + LIMIT_S:
            self.world.run(self.world.now + ATTEMPT_S / 5)
        assert self.acknowledged_at is not None, "never acknowledged"
        return self.acknowledged_at - since

    def _attempt(self) -> None:
        if self.acknowledged_at is not None:
            return
        for machine in leading(self.world):
            self.world.submit(machine, self.order, self._on_answer)
        self.world.at(self.world.now + ATTEMPT_S, self._attempt)

    def _on_answer(self, result: object) -> None:
        if result is Outcome.ACCEPTED and self.acknowledged_at is None:
            self.acknowledged_at = self.world.now


def leading(world: World) -> list[Machine]:
    return [machine for machine in world.running() if machine.replica.primary is not None]


def calm_world(seed: int, count: int) -> World:
    world = World(f"{seed} failover", count, machines=(count - 1) // 2)
    world.run(CALM_S)
    return world


def backups(world: World) -> list[Machine]:
    primary = leading(world)[0]
    return [machine for machine in world.running() if machine is not primary]


def primary_dies(world: World) -> None:
    world.crash(leading(world)[0])


def backup_dies(world: World) -> None:
    world.crash(backups(world)[0])


def primary_dies_as_a_replica_is_back(world: World) -> None:
    """Only the primary and one backup are in sync: the dead primary must leave at once."""
    away = backups(world)[0]
    world.crash(away)
    world.run(world.now + 4.0)
    world.crash(leading(world)[0])
    world.start(away)


def primary_dies_while_it_takes_a_replica_in(world: World) -> None:
    """Another replica may complete the dead primary's proposal, which must not count as hearing from it."""
    away = backups(world)[0]
    world.crash(away)
    world.run(world.now + 4.0)
    world.start(away)
    world.run(world.now + 0.12)
    world.crash(leading(world)[0])


def primary_cannot_send(world: World) -> None:
    primary = leading(world)[0].host
    world.cuts |= {(primary, host) for host in world.machines if host != primary}


def backup_disk_hangs(world: World) -> None:
    backup = backups(world)[0]
    backup.disk.hanging_until = world.now + LIMIT_S
    world.at(world.now + 0.9, world.set_storage, backup, backup.incarnation, False)


def primary_leaves(world: World) -> None:
    primary = leading(world)[0]
    primary.replica.leave(world.now)
    world.run_effects(primary)


FAILURES = [
    (primary_dies, ONE_SILENCE_S),
    (backup_dies, ONE_SILENCE_S),
    (primary_dies_as_a_replica_is_back, ONE_SILENCE_S),
    (primary_dies_while_it_takes_a_replica_in, ONE_SILENCE_S),
    (primary_cannot_send, ONE_SILENCE_S),
    (backup_disk_hangs, ONE_SILENCE_S),
    (primary_leaves, HANDOVER_S),
]


def longest_wait(inject_fault: Callable[[World], None], count: int) -> float:
    waits = []
    for seed in SEEDS:
        world = calm_world(seed, count)
        inject_fault(world)
        waits.append(Operator(world).wait(world.now))
        assert world.violations == []
    return max(waits)


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize(
    ("inject_fault", "bound_s"), FAILURES, ids=[inject_fault.__name__ for inject_fault, _ in FAILURES]
)
def test_an_order_is_acknowledged_within_one_silence(inject_fault, bound_s, count):
    assert longest_wait(inject_fault, count) < bound_s


def restarted(world: World) -> Machine:
    """The primary that acts first after all machines were killed and started at the same moment."""
    machines = world.running()
    for machine in machines:
        world.crash(machine)
    for machine in machines:
        world.start(machine)
    while not any(machine.replica.primary.acting for machine in leading(world)):
        world.run(world.now + 0.001)
        assert world.now < CALM_S + LIMIT_S
    return next(machine for machine in leading(world) if machine.replica.primary.acting)


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_the_acting_primary_may_read_the_list_at_once_after_all_were_killed(seed, count):
    primary = restarted(calm_world(seed, count)).replica
    assert primary.is_reader
