"""The listener for clients: accepts connections within a budget, evicts idle ones and drains."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import gevent
from gevent import socket

from nettledeal.model import Time
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.protocol.framing import MAX_BUFFERED_BODY_BYTES
from nettledeal.net.transport.budget import MAX_OVERFLOW_CLIENTS, ConnectionBudget
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.client_connection import ClientConnection
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.sockets import listening_socket, steer_connections

# Above this share of the budget, each new connection closes the oldest silent or longest idle one.
RECLAIM_SHARE = 0.6
# A request that takes longer than this to arrive may be evicted when the budget is used up.
SLOW_REQUEST_TENTHS = SECOND
# So may a client that reads nothing of a long answer for this long.
SLOW_READER_TENTHS = 2 * SECOND
# A client that has just connected is not evicted within this time.
NEW_CONNECTION_TENTHS = SECOND // 10

# Steps of a drain: after a pause, close connections that have been idle for at least the second value. New
# clients may connect for another 0.2 s, and within 4 s none must be left.
DRAIN_STEPS_S = ((0.5, 1.0), (0.5, 0.8), (0.5, 0.6), (0.5, 0.4), (0.5, 0.2), (0.5, 0.0))
# After these steps, close connections that were opened all the same and are idle for this long.
DRAINED_IDLE_TENTHS = SECOND // 5

# How long handshakes may take that were under way when new connections were steered to the successor.
HANDSHAKE_SETTLE_S = 0.05


class Listener:
    """Accepts clients within its budget; connections without an open work item may be evicted."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        counters: Counters,
        budget: ConnectionBudget,
        memory: MemoryPool,
        submit: Callable[[ClientRequest, Time, PendingAnswer], int | None],
        client_left: Callable[[int], None],
        answer_overdue: Callable[[int], None],
        max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
    ):
        self.max_body_bytes = max_body_bytes  # of a request
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.memory = memory
        self.submit = submit
        self.client_left = client_left
        self.answer_overdue = answer_overdue
        self.draining = False
        self.quiesced = False  # drained by an operator: reports not ready
        # Identifies the current drain, so that an old drain greenlet ends when a drain is resumed or
        # restarted.
        self.drain_number = 0
        self.connections: dict[ClientConnection, None] = {}
        self.open_uploads = 0  # long requests that are arriving or being answered
        # Waiting between requests, or before the first one, and since when; oldest first.
        self.idle: dict[ClientConnection, Time] = {}
        self.unserved: dict[ClientConnection, Time] = {}
        self.reading: dict[ClientConnection, Time] = {}  # a request, since when
        # Streaming a long answer, and since when no part of it was sent.
        self.relaying: dict[ClientConnection, Time] = {}
        self.sock = listening_socket(address, shared=True)

    def run(self) -> None:
        while True:
            if self.budget.in_use >= self.budget.limit + MAX_OVERFLOW_CLIENTS and not self._make_room():
                gevent.sleep(0.01)
                continue
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if self.sock.closed:
                    return
                # Out of descriptors for a moment, or the client left before it was accepted.
                self.counters[f"accept failed: {error.strerror}"] += 1
                self._make_room()
                gevent.sleep(0.01)
                continue
            self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> None:
        connection = ClientConnection(self, sock, admitted=not self.budget.is_full or self._make_room())
        if self.budget.in_use >= RECLAIM_SHARE * self.budget.limit:
            self._close_longest_idle()
        self.budget.acquire()
        self.connections[connection] = None
        gevent.spawn(connection.run)

    def connection_closed(self, connection: ClientConnection) -> None:
        del self.connections[connection]
        self.budget.release()

    def _make_room(self) -> bool:
        """Evict a connection that holds no open work item. Returns whether there is room now.

        Connections that have been served are evicted late, or hundreds of silent ones would drive out the
        usual clients.
        """
        if not self._close_first(
            (self.unserved, NEW_CONNECTION_TENTHS),
            (self.reading, SLOW_REQUEST_TENTHS),
            (self.idle, 0),
            (self.relaying, SLOW_READER_TENTHS),
        ):
            return False
        gevent.sleep(0)
        return not self.budget.is_full

    def _close_longest_idle(self) -> None:
        """Close the oldest connection that has sent nothing, or else the longest idle one that was served.

        Clients have connection limits as well: if all their connections stayed idle for good, they couldn't
        send requests any more, and no new connection would trigger an eviction.
        """
        self._close_first((self.unserved, NEW_CONNECTION_TENTHS), (self.idle, 0))

    def _close_first(self, *groups: tuple[dict[ClientConnection, Time], Time]) -> bool:
        """Close the oldest connection of the first group where it has waited long enough, if any."""
        now = self.clock.now()
        for waiting, min_waiting in groups:
            connection, waiting_since = next(iter(waiting.items()), (None, now))
            if connection is not None and now - waiting_since >= min_waiting:
                # It closes only at its greenlet's turn. If it stayed listed until then, several new
                # connections would count on this one place.
                connection.request_close()
                waiting.pop(connection, None)
                return True
        return False

    @property
    def accepts_upload(self) -> bool:
        return self.open_uploads <= self.budget.limit // 3

    @property
    def crowded(self) -> bool:
        return 2 * self.budget.in_use > self.budget.limit

    @property
    def busy(self) -> bool:
        """Whether any client is sending a request, waiting for an answer or receiving one."""
        return len(self.connections) > len(self.idle) + len(self.unserved)

    def close_idle(self, min_idle: Time = 0) -> None:
        """Close connections that have been between requests for `min_idle`; clients can reconnect."""
        now = self.clock.now()
        for connection, waiting_since in [*self.idle.items(), *self.unserved.items()]:
            if now - waiting_since >= min_idle:
                connection.request_close()

    def health_answer(self) -> PendingAnswer:
        if self.quiesced:
            return PendingAnswer(status=HTTPStatus.SERVICE_UNAVAILABLE, body=b"draining\n")
        return PendingAnswer(status=HTTPStatus.OK, body=b"ok\n")

    def quiesce(self) -> None:
        """Drain: report not ready, and close connections after their next answer or, step by step, when idle.

        Clients that connect all the same are served.
        """
        self.draining = self.quiesced = True
        self.drain_number += 1
        gevent.spawn(self._drain, self.drain_number)

    def resume(self) -> None:
        self.draining = self.quiesced = False
        self.drain_number += 1

    def _drain(self, drain_number: int) -> None:
        # Longest idle first: a client sends its next request on the connection that it used last.
        for pause, min_idle in DRAIN_STEPS_S:
            gevent.sleep(pause)
            if drain_number != self.drain_number:
                return
            self.close_idle(int(min_idle * SECOND))
        while True:
            gevent.sleep(0.1)
            if drain_number != self.drain_number:
                return
            self.close_idle(DRAINED_IDLE_TENTHS)

    def hand_over(self, successor_index: int) -> None:
        """Let a successor that listens at the same address take all new connections."""
        self.draining = True
        if not steer_connections(self.sock, successor_index):
            self.counters["connections could not be steered"] += 1
        gevent.sleep(HANDSHAKE_SETTLE_S)
        self.close()

    def close(self) -> None:
        """Stop listening. Accepts what is in the accept queue first, since closing would reset it."""
        while not self.sock.closed:
            try:
                # As `accept` does, but without waiting.
                descriptor, _ = self.sock._sock._accept()
            except OSError:
                break
            self._start_connection(
                socket.socket(self.sock.family, self.sock.type, self.sock.proto, fileno=descriptor)
            )
        self.sock.close()
