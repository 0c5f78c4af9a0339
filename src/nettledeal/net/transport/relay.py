"""Long bodies on their way through: pulled by whoever sends them on, through one window each.

Nothing is queued: no byte is read from one side before the last ones have gone out at the other.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Time
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.bodies import Body, Malformed
from nettledeal.net.transport.buffers import MemoryPool, window
from nettledeal.net.transport.sockets import wait_for

# A relay in which nothing moves for so long ends, in seconds.
STALLED = 15.0
# The same while places for clients are short.
STALLED_SHORT = 4.0
# What a client's body may take: a grace, then a second for so many bytes. Only waiting for it counts.
GRACE, PACE = 2.2, 48_000
# The longest that a body may be on its way, as an expiry before its last byte has come.
SLOWEST = 3600 * SECOND


class Relay:
    """What a backend has yet to send of an answer, for the client's connection to pull."""

    def __init__(
        self,
        sock: socket.socket,
        body: Body,
        first: list[bytes],
        memory: MemoryPool,
        counters: Counters,
        keeps: bool,
    ):
        self.sock = sock
        self.body = body
        self.first = first
        self.memory = memory
        self.counters = counters
        self.buffer = memoryview(b"")
        self.moved = 0
        self.over = Event()
        self.whole = False  # and nothing has come behind it
        self.keeps = keeps  # whether the connection may carry another message

    @property
    def length(self) -> int | None:
        return self.body.length

    def pull(self) -> list[memoryview | bytes]:
        """Blocks; what has come, nothing once the body is whole. An error means that it never will be."""
        try:
            return self._pull()
        except Malformed as fault:
            self.counters[f"backend answers garbled: {fault}"] += 1
            raise ConnectionResetError(str(fault)) from None

    def _pull(self) -> list[memoryview | bytes]:
        self.moved += 1
        if self.first:
            first, self.first = self.first, []
            return first
        if not self.buffer:
            self.buffer = memoryview(window(self.memory))
        while not self.body.done:
            count = self.sock.recv_into(self.buffer)
            self.moved += 1
            if not count:
                if not self.body.end():
                    raise ConnectionResetError("the answer broke off")
                break
            pieces = self.body.feed(self.buffer[:count])
            self.whole = self.body.done and self.body.used == count
            if pieces:
                return pieces
        return []

    def end(self, whole: bool) -> None:
        """Nobody pulls any more; who says so first knows."""
        if not self.over.is_set():
            self.whole = self.whole and whole
            self.over.set()

    def wait(self, crowded: Callable[[], bool]) -> bool:
        """By the connection that has the backend's socket: until it is back; whether it is of further use."""
        moved, rested = -1, 0.0
        while not self.over.wait(STALLED_SHORT):
            rested = rested + STALLED_SHORT if self.moved == moved else 0.0
            if rested >= (STALLED_SHORT if crowded() else STALLED):
                self.counters["relays of answers stalled"] += 1
                break
            moved = self.moved
        return self.whole and self.keeps and self.over.is_set()


class Upload:
    """What a client has yet to send of a request, for a connection to a backend to pull."""

    def __init__(
        self,
        sock: socket.socket,
        body: Body,
        memory: MemoryPool,
        clock: Clock,
        kept: int,
        told: Callable[[], None],
    ):
        self.sock = sock
        self.body = body
        self.memory = memory
        self.clock = clock
        self.told = told  # that it is whole, or never will be
        self.kept = kept  # the bytes that are there to be sent again
        memory.held += kept
        self.buffer = memoryview(b"")
        self.begun = False
        self.pulling = False
        self.stopped = False
        self.stirred = Event()
        self.fault: Malformed | OSError | None = None
        self.ended_at: Time = 0  # its last byte
        self.behind = b""  # what has come behind it
        self.waited = 0.0

    def close(self) -> None:
        """Gives back its memory at once: it and whom it tells refer to each other."""
        self.stop()
        self.memory.held -= self.kept
        self.kept, self.buffer, self.told, self.fault = 0, memoryview(b""), bool, None

    @property
    def length(self) -> int | None:
        return self.body.length

    @property
    def open(self) -> bool:
        """More of it is to come, and somebody may want it."""
        return not self.body.done and self.fault is None

    @property
    def given_up(self) -> bool:
        return self.stopped or self.fault is not None

    def begin(self) -> bool:
        """By the one connection that hands it on; not for a second one, as what is pulled is gone."""
        begun, self.begun = self.begun, True
        return not begun and not self.stopped

    def pull(self) -> list[memoryview]:
        """Blocks; what has come, nothing once the body is whole. An error means that it never will be."""
        self.pulling = True
        try:
            while not self.body.done:
                if pieces := self._piece():
                    return pieces
        except (OSError, Malformed) as fault:
            if not self.stopped:
                self.fault = fault
                self.told()
            raise ConnectionAbortedError("no more of the request comes") from None
        finally:
            self.pulling = False
        return []

    def _piece(self, wanted: bool = True) -> list[memoryview]:
        if not self.buffer:
            self.buffer = memoryview(window(self.memory))
        count = self._receive(wanted)
        if not count:
            raise ConnectionResetError("the client ended within its request")
        pieces = self.body.feed(self.buffer[:count])
        if self.body.done:
            self.behind = bytes(self.buffer[self.body.used : count])
            self.ended_at = self.clock.came()
            self.told()
        return pieces

    def _receive(self, wanted: bool) -> int:
        began = self.clock.now()
        left = GRACE + self.body.size / PACE - self.waited
        wait_for(self.stirred, self.sock, max(0.0, left))
        self.stirred.clear()
        self.waited += (self.clock.now() - began) / SECOND
        if wanted and self.stopped:
            raise ConnectionAbortedError("nobody wants it any more")
        try:
            return self.sock._sock.recv_into(self.buffer)
        except BlockingIOError:
            raise Malformed(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole") from None

    def stop(self) -> None:
        """Nobody wants more of it."""
        self.stopped = True
        self.stirred.set()

    def discard(self) -> None:
        """Reads what still comes, for its client may not look for an answer before it has sent all."""
        self.stop()
        while self.pulling:
            gevent.sleep(0.001)
        with suppress(Malformed):
            while self.open:
                self._piece(wanted=False)
