"""How replicas of the control state find one another, whatever their seeds name."""

from __future__ import annotations

import time
from contextlib import contextmanager

import pytest
from gevent import socket
from gevent.server import StreamServer

from tests.system.control_cluster import HOSTS, await_that, cluster_in

NEWCOMER = "127.0.7.4"
PROXY = "127.0.7.8"
HOST_WITHOUT_REPLICA = "127.0.7.9"
SWALLOW_S = 0.5


def is_voter(node) -> bool:
    return node.replica_id in {core.replica_id for core in node.cores()}


@contextmanager
def swallowing_proxy(port: int, target: str):
    """Forwards connections to a host, but for what is sent in the first `SWALLOW_S` of each."""

    def forward(incoming, _):
        opened_at = time.monotonic()
        with socket.create_connection((target, port)) as outgoing:
            while data := incoming.recv(65536):
                if time.monotonic() - opened_at > SWALLOW_S:
                    outgoing.sendall(data)

    proxy = StreamServer((PROXY, port), forward)
    proxy.start()
    try:
        yield
    finally:
        proxy.stop()


@pytest.mark.parametrize("seeds", [[HOST_WITHOUT_REPLICA], []], ids=["a seed without a replica", "no seed"])
def test_a_successor_looks_up_core_machines_that_membership_learns_of_later(tmp_path, seeds):
    # Guards against a replica without a record that looks for the others at its start only (review/4).
    with cluster_in(tmp_path) as cluster:
        cluster.primary()
        member_hosts = []
        successor = cluster.start(NEWCOMER, bootstrap=False, seeds=seeds, member_hosts=member_hosts)
        member_hosts += HOSTS
        await_that(lambda: is_voter(successor))


def test_a_successor_that_reaches_only_a_backup_joins(tmp_path):
    # Guards against a backup that drops its answer to a replica that the primary doesn't know (review/4).
    with cluster_in(tmp_path) as cluster:
        primary = cluster.primary()
        backup = next(node for node in cluster.nodes.values() if node is not primary)
        await_that(lambda: backup.confirmed_age_s() < 1.0)
        successor = cluster.start(NEWCOMER, bootstrap=False, seeds=[backup.settings.ip])
        await_that(lambda: is_voter(successor))


def test_a_successor_takes_seeds_that_its_settings_file_names_later(tmp_path):
    # Guards against seeds that are read at the start only: the file may change without any signal.
    with cluster_in(tmp_path) as cluster:
        cluster.primary()
        path = tmp_path / "successor.toml"
        successor = cluster.start(NEWCOMER, bootstrap=False, seeds=[HOST_WITHOUT_REPLICA], settings_file=path)
        path.write_text(path.read_text().replace(HOST_WITHOUT_REPLICA, HOSTS[0]))
        await_that(lambda: is_voter(successor))


def test_a_successor_whose_first_hello_is_lost_announces_itself_again(tmp_path):
    # Guards against a replica without a record that says Hello once per connection and then waits.
    with cluster_in(tmp_path) as cluster, swallowing_proxy(cluster.port, HOSTS[0]):
        cluster.primary()
        successor = cluster.start(NEWCOMER, bootstrap=False, seeds=[PROXY])
        await_that(lambda: is_voter(successor))
