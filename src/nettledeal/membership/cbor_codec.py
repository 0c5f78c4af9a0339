"""Membership packets as CBOR, for the processes of the serving system."""

from __future__ import annotations

import cbor2
import msgspec

from nettledeal.membership.packets import Packet, PacketError, has_other_version, validated
from nettledeal.membership.view import MemberRecord, OperatorOrder


class CborCodec:
    """One CBOR array per packet. A packet that can't be decoded as a whole is rejected."""

    def encode(self, value: Packet | MemberRecord | OperatorOrder) -> bytes:
        """Encode a packet, or a part of one to learn its size."""
        return cbor2.dumps(msgspec.to_builtins(value))

    def decode(self, raw: bytes, cluster: str, max_bytes: int) -> Packet:
        """Decode and validate a packet of at most `max_bytes`. Raises PacketError."""
        if len(raw) > max_bytes:
            raise PacketError("oversized")
        try:
            decoded = cbor2.loads(raw)
        except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError):
            raise PacketError("garbled") from None
        try:
            return validated(msgspec.convert(decoded, Packet), cluster)
        except (msgspec.ValidationError, TypeError, RecursionError):
            raise PacketError("another version" if has_other_version(decoded) else "garbled") from None
