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
from nettledeal.net.transport.sockets import peek_byte, reset_connection

# How long a connection may take to come up, by what the last one to that backend took: one whose first packet
# was lost or whose backend has gone dark comes much later or never.
FIRST_CONNECT_TIMEOUT_S = 0.4
LEAST_CONNECT_TIMEOUT_S = 0.2
CONNECT_TIMEOUT_FACTOR = 6.0
# What is not acknowledged for so long ends the connection; unanswered keep-alive probes do the same.
SILENCE_S = 3.0
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# A backend closes an idle connection at a time that it tells in whole seconds; its word travels.
IDLE_SHARE = 0.6
# Where it tells nothing, its limit may be anything under a second.
UNTOLD_IDLE_S = 0.3
MOST_IDLE_S = 10.0
# Of the connections that a backend accepts from all agents together, what this agent's part is used up to.
CONNECTIONS_SHARE = 0.8
UNLIMITED_CONNECTIONS = 1 << 16
MAX_ANSWER_HEAD_BYTES = 16 * 1024
READ_AT_ONCE_BYTES = 16 * 1024


class BackendConnection:
    """One connection. It carries one request at a time; `release` or `close` must follow `acquire`."""

    def __init__(self, pool: BackendPool, sock: socket.socket, stock: MemoryPool):
        self.pool = pool
        self.sock = sock
        self.inbox = ReadBuffer(stock, READ_AT_ONCE_BYTES + MAX_ANSWER_HEAD_BYTES)
        self.idle_limit_s = UNTOLD_IDLE_S
        self.idle_since = 0.0
        self.rested_s: float | None = None  # before the request that it carries; None on a new connection
        self.closed = False

    def heed_keep_alive(self, value: bytes) -> None:
        """Take the backend's limit for idle connections from its Keep-Alive header, if it gives one."""
        for option in value.lower().split(b","):
            name, _, seconds = option.strip().partition(b"=")
            if name.strip() == b"timeout" and seconds.strip().isdigit():
                self.idle_limit_s = min(MOST_IDLE_S, IDLE_SHARE * int(seconds))

    def release(self, now: float) -> None:
        """The answer was whole and nothing came behind it: the connection may be used again."""
        self.pool.put_back(self, now)

    def close(self) -> None:
        """End the connection; a request that it carries is dropped by most backends."""
        if not self.closed:
            self.closed = True
            reset_connection(self.sock)
            self.pool.ended()

    def broke(self, error: Exception, now: float) -> None:
        """The connection broke under a request; one that did so unanswered after a rest was forgotten."""
        reset = isinstance(error, ConnectionResetError | BrokenPipeError)
        if reset and self.rested_s is not None and not self.inbox.filled:
            self.pool.learned_idle.forgotten(self.rested_s, now)

    def rested(self, now: float) -> bool:
        """Whether it has rested for as long as it may."""
        limit_s = min(self.idle_limit_s, self.pool.learned_idle.value_s(now))
        return now - self.idle_since >= limit_s

    def reusable(self, now: float, most_idle_s: float = MOST_IDLE_S) -> bool:
        """Whether the backend surely still has it open and has sent nothing."""
        rested = self.rested(now) or now - self.idle_since >= most_idle_s
        return not rested and peek_byte(self.sock) is None


