"""Multi-page lists whose reading takes longer than the primary and the agents wait for a report."""

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
class FakeClock:
    now_s: float = 100.0

    def monotonic(self):
        return self.now_s

    def time_ns(self):
        return int(self.now_s * 1e9)


@dataclass
class FakePagedList:
    """A list client whose pages take `PAGE_S` each; `fails_at` is the index of the page that fails."""

    clock: FakeClock
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
            for callback in self.after_page:
                callback(number)
        reading.complete = True
        return reading


@dataclass
class FakeRole:
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
class FakeSource:
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


class ReaderOfLongList:
    """A catalogue reader with a list of ten pages."""

    def __init__(self, monkeypatch):
        self.clock = FakeClock()
        monkeypatch.setattr(reader_module, "time", self.clock)
        self.client = FakePagedList(self.clock, [[backend(number)] for number in range(10)])
        self.role, self.source = FakeRole(), FakeSource()
        settings = Settings(
            "core-1", "control-plane", "core", [], "127.0.0.1", "z", "r", (1, 9), [], {"z": "r"},
            bounds=Bounds(drain_ms=4000), cloud=Cloud("127.0.0.1:1", rate_per_s=RATE_PER_S),
        )  # fmt: skip
        self.reader = CatalogueReader(settings, self.role, self.source, lambda: None, self.client)


@pytest.fixture
def long_list(monkeypatch):
    return ReaderOfLongList(monkeypatch)


def test_the_first_reading_is_published_once_it_is_complete(long_list):
    long_list.client.after_page.append(lambda _: assert_empty(long_list.source.published))
    long_list.reader.step()
    assert [len(entries) for entries in long_list.source.published] == [10]


def assert_empty(published):
    assert published == []


def test_changes_of_a_page_are_published_before_the_reading_ends(long_list):
    long_list.reader.step()
    long_list.client.pages[2] = [backend(2, state=BackendState.DRAINING)]
    states = []
    long_list.client.after_page.append(lambda _: states.append(long_list.source.published[-1]["b-2"].state))
    long_list.reader.step()
    assert states == [BackendState.READY] * 2 + [BackendState.DRAINING] * 8
    assert len(long_list.source.published) == 2


def test_a_backend_is_removed_only_after_two_complete_readings(long_list):
    long_list.reader.step()
    long_list.client.pages[4] = []
    long_list.reader.step()
    assert "b-4" in long_list.source.published[-1]
    long_list.reader.step()
    assert "b-4" not in long_list.source.published[-1]


def test_progress_of_a_long_reading_is_reported_to_the_primary(long_list):
    report_counts = []
    long_list.client.after_page.append(lambda _: report_counts.append(len(long_list.role.reports)))
    long_list.reader.step()
    assert report_counts == list(range(1, 11))


def test_a_list_that_fails_repeatedly_is_not_reported_as_read(long_list):
    long_list.client.fails_at = 9
    long_list.reader.step()
    long_list.role.reports.clear()
    long_list.reader.step()
    assert long_list.role.reports == [False]


def test_a_reappointed_reader_reports_progress_despite_earlier_failures(long_list):
    long_list.client.fails_at = 9
    long_list.reader.step()
    long_list.role.reader = "other"
    long_list.reader.step()
    long_list.role.reader = "me"
    long_list.role.reports.clear()
    long_list.reader.step()
    assert long_list.role.reports == [True] * 9 + [False]


def test_progress_of_a_long_reading_confirms_the_source_after_a_complete_one(long_list):
    long_list.reader.step()
    assert long_list.source.confirmed == [100.0]
    long_list.reader.step()
    assert (
        max(
            b - a
            for a, b in zip(long_list.source.confirmed[1:], long_list.source.confirmed[2:], strict=False)
        )
        <= 0.5
    )


def test_a_replaced_reader_publishes_no_more_pages(long_list):
    long_list.reader.step()
    long_list.client.pages[2] = [backend(2, state=BackendState.DRAINING)]
    long_list.client.after_page.append(
        lambda number: setattr(long_list.role, "reader", "other" if number == 1 else "me")
    )
    long_list.client.after_page.append(lambda number: setattr(long_list.role, "reader", "other"))
    long_list.reader.step()
    assert len(long_list.source.published) == 1


def test_the_delay_after_a_long_reading_is_the_minimum_read_interval(long_list):
    assert long_list.reader.step() == pytest.approx(1 / (0.5 * RATE_PER_S), rel=0.06)


def test_an_elapsing_countdown_is_not_a_change_during_long_readings(long_list):
    long_list.client.pages[3] = [backend(3, warmup_left_ms=60_000.0)]
    long_list.reader.step()
    # The first reading applies its countdowns at its end, later ones with their page.
    for _ in range(2):
        started = long_list.clock.now_s
        left_ms = 60_000.0 - 1000 * (started + 4 * PAGE_S - 102.0)
        long_list.client.pages[3] = [backend(3, warmup_left_ms=left_ms)]
        long_list.reader.step()
    assert len(long_list.source.published) <= 2
