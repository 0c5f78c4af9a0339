"""The events of a soak that take no core machine away, and may overlap: signals, restarts and changes."""

from __future__ import annotations

import gevent

from nettledeal.standins.layout import Zone
from nettledeal.standins.soak_actions import Event
from nettledeal.standins.soak_parts import SoakEvents
from nettledeal.standins.soak_system import Machine


class OverlappingEvents(SoakEvents):
    """Events of edge machines, relays, seeds and the operator."""

    def choices(self) -> list[Event]:
        """The events that take no core machine away, without those of the configuration."""
        return [
            self.stop_edge,
            self.stop_edge,
            self.kill_edge,
            self.freeze_edge,
            self.cut_edge,
            self.stop_relays,
            self.kill_relays,
            self.hang_up,
            self.exchange_seeds,
            self.exchange_seeds,
            self.lose_seeds,
            self.evacuate,
        ]

    def configuration_choices(self) -> list[Event]:
        """The changes of the configuration, proper and improper ones, and reads of it."""
        operator = self._operator
        return [
            operator.put,
            operator.put,
            operator.put,
            operator.put_with_lost_answers,
            operator.resend_newest,
            operator.race,
            operator.put_invalid,
            operator.put_earlier_again,
            operator.read,
        ]

    def stop_edge(self) -> None:
        """Stop an edge machine in order and start it again."""
        self._actions.act_on_some(self._system.edges, 1, self._actions.restart_stopped)

    def kill_edge(self) -> None:
        """Kill an edge machine and start it again."""
        self._actions.act_on_some(self._system.edges, 1, self._actions.restart_killed)

    def freeze_edge(self) -> None:
        """Suspend an edge machine for some time."""
        self._actions.act_on_some(self._system.edges, 1, self._actions.freeze)

    def cut_edge(self) -> None:
        """Cut an edge machine off from the core machines, or from one of them."""
        cores = list(self._system.cores)
        others = self._random.choice((cores, [self._random.choice(cores)]))
        self._actions.act_on_some(self._system.edges, 1, lambda chosen: self._actions.cut(chosen, others))

    def stop_relays(self) -> None:
        """Stop one relay or all in order, and start them together."""
        relays = self._system.relays
        self._actions.act_on_some(relays, self._any_number(relays), self._actions.restart_stopped)

    def kill_relays(self) -> None:
        """Kill one relay or all, and start them together."""
        relays = self._system.relays
        self._actions.act_on_some(relays, self._any_number(relays), self._actions.restart_killed)

    def hang_up(self) -> None:
        """Send SIGHUP to some processes, several times."""
        for _ in range(3):
            for machine in self._random.sample(
                self._system.machines, self._any_number(self._system.machines)
            ):
                self._actions.hang_up(machine)
            gevent.sleep(0.05)

    def exchange_seeds(self) -> None:
        """Name relays, or one core machine and gone ones, as seeds; some processes are told by SIGHUP."""
        relays = [machine.settings.ip for machine in self._system.relays]
        core = self._random.choice(self._system.cores).settings.ip
        cores = [machine.settings.ip for machine in self._system.cores]
        seeds = self._random.choice((relays, [core, *self._system.gone_hosts(2)], cores, relays[:1]))
        self._system.name_seeds(seeds)
        if self._random.random() < 0.5:
            self.hang_up()

    def lose_seeds(self) -> None:
        """For a while all seeds that the settings name are gone."""
        self._system.name_seeds(self._system.gone_hosts(3))
        gevent.sleep(1.0 + 3.0 * self._random.random())
        self.exchange_seeds()

    def evacuate(self) -> None:
        """Evacuate a zone and restore it."""
        zone = str(self._random.choice(list(Zone)))
        self._observer.operator().set_evacuation(zone, True)
        gevent.sleep(self._random.random())
        self._observer.operator().set_evacuation(zone, False)

    def _any_number(self, machines: list[Machine]) -> int:
        return self._random.choice((1, len(machines)))
