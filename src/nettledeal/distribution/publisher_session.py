"""The publisher's side of one subscription; does no I/O.

Updates aren't queued per subscriber: whenever the connection can send, the next update is computed from the
version sent last. A slow subscriber thus gets fewer, larger updates and doesn't delay others.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.distribution.protocol import (
    FINDINGS_MIN_PROTOCOL,
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
from nettledeal.distribution.published_source import PublishedSource, SharedMessage


class Subscription(msgspec.Struct):
    """State of one subscribed source: versions sent and acknowledged, and any digest repair in progress."""

    sent_version: Version
    held_digest: int | None  # from the subscription request; None once an update has been sent
    acknowledged_version: Version = NO_VERSION
    repairing: bool = False
    range_request: RangeRequest | None = None


class PublisherSession:
    """Tracks the subscriptions of one subscriber and produces its updates."""

    def __init__(self, sources: Mapping[str, PublishedSource], peer: str):
        self.subscriber: Subscribe | None = None
        self.subscriptions: dict[str, Subscription] = {}
        self._sources = sources
        self._peer = peer

    def receive(self, message: DistributionMessage) -> BackendFindings | None:
        """Processes a message and returns any findings to forward to other subscribers.

        Raises ServingError with MALFORMED_MESSAGE for a message type that a publisher doesn't accept.
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
                    subscription.range_request = message
            case BackendFindings():
                return message
            case _:
                raise ServingError(
                    ErrorCode.MALFORMED_MESSAGE, "receive as publisher", type(message).__name__, self._peer
                )
        return None

    def accepts_findings_from(self, other: PublisherSession) -> bool:
        """Whether to forward another subscriber's findings: both must have the same role and zone."""
        own, sender = self.subscriber, other.subscriber
        if own is None or sender is None or self is other:
            return False
        return (own.role, own.zone) == (sender.role, sender.zone) and self.protocol >= FINDINGS_MIN_PROTOCOL

    @property
    def protocol(self) -> int:
        """The subscriber's protocol version."""
        return self.subscriber.protocol if self.subscriber else 1

    def next_messages(self) -> list[SharedMessage]:
        """Returns the messages to send now and records them as sent."""
        messages = (
            self._next_message(name, subscription) for name, subscription in self.subscriptions.items()
        )
        return [message for message in messages if message is not None]

    def acknowledged(self) -> dict[str, Version]:
        """The newest version of each source that the subscriber has applied."""
        return {name: subscription.acknowledged_version for name, subscription in self.subscriptions.items()}

    def _subscribe(self, held: HeldSource) -> None:
        if held.name in self._sources:
            self.subscriptions[held.name] = Subscription(
                held.version, held.digest, acknowledged_version=held.version
            )

    def _acknowledge(self, message: Acknowledge) -> None:
        subscription = self.subscriptions.get(message.source)
        if subscription is not None:
            subscription.acknowledged_version = max(subscription.acknowledged_version, message.version)

    def _next_message(self, name: str, subscription: Subscription) -> SharedMessage | None:
        source = self._sources[name]
        if subscription.range_request is not None:
            return self._answer_request(source, subscription, subscription.range_request)
        if subscription.repairing or source.version < subscription.sent_version:
            return None
        if source.version == subscription.sent_version:
            if subscription.held_digest in (None, source.digests.root):
                return None
            return self._offer_digests(source, subscription)
        update = source.update_since(subscription.sent_version)
        if update is None:
            return self._offer_digests(source, subscription)
        return self._record_sent(subscription, update)

    def _offer_digests(self, source: PublishedSource, subscription: Subscription) -> SharedMessage:
        subscription.repairing = True
        subscription.range_request = None
        return SharedMessage(source.make_digests())

    def _answer_request(
        self, source: PublishedSource, subscription: Subscription, request: RangeRequest
    ) -> SharedMessage:
        update = source.make_ranges_update(request.version, request.ranges)
        if update is None:
            return self._offer_digests(source, subscription)
        return self._record_sent(subscription, SharedMessage(update))

    def _record_sent(self, subscription: Subscription, shared: SharedMessage) -> SharedMessage:
        update = shared.message
        assert isinstance(update, Update)
        subscription.sent_version = update.to_version
        subscription.held_digest = None
        subscription.repairing = False
        subscription.range_request = None
        return shared
