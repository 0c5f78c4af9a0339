"""Tenants in the configuration and the control state: what is refused, bound, removed and published."""

import json
from http import HTTPMethod, HTTPStatus

import msgspec
import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.decisions import decide
from nettledeal.control.state import ControlState, PutConfiguration
from nettledeal.distribution.control_source import control_entries
from nettledeal.operator_api.api import OperatorApi
from nettledeal.operator_api.configuration_checks import parse_configuration
from nettledeal.operator_api.messages import Request
from nettledeal.operator_api.tenants import KeyOrder, key_path
from nettledeal.standins.tenant_control import ControlHistory
from nettledeal.standins.tenant_scenario import (
    ANY_PATH,
    BANK,
    FUND,
    POOLED,
    Plan,
    make_configuration,
    own_service,
)
from nettledeal.tenancy.inspection import faults_of_tenancy
from nettledeal.tenancy.orders import TenantStatus, key_in_force, tenant_statuses
from nettledeal_simulations.tenant_world import region_keys
from tests.system.operator_api_support import MemoryNode, make_body

OWN = {FUND: own_service(FUND), BANK: own_service(BANK)}
BOTH_POOLED = {FUND: POOLED, BANK: POOLED}


def body(generation=1, places=OWN, change=None):
    made = json.loads(make_configuration(Plan(generation, places, region_keys().public)))
    if change is not None:
        change(made)
    return json.dumps(made).encode()


def route_of(made, name):
    return next(route for route in made["routes"] if route["name"] == name)


def service_of(made, name):
    return next(service for service in made["services"] if service["name"] == name)


def named_twice(made):
    made["cache_tenants"].append(made["cache_tenants"][0])


def long_name(made):
    made["cache_tenants"][0]["name"] = "a" * 64


def bad_digest(made):
    made["cache_tenants"][0]["token_digests"] = ["00"]


def unknown_tenant(made):
    route_of(made, FUND)["cache_tenant"] = "nobody"


def both_ways(made):
    route_of(made, FUND)["cache_tenant_by_token"] = True


def no_common_home(made):
    route_of(made, BANK)["home_regions"] = ["south"]


def shared_without_rewriting(made):
    service_of(made, POOLED)["engine"]["rewritable_part_ids"] = False


def two_on_one_own(made):
    route_of(made, FUND)["service"] = own_service(BANK)


def open_route_beside(made):
    route_of(made, ANY_PATH)["cache_tenant_by_token"] = False


def open_route_on_pooled(made):
    made["routes"].append(
        route_of(made, ANY_PATH) | {"name": "open", "path_prefix": "/open/", "cache_tenant_by_token": False}
    )


def bad_public_key(made):
    made["cache_tenant_regions"][0]["public_key"] = "00"


def region_twice(made):
    made["cache_tenant_regions"].append(made["cache_tenant_regions"][0])


def within_another(made):
    route_of(made, FUND)["path_prefix"] = "/bank/fund/"


def open_around(made):
    made["services"].append({"name": "web"})
    made["routes"].append(
        {"hostname": "Packs.example", "path_prefix": "/", "timeout_ms": 1, "service": "web"}
    )


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (named_twice, "cache_tenants"),
        (long_name, "name"),
        (bad_digest, "token_digests"),
        (unknown_tenant, "cache_tenant"),
        (both_ways, "cache_tenant"),
        (no_common_home, "home_regions"),
        (shared_without_rewriting, "services"),
        (two_on_one_own, "services"),
        (open_route_on_pooled, "services"),
        (within_another, "routes"),
        (open_around, "routes"),
        (bad_public_key, "cache_tenant_regions"),
        (region_twice, "cache_tenant_regions"),
    ],
)
def test_configurations_that_would_let_tenants_meet_are_invalid(change, field):
    with pytest.raises(ServingError) as error:
        parse_configuration(body(change=change))
    assert error.value.code is ErrorCode.INVALID_CONFIGURATION
    assert field in error.value.reason


def test_a_service_without_engines_keeps_nothing_and_may_be_shared():
    def without_engine(made):
        del service_of(made, POOLED)["engine"]
        open_route_on_pooled(made)

    parse_configuration(body(change=without_engine))


