"""Learning the idle limit from connections that backends dropped sooner than they stated."""

from __future__ import annotations

import pytest
from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.dataplane.backend_connections import BackendConnection, BackendConnections
from nettledeal.dataplane.idle_limit import LEARNED_LIMIT_TTL_S, MIN_IDLE_LIMIT_S, LearnedIdleLimit
from nettledeal.net.transport.buffers import MemoryPool


def test_nothing_is_learned_without_a_reset():
    assert LearnedIdleLimit().value_s(5.0) == float("inf")


def test_the_shortest_idle_time_applies_and_expires():
    limit = LearnedIdleLimit()
    limit.record_reset(0.2, 1.0)
    limit.record_reset(0.4, 2.0)
    assert limit.value_s(3.0) == pytest.approx(0.1)
    assert limit.value_s(2.0 + LEARNED_LIMIT_TTL_S) == float("inf")


def test_a_reset_without_idle_time_does_not_prevent_all_reuse():
    limit = LearnedIdleLimit()
    limit.record_reset(0.0, 1.0)
    assert limit.value_s(1.0) == MIN_IDLE_LIMIT_S


@pytest.fixture
def connections():
    opened = BackendConnections(MemoryPool(1 << 20))
    opened.update({"a": Address("10.0.0.1", 80), "b": Address("10.0.0.2", 80)}, {})
    return opened


@pytest.fixture
def peers():
    made = []
    yield made
    for peer in made:
        peer.close()


def idle_connection(connections, backend_id, peers, since):
    """A connection that has been idle since `since`."""
    pool = connections.pool(backend_id)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    peers.append(theirs)
    connection = BackendConnection(pool, ours, connections.memory_pool)
    connection.idle_limit_s = 5.0
    pool.open_count += 1
    pool.put_back(connection, since)
    return connection


def test_a_dropped_connection_shortens_the_idle_limit_of_all_others(connections, peers):
    idle_connection(connections, "a", peers, 0.0)
    other = idle_connection(connections, "b", peers, 0.0)
    assert not other.idle_limit_reached(1.0)
    used = connections.pool("a").acquire(1.0, 1.0)
    used.record_break(ConnectionResetError(), 1.1)
    assert other.idle_limit_reached(1.1)
    connections.close_idle(1.1)
    assert other.closed


def test_a_new_connection_that_breaks_does_not_affect_the_idle_limit(connections, peers):
    connection = idle_connection(connections, "a", peers, 0.0)
    connection.record_break(ConnectionResetError(), 1.0)
    assert connections.learned_idle_limit.value_s(1.0) == float("inf")


def test_a_timeout_does_not_affect_the_idle_limit(connections, peers):
    idle_connection(connections, "a", peers, 0.0)
    connections.pool("a").acquire(1.0, 1.0).record_break(TimeoutError(), 1.1)
    assert connections.learned_idle_limit.value_s(1.1) == float("inf")
