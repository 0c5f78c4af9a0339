"""A client's connection: one request at a time, one answer to each."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Time
from nettledeal.net.clock import SECOND
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.bodies import MalformedMessage
from nettledeal.net.protocol.client import ClientRequest, RequestReader
from nettledeal.net.protocol.framing import MAX_BUFFERED_BYTES
from nettledeal.net.transport.answer_writer import AnsweringListener, AnswerWriter
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.relay import MAX_UPLOAD_TENTHS, MIN_UPLOAD_BYTES_PER_S, UPLOAD_GRACE_S, Upload
from nettledeal.net.transport.sockets import disable_nagle, peek_byte, peer_closed, send_all, wait_readable

# A head must be complete within this time after the accept or, on a reused connection, after its first byte;
# else the client gets an error and its connection is closed. Counting from the last byte would let a client
# hold the connection with a trickle. For the body, the minimum rate of uploads applies.
HEAD_TIMEOUT_S = 2.6
# How long a connection that has been served may be idle; the shorter time while half of the places are taken.
IDLE_TIMEOUT_S, CROWDED_IDLE_TIMEOUT_S = 60.0, 2.0
# How often to check for a disconnect behind unread bytes: no attempt may start later than 0.1 s after it.
DISCONNECT_POLL_S = 0.04


class ClientConnectionOwner(AnsweringListener, Protocol):
    """The listener that accepted a connection, with what its connections share."""

    counters: Counters
    memory: MemoryPool
    max_body_bytes: int
    draining: bool
    open_uploads: int  # long requests that are arriving or being answered
    idle: dict[ClientConnection, Time]
    unserved: dict[ClientConnection, Time]
    reading: dict[ClientConnection, Time]
    relaying: dict[ClientConnection, Time]
    submit: Callable[[ClientRequest, Time, PendingAnswer], int | None]
    client_left: Callable[[int], None]
    answer_overdue: Callable[[int], None]

    @property
    def crowded(self) -> bool:
        """Whether most connections of the budget are in use."""

    def health_answer(self) -> PendingAnswer:
        """The answer to a readiness check."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """The connection is closed."""


class ClientConnection:
    """One client's connection."""

    def __init__(self, listener: ClientConnectionOwner, sock: socket.socket, admitted: bool):
        self.listener = listener
        self.sock = sock
        self.admitted = admitted
        self.read_buffer = ReadBuffer(listener.memory, MAX_BUFFERED_BYTES)
        self.started_at = listener.clock.arrival_time()  # of the connection, then of each further request
        self.has_served = False
        self.read_at: Time = 0
        self.wake_event = Event()
        self.closing = False
        self.writer = AnswerWriter(listener, sock)

    def request_close(self) -> None:
        """Close the connection unless it holds a complete request that isn't answered yet."""
        self.closing = True
        self.wake_event.set()
        # Don't close if unread bytes have arrived: they may complete the request, which would be lost.
        if self in self.listener.relaying or self in self.listener.reading and peek_byte(self.sock) is None:
            self.sock.close()

    def run(self) -> None:
        try:
            disable_nagle(self.sock)
            while self._serve_one():
                pass
            if self.has_served and not self.writer.write_closed and peek_byte(self.sock):
                self.writer.close_gracefully()
        except (OSError, gevent.Timeout):
            self.listener.counters["client connections broken"] += 1
        finally:
            self.sock.close()
            self.listener.connection_closed(self)

    def _serve_one(self) -> bool:
        """Read and answer one request. Returns whether another may follow."""
        reader = RequestReader(self.listener.max_body_bytes)
        try:
            used = self._read_request(reader)
            if used is None:
                return False
            if reader.is_readiness_check:
                self._send(reader, self.listener.health_answer())
            else:
                used = self._answer(reader, reader.request(), used)
        except MalformedMessage as error:
            self.listener.counters["requests malformed"] += 1
            # It is unknown where the request ends, so nothing after it can be read.
            self.writer.refuse(error)
            return False
        except OutOfMemory:
            # Nothing was sent to a backend, so the client may safely retry.
            self.listener.counters["requests beyond the memory"] += 1
            self.writer.refuse(MalformedMessage(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for it just now"))
            return False
        except (OSError, gevent.Timeout):
            raise
        except Exception:
            # A fault of the agent: the client's request was valid, so it gets a proper answer.
            self.listener.counters.record_exception("client connection")
            self.writer.refuse(MalformedMessage(HTTPStatus.INTERNAL_SERVER_ERROR, "a fault of the agent"))
            return False
        if used is None:
            return False
        self.read_buffer.start_next_message(used)
        self.has_served = True
        return self._keeps_open(reader)

    def _keeps_open(self, reader: RequestReader) -> bool:
        """Whether the connection stays open after the answer; never with HTTP/1.0 (needs a header)."""
        return (
            reader.keep_alive
            and not reader.is_http_1_0
            and self.admitted
            and not self.closing
            and not self.listener.draining
        )

    def _read_request(self, reader: RequestReader) -> int | None:
        continue_sent = False
        if not self.read_buffer.filled and not self._wait_for_request():
            return None
        now = self.listener.clock.arrival_time()
        if self.has_served:
            self.started_at = now
        self.listener.reading[self] = now
        headed_at = None
        try:
            while (used := reader.parse(self.read_buffer.buffer, self.read_buffer.filled)) is None:
                if reader.ready_to_stream:
                    return 0
                if reader.head_complete and headed_at is None:
                    headed_at = self.listener.clock.now()
                if reader.expects_continue and not continue_sent:
                    continue_sent = True
                    send_all(self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
                unfinished = MalformedMessage(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole")
                with gevent.Timeout(self._seconds_left(headed_at, reader), unfinished):
                    if not self.read_buffer.read(self.sock, reader.total_bytes, reader.retained_bytes):
                        return None
                self.read_at = self.listener.clock.arrival_time()
        finally:
            self.listener.reading.pop(self, None)
        return used

    def _seconds_left(self, headed_at: Time | None = None, reader: RequestReader | None = None) -> float:
        """Seconds until the head must be complete, or until more of the body must have arrived."""
        now = self.listener.clock.now()
        if headed_at is None:
            return max(0.0, HEAD_TIMEOUT_S - (now - self.started_at) / SECOND)
        received = reader.body_received or self.read_buffer.filled
        return max(0.0, UPLOAD_GRACE_S + received / MIN_UPLOAD_BYTES_PER_S - (now - headed_at) / SECOND)

    def _wait_for_request(self) -> bool:
        """Wait for the next request. Returns whether one begins."""
        listener = self.listener
        waiting = listener.idle if self.has_served else listener.unserved
        waiting[self] = listener.clock.now()
        # Arriving bytes also set the event: left set, the next wait would end at once and look like a
        # timeout.
        self.wake_event.clear()
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if listener.crowded else IDLE_TIMEOUT_S
        try:
            if not self.closing:
                wait_readable(
                    self.wake_event, self.sock, idle_timeout_s if self.has_served else self._seconds_left()
                )
        finally:
            waiting.pop(self, None)
        # A request that has begun to arrive is read even if the connection should close: it would be lost.
        return bool(peek_byte(self.sock))

    def _answer(self, reader: RequestReader, request: ClientRequest, used: int) -> int | None:
        """Answer a request. Returns the bytes of the read buffer used up, None if no more can be read."""
        pending = PendingAnswer(self.sock)
        if reader.ready_to_stream and not used:
            request.upload = self._start_upload(reader, request, pending)
            self.listener.open_uploads += 1
        try:
            if request.upload is not None and not self.listener.accepts_upload:
                # Long requests hold their connections for as long as their clients take to send.
                self.listener.counters["long requests deferred for want of places"] += 1
                pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            elif self.admitted:
                handle = self.listener.submit(request, self.read_at, pending)
                if handle is not None:
                    self._await_answer(handle, pending, request.upload)
                if request.upload is not None and request.upload.error is not None:
                    # The upload is lost, whatever answer was put meanwhile.
                    raise request.upload.error
            else:
                # It was never sent to a backend, so the client may safely retry.
                self.listener.counters["turned away for want of sockets"] += 1
                pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            self._send(reader, pending, request.upload)
        finally:
            pending.abandon()
            if request.upload is not None:
                request.upload.close()
                self.listener.open_uploads -= 1
        if request.upload is None:
            return used
        if not request.upload.body.is_complete:
            return None
        self.read_buffer.replace_contents(request.upload.leftover)
        return 0

    def _send(self, reader: RequestReader, pending: PendingAnswer, upload: Upload | None = None) -> None:
        self.writer.send(reader, pending, self._keeps_open(reader), self._on_progress, upload)
        self.closing = self.closing or self.writer.write_closed

    def _on_progress(self, moving: bool) -> None:
        """Note that part of a long answer is being sent, or that its streaming has ended."""
        self.listener.relaying.pop(self, None)
        if moving:
            self.listener.relaying[self] = self.listener.clock.now()

    def _start_upload(self, reader: RequestReader, request: ClientRequest, pending: PendingAnswer) -> Upload:
        def on_end() -> None:
            # The timeout of an upload starts at its last byte.
            if upload.error is None:
                pending.deadline = upload.ended_at + pending.deadline - self.read_at - MAX_UPLOAD_TENTHS
            pending.ready.set()

        listener = self.listener
        self.read_buffer.replace_contents(b"")  # the first bytes of the body were copied
        upload = Upload(
            self.sock, reader.message.body_reader, listener.memory, listener.clock, len(request.body), on_end
        )
        return upload

    def _await_answer(self, handle: int, pending: PendingAnswer, upload: Upload | None) -> None:
        # Watch for readability; during an upload poll for a disconnect, as its bytes are read elsewhere.
        watched = upload is None
        while pending.status is None:
            if upload is not None and upload.error is not None:
                self.listener.client_left(handle)
                return
            left = (pending.deadline - self.listener.clock.now()) / SECOND
            if left <= 0:
                # The router should have answered by now; make sure that the client gets an answer anyway.
                pending.put(HTTPStatus.GATEWAY_TIMEOUT)
                self.listener.answer_overdue(handle)
                return
            if watched:
                wait_readable(pending.ready, self.sock, left)
            else:
                pending.ready.wait(min(left, DISCONNECT_POLL_S))
            pending.ready.clear()
            if upload is not None and not upload.is_open and upload.error is None:
                watched, upload = not upload.leftover, None
            if pending.status is None and peer_closed(self.sock):
                # A client that has only closed its sending side can still read the failure.
                self.closing = True
                pending.put(HTTPStatus.BAD_GATEWAY)
                self.listener.client_left(handle)
            elif watched:
                watched = peek_byte(self.sock) is None  # a pipelined request waits for its turn
