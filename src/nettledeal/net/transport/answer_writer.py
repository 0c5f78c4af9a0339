"""Writes answers to one client: head, body or streamed body, and a close that loses none of it."""

from __future__ import annotations

import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import gevent
from gevent import socket

from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.protocol.backend import BodyStream
from nettledeal.net.protocol.bodies import LAST_CHUNK, MalformedMessage, encode_chunk
from nettledeal.net.protocol.client import RequestReader, response_head
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.relay import Upload
from nettledeal.net.transport.sockets import send_all

# How long the client may take to read an answer after its expiry.
READ_GRACE_TENTHS = SECOND
# Limit for writing an answer whatever its expiry: that of an upload is far in the future.
MAX_SEND_TENTHS = 60 * SECOND
# How long, and how many times, the rest of a refused request is read before the connection is closed.
DRAIN_TIMEOUT_S, MAX_DRAIN_READS = 0.3, 16

_discard_buffer = bytearray(64 * 1024)  # receives the bytes that are dropped


class AnsweringListener(Protocol):
    """What the writer needs of the listener that accepted the client."""

    clock: Clock

    @property
    def accepts_upload(self) -> bool:
        """Whether one more long request may be accepted."""


class AnswerWriter:
    """Writes answers to one client and closes the connection gracefully after the last one.

    It has no reference to the connection that owns it: such a cycle would keep the connection's memory until
    the next garbage collection, long after the connection has ended.
    """

    def __init__(self, listener: AnsweringListener, sock: socket.socket):
        self.listener = listener
        self.sock = sock
        self.write_closed = False  # the sending side is shut down and remaining input was read

    def send(
        self,
        reader: RequestReader,
        pending: PendingAnswer,
        keep_alive: bool,
        on_progress: Callable[[bool], None],
        upload: Upload | None = None,
    ) -> None:
        """Write one answer. After an exception the connection is unusable.

        `keep_alive`: whether the connection stays open. `on_progress` is called with True each time that part
        of a streamed body is about to be sent, and with False when that ends.
        """
        status = pending.status or HTTPStatus.BAD_GATEWAY
        body_stream = pending.body_stream
        length = (
            body_stream.length if body_stream is not None else None if reader.bodiless else len(pending.body)
        )
        upload_unfinished = upload is not None and not upload.body.is_complete
        is_chunked = body_stream is not None and length is None and not reader.is_http_1_0
        head = response_head(
            status,
            length,
            keep_alive=keep_alive and not upload_unfinished,
            retry_after=pending.retry_after,
            backend_headers=pending.headers,
            chunked=is_chunked,
        )
        time_left = (
            min(max(0, pending.deadline - self.listener.clock.now()), MAX_SEND_TENTHS) + READ_GRACE_TENTHS
        )
        with gevent.Timeout(time_left / SECOND):
            send_all(self.sock, [head, pending.body if body_stream is None and not reader.bodiless else b""])
        if body_stream is not None:
            self._stream_body(body_stream, is_chunked, on_progress)
        if upload_unfinished:
            self._finish_early(upload)

    def _finish_early(self, upload: Upload) -> None:
        """Close after an answer that was sent before the request was read completely.

        The rest is read, as closing with unread bytes would send a reset, which could overtake the answer.
        Bytes after the body are not read as a request: it couldn't be answered.
        """
        self.write_closed = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(None if self.listener.accepts_upload else DRAIN_TIMEOUT_S, False):
            upload.discard()

    def _stream_body(
        self, body_stream: BodyStream, is_chunked: bool, on_progress: Callable[[bool], None]
    ) -> None:
        """Send a body while it arrives, however slowly the client reads.

        The backend connection at the other end checks that there is progress at all.
        """
        try:
            while pieces := body_stream.pull():
                on_progress(True)
                send_all(self.sock, encode_chunk(pieces) if is_chunked else pieces)
        except OSError:
            if body_stream.length is None and not is_chunked:
                # This body ends with the connection, so a normal close would make it look complete.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise
        finally:
            on_progress(False)
        if is_chunked:
            send_all(self.sock, [LAST_CHUNK])
        body_stream.finish(True)

    def refuse(self, error: MalformedMessage) -> None:
        """Answer a malformed request and close the connection."""
        body = f"{error}\n".encode("ascii", "replace")
        with gevent.Timeout(READ_GRACE_TENTHS / SECOND):
            send_all(self.sock, [response_head(error.status, len(body), keep_alive=False), body])
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Shut down after an answer and read remaining input for a while.

        Closing with unread bytes would send a reset, which could overtake the answer.
        """
        self.write_closed = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(DRAIN_TIMEOUT_S, False):
            for _ in range(MAX_DRAIN_READS):
                if not self.sock.recv_into(_discard_buffer):
                    break
