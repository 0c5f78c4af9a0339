"""A system without core machines: edge machines with a disk run a replica alongside their data plane."""

from dataclasses import dataclass, replace
from http import HTTPMethod
from pathlib import Path

import msgspec
import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.http_client import HttpClient
from nettledeal.common.settings import Bounds, Settings
from nettledeal.operator_api.client import OperatorClient
from nettledeal.operator_api.status import MemberStatus
from nettledeal.standins.backend import EngineSpeed
from nettledeal.standins.checks import broken_rules
from nettledeal.standins.clients import Ending
from nettledeal.standins.layout import Layout, MachineClass, Network, Port, Zone, write_settings
from nettledeal.standins.processes import SystemProcess, wait_until
from nettledeal.standins.scenario import BRIEF, CARD, EXTRA, make_backends, make_configuration
from nettledeal.standins.small_system import CALL_TIMEOUT_S, SmallSystem
from nettledeal.standins.traffic import Traffic

WITHIN_S = 60.0
RELAY = 3  # the number of the machine that has the control role and no disk


@dataclass(frozen=True, slots=True)
class EdgesOnly(Layout):
    """Machines of one class: the first three have a disk and both roles."""

    def edge_settings(self, number: int) -> Settings:
        """The settings of a data plane, on the machine of the replica of that number."""
        settings = super(EdgesOnly, self).edge_settings(number)
        host = self.core_host(number)
        listen = msgspec.structs.replace(
            settings.listen,
            frontend=f"{host}:{int(Port.FRONTEND)}",
            readiness=f"{host}:{int(Port.READINESS)}",
        )
        name = super(EdgesOnly, self).core_settings(number, Path(), False).node_name
        return msgspec.structs.replace(settings, node_name=name, ip=host, listen=listen)

    def core_settings(self, number: int, folder: Path, bootstrap: bool, zone: Zone | None = None) -> Settings:
        """The settings of the control process of an edge machine; the relay's machine has no disk."""
        settings = super(EdgesOnly, self).core_settings(number, folder, bootstrap, zone)
        settings = msgspec.structs.replace(settings, machine_class="edge")
        if number < RELAY:
            return settings
        return msgspec.structs.replace(settings, data_dir=None, counts_for_quorum=False)


class RunningEdges:
    """The system with its relay, a configuration, and clients in each zone."""

    def __init__(self, folder: Path, number: int):
        layout = EdgesOnly(Network.of_this_process(number), edges=3, bounds=Bounds(grace_s=2.0))
        self.system = SmallSystem(layout, folder, make_backends(layout, EngineSpeed(), EngineSpeed()))
        self.relay = self._make_relay(layout, folder)
        self.relay_host = layout.core_host(RELAY)
        self.through_relay = OperatorClient([Address(self.relay_host, Port.CONTROL_PLANE)], CALL_TIMEOUT_S)
        self.clients = Traffic([], layout.directory_addresses).clients

    def _make_relay(self, layout: EdgesOnly, folder: Path) -> SystemProcess:
        settings = layout.core_settings(RELAY, folder, bootstrap=True)
        path = folder / "relay.toml"
        write_settings(settings, path)
        return SystemProcess("relay", str(MachineClass.CORE), path)

    def bring_up(self) -> None:
        self.system.start()
        self.relay.start()
        assert self.through_relay.put_configuration(make_configuration(1), 0).status == 200
        self.system.wait_ready(WITHIN_S)
        self.wait_served()

    def wait_served(self) -> None:
        wait_until(lambda: self.endings(CARD) == {Ending.SERVED}, WITHIN_S, "cards are served")

    def endings(self, kind) -> set[Ending]:
        return {client.ask(kind, subject).ending for client in self.clients for subject in range(2)}

    def addresses_from_relay(self) -> list[str]:
        client = HttpClient(Address(self.relay_host, Port.DIRECTORY))
        zone = str(Zone.NORTH_1)
        answer = client.request(HTTPMethod.GET, f"/resolve?name=h&region=north&zone={zone}", 2.0)
        return msgspec.json.decode(answer.body).get("addresses", []) if answer.status == 200 else []

    def in_sync(self) -> int:
        return len(self.system.primary_status().epoch.in_sync)

    def members(self) -> list[MemberStatus]:
        return self.system.primary_status().members

    def restart_edge_with_relay_as_seed(self, number: int) -> SystemProcess:
        edge = self.system.edges[number]
        edge.kill()
        settings = self.system.layout.edge_settings(number)
        relay = f"{self.relay_host}:{int(Port.CONTROL_PLANE)}"
        write_settings(msgspec.structs.replace(settings, seeds=[relay]), edge.settings_path)
        edge.start()
        return edge

    def stop(self) -> list[int | None]:
        self.system.wait_started(WITHIN_S)
        self.relay.terminate()
        return [*self.system.stop(), self.relay.wait(WITHIN_S)]


