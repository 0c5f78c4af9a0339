"""The listener for clients: accepts them within its budget, makes room, and lets them go."""

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

# From this part of the places on, each new connection ends one that is silent or has rested longest.
RECLAIM_SHARE = 0.6
# A request that takes longer to come than this gives up its place where places are short.
SLOW_REQUEST_TENTHS = SECOND
# A client that reads nothing of a long answer for so long does, too.
SLOW_READER_TENTHS = 2 * SECOND
# Time enough for a client that has just connected to begin.
NEW_CONNECTION_TENTHS = SECOND // 10

# A drain: after how many seconds each those go that have rested for so many. New clients come for 0.2 s, and
# within 4 s nobody is to be left.
DRAIN_STEPS_S = ((0.5, 1.0), (0.5, 0.8), (0.5, 0.6), (0.5, 0.4), (0.5, 0.2), (0.5, 0.0))
# And from then on those that have said nothing for so long: they came all the same.
DRAINED_IDLE_TENTHS = SECOND // 5

# Until handshakes have settled that were under way when new connections were steered away, in seconds.
HANDSHAKE_SETTLE_S = 0.05


class Listener:
    """Accepts clients within its budget; those that hold no work item make room."""

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
        self.max_body_bytes = max_body_bytes  # body of a request
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.memory = memory
        self.submit = submit
        self.client_left = client_left
        self.answer_overdue = answer_overdue
        self.draining = False
        self.quiesced = False  # drained by an operator: no new clients are wanted
        # Counts drains, so that the end of one does not end the next.
        self.drain_number = 0
        self.connections: dict[ClientConnection, None] = {}
        self.open_uploads = 0  # long requests that are still coming, or whose answer is out
        # Between requests and before the first one, since when; the longest first.
        self.idle: dict[ClientConnection, Time] = {}
        self.unserved: dict[ClientConnection, Time] = {}
        self.reading: dict[ClientConnection, Time] = {}  # within one, since when
        # Within a long answer, since when nothing of it went out.
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
                # Out of descriptors for a moment, or a client that left before it was met.
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
        """Whether one that holds no work item has given up its place: who has been served stays longest, or
        hundreds that say nothing would drive out the usual clients."""
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
        """Of those that say nothing, or else of those served that rest. Clients may hold only so many
        connections, too: with all of them resting for good they could not ask any more, and nobody would
        come to make room for."""
        self._close_first((self.unserved, NEW_CONNECTION_TENTHS), (self.idle, 0))

    def _close_first(self, *groups: tuple[dict[ClientConnection, Time], Time]) -> bool:
        """Whether there was one to be told to leave: in each group the longest one, if for so long."""
        now = self.clock.now()
        for waiting, min_waiting in groups:
            connection, waiting_since = next(iter(waiting.items()), (None, now))
            if connection is not None and now - waiting_since >= min_waiting:
                # It goes at its greenlet's turn only; named again until then, it would be the one place that
                # many newcomers are given.
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
        """Whether somebody sends a request, waits for an answer or is being sent one."""
        return len(self.connections) > len(self.idle) + len(self.unserved)

    def close_idle(self, min_idle: Time = 0) -> None:
        """Ends what is between requests, for so long; a client that wants more comes anew."""
        now = self.clock.now()
        for connection, waiting_since in [*self.idle.items(), *self.unserved.items()]:
            if now - waiting_since >= min_idle:
                connection.request_close()

    def health_answer(self) -> PendingAnswer:
        if self.quiesced:
            return PendingAnswer(status=HTTPStatus.SERVICE_UNAVAILABLE, body=b"draining\n")
        return PendingAnswer(status=HTTPStatus.OK, body=b"ok\n")

    def quiesce(self) -> None:
        """Says no to whoever asks for health and lets clients go: each with its next answer, those that rest
        once no new ones come. Whoever comes all the same is served."""
        self.draining = self.quiesced = True
        self.drain_number += 1
        gevent.spawn(self._drain, self.drain_number)

    def resume(self) -> None:
        self.draining = self.quiesced = False
        self.drain_number += 1

    def _drain(self, drain_number: int) -> None:
        # Those that rest longest first: the next request of a client comes on the one used last.
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
        """A successor listens at this address: new connections go there."""
        self.draining = True
        if not steer_connections(self.sock, successor_index):
            self.counters["connections could not be steered"] += 1
        gevent.sleep(HANDSHAKE_SETTLE_S)
        self.close()

    def close(self) -> None:
        """No new clients: those that wait to be met are met first, since closing resets them."""
        while not self.sock.closed:
            try:
                # As `accept` does, but for the wait.
                descriptor, _ = self.sock._sock._accept()
            except OSError:
                break
            self._start_connection(
                socket.socket(self.sock.family, self.sock.type, self.sock.proto, fileno=descriptor)
            )
        self.sock.close()
