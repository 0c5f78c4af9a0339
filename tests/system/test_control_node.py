"""Replicas of the control state on real loopback sockets and disks."""

from __future__ import annotations

from contextlib import contextmanager

import gevent
import pytest
from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.settings import Bounds, FaultTolerance, Listen, Settings
from nettledeal.control.node import ControlNode
from nettledeal.control.state import ControlState, Outcome, PutConfiguration, SetEvacuation

HOSTS = ["127.0.7.1", "127.0.7.2", "127.0.7.3"]
PATIENCE_S = 8.0


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return probe.getsockname()[1]


def settings_for(host: str, port: int, bootstrap: bool = True) -> Settings:
    zone = f"zone-{host[-1]}"
    return Settings(
        node_name=host,
        role="control-plane",
        machine_class="core",
        serves=[],
        ip=host,
        zone=zone,
        region="north",
        port_range=(port, port + 5),
        seeds=[f"{host}:9000" for host in HOSTS],
        zones={zone: "north"},
        bootstrap=bootstrap,
        counts_for_quorum=True,
        listen=Listen(control_plane=f"{host}:9000"),
        fault_tolerance=FaultTolerance(machines=1, zones=1),
        bounds=Bounds(),
    )


def await_that(condition) -> None:
    with gevent.Timeout(PATIENCE_S):
        while not condition():
            gevent.sleep(0.01)


class Cluster:
    def __init__(self, folder):
        self.folder = folder
        self.port = free_port()
        self.nodes: dict[str, ControlNode] = {}

    def start(self, host: str, bootstrap: bool = True, disk: str = "first") -> ControlNode:
        node = ControlNode(settings_for(host, self.port, bootstrap), self.folder / f"{host}-{disk}")
        node.start()
        self.nodes[host] = node
        return node

    def crash(self, host: str) -> None:
        self.nodes.pop(host).abort()

    def primary(self) -> ControlNode:
        found = []

        def settled() -> bool:
            found[:] = [node for node in self.nodes.values() if node.is_primary]
            return len(found) == 1 and found[0].confirmed_age_s() < PATIENCE_S

        await_that(settled)
        return found[0]

    def submit(self, command) -> Outcome:
        return self._ask_primary(lambda primary: primary.submit(command, 1.0))

    def read(self) -> ControlState:
        return self._ask_primary(lambda primary: primary.read(1.0))

    def _ask_primary(self, ask):
        """Retry as callers do: a primary whose epoch isn't stored yet is temporarily unavailable."""
        with gevent.Timeout(PATIENCE_S):
            while True:
                try:
                    return ask(self.primary())
                except ServingError:
                    gevent.sleep(0.02)

    def stop(self) -> None:
        for node in self.nodes.values():
            node.abort()


@contextmanager
def cluster_in(folder, bootstrapped: int = 3):
    cluster = Cluster(folder)
    for host in HOSTS[:bootstrapped]:
        cluster.start(host)
    try:
        yield cluster
    finally:
        cluster.stop()


def order(expected: int, generation: int) -> PutConfiguration:
    return PutConfiguration(expected, generation, b"order-%d" % generation, b'{"generation":%d}' % generation)


def test_an_order_is_committed_everywhere_and_read_back(tmp_path):
    with cluster_in(tmp_path) as cluster:
        assert cluster.submit(order(0, 5)) is Outcome.ACCEPTED
        assert cluster.read().configuration == b'{"generation":5}'
        await_that(lambda: all(node.state.generation == 5 for node in cluster.nodes.values()))
        expected_address = Address(cluster.primary().settings.ip, 9000)
        await_that(lambda: all(node.primary_address == expected_address for node in cluster.nodes.values()))


def test_a_resent_order_is_acknowledged_again_and_another_on_the_same_version_conflicts(tmp_path):
    with cluster_in(tmp_path) as cluster:
        assert cluster.submit(order(0, 5)) is Outcome.ACCEPTED
        assert cluster.submit(order(0, 5)) is Outcome.ACCEPTED
        assert cluster.submit(order(0, 6)) is Outcome.CONFLICT


