"""Suspicion before death: its duration, its confirmations and its timeout."""

from __future__ import annotations

from math import log10

from nettledeal.membership.actions import StreamRequest
from nettledeal.membership.health import MAX_SCORE
from nettledeal.membership.member_base import MemberBase
from nettledeal.membership.packets import PING
from nettledeal.membership.pending import Suspicion
from nettledeal.membership.view import MemberRecord, State

# Confirmations by other members that shorten a suspicion to its minimum.
MAX_CONFIRMATIONS = 3
# `Timing.suspicion` is enough for groups up to this size; updates take longer to spread in larger ones.
BASE_GROUP_SIZE = 300


class SuspicionMixin(MemberBase):
    """Suspicions, by the name of the accused."""

    def _start_suspicion(self, record: MemberRecord) -> None:
        others = len(self.ring)
        size_factor = max(1.0, log10(others + 2) / log10(BASE_GROUP_SIZE))
        min_duration = self.timing.suspicion * size_factor * (1 + self.health.score / MAX_SCORE)
        self.suspicions[record.name] = Suspicion(
            self.now, min_duration, {record.accuser}, min(MAX_CONFIRMATIONS, max(0, others - 2))
        )
        self._schedule(self.suspicions[record.name].ends_at, "suspicion_timeout", record.name)

    def _confirm_suspicion(self, record: MemberRecord) -> None:
        """The same accusation by another member. It is independent, since each member accuses only after a
        probe of its own."""
        suspicion = self.suspicions.get(record.name)
        if (
            suspicion is None
            or record.accuser in suspicion.accusers
            or len(suspicion.accusers) > suspicion.confirmations_needed
        ):
            return
        suspicion.accusers.add(record.accuser)
        self._queue_record(record)
        self._schedule(max(self.now, suspicion.ends_at), "suspicion_timeout", record.name)

    def _suspicion_timeout(self, name: str) -> None:
        suspicion = self.suspicions.get(name)
        if suspicion is None:
            return
        if self.now < suspicion.ends_at:
            return  # the end has moved, and another timer is set for it
        if not self.is_receiving:
            # A member that receives nothing would not have received a refutation, so it declares no one dead.
            suspicion.delayed_by = self.now - suspicion.since
            self._schedule(max(self.now + self.timing.period, suspicion.ends_at), "suspicion_timeout", name)
            return
        record = self.view.records[name]
        if not suspicion.accused_asked:
            # Gossip misses one member in some thousands, and that one would declare dead a member whose
            # refutation all others have. So the accused is pinged once more, by datagram and by stream.
            suspicion.accused_asked = True
            self._send(PING, record.address, 0, record)
            self.actions.append(StreamRequest(record.address, self._make_packet(PING, 0, record)))
            self._schedule(self.now + 2 * self.timing.probe, "suspicion_timeout", name)
            return
        self.health.deaths_declared += 1
        self._declare(record, State.DEAD)
