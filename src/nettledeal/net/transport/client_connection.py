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
from nettledeal.net.protocol.bodies import Malformed
from nettledeal.net.protocol.client import ClientRequest, RequestReader
from nettledeal.net.protocol.framing import MOST_MESSAGE
from nettledeal.net.transport.answer_writer import AnsweringListener, AnswerWriter
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.relay import GRACE, PACE, SLOWEST, Upload
from nettledeal.net.transport.sockets import hung_up, peek, send_all, smooth, wait_for

# A head comes whole within this time, or its client is told and the place is free again: from the accept, or
# from its first byte on a connection used before. From the last byte, a trickle would hold the place. A body
# then has the pace of an upload.
HEAD = 2.6
# A connection that has been served rests for so long; the shorter time while half of the places are taken.
RESTS, RESTS_SHORT = 60.0, 2.0
# How often it is looked whether a client is still there whose next bytes wait unread, ahead of the end of its
# connection: no attempt is to begin a tenth of a second after that.
LOOKS = 0.04


class ClientConnectionOwner(AnsweringListener, Protocol):
    """The listener that has accepted a connection, with what all of its connections share."""

    counters: Counters
    memory: MemoryPool
    longest: int  # bytes of a body
    draining: bool
    uploads: int  # long requests that are still coming, or whose answer is out
    idle: dict[ClientConnection, Time]
    strangers: dict[ClientConnection, Time]
    reading: dict[ClientConnection, Time]
    relaying: dict[ClientConnection, Time]
    offer: Callable[[ClientRequest, Time, PendingAnswer], int | None]
    gone: Callable[[int], None]
    overdue: Callable[[int], None]

    @property
    def crowded(self) -> bool:
        """Whether most of the places are taken."""

    def health(self) -> PendingAnswer:
        """The answer to a check of readiness."""

    def ended(self, connection: ClientConnection) -> None:
        """The connection is closed."""


