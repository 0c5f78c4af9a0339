"""Settings and an in-memory stream between two sessions, for the distribution tests."""

from __future__ import annotations

from collections import deque

from nettledeal.common.settings import Bounds, Settings
from nettledeal.distribution.protocol import CODEC
from nettledeal.distribution.publisher_session import PublisherSession
from nettledeal.distribution.subscriber_session import SubscriberSession


def make_settings(node_name="edge-1", ip="127.0.0.1", zone="z1", port=0, contact_ms=4000.0, **changes):
    """Returns the settings of a process whose internal ports start at `port`."""
    zones = {"z1": "r1", "z2": "r1", "z3": "r2"}
    return Settings(
        node_name=node_name,
        role="data-plane",
        machine_class="edge",
        serves=["edge"],
        ip=ip,
        zone=zone,
        region=zones[zone],
        port_range=(port, port + 10),
        seeds=changes.pop("seeds", ["10.0.0.1:8166", "10.0.0.2:8166"]),
        zones=zones,
        bounds=Bounds(contact_ms=contact_ms),
        **changes,
    )


class InMemoryStream:
    """A stream between two sessions; encodes, decodes and delivers messages one at a time."""

    def __init__(self, publisher: PublisherSession, subscriber: SubscriberSession):
        self.publisher = publisher
        self.subscriber = subscriber
        self.to_publisher = deque([CODEC.encode(subscriber.open())])
        self.to_subscriber: deque[bytes] = deque()

    def deliver_to_publisher(self, now_s=0.0):
        """Delivers one message to the publisher."""
        if self.to_publisher:
            self.publisher.receive(CODEC.decode(self.to_publisher.popleft()))

    def deliver_to_subscriber(self, now_s=0.0):
        """Delivers one message to the subscriber."""
        if self.to_subscriber:
            answers = self.subscriber.receive(CODEC.decode(self.to_subscriber.popleft()), now_s)
            self.to_publisher.extend(CODEC.encode(answer) for answer in answers)

    def send(self):
        """Has the publisher send its pending messages."""
        self.to_subscriber.extend(message.frame[4:] for message in self.publisher.next_messages())

    def deliver_all(self, now_s=0.0):
        """Delivers messages until none is pending."""
        for _ in range(100):
            while self.to_publisher:
                self.deliver_to_publisher(now_s)
            self.send()
            if not self.to_subscriber:
                return
            while self.to_subscriber:
                self.deliver_to_subscriber(now_s)
        raise AssertionError("the sessions never stop exchanging messages")
