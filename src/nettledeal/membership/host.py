"""Runs a member on sockets: UDP datagrams and TCP streams at an address of its own, in greenlets of its own.

The host decides nothing. It passes received messages and the time to the state machine in `member.py` and
carries out the returned actions. What other members send is bounded in size, in number and in the share of
the event loop that it may use, so that neither a flood of updates nor a neighbour that sends garbage delays
the work of the surrounding process.
"""

from __future__ import annotations

import errno
import struct
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.membership.actions import (
    SECOND,
    Action,
    MemberChanged,
    NameConflict,
    SendDatagram,
    Step,
    StreamRequest,
)
from nettledeal.membership.member import Member
from nettledeal.membership.packets import MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Packet, PacketError
from nettledeal.membership.view import MemberRecord, Metadata, State
from nettledeal.net.address import Address, format_address
from nettledeal.net.transport.budget import MAX_MEMBERSHIP_STREAMS
from nettledeal.net.transport.sockets import disable_nagle, listening_socket
from nettledeal.units import Time

# A stream is aborted after this time.
STREAM_TIMEOUT_S = 1.0
# Share of the event loop: after receiving for the first number of seconds at a stretch, the receiver pauses
# for the second number times as long.
RECEIVE_STRETCH_S, PAUSE_FACTOR = 0.003, 4.0
# Room for a burst of datagrams in the kernel while this process is held up.
RECEIVE_BUFFER_BYTES = 1 << 20
# Delay between attempts to bind: another process of this agent may still hold the address.
BIND_RETRY_S = 0.1
_LENGTH = struct.Struct(">I")


