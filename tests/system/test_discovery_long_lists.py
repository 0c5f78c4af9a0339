"""Lists of many pages, whose reading takes longer than the primary and the agents wait for news of it."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.settings import Bounds, Cloud, Settings
from nettledeal.discovery import catalogue_reader as reader_module
from nettledeal.discovery.catalogue import Backend, BackendState, decode_backend
from nettledeal.discovery.catalogue_reader import CatalogueReader, Reading

PAGE_S = 0.5
RATE_PER_S = 20.0


@dataclass
class Clock:
    now_s: float = 100.0

    def monotonic(self):
        return self.now_s

    def time_ns(self):
        return int(self.now_s * 1e9)


@dataclass
class PagedList:
    """A client whose pages take `PAGE_S` each; `fails_at` is the page that cannot be had."""

    clock: Clock
    pages: list[list[Backend]]
    fails_at: int | None = None
    after_page: list = field(default_factory=list)

    def read(self, on_page):
        reading = Reading()
        for number, page in enumerate(self.pages):
            if number == self.fails_at:
                reading.error = ServingError(ErrorCode.UNAVAILABLE, "read list")
                return reading
            self.clock.now_s += PAGE_S
            reading.backends += page
            reading.pages += 1
            on_page(page)
            for look in self.after_page:
                look(number)
        reading.complete = True
        return reading


@dataclass
class Role:
    replica_id: str = "me"
    reader: str = "me"
    reports: list = field(default_factory=list)

    @property
    def reader_term(self):
        return self

    epoch: int = 1
    number: int = 0
    granted: bool = True

    def report_reading(self, ok):
        self.reports.append(ok)


@dataclass
class Source:
    version: tuple = ()
    published: list = field(default_factory=list)
    confirmed: list = field(default_factory=list)

    def publish(self, version, entries):
        self.version = version
        self.published.append({key: decode_backend(value) for key, value in entries.items()})

    def confirm(self, now_s):
        self.confirmed.append(now_s)


def backend(number, **changes):
    return Backend(f"b-{number}", "s", f"10.0.0.{number}:80", "z", **changes)


class LongReading:
    """A reader with a list of ten pages."""

    def __init__(self, monkeypatch):
        self.clock = Clock()
        monkeypatch.setattr(reader_module, "time", self.clock)
        self.client = PagedList(self.clock, [[backend(number)] for number in range(10)])
        self.role, self.source = Role(), Source()
        settings = Settings(
            "core-1", "control-plane", "core", [], "127.0.0.1", "z", "r", (1, 9), [], {"z": "r"},
            bounds=Bounds(drain_ms=4000), cloud=Cloud("127.0.0.1:1", rate_per_s=RATE_PER_S),
        )  # fmt: skip
        self.reader = CatalogueReader(settings, self.role, self.source, lambda: None, self.client)


@pytest.fixture
def long(monkeypatch):
    return LongReading(monkeypatch)


def test_a_first_reading_is_published_once_it_is_whole(long):
    long.client.after_page.append(lambda _: assert_empty(long.source.published))
    long.reader.step()
    assert [len(entries) for entries in long.source.published] == [10]


def assert_empty(published):
    assert published == []


def test_what_a_page_changes_is_published_before_the_reading_ends(long):
    long.reader.step()
    long.client.pages[2] = [backend(2, state=BackendState.DRAINING)]
    states = []
    long.client.after_page.append(lambda _: states.append(long.source.published[-1]["b-2"].state))
    long.reader.step()
    assert states == [BackendState.READY] * 2 + [BackendState.DRAINING] * 8
    assert len(long.source.published) == 2


def test_a_backend_is_gone_only_after_two_whole_readings(long):
    long.reader.step()
    long.client.pages[4] = []
    long.reader.step()
    assert "b-4" in long.source.published[-1]
    long.reader.step()
    assert "b-4" not in long.source.published[-1]


def test_the_primary_hears_of_a_long_reading_while_it_goes_on(long):
    heard = []
    long.client.after_page.append(lambda _: heard.append(len(long.role.reports)))
    long.reader.step()
    assert heard == list(range(1, 11))


def test_a_list_that_fails_again_and_again_is_not_reported_as_read(long):
    long.client.fails_at = 9
    long.reader.step()
    long.role.reports.clear()
    long.reader.step()
    assert long.role.reports == [False]


def test_another_reader_reports_its_first_reading_whatever_it_met_before(long):
    long.client.fails_at = 9
    long.reader.step()
    long.role.reader = "other"
    long.reader.step()
    long.role.reader = "me"
    long.role.reports.clear()
    long.reader.step()
    assert long.role.reports == [True] * 9 + [False]


def test_agents_are_told_that_a_long_reading_goes_on_once_they_hold_a_whole_one(long):
    long.reader.step()
    assert long.source.confirmed == [100.0]
    long.reader.step()
    assert (
        max(b - a for a, b in zip(long.source.confirmed[1:], long.source.confirmed[2:], strict=False)) <= 0.5
    )


def test_a_reader_that_was_replaced_publishes_no_more_pages(long):
    long.reader.step()
    long.client.pages[2] = [backend(2, state=BackendState.DRAINING)]
    long.client.after_page.append(
        lambda number: setattr(long.role, "reader", "other" if number == 1 else "me")
    )
    long.client.after_page.append(lambda number: setattr(long.role, "reader", "other"))
    long.reader.step()
    assert len(long.source.published) == 1


def test_the_pause_after_a_long_reading_is_that_of_one_call(long):
    assert long.reader.step() == pytest.approx(1 / (0.5 * RATE_PER_S), rel=0.06)


def test_a_countdown_that_runs_on_is_no_change_however_long_the_reading_takes(long):
    long.client.pages[3] = [backend(3, warmup_left_ms=60_000.0)]
    long.reader.step()
    # The first reading notes its countdowns at its end, later ones at their page.
    for _ in range(2):
        started = long.clock.now_s
        left_ms = 60_000.0 - 1000 * (started + 4 * PAGE_S - 102.0)
        long.client.pages[3] = [backend(3, warmup_left_ms=left_ms)]
        long.reader.step()
    assert len(long.source.published) <= 2
