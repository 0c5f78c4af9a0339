"""Which configurations are read, and what is said of those that are not."""

import json

import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.operator_api.configuration import RouteType
from nettledeal.operator_api.configuration_checks import parse_configuration
from tests.system.operator_api_support import make_body, make_route


def reason_of(body):
    with pytest.raises(ServingError) as caught:
        parse_configuration(body)
    assert caught.value.code is ErrorCode.INVALID_CONFIGURATION
    return caught.value.reason


def test_a_whole_configuration():
    configuration = parse_configuration(make_body())
    assert configuration.generation == 7
    assert configuration.routes[0].route_type is RouteType.IDEMPOTENT
    assert configuration.routes[0].weighted_services[0].service == "cart"
    assert configuration.services[0].health_check == "/healthz"


def test_unknown_fields_and_a_route_type_of_a_newer_release_are_taken():
    body = make_body(routes=[make_route(colour="blue", route_type="telepathic")], mood="good")
    assert parse_configuration(body).routes[0].route_type is RouteType.NON_IDEMPOTENT


def test_split_with_one_weight_of_zero():
    split = [{"service": "cart", "weight": 0}, {"service": "cart-2", "weight": 1.5}]
    body = make_body(routes=[make_route(service=None, traffic_split=split)])
    assert len(parse_configuration(body).routes[0].weighted_services) == 2


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"", "truncated"),
        (make_body()[:-20], "truncated"),
        (make_body() + b"}", "trailing"),
        (b"\xff" + make_body(), "malformed"),
        (b"[]", "object"),
        (make_body(generation="7"), "generation"),
        (make_body(generation=7.5), "generation"),
        (make_body(generation=True), "generation"),
        (make_body(generation=0), "generation"),
        (make_body(generation=None), "generation"),
        (make_body(routes=None), "routes"),
        (make_body(routes={}), "routes"),
        (make_body(services="all"), "services"),
        (make_body(services=[{"name": "cart"}, {"name": "cart"}]), "services[1].name"),
        (make_body(limits=[]), "limits"),
        (make_body(routes=[make_route(service="unknown")]), "service"),
        (make_body(routes=[make_route(service=None)]), "service"),
        (make_body(routes=[make_route(timeout_ms=0)]), "timeout_ms"),
        (make_body(routes=[make_route(timeout_ms=-1)]), "timeout_ms"),
        (make_body(routes=[make_route(timeout_ms="long")]), "timeout_ms"),
        (make_body(routes=[make_route(path_prefix="cart/")]), "path_prefix"),
        (make_body(routes=[make_route(path_prefix="/cart")]), "path_prefix"),
        (make_body(routes=[make_route(path_prefix="")]), "path_prefix"),
        (make_body(routes=[make_route(), make_route(name="r-2")]), "path_prefix"),
        (make_body(routes=[make_route(), make_route(hostname="SHOP.example")]), "path_prefix"),
        (make_body(routes=[make_route(traffic_split=[{"service": "cart", "weight": 0}])]), "traffic_split"),
        (make_body(routes=[make_route(traffic_split=[{"service": "cart", "weight": -1}])]), "traffic_split"),
        (make_body(routes=[make_route(traffic_split=[{"service": "other", "weight": 1}])]), "traffic_split"),
    ],
)
def test_an_invalid_configuration_is_refused_with_the_field(body, field):
    assert field in reason_of(body)


def test_a_thousand_routes_are_read_in_a_small_part_of_what_their_acknowledgement_may_take():
    import time

    routes = [make_route(name=f"r-{number}", path_prefix=f"/p{number}/") for number in range(1000)]
    body = make_body(routes=routes)
    assert len(json.loads(body)["routes"]) == 1000
    started = time.process_time()
    parse_configuration(body)
    assert time.process_time() - started < 0.3
