"""Effects of catalogue, configuration and member changes on all connection pools."""

from __future__ import annotations

import pytest

from nettledeal.common.addresses import Address
from nettledeal.dataplane.backend_connections import UNLIMITED_CONNECTIONS, BackendConnections
from nettledeal.net.transport.buffers import MemoryPool


@pytest.fixture
def connections():
    return BackendConnections(MemoryPool(1 << 20))


def addresses(*names):
    return {name: Address(f"10.0.0.{number}", 80) for number, name in enumerate(names)}


def test_each_backend_gets_the_limit_of_its_service(connections):
    connections.members = 4
    connections.update(addresses("a", "b", "c", "d"), {"a": 100, "b": 50, "c": 0})
    opened = {name: pool.max_open for name, pool in connections.pools.items()}
    assert opened == {"a": 20, "b": 10, "c": UNLIMITED_CONNECTIONS, "d": UNLIMITED_CONNECTIONS}


def test_limits_follow_the_members_and_pools_stay(connections):
    connections.update(addresses("a", "b"), {"a": 100, "b": 100})
    before = dict(connections.pools)
    connections.members = 10
    connections.update(addresses("a", "b"), {"a": 100, "b": 100})
    assert connections.pools == before
    assert [pool.max_open for pool in connections.pools.values()] == [8, 8]


def test_a_backend_at_another_address_gets_another_pool(connections):
    connections.update({"a": Address("10.0.0.1", 80)}, {"a": 10})
    before = connections.pool("a")
    connections.update({"a": Address("10.0.0.2", 80)}, {"a": 10})
    assert before.retired
    assert connections.pool("a").address == ("10.0.0.2", 80)


def test_a_removed_backend_loses_its_pool(connections):
    connections.update(addresses("a", "b"), {"a": 10, "b": 10})
    removed = connections.pool("b")
    connections.update(addresses("a"), {"a": 10})
    assert removed.retired
    assert connections.pool("b") is None


def test_member_changes_update_the_limits_without_a_new_catalogue(connections):
    connections.members = 4
    connections.update(addresses("a", "b", "c"), {"a": 100, "b": 50})
    connections.members = 10
    assert [pool.max_open for pool in connections.pools.values()] == [8, 4, UNLIMITED_CONNECTIONS]


def test_a_configuration_change_updates_the_limit_of_a_backend(connections):
    connections.update(addresses("a", "b"), {"a": 100, "b": 100})
    before = connections.pool("a")
    connections.update(addresses("a", "b"), {"a": 50, "b": 100})
    assert connections.pool("a") is before
    assert [pool.max_open for pool in connections.pools.values()] == [40, 80]
