"""Incremental readers for HTTP bodies: which of the received bytes are payload, and where the body ends.

httptools is only used for heads: it doesn't tell where a chunked message ends, so pipelined bytes after one
would be lost. A reader is fed views of the received bytes and returns the slices that are payload, uncopied.
"""

from __future__ import annotations

import re
from http import HTTPStatus

# A chunk size line with its extensions, or one line of the trailer section.
MAX_LINE_BYTES = 1024
# All trailer lines together.
MAX_TRAILER_BYTES = 16 * 1024
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
_TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\Z")


class MalformedMessage(Exception):
    """The bytes are no valid message, or one that is not accepted; `status` is the answer to a client."""

    def __init__(self, status: HTTPStatus, reason: str):
        super().__init__(reason)
        self.status = status


class Body:
    """Base class of body readers."""

    length: int | None = None  # if declared

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.payload_bytes = 0  # so far
        self.consumed_bytes = 0  # of the last view fed: the rest is not part of the body
        self.is_complete = False

    def feed(self, view: memoryview) -> list[memoryview]:
        raise NotImplementedError

    def finish_at_eof(self) -> bool:
        """Handle the end of the connection. Returns whether the body is complete."""
        return self.is_complete

    def _count_payload(self, count: int) -> None:
        self.payload_bytes += count
        if self.payload_bytes > self.max_bytes:
            raise MalformedMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")


class SizedBody(Body):
    """A body with a Content-Length."""

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
    """A body that ends when the connection is closed."""

    def feed(self, view: memoryview) -> list[memoryview]:
        self.consumed_bytes = len(view)
        self._count_payload(self.consumed_bytes)
        return [view] if self.consumed_bytes else []

    def finish_at_eof(self) -> bool:
        self.is_complete = True
        return True


class ChunkedBody(Body):
    def __init__(self, max_bytes: int):
        super().__init__(max_bytes)
        self.chunk_remaining = 0  # bytes of the current chunk still to come
        self.partial_line = b""  # start of a line that is incomplete
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
                # Reject bare CR and LF: some parsers take them as line ends and others don't.
                if line[-2:] != b"\r\n" or b"\r" in line[:-2]:
                    raise _malformed_chunks("its lines end in doubt")
                self.parse_line(line[:-2])
        self.consumed_bytes = position
        return payload

    def _parse_size(self, line: bytes) -> None:
        match = _CHUNK_SIZE_LINE.match(line)
        if match is None:
            raise _malformed_chunks("a chunk has no size")
        self.chunk_remaining = int(match[1], 16)
        self.parse_line = self._parse_chunk_end if self.chunk_remaining else self._parse_trailer

    def _parse_chunk_end(self, line: bytes) -> None:
        if line:
            raise _malformed_chunks("a chunk is longer than it says")
        self.parse_line = self._parse_size

    def _parse_trailer(self, line: bytes) -> None:
        """Skip the trailer section, which ends with an empty line."""
        self.trailer_bytes += len(line)
        if self.trailer_bytes > MAX_TRAILER_BYTES or line and not _TRAILER_LINE.match(line):
            raise _malformed_chunks("its trailer can't be read")
        self.is_complete = not line


def _malformed_chunks(reason: str) -> MalformedMessage:
    return MalformedMessage(HTTPStatus.BAD_REQUEST, f"the chunked body: {reason}")


def encode_chunk(pieces: list[memoryview]) -> list[bytes | memoryview]:
    """Encode payload as one chunk. Empty payload gives nothing, since an empty chunk would end the body."""
    payload_bytes = sum(map(len, pieces))
    return [b"%x\r\n" % payload_bytes, *pieces, b"\r\n"] if payload_bytes else []


LAST_CHUNK = b"0\r\n\r\n"
