"""The watch on the list of backends: kept open, opened anew when it ends or falls silent, and moved."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import gevent
import structlog
from gevent import socket

from nettledeal.net.address import Address, written
from nettledeal.net.counters import Counters
from nettledeal.net.protocol import discovery
from nettledeal.net.protocol.catalogue import Catalogue, CatalogueUpdate, Garbled
from nettledeal.net.protocol.discovery import Declined
from nettledeal.net.transport.sockets import opened, send_all, smooth

# What discovery has to tell counts as told six seconds after it had it and could be reached, whatever became
# of the calls in between. A call goes on for no longer than a watch may say nothing, and the next begins
# `LONGEST_REST` later at most: a call that hangs from before discovery came back leaves time for another, a
# watch that has fallen silent for one that hangs and a third. Less patience with a service that is slow makes
# it slower, as a call given up has cost it as much as one that was heard.
#
# A line comes every two seconds, so one overdue by a third of that is not waited for. In seconds, as all.
SILENCE = 2.6
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 0.66
# Turned away: callers that come back as often as after a loss would all be turned away again.
FIRST_DECLINED = 0.25
LONGEST_DECLINED = 2.0
# Between two calls, and what is at least kept of it when a service asks for more: not all in one instant.
LONGEST_REST, LEAST_REST = 2.0, 1.25

log = structlog.get_logger()


class Backoff:
    """How long to wait before the next call; no two agents of a fleet wait alike."""

    def __init__(self, chance: Random):
        self.chance = chance
        self.heard()

    def heard(self) -> None:
        self.pause = FIRST_PAUSE

    def next(self, declined: Declined | None) -> float:
        longest = LONGEST_PAUSE
        if declined is not None:
            # Each of them halves its calls while they are too many, and comes when it is told to: but in time
            # to hear of a change.
            longest = LONGEST_DECLINED
            self.pause = max(self.pause, FIRST_DECLINED, declined.retry_after or 0.0)
        least, most = min(0.5 * self.pause, LEAST_REST), min(1.5 * self.pause, LONGEST_REST)
        pause = least + (most - least) * self.chance.random()
        self.pause = min(2 * self.pause, longest)
        return pause


class AddressWatch:
    """The watch at one address."""

    def __init__(
        self,
        address: Address,
        chance: Random,
        counters: Counters,
        catalogue: Catalogue,
        news: Callable[[AddressWatch, CatalogueUpdate], None],
        lost: Callable[[AddressWatch], None],
        version: int | None = None,
    ):
        self.address = address
        self.backoff = Backoff(chance)
        self.counters = counters
        self.catalogue = catalogue
        self.news = news
        self.lost = lost
        # Heard last. None asks for the whole list: at a start with no list known, and after a line that could
        # not be read, as the next ones leave out what it said. What was known at the start may be old: what
        # has changed since then is much less to ask for, where all agents start at once.
        self.version = version
        self.stands = False  # the list has been heard, and not been lost since
        self.followed = False  # another one takes its place: once lost, it does not come back
        self.by = 0.0  # by the monotonic clock: when the call is given up unless it says something whole
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self.greenlet = gevent.spawn(self._run)

    def end(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def _run(self) -> None:
        while not self.followed:
            declined = None
            try:
                if self.version is None:
                    self._fetch()
                for line in self._watch():
                    self.backoff.heard()
                    self.stands = True
                    if line:
                        self._read(line)
            except OSError as fault:
                self.counters[f"list lost: {fault}"] += 1
            except Declined as fault:
                # No fault of what was told so far: asking for all of it again, by two calls where one was too
                # many, would keep discovery too busy to answer any agent of a large fleet.
                self.counters["list calls declined"] += 1
                declined = fault
            except Garbled as fault:
                self.version = None
                self.counters["list lines garbled"] += 1
                log.warning("list garbled", why=str(fault)[:200])
            except Exception:
                self.version = None
                self.counters.fault("watch")
            self.stands = False
            self.lost(self)
            # Agents that lose the list together must not all come back in the same instant.
            gevent.sleep(self.backoff.next(declined))

    def _read(self, line: bytes | bytearray) -> None:
        news = self.catalogue.parse(line)
        if news.unread:
            self.counters["list entries garbled"] += news.unread
        self.version = news.generation
        self.stands = True
        self.news(self, news)

    def _fetch(self) -> None:
        with self._open() as sock:
            send_all(sock, [discovery.whole_list(written(self.address))])
            for told in self._hear(sock):
                if told.ended:
                    self._read(told.rest)
                    return
        raise Garbled("the list was cut")

    def _watch(self) -> Iterator[bytes]:
        with self._open() as sock:
            send_all(sock, [discovery.watch(written(self.address), self.version or 0)])
            for told in self._hear(sock):
                if lines := told.lines():
                    # Whole ones only: single bytes of one that never ends are no sign of life.
                    self.by = time.monotonic() + SILENCE
                yield from lines

    @contextmanager
    def _open(self) -> Iterator[socket.socket]:
        self.by = time.monotonic() + SILENCE
        with opened(self.address) as sock:
            sock.settimeout(self._left())
            sock.connect(self.address)
            smooth(sock)
            yield sock

    def _left(self) -> float:
        left = self.by - time.monotonic()
        if left <= 0:
            raise TimeoutError("nothing whole in time")
        return left

    def _hear(self, sock: socket.socket) -> Iterator[discovery.DiscoveryResponse]:
        """The answer, each time more of it has come."""
        told = discovery.DiscoveryResponse()
        buffer = bytearray(16 * 1024)
        while not told.ended:
            sock.settimeout(self._left())
            count = sock.recv_into(buffer)
            if not count:
                return
            told.feed(memoryview(buffer)[:count])
            yield told


class DiscoveryWatch:
    """The one watch that counts, and while that has heard nothing yet, the one that it follows."""

    def __init__(
        self,
        address: Address,
        chance: Random,
        counters: Counters,
        catalogue: Catalogue,
        news: Callable[[CatalogueUpdate], None],
        lost: Callable[[], None],
        version: int | None = None,
    ):
        self.parts = chance, counters, catalogue, self._heard, self._lost
        self.news = news
        self.lost = lost
        self.watch = AddressWatch(address, *self.parts, version)
        self.former: AddressWatch | None = None
        self.started = False

    def start(self) -> None:
        if not self.started:
            self.started = True
            self.watch.start()

    def move(self, address: Address) -> None:
        """To another address at once; what the old one still says is heard until the new one has spoken, or
        a change told in between would be missed."""
        if address == self.watch.address:
            return
        if self.watch.stands:
            self.former = self.watch
            self.former.followed = True
        else:
            # Moved again before it stood: its forerunner, if any, is the one that is still heard.
            self.watch.end()
        self.watch = AddressWatch(address, *self.parts)
        if self.started:
            self.watch.start()

    def _heard(self, watch: AddressWatch, news: CatalogueUpdate) -> None:
        if watch is self.watch and self.former is not None:
            self.former.end()
            self.former = None
        if watch in (self.watch, self.former):
            self.news(news)

    def _lost(self, watch: AddressWatch) -> None:
        if watch is self.former:
            self.former = None
        # While either of them stands the list is not lost.
        if self.former is None and not self.watch.stands:
            self.lost()
