"""Retry budget: the parts of all agents together stay within the limit."""

from hypothesis import given, settings
from hypothesis import strategies as st

from nettledeal.dataplane.retry_budget import BudgetTerms, EqualShare, LeasedShare, RetryBudget
from nettledeal.shares.lease import ShareLease
from nettledeal.shares.roster import Roster

TERMS = BudgetTerms(ratio=0.2, slack=56.0, window_s=10.0)


def budget(members: int, started_at: float = -100.0) -> RetryBudget:
    """The budget of an agent among `members` with a freshly confirmed roster."""
    lease = ShareLease("a0", started_at)
    names = tuple(f"a{number}" for number in range(members))
    lease.update_roster(Roster(names, frozenset(names)))
    lease.age_s = lambda: 0.0
    return RetryBudget(TERMS, LeasedShare(lease, TERMS.window_s + TERMS.window_margin_s, EqualShare()))


@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.floats(0, 0.3)), max_size=500),
)
@settings(max_examples=80, deadline=None)
def test_no_window_exceeds_the_budget(agents, events):
    """Each agent sees only four fifths of the members, and one agent restarts repeatedly."""
    known = max(1, round(agents * 0.8))
    fleet = [budget(known) for _ in range(agents)]
    now = 0.0
    requests, retries = [], []
    for number, (agent_index, retry, pause) in enumerate(events):
        now += pause
        chosen = agent_index % agents
        if chosen == 0 and number % 50 == 0:
            fleet[0] = budget(known, started_at=now)
        if not retry:
            fleet[chosen].record_request("model", now)
            requests.append(now)
        elif fleet[chosen].try_spend("model", now):
            retries.append(now)
    for start in retries:
        end = start + TERMS.window_s
        spent = sum(start <= at <= end for at in retries)
        earned = sum(start <= at <= end for at in requests)
        assert spent <= TERMS.ratio * earned + TERMS.slack


def test_a_new_process_has_a_small_share_plus_what_it_earns():
    """Eight processes that start together must not each get an attempt on top of what they spent before."""
    new_budget = budget(8, started_at=0.0)
    assert not new_budget.try_spend("model", 0.1)
    for n in range(2):
        new_budget.record_request("model", 0.1 + n / 100)
    assert new_budget.try_spend("model", 0.2)
    assert not new_budget.try_spend("model", 0.2)
    for n in range(10):
        new_budget.record_request("model", 0.3 + n / 100)
    assert new_budget.try_spend("model", 0.5)


def test_an_attempt_that_was_not_sent_is_refunded():
    new_budget = budget(5, started_at=0.0)
    assert new_budget.try_spend("model", 0.1)
    new_budget.refund("model")
    assert new_budget.try_spend("model", 0.2)


def test_an_incomplete_view_does_not_raise_the_share():
    share = EqualShare()
    share.set_members(8, 0.0)
    before = share.amount("model", 40.0, 1.0)
    share.set_members(2, 1.0)
    share.set_members(1, 2.0)
    assert share.amount("model", 40.0, 20.0) == before
    assert share.amount("model", 40.0, 100.0) > before


def test_more_members_lower_the_share_at_once():
    share = EqualShare()
    share.set_members(2, 0.0)
    share.set_members(8, 1.0)
    assert share.amount("model", 40.0, 1.0) == 5.0


def test_services_have_separate_budgets():
    new_budget = budget(5, started_at=0.0)
    assert new_budget.try_spend("model", 0.1)
    assert not new_budget.try_spend("model", 0.1)
    assert new_budget.try_spend("other", 0.1)
