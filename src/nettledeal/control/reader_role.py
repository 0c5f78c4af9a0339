"""Appointment of the core machine that reads the platform's list, bound to one incarnation of its process."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from nettledeal.control.messages import NOT_GRANTED
from nettledeal.control.timing import Timing


class ReaderTerm(msgspec.Struct, frozen=True):
    """The term of a reader's appointment; terms are ordered.

    `granted`: whether the term belongs to a single incarnation; false with a primary of an earlier release.
    """

    epoch: int
    number: int
    granted: bool = True


class ReaderAppointment(msgspec.Struct, frozen=True):
    """Who reads: a replica, the number of its appointment within the epoch, and its incarnation.

    The number also increases when the same replica restarts: what an incarnation publishes is ordered within
    its own number, so nothing has to be kept from one incarnation to the next.
    """

    reader: str
    number: int = 0
    incarnation: int = NOT_GRANTED


class ReaderCandidate(msgspec.Struct, frozen=True):
    """A replica that may become the reader. `reading_age_s` is the age of its last successful reading."""

    replica_id: str
    incarnation: int
    reading_age_s: float | None


class ReaderRole:
    """Ensures that a working reader is appointed."""

    def __init__(self, appointment: ReaderAppointment, now: float, timing: Timing):
        self.appointment = appointment
        self._appointed_at = now
        self._timing = timing

    def review(self, now: float, usable: Sequence[ReaderCandidate]) -> bool:
        """Replace a reader that is silent or reports no successful reading; returns whether it changed."""
        known = {candidate.replica_id: candidate for candidate in usable}
        present = known.get(self.appointment.reader)
        if present is not None and self._reads(now, present):
            return self._grant(present.incarnation)
        others = sorted(name for name in known if name != self.appointment.reader)
        if not others:
            return False
        following = next((name for name in others if name > self.appointment.reader), others[0])
        self.appointment = ReaderAppointment(
            following, self.appointment.number + 1, known[following].incarnation
        )
        self._appointed_at = now
        return True

    def _reads(self, now: float, reader: ReaderCandidate) -> bool:
        if now - self._appointed_at <= self._timing.reader_grace_s:
            return True
        return reader.reading_age_s is not None and reader.reading_age_s <= self._timing.max_reading_age_s

    def _grant(self, incarnation: int) -> bool:
        """Bind the appointment to the reader's current incarnation; returns whether anything changed."""
        appointment = self.appointment
        if incarnation in (NOT_GRANTED, appointment.incarnation):
            return False
        # A number is granted to one incarnation only; a later incarnation gets the next number.
        number = appointment.number + (appointment.incarnation != NOT_GRANTED)
        self.appointment = ReaderAppointment(appointment.reader, number, incarnation)
        return True
