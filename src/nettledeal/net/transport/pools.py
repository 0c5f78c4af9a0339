"""Connections to backends: one greenlet each, reused, bounded, closed before the backend does it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.model import Outcome, Time
from nettledeal.net.address import Address, written
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Reply, Replying
from nettledeal.net.protocol.bodies import LAST_CHUNK, Malformed, chunk
from nettledeal.net.protocol.framing import MOST_MESSAGE
from nettledeal.net.transport.budget import Budget
from nettledeal.net.transport.buffers import Full, Inbox, Stock
from nettledeal.net.transport.relay import STALLED, Relay, Upload
from nettledeal.net.transport.sockets import abandon, opened, peek, send_all, smooth, wait_for

# The least patience for a connection to come up: the agent itself may be late by as much.
QUICK = SECOND * 3 // 100
# In seconds: so long a good answer whose length is not told may pause and still be kept whole.
SOON = 0.02
# A backend that has once sent what nobody asked for may do so again, some milliseconds behind an answer: what
# is written to that connection before would get it for its answer. So long it is left alone.
SETTLED = SECOND // 50


@dataclass(slots=True, eq=False)
class Errand:
    """One exchange with a backend: what to send, how long to wait, whom to tell."""

    parts: list[bytes | memoryview]
    give_up_at: Time
    done: Callable[[Reply], None]
    probe: bool = False
    line: Line | None = None
    written: bool = False  # its last byte is the kernel's: from here on it may run
    dropped: bool = False
    upload: Upload | None = None  # what is still to come of a long body, behind the parts
    wait: Time = 0  # for the answer, from its last byte
    handed_on: Callable[[], None] | None = None  # told when the first of it is asked for
    bare: bool = False  # the answer has no body
    begin_by: Time | None = None  # where it must not begin later, though its answer could still be in time
    wanted: Callable[[], bool] | None = None  # whether its client is still there
    begun: bool = False  # some of it has been written

    def drop(self) -> None:
        """Nobody waits for it any more: its connection ends, and with it what is not yet written."""
        if not self.dropped:
            self.dropped = True
            if self.upload is not None:
                self.upload.stop()
            if self.line is not None:
                self.line.break_off()


class Line:
    """One connection to one backend, and the greenlet that has it."""

    def __init__(self, pool: Pool):
        self.pool = pool
        self.sock: socket.socket | None = None
        self.errand: Errand | None = None
        self.inbox = Inbox(pool.pools.stock, MOST_MESSAGE)
        self.called = Event()
        self.ending = False
        self.rested_at: Time = 0
        self.relay: Relay | None = None

    def take(self, errand: Errand) -> None:
        errand.line = self
        self.errand = errand
        self.called.set()

    def break_off(self) -> None:
        self.ending = True
        if self.relay is not None:
            return  # what the backend still gives goes through
        if self.errand is None:
            self.called.set()
        elif self.sock is not None:
            abandon(self.sock)  # ends whatever the greenlet waits for with an OSError

    def run(self) -> None:
        try:
            while self.errand is not None:
                keep = False
                begun = self.pool.clock.now()
                try:
                    reply, keep = self._carry(self.errand)
                except Exception:
                    # Whatever it was, whoever waits for this hand-off is told.
                    self.pool.counters.fault(f"hand-off to {written(self.pool.address)}")
                    reply = self._broken(self.errand)
                # By when it came to the connection: what it waits for its turn within the agent, before or
                # after, must not pass for the backend's slowness.
                errand, self.errand = self.errand, None
                if errand.upload is not None:
                    begun = max(begun, errand.upload.ended_at)
                reply.took = max(1, self.pool.clock.came() - begun)
                errand.line = None
                if keep:
                    self.pool.rest(self)
                errand.done(reply)
                # A connection may rest for long: it must not keep its last answer in memory.
                del errand, reply
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
        """Until there is another errand; the end of the connection or of its time comes first, or not."""
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

    def _carry(self, errand: Errand) -> tuple[Reply, bool]:
        answer = Replying(self.pool.pools.longest, errand.bare)
        timer = gevent.Timeout(max(0, errand.give_up_at - self.pool.clock.now()) / SECOND)
        try:
            # Nothing new is sent on what has ended meanwhile: it would be in doubt for no reason.
            if self.sock is not None and (seen := peek(self.sock)) is not None:
                self.pool.unasked |= bool(seen)
                self.sock.close()
                self.sock = None
            timer.start()
            barred = self._barred(errand)
            if not barred and self.sock is None:
                self._connect()
                barred = self._barred(errand)
            if barred:
                # Sent all the same it would be work begun for nobody, and in doubt where nothing needs to be.
                self.pool.counters[barred] += 1
                keep = self.sock is not None and not self.ending and not self.pool.closed
                return Reply(Outcome.UNSENT), keep
            errand.begun = True
            send_all(self.sock, errand.parts)
            if errand.upload is None:
                errand.written = True
            else:
                timer.close()
                if not self._upload(errand):
                    return Reply(Outcome.UNSENT), False
                timer = gevent.Timeout.start_new(max(0, errand.give_up_at - self.pool.clock.now()) / SECOND)
            used = self._hear(answer, errand.probe)
        except gevent.Timeout:
            if self.sock is not None:
                abandon(self.sock)
            return Reply(Outcome.OVERDUE if errand.written else Outcome.UNREACHABLE), False
        except OSError:
            return self._broken(errand), False
        except Malformed as fault:
            self.pool.counters[f"backend answers garbled: {fault}"] += 1
            return self._broken(errand), False
        except Full:
            self.pool.counters["backend answers beyond the memory"] += 1
            return self._broken(errand), False
        finally:
            timer.close()
        if used is None:
            return self._long(answer, errand.probe), False
        reply = answer.probed() if errand.probe else answer.reply()
        # Bytes that nobody asked for would be taken for the next answer.
        self.pool.unasked |= used < self.inbox.filled
        keep = answer.keeps and used == self.inbox.filled and not self.pool.closed and not self.ending
        self.inbox.next(used)
        return reply, keep

    def _hear(self, answer: Replying, probe: bool) -> int | None:
        """The bytes that the answer takes; None if it is to be relayed."""
        used = None
        while used is None:
            # One whose length is not known is relayed as soon as it takes its time: it may be long.
            count = None
            with gevent.Timeout(SOON, False) if answer.comes and not probe else nullcontext():
                count = self.inbox.read(self.sock, answer.whole, answer.kept)
            if count == 0:
                if not answer.ended():
                    raise ConnectionResetError
                return self.inbox.filled
            if count:
                used = answer.look(self.inbox.buffer, self.inbox.filled)
            if used is None and (answer.long or count is None):
                return None
        return used

    def _long(self, answer: Replying, probe: bool) -> Reply:
        """The hand-off ends with the first bytes of a long answer; nobody needs the rest of one that is not
        good."""
        if probe:
            return Reply(Outcome.ERROR)
        reply = answer.reply()
        if reply.outcome is Outcome.FINISHED:
            message = answer.message
            pool = self.pool
            self.relay = Relay(
                self.sock, message.reader, message.pieces, pool.pools.stock, pool.counters, answer.keeps
            )
            reply.rest = self.relay
            self.inbox.put(b"")
        return reply

    def _upload(self, errand: Errand) -> bool:
        """Hands on what its client still sends; whether its last byte is the kernel's. Nothing has run before
        that, whatever comes back."""
        upload, chunked = errand.upload, errand.upload.length is None
        if not upload.begin():
            return False
        errand.handed_on()
        while pieces := upload.pull():
            if peek(self.sock) is not None:
                # Turned away within, or gone.
                errand.give_up_at = self.pool.clock.now() + SECOND
                break
            with gevent.Timeout(STALLED):
                send_all(self.sock, chunk(pieces) if chunked else pieces)
        else:
            with gevent.Timeout(STALLED):
                send_all(self.sock, [LAST_CHUNK] if chunked else [])
            errand.written = True
            errand.give_up_at = upload.ended_at + errand.wait
        return True

    def _barred(self, errand: Errand) -> str:
        """The counter of why it may not begin any more, if so. Asked before a connection is opened and again
        right before the first byte, whatever was seen when it was decided: the wait for a turn or for a
        connection lies between."""
        now = self.pool.clock.now()
        if errand.dropped or self.pool.closed:
            return "hand-offs recalled before they were sent"
        if now >= errand.give_up_at:
            return "hand-offs late before they were sent"
        if errand.begin_by is not None and now >= errand.begin_by:
            return "repeats past their window before they were sent"
        if errand.wanted is not None and not errand.wanted():
            return "hand-offs whose client left before they were sent"
        return ""

    def _broken(self, errand: Errand) -> Reply:
        if errand.written:
            # After the last byte was given to the kernel nobody knows whether it ran.
            return Reply(Outcome.RECALLED if errand.dropped else Outcome.RESET)
        # What we or the client ended says nothing of the backend.
        ours = errand.dropped or self.pool.closed or errand.upload is not None and errand.upload.given_up
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


class Pool:
    """The connections to one backend at one address; the one used last is used first."""

    def __init__(self, pools: Pools, address: Address):
        self.pools = pools
        self.address = address
        self.clock = pools.clock
        self.counters = pools.counters
        self.rest_for = pools.rest_for
        self.resting: list[Line] = []
        self.lines: dict[Line, None] = {}
        self.closed = False
        self.unasked = False  # bytes have come that nobody asked for

    def carry(self, errand: Errand) -> bool:
        line = self._rested()
        if line is not None:
            self.wake(line)
            line.take(errand)
            return True
        # A connection opened for a probe must not cost another backend one that work items could use: with
        # few sockets they would all be opened anew, over and over.
        if self.pools.budget.full if errand.probe else not self.pools.room():
            return False
        line = Line(self)
        self.lines[line] = None
        self.pools.budget.take()
        line.take(errand)
        line.called.clear()
        gevent.spawn(line.run)
        return True

    def _rested(self) -> Line | None:
        """The one used last that may be used again."""
        settled = self.clock.now() - SETTLED
        for line in reversed(self.resting):
            if not self.unasked or line.rested_at <= settled:
                return line
        return None

    def rest(self, line: Line) -> None:
        line.rested_at = self.clock.now()
        self.resting.append(line)
        self.pools.resting[line] = None

    def wake(self, line: Line) -> None:
        if line.errand is None and line in self.resting:
            self.resting.remove(line)
            self.pools.resting.pop(line, None)

    def ended(self, line: Line) -> None:
        self.wake(line)
        del self.lines[line]
        self.pools.budget.give()

    def close(self) -> None:
        """Its backend is gone, moved or wants nothing new: what rests ends now, the others once back."""
        self.closed = True
        for line in list(self.lines):
            # What is still connecting would send later than the word to stop.
            if line.errand is None or not line.errand.begun:
                line.break_off()


class Pools:
    """All connections to backends, within one budget."""

    def __init__(
        self, clock: Clock, counters: Counters, budget: Budget, stock: Stock, longest: int,
        connect_within: Time, idle_limit: Time,
    ):
        self.clock = clock
        self.counters = counters
        self.budget = budget
        self.stock = stock
        self.longest = longest  # the longest body of an answer
        self.connect_within = connect_within
        self.slowest: Time | None = None  # to come up, of late
        # Well before the backend's own limit: what is written to a connection that it has just closed ends
        # as a reset, and nobody knows whether it ran.
        self.rest_for = max(1, idle_limit // 2)
        self.crowded: Callable[[], bool] = bool  # whether places for clients are short; told by the program
        self.pools: dict[str, Pool] = {}
        self.resting: dict[Line, None] = {}  # the one that has rested longest first

    @property
    def patience(self) -> Time:
        """How long a connection may take to come up: by what others took, as one lost on its way comes much
        later or never, while its work item could be on time elsewhere; the told limit at most."""
        if self.slowest is None:
            return self.connect_within
        return min(self.connect_within, max(QUICK, 8 * self.slowest))

    def connected(self, took: Time | None) -> None:
        """After `took`, or not within the patience, which then grows: the way may have become longer."""
        if took is not None:
            self.slowest = max(took, (self.slowest or 0) * 3 // 4)
        elif self.slowest is not None:
            self.slowest = min(self.connect_within, max(QUICK // 8, self.slowest) * 5 // 4)

    def place(self, backend: str, address: Address) -> None:
        pool = self.pools.get(backend)
        if pool is not None and pool.address == address:
            return
        if pool is not None:
            pool.close()
        self.pools[backend] = Pool(self, address)

    def drop(self, backend: str) -> None:
        pool = self.pools.pop(backend, None)
        if pool is not None:
            pool.close()

    def host(self, backend: str) -> str:
        pool = self.pools.get(backend)
        return "" if pool is None else written(pool.address)

    def carry(self, backend: str, errand: Errand) -> bool:
        pool = self.pools.get(backend)
        return pool is not None and pool.carry(errand)

    def trim(self) -> None:
        """What rests beyond the budget ends: it has become smaller."""
        for line in list(self.resting)[: max(0, self.budget.held - self.budget.most)]:
            line.pool.wake(line)
            line.break_off()

    def room(self) -> bool:
        """Whether one more may be opened; the one that has rested longest makes room."""
        if self.budget.full and self.resting:
            line = next(iter(self.resting))
            line.pool.wake(line)
            line.break_off()
            gevent.sleep(0)
        return not self.budget.full
