"""Replicas that have to find one another: connections exist only to hosts that a replica looked up.

Every machine has seeds of its own, which may run no replica, be gone, or name one other machine, and a
membership view that comes late, is stale, or never comes. A connection opens if both directions work, begins
with a Hello, and ends with either process or with a cut that lasts.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from nettledeal.control.contacts import find_contacts
from nettledeal.control.messages import Hello, Message
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

REVIEW_S = 1.0
RECONNECT_S = 0.1
BREAK_AFTER_S = 1.5
RELAY = "relay"
GONE = "gone"


@dataclass
class Lookups:
    """What one process has been told of others, and its open connections with the peer's incarnation."""

    seeds: frozenset[str]
    membership_from: float = float("inf")
    members: frozenset[str] = frozenset()
    wanted: frozenset[str] = frozenset()
    connections: dict[str, int] = field(default_factory=dict)


class LookupWorld(World):
    """`World` without the links that it gives every replica to every other."""

    def __init__(
        self,
        seed: object,
        replica_type: Callable[..., Replica] = Replica,
        with_effects_only: bool = False,
        count: int = 3,
    ):
        self.lookups: dict[str, Lookups] = {}
        self.lookup_random = Random(f"{seed} lookups")
        # Planted fault: contacts are looked up only after inputs that had effects.
        self.with_effects_only = with_effects_only
        super().__init__(seed, count, machines=(count - 1) // 2, replica_type=replica_type)

    # What a process is told

    def draw_lookups(self, machine: Machine, incarnation: int) -> Lookups:
        """Seeds and membership of a process that starts now; one of them leads to the others at some time."""
        random = self.lookup_random
        others = [other.host for other in self.running() if other is not machine]
        if incarnation == 1 and machine.host in self.seeds:
            return Lookups(frozenset(self.seeds), self.now + 0.5)
        mode = random.randrange(4)
        if mode == 0 and others:
            return Lookups(frozenset({random.choice(others)}))
        if mode == 1:
            self.at(self.now + 1.0 + 4.0 * random.random(), self._name_seed, machine, incarnation)
            return Lookups(frozenset({GONE}))
        return Lookups(frozenset({RELAY, GONE}), self.now + 0.05 + 3.0 * random.random())

    def _name_seed(self, machine: Machine, incarnation: int) -> None:
        """The settings file names one running machine as the only seed, a backup if there is one."""
        others = [
            other.host for other in self.running() if other is not machine and not other.replica.primary
        ]
        if machine.replica is not None and machine.incarnation == incarnation and others:
            self.lookups[machine.host].seeds = frozenset({self.lookup_random.choice(others)})

    def name_seeds(self) -> None:
        """The settings files of all machines name a running machine."""
        for machine in self.running():
            self._name_seed(machine, machine.incarnation)

    def start(self, machine: Machine) -> None:
        if machine.replica is None and not machine.removed:
            self.lookups[machine.host] = self.draw_lookups(machine, machine.incarnation + 1)
        super().start(machine)

    # Connections

    def _open_connections(self, machine: Machine, incarnation: int) -> None:
        if machine.replica is None or machine.incarnation != incarnation:
            return
        lookups = self.lookups[machine.host]
        if self.now >= lookups.membership_from and self.lookup_random.random() < 0.5:
            lookups.members = frozenset(other.host for other in self.running())
        if not machine.paused and not self.with_effects_only:
            self.review_contacts(machine)
        self.at(self.now + REVIEW_S, self._open_connections, machine, incarnation)

    def review_contacts(self, machine: Machine) -> None:
        """Look up the hosts that a replica needs connections to, as its node does."""
        lookups, replica = self.lookups[machine.host], machine.replica
        contacts = find_contacts(replica, self.clock(machine), lookups.seeds, lambda: lookups.members)
        replica.contact_hosts = contacts.hosts
        added, lookups.wanted = contacts.hosts - lookups.wanted, contacts.hosts
        for host in lookups.connections.keys() - contacts.hosts:
            del lookups.connections[host]
        for host in sorted(added - {machine.host}):
            self._connect(machine, machine.incarnation, host)

    def _connect(self, machine: Machine, incarnation: int, host: str) -> None:
        lookups, other = self.lookups[machine.host], self.machines.get(host)
        if machine.replica is None or machine.incarnation != incarnation or host in lookups.connections:
            return
        if host not in lookups.wanted:
            return
        blocked = {(machine.host, host), (host, machine.host)} & self.cuts
        if machine.paused or other is None or other.replica is None or other.paused or blocked:
            self.at(self.now + 4 * RECONNECT_S, self._connect, machine, incarnation, host)
            return
        lookups.connections[host] = other.incarnation
        self._transmit(machine, host, Hello(machine.replica.info, machine.replica.record))

    def _disconnect(self, machine: Machine, incarnation: int, host: str) -> None:
        lookups = self.lookups[machine.host]
        if machine.incarnation == incarnation and lookups.connections.pop(host, None) is not None:
            self.at(self.now + RECONNECT_S, self._connect, machine, incarnation, host)

    def _transmit(self, machine: Machine, host: str, message: Message) -> None:
        if host != machine.host:
            peer = self.lookups[machine.host].connections.get(host)
            if peer is None:
                return
            other = self.machines[host]
            if other.replica is None or other.incarnation != peer:
                self._disconnect(machine, machine.incarnation, host)
                return
            if (machine.host, host) in self.cuts:
                # Not delivered; the sender finds out once its time-out has passed.
                self.at(self.now + BREAK_AFTER_S, self._disconnect, machine, machine.incarnation, host)
                return
        super()._transmit(machine, host, message)

    def run_effects(self, machine: Machine) -> None:
        had_effects = bool(machine.replica.outbox._effects)
        super().run_effects(machine)
        if machine.host in self.lookups and (had_effects or not self.with_effects_only):
            self.review_contacts(machine)


class PrimaryClient(Client):
    """A client that asks primaries only: its calls give the other replicas no occasion to look anybody up."""

    def _machine(self) -> Machine | None:
        leading = [machine for machine in self.world.running() if machine.replica.primary is not None]
        return self.random.choice(leading) if leading else None


class LookupFaults(FaultInjector):
    """Faults after which replicas have to find one another anew."""

    def faults(self) -> tuple[Callable[[], None], ...]:
        return (
            self._kill_some,
            self._kill_all,
            self._cut_both_ways,
            self._cut_one_way,
            self._degrade_network,
            self._wipe_disks,
            self._wipe_disks_with_power_loss,
            self._replace_machine,
            self._replace_machine,
            self._leave_and_restart,
            self.world.name_seeds,
        )


def run_lookup_schedule(
    seed: object,
    replica_type: Callable[..., Replica] = Replica,
    with_effects_only: bool = False,
    count: int = 3,
    length_s: float = 20.0,
) -> list[str]:
    """Play the schedule of a seed; returns the violations, and what doesn't hold after the faults."""
    world = LookupWorld(seed, replica_type, with_effects_only, count)
    for number in range(2):
        PrimaryClient(world, f"c{number}", length_s + SETTLE_S / 2)
    LookupFaults(world, length_s)
    world.run(length_s)
    if world.violations or world.history.faults():
        return world.violations + world.history.faults()
    for delay_s in (0.0, 5.5):
        world.at(length_s + delay_s, heal, world)
        world.at(length_s + delay_s + 0.5, world.name_seeds)
    world.run(length_s + SETTLE_S)
    return settled(world) + world.history.faults()


def found_in(seeds: range, **options: object) -> dict[int, list[str]]:
    """What the schedules of some seeds find, by seed."""
    found = {seed: run_lookup_schedule(seed, **options) for seed in seeds}
    return {seed: violations for seed, violations in found.items() if violations}


def main() -> int:
    """`python -m tests.system.control_lookups FIRST COUNT [MACHINES]`: schedules of many seeds."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    found = found_in(range(first, first + count), count=int(sys.argv[3]) if len(sys.argv) > 3 else 3)
    for seed, violations in found.items():
        print(seed, violations[:3], flush=True)
    print(f"{count} schedules with lookups, {len(found)} with something broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
