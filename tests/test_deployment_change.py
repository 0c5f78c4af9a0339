"""An agent whose deployment changes: what it keeps, and its first seconds after the change."""

import json
from collections import Counter

import pytest
from helpers import SECOND, BalancerDriver, answers, attempts, balancer_settings
from test_program import CONFIG, config_with
from test_router import RouterRig

from nettledeal.configuration import parse_configuration
from nettledeal.configuration_change import check_replacement
from nettledeal.configuration_files import ConfigError
from nettledeal.learned_state import dependencies, export_learned, import_learned, reset_changed
from nettledeal.model import Listing, Outcome, Probe
from nettledeal.net.protocol.backend import Reply
from nettledeal.policy.admission import OVERLOAD
from nettledeal.policy.locality import FIRST_THRESHOLD
from nettledeal.policy.shared_state import SUBSET

MOVED = balancer_settings(
    balancers=300,
    me=4,
    tariffs__connection=0.03,
    tariffs__cross_zone=0.06,
    feedback__fields="backlog",
    weights="live",
    kinds="p,q",
    allowed__may_duplicate=True,
)


def learned(seed=1):
    """An agent that has served the old deployment for a while, and found it slow."""
    driver = BalancerDriver(
        [Listing(f"b{n}", zone=n % 2) for n in range(12)], seed=seed, balancers=4, kinds="p"
    )
    for n in range(120):
        for attempt in attempts(driver.submit(n % 2)):
            driver.finish_attempt(attempt, after=600 if n % 3 else 3000, report={"outstanding": 4.0})
    return driver


def move(driver, listings=None, me=4):
    before = dependencies(driver.balancer.state.settings)
    driver.balancer.apply_settings(driver.now, MOVED | {"me": me})
    changed = reset_changed(driver.balancer, before, driver.now)
    if listings:
        driver.balancer.update_backends(driver.now, listings, whole=True, cached=False)
    return changed


def test_learned_state_is_reset_only_where_its_meaning_changed():
    driver = learned()
    balancer = driver.balancer
    balancer.health.record_result(balancer.state.backends["b1"], True, driver.now)
    base, distrust = balancer.state.categories[0].base_time, balancer.state.backends["b1"].distrust
    balancer.locality.threshold, balancer.admission.was_cut = 0.5, True
    assert sorted(move(driver)) == ["belief", "limit", "paces", "threshold"]
    assert balancer.state.categories[0].base_time == base
    assert balancer.state.backends["b1"].distrust == distrust > 0
    assert (balancer.admission.limit, balancer.admission.was_cut) == (OVERLOAD / 300, False)
    assert balancer.locality.threshold == FIRST_THRESHOLD
    assert balancer.loads.trust == pytest.approx(0.5)
    assert not balancer.loads.type_slowness


def test_unchanged_settings_change_nothing():
    driver = learned()
    before = export_learned(driver.balancer, driver.now)
    driver.balancer.apply_settings(driver.now, dict(driver.balancer.state.settings))
    assert reset_changed(driver.balancer, dependencies(driver.balancer.state.settings), driver.now) == []
    assert export_learned(driver.balancer, driver.now) == before


@pytest.mark.parametrize("settings_are", ["same", "other", "none"])
def test_a_record_is_imported_as_far_as_its_settings_match(settings_are):
    old = learned()
    left = export_learned(old.balancer, old.now)
    if settings_are == "none":  # written by an older version, which also stored a mean hint
        del left["shape"]
        left["categories"] = {name: (*figures, 0.0) for name, figures in left["categories"].items()}
    new = BalancerDriver([Listing(f"b{n}", zone=n % 2) for n in range(12)], now=old.now)
    new.balancer.apply_settings(new.now, MOVED if settings_are == "other" else old.balancer.state.settings)
    fresh = new.balancer.admission.limit
    assert import_learned(new.balancer, new.now, left)
    assert new.balancer.state.categories[0].base_time == old.balancer.state.categories[0].base_time
    assert (new.balancer.admission.limit == old.balancer.admission.limit) == (settings_are == "same")
    assert (new.balancer.admission.limit == fresh) == (settings_are != "same")
    assert bool(new.balancer.loads.type_slowness) == (settings_are == "same")


