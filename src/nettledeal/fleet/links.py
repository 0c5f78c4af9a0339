"""Simulated link conditions, deterministic for a seed; each direction of a link has its own `LinkCondition`.

TCP streams lose no data while the connection lives: data is delayed, or waits until the link works again, as
the kernel would retransmit it. Datagrams can be lost, duplicated and reordered.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from nettledeal.model import Time


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """Times are in tenths of a millisecond, the other numbers are probabilities."""

    cut: bool = False
    silent: bool = False
    delay: Time = 0
    jitter: Time = 0
    loss: float = 0.0
    repeats: float = 0.0
    reordering: float = 0.0

    @property
    def blocked(self) -> bool:
        return self.cut or self.silent


class LinkDirection:
    """One direction of one link."""

    def __init__(self, rng: Random):
        self.rng = rng
        self.condition = LinkCondition()
        self.last_arrival: Time = 0

    def _arrival_time(self, now: Time) -> Time:
        jitter = self.condition.jitter
        return now + self.condition.delay + (round(self.rng.random() * jitter) if jitter else 0)

    def stream_arrival(self, now: Time) -> Time | None:
        """Arrival time of the next bytes of a stream, never before earlier bytes; None while blocked."""
        if self.condition.blocked:
            return None
        self.last_arrival = max(self.last_arrival, self._arrival_time(now))
        return self.last_arrival

    def datagram_arrivals(self, now: Time) -> list[Time]:
        """Arrival times of a datagram: none if it is lost, two if it is duplicated."""
        condition = self.condition
        if condition.blocked or self.rng.random() < condition.loss:
            return []
        at = self._arrival_time(now)
        if self.rng.random() < condition.reordering:
            at += max(10, condition.jitter)  # arrives after datagrams that are sent just after it
        return [at, at + 1 + condition.jitter] if self.rng.random() < condition.repeats else [at]
