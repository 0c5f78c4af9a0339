"""Members that died recently: evidence that expires with time, without any change of the view."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable

import gevent

from nettledeal.membership.actions import SECOND
from nettledeal.membership.view import MemberRecord, State, View
from nettledeal.units import Time

# Deaths that expire within the same interval are reviewed together.
REVIEW_INTERVAL_S = 0.5


class RecentDeaths:
    """The recent deaths in a view; `on_expired` is called on the event loop when one is no longer recent."""

    def __init__(self, view: View, clock: Callable[[], Time], on_expired: Callable[[], None]):
        """`clock` gives the current time in the view's ticks."""
        self._view, self._clock, self._on_expired = view, clock, on_expired
        # Numbers of the multiples of REVIEW_INTERVAL_S, in monotonic time, at which a review is due.
        self._scheduled: set[int] = set()
        self._stopped = False

    def within(self, seconds: float) -> list[MemberRecord]:
        """The members that died within the last `seconds`, as far as they told their role and zone."""
        since = self._clock() - round(seconds * SECOND)
        return [
            record
            for record in self._view.records.values()
            if record.state == State.DEAD
            and record.metadata is not None
            and self._view.state_since[record.name] > since
        ]

    def add(self, windows_s: Iterable[float]) -> None:
        """Note a death of this moment, which counts for each of these numbers of seconds."""
        now_s = time.monotonic()
        for window_s in windows_s:
            number = math.floor((now_s + window_s) / REVIEW_INTERVAL_S) + 1
            if number not in self._scheduled:
                self._scheduled.add(number)
                gevent.spawn_later(number * REVIEW_INTERVAL_S - now_s, self._review, number)

    def stop(self) -> None:
        """Call nobody any more."""
        self._stopped = True

    def _review(self, number: int) -> None:
        self._scheduled.discard(number)
        if not self._stopped:
            self._on_expired()
