"""Replicas of the control state on real loopback sockets and disks."""

from __future__ import annotations

import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.node import ControlNode
from nettledeal.control.state import Outcome, PutConfiguration, SetEvacuation
from tests.system.control_cluster import (
    HOSTS,
    NOTHING,
    PATIENCE_S,
    Cluster,
    await_that,
    cluster_in,
    settings_for,
)


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


def test_a_single_replica_publishes_its_state_after_a_restart(tmp_path):
    # Guards against a commit that nobody is told of, since the input that led to it had no other effect.
    with cluster_in(tmp_path, bootstrapped=0) as cluster:
        host = HOSTS[0]
        first = cluster.start(host, seeds=[host], tolerance=NOTHING)
        await_that(lambda: first.cores()[0].zone)  # its own zone is in the epoch: no other will follow
        cluster.submit(order(0, 5))
        cluster.crash(host)
        node = cluster.start(host, bootstrap=False, seeds=[host], tolerance=NOTHING)
        published = []
        node.changes.on_commit.append(lambda state: published.append(state.generation))
        await_that(lambda: node.state.generation == 5)
        await_that(lambda: published)


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
