"""Pools of connections to backends: reused, bounded, closed before the backend does it."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from nettledeal.model import Time
from nettledeal.net.address import Address, format_address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.transport.backend_connection import BackendConnection
from nettledeal.net.transport.budget import ConnectionBudget
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.exchange import Exchange

# The least patience for a connection to come up: the agent itself may be late by as much.
MIN_CONNECT_TIMEOUT_TENTHS = SECOND * 3 // 100
# A backend that has once sent what nobody asked for may do so again, some milliseconds behind an answer: what
# is written to that connection before would get it for its answer. So long it is left alone.
STRAY_BYTES_WAIT_TENTHS = SECOND // 50


class BackendPool:
    """The connections to one backend at one address; the one used last is used first."""

    def __init__(self, pools: BackendPools, address: Address):
        self.pools = pools
        self.address = address
        self.clock = pools.clock
        self.counters = pools.counters
        self.max_idle = pools.max_idle
        self.idle: list[BackendConnection] = []
        self.connections: dict[BackendConnection, None] = {}
        self.closed = False
        self.got_stray_bytes = False  # bytes have come that nobody asked for

    def send(self, exchange: Exchange) -> bool:
        connection = self._reusable_connection()
        if connection is not None:
            self.claim(connection)
            connection.assign(exchange)
            return True
        # A connection opened for a probe must not cost another backend one that work items could use: with
        # few sockets they would all be opened anew, over and over.
        if self.pools.budget.is_full if exchange.is_probe else not self.pools.make_room():
            return False
        connection = BackendConnection(self)
        self.connections[connection] = None
        self.pools.budget.acquire()
        connection.assign(exchange)
        connection.wake_event.clear()
        gevent.spawn(connection.run)
        return True

    def _reusable_connection(self) -> BackendConnection | None:
        """The one used last that may be used again."""
        settled_before = self.clock.now() - STRAY_BYTES_WAIT_TENTHS
        for connection in reversed(self.idle):
            if not self.got_stray_bytes or connection.idle_since <= settled_before:
                return connection
        return None

    def release(self, connection: BackendConnection) -> None:
        connection.idle_since = self.clock.now()
        self.idle.append(connection)
        self.pools.idle[connection] = None

    def claim(self, connection: BackendConnection) -> None:
        if connection.exchange is None and connection in self.idle:
            self.idle.remove(connection)
            self.pools.idle.pop(connection, None)

    def connection_closed(self, connection: BackendConnection) -> None:
        self.claim(connection)
        del self.connections[connection]
        self.pools.budget.release()

    def close(self) -> None:
        """Its backend is gone, moved or wants nothing new: what rests ends now, the others once back."""
        self.closed = True
        for connection in list(self.connections):
            # What is still connecting would send later than the word to stop.
            if connection.exchange is None or not connection.exchange.started:
                connection.abort()


class BackendPools:
    """All connections to backends, within one budget."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        budget: ConnectionBudget,
        memory: MemoryPool,
        max_body_bytes: int,
        max_connect_timeout: Time,
        idle_limit: Time,
    ):
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.memory = memory
        self.max_body_bytes = max_body_bytes  # the longest body of an answer
        self.max_connect_timeout = max_connect_timeout
        self.slowest_connect: Time | None = None  # to come up, of late
        # Well before the backend's own limit: what is written to a connection that it has just closed ends
        # as a reset, and nobody knows whether it ran.
        self.max_idle = max(1, idle_limit // 2)
        self.crowded: Callable[[], bool] = bool  # whether places for clients are short; told by the program
        self.pools: dict[str, BackendPool] = {}
        self.idle: dict[BackendConnection, None] = {}  # the one that has rested longest first

    @property
    def current_connect_timeout(self) -> Time:
        """How long a connection may take to come up: by what others took, as one lost on its way comes much
        later or never, while its work item could be on time elsewhere; the told limit at most."""
        if self.slowest_connect is None:
            return self.max_connect_timeout
        return min(self.max_connect_timeout, max(MIN_CONNECT_TIMEOUT_TENTHS, 8 * self.slowest_connect))

    def record_connect(self, duration: Time | None) -> None:
        """After `took`, or not within the patience, which then grows: the way may have become longer."""
        if duration is not None:
            self.slowest_connect = max(duration, (self.slowest_connect or 0) * 3 // 4)
        elif self.slowest_connect is not None:
            self.slowest_connect = min(
                self.max_connect_timeout, max(MIN_CONNECT_TIMEOUT_TENTHS // 8, self.slowest_connect) * 5 // 4
            )

    def set_address(self, backend: str, address: Address) -> None:
        pool = self.pools.get(backend)
        if pool is not None and pool.address == address:
            return
        if pool is not None:
            pool.close()
        self.pools[backend] = BackendPool(self, address)

    def remove(self, backend: str) -> None:
        pool = self.pools.pop(backend, None)
        if pool is not None:
            pool.close()

    def host(self, backend: str) -> str:
        pool = self.pools.get(backend)
        return "" if pool is None else format_address(pool.address)

    def send(self, backend: str, exchange: Exchange) -> bool:
        pool = self.pools.get(backend)
        return pool is not None and pool.send(exchange)

    def trim(self) -> None:
        """What rests beyond the budget ends: it has become smaller."""
        for connection in list(self.idle)[: max(0, self.budget.in_use - self.budget.limit)]:
            connection.pool.claim(connection)
            connection.abort()

    def make_room(self) -> bool:
        """Whether one more may be opened; the one that has rested longest makes room."""
        if self.budget.is_full and self.idle:
            connection = next(iter(self.idle))
            connection.pool.claim(connection)
            connection.abort()
            gevent.sleep(0)
        return not self.budget.is_full
