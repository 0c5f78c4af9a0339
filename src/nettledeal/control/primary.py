"""The primary's part of an epoch: replication, commits, confirmed reads and the composition it wants next."""

from __future__ import annotations

from collections import deque

import msgspec

from nettledeal.common.errors import ErrorCode
from nettledeal.common.settings import FaultTolerance
from nettledeal.control.change_log import ChangeLog
from nettledeal.control.composition import Candidate, next_record, satisfies_floor
from nettledeal.control.decisions import decide
from nettledeal.control.messages import (
    Decided,
    EpochRecord,
    Heartbeat,
    ReplicaInfo,
)
from nettledeal.control.peers import BEATS_KEPT, NEVER, Contacts, Peer
from nettledeal.control.replicated import Replicated
from nettledeal.control.replication import WINDOW_CHANGES, Replication
from nettledeal.control.roles import Appointment, ReaderCandidate, ReaderRole
from nettledeal.control.state import Command, Outcome
from nettledeal.control.steps import Outbox
from nettledeal.control.timing import Timing

# Changes that may wait for their commit; what comes beyond them is refused for the moment.
MAX_UNCOMMITTED = 256
# A replica that lacks no more changes than this may have commits wait until it is caught up.
ADMIT_WITHIN = WINDOW_CHANGES


class Waiting(msgspec.Struct, frozen=True):
    """A ticket that is answered once `sequence` is committed and, for a read, `beat` is confirmed."""

    ticket: int
    sequence: int
    beat: int
    outcome: Outcome | None


