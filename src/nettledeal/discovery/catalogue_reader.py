"""Reads the platform's list, about once a second, on the core process that is the appointed reader."""

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

# Readings within the time in which traffic must have left a draining backend.
READINGS_PER_DRAIN_TIME = 10
MIN_INTERVAL_S, MAX_INTERVAL_S = 0.25, 0.5
# Share of the list's rate limit for all processes that one reader may use.
LIST_RATE_FRACTION = 0.5
PAGE_TIMEOUT_S = 1.0
# Attempts per page within one reading.
PAGE_ATTEMPTS = 3
MAX_PAGES = 400
# During a long reading, its changes are published and its progress is reported at this interval.
PROGRESS_INTERVAL_S = 0.4
# Interval at which a process that isn't the reader checks its role, unless notified earlier.
IDLE_INTERVAL_S = 0.2
_NANOSECONDS_PER_MS = 1_000_000


class Term(Protocol):
    """The term of an appointed reader."""

    epoch: int
    number: int
    granted: bool


class ReaderRole(Protocol):
    """The control node's view of which process reads the list."""

    replica_id: str
    reader: str | None
    reader_term: Term

    def report_reading(self, ok: bool) -> None:
        """Reports the result of a reading to the primary."""


class CatalogueSource(Protocol):
    """Where the catalogue is published."""

    version: tuple[int, ...]

    def publish(self, version: tuple[int, ...], entries: Mapping[str, bytes]) -> object:
        """Publishes the catalogue; a version is the term's epoch and number, and the number of the change."""

    def confirm(self, now_s: float) -> None:
        """Confirms that the published catalogue was current at `now_s` (monotonic seconds)."""


class Reading(msgspec.Struct):
    """Result of one pass over the pages."""

    backends: list[Backend] = []
    pages: int = 0
    unreadable: int = 0
    complete: bool = False
    error: ServingError | None = None


class ListClient:
    """HTTP client for the pages of the platform's list."""

    def __init__(self, settings: Settings, random: Random | None = None):
        self._client = HttpClient(parse_address(settings.cloud.address))
        self._random = random or Random()
        self._page_interval_s = 1.0 / max(1.0, settings.cloud.rate_per_s * LIST_RATE_FRACTION)

    def read(self, on_page: Callable[[list[Backend]], None] = lambda backends: None) -> Reading:
        """Reads all pages, or those before the first page for which all attempts failed.

        Calls `on_page` with each page's backends as soon as they have been read.
        """
        reading = Reading()
        token: str | None = None
        while reading.pages < MAX_PAGES:
            try:
                backends, token, unreadable = self._fetch_page_with_retries(token)
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
            gevent.sleep(self._page_interval_s)
        return reading

    def _fetch_page_with_retries(self, token: str | None) -> tuple[list[Backend], str | None, int]:
        for attempt in range(1, PAGE_ATTEMPTS + 1):
            try:
                return self._fetch_page(token)
            except ServingError:
                if attempt == PAGE_ATTEMPTS:
                    raise
                gevent.sleep(self._backoff_s(attempt))
        raise AssertionError("unreachable")

    def _fetch_page(self, token: str | None) -> tuple[list[Backend], str | None, int]:
        path = "/instances" + (f"?{urlencode({'page_token': token})}" if token is not None else "")
        response = self._client.get(path, PAGE_TIMEOUT_S)
        if response.status != 200:
            raise ServingError(
                ErrorCode.UNAVAILABLE, "read list", f"status {response.status}", str(self._client.address)
            )
        return parse_page(response.body)

    def _backoff_s(self, attempt: int) -> float:
        return self._page_interval_s * 2**attempt * (0.5 + self._random.random())