class Host:
    def __init__(
        self,
        member: Member,
        listen: Address,
        clock: Callable[[], Time],
        notify: Callable[[Action], None],
        count: Callable[[str], None],
        log: Any,
        max_streams: int = MAX_MEMBERSHIP_STREAMS,
    ):
        """`notify` receives `MemberChanged`, `OrderReceived`, `NameConflict` and `Joined`. `count` receives
        the name of a counter to increase. `log` is a logger with levels that takes an event and its fields,
        like structlog's. `max_streams` limits the open streams, incoming and outgoing ones each."""
        self.member, self.listen, self.clock, self.notify, self.count = member, listen, clock, notify, count
        self.log, self.max_streams = log, max_streams
        self.datagram_socket: socket.socket | None = None
        self.stream_listener: socket.socket | None = None
        self.wake_at: Time = 0
        self.wake_at_changed = Event()
        self.incoming_streams = self.outgoing_streams = 0
        self.logged_refusals: set[str] = set()  # reasons that have been logged
        self.greenlets: list[gevent.Greenlet] = []
        self.messages_sent = self.bytes_sent = 0
        self.closed = False

    def start(self) -> None:
        self.greenlets.append(gevent.spawn(self._run))

    def close(self) -> None:
        self.closed = True
        gevent.killall(self.greenlets, block=False)
        for sock in (self.datagram_socket, self.stream_listener):
            if sock is not None:
                sock.close()

    # Calls from the application.

    def issue_order(self, subject: str, cordoned: bool) -> None:
        self._carry_out(self.member.issue_order(self.clock(), subject, cordoned))

    def set_metadata(self, metadata: Metadata, notify: Iterable[Address]) -> None:
        self._carry_out(self.member.set_metadata(self.clock(), metadata, notify))

    def announce_to(self, addresses: Iterable[Address]) -> None:
        self._carry_out(self.member.announce_to(self.clock(), addresses))

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Before the member has started, it takes the seeds for its start."""
        if self.datagram_socket is None:
            self.member.use_seeds(seeds)
        else:
            self._carry_out(self.member.set_seeds(self.clock(), seeds))

    def forget(self, name: str) -> bool:
        known, step = self.member.forget(self.clock(), name)
        self._carry_out(step)
        return known

    def leave(self) -> None:
        if self.datagram_socket is not None:
            self._carry_out(self.member.leave(self.clock()))

    # Greenlets.

    def _run(self) -> None:
        while not self._bind():
            gevent.sleep(BIND_RETRY_S)
        member = self.member
        self.log.info("member", name=member.name, listen=format_address(self.listen), cluster=member.cluster)
        self._carry_out(self.member.start(self.clock()))
        self.greenlets += [gevent.spawn(self._receive_datagrams), gevent.spawn(self._accept_streams)]
        while True:
            # Cleared before the due time is read, so that an earlier one set meanwhile is not missed.
            self.wake_at_changed.clear()
            wait = (self.wake_at - self.clock()) / SECOND
            if wait > 0:
                self.wake_at_changed.wait(wait)
            else:
                self._carry_out(self.member.on_timer(self.clock()))
                gevent.sleep(0)

    def _bind(self) -> bool:
        family = socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(self.listen)
            self.stream_listener = listening_socket(self.listen)
            self.datagram_socket = sock
            return True
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE:
                self.log.error("member cannot listen", listen=format_address(self.listen), why=error.strerror)
                gevent.sleep(1.0)
            return False

    def _receive_datagrams(self) -> None:
        since = time.perf_counter()
        while True:
            try:
                raw, source = self.datagram_socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                if self.closed:
                    return
                gevent.sleep(0.01)
                continue
            packet = self._decode(raw, MAX_DATAGRAM_BYTES, source[:2])
            if packet is not None:
                self._carry_out(self.member.on_datagram(self.clock(), packet, source[:2]))
            elapsed = time.perf_counter() - since
            if elapsed > RECEIVE_STRETCH_S:
                # Either most of that was spent waiting, or datagrams arrive in a flood and other greenlets
                # get their turn.
                gevent.sleep(
                    min(elapsed, 2 * RECEIVE_STRETCH_S) * PAUSE_FACTOR if self._has_more_datagrams() else 0
                )
                since = time.perf_counter()

    def _has_more_datagrams(self) -> bool:
        """Whether another datagram is already waiting: a flood rather than the end of a pause."""
        try:
            return bool(self.datagram_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def _decode(self, raw: bytes, max_bytes: int, source: Address) -> Packet | None:
        try:
            return self.member.codec.decode(raw, self.member.cluster, max_bytes)
        except PacketError as error:
            self.count(f"member: {error}")
            if str(error) not in self.logged_refusals:
                self.logged_refusals.add(str(error))
                self.log.warning(
                    "message to the member refused", why=str(error), source=format_address(source)
                )
            return None

    def _accept_streams(self) -> None:
        while True:
            try:
                sock, source = self.stream_listener.accept()
            except OSError:
                if self.closed:
                    return
                gevent.sleep(0.01)
                continue
            if self.incoming_streams >= self.max_streams:
                self.count("member: streams turned away")
                sock.close()
                continue
            self.incoming_streams += 1
            gevent.spawn(self._serve_stream, sock, source[:2])

    def _serve_stream(self, sock: socket.socket, source: Address) -> None:
        try:
            with gevent.Timeout(STREAM_TIMEOUT_S):
                packet = self._receive_packet(sock, source)
                if packet is not None:
                    answer, step = self.member.on_stream_request(self.clock(), packet)
                    self._carry_out(step)
                    if answer is not None:
                        self._send_packet(sock, answer)
        except (OSError, gevent.Timeout):
            self.count("member: streams broken")
        finally:
            self.incoming_streams -= 1
            sock.close()

    def _receive_packet(self, sock: socket.socket, source: Address) -> Packet | None:
        head = self._receive_exactly(sock, _LENGTH.size)
        if len(head) < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack(head)
        if size > MAX_STREAM_BYTES:
            # Not read from the stream; decoded with a limit of 0 so that it counts as oversized.
            return self._decode(bytes(MAX_DATAGRAM_BYTES), 0, source)
        return self._decode(self._receive_exactly(sock, size), MAX_STREAM_BYTES, source)

    @staticmethod
    def _receive_exactly(sock: socket.socket, size: int) -> bytes:
        parts, left = [], size
        while left and (part := sock.recv(min(left, 65536))):
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def _send_packet(self, sock: socket.socket, packet: Packet) -> None:
        raw = self.member.codec.encode(packet)
        sock.sendall(_LENGTH.pack(len(raw)) + raw)
        self.messages_sent += 1
        self.bytes_sent += len(raw)

    # Actions.

    def _carry_out(self, step: Step) -> None:
        for action in step.actions:
            if isinstance(action, SendDatagram):
                self._send_datagram(action)
            elif isinstance(action, StreamRequest):
                if self.outgoing_streams < self.max_streams:
                    self.outgoing_streams += 1
                    gevent.spawn(self._request, action)
            else:
                if isinstance(action, MemberChanged):
                    self._log_change(action.record, action.previous_state)
                elif isinstance(action, NameConflict):
                    address = format_address(action.record.address)
                    self.log.error("another process bears this name; this one is silent", at=address)
                self.notify(action)
        if step.wake_at != self.wake_at:
            self.wake_at = step.wake_at
            self.wake_at_changed.set()

    def _send_datagram(self, action: SendDatagram) -> None:
        raw = self.member.codec.encode(action.packet)
        self.messages_sent += 1
        self.bytes_sent += len(raw)
        # Full buffers and unreachable addresses count as packet loss.
        with suppress(OSError):
            self.datagram_socket.sendto(raw, action.address)

    def _request(self, request: StreamRequest) -> None:
        packet, refused = None, False
        sock = socket.socket(
            socket.AF_INET6 if ":" in request.address[0] else socket.AF_INET, socket.SOCK_STREAM
        )
        try:
            with gevent.Timeout(STREAM_TIMEOUT_S):
                # From the host that other members know this one by.
                sock.bind((self.listen[0], 0))
                sock.connect(request.address)
                disable_nagle(sock)
                self._send_packet(sock, request.packet)
                packet = self._receive_packet(sock, request.address)
        except ConnectionRefusedError:
            refused = True
        except (OSError, gevent.Timeout):
            pass
        finally:
            sock.close()
            self.outgoing_streams -= 1
        if not self.closed:
            self._carry_out(self.member.on_stream_response(self.clock(), request, packet, refused))

    def _log_change(self, record: MemberRecord, previous_state: int | None) -> None:
        # The members that a joining member learns of are no changes, and are logged at debug level.
        log = self.log.info if self.member.joined or previous_state is not None else self.log.debug
        log(
            "member changed",
            member=record.name,
            at=format_address(record.address),
            state=state_name(record.state),
            before=None if previous_state is None else state_name(previous_state),
            by=record.accuser,
            incarnation=record.incarnation,
        )


def state_name(state: int) -> str:
    return State(state).name.lower()