class Primary(Replication, Contacts):
    """Acts for one epoch, once a majority of its voters has stored the epoch's record."""

    def __init__(
        self,
        info: ReplicaInfo,
        record: EpochRecord,
        replicated: Replicated,
        outbox: Outbox,
        timing: Timing,
        tolerance: FaultTolerance,
        now: float,
        appointment: Appointment,
        life: int,
    ):
        self.info, self.record = info, record
        self.life = life
        self.acting = False
        self.peers: dict[str, Peer] = {}
        self.role = ReaderRole(appointment, now, timing)
        self.storage_ok = True
        self.own_reading_age_s: float | None = None
        self.waiting: list[Waiting] = []
        self._replicated, self._outbox, self._timing, self._tolerance = replicated, outbox, timing, tolerance
        self._stored: set[str] = set()
        self._proposed: set[str] = set()
        self._log = ChangeLog()
        # Up to this sequence everything may have been acknowledged by a primary before.
        self._begun_at = 0
        self._beat = 0
        self._beat_times: deque[tuple[int, float]] = deque(maxlen=BEATS_KEPT)
        self._heartbeat_at = now
        self.confirmed_at = NEVER
        for voter in record.voters:
            if voter.replica_id != info.replica_id:
                self.peers[voter.replica_id] = Peer(voter, heard_at=now)

    def succeed(self, now: float, earlier: Primary) -> None:
        """Go on from this replica's own epoch before: its contacts, waiting tickets and reader."""
        for name, before in earlier.peers.items():
            peer = self.peers.setdefault(name, Peer(before.info))
            peer.info, peer.heard_at, peer.storage_ok = before.info, before.heard_at, before.storage_ok
            peer.reading_age_s, peer.life, peer.leaving = before.reading_age_s, before.life, before.leaving
        self.waiting = [
            Waiting(waiting.ticket, waiting.sequence, 1, waiting.outcome) for waiting in earlier.waiting
        ]
        self.storage_ok, self.own_reading_age_s = earlier.storage_ok, earlier.own_reading_age_s
        self.confirmed_at = earlier.confirmed_at

    def stored(self, replica_id: str) -> None:
        """A replica has stored the epoch's record; this one's own copy must be on the disk before it acts."""
        self._stored.add(replica_id)
        if self.acting or self.info.replica_id not in self._stored:
            return
        if len(self._stored & self.record.voter_ids) >= self.record.majority:
            self.acting = True
            self._begun_at = self._replicated.latest.sequence
            self._replicated.adopt(self.record.epoch, self._begun_at)

    # Commands and reads

    def submit(self, now: float, ticket: int, command: Command) -> None:
        """Decide a command; it is answered once its changes are committed everywhere."""
        if not self.acting or self._uncommitted_count >= MAX_UNCOMMITTED:
            self._outbox.answer(ticket, ErrorCode.UNAVAILABLE)
            return
        decision = decide(self._replicated.latest, command)
        if not decision.changes:
            self._confirm(now, ticket, decision.outcome)
            return
        sequence = self._replicated.latest.sequence + 1
        self._replicated.append(self.record.epoch, sequence, decision.changes)
        self._log.append(sequence, decision.changes)
        self.waiting.append(Waiting(ticket, sequence, 0, decision.outcome))
        for peer in self.peers.values():
            self._send_appends(now, peer)

    def read(self, now: float, ticket: int) -> None:
        """Answer with the committed state once the epoch is confirmed."""
        if not self.acting:
            self._outbox.answer(ticket, ErrorCode.UNAVAILABLE)
            return
        self._confirm(now, ticket, None)

    def _confirm(self, now: float, ticket: int, outcome: Outcome | None) -> None:
        self.heartbeat(now)
        self.waiting.append(Waiting(ticket, self._replicated.latest.sequence, self._beat, outcome))
        self.progress(now)

    def required(self) -> set[str]:
        """The peers without whose sync nothing is committed: in sync, proposed to be, or admitted."""
        admitted = {name for name, peer in self.peers.items() if peer.admitted_at is not None}
        return (set(self.record.in_sync) | self._proposed | admitted) - {self.info.replica_id}

    @property
    def _uncommitted_count(self) -> int:
        return self._replicated.latest.sequence - max(self._begun_at, self._replicated.committed_sequence)

    @property
    def _joining_sequence(self) -> int:
        """What a replica must have synced to join: all that may have been acknowledged so far."""
        return max(self._begun_at, self._replicated.committed_sequence)

    def admit(self, now: float) -> None:
        """Have commits wait for replicas that are nearly caught up.

        While changes go on without a pause, one that is farther away than the others would trail for ever.
        One that does not catch up within the bound of silence is let go for a while.
        """
        for name, peer in self.peers.items():
            if name in self.record.in_sync or name in self._proposed:
                peer.admitted_at = None
            elif peer.admitted_at is not None:
                if now - peer.admitted_at > self._timing.silence_s:
                    peer.admitted_at, peer.admit_again_at = None, now + self._timing.gone_s
            elif now >= peer.admit_again_at and self._nearly_caught_up(now, peer):
                peer.admitted_at = now

    def _nearly_caught_up(self, now: float, peer: Peer) -> bool:
        candidate = peer.candidate(now, self._joining_sequence, self._timing)
        if not candidate.usable or candidate.leaving or candidate.caught_up:
            return False
        return peer.acked >= 0 and self._replicated.latest.sequence - peer.acked <= ADMIT_WITHIN

    def propose(self, record: EpochRecord) -> None:
        """A record is about to be proposed: its members must have all that is committed from now on."""
        self._proposed |= set(record.in_sync)

    def progress(self, now: float) -> bool:
        """Commit and answer what has become so; whether anything was committed."""
        if not self.acting:
            return False
        committed = self._commit()
        self._confirm_beats()
        still = []
        for waiting in self.waiting:
            if self._is_settled(waiting):
                self._outbox.answer(waiting.ticket, waiting.outcome or self._replicated.committed)
            else:
                still.append(waiting)
        self.waiting = still
        if committed:
            self.heartbeat(now)
        return committed

    def _is_settled(self, waiting: Waiting) -> bool:
        committed = waiting.sequence <= self._replicated.committed_sequence
        return committed and waiting.beat <= self._confirmed_beat

    def _commit(self) -> bool:
        replicated, epoch = self._replicated, self.record.epoch
        if replicated.durable_epoch != epoch:
            return False
        if not satisfies_floor(self.record.in_sync, self.record.voters, self._tolerance):
            return False
        sequences = [self.peers[name].acked if name in self.peers else -1 for name in self.required()]
        return replicated.commit(min([replicated.durable_sequence, *sequences]))

    @property
    def _confirmed_beat(self) -> int:
        beats = [self.peers[name].beat if name in self.peers else 0 for name in self.required()]
        return min(beats, default=self._beat)

    def _confirm_beats(self) -> None:
        confirmed = self._confirmed_beat
        for beat, at in self._beat_times:
            if beat <= confirmed:
                self.confirmed_at = max(self.confirmed_at, at)

    # Time

    def tick(self, now: float) -> None:
        """Heartbeats, repetition of what was not answered, and the reader's appointment."""
        if now >= self._heartbeat_at:
            self.heartbeat(now)
        if not self.acting:
            return
        self._forget_gone(now)
        for peer in self.peers.values():
            self._send_appends(now, peer)
        self.review_reader(now)
        self.progress(now)

    def review_reader(self, now: float) -> None:
        """Appoint another reader, or grant the present one its life, where that is due, and tell of it."""
        if self.acting and self.role.review(now, self._reader_candidates(now)):
            self.heartbeat(now)

    @property
    def wake(self) -> float:
        """When `tick` is due."""
        return self._heartbeat_at

    def heartbeat(self, now: float) -> None:
        """Send a heartbeat to every peer."""
        self._heartbeat_at = now + self._timing.heartbeat_s
        self._beat += 1
        self._beat_times.append((self._beat, now))
        appointment = self.role.appointment
        message = Heartbeat(
            self.record.epoch,
            self._beat,
            self._replicated.committed_sequence,
            self._age_ms(now),
            appointment.reader,
            appointment.number,
            appointment.life,
        )
        released = self._released(now)
        for name, peer in self.peers.items():
            self._send(peer, msgspec.structs.replace(message, released=True) if name in released else message)
            if not self.acting and name not in self._stored:
                self._send(peer, Decided(self.record))

    def _age_ms(self, now: float) -> int:
        if self.quiet(now):
            return -1
        return int(min(now - self.confirmed_at, 3600.0) * 1000)

    def _reader_candidates(self, now: float) -> list[ReaderCandidate]:
        own = ReaderCandidate(self.info.replica_id, self.life, self.own_reading_age_s)
        live = [
            ReaderCandidate(name, peer.life, peer.reading_age_s)
            for name, peer in self.peers.items()
            if peer.live(now, self._timing) and not peer.leaving
        ]
        return [own, *live]

    # The next epoch

    def candidates(self, now: float) -> dict[str, Candidate]:
        """All replicas known, this one included."""
        sequence = self._joining_sequence
        found = {name: peer.candidate(now, sequence, self._timing) for name, peer in self.peers.items()}
        found[self.info.replica_id] = Candidate(self.info, True, self.storage_ok, True)
        return found

    def wanted_record(self, now: float) -> EpochRecord | None:
        """The epoch that should follow this one, if any."""
        if not self.acting:
            return None
        if not self.storage_ok:
            return self.transfer_record(now)
        return next_record(self.record, self.candidates(now), self._tolerance)

    def _released(self, now: float) -> set[str]:
        """The leaving peers that may end: this epoch is the one wanted, and they are not among its copies."""
        leaving = {name for name, peer in self.peers.items() if peer.leaving} - set(self.record.in_sync)
        if not leaving or not self.acting or self.wanted_record(now) is not None:
            return set()
        return leaving

    def tell_released(self, now: float) -> None:
        """Let peers that are leaving know at once that the epoch without them is stored."""
        if self._released(now):
            self.heartbeat(now)

    def transfer_record(self, now: float) -> EpochRecord | None:
        """The epoch under the in-sync member that is furthest, this replica left out of the in-sync set."""
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
        successor = max(members, key=lambda name: (self.peers[name].acked, name))
        kept = tuple(name for name in self.record.in_sync if name != self.info.replica_id)
        if not satisfies_floor(kept, self.record.voters, self._tolerance):
            kept = self.record.in_sync
        base = self.record
        return EpochRecord(base.epoch + 1, successor, kept, base.voters, base.cluster)
