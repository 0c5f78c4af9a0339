"""Elections: a replica's own ballots for the next epoch and its votes in the ballots of others.

Sans-I/O mixin of `Replica`, which owns the state that the mixins share.
"""

from __future__ import annotations

from random import Random

from nettledeal.common.settings import FaultTolerance
from nettledeal.control.effects import Outbox
from nettledeal.control.epoch_consensus import Acceptor, Proposer
from nettledeal.control.epoch_membership import FailoverChoice, FixedChoice
from nettledeal.control.messages import (
    Accept,
    Accepted,
    Ballot,
    Decided,
    EpochRecord,
    Message,
    Prepare,
    Promise,
    Rejected,
    ReplicaInfo,
)
from nettledeal.control.primary import Primary
from nettledeal.control.timing import Timing

VOTE_RESEND_S = 0.1
NONCE_BITS = 32
CLUSTER_BITS = 128


class Elections:
    """Proposes the next epoch, as a candidate or as the primary, and answers ballots as an acceptor."""

    info: ReplicaInfo
    timing: Timing
    tolerance: FaultTolerance
    random: Random
    outbox: Outbox
    acceptor: Acceptor
    primary: Primary | None
    proposer: Proposer | None
    record: EpochRecord | None
    storage_ok: bool
    leaving: bool
    _heard_primary_at: float
    _ballot_round: int
    _rejected_by: set[str]
    _next_resend_at: float
    _next_change_at: float
    _election_due_at: float

    def _may_become_primary(self) -> bool:
        record = self.record
        member = record is not None and self.info.replica_id in record.in_sync
        return member and self.storage_ok and not self.leaving

    def _first_election_time(self, now: float) -> float:
        record = self.record
        if record is None:
            return now
        first = record.in_sync[0] if record.epoch == 0 else record.primary
        if self.info.replica_id == first:
            return now
        return self._next_election_time(now)

    def _postpone_election(self, heard_at: float) -> None:
        self._election_due_at = self._next_election_time(heard_at)

    def _next_election_time(self, heard_at: float) -> float:
        """When to start an election if the primary was last heard at `heard_at`.

        Candidates are staggered in the order of `in_sync`, with random jitter.
        """
        record = self.record
        candidates = [member for member in record.in_sync if member != record.primary]
        turn = candidates.index(self.info.replica_id) if self.info.replica_id in candidates else 0
        return (
            heard_at + self.timing.silence_s + (turn + self.random.random()) * self.timing.election_stagger_s
        )

    def _start_election(self, now: float) -> None:
        cluster = f"{self.random.getrandbits(CLUSTER_BITS):032x}" if self.record.epoch == 0 else ""
        choice = FailoverChoice(self.record, self.info.replica_id, self.tolerance, cluster)
        self._propose(now, self.record, choice)

    def _propose(self, now: float, base: EpochRecord, choose: FailoverChoice | FixedChoice) -> None:
        self._ballot_round = max(self._ballot_round, self.acceptor.state.promised.round) + 1
        ballot = Ballot(self._ballot_round, self.info.replica_id, self.random.getrandbits(NONCE_BITS))
        self.proposer = Proposer(base, ballot, now, choose)
        self._rejected_by = set()
        self._request_votes(now)

    def _request_votes(self, now: float) -> None:
        proposer = self.proposer
        self._next_resend_at = now + VOTE_RESEND_S
        for voter in proposer.base.voters:
            if voter.replica_id in proposer.unanswered_voters():
                self._send_vote_request(voter, proposer.request())

    def _send_vote_request(self, voter: ReplicaInfo, message: Message) -> None:
        self.outbox.send(voter.host, message)

    def _tick_proposer(self, now: float) -> None:
        proposer = self.proposer
        if now - proposer.started_at > self.timing.ballot_timeout_s:
            self._abandon(now)
            return
        grace_over = proposer.majority_at is not None and (
            now - proposer.majority_at >= self.timing.majority_grace_s
        )
        if proposer.proposal is None and (grace_over or self._choice_is_final()):
            self._enter_second_phase(now)
        elif now >= self._next_resend_at:
            self._request_votes(now)

    def _choice_is_final(self) -> bool:
        """Whether further promises can't change the chosen record."""
        proposer = self.proposer
        if isinstance(proposer.choose, FixedChoice):
            return proposer.majority_at is not None
        expected = proposer.base.voter_ids - {proposer.base.primary}
        return expected <= proposer.promises.keys()

    def _enter_second_phase(self, now: float) -> None:
        if self.proposer.choose_record():
            self._request_votes(now)

    def _abandon(self, now: float) -> None:
        self.proposer = None
        self._election_due_at = now + self.random.random() * self.timing.retry_jitter_s
        self._next_change_at = self._election_due_at

    def _on_ballot(self, now: float, sender: ReplicaInfo, message: Prepare | Accept) -> None:
        before = self.acceptor.state
        if isinstance(message, Prepare):
            self.learn(now, message.base, sender.replica_id)
            if self._hears_primary(now, sender, message):
                epoch = message.base.epoch + 1
                promised = self.acceptor.state.promised
                self.outbox.send(sender.host, Rejected(epoch, message.ballot, promised, True))
                return
            reply = self.acceptor.prepare(message)
        else:
            reply = self.acceptor.accept(message)
        if self.acceptor.state is not before:
            self._save_acceptor_state()
        if reply is not None:
            self.outbox.send_synced(sender.host, reply)

    def _hears_primary(self, now: float, sender: ReplicaInfo, message: Prepare) -> bool:
        record = self.record
        if record is None or message.base.epoch != record.epoch:
            return False
        if record.primary in ("", sender.replica_id):
            return False
        if self.primary is not None:
            return self.primary.acting and not self.primary.lacks_majority(now) and not self.leaving
        return now - self._heard_primary_at < self.timing.silence_s

    def _on_vote(self, now: float, sender: ReplicaInfo, message: Promise | Accepted | Rejected) -> None:
        proposer = self.proposer
        if proposer is None or message.ballot != proposer.ballot:
            return
        if isinstance(message, Promise):
            proposer.on_promise(now, sender.replica_id, message)
            if self._choice_is_final():
                self._enter_second_phase(now)
        elif isinstance(message, Accepted):
            record = proposer.on_accepted(sender.replica_id, message)
            if record is not None:
                self._announce(now, record)
        else:
            self._on_rejected(now, sender, message)

    def _on_rejected(self, now: float, sender: ReplicaInfo, message: Rejected) -> None:
        self._ballot_round = max(self._ballot_round, message.promised.round)
        self._rejected_by.add(sender.replica_id)
        voters = self.proposer.base.voters
        if len(self._rejected_by) > len(voters) - self.proposer.base.majority:
            self._abandon(now)
            if message.has_primary:
                self._postpone_election(now)

    def _announce(self, now: float, record: EpochRecord) -> None:
        base = self.proposer.base
        self.proposer = None
        self.learn(now, record, self.info.replica_id)
        hosts = {voter.host for voter in base.voters + record.voters} - {self.info.host}
        for host in sorted(hosts):
            self.outbox.send(host, Decided(record))
