"""Connection pools: connections are kept alive, limited in number and closed before the backend closes them.

An idle connection that becomes readable, by data or end of file, is never reused: unexpected bytes would be
taken for the response to the next request.
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
from nettledeal.net.transport.sockets import peek_byte, reset_connection

# Connect timeout, adapted to the last connect time of the backend: if the first packet was lost or the
# backend is down, the connection takes much longer or is never established.
FIRST_CONNECT_TIMEOUT_S = 0.4
MIN_CONNECT_TIMEOUT_S = 0.2
CONNECT_TIMEOUT_FACTOR = 6.0
# TCP user timeout for unacknowledged data; unanswered keepalive probes close the connection as well.
UNACKNOWLEDGED_TIMEOUT_S = 3.0
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Share of the backend's idle timeout that is used: it is stated in whole seconds, and counted from earlier.
IDLE_TIMEOUT_SHARE = 0.6
# If the backend states none, its timeout may be below a second.
DEFAULT_IDLE_LIMIT_S = 0.3
MAX_IDLE_LIMIT_S = 10.0
# Share of this agent's part of the connections that a backend accepts from all agents together.
CONNECTIONS_SHARE = 0.8
UNLIMITED_CONNECTIONS = 1 << 16
MAX_RESPONSE_HEAD_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024


class BackendConnection:
    """One connection, for one request at a time; `release` or `close` must follow `acquire`."""

    def __init__(self, pool: BackendPool, sock: socket.socket, memory_pool: MemoryPool):
        self.pool = pool
        self.sock = sock
        self.read_buffer = ReadBuffer(memory_pool, READ_CHUNK_BYTES + MAX_RESPONSE_HEAD_BYTES)
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.idle_since = 0.0
        self.idle_before_request_s: float | None = None  # before the current request; None if it is new
        self.closed = False

    def apply_keep_alive(self, value: bytes) -> None:
        """Apply the idle timeout from the backend's Keep-Alive header, if it states one."""
        for option in value.lower().split(b","):
            name, _, seconds = option.strip().partition(b"=")
            if name.strip() == b"timeout" and seconds.strip().isdigit():
                self.idle_limit_s = min(MAX_IDLE_LIMIT_S, IDLE_TIMEOUT_SHARE * int(seconds))

    def release(self, now: float) -> None:
        """Return the connection to the pool after a complete response with nothing behind it."""
        self.pool.put_back(self, now)

    def close(self) -> None:
        """Close the connection; most backends then cancel the request on it."""
        if not self.closed:
            self.closed = True
            reset_connection(self.sock)
            self.pool.connection_closed()

    def record_break(self, error: Exception, now: float) -> None:
        """The connection broke during a request; a reset after an idle period means it had been dropped."""
        reset = isinstance(error, ConnectionResetError | BrokenPipeError)
        if reset and self.idle_before_request_s is not None and not self.read_buffer.filled:
            self.pool.learned_idle_limit.record_reset(self.idle_before_request_s, now)

    def idle_limit_reached(self, now: float) -> bool:
        """Whether it has been idle for as long as it may be."""
        limit_s = min(self.idle_limit_s, self.pool.learned_idle_limit.value_s(now))
        return now - self.idle_since >= limit_s

    def reusable(self, now: float, max_idle_s: float = MAX_IDLE_LIMIT_S) -> bool:
        """Whether the connection is within its idle limits and nothing has arrived on it."""
        expired = self.idle_limit_reached(now) or now - self.idle_since >= max_idle_s
        return not expired and peek_byte(self.sock) is None


