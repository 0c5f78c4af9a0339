"""Publisher and subscriber over real sockets on loopback."""

from __future__ import annotations

import time
from random import Random

import gevent
import pytest
from gevent.event import Event

from nettledeal.common import connections
from nettledeal.common.addresses import Address, InternalPort
from nettledeal.distribution.protocol import CODEC, HeldSource, Subscribe
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.distribution.publisher import Publisher
from nettledeal.distribution.subscriber import Subscriber
from tests.system.distribution_support import make_settings

CONTACT_MS = 1000.0
LIMIT_S = 10.0


class Core:
    """A publisher on a free port with one source."""

    def __init__(self, fresh=True):
        self.source = PublishedSource("control")
        if fresh:
            self.source.confirm(time.monotonic() + 3600)
        self.publisher = Publisher(
            make_settings(ip="127.0.0.1", port=-InternalPort.DISTRIBUTION, contact_ms=CONTACT_MS),
            {"control": self.source},
        )
        self.publisher.start()
        self.address = Address("127.0.0.1", self.publisher.port)

    def publish(self, sequence, entries):
        self.source.publish((sequence,), entries)
        self.publisher.notify()


class Watcher:
    """A subscriber that notes what it was told and lets a test wait for a version."""

    def __init__(self, *addresses):
        self.told = []
        self._news = Event()
        settings = make_settings(contact_ms=CONTACT_MS)
        self.subscriber = Subscriber(
            settings, "edge-1", lambda: list(addresses), ["control"], on_update=self._note
        )
        self.subscriber.start()

    def _note(self, source, version, entries):
        self.told.append((source, version, dict(entries)))
        self._news.set()

    def wait_for(self, version):
        with gevent.Timeout(LIMIT_S):
            while not self.told or self.told[-1][1] != version:
                self._news.wait()
                self._news.clear()


@pytest.fixture
def started():
    """Collects what is to be stopped after the test."""
    things = []
    yield things
    for thing in things:
        thing.stop()


def make_core(started, **options):
    core = Core(**options)
    started.append(core.publisher)
    return core


def make_watcher(started, *addresses):
    watcher = Watcher(*addresses)
    started.append(watcher.subscriber)
    return watcher


def wait_until(condition):
    with gevent.Timeout(LIMIT_S):
        while not condition():
            gevent.sleep(0.005)


def test_updates_reach_a_subscriber_and_are_acknowledged(started):
    core = make_core(started)
    core.publish(1, {"a": b"1"})
    watcher = make_watcher(started, core.address)
    watcher.wait_for((1,))
    core.publish(2, {"a": b"2"})
    watcher.wait_for((2,))
    assert watcher.told[-1] == ("control", (2,), {"a": b"2"})
    wait_until(lambda: core.publisher.oldest_acknowledged("control") == (2,))
    assert core.publisher.acknowledged() == {"edge-1": {"control": (2,)}}


def test_a_subscriber_starts_before_its_publishers(started):
    first = make_core(started)
    first.publisher.stop()
    second = make_core(started)
    second.publish(1, {"a": b"1"})
    watcher = make_watcher(started, first.address, second.address)
    watcher.wait_for((1,))
    assert watcher.subscriber.publisher == second.address


def test_it_moves_to_another_publisher_when_its_own_stops(started):
    first, second = make_core(started), make_core(started)
    for core in (first, second):
        core.publish(1, {"a": b"1"})
    watcher = make_watcher(started, first.address, second.address)
    watcher.wait_for((1,))
    first.publisher.stop()
    second.publish(2, {"a": b"2"})
    watcher.wait_for((2,))
    assert watcher.subscriber.publisher == second.address


def test_it_leaves_a_publisher_that_falls_silent(started):
    silent = connections.listening_socket(Address("127.0.0.1", 0))
    second = make_core(started)
    second.publish(1, {"a": b"1"})
    watcher = make_watcher(started, Address(*silent.getsockname()), second.address)
    watcher.wait_for((1,))
    assert watcher.subscriber.publisher == second.address
    silent.close()


def test_it_moves_when_its_publisher_is_cut_off_and_another_is_not(started):
    stale, fresh = make_core(started, fresh=False), make_core(started)
    stale.source.confirm(time.monotonic(), 100.0)
    stale.publish(1, {"a": b"1"})
    fresh.publish(2, {"a": b"2"})
    watcher = make_watcher(started, stale.address, fresh.address)
    watcher.wait_for((2,))
    assert watcher.subscriber.publisher == fresh.address
    assert [version for _, version, _ in watcher.told] == sorted(version for _, version, _ in watcher.told)


