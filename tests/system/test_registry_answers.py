"""What clients are told by the registry."""

import json
from collections import Counter
from types import SimpleNamespace

import pytest

from nettledeal.common.compression import pack_json
from nettledeal.common.settings import Listen, Settings
from nettledeal.control.state import CONFIGURATION_KEY
from nettledeal.distribution.control_source import control_entries
from nettledeal.membership.node import MemberInfo
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


def edge(number, zone="z1", **fields):
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


def numbers(members, region="r1", zone="z1"):
    return [
        int(member.name[1:])
        for member in nearest_members(members, ClientLocation(region, zone), suspected_zones(members))
    ]


def test_the_own_zone_serves_its_clients_where_it_has_enough():
    members = [edge(1), edge(2), edge(3, "z2"), edge(4, "z2"), edge(5, "z3")]
    assert numbers(members) == [1, 2]


def test_a_zone_with_few_members_gets_those_of_the_region():
    members = [edge(5, "z3"), edge(3, "z2"), edge(4, "z2"), edge(1)]
    assert numbers(members) == [3, 4, 1]


def test_a_zone_that_lost_most_members_gets_those_of_the_region():
    members = [edge(1), edge(2), *(edge(n, "z2") for n in range(10, 20))]
    assert len(numbers(members)) == 12


def test_a_region_without_members_gets_all():
    assert numbers([edge(5, "z3"), edge(6, "z3")]) == [5, 6]


@pytest.mark.parametrize(
    "unfit",
    [
        {"ready": False},
        {"leaving": True},
        {"suspected": True},
        {"role": "core"},
    ],
)
def test_members_that_take_no_clients_are_not_told(unfit):
    assert numbers([edge(1, **unfit), edge(2), edge(3)]) == [2, 3]


def test_suspected_members_are_told_if_there_are_no_others():
    assert numbers([edge(1, suspected=True), edge(2, suspected=True)]) == [1, 2]


def test_a_zone_of_which_half_are_suspected_gets_those_of_the_region():
    members = [edge(n, suspected=n < 5) for n in range(10)] + [edge(n, "z2") for n in range(10, 15)]
    assert numbers(members) == [10, 11, 12, 13, 14]


def test_a_region_of_which_half_are_suspected_gets_all_others():
    members = [edge(n, "z3", suspected=n < 5) for n in range(10)] + [edge(10), edge(11)]
    assert numbers(members, "r2", "z3") == [10, 11]


def test_a_zone_of_which_few_are_suspected_goes_on_serving_its_clients():
    members = [edge(n, suspected=n < 4) for n in range(10)] + [edge(n, "z2") for n in range(10, 15)]
    assert numbers(members) == [4, 5, 6, 7, 8, 9]


def test_where_every_zone_is_in_doubt_those_that_are_not_suspected_are_told():
    assert numbers([edge(n, suspected=n < 5) for n in range(10)]) == [5, 6, 7, 8, 9]


def test_a_small_zone_of_which_most_are_suspected_gets_those_of_the_region():
    # Of a region that had lost power the last members were still told four seconds later.
    members = [edge(n, suspected=n < 3) for n in range(5)] + [edge(n, "z2") for n in range(5, 9)]
    assert numbers(members) == [5, 6, 7, 8]


def test_a_single_suspected_member_speaks_against_no_zone():
    members = [edge(1, suspected=True), edge(2), *(edge(n, "z2") for n in range(3, 7))]
    assert suspected_zones(members) == frozenset()


def test_members_that_were_found_dead_speak_against_their_zone_as_suspected_ones_do():
    assert suspect_zones(["z1", "z1", "z2"], ["z1", "z1"]) == {"z1"}
    assert suspect_zones(["z1", "z1", "z1"], ["z1", "z1"]) == frozenset()


def told(members, client):
    return json.loads(ResolveResponses(1.0).body(members, ClientLocation("r1", "z1"), client))["addresses"]


def test_of_more_members_than_fit_clients_are_told_different_ones():
    members = [edge(n) for n in range(100)]
    responses = [told(members, f"10.0.0.{n}") for n in range(1000)]
    assert all(len(set(answer)) == MAX_ADDRESSES for answer in responses)
    counts = Counter(address for answer in responses for address in answer)
    assert len(counts) == 100
    assert max(counts.values()) < 2 * min(counts.values())


def test_a_client_goes_on_being_told_the_same_members_when_another_one_goes():
    members = [edge(n) for n in range(100)]
    before = told(members, "10.0.0.1")
    gone = before[0]
    after = told([member for member in members if member.frontend != gone], "10.0.0.1")
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


def ask(server, path="/resolve", query="name=h&region=r1&zone=z1", method="GET"):
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


def test_an_answer_follows_each_change_of_the_view():
    server, membership = registry()
    assert ask(server).status.startswith("503")
    membership.listed = [edge(1), edge(2)]
    for callback in membership.on_change:
        callback()
    answer = json.loads(ask(server).body)
    assert sorted(answer["addresses"]) == ["h:1", "h:2"]
    assert 0 < answer["ttl_s"] <= 5
    membership.listed = [edge(2)]
    for callback in membership.on_change:
        callback()
    assert json.loads(ask(server).body)["addresses"] == ["h:2"]


def test_a_zone_that_comes_into_doubt_is_left_out_from_the_next_answer_on():
    server, membership = registry()
    membership.listed = [edge(1), edge(2), edge(3, "z2"), edge(4, "z2")]
    assert sorted(json.loads(ask(server).body)["addresses"]) == ["h:1", "h:2"]
    membership.suspected_zones = frozenset({"z1"})
    for callback in membership.on_change:
        callback()
    assert sorted(json.loads(ask(server).body)["addresses"]) == ["h:3", "h:4"]


