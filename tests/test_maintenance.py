"""Backends that operators take out of service and put back, in the decision module."""

import pytest
from helpers import SECOND, Drive, answers, attempts, fleet

from nettledeal.model import Lifecycle, Listing, Outcome, Probe, Verdict


def run(drive, count, answer=True, **fields):
    """Submits work items, answers each, and returns the backends they went to."""
    went = []
    for _ in range(count):
        for attempt in attempts(drive.take(**fields)):
            went.append(attempt.backend)
            if answer:
                drive.back(attempt, after=50, report={"outstanding": 0})
    return went


def test_no_new_work_for_a_backend_out_of_service():
    drive = Drive()
    out = attempts(drive.take())[0]
    assert drive.balancer.cordon(drive.now, out.backend)
    # Nor does a retry.
    again = attempts(drive.back(out, Outcome.RESET))
    assert [attempt.backend != out.backend for attempt in again] == [True]
    assert out.backend not in run(drive, 200)


def test_a_backend_out_of_service_is_not_probed():
    drive = Drive(allowed__probes=True, feedback__fields="outstanding", tariffs__probe=0.0001)
    drive.balancer.cordon(drive.now, "b1")
    probed = set()
    for _ in range(50):
        probed |= {action.backend for action in drive.take() if isinstance(action, Probe)}
        drive.now += 100
    assert probed and "b1" not in probed


@pytest.mark.parametrize("life", [Lifecycle.RUNNING, Lifecycle.DRAINING, Lifecycle.GONE, None])
def test_list_updates_do_not_undo_a_cordon(life):
    drive = Drive()
    assert drive.balancer.cordon(drive.now, "b1")
    others = [entry for entry in fleet() if entry.backend != "b1"]
    if life is not None:
        drive.balancer.update_backends(drive.now, [Listing("b1", life)], whole=False, cached=False)
    else:
        drive.balancer.update_backends(drive.now, others, whole=True, cached=False)
        assert drive.balancer.cordon(drive.now, "b1"), "out already, though unlisted"
    drive.balancer.update_backends(
        drive.now, [Listing("b1", started_at=drive.now)], whole=False, cached=False
    )
    assert "b1" not in run(drive, 100)
    drive.balancer.cordon(drive.now, "b1")
    assert drive.balancer.uncordon(drive.now, "b1")  # twice out, once back
    drive.now += SECOND
    assert "b1" in run(drive, 100)


def test_uncordoned_backend_that_drains_gets_no_work():
    drive = Drive()
    drive.balancer.cordon(drive.now, "b1")
    drive.balancer.update_backends(drive.now, [Listing("b1", Lifecycle.DRAINING)], whole=False, cached=False)
    assert drive.balancer.uncordon(drive.now, "b1")
    drive.now += SECOND
    assert "b1" not in run(drive, 100)


@pytest.mark.parametrize("call", ["cordon", "uncordon"])
def test_unknown_ids_are_refused(call):
    drive = Drive()
    assert not getattr(drive.balancer, call)(drive.now, "b77")
    drive.balancer.update_backends(drive.now, [Listing("b1", Lifecycle.GONE)], whole=False, cached=False)
    assert not getattr(drive.balancer, call)(drive.now, "b1")


@pytest.mark.parametrize("ids", [["b0", "b1", "b2"], ["b0", "b1", "b2", "b3", "b4"]])
def test_a_zone_or_all_backends_out_of_service(ids):
    drive = Drive()
    for id in ids:
        assert drive.balancer.cordon(drive.now, id)
    for _ in range(20):
        actions = drive.take(category=1)
        if len(ids) == 5:
            assert [action.verdict for action in answers(actions)] == [Verdict.DEFERRED]
        else:
            assert attempts(actions)[0].backend in ("b3", "b4")
            drive.back(attempts(actions)[0], after=10)


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
    drive = Drive()
    b = drive.balancer.state.backends["b1"]
    for _ in range(9):
        drive.balancer.health.record_result(b, True, drive.now)
    assert drive.balancer.health.distrust(b, drive.now) > 0.5
    b.others_reading, b.read_at = 50.0, drive.now
    drive.balancer.cordon(drive.now, "b1")
    drive.now += 3 * SECOND
    start = drive.now
    if listed == "meanwhile":
        drive.balancer.update_backends(
            drive.now, [Listing("b1", started_at=start)], whole=False, cached=False
        )
        drive.now += 2 * SECOND
    assert drive.balancer.uncordon(drive.now, "b1")
    if listed == "after":
        drive.balancer.update_backends(drive.now, [Listing("b1", started_at=1)], whole=False, cached=False)
    b = drive.balancer.state.backends["b1"]
    assert drive.balancer.health.capacity(b, drive.now) == pytest.approx(capacity)
    assert drive.balancer.health.distrust(b, drive.now) == 0.0
    assert b.read_at is None


@pytest.mark.parametrize("id", ["b1", "b4"])
def test_uncordoned_backend_gets_work_within_five_seconds(id):
    # It is cold, and in another zone or next to backends that look much better.
    drive = Drive(rules__cold_from=0.1, rules__warm_within=60 * SECOND)
    run(drive, 100)
    drive.balancer.cordon(drive.now, id)
    drive.now += 5 * SECOND
    drive.balancer.uncordon(drive.now, id)
    back, went = drive.now, []
    while drive.now < back + 5 * SECOND:
        went += run(drive, 1, expiry=20_000)
        drive.now += 500
    assert id in went
    # Only one at a time until it answers, as it is cold.
    drive.balancer.cordon(drive.now, id)
    drive.now += SECOND
    drive.balancer.uncordon(drive.now, id)
    drive.now += SECOND
    went = run(drive, 10, answer=False, category=1)
    assert went.count(id) <= 1
