"""Passive outlier ejection: tracks how the attempts at one backend end."""

from __future__ import annotations

from enum import Enum, auto
from math import exp

from nettledeal.dataplane.selection.model import Tuning

# Successes assumed before any attempt, so that the first failure does not dominate.
PRIOR_SUCCESSES = 2.0


class HealthState(Enum):
    """Whether a backend may be chosen."""

    HEALTHY = auto()
    EJECTED = auto()
    PROBING = auto()  # the ejection has expired: one request at a time until one succeeds
    UNREACHABLE = auto()  # gets no requests until a connection can be opened


class Health:
    """Success and failure counts of one backend, decaying over time, and the resulting ejections."""

    def __init__(self, tuning: Tuning):
        self.tuning = tuning
        self.successes = 0.0
        self.failures = 0.0
        self.decayed_at = 0.0
        self.consecutive_failures = 0
        self.ejection_count = 0
        self.ejected_until: float | None = None
        self.unreachable = False
        self.restored_at = float("-inf")

    def state(self, now: float) -> HealthState:
        """The state at this moment."""
        if self.unreachable:
            return HealthState.UNREACHABLE
        if self.ejected_until is None:
            return HealthState.HEALTHY
        return HealthState.EJECTED if now < self.ejected_until else HealthState.PROBING

    def failure_ratio(self, now: float) -> float:
        """The share of recent attempts that failed; lower while there are fewer than the minimum samples."""
        self._decay(now)
        total = self.successes + self.failures
        return self.failures / max(total, float(self.tuning.ejection_min_samples))

    def failure_probability(self, now: float) -> float:
        """Estimated probability that an attempt fails, 0 to 1, weighted down while attempts are few."""
        self._decay(now)
        return self.failures / (self.successes + self.failures + PRIOR_SUCCESSES)

    def record_success(self, now: float) -> None:
        """An attempt got its response (or a stream its first event)."""
        self._decay(now)
        self.successes += 1.0
        self.consecutive_failures = 0
        self.unreachable = False
        if self.state(now) is HealthState.PROBING:
            self.ejected_until = None
            self.restored_at = now
            self.failures = min(self.failures, 1.0)
        elif self.failures < 0.2:
            self.ejection_count = 0

    def record_failure(self, now: float, weight: float = 1.0) -> bool:
        """An attempt failed; returns whether the backend should be ejected."""
        self._decay(now)
        self.failures += weight
        self.consecutive_failures += 1
        recently_restored = now - self.restored_at < self.tuning.reejection_window_s
        if recently_restored or self.state(now) is HealthState.PROBING:
            return True
        return self.consecutive_failures >= self.tuning.ejection_consecutive_failures or (
            self.successes + self.failures >= self.tuning.ejection_min_samples
            and self.failure_ratio(now) > self.tuning.ejection_failure_ratio
        )

    def record_reported_failure(self, now: float) -> None:
        """Another agent's attempt failed: lowers the weight of the backend but never ejects it."""
        self._decay(now)
        self.failures += self.tuning.reported_failure_weight

    def eject(self, now: float, at_least_s: float = 0.0) -> None:
        """Eject the backend for a time that doubles with each ejection, up to a maximum."""
        if self.state(now) is HealthState.EJECTED and at_least_s == 0.0:
            return
        duration_s = min(self.tuning.base_ejection_s * 2**self.ejection_count, self.tuning.max_ejection_s)
        self.ejected_until = now + max(duration_s, at_least_s)
        self.ejection_count = min(self.ejection_count + 1, 16)
        self.consecutive_failures = 0

    def mark_unreachable(self, now: float) -> None:
        """No connection can be opened, or a request got no response: unusable until `mark_reachable`."""
        self._decay(now)
        self.failures += 1.0
        self.unreachable = True

    def mark_reachable(self, now: float) -> None:
        """A connection was opened again: the backend may be probed with one request."""
        if self.unreachable:
            self.unreachable = False
            self.ejected_until = now
            self.consecutive_failures = 0

    def _decay(self, now: float) -> None:
        kept = exp(-max(0.0, now - self.decayed_at) / self.tuning.failure_decay_s)
        self.successes *= kept
        self.failures *= kept
        self.decayed_at = now
