"""The registry's responses to `/resolve`."""

import json
from collections import Counter
from types import SimpleNamespace

import pytest

from nettledeal.common.compression import pack_json
from nettledeal.common.settings import Listen, Settings
from nettledeal.control.state import CONFIGURATION_KEY
from nettledeal.distribution.control_source import control_entries
from nettledeal.membership.member_info import MemberInfo
from nettledeal.membership.zone_suspicion import suspect_zones
from nettledeal.registry.leaving_members import LeavingMembers
from nettledeal.registry.resolve_responses import (
    DIRECTORY_LOST_TTL_S,
    MAX_ADDRESSES,
    SHORT_TTL_S,
    ClientLocation,
    ResolveResponses,
    nearest_members,
    select_members,
)
from nettledeal.registry.server import RegistryServer

REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}


def make_member(number, zone="z1", **fields):
    fields = {"ready": True, "leaving": False, "suspected": False, "role": "edge"} | fields
    return MemberInfo(
        name=f"e{number}",
        zone=zone,
        region=REGIONS[zone],
        host="h",
        frontend=f"h:{number}",
        incarnation=1,
        **fields,
    )


def suspected_zones(members):
    unsuspected = [member.zone for member in members if not member.suspected]
    return suspect_zones(unsuspected, [member.zone for member in members if member.suspected])


def resolved_numbers(members, region="r1", zone="z1"):
    return [
        int(member.name[1:])
        for member in nearest_members(members, ClientLocation(region, zone), suspected_zones(members))
    ]


def test_a_zone_with_enough_members_serves_its_clients():
    members = [
        make_member(1),
        make_member(2),
        make_member(3, "z2"),
        make_member(4, "z2"),
        make_member(5, "z3"),
    ]
    assert resolved_numbers(members) == [1, 2]


def test_a_zone_with_few_members_gets_those_of_the_region():
    members = [make_member(5, "z3"), make_member(3, "z2"), make_member(4, "z2"), make_member(1)]
    assert resolved_numbers(members) == [3, 4, 1]


def test_a_zone_that_lost_most_members_gets_those_of_the_region():
    members = [make_member(1), make_member(2), *(make_member(n, "z2") for n in range(10, 20))]
    assert len(resolved_numbers(members)) == 12


def test_a_region_without_members_gets_all():
    assert resolved_numbers([make_member(5, "z3"), make_member(6, "z3")]) == [5, 6]


@pytest.mark.parametrize(
    "unfit",
    [
        {"ready": False},
        {"leaving": True},
        {"suspected": True},
        {"role": "core"},
    ],
)
def test_members_that_do_not_accept_clients_are_not_returned(unfit):
    assert resolved_numbers([make_member(1, **unfit), make_member(2), make_member(3)]) == [2, 3]


def test_suspected_members_are_returned_if_there_are_no_others():
    assert resolved_numbers([make_member(1, suspected=True), make_member(2, suspected=True)]) == [1, 2]


def test_a_zone_of_which_half_are_suspected_gets_those_of_the_region():
    members = [make_member(n, suspected=n < 5) for n in range(10)] + [
        make_member(n, "z2") for n in range(10, 15)
    ]
    assert resolved_numbers(members) == [10, 11, 12, 13, 14]


def test_a_region_of_which_half_are_suspected_gets_all_others():
    members = [make_member(n, "z3", suspected=n < 5) for n in range(10)] + [make_member(10), make_member(11)]
    assert resolved_numbers(members, "r2", "z3") == [10, 11]


def test_a_zone_of_which_few_are_suspected_goes_on_serving_its_clients():
    members = [make_member(n, suspected=n < 4) for n in range(10)] + [
        make_member(n, "z2") for n in range(10, 15)
    ]
    assert resolved_numbers(members) == [4, 5, 6, 7, 8, 9]


def test_unsuspected_members_are_returned_if_all_zones_are_suspected():
    assert resolved_numbers([make_member(n, suspected=n < 5) for n in range(10)]) == [5, 6, 7, 8, 9]


def test_a_small_zone_of_which_most_are_suspected_gets_those_of_the_region():
    # After a region lost power, its last members were still returned four seconds later.
    members = [make_member(n, suspected=n < 3) for n in range(5)] + [
        make_member(n, "z2") for n in range(5, 9)
    ]
    assert resolved_numbers(members) == [5, 6, 7, 8]


def test_a_single_suspected_member_does_not_make_its_zone_suspected():
    members = [make_member(1, suspected=True), make_member(2), *(make_member(n, "z2") for n in range(3, 7))]
    assert suspected_zones(members) == frozenset()


