"""A queue as the design remembers it: smoothed over readings, fading while there are none."""

from __future__ import annotations

LEAST_AGE_SHARE = 0.3


class SmoothedQueue:
    """A mean of readings in requests; `history` is what the past weighs after one window."""

    def __init__(self, history: float, window_s: float):
        self.history = history
        self.window_s = window_s
        self.last = 0.0
        self.read_at = float("-inf")

    def value(self, now: float) -> float:
        """The mean, less what has faded since the last reading."""
        age_s = max(0.0, now - self.read_at)
        return self.last * self.history ** (age_s / self.window_s)

    def add(self, reading: float, now: float, fades: bool = True) -> None:
        """Take a reading; one soon after another weighs less. `fades`: what was remembered has faded."""
        remembered = self.value(now) if fades else self.last
        age = min(1.0, max(0.0, now - self.read_at) / self.window_s)
        weight = (1.0 - self.history) * max(LEAST_AGE_SHARE, age)
        self.set(remembered + weight * (reading - remembered), now)

    def set(self, queue: float, now: float) -> None:
        """Remember this from now on."""
        self.last = queue
        self.read_at = now
