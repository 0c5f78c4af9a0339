"""How long connections to backends may rest, learned from those that a backend had forgotten.

A backend may forget a resting connection sooner than it says, and resets what is next sent on it. Whether
that request ran is unknown, so it fails unless it may run twice; the next ones need not fail too.
"""

from __future__ import annotations

# Of the rest after which a connection was found forgotten, what others may rest.
SAFE_SHARE = 0.5
# A backend that ends under a request looks the same, whatever the rest was: no less than this is learned.
MIN_IDLE_LIMIT_S = 0.02
# After so long without another one forgotten, the backends' own word holds again.
LEARNED_LIMIT_TTL_S = 10.0


class LearnedIdleLimit:
    """The longest rest of a connection that this process relies on, for all backends. Times are passed in."""

    def __init__(self):
        self._limit_s = float("inf")
        self._expires_at = float("-inf")

    def value_s(self, now: float) -> float:
        """Seconds that a connection may rest; infinite where nothing speaks against it."""
        return self._limit_s if now < self._expires_at else float("inf")

    def record_reset(self, idle_s: float, now: float) -> None:
        """A connection broke under the first request after a rest of `rested_s`."""
        limit_s = max(MIN_IDLE_LIMIT_S, SAFE_SHARE * idle_s)
        self._limit_s = min(self.value_s(now), limit_s)
        self._expires_at = now + LEARNED_LIMIT_TTL_S
