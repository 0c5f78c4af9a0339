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
from nettledeal.net.protocol.bodies import Body, MalformedMessage
from nettledeal.net.transport.buffers import MemoryPool, relay_buffer
from nettledeal.net.transport.sockets import wait_readable

# A relay in which nothing moves for so long ends, in seconds.
STALL_TIMEOUT_S = 15.0
# The same while places for clients are short.
CROWDED_STALL_TIMEOUT_S = 4.0
# What a client's body may take: a grace, then a second for so many bytes. Only waiting for it counts.
UPLOAD_GRACE_S, MIN_UPLOAD_BYTES_PER_S = 2.2, 48_000
# The longest that a body may be on its way, as an expiry before its last byte has come.
MAX_UPLOAD_TENTHS = 3600 * SECOND


class Relay:
    """What a backend has yet to send of an answer, for the client's connection to pull."""

    def __init__(
        self,
        sock: socket.socket,
        body: Body,
        first_pieces: list[bytes],
        memory: MemoryPool,
        counters: Counters,
        keep_alive: bool,
    ):
        self.sock = sock
        self.body = body
        self.first_pieces = first_pieces
        self.memory = memory
        self.counters = counters
        self.buffer = memoryview(b"")
        self.progress = 0
        self.finished = Event()
        self.is_complete = False  # and nothing has come behind it
        self.keep_alive = keep_alive  # whether the connection may carry another message

    @property
    def length(self) -> int | None:
        return self.body.length

    def pull(self) -> list[memoryview | bytes]:
        """Blocks; what has come, nothing once the body is whole. An error means that it never will be."""
        try:
            return self._pull()
        except MalformedMessage as error:
            self.counters[f"backend answers garbled: {error}"] += 1
            raise ConnectionResetError(str(error)) from None

    def _pull(self) -> list[memoryview | bytes]:
        self.progress += 1
        if self.first_pieces:
            first_pieces, self.first_pieces = self.first_pieces, []
            return first_pieces
        if not self.buffer:
            self.buffer = memoryview(relay_buffer(self.memory))
        while not self.body.is_complete:
            count = self.sock.recv_into(self.buffer)
            self.progress += 1
            if not count:
                if not self.body.finish_at_eof():
                    raise ConnectionResetError("the answer broke off")
                break
            pieces = self.body.feed(self.buffer[:count])
            self.is_complete = self.body.is_complete and self.body.consumed_bytes == count
            if pieces:
                return pieces
        return []

    def finish(self, is_complete: bool) -> None:
        """Nobody pulls any more; who says so first knows."""
        if not self.finished.is_set():
            self.is_complete = self.is_complete and is_complete
            self.finished.set()

    def wait(self, crowded: Callable[[], bool]) -> bool:
        """By the connection that has the backend's socket: until it is back; whether it is of further use."""
        progress, stalled_s = -1, 0.0
        while not self.finished.wait(CROWDED_STALL_TIMEOUT_S):
            stalled_s = stalled_s + CROWDED_STALL_TIMEOUT_S if self.progress == progress else 0.0
            if stalled_s >= (CROWDED_STALL_TIMEOUT_S if crowded() else STALL_TIMEOUT_S):
                self.counters["relays of answers stalled"] += 1
                break
            progress = self.progress
        return self.is_complete and self.keep_alive and self.finished.is_set()


class Upload:
    """What a client has yet to send of a request, for a connection to a backend to pull."""

    def __init__(
        self,
        sock: socket.socket,
        body: Body,
        memory: MemoryPool,
        clock: Clock,
        replay_bytes: int,
        on_end: Callable[[], None],
    ):
        self.sock = sock
        self.body = body
        self.memory = memory
        self.clock = clock
        self.on_end = on_end  # that it is whole, or never will be
        self.replay_bytes = replay_bytes  # the bytes that are there to be sent again
        memory.used_bytes += replay_bytes
        self.buffer = memoryview(b"")
        self.started = False
        self.pulling = False
        self.stopped = False
        self.wake_event = Event()
        self.error: MalformedMessage | OSError | None = None
        self.ended_at: Time = 0  # its last byte
        self.leftover = b""  # what has come behind it
        self.waited_s = 0.0

    def close(self) -> None:
        """Gives back its memory at once: it and whom it tells refer to each other."""
        self.stop()
        self.memory.used_bytes -= self.replay_bytes
        self.replay_bytes, self.buffer, self.on_end, self.error = 0, memoryview(b""), bool, None

    @property
    def length(self) -> int | None:
        return self.body.length

    @property
    def is_open(self) -> bool:
        """More of it is to come, and somebody may want it."""
        return not self.body.is_complete and self.error is None

    @property
    def is_abandoned(self) -> bool:
        return self.stopped or self.error is not None

    def start(self) -> bool:
        """By the one connection that hands it on; not for a second one, as what is pulled is gone."""
        started, self.started = self.started, True
        return not started and not self.stopped

    def pull(self) -> list[memoryview]:
        """Blocks; what has come, nothing once the body is whole. An error means that it never will be."""
        self.pulling = True
        try:
            while not self.body.is_complete:
                if pieces := self._read_pieces():
                    return pieces
        except (OSError, MalformedMessage) as error:
            if not self.stopped:
                self.error = error
                self.on_end()
            raise ConnectionAbortedError("no more of the request comes") from None
        finally:
            self.pulling = False
        return []

    def _read_pieces(self, wanted: bool = True) -> list[memoryview]:
        if not self.buffer:
            self.buffer = memoryview(relay_buffer(self.memory))
        count = self._receive(wanted)
        if not count:
            raise ConnectionResetError("the client ended within its request")
        pieces = self.body.feed(self.buffer[:count])
        if self.body.is_complete:
            self.leftover = bytes(self.buffer[self.body.consumed_bytes : count])
            self.ended_at = self.clock.arrival_time()
            self.on_end()
        return pieces

    def _receive(self, wanted: bool) -> int:
        began_at = self.clock.now()
        left_s = UPLOAD_GRACE_S + self.body.payload_bytes / MIN_UPLOAD_BYTES_PER_S - self.waited_s
        wait_readable(self.wake_event, self.sock, max(0.0, left_s))
        self.wake_event.clear()
        self.waited_s += (self.clock.now() - began_at) / SECOND
        if wanted and self.stopped:
            raise ConnectionAbortedError("nobody wants it any more")
        try:
            return self.sock._sock.recv_into(self.buffer)
        except BlockingIOError:
            raise MalformedMessage(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole") from None

    def stop(self) -> None:
        """Nobody wants more of it."""
        self.stopped = True
        self.wake_event.set()

    def discard(self) -> None:
        """Reads what still comes, for its client may not look for an answer before it has sent all."""
        self.stop()
        while self.pulling:
            gevent.sleep(0.001)
        with suppress(MalformedMessage):
            while self.is_open:
                self._read_pieces(wanted=False)