def test_it_stays_where_no_publisher_is_fresher(started):
    first, second = make_core(started, fresh=False), make_core(started, fresh=False)
    first.publish(1, {"a": b"1"})
    watcher = make_watcher(started, first.address, second.address)
    watcher.wait_for((1,))
    wait_until(lambda: second.publisher.subscribers_accepted > 0)
    wait_until(lambda: not second.publisher.acknowledged())
    assert watcher.subscriber.publisher == first.address


def test_a_subscriber_that_does_not_read_holds_up_no_other(started):
    core = make_core(started)
    core.publish(1, {f"k{number}": bytes(20000) for number in range(300)})
    stuck = connections.connect(core.address, 1.0, 10.0)
    stuck.sendall(CODEC.frame(Subscribe("stuck", "r", "z", [HeldSource("control")])))
    watcher = make_watcher(started, core.address)
    watcher.wait_for((1,))
    core.publish(2, {"a": b"2"})
    watcher.wait_for((2,))
    stuck.close()


def test_bytes_that_are_no_message_cost_only_their_connection(started):
    core = make_core(started)
    core.publish(1, {"a": b"1"})
    stranger = connections.connect(core.address, 1.0, 10.0)
    stranger.sendall(b"GET / HTTP/1.1\r\n\r\n")
    with gevent.Timeout(LIMIT_S):
        assert stranger.recv(10) == b""
    watcher = make_watcher(started, core.address)
    watcher.wait_for((1,))


def test_an_update_that_fails_where_it_is_used_does_not_end_the_subscription(started):
    core = make_core(started)
    core.publish(1, {"a": b"1"})
    told = []

    def fail_once(source, version, entries):
        told.append(version)
        if len(told) == 1:
            raise ValueError("not understood")

    subscriber = Subscriber(
        make_settings(contact_ms=CONTACT_MS), "edge-1", lambda: [core.address], ["control"], fail_once
    )
    started.append(subscriber)
    subscriber.start()
    wait_until(lambda: told)
    core.publish(2, {"a": b"2"})
    wait_until(lambda: len(told) == 2)
    assert told == [(1,), (2,)]


def test_it_returns_to_the_publisher_it_prefers(started, monkeypatch):
    monkeypatch.setattr("nettledeal.distribution.subscriber.PREFERRED_RETRY_INTERVAL_S", 0.0)
    preferred, other = make_core(started), make_core(started)
    for core in (preferred, other):
        core.publish(1, {"a": b"1"})
    order = [other.address]
    subscriber = Subscriber(
        make_settings(contact_ms=CONTACT_MS), "edge-1", lambda: order, ["control"], lambda *_: None
    )
    started.append(subscriber)
    subscriber.start()
    wait_until(lambda: subscriber.publisher == other.address)
    order.insert(0, preferred.address)
    wait_until(lambda: subscriber.publisher == preferred.address)
    assert subscriber.version("control") == (1,)


def test_a_large_map_changed_many_times_reaches_many_subscribers(started):
    core = make_core(started)
    entries = {f"k{number}": b"0" * 300 for number in range(1000)}
    core.publish(1, entries)
    watchers = [make_watcher(started, core.address) for _ in range(40)]
    for watcher in watchers:
        watcher.wait_for((1,))
    for sequence in range(2, 52):
        entries[f"k{sequence}"] = b"%d" % sequence
        core.publish(sequence, entries)
    for watcher in watchers:
        watcher.wait_for((51,))
        assert watcher.told[-1][2] == entries


def test_however_often_publishers_come_and_go_one_stream_stays_open(started):
    random = Random(3)
    cores = [make_core(started) for _ in range(3)]
    watcher = make_watcher(started, *[core.address for core in cores])
    for sequence in range(1, 12):
        for core in cores:
            core.publish(sequence, {"a": b"%d" % sequence})
        watcher.wait_for((sequence,))
        chosen = random.choice(cores)
        for connection in list(chosen.publisher._connections.values()):
            connection.close()
    wait_until(lambda: sum(len(core.publisher.acknowledged()) for core in cores) == 1)
    versions = [version for _, version, _ in watcher.told]
    assert versions == sorted(versions)
