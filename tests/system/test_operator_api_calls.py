"""What operators' calls are answered: accepted, refused, sent on, or left unclear."""

from http import HTTPMethod, HTTPStatus

import gevent
import msgspec
import pytest

from nettledeal.control.state import ACCEPTED_PREFIX, Change
from nettledeal.operator_api.api import OperatorApi
from nettledeal.operator_api.messages import Request
from tests.system.operator_api_support import MemoryNode, make_body, make_route

ZONES = ["z1", "z2"]


@pytest.fixture
def node():
    return MemoryNode()


@pytest.fixture
def api(node):
    return OperatorApi(node, "10.0.0.1:8166", lambda: ZONES, {"streams": lambda: {"count": 3}}, 0.05)


def put(api, body, version):
    if_match = None if version is None else str(version)
    return api.handle(Request(HTTPMethod.PUT, "/config", if_match, body))


def get(api):
    return api.handle(Request(HTTPMethod.GET, "/config"))


def evacuate(api, zone, method=HTTPMethod.POST):
    return api.handle(Request(method, f"/evacuations/{zone}"))


def header(response, name):
    return next((header.value for header in response.headers if header.name == name), None)


def test_the_body_comes_back_unchanged(api):
    body = make_body() + b" \n"
    assert put(api, body, 0).status is HTTPStatus.OK
    response = get(api)
    assert (response.status, response.body) == (HTTPStatus.OK, body)
    assert header(response, "ETag") == '"7"'


def test_quoted_versions_are_read(api):
    assert put(api, make_body(), '"0"').status is HTTPStatus.OK


@pytest.mark.parametrize("version", [None, "", "x", "-1", "1.5", "²"])
def test_a_call_without_a_version_is_refused(api, node, version):
    assert put(api, make_body(), version).status is HTTPStatus.BAD_REQUEST
    assert node.submitted == []


def test_another_version_is_in_place(api):
    put(api, make_body(7), 0)
    assert put(api, make_body(9), 0).status is HTTPStatus.PRECONDITION_FAILED
    assert put(api, make_body(9), 8).status is HTTPStatus.PRECONDITION_FAILED
    assert put(api, make_body(9), 7).status is HTTPStatus.OK


def test_a_generation_that_is_not_above_the_current_one_is_invalid(api):
    put(api, make_body(7), 0)
    assert put(api, make_body(7, mood=1), 7).status is HTTPStatus.BAD_REQUEST
    assert put(api, make_body(6), 7).status is HTTPStatus.BAD_REQUEST


def test_an_invalid_configuration_is_refused_and_not_in_force(api):
    put(api, make_body(7), 0)
    response = put(api, make_body(8, routes=[make_route(timeout_ms=0)]), 7)
    assert response.status is HTTPStatus.BAD_REQUEST
    assert b"timeout_ms" in response.body
    assert get(api).body == make_body(7)


def test_an_accepted_order_is_accepted_again_also_after_others(api, node):
    put(api, make_body(7), 0)
    assert put(api, make_body(7), 0).status is HTTPStatus.OK
    put(api, make_body(8), 7)
    assert put(api, make_body(7), 0).status is HTTPStatus.OK
    assert get(api).body == make_body(8)


def test_an_earlier_configuration_on_top_of_the_present_one_is_refused(api):
    # Guards against a rollback that is acknowledged and never in force: orders were told apart by body alone.
    put(api, make_body(7), 0)
    put(api, make_body(8), 7)
    assert put(api, make_body(7), 8).status is HTTPStatus.BAD_REQUEST
    assert put(api, make_body(8), 8).status is HTTPStatus.BAD_REQUEST
    assert put(api, make_body(8), 7).status is HTTPStatus.OK
    assert get(api).body == make_body(8)


def test_the_order_in_force_is_accepted_again_if_an_earlier_release_remembered_it(api, node):
    put(api, make_body(7), 0)
    accepted = [key for key in node.state.entries if key.startswith(ACCEPTED_PREFIX)]
    node.state = node.state.after(node.state.sequence, tuple(Change(key, None) for key in accepted))
    assert put(api, make_body(7), 0).status is HTTPStatus.OK
    assert put(api, make_body(7), 7).status is HTTPStatus.BAD_REQUEST


def test_the_same_number_for_different_changes(api):
    put(api, make_body(5), 0)
    mine, theirs = make_body(7, mood="mine"), make_body(7, mood="theirs")
    assert put(api, mine, 5).status is HTTPStatus.OK
    assert put(api, theirs, 5).status is HTTPStatus.PRECONDITION_FAILED
    assert put(api, mine, 5).status is HTTPStatus.OK


def test_an_order_that_takes_long_is_unclear_and_joined_when_it_comes_again(api, node):
    node.open.clear()
    response = put(api, make_body(), 0)
    assert response.status is HTTPStatus.SERVICE_UNAVAILABLE
    assert header(response, "Retry-After") is not None
    waiting = gevent.spawn(put, api, make_body(), 0)
    gevent.sleep(0)
    node.open.set()
    assert waiting.get().status is HTTPStatus.OK
    assert len(node.submitted) == 1


