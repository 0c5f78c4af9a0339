"""What a soak does to machines, whichever event does it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from random import Random
from signal import SIGHUP

import gevent

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.standins.soak_system import Machine

STOP_WITHIN_S = 12.0
MAX_FREEZE_S = 3.0
MAX_DOWN_S = 2.0
Event = Callable[[], None]


class MachineActions:
    """Signals and restarts; a process serves `start_within_s` after its start at the latest."""

    def __init__(self, random: Random, start_within_s: float):
        self._random, self._start_within_s = random, start_within_s
        self._busy: set[Machine] = set()

    def pause(self) -> None:
        """Wait for as long as a machine stays down."""
        gevent.sleep(MAX_DOWN_S * self._random.random())

    def act_on_some(self, machines: list[Machine], count: int, act: Callable[[list[Machine]], None]) -> None:
        """Act on some machines to which nothing else is happening, at most `count`."""
        free = [machine for machine in machines if machine not in self._busy]
        chosen = self._random.sample(free, min(count, len(free)))
        self._busy.update(chosen)
        try:
            act(chosen)
        finally:
            self._busy.difference_update(chosen)

    def restart_killed(self, machines: list[Machine]) -> None:
        """Kill them all, then start them together."""
        for machine in machines:
            machine.disruptions += 1
            machine.process.kill()
        self.pause()
        for machine in machines:
            machine.start()

    def restart_stopped(self, machines: list[Machine]) -> None:
        """Stop them all in order, then start them together."""
        gevent.joinall([gevent.spawn(self.stop, machine) for machine in machines], raise_error=True)
        for machine in machines:
            machine.start()

    def freeze(self, machines: list[Machine]) -> None:
        """Suspend them for the same time."""
        for machine in machines:
            machine.disruptions += 1
            machine.process.freeze()
        gevent.sleep(MAX_FREEZE_S * self._random.random())
        for machine in machines:
            machine.disruptions += 1
            machine.process.thaw()

    def stop(self, machine: Machine) -> None:
        """SIGTERM once the process serves; raises ServingError if it doesn't end with status 0."""
        machine.process.wait_for("process:started", self._start_within_s)
        machine.process.terminate()
        status = machine.process.wait(STOP_WITHIN_S)
        if status != 0:
            raise ServingError(ErrorCode.TIMED_OUT, "stop", f"status {status}", machine.process.name)

    def hang_up(self, machine: Machine) -> None:
        """SIGHUP, but not before the process serves, which would end it (issue 68)."""
        with suppress(ServingError):
            machine.process.wait_for("process:started", 0.0)
            machine.process.signal(SIGHUP)