def test_other_paths_are_not_found():
    server, _ = registry()
    assert ask(server, path="/other").status.startswith("404")
    assert ask(server, method="POST").status.startswith("404")


def test_a_query_without_a_place_is_answered():
    server, membership = registry()
    membership.listed = [edge(1)]
    assert json.loads(ask(server, query="").body)["addresses"] == ["h:1"]


def chosen(members, homes, region="r1", zone="z1"):
    selection = select_members(members, ClientLocation(region, zone, frozenset(homes)))
    return sorted(int(member.name[1:]) for member in selection.members), selection.cacheable


def test_routes_with_homes_stay_in_a_region_of_which_one_member_is_left():
    members = [edge(1), edge(2, leaving=True, ready=False), edge(5, "z3"), edge(6, "z3")]
    assert chosen(members, {"r1"}) == ([1], True)
    assert numbers(members) == [1, 5, 6]


def test_routes_with_homes_elsewhere_go_there_where_the_own_region_is_short():
    members = [edge(1, leaving=True, ready=False), edge(5, "z3"), edge(6, "z3")]
    assert chosen(members, {"r2"}) == ([5, 6], True)


def test_while_all_members_inside_the_homes_are_leaving_they_are_told_for_a_short_time():
    members = [edge(n, leaving=True, ready=False) for n in (1, 2)] + [edge(5, "z3"), edge(6, "z3")]
    assert chosen(members, {"r1"}) == ([1, 2], False)
    body = ResolveResponses(2.0).body(members, ClientLocation("r1", "z1", frozenset({"r1"})))
    assert json.loads(body)["ttl_s"] == SHORT_TTL_S


def test_homes_are_left_for_a_short_time_where_no_member_inside_them_is_known():
    assert chosen([edge(5, "z3"), edge(6, "z3")], {"r1"}) == ([5, 6], False)


def test_a_suspected_member_inside_the_homes_is_told_before_others():
    members = [edge(1, suspected=True), edge(5, "z3"), edge(6, "z3")]
    assert chosen(members, {"r1"}) == ([1], True)


def configured(generation, *routes):
    placed = [{"path_prefix": f"/{number}/", **route} for number, route in enumerate(routes)]
    body = json.dumps({"generation": generation, "routes": placed}).encode()
    return control_entries({CONFIGURATION_KEY: pack_json(body)})


def test_the_homes_of_a_host_are_those_that_bind_all_of_its_routes_with_homes():
    server, membership = registry()
    membership.listed = [edge(1), edge(5, "z3"), edge(6, "z3")]
    first = {"hostname": "H", "home_regions": ["r1", "r2"]}
    second = {"hostname": "h", "home_regions": ["r1"]}
    free = {"hostname": "h"}

    def addresses():
        return sorted(json.loads(ask(server).body)["addresses"])

    assert addresses() == ["h:1", "h:5", "h:6"]
    server.configure(configured(1, first, second, free))
    assert addresses() == ["h:1"]
    server.configure(configured(2, first, free))
    assert addresses() == ["h:1", "h:5", "h:6"]
    server.configure(configured(3, free))
    assert addresses() == ["h:1", "h:5", "h:6"]


def test_where_the_configuration_is_awaited_nothing_is_told_before_its_homes_are_known():
    server, membership = registry(requires_configuration=True)
    membership.listed = [edge(1), edge(5, "z3"), edge(6, "z3")]
    assert ask(server).status.startswith("503")
    server.configure(configured(1, {"hostname": "h", "home_regions": ["r1"]}))
    assert json.loads(ask(server).body)["addresses"] == ["h:1"]


def test_clients_whose_region_has_lost_its_directories_keep_their_answers_for_longer():
    server, membership = registry()
    served, near, far = edge(1, "z3"), edge(8, role="relay"), edge(9, "z3", role="core")

    def lifetime(*members):
        membership.listed = [served, *members]
        for callback in membership.on_change:
            callback()
        return json.loads(ask(server).body)["ttl_s"]

    usual = lifetime(far)  # none was there that is gone
    assert lifetime(near, far) == usual
    suspected = edge(8, role="relay", suspected=True)
    assert lifetime(suspected, far) == DIRECTORY_LOST_TTL_S > usual
    assert lifetime(far) == DIRECTORY_LOST_TTL_S
    assert lifetime(near, far) == usual


def test_a_member_is_told_for_a_part_of_the_time_in_which_it_expects_clients():
    leaving, staying = edge(1, leaving=True, ready=False), edge(2)
    members = LeavingMembers(arrival_window_s=3.0)
    members.update([leaving, staying], 10.0)
    assert list(members.without_expired([leaving, staying], 11.1)) == [leaving, staying]
    members.update([leaving, staying], 11.1)  # another change of the view
    assert list(members.without_expired([leaving, staying], 11.3)) == [staying]
    # Whoever is told last keeps the answer for three of its lifetimes, and comes before the arrivals end.
    assert 1.2 + 3 * SHORT_TTL_S < 3.0
    members.update([staying], 12.0)
    members.update([leaving], 20.0)
    assert list(members.without_expired([leaving], 20.5)) == [leaving]


def test_an_answer_that_names_leaving_members_is_worked_out_anew():
    responses = ResolveResponses(2.0)
    location = ClientLocation("r1", "z1", frozenset({"r1"}))
    leaving = edge(1, leaving=True, ready=False)
    assert json.loads(responses.body([leaving], location))["addresses"] == ["h:1"]
    assert json.loads(responses.body([edge(5, "z3"), edge(6, "z3")], location))["addresses"] == ["h:5", "h:6"]
