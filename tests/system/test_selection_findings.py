"""Long queues and replaced backends that agents of a zone tell each other, and pauses in streams."""

import math
from collections import Counter

import pytest

from nettledeal.dataplane.selection import AttemptOutcome, BackendReport, Tuning
from nettledeal.dataplane.selection.event_interval import MIN_MEAN_S, EventInterval

from .test_selection_choice import SHORT, selector, served

USUAL_PAUSE_S = 0.03
LONG_PAUSE_S = 0.6


def chosen_of(chooser, now, call=SHORT):
    return Counter(chooser.choose(call, now).id for _ in range(1000))


def streaming(chooser, backend_id, now):
    attempt = chooser.start_attempt(backend_id, SHORT, now)
    chooser.record_first_event(attempt, now + 0.05)
    return attempt


def gone(chooser, backend_id, now):
    attempt = chooser.start_attempt(backend_id, SHORT, now)
    chooser.finish_attempt(attempt, AttemptOutcome.REPLACED, now)


def test_pauses_as_usual_change_nothing():
    chooser = selector()
    attempt = streaming(chooser, "n1", 1.0)
    before = chooser.records["n1"].remembered_queue(1.1)
    for number in range(40):
        chooser.record_stream_pause(attempt, USUAL_PAUSE_S * (0.5 + number % 3 / 2), 1.1)
    assert chooser.records["n1"].remembered_queue(1.1) == before
    assert not chooser.reports.take().queues


def test_a_backend_whose_streams_falter_is_avoided_and_told_of():
    chooser = selector()
    attempt = streaming(chooser, "n1", 1.0)
    before = chosen_of(chooser, 1.5)["n1"]
    for number in range(20):
        chooser.record_stream_pause(attempt, USUAL_PAUSE_S, 1.0 + 0.01 * number)
    for number in range(4):
        chooser.record_stream_pause(attempt, LONG_PAUSE_S, 1.2 + 0.1 * number)
    assert chosen_of(chooser, 1.5)["n1"] < before / 5
    assert set(chooser.reports.take().queues) == {"n1"}


def test_a_stream_that_flows_does_not_hide_a_queue_before_the_engine():
    chooser = selector()
    attempt = streaming(chooser, "n1", 1.0)
    chooser.records["n1"].add_queue_sample(12.0, 1.1)
    before = chooser.records["n1"].remembered_queue(1.2)
    for _ in range(50):
        chooser.record_stream_pause(attempt, USUAL_PAUSE_S, 1.2)
    assert chooser.records["n1"].remembered_queue(1.2) == before


def test_a_pause_at_a_backend_that_has_gone_costs_nothing():
    chooser = selector()
    attempt = streaming(chooser, "n1", 1.0)
    chooser.change_backends([], ["n1"], 1.1)
    chooser.record_stream_pause(attempt, LONG_PAUSE_S, 1.2)


def test_the_usual_pause_is_found_again_after_events_that_came_at_once():
    event_interval = EventInterval()
    for _ in range(200):
        event_interval.excess_s(0.0)
    assert event_interval.mean_s == MIN_MEAN_S
    for _ in range(200):
        event_interval.excess_s(USUAL_PAUSE_S)
    assert event_interval.excess_s(USUAL_PAUSE_S) == 0.0
    assert event_interval.excess_s(LONG_PAUSE_S) > LONG_PAUSE_S / 2


def test_long_queues_that_others_read_are_taken():
    chooser = selector()
    before = chosen_of(chooser, 1.0)["n1"]
    chooser.apply_report(BackendReport(queues={"n1": 15.0, "unknown": 3.0}), 1.0)
    assert chosen_of(chooser, 1.0)["n1"] < before / 5
    assert not chooser.reports.take().queues  # not passed on


