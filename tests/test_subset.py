"""Where open connections cost, an agent keeps to a part of the fleet."""

from collections import Counter

import pytest
from helpers import SECOND, Drive, attempts, fleet
from test_decisions import spread

from nettledeal.learned_state import set_fleet_size
from nettledeal.model import Lifecycle, Listing, Outcome
from nettledeal.policy.admission import OVERLOAD
from nettledeal.policy.shared_state import SUBSET

FLEET = fleet([0] * 30 + [1] * 30)


def kept(**changes):
    return Drive(FLEET, balancers=300, tariffs__connection=0.03, **changes)


@pytest.mark.parametrize(("price", "most"), [(0.03, SUBSET), (0.0, 30)])
def test_a_part_is_kept_to_where_connections_cost(price, most):
    seen = spread(Drive(FLEET, balancers=300, tariffs__connection=price), 200, after=500)
    assert len(seen) <= most
    assert price or len(seen) > SUBSET


@pytest.mark.parametrize(("rate", "few"), [(2, True), (100, False)])
def test_who_has_much_out_keeps_to_more_of_them(rate, few):
    """Each answer takes half a second: one work item out on average, and fifty."""
    drive = Drive(fleet([0] * 12), balancers=3, tariffs__connection=0.05)
    waiting, peaks, seen = [], Counter(), set()
    for _ in range(6 * rate):
        drive.now += SECOND // rate
        while waiting and waiting[0][0] <= drive.now:
            drive.back(waiting.pop(0)[1], after=0)
        for attempt in attempts(drive.take()):
            waiting.append((drive.now + SECOND // 2, attempt))
            seen.add(attempt.backend)
        peaks.update({b.id: max(0, len(b.in_flight) - peaks[b.id]) for b in drive.balancer.state.near})
    assert (len(seen) == SUBSET) is few
    # It had them crowd its two, and the rest deferred, beside ten that had nothing to do.
    assert max(peaks.values()) <= 2 * OVERLOAD


def test_the_parts_of_many_agents_cover_the_fleet_evenly():
    held = Counter(b.id for me in range(200) for part in kept(me=me).balancer.state.subsets for b in part)
    assert len(held) == 60
    assert max(held.values()) < 2.5 * 200 * 1.5 * SUBSET / 60


def test_a_restarted_agent_keeps_to_the_same_part():
    parts = [[b.id for b in kept(me=7, seed=seed).balancer.state.subsets[0]] for seed in (1, 2)]
    assert parts[0] == parts[1]


def test_the_part_changes_by_no_more_than_what_left_it():
    drive = kept(me=3)
    before = {b.id for b in drive.balancer.state.subsets[0]}
    gone = next(iter(before))
    drive.balancer.update_backends(
        drive.now, [Listing(gone, lifecycle=Lifecycle.DRAINING)], whole=False, cached=False
    )
    after = {b.id for b in drive.balancer.state.subsets[0]}
    assert gone not in after
    assert len(after) == SUBSET
    assert len(before & after) == SUBSET - 1


def test_one_more_for_each_cold_one():
    drive = kept(me=3)
    first, *_ = drive.balancer.state.subsets[0]
    started = Listing(first.id, started_at=drive.now)
    drive.balancer.update_backends(drive.now, [started], whole=False, cached=False)
    assert len(drive.balancer.state.subsets[0]) == SUBSET + 1


def test_a_ticket_finds_its_cell_outside_the_part():
    """Its cell has one backend in the part: the second try must go to the cell all the same."""
    listings = [Listing(f"b{n}", cell=n // 4) for n in range(40)]
    drive = Drive(listings, balancers=300, me=1, tariffs__connection=0.03, categories__3__group="cell")
    (attempt,) = attempts(drive.take(3))
    (second,) = attempts(drive.back(attempt, Outcome.RESET, after=SECOND // 50))
    assert int(second.backend[1:]) // 4 == int(attempt.backend[1:]) // 4


@pytest.mark.parametrize("category", [0, 1, 2, 3], ids=["rerunnable", "exclusive", "ticketed", "in a cell"])
def test_a_connect_refused_for_want_of_places_moves_on_and_opens_no_storm(category):
    """Its backend answers on the connections that it has: what it takes no new one for never ran, goes to
    another of the part, whatever its effect, and the backend is tried again within seconds."""
    drive = kept(me=1, categories__3__group="cell", allowed__most_hand_offs=4)
    part = {b.id for group in drive.balancer.state.subsets for b in group}
    full = drive.balancer.state.subsets[0][0].id
    used, refused, moved = Counter(), 0, 0
    for turn in range(60):
        waiting = attempts(drive.take(category))
        while waiting:
            attempt = waiting.pop()
            used[attempt.backend] += 1
            if attempt.backend == full and turn < 40 and turn % 2:
                refused += 1
                again = attempts(drive.back(attempt, Outcome.UNREACHABLE, after=10))
                assert all(other.backend != full for other in again)
                moved += len(again)
                waiting += again
            else:
                drive.back(attempt)
        drive.now += SECOND // 4
        if turn == 40:
            drive.now += 6 * SECOND
            before = used[full]
    assert 0 < refused == moved
    assert set(used) <= part
    assert used[full] > before


def test_what_is_dealt_comes_first_in_an_agents_own_order():
    drive = Drive(fleet([0] * 12), tariffs__connection=0.03, me=3)
    usual = [b.id for b in drive.balancer.state.near]
    drive.balancer.apply_settings(
        drive.now, {**drive.balancer.state.settings, "dealt": f"{usual[9]},{usual[7]}"}
    )
    assert {b.id for b in drive.balancer.state.subsets[0]} == {usual[9], usual[7]}
    rest = [id for id in usual if id not in (usual[9], usual[7])]
    assert [b.id for b in drive.balancer.state.near][2:] == rest


def test_another_count_of_agents_takes_a_share_of_the_limit_in_proportion():
    drive = Drive(fleet([0] * 12), balancers=50)
    before = drive.balancer.admission.limit
    set_fleet_size(drive.balancer, drive.now, 100, 7, ())
    assert drive.balancer.state.agent_count == 100 and drive.balancer.state.index == 7
    assert drive.balancer.admission.limit == before / 2
    set_fleet_size(drive.balancer, drive.now, 25, 7, ())
    assert drive.balancer.admission.limit == 2 * before
