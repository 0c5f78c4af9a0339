"""A part of a large service's backends is looked at for a request, and what is chosen stays what it was."""

from collections import Counter
from random import Random

import pytest

from nettledeal.dataplane.selection import (
    AttemptOutcome,
    CallDescription,
    PromptPart,
    Refusal,
    Selector,
    ServiceProfile,
    Tuning,
)
from tests.system.test_selection_choice import BOUND, SHORT, ZONES, listed, prefixed

ALL = 1 << 30
PLACES = list(ZONES)
OUTCOMES = [
    AttemptOutcome.COMPLETED,
    AttemptOutcome.COMPLETED,
    AttemptOutcome.COMPLETED,
    AttemptOutcome.REFUSED,
    AttemptOutcome.FAILED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.REPLACED,
]


def fleet(count: int) -> list:
    return [listed(f"i-{number:04x}", PLACES[number % len(PLACES)]) for number in range(count)]


def selector(count: int, most: int | None = None, seed: int = 1, zone: str = "north-1") -> Selector:
    tuning = Tuning() if most is None else Tuning(max_candidates=most)
    made = Selector(tuning, zone, ZONES[zone], ZONES, Random(seed))
    made.update_services([ServiceProfile("model", 100, 3.0, 20.0, 8, 300_000)], 0.0)
    made.update_backends(fleet(count), 0.0)
    made.set_agents([f"agent-{n}" for n in range(8)], "agent-0", 0.0)
    return made


def middling(number: int) -> CallDescription:
    """A prompt with a shared prefix that is not long enough to hold up others."""
    parts = (PromptPart(f"page{number}", 700), PromptPart("own", 300))
    return CallDescription("page", "model", prompt_parts=parts, prompt_tokens=1000, output_tokens=100)


def random_call(random: Random) -> CallDescription:
    return random.choice([SHORT, BOUND, prefixed(random.randrange(9)), middling(random.randrange(9))])


def played(chooser: Selector, seed: int, steps: int) -> list[str]:
    """What is chosen while attempts begin, end in all ways, and backends turn up again."""
    random = Random(seed)
    chosen: list[str] = []
    running = []
    for step in range(steps):
        now = step * random.choice([0.01, 0.02])
        backend = chooser.choose(random_call(random), now)
        if isinstance(backend, Refusal):
            chosen.append("refused")
        else:
            chosen.append(backend.id)
            running.append(chooser.start_attempt(backend.id, random_call(random), now))
        if random.random() < 0.7 and running:
            attempt = running.pop(random.randrange(len(running)))
            if random.random() < 0.5:
                chooser.record_first_event(attempt, now)
            chooser.finish_attempt(attempt, random.choice(OUTCOMES), now)
        if random.random() < 0.1:
            for backend_id in chooser.unreachable_backends(now):
                chooser.record_reachable(backend_id, now)
        if random.random() < 0.02:
            chooser.set_evacuated({random.choice(PLACES)} if random.random() < 0.5 else set(), now)
    return chosen


@pytest.mark.parametrize("count", [3, 11, 30, 72])
@pytest.mark.parametrize("seed", range(4))
def test_with_few_backends_the_choice_is_that_among_all(count, seed):
    limited = played(selector(count, seed=seed), seed, 400)
    assert limited == played(selector(count, ALL, seed=seed), seed, 400)


def test_with_many_backends_equal_prefixes_go_where_they_would_go_among_all():
    limited, among_all = selector(600), selector(600, ALL, seed=2)
    for number in range(40):
        for call in (prefixed(number), middling(number)):
            assert limited.choose(call, 1.0).id == among_all.choose(call, 1.0).id


def test_with_many_backends_agents_agree_on_a_prefix_whatever_their_zone_in_the_region():
    agents = [selector(600, seed=seed, zone=zone) for seed, zone in enumerate(["north-1", "north-2"])]
    for number in range(40):
        assert len({agent.choose(prefixed(number), 1.0).id for agent in agents}) == 1


def test_a_distrusted_backend_moves_only_its_own_prefixes():
    among_all = [selector(600).choose(middling(number), 1.0).id for number in range(40)]
    limited = selector(600)
    lost = among_all[0]
    limited.finish_attempt(limited.start_attempt(lost, middling(0), 1.0), AttemptOutcome.UNREACHABLE, 1.0)
    after = [limited.choose(middling(number), 1.0).id for number in range(40)]
    assert after[0] != lost
    assert [b for b, a in zip(after, among_all, strict=True) if a != lost] == [
        a for a in among_all if a != lost
    ]


def test_ordinary_work_stays_home_and_reaches_every_home_backend():
    chooser = selector(300)
    chosen = Counter(chooser.choose(SHORT, 1.0) for _ in range(4000))
    assert {ZONES[backend.zone] for backend in chosen} == {"north"}
    assert len(chosen) == 200


def test_overflow_leaves_the_region_as_it_does_among_all():
    shares = []
    for most in (None, ALL):
        chooser = selector(300, most)
        places = Counter()
        for _ in range(800):
            backend = chooser.choose(SHORT, 1.0)
            chooser.start_attempt(backend.id, SHORT, 1.0)
            places[ZONES[backend.zone]] += 1
        shares.append(places["south"] / 800)
    assert shares[1] > 0.1
    assert abs(shares[0] - shares[1]) < 0.05


def test_a_route_with_homes_never_leaves_them_with_many_backends():
    for zone in PLACES:
        chooser = selector(600, zone=zone)
        for _ in range(300):
            backend = chooser.choose(BOUND, 1.0)
            chooser.start_attempt(backend.id, BOUND, 1.0)
            assert ZONES[backend.zone] == "north"


def test_what_is_usable_is_found_though_no_part_has_it():
    chooser = selector(600, 8)
    usable = "i-0000"
    for backend_id in chooser.records:
        if backend_id != usable:
            chooser.finish_attempt(
                chooser.start_attempt(backend_id, SHORT, 1.0), AttemptOutcome.UNREACHABLE, 1.0
            )
    assert {chooser.choose(call, 1.1).id for call in (SHORT, BOUND, prefixed(1))} == {usable}


def test_a_part_holds_nothing_that_drains_or_is_evacuated_meanwhile():
    chooser = selector(600)
    chooser.choose(SHORT, 1.0)
    chooser.set_evacuated({"north-1"}, 1.0)
    assert {chooser.choose(SHORT, 1.0).zone for _ in range(300)} == {"north-2"}
    kept = [backend for backend in fleet(600) if backend.zone != "north-2"]
    chooser.set_evacuated(set(), 1.0)
    chooser.update_backends(kept, 1.0)
    assert all(chooser.choose(SHORT, 20.0).zone != "north-2" for _ in range(300))


def test_the_backends_looked_at_are_bounded_whatever_the_size():
    chooser = selector(3000)
    state = chooser.services["model"]
    for call in (SHORT, BOUND, prefixed(1), middling(1)):
        part = chooser.candidates.subset(state, call, frozenset())
        assert len(part) <= 2 * chooser.tuning.max_candidates
