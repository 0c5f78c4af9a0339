"""What a member is waiting for: the end of a probe, and the end of a suspicion."""

from __future__ import annotations

from math import log

import msgspec

from nettledeal.membership.view import Word
from nettledeal.units import Time

# A suspicion with one accuser alone lasts so many times the least.
DOUBT = 3.0


class Probe(msgspec.Struct):
    """A probe of a member, sent at a time; how many others were asked, and how many had no answer either."""

    word: Word
    number: int
    at: Time
    asked: int = 0
    nacks: int = 0


class Suspicion(msgspec.Struct):
    """Since when a member is suspected, by whom, and how many accusers make it as short as it gets."""

    since: Time
    least: float
    by: set[str]
    needed: int
    delayed: Time = 0
    asked: bool = False  # whether the accused has been asked once more

    @property
    def end(self) -> Time:
        """Shrinks with the logarithm of those who accuse independently."""
        most = DOUBT * self.least
        part = log(len(self.by)) / log(self.needed + 1) if self.needed else 1.0
        return self.since + self.delayed + round(max(self.least, most - (most - self.least) * part))
