"""The primary of an epoch: replication, commits, confirmed reads and proposals for the next epoch."""

from __future__ import annotations

from collections import deque

import msgspec

from nettledeal.common.errors import ErrorCode
from nettledeal.common.settings import FaultTolerance
from nettledeal.control.change_log import ChangeLog
from nettledeal.control.decisions import decide
from nettledeal.control.effects import Outbox
from nettledeal.control.epoch_membership import Candidate, next_record, satisfies_tolerance
from nettledeal.control.messages import (
    Decided,
    EpochRecord,
    Heartbeat,
    ReplicaInfo,
)
from nettledeal.control.peers import HEARTBEAT_TIMES_KEPT, NEVER, Peer, PeerTracking
from nettledeal.control.reader_role import ReaderAppointment, ReaderCandidate, ReaderRole
from nettledeal.control.replicated_state import ReplicatedState
from nettledeal.control.replication import WINDOW_CHANGES, Replication
from nettledeal.control.state import Command, Outcome
from nettledeal.control.timing import Timing

# Changes that may await their commit; further commands are refused as unavailable for the moment.
MAX_UNCOMMITTED = 256
# Commits may wait for a replica to catch up if it lags by no more changes than this.
MAX_ADMISSION_LAG_CHANGES = WINDOW_CHANGES


class PendingCall(msgspec.Struct, frozen=True):
    """A call that is answered once `sequence` is committed and heartbeat `heartbeat_number` is confirmed."""

    call_id: int
    sequence: int
    heartbeat_number: int
    outcome: Outcome | None