class CatalogueReader:
    """Reads the list while this process is the appointed reader and publishes changes."""

    def __init__(
        self,
        settings: Settings,
        role: ReaderRole,
        source: CatalogueSource,
        notify: Callable[[], None],
        client: ListClient | None = None,
    ):
        """`notify` is called after each publication to update subscribers."""
        self._role = role
        self._source = source
        self._notify = notify
        self._client = client or ListClient(settings)
        self._random = Random()
        drain_s = settings.bounds.drain_ms / 1000
        self._interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, drain_s / READINGS_PER_DRAIN_TIME))
        self._min_read_interval_s = 1.0 / max(0.1, settings.cloud.rate_per_s * LIST_RATE_FRACTION)
        self._term: tuple[int, int] | None = None
        self._catalogue = Catalogue()
        self._has_complete_reading = False  # in this term
        self._has_unpublished_changes = False
        self._last_reading_incomplete = False  # in this term
        self._progress_at_s = 0.0
        self._list_failing = False
        self._role_changed = Event()

    def start(self) -> gevent.Greenlet:
        """Runs the loop in a new greenlet."""
        return gevent.spawn(self.run)

    def run(self) -> None:
        """Reads repeatedly; never returns."""
        while True:
            self._role_changed.clear()
            self._role_changed.wait(self.step())

    def role_changed(self) -> None:
        """Wakes the loop to check a changed appointment before the interval ends."""
        self._role_changed.set()

    def step(self) -> float:
        """Runs one pass of the loop; returns the seconds until the next one."""
        if not self._is_reader():
            self._term = None
            return IDLE_INTERVAL_S
        if self._term is None:
            self._start_term()
        started_at_s = self._progress_at_s = time.monotonic()
        reading = self._client.read(self._apply_page)
        # Another process may have become the reader during a slow reading.
        if not self._is_reader():
            return 0.0
        self._apply_reading(reading, started_at_s)
        elapsed_s = time.monotonic() - started_at_s
        return max(self._min_read_interval_s, self._interval_s - elapsed_s) * (
            0.95 + 0.1 * self._random.random()
        )

    def _is_reader(self) -> bool:
        return self._role.reader is not None and self._role.reader == self._role.replica_id

    def _start_term(self) -> None:
        self._term = (-1, -1)
        self._catalogue = Catalogue()
        self._has_complete_reading = self._has_unpublished_changes = self._last_reading_incomplete = False
        log_event("discovery:reader_started")

    def _apply_page(self, backends: list[Backend]) -> None:
        """Publishes the changes of a page without waiting for the rest of a long list."""
        if not self._is_reader():
            return
        now_s = time.monotonic()
        if self._has_complete_reading:
            self._has_unpublished_changes |= self._catalogue.apply(backends, now_s, complete=False)
        if now_s - self._progress_at_s < PROGRESS_INTERVAL_S:
            return
        self._progress_at_s = now_s
        if self._has_complete_reading:
            self._publish(self._has_unpublished_changes)
            self._source.confirm(now_s)
        # If the last reading was incomplete, this one may fail too, so it isn't reported as successful yet.
        if not self._last_reading_incomplete:
            self._role.report_reading(True)

    def _apply_reading(self, reading: Reading, started_at_s: float) -> None:
        ok = reading.complete
        self._last_reading_incomplete = not ok
        if self._list_failing == ok:
            self._list_failing = not ok
            log_event(
                "discovery:list_readable" if ok else "discovery:list_unreadable",
                reason=str(reading.error or ""),
            )
        # A term's first reading must be complete: publishing part of the list would drop the other backends.
        if self._has_complete_reading:
            removed = ok and self._catalogue.remove_missing(
                {backend.id for backend in reading.backends}, reading.pages
            )
            self._publish(removed or self._has_unpublished_changes)
        elif ok:
            self._has_complete_reading = True
            self._catalogue.apply(reading.backends, time.monotonic(), ok, reading.pages)
            self._publish(True)
        if ok:
            self._source.confirm(started_at_s)
        self._role.report_reading(ok)

    def _next_change_number(self, term: tuple[int, int]) -> int:
        """Returns the next change number, which increases within a term of one process incarnation.

        A primary of an earlier release doesn't ensure that, so a restarted process has to exceed the numbers
        that it published before: in that case the wall clock in milliseconds is the lower bound.
        """
        published_version = self._source.version
        next_number = published_version[2] + 1 if published_version[:2] == term else 0
        if self._role.reader_term.granted:
            return next_number
        return max(next_number, time.time_ns() // _NANOSECONDS_PER_MS)

    def _publish(self, changed: bool) -> None:
        """Publishes if there are changes, or if the term is new, since its catalogue replaces any other."""
        term = (self._role.reader_term.epoch, self._role.reader_term.number)
        if changed or term != self._term:
            self._term = term
            self._has_unpublished_changes = False
            self._source.publish((*term, self._next_change_number(term)), self._catalogue.entries())
            self._notify()
