"""Consensus on the next epoch: single-decree Paxos among the voters of the last one.

Sans-I/O. An `Acceptor` answers ballots and must have stored its state before an answer is sent; a `Proposer`
runs one ballot. The acceptor discards the ballots of an epoch once it learns of the decision.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

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
)


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """The acceptor's persistent state: the last decided record, and its votes on the next one."""

    decided: EpochRecord | None = None
    promised: Ballot = Ballot()
    accepted_ballot: Ballot = Ballot()
    accepted: EpochRecord | None = None

    @property
    def epoch(self) -> int:
        """The last decided epoch known, -1 if there is none."""
        return self.decided.epoch if self.decided else -1


class Acceptor:
    """The acceptor role of one voter. `state` must be stored whenever a call changes it."""

    def __init__(self, replica_id: str, state: AcceptorState):
        self.replica_id = replica_id
        self.state = state

    def learn(self, record: EpochRecord) -> bool:
        """Adopt a decided record; returns whether it is newer than the one known."""
        if record.epoch <= self.state.epoch:
            return False
        self.state = AcceptorState(decided=record)
        return True

    def prepare(self, message: Prepare) -> Message | None:
        """Answer a phase-1 request; its base record must have been learned before."""
        epoch = message.base.epoch + 1
        refusal = self._refusal(epoch, message.ballot)
        if refusal is not None or not self._votes_on(epoch):
            return refusal
        state = self.state
        if message.ballot > state.promised:
            self.state = msgspec.structs.replace(state, promised=message.ballot)
        return Promise(epoch, message.ballot, state.accepted_ballot, state.accepted)

    def accept(self, message: Accept) -> Message | None:
        """Answer a phase-2 request."""
        epoch = message.record.epoch
        refusal = self._refusal(epoch, message.ballot)
        if refusal is not None or not self._votes_on(epoch):
            return refusal
        decided = self.state.decided
        self.state = AcceptorState(decided, message.ballot, message.ballot, message.record)
        return Accepted(epoch, message.ballot)

    def _votes_on(self, epoch: int) -> bool:
        decided = self.state.decided
        return decided is not None and epoch == decided.epoch + 1 and self.replica_id in decided.voter_ids

    def _refusal(self, epoch: int, ballot: Ballot) -> Message | None:
        decided = self.state.decided
        if decided is not None and epoch <= decided.epoch:
            return Decided(decided)
        if self._votes_on(epoch) and ballot < self.state.promised:
            return Rejected(epoch, ballot, self.state.promised, False)
        return None


class Proposer(msgspec.Struct):
    """One ballot for the epoch after `base`.

    `choose` returns the record to propose, given the identities that promised. It is called only if no
    promise carries a record that was accepted earlier.
    """

    base: EpochRecord
    ballot: Ballot
    started_at: float
    choose: Callable[[frozenset[str]], EpochRecord]
    promises: dict[str, Promise] = {}
    accepted_by: set[str] = msgspec.field(default_factory=set)
    proposal: EpochRecord | None = None
    majority_at: float | None = None

    @property
    def epoch(self) -> int:
        """The epoch that this ballot is to decide."""
        return self.base.epoch + 1

    def request(self) -> Message:
        """The request of the current phase."""
        if self.proposal is None:
            return Prepare(self.ballot, self.base)
        return Accept(self.ballot, self.proposal)

    def unanswered_voters(self) -> frozenset[str]:
        """The voters that haven't answered the request of the current phase."""
        answered = self.promises.keys() if self.proposal is None else self.accepted_by
        return self.base.voter_ids - frozenset(answered)

    def on_promise(self, now: float, sender: str, promise: Promise) -> None:
        """Count a promise."""
        if promise.ballot != self.ballot or promise.epoch != self.epoch or sender not in self.base.voter_ids:
            return
        self.promises[sender] = promise
        if self.majority_at is None and len(self.promises) >= self.base.majority:
            self.majority_at = now

    def choose_record(self) -> bool:
        """Enter phase 2 if a majority has promised; returns whether this call entered it."""
        if self.proposal is not None or len(self.promises) < self.base.majority:
            return False
        latest = max(self.promises.values(), key=lambda promise: promise.accepted_ballot)
        if latest.accepted is not None:
            self.proposal = latest.accepted
        else:
            self.proposal = self.choose(frozenset(self.promises))
        return True

    def on_accepted(self, sender: str, message: Accepted) -> EpochRecord | None:
        """Count an acceptance; returns the record once it is decided."""
        if message.ballot != self.ballot or message.epoch != self.epoch or sender not in self.base.voter_ids:
            return None
        self.accepted_by.add(sender)
        return self.proposal if len(self.accepted_by) >= self.base.majority else None