class Primary(Replication, PeerTracking):
    """The primary role for one epoch; acts once a majority of the voters has stored the epoch's record."""

    def __init__(
        self,
        info: ReplicaInfo,
        record: EpochRecord,
        replicated: ReplicatedState,
        outbox: Outbox,
        timing: Timing,
        tolerance: FaultTolerance,
        now: float,
        appointment: ReaderAppointment,
        incarnation: int,
    ):
        self.info, self.record = info, record
        self.incarnation = incarnation
        self.acting = False
        self.peers: dict[str, Peer] = {}
        self.reader_role = ReaderRole(appointment, now, timing)
        self.storage_ok = True
        self.own_reading_age_s: float | None = None
        self.pending_calls: list[PendingCall] = []
        self._replicated, self._outbox, self._timing, self._tolerance = replicated, outbox, timing, tolerance
        self._record_holders: set[str] = set()
        self._proposed_members: set[str] = set()
        self._change_log = ChangeLog()
        # Everything up to this sequence may have been acknowledged by an earlier primary.
        self._inherited_sequence = 0
        self._heartbeat_number = 0
        self._heartbeat_times: deque[tuple[int, float]] = deque(maxlen=HEARTBEAT_TIMES_KEPT)
        self._next_heartbeat_at = now
        self.confirmed_at = NEVER
        for voter in record.voters:
            if voter.replica_id != info.replica_id:
                self.peers[voter.replica_id] = Peer(voter, heard_at=now)

    def inherit_from(self, now: float, earlier: Primary) -> None:
        """Continue from this replica's own previous epoch: contacts, pending calls and disk status."""
        for name, before in earlier.peers.items():
            peer = self.peers.setdefault(name, Peer(before.info))
            peer.info, peer.heard_at, peer.storage_ok = before.info, before.heard_at, before.storage_ok
            peer.reading_age_s, peer.incarnation, peer.leaving = (
                before.reading_age_s,
                before.incarnation,
                before.leaving,
            )
        self.pending_calls = [
            PendingCall(call.call_id, call.sequence, 1, call.outcome) for call in earlier.pending_calls
        ]
        self.storage_ok, self.own_reading_age_s = earlier.storage_ok, earlier.own_reading_age_s
        self.confirmed_at = earlier.confirmed_at

    def on_record_stored(self, replica_id: str) -> None:
        """A replica has stored the epoch's record; the primary acts only once its own copy is on disk."""
        self._record_holders.add(replica_id)
        if self.acting or self.info.replica_id not in self._record_holders:
            return
        if len(self._record_holders & self.record.voter_ids) >= self.record.majority:
            self.acting = True
            self._inherited_sequence = self._replicated.latest.sequence
            self._replicated.adopt(self.record.epoch, self._inherited_sequence)

    # Commands and reads

    def submit(self, now: float, call_id: int, command: Command) -> None:
        """Evaluate a command; it is answered once its changes are committed on all required replicas."""
        if not self.acting or self._uncommitted_count >= MAX_UNCOMMITTED:
            self._outbox.answer(call_id, ErrorCode.UNAVAILABLE)
            return
        decision = decide(self._replicated.latest, command)
        if not decision.changes:
            self._confirm(now, call_id, decision.outcome)
            return
        sequence = self._replicated.latest.sequence + 1
        self._replicated.append(self.record.epoch, sequence, decision.changes)
        self._change_log.append(sequence, decision.changes)
        self.pending_calls.append(PendingCall(call_id, sequence, 0, decision.outcome))
        for peer in self.peers.values():
            self._send_appends(now, peer)

    def read(self, now: float, call_id: int) -> None:
        """Answer with the committed state once a new heartbeat has confirmed the epoch."""
        if not self.acting:
            self._outbox.answer(call_id, ErrorCode.UNAVAILABLE)
            return
        self._confirm(now, call_id, None)

    def _confirm(self, now: float, call_id: int, outcome: Outcome | None) -> None:
        self.heartbeat(now)
        self.pending_calls.append(
            PendingCall(call_id, self._replicated.latest.sequence, self._heartbeat_number, outcome)
        )
        self.advance_commits(now)

    def required_peers(self) -> set[str]:
        """The peers that must sync a change before it is committed: in sync, proposed to be, or admitted."""
        admitted = {name for name, peer in self.peers.items() if peer.admitted_at is not None}
        return (set(self.record.in_sync) | self._proposed_members | admitted) - {self.info.replica_id}

    @property
    def _uncommitted_count(self) -> int:
        return self._replicated.latest.sequence - max(
            self._inherited_sequence, self._replicated.committed_sequence
        )

    @property
    def _joining_sequence(self) -> int:
        """What a replica must have synced to join: everything that may have been acknowledged so far."""
        return max(self._inherited_sequence, self._replicated.committed_sequence)

    def update_admissions(self, now: float) -> None:
        """Make commits wait for replicas that have nearly caught up.

        Under continuous load, a replica with a longer round trip than the others would otherwise never catch
        up. One that doesn't catch up within `silence_s` isn't waited for again until `forget_after_s` later.
        """
        for name, peer in self.peers.items():
            if name in self.record.in_sync or name in self._proposed_members:
                peer.admitted_at = None
            elif peer.admitted_at is not None:
                if now - peer.admitted_at > self._timing.silence_s:
                    peer.admitted_at, peer.admit_again_at = None, now + self._timing.forget_after_s
            elif now >= peer.admit_again_at and self._nearly_caught_up(now, peer):
                peer.admitted_at = now

    def _nearly_caught_up(self, now: float, peer: Peer) -> bool:
        candidate = peer.to_candidate(now, self._joining_sequence, self._timing)
        if not candidate.usable or candidate.leaving or candidate.caught_up:
            return False
        return (
            peer.acked_sequence >= 0
            and self._replicated.latest.sequence - peer.acked_sequence <= MAX_ADMISSION_LAG_CHANGES
        )

    def propose(self, record: EpochRecord) -> None:
        """Prepare to propose a record: its in-sync members must sync everything committed from now on."""
        self._proposed_members |= set(record.in_sync)

    def advance_commits(self, now: float) -> bool:
        """Commit what all required peers have synced, and answer settled calls.

        Returns whether anything was committed.
        """
        if not self.acting:
            return False
        committed = self._commit()
        self._confirm_heartbeats()
        still_pending = []
        for call in self.pending_calls:
            if self._is_settled(call):
                self._outbox.answer(call.call_id, call.outcome or self._replicated.committed)
            else:
                still_pending.append(call)
        self.pending_calls = still_pending
        if committed:
            self.heartbeat(now)
        return committed

    def _is_settled(self, call: PendingCall) -> bool:
        committed = call.sequence <= self._replicated.committed_sequence
        return committed and call.heartbeat_number <= self._confirmed_heartbeat

    def _commit(self) -> bool:
        replicated, epoch = self._replicated, self.record.epoch
        if replicated.durable_epoch != epoch:
            return False
        if not satisfies_tolerance(self.record.in_sync, self.record.voters, self._tolerance):
            return False
        sequences = [
            self.peers[name].acked_sequence if name in self.peers else -1 for name in self.required_peers()
        ]
        return replicated.commit(min([replicated.durable_sequence, *sequences]))

    @property
    def _confirmed_heartbeat(self) -> int:
        heartbeat_numbers = [
            self.peers[name].acked_heartbeat if name in self.peers else 0 for name in self.required_peers()
        ]
        return min(heartbeat_numbers, default=self._heartbeat_number)

    def _confirm_heartbeats(self) -> None:
        confirmed = self._confirmed_heartbeat
        for heartbeat_number, at in self._heartbeat_times:
            if heartbeat_number <= confirmed:
                self.confirmed_at = max(self.confirmed_at, at)

    # Time

    def tick(self, now: float) -> None:
        """Send heartbeats, resend what wasn't acknowledged, and review the reader's appointment."""
        if now >= self._next_heartbeat_at:
            self.heartbeat(now)
        if not self.acting:
            return
        self._forget_silent_peers(now)
        for peer in self.peers.values():
            self._send_appends(now, peer)
        self.review_reader(now)
        self.advance_commits(now)

    def review_reader(self, now: float) -> None:
        """Appoint another reader or grant the role to its new incarnation if due; announce any change."""
        if self.acting and self.reader_role.review(now, self._reader_candidates(now)):
            self.heartbeat(now)

    @property
    def next_tick_at(self) -> float:
        """When `tick` is due."""
        return self._next_heartbeat_at

    def heartbeat(self, now: float) -> None:
        """Send a heartbeat to every peer."""
        self._next_heartbeat_at = now + self._timing.heartbeat_interval_s
        self._heartbeat_number += 1
        self._heartbeat_times.append((self._heartbeat_number, now))
        appointment = self.reader_role.appointment
        message = Heartbeat(
            self.record.epoch,
            self._heartbeat_number,
            self._replicated.committed_sequence,
            self._confirmed_age_ms(now),
            appointment.reader,
            appointment.number,
            appointment.incarnation,
        )
        released = self._released_peers(now)
        for name, peer in self.peers.items():
            self._send(peer, msgspec.structs.replace(message, released=True) if name in released else message)
            if not self.acting and name not in self._record_holders:
                self._send(peer, Decided(self.record))

    def _confirmed_age_ms(self, now: float) -> int:
        if self.lacks_majority(now):
            return -1
        return int(min(now - self.confirmed_at, 3600.0) * 1000)

    def _reader_candidates(self, now: float) -> list[ReaderCandidate]:
        own = ReaderCandidate(self.info.replica_id, self.incarnation, self.own_reading_age_s)
        live = [
            ReaderCandidate(name, peer.incarnation, peer.reading_age_s)
            for name, peer in self.peers.items()
            if peer.is_live(now, self._timing) and not peer.leaving
        ]
        return [own, *live]

    # The next epoch

    def candidates(self, now: float) -> dict[str, Candidate]:
        """All known replicas, including this one."""
        sequence = self._joining_sequence
        found = {name: peer.to_candidate(now, sequence, self._timing) for name, peer in self.peers.items()}
        found[self.info.replica_id] = Candidate(self.info, True, self.storage_ok, True)
        return found

    def desired_record(self, now: float) -> EpochRecord | None:
        """The epoch that should replace this one, if any."""
        if not self.acting:
            return None
        if not self.storage_ok:
            return self.transfer_record(now)
        return next_record(self.record, self.candidates(now), self._tolerance)

    def _released_peers(self, now: float) -> set[str]:
        """The leaving peers that may exit: they aren't in sync, and no further epoch change is needed."""
        leaving = {name for name, peer in self.peers.items() if peer.leaving} - set(self.record.in_sync)
        if not leaving or not self.acting or self.desired_record(now) is not None:
            return set()
        return leaving

    def announce_release(self, now: float) -> None:
        """Notify leaving peers at once that the epoch without them is stored."""
        if self._released_peers(now):
            self.heartbeat(now)

    def transfer_record(self, now: float) -> EpochRecord | None:
        """An epoch led by the most advanced in-sync member, without this replica in the in-sync set."""
        candidates = self.candidates(now)
        members = [
            name
            for name in self.record.in_sync
            if name != self.info.replica_id
            and name in candidates
            and candidates[name].usable
            and not candidates[name].leaving
        ]
        if not members:
            return None
        successor = max(members, key=lambda name: (self.peers[name].acked_sequence, name))
        kept = tuple(name for name in self.record.in_sync if name != self.info.replica_id)
        if not satisfies_tolerance(kept, self.record.voters, self._tolerance):
            kept = self.record.in_sync
        base = self.record
        return EpochRecord(base.epoch + 1, successor, kept, base.voters, base.cluster)
