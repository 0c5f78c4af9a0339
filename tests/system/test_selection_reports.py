"""Failure reports between agents: each sees too few attempts at one backend to judge it alone."""

from collections import Counter

import pytest

from nettledeal.dataplane.selection import AttemptOutcome, BackendReport, Selector

from .engine_fleet import BackendEntry, Demand, Fleet
from .test_selection_choice import SHORT_CALL, make_selector, serve_request

ZONES = {"east-1": "east", "east-2": "east", "east-3": "east"}
BAD_BACKENDS = 2


def count_choices(selector: Selector, now: float) -> Counter:
    return Counter(selector.choose(SHORT_CALL, now).id for _ in range(1000))


def fail_attempt(selector: Selector, backend_id: str, now: float, outcome: AttemptOutcome) -> None:
    attempt = selector.start_attempt(backend_id, SHORT_CALL, now)
    selector.finish_attempt(attempt, outcome, now + 0.01)


def test_a_reported_backend_is_avoided_but_not_ejected():
    selector = make_selector()
    before = count_choices(selector, 1.0)["n1"]
    selector.apply_report(BackendReport(["n1", "unknown"]), 1.0)
    assert 0 < count_choices(selector, 1.0)["n1"] < before / 5


def test_reported_failures_decay():
    selector = make_selector()
    before = count_choices(selector, 1.0)["n1"]
    selector.apply_report(BackendReport(["n1"]), 1.0)
    assert count_choices(selector, 21.0)["n1"] > before / 2


def test_requests_still_go_to_all_backends_if_all_are_reported():
    selector = make_selector()
    selector.apply_report(BackendReport(["n1", "n2", "n3", "n4", "s1", "s2"]), 1.0)
    assert set(count_choices(selector, 1.0)) == {"n1", "n2", "n3", "n4"}


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.FAILED, AttemptOutcome.UNREACHABLE, AttemptOutcome.TIMED_OUT]
)
def test_failure_reports_are_rate_limited(outcome):
    selector = make_selector()
    notifications = []
    selector.reports.on_added = lambda: notifications.append(True)
    for number in range(5):
        fail_attempt(selector, "n1", 1.0 + 0.01 * number, outcome)
    assert selector.reports.take().failed == ["n1"]
    assert selector.reports.take().failed == []
    fail_attempt(selector, "n1", 3.0, outcome)
    assert selector.reports.take().failed == ["n1"]
    assert len(notifications) == 2


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.REFUSED, AttemptOutcome.REPLACED, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT],
)
def test_outcomes_other_than_failures_are_not_reported(outcome):
    selector = make_selector()
    fail_attempt(selector, "n1", 1.0, outcome)
    serve_request(selector, SHORT_CALL, 2.0)
    assert selector.reports.take().failed == []


def test_reports_of_others_are_not_forwarded():
    selector = make_selector()
    selector.apply_report(BackendReport(["n1"]), 1.0)
    assert selector.reports.take().failed == []


def test_a_silent_backend_is_reported_while_its_request_still_waits():
    selector = make_selector()
    selector.start_attempt("n1", SHORT_CALL, 1.0)
    selector.report_silent_backends(1.2)
    assert selector.reports.take().failed == []
    selector.report_silent_backends(2.0)
    assert selector.reports.take().failed == ["n1"]
    selector.report_silent_backends(2.5)
    assert selector.reports.take().failed == []


def failed_and_timely_shares(
    seed: int, report_delay_s: float | None, failing: float | None
) -> tuple[float, float]:
    """Shares of requests that failed and that were in time, for many agents with few requests each.

    Two backends fail for a while with the share `failing`, or are silent if it is None.
    """
    agents = {f"agent-{number}": f"east-{number % 3 + 1}" for number in range(45)}
    entries = [BackendEntry(f"backend-{number}-{seed}", f"east-{number % 3 + 1}") for number in range(18)]
    fleet = Fleet(ZONES, agents, entries, seed, report_delay_s=report_delay_s)
    for zone in ZONES:
        fleet.add_demand(Demand(zone, 56.0, "ask", 5739, 92, 291, 45, 0.5, 0), 12.0)
    bad = list(fleet.engines.values())[:BAD_BACKENDS]

    def set_bad(is_bad: bool) -> None:
        for engine in bad:
            engine.silent = is_bad and failing is None
            engine.failing_share = (failing or 0.0) if is_bad else 0.0

    fleet.clock.after(4.0, lambda: set_bad(True))
    fleet.clock.after(9.0, lambda: set_bad(False))
    fleet.clock.run(20.0)
    result = fleet.results["ask"]
    return result.failed / result.sent, result.timely / result.sent


@pytest.mark.parametrize(("seed", "failing"), [(1, 1.0), (2, 0.4), (3, None)])
def test_agents_that_share_reports_send_less_to_failing_backends(seed, failing):
    failed_without_reports, timely_without_reports = failed_and_timely_shares(seed, None, failing)
    failed_with_reports, timely_with_reports = failed_and_timely_shares(seed, 0.1, failing)
    assert failed_with_reports < failed_without_reports / 2
    assert timely_with_reports > timely_without_reports
