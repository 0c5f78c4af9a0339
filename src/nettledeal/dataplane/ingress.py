"""Connections of clients: requests in, one answer to each in their order.

A connection carries one request at a time; what is pipelined behind it waits unread. While its request is on
its way the connection is watched, so that work for a client that has left ends.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus

import gevent
from gevent import get_hub, socket
from gevent.event import Event

from nettledeal.dataplane.client_request import MAX_DEADLINE_S, ClientRequest
from nettledeal.dataplane.forwarding import Forwarding
from nettledeal.dataplane.response_heads import agent_response
from nettledeal.dataplane.response_relay import ClientDisconnected
from nettledeal.dataplane.routing_table import RouteTarget, RoutingTable
from nettledeal.net.protocol.framing import Malformed
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.hang_ups import HangUps
from nettledeal.net.transport.sockets import hung_up, peek, send_all
from nettledeal.operator_api.configuration import ClientLimits

MS_PER_S = 1000.0
# What was sent and is not acknowledged for so long ends the connection.
UNACKNOWLEDGED_TIMEOUT_S = 10.0
# After an answer to what was not read whole, for the client to see it before the connection is reset.
LINGER_S = 0.5
MEMORY_RETRY_S = 0.25
# From the start of this process to its first configuration and catalogue where the core machines start too:
# expected by the first, sure by the second time. Clients come back between them, not all at once.
EXPECTED_START_S = 2.0
MAX_START_S = 3.2
MIN_STARTING_RETRY_S = 0.8
# A request that comes before the configuration or the catalogue waits for them, for this share of its time at
# most: answers may be expected soon, and one that is refused has to be told to come back much later.
START_WAIT_SHARE = 0.05
MAX_START_WAIT_S = 0.25
ACCEPT_PAUSE_S = 0.05
_READABLE = 1
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestLimits:
    """What a client may send, and how long it may take."""

    def __init__(self, table: RoutingTable):
        # Before there is a configuration nobody is told that a request is too large: it may allow more.
        limits = table.limits or ClientLimits()
        self.header_bytes = limits.max_header_bytes
        self.body_bytes = limits.max_body_bytes
        self.header_timeout_s = limits.header_timeout_ms / MS_PER_S
        self.idle_timeout_s = limits.idle_timeout_ms / MS_PER_S


class Ingress:
    """The listener for clients and the connections that it has accepted."""

    def __init__(self, forwarding: Forwarding, memory_pool: MemoryPool, max_connections: int):
        self.forwarding = forwarding
        self.memory_pool = memory_pool
        self.max_connections = max_connections
        self.table = RoutingTable()
        self.limits = RequestLimits(self.table)
        self.connections: dict[ClientConnection, None] = {}
        self.draining = False
        self.has_catalogue = False
        self.started_at = time.monotonic()
        self.last_accepted_at = 0.0
        self.hang_ups = HangUps()
        self._can_serve_event = Event()
        self._listener: socket.socket | None = None
        self._accept_loop: gevent.Greenlet | None = None

    def use_table(self, table: RoutingTable) -> None:
        """Take a new table for all requests from here on."""
        self.table = table
        self.limits = RequestLimits(table)
        self._signal_can_serve()

    def set_catalogue_received(self) -> None:
        """Backends are known from here on."""
        self.has_catalogue = True
        self._signal_can_serve()

    @property
    def can_serve(self) -> bool:
        """Whether there are a configuration and a catalogue, without which nothing can be served."""
        return self.table.configured and self.has_catalogue

    def wait_until_can_serve(self, timeout_s: float) -> bool:
        """Wait until requests can be served; whether they can."""
        return self.can_serve or (self._can_serve_event.wait(timeout_s) and self.can_serve)

    def _signal_can_serve(self) -> None:
        if self.can_serve:
            self._can_serve_event.set()

    def start(self, listener: socket.socket) -> None:
        """Accept connections from a listening socket."""
        self._listener = listener
        self._accept_loop = gevent.spawn(self._accept, listener)

    def stop_accepting(self) -> None:
        """Close the listener; connections go on."""
        if self._accept_loop is not None:
            self._accept_loop.kill()
            self._accept_loop = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def drain(self) -> None:
        """Answers say from here on that their connections close."""
        self.draining = True
        for connection in self.connections:
            connection.closing = connection.closing or not connection.idle

    def close_idle(self) -> None:
        """Close the connections that have no request; nothing of one has been read."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy_connections(self) -> int:
        """Connections with a request that has begun to come or has no answer yet."""
        return sum(not connection.idle for connection in self.connections)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                # Out of descriptors or a connection that went at once; the listener itself stays.
                gevent.sleep(ACCEPT_PAUSE_S)
                continue
            if len(self.connections) >= self.max_connections:
                self._close_one_idle()
            self.last_accepted_at = time.monotonic()
            gevent.spawn(ClientConnection(self, sock).run)

    def _close_one_idle(self) -> None:
        for connection in self.connections:
            if connection.close_if_idle():
                return


