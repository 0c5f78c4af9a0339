"""The index of unreachable backends matches a full scan of all backends."""

from dataclasses import replace
from random import Random

from msgspec import structs

from nettledeal.dataplane.selection import AttemptOutcome
from nettledeal.dataplane.selection.health import HealthState

from .test_selection_choice import BACKENDS, SHORT_CALL, make_selector

DRAINING = "draining"


def make_unreachable(selector, backend_id: str, now: float) -> None:
    selector.finish_attempt(
        selector.start_attempt(backend_id, SHORT_CALL, now), AttemptOutcome.UNREACHABLE, now
    )


def unreachable_by_full_scan(selector, now: float) -> set[str]:
    return {
        backend_id
        for backend_id, record in selector.records.items()
        if record.health.state(now) is HealthState.UNREACHABLE and record.backend.state == "ready"
    }


def test_unreachable_backends_are_those_of_a_full_scan_in_random_states():
    random = Random(3)
    selector = make_selector()
    listed = {backend.id: backend for backend in BACKENDS}
    nonempty_count = 0
    for step in range(2000):
        now = step * 0.1
        backend = random.choice(BACKENDS)
        action = random.randrange(5)
        if action == 0 and backend.id in listed:
            make_unreachable(selector, backend.id, now)
        elif action == 1:
            selector.record_reachable(backend.id, now)
        elif action == 2 and backend.id in selector.records:
            selector.record_first_event(selector.start_attempt(backend.id, SHORT_CALL, now), now)
        elif action == 3:
            listed[backend.id] = replace(backend, state=random.choice(["ready", DRAINING]))
            selector.update_backends(listed.values(), now)
        elif action == 4 and random.random() < 0.3:
            listed.pop(backend.id, None)
            selector.update_backends(listed.values(), now)
        expected = unreachable_by_full_scan(selector, now)
        nonempty_count += bool(expected)
        assert set(selector.unreachable_backends(now)) == expected
    assert nonempty_count > 200


def test_an_unreachable_backend_is_listed_only_while_it_is_ready():
    selector = make_selector()
    make_unreachable(selector, "n1", 1.0)
    selector.update_backends([replace(BACKENDS[0], state=DRAINING), *BACKENDS[1:]], 1.1)
    assert selector.unreachable_backends(1.2) == []
    selector.update_backends(BACKENDS, 1.3)
    assert selector.unreachable_backends(1.4) == ["n1"]


def test_a_backend_that_fails_a_connect_check_gets_no_requests_until_reachable():
    selector = make_selector()
    selector.record_unreachable("n1", 1.0)
    assert selector.unreachable_backends(1.1) == ["n1"]
    assert "n1" not in {selector.choose(SHORT_CALL, 1.1).id for _ in range(100)}
    selector.record_reachable("n1", 1.2)
    assert "n1" in {selector.choose(SHORT_CALL, 1.3).id for _ in range(100)}


def test_the_connect_check_delay_is_bounded_by_target_and_minimum():
    selector = make_selector()
    long = structs.replace(SHORT_CALL, prompt_tokens=40_000, latency_target_s=1.0)
    assert selector.connect_check_delay_s(selector.start_attempt("n1", long, 1.0)) == 0.3
    assert selector.connect_check_delay_s(selector.start_attempt("n1", SHORT_CALL, 1.0)) == 0.2
