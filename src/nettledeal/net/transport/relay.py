"""Streams long bodies between client and backend through one fixed-size buffer each.

The sending side pulls. Nothing is queued: one side is read only after the previous bytes were sent on the
other.
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

# A relay that makes no progress for so long is ended.
STALL_TIMEOUT_S = 15.0
# The same while client connections are scarce.
CROWDED_STALL_TIMEOUT_S = 4.0
# Time for a client's body: a grace period, plus one second per so many bytes. Only time spent waiting counts.
UPLOAD_GRACE_S, MIN_UPLOAD_BYTES_PER_S = 2.2, 48_000
# The longest that an upload may take; until its last byte has arrived, expiries are extended by this.
MAX_UPLOAD_TENTHS = 3600 * SECOND


class Relay:
    """The rest of a backend's response, pulled by the client's connection."""

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
        self.is_complete = False  # and no stray bytes came after it
        self.keep_alive = keep_alive  # whether the backend keeps the connection open

    @property
    def length(self) -> int | None:
        return self.body.length

    def pull(self) -> list[memoryview | bytes]:
        """Block until more has arrived and return it; empty at the end. Raises if the rest is lost."""
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
                    raise ConnectionResetError("the response ended early")
                break
            pieces = self.body.feed(self.buffer[:count])
            self.is_complete = self.body.is_complete and self.body.consumed_bytes == count
            if pieces:
                return pieces
        return []

    def finish(self, is_complete: bool) -> None:
        """End the relay; only the first call counts."""
        if not self.finished.is_set():
            self.is_complete = self.is_complete and is_complete
            self.finished.set()

    def wait(self, crowded: Callable[[], bool]) -> bool:
        """Wait until the relay has ended, for the backend connection that owns the socket.

        Returns whether the connection may be reused.
        """
        progress, stalled_s = -1, 0.0
        while not self.finished.wait(CROWDED_STALL_TIMEOUT_S):
            stalled_s = stalled_s + CROWDED_STALL_TIMEOUT_S if self.progress == progress else 0.0
            if stalled_s >= (CROWDED_STALL_TIMEOUT_S if crowded() else STALL_TIMEOUT_S):
                self.counters["relays of answers stalled"] += 1
                break
            progress = self.progress
        return self.is_complete and self.keep_alive and self.finished.is_set()


class Upload:
    """The rest of a client's request, pulled by a backend connection."""

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
        self.on_end = on_end  # called when the body is complete or lost
        self.replay_bytes = replay_bytes  # bytes kept so that they can be sent again
        memory.used_bytes += replay_bytes
        self.buffer = memoryview(b"")
        self.started = False
        self.pulling = False
        self.stopped = False
        self.wake_event = Event()
        self.error: MalformedMessage | OSError | None = None
        self.ended_at: Time = 0  # when the last byte arrived
        self.leftover = b""  # bytes after the body
        self.waited_s = 0.0

    def close(self) -> None:
        """Release its memory at once instead of at garbage collection: it is part of a reference cycle."""
        self.stop()
        self.memory.used_bytes -= self.replay_bytes
        self.replay_bytes, self.buffer, self.on_end, self.error = 0, memoryview(b""), bool, None

    @property
    def length(self) -> int | None:
        return self.body.length

    @property
    def is_open(self) -> bool:
        """The body is neither complete nor lost."""
        return not self.body.is_complete and self.error is None

    @property
    def is_abandoned(self) -> bool:
        return self.stopped or self.error is not None

    def start(self) -> bool:
        """Claim the upload; fails for a second connection, as bytes that were pulled are gone."""
        started, self.started = self.started, True
        return not started and not self.stopped

    def pull(self) -> list[memoryview]:
        """Block until more has arrived and return it; empty at the end. Raises if the rest is lost."""
        self.pulling = True
        try:
            while not self.body.is_complete:
                if pieces := self._read_pieces():
                    return pieces
        except (OSError, MalformedMessage) as error:
            if not self.stopped:
                self.error = error
                self.on_end()
            raise ConnectionAbortedError("the upload has ended early") from None
        finally:
            self.pulling = False
        return []

    def _read_pieces(self, wanted: bool = True) -> list[memoryview]:
        if not self.buffer:
            self.buffer = memoryview(relay_buffer(self.memory))
        count = self._receive(wanted)
        if not count:
            raise ConnectionResetError("the client closed the connection within its request")
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
            raise ConnectionAbortedError("the upload was stopped")
        try:
            return self.sock._sock.recv_into(self.buffer)
        except BlockingIOError:
            raise MalformedMessage(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole") from None

    def stop(self) -> None:
        """Stop reading: the rest is no longer needed."""
        self.stopped = True
        self.wake_event.set()

    def discard(self) -> None:
        """Read and drop the rest, as the client may not read the answer before it has sent everything."""
        self.stop()
        while self.pulling:
            gevent.sleep(0.001)
        with suppress(MalformedMessage):
            while self.is_open:
                self._read_pieces(wanted=False)
