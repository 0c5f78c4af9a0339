"""Reports of long queues and replaced backends between agents of a zone, and pauses in streams."""

import math
from collections import Counter

import pytest

from nettledeal.dataplane.selection import AttemptOutcome, BackendReport, Tuning
from nettledeal.dataplane.selection.event_interval import MIN_MEAN_S, EventInterval

from .test_selection_choice import SHORT_CALL, make_selector, serve_request

NORMAL_PAUSE_S = 0.03
LONG_PAUSE_S = 0.6


def count_choices(selector, now, call=SHORT_CALL):
    return Counter(selector.choose(call, now).id for _ in range(1000))


def start_stream(selector, backend_id, now):
    attempt = selector.start_attempt(backend_id, SHORT_CALL, now)
    selector.record_first_event(attempt, now + 0.05)
    return attempt


def finish_as_replaced(selector, backend_id, now):
    attempt = selector.start_attempt(backend_id, SHORT_CALL, now)
    selector.finish_attempt(attempt, AttemptOutcome.REPLACED, now)


def test_normal_pauses_do_not_change_the_queue():
    selector = make_selector()
    attempt = start_stream(selector, "n1", 1.0)
    before = selector.records["n1"].remembered_queue(1.1)
    for number in range(40):
        selector.record_stream_pause(attempt, NORMAL_PAUSE_S * (0.5 + number % 3 / 2), 1.1)
    assert selector.records["n1"].remembered_queue(1.1) == before
    assert not selector.reports.take().queues


def test_a_backend_with_long_stream_pauses_is_avoided_and_reported():
    selector = make_selector()
    attempt = start_stream(selector, "n1", 1.0)
    before = count_choices(selector, 1.5)["n1"]
    for number in range(20):
        selector.record_stream_pause(attempt, NORMAL_PAUSE_S, 1.0 + 0.01 * number)
    for number in range(4):
        selector.record_stream_pause(attempt, LONG_PAUSE_S, 1.2 + 0.1 * number)
    assert count_choices(selector, 1.5)["n1"] < before / 5
    assert set(selector.reports.take().queues) == {"n1"}


def test_a_steady_stream_does_not_hide_a_queue_at_the_engine():
    selector = make_selector()
    attempt = start_stream(selector, "n1", 1.0)
    selector.records["n1"].add_queue_sample(12.0, 1.1)
    before = selector.records["n1"].remembered_queue(1.2)
    for _ in range(50):
        selector.record_stream_pause(attempt, NORMAL_PAUSE_S, 1.2)
    assert selector.records["n1"].remembered_queue(1.2) == before


def test_a_pause_at_a_removed_backend_is_ignored():
    selector = make_selector()
    attempt = start_stream(selector, "n1", 1.0)
    selector.change_backends([], ["n1"], 1.1)
    selector.record_stream_pause(attempt, LONG_PAUSE_S, 1.2)


def test_the_mean_interval_recovers_after_events_without_pauses():
    event_interval = EventInterval()
    for _ in range(200):
        event_interval.excess_s(0.0)
    assert event_interval.mean_s == MIN_MEAN_S
    for _ in range(200):
        event_interval.excess_s(NORMAL_PAUSE_S)
    assert event_interval.excess_s(NORMAL_PAUSE_S) == 0.0
    assert event_interval.excess_s(LONG_PAUSE_S) > LONG_PAUSE_S / 2


def test_long_queues_reported_by_other_agents_are_applied():
    selector = make_selector()
    before = count_choices(selector, 1.0)["n1"]
    selector.apply_report(BackendReport(queues={"n1": 15.0, "unknown": 3.0}), 1.0)
    assert count_choices(selector, 1.0)["n1"] < before / 5
    assert not selector.reports.take().queues  # not forwarded


