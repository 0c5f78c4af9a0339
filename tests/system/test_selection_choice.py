"""The choice of a backend: home first, homes, prefixes, distrust, refusals."""

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


def listed(name: str, zone: str, state: str = "ready") -> BackendEntry:
    return BackendEntry(name, zone, capacity=8, state=state)


BACKENDS = [
    listed("n1", "north-1"),
    listed("n2", "north-1"),
    listed("n3", "north-2"),
    listed("n4", "north-2"),
    listed("s1", "south-1"),
    listed("s2", "south-1"),
]
SHORT = CallDescription("ask", "model", prompt_tokens=300, output_tokens=40)
BOUND = CallDescription("ask", "model", frozenset({"north"}), prompt_tokens=300, output_tokens=40)


def prefixed(number: int) -> CallDescription:
    parts = (PromptPart(f"doc{number}", 13_000), PromptPart("own", 700))
    return CallDescription("digest", "model", prompt_parts=parts, prompt_tokens=13_700, output_tokens=100)


def selector(zone: str = "north-1", seed: int = 1, backends=BACKENDS) -> Selector:
    made = Selector(Tuning(), zone, ZONES[zone], ZONES, Random(seed))
    made.update_services([ServiceProfile("model", 100, 3.0, 20.0, 8, 300_000)], 0.0)
    made.update_backends(backends, 0.0)
    made.set_agents([f"agent-{n}" for n in range(8)], "agent-0", 0.0)
    return made


def served(chooser: Selector, call: CallDescription, now: float, took_s: float = 0.05) -> str:
    backend = chooser.choose(call, now)
    assert not isinstance(backend, Refusal)
    attempt = chooser.start_attempt(backend.id, call, now)
    chooser.record_first_event(attempt, now + took_s)
    chooser.finish_attempt(attempt, AttemptOutcome.COMPLETED, now + took_s)
    return backend.id


def test_ordinary_work_stays_in_the_home_region():
    chooser = selector()
    chosen = Counter(served(chooser, SHORT, 0.1 * n) for n in range(200))
    assert set(chosen) == {"n1", "n2", "n3", "n4"}


def test_overflow_goes_to_shorter_queues_of_other_regions():
    chooser = selector()
    places = Counter()
    for _ in range(60):
        backend = chooser.choose(SHORT, 1.0)
        chooser.start_attempt(backend.id, SHORT, 1.0)
        places[backend.zone] += 1
    assert places["south-1"] > 5


@pytest.mark.parametrize("zone", list(ZONES))
def test_a_route_with_homes_never_leaves_them(zone):
    chooser = selector(zone)
    for _ in range(200):
        backend = chooser.choose(BOUND, 1.0)
        chooser.start_attempt(backend.id, BOUND, 1.0)
        assert ZONES[backend.zone] == "north"
    for backend_id in ("n1", "n2", "n3", "n4"):
        for _ in range(5):
            chooser.finish_attempt(
                chooser.start_attempt(backend_id, BOUND, 2.0), AttemptOutcome.UNREACHABLE, 2.0
            )
    chosen = chooser.choose(BOUND, 2.0)
    assert isinstance(chosen, Refusal) or ZONES[chosen.zone] == "north"


def test_equal_prefixes_meet_the_same_backend_from_every_agent():
    agents = [selector(zone, seed) for seed, zone in enumerate(["north-1", "north-2", "north-1"])]
    for number in range(30):
        assert len({served(agent, prefixed(number), number) for agent in agents}) == 1


def test_a_hot_prefix_does_not_pile_up():
    chooser = selector()
    chosen = Counter()
    for _ in range(40):
        backend = chooser.choose(prefixed(1), 1.0)
        chooser.start_attempt(backend.id, prefixed(1), 1.0)
        chosen[backend.id] += 1
    assert max(chosen.values()) <= 20


def test_an_evacuated_zone_gets_nothing_even_if_nothing_else_is_left():
    chooser = selector(backends=BACKENDS[:2])
    chooser.set_evacuated({"north-1"}, 1.0)
    assert isinstance(chooser.choose(SHORT, 1.0), Refusal)
    chooser.set_evacuated(set(), 10.0)
    chooser.set_agents([f"agent-{n}" for n in range(8)], "agent-0", 10.0)
    allowed = 0
    while not isinstance(backend := chooser.choose(SHORT, 10.0), Refusal):
        chooser.start_attempt(backend.id, SHORT, 10.0)
        allowed += 1
    assert 0 < allowed <= 2 * 4


def test_draining_and_excluded_backends_get_nothing():
    backends = [listed("n1", "north-1", state="draining"), listed("n2", "north-1")]
    chooser = selector(backends=backends)
    assert chooser.choose(SHORT, 1.0).id == "n2"
    assert isinstance(chooser.choose(SHORT, 1.0, {"n2"}), Refusal)


