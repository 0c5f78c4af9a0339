"""Backends that operators take out of service and put back, in the decision module."""

import pytest
from helpers import SECOND, BalancerDriver, answers, attempts, make_listings

from nettledeal.model import Lifecycle, Listing, Outcome, Probe, Verdict


def run(driver, count, answer=True, **fields):
    """Submits work items, answers each, and returns the backends they went to."""
    went = []
    for _ in range(count):
        for attempt in attempts(driver.submit(**fields)):
            went.append(attempt.backend)
            if answer:
                driver.finish_attempt(attempt, after=50, report={"outstanding": 0})
    return went


def test_no_new_work_for_a_backend_out_of_service():
    driver = BalancerDriver()
    out = attempts(driver.submit())[0]
    assert driver.balancer.cordon(driver.now, out.backend)
    # Nor does a retry.
    again = attempts(driver.finish_attempt(out, Outcome.RESET))
    assert [attempt.backend != out.backend for attempt in again] == [True]
    assert out.backend not in run(driver, 200)


def test_a_backend_out_of_service_is_not_probed():
    driver = BalancerDriver(allowed__probes=True, feedback__fields="outstanding", tariffs__probe=0.0001)
    driver.balancer.cordon(driver.now, "b1")
    probed = set()
    for _ in range(50):
        probed |= {action.backend for action in driver.submit() if isinstance(action, Probe)}
        driver.now += 100
    assert probed and "b1" not in probed


@pytest.mark.parametrize("life", [Lifecycle.RUNNING, Lifecycle.DRAINING, Lifecycle.GONE, None])
def test_list_updates_do_not_undo_a_cordon(life):
    driver = BalancerDriver()
    assert driver.balancer.cordon(driver.now, "b1")
    others = [entry for entry in make_listings() if entry.backend != "b1"]
    if life is not None:
        driver.balancer.update_backends(driver.now, [Listing("b1", life)], whole=False, cached=False)
    else:
        driver.balancer.update_backends(driver.now, others, whole=True, cached=False)
        assert driver.balancer.cordon(driver.now, "b1"), "out already, though unlisted"
    driver.balancer.update_backends(
        driver.now, [Listing("b1", started_at=driver.now)], whole=False, cached=False
    )
    assert "b1" not in run(driver, 100)
    driver.balancer.cordon(driver.now, "b1")
    assert driver.balancer.uncordon(driver.now, "b1")  # twice out, once back
    driver.now += SECOND
    assert "b1" in run(driver, 100)


def test_uncordoned_backend_that_drains_gets_no_work():
    driver = BalancerDriver()
    driver.balancer.cordon(driver.now, "b1")
    driver.balancer.update_backends(
        driver.now, [Listing("b1", Lifecycle.DRAINING)], whole=False, cached=False
    )
    assert driver.balancer.uncordon(driver.now, "b1")
    driver.now += SECOND
    assert "b1" not in run(driver, 100)


@pytest.mark.parametrize("call", ["cordon", "uncordon"])
def test_unknown_ids_are_refused(call):
    driver = BalancerDriver()
    assert not getattr(driver.balancer, call)(driver.now, "b77")
    driver.balancer.update_backends(driver.now, [Listing("b1", Lifecycle.GONE)], whole=False, cached=False)
    assert not getattr(driver.balancer, call)(driver.now, "b1")


@pytest.mark.parametrize("ids", [["b0", "b1", "b2"], ["b0", "b1", "b2", "b3", "b4"]])
def test_a_zone_or_all_backends_out_of_service(ids):
    driver = BalancerDriver()
    for id in ids:
        assert driver.balancer.cordon(driver.now, id)
    for _ in range(20):
        actions = driver.submit(category=1)
        if len(ids) == 5:
            assert [action.verdict for action in answers(actions)] == [Verdict.DEFERRED]
        else:
            assert attempts(actions)[0].backend in ("b3", "b4")
            driver.finish_attempt(attempts(actions)[0], after=10)


@pytest.mark.parametrize(
    ("restarted", "listed", "capacity"),
    [
        (False, None, 0.3),  # the list may report a restart late
        (True, None, 0.3),
        (True, "meanwhile", 0.3 + 0.7 * 2 / 8),
        (False, "after", 1.0),
    ],
)
def test_uncordoned_backend_is_cold_since_its_start_and_trusted(restarted, listed, capacity):
    driver = BalancerDriver()
    b = driver.balancer.state.backends["b1"]
    for _ in range(9):
        driver.balancer.health.record_result(b, True, driver.now)
    assert driver.balancer.health.distrust(b, driver.now) > 0.5
    b.others_reading, b.read_at = 50.0, driver.now
    driver.balancer.cordon(driver.now, "b1")
    driver.now += 3 * SECOND
    start = driver.now
    if listed == "meanwhile":
        driver.balancer.update_backends(
            driver.now, [Listing("b1", started_at=start)], whole=False, cached=False
        )
        driver.now += 2 * SECOND
    assert driver.balancer.uncordon(driver.now, "b1")
    if listed == "after":
        driver.balancer.update_backends(driver.now, [Listing("b1", started_at=1)], whole=False, cached=False)
    b = driver.balancer.state.backends["b1"]
    assert driver.balancer.health.capacity(b, driver.now) == pytest.approx(capacity)
    assert driver.balancer.health.distrust(b, driver.now) == 0.0
    assert b.read_at is None


@pytest.mark.parametrize("id", ["b1", "b4"])
def test_uncordoned_backend_gets_work_within_five_seconds(id):
    # It is cold, and in another zone or next to backends that look much better.
    driver = BalancerDriver(rules__cold_from=0.1, rules__warm_within=60 * SECOND)
    run(driver, 100)
    driver.balancer.cordon(driver.now, id)
    driver.now += 5 * SECOND
    driver.balancer.uncordon(driver.now, id)
    back, went = driver.now, []
    while driver.now < back + 5 * SECOND:
        went += run(driver, 1, expiry=20_000)
        driver.now += 500
    assert id in went
    # Only one at a time until it answers, as it is cold.
    driver.balancer.cordon(driver.now, id)
    driver.now += SECOND
    driver.balancer.uncordon(driver.now, id)
    driver.now += SECOND
    went = run(driver, 10, answer=False, category=1)
    assert went.count(id) <= 1
