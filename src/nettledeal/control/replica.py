"""One replica: its witness, its copy of the control state, and its part as primary or backup of an epoch.

Sans-I/O: inputs are messages, synced writes, tickets and the time of a steady clock; `take` returns what the
host is to do. A replica that restarts as the primary of the last epoch it knows goes through a new epoch
first.
"""

from __future__ import annotations

from random import Random

from nettledeal.common.errors import ErrorCode
from nettledeal.common.settings import FaultTolerance
from nettledeal.control.backup import Backup
from nettledeal.control.composition import FixedChoice
from nettledeal.control.elections import Elections
from nettledeal.control.epochs import Proposer, Witness
from nettledeal.control.messages import (
    NO_LIVES,
    NOT_GRANTED,
    Accept,
    Accepted,
    Append,
    Appended,
    Decided,
    EpochRecord,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Message,
    Prepare,
    Promise,
    Ranges,
    RangesWanted,
    Reconcile,
    RecordRequest,
    RecordStored,
    Rejected,
    ReplicaInfo,
    record_in,
)
from nettledeal.control.peers import NEVER
from nettledeal.control.primary import Primary
from nettledeal.control.replicated import Replicated
from nettledeal.control.roles import Appointment
from nettledeal.control.state import Command, ControlState
from nettledeal.control.steps import Durable, Outbox, SaveWitness, Step
from nettledeal.control.timing import Timing

NO_EPOCH = -1
LIFE_BITS = 62


