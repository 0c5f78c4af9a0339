from collections import Counter

import pytest
from helpers import SECOND, BalancerDriver, answers, attempts, balancer_settings, make_listings

from nettledeal.model import CancelAttempt, Lifecycle, Listing, Outcome, Probe
from nettledeal.policy.balancer import Balancer
from nettledeal.policy.locality import FIRST_THRESHOLD


def spread(driver, count=60, after=800):
    """Counts the backends that get work items, each answered before the next is sent."""
    seen = Counter()
    for _ in range(count):
        actions = driver.submit()
        for attempt in attempts(actions):
            seen[attempt.backend] += 1
            driver.finish_attempt(attempt, after=after(attempt) if callable(after) else after)
    return seen


def test_stays_home_while_home_queues_are_short():
    assert set(spread(BalancerDriver())) <= {"b0", "b1", "b2"}


@pytest.mark.parametrize(
    ("home", "away", "goes"), [(9, 0, {"b2", "b3"}), (9, 30, {"b0", "b1"}), (0, 0, {"b0", "b1"})]
)
def test_overflows_only_when_home_queues_are_long_and_others_shorter(home, away, goes):
    driver = BalancerDriver(make_listings((0, 0, 1, 1)))
    for n, queue in enumerate((home, home, away, away)):
        for _ in range(12):
            driver.balancer.on_probe(driver.now, f"b{n}", Outcome.FINISHED, 3, {"outstanding": queue})
    (attempt,) = attempts(driver.submit(0, 20_000))
    assert attempt.backend in goes


def test_rejected_cross_zone_attempt_returns_home_once():
    driver = BalancerDriver(make_listings((0, 1)))
    for _ in range(12):
        driver.balancer.on_probe(driver.now, "b0", Outcome.FINISHED, 3, {"outstanding": 9})
    (attempt,) = attempts(driver.submit())
    assert attempt.backend == "b1"
    (attempt,) = attempts(driver.finish_attempt(attempt, Outcome.FULL, after=20))
    assert attempt.backend == "b0"


def test_rejection_pins_the_queue_estimate_until_the_next_report():
    driver = BalancerDriver(make_listings((0, 0)))
    (attempt,) = attempts(driver.submit())
    driver.finish_attempt(attempt, Outcome.FULL, after=20)
    backend = driver.balancer.state.backends[attempt.backend]
    loads = driver.balancer.loads
    assert loads.queue(backend, driver.now) >= FIRST_THRESHOLD
    loads.record_report(backend, {"outstanding": 0.0}, driver.now)
    assert loads.queue(backend, driver.now) < FIRST_THRESHOLD


@pytest.mark.parametrize("report", [{}, {"utilization": 0.8, "throughput": 9.0}])
def test_without_queues_in_reports_an_answer_ends_the_pin(report):
    driver = BalancerDriver(make_listings((0, 0)))
    (attempt,) = attempts(driver.submit())
    (second,) = attempts(driver.finish_attempt(attempt, Outcome.FULL, after=20))
    backend, loads = driver.balancer.state.backends[attempt.backend], driver.balancer.loads
    assert backend.pinned_queue is not None
    driver.finish_attempt(second, report=report)
    for _ in range(200):
        (attempt,) = attempts(driver.submit())
        driver.finish_attempt(attempt, report=report)
    # Each of them used to stay in the pinned queue for good.
    assert backend.pinned_queue is None and loads.queue(backend, driver.now) == 0.0


def test_smoothing_keeps_seven_tenths_of_the_old_queue():
    driver = BalancerDriver(make_listings((0,)))
    backend = driver.balancer.state.backends["b0"]
    loads = driver.balancer.loads
    loads.record_report(backend, {"outstanding": 10.0}, driver.now)
    loads.record_report(backend, {"outstanding": 0.0}, driver.now)
    assert backend.others_smoothed == pytest.approx(7.0)
    loads.record_report(backend, {"outstanding": 0.0}, driver.now + 3 * SECOND)
    assert backend.others_smoothed == pytest.approx(7.0 * 0.7**3)


