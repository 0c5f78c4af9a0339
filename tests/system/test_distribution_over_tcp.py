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
TIMEOUT_S = 10.0


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


class RecordingSubscriber:
    """A subscriber that records its updates and lets a test wait for a version."""

    def __init__(self, *addresses):
        self.updates = []
        self._update_received = Event()
        settings = make_settings(contact_ms=CONTACT_MS)
        self.subscriber = Subscriber(
            settings, "edge-1", lambda: list(addresses), ["control"], on_update=self._record
        )
        self.subscriber.start()

    def _record(self, source, version, entries):
        self.updates.append((source, version, dict(entries)))
        self._update_received.set()

    def wait_for(self, version):
        with gevent.Timeout(TIMEOUT_S):
            while not self.updates or self.updates[-1][1] != version:
                self._update_received.wait()
                self._update_received.clear()


@pytest.fixture
def started():
    """Collects objects to stop after the test."""
    stoppables = []
    yield stoppables
    for stoppable in stoppables:
        stoppable.stop()


def start_core(started, **options):
    core = Core(**options)
    started.append(core.publisher)
    return core


def start_subscriber(started, *addresses):
    recorder = RecordingSubscriber(*addresses)
    started.append(recorder.subscriber)
    return recorder


def wait_until(condition):
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.005)


def test_updates_reach_a_subscriber_and_are_acknowledged(started):
    core = start_core(started)
    core.publish(1, {"a": b"1"})
    recorder = start_subscriber(started, core.address)
    recorder.wait_for((1,))
    core.publish(2, {"a": b"2"})
    recorder.wait_for((2,))
    assert recorder.updates[-1] == ("control", (2,), {"a": b"2"})
    wait_until(lambda: core.publisher.oldest_acknowledged("control") == (2,))
    assert core.publisher.acknowledged() == {"edge-1": {"control": (2,)}}


def test_a_subscriber_starts_before_its_publishers(started):
    first = start_core(started)
    first.publisher.stop()
    second = start_core(started)
    second.publish(1, {"a": b"1"})
    recorder = start_subscriber(started, first.address, second.address)
    recorder.wait_for((1,))
    assert recorder.subscriber.publisher == second.address


def test_a_subscriber_switches_publishers_when_its_own_stops(started):
    first, second = start_core(started), start_core(started)
    for core in (first, second):
        core.publish(1, {"a": b"1"})
    recorder = start_subscriber(started, first.address, second.address)
    recorder.wait_for((1,))
    first.publisher.stop()
    second.publish(2, {"a": b"2"})
    recorder.wait_for((2,))
    assert recorder.subscriber.publisher == second.address


def test_a_subscriber_leaves_a_publisher_that_sends_nothing(started):
    silent = connections.listening_socket(Address("127.0.0.1", 0))
    second = start_core(started)
    second.publish(1, {"a": b"1"})
    recorder = start_subscriber(started, Address(*silent.getsockname()), second.address)
    recorder.wait_for((1,))
    assert recorder.subscriber.publisher == second.address
    silent.close()


def test_a_subscriber_switches_from_a_stale_publisher_to_a_fresh_one(started):
    stale, fresh = start_core(started, fresh=False), start_core(started)
    stale.source.confirm(time.monotonic(), 100.0)
    stale.publish(1, {"a": b"1"})
    fresh.publish(2, {"a": b"2"})
    recorder = start_subscriber(started, stale.address, fresh.address)
    recorder.wait_for((2,))
    assert recorder.subscriber.publisher == fresh.address
    assert [version for _, version, _ in recorder.updates] == sorted(
        version for _, version, _ in recorder.updates
    )


def test_a_subscriber_stays_if_no_publisher_is_fresher(started):
    first, second = start_core(started, fresh=False), start_core(started, fresh=False)
    first.publish(1, {"a": b"1"})
    recorder = start_subscriber(started, first.address, second.address)
    recorder.wait_for((1,))
    wait_until(lambda: second.publisher.subscribers_accepted > 0)
    wait_until(lambda: not second.publisher.acknowledged())
    assert recorder.subscriber.publisher == first.address


def test_a_subscriber_that_does_not_read_does_not_delay_others(started):
    core = start_core(started)
    core.publish(1, {f"k{number}": bytes(20000) for number in range(300)})
    blocked = connections.connect(core.address, 1.0, 10.0)
    blocked.sendall(CODEC.frame(Subscribe("stuck", "r", "z", [HeldSource("control")])))
    recorder = start_subscriber(started, core.address)
    recorder.wait_for((1,))
    core.publish(2, {"a": b"2"})
    recorder.wait_for((2,))
    blocked.close()


def test_invalid_bytes_close_only_their_connection(started):
    core = start_core(started)
    core.publish(1, {"a": b"1"})
    invalid_client = connections.connect(core.address, 1.0, 10.0)
    invalid_client.sendall(b"GET / HTTP/1.1\r\n\r\n")
    with gevent.Timeout(TIMEOUT_S):
        assert invalid_client.recv(10) == b""
    recorder = start_subscriber(started, core.address)
    recorder.wait_for((1,))


def test_an_exception_in_the_update_callback_does_not_end_the_subscription(started):
    core = start_core(started)
    core.publish(1, {"a": b"1"})
    updates = []

    def fail_once(source, version, entries):
        updates.append(version)
        if len(updates) == 1:
            raise ValueError("not understood")

    subscriber = Subscriber(
        make_settings(contact_ms=CONTACT_MS), "edge-1", lambda: [core.address], ["control"], fail_once
    )
    started.append(subscriber)
    subscriber.start()
    wait_until(lambda: updates)
    core.publish(2, {"a": b"2"})
    wait_until(lambda: len(updates) == 2)
    assert updates == [(1,), (2,)]


def test_a_subscriber_returns_to_its_preferred_publisher(started, monkeypatch):
    monkeypatch.setattr("nettledeal.distribution.subscriber.PREFERRED_RETRY_INTERVAL_S", 0.0)
    preferred, other = start_core(started), start_core(started)
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
    core = start_core(started)
    entries = {f"k{number}": b"0" * 300 for number in range(1000)}
    core.publish(1, entries)
    subscribers = [start_subscriber(started, core.address) for _ in range(40)]
    for recorder in subscribers:
        recorder.wait_for((1,))
    for sequence in range(2, 52):
        entries[f"k{sequence}"] = b"%d" % sequence
        core.publish(sequence, entries)
    for recorder in subscribers:
        recorder.wait_for((51,))
        assert recorder.updates[-1][2] == entries


def test_one_stream_stays_open_after_repeated_connection_losses(started):
    random = Random(3)
    cores = [start_core(started) for _ in range(3)]
    recorder = start_subscriber(started, *[core.address for core in cores])
    for sequence in range(1, 12):
        for core in cores:
            core.publish(sequence, {"a": b"%d" % sequence})
        recorder.wait_for((sequence,))
        chosen = random.choice(cores)
        for connection in list(chosen.publisher._connections.values()):
            connection.close()
    wait_until(lambda: sum(len(core.publisher.acknowledged()) for core in cores) == 1)
    versions = [version for _, version, _ in recorder.updates]
    assert versions == sorted(versions)
