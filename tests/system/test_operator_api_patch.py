"""Changes of named items: what they make of a configuration, and which are refused."""

import json
from http import HTTPMethod, HTTPStatus

import gevent
import pytest

from nettledeal.operator_api.api import OperatorApi
from nettledeal.operator_api.messages import Request
from tests.system.operator_api_support import MemoryNode, make_body, make_route


@pytest.fixture
def node():
    return MemoryNode()


@pytest.fixture
def api(node):
    api = OperatorApi(node, "10.0.0.1:8166", lambda: ["z1"], {}, 0.05)
    assert call(api, HTTPMethod.PUT, make_body(7), 0) is HTTPStatus.OK
    return api


def call(api, method, body, version):
    return api.handle(Request(method, "/config", str(version), body)).status


def patch(api, version, generation=9, **changes):
    return call(api, HTTPMethod.PATCH, json.dumps({"generation": generation, **changes}).encode(), version)


def configuration(api):
    return json.loads(api.handle(Request(HTTPMethod.GET, "/config")).body)


def test_items_are_added_replaced_and_removed_and_the_rest_stays(api):
    before = configuration(api)
    replaced = make_route(timeout_ms=1234, unknown={"kept": [1]})
    added = make_route(name="r-2", path_prefix="/other/", service="cart-3")
    changes = {
        "upsert": {"routes": [replaced, added], "services": [{"name": "cart-3"}]},
        "delete": {"services": ["cart-2"]},
    }
    assert patch(api, 7, **changes) is HTTPStatus.OK
    after = configuration(api)
    assert after["routes"] == [replaced, added]
    assert [service["name"] for service in after["services"]] == ["cart", "cart-3"]
    assert after["generation"] == 9
    assert after["limits"] == before["limits"]


def test_a_patch_builds_on_the_version_in_force(api):
    assert patch(api, 6, upsert={"routes": [make_route(timeout_ms=5)]}) is HTTPStatus.PRECONDITION_FAILED
    assert patch(api, 8, upsert={"routes": [make_route(timeout_ms=5)]}) is HTTPStatus.PRECONDITION_FAILED
    assert configuration(api) == json.loads(make_body(7))


def test_there_is_nothing_to_patch_before_the_first_configuration(node):
    api = OperatorApi(node, "10.0.0.1:8166", lambda: ["z1"], {}, 0.05)
    assert patch(api, 0) is HTTPStatus.PRECONDITION_FAILED


def test_a_patch_that_was_taken_is_acknowledged_again_whatever_followed(api):
    changes = {"delete": {"services": ["cart-2"]}}
    assert patch(api, 7, 8, **changes) is HTTPStatus.OK
    assert patch(api, 7, 8, **changes) is HTTPStatus.OK
    assert patch(api, 8, 9, upsert={"services": [{"name": "cart-4"}]}) is HTTPStatus.OK
    assert patch(api, 7, 8, **changes) is HTTPStatus.OK
    assert [service["name"] for service in configuration(api)["services"]] == ["cart", "cart-4"]


def test_of_two_patches_on_one_version_one_is_taken(api, node):
    node.open.clear()
    bodies = [json.dumps({"generation": 9, "upsert": {"services": [{"name": n}]}}).encode() for n in "ab"]
    calls = [gevent.spawn(call, api, HTTPMethod.PATCH, body, 7) for body in bodies]
    gevent.sleep(0)
    node.open.set()
    assert sorted(one.get() for one in calls) == [HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED]


@pytest.mark.parametrize(
    "changes",
    [
        {"generation": 7},
        {"generation": "nine"},
        {"delete": {"services": ["cart"]}},  # its route is left with an unknown service
        {"delete": {"routes": ["r-9"]}},  # is not there
        {"delete": {"services": ["cart-2", "cart-2"]}},
        {"delete": {"services": ["cart-2"]}, "upsert": {"services": [{"name": "cart-2"}]}},
        {"upsert": {"services": [{"name": "x"}, {"name": "x"}]}},
        {"upsert": {"services": [{"health_check": "/"}]}},  # no name
        {"upsert": {"routes": [make_route(name="r-2")]}},  # the place of another route
        {"upsert": {"routes": [make_route(timeout_ms=0)]}},
        {"upsert": {"routes": [make_route(service="unknown")]}},
        {"upsert": {"limits": [{"name": "x"}]}},  # no list
        {"upsert": {"routes": {}}},
        {"limits": {"max_header_bytes": 1}},  # what a patch can't change must not pass for changed
    ],
)
def test_what_leaves_no_sound_configuration_is_refused_and_changes_nothing(api, changes):
    assert patch(api, 7, **{"generation": 9, **changes}) is HTTPStatus.BAD_REQUEST
    assert configuration(api) == json.loads(make_body(7))


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b'{"generation":9,"upsert":{"routes":[{]}}'])
def test_what_cannot_be_read_is_refused(api, body):
    assert call(api, HTTPMethod.PATCH, body, 7) is HTTPStatus.BAD_REQUEST


def test_a_deposed_primary_judges_no_patch(api, node):
    node.deposed = True
    assert patch(api, 3) is HTTPStatus.SERVICE_UNAVAILABLE


def test_a_backup_sends_the_caller_to_the_primary(api, node):
    node.is_primary, node.primary_address = False, "10.0.0.4:8080"
    assert patch(api, 7) is HTTPStatus.TEMPORARY_REDIRECT
