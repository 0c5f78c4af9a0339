"""Answers on their way out to one client: head, body, relayed body, and an end that loses none of it."""

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

# How long an answer may take to be read once nobody waits for it any more.
READ_GRACE_TENTHS = SECOND
# The longest that an answer may be on its way whatever its expiry is: that of an upload lies far off.
MAX_SEND_TENTHS = 60 * SECOND
# What still comes of a request that was turned away is read for so long (seconds) and so many times, no
# further.
DRAIN_TIMEOUT_S, MAX_DRAIN_READS = 0.3, 16

_discard_buffer = bytearray(64 * 1024)  # where that goes; nobody looks at it


class AnsweringListener(Protocol):
    """What the writer goes by of the listener whose client it answers."""

    clock: Clock

    @property
    def accepts_upload(self) -> bool:
        """Whether there is room for one more long request."""


class AnswerWriter:
    """Writes answers to one client; after the last one it ends the connection in order.

    It knows nothing of the connection that has it: with a reference back, what that holds would be freed by
    the garbage collector only, long after the connection has ended.
    """

    def __init__(self, listener: AnsweringListener, sock: socket.socket):
        self.listener = listener
        self.sock = sock
        self.write_closed = False  # its side is shut, and what still came has been read

    def send(
        self,
        reader: RequestReader,
        pending: PendingAnswer,
        keep_alive: bool,
        on_progress: Callable[[bool], None],
        upload: Upload | None = None,
    ) -> None:
        """One answer, whole; an error means that the connection is of no further use. `keep`: whether it is
        to stay open; `moves` is told each time that some of a relayed body goes out, and when that ends."""
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
        """Closing with bytes unread would send a reset, and that could overtake the answer. What comes behind
        the body could not be answered: it is not read as a request."""
        self.write_closed = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(None if self.listener.accepts_upload else DRAIN_TIMEOUT_S, False):
            upload.discard()

    def _stream_body(
        self, body_stream: BodyStream, is_chunked: bool, on_progress: Callable[[bool], None]
    ) -> None:
        """As it comes, however slowly it is read: the backend connection at its other end sees that it moves
        at all."""
        try:
            while pieces := body_stream.pull():
                on_progress(True)
                send_all(self.sock, encode_chunk(pieces) if is_chunked else pieces)
        except OSError:
            if body_stream.length is None and not is_chunked:
                # Its end is that of the connection, and a plain one would pass for the whole.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise
        finally:
            on_progress(False)
        if is_chunked:
            send_all(self.sock, [LAST_CHUNK])
        body_stream.finish(True)

    def refuse(self, error: MalformedMessage) -> None:
        """Answers what cannot be read as a request, and ends the connection."""
        body = f"{error}\n".encode("ascii", "replace")
        with gevent.Timeout(READ_GRACE_TENTHS / SECOND):
            send_all(self.sock, [response_head(error.status, len(body), keep_alive=False), body])
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Ends the connection behind an answer. Closing with bytes unread would send a reset, and that could
        overtake it."""
        self.write_closed = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(DRAIN_TIMEOUT_S, False):
            for _ in range(MAX_DRAIN_READS):
                if not self.sock.recv_into(_discard_buffer):
                    break