class ConnectionsPart:
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
        self, address: Address, stock: MemoryPool, part: ConnectionsPart, learned_idle: LearnedIdleLimit
    ):
        self.address = address
        self.stock = stock
        self.part = part
        self.learned_idle = learned_idle
        self.connect_timeout_s = FIRST_CONNECT_TIMEOUT_S
        self.open = 0
        self.idle: deque[BackendConnection] = deque()
        self.retired = False

    @property
    def max_open(self) -> int:
        """How many connections may be open at once."""
        return self.part.max_open

    def rests(self, now: float, most_idle_s: float) -> bool:
        """Whether `acquire` would probably find a connection that it may use again."""
        if not self.idle:
            return False
        last = self.idle[-1]
        return not last.rested(now) and now - last.idle_since < most_idle_s

    def acquire(self, now: float, timeout_s: float, most_idle_s: float = MOST_IDLE_S) -> BackendConnection:
        """The connection used last if it has rested for less than `most_idle_s`, else a new one: one that
        does not come up costs nothing.

        Raises ServingError: UNAVAILABLE where no more may be opened, CONNECTION_LOST where the backend
        cannot be reached. Nothing has been sent in either case.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable(now, most_idle_s):
                connection.rested_s = now - connection.idle_since
                return connection
            connection.close()
        if self.open >= self.max_open:
            raise ServingError(ErrorCode.UNAVAILABLE, "connect to backend", "too many", str(self.address))
        self.open += 1
        try:
            return BackendConnection(self, self._connect(timeout_s), self.stock)
        except BaseException:
            self.open -= 1
            raise

    def try_connect(self, now: float) -> bool:
        """Whether a new connection comes up; it is kept for the next request."""
        if self.open >= self.max_open:
            return True
        self.open += 1
        try:
            connection = BackendConnection(self, self._connect(FIRST_CONNECT_TIMEOUT_S), self.stock)
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
        began_at = time.monotonic()
        try:
            _tune(sock)
            sock.settimeout(min(timeout_s, self.connect_timeout_s))
            sock.connect(self.address)
            sock.settimeout(None)
        except OSError as error:
            reset_connection(sock)
            if isinstance(error, TimeoutError):
                self._expect_connect(2 * self.connect_timeout_s)
            raise ServingError(
                ErrorCode.CONNECTION_LOST, "connect to backend", str(error), str(self.address)
            ) from None
        except BaseException:
            reset_connection(sock)
            raise
        self._expect_connect(CONNECT_TIMEOUT_FACTOR * (time.monotonic() - began_at))
        return sock

    def _expect_connect(self, timeout_s: float) -> None:
        self.connect_timeout_s = min(FIRST_CONNECT_TIMEOUT_S, max(LEAST_CONNECT_TIMEOUT_S, timeout_s))

    def put_back(self, connection: BackendConnection, now: float) -> None:
        """Keep a connection for the next request, unless the backend is on its way out."""
        if self.retired or connection.closed or self.open > self.max_open:
            connection.close()
            return
        connection.sock.settimeout(None)
        connection.inbox.replace_contents(b"")
        connection.idle_since = now
        self.idle.append(connection)

    def ended(self) -> None:
        """One of the connections has closed."""
        self.open -= 1

    def close_idle(self, now: float) -> None:
        """Close what has been idle for its time. The deque is in the order of last use, not of limits."""
        kept = deque()
        for connection in self.idle:
            if connection.rested(now):
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

    def __init__(self, stock: MemoryPool):
        self.stock = stock
        self.pools: dict[str, BackendPool] = {}
        self.learned_idle = LearnedIdleLimit()
        self._members = 1
        self._parts: dict[int, ConnectionsPart] = {}

    @property
    def members(self) -> int:
        """The agents that share what backends accept."""
        return self._members

    @members.setter
    def members(self, count: int) -> None:
        self._members = count
        for part in self._parts.values():
            part.set_members(count)

    def update(self, addresses: dict[str, Address], accepted: Mapping[str, int]) -> None:
        """Take the usable backends by id, with how many connections each accepts from all agents together."""
        for backend_id in self.pools.keys() - addresses.keys():
            self.remove(backend_id)
        self._parts = {}
        for backend_id, address in addresses.items():
            self.change(backend_id, address, accepted.get(backend_id, 0))

    def change(self, backend_id: str, address: Address, accepted: int) -> None:
        """Take one usable backend, which may be known."""
        part = self._parts.get(accepted)
        if part is None:
            part = self._parts[accepted] = ConnectionsPart(accepted, self._members)
        pool = self.pools.get(backend_id)
        if pool is not None and pool.address == address:
            pool.part = part
            return
        if pool is not None:
            pool.retire()
        self.pools[backend_id] = BackendPool(address, self.stock, part, self.learned_idle)

    def remove(self, backend_id: str) -> None:
        """A backend is draining, evacuated or gone."""
        pool = self.pools.pop(backend_id, None)
        if pool is not None:
            pool.retire()

    def pool(self, backend_id: str) -> BackendPool | None:
        """The pool of a backend, None once it is draining or gone."""
        return self.pools.get(backend_id)

    def rests(self, backend_id: str, now: float, most_idle_s: float) -> bool:
        """Whether a connection to the backend rests that may be used again."""
        pool = self.pools.get(backend_id)
        return pool is not None and pool.rests(now, most_idle_s)

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


def _tune(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENCE_S * 1000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
