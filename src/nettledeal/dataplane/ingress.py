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

from nettledeal.dataplane.answer_relay import ClientLeft
from nettledeal.dataplane.answers import own_answer
from nettledeal.dataplane.client_request import LONGEST_DEADLINE_S, ClientRequest
from nettledeal.dataplane.forwarding import Forwarding
from nettledeal.dataplane.routing_table import RouteTarget, RoutingTable
from nettledeal.net.protocol.framing import MalformedMessage
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.peer_close_watcher import PeerCloseWatcher
from nettledeal.net.transport.sockets import peek_byte, peer_closed, send_all
from nettledeal.operator_api.configuration import ClientLimits

MILLISECONDS = 1000.0
# What was sent and is not acknowledged for so long ends the connection.
SILENCE_S = 10.0
# After an answer to what was not read whole, for the client to see it before the connection is reset.
LINGER_S = 0.5
MEMORY_RETRY_S = 0.25
# From the start of this process to its first configuration and catalogue where the core machines start too:
# expected by the first, sure by the second time. Clients come back between them, not all at once.
EXPECTED_START_S = 2.0
SURE_START_S = 3.2
LEAST_STARTING_RETRY_S = 0.8
# A request that comes before the configuration or the catalogue waits for them, for this share of its time at
# most: answers may be expected soon, and one that is refused has to be told to come back much later.
START_WAIT_SHARE = 0.05
MOST_START_WAIT_S = 0.25
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
        self.header_timeout_s = limits.header_timeout_ms / MILLISECONDS
        self.idle_timeout_s = limits.idle_timeout_ms / MILLISECONDS


