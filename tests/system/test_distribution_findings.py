"""Forwarding of agents' backend findings through a publisher."""

import cbor2
import gevent
import msgspec
import pytest

from nettledeal.common.addresses import Address, InternalPort
from nettledeal.distribution.protocol import (
    CODEC,
    FINDINGS_MIN_PROTOCOL,
    PROTOCOL_VERSION,
    BackendFindings,
    Heartbeat,
    Subscribe,
)
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.distribution.publisher import Publisher
from nettledeal.distribution.publisher_session import PublisherSession
from nettledeal.distribution.subscriber import Subscriber
from nettledeal.distribution.subscriber_session import SubscriberSession

from .distribution_support import make_settings

TIMEOUT_S = 10.0
REPORT = BackendFindings(["backend-1", "backend-2"])
COMPLETE_REPORT = BackendFindings(["backend-1"], ["backend-3"], {"backend-4": 7.5})
RECORDED_REPORT = (
    "a26474797065706261636b656e645f6661696c757265736b6261636b656e645f6964738269626163"
    "6b656e642d31696261636b656e642d32"
)


def make_session(name="edge-1", role="data-plane", zone="z1", protocol=PROTOCOL_VERSION):
    session = PublisherSession({}, name)
    session.receive(Subscribe(name, role, zone, [], protocol))
    return session


def test_a_recorded_report_is_decoded():
    assert CODEC.decode(bytes.fromhex(RECORDED_REPORT)) == REPORT


def test_a_report_without_later_fields_is_encoded_as_before():
    assert CODEC.encode(REPORT) == bytes.fromhex(RECORDED_REPORT)
    assert CODEC.decode(CODEC.encode(COMPLETE_REPORT)) == COMPLETE_REPORT


def test_unknown_fields_of_a_later_release_are_ignored():
    known = msgspec.to_builtins(COMPLETE_REPORT)
    assert CODEC.decode(cbor2.dumps(known | {"weights": [1.0]})) == COMPLETE_REPORT


def test_a_report_is_forwarded_to_peers_of_the_zone_that_support_it():
    sender = make_session()
    assert sender.receive(REPORT) == REPORT
    assert make_session("edge-2").accepts_findings_from(sender)
    assert not sender.accepts_findings_from(sender)
    assert not make_session("edge-3", zone="z2").accepts_findings_from(sender)
    assert not make_session("core-1", role="control-plane").accepts_findings_from(sender)
    assert not make_session("edge-4", protocol=FINDINGS_MIN_PROTOCOL - 1).accepts_findings_from(sender)
    assert not PublisherSession({}, "not subscribed yet").accepts_findings_from(sender)


@pytest.mark.parametrize(("protocol", "accepts"), [(1, False), (2, False), (3, True), (4, True)])
def test_reports_are_sent_only_to_a_publisher_that_supports_them(protocol, accepts):
    session = SubscriberSession("edge-1", "data-plane", "z1", {}, "core")
    assert not session.accepts_findings
    session.receive(Heartbeat([], protocol), 0.0)
    assert session.accepts_findings is accepts


def test_a_subscriber_collects_forwarded_reports():
    session = SubscriberSession("edge-1", "data-plane", "z1", {}, "core")
    assert session.receive(REPORT, 0.0) == []
    assert session.received_findings == [REPORT]


@pytest.fixture
def publisher():
    settings = make_settings(ip="127.0.0.1", port=-InternalPort.DISTRIBUTION, contact_ms=1000.0)
    publisher = Publisher(settings, {"control": PublishedSource("control")})
    publisher.start()
    yield publisher
    publisher.stop()


def test_reports_are_forwarded_between_agents_of_a_zone_over_tcp(publisher):
    received: dict[str, list[BackendFindings]] = {}
    subscribers = {}
    for name, zone in (("edge-1", "z1"), ("edge-2", "z1"), ("edge-3", "z2")):
        received[name] = []
        subscriber = Subscriber(
            make_settings(name, zone=zone, contact_ms=1000.0),
            name,
            lambda: [Address("127.0.0.1", publisher.port)],
            ["control"],
            on_update=lambda *_: None,
        )
        subscriber.on_findings = received[name].append
        subscriber.start()
        subscribers[name] = subscriber
    try:
        with gevent.Timeout(TIMEOUT_S):
            while not received["edge-2"]:
                subscribers["edge-1"].report_findings(COMPLETE_REPORT)
                gevent.sleep(0.005)
    finally:
        for subscriber in subscribers.values():
            subscriber.stop()
    assert all(findings == COMPLETE_REPORT for findings in received["edge-2"])
    assert received["edge-1"] == received["edge-3"] == []