@pytest.mark.parametrize("start", ["moved", "from nothing"])
def test_first_seconds_with_a_cold_fleet(start):
    """Over many agents: no cold backend gets more than it bears, no work item that must run at most once runs
    twice, and an agent that was moved defers no more than one that starts with nothing learned."""
    work, deferred, taken = Counter(), 0, 0
    for me in range(60):
        driver = learned(me) if start == "moved" else BalancerDriver([], seed=me, balancers=300)
        listings = [Listing(f"n{n}", zone=n % 2, started_at=driver.now if n < 8 else 0) for n in range(40)]
        changed = move(driver, listings, me)
        assert "limit" in changed or start != "moved"
        until = driver.now + 2 * SECOND
        while driver.now < until:
            actions = driver.submit(1)  # at most once
            taken += 1
            deferred += len(answers(actions))
            for attempt in attempts(actions):
                work[attempt.backend] += 1
                # The connection was lost: it may have run, and must be neither sent again nor deferred.
                again = driver.finish_attempt(
                    attempt, Outcome.RESET if me % 10 == 0 else Outcome.FINISHED, after=400
                )
                assert not attempts(again)
                driver.now += SECOND // 3
            driver.now += SECOND // 20
    assert deferred < 0.1 * taken
    cold = [work[f"n{n}"] for n in range(8)]
    usual = sum(work[f"n{n}"] for n in range(8, 40)) / 32
    # A cold backend has 0.3 of the capacity of a warm one, and fails at 3 times its capacity.
    assert max(cold) < 3.0 * 0.3 * usual * 1.5
    assert sum(cold) > 0


def test_an_agent_counts_what_it_reset_and_serves_on():
    rig = RouterRig()
    pending, _ = rig.submit()
    rig.router.update_settings(
        MOVED | {"categories.0.name": "read", "categories.1.name": "write"}, {}, {}, 100
    )
    rig.nth_exchange().on_reply(Reply(Outcome.FINISHED, report={}))
    assert rig.status_of(pending).value == 200
    assert rig.counters["begun afresh: limit"] == 1
    assert len(rig.router.balancer.state.subsets[0]) <= SUBSET


FAULTY = [
    ("tariffs.connection", "dear"),
    ("tariffs.connection", -1),
    ("tariffs.connection", True),
    ("tariffs.cross_zone", -0.5),
    ("me", -1),
    ("me", "three"),
    ("me", 1.5),
    ("weights", "heavy"),
    ("payoff_by", "weight"),
    ("discovery", "shouted"),
    ("surplus_payoff", "none"),
    ("categories.0.payoff", "much"),
    ("categories.0.overdue_payoff", -1),
]


@pytest.mark.parametrize(("path", "value"), FAULTY)
def test_settings_of_the_decision_module_are_validated(path, value):
    key = "settings." + path
    with pytest.raises(ConfigError, match=key):
        parse_configuration(config_with(key, value), {})


def test_infinite_numbers_are_rejected():
    with pytest.raises(ConfigError):
        parse_configuration(config_with("settings.tariffs.connection", 0.5).replace(b"0.5", b"1e999"), {})


def test_omitted_settings_change_nothing():
    plain = parse_configuration(json.dumps(CONFIG).encode(), {})
    more = config_with("settings.me", 3, ("settings.weights", "live"), ("settings.tariffs.connection", 0.03))
    assert check_replacement(plain, parse_configuration(more, {})) is None
    driver = BalancerDriver([Listing(f"b{n}") for n in range(30)])
    assert driver.balancer.state.subsets[0] == driver.balancer.state.near


@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf"), float("nan"), 1e-300, 2.0])
def test_changing_or_invalid_weights_change_nothing(weight):
    """Work goes to the same backends whether listed weights follow the load, are frozen or invalid."""
    seen = []
    for size in (1.0, weight):
        driver = BalancerDriver([Listing(f"b{n}", weight=size) for n in range(8)], weights="live")
        picks = []
        for _ in range(30):
            driver.balancer.update_backends(
                driver.now, [Listing("b0", weight=size)], whole=False, cached=False
            )
            for attempt in attempts(driver.submit()):
                picks.append(attempt.backend)
                driver.finish_attempt(attempt)
        seen.append(picks)
    assert seen[0] == seen[1]
    assert len(seen[0]) == 30


