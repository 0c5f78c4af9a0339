"""What is learned from connections that backends have forgotten sooner than they said."""

from __future__ import annotations

import pytest
from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.dataplane.backend_connections import BackendConnection, BackendConnections
from nettledeal.dataplane.idle_limit import LEARNED_LIMIT_TTL_S, MIN_IDLE_LIMIT_S, LearnedIdleLimit
from nettledeal.net.transport.buffers import MemoryPool


def test_nothing_is_learned_without_a_forgotten_connection():
    assert LearnedIdleLimit().value_s(5.0) == float("inf")


def test_the_shortest_rest_counts_and_fades():
    limit = LearnedIdleLimit()
    limit.record_reset(0.2, 1.0)
    limit.record_reset(0.4, 2.0)
    assert limit.value_s(3.0) == pytest.approx(0.1)
    assert limit.value_s(2.0 + LEARNED_LIMIT_TTL_S) == float("inf")


def test_a_backend_that_ended_after_no_rest_does_not_end_all_reuse():
    limit = LearnedIdleLimit()
    limit.record_reset(0.0, 1.0)
    assert limit.value_s(1.0) == MIN_IDLE_LIMIT_S


@pytest.fixture
def connections():
    opened = BackendConnections(MemoryPool(1 << 20))
    opened.update({"a": Address("10.0.0.1", 80), "b": Address("10.0.0.2", 80)}, {})
    return opened


@pytest.fixture
def ends():
    made = []
    yield made
    for end in made:
        end.close()


def resting(connections, backend_id, ends, since):
    """A connection that has been put back at `since`."""
    pool = connections.pool(backend_id)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    ends.append(theirs)
    connection = BackendConnection(pool, ours, connections.memory_pool)
    connection.idle_limit_s = 5.0
    pool.open += 1
    pool.put_back(connection, since)
    return connection


def test_a_forgotten_connection_shortens_the_rest_of_all_others(connections, ends):
    resting(connections, "a", ends, 0.0)
    other = resting(connections, "b", ends, 0.0)
    assert not other.idle_limit_reached(1.0)
    taken = connections.pool("a").acquire(1.0, 1.0)
    taken.record_break(ConnectionResetError(), 1.1)
    assert other.idle_limit_reached(1.1)
    connections.close_idle(1.1)
    assert other.closed


def test_a_new_connection_that_breaks_says_nothing_of_rests(connections, ends):
    connection = resting(connections, "a", ends, 0.0)
    connection.record_break(ConnectionResetError(), 1.0)
    assert connections.learned_idle_limit.value_s(1.0) == float("inf")


def test_a_backend_that_falls_silent_says_nothing_of_rests(connections, ends):
    resting(connections, "a", ends, 0.0)
    connections.pool("a").acquire(1.0, 1.0).record_break(TimeoutError(), 1.1)
    assert connections.learned_idle_limit.value_s(1.1) == float("inf")
