"""One replica: its acceptor, its copy of the control state, and its role as primary or backup of an epoch.

Sans-I/O: inputs are messages, synced writes, calls and the time of a monotonic clock; `take_effects` returns
what the host has to do. A replica that restarts as the primary of the last epoch it knows has to win a new
epoch first.
"""

from __future__ import annotations

from random import Random

from nettledeal.common.errors import ErrorCode
from nettledeal.common.settings import FaultTolerance
from nettledeal.control.backup import Backup
from nettledeal.control.effects import DurableState, Effects, Outbox, SaveAcceptorState
from nettledeal.control.elections import Elections
from nettledeal.control.epoch_consensus import Acceptor, Proposer
from nettledeal.control.epoch_membership import FixedChoice
from nettledeal.control.messages import (
    NO_INCARNATIONS,
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
from nettledeal.control.reader_role import ReaderAppointment
from nettledeal.control.replicated_state import ReplicatedState
from nettledeal.control.state import Command, ControlState
from nettledeal.control.timing import Timing

NO_EPOCH = -1
INCARNATION_BITS = 62


class Replica(Elections, Backup):
    """The state machine of one core machine."""

    def __init__(
        self,
        info: ReplicaInfo,
        durable: DurableState,
        timing: Timing,
        tolerance: FaultTolerance,
        random: Random,
        now: float,
    ):
        self.info = info
        self.timing, self.tolerance, self.random = timing, tolerance, random
        self.outbox = Outbox()
        self.acceptor = Acceptor(info.replica_id, durable.acceptor)
        self.replicated = ReplicatedState(durable, self.outbox)
        self.primary: Primary | None = None
        self.proposer: Proposer | None = None
        self.known_replicas: dict[str, ReplicaInfo] = {}
        # Hosts to which the replica's own host keeps connections.
        self.contact_hosts: frozenset[str] = frozenset()
        self._heard_at: dict[str, float] = {}
        self.incarnation = random.getrandbits(INCARNATION_BITS) + 1
        self.appointment = ReaderAppointment("")
        self.reader_epoch = NO_EPOCH
        self.storage_ok = True
        self.leaving = False
        self._last_heartbeat_number = 0
        self._released_epoch = NO_EPOCH
        self.reading_age_s: float | None = None
        self.confirmed_at = NEVER
        self._heard_primary_at = NEVER
        self._started_at = now
        self._ballot_round = durable.acceptor.promised.round
        self._rejected_by: set[str] = set()
        self._own_record_writes: list[tuple[int, int]] = []
        self._next_resend_at = now
        self._next_change_at = now
        self._next_announce_at = now + timing.announce_interval_s
        self._compared_state: ControlState | None = None
        self._election_due_at = self._first_election_time(now)

    @property
    def record(self) -> EpochRecord | None:
        """The last decided epoch that this replica knows."""
        return self.acceptor.state.decided

    def take_effects(self) -> Effects:
        """The effects that the host has to execute now."""
        return self.outbox.take_effects()

    @property
    def current_appointment(self) -> ReaderAppointment:
        """The appointment of the platform list's reader, as known to this replica."""
        return self.primary.reader_role.appointment if self.primary is not None else self.appointment

    @property
    def is_reader(self) -> bool:
        """Whether this process, in its current incarnation, is to read the platform's list."""
        appointment = self.current_appointment
        return appointment.reader == self.info.replica_id and appointment.incarnation in (
            self.incarnation,
            NO_INCARNATIONS,
        )

    # Inputs

    def receive(self, now: float, sender: ReplicaInfo, message: Message) -> None:
        """Handle a message from `sender`; one that carries a record of another cluster is ignored."""
        if self.is_foreign(record_in(message)):
            return
        if sender.replica_id != self.info.replica_id:
            self.known_replicas[sender.host] = sender
            self._heard_at[sender.replica_id] = now
            if self.primary is not None:
                self.primary.update_peer(now, sender)
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

    def on_synced(self, now: float, number: int) -> None:
        """Handle the sync of all writes up to `number`."""
        self.replicated.on_synced(number)
        for written, epoch in self._own_record_writes:
            if written <= number:
                self._on_record_stored(now, self.info, epoch)
        self._own_record_writes = [entry for entry in self._own_record_writes if entry[0] > number]
        if self.primary is not None:
            self.primary.advance_commits(now)

    def submit(self, now: float, call_id: int, command: Command) -> None:
        """Evaluate and replicate a command."""
        if self.primary is None or self.leaving:
            self.outbox.answer(call_id, ErrorCode.NOT_PRIMARY)
        else:
            self.primary.submit(now, call_id, command)

    def read(self, now: float, call_id: int) -> None:
        """Read the committed state after confirming that it is the newest."""
        if self.primary is None:
            self.outbox.answer(call_id, ErrorCode.NOT_PRIMARY)
        else:
            self.primary.read(now, call_id)

    def set_storage(self, now: float, works: bool) -> None:
        """Record whether this replica's disk completes writes in time."""
        self.storage_ok = works
        self.tick(now)

    def leave(self, now: float) -> None:
        """Prepare for the process's exit: hand over leadership and leave the in-sync set."""
        self.leaving = True
        self._released_epoch = NO_EPOCH
        if self.primary is None:
            self._announce_leave()
        self.tick(now)

    @property
    def may_end(self) -> bool:
        """Whether the epoch known here no longer needs this replica, or there is no peer to agree with."""
        record = self.record
        if record is None or record.epoch == 0:
            return True
        if self.primary is not None:
            return record.voter_ids == {self.info.replica_id}
        return self._released_epoch == record.epoch

    def tick(self, now: float) -> None:
        """Handle due timers."""
        if now >= self._next_announce_at:
            self._announce_itself(now)
        if self.primary is not None:
            self._tick_primary(now)
        elif (
            self.record is not None
            and self._may_become_primary()
            and now >= self._election_due_at
            and self.proposer is None
        ):
            self._start_election(now)
        if self.proposer is not None:
            self._tick_proposer(now)

    @property
    def next_tick_at(self) -> float:
        """When `tick` is due."""
        due = [self._next_announce_at]
        if self.proposer is not None:
            due.append(self._next_proposer_tick_at())
        if self.primary is not None:
            due.append(self.primary.next_tick_at)
        elif self.proposer is None and self._may_become_primary():
            due.append(self._election_due_at)
        return min(due, default=float("inf"))

    def _next_proposer_tick_at(self) -> float:
        proposer = self.proposer
        if proposer.proposal is None and proposer.majority_at is not None:
            return min(self._next_resend_at, proposer.majority_at + self.timing.majority_grace_s)
        return self._next_resend_at

    def confirmed_age_s(self, now: float) -> float:
        """Age of the last confirmation that the local committed state is the newest."""
        confirmed = self.primary.confirmed_at if self.primary is not None else self.confirmed_at
        return now - confirmed

    def recently_heard_hosts(self, now: float) -> set[str]:
        """The hosts of replicas that were heard within `forget_after_s`, and so may await an answer."""
        return {
            host
            for host, info in self.known_replicas.items()
            if now - self._heard_at[info.replica_id] <= self.timing.forget_after_s
        }

    def is_foreign(self, record: EpochRecord | None) -> bool:
        """Whether a record belongs to a different cluster than this replica's disk."""
        own = self.record.cluster if self.record is not None else ""
        return record is not None and "" not in (own, record.cluster) and own != record.cluster

    # Learning of epochs

    def learn(self, now: float, record: EpochRecord, source_id: str) -> None:
        """Adopt a decided record; its primary counts as heard only if it sent the record itself."""
        deposed = self.record.primary if self.record is not None else ""
        if not self.acceptor.learn(record):
            return
        self._own_record_writes.append((self._save_acceptor_state(), record.epoch))
        if self.proposer is not None and self.proposer.epoch <= record.epoch:
            self.proposer = None
        earlier, self.primary = self.primary, None
        if source_id == record.primary:
            self._heard_primary_at = now
        same_primary = source_id != record.primary and record.primary == deposed
        self._postpone_election(max(self._heard_primary_at, self._started_at) if same_primary else now)
        if record.primary == self.info.replica_id:
            self._become_primary(now, record, earlier)
            self.primary.set_last_heard(deposed, self._heard_at.get(deposed, NEVER))
        elif earlier is not None:
            self._fail_pending_calls(earlier)
        self._last_heartbeat_number = 0
        if self.leaving and self.primary is None:
            self._announce_leave()

    def _become_primary(self, now: float, record: EpochRecord, earlier: Primary | None) -> None:
        before = earlier.reader_role.appointment if earlier else self.appointment
        # The reader and its granted incarnation carry over; appointment numbers restart with the epoch.
        incarnation = max(before.incarnation, NOT_GRANTED)
        appointment = ReaderAppointment(before.reader or self.info.replica_id, incarnation=incarnation)
        self.primary = Primary(
            self.info,
            record,
            self.replicated,
            self.outbox,
            self.timing,
            self.tolerance,
            now,
            appointment,
            self.incarnation,
        )
        self.primary.storage_ok = self.storage_ok
        self.primary.own_reading_age_s = self.reading_age_s
        if earlier is not None:
            self.primary.inherit_from(now, earlier)
        for info in self.known_replicas.values():
            self.primary.add_known_peer(now, info)
        self.primary.heartbeat(now)

    def _announce_leave(self) -> None:
        """Announce the shutdown to the primary without waiting for its next heartbeat."""
        if self.record is None:
            return
        for voter in self.record.voters:
            if voter.replica_id == self.record.primary:
                self._answer_heartbeat(voter.host, self.record.epoch)

    def _fail_pending_calls(self, earlier: Primary) -> None:
        for call in earlier.pending_calls:
            undecided = call.outcome is not None
            self.outbox.answer(call.call_id, ErrorCode.TIMED_OUT if undecided else ErrorCode.NOT_PRIMARY)

    def _on_record_stored(self, now: float, sender: ReplicaInfo, epoch: int) -> None:
        if self.primary is not None and epoch == self.primary.record.epoch:
            self.primary.on_record_stored(sender.replica_id)
            self.primary.reconcile_record_holders(now)
            self.primary.review_reader(now)
            self.primary.advance_commits(now)
            self.primary.announce_release(now)

    def _save_acceptor_state(self) -> int:
        return self.outbox.write(SaveAcceptorState(self.acceptor.state))

    def _on_hello(self, now: float, sender: ReplicaInfo, message: Hello) -> None:
        if message.record is not None:
            self.learn(now, message.record, sender.replica_id)
        if self.record is not None and (message.record is None or message.record.epoch < self.record.epoch):
            self.outbox.send(sender.host, Decided(self.record))

    def _announce_itself(self, now: float) -> None:
        """Announce this replica to all contacts while it hears no primary, which may not know of it.

        Any of them that knows an epoch answers with its record, which names the voters.
        """
        self._next_announce_at = now + self.timing.announce_interval_s
        if self.primary is not None or now - self._heard_primary_at <= self.timing.silence_s:
            return
        voters = {voter.host for voter in self.record.voters} if self.record is not None else set()
        for host in sorted((voters | self.contact_hosts) - {self.info.host}):
            self.outbox.send(host, Hello(self.info, self.record))

    # Primary role

    def _tick_primary(self, now: float) -> None:
        primary = self.primary
        primary.storage_ok = self.storage_ok
        primary.own_reading_age_s = self.reading_age_s
        primary.tick(now)
        self._propose_change(now)

    def _propose_change(self, now: float) -> None:
        if self.proposer is not None or now < self._next_change_at:
            return
        primary = self.primary
        primary.update_admissions(now)
        record = primary.transfer_record(now) if self.leaving else primary.desired_record(now)
        if record is None or primary.lacks_majority(now):
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
            primary.on_heartbeat_ack(now, peer, message)
            primary.review_reader(now)
        elif isinstance(message, Appended):
            primary.on_appended(now, peer, message)
        else:
            primary.on_ranges_wanted(peer, message)
        self._propose_change(now)