@pytest.fixture
def running(tmp_path):
    system = RunningEdges(tmp_path, 0)
    try:
        system.bring_up()
        yield system
    finally:
        statuses = system.stop()
    assert set(statuses) <= {0}


def test_orders_and_lookups_pass_through_a_machine_without_a_replica(running):
    wait_until(lambda: len(running.addresses_from_relay()) >= 1, WITHIN_S, "the relay names data planes")
    frontends = {str(address) for address in running.system.frontends()}
    assert set(running.addresses_from_relay()) <= frontends
    # Both processes of a machine are members, each under its own name.
    wait_until(lambda: len(running.members()) == 7, WITHIN_S, "the primary has heard of all members")
    members = running.members()
    assert len({member.name for member in members}) == len(members) == 7
    assert sorted(member.role for member in members) == ["core"] * 3 + ["edge"] * 3 + ["relay"]

    services = msgspec.json.decode(make_configuration(1))["services"]
    change = msgspec.json.encode({"generation": 2, "upsert": {"services": services[:1]}})
    assert running.through_relay.patch_configuration(change, 1).status == 200
    assert running.through_relay.patch_configuration(change, 1).status == 200, "the same order again"
    assert msgspec.json.decode(running.through_relay.get_configuration().body)["generation"] == 2


def test_a_data_plane_whose_seeds_have_no_replica_finds_the_core_machines(running):
    edge = running.restart_edge_with_relay_as_seed(1)
    edge.wait_for("dataplane:ready", WITHIN_S, lambda event: event["ready"] is True)
    running.wait_served()


def test_a_machine_with_both_roles_crashes_and_restarts(running):
    system = running.system
    primary = system.primary()
    number = system.cores.index(primary)
    primary.kill()
    system.edges[number].kill()
    changed = make_configuration(2, with_extra_route=True)
    assert running.through_relay.put_configuration(changed, 1).status == 200
    gone = str(system.frontends()[number])
    wait_until(lambda: gone not in running.addresses_from_relay(), WITHIN_S, "the relay no longer names it")
    assert running.through_relay.get_configuration().body == changed

    system.restart_cores()
    system.edges[number].start()
    wait_until(lambda: running.in_sync() == 3, WITHIN_S, "all replicas are in sync")
    wait_until(lambda: running.endings(EXTRA) == {Ending.SERVED}, WITHIN_S, "the new route is served")
    assert running.endings(BRIEF) == {Ending.SERVED}
    assert broken_rules([], running.clients, system.backends, [BRIEF, CARD, EXTRA]) == []


def test_a_machine_with_both_roles_is_frozen_and_resumes(running):
    system = running.system
    primary = system.primary()
    edge = system.edges[system.cores.index(primary)]
    for process in (primary, edge):
        process.freeze()
    try:
        changed = make_configuration(2, with_extra_route=True)
        assert running.through_relay.put_configuration(changed, 1).status == 200
        assert running.through_relay.get_configuration().body == changed
    finally:
        for process in (primary, edge):
            process.thaw()
    # It must not act on its outdated view: it follows the new primary, and its data plane has the new route.
    wait_until(lambda: running.in_sync() == 3, WITHIN_S, "all replicas are in sync")
    wait_until(lambda: running.endings(EXTRA) == {Ending.SERVED}, WITHIN_S, "the new route is served")
    assert running.through_relay.get_configuration().body == changed


def test_a_machine_that_loses_its_disk_is_restored(running):
    system = running.system
    lost = next(core for core in system.cores if core is not system.primary())
    lost.kill()
    for path in (system.folder / lost.name).iterdir():
        path.unlink()
    assert running.through_relay.put_configuration(make_configuration(2), 1).status == 200
    system.restart_cores()
    wait_until(lambda: running.in_sync() == 3, WITHIN_S, "all replicas are in sync")
    assert msgspec.json.decode(running.through_relay.get_configuration().body)["generation"] == 2


def test_the_layout_gives_both_roles_of_a_machine_one_name_and_one_address():
    layout = EdgesOnly(Network("127.99.1"), edges=3)
    control, data = layout.core_settings(0, Path("/x"), True), layout.edge_settings(0)
    assert (control.node_name, control.ip) == (data.node_name, data.ip)
    assert replace(layout, edges=2).edge_settings(1).ip == layout.core_host(1)
