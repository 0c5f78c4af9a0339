import pytest
from helpers import DEFERRED, FAILED, SECOND, Drive, answers, attempts, fleet

from nettledeal.model import Lifecycle, Listing, Outcome

RERUN, EXCLUSIVE, ZONE_TICKET, TICKET = range(4)


@pytest.mark.parametrize(
    ("category", "outcome", "again", "verdict"),
    [
        (RERUN, Outcome.ERROR, True, DEFERRED),
        (RERUN, Outcome.TIMED_OUT, True, DEFERRED),
        (RERUN, Outcome.FULL, True, DEFERRED),
        (EXCLUSIVE, Outcome.ERROR, False, FAILED),
        (EXCLUSIVE, Outcome.TIMED_OUT, False, FAILED),
        (EXCLUSIVE, Outcome.RESET, False, FAILED),
        (EXCLUSIVE, Outcome.CANCELLED, False, FAILED),
        (EXCLUSIVE, Outcome.FULL, True, DEFERRED),
        (EXCLUSIVE, Outcome.UNREACHABLE, True, DEFERRED),
        (EXCLUSIVE, Outcome.UNSENT, True, DEFERRED),
        (ZONE_TICKET, Outcome.ERROR, True, FAILED),
        (ZONE_TICKET, Outcome.UNREACHABLE, True, DEFERRED),
        (TICKET, Outcome.RESET, True, DEFERRED),
    ],
)
def test_effect_by_outcome(category, outcome, again, verdict):
    drive = Drive()
    (first,) = attempts(drive.take(category))
    actions = drive.back(first, outcome, after=20)
    assert bool(attempts(actions)) == again
    if not again:
        assert [a.verdict for a in answers(actions)] == [verdict]
        return
    # Past its due time nothing can be earned: it is answered at once, with what the effect allows.
    (second,) = attempts(actions)
    actions = drive.back(second, outcome, after=11_000)
    assert not attempts(actions)
    assert [a.verdict for a in answers(actions)] == [verdict]


def test_ticket_stays_in_its_group_and_window():
    drive = Drive(fleet((0, 1)))
    (first,) = attempts(drive.take(ZONE_TICKET))
    (second,) = attempts(drive.back(first, Outcome.ERROR, after=20))
    assert second.backend == first.backend  # the only one in its zone
    assert answers(drive.back(second, Outcome.ERROR, after=5000))[0].verdict is FAILED


@pytest.mark.parametrize(
    ("category", "outcome", "ends"),
    [
        (TICKET, Outcome.ERROR, True),
        (ZONE_TICKET, Outcome.RESET, True),
        # What has not run opens no window, and where repeats are harmless there is none.
        (TICKET, Outcome.UNREACHABLE, False),
        (RERUN, Outcome.ERROR, False),
        (EXCLUSIVE, Outcome.FULL, False),
    ],
)
def test_a_repeat_tells_by_when_it_must_have_begun(category, outcome, ends):
    drive = Drive(fleet((0, 0)))
    at = drive.now
    (first,) = attempts(drive.take(category))
    (second,) = attempts(drive.back(first, outcome, after=20))
    assert (first.begin_by, second.begin_by) == (None, at + 5000 if ends else None)


@pytest.mark.parametrize("life", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_nothing_to_a_backend_told_to_drain(life):
    drive = Drive(fleet((0, 0)))
    drive.balancer.update_backends(drive.now, [Listing("b0", lifecycle=life)], whole=False, cached=False)
    for _ in range(20):
        (attempt,) = attempts(drive.take())
        assert attempt.backend == "b1"
        drive.back(attempt)


@pytest.mark.parametrize(
    "listings", [[], fleet((0, 0), lifecycle=Lifecycle.GONE), fleet((0,), lifecycle=Lifecycle.DRAINING)]
)
def test_no_backend_defers_at_once(listings):
    (answer,) = Drive(listings).take(EXCLUSIVE)
    assert answer.verdict is DEFERRED
    assert answer.retry_after > 0


@pytest.mark.parametrize(("category", "expiry"), [(RERUN, 0), (RERUN, -5000), (EXCLUSIVE, 0)])
def test_expired_on_arrival_is_answered_and_not_sent(category, expiry):
    actions = Drive().take(category, expiry)
    assert answers(actions)
    assert not attempts(actions)


def test_category_out_of_range_is_exclusive():
    drive = Drive()
    (attempt,) = attempts(drive.take(99))
    assert [a.verdict for a in answers(drive.back(attempt, Outcome.ERROR, after=20))] == [FAILED]


def test_cold_budget_holds_against_a_burst():
    now = 100_000
    drive = Drive([Listing("b0", started_at=now)], now=now)
    sent = sum(bool(attempts(drive.take())) for _ in range(50))
    assert 1 <= sent <= 3


def test_one_hand_off_at_a_time_where_copies_are_not_allowed():
    drive = Drive()
    (attempt,) = attempts(drive.take())
    for _ in range(40):
        drive.now += 200
        assert not attempts(drive.balancer.wake(drive.now).actions)
    assert drive.back(attempt, after=1) == []


def test_unknown_hand_offs_and_work_items_are_ignored():
    drive = Drive()
    step = drive.balancer.on_attempt_end(drive.now, 77, 0, Outcome.ERROR, 5, closed=False, report={})
    assert step.actions == []
    assert drive.balancer.on_withdrawn(drive.now, 77).actions == []


def test_list_is_asked_for_again_after_a_failure():
    drive = Drive(discovery="on_request", now=100_000)
    step = drive.balancer.on_discovery_failed(drive.now)
    assert drive.now < step.wake_at < drive.now + 10 * SECOND
    assert drive.balancer.wake(step.wake_at).actions
