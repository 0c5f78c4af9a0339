"""Connections to backends: kept alive, bounded, and closed before the backend does so.

A connection that has anything to read while nobody uses it, bytes or an end, is never used again: bytes that
nobody asked for would be taken for the next answer.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterable, Mapping
from contextlib import suppress

from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.idle_limit import LearnedIdleLimit
from nettledeal.net.transport.buffers import MemoryPool, ReadBuffer
from nettledeal.net.transport.sockets import abandon, peek

# How long a connection may take to come up, by what the last one to that backend took: one whose first packet
# was lost or whose backend has gone dark comes much later or never.
FIRST_CONNECT_TIMEOUT_S = 0.4
MIN_CONNECT_TIMEOUT_S = 0.2
CONNECT_TIMEOUT_FACTOR = 6.0
# What is not acknowledged for so long ends the connection; unanswered keep-alive probes do the same.
UNACKNOWLEDGED_TIMEOUT_S = 3.0
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# A backend closes an idle connection at a time that it tells in whole seconds; its word travels.
IDLE_SHARE = 0.6
# Where it tells nothing, its limit may be anything under a second.
DEFAULT_IDLE_LIMIT_S = 0.3
MAX_IDLE_LIMIT_S = 10.0
# Of the connections that a backend accepts from all agents together, what this agent's part is used up to.
CONNECTIONS_SHARE = 0.8
UNLIMITED_CONNECTIONS = 1 << 16
MAX_RESPONSE_HEAD_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024


class BackendConnection:
    """One connection. It carries one request at a time; `release` or `close` must follow `acquire`."""

    def __init__(self, pool: BackendPool, sock: socket.socket, memory_pool: MemoryPool):
        self.pool = pool
        self.sock = sock
        self.read_buffer = ReadBuffer(memory_pool, READ_CHUNK_BYTES + MAX_RESPONSE_HEAD_BYTES)
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.idle_since = 0.0
        self.idle_before_request_s: float | None = (
            None  # before the request that it carries; None on a new connection
        )
        self.closed = False

    def apply_keep_alive(self, value: bytes) -> None:
        """Take the backend's limit for idle connections from its Keep-Alive header, if it gives one."""
        for option in value.lower().split(b","):
            name, _, seconds = option.strip().partition(b"=")
            if name.strip() == b"timeout" and seconds.strip().isdigit():
                self.idle_limit_s = min(MAX_IDLE_LIMIT_S, IDLE_SHARE * int(seconds))

    def release(self, now: float) -> None:
        """The answer was whole and nothing came behind it: the connection may be used again."""
        self.pool.put_back(self, now)

    def close(self) -> None:
        """End the connection; a request that it carries is dropped by most backends."""
        if not self.closed:
            self.closed = True
            abandon(self.sock)
            self.pool.connection_closed()

    def record_break(self, error: Exception, now: float) -> None:
        """The connection broke under a request; one that did so unanswered after a rest was forgotten."""
        reset = isinstance(error, ConnectionResetError | BrokenPipeError)
        if reset and self.idle_before_request_s is not None and not self.read_buffer.filled:
            self.pool.learned_idle_limit.record_reset(self.idle_before_request_s, now)

    def idle_limit_reached(self, now: float) -> bool:
        """Whether it has rested for as long as it may."""
        limit_s = min(self.idle_limit_s, self.pool.learned_idle_limit.value_s(now))
        return now - self.idle_since >= limit_s

    def reusable(self, now: float, most_idle_s: float = MAX_IDLE_LIMIT_S) -> bool:
        """Whether the backend surely still has it open and has sent nothing."""
        idle_limit_reached = self.idle_limit_reached(now) or now - self.idle_since >= most_idle_s
        return not idle_limit_reached and peek(self.sock) is None


class ConnectionLimit:
    """How many connections this agent may have to each backend that accepts `accepted` from all together."""

    def __init__(self, accepted: int, members: int):
        self.accepted = accepted
        self.set_members(members)

    def set_members(self, members: int) -> None:
        """Take the number of agents that share what is accepted."""
        if self.accepted <= 0:
            self.max_open = UNLIMITED_CONNECTIONS
        else:
            self.max_open = max(2, int(CONNECTIONS_SHARE * self.accepted / max(1, members)))


