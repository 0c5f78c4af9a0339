"""One HTTP message out of the buffer that it is read into: where it ends, what its head says.

httptools reads heads. The end of a head is looked for here, because httptools reads on into pipelined bytes
and does not tell where a message ended; so a body of told length stays a slice. Other bodies, and long ones,
are read by `bodies`.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from nettledeal.net.protocol.bodies import Body, BodyUntilClose, ChunkedBody, MalformedMessage, SizedBody

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_BLANK_LINES = 4
# The bytes of a message that are kept at once: a long body goes on in pieces, and so do chunks.
MAX_BUFFERED_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES

# What holds for one connection only, and what is worded anew on the next one.
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
    """A head that the parser cannot read."""

    def __init__(self, reason: str, end: int):
        super().__init__(HTTPStatus.BAD_REQUEST, reason)
        self.head_end = end


class Message:
    """What the parser says of one message, filled while it is read."""

    def __init__(
        self,
        parser: type[httptools.HttpParser],
        max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
        start: int = 0,
        bodiless: bool = False,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ):
        # It and this refer to each other, and whole messages would wait for the garbage collector: so it goes
        # as soon as it has read all that it is to read.
        self.parser: httptools.HttpParser | None = parser(self)
        self.method = b""  # of a request
        self.status = 0  # of an answer
        self.max_body_bytes = max_body_bytes
        self.max_head_bytes = max_head_bytes
        self.bodiless = bodiless  # the answer to a HEAD: a length told, and no body
        self.headers: dict[bytes, bytes] = {}
        self.raw_headers: list[tuple[bytes, bytes]] = []  # as they came, repeated ones too
        self.url = b""
        self.body: memoryview | bytes = b""
        self.length: int | None = None
        self.body_reader: Body | None = None  # of a body whose length is not told, or that is long
        self.body_pieces: list[bytes] = []  # what it has found so far
        self.head_bytes = 0  # bytes of the head, once it is whole
        self.start = start
        self.blank_lines = 0
        self.scanned_bytes = 0
        self.keep_alive = False  # whether the connection may carry another message
        self.is_http_1_0 = False  # HTTP/1.0 and before

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser leaves white space behind a value on it.
        raw_name, name, value = name, name.lower(), value.strip(b" \t")
        if name in self.headers:
            if name in (b"content-length", b"transfer-encoding", b"host"):
                # Two lengths are how requests are smuggled past one reader to another.
                raise MalformedMessage(HTTPStatus.BAD_REQUEST, f"{name.decode()} given twice")
            if name == b"connection":
                value = self.headers[name] + b"," + value
        self.headers[name] = value
        self.raw_headers.append((raw_name, value))

    def on_headers_complete(self) -> None:
        self.keep_alive = self.parser.should_keep_alive()  # later it speaks of what is behind the message
        self.is_http_1_0 = self.parser.get_http_version() in ("1.0", "0.9")

    # Called by whoever reads.

    @property
    def total_bytes(self) -> int | None:
        """The bytes up to its end, once that is told."""
        return self.head_bytes + (self.length or 0) if self.head_bytes and self.body_reader is None else None

    @property
    def is_long(self) -> bool:
        """Longer than what is kept whole: its pieces so far, then what the reader finds."""
        return (
            self.body_reader is not None
            and (self.length or self.body_reader.payload_bytes) > MAX_BUFFERED_BODY_BYTES
        )

    @property
    def retained_bytes(self) -> int | None:
        """The bytes of the buffer that are still needed: what the reader has seen is not."""
        return self.head_bytes if self.body_reader is not None else None

    @property
    def connection_options(self) -> set[bytes]:
        """What the head says of this connection: its options, and names of lines that concern it alone."""
        return {name.strip().lower() for name in self.headers.get(b"connection", b"").split(b",")}

    def end_to_end_headers(self, *excluded: bytes) -> bytes:
        """The lines of the head that concern both ends, not this connection."""
        skipped = self.connection_options | _HOP_BY_HOP.union(excluded)
        return b"".join(
            b"%b: %b\r\n" % field for field in self.raw_headers if field[0].lower() not in skipped
        )

    def parse(self, buffer: bytearray, filled: int) -> int | None:
        """How many bytes the message takes, or None while it is not whole. Where `kept` says so, each call is
        for what has come behind those bytes since the last one."""
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
        """The connection has ended; whether that leaves the message whole."""
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
        # Some clients end a body with a line that no length tells of.
        while self.start + 2 <= filled and buffer[self.start : self.start + 2] == b"\r\n":
            self.start += 2
            self.blank_lines += 1
            if self.blank_lines > MAX_BLANK_LINES:
                raise MalformedMessage(HTTPStatus.BAD_REQUEST, "empty lines without end")
        end = buffer.find(b"\r\n\r\n", max(self.start, self.scanned_bytes - 3), filled)
        self.scanned_bytes = filled
        # Also a head that came in one piece: what a message may hold must not hang on how it came.
        if (end + 4 if end >= 0 else filled) - self.start > self.max_head_bytes:
            raise MalformedMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
        if end < 0:
            return False
        self.scanned_bytes = end + 4
        # A line that ends in half of its mark ends the head for one reader and not for the next.
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
    """What the readers of requests and of answers tell alike of the message that they read."""

    message: Message

    @property
    def total_bytes(self) -> int | None:
        """Where the message ends in the buffer, once that is known."""
        return self.message.total_bytes

    @property
    def retained_bytes(self) -> int | None:
        """The bytes of the buffer that are still needed, where not all are."""
        return self.message.retained_bytes

    @property
    def keep_alive(self) -> bool:
        """The connection may be used again."""
        return self.message.keep_alive
