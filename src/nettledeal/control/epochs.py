"""Agreement on the next epoch: a single-decree agreement among the voters of the last one.

Sans-I/O. A `Witness` answers ballots and must have stored its state before an answer leaves; a `Proposer`
runs one ballot. The witness forgets a decision's ballots once it learns of the decision.
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


class WitnessState(msgspec.Struct, frozen=True, array_like=True):
    """What a witness keeps: the last decided record, and its part in deciding the next one."""

    decided: EpochRecord | None = None
    promised: Ballot = Ballot()
    accepted_ballot: Ballot = Ballot()
    accepted: EpochRecord | None = None

    @property
    def epoch(self) -> int:
        """The last decided epoch known, -1 where none is."""
        return self.decided.epoch if self.decided else -1


class Witness:
    """One voter's part in deciding epochs. `state` is to be stored whenever a call changes it."""

    def __init__(self, replica_id: str, state: WitnessState):
        self.replica_id = replica_id
        self.state = state

    def learn(self, record: EpochRecord) -> bool:
        """Take over a decided record; whether it is news."""
        if record.epoch <= self.state.epoch:
            return False
        self.state = WitnessState(decided=record)
        return True

    def prepare(self, message: Prepare) -> Message | None:
        """Answer a first phase; the record it builds on must have been learnt."""
        epoch = message.base.epoch + 1
        refusal = self._refusal(epoch, message.ballot)
        if refusal is not None or not self._votes_on(epoch):
            return refusal
        state = self.state
        if message.ballot > state.promised:
            self.state = msgspec.structs.replace(state, promised=message.ballot)
        return Promise(epoch, message.ballot, state.accepted_ballot, state.accepted)

    def accept(self, message: Accept) -> Message | None:
        """Answer a second phase."""
        epoch = message.record.epoch
        refusal = self._refusal(epoch, message.ballot)
        if refusal is not None or not self._votes_on(epoch):
            return refusal
        decided = self.state.decided
        self.state = WitnessState(decided, message.ballot, message.ballot, message.record)
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

    `choose` makes the record from the identities that promised, and is called only when no promise carries a
    record accepted before.
    """

    base: EpochRecord
    ballot: Ballot
    started: float
    choose: Callable[[frozenset[str]], EpochRecord]
    promises: dict[str, Promise] = {}
    accepted_by: set[str] = msgspec.field(default_factory=set)
    proposal: EpochRecord | None = None
    majority_at: float | None = None

    @property
    def epoch(self) -> int:
        """The epoch to be decided."""
        return self.base.epoch + 1

    def request(self) -> Message:
        """The message of the present phase."""
        if self.proposal is None:
            return Prepare(self.ballot, self.base)
        return Accept(self.ballot, self.proposal)

    def missing(self) -> frozenset[str]:
        """The voters that have not answered the present phase."""
        answered = self.promises.keys() if self.proposal is None else self.accepted_by
        return self.base.voter_ids - frozenset(answered)

    def promised(self, now: float, sender: str, promise: Promise) -> None:
        """Count a promise."""
        if promise.ballot != self.ballot or promise.epoch != self.epoch or sender not in self.base.voter_ids:
            return
        self.promises[sender] = promise
        if self.majority_at is None and len(self.promises) >= self.base.majority:
            self.majority_at = now

    def choose_record(self) -> bool:
        """Enter the second phase if a majority has promised; whether it was entered now."""
        if self.proposal is not None or len(self.promises) < self.base.majority:
            return False
        latest = max(self.promises.values(), key=lambda promise: promise.accepted_ballot)
        if latest.accepted is not None:
            self.proposal = latest.accepted
        else:
            self.proposal = self.choose(frozenset(self.promises))
        return True

    def accepted(self, sender: str, message: Accepted) -> EpochRecord | None:
        """Count an acceptance; the record once it is decided."""
        if message.ballot != self.ballot or message.epoch != self.epoch or sender not in self.base.voter_ids:
            return None
        self.accepted_by.add(sender)
        return self.proposal if len(self.accepted_by) >= self.base.majority else None