class Ingress:
    """The listener for clients and the connections that it has accepted."""

    def __init__(self, forwarding: Forwarding, stock: MemoryPool, max_connections: int):
        self.forwarding = forwarding
        self.stock = stock
        self.max_connections = max_connections
        self.table = RoutingTable()
        self.limits = RequestLimits(self.table)
        self.connections: dict[ClientConnection, None] = {}
        self.draining = False
        self.has_catalogue = False
        self.started_at = time.monotonic()
        self.last_arrival_at = 0.0
        self.hang_ups = PeerCloseWatcher()
        self._became_able = Event()
        self._listener: socket.socket | None = None
        self._accepting: gevent.Greenlet | None = None

    def use_table(self, table: RoutingTable) -> None:
        """Take a new table for all requests from here on."""
        self.table = table
        self.limits = RequestLimits(table)
        self._note_able()

    def take_catalogue(self) -> None:
        """Backends are known from here on."""
        self.has_catalogue = True
        self._note_able()

    @property
    def able(self) -> bool:
        """Whether there are a configuration and a catalogue, without which nothing can be served."""
        return self.table.configured and self.has_catalogue

    def await_able(self, timeout_s: float) -> bool:
        """Wait until requests can be served; whether they can."""
        return self.able or (self._became_able.wait(timeout_s) and self.able)

    def _note_able(self) -> None:
        if self.able:
            self._became_able.set()

    def start(self, listener: socket.socket) -> None:
        """Accept connections from a listening socket."""
        self._listener = listener
        self._accepting = gevent.spawn(self._accept, listener)

    def stop_accepting(self) -> None:
        """Close the listener; connections go on."""
        if self._accepting is not None:
            self._accepting.kill()
            self._accepting = None
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
    def busy(self) -> int:
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
                self._make_room()
            self.last_arrival_at = time.monotonic()
            gevent.spawn(ClientConnection(self, sock).run)

    def _make_room(self) -> None:
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
        self.ended = False
        self.pipelined = False  # whether the request under way waited behind another one
        self._more_waits = False  # bytes behind the request under way, unread
        self.inbox = ReadBuffer(ingress.stock, ingress.limits.header_bytes + ingress.limits.body_bytes)
        self._watcher = None
        self._left: Callable[[], None] | None = None
        ingress.connections[self] = None

    def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            self._tune()
            while not self.closing:
                request = self._receive()
                if request is None:
                    return
                self._serve(request)
        except (ClientLeft, OSError):
            pass
        finally:
            self._end()

    def send(self, parts: list[bytes | memoryview]) -> None:
        """Write to the client. Raises ClientLeft."""
        try:
            send_all(self.sock, parts)
        except OSError:
            raise ClientLeft from None

    def watch(self, left: Callable[[], None]) -> None:
        """Call `left` once the client closes its connection while nothing else reads from it."""
        self._left = left
        if self._watcher is None:
            self._watcher = get_hub().loop.io(self.sock.fileno(), _READABLE)
        self._watcher.start(self._readable)

    def unwatch(self) -> None:
        """Stop watching."""
        self._left = None
        if self._watcher is not None:
            self._watcher.stop()
            self.ingress.hang_ups.unwatch(self.sock.fileno())

    def close_if_idle(self) -> bool:
        """Close the connection unless it has a request; whether it did."""
        if not self.idle or self.ended:
            return False
        self._end()
        return True

    def _readable(self) -> None:
        seen = peek_byte(self.sock)
        if seen is None:
            return
        self._watcher.stop()
        if seen:
            # More requests wait unread; the client may still leave behind them.
            self._more_waits = True
            self.ingress.hang_ups.watch(self.sock.fileno(), self._gone)
        else:
            self._gone()

    def _gone(self) -> None:
        if self._left is not None:
            self.closing = True
            self._left()

    def _receive(self) -> ClientRequest | None:
        """The next request; None where the connection ends without one."""
        self.pipelined = self.inbox.filled > 0 or self._more_waits
        self._more_waits = False
        self.idle = not self.inbox.filled
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
        inbox = self.inbox
        inbox.max_bytes = limits.header_bytes + limits.body_bytes + len(inbox.buffer)
        request = ClientRequest(limits.header_bytes, limits.body_bytes)
        request.received_at = time.monotonic()
        self.sock.settimeout(limits.header_timeout_s)
        used = request.read(inbox.buffer, inbox.filled)
        while used is None:
            if request.expects_continue:
                self._continue_once(request)
            if not inbox.read(self.sock, request.message.total_bytes, request.message.retained_bytes):
                return None
            used = request.read(inbox.buffer, inbox.filled)
        request.check()
        inbox.start_next_message(used)
        return request

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request, as long as the limits in force at the time allow.

        A new configuration may let connections rest for longer than the one that the wait began under.
        """
        began_at = time.monotonic()
        while (left_s := began_at + self.ingress.limits.idle_timeout_s - time.monotonic()) > 0:
            self.sock.settimeout(left_s)
            try:
                self.inbox.read(self.sock)
                return self.inbox.filled > 0
            except TimeoutError:
                continue
        return False

    def _continue_once(self, request: ClientRequest) -> None:
        if not request.continued:
            request.continued = True
            send_all(self.sock, [_CONTINUE])

    def _serve(self, request: ClientRequest) -> None:
        self.sock.settimeout(None)
        self.closing = self.closing or self.ingress.draining or not request.keeps_connection
        waited = self.pipelined or not self.ingress.able
        able = self.ingress.await_able(self._patience_s(request))
        if waited and peer_closed(self.sock):
            raise ClientLeft
        table = self.ingress.table
        if not table.configured:
            self._refuse_until_ready(request)
            return
        target = table.find(request.header(b"host"), request.path)
        if target is None:
            self.send([own_answer(HTTPStatus.NOT_FOUND, request.request_id, None, self.closing)])
        elif not able:
            self._refuse_until_ready(request)
        elif not self._forward(request, target):
            self.closing = True

    def _patience_s(self, request: ClientRequest) -> float:
        """How long a request may wait for a process that is about to be able to serve it."""
        return min(MOST_START_WAIT_S, START_WAIT_SHARE * request.deadline_s(LONGEST_DEADLINE_S))

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
            self.send([own_answer(refusal.status, request.request_id, retry_after_s, self.closing)])
            return None

    def _refuse_until_ready(self, request: ClientRequest) -> None:
        """Many clients come back only once, so they are told a time at which this process is surely ready.

        A client that has less time left comes back sooner of itself.
        """
        uptime_s = time.monotonic() - self.ingress.started_at
        ready_after_s = self.ingress.forwarding.random.uniform(EXPECTED_START_S, SURE_START_S)
        retry_after_s = max(LEAST_STARTING_RETRY_S, ready_after_s - uptime_s)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self.send([own_answer(status, request.request_id, retry_after_s, self.closing)])

    def _reject(self, status: HTTPStatus, retry_after_s: float | None = None) -> None:
        """Answer what could not be read whole, and end the connection without resetting it at once."""
        self.closing = True
        with suppress(OSError):
            send_all(self.sock, [own_answer(status, b"", retry_after_s, True)])
            self.sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while self.sock.recv(4096):
                    pass

    def _tune(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENCE_S * MILLISECONDS))

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.ingress.connections.pop(self, None)
        if self._watcher is not None:
            self.unwatch()
            self._watcher.close()
            self._watcher = None
        self.sock.close()
