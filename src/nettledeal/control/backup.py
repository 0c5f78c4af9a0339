"""A replica in the backup role: handles heartbeats, changes and reconciliation from the epoch's primary.

Sans-I/O mixin of `Replica`, which owns the state that the mixins share.
"""

from __future__ import annotations

from nettledeal.control.effects import Outbox
from nettledeal.control.messages import (
    NO_INCARNATIONS,
    Append,
    Appended,
    Decided,
    EpochRecord,
    Heartbeat,
    HeartbeatAck,
    Ranges,
    RangesWanted,
    Reconcile,
    RecordRequest,
    ReplicaInfo,
)
from nettledeal.control.reader_role import ReaderAppointment
from nettledeal.control.replicated_state import ReplicatedState, range_digests
from nettledeal.control.state import ControlState


class Backup:
    """Follows the primary of the latest epoch known to this replica."""

    outbox: Outbox
    replicated: ReplicatedState
    record: EpochRecord | None
    storage_ok: bool
    appointment: ReaderAppointment
    reader_epoch: int
    incarnation: int
    leaving: bool
    _last_heartbeat_number: int
    _released_epoch: int
    reading_age_s: float | None
    confirmed_at: float
    _heard_primary_at: float
    _compared_state: ControlState | None

    def _is_from_current_primary(self, sender: ReplicaInfo, epoch: int) -> bool:
        """Whether a message comes from the primary of the current epoch.

        If the epochs differ, the side that is behind is brought up to date.
        """
        record = self.record
        known = record.epoch if record is not None else -1
        if epoch > known:
            self.outbox.send(sender.host, RecordRequest(known))
        elif epoch < known:
            self.outbox.send(sender.host, Decided(record))
        return epoch == known and record.primary == sender.replica_id

    def _on_heartbeat(self, now: float, sender: ReplicaInfo, message: Heartbeat) -> None:
        if not self._is_from_current_primary(sender, message.epoch):
            return
        replicated = self.replicated
        if message.age_ms >= 0:
            self._heard_primary_at = now
            self._postpone_election(now)
            self.appointment = ReaderAppointment(
                message.reader, message.reader_number, message.reader_incarnation
            )
            self.reader_epoch = message.epoch
            self._apply_commit(message.committed)
            if replicated.epoch == message.epoch and replicated.committed_sequence >= message.committed >= 0:
                self.confirmed_at = max(self.confirmed_at, now - message.age_ms / 1000)
        self._last_heartbeat_number = message.heartbeat_number
        if message.released or message.reader_incarnation == NO_INCARNATIONS:
            self._released_epoch = message.epoch
        self._answer_heartbeat(sender.host, message.epoch)

    def _answer_heartbeat(self, host: str, epoch: int) -> None:
        """Report this replica's status to the primary of an epoch."""
        replicated = self.replicated
        age = -1 if self.reading_age_s is None else int(self.reading_age_s * 1000)
        reply = HeartbeatAck(
            epoch,
            self._last_heartbeat_number,
            replicated.durable_epoch,
            replicated.durable_sequence,
            self.storage_ok,
            age,
            self.incarnation,
            self.leaving,
        )
        self.outbox.send(host, reply)

    def _on_replication(self, sender: ReplicaInfo, message: Append | Reconcile | Ranges) -> None:
        if not self._is_from_current_primary(sender, message.epoch):
            return
        replicated, epoch = self.replicated, message.epoch
        if replicated.epoch == epoch and message.sequence <= replicated.latest.sequence:
            # A write that is still pending is acknowledged once it is synced.
            if replicated.durable_epoch == epoch and message.sequence <= replicated.durable_sequence:
                self.outbox.send(sender.host, Appended(epoch, replicated.durable_sequence))
        elif isinstance(message, Append):
            self._on_append(sender, message)
        elif isinstance(message, Ranges):
            self._on_ranges(sender, message)
        else:
            self._on_reconcile(sender, message)

    def _on_append(self, sender: ReplicaInfo, message: Append) -> None:
        replicated = self.replicated
        if replicated.epoch != message.epoch or message.sequence != replicated.latest.sequence + 1:
            return
        replicated.append(message.epoch, message.sequence, message.changes)
        self._apply_commit(message.committed)
        self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))

    def _on_reconcile(self, sender: ReplicaInfo, message: Reconcile) -> None:
        self._compared_state = self.replicated.latest
        digests = range_digests(self._compared_state)
        if len(message.digests) != len(digests):
            return
        differing = tuple(n for n, digest in enumerate(digests) if digest != message.digests[n])
        if differing:
            self.outbox.send(sender.host, RangesWanted(message.epoch, message.sequence, differing))
            return
        self.replicated.adopt(message.epoch, message.sequence)
        self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))

    def _on_ranges(self, sender: ReplicaInfo, message: Ranges) -> None:
        if self._compared_state is not self.replicated.latest:
            return
        self.replicated.replace_ranges(message.epoch, message.sequence, message.ranges, message.entries)
        self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))

    def _apply_commit(self, sequence: int) -> None:
        if self.replicated.epoch == self.record.epoch and sequence >= 0:
            self.replicated.commit(sequence)