@pytest.mark.parametrize("queue", [math.nan, -5.0, 0.0])
def test_a_queue_that_says_nothing_changes_nothing(queue):
    chooser = selector()
    chooser.records["n1"].add_queue_sample(4.0, 0.9)
    before = chooser.records["n1"].remembered_queue(1.0)
    chooser.apply_report(BackendReport(queues={"n1": queue}), 1.0)
    assert chooser.records["n1"].remembered_queue(1.0) == before


@pytest.mark.parametrize("queue", [1e9, math.inf])
def test_an_absurd_queue_counts_as_the_longest_that_is_told(queue):
    absurd, longest = selector(), selector()
    absurd.apply_report(BackendReport(queues={"n1": queue}), 1.0)
    longest.apply_report(BackendReport(queues={"n1": Tuning().max_reported_queue}), 1.0)
    assert absurd.records["n1"].remembered_queue(1.0) == longest.records["n1"].remembered_queue(1.0)


def test_a_queue_is_told_once_in_a_while():
    chooser = selector()
    for number in range(5):
        chooser.reports.add_queue("n1", 5.0 + number, 1.0 + 0.01 * number)
    assert chooser.reports.take().queues == {"n1": 5.0}
    chooser.reports.add_queue("n1", 9.0, 1.0 + Tuning().queue_report_interval_s)
    assert chooser.reports.take().queues == {"n1": 9.0}


def test_a_replaced_backend_is_told_and_gets_nothing_more():
    chooser = selector()
    gone(chooser, "n1", 1.0)
    report = chooser.reports.take()
    assert report.replaced == ["n1"]
    assert not report.failed
    other = selector()
    other.apply_report(report, 1.0)
    assert set(chosen_of(other, 1.0)) == {"n2", "n3", "n4"}
    assert not other.reports.take().replaced


def test_one_replaced_backend_says_nothing_of_the_others_of_its_zone():
    chooser = selector()
    gone(chooser, "n1", 1.0)
    assert set(chosen_of(chooser, 1.1)) == {"n2", "n3", "n4"}


def test_two_replaced_ones_make_doubtful_what_was_not_heard_since():
    chooser = selector(zone="south-1")
    assert [chooser.records[backend_id].backend.zone for backend_id in ("n1", "n2")] == ["north-1"] * 2
    for backend_id in ("n1", "n2"):
        gone(chooser, backend_id, 5.0)
    assert not chooser.replaced.is_suspect(chooser.records["n3"], 5.1)  # of another zone
    assert chooser.replaced.is_suspect(chooser.records["n2"], 5.1)
    answered = chooser.start_attempt("n2", SHORT, 5.2)
    chooser.record_first_event(answered, 5.3)
    assert not chooser.replaced.is_suspect(chooser.records["n2"], 5.4)
    assert not chooser.replaced.is_suspect(chooser.records["n1"], 5.1 + Tuning().replaced_window_s)


def test_a_zone_of_replaced_backends_is_left_where_enough_others_are():
    chooser = selector()
    chooser.apply_report(BackendReport(replaced=["n3"]), 5.0)
    chooser.replaced.record(chooser.records["n4"], 5.0)  # found, though it may be used again
    assert set(chosen_of(chooser, 5.1)) == {"n1", "n2"}
    assert "n4" in chosen_of(chooser, 5.1 + Tuning().replaced_window_s)


def test_where_all_zones_are_doubtful_requests_still_go_out():
    chooser = selector()
    for record in chooser.records.values():
        chooser.replaced.record(record, 5.0)
    assert set(chosen_of(chooser, 5.1)) == {"n1", "n2", "n3", "n4"}


def test_failures_that_a_backend_tells_itself_say_nothing_of_its_connections():
    chooser = selector()
    for _ in range(3):
        attempt = chooser.start_attempt("n1", SHORT, 1.0)
        chooser.record_first_event(attempt, 1.1)
        chooser.finish_attempt(attempt, AttemptOutcome.FAILED, 1.1)
    assert chooser.reports.take().failed == ["n1"]
    assert chooser.max_idle_s("n2", 1.2) == Tuning().max_idle_s
    assert served(chooser, SHORT, 1.2)
