"""The entries of the control source, and the order of a subscriber's targets."""

import pytest

from nettledeal.common.addresses import Address, InternalPort
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.distribution.control_source import control_entries, route_key
from nettledeal.distribution.core_directory import CoreDirectory, CoreMachine, core_entries
from nettledeal.distribution.published_source import PublishedSource
from tests.system.distribution_support import make_settings
from tests.system.operator_api_support import make_body, make_route

PORT = 7001


def test_every_part_of_the_configuration_has_a_key():
    entries = control_entries({"configuration": make_body(7), "evacuation/z1": b"", "accepted/ab": b"1"})
    assert set(entries) == {
        "generation",
        "limits",
        "service/cart",
        "service/cart-2",
        route_key("shop.example", "/cart/"),
        "evacuation/z1",
    }
    assert entries["generation"] == b"7"


def test_evacuations_are_published_without_a_configuration():
    assert control_entries({"evacuation/z1": b""}) == {"evacuation/z1": b""}


def test_a_stored_configuration_that_cannot_be_read_is_an_error():
    with pytest.raises(ServingError) as caught:
        control_entries({"configuration": b"{"})
    assert caught.value.code is ErrorCode.INVALID_CONFIGURATION


def test_an_update_has_only_the_changed_routes():
    routes = [make_route(path_prefix=f"/p{number}/") for number in range(1000)]
    source = PublishedSource("control")
    source.publish((1,), control_entries({"configuration": make_body(7, routes=routes)}))
    routes[500] = make_route(path_prefix="/p500/", service="cart-2")
    routes.pop(10)
    source.publish((2,), control_entries({"configuration": make_body(9, routes=routes)}))
    update = source.update_since((1,)).message
    assert set(update.changed) == {"generation", route_key("shop.example", "/p500/")}
    assert update.removed == [route_key("shop.example", "/p10/")]
    assert len(source.update_since((1,)).frame) < 2000


def machine(host, zone, region):
    return CoreMachine(host, PORT, zone, region)


def test_seeds_are_the_targets_until_core_machines_are_known():
    settings = make_settings(port=7000)
    targets = CoreDirectory(settings).targets()
    assert sorted(targets) == [Address("10.0.0.1", PORT), Address("10.0.0.2", PORT)]
    assert settings.port_range[0] + InternalPort.DISTRIBUTION == PORT


def test_targets_are_ordered_by_own_zone_own_region_others_seeds():
    directory = CoreDirectory(make_settings(port=7000, zone="z1"))
    machines = {
        "far": machine("10.0.3.1", "z3", "r2"),
        "near": machine("10.0.2.1", "z2", "r1"),
        "own": machine("10.0.1.1", "z1", "r1"),
        "seed": machine("10.0.0.1", "z3", "r2"),
    }
    directory.update(core_entries(machines))
    hosts = [address.host for address in directory.targets()]
    assert hosts[:2] == ["10.0.1.1", "10.0.2.1"]
    assert set(hosts[2:4]) == {"10.0.3.1", "10.0.0.1"}
    assert hosts[4:] == ["10.0.0.2"]


def test_subscribers_spread_over_core_machines_of_a_zone():
    machines = {f"core-{number}": machine(f"10.0.1.{number}", "z1", "r1") for number in range(4)}
    first = set()
    for number in range(60):
        directory = CoreDirectory(make_settings(node_name=f"edge-{number}", port=7000))
        directory.update(core_entries(machines))
        first.add(directory.targets()[0])
    assert len(first) == 4
