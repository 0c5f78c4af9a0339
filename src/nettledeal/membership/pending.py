"""What a member is waiting for: the result of a probe, and the end of a suspicion."""

from __future__ import annotations

from math import log

import msgspec

from nettledeal.membership.view import MemberRecord
from nettledeal.units import Time

# A suspicion that no other member confirms lasts this many times the minimum.
MAX_SUSPICION_FACTOR = 3.0


class Probe(msgspec.Struct):
    """A probe in progress. `relays` is the number of members asked to probe indirectly, `nacks` how many of
    them reported that they got no ack either."""

    record: MemberRecord
    sequence_number: int
    sent_at: Time
    relays: int = 0
    nacks: int = 0


class Suspicion(msgspec.Struct):
    """A suspected member: since when, suspected by whom, and how many confirmations shorten the suspicion to
    the minimum."""

    since: Time
    min_duration: float
    accusers: set[str]
    confirmations_needed: int
    delayed_by: Time = 0
    accused_asked: bool = False  # whether the accused has been pinged once more

    @property
    def ends_at(self) -> Time:
        """The timeout shrinks with the logarithm of the number of independent accusers."""
        max_duration = MAX_SUSPICION_FACTOR * self.min_duration
        confirmed = (
            log(len(self.accusers)) / log(self.confirmations_needed + 1) if self.confirmations_needed else 1.0
        )
        return (
            self.since
            + self.delayed_by
            + round(max(self.min_duration, max_duration - (max_duration - self.min_duration) * confirmed))
        )
