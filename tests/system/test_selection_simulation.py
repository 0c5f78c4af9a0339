"""Backend selection with simulated agents and model engines, with and without faults."""

from statistics import mean

import pytest

from .engine_fleet import BackendEntry, Demand, Fleet

ZONES = {"east-1": "east", "east-2": "east", "west-1": "west"}
AGENTS = {f"agent-{n}": zone for n, zone in enumerate(["east-1"] * 3 + ["east-2"] * 2 + ["west-1"] * 3)}
BACKEND_ZONES = ["east-1", "east-1", "east-2", "east-2", "west-1", "west-1"]
SHARES = {"east-1": 0.25, "east-2": 0.25, "west-1": 0.5}
EAST = frozenset({"east"})
TRAFFIC_S = 24.0
END_S = 30.0


def make_fleet(seed: int, load: float = 1.0, hot_share: float = 0.0) -> Fleet:
    entries = [BackendEntry(f"backend-{n}-{seed}", zone) for n, zone in enumerate(BACKEND_ZONES)]
    fleet = Fleet(ZONES, AGENTS, entries, seed)
    for zone, share in SHARES.items():
        digest = Demand(zone, 5.2 * share * load, "digest", 39, 13300, 3720, 120, 1.0, 1, hot_share=hot_share)
        fleet.add_demand(digest, TRAFFIC_S)
        fleet.add_demand(Demand(zone, 61.5 * share * load, "ask", 1045, 92, 291, 45, 0.5, 0, EAST), TRAFFIC_S)
    return fleet


def timely_share(fleet: Fleet, route: str) -> float:
    return fleet.results[route].timely / fleet.results[route].sent


def test_without_faults_requests_are_in_time_and_stay_in_the_region():
    """Over several seeds: the backend of a prefix is random, and a few backends get uneven shares."""
    ask_shares, digest_shares = [], []
    for seed in (1, 2, 3, 4):
        fleet = make_fleet(seed)
        fleet.clock.run(END_S)
        ask_shares.append(timely_share(fleet, "ask"))
        digest_shares.append(timely_share(fleet, "digest"))
        assert fleet.results["digest"].region_crossings < 0.05 * fleet.results["digest"].sent
        assert fleet.reads.tokens_reread < 0.35 * 13300 * fleet.results["digest"].sent
        assert not any(result.failed or result.refused for result in fleet.results.values())
    assert min(ask_shares) > 0.99
    assert mean(digest_shares) > 0.92


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_leaves_its_home_regions(seed):
    fleet = make_fleet(seed)
    fleet.clock.run(END_S)
    west = [engine for engine in fleet.engines.values() if engine.entry.zone == "west-1"]
    digest_shares = fleet.results["digest"].sent
    assert sum(len(engine.arrived_at) for engine in west) <= digest_shares


@pytest.mark.parametrize("seed", [1, 2])
def test_a_hot_prefix_is_spread(seed):
    fleet = make_fleet(seed, hot_share=0.6)
    fleet.clock.run(END_S)
    assert timely_share(fleet, "ask") > 0.95
    assert timely_share(fleet, "digest") > 0.95


@pytest.mark.parametrize("seed", [1, 2])
def test_twice_the_load_is_served(seed):
    fleet = make_fleet(seed, load=2.0)
    fleet.clock.run(END_S)
    assert timely_share(fleet, "ask") > 0.75


@pytest.mark.parametrize("fault", ["silent", "crashed", "slow", "grey"])
@pytest.mark.parametrize("seed", [1, 2])
def test_one_bad_backend_costs_little(seed, fault):
    fleet = make_fleet(seed)
    fleet.clock.run(8.0)
    engine = next(iter(fleet.engines.values()))
    if fault == "silent":
        engine.silent = True
    elif fault == "crashed":
        engine.crash()
    elif fault == "slow":
        engine.slowdown = 8.0
    else:
        engine.failing_share = 0.4
    fleet.clock.run(14.0)
    engine.silent, engine.up, engine.slowdown, engine.failing_share = False, True, 1.0, 0.0
    fleet.clock.run(END_S)
    failed = sum(result.failed for result in fleet.results.values())
    assert failed < 60
    assert timely_share(fleet, "ask") > 0.92
    assert any(arrived > 16.0 for arrived in engine.arrived_at), (
        "requests go to the backend again after the fault"
    )
