"""The agent's clock: Unix time at its start, advanced by the monotonic clock."""

from __future__ import annotations

import time

from gevent import get_hub

from nettledeal.model import Time
from nettledeal.units import round_up

SECOND = 10_000  # in Time units (tenths of a millisecond)
# If the event loop waited no longer than this in a pass, it only polled and didn't wait for an event.
MAX_POLL_NS = 50_000


class Clock:
    def __init__(self) -> None:
        # Start times of backends are given in Unix time; a system clock change must not move deadlines.
        self.unix_offset_ns = time.time_ns() - time.monotonic_ns()
        self.wait_began_ns = self.last_poll_ns = self.arrival_ns = 0
        self.loop_watchers: tuple = ()

    def now(self) -> Time:
        return round_up(time.monotonic_ns() + self.unix_offset_ns)

    def arrival_time(self) -> Time:
        """When the event that is being handled arrived.

        If the loop was waiting, that is when it woke up. An event that arrives while the loop is busy is only
        found at its next poll; taking the time of that poll would let a busy agent count its own delay as the
        backends' and underestimate the age of requests.
        """
        return round_up((self.arrival_ns or time.monotonic_ns()) + self.unix_offset_ns)

    def track_loop(self) -> None:
        """Start recording when the event loop waits and polls."""
        loop = get_hub().loop
        self.last_poll_ns = time.monotonic_ns()
        # Run last before a wait and first after it, or the loop's own work would count as waiting.
        before = loop.prepare(ref=False, priority=loop.MINPRI)
        after = loop.check(ref=False, priority=loop.MAXPRI)
        self.loop_watchers = before, after
        before.start(self._before_wait)
        after.start(self._after_wait)

    def _before_wait(self) -> None:
        self.wait_began_ns = time.monotonic_ns()

    def _after_wait(self) -> None:
        now = time.monotonic_ns()
        # It arrived at some time since the last poll: the middle is wrong by at most half of that.
        self.arrival_ns = now if now - self.wait_began_ns > MAX_POLL_NS else (self.last_poll_ns + now) // 2
        self.last_poll_ns = now
