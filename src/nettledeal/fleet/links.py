"""What happens to what is sent on a link: pure and seeded; each direction has a `Condition` of its own.

A stream of TCP loses nothing while it lives: it is late, or what was sent waits until the link is whole
again, as the kernel would send it again. Datagrams are lost, repeated and overtaken.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from nettledeal.model import Time


@dataclass(frozen=True, slots=True)
class Condition:
    """Times in tenths of a millisecond, the others as parts of one."""

    cut: bool = False
    silent: bool = False
    delay: Time = 0
    jitter: Time = 0
    loss: float = 0.0
    repeats: float = 0.0
    reordering: float = 0.0

    @property
    def stopped(self) -> bool:
        return self.cut or self.silent


class Way:
    """One direction of one link."""

    def __init__(self, chance: Random):
        self.chance = chance
        self.condition = Condition()
        self.last: Time = 0

    def _late(self, now: Time) -> Time:
        jitter = self.condition.jitter
        return now + self.condition.delay + (round(self.chance.random() * jitter) if jitter else 0)

    def stream(self, now: Time) -> Time | None:
        """When the next bytes of a stream arrive, never ahead of those before; None while nothing passes."""
        if self.condition.stopped:
            return None
        self.last = max(self.last, self._late(now))
        return self.last

    def datagram(self, now: Time) -> list[Time]:
        """When it arrives, and again where it is repeated; nowhere where it is lost."""
        c = self.condition
        if c.stopped or self.chance.random() < c.loss:
            return []
        at = self._late(now)
        if self.chance.random() < c.reordering:
            at += max(10, c.jitter)  # behind what is sent in the next moment
        return [at, at + 1 + c.jitter] if self.chance.random() < c.repeats else [at]
