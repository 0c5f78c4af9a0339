"""A control process without a replica: redirects of orders, addresses it serves, and machines that run it."""

from types import SimpleNamespace

import msgspec
import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.settings import Bounds, Listen, Settings
from nettledeal.distribution.control_source import GENERATION_KEY
from nettledeal.distribution.core_directory import (
    CORES_SOURCE,
    CoreDirectory,
    CoreMachine,
    core_entries,
    read_cores,
)
from nettledeal.membership.member_info import Role
from nettledeal.operator_api.redirection import CoreChooser, RedirectionServer
from nettledeal.programs import control_plane
from nettledeal.programs.control_relay import ControlRelay

ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}


def settings(**changes):
    listen = Listen(control_plane="127.0.0.9:8166", directory="127.0.0.9:8167")
    made = Settings(
        "edge-1",
        "edge-control",
        "edge",
        ["control_plane", "registry"],
        "127.0.0.9",
        "z1",
        "r1",
        (7000, 7010),
        ["10.0.0.1:8166"],
        ZONES,
        bounds=Bounds(),
        listen=listen,
    )
    return msgspec.structs.replace(made, **changes)


def core(number, zone, primary=False):
    return CoreMachine(f"10.0.0.{number}", 7001, zone, ZONES[zone], primary)


def member(number, role=Role.CORE, suspected=False):
    return SimpleNamespace(host=f"10.0.0.{number}", role=role, suspected=suspected)


def authority(cores, members):
    return CoreChooser(settings(), lambda: members, lambda: cores).authority()


CORES = [core(1, "z3"), core(2, "z2"), core(3, "z1")]


def test_orders_are_sent_to_the_primary():
    cores = [*CORES, core(4, "z3", primary=True)]
    assert authority(cores, [member(n) for n in (1, 2, 3, 4)]) == "10.0.0.4:8166"


def test_without_a_live_primary_orders_are_sent_to_the_nearest_core_machine():
    cores = [*CORES, core(4, "z3", primary=True)]
    assert authority(cores, [member(1), member(2), member(3), member(4, suspected=True)]) == "10.0.0.3:8166"
    assert authority(cores, [member(1), member(2)]) == "10.0.0.2:8166"
    assert authority(cores, [member(1)]) == "10.0.0.1:8166"


def test_a_core_machine_known_only_from_membership_is_used_as_well():
    assert authority([], [member(5), member(6, Role.RELAY), member(7, Role.EDGE)]) == "10.0.0.5:8166"


def test_without_a_core_machine_an_order_is_answered_unavailable():
    assert authority(CORES, [member(5, Role.RELAY)]) is None
    server = RedirectionServer(settings(), CoreChooser(settings(), list, list))
    assert answer(server, "/config")[0].startswith("503")


def test_a_redirection_keeps_the_path():
    chooser = CoreChooser(settings(), lambda: [member(3)], lambda: CORES)
    status, headers = answer(RedirectionServer(settings(), chooser), "/evacuations/z1")
    assert status.startswith("307")
    assert headers["Location"] == "http://10.0.0.3:8166/evacuations/z1"


def answer(server, path):
    seen = []
    server._serve({"PATH_INFO": path}, lambda status, headers: seen.append((status, dict(headers))))
    return seen[0]


def test_core_machines_are_published_with_the_primary_except_by_older_releases():
    published = read_cores(core_entries({"a": core(1, "z1", primary=True), "b": core(2, "z2")}))
    assert [machine.primary for machine in published] == [True, False]
    older = b'{"host":"10.0.0.1","port":7001,"zone":"z1","region":"r1"}'
    assert read_cores({"core/a": older}) == [core(1, "z1")]


def test_publishers_are_found_through_membership_if_no_seed_has_one():
    directory = CoreDirectory(settings(), lambda: ["10.0.0.7"])
    assert directory.targets() == [Address("10.0.0.1", 7001), Address("10.0.0.7", 7001)]
    directory.update(core_entries({"a": core(7, "z1")}))
    assert directory.targets() == [Address("10.0.0.7", 7001), Address("10.0.0.1", 7001)]


@pytest.mark.parametrize(
    ("data_dir", "counts", "replica"),
    [("/data", True, True), ("/data", False, False), (None, True, False), (None, False, False)],
)
def test_only_a_machine_with_a_disk_that_counts_has_a_replica(monkeypatch, data_dir, counts, replica):
    made = []
    monkeypatch.setattr(control_plane, "ControlPlane", lambda *_: made.append("replica"))
    monkeypatch.setattr("nettledeal.programs.control_relay.ControlRelay", lambda *_: made.append("relay"))
    monkeypatch.setattr(control_plane, "run_plane", lambda settings, build, _: build(None))
    control_plane.run(settings(data_dir=data_dir, counts_for_quorum=counts))
    assert made == ["replica" if replica else "relay"]


def test_a_relay_applies_what_the_core_machines_publish():
    relay = ControlRelay(settings())
    relay._apply(CORES_SOURCE, (3,), core_entries({"a": core(2, "z2", primary=True)}))
    assert [machine.host for machine in relay.directory.cores()] == ["10.0.0.2"]
    route = b'{"hostname":"h","path_prefix":"/","home_regions":["r1"]}'
    relay._apply("control", (4,), {GENERATION_KEY: b"7", "route/h /": route})
    assert relay.registry._home_regions.for_host("h") == {"r1"}


def test_the_processes_of_one_machine_are_members_with_different_names():
    relay = ControlRelay(settings())
    assert relay.membership.member.own_record.name == "edge-1/edge-control" != settings().node_name