def history(*places):
    made = ControlHistory()
    for generation, place in enumerate(places, 1):
        assert made.put_configuration(body(generation, place))
    return made


def test_a_tenant_s_route_moves_between_its_own_service_and_the_pooled_one():
    history(OWN, BOTH_POOLED, OWN, {FUND: POOLED, BANK: own_service(BANK)})


def test_an_own_service_does_not_change_hands_even_after_a_pause():
    made = history(OWN, BOTH_POOLED)
    assert not made.put_configuration(body(3, {FUND: own_service(BANK), BANK: POOLED}))
    assert made.state.generation == 2


def test_a_route_does_not_change_hands_nor_lose_its_tenant():
    made = history(BOTH_POOLED)

    def given_away(configuration):
        route_of(configuration, FUND)["cache_tenant"] = BANK

    def opened(configuration):
        route = route_of(configuration, FUND)
        route["cache_tenant"] = None
        route["service"] = "web"
        configuration["services"].append({"name": "web"})

    assert not made.put_configuration(body(2, BOTH_POOLED, given_away))
    assert not made.put_configuration(body(2, BOTH_POOLED, opened))


def test_a_route_within_one_that_was_another_tenant_s_is_refused_since_agents_may_still_have_that():
    made = history(OWN)

    def inherits(configuration):
        route_of(configuration, FUND)["path_prefix"] = "/bank/fund/"

    assert not made.put_configuration(body(2, {FUND: OWN[FUND]}, inherits))


def test_a_tenant_s_routes_may_be_within_one_another():
    def inner(configuration):
        configuration["routes"].append(route_of(configuration, FUND) | {"path_prefix": "/fund/inner/"})

    parse_configuration(body(change=inner))


def test_a_service_of_tenants_is_not_opened_by_a_configuration_without_tenants():
    made = history(BOTH_POOLED)
    plain = make_configuration(Plan(2, BOTH_POOLED, {}, separated=False))
    assert not made.put_configuration(plain)


def test_a_configuration_read_without_regard_to_tenants_is_not_taken_on_top_of_one_with_them():
    made = history(BOTH_POOLED)
    plain = make_configuration(Plan(2, BOTH_POOLED, {}, separated=False))
    assert not decide(made.state, PutConfiguration(1, 2, b"d", plain)).changes


def test_an_own_service_may_become_one_whose_ids_are_rewritten_and_not_back():
    made = history(OWN)

    def rewritten(configuration):
        service_of(configuration, own_service(FUND))["engine"]["rewritable_part_ids"] = True

    assert made.put_configuration(body(2, OWN, rewritten))
    assert not made.put_configuration(body(3, OWN))


def test_a_removed_tenant_loses_its_key_in_the_same_commit():
    made = history(OWN)
    made.rotate(BANK, region_keys().public)
    sequence = made.state.sequence
    assert made.put_configuration(body(2, {FUND: OWN[FUND]}))
    assert made.state.sequence == sequence + 1
    assert [key for key in made.state.entries if key.startswith("tenant-key/")] == []
    assert [status.name for status in tenant_statuses(made.state)] == [FUND]


def test_a_renamed_tenant_starts_without_a_key():
    made = history(OWN)
    made.rotate(BANK, region_keys().public)

    def renamed(configuration):
        configuration["cache_tenants"][1]["name"] = "bank-two"
        route = route_of(configuration, BANK)
        route |= {"cache_tenant": "bank-two", "path_prefix": "/bank-two/", "service": POOLED}

    assert made.put_configuration(body(2, OWN, renamed))
    assert key_in_force(made.state, "bank-two").generation == 0


def test_keys_follow_one_another_and_a_drop_is_a_generation_without_one():
    made = history(OWN)
    assert made.rotate(FUND, region_keys().public)
    assert made.drop(FUND)
    assert key_in_force(made.state, FUND).sealed == {}
    assert made.rotate(FUND, region_keys().public)
    assert key_in_force(made.state, FUND).generation == 3
    assert not made.rotate("nobody", region_keys().public)


