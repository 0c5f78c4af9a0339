"""Measures over time: sums over a sliding window, and exponentially smoothed means. No decisions here."""

from dataclasses import dataclass
from math import exp

from nettledeal.model import Time


class WindowedSums:
    """Sums over the last `window`, one per column, kept in a ring of time buckets."""

    def __init__(self, window: Time, width: int, buckets: int = 10):
        self.bucket_time = max(1, -(-window // buckets))
        self.buckets = [[0.0] * width for _ in range(buckets + 1)]
        self.bucket_numbers = [-1] * (buckets + 1)

    def add(self, now: Time, column: int, amount: float) -> None:
        number = now // self.bucket_time
        slot = number % len(self.buckets)
        if self.bucket_numbers[slot] != number:
            self.bucket_numbers[slot] = number
            self.buckets[slot] = [0.0] * len(self.buckets[slot])
        self.buckets[slot][column] += amount

    def total(self, now: Time, column: int) -> float:
        oldest = now // self.bucket_time - len(self.buckets) + 1
        return sum(
            bucket[column]
            for bucket, number in zip(self.buckets, self.bucket_numbers, strict=True)
            if number >= oldest
        )


@dataclass(slots=True)
class Trend:
    """An exponentially smoothed mean, pooled over several backends."""

    value: float = 0.0
    learned_at: Time = 0
    samples: float = 0.0

    def learn(self, sample: float, now: Time, fade_time: float, min_gain: float) -> None:
        """The gain grows with the time since the last sample, so that an agent with few answers keeps up."""
        self.samples += 1.0
        # Biased towards the start value while there are few samples.
        gain = max(min_gain, 1.0 / (self.samples + 4.0), 1.0 - exp(-(now - self.learned_at) / fade_time))
        self.value += min(gain, 0.5) * (sample - self.value)
        self.learned_at = now

    def faded(self, now: Time, fade_time: float) -> float:
        return self.value and self.value * exp(-(now - self.learned_at) / fade_time)
