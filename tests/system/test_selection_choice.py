"""Choice of a backend: home region first, home regions of a route, prefixes, health, refusals."""

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

from .engine_fleet import BackendEntry

ZONES = {"north-1": "north", "north-2": "north", "south-1": "south"}


def catalogue_entry(name: str, zone: str, state: str = "ready") -> BackendEntry:
    return BackendEntry(name, zone, capacity=8, state=state)


BACKENDS = [
    catalogue_entry("n1", "north-1"),
    catalogue_entry("n2", "north-1"),
    catalogue_entry("n3", "north-2"),
    catalogue_entry("n4", "north-2"),
    catalogue_entry("s1", "south-1"),
    catalogue_entry("s2", "south-1"),
]
SHORT_CALL = CallDescription("ask", "model", prompt_tokens=300, output_tokens=40)
HOME_CALL = CallDescription("ask", "model", frozenset({"north"}), prompt_tokens=300, output_tokens=40)


def call_with_prefix(number: int) -> CallDescription:
    parts = (PromptPart(f"doc{number}", 13_000), PromptPart("own", 700))
    return CallDescription("digest", "model", prompt_parts=parts, prompt_tokens=13_700, output_tokens=100)


def make_selector(zone: str = "north-1", seed: int = 1, backends=BACKENDS) -> Selector:
    selector = Selector(Tuning(), zone, ZONES[zone], ZONES, Random(seed))
    selector.update_services([ServiceProfile("model", 100, 3.0, 20.0, 8, 300_000)], 0.0)
    selector.update_backends(backends, 0.0)
    selector.set_agents([f"agent-{n}" for n in range(8)], "agent-0", 0.0)
    return selector


def serve_request(selector: Selector, call: CallDescription, now: float, latency_s: float = 0.05) -> str:
    backend = selector.choose(call, now)
    assert not isinstance(backend, Refusal)
    attempt = selector.start_attempt(backend.id, call, now)
    selector.record_first_event(attempt, now + latency_s)
    selector.finish_attempt(attempt, AttemptOutcome.COMPLETED, now + latency_s)
    return backend.id


def test_normal_load_stays_in_the_home_region():
    selector = make_selector()
    chosen = Counter(serve_request(selector, SHORT_CALL, 0.1 * n) for n in range(200))
    assert set(chosen) == {"n1", "n2", "n3", "n4"}


def test_overflow_goes_to_shorter_queues_of_other_regions():
    selector = make_selector()
    requests_per_zone = Counter()
    for _ in range(60):
        backend = selector.choose(SHORT_CALL, 1.0)
        selector.start_attempt(backend.id, SHORT_CALL, 1.0)
        requests_per_zone[backend.zone] += 1
    assert requests_per_zone["south-1"] > 5


@pytest.mark.parametrize("zone", list(ZONES))
def test_home_regions_are_never_left(zone):
    selector = make_selector(zone)
    for _ in range(200):
        backend = selector.choose(HOME_CALL, 1.0)
        selector.start_attempt(backend.id, HOME_CALL, 1.0)
        assert ZONES[backend.zone] == "north"
    for backend_id in ("n1", "n2", "n3", "n4"):
        for _ in range(5):
            selector.finish_attempt(
                selector.start_attempt(backend_id, HOME_CALL, 2.0), AttemptOutcome.UNREACHABLE, 2.0
            )
    chosen = selector.choose(HOME_CALL, 2.0)
    assert isinstance(chosen, Refusal) or ZONES[chosen.zone] == "north"


def test_all_agents_choose_the_same_backend_for_a_prefix():
    agents = [make_selector(zone, seed) for seed, zone in enumerate(["north-1", "north-2", "north-1"])]
    for number in range(30):
        assert len({serve_request(agent, call_with_prefix(number), number) for agent in agents}) == 1


def test_a_hot_prefix_is_spread_over_backends():
    selector = make_selector()
    chosen = Counter()
    for _ in range(40):
        backend = selector.choose(call_with_prefix(1), 1.0)
        selector.start_attempt(backend.id, call_with_prefix(1), 1.0)
        chosen[backend.id] += 1
    assert max(chosen.values()) <= 20


def test_an_evacuated_zone_gets_no_requests_even_if_no_other_is_left():
    selector = make_selector(backends=BACKENDS[:2])
    selector.set_evacuated({"north-1"}, 1.0)
    assert isinstance(selector.choose(SHORT_CALL, 1.0), Refusal)
    selector.set_evacuated(set(), 10.0)
    selector.set_agents([f"agent-{n}" for n in range(8)], "agent-0", 10.0)
    request_count = 0
    while not isinstance(backend := selector.choose(SHORT_CALL, 10.0), Refusal):
        selector.start_attempt(backend.id, SHORT_CALL, 10.0)
        request_count += 1
    assert 0 < request_count <= 2 * 4


def test_draining_and_excluded_backends_get_no_requests():
    backends = [catalogue_entry("n1", "north-1", state="draining"), catalogue_entry("n2", "north-1")]
    selector = make_selector(backends=backends)
    assert selector.choose(SHORT_CALL, 1.0).id == "n2"
    assert isinstance(selector.choose(SHORT_CALL, 1.0, {"n2"}), Refusal)