@pytest.mark.parametrize("queue", [math.nan, -5.0, 0.0])
def test_an_invalid_or_short_reported_queue_is_ignored(queue):
    selector = make_selector()
    selector.records["n1"].add_queue_sample(4.0, 0.9)
    before = selector.records["n1"].remembered_queue(1.0)
    selector.apply_report(BackendReport(queues={"n1": queue}), 1.0)
    assert selector.records["n1"].remembered_queue(1.0) == before


@pytest.mark.parametrize("queue", [1e9, math.inf])
def test_an_excessive_reported_queue_is_capped(queue):
    excessive, longest = make_selector(), make_selector()
    excessive.apply_report(BackendReport(queues={"n1": queue}), 1.0)
    longest.apply_report(BackendReport(queues={"n1": Tuning().max_reported_queue}), 1.0)
    assert excessive.records["n1"].remembered_queue(1.0) == longest.records["n1"].remembered_queue(1.0)


def test_queue_reports_are_rate_limited():
    selector = make_selector()
    for number in range(5):
        selector.reports.add_queue("n1", 5.0 + number, 1.0 + 0.01 * number)
    assert selector.reports.take().queues == {"n1": 5.0}
    selector.reports.add_queue("n1", 9.0, 1.0 + Tuning().queue_report_interval_s)
    assert selector.reports.take().queues == {"n1": 9.0}


def test_a_replaced_backend_is_reported_and_gets_no_more_requests():
    selector = make_selector()
    finish_as_replaced(selector, "n1", 1.0)
    report = selector.reports.take()
    assert report.replaced == ["n1"]
    assert not report.failed
    other = make_selector()
    other.apply_report(report, 1.0)
    assert set(count_choices(other, 1.0)) == {"n2", "n3", "n4"}
    assert not other.reports.take().replaced


def test_one_replaced_backend_does_not_make_its_zone_suspect():
    selector = make_selector()
    finish_as_replaced(selector, "n1", 1.0)
    assert set(count_choices(selector, 1.1)) == {"n2", "n3", "n4"}


def test_two_replaced_backends_make_unheard_ones_of_the_zone_suspect():
    selector = make_selector(zone="south-1")
    assert [selector.records[backend_id].backend.zone for backend_id in ("n1", "n2")] == ["north-1"] * 2
    for backend_id in ("n1", "n2"):
        finish_as_replaced(selector, backend_id, 5.0)
    assert not selector.replaced.is_suspect(selector.records["n3"], 5.1)  # in another zone
    assert selector.replaced.is_suspect(selector.records["n2"], 5.1)
    attempt = selector.start_attempt("n2", SHORT_CALL, 5.2)
    selector.record_first_event(attempt, 5.3)
    assert not selector.replaced.is_suspect(selector.records["n2"], 5.4)
    assert not selector.replaced.is_suspect(selector.records["n1"], 5.1 + Tuning().replaced_window_s)


def test_a_zone_with_replaced_backends_is_avoided_if_enough_others_remain():
    selector = make_selector()
    selector.apply_report(BackendReport(replaced=["n3"]), 5.0)
    selector.replaced.record(selector.records["n4"], 5.0)  # found to be replaced, though not ejected
    assert set(count_choices(selector, 5.1)) == {"n1", "n2"}
    assert "n4" in count_choices(selector, 5.1 + Tuning().replaced_window_s)


def test_requests_are_still_sent_if_all_zones_are_suspect():
    selector = make_selector()
    for record in selector.records.values():
        selector.replaced.record(record, 5.0)
    assert set(count_choices(selector, 5.1)) == {"n1", "n2", "n3", "n4"}


def test_failures_reported_by_a_backend_do_not_shorten_idle_limits():
    selector = make_selector()
    for _ in range(3):
        attempt = selector.start_attempt("n1", SHORT_CALL, 1.0)
        selector.record_first_event(attempt, 1.1)
        selector.finish_attempt(attempt, AttemptOutcome.FAILED, 1.1)
    assert selector.reports.take().failed == ["n1"]
    assert selector.max_idle_s("n2", 1.2) == Tuning().max_idle_s
    assert serve_request(selector, SHORT_CALL, 1.2)
