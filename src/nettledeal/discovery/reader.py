"""The reader of the platform's list: on the one core process that is appointed, about once a second."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol
from urllib.parse import urlencode

import gevent
import msgspec
from gevent.event import Event

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_client import HttpClient
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings
from nettledeal.discovery.catalogue import Backend, Catalogue, parse_page

# Readings are this part of the time in which a draining backend must have been left.
READINGS_PER_DRAIN = 10
MIN_INTERVAL_S, MAX_INTERVAL_S = 0.25, 0.5
# Of the list's rate for all processes, one reader uses at most so much.
RATE_SHARE = 0.5
PAGE_TIMEOUT_S = 1.0
# How often a page is asked for again within one reading.
PAGE_ATTEMPTS = 3
MAX_PAGES = 400
# While a reading goes on for long, what it has found is published, and told to be under way, so often.
PROGRESS_INTERVAL_S = 0.4
# While this process is not the reader, it looks so often whether it has become it, if nobody tells it.
IDLE_INTERVAL_S = 0.2
_NANOSECONDS_PER_MS = 1_000_000


class Term(Protocol):
    """An appointment of a reader."""

    epoch: int
    number: int
    granted: bool


class ReaderRole(Protocol):
    """Who reads the list; the control node knows."""

    replica_id: str
    reader: str | None
    reader_term: Term

    def report_reading(self, ok: bool) -> None:
        """Tell the primary how a reading went."""


class Source(Protocol):
    """Where the catalogue is published."""

    version: tuple[int, ...]

    def publish(self, version: tuple[int, ...], entries: Mapping[str, bytes]) -> object:
        """The catalogue at a version: the reader's epoch and number, and the number of the change."""

    def confirm(self, now_s: float) -> None:
        """The catalogue was read at that time of the steady clock and holds what was published."""


class Reading(msgspec.Struct):
    """What one pass over the pages gave."""

    backends: list[Backend] = []
    pages: int = 0
    unreadable: int = 0
    complete: bool = False
    error: ServingError | None = None


class ListClient:
    """Reads the pages of the list."""

    def __init__(self, settings: Settings, random: Random | None = None):
        self._client = HttpClient(parse_address(settings.cloud.address))
        self._random = random or Random()
        self._spacing_s = 1.0 / max(1.0, settings.cloud.rate_per_s * RATE_SHARE)

    def read(self, on_page: Callable[[list[Backend]], None] = lambda backends: None) -> Reading:
        """All pages, or those before the first one that could not be had in a few attempts.

        `on_page` gets each page's backends as soon as they are read.
        """
        reading = Reading()
        token: str | None = None
        while reading.pages < MAX_PAGES:
            try:
                backends, token, unreadable = self._page_with_attempts(token)
            except ServingError as error:
                reading.error = error
                return reading
            reading.backends += backends
            reading.unreadable += unreadable
            reading.pages += 1
            on_page(backends)
            if token is None:
                reading.complete = True
                break
            gevent.sleep(self._spacing_s)
        return reading

    def _page_with_attempts(self, token: str | None) -> tuple[list[Backend], str | None, int]:
        for attempt in range(1, PAGE_ATTEMPTS + 1):
            try:
                return self._page(token)
            except ServingError:
                if attempt == PAGE_ATTEMPTS:
                    raise
                gevent.sleep(self._backoff_s(attempt))
        raise AssertionError("unreachable")

    def _page(self, token: str | None) -> tuple[list[Backend], str | None, int]:
        target = "/instances" + (f"?{urlencode({'page_token': token})}" if token is not None else "")
        response = self._client.get(target, PAGE_TIMEOUT_S)
        if response.status != 200:
            raise ServingError(
                ErrorCode.UNAVAILABLE, "read list", f"status {response.status}", str(self._client.address)
            )
        return parse_page(response.body)

    def _backoff_s(self, attempt: int) -> float:
        return self._spacing_s * 2**attempt * (0.5 + self._random.random())


