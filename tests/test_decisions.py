from collections import Counter

import pytest
from helpers import SECOND, Drive, answers, attempts, fleet, settings

from nettledeal.model import CancelAttempt, Lifecycle, Listing, Outcome, Probe
from nettledeal.policy.balancer import Balancer
from nettledeal.policy.locality import FIRST_THRESHOLD


def spread(drive, count=60, after=800):
    """Counts the backends that get work items, each answered before the next is sent."""
    seen = Counter()
    for _ in range(count):
        actions = drive.take()
        for attempt in attempts(actions):
            seen[attempt.backend] += 1
            drive.back(attempt, after=after(attempt) if callable(after) else after)
    return seen


def test_stays_home_while_home_queues_are_short():
    assert set(spread(Drive())) <= {"b0", "b1", "b2"}


@pytest.mark.parametrize(
    ("home", "away", "goes"), [(9, 0, {"b2", "b3"}), (9, 30, {"b0", "b1"}), (0, 0, {"b0", "b1"})]
)
def test_overflows_only_when_home_queues_are_long_and_others_shorter(home, away, goes):
    drive = Drive(fleet((0, 0, 1, 1)))
    for n, queue in enumerate((home, home, away, away)):
        for _ in range(12):
            drive.balancer.on_probe(drive.now, f"b{n}", Outcome.FINISHED, 3, {"outstanding": queue})
    (attempt,) = attempts(drive.take(0, 20_000))
    assert attempt.backend in goes


def test_rejected_cross_zone_attempt_returns_home_once():
    drive = Drive(fleet((0, 1)))
    for _ in range(12):
        drive.balancer.on_probe(drive.now, "b0", Outcome.FINISHED, 3, {"outstanding": 9})
    (attempt,) = attempts(drive.take())
    assert attempt.backend == "b1"
    (attempt,) = attempts(drive.back(attempt, Outcome.FULL, after=20))
    assert attempt.backend == "b0"


def test_rejection_pins_the_queue_estimate_until_the_next_report():
    drive = Drive(fleet((0, 0)))
    (attempt,) = attempts(drive.take())
    drive.back(attempt, Outcome.FULL, after=20)
    backend = drive.balancer.state.backends[attempt.backend]
    loads = drive.balancer.loads
    assert loads.queue(backend, drive.now) >= FIRST_THRESHOLD
    loads.record_report(backend, {"outstanding": 0.0}, drive.now)
    assert loads.queue(backend, drive.now) < FIRST_THRESHOLD


@pytest.mark.parametrize("report", [{}, {"utilization": 0.8, "throughput": 9.0}])
def test_without_queues_in_reports_an_answer_ends_the_pin(report):
    drive = Drive(fleet((0, 0)))
    (attempt,) = attempts(drive.take())
    (second,) = attempts(drive.back(attempt, Outcome.FULL, after=20))
    backend, loads = drive.balancer.state.backends[attempt.backend], drive.balancer.loads
    assert backend.pinned_queue is not None
    drive.back(second, report=report)
    for _ in range(200):
        (attempt,) = attempts(drive.take())
        drive.back(attempt, report=report)
    # Each of them used to stay in the pinned queue for good.
    assert backend.pinned_queue is None and loads.queue(backend, drive.now) == 0.0


def test_smoothing_keeps_seven_tenths_of_the_old_queue():
    drive = Drive(fleet((0,)))
    backend = drive.balancer.state.backends["b0"]
    loads = drive.balancer.loads
    loads.record_report(backend, {"outstanding": 10.0}, drive.now)
    loads.record_report(backend, {"outstanding": 0.0}, drive.now)
    assert backend.others_smoothed == pytest.approx(7.0)
    loads.record_report(backend, {"outstanding": 0.0}, drive.now + 3 * SECOND)
    assert backend.others_smoothed == pytest.approx(7.0 * 0.7**3)


def test_draw_counts_own_attempts():
    drive = Drive(fleet((0, 0, 0)))
    sent = [attempts(drive.take())[0].backend for _ in range(3)]
    assert sorted(sent) == ["b0", "b1", "b2"]


@pytest.mark.parametrize(("late", "falls"), [(True, True), (False, False)])
def test_threshold_learns_from_late_answers(late, falls):
    drive = Drive()
    before = drive.balancer.locality.threshold = 1.0
    spread(drive, 5, after=11_000 if late else 500)
    assert (drive.balancer.locality.threshold < before) == falls


def test_slow_backend_gets_less_work():
    drive = Drive(fleet((0, 0, 0)))
    seen = spread(drive, 300, after=lambda attempt: 3000 if attempt.backend == "b0" else 500)
    assert seen["b0"] < 0.5 * min(seen["b1"], seen["b2"])


