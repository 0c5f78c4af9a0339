"""Messages between members and their wire format: one bounded array per message, encoded as msgpack here or
by another `Codec`.

A message is decoded as a whole or rejected as a whole. Rejecting costs only that message, and the error text
is the reason under which it is counted.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from nettledeal.membership.view import MemberRecord, OperatorOrder

VERSION = 1
# Small enough that usual networks don't fragment the datagram; a full view is sent over a stream.
MAX_DATAGRAM_BYTES = 1200
MAX_STREAM_BYTES = 1 << 20

PING, ACK, NACK, PING_REQUEST, GOSSIP, SYNC_REQUEST, SYNC_RESPONSE = (
    "ping",
    "ack",
    "nack",
    "ask",
    "tell",
    "swap",
    "swapped",
)
# COMPARE carries the digest of the sender's view in place of the sequence number. The answer is SAME if the
# digests are equal, otherwise SYNC_RESPONSE.
COMPARE, SAME = "compare", "same"
_KINDS = frozenset((PING, ACK, NACK, PING_REQUEST, GOSSIP, SYNC_REQUEST, SYNC_RESPONSE, COMPARE, SAME))


class PacketError(ValueError):
    """A message that can't be accepted. The text is one of a few fixed reasons, used as a counter name."""


class Packet(msgspec.Struct, array_like=True):
    """A message between members.

    `sequence_number` matches an answer to its request. `sender` is the sender's own record, so every message
    also shows that the sender is alive. `target` is the member that a ping is meant for; in an indirect probe
    it gives the address to ping."""

    version: int
    cluster: str
    kind: str
    sequence_number: int
    sender: MemberRecord
    target: MemberRecord | None = None
    records: list[MemberRecord] = []
    orders: list[OperatorOrder] = []


class Codec(Protocol):
    """Wire format of packets."""

    def encode(self, value: Packet | MemberRecord | OperatorOrder) -> bytes:
        """Encode a packet, or a part of one to learn its size."""

    def decode(self, raw: bytes, cluster: str, max_bytes: int) -> Packet:
        """Decode and validate a packet of at most `max_bytes`. Raises PacketError."""


_decoder = msgspec.msgpack.Decoder(Packet)
# Everything that decoding arbitrary bytes may raise, also for unhashable map keys and unbounded nesting. An
# exception outside this tuple would end the receiving greenlet.
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, TypeError, ValueError, RecursionError)
encode_msgpack = msgspec.msgpack.Encoder().encode


def decode_msgpack(raw: bytes, cluster: str, max_bytes: int) -> Packet:
    """Decode and validate a packet of at most `max_bytes`. Raises PacketError."""
    if len(raw) > max_bytes:
        raise PacketError("oversized")
    try:
        packet = _decoder.decode(raw)
    except _DECODE_ERRORS:
        raise PacketError("another version" if _is_other_version(raw) else "garbled") from None
    return validated(packet, cluster)


def validated(packet: Packet, cluster: str) -> Packet:
    """Return the packet if its version, cluster, kind and sequence number are valid. Raises PacketError."""
    if packet.version != VERSION:
        raise PacketError("another version")
    if packet.cluster != cluster:
        raise PacketError("another cluster")
    if packet.kind not in _KINDS or not 0 <= packet.sequence_number < 1 << 62:
        raise PacketError("garbled")
    return packet


def _is_other_version(raw: bytes) -> bool:
    """Whether the bytes start with another version number, whatever follows it."""
    try:
        decoded = msgspec.msgpack.decode(raw)
    except _DECODE_ERRORS:
        return False
    return has_other_version(decoded)


def has_other_version(decoded: object) -> bool:
    """Whether a decoded value is an array that starts with another version number."""
    return (
        isinstance(decoded, list) and bool(decoded) and isinstance(decoded[0], int) and decoded[0] != VERSION
    )


class MsgpackCodec:
    """Packets as msgpack."""

    def encode(self, value: Packet | MemberRecord | OperatorOrder) -> bytes:
        return encode_msgpack(value)

    def decode(self, raw: bytes, cluster: str, max_bytes: int) -> Packet:
        return decode_msgpack(raw, cluster, max_bytes)
