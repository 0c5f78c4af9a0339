"""Where open connections cost, an agent keeps to a subset of the fleet."""

from collections import Counter

import pytest
from helpers import SECOND, BalancerDriver, attempts, make_listings
from test_decisions import spread

from nettledeal.learned_state import set_fleet_size
from nettledeal.model import Lifecycle, Listing, Outcome
from nettledeal.policy.admission import OVERLOAD
from nettledeal.policy.shared_state import SUBSET

FLEET = make_listings([0] * 30 + [1] * 30)


def subset_drive(**changes):
    return BalancerDriver(FLEET, balancers=300, tariffs__connection=0.03, **changes)


@pytest.mark.parametrize(("price", "most"), [(0.03, SUBSET), (0.0, 30)])
def test_subset_is_used_where_connections_cost(price, most):
    seen = spread(BalancerDriver(FLEET, balancers=300, tariffs__connection=price), 200, after=500)
    assert len(seen) <= most
    assert price or len(seen) > SUBSET


@pytest.mark.parametrize(("rate", "few"), [(2, True), (100, False)])
def test_agent_with_more_in_flight_uses_more_backends(rate, few):
    """Each answer takes half a second, so that one or fifty attempts are in flight on average."""
    driver = BalancerDriver(make_listings([0] * 12), balancers=3, tariffs__connection=0.05)
    waiting, peaks, seen = [], Counter(), set()
    for _ in range(6 * rate):
        driver.now += SECOND // rate
        while waiting and waiting[0][0] <= driver.now:
            driver.finish_attempt(waiting.pop(0)[1], after=0)
        for attempt in attempts(driver.submit()):
            waiting.append((driver.now + SECOND // 2, attempt))
            seen.add(attempt.backend)
        peaks.update({b.id: max(0, len(b.in_flight) - peaks[b.id]) for b in driver.balancer.state.near})
    assert (len(seen) == SUBSET) is few
    # It used to overload its two and defer the rest, beside ten idle backends.
    assert max(peaks.values()) <= 2 * OVERLOAD


def test_subsets_of_many_agents_cover_the_fleet_evenly():
    held = Counter(
        b.id for me in range(200) for part in subset_drive(me=me).balancer.state.subsets for b in part
    )
    assert len(held) == 60
    assert max(held.values()) < 2.5 * 200 * 1.5 * SUBSET / 60


def test_restarted_agent_keeps_its_subset():
    parts = [[b.id for b in subset_drive(me=7, seed=seed).balancer.state.subsets[0]] for seed in (1, 2)]
    assert parts[0] == parts[1]


def test_subset_changes_only_by_the_backend_that_left():
    driver = subset_drive(me=3)
    before = {b.id for b in driver.balancer.state.subsets[0]}
    gone = next(iter(before))
    driver.balancer.update_backends(
        driver.now, [Listing(gone, lifecycle=Lifecycle.DRAINING)], whole=False, cached=False
    )
    after = {b.id for b in driver.balancer.state.subsets[0]}
    assert gone not in after
    assert len(after) == SUBSET
    assert len(before & after) == SUBSET - 1


def test_subset_grows_by_one_for_each_cold_backend():
    driver = subset_drive(me=3)
    first, *_ = driver.balancer.state.subsets[0]
    started = Listing(first.id, started_at=driver.now)
    driver.balancer.update_backends(driver.now, [started], whole=False, cached=False)
    assert len(driver.balancer.state.subsets[0]) == SUBSET + 1


def test_deduplicated_retry_finds_its_cell_outside_the_subset():
    """Only one backend of its cell is in the subset, and the retry must still go to that cell."""
    listings = [Listing(f"b{n}", cell=n // 4) for n in range(40)]
    driver = BalancerDriver(
        listings, balancers=300, me=1, tariffs__connection=0.03, categories__3__group="cell"
    )
    (attempt,) = attempts(driver.submit(3))
    (second,) = attempts(driver.finish_attempt(attempt, Outcome.RESET, after=SECOND // 50))
    assert int(second.backend[1:]) // 4 == int(attempt.backend[1:]) // 4


@pytest.mark.parametrize(
    "category", [0, 1, 2, 3], ids=["idempotent", "at most once", "deduplicated", "in a cell"]
)
def test_refused_connection_is_retried_elsewhere_without_a_storm(category):
    """The backend answers on open connections but refuses new ones: such an attempt never ran and goes to
    another backend of the subset, whatever its effect; the backend is tried again within seconds."""
    driver = subset_drive(me=1, categories__3__group="cell", allowed__most_hand_offs=4)
    part = {b.id for group in driver.balancer.state.subsets for b in group}
    full = driver.balancer.state.subsets[0][0].id
    used, refused, moved = Counter(), 0, 0
    for turn in range(60):
        waiting = attempts(driver.submit(category))
        while waiting:
            attempt = waiting.pop()
            used[attempt.backend] += 1
            if attempt.backend == full and turn < 40 and turn % 2:
                refused += 1
                again = attempts(driver.finish_attempt(attempt, Outcome.UNREACHABLE, after=10))
                assert all(other.backend != full for other in again)
                moved += len(again)
                waiting += again
            else:
                driver.finish_attempt(attempt)
        driver.now += SECOND // 4
        if turn == 40:
            driver.now += 6 * SECOND
            before = used[full]
    assert 0 < refused == moved
    assert set(used) <= part
    assert used[full] > before


def test_assigned_backends_come_first_in_the_order_of_an_agent():
    driver = BalancerDriver(make_listings([0] * 12), tariffs__connection=0.03, me=3)
    usual = [b.id for b in driver.balancer.state.near]
    driver.balancer.apply_settings(
        driver.now, {**driver.balancer.state.settings, "dealt": f"{usual[9]},{usual[7]}"}
    )
    assert {b.id for b in driver.balancer.state.subsets[0]} == {usual[9], usual[7]}
    rest = [id for id in usual if id not in (usual[9], usual[7])]
    assert [b.id for b in driver.balancer.state.near][2:] == rest


def test_limit_is_scaled_to_the_number_of_agents():
    driver = BalancerDriver(make_listings([0] * 12), balancers=50)
    before = driver.balancer.admission.limit
    set_fleet_size(driver.balancer, driver.now, 100, 7, ())
    assert driver.balancer.state.agent_count == 100 and driver.balancer.state.index == 7
    assert driver.balancer.admission.limit == before / 2
    set_fleet_size(driver.balancer, driver.now, 25, 7, ())
    assert driver.balancer.admission.limit == 2 * before
