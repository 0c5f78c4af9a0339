"""Exponentially smoothed queue length that decays between samples."""

from __future__ import annotations

# A sample right after another one still gets this share of a full sample's weight.
MIN_WINDOW_SHARE = 0.3


class SmoothedQueue:
    """A moving mean in requests; `history_weight` is the weight of the past after one window."""

    def __init__(self, history_weight: float, window_s: float):
        self.history_weight = history_weight
        self.window_s = window_s
        self.last_value = 0.0
        self.updated_at = float("-inf")

    def value(self, now: float) -> float:
        """The mean, decayed since the last sample."""
        age_s = max(0.0, now - self.updated_at)
        return self.last_value * self.history_weight ** (age_s / self.window_s)

    def add(self, sample: float, now: float, decay: bool = True) -> None:
        """Add a sample, weighted by the time since the last one. `decay`: decay the old mean first."""
        remembered = self.value(now) if decay else self.last_value
        window_share = min(1.0, max(0.0, now - self.updated_at) / self.window_s)
        weight = (1.0 - self.history_weight) * max(MIN_WINDOW_SHARE, window_share)
        self.set(remembered + weight * (sample - remembered), now)

    def set(self, queue: float, now: float) -> None:
        """Replace the mean."""
        self.last_value = queue
        self.updated_at = now
