"""Bodies in pieces of any size: what of the bytes that come is payload, and where the body ends.

httptools reads heads; it does not tell where a chunked message ends, and what is pipelined behind one is then
lost. A reader is fed views of what has come and returns the payload among them, uncopied.
"""

from __future__ import annotations

import re
from http import HTTPStatus

# A chunk's size with its extensions, a line of a trailer; and all lines of a trailer.
MAX_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16 * 1024
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
_TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\Z")


class MalformedMessage(Exception):
    """No message, or one that is not taken; with what a client is told."""

    def __init__(self, status: HTTPStatus, reason: str):
        super().__init__(reason)
        self.status = status


class Body:
    """What all readers of bodies have."""

    length: int | None = None  # if it is told

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.payload_bytes = 0  # payload so far
        self.consumed_bytes = 0  # bytes of the last feed that belong to the body
        self.is_complete = False

    def feed(self, view: memoryview) -> list[memoryview]:
        raise NotImplementedError

    def end(self) -> bool:
        """The connection has ended; whether that leaves the body whole."""
        return self.is_complete

    def _count_payload(self, count: int) -> None:
        self.payload_bytes += count
        if self.payload_bytes > self.max_bytes:
            raise MalformedMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")


class SizedBody(Body):
    """One whose length its head tells."""

    def __init__(self, max_bytes: int, length: int):
        super().__init__(max_bytes)
        self.length = length
        self.is_complete = not length

    def feed(self, view: memoryview) -> list[memoryview]:
        self.consumed_bytes = min(len(view), self.length - self.payload_bytes)
        self._count_payload(self.consumed_bytes)
        self.is_complete = self.payload_bytes == self.length
        return [view[: self.consumed_bytes]] if self.consumed_bytes else []


class BodyUntilClose(Body):
    """One that ends with its connection."""

    def feed(self, view: memoryview) -> list[memoryview]:
        self.consumed_bytes = len(view)
        self._count_payload(self.consumed_bytes)
        return [view] if self.consumed_bytes else []

    def end(self) -> bool:
        self.is_complete = True
        return True


class ChunkedBody(Body):
    def __init__(self, max_bytes: int):
        super().__init__(max_bytes)
        self.chunk_remaining = 0  # of this chunk
        self.partial_line = b""  # as far as it has come
        self.parse_line = self._parse_size
        self.trailer_bytes = 0

    def feed(self, view: memoryview) -> list[memoryview]:
        payload: list[memoryview] = []
        position = 0
        while position < len(view) and not self.is_complete:
            if self.chunk_remaining:
                count = min(self.chunk_remaining, len(view) - position)
                payload.append(view[position : position + count])
                position += count
                self.chunk_remaining -= count
                self._count_payload(count)
                continue
            segment = bytes(view[position : position + MAX_LINE_BYTES])
            end = segment.find(b"\n") + 1
            self.partial_line += segment[:end] if end else segment
            position += end or len(segment)
            if len(self.partial_line) > MAX_LINE_BYTES:
                raise _malformed_chunks("a line of it is too long")
            if end:
                line, self.partial_line = self.partial_line, b""
                # A line that ends in half of its mark ends for one reader and not for the next.
                if line[-2:] != b"\r\n" or b"\r" in line[:-2]:
                    raise _malformed_chunks("its lines end in doubt")
                self.parse_line(line[:-2])
        self.consumed_bytes = position
        return payload

    def _parse_size(self, line: bytes) -> None:
        payload = _CHUNK_SIZE_LINE.match(line)
        if payload is None:
            raise _malformed_chunks("a chunk has no size")
        self.chunk_remaining = int(payload[1], 16)
        self.parse_line = self._parse_chunk_end if self.chunk_remaining else self._parse_trailer

    def _parse_chunk_end(self, line: bytes) -> None:
        if line:
            raise _malformed_chunks("a chunk is longer than it says")
        self.parse_line = self._parse_size

    def _parse_trailer(self, line: bytes) -> None:
        """Trailers, which nobody here goes by, up to an empty line."""
        self.trailer_bytes += len(line)
        if self.trailer_bytes > MAX_TRAILER_BYTES or line and not _TRAILER_LINE.match(line):
            raise _malformed_chunks("its trailer can't be read")
        self.is_complete = not line


def _malformed_chunks(reason: str) -> MalformedMessage:
    return MalformedMessage(HTTPStatus.BAD_REQUEST, f"the chunked body: {reason}")


def encode_chunk(pieces: list[memoryview]) -> list[bytes | memoryview]:
    """Payload as one chunk; no payload is none, since an empty chunk would end the body."""
    payload_bytes = sum(map(len, pieces))
    return [b"%x\r\n" % payload_bytes, *pieces, b"\r\n"] if payload_bytes else []


LAST_CHUNK = b"0\r\n\r\n"
