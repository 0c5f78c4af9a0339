"""Parses one HTTP message from the buffer that it is read into.

httptools parses the head. This module searches for the end of the head itself, because httptools reads on
into pipelined bytes and does not tell where a message ended. A short body with a Content-Length stays a slice
of the buffer; all other bodies are read by the classes in `bodies`.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from nettledeal.net.protocol.bodies import Body, BodyUntilClose, ChunkedBody, MalformedMessage, SizedBody

MAX_HEAD_BYTES = 16 * 1024
# A longer body is streamed instead of buffered.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_BLANK_LINES = 4
# Of one message in the read buffer: long and chunked bodies are consumed piece by piece.
MAX_BUFFERED_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES

# Hop-by-hop headers, and those that are rewritten for the next connection.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class UnparsableHead(MalformedMessage):
    """httptools can't parse the head; `head_end` is where the head ends in the buffer."""

    def __init__(self, reason: str, end: int):
        super().__init__(HTTPStatus.BAD_REQUEST, reason)
        self.head_end = end


class Message:
    """One message and what the parser reports of it, filled in while it is read."""

    def __init__(
        self,
        parser: type[httptools.HttpParser],
        max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
        start: int = 0,
        bodiless: bool = False,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ):
        # Parser and message refer to each other, and such cycles are only freed by the garbage collector: the
        # parser is dropped as soon as the head is parsed.
        self.parser: httptools.HttpParser | None = parser(self)
        self.method = b""  # of a request
        self.status = 0  # of an answer
        self.max_body_bytes = max_body_bytes
        self.max_head_bytes = max_head_bytes
        self.bodiless = bodiless  # response to a HEAD request: may declare a length but has no body
        self.headers: dict[bytes, bytes] = {}
        self.raw_headers: list[tuple[bytes, bytes]] = []  # in the order of arrival, with repeats
        self.url = b""
        self.body: memoryview | bytes = b""
        self.length: int | None = None
        self.body_reader: Body | None = None  # of a long body or one without a declared length
        self.body_pieces: list[bytes] = []  # payload read so far
        self.head_bytes = 0  # 0 until the head is complete
        self.start = start
        self.blank_lines = 0
        self.scanned_bytes = 0
        self.keep_alive = False  # whether the connection may be reused
        self.is_http_1_0 = False  # HTTP/1.0 or older

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser keeps trailing white space of a value.
        raw_name, name, value = name, name.lower(), value.strip(b" \t")
        if name in self.headers:
            if name in (b"content-length", b"transfer-encoding", b"host"):
                # Repeated lengths are used for request smuggling: two parsers could read different messages.
                raise MalformedMessage(HTTPStatus.BAD_REQUEST, f"{name.decode()} given twice")
            if name == b"connection":
                value = self.headers[name] + b"," + value
        self.headers[name] = value
        self.raw_headers.append((raw_name, value))

    def on_headers_complete(self) -> None:
        self.keep_alive = self.parser.should_keep_alive()  # only valid here
        self.is_http_1_0 = self.parser.get_http_version() in ("1.0", "0.9")

    # Called by users of the message.

    @property
    def total_bytes(self) -> int | None:
        """Size of the message with its body, None while unknown."""
        return self.head_bytes + (self.length or 0) if self.head_bytes and self.body_reader is None else None

    @property
    def is_long(self) -> bool:
        """The body is too long to be buffered: use `body_pieces` so far, then `body_reader`."""
        return (
            self.body_reader is not None
            and (self.length or self.body_reader.payload_bytes) > MAX_BUFFERED_BODY_BYTES
        )

    @property
    def retained_bytes(self) -> int | None:
        """How many bytes of the buffer must be kept, None for all; `body_reader` needs none again."""
        return self.head_bytes if self.body_reader is not None else None

    @property
    def connection_options(self) -> set[bytes]:
        """Values of the Connection header, in lower case: options and names of hop-by-hop headers."""
        return {name.strip().lower() for name in self.headers.get(b"connection", b"").split(b",")}

    def end_to_end_headers(self, *excluded: bytes) -> bytes:
        """The encoded header lines to forward: all but hop-by-hop headers and `excluded`."""
        skipped = self.connection_options | _HOP_BY_HOP.union(excluded)
        return b"".join(
            b"%b: %b\r\n" % field for field in self.raw_headers if field[0].lower() not in skipped
        )

    def parse(self, buffer: bytearray, filled: int) -> int | None:
        """The number of bytes that the message takes, or None while it is incomplete.

        Once `retained_bytes` is set, each call expects only those bytes followed by what arrived since the
        last call.
        """
        try:
            return self._parse(buffer, filled)
        except MalformedMessage:
            self.parser = None
            raise
        except httptools.HttpParserError as error:
            self.parser = None
            if isinstance(error.__context__, MalformedMessage):
                raise error.__context__ from None
            reason = f"no HTTP: {error}"
            raise (
                MalformedMessage(HTTPStatus.BAD_REQUEST, reason)
                if self.head_bytes
                else UnparsableHead(reason, self.scanned_bytes)
            ) from None

    def finish_at_eof(self) -> bool:
        """Handle the end of the connection. Returns whether the message is complete."""
        if self.body_reader is None or not self.body_reader.finish_at_eof():
            return False
        self.body = b"".join(self.body_pieces)
        return True

    def _parse(self, buffer: bytearray, filled: int) -> int | None:
        if not self.head_bytes and not self._parse_head(buffer, filled):
            return None
        if self.body_reader is not None:
            return self._read_body(buffer, filled)
        end = self.total_bytes
        if filled < end:
            return None
        self.body = memoryview(buffer)[self.head_bytes : end].toreadonly()
        return end

    def _parse_head(self, buffer: bytearray, filled: int) -> bool:
        # Some clients send an extra CRLF after a body, not counted in its length.
        while self.start + 2 <= filled and buffer[self.start : self.start + 2] == b"\r\n":
            self.start += 2
            self.blank_lines += 1
            if self.blank_lines > MAX_BLANK_LINES:
                raise MalformedMessage(HTTPStatus.BAD_REQUEST, "empty lines without end")
        end = buffer.find(b"\r\n\r\n", max(self.start, self.scanned_bytes - 3), filled)
        self.scanned_bytes = filled
        # Also check a head that arrived in one piece: the limit must not depend on how a message is split.
        if (end + 4 if end >= 0 else filled) - self.start > self.max_head_bytes:
            raise MalformedMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
        if end < 0:
            return False
        self.scanned_bytes = end + 4
        # Reject bare CR and LF: some parsers take them as line ends and others don't (request smuggling).
        if len({buffer.count(mark, self.start, end + 4) for mark in (b"\r\n", b"\r", b"\n")}) > 1:
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "lines of the head end in doubt")
        with memoryview(buffer) as view:
            self.feed(view[self.start : end + 4])
        self.head_bytes = end + 4
        if isinstance(self.parser, httptools.HttpRequestParser):
            self.method = self.parser.get_method()
        else:
            self.status = self.parser.get_status_code()
        self._determine_length()
        self.parser = None
        return True

    def feed(self, view: memoryview) -> None:
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserUpgrade:
            raise MalformedMessage(HTTPStatus.NOT_IMPLEMENTED, "no change of protocol here") from None

    def _determine_length(self) -> None:
        encoding = self.headers.get(b"transfer-encoding")
        length = self.headers.get(b"content-length")
        if encoding is not None and (length is not None or encoding.lower() != b"chunked"):
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "the length of the body is in doubt")
        if length is not None:
            if not length.isdigit():
                raise MalformedMessage(HTTPStatus.BAD_REQUEST, "content-length is no number")
            self.length = int(length[:19])
        if self.bodiless or 100 <= self.status < 200 or self.status in (204, 304):
            self.length = 0
        elif encoding is not None:
            self.body_reader = ChunkedBody(self.max_body_bytes)
        elif length is not None:
            if self.length > self.max_body_bytes:
                raise MalformedMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
            if self.length > MAX_BUFFERED_BODY_BYTES:
                self.body_reader = SizedBody(self.max_body_bytes, self.length)
        elif self.status:
            self.body_reader = BodyUntilClose(self.max_body_bytes)

    def _read_body(self, buffer: bytearray, filled: int) -> int | None:
        with memoryview(buffer) as view, view[self.head_bytes : filled] as received:
            for piece in self.body_reader.feed(received):
                self.body_pieces.append(bytes(piece))
                piece.release()
        if not self.body_reader.is_complete:
            return None
        self.body = b"".join(self.body_pieces)
        return self.head_bytes + self.body_reader.consumed_bytes


class MessageReader:
    """Properties that request and response readers share."""

    message: Message

    @property
    def total_bytes(self) -> int | None:
        """Where the message ends in the buffer, None while unknown."""
        return self.message.total_bytes

    @property
    def retained_bytes(self) -> int | None:
        """How many bytes of the buffer must be kept, None for all."""
        return self.message.retained_bytes

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may be reused."""
        return self.message.keep_alive
