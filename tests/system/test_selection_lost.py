"""Lost backends are found without a look at all the others, and are the same ones."""

from dataclasses import replace
from random import Random

from msgspec import structs

from nettledeal.dataplane.selection import AttemptOutcome
from nettledeal.dataplane.selection.health import HealthState

from .test_selection_choice import BACKENDS, SHORT, selector

DRAINING = "draining"


def lose(chooser, backend_id: str, now: float) -> None:
    chooser.finish_attempt(chooser.start_attempt(backend_id, SHORT, now), AttemptOutcome.UNREACHABLE, now)


def looked_for_among_all(chooser, now: float) -> set[str]:
    return {
        backend_id
        for backend_id, record in chooser.records.items()
        if record.health.state(now) is HealthState.UNREACHABLE and record.backend.state == "ready"
    }


def test_the_lost_ones_are_those_found_among_all_in_random_states():
    random = Random(3)
    chooser = selector()
    listed = {backend.id: backend for backend in BACKENDS}
    found = 0
    for step in range(2000):
        now = step * 0.1
        backend = random.choice(BACKENDS)
        act = random.randrange(5)
        if act == 0 and backend.id in listed:
            lose(chooser, backend.id, now)
        elif act == 1:
            chooser.record_reachable(backend.id, now)
        elif act == 2 and backend.id in chooser.records:
            chooser.record_first_event(chooser.start_attempt(backend.id, SHORT, now), now)
        elif act == 3:
            listed[backend.id] = replace(backend, state=random.choice(["ready", DRAINING]))
            chooser.update_backends(listed.values(), now)
        elif act == 4 and random.random() < 0.3:
            listed.pop(backend.id, None)
            chooser.update_backends(listed.values(), now)
        expected = looked_for_among_all(chooser, now)
        found += bool(expected)
        assert set(chooser.unreachable_backends(now)) == expected
    assert found > 200


def test_a_lost_backend_that_drains_and_is_ready_again_is_looked_for_again():
    chooser = selector()
    lose(chooser, "n1", 1.0)
    chooser.update_backends([replace(BACKENDS[0], state=DRAINING), *BACKENDS[1:]], 1.1)
    assert chooser.unreachable_backends(1.2) == []
    chooser.update_backends(BACKENDS, 1.3)
    assert chooser.unreachable_backends(1.4) == ["n1"]


def test_a_backend_that_takes_no_new_connection_gets_nothing_until_it_is_reached():
    chooser = selector()
    chooser.record_unreachable("n1", 1.0)
    assert chooser.unreachable_backends(1.1) == ["n1"]
    assert "n1" not in {chooser.choose(SHORT, 1.1).id for _ in range(100)}
    chooser.record_reachable("n1", 1.2)
    assert "n1" in {chooser.choose(SHORT, 1.3).id for _ in range(100)}


def test_silence_is_looked_into_well_within_the_target_and_not_at_once():
    chooser = selector()
    long = structs.replace(SHORT, prompt_tokens=40_000, latency_target_s=1.0)
    assert chooser.connect_check_delay_s(chooser.start_attempt("n1", long, 1.0)) == 0.3
    assert chooser.connect_check_delay_s(chooser.start_attempt("n1", SHORT, 1.0)) == 0.2