def test_a_failing_backend_is_shunned_and_probed_back():
    chooser = selector()
    for n in range(3):
        chooser.finish_attempt(
            chooser.start_attempt("n1", SHORT, 1.0 + n / 100), AttemptOutcome.FAILED, 1.0 + n / 100
        )
    assert "n1" not in {chooser.choose(SHORT, 1.1).id for _ in range(100)}
    probes = [chooser.choose(SHORT, 3.0).id for _ in range(100)]
    assert "n1" in probes
    probe = chooser.start_attempt("n1", SHORT, 3.0)
    assert "n1" not in {chooser.choose(SHORT, 3.0).id for _ in range(100)}
    chooser.record_first_event(probe, 3.05)
    assert "n1" in {chooser.choose(SHORT, 3.1).id for _ in range(100)}


def test_a_grey_backend_is_shunned():
    chooser = selector()
    random = Random(5)
    for n in range(40):
        attempt = chooser.start_attempt("n1", SHORT, n / 20)
        failed = random.random() < 0.5
        chooser.finish_attempt(
            attempt, AttemptOutcome.FAILED if failed else AttemptOutcome.COMPLETED, n / 20 + 0.01
        )
    assert chooser.records["n1"].health.ejection_count > 0


def test_not_all_backends_are_shunned_at_once():
    chooser = selector()
    for backend in BACKENDS:
        for n in range(5):
            chooser.finish_attempt(
                chooser.start_attempt(backend.id, SHORT, 1.0 + n / 100), AttemptOutcome.FAILED, 1.05
            )
    assert not isinstance(chooser.choose(SHORT, 1.1), Refusal)


def test_a_silent_backend_gets_nothing_more():
    chooser = selector()
    chooser.start_attempt("n1", SHORT, 1.0)
    assert "n1" not in {chooser.choose(SHORT, 3.0).id for _ in range(100)}


def test_a_backend_that_declined_counts_as_busy_until_it_is_heard():
    chooser = selector()
    chooser.finish_attempt(chooser.start_attempt("n1", SHORT, 1.0), AttemptOutcome.REFUSED, 1.0)
    assert Counter(chooser.choose(SHORT, 5.0).id for _ in range(300))["n1"] < 40


def test_an_unreachable_backend_gets_nothing_until_a_connection_comes_up():
    chooser = selector()
    chooser.finish_attempt(chooser.start_attempt("n1", SHORT, 1.0), AttemptOutcome.UNREACHABLE, 1.4)
    assert chooser.unreachable_backends(1.5) == ["n1"]
    for now in (2.0, 20.0, 200.0):
        assert "n1" not in {chooser.choose(SHORT, now).id for _ in range(100)}
    chooser.record_reachable("n1", 201.0)
    assert chooser.unreachable_backends(201.0) == []
    assert "n1" in {chooser.choose(SHORT, 201.0).id for _ in range(100)}


def test_a_request_that_was_never_answered_makes_its_backend_unreachable():
    chooser = selector()
    attempt = chooser.start_attempt("n1", SHORT, 1.0)
    chooser.finish_attempt(attempt, AttemptOutcome.FAILED, 4.0)
    assert chooser.unreachable_backends(4.0) == ["n1"]


def test_where_nothing_can_be_reached_the_request_is_refused_at_once():
    chooser = selector()
    for backend in BACKENDS:
        chooser.finish_attempt(chooser.start_attempt(backend.id, SHORT, 1.0), AttemptOutcome.UNREACHABLE, 1.4)
    assert isinstance(chooser.choose(SHORT, 1.5), Refusal)


def test_a_stale_connection_says_nothing_of_its_backend():
    chooser = selector()
    for n in range(20):
        chooser.finish_attempt(
            chooser.start_attempt("n1", SHORT, 1.0 + n / 100), AttemptOutcome.NOT_SENT, 1.0 + n / 100
        )
    assert chooser.records["n1"].health.state(1.3).name == "HEALTHY"


def test_a_backend_that_fails_again_soon_after_its_return_is_shunned_at_once():
    chooser = selector()
    for n in range(3):
        chooser.finish_attempt(
            chooser.start_attempt("n1", SHORT, 1.0 + n / 100), AttemptOutcome.FAILED, 1.0 + n / 100
        )
    probe = chooser.start_attempt("n1", SHORT, 3.0)
    chooser.record_first_event(probe, 3.05)
    chooser.finish_attempt(probe, AttemptOutcome.COMPLETED, 3.1)
    chooser.finish_attempt(chooser.start_attempt("n1", SHORT, 3.2), AttemptOutcome.FAILED, 3.25)
    assert "n1" not in {chooser.choose(SHORT, 3.3).id for _ in range(100)}