class ClientConnection:
    """One client's connection."""

    def __init__(self, listener: ClientConnectionOwner, sock: socket.socket, welcome: bool):
        self.listener = listener
        self.sock = sock
        self.welcome = welcome
        self.read_buffer = ReadBuffer(listener.memory, MOST_MESSAGE)
        self.since = listener.clock.came()  # the accept, then the first byte of each request
        self.served = False
        self.read_at: Time = 0
        self.stirred = Event()
        self.leaving = False
        self.writer = AnswerWriter(listener, sock)

    def leave(self) -> None:
        """Ends the connection between two requests, or within one that is not whole."""
        self.leaving = True
        self.stirred.set()
        # One whose last bytes have just come is as good as whole: it would be lost.
        if self in self.listener.relaying or self in self.listener.reading and peek(self.sock) is None:
            self.sock.close()

    def run(self) -> None:
        try:
            smooth(self.sock)
            while self._one():
                pass
            if self.served and not self.writer.parted and peek(self.sock):
                self.writer.part()
        except (OSError, gevent.Timeout):
            self.listener.counters["client connections broken"] += 1
        finally:
            self.sock.close()
            self.listener.ended(self)

    def _one(self) -> bool:
        """One request and its answer; whether another may follow."""
        reader = RequestReader(self.listener.longest)
        try:
            used = self._read(reader)
            if used is None:
                return False
            if reader.ready_check:
                self._send(reader, self.listener.health())
            else:
                used = self._answer(reader, reader.request(), used)
        except Malformed as fault:
            self.listener.counters["requests malformed"] += 1
            # Where it ends is in doubt, so nothing behind it can be read.
            self.writer.refuse(fault)
            return False
        except OutOfMemory:
            # Nothing was passed on, so that trying again is harmless.
            self.listener.counters["requests beyond the memory"] += 1
            self.writer.refuse(Malformed(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for it just now"))
            return False
        except (OSError, gevent.Timeout):
            raise
        except Exception:
            # Ours, not the client's: it has sent a whole request, and gets a whole answer.
            self.listener.counters.fault("client connection")
            self.writer.refuse(Malformed(HTTPStatus.INTERNAL_SERVER_ERROR, "a fault of the agent"))
            return False
        if used is None:
            return False
        self.read_buffer.next(used)
        self.served = True
        return self._keeps(reader)

    def _keeps(self, reader: RequestReader) -> bool:
        """Whether the connection stays open behind its answer; one of HTTP/1.0 would have to be told so."""
        return (
            reader.keeps
            and not reader.dated
            and self.welcome
            and not self.leaving
            and not self.listener.draining
        )

    def _read(self, reader: RequestReader) -> int | None:
        told = False
        if not self.read_buffer.filled and not self._stirs():
            return None
        now = self.listener.clock.came()
        if self.served:
            self.since = now
        self.listener.reading[self] = now
        headed = None
        try:
            while (used := reader.look(self.read_buffer.buffer, self.read_buffer.filled)) is None:
                if reader.handed_on:
                    return 0
                if reader.headed and headed is None:
                    headed = self.listener.clock.now()
                if reader.expects and not told:
                    told = True
                    send_all(self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
                unfinished = Malformed(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole")
                with gevent.Timeout(self._left(headed, reader), unfinished):
                    if not self.read_buffer.read(self.sock, reader.whole, reader.kept):
                        return None
                self.read_at = self.listener.clock.came()
        finally:
            self.listener.reading.pop(self, None)
        return used

    def _left(self, headed: Time | None = None, reader: RequestReader | None = None) -> float:
        """Until the head is to be whole or more of the body to have come, in seconds."""
        now = self.listener.clock.now()
        if headed is None:
            return max(0.0, HEAD - (now - self.since) / SECOND)
        come = reader.come or self.read_buffer.filled
        return max(0.0, GRACE + come / PACE - (now - headed) / SECOND)

    def _stirs(self) -> bool:
        """Waits between requests; whether another one begins."""
        listener = self.listener
        waiting = listener.idle if self.served else listener.strangers
        waiting[self] = listener.clock.now()
        # Bytes stir it too: left as it was, the next wait would end at once and pass for silence.
        self.stirred.clear()
        rests = RESTS_SHORT if listener.crowded else RESTS
        try:
            if not self.leaving:
                wait_for(self.stirred, self.sock, rests if self.served else self._left())
        finally:
            waiting.pop(self, None)
        # What has begun to come is read, whoever wants the place: it would be lost.
        return bool(peek(self.sock))

    def _answer(self, reader: RequestReader, request: ClientRequest, used: int) -> int | None:
        """The bytes of the read_buffer that are done with; None if no more can be read."""
        pending = PendingAnswer(self.sock)
        if reader.handed_on and not used:
            request.upload = self._upload(reader, request, pending)
            self.listener.uploads += 1
        try:
            if request.upload is not None and not self.listener.takes_upload:
                # They hold their places for as long as their clients care to send.
                self.listener.counters["long requests deferred for want of places"] += 1
                pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            elif self.welcome:
                handle = self.listener.offer(request, self.read_at, pending)
                if handle is not None:
                    self._await(handle, pending, request.upload)
                if request.upload is not None and request.upload.fault is not None:
                    # No more of it comes, whatever was made of that meanwhile.
                    raise request.upload.fault
            else:
                # Never passed on, so that trying again is harmless.
                self.listener.counters["turned away for want of sockets"] += 1
                pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            self._send(reader, pending, request.upload)
        finally:
            pending.leave()
            if request.upload is not None:
                request.upload.close()
                self.listener.uploads -= 1
        if request.upload is None:
            return used
        if not request.upload.body.done:
            return None
        self.read_buffer.put(request.upload.behind)
        return 0

    def _send(self, reader: RequestReader, pending: PendingAnswer, upload: Upload | None = None) -> None:
        self.writer.send(reader, pending, self._keeps(reader), self._moves, upload)
        self.leaving = self.leaving or self.writer.parted

    def _moves(self, moving: bool) -> None:
        """Some of a long answer goes out now, or no more of it will."""
        self.listener.relaying.pop(self, None)
        if moving:
            self.listener.relaying[self] = self.listener.clock.now()

    def _upload(self, reader: RequestReader, request: ClientRequest, pending: PendingAnswer) -> Upload:
        def told() -> None:
            # Its time runs from its last byte.
            if upload.fault is None:
                pending.by = upload.ended_at + pending.by - self.read_at - SLOWEST
            pending.ready.set()

        listener = self.listener
        self.read_buffer.put(b"")  # its first bytes have been copied
        upload = Upload(
            self.sock, reader.message.reader, listener.memory, listener.clock, len(request.body), told
        )
        return upload

    def _await(self, handle: int, pending: PendingAnswer, upload: Upload | None) -> None:
        watched = upload is None  # by its next byte; where bytes are not for here, its end is looked for
        while pending.status is None:
            if upload is not None and upload.fault is not None:
                self.listener.gone(handle)
                return
            left = (pending.by - self.listener.clock.now()) / SECOND
            if left <= 0:
                # Should not be: the routing answers in time. Whatever went wrong, the client is answered.
                pending.put(HTTPStatus.GATEWAY_TIMEOUT)
                self.listener.overdue(handle)
                return
            if watched:
                wait_for(pending.ready, self.sock, left)
            else:
                pending.ready.wait(min(left, LOOKS))
            pending.ready.clear()
            if upload is not None and not upload.open and upload.fault is None:
                watched, upload = not upload.behind, None
            if pending.status is None and hung_up(self.sock):
                # One that has only ended its sending can still read, and gets the failure as an answer.
                self.leaving = True
                pending.put(HTTPStatus.BAD_GATEWAY)
                self.listener.gone(handle)
            elif watched:
                watched = peek(self.sock) is None  # what is pipelined waits its turn
