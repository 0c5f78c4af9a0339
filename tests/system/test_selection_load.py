"""What backends tell of their load, which zones are in doubt, and how long connections may rest."""

from collections import Counter

import pytest

from nettledeal.dataplane.selection import AttemptOutcome, ReportedLoad, Tuning
from nettledeal.dataplane.selection.smoothed_queue import SmoothedQueue
from nettledeal.dataplane.server_load import read_server_load

from .test_selection_choice import SHORT, selector, served


def answered(chooser, backend_id, now, took_s=0.05, load=None, call=SHORT):
    attempt = chooser.start_attempt(backend_id, call, now)
    chooser.record_first_event(attempt, now + took_s, load)
    chooser.finish_attempt(attempt, AttemptOutcome.COMPLETED, now + took_s)


def chosen_of(chooser, now, call=SHORT):
    return Counter(chooser.choose(call, now).id for _ in range(1000))


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
def test_only_a_load_that_can_be_is_taken(value, load):
    assert read_server_load(value) == load


def test_a_backend_that_tells_of_a_queue_is_avoided():
    chooser = selector()
    before = chosen_of(chooser, 1.0)["n1"]
    answered(chooser, "n1", 0.9, load=ReportedLoad(8, 20))
    assert chosen_of(chooser, 1.0)["n1"] < before / 5


def test_own_attempts_are_not_counted_a_second_time():
    chooser = selector()
    attempt = chooser.start_attempt("n1", SHORT, 0.9)
    chooser.record_first_event(attempt, 1.0, ReportedLoad(1, 0))
    other = selector()
    other.record_first_event(other.start_attempt("n1", SHORT, 0.9), 1.0)
    assert chooser.records["n1"].remembered_queue(1.0) == other.records["n1"].remembered_queue(1.0)


def test_without_a_report_nothing_changes():
    told, untold = selector(), selector()
    for chooser, load in ((told, ReportedLoad(0, 0)), (untold, None)):
        answered(chooser, "n1", 0.9, 0.3, load)
    assert told.records["n1"].remembered_queue(1.0) == untold.records["n1"].remembered_queue(1.0)


def test_a_backend_to_which_a_connection_rests_is_preferred_at_equal_queues():
    chooser = selector()
    chooser.placement.has_idle_connection = lambda backend_id, now: backend_id == "n2"
    chosen = chosen_of(chooser, 1.0)
    assert chosen["n2"] > 2 * chosen["n1"]
    assert set(chosen) == {"n1", "n2", "n3", "n4"}


def test_connections_rest_for_less_where_a_backend_was_lost_of_late():
    chooser, tuning = selector(), Tuning()
    assert chooser.max_idle_s("n1", 1.0) == tuning.max_idle_s
    chooser.finish_attempt(chooser.start_attempt("n2", SHORT, 0.9), AttemptOutcome.UNREACHABLE, 1.0)
    assert chooser.max_idle_s("n1", 2.0) == tuning.max_idle_after_zone_failure_s  # of the same zone
    assert chooser.max_idle_s("s1", 2.0) == tuning.max_idle_s
    assert chooser.max_idle_s("n1", 1.0 + tuning.zone_failure_window_s) == tuning.max_idle_s
    chooser.finish_attempt(chooser.start_attempt("s1", SHORT, 3.0), AttemptOutcome.TIMED_OUT, 5.1)
    assert chooser.max_idle_s("s2", 6.0) == tuning.max_idle_after_zone_failure_s
    assert chooser.max_idle_s("unknown", 4.0) == tuning.max_idle_after_zone_failure_s


def test_a_backend_that_takes_no_connection_makes_its_zone_a_troubled_one():
    chooser = selector()
    chooser.record_unreachable("n1", 1.0)
    assert chooser.max_idle_s("n2", 1.5) == Tuning().max_idle_after_zone_failure_s


def test_backends_of_a_zone_in_doubt_get_nothing_where_enough_others_are_left():
    chooser = selector()
    chooser.set_suspect_zones({"north-2"})
    assert set(chosen_of(chooser, 1.0)) == {"n1", "n2"}
    assert chooser.max_idle_s("n3", 1.0) == Tuning().max_idle_after_zone_failure_s
    chooser.set_suspect_zones(
        {"north-2", "south-1"}
    )  # four of six: the two others can't bear the load of all
    assert set(chosen_of(chooser, 1.0)) == {"n1", "n2", "n3", "n4"}
    chooser.set_suspect_zones(set())
    assert set(chosen_of(chooser, 1.0)) == {"n1", "n2", "n3", "n4"}


def test_the_own_zone_is_never_in_doubt():
    chooser = selector()
    chooser.set_suspect_zones({"north-1"})
    assert set(chosen_of(chooser, 1.0)) == {"n1", "n2", "n3", "n4"}


def test_a_smoothed_queue_fades_and_weighs_readings_by_their_distance():
    queue = SmoothedQueue(0.7, 1.0)
    queue.add(10.0, 0.0)
    assert queue.last_value == pytest.approx(3.0)
    assert queue.value(1.0) == pytest.approx(2.1)
    queue.add(10.0, 0.1)
    assert queue.last_value == pytest.approx(2.895 + 0.09 * (10 - 2.895), abs=0.02)
    queue.add(0.0, 9.0, decay=False)
    assert queue.last_value > 2.0


def test_a_served_request_leaves_no_attempt_behind():
    chooser = selector()
    served(chooser, SHORT, 1.0)
    assert all(not record.attempts for record in chooser.records.values())
