"""One connection to a backend and its greenlet, which performs one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import nullcontext
from typing import Protocol

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Outcome, Time
from nettledeal.net.address import Address, format_address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Reply, ResponseReader
from nettledeal.net.protocol.bodies import LAST_CHUNK, MalformedMessage, encode_chunk
from nettledeal.net.protocol.framing import MAX_BUFFERED_BYTES
from nettledeal.net.transport.buffers import MemoryPool, OutOfMemory, ReadBuffer
from nettledeal.net.transport.exchange import Exchange
from nettledeal.net.transport.relay import STALL_TIMEOUT_S, Relay
from nettledeal.net.transport.sockets import (
    disable_nagle,
    new_socket,
    peek_byte,
    reset_connection,
    send_all,
    wait_readable,
)

# A successful response of unknown length is buffered as long as it never pauses for longer than this.
SHORT_PAUSE_S = 0.02


class SharedLimits(Protocol):
    """What the connections to all backends share."""

    memory: MemoryPool
    max_body_bytes: int
    crowded: Callable[[], bool]  # whether client connections are scarce

    @property
    def current_connect_timeout(self) -> Time:
        """How long connecting may take."""

    def record_connect(self, duration: Time | None) -> None:
        """Note how long connecting took; None if it timed out."""


class BackendConnectionOwner(Protocol):
    """The pool that a connection belongs to: all connections to one backend."""

    shared: SharedLimits
    address: Address
    clock: Clock
    counters: Counters
    max_idle: Time
    closed: bool
    got_stray_bytes: bool  # the backend has sent bytes that belong to no request

    def release(self, connection: BackendConnection) -> None:
        """The connection is idle and may be given an exchange."""

    def claim(self, connection: BackendConnection) -> None:
        """The connection is no longer idle."""

    def connection_closed(self, connection: BackendConnection) -> None:
        """The connection is closed."""


class BackendConnection:
    """One connection to a backend, owned by the greenlet that runs `run`."""

    def __init__(self, pool: BackendConnectionOwner):
        self.pool = pool
        self.sock: socket.socket | None = None
        self.exchange: Exchange | None = None
        self.read_buffer = ReadBuffer(pool.shared.memory, MAX_BUFFERED_BYTES)
        self.wake_event = Event()
        self.aborted = False
        self.idle_since: Time = 0
        self.relay: Relay | None = None

    def assign(self, exchange: Exchange) -> None:
        exchange.connection = self
        self.exchange = exchange
        self.wake_event.set()

    def abort(self) -> None:
        self.aborted = True
        if self.relay is not None:
            return  # let the response in progress finish
        if self.exchange is None:
            self.wake_event.set()
        elif self.sock is not None:
            reset_connection(self.sock)  # whatever the greenlet waits for raises OSError

    def run(self) -> None:
        try:
            while self.exchange is not None:
                keep = False
                began_at = self.pool.clock.now()
                try:
                    reply, keep = self._perform(self.exchange)
                except Exception:
                    # Whoever waits for this exchange must be notified in any case.
                    self.pool.counters.record_exception(f"hand-off to {format_address(self.pool.address)}")
                    reply = self._failed_reply(self.exchange)
                # Measured from when this connection began the exchange to the arrival of the response: time
                # that the request waits inside the agent, before or after, must not count as the backend's.
                exchange, self.exchange = self.exchange, None
                if exchange.upload is not None:
                    began_at = max(began_at, exchange.upload.ended_at)
                reply.duration = max(1, self.pool.clock.arrival_time() - began_at)
                exchange.connection = None
                if keep:
                    self.pool.release(self)
                exchange.on_reply(reply)
                # The connection may stay idle for long: don't keep the last response in memory.
                del exchange, reply
                if self.relay is not None and self._finish_relay():
                    keep = True
                    self.pool.release(self)
                if keep:
                    self._wait_idle()
        finally:
            if self.sock is not None:
                self.sock.close()
            self.pool.connection_closed(self)

    def _wait_idle(self) -> None:
        """Wait for the next exchange, the end of the connection or the idle timeout."""
        wait_readable(self.wake_event, self.sock, self.pool.max_idle / SECOND)
        self.wake_event.clear()
        self.pool.got_stray_bytes |= bool(peek_byte(self.sock))
        self.pool.claim(self)

    def _finish_relay(self) -> bool:
        """Wait until the client's connection has pulled the rest. Returns whether this one is reusable."""
        relay = self.relay
        try:
            return relay.wait(self.pool.shared.crowded) and not self.pool.closed and not self.aborted
        finally:
            self.relay = None

    def _perform(self, exchange: Exchange) -> tuple[Reply, bool]:
        answer = ResponseReader(self.pool.shared.max_body_bytes, exchange.bodiless)
        timer = gevent.Timeout(max(0, exchange.deadline - self.pool.clock.now()) / SECOND)
        try:
            # Don't reuse a connection that has ended meanwhile: it would be unknown whether the request ran.
            if self.sock is not None and (seen := peek_byte(self.sock)) is not None:
                self.pool.got_stray_bytes |= bool(seen)
                self.sock.close()
                self.sock = None
            timer.start()
            skip_counter = self._skip_counter(exchange)
            if not skip_counter and self.sock is None:
                self._connect()
                skip_counter = self._skip_counter(exchange)
            if skip_counter:
                # Sending it would start work for nobody, and leave unknown whether it ran.
                self.pool.counters[skip_counter] += 1
                keep = self.sock is not None and not self.aborted and not self.pool.closed
                return Reply(Outcome.UNSENT), keep
            exchange.started = True
            send_all(self.sock, exchange.parts)
            if exchange.upload is None:
                exchange.fully_written = True
            else:
                timer.close()
                if not self._stream_upload(exchange):
                    return Reply(Outcome.UNSENT), False
                timer = gevent.Timeout.start_new(max(0, exchange.deadline - self.pool.clock.now()) / SECOND)
            used = self._read_answer(answer, exchange.is_probe)
        except gevent.Timeout:
            if self.sock is not None:
                reset_connection(self.sock)
            return Reply(Outcome.TIMED_OUT if exchange.fully_written else Outcome.UNREACHABLE), False
        except OSError:
            return self._failed_reply(exchange), False
        except MalformedMessage as error:
            self.pool.counters[f"backend answers garbled: {error}"] += 1
            return self._failed_reply(exchange), False
        except OutOfMemory:
            self.pool.counters["backend answers beyond the memory"] += 1
            return self._failed_reply(exchange), False
        finally:
            timer.close()
        if used is None:
            return self._start_relay(answer, exchange.is_probe), False
        reply = answer.probe_reply() if exchange.is_probe else answer.reply()
        # Stray bytes would be taken for the next response.
        self.pool.got_stray_bytes |= used < self.read_buffer.filled
        keep = (
            answer.keep_alive
            and used == self.read_buffer.filled
            and not self.pool.closed
            and not self.aborted
        )
        self.read_buffer.start_next_message(used)
        return reply, keep

    def _read_answer(self, answer: ResponseReader, probe: bool) -> int | None:
        """Read a response. Returns the bytes that it takes in the buffer, or None if it must be relayed."""
        used = None
        while used is None:
            # A response of unknown length is relayed as soon as it pauses: it may be long.
            count = None
            with gevent.Timeout(SHORT_PAUSE_S, False) if answer.may_be_long and not probe else nullcontext():
                count = self.read_buffer.read(self.sock, answer.total_bytes, answer.retained_bytes)
            if count == 0:
                if not answer.finish_at_eof():
                    raise ConnectionResetError
                return self.read_buffer.filled
            if count:
                used = answer.parse(self.read_buffer.buffer, self.read_buffer.filled)
            if used is None and (answer.is_long or count is None):
                return None
        return used

    def _start_relay(self, answer: ResponseReader, probe: bool) -> Reply:
        """End the exchange with the first bytes of a long response and leave the rest to a relay.

        The rest of an unsuccessful response is dropped.
        """
        if probe:
            return Reply(Outcome.ERROR)
        reply = answer.reply()
        if reply.outcome is Outcome.FINISHED:
            message = answer.message
            pool = self.pool
            self.relay = Relay(
                self.sock,
                message.body_reader,
                message.body_pieces,
                pool.shared.memory,
                pool.counters,
                answer.keep_alive,
            )
            reply.body_stream = self.relay
            self.read_buffer.replace_contents(b"")
        return reply

    def _stream_upload(self, exchange: Exchange) -> bool:
        """Forward the rest of a client's long body. Returns False if it was claimed before, or stopped.

        Until the kernel has the last byte (`fully_written`) the request hasn't run, whatever the backend
        answers.
        """
        upload, chunked = exchange.upload, exchange.upload.length is None
        if not upload.start():
            return False
        exchange.on_upload_start()
        while pieces := upload.pull():
            if peek_byte(self.sock) is not None:
                # The backend has answered early, or is gone.
                exchange.deadline = self.pool.clock.now() + SECOND
                break
            with gevent.Timeout(STALL_TIMEOUT_S):
                send_all(self.sock, encode_chunk(pieces) if chunked else pieces)
        else:
            with gevent.Timeout(STALL_TIMEOUT_S):
                send_all(self.sock, [LAST_CHUNK] if chunked else [])
            exchange.fully_written = True
            exchange.deadline = upload.ended_at + exchange.reply_timeout
        return True

    def _skip_counter(self, exchange: Exchange) -> str:
        """The counter of the reason why an exchange must not start any more, empty if it may.

        Checked before connecting and again right before the first byte: the wait for the greenlet's turn or
        for a connection lies in between.
        """
        now = self.pool.clock.now()
        if exchange.cancelled or self.pool.closed:
            return "hand-offs recalled before they were sent"
        if now >= exchange.deadline:
            return "hand-offs late before they were sent"
        if exchange.begin_by is not None and now >= exchange.begin_by:
            return "repeats past their window before they were sent"
        if exchange.is_wanted is not None and not exchange.is_wanted():
            return "hand-offs whose client left before they were sent"
        return ""

    def _failed_reply(self, exchange: Exchange) -> Reply:
        if exchange.fully_written:
            # Once the kernel has the last byte it is unknown whether the request ran.
            return Reply(Outcome.CANCELLED if exchange.cancelled else Outcome.RESET)
        # If the agent or the client ended it, that says nothing about the backend.
        upload = exchange.upload
        ended_locally = exchange.cancelled or self.pool.closed or upload is not None and upload.is_abandoned
        return Reply(Outcome.UNSENT if ended_locally else Outcome.UNREACHABLE)

    def _connect(self) -> None:
        pool = self.pool
        began_at = pool.clock.now()
        self.sock = new_socket(pool.address)
        self.sock.settimeout(pool.shared.current_connect_timeout / SECOND)
        try:
            self.sock.connect(pool.address)
        except TimeoutError:
            pool.shared.record_connect(None)
            raise
        pool.shared.record_connect(max(1, pool.clock.arrival_time() - began_at))
        self.sock.settimeout(None)
        disable_nagle(self.sock)
        pool.counters["backend connections opened"] += 1