def test_two_operators_on_top_of_the_same_version(api, node):
    node.open.clear()
    calls = [gevent.spawn(put, api, make_body(7, mood=mood), 0) for mood in range(2)]
    gevent.sleep(0)
    node.open.set()
    assert sorted(call.get().status for call in calls) == [HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED]


def test_a_backup_sends_callers_to_the_primary(api, node):
    node.is_primary, node.primary_address = False, "10.0.0.4:8080"
    for response, path in [
        (put(api, make_body(), 0), "/config"),
        (get(api), "/config"),
        (evacuate(api, "z1"), "/evacuations/z1"),
    ]:
        assert response.status is HTTPStatus.TEMPORARY_REDIRECT
        assert header(response, "Location") == f"http://10.0.0.4:8080{path}"


@pytest.mark.parametrize("address", [None, "10.0.0.1:8166"])
def test_without_another_primary_the_caller_is_to_try_elsewhere(api, node, address):
    node.is_primary, node.primary_address = False, address
    assert put(api, make_body(), 0).status is HTTPStatus.SERVICE_UNAVAILABLE


def test_nobody_is_sent_to_a_primary_that_was_not_heard_lately(api, node):
    node.is_primary, node.primary_address, node.age_s = False, "10.0.0.4:8080", 30.0
    assert get(api).status is HTTPStatus.SERVICE_UNAVAILABLE


def test_a_backup_does_not_judge_orders(api, node):
    node.is_primary, node.primary_address = False, "10.0.0.4:8080"
    assert put(api, b"{", 0).status is HTTPStatus.TEMPORARY_REDIRECT


def test_a_deposed_primary_refuses_nothing_and_tells_nothing(api, node):
    put(api, make_body(7), 0)
    node.deposed = True
    assert put(api, make_body(12), 9).status is HTTPStatus.SERVICE_UNAVAILABLE
    assert put(api, make_body(6), 7).status is HTTPStatus.SERVICE_UNAVAILABLE
    assert get(api).status is HTTPStatus.SERVICE_UNAVAILABLE
    assert evacuate(api, "z1").status is HTTPStatus.SERVICE_UNAVAILABLE


def test_a_primary_deposed_during_a_call_sends_the_caller_on(api, node):
    node.open.clear()
    call = gevent.spawn(put, api, make_body(), 0)
    gevent.sleep(0)
    node.is_primary, node.primary_address = False, "10.0.0.4:8080"
    node.open.set()
    assert call.get().status is HTTPStatus.TEMPORARY_REDIRECT


def test_evacuations_begin_and_end_and_may_be_sent_again(api, node):
    assert evacuate(api, "z1").status is HTTPStatus.OK
    assert evacuate(api, "z1").status is HTTPStatus.OK
    assert node.state.evacuated_zones == {"z1"}
    assert evacuate(api, "z1", HTTPMethod.DELETE).status is HTTPStatus.OK
    assert evacuate(api, "z1", HTTPMethod.DELETE).status is HTTPStatus.OK
    assert node.state.evacuated_zones == frozenset()


def test_an_unknown_zone(api, node):
    assert evacuate(api, "z9").status is HTTPStatus.NOT_FOUND
    assert evacuate(api, "").status is HTTPStatus.NOT_FOUND
    assert node.submitted == []


def test_opposite_orders_for_a_zone_do_not_join(api, node):
    node.open.clear()
    methods = [HTTPMethod.POST, HTTPMethod.POST, HTTPMethod.DELETE, HTTPMethod.DELETE]
    calls = []
    for method in methods:
        calls.append(gevent.spawn(evacuate, api, "z1", method))
        gevent.sleep(0)
    node.open.set()
    assert [call.get().status for call in calls] == [HTTPStatus.OK] * 4
    assert [command.evacuated for command in node.submitted] == [True, False]
    assert node.state.evacuated_zones == frozenset()


def test_no_configuration_yet(api):
    assert get(api).status is HTTPStatus.NOT_FOUND


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        (HTTPMethod.POST, "/config", HTTPStatus.METHOD_NOT_ALLOWED),
        (HTTPMethod.GET, "/evacuations/z1", HTTPStatus.METHOD_NOT_ALLOWED),
        (HTTPMethod.GET, "/elsewhere", HTTPStatus.NOT_FOUND),
    ],
)
def test_calls_that_do_not_exist(api, method, path, status):
    assert api.handle(Request(method, path)).status is status


def test_the_status_page(api, node):
    put(api, make_body(7), 0)
    evacuate(api, "z2")
    page = msgspec.json.decode(api.handle(Request(HTTPMethod.GET, "/status")).body)
    assert page["control"]["generation"] == 7
    assert page["control"]["evacuated_zones"] == ["z2"]
    assert page["streams"] == {"count": 3}