@pytest.mark.parametrize(
    ("cold_home", "cold_away"), [(1.0, 0.0), (0.96, 0.96), (0.63, 0.63)], ids=["zone", "replaced", "grown"]
)
def test_most_of_a_fleet_cold(cold_home, cold_away):
    """A zone with only cold backends, 96% of the fleet replaced, or a fleet grown 2.7 times: all agents
    together stay below the overload of the cold backends, and the warm ones bear the rest."""
    work, now = Counter(), 100_000
    colds = {f"b{n}" for n in range(48) if n % 24 < 24 * (cold_home if n < 24 else cold_away)}
    for me in range(200):
        driver = BalancerDriver(
            [], balancers=200, me=me, zone=me % 2, tariffs__connection=0.03, seed=me, now=now
        )
        listings = [
            Listing(f"b{n}", zone=n // 24, started_at=now if f"b{n}" in colds else 0) for n in range(48)
        ]
        driver.balancer.update_backends(now, listings, whole=True, cached=False)
        for _ in range(6):
            for attempt in attempts(driver.submit()):
                work[attempt.backend] += 1
                driver.finish_attempt(attempt, after=500)
            driver.now += SECOND // 6
    equal = 200 * 6 / 48
    # 0.7 of the overload: 3 times the capacity, which is 0.3 of an equal share and 0.4 after a second.
    assert 0 < sum(work[b] for b in colds) / len(colds) < 0.7 * 3.0 * 0.4 * equal
    assert sum(work.values()) > 0.25 * 200 * 6


def test_agent_with_a_cached_list_limits_attempts_until_it_is_confirmed():
    driver = BalancerDriver([], balancers=2, me=2, tariffs__connection=0.03)
    listings = [Listing(f"b{n}") for n in range(30)]
    driver.balancer.update_backends(driver.now, listings, whole=True, cached=True)
    first = [attempt.backend for _ in range(20) for attempt in attempts(driver.submit())]
    assert first and max(Counter(first).values()) <= 2
    gone, *left = [b.id for b in driver.balancer.state.subsets[0]]
    others = [id for id in map("b{}".format, range(30)) if id != gone]
    news = [Listing(id, started_at=driver.now if id in left else 0) for id in others]
    driver.balancer.update_backends(driver.now, news, whole=True, cached=False)
    driver.now += 5 * SECOND
    assert gone not in [attempt.backend for _ in range(20) for attempt in attempts(driver.submit())]


def test_common_slowness_excludes_no_backend_and_passes():
    driver = BalancerDriver([Listing(f"b{n}") for n in range(10)], balancers=20)
    for after, turns in ((500, 60), (1400, 100), (500, 100)):
        picks, deferred = Counter(), 0
        for _ in range(turns):
            actions = driver.submit()
            deferred += len(answers(actions))
            for attempt in attempts(actions):
                picks[attempt.backend] += 1
                driver.finish_attempt(attempt, after=after)
        assert len(picks) == 10
    assert not deferred
    assert not any(b.distrust for b in driver.balancer.state.backends.values())


@pytest.mark.parametrize(("surplus", "spared"), [(0.2, True), (1.0, False)])
def test_customer_far_over_its_share_is_deferred_first(surplus, spared):
    shares = {"projects.0.share": 0.5, "projects.1.share": 0.5, "surplus_payoff": surplus}
    driver = BalancerDriver(balancers=3, projects__count=2, **shares)
    for n in range(40):
        customer = int(n % 10 == 0)
        for attempt in attempts(driver.submit(0, customer=customer)):
            driver.finish_attempt(attempt, after=1)
    kept = [0, 0]
    for _ in range(30):
        for customer in (0, 1):
            kept[customer] += len(attempts(driver.submit(0, customer=customer)))
    assert (kept[1] > kept[0] + 1) == spared


@pytest.mark.parametrize(("dearer", "rises"), [(0.0, 1), (0.06, 2), (0.3, 9)])
def test_new_price_of_crossing_zones_counts_from_the_next_answer(dearer, rises):
    """If read only at the start, the old price would set the threshold until a restart."""
    risen = {}
    for price in (0.0, dearer):
        driver = BalancerDriver([Listing(f"b{n}") for n in range(3)], tariffs__cross_zone=0.0)
        driver.balancer.apply_settings(
            driver.now, dict(driver.balancer.state.settings) | {"tariffs.cross_zone": price}
        )
        driver.balancer.locality.threshold = 0.3
        for attempt in attempts(driver.submit()):
            driver.finish_attempt(attempt, after=50)
        risen[price] = driver.balancer.locality.threshold / 0.3 - 1.0
    assert rises - 1 < risen[dearer] / risen[0.0] <= 1.2 * rises


@pytest.mark.parametrize(
    ("fields", "price", "asks"),
    [("outstanding", 0.001, True), ("backlog", 0.001, False), ("outstanding", 1e9, False), ("", 0.1, False)],
)
def test_probes_follow_the_report_fields_and_price_in_force(fields, price, asks):
    driver = learned()
    assert not driver.balancer.state.probes_first
    changes = {"allowed.probes": True, "feedback.fields": fields, "tariffs.probe": price}
    driver.balancer.apply_settings(driver.now, dict(driver.balancer.state.settings) | changes)
    driver.now += 20 * SECOND
    driver.balancer.loads.probe_credit = 0.0
    probes = [action for _ in range(6) for action in driver.submit() if isinstance(action, Probe)]
    assert bool(probes) == asks