def test_draw_counts_own_attempts():
    driver = BalancerDriver(make_listings((0, 0, 0)))
    sent = [attempts(driver.submit())[0].backend for _ in range(3)]
    assert sorted(sent) == ["b0", "b1", "b2"]


@pytest.mark.parametrize(("late", "falls"), [(True, True), (False, False)])
def test_threshold_learns_from_late_answers(late, falls):
    driver = BalancerDriver()
    before = driver.balancer.locality.threshold = 1.0
    spread(driver, 5, after=11_000 if late else 500)
    assert (driver.balancer.locality.threshold < before) == falls


def test_slow_backend_gets_less_work():
    driver = BalancerDriver(make_listings((0, 0, 0)))
    seen = spread(driver, 300, after=lambda attempt: 3000 if attempt.backend == "b0" else 500)
    assert seen["b0"] < 0.5 * min(seen["b1"], seen["b2"])


def test_failing_backend_loses_traffic_and_regains_it():
    driver = BalancerDriver(make_listings((0, 0, 0, 0)))
    broken = True
    seen = Counter()
    for n in range(400):
        broken = n < 200
        for attempt in attempts(driver.submit()):
            seen[attempt.backend, broken] += 1
            bad = broken and attempt.backend == "b0"
            actions = driver.finish_attempt(
                attempt, Outcome.UNREACHABLE if bad else Outcome.FINISHED, after=500
            )
            for second in attempts(actions):
                driver.finish_attempt(second, after=500)
    assert seen["b0", True] < 0.6 * seen["b1", True]
    assert seen["b0", False] > 20


@pytest.mark.parametrize(
    ("failing", "share", "distrusted"), [(4, 0.5, False), (3, 1.0, True), (5, 1.0, True)]
)
def test_distrust_goes_by_the_fleet_median_up_to_half(failing, share, distrusted):
    driver = BalancerDriver(make_listings((0, 0, 0, 0, 0)))
    health = driver.balancer.health
    backends = list(driver.balancer.state.backends.values())
    for turn in range(20):
        driver.now += 2000
        for n, backend in enumerate(backends):
            health.record_result(backend, n < failing and turn % 2 < 2 * share, driver.now)
    levels = [health.distrust(backend, driver.now) for backend in backends]
    assert all((level > 0.5) == distrusted for level in levels[:failing])
    # Even when all fail alike, none is excluded for good.
    assert all(health.distrust(backend, driver.now + 3 * SECOND) < 0.25 for backend in backends)


def test_excess_load_is_deferred_at_once_with_retry_after():
    driver = BalancerDriver(balancers=8)
    actions = [action for _ in range(40) for action in driver.submit()]
    deferred = answers(actions)
    assert 2 <= len(attempts(actions)) < 20
    assert deferred
    assert all(0 < answer.retry_after <= 2 * SECOND for answer in deferred)


def test_low_payoff_is_deferred_first():
    driver = BalancerDriver(balancers=4, categories__0__payoff=1.0, categories__3__payoff=8.0)
    kept = Counter()
    for _ in range(30):
        for category in (0, 3):
            kept[category] += len(attempts(driver.submit(category)))
    assert kept[3] > kept[0]


def test_hedge_only_for_an_overdue_attempt_and_the_loser_is_cancelled():
    driver = BalancerDriver(make_listings((0, 0, 0)), allowed__may_duplicate=True)
    spread(driver, 30, after=300)
    driver.balancer.hedge_credit = 3.0
    actions = driver.submit(0, 20_000)
    (first,) = attempts(actions)
    driver.now += 6000
    (hedge,) = attempts(driver.balancer.wake(driver.now).actions)
    assert hedge.backend != first.backend
    assert driver.finish_attempt(hedge, after=300) == [CancelAttempt(first.work_item, 0)]


