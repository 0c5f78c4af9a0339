"""The messages between publishers and subscribers.

Unknown fields are ignored and fields added later have defaults, so neighbouring releases understand each
other; a message type added later may be sent only to a peer whose `Subscribe` or `Heartbeat` says by its
`protocol` that it knows it.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from nettledeal.common.compression import compress, expand
from nettledeal.common.messages import MAX_FRAME_BYTES, MessageCodec

PROTOCOL_VERSION = 3
COMPRESSED_SINCE = 2
FAILURES_SINCE = 3

Version = tuple[int, ...]
NO_VERSION: Version = ()


class UpdateScope(StrEnum):
    """What the entries of an update stand for."""

    KEYS = "keys"  # the changes since `from_version`
    RANGES = "ranges"  # the whole content of the listed ranges
    WHOLE = "whole"  # the whole map


class HeldSource(msgspec.Struct, frozen=True):
    """What a subscriber holds of one source: its version and root digest; no version asks for everything."""

    name: str
    version: Version = NO_VERSION
    digest: int = 0


class Subscribe(msgspec.Struct, frozen=True, tag="subscribe"):
    """Opens a subscription, or renews it for some sources after a gap."""

    subscriber: str
    role: str
    zone: str
    wanted: list[HeldSource]
    protocol: int = 1


class Update(msgspec.Struct, frozen=True, tag="update"):
    """Brings a source to `to_version`, after which its root digest is `digest`."""

    source: str
    to_version: Version
    scope: UpdateScope
    changed: dict[str, bytes]
    digest: int
    from_version: Version = NO_VERSION
    removed: list[str] = []
    ranges: list[int] = []


class Acknowledge(msgspec.Struct, frozen=True, tag="acknowledge"):
    """The subscriber has applied `version` of a source."""

    source: str
    version: Version


class Digests(msgspec.Struct, frozen=True, tag="digests"):
    """The range digests of a source at `version`, offered where its changes are no longer at hand."""

    source: str
    version: Version
    ranges: list[int]


class RangeRequest(msgspec.Struct, frozen=True, tag="range_request"):
    """Asks for the ranges that differ from those of a `Digests` message for `version`."""

    source: str
    version: Version
    ranges: list[int]


class SourceStatus(msgspec.Struct, frozen=True):
    """A publisher's version of one source, and how long ago that was confirmed; None if it never was."""

    name: str
    version: Version
    age_ms: int | None = None


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Sent at once after a subscription and then at a fixed interval."""

    sources: list[SourceStatus]
    protocol: int = 1


class BackendFindings(msgspec.Struct, frozen=True, tag="backend_failures", omit_defaults=True):
    """What an agent has just found at backends; passed on to other subscribers of its zone.

    Only for peers of protocol 3 or later; those of earlier releases leave out the fields added later. It is a
    hint that may be lost.
    """

    backend_ids: list[str]  # attempts failed there
    replaced: list[str] = []  # other backends answer at their addresses
    queues: dict[str, float] = {}  # long queues that were read there, in requests


class Compressed(msgspec.Struct, frozen=True, tag="compressed"):
    """Another message, encoded and compressed with zlib; only for peers of protocol 2 or later."""

    payload: bytes


DistributionMessage = (
    Subscribe | Update | Acknowledge | Digests | RangeRequest | Heartbeat | Compressed | BackendFindings
)

CODEC: MessageCodec[DistributionMessage] = MessageCodec(DistributionMessage)


def compressed(encoded: bytes) -> Compressed:
    """An encoded message in fewer bytes."""
    return Compressed(compress(encoded))


def expanded(message: DistributionMessage, peer: str | None = None) -> DistributionMessage:
    """The message that a compressed one holds; others as they are. Raises ServingError: MALFORMED_MESSAGE."""
    if not isinstance(message, Compressed):
        return message
    return CODEC.decode(expand(message.payload, peer, MAX_FRAME_BYTES), peer)
