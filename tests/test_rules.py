import pytest
from helpers import DEFERRED, FAILED, SECOND, BalancerDriver, answers, attempts, make_listings

from nettledeal.model import Lifecycle, Listing, Outcome

IDEMPOTENT, AT_MOST_ONCE, DEDUP_IN_ZONE, DEDUP_ANYWHERE = range(4)


@pytest.mark.parametrize(
    ("category", "outcome", "again", "verdict"),
    [
        (IDEMPOTENT, Outcome.ERROR, True, DEFERRED),
        (IDEMPOTENT, Outcome.TIMED_OUT, True, DEFERRED),
        (IDEMPOTENT, Outcome.FULL, True, DEFERRED),
        (AT_MOST_ONCE, Outcome.ERROR, False, FAILED),
        (AT_MOST_ONCE, Outcome.TIMED_OUT, False, FAILED),
        (AT_MOST_ONCE, Outcome.RESET, False, FAILED),
        (AT_MOST_ONCE, Outcome.CANCELLED, False, FAILED),
        (AT_MOST_ONCE, Outcome.FULL, True, DEFERRED),
        (AT_MOST_ONCE, Outcome.UNREACHABLE, True, DEFERRED),
        (AT_MOST_ONCE, Outcome.UNSENT, True, DEFERRED),
        (DEDUP_IN_ZONE, Outcome.ERROR, True, FAILED),
        (DEDUP_IN_ZONE, Outcome.UNREACHABLE, True, DEFERRED),
        (DEDUP_ANYWHERE, Outcome.RESET, True, DEFERRED),
    ],
)
def test_effect_by_outcome(category, outcome, again, verdict):
    driver = BalancerDriver()
    (first,) = attempts(driver.submit(category))
    actions = driver.finish_attempt(first, outcome, after=20)
    assert bool(attempts(actions)) == again
    if not again:
        assert [a.verdict for a in answers(actions)] == [verdict]
        return
    # Past its due time it earns nothing: it is answered at once, with the verdict that the effect allows.
    (second,) = attempts(actions)
    actions = driver.finish_attempt(second, outcome, after=11_000)
    assert not attempts(actions)
    assert [a.verdict for a in answers(actions)] == [verdict]


def test_deduplicated_retry_stays_in_its_scope_and_window():
    driver = BalancerDriver(make_listings((0, 1)))
    (first,) = attempts(driver.submit(DEDUP_IN_ZONE))
    (second,) = attempts(driver.finish_attempt(first, Outcome.ERROR, after=20))
    assert second.backend == first.backend  # the only one in its zone
    assert answers(driver.finish_attempt(second, Outcome.ERROR, after=5000))[0].verdict is FAILED


@pytest.mark.parametrize(
    ("category", "outcome", "ends"),
    [
        (DEDUP_ANYWHERE, Outcome.ERROR, True),
        (DEDUP_IN_ZONE, Outcome.RESET, True),
        # An attempt that never ran opens no window, and idempotent work items have none.
        (DEDUP_ANYWHERE, Outcome.UNREACHABLE, False),
        (IDEMPOTENT, Outcome.ERROR, False),
        (AT_MOST_ONCE, Outcome.FULL, False),
    ],
)
def test_a_retry_carries_the_time_by_which_it_must_begin(category, outcome, ends):
    driver = BalancerDriver(make_listings((0, 0)))
    at = driver.now
    (first,) = attempts(driver.submit(category))
    (second,) = attempts(driver.finish_attempt(first, outcome, after=20))
    assert (first.begin_by, second.begin_by) == (None, at + 5000 if ends else None)


@pytest.mark.parametrize("life", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_no_attempt_to_a_backend_that_drains(life):
    driver = BalancerDriver(make_listings((0, 0)))
    driver.balancer.update_backends(driver.now, [Listing("b0", lifecycle=life)], whole=False, cached=False)
    for _ in range(20):
        (attempt,) = attempts(driver.submit())
        assert attempt.backend == "b1"
        driver.finish_attempt(attempt)


@pytest.mark.parametrize(
    "listings",
    [[], make_listings((0, 0), lifecycle=Lifecycle.GONE), make_listings((0,), lifecycle=Lifecycle.DRAINING)],
)
def test_no_backend_defers_at_once(listings):
    (answer,) = BalancerDriver(listings).submit(AT_MOST_ONCE)
    assert answer.verdict is DEFERRED
    assert answer.retry_after > 0


@pytest.mark.parametrize(("category", "expiry"), [(IDEMPOTENT, 0), (IDEMPOTENT, -5000), (AT_MOST_ONCE, 0)])
def test_expired_on_arrival_is_answered_and_not_sent(category, expiry):
    actions = BalancerDriver().submit(category, expiry)
    assert answers(actions)
    assert not attempts(actions)


def test_category_out_of_range_runs_at_most_once():
    driver = BalancerDriver()
    (attempt,) = attempts(driver.submit(99))
    assert [a.verdict for a in answers(driver.finish_attempt(attempt, Outcome.ERROR, after=20))] == [FAILED]


def test_cold_budget_limits_a_burst():
    now = 100_000
    driver = BalancerDriver([Listing("b0", started_at=now)], now=now)
    sent = sum(bool(attempts(driver.submit())) for _ in range(50))
    assert 1 <= sent <= 3


def test_one_attempt_at_a_time_where_hedging_is_not_allowed():
    driver = BalancerDriver()
    (attempt,) = attempts(driver.submit())
    for _ in range(40):
        driver.now += 200
        assert not attempts(driver.balancer.wake(driver.now).actions)
    assert driver.finish_attempt(attempt, after=1) == []


def test_unknown_attempts_and_work_items_are_ignored():
    driver = BalancerDriver()
    step = driver.balancer.on_attempt_end(driver.now, 77, 0, Outcome.ERROR, 5, closed=False, report={})
    assert step.actions == []
    assert driver.balancer.on_withdrawn(driver.now, 77).actions == []


def test_subscribes_to_the_list_again_after_a_failure():
    driver = BalancerDriver(discovery="on_request", now=100_000)
    step = driver.balancer.on_discovery_failed(driver.now)
    assert driver.now < step.wake_at < driver.now + 10 * SECOND
    assert driver.balancer.wake(step.wake_at).actions
