"""What a soak does to machines, whichever event does it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from random import Random
from signal import SIGHUP, SIGKILL

import gevent

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.standins.partitions import Direction, Partitions
from nettledeal.standins.processes import wait_until
from nettledeal.standins.soak_system import Machine

STOP_WITHIN_S = 12.0
MAX_FREEZE_S = 3.0
MAX_DOWN_S = 2.0
MAX_CUT_S = 6.0
MAX_START_SPREAD_S = 1.0
# An event on one machine ends within this time.
RESERVE_WITHIN_S = 40.0
Event = Callable[[], None]


class MachineActions:
    """Signals and restarts; a process serves `start_within_s` after its start at the latest."""

    def __init__(self, random: Random, start_within_s: float):
        self.partitions = Partitions()
        self._random, self._start_within_s = random, start_within_s
        self._busy: set[Machine] = set()
        self._claimed: set[Machine] = set()

    def pause(self) -> None:
        """Wait for as long as a machine stays down."""
        gevent.sleep(MAX_DOWN_S * self._random.random())

    def act_on_some(self, machines: list[Machine], count: int, act: Callable[[list[Machine]], None]) -> None:
        """Act on some machines to which nothing else is happening, at most `count`."""
        free = [machine for machine in machines if machine not in self._busy | self._claimed]
        chosen = self._random.sample(free, min(count, len(free)))
        self._busy.update(chosen)
        try:
            act(chosen)
        finally:
            self._busy.difference_update(chosen)

    @contextmanager
    def reserve(self, machines: Collection[Machine]) -> Iterator[None]:
        """Wait until nothing is happening to any of them, and let nothing else happen to them meanwhile."""
        self._claimed.update(machines)
        try:
            wait_until(lambda: self._busy.isdisjoint(machines), RESERVE_WITHIN_S, "machines are free")
            yield
        finally:
            self._claimed.difference_update(machines)

    def restart_killed(self, machines: list[Machine]) -> None:
        """Kill them all, then start them together."""
        self.kill(machines)
        self.pause()
        self.start(machines)

    def kill(self, machines: Collection[Machine]) -> None:
        """Kill them all at the same moment."""
        for machine in machines:
            machine.begin_trouble()
            machine.disruptions += 1
            machine.process.signal(SIGKILL)
        for machine in machines:
            machine.process.kill()

    def start(self, machines: Collection[Machine]) -> None:
        """Start machines that were killed or stopped."""
        for machine in machines:
            machine.start()
            machine.end_trouble()

    def start_apart(self, machines: Collection[Machine]) -> None:
        """Start machines that were killed or stopped, each a little later."""
        for machine in self._random.sample(list(machines), len(machines)):
            gevent.sleep(MAX_START_SPREAD_S * self._random.random() / len(machines))
            self.start([machine])

    def restart_stopped(self, machines: list[Machine]) -> None:
        """Stop them all in order, then start them together."""
        gevent.joinall([gevent.spawn(self.stop, machine) for machine in machines], raise_error=True)
        self.start(machines)

    def freeze(self, machines: list[Machine]) -> None:
        """Suspend them for the same time."""
        for machine in machines:
            machine.begin_trouble()
            machine.disruptions += 1
            machine.process.freeze()
        gevent.sleep(MAX_FREEZE_S * self._random.random())
        for machine in machines:
            machine.disruptions += 1
            machine.process.thaw()
            machine.end_trouble()

    def cut(self, machines: list[Machine], others: list[Machine]) -> None:
        """Cut machines off from others for some time, in both directions or in one."""
        direction = self._random.choice((Direction.BOTH, *Direction))
        for machine in machines:
            machine.begin_trouble()
        with self.partitions.between(machines, others, direction):
            gevent.sleep(MAX_CUT_S * self._random.random())
        for machine in machines:
            machine.end_trouble()

    def stop(self, machine: Machine) -> None:
        """SIGTERM once the process serves, after which it may be started again or be gone for good.

        Raises ServingError if it doesn't end with status 0.
        """
        machine.process.wait_for("process:started", self._start_within_s)
        machine.begin_trouble()
        machine.process.terminate()
        status = machine.process.wait(STOP_WITHIN_S)
        if status != 0:
            raise ServingError(ErrorCode.TIMED_OUT, "stop", f"status {status}", machine.process.name)

    def hang_up(self, machine: Machine) -> None:
        """SIGHUP, also to a process that is being loaded, but not before its interpreter runs."""
        if machine.process.withstands(SIGHUP):
            machine.process.signal(SIGHUP)
