"""The one clock of an agent: Unix time at its start, moved on by a clock that never jumps."""

from __future__ import annotations

import time

from gevent import get_hub

from nettledeal.model import Time
from nettledeal.units import up

SECOND = 10_000
# In nanoseconds; shorter than any wait for something to come: the loop has only looked.
MAX_POLL_NS = 50_000


class Clock:
    def __init__(self) -> None:
        # Backends' starts come in Unix time; a clock set anew in between must not make a due time jump.
        self.unix_offset_ns = time.time_ns() - time.monotonic_ns()
        self.wait_began_ns = self.last_poll_ns = self.arrival_ns = 0
        self.loop_watchers: tuple = ()

    def now(self) -> Time:
        return up(time.monotonic_ns() + self.unix_offset_ns)

    def arrival_time(self) -> Time:
        """When what is handled now has come. The loop wakes at once for what comes while it rests; what
        comes while it is at work is found at its next look. A busy agent would take its own lateness for
        that of its backends, and hold requests to be younger than they are."""
        return up((self.arrival_ns or time.monotonic_ns()) + self.unix_offset_ns)

    def track_loop(self) -> None:
        """From here on the loop's rests are known."""
        loop = get_hub().loop
        self.last_poll_ns = time.monotonic_ns()
        # Last before a rest and first after it, or what the loop does itself would count as rest.
        before = loop.prepare(ref=False, priority=loop.MINPRI)
        after = loop.check(ref=False, priority=loop.MAXPRI)
        self.loop_watchers = before, after
        before.start(self._before_wait)
        after.start(self._after_wait)

    def _before_wait(self) -> None:
        self.wait_began_ns = time.monotonic_ns()

    def _after_wait(self) -> None:
        now = time.monotonic_ns()
        # Somewhere since the last look: the middle is wrong by half of that at most.
        self.arrival_ns = now if now - self.wait_began_ns > MAX_POLL_NS else (self.last_poll_ns + now) // 2
        self.last_poll_ns = now