def test_failing_backend_loses_traffic_and_regains_it():
    drive = Drive(fleet((0, 0, 0, 0)))
    broken = True
    seen = Counter()
    for n in range(400):
        broken = n < 200
        for attempt in attempts(drive.take()):
            seen[attempt.backend, broken] += 1
            bad = broken and attempt.backend == "b0"
            actions = drive.back(attempt, Outcome.UNREACHABLE if bad else Outcome.FINISHED, after=500)
            for second in attempts(actions):
                drive.back(second, after=500)
    assert seen["b0", True] < 0.6 * seen["b1", True]
    assert seen["b0", False] > 20


@pytest.mark.parametrize(
    ("failing", "share", "distrusted"), [(4, 0.5, False), (3, 1.0, True), (5, 1.0, True)]
)
def test_distrust_goes_by_the_fleet_median_up_to_half(failing, share, distrusted):
    drive = Drive(fleet((0, 0, 0, 0, 0)))
    health = drive.balancer.health
    backends = list(drive.balancer.state.backends.values())
    for turn in range(20):
        drive.now += 2000
        for n, backend in enumerate(backends):
            health.record_result(backend, n < failing and turn % 2 < 2 * share, drive.now)
    levels = [health.distrust(backend, drive.now) for backend in backends]
    assert all((level > 0.5) == distrusted for level in levels[:failing])
    # Even when all fail alike, none is excluded for good.
    assert all(health.distrust(backend, drive.now + 3 * SECOND) < 0.25 for backend in backends)


def test_excess_load_is_deferred_at_once_with_retry_after():
    drive = Drive(balancers=8)
    actions = [action for _ in range(40) for action in drive.take()]
    deferred = answers(actions)
    assert 2 <= len(attempts(actions)) < 20
    assert deferred
    assert all(0 < answer.retry_after <= 2 * SECOND for answer in deferred)


def test_low_payoff_is_deferred_first():
    drive = Drive(balancers=4, categories__0__payoff=1.0, categories__3__payoff=8.0)
    kept = Counter()
    for _ in range(30):
        for category in (0, 3):
            kept[category] += len(attempts(drive.take(category)))
    assert kept[3] > kept[0]


def test_hedge_only_for_an_overdue_attempt_and_the_loser_is_cancelled():
    drive = Drive(fleet((0, 0, 0)), allowed__may_duplicate=True)
    spread(drive, 30, after=300)
    drive.balancer.hedge_credit = 3.0
    actions = drive.take(0, 20_000)
    (first,) = attempts(actions)
    drive.now += 6000
    (hedge,) = attempts(drive.balancer.wake(drive.now).actions)
    assert hedge.backend != first.backend
    assert drive.back(hedge, after=300) == [CancelAttempt(first.work_item, 0)]


def test_probes_before_the_draw_where_probes_are_cheap_and_report_queues():
    drive = Drive(
        fleet((0, 0, 0)),
        allowed__probes=True,
        tariffs__probe=0.002,
        feedback__fields="outstanding,backlog",
    )
    actions = drive.take()
    assert len(actions) == 3
    assert all(isinstance(action, Probe) for action in actions)
    for queue, name in enumerate(("b0", "b1", "b2")):
        report = {"outstanding": 2.0 * queue}
        actions = drive.balancer.on_probe(drive.now + 5, name, Outcome.FINISHED, 5, report).actions
    assert [attempt.backend for attempt in attempts(actions)] == ["b0"]


def test_a_moment_of_slow_probes_does_not_end_probing_for_good():
    drive = Drive(allowed__probes=True, tariffs__probe=0.002, feedback__fields="outstanding")

    def probes():
        actions = drive.take(expiry=8000)
        for attempt in attempts(actions):
            drive.back(attempt)
        return [action.backend for action in actions if isinstance(action, Probe)]

    for name in probes():
        drive.balancer.on_probe(drive.now, name, Outcome.FINISHED, 900, {"outstanding": 0})
    # While recent probes were slow none is sent; with none sent, only time can change that.
    assert not probes()
    drive.now += 10 * SECOND
    assert probes()


def test_lost_probes_do_not_hold_up_a_work_item():
    drive = Drive(allowed__probes=True, tariffs__probe=0.002, feedback__fields="outstanding")
    drive.take()
    assert attempts(drive.balancer.wake(drive.now + 100).actions)


def test_subscribes_again_until_the_list_comes():
    balancer = Balancer(1, settings(discovery="on_request"), 0)
    requests = []
    now = balancer.start(0).wake_at
    for _ in range(3):
        step = balancer.wake(now)
        requests += step.actions
        now = step.wake_at
        assert now < 40 * SECOND
    assert len(requests) == 3
    assert balancer.update_backends(now, fleet(), whole=True, cached=False).wake_at is None


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
    drive = Drive(fleet((0, 0)))
    drive.balancer.update_backends(drive.now, listings, whole=whole, cached=False)
    assert {
        b.id for b in drive.balancer.state.backends.values() if b.listing.lifecycle is Lifecycle.RUNNING
    } == running