def test_long_prompts_and_short_ones_meet_different_backends():
    chooser = selector()
    served(chooser, BOUND, 0.5)
    long = {served(chooser, prefixed(n), 1.0 + n / 100) for n in range(60)}
    short = Counter(served(chooser, BOUND, 2.0 + n / 100) for n in range(400))
    assert len(long) == 2
    assert sum(short[backend_id] for backend_id in long) < 20


def test_long_prompts_have_all_backends_where_no_short_ones_go():
    chooser = selector("south-1")
    served(chooser, BOUND, 0.5)
    assert {served(chooser, prefixed(n), 1.0 + n / 100) for n in range(60)} == {"s1", "s2"}


def test_the_loss_of_one_backend_moves_only_its_own_prefixes():
    before, after = selector(), selector()
    for chooser in (before, after):
        served(chooser, BOUND, 0.5)
    placed = {n: served(before, prefixed(n), 1.0) for n in range(60)}
    lost = placed[0]
    after.finish_attempt(after.start_attempt(lost, BOUND, 0.6), AttemptOutcome.UNREACHABLE, 0.9)
    moved = {n: served(after, prefixed(n), 1.0) for n in range(60)}
    assert all(moved[n] == home for n, home in placed.items() if home != lost)


def prompt(shared: int, number: int = 1) -> CallDescription:
    parts = (PromptPart(f"doc{number}", shared), PromptPart("own", 700))
    return CallDescription(
        "digest", "model", frozenset({"north"}), prompt_parts=parts, prompt_tokens=shared + 700
    )


def waiting_first(chooser: Selector, call: CallDescription, now: float) -> str:
    """The backend that the call goes to; the attempt waits there."""
    backend = chooser.choose(call, now)
    chooser.start_attempt(backend.id, call, now)
    return backend.id


def test_a_prefix_leaves_a_backend_that_has_a_much_longer_queue_than_another():
    """The mean of two queues, one of them long, hid that the other was idle: digests met at one backend."""
    usual, chooser = selector(), selector()
    for agent in (usual, chooser):
        served(agent, BOUND, 0.5)
    homes = {number: served(usual, prompt(9000, number), 1.0) for number in range(40)}
    crowded = waiting_first(chooser, prompt(39_000, 0), 1.0)
    beside = next(number for number, home in homes.items() if home == crowded and number)
    assert waiting_first(chooser, prompt(9000, beside), 1.0) != crowded


def test_a_prefix_stays_where_waiting_is_cheaper_than_reading_anew():
    chooser = selector()
    served(chooser, BOUND, 0.5)
    home = waiting_first(chooser, prefixed(1), 1.0)
    assert waiting_first(chooser, prefixed(1), 1.1) == home


@pytest.mark.parametrize(("tokens", "steered"), [(600, False), (2_900, False), (3_100, True), (13_000, True)])
def test_a_prefix_that_costs_less_than_a_connection_is_read_anew_where_one_rests(tokens, steered):
    """An agent that meets a backend seldom opened a connection for nearly every prefix, however small."""
    parts = (PromptPart("summary", tokens), PromptPart("own", 100))
    call = CallDescription("sum", "model", prompt_parts=parts, prompt_tokens=tokens + 100, output_tokens=20)
    chooser = selector()
    home = served(chooser, call, 1.0)
    connected = next(backend.id for backend in BACKENDS[:4] if backend.id != home)
    chooser.placement.has_idle_connection = lambda backend_id, now: backend_id == connected
    homes = Counter(served(chooser, call, 1.0 + step / 10) for step in range(1, 21))
    assert (homes[home] == 20) is steered
    assert steered or homes[connected] > 15


def test_a_small_prefix_meets_the_same_backend_where_a_connection_to_it_rests():
    parts = (PromptPart("summary", 600), PromptPart("own", 100))
    call = CallDescription("sum", "model", prompt_parts=parts, prompt_tokens=700, output_tokens=20)
    chooser = selector()
    assert len({served(chooser, call, 1.0 + step / 10) for step in range(20)}) == 1


def test_long_prompts_use_the_other_backends_where_all_that_read_them_are_crowded():
    chooser = selector()
    served(chooser, BOUND, 0.5)
    chosen = Counter(waiting_first(chooser, prompt(20_000, number), 1.0) for number in range(12))
    assert len([backend_id for backend_id in chosen if backend_id.startswith("n")]) == 4


@pytest.mark.parametrize("count, readers", [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (12, 8), (18, 12)])
def test_short_prompts_keep_two_backends_or_half_of_a_small_region(count, readers):
    chooser = selector(backends=[listed(f"n{n}", "north-1") for n in range(count)])
    served(chooser, BOUND, 0.5)
    assert len({served(chooser, prefixed(n), 1.0 + n / 100) for n in range(200)}) == readers
