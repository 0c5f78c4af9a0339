"""The messages between publishers and subscribers.

Unknown fields are ignored and fields added later have defaults, so adjacent releases are compatible; a
message type added later may be sent only to a peer whose `Subscribe` or `Heartbeat` announces a `protocol`
version that supports it.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from nettledeal.common.compression import compress, expand
from nettledeal.common.messages import MAX_FRAME_BYTES, MessageCodec

PROTOCOL_VERSION = 3
COMPRESSION_MIN_PROTOCOL = 2
FINDINGS_MIN_PROTOCOL = 3

Version = tuple[int, ...]
NO_VERSION: Version = ()


class UpdateScope(StrEnum):
    """Which part of the map an update covers."""

    KEYS = "keys"  # the changes since `from_version`
    RANGES = "ranges"  # the whole content of the listed ranges
    WHOLE = "whole"  # the whole map


class HeldSource(msgspec.Struct, frozen=True):
    """A subscriber's version and root digest of one source; NO_VERSION requests the whole map."""

    name: str
    version: Version = NO_VERSION
    digest: int = 0


class Subscribe(msgspec.Struct, frozen=True, tag="subscribe"):
    """Opens a subscription, or restarts it for some sources after a missed update."""

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
    """Range digests of a source at `version`, sent if the change log doesn't cover the update."""

    source: str
    version: Version
    ranges: list[int]


class RangeRequest(msgspec.Struct, frozen=True, tag="range_request"):
    """Requests the ranges whose digests differ from a `Digests` message for `version`."""

    source: str
    version: Version
    ranges: list[int]


class SourceStatus(msgspec.Struct, frozen=True):
    """A publisher's version of one source and its age since confirmation; None if never confirmed."""

    name: str
    version: Version
    age_ms: int | None = None


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Sent immediately after a subscription and then at a fixed interval."""

    sources: list[SourceStatus]
    protocol: int = 1


class BackendFindings(msgspec.Struct, frozen=True, tag="backend_failures", omit_defaults=True):
    """Problems that an agent has just observed at backends; forwarded to other subscribers of its zone.

    Sent only to peers of protocol 3 or later; earlier releases omit the fields that were added later.
    Delivery is best effort.
    """

    backend_ids: list[str]  # with failed attempts
    replaced: list[str] = []  # their addresses now belong to other backends
    queues: dict[str, float] = {}  # reported long queues, in requests


class Compressed(msgspec.Struct, frozen=True, tag="compressed"):
    """Another message, encoded and compressed with zlib; only for peers of protocol 2 or later."""

    payload: bytes


DistributionMessage = (
    Subscribe | Update | Acknowledge | Digests | RangeRequest | Heartbeat | Compressed | BackendFindings
)

CODEC: MessageCodec[DistributionMessage] = MessageCodec(DistributionMessage)


def compress_message(encoded: bytes) -> Compressed:
    """Compresses an encoded message."""
    return Compressed(compress(encoded))


def expand_message(message: DistributionMessage, peer: str | None = None) -> DistributionMessage:
    """Decompresses a compressed message; returns others unchanged. Raises ServingError: MALFORMED_MESSAGE."""
    if not isinstance(message, Compressed):
        return message
    return CODEC.decode(expand(message.payload, peer, MAX_FRAME_BYTES), peer)
