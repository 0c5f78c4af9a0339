"""Failures that agents tell each other: each sees too few attempts at one backend to judge it alone."""

from collections import Counter

import pytest

from nettledeal.dataplane.selection import AttemptOutcome, BackendReport, Selector

from .engine_fleet import BackendEntry, Demand, Fleet
from .test_selection_choice import SHORT, selector, served

ZONES = {"east-1": "east", "east-2": "east", "east-3": "east"}
BAD = 2


def chosen_of(chooser: Selector, now: float) -> Counter:
    return Counter(chooser.choose(SHORT, now).id for _ in range(1000))


def fail_at(chooser: Selector, backend_id: str, now: float, outcome: AttemptOutcome) -> None:
    attempt = chooser.start_attempt(backend_id, SHORT, now)
    chooser.finish_attempt(attempt, outcome, now + 0.01)


def test_a_backend_that_others_report_is_avoided_and_not_shut_out():
    chooser = selector()
    before = chosen_of(chooser, 1.0)["n1"]
    chooser.apply_report(BackendReport(["n1", "unknown"]), 1.0)
    assert 0 < chosen_of(chooser, 1.0)["n1"] < before / 5


def test_reports_fade():
    chooser = selector()
    before = chosen_of(chooser, 1.0)["n1"]
    chooser.apply_report(BackendReport(["n1"]), 1.0)
    assert chosen_of(chooser, 21.0)["n1"] > before / 2


def test_where_all_are_reported_requests_still_go_to_all():
    chooser = selector()
    chooser.apply_report(BackendReport(["n1", "n2", "n3", "n4", "s1", "s2"]), 1.0)
    assert set(chosen_of(chooser, 1.0)) == {"n1", "n2", "n3", "n4"}


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.FAILED, AttemptOutcome.UNREACHABLE, AttemptOutcome.TIMED_OUT]
)
def test_own_failures_are_to_be_told_once_in_a_while(outcome):
    chooser = selector()
    told = []
    chooser.reports.on_added = lambda: told.append(True)
    for number in range(5):
        fail_at(chooser, "n1", 1.0 + 0.01 * number, outcome)
    assert chooser.reports.take().failed == ["n1"]
    assert chooser.reports.take().failed == []
    fail_at(chooser, "n1", 3.0, outcome)
    assert chooser.reports.take().failed == ["n1"]
    assert len(told) == 2


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.REFUSED, AttemptOutcome.REPLACED, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT],
)
def test_what_is_no_failure_is_not_told(outcome):
    chooser = selector()
    fail_at(chooser, "n1", 1.0, outcome)
    served(chooser, SHORT, 2.0)
    assert chooser.reports.take().failed == []


def test_what_others_report_is_not_passed_on():
    chooser = selector()
    chooser.apply_report(BackendReport(["n1"]), 1.0)
    assert chooser.reports.take().failed == []


def test_a_silent_backend_is_told_while_its_request_still_waits():
    chooser = selector()
    chooser.start_attempt("n1", SHORT, 1.0)
    chooser.report_silent_backends(1.2)
    assert chooser.reports.take().failed == []
    chooser.report_silent_backends(2.0)
    assert chooser.reports.take().failed == ["n1"]
    chooser.report_silent_backends(2.5)
    assert chooser.reports.take().failed == []


def failed_share(seed: int, report_delay_s: float | None, failing: float | None) -> tuple[float, float]:
    """Of many agents with few requests each, while two backends fail: shares failed and answered in time.

    Without a share that fails, the two are silent.
    """
    agents = {f"agent-{number}": f"east-{number % 3 + 1}" for number in range(45)}
    entries = [BackendEntry(f"backend-{number}-{seed}", f"east-{number % 3 + 1}") for number in range(18)]
    made = Fleet(ZONES, agents, entries, seed, report_delay_s=report_delay_s)
    for zone in ZONES:
        made.demand(Demand(zone, 56.0, "ask", 5739, 92, 291, 45, 0.5, 0), 12.0)
    bad = list(made.engines.values())[:BAD]

    def set_bad(is_bad: bool) -> None:
        for engine in bad:
            engine.silent = is_bad and failing is None
            engine.failing_share = (failing or 0.0) if is_bad else 0.0

    made.clock.after(4.0, lambda: set_bad(True))
    made.clock.after(9.0, lambda: set_bad(False))
    made.clock.run(20.0)
    result = made.results["ask"]
    return result.failed / result.sent, result.timely / result.sent


@pytest.mark.parametrize(("seed", "failing"), [(1, 1.0), (2, 0.4), (3, None)])
def test_many_agents_that_tell_each_other_send_less_to_failing_backends(seed, failing):
    alone_failed, alone_timely = failed_share(seed, None, failing)
    together_failed, together_timely = failed_share(seed, 0.1, failing)
    assert together_failed < alone_failed / 2
    assert together_timely > alone_timely