class Replica(Elections, Backup):
    """The state machine of one core machine."""

    def __init__(
        self,
        info: ReplicaInfo,
        durable: Durable,
        timing: Timing,
        tolerance: FaultTolerance,
        random: Random,
        now: float,
    ):
        self.info = info
        self.timing, self.tolerance, self.random = timing, tolerance, random
        self.outbox = Outbox()
        self.witness = Witness(info.replica_id, durable.witness)
        self.replicated = Replicated(durable, self.outbox)
        self.primary: Primary | None = None
        self.proposer: Proposer | None = None
        self.known: dict[str, ReplicaInfo] = {}
        self._heard_at: dict[str, float] = {}
        self.life = random.getrandbits(LIFE_BITS) + 1
        self.appointment = Appointment("")
        self.reader_epoch = NO_EPOCH
        self.storage_ok = True
        self.leaving = False
        self._heard_beat = 0
        self._released_in = NO_EPOCH
        self.reading_age_s: float | None = None
        self.confirmed_at = NEVER
        self._heard_primary_at = NEVER
        self._started_at = now
        self._round = durable.witness.promised.round
        self._rejected_by: set[str] = set()
        self._own_record_writes: list[tuple[int, int]] = []
        self._resend_at = now
        self._change_at = now
        self._announce_at = now + timing.announce_s
        self._compared: ControlState | None = None
        self._elect_at = self._first_election(now)

    @property
    def record(self) -> EpochRecord | None:
        """The last decided epoch that this replica knows."""
        return self.witness.state.decided

    def take(self) -> Step:
        """What the host is to do now."""
        return self.outbox.take()

    @property
    def current_appointment(self) -> Appointment:
        """Who reads the platform's list, as this replica knows."""
        return self.primary.role.appointment if self.primary is not None else self.appointment

    @property
    def reads(self) -> bool:
        """Whether this process is to read the platform's list, in its present life."""
        appointment = self.current_appointment
        return appointment.reader == self.info.replica_id and appointment.life in (self.life, NO_LIVES)

    # Inputs

    def receive(self, now: float, sender: ReplicaInfo, message: Message) -> None:
        """A message has arrived from `sender`; one with a record of another cluster is passed over."""
        if self.is_foreign(record_in(message)):
            return
        if sender.replica_id != self.info.replica_id:
            self.known[sender.host] = sender
            self._heard_at[sender.replica_id] = now
            if self.primary is not None:
                self.primary.meet(now, sender)
        match message:
            case Hello():
                self._on_hello(now, sender, message)
            case Heartbeat():
                self._on_heartbeat(now, sender, message)
            case HeartbeatAck() | Appended() | RangesWanted():
                self._on_progress(now, sender, message)
            case Append() | Reconcile() | Ranges():
                self._on_replication(sender, message)
            case Decided():
                self.learn(now, message.record, sender.replica_id)
                self.outbox.send_synced(sender.host, RecordStored(self.record.epoch))
            case RecordStored():
                self._on_record_stored(now, sender, message.epoch)
            case RecordRequest():
                if self.record is not None and self.record.epoch > message.epoch:
                    self.outbox.send(sender.host, Decided(self.record))
            case Prepare() | Accept():
                self._on_ballot(now, sender, message)
            case Promise() | Accepted() | Rejected():
                self._on_vote(now, sender, message)

    def synced(self, now: float, number: int) -> None:
        """All writes up to `number` are on the disk."""
        self.replicated.synced(number)
        for written, epoch in self._own_record_writes:
            if written <= number:
                self._on_record_stored(now, self.info, epoch)
        self._own_record_writes = [entry for entry in self._own_record_writes if entry[0] > number]
        if self.primary is not None:
            self.primary.progress(now)

    def submit(self, now: float, ticket: int, command: Command) -> None:
        """Decide and replicate a command."""
        if self.primary is None or self.leaving:
            self.outbox.answer(ticket, ErrorCode.NOT_PRIMARY)
        else:
            self.primary.submit(now, ticket, command)

    def read(self, now: float, ticket: int) -> None:
        """Read the committed state, confirmed to be the newest."""
        if self.primary is None:
            self.outbox.answer(ticket, ErrorCode.NOT_PRIMARY)
        else:
            self.primary.read(now, ticket)

    def set_storage(self, now: float, works: bool) -> None:
        """Whether this replica's disk takes writes in time."""
        self.storage_ok = works
        self.tick(now)

    def leave(self, now: float) -> None:
        """The process is to end: hand over if this replica is the primary, and have others do without it."""
        self.leaving = True
        self._released_in = NO_EPOCH
        if self.primary is None:
            self._announce_leave()
        self.tick(now)

    @property
    def may_end(self) -> bool:
        """Whether the epoch known here needs this replica no more, or there is nobody to agree with."""
        record = self.record
        if record is None or record.epoch == 0:
            return True
        if self.primary is not None:
            return record.voter_ids == {self.info.replica_id}
        return self._released_in == record.epoch

    def tick(self, now: float) -> None:
        """Time has passed."""
        if now >= self._announce_at:
            self._introduce_itself(now)
        if self.primary is not None:
            self._tick_primary(now)
        elif self.record is not None and self._may_lead() and now >= self._elect_at and self.proposer is None:
            self._start_election(now)
        if self.proposer is not None:
            self._tick_proposer(now)

    @property
    def wake(self) -> float:
        """When `tick` is due."""
        due = [self._announce_at]
        if self.proposer is not None:
            due.append(self._proposer_wake())
        if self.primary is not None:
            due.append(self.primary.wake)
        elif self.proposer is None and self._may_lead():
            due.append(self._elect_at)
        return min(due, default=float("inf"))

    def _proposer_wake(self) -> float:
        proposer = self.proposer
        if proposer.proposal is None and proposer.majority_at is not None:
            return min(self._resend_at, proposer.majority_at + self.timing.majority_grace_s)
        return self._resend_at

    def confirmed_age_s(self, now: float) -> float:
        """Age of the last confirmation that the committed state here is the newest."""
        confirmed = self.primary.confirmed_at if self.primary is not None else self.confirmed_at
        return now - confirmed

    def is_foreign(self, record: EpochRecord | None) -> bool:
        """Whether a record is of another cluster than this replica's disk."""
        own = self.record.cluster if self.record is not None else ""
        return record is not None and "" not in (own, record.cluster) and own != record.cluster

    # Learning of epochs

    def learn(self, now: float, record: EpochRecord, told_by: str) -> None:
        """A record is known to be decided; its primary counts as heard only if it told of it itself."""
        deposed = self.record.primary if self.record is not None else ""
        if not self.witness.learn(record):
            return
        self._own_record_writes.append((self._save_witness(), record.epoch))
        if self.proposer is not None and self.proposer.epoch <= record.epoch:
            self.proposer = None
        earlier, self.primary = self.primary, None
        if told_by == record.primary:
            self._heard_primary_at = now
        goes_on = told_by != record.primary and record.primary == deposed
        self._postpone_election(max(self._heard_primary_at, self._started_at) if goes_on else now)
        if record.primary == self.info.replica_id:
            self._become_primary(now, record, earlier)
            self.primary.last_heard(deposed, self._heard_at.get(deposed, NEVER))
        elif earlier is not None:
            self._fail_tickets(earlier)
        self._heard_beat = 0
        if self.leaving and self.primary is None:
            self._announce_leave()

    def _become_primary(self, now: float, record: EpochRecord, earlier: Primary | None) -> None:
        before = earlier.role.appointment if earlier else self.appointment
        # The reader goes on; the life that it was granted is known, and numbers begin anew with the epoch.
        life = max(before.life, NOT_GRANTED)
        appointment = Appointment(before.reader or self.info.replica_id, life=life)
        self.primary = Primary(
            self.info,
            record,
            self.replicated,
            self.outbox,
            self.timing,
            self.tolerance,
            now,
            appointment,
            self.life,
        )
        self.primary.storage_ok = self.storage_ok
        self.primary.own_reading_age_s = self.reading_age_s
        if earlier is not None:
            self.primary.succeed(now, earlier)
        for info in self.known.values():
            self.primary.introduce(now, info)
        self.primary.heartbeat(now)

    def _announce_leave(self) -> None:
        """Tell the primary, without waiting for its next heartbeat, that this process is about to end."""
        if self.record is None:
            return
        for voter in self.record.voters:
            if voter.replica_id == self.record.primary:
                self._answer_heartbeat(voter.host, self.record.epoch)

    def _fail_tickets(self, earlier: Primary) -> None:
        for waiting in earlier.waiting:
            undecided = waiting.outcome is not None
            self.outbox.answer(waiting.ticket, ErrorCode.TIMED_OUT if undecided else ErrorCode.NOT_PRIMARY)

    def _on_record_stored(self, now: float, sender: ReplicaInfo, epoch: int) -> None:
        if self.primary is not None and epoch == self.primary.record.epoch:
            self.primary.stored(sender.replica_id)
            self.primary.reconcile_stored(now)
            self.primary.review_reader(now)
            self.primary.progress(now)
            self.primary.tell_released(now)

    def _save_witness(self) -> int:
        return self.outbox.write(SaveWitness(self.witness.state))

    def _on_hello(self, now: float, sender: ReplicaInfo, message: Hello) -> None:
        if message.record is not None:
            self.learn(now, message.record, sender.replica_id)
        if self.record is not None and (message.record is None or message.record.epoch < self.record.epoch):
            self.outbox.send(sender.host, Decided(self.record))

    def _introduce_itself(self, now: float) -> None:
        """A replica that hears no primary tells of itself: the primary may not know of it."""
        self._announce_at = now + self.timing.announce_s
        if self.record is None or self.primary is not None:
            return
        if now - self._heard_primary_at > self.timing.silence_s:
            for voter in self.record.voters:
                if voter.host != self.info.host:
                    self.outbox.send(voter.host, Hello(self.info, self.record))

    # The primary's part

    def _tick_primary(self, now: float) -> None:
        primary = self.primary
        primary.storage_ok = self.storage_ok
        primary.own_reading_age_s = self.reading_age_s
        primary.tick(now)
        self._propose_change(now)

    def _propose_change(self, now: float) -> None:
        if self.proposer is not None or now < self._change_at:
            return
        primary = self.primary
        primary.admit(now)
        record = primary.transfer_record(now) if self.leaving else primary.wanted_record(now)
        if record is None or primary.quiet(now):
            return
        primary.propose(record)
        self._propose(now, primary.record, FixedChoice(record))

    def _on_progress(
        self, now: float, sender: ReplicaInfo, message: HeartbeatAck | Appended | RangesWanted
    ) -> None:
        primary = self.primary
        if primary is None or message.epoch != primary.record.epoch:
            return
        peer = primary.peers[sender.replica_id]
        if isinstance(message, HeartbeatAck):
            primary.acknowledged(now, peer, message)
            primary.review_reader(now)
        elif isinstance(message, Appended):
            primary.appended(now, peer, message)
        else:
            primary.ranges_wanted(peer, message)
        self._propose_change(now)
