"""Pools of backend connections: reused, bounded, and closed before the backend closes them."""

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

# The agent itself may lag by as much.
MIN_CONNECT_TIMEOUT_TENTHS = SECOND * 3 // 100
# A backend that has once sent stray bytes may do so again, some milliseconds after a response; a request
# written before that would take them for its response. A connection to such a backend isn't reused for this
# long.
STRAY_BYTES_WAIT_TENTHS = SECOND // 50


class BackendPool:
    """The connections to one backend at one address. The most recently used one is reused first."""

    def __init__(self, shared: BackendPools, address: Address):
        self.shared = shared
        self.address = address
        self.clock = shared.clock
        self.counters = shared.counters
        self.max_idle = shared.max_idle
        self.idle: list[BackendConnection] = []
        self.connections: dict[BackendConnection, None] = {}
        self.closed = False
        self.got_stray_bytes = False  # the backend has sent bytes that belong to no request

    def send(self, exchange: Exchange) -> bool:
        connection = self._reusable_connection()
        if connection is not None:
            self.claim(connection)
            connection.assign(exchange)
            return True
        # A probe must not evict an idle connection of another backend: with few sockets, connections would be
        # opened over and over.
        if self.shared.budget.is_full if exchange.is_probe else not self.shared.make_room():
            return False
        connection = BackendConnection(self)
        self.connections[connection] = None
        self.shared.budget.acquire()
        connection.assign(exchange)
        connection.wake_event.clear()
        gevent.spawn(connection.run)
        return True

    def _reusable_connection(self) -> BackendConnection | None:
        """The most recently used idle connection that may be reused."""
        settled_before = self.clock.now() - STRAY_BYTES_WAIT_TENTHS
        for connection in reversed(self.idle):
            if not self.got_stray_bytes or connection.idle_since <= settled_before:
                return connection
        return None

    def release(self, connection: BackendConnection) -> None:
        connection.idle_since = self.clock.now()
        self.idle.append(connection)
        self.shared.idle[connection] = None

    def claim(self, connection: BackendConnection) -> None:
        if connection.exchange is None and connection in self.idle:
            self.idle.remove(connection)
            self.shared.idle.pop(connection, None)

    def connection_closed(self, connection: BackendConnection) -> None:
        self.claim(connection)
        del self.connections[connection]
        self.shared.budget.release()

    def close(self) -> None:
        """The backend is gone, has moved or is draining: close idle connections now, busy ones when done."""
        self.closed = True
        for connection in list(self.connections):
            # An exchange that is still connecting would be sent after the order to stop.
            if connection.exchange is None or not connection.exchange.started:
                connection.abort()


class BackendPools:
    """The pools of all backends, within one connection budget."""

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
        self.max_body_bytes = max_body_bytes  # of a response
        self.max_connect_timeout = max_connect_timeout
        self.slowest_connect: Time | None = None  # time to connect, recently
        # Well below the backend's own limit: a request written to a connection that the backend has just
        # closed ends with a reset, and it is unknown whether it ran.
        self.max_idle = max(1, idle_limit // 2)
        self.crowded: Callable[[], bool] = bool  # whether client connections are scarce; set by the agent
        self.pools: dict[str, BackendPool] = {}
        self.idle: dict[BackendConnection, None] = {}  # longest idle first

    @property
    def current_connect_timeout(self) -> Time:
        """How long connecting may take: adapts to recent connects, up to the configured limit.

        A connect whose packet was lost takes much longer or never succeeds, while the work item could still
        be in time at another backend.
        """
        if self.slowest_connect is None:
            return self.max_connect_timeout
        return min(self.max_connect_timeout, max(MIN_CONNECT_TIMEOUT_TENTHS, 8 * self.slowest_connect))

    def record_connect(self, duration: Time | None) -> None:
        """Note how long connecting took. None is a timeout, which then grows: latency may be higher now."""
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
        """Close idle connections beyond the budget, after it has become smaller."""
        for connection in list(self.idle)[: max(0, self.budget.in_use - self.budget.limit)]:
            connection.pool.claim(connection)
            connection.abort()

    def make_room(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one if needed."""
        if self.budget.is_full and self.idle:
            connection = next(iter(self.idle))
            connection.pool.claim(connection)
            connection.abort()
            gevent.sleep(0)
        return not self.budget.is_full
