"""What happens to a system during a soak: signals, losses, restarts and changes, drawn by a seed."""

from __future__ import annotations

import shutil
from collections.abc import Callable
from contextlib import suppress
from random import Random
from signal import SIGHUP

import gevent
from gevent.lock import BoundedSemaphore

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.operator_api.client import OperatorClient
from nettledeal.operator_api.status import StatusReport
from nettledeal.standins.layout import SEEDS, Zone
from nettledeal.standins.processes import wait_until
from nettledeal.standins.scenario import make_configuration
from nettledeal.standins.soak_system import Machine, SoakSystem, seed_addresses

ORDER_WITHIN_S = 20.0
STATUS_WITHIN_S = 2.0
STOP_WITHIN_S = 12.0
MAX_FREEZE_S = 3.0
MAX_DOWN_S = 2.0
UNREACHABLE_HOST = 250
Event = Callable[[], None]


class SoakEvents:
    """The events of one soak. Of the core machines one at a time is lost, as the tolerance allows."""

    def __init__(self, system: SoakSystem, random: Random, recover_within_s: float):
        self.system, self.random = system, random
        self.recover_within_s = recover_within_s
        self.configuration = b""  # the newest acknowledged
        self._generation = 0
        self._busy: set[Machine] = set()
        self._putting = BoundedSemaphore()

    # Observation

    def operator(self) -> OperatorClient:
        """A client that asks the machines that serve operators now, in random order."""
        addresses = self.system.control_addresses
        return OperatorClient(self.random.sample(addresses, len(addresses)), ORDER_WITHIN_S)

    def status(self, machine: Machine) -> StatusReport | None:
        """A core machine's status page, None if it doesn't answer."""
        try:
            return OperatorClient([machine.control_address], STATUS_WITHIN_S).status()
        except ServingError:
            return None

    def unsettled_cores(self) -> list[str]:
        """The core machines that don't know all core machines that run as voters in sync."""
        running = sorted(machine.settings.ip for machine in self.system.cores)
        return [
            machine.process.name
            for machine in self.system.cores
            if not _knows_all_in_sync(self.status(machine), running)
        ]

    def wait_settled(self) -> None:
        """Wait until all core machines are voters and in sync; raises ServingError (TIMED_OUT)."""
        wait_until(lambda: not self.unsettled_cores(), self.recover_within_s, "all core machines are in sync")

    # Core machines, one at a time

    def core_events(self) -> list[Event]:
        """The events that take a core machine away."""
        return [
            self.kill_core,
            self.stop_core,
            self.freeze_core,
            self.wipe_core,
            self.wipe_core,
            self.replace_dead_core,
            self.replace_dead_core,
            self.replace_stopped_core,
            self.add_core_then_stop,
            self.kill_all_cores,
            self.lose_all_power,
        ]

    def kill_core(self) -> None:
        """Kill a core machine and start it again."""
        self._restart_killed([self._any_core()])

    def kill_all_cores(self) -> None:
        """Kill all core machines at once; their disks are kept."""
        self._restart_killed(self.system.cores)

    def lose_all_power(self) -> None:
        """Kill all processes but those that are being acted on; the core machines come back with their disks
        and with settings that name seeds which are gone."""
        cores = self.system.cores
        for core in cores:
            core.own_seeds = seed_addresses(self._gone_hosts(SEEDS))
        others = [*self.system.edges, *self.system.relays]
        self._act_on_some(others, len(others), lambda free: self._restart_killed([*cores, *free]))
        self.wait_settled()
        for core in cores:
            core.own_seeds = []
            core.write_settings()

    def stop_core(self) -> None:
        """Stop a core machine in order and start it again."""
        self._restart_stopped([self._any_core()])

    def freeze_core(self) -> None:
        """Suspend a core machine for some time."""
        self._freeze([self._any_core()])

    def wipe_core(self) -> None:
        """A core machine loses its disk."""
        core = self._any_core()
        core.process.kill()
        shutil.rmtree(core.settings.data_dir)
        self._pause()
        core.start()

    def replace_dead_core(self) -> None:
        """A core machine is gone for good; another comes later."""
        core = self._any_core()
        core.process.kill()
        self._pause()
        self._replace(core)

    def replace_stopped_core(self) -> None:
        """A core machine is stopped for good, then another comes."""
        core = self._any_core()
        self._stop(core)
        self._replace(core)

    def add_core_then_stop(self) -> None:
        """Another core machine comes, then the earlier one is stopped for good."""
        core = self._any_core()
        successor = self._replace(core)
        wait_until(
            lambda: successor.settings.ip in _in_sync_hosts(self.status(successor)),
            self.recover_within_s,
            "the new core machine is in sync",
        )
        self._stop(core)

    # Everything else, overlapping

    def other_events(self) -> list[Event]:
        """The events that take no core machine away."""
        return [
            self.stop_edge,
            self.stop_edge,
            self.kill_edge,
            self.freeze_edge,
            self.stop_relays,
            self.kill_relays,
            self.hang_up,
            self.exchange_seeds,
            self.exchange_seeds,
            self.lose_seeds,
            self.put_configuration,
            self.put_configuration,
            self.evacuate,
        ]

    def stop_edge(self) -> None:
        """Stop an edge machine in order and start it again."""
        self._act_on_some(self.system.edges, 1, self._restart_stopped)

    def kill_edge(self) -> None:
        """Kill an edge machine and start it again."""
        self._act_on_some(self.system.edges, 1, self._restart_killed)

    def freeze_edge(self) -> None:
        """Suspend an edge machine for some time."""
        self._act_on_some(self.system.edges, 1, self._freeze)

    def stop_relays(self) -> None:
        """Stop one relay or all in order, and start them together."""
        relays = self.system.relays
        self._act_on_some(relays, self._any_number(relays), self._restart_stopped)

    def kill_relays(self) -> None:
        """Kill one relay or all, and start them together."""
        relays = self.system.relays
        self._act_on_some(relays, self._any_number(relays), self._restart_killed)

    def hang_up(self) -> None:
        """Send SIGHUP to some processes, several times."""
        for _ in range(3):
            for machine in self.random.sample(self.system.machines, self._any_number(self.system.machines)):
                self._signal_hang_up(machine)
            gevent.sleep(0.05)

    def exchange_seeds(self) -> None:
        """Name relays, or one core machine and gone ones, as seeds; some processes are told by SIGHUP."""
        relays = [machine.settings.ip for machine in self.system.relays]
        core = self.random.choice(self.system.cores).settings.ip
        cores = [machine.settings.ip for machine in self.system.cores]
        seeds = self.random.choice((relays, [core, *self._gone_hosts(2)], cores, relays[:1]))
        self.system.name_seeds(seeds)
        if self.random.random() < 0.5:
            self.hang_up()

    def lose_seeds(self) -> None:
        """For a while all seeds that the settings name are gone."""
        self.system.name_seeds(self._gone_hosts(3))
        gevent.sleep(1.0 + 3.0 * self.random.random())
        self.exchange_seeds()

    def put_configuration(self) -> None:
        """Put the next configuration, once the one before is acknowledged."""
        with self._putting:
            generation = self._generation + 1
            body = make_configuration(generation, with_extra_route=bool(generation % 2))
            answer = self.operator().put_configuration(body, self._generation)
            if answer.status != 200:
                raise ServingError(ErrorCode.UNAVAILABLE, "put configuration", f"status {answer.status}")
            self.configuration, self._generation = body, generation

    def evacuate(self) -> None:
        """Evacuate a zone and restore it."""
        zone = str(self.random.choice(list(Zone)))
        self.operator().set_evacuation(zone, True)
        gevent.sleep(self.random.random())
        self.operator().set_evacuation(zone, False)

    # Helpers

    def _replace(self, core: Machine) -> Machine:
        """Start a successor. Seeds that name only machines that are gone for good would lead it to nobody."""
        successor = self.system.add_successor(core)
        if not self.system.seeds_lead_somewhere():
            self.system.name_seeds([machine.settings.ip for machine in self.system.relays])
        return successor

    def _any_core(self) -> Machine:
        return self.random.choice(self.system.cores)

    def _any_number(self, machines: list[Machine]) -> int:
        return self.random.choice((1, len(machines)))

    def _gone_hosts(self, count: int) -> list[str]:
        return [self.system.layout.network.host(UNREACHABLE_HOST + number) for number in range(count)]

    def _pause(self) -> None:
        gevent.sleep(MAX_DOWN_S * self.random.random())

    def _act_on_some(self, machines: list[Machine], count: int, act: Callable[[list[Machine]], None]) -> None:
        """Act on some machines to which nothing else is happening, at most `count`."""
        free = [machine for machine in machines if machine not in self._busy]
        chosen = self.random.sample(free, min(count, len(free)))
        self._busy.update(chosen)
        try:
            act(chosen)
        finally:
            self._busy.difference_update(chosen)

    def _restart_killed(self, machines: list[Machine]) -> None:
        for machine in machines:
            machine.disruptions += 1
            machine.process.kill()
        self._pause()
        for machine in machines:
            machine.start()

    def _restart_stopped(self, machines: list[Machine]) -> None:
        gevent.joinall([gevent.spawn(self._stop, machine) for machine in machines], raise_error=True)
        for machine in machines:
            machine.start()

    def _freeze(self, machines: list[Machine]) -> None:
        for machine in machines:
            machine.disruptions += 1
            machine.process.freeze()
        gevent.sleep(MAX_FREEZE_S * self.random.random())
        for machine in machines:
            machine.disruptions += 1
            machine.process.thaw()

    def _stop(self, machine: Machine) -> None:
        """SIGTERM once the process serves; raises ServingError if it doesn't end with status 0."""
        machine.process.wait_for("process:started", self.recover_within_s)
        machine.process.terminate()
        status = machine.process.wait(STOP_WITHIN_S)
        if status != 0:
            raise ServingError(ErrorCode.TIMED_OUT, "stop", f"status {status}", machine.process.name)

    def _signal_hang_up(self, machine: Machine) -> None:
        # Before it serves, the signal would end the process (issue 68).
        with suppress(ServingError):
            machine.process.wait_for("process:started", 0.0)
            machine.process.signal(SIGHUP)


def _knows_all_in_sync(report: StatusReport | None, hosts: list[str]) -> bool:
    """Whether the machine's own replica and replicas at all hosts are in sync, as far as the machine knows.

    Hosts alone don't tell: after the loss of a disk they are those of the replica that went with it.
    """
    return (
        report is not None
        and report.epoch.replica_id in report.epoch.in_sync
        and _in_sync_hosts(report) == hosts
    )


def _in_sync_hosts(report: StatusReport | None) -> list[str]:
    """The hosts of the voters that are in sync; none unless all voters are."""
    if report is None:
        return []
    hosts = dict(voter.split("@") for voter in report.epoch.voters)
    if set(hosts) != set(report.epoch.in_sync):
        return []
    return sorted(hosts.values())