def test_restarted_backend_is_cold_and_trusted_again():
    drive = Drive(fleet((0, 0)))
    drive.balancer.health.record_result(drive.balancer.state.backends["b0"], True, drive.now)
    drive.balancer.update_backends(
        drive.now, [Listing("b0", started_at=drive.now)], whole=False, cached=False
    )
    backend = drive.balancer.state.backends["b0"]
    assert drive.balancer.health.capacity(backend, drive.now) == pytest.approx(0.3)
    assert drive.balancer.health.distrust(backend, drive.now) == 0


def test_cached_list_allows_two_attempts_per_backend():
    drive = Drive([])
    drive.balancer.update_backends(drive.now, fleet((0,)), whole=True, cached=True)
    assert sum(len(attempts(drive.take())) for _ in range(6)) == 2


def test_same_calls_give_the_same_steps():
    assert spread(Drive(seed=7), 100) == spread(Drive(seed=7), 100)


@pytest.mark.parametrize(
    ("expiry", "again", "sent"),
    [(12_000, False, 1), (12_000, True, 1), (9_000, True, 0), (19_000, True, 1), (9_000, False, 1)],
)
def test_retry_past_the_due_time_of_the_first_try_is_not_sent(expiry, again, sent):
    drive = Drive()
    drive.take(0, 12_000)
    assert len(attempts(drive.take(0, expiry, is_retry=again))) == sent


@pytest.mark.parametrize(
    ("slowdown", "copies", "early"), [(1.0, False, True), (3.0, False, False), (1.0, True, False)]
)
def test_straggler_times_out_early_in_an_idle_fleet_only(slowdown, copies, early):
    drive = Drive(allowed__may_duplicate=copies)
    spread(drive, 30, after=300)
    drive.balancer.admission.slowdown = slowdown
    (attempt,) = attempts(drive.take())
    assert (attempt.timeout < 10_000) == early


def test_replaced_fleets_are_forgotten():
    drive = Drive(fleet((0, 0)))
    (attempt,) = attempts(drive.take())
    drive.balancer.update_backends(drive.now, [Listing("b9")], whole=True, cached=False)
    assert set(drive.balancer.state.backends) == {attempt.backend, "b9"}
    assert drive.back(attempt) == []
    drive.balancer.update_backends(drive.now, [], whole=False, cached=False)
    assert set(drive.balancer.state.backends) == {"b9"}
    assert not drive.balancer.in_flight


@pytest.mark.parametrize(("idle_reads", "others"), [(1.0, 0.0), (0.0, 1.0)])
def test_report_that_counts_the_answered_work_item_is_corrected(idle_reads, others):
    drive = Drive(fleet((0,)))
    for reading in [idle_reads] * 20 + [1.0]:
        (attempt,) = attempts(drive.take())
        drive.back(attempt, report={"outstanding": reading})
    assert drive.balancer.state.backends["b0"].others_reading == others
    # The report with a probe's answer does not count the probe.
    drive.balancer.on_probe(drive.now, "b0", Outcome.FINISHED, 3, {"outstanding": 1.0})
    assert drive.balancer.state.backends["b0"].others_reading == 1.0


@pytest.mark.parametrize(("queue", "cut"), [(1.0, False), (9.0, True)])
def test_slowness_that_no_reported_queue_explains_does_not_cut_the_limit(queue, cut):
    drive = Drive(fleet((0, 0)))
    spread(drive, 40, after=100)
    before = drive.balancer.admission.limit = 3.0
    for _ in range(40):
        for attempt in attempts(drive.take()):
            drive.back(attempt, after=700, report={"outstanding": queue})
    assert (drive.balancer.admission.limit < before) is cut


@pytest.mark.parametrize(("meanwhile", "cut"), [(True, False), (False, True)])
def test_open_attempt_at_a_backend_that_answers_others_does_not_cut_the_limit(meanwhile, cut):
    drive = Drive(fleet((0,)))
    spread(drive, 20, after=100)
    drive.balancer.on_probe(drive.now, "b0", Outcome.FINISHED, 3, {"outstanding": 0.0})
    admission = drive.balancer.admission
    before = admission.limit = 5.0
    while drive.now < 400_000 and (sent := attempts(drive.take(1))):
        if meanwhile:
            (other,) = attempts(drive.take(1))
            drive.back(other, after=100, report={"outstanding": 1.0})
        drive.back(sent[0], Outcome.TIMED_OUT, after=5000)
    assert (admission.limit < before) is cut


@pytest.mark.parametrize(("times", "cut"), [(5, False), (9, True)])
def test_answers_well_before_the_due_time_do_not_cut_the_limit(times, cut):
    """A work item takes a twelfth of the second it is due in; five times as long is no overload yet."""
    drive = Drive(fleet((0, 0, 0)))
    spread(drive, 40)
    admission, took = drive.balancer.admission, drive.balancer.state.categories[0].base_time
    assert 11 < 10_000 / took < 14
    limit, admission.slowdown = admission.limit, float(times)
    (attempt,) = attempts(drive.take())
    drive.back(attempt, after=int(times * took))
    assert (admission.limit < limit) is cut
