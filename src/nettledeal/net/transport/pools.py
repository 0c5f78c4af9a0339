"""Pools of connections to backends: reused, bounded, closed before the backend does it."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from nettledeal.model import Time
from nettledeal.net.address import Address, written
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.transport.backend_connection import BackendConnection
from nettledeal.net.transport.budget import Budget
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.exchange import Exchange

# The least patience for a connection to come up: the agent itself may be late by as much.
QUICK = SECOND * 3 // 100
# A backend that has once sent what nobody asked for may do so again, some milliseconds behind an answer: what
# is written to that connection before would get it for its answer. So long it is left alone.
SETTLED = SECOND // 50


class Pool:
    """The connections to one backend at one address; the one used last is used first."""

    def __init__(self, pools: Pools, address: Address):
        self.pools = pools
        self.address = address
        self.clock = pools.clock
        self.counters = pools.counters
        self.rest_for = pools.rest_for
        self.resting: list[BackendConnection] = []
        self.connections: dict[BackendConnection, None] = {}
        self.closed = False
        self.unasked = False  # bytes have come that nobody asked for

    def carry(self, exchange: Exchange) -> bool:
        connection = self._rested()
        if connection is not None:
            self.wake(connection)
            connection.take(exchange)
            return True
        # A connection opened for a probe must not cost another backend one that work items could use: with
        # few sockets they would all be opened anew, over and over.
        if self.pools.budget.full if exchange.probe else not self.pools.room():
            return False
        connection = BackendConnection(self)
        self.connections[connection] = None
        self.pools.budget.take()
        connection.take(exchange)
        connection.called.clear()
        gevent.spawn(connection.run)
        return True

    def _rested(self) -> BackendConnection | None:
        """The one used last that may be used again."""
        settled = self.clock.now() - SETTLED
        for connection in reversed(self.resting):
            if not self.unasked or connection.rested_at <= settled:
                return connection
        return None

    def rest(self, connection: BackendConnection) -> None:
        connection.rested_at = self.clock.now()
        self.resting.append(connection)
        self.pools.resting[connection] = None

    def wake(self, connection: BackendConnection) -> None:
        if connection.exchange is None and connection in self.resting:
            self.resting.remove(connection)
            self.pools.resting.pop(connection, None)

    def ended(self, connection: BackendConnection) -> None:
        self.wake(connection)
        del self.connections[connection]
        self.pools.budget.give()

    def close(self) -> None:
        """Its backend is gone, moved or wants nothing new: what rests ends now, the others once back."""
        self.closed = True
        for connection in list(self.connections):
            # What is still connecting would send later than the word to stop.
            if connection.exchange is None or not connection.exchange.begun:
                connection.break_off()


class Pools:
    """All connections to backends, within one budget."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        budget: Budget,
        memory: MemoryPool,
        longest: int,
        connect_within: Time,
        idle_limit: Time,
    ):
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.memory = memory
        self.longest = longest  # the longest body of an answer
        self.connect_within = connect_within
        self.slowest: Time | None = None  # to come up, of late
        # Well before the backend's own limit: what is written to a connection that it has just closed ends
        # as a reset, and nobody knows whether it ran.
        self.rest_for = max(1, idle_limit // 2)
        self.crowded: Callable[[], bool] = bool  # whether places for clients are short; told by the program
        self.pools: dict[str, Pool] = {}
        self.resting: dict[BackendConnection, None] = {}  # the one that has rested longest first

    @property
    def patience(self) -> Time:
        """How long a connection may take to come up: by what others took, as one lost on its way comes much
        later or never, while its work item could be on time elsewhere; the told limit at most."""
        if self.slowest is None:
            return self.connect_within
        return min(self.connect_within, max(QUICK, 8 * self.slowest))

    def connected(self, took: Time | None) -> None:
        """After `took`, or not within the patience, which then grows: the way may have become longer."""
        if took is not None:
            self.slowest = max(took, (self.slowest or 0) * 3 // 4)
        elif self.slowest is not None:
            self.slowest = min(self.connect_within, max(QUICK // 8, self.slowest) * 5 // 4)

    def place(self, backend: str, address: Address) -> None:
        pool = self.pools.get(backend)
        if pool is not None and pool.address == address:
            return
        if pool is not None:
            pool.close()
        self.pools[backend] = Pool(self, address)

    def drop(self, backend: str) -> None:
        pool = self.pools.pop(backend, None)
        if pool is not None:
            pool.close()

    def host(self, backend: str) -> str:
        pool = self.pools.get(backend)
        return "" if pool is None else written(pool.address)

    def carry(self, backend: str, exchange: Exchange) -> bool:
        pool = self.pools.get(backend)
        return pool is not None and pool.carry(exchange)

    def trim(self) -> None:
        """What rests beyond the budget ends: it has become smaller."""
        for connection in list(self.resting)[: max(0, self.budget.held - self.budget.most)]:
            connection.pool.wake(connection)
            connection.break_off()

    def room(self) -> bool:
        """Whether one more may be opened; the one that has rested longest makes room."""
        if self.budget.full and self.resting:
            connection = next(iter(self.resting))
            connection.pool.wake(connection)
            connection.break_off()
            gevent.sleep(0)
        return not self.budget.full
