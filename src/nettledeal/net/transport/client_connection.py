"""One client's connection: one request at a time, one answer to each."""

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

# A head comes whole within this time, or its client is told and the place is free again: from the accept, or
# from its first byte on a connection used before. From the last byte, a trickle would hold the place. A body
# then has the pace of an upload.
HEAD_TIMEOUT_S = 2.6
# A connection that has been served rests for so long; the shorter time while half of the places are taken.
IDLE_TIMEOUT_S, CROWDED_IDLE_TIMEOUT_S = 60.0, 2.0
# How often it is looked whether a client is still there whose next bytes wait unread, ahead of the end of its
# connection: no attempt is to begin a tenth of a second after that.
DISCONNECT_POLL_S = 0.04


class ClientConnectionOwner(AnsweringListener, Protocol):
    """The listener that has accepted a connection, with what all of its connections share."""

    counters: Counters
    memory: MemoryPool
    max_body_bytes: int  # bytes of a body
    draining: bool
    open_uploads: int  # long requests that are still coming, or whose answer is out
    idle: dict[ClientConnection, Time]
    unserved: dict[ClientConnection, Time]
    reading: dict[ClientConnection, Time]
    relaying: dict[ClientConnection, Time]
    submit: Callable[[ClientRequest, Time, PendingAnswer], int | None]
    client_left: Callable[[int], None]
    answer_overdue: Callable[[int], None]

    @property
    def crowded(self) -> bool:
        """Whether most of the places are taken."""

    def health_answer(self) -> PendingAnswer:
        """The answer to a check of readiness."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """The connection is closed."""


class ClientConnection:
    """One client's connection."""

    def __init__(self, listener: ClientConnectionOwner, sock: socket.socket, admitted: bool):
        self.listener = listener
        self.sock = sock
        self.admitted = admitted
        self.read_buffer = ReadBuffer(listener.memory, MAX_BUFFERED_BYTES)
        self.started_at = listener.clock.arrival_time()  # the accept, then the first byte of each request
        self.has_served = False
        self.read_at: Time = 0
        self.wake_event = Event()
        self.closing = False
        self.writer = AnswerWriter(listener, sock)

    def request_close(self) -> None:
        """Ends the connection between two requests, or within one that is not whole."""
        self.closing = True
        self.wake_event.set()
        # One whose last bytes have just come is as good as whole: it would be lost.
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
        """One request and its answer; whether another may follow."""
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
            # Where it ends is in doubt, so nothing behind it can be read.
            self.writer.refuse(error)
            return False
        except OutOfMemory:
            # Nothing was passed on, so that trying again is harmless.
            self.listener.counters["requests beyond the memory"] += 1
            self.writer.refuse(MalformedMessage(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for it just now"))
            return False
        except (OSError, gevent.Timeout):
            raise
        except Exception:
            # Ours, not the client's: it has sent a whole request, and gets a whole answer.
            self.listener.counters.record_exception("client connection")
            self.writer.refuse(MalformedMessage(HTTPStatus.INTERNAL_SERVER_ERROR, "a fault of the agent"))
            return False
        if used is None:
            return False
        self.read_buffer.start_next_message(used)
        self.has_served = True
        return self._keeps_open(reader)

    def _keeps_open(self, reader: RequestReader) -> bool:
        """Whether the connection stays open behind its answer; one of HTTP/1.0 would have to be told so."""
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
        """Until the head is to be whole or more of the body to have come, in seconds."""
        now = self.listener.clock.now()
        if headed_at is None:
            return max(0.0, HEAD_TIMEOUT_S - (now - self.started_at) / SECOND)
        received = reader.body_received or self.read_buffer.filled
        return max(0.0, UPLOAD_GRACE_S + received / MIN_UPLOAD_BYTES_PER_S - (now - headed_at) / SECOND)

    def _wait_for_request(self) -> bool:
        """Waits between requests; whether another one begins."""
        listener = self.listener
        waiting = listener.idle if self.has_served else listener.unserved
        waiting[self] = listener.clock.now()
        # Bytes stir it too: left as it was, the next wait would end at once and pass for silence.
        self.wake_event.clear()
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if listener.crowded else IDLE_TIMEOUT_S
        try:
            if not self.closing:
                wait_readable(
                    self.wake_event, self.sock, idle_timeout_s if self.has_served else self._seconds_left()
                )
        finally:
            waiting.pop(self, None)
        # What has begun to come is read, whoever wants the place: it would be lost.
        return bool(peek_byte(self.sock))

    def _answer(self, reader: RequestReader, request: ClientRequest, used: int) -> int | None:
        """The bytes of the read_buffer that are done with; None if no more can be read."""
        pending = PendingAnswer(self.sock)
        if reader.ready_to_stream and not used:
            request.upload = self._start_upload(reader, request, pending)
            self.listener.open_uploads += 1
        try:
            if request.upload is not None and not self.listener.accepts_upload:
                # They hold their places for as long as their clients care to send.
                self.listener.counters["long requests deferred for want of places"] += 1
                pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            elif self.admitted:
                handle = self.listener.submit(request, self.read_at, pending)
                if handle is not None:
                    self._await_answer(handle, pending, request.upload)
                if request.upload is not None and request.upload.error is not None:
                    # No more of it comes, whatever was made of that meanwhile.
                    raise request.upload.error
            else:
                # Never passed on, so that trying again is harmless.
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
        """Some of a long answer goes out now, or no more of it will."""
        self.listener.relaying.pop(self, None)
        if moving:
            self.listener.relaying[self] = self.listener.clock.now()

    def _start_upload(self, reader: RequestReader, request: ClientRequest, pending: PendingAnswer) -> Upload:
        def on_end() -> None:
            # Its time runs from its last byte.
            if upload.error is None:
                pending.deadline = upload.ended_at + pending.deadline - self.read_at - MAX_UPLOAD_TENTHS
            pending.ready.set()

        listener = self.listener
        self.read_buffer.replace_contents(b"")  # its first bytes have been copied
        upload = Upload(
            self.sock, reader.message.body_reader, listener.memory, listener.clock, len(request.body), on_end
        )
        return upload

    def _await_answer(self, handle: int, pending: PendingAnswer, upload: Upload | None) -> None:
        watched = upload is None  # by its next byte; where bytes are not for here, its end is looked for
        while pending.status is None:
            if upload is not None and upload.error is not None:
                self.listener.client_left(handle)
                return
            left = (pending.deadline - self.listener.clock.now()) / SECOND
            if left <= 0:
                # Should not be: the routing answers in time. Whatever went wrong, the client is answered.
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
                # One that has only ended its sending can still read, and gets the failure as an answer.
                self.closing = True
                pending.put(HTTPStatus.BAD_GATEWAY)
                self.listener.client_left(handle)
            elif watched:
                watched = peek_byte(self.sock) is None  # what is pipelined waits its turn
