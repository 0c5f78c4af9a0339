"""Watches the list of backends at discovery; reconnects when the watch ends or falls silent."""

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

# Changes must be known six seconds after discovery has them and can be reached, whatever happened to the
# calls in between. A call is given up after SILENCE_TIMEOUT_S without a complete line, and the next one
# begins at most MAX_WAIT_S later. So there is time for another call after one that hung from before discovery
# came back, and for a hanging call and a third one after a watch that fell silent. Shorter timeouts would
# make a slow service slower, as a call that is given up costs it as much as one that succeeds.
#
# The watch sends a line every two seconds; it is given up when one is overdue by a third of that.
SILENCE_TIMEOUT_S = 2.6
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.66
# After a refusal for overload: callers that retried as fast as after a loss would all be refused again.
FIRST_DECLINED_PAUSE_S = 0.25
MAX_DECLINED_PAUSE_S = 2.0
# Limits of the random wait between two calls. The lower end stays below the upper one even if the service
# asks for a long wait, so that callers don't all return at the same moment.
MAX_WAIT_S, MAX_LEAST_WAIT_S = 2.0, 1.25

log = structlog.get_logger()


class Backoff:
    """Exponential backoff with jitter between calls."""

    def __init__(self, random: Random):
        self.random = random
        self.reset()

    def reset(self) -> None:
        self.pause_s = FIRST_PAUSE_S

    def next_pause_s(self, declined: CallDeclined | None) -> float:
        max_pause_s = MAX_PAUSE_S
        if declined is not None:
            # Each caller halves its rate while discovery is overloaded and respects Retry-After, but only up
            # to a limit that still lets it learn of a change in time.
            max_pause_s = MAX_DECLINED_PAUSE_S
            self.pause_s = max(self.pause_s, FIRST_DECLINED_PAUSE_S, declined.retry_after or 0.0)
        least_s, most_s = min(0.5 * self.pause_s, MAX_LEAST_WAIT_S), min(1.5 * self.pause_s, MAX_WAIT_S)
        pause_s = least_s + (most_s - least_s) * self.random.random()
        self.pause_s = min(2 * self.pause_s, max_pause_s)
        return pause_s


class AddressWatch:
    """The watch at one discovery address."""

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
        # The last version received. None requests the full list: at a start without a known list, and after a
        # malformed line, since later lines don't repeat its changes. A list known at the start may be old,
        # but requesting only the changes since then is much cheaper when all agents start at once.
        self.version = version
        self.is_live = False  # the list was received and the watch not lost since
        self.superseded = False  # replaced by another watch: doesn't reconnect once lost
        self.give_up_at = 0.0  # monotonic time when the call is given up, unless a complete line arrives
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
                # What was received so far remains valid. Requesting the full list would take two calls
                # instead of one and could keep discovery overloaded by a large fleet.
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
            # Agents that lose the list together must not all reconnect at the same moment.
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
        raise MalformedCatalogue("the list is incomplete")

    def _watch(self) -> Iterator[bytes]:
        with self._connect() as sock:
            send_all(sock, [discovery.watch_request(format_address(self.address), self.version or 0)])
            for response in self._read_response(sock):
                if lines := response.take_lines():
                    # Only complete lines count: bytes of an endless line are no sign of life.
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
        """Yield the response each time more of it has arrived."""
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
    """The current watch and, after a change of address until it has data, the previous one."""

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
        """Watch another address.

        The old watch stays in use until the new one has received something, or changes in between would be
        missed.
        """
        if address == self.current.address:
            return
        if self.current.is_live:
            self.previous = self.current
            self.previous.superseded = True
        else:
            # Replaced before it received anything: the previous watch, if any, stays in use.
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
        # While either watch is live the list is not lost.
        if self.previous is None and not self.current.is_live:
            self.on_lost()