class ClientConnection:
    """One connection of a client, and the greenlet that serves it."""

    def __init__(self, ingress: Ingress, sock: socket.socket):
        self.ingress = ingress
        self.sock = sock
        self.idle = True
        self.closing = False
        self.closed = False
        self.pipelined = False  # whether the request under way waited behind another one
        self._pipelined_unread = False  # bytes behind the request under way, unread
        self.read_buffer = ReadBuffer(
            ingress.memory_pool, ingress.limits.header_bytes + ingress.limits.body_bytes
        )
        self._watcher = None
        self._on_disconnect: Callable[[], None] | None = None
        ingress.connections[self] = None

    def run(self) -> None:
        """Serve requests until the connection ends."""
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
        """Write to the client. Raises ClientLeft."""
        try:
            send_all(self.sock, parts)
        except OSError:
            raise ClientDisconnected from None

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `left` once the client closes its connection while nothing else reads from it."""
        self._on_disconnect = on_disconnect
        if self._watcher is None:
            self._watcher = get_hub().loop.io(self.sock.fileno(), _READABLE)
        self._watcher.start(self._readable)

    def unwatch(self) -> None:
        """Stop watching."""
        self._on_disconnect = None
        if self._watcher is not None:
            self._watcher.stop()
            self.ingress.hang_ups.unwatch(self.sock.fileno())

    def close_if_idle(self) -> bool:
        """Close the connection unless it has a request; whether it did."""
        if not self.idle or self.closed:
            return False
        self._close()
        return True

    def _readable(self) -> None:
        seen = peek(self.sock)
        if seen is None:
            return
        self._watcher.stop()
        if seen:
            # More requests wait unread; the client may still leave behind them.
            self._pipelined_unread = True
            self.ingress.hang_ups.watch(self.sock.fileno(), self._client_disconnected)
        else:
            self._client_disconnected()

    def _client_disconnected(self) -> None:
        if self._on_disconnect is not None:
            self.closing = True
            self._on_disconnect()

    def _next_request(self) -> ClientRequest | None:
        """The next request; None where the connection ends without one."""
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
        except Malformed as error:
            self._reject(error.status)
        except OutOfMemory:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, MEMORY_RETRY_S)
        return None

    def _read_request(self, limits: RequestLimits) -> ClientRequest | None:
        read_buffer = self.read_buffer
        read_buffer.most = limits.header_bytes + limits.body_bytes + len(read_buffer.buffer)
        request = ClientRequest(limits.header_bytes, limits.body_bytes)
        request.received_at = time.monotonic()
        self.sock.settimeout(limits.header_timeout_s)
        used = request.read(read_buffer.buffer, read_buffer.filled)
        while used is None:
            if request.expects_continue:
                self._send_continue_once(request)
            if not read_buffer.read(self.sock, request.message.whole, request.message.kept):
                return None
            used = request.read(read_buffer.buffer, read_buffer.filled)
        request.check()
        read_buffer.next(used)
        return request

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request, as long as the limits in force at the time allow.

        A new configuration may let connections rest for longer than the one that the wait began under.
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
        if waited and hung_up(self.sock):
            raise ClientDisconnected
        table = self.ingress.table
        if not table.configured:
            self._refuse_until_ready(request)
            return
        target = table.find(request.header(b"host"), request.path)
        if target is None:
            self.send([agent_response(HTTPStatus.NOT_FOUND, request.request_id, None, self.closing)])
        elif not can_serve:
            self._refuse_until_ready(request)
        elif not self._forward(request, target):
            self.closing = True

    def _max_start_wait_s(self, request: ClientRequest) -> float:
        """How long a request may wait for a process that is about to be able to serve it."""
        return min(MAX_START_WAIT_S, START_WAIT_SHARE * request.deadline_s(MAX_DEADLINE_S))

    def _forward(self, request: ClientRequest, target: RouteTarget) -> bool:
        """Give the request its final answer; whether that answer is complete. Raises ClientLeft."""
        if target.of_tenants:
            admitted = self._admit(request, target)
            if admitted is None:
                return True
            target = admitted
        return self.ingress.forwarding.serve(request, target, self)

    def _admit(self, request: ClientRequest, target: RouteTarget) -> RouteTarget | None:
        """The route as it holds for the request's tenant; None once the request has been refused."""
        from nettledeal.tenancy.gate import TenantRefusal

        try:
            return self.ingress.forwarding.tenants.admit(request, target)
        except TenantRefusal as refusal:
            retry_after_s = MEMORY_RETRY_S if refusal.status is HTTPStatus.SERVICE_UNAVAILABLE else None
            self.send([agent_response(refusal.status, request.request_id, retry_after_s, self.closing)])
            return None

    def _refuse_until_ready(self, request: ClientRequest) -> None:
        """Many clients come back only once, so they are told a time at which this process is surely ready.

        A client that has less time left comes back sooner of itself.
        """
        uptime_s = time.monotonic() - self.ingress.started_at
        ready_after_s = self.ingress.forwarding.random.uniform(EXPECTED_START_S, MAX_START_S)
        retry_after_s = max(MIN_STARTING_RETRY_S, ready_after_s - uptime_s)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self.send([agent_response(status, request.request_id, retry_after_s, self.closing)])

    def _reject(self, status: HTTPStatus, retry_after_s: float | None = None) -> None:
        """Answer what could not be read whole, and end the connection without resetting it at once."""
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
