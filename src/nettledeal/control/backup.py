"""The part of a replica as backup: what it takes from the primary of the epoch, and what it answers.

Sans-I/O; a base of `Replica`, which keeps the state that the parts share.
"""

from __future__ import annotations

from nettledeal.control.messages import (
    NO_LIVES,
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
from nettledeal.control.replicated import Replicated, range_digests
from nettledeal.control.roles import Appointment
from nettledeal.control.state import ControlState
from nettledeal.control.steps import Outbox


class Backup:
    """Follows the primary of the last epoch known: heartbeats, changes and reconciliation."""

    outbox: Outbox
    replicated: Replicated
    record: EpochRecord | None
    storage_ok: bool
    appointment: Appointment
    reader_epoch: int
    life: int
    leaving: bool
    _heard_beat: int
    _released_in: int
    reading_age_s: float | None
    confirmed_at: float
    _heard_primary_at: float
    _compared: ControlState | None

    def _current(self, sender: ReplicaInfo, epoch: int) -> bool:
        """Whether a message is of the primary of the present epoch; tells either side what it has missed."""
        record = self.record
        known = record.epoch if record is not None else -1
        if epoch > known:
            self.outbox.send(sender.host, RecordRequest(known))
        elif epoch < known:
            self.outbox.send(sender.host, Decided(record))
        return epoch == known and record.primary == sender.replica_id

    def _on_heartbeat(self, now: float, sender: ReplicaInfo, message: Heartbeat) -> None:
        if not self._current(sender, message.epoch):
            return
        replicated = self.replicated
        if message.age_ms >= 0:
            self._heard_primary_at = now
            self._postpone_election(now)
            self.appointment = Appointment(message.reader, message.reader_number, message.reader_life)
            self.reader_epoch = message.epoch
            self._take_commit(message.committed)
            if replicated.epoch == message.epoch and replicated.committed_sequence >= message.committed >= 0:
                self.confirmed_at = max(self.confirmed_at, now - message.age_ms / 1000)
        self._heard_beat = message.beat
        if message.released or message.reader_life == NO_LIVES:
            self._released_in = message.epoch
        self._answer_heartbeat(sender.host, message.epoch)

    def _answer_heartbeat(self, host: str, epoch: int) -> None:
        """Tell the primary of an epoch how this replica stands."""
        replicated = self.replicated
        age = -1 if self.reading_age_s is None else int(self.reading_age_s * 1000)
        reply = HeartbeatAck(
            epoch,
            self._heard_beat,
            replicated.durable_epoch,
            replicated.durable_sequence,
            self.storage_ok,
            age,
            self.life,
            self.leaving,
        )
        self.outbox.send(host, reply)

    def _on_replication(self, sender: ReplicaInfo, message: Append | Reconcile | Ranges) -> None:
        if not self._current(sender, message.epoch):
            return
        replicated, epoch = self.replicated, message.epoch
        if replicated.epoch == epoch and message.sequence <= replicated.latest.sequence:
            # What is not synced yet is acknowledged when it is.
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
        self._take_commit(message.committed)
        self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))

    def _on_reconcile(self, sender: ReplicaInfo, message: Reconcile) -> None:
        self._compared = self.replicated.latest
        digests = range_digests(self._compared)
        if len(message.digests) != len(digests):
            return
        differing = tuple(n for n, digest in enumerate(digests) if digest != message.digests[n])
        if differing:
            self.outbox.send(sender.host, RangesWanted(message.epoch, message.sequence, differing))
            return
        self.replicated.adopt(message.epoch, message.sequence)
        self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))

    def _on_ranges(self, sender: ReplicaInfo, message: Ranges) -> None:
        if self._compared is not self.replicated.latest:
            return
        self.replicated.replace_ranges(message.epoch, message.sequence, message.ranges, message.entries)
        self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))

    def _take_commit(self, sequence: int) -> None:
        if self.replicated.epoch == self.record.epoch and sequence >= 0:
            self.replicated.commit(sequence)
