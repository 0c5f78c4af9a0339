"""Settings, and an in-memory link between two sessions, for the tests of distribution."""

from __future__ import annotations

from collections import deque

from nettledeal.common.settings import Bounds, Settings
from nettledeal.distribution.protocol import CODEC
from nettledeal.distribution.publisher_session import PublisherSession
from nettledeal.distribution.subscriber_session import SubscriberSession


def make_settings(node_name="edge-1", ip="127.0.0.1", zone="z1", port=0, contact_ms=4000.0, **changes):
    """Settings of a process whose internal ports begin at `port`."""
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


class Link:
    """A stream between two sessions whose messages are delivered one at a time; both ways pass the codec."""

    def __init__(self, publisher: PublisherSession, subscriber: SubscriberSession):
        self.publisher = publisher
        self.subscriber = subscriber
        self.up = deque([CODEC.encode(subscriber.open())])
        self.down: deque[bytes] = deque()

    def step_up(self, now_s=0.0):
        """Deliver one message to the publisher."""
        if self.up:
            self.publisher.receive(CODEC.decode(self.up.popleft()))

    def step_down(self, now_s=0.0):
        """Deliver one message to the subscriber."""
        if self.down:
            answers = self.subscriber.receive(CODEC.decode(self.down.popleft()), now_s)
            self.up.extend(CODEC.encode(answer) for answer in answers)

    def send(self):
        """Let the publisher send whatever the subscriber lacks."""
        self.down.extend(message.frame[4:] for message in self.publisher.next_messages())

    def settle(self, now_s=0.0):
        """Deliver everything until nothing is left to say."""
        for _ in range(100):
            while self.up:
                self.step_up(now_s)
            self.send()
            if not self.down:
                return
            while self.down:
                self.step_down(now_s)
        raise AssertionError("the sessions never fall silent")