def test_what_is_published():
    made = history(OWN)
    made.rotate(FUND, region_keys().public)
    entries = control_entries(made.state.entries)
    assert not [key for key in entries if key.startswith("route/")]
    assert f"tenant-route/packs.example /{FUND}/" in entries
    assert {"tenancy", f"tenant-key/{FUND}"} <= entries.keys()
    assert not [key for key in entries if key.startswith("tenant-bound/") or key == "tenants"]


def test_without_tenants_nothing_more_is_stored_or_published():
    plain = make_body()
    command = PutConfiguration(0, 7, b"d", plain)
    state = ControlState()
    state = state.after(1, decide(state, command).changes)
    assert set(state.entries) == {"configuration", "configuration-meta", f"accepted/{b'd'.hex()}"}
    assert set(control_entries(state.entries)) == {
        "generation",
        "limits",
        "route/shop.example /cart/",
        *(f"service/{service['name']}" for service in json.loads(plain)["services"]),
    }


def test_data_that_cannot_be_right_is_found():
    made = history(OWN)
    made.rotate(FUND, region_keys().public)
    assert list(faults_of_tenancy(made.state.entries)) == []
    broken = dict(made.state.entries) | {f"tenant-key/{FUND}": b"\xc1", "tenant-key/nobody": b"\x91\x01"}
    assert len(list(faults_of_tenancy(broken))) == 2


@pytest.fixture
def node():
    return MemoryNode()


@pytest.fixture
def api(node):
    api = OperatorApi(node, "10.0.0.1:8166", lambda: ["z1"], {}, 0.5)
    assert put(api, "/config", body(), "0").status is HTTPStatus.OK
    return api


def put(api, path, content, version=None):
    return api.handle(Request(HTTPMethod.PUT, path, version, content))


def put_key(api, tenant, generation, sealed=None):
    order = KeyOrder(generation, {"north": b"sealed"} if sealed is None else sealed)
    return put(api, key_path(tenant), msgspec.json.encode(order))


def listed(api):
    answer = api.handle(Request(HTTPMethod.GET, "/tenants"))
    return {status.name: status for status in msgspec.json.decode(answer.body, type=list[TenantStatus])}


def test_operators_see_tenants_and_put_keys(api):
    assert listed(api)[FUND] == TenantStatus(FUND, 0, [])
    assert put_key(api, FUND, 1).status is HTTPStatus.OK
    assert put_key(api, FUND, 1).status is HTTPStatus.OK  # the same order again
    assert listed(api)[FUND] == TenantStatus(FUND, 1, ["north"])
    assert b"sealed" not in api.handle(Request(HTTPMethod.GET, "/tenants")).body


@pytest.mark.parametrize(
    ("tenant", "generation", "sealed", "status"),
    [
        (FUND, 1, {"north": b"another"}, HTTPStatus.PRECONDITION_FAILED),
        (FUND, 3, None, HTTPStatus.PRECONDITION_FAILED),
        ("nobody", 1, None, HTTPStatus.NOT_FOUND),
        (FUND, 2, {"north": b"x" * 600}, HTTPStatus.BAD_REQUEST),
    ],
)
def test_keys_that_are_refused(api, tenant, generation, sealed, status):
    assert put_key(api, FUND, 1).status is HTTPStatus.OK
    assert put_key(api, tenant, generation, sealed).status is status


def test_a_binding_is_named_when_a_configuration_contradicts_it(api):
    assert put(api, "/config", body(2, BOTH_POOLED), "1").status is HTTPStatus.OK
    answer = put(api, "/config", body(3, {FUND: own_service(BANK), BANK: POOLED}), "2")
    assert answer.status is HTTPStatus.BAD_REQUEST
    assert f"service/{own_service(BANK)}".encode() in answer.body


def test_calls_about_tenants_go_to_the_primary(api, node):
    node.is_primary = False
    node.primary_address = "10.0.0.2:8166"
    assert put_key(api, FUND, 1).status is HTTPStatus.TEMPORARY_REDIRECT


def test_other_paths_and_methods(api):
    assert put(api, "/tenants", b"").status is HTTPStatus.METHOD_NOT_ALLOWED
    assert put(api, "/tenants/fund", b"").status is HTTPStatus.NOT_FOUND
    assert put(api, key_path(FUND), b"{").status is HTTPStatus.BAD_REQUEST
