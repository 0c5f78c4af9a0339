"""One connection to one backend, and the greenlet that carries exchanges over it, one at a time."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import nullcontext
from typing import Protocol

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Outcome, Time
from nettledeal.net.address import Address, written
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Reply, ResponseReader
from nettledeal.net.protocol.bodies import LAST_CHUNK, Malformed, chunk
from nettledeal.net.protocol.framing import MOST_MESSAGE
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.exchange import Exchange
from nettledeal.net.transport.relay import STALLED, Relay
from nettledeal.net.transport.sockets import abandon, opened, peek, send_all, smooth, wait_for

# In seconds: so long a good answer whose length is not told may pause and still be kept whole.
SOON = 0.02


class SharedLimits(Protocol):
    """What the connections to all backends have in common."""

    memory: MemoryPool
    longest: int  # bytes of a body
    crowded: Callable[[], bool]  # whether places for clients are short

    @property
    def patience(self) -> Time:
        """How long a connection may take to come up."""

    def connected(self, took: Time | None) -> None:
        """A connection took so long to come up; None where it did not."""


class BackendConnectionOwner(Protocol):
    """The pool of a connection: all connections to one backend."""

    pools: SharedLimits
    address: Address
    clock: Clock
    counters: Counters
    rest_for: Time
    closed: bool
    unasked: bool  # bytes have come that nobody asked for

    def rest(self, connection: BackendConnection) -> None:
        """The connection waits for its next exchange."""

    def wake(self, connection: BackendConnection) -> None:
        """It does not wait any more."""

    def ended(self, connection: BackendConnection) -> None:
        """It is closed."""


class BackendConnection:
    """One connection to one backend, and the greenlet that has it."""

    def __init__(self, pool: BackendConnectionOwner):
        self.pool = pool
        self.sock: socket.socket | None = None
        self.exchange: Exchange | None = None
        self.read_buffer = ReadBuffer(pool.pools.memory, MOST_MESSAGE)
        self.called = Event()
        self.ending = False
        self.rested_at: Time = 0
        self.relay: Relay | None = None

    def take(self, exchange: Exchange) -> None:
        exchange.connection = self
        self.exchange = exchange
        self.called.set()

    def break_off(self) -> None:
        self.ending = True
        if self.relay is not None:
            return  # what the backend still gives goes through
        if self.exchange is None:
            self.called.set()
        elif self.sock is not None:
            abandon(self.sock)  # ends whatever the greenlet waits for with an OSError

    def run(self) -> None:
        try:
            while self.exchange is not None:
                keep = False
                begun = self.pool.clock.now()
                try:
                    reply, keep = self._carry(self.exchange)
                except Exception:
                    # Whatever it was, whoever waits for this hand-off is told.
                    self.pool.counters.fault(f"hand-off to {written(self.pool.address)}")
                    reply = self._broken(self.exchange)
                # By when it came to the connection: what it waits for its turn within the agent, before or
                # after, must not pass for the backend's slowness.
                exchange, self.exchange = self.exchange, None
                if exchange.upload is not None:
                    begun = max(begun, exchange.upload.ended_at)
                reply.took = max(1, self.pool.clock.came() - begun)
                exchange.connection = None
                if keep:
                    self.pool.rest(self)
                exchange.done(reply)
                # A connection may rest for long: it must not keep its last answer in memory.
                del exchange, reply
                if self.relay is not None and self._relayed():
                    keep = True
                    self.pool.rest(self)
                if keep:
                    self._rest()
        finally:
            if self.sock is not None:
                self.sock.close()
            self.pool.ended(self)

    def _rest(self) -> None:
        """Until there is another exchange; the end of the connection or of its time comes first, or not."""
        wait_for(self.called, self.sock, self.pool.rest_for / SECOND)
        self.called.clear()
        self.pool.unasked |= bool(peek(self.sock))
        self.pool.wake(self)

    def _relayed(self) -> bool:
        """Waits until the client's connection has pulled the rest; whether this one is of further use."""
        relay = self.relay
        try:
            return relay.wait(self.pool.pools.crowded) and not self.pool.closed and not self.ending
        finally:
            self.relay = None

    def _carry(self, exchange: Exchange) -> tuple[Reply, bool]:
        answer = ResponseReader(self.pool.pools.longest, exchange.bare)
        timer = gevent.Timeout(max(0, exchange.give_up_at - self.pool.clock.now()) / SECOND)
        try:
            # Nothing new is sent on what has ended meanwhile: it would be in doubt for no reason.
            if self.sock is not None and (seen := peek(self.sock)) is not None:
                self.pool.unasked |= bool(seen)
                self.sock.close()
                self.sock = None
            timer.start()
            barred = self._barred(exchange)
            if not barred and self.sock is None:
                self._connect()
                barred = self._barred(exchange)
            if barred:
                # Sent all the same it would be work begun for nobody, and in doubt where nothing needs to be.
                self.pool.counters[barred] += 1
                keep = self.sock is not None and not self.ending and not self.pool.closed
                return Reply(Outcome.UNSENT), keep
            exchange.begun = True
            send_all(self.sock, exchange.parts)
            if exchange.upload is None:
                exchange.written = True
            else:
                timer.close()
                if not self._upload(exchange):
                    return Reply(Outcome.UNSENT), False
                timer = gevent.Timeout.start_new(max(0, exchange.give_up_at - self.pool.clock.now()) / SECOND)
            used = self._hear(answer, exchange.probe)
        except gevent.Timeout:
            if self.sock is not None:
                abandon(self.sock)
            return Reply(Outcome.TIMED_OUT if exchange.written else Outcome.UNREACHABLE), False
        except OSError:
            return self._broken(exchange), False
        except Malformed as fault:
            self.pool.counters[f"backend answers garbled: {fault}"] += 1
            return self._broken(exchange), False
        except OutOfMemory:
            self.pool.counters["backend answers beyond the memory"] += 1
            return self._broken(exchange), False
        finally:
            timer.close()
        if used is None:
            return self._long(answer, exchange.probe), False
        reply = answer.probed() if exchange.probe else answer.reply()
        # Bytes that nobody asked for would be taken for the next answer.
        self.pool.unasked |= used < self.read_buffer.filled
        keep = answer.keeps and used == self.read_buffer.filled and not self.pool.closed and not self.ending
        self.read_buffer.next(used)
        return reply, keep

    def _hear(self, answer: ResponseReader, probe: bool) -> int | None:
        """The bytes that the answer takes; None if it is to be relayed."""
        used = None
        while used is None:
            # One whose length is not known is relayed as soon as it takes its time: it may be long.
            count = None
            with gevent.Timeout(SOON, False) if answer.comes and not probe else nullcontext():
                count = self.read_buffer.read(self.sock, answer.whole, answer.kept)
            if count == 0:
                if not answer.ended():
                    raise ConnectionResetError
                return self.read_buffer.filled
            if count:
                used = answer.look(self.read_buffer.buffer, self.read_buffer.filled)
            if used is None and (answer.long or count is None):
                return None
        return used

    def _long(self, answer: ResponseReader, probe: bool) -> Reply:
        """The hand-off ends with the first bytes of a long answer; nobody needs the rest of one that is not
        good."""
        if probe:
            return Reply(Outcome.ERROR)
        reply = answer.reply()
        if reply.outcome is Outcome.FINISHED:
            message = answer.message
            pool = self.pool
            self.relay = Relay(
                self.sock, message.reader, message.pieces, pool.pools.memory, pool.counters, answer.keeps
            )
            reply.rest = self.relay
            self.read_buffer.put(b"")
        return reply

    def _upload(self, exchange: Exchange) -> bool:
        """Hands on what its client still sends; whether its last byte is the kernel's. Nothing has run before
        that, whatever comes back."""
        upload, chunked = exchange.upload, exchange.upload.length is None
        if not upload.begin():
            return False
        exchange.handed_on()
        while pieces := upload.pull():
            if peek(self.sock) is not None:
                # Turned away within, or gone.
                exchange.give_up_at = self.pool.clock.now() + SECOND
                break
            with gevent.Timeout(STALLED):
                send_all(self.sock, chunk(pieces) if chunked else pieces)
        else:
            with gevent.Timeout(STALLED):
                send_all(self.sock, [LAST_CHUNK] if chunked else [])
            exchange.written = True
            exchange.give_up_at = upload.ended_at + exchange.wait
        return True

    def _barred(self, exchange: Exchange) -> str:
        """The counter of why it may not begin any more, if so. Asked before a connection is opened and again
        right before the first byte, whatever was seen when it was decided: the wait for a turn or for a
        connection lies between."""
        now = self.pool.clock.now()
        if exchange.dropped or self.pool.closed:
            return "hand-offs recalled before they were sent"
        if now >= exchange.give_up_at:
            return "hand-offs late before they were sent"
        if exchange.begin_by is not None and now >= exchange.begin_by:
            return "repeats past their window before they were sent"
        if exchange.wanted is not None and not exchange.wanted():
            return "hand-offs whose client left before they were sent"
        return ""

    def _broken(self, exchange: Exchange) -> Reply:
        if exchange.written:
            # After the last byte was given to the kernel nobody knows whether it ran.
            return Reply(Outcome.CANCELLED if exchange.dropped else Outcome.RESET)
        # What we or the client ended says nothing of the backend.
        upload = exchange.upload
        ours = exchange.dropped or self.pool.closed or upload is not None and upload.given_up
        return Reply(Outcome.UNSENT if ours else Outcome.UNREACHABLE)

    def _connect(self) -> None:
        pool = self.pool
        begun = pool.clock.now()
        self.sock = opened(pool.address)
        self.sock.settimeout(pool.pools.patience / SECOND)
        try:
            self.sock.connect(pool.address)
        except TimeoutError:
            pool.pools.connected(None)
            raise
        pool.pools.connected(max(1, pool.clock.came() - begun))
        self.sock.settimeout(None)
        smooth(self.sock)
        pool.counters["backend connections opened"] += 1