def test_probes_before_the_draw_where_probes_are_cheap_and_report_queues():
    driver = BalancerDriver(
        make_listings((0, 0, 0)),
        allowed__probes=True,
        tariffs__probe=0.002,
        feedback__fields="outstanding,backlog",
    )
    actions = driver.submit()
    assert len(actions) == 3
    assert all(isinstance(action, Probe) for action in actions)
    for queue, name in enumerate(("b0", "b1", "b2")):
        report = {"outstanding": 2.0 * queue}
        actions = driver.balancer.on_probe(driver.now + 5, name, Outcome.FINISHED, 5, report).actions
    assert [attempt.backend for attempt in attempts(actions)] == ["b0"]


def test_a_moment_of_slow_probes_does_not_end_probing_for_good():
    driver = BalancerDriver(allowed__probes=True, tariffs__probe=0.002, feedback__fields="outstanding")

    def probes():
        actions = driver.submit(expiry=8000)
        for attempt in attempts(actions):
            driver.finish_attempt(attempt)
        return [action.backend for action in actions if isinstance(action, Probe)]

    for name in probes():
        driver.balancer.on_probe(driver.now, name, Outcome.FINISHED, 900, {"outstanding": 0})
    # While recent probes were slow none is sent; with none sent, only time can change that.
    assert not probes()
    driver.now += 10 * SECOND
    assert probes()


def test_lost_probes_do_not_hold_up_a_work_item():
    driver = BalancerDriver(allowed__probes=True, tariffs__probe=0.002, feedback__fields="outstanding")
    driver.submit()
    assert attempts(driver.balancer.wake(driver.now + 100).actions)


def test_subscribes_again_until_the_list_comes():
    balancer = Balancer(1, balancer_settings(discovery="on_request"), 0)
    requests = []
    now = balancer.start(0).wake_at
    for _ in range(3):
        step = balancer.wake(now)
        requests += step.actions
        now = step.wake_at
        assert now < 40 * SECOND
    assert len(requests) == 3
    assert balancer.update_backends(now, make_listings(), whole=True, cached=False).wake_at is None


@pytest.mark.parametrize(
    ("listings", "whole", "running"),
    [
        ([Listing("b0")], True, {"b0"}),
        ([Listing("b0", lifecycle=Lifecycle.GONE)], False, {"b1"}),
        ([Listing("b9")], False, {"b0", "b1", "b9"}),
        ([], True, set()),
    ],
)
def test_list_updates(listings, whole, running):
    driver = BalancerDriver(make_listings((0, 0)))
    driver.balancer.update_backends(driver.now, listings, whole=whole, cached=False)
    assert {
        b.id for b in driver.balancer.state.backends.values() if b.listing.lifecycle is Lifecycle.RUNNING
    } == running


def test_restarted_backend_is_cold_and_trusted_again():
    driver = BalancerDriver(make_listings((0, 0)))
    driver.balancer.health.record_result(driver.balancer.state.backends["b0"], True, driver.now)
    driver.balancer.update_backends(
        driver.now, [Listing("b0", started_at=driver.now)], whole=False, cached=False
    )
    backend = driver.balancer.state.backends["b0"]
    assert driver.balancer.health.capacity(backend, driver.now) == pytest.approx(0.3)
    assert driver.balancer.health.distrust(backend, driver.now) == 0


def test_cached_list_allows_two_attempts_per_backend():
    driver = BalancerDriver([])
    driver.balancer.update_backends(driver.now, make_listings((0,)), whole=True, cached=True)
    assert sum(len(attempts(driver.submit())) for _ in range(6)) == 2


def test_same_calls_give_the_same_steps():
    assert spread(BalancerDriver(seed=7), 100) == spread(BalancerDriver(seed=7), 100)


@pytest.mark.parametrize(
    ("expiry", "again", "sent"),
    [(12_000, False, 1), (12_000, True, 1), (9_000, True, 0), (19_000, True, 1), (9_000, False, 1)],
)
def test_retry_past_the_due_time_of_the_first_try_is_not_sent(expiry, again, sent):
    driver = BalancerDriver()
    driver.submit(0, 12_000)
    assert len(attempts(driver.submit(0, expiry, is_retry=again))) == sent


