"""The events of a soak that take core machines away, one after the other."""

from __future__ import annotations

import shutil
from random import Random

from nettledeal.standins.layout import SEEDS
from nettledeal.standins.soak_actions import Event, MachineActions
from nettledeal.standins.soak_observer import SoakObserver
from nettledeal.standins.soak_system import Machine, SoakSystem, seed_addresses


class CoreEvents:
    """Of the core machines one at a time is lost, or all with their disks kept, as the tolerance allows."""

    def __init__(self, system: SoakSystem, random: Random, actions: MachineActions, observer: SoakObserver):
        self._system, self._random = system, random
        self._actions, self._observer = actions, observer

    def choices(self) -> list[Event]:
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
        self._actions.restart_killed([self._any_core()])

    def kill_all_cores(self) -> None:
        """Kill all core machines at once; their disks are kept."""
        self._actions.restart_killed(self._system.cores)

    def lose_all_power(self) -> None:
        """Kill all processes but those that are being acted on; the core machines come back with their disks
        and with settings that name seeds which are gone."""
        cores = self._system.cores
        for core in cores:
            core.own_seeds = seed_addresses(self._system.gone_hosts(SEEDS))
        others = [*self._system.edges, *self._system.relays]
        self._actions.act_on_some(
            others, len(others), lambda free: self._actions.restart_killed([*cores, *free])
        )
        self._observer.wait_settled()
        for core in cores:
            core.own_seeds = []
            core.write_settings()

    def stop_core(self) -> None:
        """Stop a core machine in order and start it again."""
        self._actions.restart_stopped([self._any_core()])

    def freeze_core(self) -> None:
        """Suspend a core machine for some time."""
        self._actions.freeze([self._any_core()])

    def wipe_core(self) -> None:
        """A core machine loses its disk."""
        core = self._any_core()
        core.process.kill()
        shutil.rmtree(core.settings.data_dir)
        self._actions.pause()
        core.start()

    def replace_dead_core(self) -> None:
        """A core machine is gone for good; another comes later."""
        core = self._any_core()
        core.process.kill()
        self._actions.pause()
        self._replace(core)

    def replace_stopped_core(self) -> None:
        """A core machine is stopped for good, then another comes."""
        core = self._any_core()
        self._actions.stop(core)
        self._replace(core)

    def add_core_then_stop(self) -> None:
        """Another core machine comes, then the earlier one is stopped for good."""
        core = self._any_core()
        successor = self._replace(core)
        self._observer.wait_in_sync(successor)
        self._actions.stop(core)

    def _replace(self, core: Machine) -> Machine:
        """Start a successor. Seeds that name only machines that are gone for good would lead it to nobody."""
        successor = self._system.add_successor(core)
        if not self._system.seeds_lead_somewhere():
            self._system.name_seeds([machine.settings.ip for machine in self._system.relays])
        return successor

    def _any_core(self) -> Machine:
        return self._random.choice(self._system.cores)
