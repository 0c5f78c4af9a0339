"""Loads reported by backends, suspect zones, and how long connections may be idle."""

from collections import Counter

import pytest

from nettledeal.dataplane.selection import AttemptOutcome, ReportedLoad, Tuning
from nettledeal.dataplane.selection.smoothed_queue import SmoothedQueue
from nettledeal.dataplane.server_load import read_server_load

from .test_selection_choice import SHORT_CALL, make_selector, serve_request


def complete_attempt(selector, backend_id, now, latency_s=0.05, load=None, call=SHORT_CALL):
    attempt = selector.start_attempt(backend_id, call, now)
    selector.record_first_event(attempt, now + latency_s, load)
    selector.finish_attempt(attempt, AttemptOutcome.COMPLETED, now + latency_s)


def count_choices(selector, now, call=SHORT_CALL):
    return Counter(selector.choose(call, now).id for _ in range(1000))


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"12,3,96", ReportedLoad(12, 3)),
        (b" 0 , 0 , 6 ", ReportedLoad(0, 0)),
        (b"", None),
        (b"12,3", None),
        (b"12,3,96,1", None),
        (b"12,-3,96", None),
        (b"12,3.5,96", None),
        (b"a,b,c", None),
        (b"0,0,0", None),
        (b"97,0,96", None),
        (b"99999999,0,99999999", None),
        ("²,0,6".encode("latin-1"), None),
    ],
)
def test_implausible_reported_loads_are_ignored(value, load):
    assert read_server_load(value) == load


def test_a_backend_that_reports_a_queue_is_avoided():
    selector = make_selector()
    before = count_choices(selector, 1.0)["n1"]
    complete_attempt(selector, "n1", 0.9, load=ReportedLoad(8, 20))
    assert count_choices(selector, 1.0)["n1"] < before / 5


def test_own_attempts_are_not_counted_twice():
    selector = make_selector()
    attempt = selector.start_attempt("n1", SHORT_CALL, 0.9)
    selector.record_first_event(attempt, 1.0, ReportedLoad(1, 0))
    other = make_selector()
    other.record_first_event(other.start_attempt("n1", SHORT_CALL, 0.9), 1.0)
    assert selector.records["n1"].remembered_queue(1.0) == other.records["n1"].remembered_queue(1.0)


def test_a_reported_load_of_zero_changes_nothing():
    with_load, without_load = make_selector(), make_selector()
    for selector, load in ((with_load, ReportedLoad(0, 0)), (without_load, None)):
        complete_attempt(selector, "n1", 0.9, 0.3, load)
    assert with_load.records["n1"].remembered_queue(1.0) == without_load.records["n1"].remembered_queue(1.0)


def test_a_backend_with_an_idle_connection_is_preferred_at_equal_queues():
    selector = make_selector()
    selector.placement.has_idle_connection = lambda backend_id, now: backend_id == "n2"
    chosen = count_choices(selector, 1.0)
    assert chosen["n2"] > 2 * chosen["n1"]
    assert set(chosen) == {"n1", "n2", "n3", "n4"}


def test_idle_limits_are_shorter_in_a_zone_with_a_recent_failure():
    selector, tuning = make_selector(), Tuning()
    assert selector.max_idle_s("n1", 1.0) == tuning.max_idle_s
    selector.finish_attempt(selector.start_attempt("n2", SHORT_CALL, 0.9), AttemptOutcome.UNREACHABLE, 1.0)
    assert selector.max_idle_s("n1", 2.0) == tuning.max_idle_after_zone_failure_s  # in the same zone
    assert selector.max_idle_s("s1", 2.0) == tuning.max_idle_s
    assert selector.max_idle_s("n1", 1.0 + tuning.zone_failure_window_s) == tuning.max_idle_s
    selector.finish_attempt(selector.start_attempt("s1", SHORT_CALL, 3.0), AttemptOutcome.TIMED_OUT, 5.1)
    assert selector.max_idle_s("s2", 6.0) == tuning.max_idle_after_zone_failure_s
    assert selector.max_idle_s("unknown", 4.0) == tuning.max_idle_after_zone_failure_s


def test_an_unreachable_backend_shortens_idle_limits_in_its_zone():
    selector = make_selector()
    selector.record_unreachable("n1", 1.0)
    assert selector.max_idle_s("n2", 1.5) == Tuning().max_idle_after_zone_failure_s


def test_suspect_zones_get_no_requests_if_enough_others_remain():
    selector = make_selector()
    selector.set_suspect_zones({"north-2"})
    assert set(count_choices(selector, 1.0)) == {"n1", "n2"}
    assert selector.max_idle_s("n3", 1.0) == Tuning().max_idle_after_zone_failure_s
    # Four of six backends: the two others can't carry the load of all.
    selector.set_suspect_zones({"north-2", "south-1"})
    assert set(count_choices(selector, 1.0)) == {"n1", "n2", "n3", "n4"}
    selector.set_suspect_zones(set())
    assert set(count_choices(selector, 1.0)) == {"n1", "n2", "n3", "n4"}


def test_the_own_zone_is_never_suspect():
    selector = make_selector()
    selector.set_suspect_zones({"north-1"})
    assert set(count_choices(selector, 1.0)) == {"n1", "n2", "n3", "n4"}


def test_a_smoothed_queue_decays_and_weighs_samples_by_their_distance():
    queue = SmoothedQueue(0.7, 1.0)
    queue.add(10.0, 0.0)
    assert queue.last_value == pytest.approx(3.0)
    assert queue.value(1.0) == pytest.approx(2.1)
    queue.add(10.0, 0.1)
    assert queue.last_value == pytest.approx(2.895 + 0.09 * (10 - 2.895), abs=0.02)
    queue.add(0.0, 9.0, decay=False)
    assert queue.last_value > 2.0


def test_a_completed_request_leaves_no_attempt_behind():
    selector = make_selector()
    serve_request(selector, SHORT_CALL, 1.0)
    assert all(not record.attempts for record in selector.records.values())
