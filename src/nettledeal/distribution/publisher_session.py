"""The publisher's side of one subscription, without input or output.

Nothing is queued for a subscriber: each time there is room to send, what it lacks is worked out from what it
was sent last. A slow subscriber thus gets fewer and larger updates and holds nothing up.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.distribution.protocol import (
    FAILURES_SINCE,
    NO_VERSION,
    Acknowledge,
    BackendFindings,
    DistributionMessage,
    HeldSource,
    RangeRequest,
    Subscribe,
    Update,
    Version,
)
from nettledeal.distribution.source import PublishedSource, SharedMessage


class Subscription(msgspec.Struct):
    """One source of a subscriber: what it was sent, what it acknowledged, whether a repair is under way."""

    sent: Version
    digest: int | None  # as the subscriber gave it; None once an update has been sent
    acknowledged: Version = NO_VERSION
    repairing: bool = False
    request: RangeRequest | None = None


class PublisherSession:
    """What one subscriber wants, holds and lacks."""

    def __init__(self, sources: Mapping[str, PublishedSource], peer: str):
        self.subscriber: Subscribe | None = None
        self.subscriptions: dict[str, Subscription] = {}
        self._sources = sources
        self._peer = peer

    def receive(self, message: DistributionMessage) -> BackendFindings | None:
        """Take in a message and return what it has for other subscribers. Raises ServingError with
        MALFORMED_MESSAGE for one that has no place here.
        """
        match message:
            case Subscribe():
                self.subscriber = message
                for held in message.wanted:
                    self._subscribe(held)
            case Acknowledge():
                self._acknowledge(message)
            case RangeRequest():
                subscription = self.subscriptions.get(message.source)
                if subscription is not None and subscription.repairing:
                    subscription.request = message
            case BackendFindings():
                return message
            case _:
                raise ServingError(
                    ErrorCode.MALFORMED_MESSAGE, "receive as publisher", type(message).__name__, self._peer
                )
        return None

    def hears_failures_from(self, other: PublisherSession) -> bool:
        """Whether the subscriber is told what another reports: both see the backends from the same zone."""
        mine, its = self.subscriber, other.subscriber
        if mine is None or its is None or self is other:
            return False
        return (mine.role, mine.zone) == (its.role, its.zone) and self.protocol >= FAILURES_SINCE

    @property
    def protocol(self) -> int:
        """The protocol that the subscriber speaks."""
        return self.subscriber.protocol if self.subscriber else 1

    def lacking(self) -> list[SharedMessage]:
        """What the subscriber is to be sent now; it counts as sent."""
        messages = (self._next(name, subscription) for name, subscription in self.subscriptions.items())
        return [message for message in messages if message is not None]

    def acknowledged(self) -> dict[str, Version]:
        """The newest version of each source that the subscriber has applied."""
        return {name: subscription.acknowledged for name, subscription in self.subscriptions.items()}

    def _subscribe(self, held: HeldSource) -> None:
        if held.name in self._sources:
            self.subscriptions[held.name] = Subscription(held.version, held.digest, acknowledged=held.version)

    def _acknowledge(self, message: Acknowledge) -> None:
        subscription = self.subscriptions.get(message.source)
        if subscription is not None:
            subscription.acknowledged = max(subscription.acknowledged, message.version)

    def _next(self, name: str, subscription: Subscription) -> SharedMessage | None:
        source = self._sources[name]
        if subscription.request is not None:
            return self._answer_request(source, subscription, subscription.request)
        if subscription.repairing or source.version < subscription.sent:
            return None
        if source.version == subscription.sent:
            if subscription.digest in (None, source.digests.root):
                return None
            return self._offer_digests(source, subscription)
        update = source.update_since(subscription.sent)
        if update is None:
            return self._offer_digests(source, subscription)
        return self._sent(subscription, update)

    def _offer_digests(self, source: PublishedSource, subscription: Subscription) -> SharedMessage:
        subscription.repairing = True
        subscription.request = None
        return SharedMessage(source.digests_offer())

    def _answer_request(
        self, source: PublishedSource, subscription: Subscription, request: RangeRequest
    ) -> SharedMessage:
        update = source.ranges_update(request.version, request.ranges)
        if update is None:
            return self._offer_digests(source, subscription)
        return self._sent(subscription, SharedMessage(update))

    def _sent(self, subscription: Subscription, shared: SharedMessage) -> SharedMessage:
        update = shared.message
        assert isinstance(update, Update)
        subscription.sent = update.to_version
        subscription.digest = None
        subscription.repairing = False
        subscription.request = None
        return shared