def test_dead_members_count_towards_zone_suspicion_like_suspected_ones():
    assert suspect_zones(["z1", "z1", "z2"], ["z1", "z1"]) == {"z1"}
    assert suspect_zones(["z1", "z1", "z1"], ["z1", "z1"]) == frozenset()


def resolved_addresses(members, client):
    return json.loads(ResolveResponses(1.0).body(members, ClientLocation("r1", "z1"), client))["addresses"]


def test_clients_get_different_subsets_of_too_many_members():
    members = [make_member(n) for n in range(100)]
    responses = [resolved_addresses(members, f"10.0.0.{n}") for n in range(1000)]
    assert all(len(set(answer)) == MAX_ADDRESSES for answer in responses)
    counts = Counter(address for answer in responses for address in answer)
    assert len(counts) == 100
    assert max(counts.values()) < 2 * min(counts.values())


def test_a_clients_subset_changes_by_one_when_a_member_leaves():
    members = [make_member(n) for n in range(100)]
    before = resolved_addresses(members, "10.0.0.1")
    gone = before[0]
    after = resolved_addresses([member for member in members if member.frontend != gone], "10.0.0.1")
    assert len(set(after) - set(before)) == 1
    assert set(before) - set(after) == {gone}


class FakeMembership:
    def __init__(self):
        self.on_change = []
        self.listed = []
        self.suspected_zones = frozenset()

    def members(self):
        return self.listed

    def suspect_zones(self):
        return self.suspected_zones


def get(server, path="/resolve", query="name=h&region=r1&zone=z1", method="GET"):
    seen = SimpleNamespace(status="", headers=[])

    def start_response(status, headers):
        seen.status, seen.headers = status, dict(headers)

    environ = {"PATH_INFO": path, "QUERY_STRING": query, "REQUEST_METHOD": method}
    seen.body = b"".join(server.application(environ, start_response))
    return seen


def registry(requires_configuration=False):
    membership = FakeMembership()
    settings = Settings(
        "c",
        "core",
        "core",
        [],
        "127.0.0.1",
        "z1",
        "r1",
        (1, 9),
        [],
        REGIONS,
        listen=Listen(directory="127.0.0.1:1"),
    )
    return RegistryServer(settings, membership, requires_configuration), membership


def test_responses_follow_changes_of_the_membership_view():
    server, membership = registry()
    assert get(server).status.startswith("503")
    membership.listed = [make_member(1), make_member(2)]
    for callback in membership.on_change:
        callback()
    answer = json.loads(get(server).body)
    assert sorted(answer["addresses"]) == ["h:1", "h:2"]
    assert 0 < answer["ttl_s"] <= 5
    membership.listed = [make_member(2)]
    for callback in membership.on_change:
        callback()
    assert json.loads(get(server).body)["addresses"] == ["h:2"]


def test_a_zone_that_becomes_suspected_is_excluded_from_the_next_response():
    server, membership = registry()
    membership.listed = [make_member(1), make_member(2), make_member(3, "z2"), make_member(4, "z2")]
    assert sorted(json.loads(get(server).body)["addresses"]) == ["h:1", "h:2"]
    membership.suspected_zones = frozenset({"z1"})
    for callback in membership.on_change:
        callback()
    assert sorted(json.loads(get(server).body)["addresses"]) == ["h:3", "h:4"]


def test_other_paths_are_not_found():
    server, _ = registry()
    assert get(server, path="/other").status.startswith("404")
    assert get(server, method="POST").status.startswith("404")


def test_a_query_without_a_location_is_answered():
    server, membership = registry()
    membership.listed = [make_member(1)]
    assert json.loads(get(server, query="").body)["addresses"] == ["h:1"]


def select_numbers(members, homes, region="r1", zone="z1"):
    selection = select_members(members, ClientLocation(region, zone, frozenset(homes)))
    return sorted(int(member.name[1:]) for member in selection.members), selection.cacheable


def test_routes_with_home_regions_stay_in_a_region_with_one_member_left():
    members = [
        make_member(1),
        make_member(2, leaving=True, ready=False),
        make_member(5, "z3"),
        make_member(6, "z3"),
    ]
    assert select_numbers(members, {"r1"}) == ([1], True)
    assert resolved_numbers(members) == [1, 5, 6]


def test_clients_get_members_of_another_home_region_if_their_own_region_has_none():
    members = [make_member(1, leaving=True, ready=False), make_member(5, "z3"), make_member(6, "z3")]
    assert select_numbers(members, {"r2"}) == ([5, 6], True)


