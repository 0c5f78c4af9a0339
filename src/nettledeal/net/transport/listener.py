"""Connections of clients: one greenlet each, one request at a time, one answer to each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Time
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.client import Asking, Parcel, answer
from nettledeal.net.protocol.framing import MOST_BODY, Malformed, most_message
from nettledeal.net.transport.budget import OVERFLOW, Budget
from nettledeal.net.transport.buffers import Full, Inbox, Stock
from nettledeal.net.transport.sockets import opened, peek, send_all, smooth, wait_for

# A request that is begun comes whole within this time, an answer is read within it.
SLOW = 10.0
# A connection on which nothing has come for so long is closed.
SILENT = 300.0
# A request that takes longer to come than this gives up its place where places are short.
DAWDLES = SECOND


@dataclass(slots=True, eq=False)
class Slot:
    """Where the answer to one request is put, once; its connection waits for it."""

    ready: Event = field(default_factory=Event)
    status: HTTPStatus | None = None
    body: memoryview | bytes = b""
    lines: bytes = b""
    come_back: Time = 0
    by: Time = 0  # the expiry

    def put(
        self, status: HTTPStatus, body: memoryview | bytes = b"", lines: bytes = b"", come_back: Time = 0
    ) -> None:
        self.status, self.body, self.lines, self.come_back = status, body, lines, come_back
        self.ready.set()


class Guest:
    """One client's connection."""

    def __init__(self, listener: Listener, sock: socket.socket, welcome: bool):
        self.listener = listener
        self.sock = sock
        self.welcome = welcome
        self.inbox = Inbox(listener.stock, most_message(MOST_BODY))
        self.read_at: Time = 0
        self.stirred = Event()
        self.leaving = False

    def leave(self) -> None:
        """Ends the connection between two requests, or within one that is not whole."""
        self.leaving = True
        self.stirred.set()
        # One whose last bytes have just come is as good as whole: it would be lost.
        if self in self.listener.reading and peek(self.sock) is None:
            self.sock.close()

    def run(self) -> None:
        try:
            smooth(self.sock)
            while self._one():
                pass
        except (OSError, gevent.Timeout):
            self.listener.counters["client connections broken"] += 1
        finally:
            self.sock.close()
            self.listener.ended(self)

    def _one(self) -> bool:
        """One request and its answer; whether another may follow."""
        asking = Asking()
        try:
            used = self._read(asking)
            if used is None:
                return False
            if asking.ready_check:
                self._send(asking, Slot(status=HTTPStatus.OK, body=b"ok\n"))
            else:
                self._answer(asking, asking.parcel())
        except Malformed as fault:
            self.listener.counters["requests malformed"] += 1
            # Where it ends is in doubt, so nothing behind it can be read.
            self._refuse(fault)
            return False
        except Full:
            # Nothing was passed on, so that trying again is harmless.
            self.listener.counters["requests beyond the memory"] += 1
            self._refuse(Malformed(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for it just now"))
            return False
        except (OSError, gevent.Timeout):
            raise
        except Exception:
            # Ours, not the client's: it has sent a whole request, and gets a whole answer.
            self.listener.counters.fault("guest")
            self._refuse(Malformed(HTTPStatus.INTERNAL_SERVER_ERROR, "a fault of the agent"))
            return False
        self.inbox.next(used)
        return self._keeps(asking)

    def _keeps(self, asking: Asking) -> bool:
        return asking.keeps and self.welcome and not self.listener.draining

    def _read(self, asking: Asking) -> int | None:
        told = False
        if not self.inbox.filled and not self._stirs():
            return None
        self.listener.reading[self] = self.listener.clock.now()
        try:
            with gevent.Timeout(SLOW, Malformed(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole")):
                while (used := asking.look(self.inbox.buffer, self.inbox.filled)) is None:
                    if asking.expects and not told:
                        told = True
                        send_all(self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
                    if not self.inbox.read(self.sock, asking.whole):
                        return None
                    self.read_at = self.listener.clock.now()
        finally:
            self.listener.reading.pop(self, None)
        return used

    def _stirs(self) -> bool:
        """Waits between requests; whether another one begins."""
        self.listener.idle[self] = None
        # Bytes stir it too: left as it was, the next wait would end at once and pass for silence.
        self.stirred.clear()
        try:
            if not self.leaving:
                wait_for(self.stirred, self.sock, SILENT if self.welcome else SLOW)
        finally:
            self.listener.idle.pop(self, None)
        # What has begun to come is read, whoever wants the place: it would be lost.
        return bool(peek(self.sock))

    def _answer(self, asking: Asking, parcel: Parcel) -> None:
        slot = Slot()
        if self.welcome:
            handle = self.listener.offer(parcel, self.read_at, slot)
            if handle is not None:
                self._await(handle, slot)
        else:
            # Never passed on, so that trying again is harmless.
            self.listener.counters["turned away for want of sockets"] += 1
            slot.put(HTTPStatus.SERVICE_UNAVAILABLE)
        self._send(asking, slot)

    def _await(self, handle: int, slot: Slot) -> None:
        watched = True
        while slot.status is None:
            left = (slot.by - self.listener.clock.now()) / SECOND
            if left <= 0:
                # Should not be: the routing answers in time. Whatever went wrong, the client is answered.
                slot.put(HTTPStatus.GATEWAY_TIMEOUT)
                self.listener.overdue(handle)
                return
            if watched:
                wait_for(slot.ready, self.sock, left)
            else:
                slot.ready.wait(left)
            slot.ready.clear()
            if slot.status is None:
                seen = peek(self.sock)
                if seen:
                    watched = False  # pipelined: it waits its turn
                elif seen is not None:
                    # One that has only ended its sending can still read, and gets the failure as an answer.
                    slot.put(HTTPStatus.BAD_GATEWAY)
                    self.listener.gone(handle)

    def _send(self, asking: Asking, slot: Slot) -> None:
        status = slot.status or HTTPStatus.BAD_GATEWAY
        head = answer(
            status, slot.body, keep=self._keeps(asking), come_back=slot.come_back, lines=slot.lines
        )
        with gevent.Timeout(SLOW):
            send_all(self.sock, [head, slot.body])

    def _refuse(self, fault: Malformed) -> None:
        body = f"{fault}\n".encode("ascii", "replace")
        with gevent.Timeout(SLOW):
            send_all(self.sock, [answer(fault.status, body, keep=False), body])
            # Closing with bytes unread would send a reset, and that could overtake the answer.
            self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(1.0, False):
            while self.sock.recv(4096):
                pass


class Listener:
    """Accepts clients within its budget; the one that has been idle longest makes room."""

    def __init__(
        self, address: Address, clock: Clock, counters: Counters, budget: Budget, stock: Stock,
        offer: Callable[[Parcel, Time, Slot], int | None], gone: Callable[[int], None],
        overdue: Callable[[int], None],
    ):
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.stock = stock
        self.offer = offer
        self.gone = gone
        self.overdue = overdue
        self.draining = False
        self.guests: dict[Guest, None] = {}
        self.idle: dict[Guest, None] = {}  # between requests, the longest first
        self.reading: dict[Guest, Time] = {}  # within one, since when
        self.sock = _bound(address)

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
            guest = Guest(self, sock, welcome=not self.budget.full or self._make_room())
            self.budget.take()
            self.guests[guest] = None
            gevent.spawn(guest.run)

    def ended(self, guest: Guest) -> None:
        del self.guests[guest]
        self.budget.give()

    def _make_room(self) -> bool:
        """Whether one that holds no work item has given up its place."""
        guest = next(iter(self.idle), None)
        if guest is None and self.reading:
            slowest, since = next(iter(self.reading.items()))
            if self.clock.now() - since > DAWDLES:
                guest = slowest
        if guest is None:
            return False
        guest.leave()
        gevent.sleep(0)
        return not self.budget.full

    @property
    def busy(self) -> bool:
        """Whether somebody sends a request, waits for an answer or is being sent one."""
        return len(self.guests) > len(self.idle)

    def close_idle(self) -> None:
        """Ends what is between requests; a client that wants more comes anew."""
        for guest in list(self.idle):
            guest.leave()

    def close(self) -> None:
        self.sock.close()


def _bound(address: Address) -> socket.socket:
    sock = opened(address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(1024)
    except OSError:
        sock.close()
        raise
    return sock
