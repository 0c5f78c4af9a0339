"""Limiting the candidates of a large service does not change which backends are chosen."""

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
from tests.system.test_selection_choice import HOME_CALL, SHORT_CALL, ZONES, call_with_prefix, catalogue_entry

UNLIMITED = 1 << 30
ZONE_NAMES = list(ZONES)
OUTCOMES = [
    AttemptOutcome.COMPLETED,
    AttemptOutcome.COMPLETED,
    AttemptOutcome.COMPLETED,
    AttemptOutcome.REFUSED,
    AttemptOutcome.FAILED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.REPLACED,
]


def make_backends(count: int) -> list:
    return [
        catalogue_entry(f"i-{number:04x}", ZONE_NAMES[number % len(ZONE_NAMES)]) for number in range(count)
    ]


def make_selector(
    count: int, max_candidates: int | None = None, seed: int = 1, zone: str = "north-1"
) -> Selector:
    tuning = Tuning() if max_candidates is None else Tuning(max_candidates=max_candidates)
    selector = Selector(tuning, zone, ZONES[zone], ZONES, Random(seed))
    selector.update_services([ServiceProfile("model", 100, 3.0, 20.0, 8, 300_000)], 0.0)
    selector.update_backends(make_backends(count), 0.0)
    selector.set_agents([f"agent-{n}" for n in range(8)], "agent-0", 0.0)
    return selector


def call_with_medium_prefix(number: int) -> CallDescription:
    """A prompt with a shared prefix that is not long enough to delay others."""
    parts = (PromptPart(f"page{number}", 700), PromptPart("own", 300))
    return CallDescription("page", "model", prompt_parts=parts, prompt_tokens=1000, output_tokens=100)


def random_call(random: Random) -> CallDescription:
    return random.choice(
        [
            SHORT_CALL,
            HOME_CALL,
            call_with_prefix(random.randrange(9)),
            call_with_medium_prefix(random.randrange(9)),
        ]
    )


def play_random_attempts(selector: Selector, seed: int, steps: int) -> list[str]:
    """The backends chosen while attempts start, end in all ways, and backends become reachable again."""
    random = Random(seed)
    chosen: list[str] = []
    running = []
    for step in range(steps):
        now = step * random.choice([0.01, 0.02])
        backend = selector.choose(random_call(random), now)
        if isinstance(backend, Refusal):
            chosen.append("refused")
        else:
            chosen.append(backend.id)
            running.append(selector.start_attempt(backend.id, random_call(random), now))
        if random.random() < 0.7 and running:
            attempt = running.pop(random.randrange(len(running)))
            if random.random() < 0.5:
                selector.record_first_event(attempt, now)
            selector.finish_attempt(attempt, random.choice(OUTCOMES), now)
        if random.random() < 0.1:
            for backend_id in selector.unreachable_backends(now):
                selector.record_reachable(backend_id, now)
        if random.random() < 0.02:
            selector.set_evacuated({random.choice(ZONE_NAMES)} if random.random() < 0.5 else set(), now)
    return chosen


@pytest.mark.parametrize("count", [3, 11, 30, 72])
@pytest.mark.parametrize("seed", range(4))
def test_few_backends_are_all_considered(count, seed):
    limited = play_random_attempts(make_selector(count, seed=seed), seed, 400)
    assert limited == play_random_attempts(make_selector(count, UNLIMITED, seed=seed), seed, 400)


def test_prefix_choice_does_not_depend_on_the_candidate_limit():
    limited, unlimited = make_selector(600), make_selector(600, UNLIMITED, seed=2)
    for number in range(40):
        for call in (call_with_prefix(number), call_with_medium_prefix(number)):
            assert limited.choose(call, 1.0).id == unlimited.choose(call, 1.0).id


def test_agents_in_all_zones_of_a_region_agree_on_a_prefix():
    agents = [make_selector(600, seed=seed, zone=zone) for seed, zone in enumerate(["north-1", "north-2"])]
    for number in range(40):
        assert len({agent.choose(call_with_prefix(number), 1.0).id for agent in agents}) == 1


def test_an_unreachable_backend_moves_only_its_own_prefixes():
    unlimited = [make_selector(600).choose(call_with_medium_prefix(number), 1.0).id for number in range(40)]
    limited = make_selector(600)
    unreachable = unlimited[0]
    limited.finish_attempt(
        limited.start_attempt(unreachable, call_with_medium_prefix(0), 1.0), AttemptOutcome.UNREACHABLE, 1.0
    )
    after = [limited.choose(call_with_medium_prefix(number), 1.0).id for number in range(40)]
    assert after[0] != unreachable
    assert [b for b, a in zip(after, unlimited, strict=True) if a != unreachable] == [
        a for a in unlimited if a != unreachable
    ]


def test_normal_load_stays_home_and_reaches_every_home_backend():
    selector = make_selector(300)
    chosen = Counter(selector.choose(SHORT_CALL, 1.0) for _ in range(4000))
    assert {ZONES[backend.zone] for backend in chosen} == {"north"}
    assert len(chosen) == 200


def test_overflow_share_does_not_depend_on_the_candidate_limit():
    shares = []
    for max_candidates in (None, UNLIMITED):
        selector = make_selector(300, max_candidates)
        requests_per_region = Counter()
        for _ in range(800):
            backend = selector.choose(SHORT_CALL, 1.0)
            selector.start_attempt(backend.id, SHORT_CALL, 1.0)
            requests_per_region[ZONES[backend.zone]] += 1
        shares.append(requests_per_region["south"] / 800)
    assert shares[1] > 0.1
    assert abs(shares[0] - shares[1]) < 0.05


def test_home_regions_are_never_left_with_many_backends():
    for zone in ZONE_NAMES:
        selector = make_selector(600, zone=zone)
        for _ in range(300):
            backend = selector.choose(HOME_CALL, 1.0)
            selector.start_attempt(backend.id, HOME_CALL, 1.0)
            assert ZONES[backend.zone] == "north"


def test_the_only_usable_backend_is_found_outside_the_subset():
    selector = make_selector(600, 8)
    usable = "i-0000"
    for backend_id in selector.records:
        if backend_id != usable:
            selector.finish_attempt(
                selector.start_attempt(backend_id, SHORT_CALL, 1.0), AttemptOutcome.UNREACHABLE, 1.0
            )
    assert {selector.choose(call, 1.1).id for call in (SHORT_CALL, HOME_CALL, call_with_prefix(1))} == {
        usable
    }


def test_subsets_exclude_removed_and_evacuated_backends():
    selector = make_selector(600)
    selector.choose(SHORT_CALL, 1.0)
    selector.set_evacuated({"north-1"}, 1.0)
    assert {selector.choose(SHORT_CALL, 1.0).zone for _ in range(300)} == {"north-2"}
    kept = [backend for backend in make_backends(600) if backend.zone != "north-2"]
    selector.set_evacuated(set(), 1.0)
    selector.update_backends(kept, 1.0)
    assert all(selector.choose(SHORT_CALL, 20.0).zone != "north-2" for _ in range(300))


def test_the_number_of_candidates_is_bounded():
    selector = make_selector(3000)
    state = selector.services["model"]
    for call in (SHORT_CALL, HOME_CALL, call_with_prefix(1), call_with_medium_prefix(1)):
        subset = selector.candidates.subset(state, call, frozenset())
        assert len(subset) <= 2 * selector.tuning.max_candidates