@pytest.mark.parametrize(
    ("slowdown", "copies", "early"), [(1.0, False, True), (3.0, False, False), (1.0, True, False)]
)
def test_straggler_times_out_early_in_an_idle_fleet_only(slowdown, copies, early):
    driver = BalancerDriver(allowed__may_duplicate=copies)
    spread(driver, 30, after=300)
    driver.balancer.admission.slowdown = slowdown
    (attempt,) = attempts(driver.submit())
    assert (attempt.timeout < 10_000) == early


def test_replaced_fleets_are_forgotten():
    driver = BalancerDriver(make_listings((0, 0)))
    (attempt,) = attempts(driver.submit())
    driver.balancer.update_backends(driver.now, [Listing("b9")], whole=True, cached=False)
    assert set(driver.balancer.state.backends) == {attempt.backend, "b9"}
    assert driver.finish_attempt(attempt) == []
    driver.balancer.update_backends(driver.now, [], whole=False, cached=False)
    assert set(driver.balancer.state.backends) == {"b9"}
    assert not driver.balancer.in_flight


@pytest.mark.parametrize(("idle_reads", "others"), [(1.0, 0.0), (0.0, 1.0)])
def test_report_that_counts_the_answered_work_item_is_corrected(idle_reads, others):
    driver = BalancerDriver(make_listings((0,)))
    for reading in [idle_reads] * 20 + [1.0]:
        (attempt,) = attempts(driver.submit())
        driver.finish_attempt(attempt, report={"outstanding": reading})
    assert driver.balancer.state.backends["b0"].others_reading == others
    # The report with a probe's answer does not count the probe.
    driver.balancer.on_probe(driver.now, "b0", Outcome.FINISHED, 3, {"outstanding": 1.0})
    assert driver.balancer.state.backends["b0"].others_reading == 1.0


@pytest.mark.parametrize(("queue", "cut"), [(1.0, False), (9.0, True)])
def test_slowness_that_no_reported_queue_explains_does_not_cut_the_limit(queue, cut):
    driver = BalancerDriver(make_listings((0, 0)))
    spread(driver, 40, after=100)
    before = driver.balancer.admission.limit = 3.0
    for _ in range(40):
        for attempt in attempts(driver.submit()):
            driver.finish_attempt(attempt, after=700, report={"outstanding": queue})
    assert (driver.balancer.admission.limit < before) is cut


@pytest.mark.parametrize(("meanwhile", "cut"), [(True, False), (False, True)])
def test_open_attempt_at_a_backend_that_answers_others_does_not_cut_the_limit(meanwhile, cut):
    driver = BalancerDriver(make_listings((0,)))
    spread(driver, 20, after=100)
    driver.balancer.on_probe(driver.now, "b0", Outcome.FINISHED, 3, {"outstanding": 0.0})
    admission = driver.balancer.admission
    before = admission.limit = 5.0
    while driver.now < 400_000 and (sent := attempts(driver.submit(1))):
        if meanwhile:
            (other,) = attempts(driver.submit(1))
            driver.finish_attempt(other, after=100, report={"outstanding": 1.0})
        driver.finish_attempt(sent[0], Outcome.TIMED_OUT, after=5000)
    assert (admission.limit < before) is cut


@pytest.mark.parametrize(("times", "cut"), [(5, False), (9, True)])
def test_answers_well_before_the_due_time_do_not_cut_the_limit(times, cut):
    """A work item takes a twelfth of the second it is due in; five times as long is no overload yet."""
    driver = BalancerDriver(make_listings((0, 0, 0)))
    spread(driver, 40)
    admission, took = driver.balancer.admission, driver.balancer.state.categories[0].base_time
    assert 11 < 10_000 / took < 14
    limit, admission.slowdown = admission.limit, float(times)
    (attempt,) = attempts(driver.submit())
    driver.finish_attempt(attempt, after=int(times * took))
    assert (admission.limit < limit) is cut
