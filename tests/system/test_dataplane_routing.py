"""Routing table: longest prefix match, traffic splits, and incremental updates."""

import json
from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from nettledeal.dataplane.routing_table import RoutingTable, route_target, updated_table
from nettledeal.operator_api.configuration import Route, WeightedService
from system.dataplane_rig import HOST, LIMITS, SERVICE, entries, route

SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab", "..", ""]), max_size=3)
PREFIXES = SEGMENTS.map(lambda parts: "/" + "".join(f"{part}/" for part in parts))


def state(prefixes: set[str], service: str = "web") -> dict[str, bytes]:
    routes = {prefix: route(prefix, path_prefix=prefix, service=service) for prefix in prefixes}
    made = {f"route/{HOST} {prefix}": json.dumps(item).encode() for prefix, item in routes.items()}
    return made | {"limits": json.dumps(LIMITS).encode(), "service/web": json.dumps(SERVICE).encode()}


@given(st.sets(PREFIXES, max_size=6), SEGMENTS, st.sampled_from(["", "?q=/a/b/", "x"]))
def test_the_longest_matching_prefix_wins(prefixes, parts, end):
    path = "/" + "/".join(parts) + end
    table = updated_table(RoutingTable(), state(prefixes))
    bare = path.partition("?")[0]
    expected = max((prefix for prefix in prefixes if bare.startswith(prefix)), key=len, default=None)
    found = table.find(HOST.encode(), path.encode())
    assert (found and found.route.path_prefix) == expected


@given(st.lists(st.tuples(st.sets(PREFIXES, max_size=4), st.sampled_from(["web", "other"])), max_size=5))
def test_an_updated_table_equals_a_new_one(states):
    table = RoutingTable()
    for prefixes, service in states:
        before = table
        held = {host: dict(routes) for host, routes in before.hosts.items()}
        wanted = state(prefixes, service)
        table = updated_table(before, wanted)
        fresh = updated_table(RoutingTable(), wanted)
        assert dict(table.hosts.get(HOST, {})) == dict(fresh.hosts.get(HOST, {}))
        assert dict(table.services) == dict(fresh.services)
        assert {host: dict(routes) for host, routes in before.hosts.items()} == held


def test_host_matching_ignores_case_and_port():
    table = updated_table(RoutingTable(), entries())
    assert table.find(b"Shop.Example:8080", b"/web/x") is not None
    assert table.find(b"shop.example.", b"/web/x") is None
    assert table.find(b"other.example", b"/web/x") is None
    assert table.find(HOST.encode(), b"/web") is None


def test_services_are_chosen_by_their_weights():
    split = [WeightedService("a", 90), WeightedService("b", 10), WeightedService("c", 0)]
    target = route_target(Route(HOST, "/web/", 1000.0, traffic_split=split))
    drawn = Counter(target.pick_service(Random(seed)) for seed in range(1000))
    assert set(drawn) == {"a", "b"}
    assert 850 < drawn["a"] < 950


def test_evacuated_zones_are_part_of_the_state():
    assert updated_table(RoutingTable(), entries(evacuated=("north-1",))).evacuated == {"north-1"}


@given(
    st.lists(st.integers(1, 99), min_size=2, max_size=4),
    st.integers(1, 8),
    st.integers(0, 2**32),
)
def test_a_traffic_split_is_even_over_a_few_hundred_requests(weights, agents, seed):
    split = [WeightedService(f"s{number}", weight) for number, weight in enumerate(weights)]
    random = Random(seed)
    targets = [route_target(Route(HOST, "/web/", 1000.0, traffic_split=split)) for _ in range(agents)]
    drawn = Counter(targets[number % agents].pick_service(random) for number in range(320))
    for part in split:
        # Each agent's own choices are off by at most three.
        assert abs(drawn[part.service] - 320 * part.weight / sum(weights)) <= 3 * agents