def test_if_all_members_in_the_home_regions_are_leaving_they_are_returned_with_a_short_ttl():
    members = [make_member(n, leaving=True, ready=False) for n in (1, 2)] + [
        make_member(5, "z3"),
        make_member(6, "z3"),
    ]
    assert select_numbers(members, {"r1"}) == ([1, 2], False)
    body = ResolveResponses(2.0).body(members, ClientLocation("r1", "z1", frozenset({"r1"})))
    assert json.loads(body)["ttl_s"] == SHORT_TTL_S


def test_members_outside_the_home_regions_are_returned_uncached_if_none_inside_is_known():
    assert select_numbers([make_member(5, "z3"), make_member(6, "z3")], {"r1"}) == ([5, 6], False)


def test_a_suspected_member_in_the_home_regions_is_preferred_to_others():
    members = [make_member(1, suspected=True), make_member(5, "z3"), make_member(6, "z3")]
    assert select_numbers(members, {"r1"}) == ([1], True)


def make_control_entries(generation, *routes):
    placed = [{"path_prefix": f"/{number}/", **route} for number, route in enumerate(routes)]
    body = json.dumps({"generation": generation, "routes": placed}).encode()
    return control_entries({CONFIGURATION_KEY: pack_json(body)})


def test_home_regions_of_a_host_are_common_to_its_routes_with_home_regions():
    server, membership = registry()
    membership.listed = [make_member(1), make_member(5, "z3"), make_member(6, "z3")]
    first = {"hostname": "H", "home_regions": ["r1", "r2"]}
    second = {"hostname": "h", "home_regions": ["r1"]}
    free = {"hostname": "h"}

    def addresses():
        return sorted(json.loads(get(server).body)["addresses"])

    assert addresses() == ["h:1", "h:5", "h:6"]
    server.configure(make_control_entries(1, first, second, free))
    assert addresses() == ["h:1"]
    server.configure(make_control_entries(2, first, free))
    assert addresses() == ["h:1", "h:5", "h:6"]
    server.configure(make_control_entries(3, free))
    assert addresses() == ["h:1", "h:5", "h:6"]


def test_a_registry_that_requires_a_configuration_responds_503_without_one():
    server, membership = registry(requires_configuration=True)
    membership.listed = [make_member(1), make_member(5, "z3"), make_member(6, "z3")]
    assert get(server).status.startswith("503")
    server.configure(make_control_entries(1, {"hostname": "h", "home_regions": ["r1"]}))
    assert json.loads(get(server).body)["addresses"] == ["h:1"]


def test_clients_whose_region_has_lost_its_directories_get_a_longer_ttl():
    server, membership = registry()
    served, near, far = make_member(1, "z3"), make_member(8, role="relay"), make_member(9, "z3", role="core")

    def lifetime(*members):
        membership.listed = [served, *members]
        for callback in membership.on_change:
            callback()
        return json.loads(get(server).body)["ttl_s"]

    usual = lifetime(far)  # none was there that is gone
    assert lifetime(near, far) == usual
    suspected = make_member(8, role="relay", suspected=True)
    assert lifetime(suspected, far) == DIRECTORY_LOST_TTL_S > usual
    assert lifetime(far) == DIRECTORY_LOST_TTL_S
    assert lifetime(near, far) == usual


def test_a_leaving_member_is_listed_for_part_of_its_arrival_window():
    leaving, staying = make_member(1, leaving=True, ready=False), make_member(2)
    members = LeavingMembers(arrival_window_s=3.0)
    members.update([leaving, staying], 10.0)
    assert list(members.without_expired([leaving, staying], 11.1)) == [leaving, staying]
    members.update([leaving, staying], 11.1)  # another change of the view
    assert list(members.without_expired([leaving, staying], 11.3)) == [staying]
    # A client that resolves last uses the response for three TTLs and still arrives within the window.
    assert 1.2 + 3 * SHORT_TTL_S < 3.0
    members.update([staying], 12.0)
    members.update([leaving], 20.0)
    assert list(members.without_expired([leaving], 20.5)) == [leaving]


def test_a_response_with_leaving_members_is_not_cached():
    responses = ResolveResponses(2.0)
    location = ClientLocation("r1", "z1", frozenset({"r1"}))
    leaving = make_member(1, leaving=True, ready=False)
    assert json.loads(responses.body([leaving], location))["addresses"] == ["h:1"]
    assert json.loads(responses.body([make_member(5, "z3"), make_member(6, "z3")], location))[
        "addresses"
    ] == ["h:5", "h:6"]
