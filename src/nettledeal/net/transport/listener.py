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
from nettledeal.net.protocol.framing import MOST_BODY
from nettledeal.net.transport.budget import OVERFLOW, Budget
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.client_connection import ClientConnection
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.sockets import bound, steer

# From this part of the places on, each new connection ends one that is silent or has rested longest.
ROOMY = 0.6
# A request that takes longer to come than this gives up its place where places are short.
DAWDLES = SECOND
# A client that reads nothing of a long answer for so long does, too.
SLUGGISH = 2 * SECOND
# Time enough for a client that has just connected to begin.
NEW = SECOND // 10

# A drain: after how many seconds each those go that have rested for so many. New clients come for 0.2 s, and
# within 4 s nobody is to be left.
EMPTYING = ((0.5, 1.0), (0.5, 0.8), (0.5, 0.6), (0.5, 0.4), (0.5, 0.2), (0.5, 0.0))
# And from then on those that have said nothing for so long: they came all the same.
EMPTIED = SECOND // 5

# Until handshakes have settled that were under way when new connections were steered away, in seconds.
SETTLES = 0.05


class Listener:
    """Accepts clients within its budget; those that hold no work item make room."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        counters: Counters,
        budget: Budget,
        memory: MemoryPool,
        offer: Callable[[ClientRequest, Time, PendingAnswer], int | None],
        gone: Callable[[int], None],
        overdue: Callable[[int], None],
        longest: int = MOST_BODY,
    ):
        self.longest = longest  # body of a request
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.memory = memory
        self.offer = offer
        self.gone = gone
        self.overdue = overdue
        self.draining = False
        self.quiet = False  # drained by an operator: no new clients are wanted
        # Counts drains, so that the end of one does not end the next.
        self.drains = 0
        self.connections: dict[ClientConnection, None] = {}
        self.uploads = 0  # long requests that are still coming, or whose answer is out
        # Between requests and before the first one, since when; the longest first.
        self.idle: dict[ClientConnection, Time] = {}
        self.strangers: dict[ClientConnection, Time] = {}
        self.reading: dict[ClientConnection, Time] = {}  # within one, since when
        # Within a long answer, since when nothing of it went out.
        self.relaying: dict[ClientConnection, Time] = {}
        self.sock = bound(address, shared=True)

    def run(self) -> None:
        while True:
            if self.budget.held >= self.budget.most + OVERFLOW and not self._make_room():
                gevent.sleep(0.01)
                continue
            try:
                sock, _ = self.sock.accept()
            except OSError as fault:
                if self.sock.closed:
                    return
                # Out of descriptors for a moment, or a client that left before it was met.
                self.counters[f"accept failed: {fault.strerror}"] += 1
                self._make_room()
                gevent.sleep(0.01)
                continue
            self._welcome(sock)

    def _welcome(self, sock: socket.socket) -> None:
        connection = ClientConnection(self, sock, welcome=not self.budget.full or self._make_room())
        if self.budget.held >= ROOMY * self.budget.most:
            self._end_longest()
        self.budget.take()
        self.connections[connection] = None
        gevent.spawn(connection.run)

    def ended(self, connection: ClientConnection) -> None:
        del self.connections[connection]
        self.budget.give()

    def _make_room(self) -> bool:
        """Whether one that holds no work item has given up its place: who has been served stays longest, or
        hundreds that say nothing would drive out the usual clients."""
        if not self._end_first(
            (self.strangers, NEW), (self.reading, DAWDLES), (self.idle, 0), (self.relaying, SLUGGISH)
        ):
            return False
        gevent.sleep(0)
        return not self.budget.full

    def _end_longest(self) -> None:
        """Of those that say nothing, or else of those served that rest. Clients may hold only so many
        connections, too: with all of them resting for good they could not ask any more, and nobody would
        come to make room for."""
        self._end_first((self.strangers, NEW), (self.idle, 0))

    def _end_first(self, *groups: tuple[dict[ClientConnection, Time], Time]) -> bool:
        """Whether there was one to be told to leave: in each group the longest one, if for so long."""
        now = self.clock.now()
        for waiting, least in groups:
            connection, since = next(iter(waiting.items()), (None, now))
            if connection is not None and now - since >= least:
                # It goes at its greenlet's turn only; named again until then, it would be the one place that
                # many newcomers are given.
                connection.leave()
                waiting.pop(connection, None)
                return True
        return False

    @property
    def takes_upload(self) -> bool:
        return self.uploads <= self.budget.most // 3

    @property
    def crowded(self) -> bool:
        return 2 * self.budget.held > self.budget.most

    @property
    def busy(self) -> bool:
        """Whether somebody sends a request, waits for an answer or is being sent one."""
        return len(self.connections) > len(self.idle) + len(self.strangers)

    def close_idle(self, rested: Time = 0) -> None:
        """Ends what is between requests, for so long; a client that wants more comes anew."""
        now = self.clock.now()
        for connection, since in [*self.idle.items(), *self.strangers.items()]:
            if now - since >= rested:
                connection.leave()

    def health(self) -> PendingAnswer:
        if self.quiet:
            return PendingAnswer(status=HTTPStatus.SERVICE_UNAVAILABLE, body=b"draining\n")
        return PendingAnswer(status=HTTPStatus.OK, body=b"ok\n")

    def quiesce(self) -> None:
        """Says no to whoever asks for health and lets clients go: each with its next answer, those that rest
        once no new ones come. Whoever comes all the same is served."""
        self.draining = self.quiet = True
        self.drains += 1
        gevent.spawn(self._empty, self.drains)

    def resume(self) -> None:
        self.draining = self.quiet = False
        self.drains += 1

    def _empty(self, drain: int) -> None:
        # Those that rest longest first: the next request of a client comes on the one used last.
        for pause, rested in EMPTYING:
            gevent.sleep(pause)
            if drain != self.drains:
                return
            self.close_idle(int(rested * SECOND))
        while True:
            gevent.sleep(0.1)
            if drain != self.drains:
                return
            self.close_idle(EMPTIED)

    def give_way(self, heirs: int) -> None:
        """A successor listens at this address: new connections go there."""
        self.draining = True
        if not steer(self.sock, heirs):
            self.counters["connections could not be steered"] += 1
        gevent.sleep(SETTLES)
        self.close()

    def close(self) -> None:
        """No new clients: those that wait to be met are met first, since closing resets them."""
        while not self.sock.closed:
            try:
                # As `accept` does, but for the wait.
                number, _ = self.sock._sock._accept()
            except OSError:
                break
            self._welcome(socket.socket(self.sock.family, self.sock.type, self.sock.proto, fileno=number))
        self.sock.close()
