"""Bounded model checking of replicas, and planted faults that it must detect."""

from __future__ import annotations

import msgspec
import pytest
from pyrsistent import pmap

from nettledeal.control import epoch_membership
from nettledeal.control.effects import DurableState
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import Accepted, Append, Appended, Promise, ReplicaInfo
from nettledeal.control.primary import Primary
from nettledeal.control.replica import Replica
from nettledeal.control.state import Change, ControlState
from tests.system.control_explorer import Bounds, Explorer
from tests.system.control_vectorized_explorer import VectorExplorer
from tests.system.replica_transitions import ExploredReplica

MAX_STATES = 4000
MAX_MEMORY_MB = 4000.0
BOUNDS = [
    Bounds(elections=1, orders=1),
    Bounds(elections=2, orders=1),
    Bounds(elections=1, orders=2),
    Bounds(elections=1, orders=1, crashes=1),
    Bounds(elections=1, orders=1, wipes=1),
    Bounds(elections=1, orders=1, drops=1),
    Bounds(elections=1, orders=1, reads=1),
    Bounds(elections=1, orders=1, beats=1, resets=1),
    Bounds(elections=1, orders=1, leaves=1),
    Bounds(elections=0, orders=1, leaves=1, count=4),
]
# Explored completely here; the others up to MAX_STATES, and completely by `experiments/control_bounds.py`.
COMPLETE = [
    Bounds(elections=1, orders=0),
    Bounds(elections=0, orders=1, crashes=1),
    Bounds(elections=0, orders=1, wipes=1),
]


@pytest.mark.parametrize("bounds", BOUNDS, ids=repr)
def test_no_interleaving_violates_an_invariant(bounds):
    found = Explorer(Bounds(**{**vars(bounds), "states": MAX_STATES})).explore()
    assert found.violation == "", found.path
    assert found.complete or found.states >= MAX_STATES


@pytest.mark.parametrize("bounds", COMPLETE, ids=repr)
def test_no_interleaving_within_complete_bounds_violates_an_invariant(bounds):
    found = Explorer(bounds).explore()
    assert found.violation == "", found.path
    assert found.complete


@pytest.mark.parametrize("bounds", [*COMPLETE, Bounds(elections=0, orders=1, beats=1, resets=1)], ids=repr)
def test_the_vectorized_explorer_sees_the_same_states(bounds):
    one_by_one = Explorer(bounds).explore()
    assert VectorExplorer(bounds).explore(MAX_MEMORY_MB) == one_by_one
    assert one_by_one.complete


class ActsAfterRestart(ExploredReplica):
    """A primary that continues in its epoch after a restart."""

    def __init__(self, info, durable, timing, tolerance, random, now):
        super().__init__(info, durable, timing, tolerance, random, now)
        record = self.record
        if record is not None and record.primary == info.replica_id:
            self._become_primary(now, record, None)
            for voter in record.voters:
                self.primary.on_record_stored(voter.replica_id)


class CommitsAlone(ExploredReplica):
    """A primary that needs no backup to commit."""

    def _become_primary(self, now, record, earlier):
        super()._become_primary(now, record, earlier)
        self.primary.required_peers = set


class DecidesAlone(ExploredReplica):
    """A proposer that treats the first acceptance as a majority."""

    def _on_vote(self, now, sender, message):
        if isinstance(message, Accepted) and self.proposer is not None:
            self.proposer.accepted_by |= self.proposer.base.voter_ids
        super()._on_vote(now, sender, message)


class IgnoresAccepted(ExploredReplica):
    """A proposer that proposes its own record although another was accepted before."""

    def _on_vote(self, now, sender, message):
        if isinstance(message, Promise):
            message = Promise(message.epoch, message.ballot, type(message.ballot)(), None)
        super()._on_vote(now, sender, message)


class EndsWithoutAgreement(ExploredReplica):
    """A process that exits before an epoch without it is stored."""

    @property
    def may_end(self) -> bool:
        return self.primary is None


