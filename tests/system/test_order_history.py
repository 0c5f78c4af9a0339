"""The history checker accepts linearizable histories and reports all others."""

from __future__ import annotations

import pytest

from nettledeal.control import state as state_module
from nettledeal.control.decisions import decide
from nettledeal.control.state import Decision, Outcome
from tests.system.control_rehearsal import run_schedule
from tests.system.order_history import Answer, Evacuation, History, Put, Read

ACK, REFUSED, UNCLEAR = Answer.ACKNOWLEDGED, Answer.REFUSED, Answer.UNCLEAR
A = Put("a", 0, 1, 0.0, 1.0, ACK)
B = Put("b", 1, 2, 2.0, 3.0, ACK)


@pytest.mark.parametrize(
    "history",
    [
        History([A, B], [Read("", 0.0, 0.5), Read("a", 1.0, 2.5), Read("b", 2.5, 4.0)]),
        History([A, Put("a", 0, 1, 4.0, 5.0, ACK), Put("c", 0, 2, 0.5, 2.0, REFUSED)]),
        History([Put("a", 0, 1, 0.0, 9.0, UNCLEAR)], [Read("", 1.0, 2.0), Read("a", 1.5, 3.0)]),
        History([Put("a", 0, 1, 0.0, 1.0, UNCLEAR), B], [Read("b", 3.0, 4.0)]),
        History([A, Put("x", 1, 2, 2.0, 3.0, REFUSED), B]),
    ],
)
def test_a_linearizable_history_has_no_faults(history):
    assert history.faults() == []


@pytest.mark.parametrize(
    "history",
    [
        History([A, B], [Read("a", 3.5, 4.0)]),
        History([A], [Read("", 1.5, 2.0)]),
        History([A, Put("c", 0, 1, 0.0, 1.0, ACK)]),
        History([A, B, Put("c", 1, 3, 2.0, 3.0, ACK)]),
        History([A, Put("a", 0, 1, 4.0, 5.0, REFUSED)]),
        History([A, Put("c", 1, 2, 2.0, 3.0, REFUSED)], [Read("c", 4.0, 5.0)]),
        History([A], [Read("z", 0.0, 1.0)]),
        History([Put("b", 7, 8, 0.0, 1.0, ACK)]),
        History([Put("a", 0, 1, 5.0, 6.0, ACK), Put("b", 1, 2, 0.0, 1.0, ACK)]),
    ],
)
def test_a_history_that_is_not_linearizable_has_faults(history):
    assert history.faults()


def test_an_acknowledged_evacuation_is_in_effect_unless_an_opposite_order_may_have_followed():
    order = Evacuation("z", True, 0.0, 1.0, ACK)
    assert History(evacuations=[order]).faults(frozenset({"z"})) == []
    assert History(evacuations=[order]).faults(frozenset())
    back = Evacuation("z", False, 2.0, 3.0, UNCLEAR)
    assert History(evacuations=[order, back]).faults(frozenset()) == []
    earlier = Evacuation("z", False, -2.0, -1.0, ACK)
    assert History(evacuations=[earlier, order]).faults(frozenset())


def forgets_what_was_accepted(state, command):
    """A retried order is evaluated again instead of being acknowledged."""
    known = state_module.ACCEPTED_PREFIX + command.digest.hex()
    return decide(state_module.ControlState(state.sequence, state.entries.discard(known)), command)


def accepts_any_expected_version(state, command):
    """Accepts an order without comparing its expected version."""
    decision = decide(state, command)
    if decision.outcome is Outcome.CONFLICT:
        return Decision(Outcome.ACCEPTED)
    return decision


def test_schedules_detect_an_order_that_is_evaluated_twice(monkeypatch):
    monkeypatch.setattr("nettledeal.control.primary.decide", forgets_what_was_accepted)
    assert any(run_schedule(seed, 3, 1) for seed in range(20))


def test_schedules_detect_two_orders_on_the_same_version(monkeypatch):
    monkeypatch.setattr("nettledeal.control.primary.decide", accepts_any_expected_version)
    assert any(run_schedule(seed, 3, 1) for seed in range(20))
