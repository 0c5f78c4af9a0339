"""Interleavings of three replicas within bounds, and that planted faults show in them."""

from __future__ import annotations

import pytest

from nettledeal.control import composition
from nettledeal.control.messages import Accepted, Promise
from nettledeal.control.primary import Primary
from nettledeal.control.replica import Replica
from tests.system.control_exploring import Bounds, Explorer
from tests.system.exploring_replicas import Explored

STATES = 4000
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
# Seen whole by the tests; the others up to STATES, and whole by `python -m tests.system.control_exploring`.
WHOLE = [
    Bounds(elections=1, orders=0),
    Bounds(elections=0, orders=1, crashes=1),
    Bounds(elections=0, orders=1, wipes=1),
]


@pytest.mark.parametrize("bounds", BOUNDS, ids=repr)
def test_no_interleaving_breaks_a_promise(bounds):
    found = Explorer(Bounds(**{**vars(bounds), "states": STATES})).explore()
    assert found.broken == "", found.path
    assert found.whole or found.states >= STATES


@pytest.mark.parametrize("bounds", WHOLE, ids=repr)
def test_no_interleaving_within_a_bound_breaks_a_promise(bounds):
    found = Explorer(bounds).explore()
    assert found.broken == "", found.path
    assert found.whole


class ActsAfterRestart(Explored):
    """A primary that goes on in its epoch after a restart."""

    def __init__(self, info, durable, timing, tolerance, random, now):
        super().__init__(info, durable, timing, tolerance, random, now)
        record = self.record
        if record is not None and record.primary == info.replica_id:
            self._become_primary(now, record, None)
            for voter in record.voters:
                self.primary.stored(voter.replica_id)


class CommitsAlone(Explored):
    """A primary that needs no backup to commit."""

    def _become_primary(self, now, record, earlier):
        super()._become_primary(now, record, earlier)
        self.primary.required = set


class DecidesAlone(Explored):
    """A proposer that takes the first acceptance for a majority."""

    def _on_vote(self, now, sender, message):
        if isinstance(message, Accepted) and self.proposer is not None:
            self.proposer.accepted_by |= self.proposer.base.voter_ids
        super()._on_vote(now, sender, message)


class IgnoresAccepted(Explored):
    """A proposer that proposes its own record though another was accepted before."""

    def _on_vote(self, now, sender, message):
        if isinstance(message, Promise):
            message = Promise(message.epoch, message.ballot, type(message.ballot)(), None)
        super()._on_vote(now, sender, message)


class EndsWithoutAgreement(Explored):
    """A process that ends before an epoch without it is stored."""

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
def test_a_planted_fault_shows(replica_type, bounds):
    bounds = Bounds(**{**vars(bounds), "states": 30_000})
    assert Explorer(bounds, replica_type).explore().broken


def test_a_number_of_voters_that_stays_even_shows(monkeypatch):
    monkeypatch.setattr(composition, "_without_spare", lambda voters, *others: tuple(voters))
    bounds = Bounds(elections=0, orders=0, leaves=1, count=4, states=30_000)
    assert "no majority" in Explorer(bounds).explore().broken


def test_the_planted_faults_override_what_runs():
    assert all(hasattr(Replica, name) for name in ("_become_primary", "_on_vote"))
    assert hasattr(Primary, "required")
