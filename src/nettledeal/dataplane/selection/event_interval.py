"""Learns the usual interval between the events of a service's streams; longer ones indicate load."""

from __future__ import annotations

# Weight of a new interval in the mean; the first ones are averaged with equal weight.
MIN_GAIN = 0.05
# Longer intervals are capped at this multiple of the mean, so that one of them changes it little.
MAX_SAMPLE_FACTOR = 5.0
# Intervals up to this multiple of the mean don't indicate load.
NORMAL_INTERVAL_FACTOR = 2.0
# Events that arrive in one packet have no interval between them.
MIN_MEAN_S = 0.005


class EventInterval:
    """The mean interval between stream events over all backends of a service, in seconds."""

    def __init__(self) -> None:
        self.mean_s = MIN_MEAN_S
        self._sample_count = 0

    def excess_s(self, interval_s: float) -> float:
        """How much longer than usual an interval is; also adds the interval to the mean."""
        usual_s = self.mean_s if self._sample_count else max(interval_s, MIN_MEAN_S)
        sample_s = min(interval_s, MAX_SAMPLE_FACTOR * usual_s)
        self._sample_count += 1
        gain = max(MIN_GAIN, 1.0 / self._sample_count)
        self.mean_s = max(MIN_MEAN_S, usual_s + gain * (sample_s - usual_s))
        return max(0.0, interval_s - NORMAL_INTERVAL_FACTOR * usual_s)