class CatalogueReader:
    """Reads while this process is the appointed reader, and publishes what has changed."""

    def __init__(
        self,
        settings: Settings,
        role: ReaderRole,
        source: Source,
        notify: Callable[[], None],
        client: ListClient | None = None,
    ):
        """`notify` is called after each publication, to have subscribers told."""
        self._role = role
        self._source = source
        self._notify = notify
        self._client = client or ListClient(settings)
        self._random = Random()
        drain_s = settings.bounds.drain_ms / 1000
        self._interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, drain_s / READINGS_PER_DRAIN))
        self._min_call_interval_s = 1.0 / max(0.1, settings.cloud.rate_per_s * RATE_SHARE)
        self._term: tuple[int, int] | None = None
        self._catalogue = Catalogue()
        self._whole_once = False  # whether this term has read the whole list
        self._unpublished = False
        self._incomplete = False  # whether this term's last reading was
        self._progress_at = 0.0
        self._failing = False
        self._role_changed = Event()

    def start(self) -> gevent.Greenlet:
        """Run the loop in a greenlet of its own."""
        return gevent.spawn(self.run)

    def run(self) -> None:
        """Read for as long as the process lives; never returns."""
        while True:
            self._role_changed.clear()
            self._role_changed.wait(self.step())

    def role_changed(self) -> None:
        """The appointment is another than before: look at it without waiting for the interval to end."""
        self._role_changed.set()

    def step(self) -> float:
        """One pass of the loop; returns the seconds until the next one."""
        if not self._is_reader():
            self._term = None
            return IDLE_INTERVAL_S
        if self._term is None:
            self._begin()
        started = self._progress_at = time.monotonic()
        reading = self._client.read(self._take_page)
        # The role may have moved on while the list was slow.
        if not self._is_reader():
            return 0.0
        self._take(reading, started)
        spent = time.monotonic() - started
        return max(self._min_call_interval_s, self._interval_s - spent) * (0.95 + 0.1 * self._random.random())

    def _is_reader(self) -> bool:
        return self._role.reader is not None and self._role.reader == self._role.replica_id

    def _begin(self) -> None:
        self._term = (-1, -1)
        self._catalogue = Catalogue()
        self._whole_once = self._unpublished = self._incomplete = False
        log_event("discovery:reader_started")

    def _take_page(self, backends: list[Backend]) -> None:
        """Publish what a page changes without waiting for the rest of a long list."""
        if not self._is_reader():
            return
        now = time.monotonic()
        if self._whole_once:
            self._unpublished |= self._catalogue.apply(backends, now, complete=False)
        if now - self._progress_at < PROGRESS_INTERVAL_S:
            return
        self._progress_at = now
        if self._whole_once:
            self._publish(self._unpublished)
            self._source.confirm(now)
        # A list whose later pages fail again and again is no good reading.
        if not self._incomplete:
            self._role.report_reading(True)

    def _take(self, reading: Reading, started: float) -> None:
        ok = reading.complete
        self._incomplete = not ok
        if self._failing == ok:
            self._failing = not ok
            log_event(
                "discovery:list_readable" if ok else "discovery:list_unreadable",
                reason=str(reading.error or ""),
            )
        # A first reading must be whole: publishing a part of the list would drop the backends of the rest.
        if self._whole_once:
            gone = ok and self._catalogue.retain({backend.id for backend in reading.backends}, reading.pages)
            self._publish(gone or self._unpublished)
        elif ok:
            self._whole_once = True
            self._catalogue.apply(reading.backends, time.monotonic(), ok, reading.pages)
            self._publish(True)
        if ok:
            self._source.confirm(started)
        self._role.report_reading(ok)

    def _next_change(self, term: tuple[int, int]) -> int:
        """Rises within a term, which belongs to one life of a process.

        Where the primary is of a release that does not see to that, a process that was started again has to
        exceed what it published before: then a term's first change is numbered by the time of day.
        """
        held = self._source.version
        following = held[2] + 1 if held[:2] == term else 0
        if self._role.reader_term.granted:
            return following
        return max(following, time.time_ns() // _NANOSECONDS_PER_MS)

    def _publish(self, changed: bool) -> None:
        """Publish if there is something new, or if the term is: its catalogue replaces any other."""
        term = (self._role.reader_term.epoch, self._role.reader_term.number)
        if changed or term != self._term:
            self._term = term
            self._unpublished = False
            self._source.publish((*term, self._next_change(term)), self._catalogue.entries())
            self._notify()
