"""Learns how long connections to backends may be idle, from those that a backend had dropped.

A backend may drop an idle connection sooner than it states, and reset the next request on it. Whether that
request was executed is unknown, so it fails unless it may run twice; the learned limit protects later ones.
"""

from __future__ import annotations

# Share of the idle time after which a connection was found dropped that others may be idle.
SAFE_SHARE = 0.5
# Lower bound: a backend that crashes during a request looks the same, however short the idle time was.
MIN_IDLE_LIMIT_S = 0.02
# After this long without another reset, the limits that backends state apply again.
LEARNED_LIMIT_TTL_S = 10.0


class LearnedIdleLimit:
    """The learned limit on idle connections to all backends. Times are passed in."""

    def __init__(self):
        self._limit_s = float("inf")
        self._expires_at = float("-inf")

    def value_s(self, now: float) -> float:
        """Seconds that a connection may be idle; infinite if nothing was learned recently."""
        return self._limit_s if now < self._expires_at else float("inf")

    def record_reset(self, idle_s: float, now: float) -> None:
        """A connection was reset by the first request after it had been idle for `idle_s`."""
        limit_s = max(MIN_IDLE_LIMIT_S, SAFE_SHARE * idle_s)
        self._limit_s = min(self.value_s(now), limit_s)
        self._expires_at = now + LEARNED_LIMIT_TTL_S
