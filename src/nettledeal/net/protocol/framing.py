"""One HTTP message out of the buffer that it is read into: where it ends, what its head says.

httptools reads heads. The end of a head is looked for here, because httptools reads on into pipelined bytes
and does not tell where a message ended; so a body of told length stays a slice. Other bodies, and long ones,
are read by `bodies`.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from nettledeal.net.protocol.bodies import Body, BodyUntilClose, ChunkedBody, Malformed, SizedBody

MOST_HEAD = 16 * 1024
MOST_BODY = 64 * 1024
MOST_BLANK = 4
# The bytes of a message that are kept at once: a long body goes on in pieces, and so do chunks.
MOST_MESSAGE = MOST_HEAD + MOST_BODY

# What holds for one connection only, and what is worded anew on the next one.
_OWN = frozenset(
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


class Unread(Malformed):
    """A head that the parser cannot read."""

    def __init__(self, why: str, end: int):
        super().__init__(HTTPStatus.BAD_REQUEST, why)
        self.end = end


class Message:
    """What the parser says of one message, filled while it is read."""

    def __init__(
        self,
        parser: type[httptools.HttpParser],
        most_body: int = MOST_BODY,
        start: int = 0,
        bare: bool = False,
        most_head: int = MOST_HEAD,
    ):
        # It and this refer to each other, and whole messages would wait for the garbage collector: so it goes
        # as soon as it has read all that it is to read.
        self.parser: httptools.HttpParser | None = parser(self)
        self.method = b""  # of a request
        self.status = 0  # of an answer
        self.most_body = most_body
        self.most_head = most_head
        self.bare = bare  # the answer to a HEAD: a length told, and no body
        self.headers: dict[bytes, bytes] = {}
        self.fields: list[tuple[bytes, bytes]] = []  # as they came, repeated ones too
        self.url = b""
        self.body: memoryview | bytes = b""
        self.length: int | None = None
        self.reader: Body | None = None  # of a body whose length is not told, or that is long
        self.pieces: list[bytes] = []  # what it has found so far
        self.head = 0  # bytes of the head, once it is whole
        self.start = start
        self.blank = 0
        self.looked = 0
        self.keeps = False  # whether the connection may carry another message
        self.dated = False  # HTTP/1.0 and before

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser leaves white space behind a value on it.
        raw, name, value = name, name.lower(), value.strip(b" \t")
        if name in self.headers:
            if name in (b"content-length", b"transfer-encoding", b"host"):
                # Two lengths are how requests are smuggled past one reader to another.
                raise Malformed(HTTPStatus.BAD_REQUEST, f"{name.decode()} given twice")
            if name == b"connection":
                value = self.headers[name] + b"," + value
        self.headers[name] = value
        self.fields.append((raw, value))

    def on_headers_complete(self) -> None:
        self.keeps = self.parser.should_keep_alive()  # later it speaks of what is behind the message
        self.dated = self.parser.get_http_version() in ("1.0", "0.9")

    # Called by whoever reads.

    @property
    def whole(self) -> int | None:
        """The bytes up to its end, once that is told."""
        return self.head + (self.length or 0) if self.head and self.reader is None else None

    @property
    def long(self) -> bool:
        """Longer than what is kept whole: its pieces so far, then what the reader finds."""
        return self.reader is not None and (self.length or self.reader.size) > MOST_BODY

    @property
    def kept(self) -> int | None:
        """The bytes of the buffer that are still needed: what the reader has seen is not."""
        return self.head if self.reader is not None else None

    @property
    def connection(self) -> set[bytes]:
        """What the head says of this connection: its options, and names of lines that concern it alone."""
        return {name.strip().lower() for name in self.headers.get(b"connection", b"").split(b",")}

    def passed_on(self, *less: bytes) -> bytes:
        """The lines of the head that concern both ends, not this connection."""
        named = self.connection | _OWN.union(less)
        return b"".join(b"%b: %b\r\n" % field for field in self.fields if field[0].lower() not in named)

    def look(self, buffer: bytearray, filled: int) -> int | None:
        """How many bytes the message takes, or None while it is not whole. Where `kept` says so, each call is
        for what has come behind those bytes since the last one."""
        try:
            return self._look(buffer, filled)
        except Malformed:
            self.parser = None
            raise
        except httptools.HttpParserError as fault:
            self.parser = None
            if isinstance(fault.__context__, Malformed):
                raise fault.__context__ from None
            why = f"no HTTP: {fault}"
            raise Malformed(HTTPStatus.BAD_REQUEST, why) if self.head else Unread(why, self.looked) from None

    def ended(self) -> bool:
        """The connection has ended; whether that leaves the message whole."""
        if self.reader is None or not self.reader.end():
            return False
        self.body = b"".join(self.pieces)
        return True

    def _look(self, buffer: bytearray, filled: int) -> int | None:
        if not self.head and not self._heads(buffer, filled):
            return None
        if self.reader is not None:
            return self._read(buffer, filled)
        end = self.whole
        if filled < end:
            return None
        self.body = memoryview(buffer)[self.head : end].toreadonly()
        return end

    def _heads(self, buffer: bytearray, filled: int) -> bool:
        # Some clients end a body with a line that no length tells of.
        while self.start + 2 <= filled and buffer[self.start : self.start + 2] == b"\r\n":
            self.start += 2
            self.blank += 1
            if self.blank > MOST_BLANK:
                raise Malformed(HTTPStatus.BAD_REQUEST, "empty lines without end")
        end = buffer.find(b"\r\n\r\n", max(self.start, self.looked - 3), filled)
        self.looked = filled
        # Also a head that came in one piece: what a message may hold must not hang on how it came.
        if (end + 4 if end >= 0 else filled) - self.start > self.most_head:
            raise Malformed(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
        if end < 0:
            return False
        self.looked = end + 4
        # A line that ends in half of its mark ends the head for one reader and not for the next.
        if len({buffer.count(mark, self.start, end + 4) for mark in (b"\r\n", b"\r", b"\n")}) > 1:
            raise Malformed(HTTPStatus.BAD_REQUEST, "lines of the head end in doubt")
        with memoryview(buffer) as view:
            self.feed(view[self.start : end + 4])
        self.head = end + 4
        if isinstance(self.parser, httptools.HttpRequestParser):
            self.method = self.parser.get_method()
        else:
            self.status = self.parser.get_status_code()
        self._measure()
        self.parser = None
        return True

    def feed(self, view: memoryview) -> None:
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserUpgrade:
            raise Malformed(HTTPStatus.NOT_IMPLEMENTED, "no change of protocol here") from None

    def _measure(self) -> None:
        encoding = self.headers.get(b"transfer-encoding")
        length = self.headers.get(b"content-length")
        if encoding is not None and (length is not None or encoding.lower() != b"chunked"):
            raise Malformed(HTTPStatus.BAD_REQUEST, "the length of the body is in doubt")
        if length is not None:
            if not length.isdigit():
                raise Malformed(HTTPStatus.BAD_REQUEST, "content-length is no number")
            self.length = int(length[:19])
        if self.bare or 100 <= self.status < 200 or self.status in (204, 304):
            self.length = 0
        elif encoding is not None:
            self.reader = ChunkedBody(self.most_body)
        elif length is not None:
            if self.length > self.most_body:
                raise Malformed(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
            if self.length > MOST_BODY:
                self.reader = SizedBody(self.most_body, self.length)
        elif self.status:
            self.reader = BodyUntilClose(self.most_body)

    def _read(self, buffer: bytearray, filled: int) -> int | None:
        with memoryview(buffer) as view, view[self.head : filled] as come:
            for piece in self.reader.feed(come):
                self.pieces.append(bytes(piece))
                piece.release()
        if not self.reader.done:
            return None
        self.body = b"".join(self.pieces)
        return self.head + self.reader.used


class MessageReader:
    """What the readers of requests and of answers tell alike of the message that they read."""

    message: Message

    @property
    def whole(self) -> int | None:
        """Where the message ends in the buffer, once that is known."""
        return self.message.whole

    @property
    def kept(self) -> int | None:
        """The bytes of the buffer that are still needed, where not all are."""
        return self.message.kept

    @property
    def keeps(self) -> bool:
        """The connection may be used again."""
        return self.message.keeps