class BackendPool:
    """The connections to one backend."""

    def __init__(
        self,
        address: Address,
        memory_pool: MemoryPool,
        limit: ConnectionLimit,
        learned_idle_limit: LearnedIdleLimit,
    ):
        self.address = address
        self.memory_pool = memory_pool
        self.limit = limit
        self.learned_idle_limit = learned_idle_limit
        self.connect_timeout_s = FIRST_CONNECT_TIMEOUT_S
        self.open = 0
        self.idle: deque[BackendConnection] = deque()
        self.retired = False

    @property
    def max_open(self) -> int:
        """How many connections may be open at once."""
        return self.limit.max_open

    def has_idle(self, now: float, most_idle_s: float) -> bool:
        """Whether `acquire` would probably find a connection that it may use again."""
        if not self.idle:
            return False
        last = self.idle[-1]
        return not last.idle_limit_reached(now) and now - last.idle_since < most_idle_s

    def acquire(
        self, now: float, timeout_s: float, most_idle_s: float = MAX_IDLE_LIMIT_S
    ) -> BackendConnection:
        """The connection used last if it has rested for less than `most_idle_s`, else a new one: one that
        does not come up costs nothing.

        Raises ServingError: UNAVAILABLE where no more may be opened, CONNECTION_LOST where the backend
        cannot be reached. Nothing has been sent in either case.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable(now, most_idle_s):
                connection.idle_before_request_s = now - connection.idle_since
                return connection
            connection.close()
        if self.open >= self.max_open:
            raise ServingError(ErrorCode.UNAVAILABLE, "connect to backend", "too many", str(self.address))
        self.open += 1
        try:
            return BackendConnection(self, self._connect(timeout_s), self.memory_pool)
        except BaseException:
            self.open -= 1
            raise

    def try_connect(self, now: float) -> bool:
        """Whether a new connection comes up; it is kept for the next request."""
        if self.open >= self.max_open:
            return True
        self.open += 1
        try:
            connection = BackendConnection(self, self._connect(FIRST_CONNECT_TIMEOUT_S), self.memory_pool)
        except ServingError:
            self.open -= 1
            return False
        except BaseException:
            self.open -= 1
            raise
        self.put_back(connection, now)
        return True

    def _connect(self, timeout_s: float) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        started_at = time.monotonic()
        try:
            _set_socket_options(sock)
            sock.settimeout(min(timeout_s, self.connect_timeout_s))
            sock.connect(self.address)
            sock.settimeout(None)
        except OSError as error:
            abandon(sock)
            if isinstance(error, TimeoutError):
                self._set_connect_timeout(2 * self.connect_timeout_s)
            raise ServingError(
                ErrorCode.CONNECTION_LOST, "connect to backend", str(error), str(self.address)
            ) from None
        except BaseException:
            abandon(sock)
            raise
        self._set_connect_timeout(CONNECT_TIMEOUT_FACTOR * (time.monotonic() - started_at))
        return sock

    def _set_connect_timeout(self, timeout_s: float) -> None:
        self.connect_timeout_s = min(FIRST_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout_s))

    def put_back(self, connection: BackendConnection, now: float) -> None:
        """Keep a connection for the next request, unless the backend is on its way out."""
        if self.retired or connection.closed or self.open > self.max_open:
            connection.close()
            return
        connection.sock.settimeout(None)
        connection.read_buffer.put(b"")
        connection.idle_since = now
        self.idle.append(connection)

    def connection_closed(self) -> None:
        """One of the connections has closed."""
        self.open -= 1

    def close_idle(self, now: float) -> None:
        """Close what has been idle for its time. The deque is in the order of last use, not of limits."""
        kept = deque()
        for connection in self.idle:
            if connection.idle_limit_reached(now):
                connection.close()
            else:
                kept.append(connection)
        self.idle = kept

    def retire(self) -> None:
        """The backend is draining or gone: idle connections end, the others after their request."""
        self.retired = True
        while self.idle:
            self.idle.pop().close()


class BackendConnections:
    """The pools of all backends in the catalogue."""

    def __init__(self, memory_pool: MemoryPool):
        self.memory_pool = memory_pool
        self.pools: dict[str, BackendPool] = {}
        self.learned_idle_limit = LearnedIdleLimit()
        self._members = 1
        self._limits: dict[int, ConnectionLimit] = {}

    @property
    def members(self) -> int:
        """The agents that share what backends accept."""
        return self._members

    @members.setter
    def members(self, count: int) -> None:
        self._members = count
        for limit in self._limits.values():
            limit.set_members(count)

    def update(self, addresses: dict[str, Address], accepted: Mapping[str, int]) -> None:
        """Take the usable backends by id, with how many connections each accepts from all agents together."""
        for backend_id in self.pools.keys() - addresses.keys():
            self.remove(backend_id)
        self._limits = {}
        for backend_id, address in addresses.items():
            self.change(backend_id, address, accepted.get(backend_id, 0))

    def change(self, backend_id: str, address: Address, accepted: int) -> None:
        """Take one usable backend, which may be known."""
        limit = self._limits.get(accepted)
        if limit is None:
            limit = self._limits[accepted] = ConnectionLimit(accepted, self._members)
        pool = self.pools.get(backend_id)
        if pool is not None and pool.address == address:
            pool.limit = limit
            return
        if pool is not None:
            pool.retire()
        self.pools[backend_id] = BackendPool(address, self.memory_pool, limit, self.learned_idle_limit)

    def remove(self, backend_id: str) -> None:
        """A backend is draining, evacuated or gone."""
        pool = self.pools.pop(backend_id, None)
        if pool is not None:
            pool.retire()

    def pool(self, backend_id: str) -> BackendPool | None:
        """The pool of a backend, None once it is draining or gone."""
        return self.pools.get(backend_id)

    def has_idle(self, backend_id: str, now: float, most_idle_s: float) -> bool:
        """Whether a connection to the backend rests that may be used again."""
        pool = self.pools.get(backend_id)
        return pool is not None and pool.has_idle(now, most_idle_s)

    def close_idle(self, now: float) -> None:
        """Close what has been idle for its time, everywhere."""
        for pool in self._idle_pools():
            pool.close_idle(now)

    def close(self) -> None:
        """Close all idle connections; those in use end with their requests."""
        for pool in self.pools.values():
            pool.retire()

    def _idle_pools(self) -> Iterable[BackendPool]:
        return [pool for pool in self.pools.values() if pool.idle]


def _set_socket_options(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT_S * 1000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