def test_a_failing_backend_is_ejected_and_restored_by_a_probe():
    selector = make_selector()
    for n in range(3):
        selector.finish_attempt(
            selector.start_attempt("n1", SHORT_CALL, 1.0 + n / 100), AttemptOutcome.FAILED, 1.0 + n / 100
        )
    assert "n1" not in {selector.choose(SHORT_CALL, 1.1).id for _ in range(100)}
    probes = [selector.choose(SHORT_CALL, 3.0).id for _ in range(100)]
    assert "n1" in probes
    probe = selector.start_attempt("n1", SHORT_CALL, 3.0)
    assert "n1" not in {selector.choose(SHORT_CALL, 3.0).id for _ in range(100)}
    selector.record_first_event(probe, 3.05)
    assert "n1" in {selector.choose(SHORT_CALL, 3.1).id for _ in range(100)}


def test_a_partially_failing_backend_is_ejected():
    selector = make_selector()
    random = Random(5)
    for n in range(40):
        attempt = selector.start_attempt("n1", SHORT_CALL, n / 20)
        failed = random.random() < 0.5
        selector.finish_attempt(
            attempt, AttemptOutcome.FAILED if failed else AttemptOutcome.COMPLETED, n / 20 + 0.01
        )
    assert selector.records["n1"].health.ejection_count > 0


def test_not_all_backends_are_ejected_at_once():
    selector = make_selector()
    for backend in BACKENDS:
        for n in range(5):
            selector.finish_attempt(
                selector.start_attempt(backend.id, SHORT_CALL, 1.0 + n / 100), AttemptOutcome.FAILED, 1.05
            )
    assert not isinstance(selector.choose(SHORT_CALL, 1.1), Refusal)


def test_a_silent_backend_gets_no_more_requests():
    selector = make_selector()
    selector.start_attempt("n1", SHORT_CALL, 1.0)
    assert "n1" not in {selector.choose(SHORT_CALL, 3.0).id for _ in range(100)}


def test_a_backend_that_refused_counts_as_full_until_the_next_sample():
    selector = make_selector()
    selector.finish_attempt(selector.start_attempt("n1", SHORT_CALL, 1.0), AttemptOutcome.REFUSED, 1.0)
    assert Counter(selector.choose(SHORT_CALL, 5.0).id for _ in range(300))["n1"] < 40


def test_an_unreachable_backend_gets_no_requests_until_it_is_reachable():
    selector = make_selector()
    selector.finish_attempt(selector.start_attempt("n1", SHORT_CALL, 1.0), AttemptOutcome.UNREACHABLE, 1.4)
    assert selector.unreachable_backends(1.5) == ["n1"]
    for now in (2.0, 20.0, 200.0):
        assert "n1" not in {selector.choose(SHORT_CALL, now).id for _ in range(100)}
    selector.record_reachable("n1", 201.0)
    assert selector.unreachable_backends(201.0) == []
    assert "n1" in {selector.choose(SHORT_CALL, 201.0).id for _ in range(100)}


def test_an_unanswered_request_makes_its_backend_unreachable():
    selector = make_selector()
    attempt = selector.start_attempt("n1", SHORT_CALL, 1.0)
    selector.finish_attempt(attempt, AttemptOutcome.FAILED, 4.0)
    assert selector.unreachable_backends(4.0) == ["n1"]


def test_requests_are_refused_at_once_if_all_backends_are_unreachable():
    selector = make_selector()
    for backend in BACKENDS:
        selector.finish_attempt(
            selector.start_attempt(backend.id, SHORT_CALL, 1.0), AttemptOutcome.UNREACHABLE, 1.4
        )
    assert isinstance(selector.choose(SHORT_CALL, 1.5), Refusal)


def test_a_stale_connection_does_not_affect_health():
    selector = make_selector()
    for n in range(20):
        selector.finish_attempt(
            selector.start_attempt("n1", SHORT_CALL, 1.0 + n / 100), AttemptOutcome.NOT_SENT, 1.0 + n / 100
        )
    assert selector.records["n1"].health.state(1.3).name == "HEALTHY"


def test_a_restored_backend_is_ejected_again_at_its_first_failure():
    selector = make_selector()
    for n in range(3):
        selector.finish_attempt(
            selector.start_attempt("n1", SHORT_CALL, 1.0 + n / 100), AttemptOutcome.FAILED, 1.0 + n / 100
        )
    probe = selector.start_attempt("n1", SHORT_CALL, 3.0)
    selector.record_first_event(probe, 3.05)
    selector.finish_attempt(probe, AttemptOutcome.COMPLETED, 3.1)
    selector.finish_attempt(selector.start_attempt("n1", SHORT_CALL, 3.2), AttemptOutcome.FAILED, 3.25)
    assert "n1" not in {selector.choose(SHORT_CALL, 3.3).id for _ in range(100)}


