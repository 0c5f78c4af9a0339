"""Client connections: reads requests and sends one response to each, in order.

A connection has one request at a time; pipelined requests stay unread. While a request is in progress, the
connection is watched, so that it is cancelled when the client disconnects.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

import gevent
from gevent import get_hub, socket

from nettledeal.dataplane.client_request import MAX_DEADLINE_S, ClientRequest
from nettledeal.dataplane.configuration_in_force import ConfigurationInForce
from nettledeal.dataplane.forwarding import Forwarding
from nettledeal.dataplane.response_heads import agent_response
from nettledeal.dataplane.response_relay import ClientDisconnected
from nettledeal.dataplane.routing_table import RouteTarget, RoutingTable
from nettledeal.net.protocol.framing import MalformedMessage
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.peer_close_watcher import PeerCloseWatcher
from nettledeal.net.transport.sockets import peek_byte, peer_closed, send_all
from nettledeal.operator_api.configuration import ClientLimits

MS_PER_S = 1000.0
# TCP user timeout for unacknowledged data.
UNACKNOWLEDGED_TIMEOUT_S = 10.0
# After rejecting a request that wasn't read completely: time for the client to read the response before the
# connection is reset.
LINGER_S = 0.5
MEMORY_RETRY_S = 0.25
# Time from the start of this process to its first configuration and catalogue if the core machines start
# too: the expected and the maximum. Clients are told to retry at random times between them, not all at once.
EXPECTED_START_S = 2.0
MAX_START_S = 3.2
MIN_STARTING_RETRY_S = 0.8
# A request that arrives before the configuration or the catalogue waits for them, for at most this share of
# its deadline: they may arrive soon, and a refused request has to be told to retry much later.
START_WAIT_SHARE = 0.05
MAX_START_WAIT_S = 0.25
_READABLE = 1
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestLimits:
    """Size and time limits for client requests."""

    def __init__(self, table: RoutingTable):
        # Without a configuration no request is rejected as too large, as a configuration may allow more.
        limits = table.limits or ClientLimits()
        self.header_bytes = limits.max_header_bytes
        self.body_bytes = limits.max_body_bytes
        self.header_timeout_s = limits.header_timeout_ms / MS_PER_S
        self.idle_timeout_s = limits.idle_timeout_ms / MS_PER_S


class ConnectionHost(Protocol):
    """What the connections of one listener share."""

    forwarding: Forwarding
    configuration: ConfigurationInForce
    memory_pool: MemoryPool
    table: RoutingTable
    limits: RequestLimits
    connections: dict[ClientConnection, None]
    draining: bool
    started_at: float
    peer_close_watcher: PeerCloseWatcher

    @property
    def can_serve(self) -> bool:
        """Whether there are a configuration and a catalogue."""

    def wait_until_can_serve(self, timeout_s: float) -> bool:
        """Wait until requests can be served; returns whether they can."""


class ClientConnection:
    """One client connection, served by its own greenlet."""

    def __init__(self, ingress: ConnectionHost, sock: socket.socket):
        self.ingress = ingress
        self.sock = sock
        self.idle = True
        self.closing = False
        self.closed = False
        self.pipelined = False  # whether the current request was queued behind another one
        self._pipelined_unread = False  # whether unread bytes follow the current request
        self.read_buffer = ReadBuffer(
            ingress.memory_pool, ingress.limits.header_bytes + ingress.limits.body_bytes
        )
        self._watcher = None
        self._on_disconnect: Callable[[], None] | None = None
        ingress.connections[self] = None

    def run(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            self._set_socket_options()
            while not self.closing:
                request = self._next_request()
                if request is None:
                    return
                self._serve(request)
        except (ClientDisconnected, OSError):
            pass
        finally:
            self._close()

    def send(self, parts: list[bytes | memoryview]) -> None:
        """Write to the client. Raises ClientDisconnected."""
        try:
            send_all(self.sock, parts)
        except OSError:
            raise ClientDisconnected from None

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once the client closes the connection; nothing else may read meanwhile."""
        self._on_disconnect = on_disconnect
        if self._watcher is None:
            self._watcher = get_hub().loop.io(self.sock.fileno(), _READABLE)
        self._watcher.start(self._readable)

    def unwatch(self) -> None:
        """Stop watching."""
        self._on_disconnect = None
        if self._watcher is not None:
            self._watcher.stop()
            self.ingress.peer_close_watcher.unwatch(self.sock.fileno())

    def close_if_idle(self) -> bool:
        """Close the connection unless it has a request; returns whether it was closed."""
        if not self.idle or self.closed:
            return False
        self._close()
        return True

    def _readable(self) -> None:
        seen = peek_byte(self.sock)
        if seen is None:
            return
        self._watcher.stop()
        if seen:
            # Pipelined requests stay unread; the client may still disconnect behind them.
            self._pipelined_unread = True
            self.ingress.peer_close_watcher.watch(self.sock.fileno(), self._client_disconnected)
        else:
            self._client_disconnected()

    def _client_disconnected(self) -> None:
        if self._on_disconnect is not None:
            self.closing = True
            self._on_disconnect()

    def _next_request(self) -> ClientRequest | None:
        """The next request; None if the connection ends without one."""
        self.pipelined = self.read_buffer.filled > 0 or self._pipelined_unread
        self._pipelined_unread = False
        self.idle = not self.read_buffer.filled
        if self.idle and not self._wait_for_request():
            return None
        self.idle = False
        try:
            return self._read_request(self.ingress.limits)
        except TimeoutError:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        except MalformedMessage as error:
            self._reject(error.status)
        except OutOfMemory:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, MEMORY_RETRY_S)
        return None

    def _read_request(self, limits: RequestLimits) -> ClientRequest | None:
        read_buffer = self.read_buffer
        read_buffer.max_bytes = limits.header_bytes + limits.body_bytes + len(read_buffer.buffer)
        request = ClientRequest(limits.header_bytes, limits.body_bytes)
        request.received_at = time.monotonic()
        self.sock.settimeout(limits.header_timeout_s)
        used = request.read(read_buffer.buffer, read_buffer.filled)
        while used is None:
            if request.expects_continue:
                self._send_continue_once(request)
            if not read_buffer.read(self.sock, request.message.total_bytes, request.message.retained_bytes):
                return None
            used = request.read(read_buffer.buffer, read_buffer.filled)
        request.validate()
        read_buffer.start_next_message(used)
        return request

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request, up to the idle timeout currently in force.

        A new configuration may extend the timeout during the wait.
        """
        began_at = time.monotonic()
        while (left_s := began_at + self.ingress.limits.idle_timeout_s - time.monotonic()) > 0:
            self.sock.settimeout(left_s)
            try:
                self.read_buffer.read(self.sock)
                return self.read_buffer.filled > 0
            except TimeoutError:
                continue
        return False

    def _send_continue_once(self, request: ClientRequest) -> None:
        if not request.continue_sent:
            request.continue_sent = True
            send_all(self.sock, [_CONTINUE])

    def _serve(self, request: ClientRequest) -> None:
        self.sock.settimeout(None)
        self.closing = self.closing or self.ingress.draining or not request.keeps_connection
        waited = self.pipelined or not self.ingress.can_serve
        can_serve = self.ingress.wait_until_can_serve(self._max_start_wait_s(request))
        if waited and peer_closed(self.sock):
            raise ClientDisconnected
        table = self.ingress.table
        if not table.configured:
            self._refuse_until_ready(request)
            return
        target = table.find(request.header(b"host"), request.path)
        route = None if target is None else target.route.name
        self.ingress.configuration.log_request(request.request_id, request.path, route)
        if target is None:
            self.send([agent_response(HTTPStatus.NOT_FOUND, request.request_id, None, self.closing)])
        elif not can_serve:
            self._refuse_until_ready(request)
        elif not self._forward(request, target):
            self.closing = True

    def _max_start_wait_s(self, request: ClientRequest) -> float:
        """How long a request may wait until this process can serve requests."""
        return min(MAX_START_WAIT_S, START_WAIT_SHARE * request.deadline_s(MAX_DEADLINE_S))

    def _forward(self, request: ClientRequest, target: RouteTarget) -> bool:
        """Send the final response; returns whether it is complete. Raises ClientDisconnected."""
        if target.requires_tenant:
            admitted = self._admit(request, target)
            if admitted is None:
                return True
            target = admitted
        return self.ingress.forwarding.serve(request, target, self)

    def _admit(self, request: ClientRequest, target: RouteTarget) -> RouteTarget | None:
        """The route as it applies to the request's tenant; None if the request has been refused."""
        from nettledeal.tenancy.gate import TenantRefusal

        try:
            return self.ingress.forwarding.tenants.admit(request, target)
        except TenantRefusal as refusal:
            retry_after_s = MEMORY_RETRY_S if refusal.status is HTTPStatus.SERVICE_UNAVAILABLE else None
            self.send([agent_response(refusal.status, request.request_id, retry_after_s, self.closing)])
            return None

    def _refuse_until_ready(self, request: ClientRequest) -> None:
        """Respond 503. Many clients retry only once, so Retry-After allows enough time to become ready.

        A client with less time left retries sooner on its own.
        """
        uptime_s = time.monotonic() - self.ingress.started_at
        ready_after_s = self.ingress.forwarding.random.uniform(EXPECTED_START_S, MAX_START_S)
        retry_after_s = max(MIN_STARTING_RETRY_S, ready_after_s - uptime_s)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self.send([agent_response(status, request.request_id, retry_after_s, self.closing)])

    def _reject(self, status: HTTPStatus, retry_after_s: float | None = None) -> None:
        """Respond to an incomplete request and close the connection without resetting it at once."""
        self.closing = True
        with suppress(OSError):
            send_all(self.sock, [agent_response(status, b"", retry_after_s, True)])
            self.sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while self.sock.recv(4096):
                    pass

    def _set_socket_options(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT_S * MS_PER_S)
        )

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.ingress.connections.pop(self, None)
        if self._watcher is not None:
            self.unwatch()
            self._watcher.close()
            self._watcher = None
        self.sock.close()
