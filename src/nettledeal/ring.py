"""What is measured over time: sums in buckets of time, and smoothed means. Nothing is decided here."""

from dataclasses import dataclass
from math import exp

from nettledeal.model import Time


class Ring:
    """Sums over the last `span`, in buckets of time that are used again."""

    def __init__(self, span: Time, width: int, buckets: int = 10):
        self.step = max(1, -(-span // buckets))
        self.rows = [[0.0] * width for _ in range(buckets + 1)]
        self.stamps = [-1] * (buckets + 1)

    def add(self, now: Time, column: int, amount: float) -> None:
        stamp = now // self.step
        slot = stamp % len(self.rows)
        if self.stamps[slot] != stamp:
            self.stamps[slot] = stamp
            self.rows[slot] = [0.0] * len(self.rows[slot])
        self.rows[slot][column] += amount

    def total(self, now: Time, column: int) -> float:
        oldest = now // self.step - len(self.rows) + 1
        return sum(row[column] for row, stamp in zip(self.rows, self.stamps, strict=True) if stamp >= oldest)


@dataclass(slots=True)
class Trend:
    """What many backends have in common, from whichever of them answers."""

    value: float = 0.0
    at: Time = 0
    seen: float = 0.0

    def learn(self, sample: float, now: Time, span: float, least: float) -> None:
        """Moves by the time since the last sample, or an agent that hears little would learn too slowly."""
        self.seen += 1.0
        # Shrunk towards nothing known while samples are few.
        gain = max(least, 1.0 / (self.seen + 4.0), 1.0 - exp(-(now - self.at) / span))
        self.value += min(gain, 0.5) * (sample - self.value)
        self.at = now

    def faded(self, now: Time, span: float) -> float:
        return self.value and self.value * exp(-(now - self.at) / span)
