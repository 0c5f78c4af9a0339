"""Connections of clients: one greenlet each, one request at a time, one answer to each."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Time
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Rest
from nettledeal.net.protocol.bodies import LAST_CHUNK, Malformed, chunk
from nettledeal.net.protocol.client import Asking, Parcel, answer
from nettledeal.net.protocol.framing import MOST_BODY, MOST_MESSAGE
from nettledeal.net.transport.budget import OVERFLOW, Budget
from nettledeal.net.transport.buffers import Full, Inbox, Stock
from nettledeal.net.transport.relay import GRACE, PACE, SLOWEST, Upload
from nettledeal.net.transport.sockets import bound, hung_up, peek, send_all, smooth, steer, wait_for

# A head comes whole within this time, or its client is told and the place is free again: from the accept, or
# from its first byte on a connection used before. From the last byte, a trickle would hold the place. A body
# then has the pace of an upload.
HEAD = 2.6
# A connection that has been served rests for so long; the shorter time while half of the places are taken.
RESTS, RESTS_SHORT = 60.0, 2.0
# From this part of the places on, each new connection ends one that is silent or has rested longest.
ROOMY = 0.6
# How often it is looked whether a client is still there whose next bytes wait unread, ahead of the end of its
# connection: no attempt is to begin a tenth of a second after that.
LOOKS = 0.04
# How long an answer may take to be read once nobody waits for it any more.
BEYOND = SECOND
# What still comes of a request that was turned away is read for so long and so far, no further.
DRAINS, DRAINED = 0.3, 16
# A request that takes longer to come than this gives up its place where places are short.
DAWDLES = SECOND
# A client that reads nothing of a long answer for so long does, too.
SLUGGISH = 2 * SECOND
# Time enough for a client that has just connected to begin.
NEW = SECOND // 10

# A drain: after how many seconds each those go that have rested for so many. New clients come for 0.2 s, and
# within 4 s nobody is to be left.
EMPTYING = ((0.5, 1.0), (0.5, 0.8), (0.5, 0.6), (0.5, 0.4), (0.5, 0.2), (0.5, 0.0))
# And from then on those that have said nothing for so long: they came all the same.
EMPTIED = SECOND // 5

# Until handshakes have settled that were under way when new connections were steered away, in seconds.
SETTLES = 0.05
# The longest that an answer may be on its way whatever its expiry is: that of an upload lies far off.
LONGEST = 60 * SECOND

_spill = bytearray(64 * 1024)  # where that goes; nobody looks at it


@dataclass(slots=True, eq=False)
class Slot:
    """Where the answer to one request is put, once; its connection waits for it."""

    sock: socket.socket | None = None
    ready: Event = field(default_factory=Event)
    status: HTTPStatus | None = None
    body: memoryview | bytes = b""
    lines: bytes = b""
    come_back: Time = 0
    by: Time = 0  # the expiry
    rest: Rest | None = None  # of a long body
    left: bool = False  # nobody waits any more

    def put(
        self, status: HTTPStatus, body: memoryview | bytes = b"", lines: bytes = b"", come_back: Time = 0,
        rest: Rest | None = None,
    ) -> None:
        self.status, self.body, self.lines, self.come_back = status, body, lines, come_back
        self.rest = rest
        if self.left:
            self.leave()
        self.ready.set()

    @property
    def wanted(self) -> bool:
        """Whether somebody waits for the answer, as the kernel knows it now, also where the client's greenlet
        has not got round to seeing that."""
        return self.status is None and not self.left and not (self.sock is not None and hung_up(self.sock))

    def leave(self) -> None:
        self.left = True
        if self.rest is not None:
            self.rest.end(False)


class ClientConnection:
    """One client's connection."""

    def __init__(self, listener: Listener, sock: socket.socket, welcome: bool):
        self.listener = listener
        self.sock = sock
        self.welcome = welcome
        self.inbox = Inbox(listener.stock, MOST_MESSAGE)
        self.since = listener.clock.came()  # the accept, then the first byte of each request
        self.served = False
        self.read_at: Time = 0
        self.stirred = Event()
        self.leaving = False
        self.parted = False  # its side is shut, and what still came has been read

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
            if self.served and not self.parted and peek(self.sock):
                self._part()
        except (OSError, gevent.Timeout):
            self.listener.counters["client connections broken"] += 1
        finally:
            self.sock.close()
            self.listener.ended(self)

    def _one(self) -> bool:
        """One request and its answer; whether another may follow."""
        asking = Asking(self.listener.longest)
        try:
            used = self._read(asking)
            if used is None:
                return False
            if asking.ready_check:
                self._send(asking, self.listener.health())
            else:
                used = self._answer(asking, asking.parcel(), used)
        except Malformed as fault:
            self.listener.counters["requests malformed"] += 1
            # Where it ends is in doubt, so nothing behind it can be read.
            self._refuse(fault)
            return False
        except Full:
            # Nothing was passed on, so that trying again is harmless.
            self.listener.counters["requests beyond the memory"] += 1
            self._refuse(Malformed(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for it just now"))
            return False
        except (OSError, gevent.Timeout):
            raise
        except Exception:
            # Ours, not the client's: it has sent a whole request, and gets a whole answer.
            self.listener.counters.fault("client connection")
            self._refuse(Malformed(HTTPStatus.INTERNAL_SERVER_ERROR, "a fault of the agent"))
            return False
        if used is None:
            return False
        self.inbox.next(used)
        self.served = True
        return self._keeps(asking)

    def _keeps(self, asking: Asking) -> bool:
        # Those of HTTP/1.0 would have to be told that it stays open.
        return (
            asking.keeps and not asking.dated and self.welcome and not self.leaving
            and not self.listener.draining
        )

    def _read(self, asking: Asking) -> int | None:
        told = False
        if not self.inbox.filled and not self._stirs():
            return None
        now = self.listener.clock.came()
        if self.served:
            self.since = now
        self.listener.reading[self] = now
        headed = None
        try:
            while (used := asking.look(self.inbox.buffer, self.inbox.filled)) is None:
                if asking.handed_on:
                    return 0
                if asking.headed and headed is None:
                    headed = self.listener.clock.now()
                if asking.expects and not told:
                    told = True
                    send_all(self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
                unfinished = Malformed(HTTPStatus.REQUEST_TIMEOUT, "it did not come whole")
                with gevent.Timeout(self._left(headed, asking), unfinished):
                    if not self.inbox.read(self.sock, asking.whole, asking.kept):
                        return None
                self.read_at = self.listener.clock.came()
        finally:
            self.listener.reading.pop(self, None)
        return used

    def _left(self, headed: Time | None = None, asking: Asking | None = None) -> float:
        """Until the head is to be whole or more of the body to have come, in seconds."""
        now = self.listener.clock.now()
        if headed is None:
            return max(0.0, HEAD - (now - self.since) / SECOND)
        come = asking.come or self.inbox.filled
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

    def _answer(self, asking: Asking, parcel: Parcel, used: int) -> int | None:
        """The bytes of the inbox that are done with; None if no more can be read."""
        slot = Slot(self.sock)
        if asking.handed_on and not used:
            parcel.upload = self._upload(asking, parcel, slot)
            self.listener.uploads += 1
        try:
            if parcel.upload is not None and not self.listener.takes_upload:
                # They hold their places for as long as their clients care to send.
                self.listener.counters["long requests deferred for want of places"] += 1
                slot.put(HTTPStatus.SERVICE_UNAVAILABLE)
            elif self.welcome:
                handle = self.listener.offer(parcel, self.read_at, slot)
                if handle is not None:
                    self._await(handle, slot, parcel.upload)
                if parcel.upload is not None and parcel.upload.fault is not None:
                    # No more of it comes, whatever was made of that meanwhile.
                    raise parcel.upload.fault
            else:
                # Never passed on, so that trying again is harmless.
                self.listener.counters["turned away for want of sockets"] += 1
                slot.put(HTTPStatus.SERVICE_UNAVAILABLE)
            self._send(asking, slot, parcel.upload)
        finally:
            slot.leave()
            if parcel.upload is not None:
                parcel.upload.close()
                self.listener.uploads -= 1
        if parcel.upload is None:
            return used
        if not parcel.upload.body.done:
            return None
        self.inbox.put(parcel.upload.behind)
        return 0

    def _upload(self, asking: Asking, parcel: Parcel, slot: Slot) -> Upload:
        def told() -> None:
            # Its time runs from its last byte.
            if upload.fault is None:
                slot.by = upload.ended_at + slot.by - self.read_at - SLOWEST
            slot.ready.set()

        listener = self.listener
        self.inbox.put(b"")  # its first bytes have been copied
        upload = Upload(
            self.sock, asking.message.reader, listener.stock, listener.clock, len(parcel.body), told
        )
        return upload

    def _await(self, handle: int, slot: Slot, upload: Upload | None) -> None:
        watched = upload is None  # by its next byte; where bytes are not for here, its end is looked for
        while slot.status is None:
            if upload is not None and upload.fault is not None:
                self.listener.gone(handle)
                return
            left = (slot.by - self.listener.clock.now()) / SECOND
            if left <= 0:
                # Should not be: the routing answers in time. Whatever went wrong, the client is answered.
                slot.put(HTTPStatus.GATEWAY_TIMEOUT)
                self.listener.overdue(handle)
                return
            if watched:
                wait_for(slot.ready, self.sock, left)
            else:
                slot.ready.wait(min(left, LOOKS))
            slot.ready.clear()
            if upload is not None and not upload.open and upload.fault is None:
                watched, upload = not upload.behind, None
            if slot.status is None and hung_up(self.sock):
                # One that has only ended its sending can still read, and gets the failure as an answer.
                self.leaving = True
                slot.put(HTTPStatus.BAD_GATEWAY)
                self.listener.gone(handle)
            elif watched:
                watched = peek(self.sock) is None  # what is pipelined waits its turn

    def _send(self, asking: Asking, slot: Slot, upload: Upload | None = None) -> None:
        status = slot.status or HTTPStatus.BAD_GATEWAY
        rest = slot.rest
        length = rest.length if rest is not None else None if asking.bare else len(slot.body)
        early = upload is not None and not upload.body.done
        in_chunks = rest is not None and length is None and not asking.dated
        head = answer(
            status, length, keep=self._keeps(asking) and not early, come_back=slot.come_back,
            lines=slot.lines, chunked=in_chunks,
        )
        left = min(max(0, slot.by - self.listener.clock.now()), LONGEST) + BEYOND
        with gevent.Timeout(left / SECOND):
            send_all(self.sock, [head, slot.body if rest is None and not asking.bare else b""])
        if rest is not None:
            self._pass_on(rest, in_chunks)
        if early:
            # Closing with bytes unread would send a reset, and that could overtake the answer. What comes
            # behind the body could not be answered: it is not read as a request.
            self.leaving = self.parted = True
            self.sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(None if self.listener.takes_upload else DRAINS, False):
                upload.discard()

    def _pass_on(self, rest: Rest, in_chunks: bool) -> None:
        """As it comes, however slowly it is read: the line at its other end sees that it moves at all."""
        relaying = self.listener.relaying
        try:
            while pieces := rest.pull():
                relaying.pop(self, None)
                relaying[self] = self.listener.clock.now()
                send_all(self.sock, chunk(pieces) if in_chunks else pieces)
        except OSError:
            if rest.length is None and not in_chunks:
                # Its end is that of the connection, and a plain one would pass for the whole.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise
        finally:
            relaying.pop(self, None)
        if in_chunks:
            send_all(self.sock, [LAST_CHUNK])
        rest.end(True)

    def _refuse(self, fault: Malformed) -> None:
        body = f"{fault}\n".encode("ascii", "replace")
        with gevent.Timeout(BEYOND / SECOND):
            send_all(self.sock, [answer(fault.status, len(body), keep=False), body])
        self._part()

    def _part(self) -> None:
        """Ends the connection behind an answer. Closing with bytes unread would send a reset, and that could
        overtake it."""
        self.parted = True
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(DRAINS, False):
            for _ in range(DRAINED):
                if not self.sock.recv_into(_spill):
                    break


class Listener:
    """Accepts clients within its budget; those that hold no work item make room."""

    def __init__(
        self, address: Address, clock: Clock, counters: Counters, budget: Budget, stock: Stock,
        offer: Callable[[Parcel, Time, Slot], int | None], gone: Callable[[int], None],
        overdue: Callable[[int], None], longest: int = MOST_BODY,
    ):
        self.longest = longest  # body of a request
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.stock = stock
        self.offer = offer
        self.gone = gone
        self.overdue = overdue
        self.draining = False
        self.quiet = False  # drained by an operator: no new clients are wanted
        # Counts drains, so that the end of one does not end the next.
        self.drains = 0
        self.connections: dict[ClientConnection, None] = {}
        self.uploads = 0  # long requests that are still coming, or whose answer is out
        # Between requests and before the first one, since when; the longest first.
        self.idle: dict[ClientConnection, Time] = {}
        self.strangers: dict[ClientConnection, Time] = {}
        self.reading: dict[ClientConnection, Time] = {}  # within one, since when
        # Within a long answer, since when nothing of it went out.
        self.relaying: dict[ClientConnection, Time] = {}
        self.sock = bound(address, shared=True)

    def run(self) -> None:
        while True:
            if self.budget.held >= self.budget.most + OVERFLOW and not self._make_room():
                gevent.sleep(0.01)
                continue
            try:
                sock, _ = self.sock.accept()
            except OSError as fault:
                if self.sock.closed:
                    return
                # Out of descriptors for a moment, or a client that left before it was met.
                self.counters[f"accept failed: {fault.strerror}"] += 1
                self._make_room()
                gevent.sleep(0.01)
                continue
            self._welcome(sock)

    def _welcome(self, sock: socket.socket) -> None:
        connection = ClientConnection(self, sock, welcome=not self.budget.full or self._make_room())
        if self.budget.held >= ROOMY * self.budget.most:
            self._end_longest()
        self.budget.take()
        self.connections[connection] = None
        gevent.spawn(connection.run)

    def ended(self, connection: ClientConnection) -> None:
        del self.connections[connection]
        self.budget.give()

    def _make_room(self) -> bool:
        """Whether one that holds no work item has given up its place: who has been served stays longest, or
        hundreds that say nothing would drive out the usual clients."""
        if not self._end_first(
            (self.strangers, NEW), (self.reading, DAWDLES), (self.idle, 0), (self.relaying, SLUGGISH)
        ):
            return False
        gevent.sleep(0)
        return not self.budget.full

    def _end_longest(self) -> None:
        """Of those that say nothing, or else of those served that rest. Clients may hold only so many
        connections, too: with all of them resting for good they could not ask any more, and nobody would
        come to make room for."""
        self._end_first((self.strangers, NEW), (self.idle, 0))

    def _end_first(self, *groups: tuple[dict[ClientConnection, Time], Time]) -> bool:
        """Whether there was one to be told to leave: in each group the longest one, if for so long."""
        now = self.clock.now()
        for waiting, least in groups:
            connection, since = next(iter(waiting.items()), (None, now))
            if connection is not None and now - since >= least:
                # It goes at its greenlet's turn only; named again until then, it would be the one place that
                # many newcomers are given.
                connection.leave()
                waiting.pop(connection, None)
                return True
        return False

    @property
    def takes_upload(self) -> bool:
        return self.uploads <= self.budget.most // 3

    @property
    def crowded(self) -> bool:
        return 2 * self.budget.held > self.budget.most

    @property
    def busy(self) -> bool:
        """Whether somebody sends a request, waits for an answer or is being sent one."""
        return len(self.connections) > len(self.idle) + len(self.strangers)

    def close_idle(self, rested: Time = 0) -> None:
        """Ends what is between requests, for so long; a client that wants more comes anew."""
        now = self.clock.now()
        for connection, since in [*self.idle.items(), *self.strangers.items()]:
            if now - since >= rested:
                connection.leave()

    def health(self) -> Slot:
        if self.quiet:
            return Slot(status=HTTPStatus.SERVICE_UNAVAILABLE, body=b"draining\n")
        return Slot(status=HTTPStatus.OK, body=b"ok\n")

    def quiesce(self) -> None:
        """Says no to whoever asks for health and lets clients go: each with its next answer, those that rest
        once no new ones come. Whoever comes all the same is served."""
        self.draining = self.quiet = True
        self.drains += 1
        gevent.spawn(self._empty, self.drains)

    def resume(self) -> None:
        self.draining = self.quiet = False
        self.drains += 1

    def _empty(self, drain: int) -> None:
        # Those that rest longest first: the next request of a client comes on the one used last.
        for pause, rested in EMPTYING:
            gevent.sleep(pause)
            if drain != self.drains:
                return
            self.close_idle(int(rested * SECOND))
        while True:
            gevent.sleep(0.1)
            if drain != self.drains:
                return
            self.close_idle(EMPTIED)

    def give_way(self, heirs: int) -> None:
        """A successor listens at this address: new connections go there."""
        self.draining = True
        if not steer(self.sock, heirs):
            self.counters["connections could not be steered"] += 1
        gevent.sleep(SETTLES)
        self.close()

    def close(self) -> None:
        """No new clients: those that wait to be met are met first, since closing resets them."""
        while not self.sock.closed:
            try:
                # As `accept` does, but for the wait.
                number, _ = self.sock._sock._accept()
            except OSError:
                break
            self._welcome(socket.socket(self.sock.family, self.sock.type, self.sock.proto, fileno=number))
        self.sock.close()