def test_long_and_short_prompts_use_different_backends():
    selector = make_selector()
    serve_request(selector, HOME_CALL, 0.5)
    long = {serve_request(selector, call_with_prefix(n), 1.0 + n / 100) for n in range(60)}
    short = Counter(serve_request(selector, HOME_CALL, 2.0 + n / 100) for n in range(400))
    assert len(long) == 2
    assert sum(short[backend_id] for backend_id in long) < 20


def test_long_prompts_use_all_backends_of_a_region_without_short_ones():
    selector = make_selector("south-1")
    serve_request(selector, HOME_CALL, 0.5)
    assert {serve_request(selector, call_with_prefix(n), 1.0 + n / 100) for n in range(60)} == {"s1", "s2"}


def test_the_loss_of_one_backend_moves_only_its_own_prefixes():
    before, after = make_selector(), make_selector()
    for selector in (before, after):
        serve_request(selector, HOME_CALL, 0.5)
    placed = {n: serve_request(before, call_with_prefix(n), 1.0) for n in range(60)}
    lost = placed[0]
    after.finish_attempt(after.start_attempt(lost, HOME_CALL, 0.6), AttemptOutcome.UNREACHABLE, 0.9)
    moved = {n: serve_request(after, call_with_prefix(n), 1.0) for n in range(60)}
    assert all(moved[n] == home for n, home in placed.items() if home != lost)


def home_call_with_prefix(shared: int, number: int = 1) -> CallDescription:
    parts = (PromptPart(f"doc{number}", shared), PromptPart("own", 700))
    return CallDescription(
        "digest", "model", frozenset({"north"}), prompt_parts=parts, prompt_tokens=shared + 700
    )


def start_waiting_attempt(selector: Selector, call: CallDescription, now: float) -> str:
    """Start an attempt that stays waiting; returns the id of its backend."""
    backend = selector.choose(call, now)
    selector.start_attempt(backend.id, call, now)
    return backend.id


def test_a_prefix_leaves_a_backend_with_a_much_longer_queue_than_another():
    """Comparing with the mean of two queues, one of them long, hid that the other backend was idle.

    Requests with long prefixes then piled up at one backend.
    """
    unloaded, selector = make_selector(), make_selector()
    for agent in (unloaded, selector):
        serve_request(agent, HOME_CALL, 0.5)
    homes = {
        number: serve_request(unloaded, home_call_with_prefix(9000, number), 1.0) for number in range(40)
    }
    crowded_backend = start_waiting_attempt(selector, home_call_with_prefix(39_000, 0), 1.0)
    other_number = next(number for number, home in homes.items() if home == crowded_backend and number)
    assert start_waiting_attempt(selector, home_call_with_prefix(9000, other_number), 1.0) != crowded_backend


def test_a_prefix_stays_where_waiting_is_cheaper_than_reading_it_again():
    selector = make_selector()
    serve_request(selector, HOME_CALL, 0.5)
    home = start_waiting_attempt(selector, call_with_prefix(1), 1.0)
    assert start_waiting_attempt(selector, call_with_prefix(1), 1.1) == home


@pytest.mark.parametrize(("tokens", "stays"), [(600, False), (2_900, False), (3_100, True), (13_000, True)])
def test_a_small_prefix_is_read_again_rather_than_opening_a_connection(tokens, stays):
    """An agent with few requests per backend used to open a connection for nearly every small prefix."""
    parts = (PromptPart("summary", tokens), PromptPart("own", 100))
    call = CallDescription("sum", "model", prompt_parts=parts, prompt_tokens=tokens + 100, output_tokens=20)
    selector = make_selector()
    home = serve_request(selector, call, 1.0)
    connected = next(backend.id for backend in BACKENDS[:4] if backend.id != home)
    selector.placement.has_idle_connection = lambda backend_id, now: backend_id == connected
    homes = Counter(serve_request(selector, call, 1.0 + step / 10) for step in range(1, 21))
    assert (homes[home] == 20) is stays
    assert stays or homes[connected] > 15


def test_a_small_prefix_stays_at_a_backend_with_an_idle_connection():
    parts = (PromptPart("summary", 600), PromptPart("own", 100))
    call = CallDescription("sum", "model", prompt_parts=parts, prompt_tokens=700, output_tokens=20)
    selector = make_selector()
    assert len({serve_request(selector, call, 1.0 + step / 10) for step in range(20)}) == 1


def test_long_prompts_overflow_to_the_backends_for_short_ones():
    selector = make_selector()
    serve_request(selector, HOME_CALL, 0.5)
    chosen = Counter(
        start_waiting_attempt(selector, home_call_with_prefix(20_000, number), 1.0) for number in range(12)
    )
    assert len([backend_id for backend_id in chosen if backend_id.startswith("n")]) == 4


@pytest.mark.parametrize(
    "count, expected_backends", [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (12, 8), (18, 12)]
)
def test_short_prompts_keep_two_backends_or_half_of_a_small_region(count, expected_backends):
    selector = make_selector(backends=[catalogue_entry(f"n{n}", "north-1") for n in range(count)])
    serve_request(selector, HOME_CALL, 0.5)
    assert (
        len({serve_request(selector, call_with_prefix(n), 1.0 + n / 100) for n in range(200)})
        == expected_backends
    )
