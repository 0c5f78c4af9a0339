"""Answers on their way out to one client: head, body, relayed body, and an end that loses none of it."""

from __future__ import annotations

import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import gevent
from gevent import socket

from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.protocol.backend import Rest
from nettledeal.net.protocol.bodies import LAST_CHUNK, Malformed, chunk
from nettledeal.net.protocol.client import RequestReader, answer
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.relay import Upload
from nettledeal.net.transport.sockets import send_all

# How long an answer may take to be read once nobody waits for it any more.
BEYOND = SECOND
# The longest that an answer may be on its way whatever its expiry is: that of an upload lies far off.
LONGEST = 60 * SECOND
# What still comes of a request that was turned away is read for so long (seconds) and so many times, no
# further.
DRAINS, DRAINED = 0.3, 16

_spill = bytearray(64 * 1024)  # where that goes; nobody looks at it


class AnsweringListener(Protocol):
    """What the writer goes by of the listener whose client it answers."""

    clock: Clock

    @property
    def takes_upload(self) -> bool:
        """Whether there is room for one more long request."""


class AnswerWriter:
    """Writes answers to one client; after the last one it ends the connection in order.

    It knows nothing of the connection that has it: with a reference back, what that holds would be freed by
    the garbage collector only, long after the connection has ended.
    """

    def __init__(self, listener: AnsweringListener, sock: socket.socket):
        self.listener = listener
        self.sock = sock
        self.parted = False  # its side is shut, and what still came has been read

    def send(
        self,
        reader: RequestReader,
        pending: PendingAnswer,
        keep: bool,
        moves: Callable[[bool], None],
        upload: Upload | None = None,
    ) -> None:
        """One answer, whole; an error means that the connection is of no further use. `keep`: whether it is
        to stay open; `moves` is told each time that some of a relayed body goes out, and when that ends."""
        status = pending.status or HTTPStatus.BAD_GATEWAY
        rest = pending.rest
        length = rest.length if rest is not None else None if reader.bare else len(pending.body)
        early = upload is not None and not upload.body.done
        in_chunks = rest is not None and length is None and not reader.dated
        head = answer(
            status,
            length,
            keep=keep and not early,
            retry_after=pending.retry_after,
            lines=pending.lines,
            chunked=in_chunks,
        )
        left = min(max(0, pending.by - self.listener.clock.now()), LONGEST) + BEYOND
        with gevent.Timeout(left / SECOND):
            send_all(self.sock, [head, pending.body if rest is None and not reader.bare else b""])
        if rest is not None:
            self._pass_on(rest, in_chunks, moves)
        if early:
            self._end_early(upload)

    def _end_early(self, upload: Upload) -> None:
        """Closing with bytes unread would send a reset, and that could overtake the answer. What comes behind
        the body could not be answered: it is not read as a request."""
        self.parted = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(None if self.listener.takes_upload else DRAINS, False):
            upload.discard()

    def _pass_on(self, rest: Rest, in_chunks: bool, moves: Callable[[bool], None]) -> None:
        """As it comes, however slowly it is read: the backend connection at its other end sees that it moves
        at all."""
        try:
            while pieces := rest.pull():
                moves(True)
                send_all(self.sock, chunk(pieces) if in_chunks else pieces)
        except OSError:
            if rest.length is None and not in_chunks:
                # Its end is that of the connection, and a plain one would pass for the whole.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise
        finally:
            moves(False)
        if in_chunks:
            send_all(self.sock, [LAST_CHUNK])
        rest.end(True)

    def refuse(self, fault: Malformed) -> None:
        """Answers what cannot be read as a request, and ends the connection."""
        body = f"{fault}\n".encode("ascii", "replace")
        with gevent.Timeout(BEYOND / SECOND):
            send_all(self.sock, [answer(fault.status, len(body), keep=False), body])
        self.part()

    def part(self) -> None:
        """Ends the connection behind an answer. Closing with bytes unread would send a reset, and that could
        overtake it."""
        self.parted = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(DRAINS, False):
            for _ in range(DRAINED):
                if not self.sock.recv_into(_spill):
                    break
