"""A member on sockets: datagrams and streams at an address of its own, in greenlets of its own.

Decides nothing: the machine in `member.py` is called with what comes and with the time, and its acts are
carried out. What comes from others is bounded in size, in number and in how much of the loop it may take, so
that neither a storm of news nor a garbling neighbour costs the work of the process that it lives in.
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

from nettledeal.membership.member import Member
from nettledeal.membership.packets import MOST_DATAGRAM, MOST_STREAM, Packet, Refusal
from nettledeal.membership.steps import SECOND, Act, Call, Changed, Send, Step, Usurped
from nettledeal.membership.view import Metadata, State, Word
from nettledeal.net.address import Address, format_address
from nettledeal.net.transport.budget import MAX_MEMBERSHIP_STREAMS
from nettledeal.net.transport.sockets import disable_nagle, listening_socket
from nettledeal.units import Time

# A stream is over by then, whoever is slow.
STREAM_WITHIN = 1.0
# Of the loop: after so many seconds at a stretch others have four times as long.
STRETCH, REST = 0.003, 4.0
# What a burst may leave in the kernel while this process is held up.
BUFFER = 1 << 20
# Another process of this agent may still hold the address; it is waited for.
AGAIN = 0.1
_LENGTH = struct.Struct(">I")


class Host:
    def __init__(
        self,
        member: Member,
        listen: Address,
        clock: Callable[[], Time],
        told: Callable[[Act], None],
        count: Callable[[str], None],
        log: Any,
        streams: int = MAX_MEMBERSHIP_STREAMS,
    ):
        """`told` gets what changes, as `Changed`, `Ordered` and `Usurped`; `count` a name for what was
        counted; `log` takes an event and its fields at levels, as structlog's loggers do; `streams` is the
        most that are open at once, by others and by this one each."""
        self.member, self.listen, self.clock, self.told, self.count = member, listen, clock, told, count
        self.log, self.most_streams = log, streams
        self.datagrams: socket.socket | None = None
        self.streams: socket.socket | None = None
        self.wake: Time = 0
        self.stirred = Event()
        self.held = self.calls = 0  # streams open, by others and by this one
        self.refused: set[str] = set()  # reasons that have been said
        self.jobs: list[gevent.Greenlet] = []
        self.sent = self.bytes = 0
        self.closed = False

    def start(self) -> None:
        self.jobs.append(gevent.spawn(self._run))

    def close(self) -> None:
        self.closed = True
        gevent.killall(self.jobs, block=False)
        for sock in (self.datagrams, self.streams):
            if sock is not None:
                sock.close()

    # Orders of those above.

    def order(self, subject: str, out: bool) -> None:
        self._do(self.member.order(self.clock(), subject, out))

    def describe(self, metadata: Metadata, first: Iterable[Address]) -> None:
        self._do(self.member.describe(self.clock(), metadata, first))

    def tell(self, addresses: Iterable[Address]) -> None:
        self._do(self.member.tell(self.clock(), addresses))

    def forget(self, name: str) -> bool:
        known, step = self.member.forget(self.clock(), name)
        self._do(step)
        return known

    def leave(self) -> None:
        if self.datagrams is not None:
            self._do(self.member.leave(self.clock()))

    # Greenlets.

    def _run(self) -> None:
        while not self._bind():
            gevent.sleep(AGAIN)
        member = self.member
        self.log.info("member", name=member.name, listen=format_address(self.listen), cluster=member.cluster)
        self._do(self.member.start(self.clock()))
        self.jobs += [gevent.spawn(self._hear), gevent.spawn(self._accept)]
        while True:
            # Cleared first: what comes to be due earlier while this one calls is not to be missed.
            self.stirred.clear()
            wait = (self.wake - self.clock()) / SECOND
            if wait > 0:
                self.stirred.wait(wait)
            else:
                self._do(self.member.wake(self.clock()))
                gevent.sleep(0)

    def _bind(self) -> bool:
        family = socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(self.listen)
            self.streams = listening_socket(self.listen)
            self.datagrams = sock
            return True
        except OSError as fault:
            sock.close()
            if fault.errno != errno.EADDRINUSE:
                self.log.error("member cannot listen", listen=format_address(self.listen), why=fault.strerror)
                gevent.sleep(1.0)
            return False

    def _hear(self) -> None:
        since = time.perf_counter()
        while True:
            try:
                raw, source = self.datagrams.recvfrom(MOST_DATAGRAM + 1)
            except OSError:
                if self.closed:
                    return
                gevent.sleep(0.01)
                continue
            packet = self._read(raw, MOST_DATAGRAM, source[:2])
            if packet is not None:
                self._do(self.member.heard(self.clock(), packet, source[:2]))
            spent = time.perf_counter() - since
            if spent > STRETCH:
                # Either it has waited for most of that, or it is a storm and others have their turn.
                gevent.sleep(min(spent, 2 * STRETCH) * REST if self._waiting() else 0)
                since = time.perf_counter()

    def _waiting(self) -> bool:
        """Whether more has come already: a storm, not a pause that has ended."""
        try:
            return bool(self.datagrams.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def _read(self, raw: bytes, most: int, source: Address) -> Packet | None:
        try:
            return self.member.codec.decode(raw, self.member.cluster, most)
        except Refusal as why:
            self.count(f"member: {why}")
            if str(why) not in self.refused:
                self.refused.add(str(why))
                self.log.warning("message to the member refused", why=str(why), source=format_address(source))
            return None

    def _accept(self) -> None:
        while True:
            try:
                sock, source = self.streams.accept()
            except OSError:
                if self.closed:
                    return
                gevent.sleep(0.01)
                continue
            if self.held >= self.most_streams:
                self.count("member: streams turned away")
                sock.close()
                continue
            self.held += 1
            gevent.spawn(self._serve, sock, source[:2])

    def _serve(self, sock: socket.socket, source: Address) -> None:
        try:
            with gevent.Timeout(STREAM_WITHIN):
                packet = self._whole(sock, source)
                if packet is not None:
                    answer, step = self.member.called(self.clock(), packet)
                    self._do(step)
                    if answer is not None:
                        self._put(sock, answer)
        except (OSError, gevent.Timeout):
            self.count("member: streams broken")
        finally:
            self.held -= 1
            sock.close()

    def _whole(self, sock: socket.socket, source: Address) -> Packet | None:
        head = self._exactly(sock, _LENGTH.size)
        if len(head) < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack(head)
        if size > MOST_STREAM:
            return self._read(bytes(MOST_DATAGRAM), 0, source)  # counted as oversized, and not read
        return self._read(self._exactly(sock, size), MOST_STREAM, source)

    @staticmethod
    def _exactly(sock: socket.socket, size: int) -> bytes:
        parts, left = [], size
        while left and (part := sock.recv(min(left, 65536))):
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def _put(self, sock: socket.socket, packet: Packet) -> None:
        raw = self.member.codec.encode(packet)
        sock.sendall(_LENGTH.pack(len(raw)) + raw)
        self.sent += 1
        self.bytes += len(raw)

    # Acts.

    def _do(self, step: Step) -> None:
        for act in step.acts:
            if isinstance(act, Send):
                self._send(act)
            elif isinstance(act, Call):
                if self.calls < self.most_streams:
                    self.calls += 1
                    gevent.spawn(self._call, act)
            else:
                if isinstance(act, Changed):
                    self._say(act.word, act.before)
                elif isinstance(act, Usurped):
                    at = format_address(act.word.address)
                    self.log.error("another process bears this name; this one is silent", at=at)
                self.told(act)
        if step.wake != self.wake:
            self.wake = step.wake
            self.stirred.set()

    def _send(self, act: Send) -> None:
        raw = self.member.codec.encode(act.packet)
        self.sent += 1
        self.bytes += len(raw)
        # Full buffers and places that are no more are a loss like any other.
        with suppress(OSError):
            self.datagrams.sendto(raw, act.address)

    def _call(self, act: Call) -> None:
        packet, refused = None, False
        sock = socket.socket(socket.AF_INET6 if ":" in act.address[0] else socket.AF_INET, socket.SOCK_STREAM)
        try:
            with gevent.Timeout(STREAM_WITHIN):
                # From the address that others know it by.
                sock.bind((self.listen[0], 0))
                sock.connect(act.address)
                disable_nagle(sock)
                self._put(sock, act.packet)
                packet = self._whole(sock, act.address)
        except ConnectionRefusedError:
            refused = True
        except (OSError, gevent.Timeout):
            pass
        finally:
            sock.close()
            self.calls -= 1
        if not self.closed:
            self._do(self.member.answered(self.clock(), act, packet, refused))

    def _say(self, word: Word, before: int | None) -> None:
        # What a newcomer is told of those that were there before it is no change.
        say = self.log.info if self.member.joined or before is not None else self.log.debug
        say(
            "member changed",
            member=word.name,
            at=format_address(word.address),
            state=spoken(word.state),
            before=None if before is None else spoken(before),
            by=word.by,
            incarnation=word.incarnation,
        )


def spoken(state: int) -> str:
    return State(state).name.lower()
