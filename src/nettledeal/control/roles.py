"""The reader of the platform's list: which core machine is appointed, and in which life of its process."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from nettledeal.control.messages import NOT_GRANTED
from nettledeal.control.timing import Timing


class ReaderTerm(msgspec.Struct, frozen=True):
    """An appointment of a reader; terms are ordered.

    `granted` says whether only one life of a process has the term: not with a primary of an earlier release.
    """

    epoch: int
    number: int
    granted: bool = True


class Appointment(msgspec.Struct, frozen=True):
    """Who reads: a replica, the number of its appointment within the epoch, and its life.

    Numbers rise by one, also when the same replica was started again: what a life publishes is ordered within
    its own number, so nothing has to be kept from one life to the next.
    """

    reader: str
    number: int = 0
    life: int = NOT_GRANTED


class ReaderCandidate(msgspec.Struct, frozen=True):
    """A replica that may read. `reading_age_s` is the age of its last good reading, None without one."""

    replica_id: str
    life: int
    reading_age_s: float | None


class ReaderRole:
    """Keeps a working reader."""

    def __init__(self, appointment: Appointment, now: float, timing: Timing):
        self.appointment = appointment
        self._appointed_at = now
        self._timing = timing

    def review(self, now: float, usable: Sequence[ReaderCandidate]) -> bool:
        """Appoint another reader if this one is not heard or tells no good reading; whether it changed."""
        known = {candidate.replica_id: candidate for candidate in usable}
        present = known.get(self.appointment.reader)
        if present is not None and self._reads(now, present):
            return self._grant(present.life)
        others = sorted(name for name in known if name != self.appointment.reader)
        if not others:
            return False
        following = next((name for name in others if name > self.appointment.reader), others[0])
        self.appointment = Appointment(following, self.appointment.number + 1, known[following].life)
        self._appointed_at = now
        return True

    def _reads(self, now: float, reader: ReaderCandidate) -> bool:
        if now - self._appointed_at <= self._timing.reader_grace_s:
            return True
        return reader.reading_age_s is not None and reader.reading_age_s <= self._timing.reading_s

    def _grant(self, life: int) -> bool:
        """Make the appointment good for the reader's present life; whether anything changed."""
        appointment = self.appointment
        if life in (NOT_GRANTED, appointment.life):
            return False
        # The first life that is granted a number is the only one to have it.
        number = appointment.number + (appointment.life != NOT_GRANTED)
        self.appointment = Appointment(appointment.reader, number, life)
        return True
