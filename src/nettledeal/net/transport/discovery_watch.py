"""The watch on the list of backends: kept open, opened anew when it ends or falls silent, and moved."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import gevent
import structlog
from gevent import socket

from nettledeal.net.address import Address, format_address
from nettledeal.net.counters import Counters
from nettledeal.net.protocol import discovery
from nettledeal.net.protocol.catalogue import Catalogue, CatalogueUpdate, MalformedCatalogue
from nettledeal.net.protocol.discovery import CallDeclined
from nettledeal.net.transport.sockets import disable_nagle, new_socket, send_all

# What discovery has to tell counts as told six seconds after it had it and could be reached, whatever became
# of the calls in between. A call goes on for no longer than a watch may say nothing, and the next begins
# `LONGEST_REST` later at most: a call that hangs from before discovery came back leaves time for another, a
# watch that has fallen silent for one that hangs and a third. Less patience with a service that is slow makes
# it slower, as a call given up has cost it as much as one that was heard.
#
# A line comes every two seconds, so one overdue by a third of that is not waited for. In seconds, as all.
SILENCE_TIMEOUT_S = 2.6
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.66
# Turned away: callers that come back as often as after a loss would all be turned away again.
FIRST_DECLINED_PAUSE_S = 0.25
MAX_DECLINED_PAUSE_S = 2.0
# Between two calls, and what is at least kept of it when a service asks for more: not all in one instant.
MAX_WAIT_S, MAX_LEAST_WAIT_S = 2.0, 1.25

log = structlog.get_logger()


class Backoff:
    """How long to wait before the next call; no two agents of a fleet wait alike."""

    def __init__(self, random: Random):
        self.random = random
        self.reset()

    def reset(self) -> None:
        self.pause_s = FIRST_PAUSE_S

    def next_pause_s(self, declined: CallDeclined | None) -> float:
        max_pause_s = MAX_PAUSE_S
        if declined is not None:
            # Each of them halves its calls while they are too many, and comes when it is told to: but in time
            # to hear of a change.
            max_pause_s = MAX_DECLINED_PAUSE_S
            self.pause_s = max(self.pause_s, FIRST_DECLINED_PAUSE_S, declined.retry_after or 0.0)
        least_s, most_s = min(0.5 * self.pause_s, MAX_LEAST_WAIT_S), min(1.5 * self.pause_s, MAX_WAIT_S)
        pause_s = least_s + (most_s - least_s) * self.random.random()
        self.pause_s = min(2 * self.pause_s, max_pause_s)
        return pause_s


class AddressWatch:
    """The watch at one address."""

    def __init__(
        self,
        address: Address,
        random: Random,
        counters: Counters,
        catalogue: Catalogue,
        on_update: Callable[[AddressWatch, CatalogueUpdate], None],
        on_lost: Callable[[AddressWatch], None],
        version: int | None = None,
    ):
        self.address = address
        self.backoff = Backoff(random)
        self.counters = counters
        self.catalogue = catalogue
        self.on_update = on_update
        self.on_lost = on_lost
        # Heard last. None asks for the whole list: at a start with no list known, and after a line that could
        # not be read, as the next ones leave out what it said. What was known at the start may be old: what
        # has changed since then is much less to ask for, where all agents start at once.
        self.version = version
        self.is_live = False  # the list has been heard, and not been lost since
        self.superseded = False  # another one takes its place: once lost, it does not come back
        self.give_up_at = (
            0.0  # by the monotonic clock: when the call is given up unless it says something whole
        )
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def _run(self) -> None:
        while not self.superseded:
            declined = None
            try:
                if self.version is None:
                    self._fetch_full_list()
                for line in self._watch():
                    self.backoff.reset()
                    self.is_live = True
                    if line:
                        self._handle_line(line)
            except OSError as error:
                self.counters[f"list lost: {error}"] += 1
            except CallDeclined as error:
                # No fault of what was told so far: asking for all of it again, by two calls where one was too
                # many, would keep discovery too busy to answer any agent of a large fleet.
                self.counters["list calls declined"] += 1
                declined = error
            except MalformedCatalogue as error:
                self.version = None
                self.counters["list lines garbled"] += 1
                log.warning("list garbled", why=str(error)[:200])
            except Exception:
                self.version = None
                self.counters.record_exception("watch")
            self.is_live = False
            self.on_lost(self)
            # Agents that lose the list together must not all come back in the same instant.
            gevent.sleep(self.backoff.next_pause_s(declined))

    def _handle_line(self, line: bytes | bytearray) -> None:
        update = self.catalogue.parse(line)
        if update.unreadable_entries:
            self.counters["list entries garbled"] += update.unreadable_entries
        self.version = update.generation
        self.is_live = True
        self.on_update(self, update)

    def _fetch_full_list(self) -> None:
        with self._connect() as sock:
            send_all(sock, [discovery.full_list_request(format_address(self.address))])
            for response in self._read_response(sock):
                if response.is_complete:
                    self._handle_line(response.buffer)
                    return
        raise MalformedCatalogue("the list was cut")

    def _watch(self) -> Iterator[bytes]:
        with self._connect() as sock:
            send_all(sock, [discovery.watch_request(format_address(self.address), self.version or 0)])
            for response in self._read_response(sock):
                if lines := response.take_lines():
                    # Whole ones only: single bytes of one that never ends are no sign of life.
                    self.give_up_at = time.monotonic() + SILENCE_TIMEOUT_S
                yield from lines

    @contextmanager
    def _connect(self) -> Iterator[socket.socket]:
        self.give_up_at = time.monotonic() + SILENCE_TIMEOUT_S
        with new_socket(self.address) as sock:
            sock.settimeout(self._time_left())
            sock.connect(self.address)
            disable_nagle(sock)
            yield sock

    def _time_left(self) -> float:
        left_s = self.give_up_at - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("nothing whole in time")
        return left_s

    def _read_response(self, sock: socket.socket) -> Iterator[discovery.DiscoveryResponse]:
        """The answer, each time more of it has come."""
        response = discovery.DiscoveryResponse()
        buffer = bytearray(16 * 1024)
        while not response.is_complete:
            sock.settimeout(self._time_left())
            count = sock.recv_into(buffer)
            if not count:
                return
            response.feed(memoryview(buffer)[:count])
            yield response


class DiscoveryWatch:
    """The one watch that counts, and while that has heard nothing yet, the one that it follows."""

    def __init__(
        self,
        address: Address,
        random: Random,
        counters: Counters,
        catalogue: Catalogue,
        on_update: Callable[[CatalogueUpdate], None],
        on_lost: Callable[[], None],
        version: int | None = None,
    ):
        self.watch_arguments = random, counters, catalogue, self._on_update, self._on_lost
        self.on_update = on_update
        self.on_lost = on_lost
        self.current = AddressWatch(address, *self.watch_arguments, version)
        self.previous: AddressWatch | None = None
        self.started = False

    def start(self) -> None:
        if not self.started:
            self.started = True
            self.current.start()

    def change_address(self, address: Address) -> None:
        """To another address at once; what the old one still says is heard until the new one has spoken, or
        a change told in between would be missed."""
        if address == self.current.address:
            return
        if self.current.is_live:
            self.previous = self.current
            self.previous.superseded = True
        else:
            # Moved again before it stood: its forerunner, if any, is the one that is still heard.
            self.current.stop()
        self.current = AddressWatch(address, *self.watch_arguments)
        if self.started:
            self.current.start()

    def _on_update(self, watch: AddressWatch, update: CatalogueUpdate) -> None:
        if watch is self.current and self.previous is not None:
            self.previous.stop()
            self.previous = None
        if watch in (self.current, self.previous):
            self.on_update(update)

    def _on_lost(self, watch: AddressWatch) -> None:
        if watch is self.previous:
            self.previous = None
        # While either of them stands the list is not lost.
        if self.previous is None and not self.current.is_live:
            self.on_lost()