def test_a_backup_refers_to_the_primary_instead_of_deciding(tmp_path):
    with cluster_in(tmp_path) as cluster:
        primary = cluster.primary()
        backup = next(node for node in cluster.nodes.values() if node is not primary)
        await_that(lambda: backup.primary_address == Address(primary.settings.ip, 9000))
        with pytest.raises(ServingError) as raised:
            backup.submit(order(0, 5), PATIENCE_S)
        assert raised.value.code is ErrorCode.NOT_PRIMARY
        assert raised.value.peer == f"{primary.settings.ip}:9000"


def test_after_the_primary_crashes_another_serves_what_was_acknowledged(tmp_path):
    with cluster_in(tmp_path) as cluster:
        cluster.submit(order(0, 5))
        cluster.crash(cluster.primary().settings.ip)
        assert cluster.submit(SetEvacuation("zone-2", True)) is Outcome.ACCEPTED
        state = cluster.read()
        assert (state.generation, state.evacuated_zones) == (5, {"zone-2"})


def test_all_replicas_restart_with_their_disks(tmp_path):
    with cluster_in(tmp_path) as cluster:
        cluster.submit(order(0, 5))
        for host in HOSTS:
            cluster.crash(host)
        for host in HOSTS:
            cluster.start(host, bootstrap=False)
        assert cluster.read().generation == 5


def test_a_replica_with_an_empty_disk_replaces_its_previous_identity(tmp_path):
    with cluster_in(tmp_path) as cluster:
        cluster.submit(order(0, 5))
        host = next(host for host in HOSTS if not cluster.nodes[host].is_primary)
        earlier = cluster.nodes[host].replica_id
        cluster.crash(host)
        fresh = cluster.start(host, bootstrap=False, disk="second")
        assert fresh.replica_id != earlier
        await_that(lambda: {core.replica_id for core in fresh.cores()} >= {fresh.replica_id})
        assert earlier not in {core.replica_id for core in fresh.cores()}
        await_that(lambda: fresh.state.generation == 5)


def test_stopping_the_primary_hands_over(tmp_path):
    with cluster_in(tmp_path) as cluster:
        cluster.submit(order(0, 5))
        primary = cluster.primary()
        primary.stop()
        assert not primary.is_primary
        del cluster.nodes[primary.settings.ip]
        assert cluster.submit(order(5, 6)) is Outcome.ACCEPTED


def test_a_disk_of_another_format_is_refused(tmp_path):
    (tmp_path / f"{HOSTS[0]}-first").mkdir()
    (tmp_path / f"{HOSTS[0]}-first" / "control.db").write_bytes(b"something else entirely" * 100)
    with pytest.raises(ServingError) as raised:
        Cluster(tmp_path).start(HOSTS[0])
    assert raised.value.code is ErrorCode.FOREIGN_DATA
    assert "\n" not in str(raised.value)


def test_a_disk_of_another_cluster_is_refused_and_changes_nothing(tmp_path):
    with cluster_in(tmp_path / "other") as other:
        assert other.submit(order(0, 5)) is Outcome.ACCEPTED
        await_that(lambda: all(node.epoch_record.cluster for node in other.nodes.values()))
    with cluster_in(tmp_path / "own", bootstrapped=2) as own:
        assert own.submit(order(0, 3)) is Outcome.ACCEPTED
        await_that(lambda: all(node.epoch_record.cluster for node in own.nodes.values()))
        disk = tmp_path / "other" / f"{HOSTS[2]}-first"
        foreign = ControlNode(settings_for(HOSTS[2], own.port, False), disk)
        errors = []
        foreign.on_refused = errors.append
        foreign.start()
        try:
            await_that(lambda: errors)
        finally:
            foreign.abort()
        assert errors[0].code is ErrorCode.FOREIGN_DATA
        assert "\n" not in str(errors[0])
        assert own.submit(order(3, 4)) is Outcome.ACCEPTED
        assert own.read().generation == 4


def test_one_refusal_does_not_stop_a_machine_that_has_heard_its_own_cluster(tmp_path):
    with cluster_in(tmp_path) as cluster:
        assert cluster.submit(order(0, 5)) is Outcome.ACCEPTED
        node = cluster.primary()
        errors = []
        node.on_refused = errors.append
        for host in HOSTS:
            node._on_refused(host, "another")
        assert errors == []