class ConnectionLimit:
    """This agent's connection limit per backend that accepts `accepted` from all agents together."""

    def __init__(self, accepted: int, members: int):
        self.accepted = accepted
        self.set_members(members)

    def set_members(self, members: int) -> None:
        """Set the number of agents that share the accepted connections."""
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
        self.open_count = 0
        self.idle: deque[BackendConnection] = deque()
        self.retired = False

    @property
    def max_open(self) -> int:
        """Maximum number of open connections."""
        return self.limit.max_open

    def has_idle(self, now: float, max_idle_s: float) -> bool:
        """Whether `acquire` would probably find a reusable connection."""
        if not self.idle:
            return False
        last = self.idle[-1]
        return not last.idle_limit_reached(now) and now - last.idle_since < max_idle_s

    def acquire(
        self, now: float, timeout_s: float, max_idle_s: float = MAX_IDLE_LIMIT_S
    ) -> BackendConnection:
        """The last used connection if it has been idle for less than `max_idle_s`, else a new one: a failed
        connect is harmless, as nothing was sent.

        Raises ServingError: UNAVAILABLE if the limit is reached, CONNECTION_LOST if the backend can't be
        reached. Nothing has been sent in either case.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable(now, max_idle_s):
                connection.idle_before_request_s = now - connection.idle_since
                return connection
            connection.close()
        if self.open_count >= self.max_open:
            raise ServingError(ErrorCode.UNAVAILABLE, "connect to backend", "too many", str(self.address))
        self.open_count += 1
        try:
            return BackendConnection(self, self._connect(timeout_s), self.memory_pool)
        except BaseException:
            self.open_count -= 1
            raise

    def try_connect(self, now: float) -> bool:
        """Open a connection and keep it for the next request; returns whether the backend is reachable."""
        if self.open_count >= self.max_open:
            return True
        self.open_count += 1
        try:
            connection = BackendConnection(self, self._connect(FIRST_CONNECT_TIMEOUT_S), self.memory_pool)
        except ServingError:
            self.open_count -= 1
            return False
        except BaseException:
            self.open_count -= 1
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
            reset_connection(sock)
            if isinstance(error, TimeoutError):
                self._set_connect_timeout(2 * self.connect_timeout_s)
            raise ServingError(
                ErrorCode.CONNECTION_LOST, "connect to backend", str(error), str(self.address)
            ) from None
        except BaseException:
            reset_connection(sock)
            raise
        self._set_connect_timeout(CONNECT_TIMEOUT_FACTOR * (time.monotonic() - started_at))
        return sock

    def _set_connect_timeout(self, timeout_s: float) -> None:
        self.connect_timeout_s = min(FIRST_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout_s))

    def put_back(self, connection: BackendConnection, now: float) -> None:
        """Keep a connection for the next request, unless the backend is retired."""
        if self.retired or connection.closed or self.open_count > self.max_open:
            connection.close()
            return
        connection.sock.settimeout(None)
        connection.read_buffer.replace_contents(b"")
        connection.idle_since = now
        self.idle.append(connection)

    def connection_closed(self) -> None:
        """One of the connections was closed."""
        self.open_count -= 1

    def close_idle(self, now: float) -> None:
        """Close connections past their idle limits; the deque is ordered by last use, not by limit."""
        kept = deque()
        for connection in self.idle:
            if connection.idle_limit_reached(now):
                connection.close()
            else:
                kept.append(connection)
        self.idle = kept

    def retire(self) -> None:
        """The backend is draining or removed: close idle connections now, the others after their request."""
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
        """The number of agents that share the connections that backends accept."""
        return self._members

    @members.setter
    def members(self, count: int) -> None:
        self._members = count
        for limit in self._limits.values():
            limit.set_members(count)

    def update(self, addresses: dict[str, Address], accepted: Mapping[str, int]) -> None:
        """Set the usable backends by id, and how many connections each accepts from all agents together."""
        for backend_id in self.pools.keys() - addresses.keys():
            self.remove(backend_id)
        self._limits = {}
        for backend_id, address in addresses.items():
            self.change(backend_id, address, accepted.get(backend_id, 0))

    def change(self, backend_id: str, address: Address, accepted: int) -> None:
        """Add or update one usable backend."""
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
        """Remove a backend that is draining, evacuated or gone from the catalogue."""
        pool = self.pools.pop(backend_id, None)
        if pool is not None:
            pool.retire()

    def pool(self, backend_id: str) -> BackendPool | None:
        """The pool of a backend; None once it is draining or removed."""
        return self.pools.get(backend_id)

    def has_idle(self, backend_id: str, now: float, max_idle_s: float) -> bool:
        """Whether there is a reusable idle connection to the backend."""
        pool = self.pools.get(backend_id)
        return pool is not None and pool.has_idle(now, max_idle_s)

    def close_idle(self, now: float) -> None:
        """Close connections past their idle limits in all pools."""
        for pool in self._idle_pools():
            pool.close_idle(now)

    def close(self) -> None:
        """Close all idle connections; those in use are closed after their requests."""
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
