"""Compression of large texts that travel between machines or are stored, with a bound on what is expanded."""

from __future__ import annotations

import zlib

from nettledeal.common.errors import ErrorCode, ServingError

LEVEL = 1
MIN_BYTES = 4096
MAX_EXPANDED_BYTES = 64 << 20
_ZLIB_FIRST_BYTE = 0x78  # begins no JSON text


def compress(data: bytes) -> bytes:
    """The data in fewer bytes."""
    return zlib.compress(data, LEVEL)


def expand(data: bytes, peer: str | None = None, limit: int = MAX_EXPANDED_BYTES) -> bytes:
    """What was compressed; raises ServingError with MALFORMED_MESSAGE, also for more than `limit` bytes."""
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(data, limit)
    except zlib.error as error:
        raise ServingError(ErrorCode.MALFORMED_MESSAGE, "expand", str(error), peer) from None
    if not expander.eof:
        raise ServingError(ErrorCode.MALFORMED_MESSAGE, "expand", "cut short or too long", peer)
    return expanded


def pack_json(text: bytes) -> bytes:
    """A JSON text as it is stored: compressed if it is large."""
    return text if len(text) < MIN_BYTES else compress(text)


def unpack_json(stored: bytes) -> bytes:
    """The JSON text that was stored; raises ServingError with MALFORMED_MESSAGE."""
    return expand(stored) if stored[:1] == bytes([_ZLIB_FIRST_BYTE]) else stored
