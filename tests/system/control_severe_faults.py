"""Schedules with more severe faults than those of `control_rehearsal`.

Adds network cuts of 20 s; full disks on some or all machines; lost answers to operators; monotonic clocks
that differ and jump ahead (never back, whatever the wall clock does); and machines that also serve traffic
and exhaust their CPU quota again and again. The orders of all operators are checked as one history.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from nettledeal.control.replica import Replica
from tests.system.control_rehearsal import (
    SETTLE_S,
    Client,
    FaultInjector,
    Machine,
    World,
    heal,
    settled,
)

LENGTH_S = 20.0
LONG_CUT_S = 20.0
LONG_CUT_PROBABILITY = 0.35
# A full disk refuses every write immediately; the process notices at its next check of the disk.
FULL_DISK_NOTICED_AFTER_S = 0.25
ANSWER_LOSS_PROBABILITY = 0.1
MAX_CLOCK_OFFSET_S = 100_000.0
MAX_CLOCK_JUMP_S = 5.0
QUOTA_PERIOD_S = 0.1
SECOND_HEAL_AFTER_S = 5.5
STEP_S = 1.0


@dataclass(frozen=True)
class Shape:
    """Number of machines, how many may be lost at once, and whether they also serve traffic."""

    machines: int
    tolerated_losses: int
    serves_traffic: bool = False


SHAPES = {
    "three": Shape(3, 1),
    "six": Shape(6, 2),
    "six-serving": Shape(6, 2, serves_traffic=True),
}


class SevereFaultWorld(World):
    """A world whose machines have their own clocks, lose some answers and may have a CPU quota."""

    def __init__(self, seed: object, shape: Shape, replica_type: Callable[..., Replica] = Replica):
        self.shape = shape
        self.quotas: dict[str, float] = {}
        super().__init__(
            f"{seed} worst", shape.machines, machines=shape.tolerated_losses, replica_type=replica_type
        )

    def add(self, host: str, zone: str, bootstrap: bool = False) -> Machine:
        machine = super().add(host, zone, bootstrap)
        machine.clock_offset_s = self.random.random() * MAX_CLOCK_OFFSET_S
        return machine

    def _stalled_for_s(self, machine: Machine) -> float:
        """How long a machine with an exhausted quota is stalled from now on."""
        quota = self.quotas.get(machine.host)
        if quota is None:
            return 0.0
        phase = (self.now + machine.clock_offset_s) % QUOTA_PERIOD_S
        return 0.0 if phase < quota * QUOTA_PERIOD_S else QUOTA_PERIOD_S - phase

    def _on_arrival(self, host, sender, message, incarnation) -> None:
        machine = self.machines.get(host)
        stalled_for_s = 0.0 if machine is None else self._stalled_for_s(machine)
        if stalled_for_s:
            self.at(self.now + stalled_for_s, super()._on_arrival, host, sender, message, incarnation)
        else:
            super()._on_arrival(host, sender, message, incarnation)

    def _on_timer(self, machine, incarnation, due) -> None:
        stalled_for_s = self._stalled_for_s(machine)
        if stalled_for_s:
            self.at(self.now + stalled_for_s, super()._on_timer, machine, incarnation, due)
        else:
            super()._on_timer(machine, incarnation, due)

    def _call(self, machine, on_done, start_call) -> None:
        lost = self.random.random() < ANSWER_LOSS_PROBABILITY
        super()._call(machine, (lambda result: None) if lost else on_done, start_call)


class SevereFaultInjector(FaultInjector):
    """The faults of `FaultInjector` plus the more severe ones."""

    def __init__(self, world: SevereFaultWorld, until: float):
        super().__init__(world, until)
        if self.random.random() < LONG_CUT_PROBABILITY:
            world.at(1.0 + 2.0 * self.random.random(), self._long_cut)
        if world.shape.serves_traffic:
            for machine in world.machines.values():
                world.quotas[machine.host] = 0.5 + 0.5 * self.random.random()

    def faults(self) -> tuple[Callable[[], None], ...]:
        more = (self._fill_some_disks, self._fill_all_disks, self._jump_clocks)
        if self.world.shape.serves_traffic:
            more = (*more, self._exhaust_quotas, self._exhaust_quotas)
        return (*super().faults(), *more)

    def _long_cut(self) -> None:
        some = {machine.host for machine in self._random_machines()}
        others = self.world.machines.keys() - some
        outward = {(a, b) for a in some for b in others}
        inward = {(b, a) for a, b in outward}
        pairs = self.random.choice((outward | inward, outward, inward))
        self.world.cuts |= pairs
        self.world.at(self.world.now + LONG_CUT_S, self.world.reconnect, pairs)

    def _fill_some_disks(self) -> None:
        for machine in self._random_machines():
            self._stall_disk(machine, self._fault_duration_s(), FULL_DISK_NOTICED_AFTER_S)

    def _fill_all_disks(self) -> None:
        for machine in self.world.machines.values():
            self._stall_disk(machine, self._fault_duration_s(), FULL_DISK_NOTICED_AFTER_S)

    def _jump_clocks(self) -> None:
        for machine in self._random_machines():
            machine.clock_offset_s += self.random.random() * MAX_CLOCK_JUMP_S

    def _exhaust_quotas(self) -> None:
        for machine in self._random_machines():
            previous = self.world.quotas.get(machine.host, 1.0)
            self.world.quotas[machine.host] = 0.05 + 0.3 * self.random.random()
            self.world.at(self.world.now + self._fault_duration_s(), self._set_quota, machine, previous)

    def _set_quota(self, machine: Machine, quota: float) -> None:
        self.world.quotas[machine.host] = quota


def run_severe_schedule(
    seed: object, shape: Shape, replica_type: Callable[..., Replica] = Replica
) -> list[str]:
    """Play the schedule of a seed; returns the violations.

    After the faults everything has to be settled within `SETTLE_S`; the run ends as soon as it is.
    """
    world = SevereFaultWorld(seed, shape, replica_type)
    clients = [Client(world, f"c{number}", LENGTH_S + LONG_CUT_S + SETTLE_S) for number in range(3)]
    SevereFaultInjector(world, LENGTH_S)
    world.run(LENGTH_S)
    if world.violations or world.history.faults():
        return world.violations + world.history.faults()
    before = sum(client.answer_count for client in clients)
    world.at(LENGTH_S, _heal_all, world)
    world.at(LENGTH_S + SECOND_HEAL_AFTER_S, _heal_all, world)
    world.run(LENGTH_S + SECOND_HEAL_AFTER_S + STEP_S)
    while (found := _unfinished(world, clients, before)) and world.now < LENGTH_S + SETTLE_S:
        if world.violations:
            break
        world.run(world.now + STEP_S)
    return found + world.history.faults()


def _heal_all(world: SevereFaultWorld) -> None:
    world.quotas.clear()
    heal(world)


def _unfinished(world: SevereFaultWorld, clients: list[Client], before: int) -> list[str]:
    found = settled(world)
    if not found and sum(client.answer_count for client in clients) == before:
        found.append("no order was answered after the faults ended")
    return found
