"""The catalogue reader against a fake platform list on loopback with injected failures."""

import json
from dataclasses import dataclass, field

import gevent
import pytest
from gevent.pywsgi import WSGIServer

from nettledeal.common.settings import Bounds, Cloud, Settings
from nettledeal.discovery.catalogue_reader import IDLE_INTERVAL_S, CatalogueReader, ListClient


class PlatformList:
    """A list with two entries per page; `failures` has statuses of the next calls, `broken` pages fail."""

    def __init__(self):
        self.names = ["a", "b", "c"]
        self.failures = []
        self.broken = set()
        self.calls = []
        self.server = WSGIServer(("127.0.0.1", 0), self.application, log=None)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def application(self, environ, start_response):
        token = environ["QUERY_STRING"].partition("page_token=")[2]
        self.calls.append(token)
        if self.failures or token in self.broken:
            status = self.failures.pop(0) if self.failures else "500 Broken"
            start_response(status, [("Content-Length", "0")])
            return []
        start = int(token or 0)
        following = start + 2 if start + 2 < len(self.names) else None
        body = json.dumps(
            {
                "instances": [
                    {
                        "id": name,
                        "service": "s",
                        "address": "10.0.0.1:80",
                        "zone": "z",
                        "generation": "v",
                        "capacity": 2,
                        "state": "ready",
                        "warmup_left_ms": 0,
                    }
                    for name in self.names[start : start + 2]
                ],
                "next_page_token": None if following is None else str(following),
            }
        ).encode()
        start_response("200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(body)))])
        return [body]


@dataclass
class Term:
    epoch: int = 3
    number: int = 0
    granted: bool = True


@dataclass
class FakeRole:
    replica_id: str = "me"
    reader: str | None = "me"
    reader_term: Term = field(default_factory=Term)
    reports: list = field(default_factory=list)

    def report_reading(self, ok):
        self.reports.append(ok)


@dataclass
class FakeSource:
    published: list = field(default_factory=list)
    confirmed: int = 0
    version: tuple = ()

    def publish(self, version, entries):
        assert version > self.version
        self.version = version
        self.published.append((version, set(entries)))

    def confirm(self, now_s):
        self.confirmed += 1


@pytest.fixture
def platform():
    served = PlatformList()
    yield served
    served.server.stop()


def settings_for(address):
    return Settings(
        "core-1",
        "control-plane",
        "core",
        ["control_plane"],
        "127.0.0.1",
        "z",
        "r",
        (1, 9),
        [],
        {"z": "r"},
        bounds=Bounds(drain_ms=4000),
        cloud=Cloud(address, rate_per_s=2000.0),
    )


def reader_of(platform, role):
    source = FakeSource()
    notified = []
    reader = CatalogueReader(settings_for(platform.address), role, source, lambda: notified.append(1))
    return reader, source, notified


def test_all_pages_are_published_once_and_confirmed_each_time(platform):
    role = FakeRole()
    reader, source, notified = reader_of(platform, role)
    reader.step()
    wait_s = reader.step()
    assert [names for _, names in source.published] == [{"a", "b", "c"}]
    assert source.version[:2] == (3, 0)
    assert source.confirmed == 2
    assert role.reports == [True, True]
    assert notified == [1]
    assert 0 < wait_s < 1.0


def test_a_newly_appointed_reader_reads_immediately(platform, monkeypatch):
    monkeypatch.setattr("nettledeal.discovery.catalogue_reader.IDLE_INTERVAL_S", 1000.0)
    role = FakeRole(reader="other")
    reader, source, notified = reader_of(platform, role)
    loop = reader.start()
    gevent.idle()
    role.reader = role.replica_id
    reader.role_changed()
    with gevent.Timeout(5):
        while not notified:
            gevent.idle()
    loop.kill()
    assert [names for _, names in source.published] == [{"a", "b", "c"}]


def test_a_process_that_is_not_the_reader_makes_no_calls(platform):
    reader, source, _ = reader_of(platform, FakeRole(reader="other"))
    assert reader.step() == IDLE_INTERVAL_S
    assert not platform.calls
    assert not source.published


def test_a_new_term_is_published_although_nothing_changed(platform):
    role = FakeRole()
    reader, source, _ = reader_of(platform, role)
    reader.step()
    role.reader_term = Term(4, 1)
    reader.step()
    assert [version[:2] for version, _ in source.published] == [(3, 0), (4, 1)]


def test_a_restarted_reader_publishes_higher_versions(platform, monkeypatch):
    role = FakeRole()
    reader, source, _ = reader_of(platform, role)
    reader.step()
    platform.names = ["a"]
    reader.step()
    role.reader_term = Term(3, 1)
    monkeypatch.setattr("time.time_ns", lambda: 1)
    again, later, _ = reader_of(platform, role)
    again.step()
    assert later.version > source.version


def test_with_a_primary_of_an_earlier_release_versions_follow_the_wall_clock(platform, monkeypatch):
    role = FakeRole(reader_term=Term(granted=False))
    reader, source, _ = reader_of(platform, role)
    reader.step()
    next_number = source.version[2] + 1
    monkeypatch.setattr("time.time_ns", lambda: next_number * 1_000_000)
    again, later, _ = reader_of(platform, role)
    again.step()
    assert later.version > source.version


def test_versions_increase_although_the_wall_clock_goes_back(platform, monkeypatch):
    reader, source, _ = reader_of(platform, FakeRole())
    reader.step()
    platform.names = ["a"]
    monkeypatch.setattr("time.time_ns", lambda: 1)
    reader.step()
    assert [names for _, names in source.published] == [{"a", "b", "c"}, {"a"}]


@pytest.mark.parametrize("failure", ["429 Too Many", "503 Down", "500 Broken"])
def test_a_failed_page_is_retried(platform, failure):
    role = FakeRole()
    reader, source, _ = reader_of(platform, role)
    platform.failures = [failure]
    reader.step()
    assert [names for _, names in source.published] == [{"a", "b", "c"}]


def test_an_incomplete_reading_removes_nothing_and_is_reported_as_failed(platform):
    role = FakeRole()
    reader, source, _ = reader_of(platform, role)
    reader.step()
    platform.broken = {"2"}
    platform.names = ["a", "d", "c"]
    reader.step()
    assert source.published[-1][1] == {"a", "b", "c", "d"}
    assert role.reports == [True, False]
    assert source.confirmed == 1


def test_an_incomplete_first_reading_publishes_nothing(platform):
    role = FakeRole()
    reader, source, _ = reader_of(platform, role)
    platform.broken = {"2"}
    reader.step()
    assert not source.published
    assert role.reports == [False]


def test_an_unreachable_list_is_reported(platform):
    role = FakeRole()
    platform.server.stop()
    reader, source, _ = reader_of(platform, role)
    reader.step()
    assert role.reports == [False]
    assert not source.published


def test_a_connection_closed_while_idle_is_replaced(platform):
    client = ListClient(settings_for(platform.address))
    assert client.read().complete
    address = platform.server.address
    platform.server.stop()
    platform.server = WSGIServer(address, platform.application, log=None)
    platform.server.start()
    assert client.read().complete
