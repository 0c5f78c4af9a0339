"""The events of a soak that take core machines away, one after the other."""

from __future__ import annotations

import shutil
from collections.abc import Callable

import gevent

from nettledeal.standins.layout import SEEDS
from nettledeal.standins.partitions import Direction
from nettledeal.standins.soak_actions import Event
from nettledeal.standins.soak_parts import SoakEvents
from nettledeal.standins.soak_system import Machine, seed_addresses

# When all lose power: this soon after a change was acknowledged, or after it was sent.
MAX_AFTER_ACKNOWLEDGEMENT_S = 0.02
MAX_AFTER_SENDING_S = 0.4


class CoreEvents(SoakEvents):
    """Of the core machines one at a time is lost, or all with their disks kept, as the tolerance allows."""

    def choices(self) -> list[Event]:
        """The events that take a core machine away."""
        return [
            self.kill_core,
            self.stop_core,
            self.freeze_core,
            self.cut_core,
            self.lose_power_of_core,
            self.wipe_core,
            self.wipe_core,
            self.replace_dead_core,
            self.replace_dead_core,
            self.replace_stopped_core,
            self.add_core_then_stop,
            self.kill_all_cores,
            self.lose_all_power,
            self.lose_disk_and_power,
            self.lose_disk_and_power,
        ]

    def kill_core(self) -> None:
        """Kill a core machine and start it again."""
        self._actions.restart_killed([self._any_core()])

    def lose_power_of_core(self) -> None:
        """A core machine loses power: nobody is told that its connections have ended; it keeps its disk."""
        core = self._any_core()
        with self._actions.partitions.between([core], self._system.machines, Direction.BOTH):
            self._actions.kill([core])
            self._actions.pause()
        self._actions.start([core])

    def cut_core(self) -> None:
        """Cut a core machine off from the other core machines, or from all machines."""
        core = self._any_core()
        others = self._random.choice((self._system.cores, self._system.machines))
        self._actions.cut([core], [machine for machine in others if machine is not core])

    def kill_all_cores(self) -> None:
        """Kill all core machines at once; their disks are kept."""
        with self._system.contact.core_majority.during():
            self._actions.restart_killed(list(self._system.cores))

    def lose_all_power(self) -> None:
        """Kill all processes but those that are being acted on; the core machines come back with their disks
        and with settings that name seeds which are gone."""
        cores = self._system.cores
        for core in cores:
            core.own_seeds = seed_addresses(self._system.gone_hosts(SEEDS))
        others = [*self._system.edges, *self._system.relays]
        with self._system.contact.core_majority.during():
            self._actions.act_on_some(
                others, len(others), lambda free: self._actions.restart_killed([*cores, *free])
            )
        self._observer.wait_settled()
        for core in cores:
            core.own_seeds = []
            core.write_settings()

    def lose_disk_and_power(self) -> None:
        """A core machine loses its disk at the moment at which all other machines lose power.

        A change has just been acknowledged then, or is under way; another core machine may have lost its
        disk, or been replaced, as long before as it takes to catch up.
        """
        self._random.choice(self._events_before())()
        gevent.sleep(self._system.layout.bounds.catch_up_s)
        others = [*self._system.edges, *self._system.relays]
        with self._actions.reserve(others), self._system.contact.core_majority.during():
            putting = self._put_until_due()
            machines = [*self._system.cores, *others]
            self._actions.kill(machines)
            shutil.rmtree(self._any_core().settings.data_dir)
            self._actions.pause()
            self._actions.start_apart(machines)
        gevent.joinall([putting], raise_error=True)

    def _events_before(self) -> list[Callable[[], None]]:
        return [
            lambda: None,
            self.kill_core,
            self.cut_core,
            self.wipe_core,
            self.wipe_core,
            self.replace_dead_core,
            self.replace_stopped_core,
            self.add_core_then_stop,
        ]

    def _put_until_due(self) -> gevent.Greenlet:
        """Put a configuration; returns once the power is to be lost."""
        putting = gevent.spawn(self._operator.put)
        if self._random.random() < 0.5:
            gevent.sleep(MAX_AFTER_SENDING_S * self._random.random())
        else:
            putting.join()
            gevent.sleep(MAX_AFTER_ACKNOWLEDGEMENT_S * self._random.random())
        return putting

    def stop_core(self) -> None:
        """Stop a core machine in order and start it again."""
        self._actions.restart_stopped([self._any_core()])

    def freeze_core(self) -> None:
        """Suspend a core machine for some time."""
        self._actions.freeze([self._any_core()])

    def wipe_core(self) -> None:
        """A core machine loses its disk."""
        core = self._any_core()
        self._actions.kill([core])
        shutil.rmtree(core.settings.data_dir)
        self._actions.pause()
        self._actions.start([core])

    def replace_dead_core(self) -> None:
        """A core machine is gone for good; another comes later."""
        core = self._any_core()
        self._actions.kill([core])
        self._actions.pause()
        self._replace(core)
        core.end_trouble()

    def replace_stopped_core(self) -> None:
        """A core machine is stopped for good, then another comes."""
        core = self._any_core()
        self._actions.stop(core)
        self._replace(core)
        core.end_trouble()

    def add_core_then_stop(self) -> None:
        """Another core machine comes, then the earlier one is stopped for good."""
        core = self._any_core()
        successor = self._replace(core)
        self._observer.wait_in_sync(successor)
        self._actions.stop(core)
        core.end_trouble()

    def _replace(self, core: Machine) -> Machine:
        """Start a successor. Seeds that name only machines that are gone for good would lead it to nobody."""
        successor = self._system.add_successor(core)
        with self._system.contact.core.during():
            successor.start()
        if not self._system.seeds_lead_somewhere():
            self._system.name_seeds([machine.settings.ip for machine in self._system.relays])
        return successor

    def _any_core(self) -> Machine:
        return self._random.choice(self._system.cores)
