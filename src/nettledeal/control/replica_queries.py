"""What the rest of a core machine's process may ask about its replica, also before it has started."""

from __future__ import annotations

import time

from nettledeal.common.addresses import Address, parse_address
from nettledeal.control.identity import CoreMember, core_member
from nettledeal.control.messages import NO_INCARNATIONS, EpochRecord
from nettledeal.control.reader_role import ReaderTerm
from nettledeal.control.replica import Replica
from nettledeal.control.state import ControlState


class ReplicaQueries:
    """Queries about a replica, without effects on it; `_replica` is None before the start."""

    _replica: Replica | None = None

    @property
    def state(self) -> ControlState:
        """The last state known to be committed; empty (sequence 0) after a start until one is known."""
        committed = self._replica.replicated.committed if self._replica else None
        return committed or ControlState()

    @property
    def is_primary(self) -> bool:
        """Whether this replica is the primary of the last epoch that it knows."""
        return self._replica is not None and self._replica.primary is not None

    @property
    def primary_address(self) -> Address | None:
        """The address at which the primary serves operators."""
        record = self.epoch_record
        if record is None:
            return None
        for voter in record.voters:
            if voter.replica_id == record.primary and voter.control_plane:
                return parse_address(voter.control_plane)
        return None

    @property
    def epoch_record(self) -> EpochRecord | None:
        """The last decided epoch known here."""
        return self._replica.record if self._replica else None

    @property
    def replica_id(self) -> str:
        """The identity of this replica's disk."""
        return self._replica.info.replica_id

    @property
    def reader(self) -> str | None:
        """The replica that is to read the platform's list.

        None also if that is this replica and its current incarnation hasn't been granted the role.
        """
        replica = self._replica
        if replica is None:
            return None
        reader = replica.current_appointment.reader
        if reader == replica.info.replica_id and not replica.is_reader:
            return None
        return reader or None

    @property
    def reader_term(self) -> ReaderTerm:
        """The term of the current reader; terms order the appointments."""
        replica = self._replica
        if replica is None or replica.record is None:
            return ReaderTerm(-1, 0)
        appointment = replica.current_appointment
        # On a backup both values come from the same heartbeat: numbers restart with each epoch, and a term
        # must never go back.
        epoch = replica.record.epoch if replica.primary else replica.reader_epoch
        return ReaderTerm(epoch, appointment.number, appointment.incarnation != NO_INCARNATIONS)

    def confirmed_age_s(self) -> float:
        """Seconds since the local state was last confirmed to be the newest; infinite before that."""
        return self._replica.confirmed_age_s(time.monotonic()) if self._replica else float("inf")

    def cores(self) -> list[CoreMember]:
        """The core machines that are voters."""
        record = self.epoch_record
        return [] if record is None else [core_member(voter) for voter in record.voters]
