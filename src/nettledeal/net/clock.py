"""The one clock of an agent: Unix time at its start, moved on by a clock that never jumps."""

from __future__ import annotations

import time

from gevent import get_hub

from nettledeal.model import Time
from nettledeal.units import round_up

SECOND = 10_000
# In nanoseconds; shorter than any wait for something to come: the loop has only looked.
GLANCE = 50_000


class Clock:
    def __init__(self) -> None:
        # Backends' starts come in Unix time; a clock set anew in between must not make a due time jump.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.resting = self.looked = self.arrived = 0
        self.looks: tuple = ()

    def now(self) -> Time:
        return round_up(time.monotonic_ns() + self.offset)

    def came(self) -> Time:
        """When what is handled now has come. The loop wakes at once for what comes while it rests; what
        comes while it is at work is found at its next look. A busy agent would take its own lateness for
        that of its backends, and hold requests to be younger than they are."""
        return round_up((self.arrived or time.monotonic_ns()) + self.offset)

    def attend(self) -> None:
        """From here on the loop's rests are known."""
        loop = get_hub().loop
        self.looked = time.monotonic_ns()
        # Last before a rest and first after it, or what the loop does itself would count as rest.
        before = loop.prepare(ref=False, priority=loop.MINPRI)
        after = loop.check(ref=False, priority=loop.MAXPRI)
        self.looks = before, after
        before.start(self._rest)
        after.start(self._wake)

    def _rest(self) -> None:
        self.resting = time.monotonic_ns()

    def _wake(self) -> None:
        now = time.monotonic_ns()
        # Somewhere since the last look: the middle is wrong by half of that at most.
        self.arrived = now if now - self.resting > GLANCE else (self.looked + now) // 2
        self.looked = now