PLANTED = [
    (EndsWithoutAgreement, Bounds(elections=0, orders=1, leaves=1, count=4)),
    (ActsAfterRestart, Bounds(elections=0, orders=0, crashes=1)),
    (CommitsAlone, Bounds(elections=1, orders=1)),
    (DecidesAlone, Bounds(elections=2, orders=0)),
    (IgnoresAccepted, Bounds(elections=2, orders=0)),
]


@pytest.mark.parametrize(
    ("replica_type", "bounds"), PLANTED, ids=lambda value: getattr(value, "__name__", "")
)
def test_a_planted_fault_is_detected(replica_type, bounds):
    bounds = Bounds(**{**vars(bounds), "states": 30_000})
    assert Explorer(bounds, replica_type).explore().violation


class AcknowledgesUnwritten(ExploredReplica):
    """A backup that acknowledges changes that it has not written."""

    def _on_replication(self, sender, message):
        if isinstance(message, Append) and message.epoch == self.record.epoch:
            self.outbox.send(sender.host, Appended(message.epoch, message.sequence))
            return
        super()._on_replication(sender, message)


class KeepsIdentity(ExploredReplica):
    """A machine that lost its disk and still votes under its previous identity."""

    def __init__(self, info, durable, *arguments):
        super().__init__(msgspec.structs.replace(info, replica_id=f"{info.host}-seed"), durable, *arguments)


# Faults to detect within each of the large bounds (one election, one order and one loss), or within the same
# bounds without an order.
PROPERTIES = {
    "one record an epoch, drops": (DecidesAlone, Bounds(elections=1, orders=0, drops=1)),
    "one record an epoch, leaves": (DecidesAlone, Bounds(elections=1, orders=0, leaves=1)),
    "one actor an epoch, lost disks": (KeepsIdentity, Bounds(elections=1, orders=0, wipes=1)),
}
for _name, _losses in (("lost disks", {"wipes": 1}), ("drops", {"drops": 1}), ("leaves", {"leaves": 1})):
    _bounds = Bounds(elections=1, orders=1, **_losses)
    PROPERTIES[f"acknowledged orders stay, {_name}"] = (CommitsAlone, _bounds)
    PROPERTIES[f"acknowledged orders are on the disks, {_name}"] = (AcknowledgesUnwritten, _bounds)


@pytest.mark.parametrize(("replica_type", "bounds"), PROPERTIES.values(), ids=PROPERTIES)
def test_a_planted_fault_is_detected_within_each_large_bound(replica_type, bounds):
    bounds = Bounds(**{**vars(bounds), "states": 400_000})
    assert VectorExplorer(bounds, replica_type).explore(MAX_MEMORY_MB).violation


def test_keeping_an_even_number_of_voters_is_detected(monkeypatch):
    monkeypatch.setattr(epoch_membership, "_drop_spare_voter", lambda voters, *others: tuple(voters))
    bounds = Bounds(elections=0, orders=0, leaves=1, count=4, states=30_000)
    assert "no majority" in Explorer(bounds).explore().violation


def test_the_planted_faults_override_existing_methods():
    assert all(hasattr(Replica, name) for name in ("_become_primary", "_on_vote"))
    assert hasattr(Primary, "required_peers")


def test_the_state_key_does_not_depend_on_the_order_of_writes():
    """Otherwise the number of states would depend on the iteration order of Python's hashes."""
    replicas = VectorExplorer(Bounds()).replicas
    info = ReplicaInfo("h0-seed", "h0", "z0", "r", "")
    entries = [(f"accepted/{number}", bytes([number])) for number in range(40)]
    numbers = set()
    for order in (entries, list(reversed(entries))):
        state = ControlState(1, pmap())
        for key, value in order:
            state = state.after(1, (Change(key, value),))
        numbers.add(replicas.start_replica(info, DurableState(AcceptorState(), 1, state), 1))
    assert len(numbers) == 1
