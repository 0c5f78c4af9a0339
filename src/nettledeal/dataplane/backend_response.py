"""Reads one response of a backend: its head, its kind, and its body as it arrives."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from nettledeal.dataplane.backend_connections import MAX_RESPONSE_HEAD_BYTES, BackendConnection
from nettledeal.net.protocol.bodies import BodyUntilClose
from nettledeal.net.protocol.framing import MalformedMessage, Message

MAX_INTERIM_RESPONSES = 8
MAX_UNRELATED_RESPONSES = 4
MAX_RESPONSE_BYTES = 1 << 40
# Bodies up to this size are read completely before they are relayed.
MAX_BUFFERED_BODY_BYTES = 256 * 1024


class BackendResponse:
    """Reads the response to one request from a connection, skipping responses to other requests.

    All reads raise OSError if the connection breaks and MalformedMessage if the bytes are no valid response.
    If the connection has a timeout, `keep_waiting` is called after each timeout to decide whether to read on.
    """

    def __init__(
        self,
        connection: BackendConnection,
        request_id: bytes,
        bodiless: bool,
        keep_waiting: Callable[[], bool] = lambda: True,
    ):
        self.connection = connection
        self.keep_waiting = keep_waiting
        self.on_received: Callable[[], None] = lambda: None  # called whenever more bytes have arrived
        self.request_id = request_id
        self.bodiless = bodiless
        self.message = self._new_message()
        self.unrelated_count = 0
        self._body_taken = 0  # nonzero once a body without a reader has been returned
        self._response_end = 0  # end of the response in the buffer
        self._complete = False

    def read_head(self) -> None:
        """Read until the head of the response to our request is complete."""
        while True:
            self._read_one_head()
            if self.message.headers.get(b"request-id") == self.request_id:
                self._check_framing()
                return
            self._skip_unrelated_response()

    @property
    def status(self) -> int:
        """The status code."""
        return self.message.status

    @property
    def not_executed(self) -> bool:
        """Whether the backend guarantees that the request was not and will not be executed."""
        return b"not-executed" in self.message.headers or self.status == HTTPStatus.MISDIRECTED_REQUEST

    @property
    def is_signed(self) -> bool:
        """Whether the response has a backend's signature header."""
        return b"server-signature" in self.message.headers

    @property
    def keep_alive(self) -> bytes:
        """The Keep-Alive header, in which the backend states its idle timeout."""
        return self.header(b"keep-alive")

    def header(self, name: bytes) -> bytes:
        """The value of a header by its lower-case name; empty if missing."""
        return self.message.headers.get(name, b"")

    def retry_after_s(self, default_s: float) -> float:
        """The Retry-After header in seconds, `default_s` if there is none."""
        try:
            return max(0.0, float(self.header(b"retry-after")))
        except ValueError:
            return default_s

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is an event stream."""
        return self.message.headers.get(b"content-type", b"").lower().startswith(b"text/event-stream")

    @property
    def is_buffered(self) -> bool:
        """Whether the body is small enough to be read completely before it is relayed."""
        return (
            self.message.body_reader is None
            or (self.message.length or MAX_BUFFERED_BODY_BYTES + 1) <= MAX_BUFFERED_BODY_BYTES
        )

    @property
    def length(self) -> int | None:
        """The length of the body, if the head states it."""
        return self.message.length

    @property
    def declared_length(self) -> int:
        """The declared Content-Length, also if no body follows (HEAD)."""
        text = self.message.headers.get(b"content-length", b"")
        return int(text) if text.isdigit() else 0

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been read."""
        return self._complete

    @property
    def leaves_connection_usable(self) -> bool:
        """Whether the response is complete, nothing else arrived, and the backend keeps the connection."""
        clean = (
            self._complete
            and self._response_end == self.connection.read_buffer.filled
            and not self.unrelated_count
        )
        return clean and self.message.keep_alive and not isinstance(self.message.body_reader, BodyUntilClose)

    def head_fields(self) -> bytes:
        """The header lines to be relayed to the client."""
        return self.message.end_to_end_headers()

    def read_body(self) -> memoryview | bytes:
        """The whole body."""
        while not self._complete:
            self._read_more()
        return self.message.body

    def read_pieces(self) -> list[bytes]:
        """Newly arrived parts of a long body; blocks until there are some. Empty once it is complete."""
        pieces = self._take_pieces()
        while not pieces and not self._complete:
            self._read_more()
            pieces = self._take_pieces()
        return pieces

    def _read_more(self) -> None:
        """Read more of the body; one without a length is complete when the connection closes normally."""
        if self._read_available():
            self._parse()
        elif self.message.finish_at_eof():
            self._complete = True
        else:
            raise ConnectionResetError("backend closed the connection before the end of the response")

    def _read_available(self) -> int:
        """Returns the number of bytes read, 0 at the end of the connection."""
        while True:
            try:
                read = self.connection.read_buffer.read(
                    self.connection.sock, self.message.total_bytes, self.message.retained_bytes
                )
                self.on_received()
                return read
            except TimeoutError:
                if not self.keep_waiting():
                    raise

    def _take_pieces(self) -> list[bytes]:
        message = self.message
        if message.body_reader is None:
            if not self._complete or self._body_taken:
                return []
            self._body_taken = 1
            return [bytes(message.body)] if len(message.body) else []
        pieces = list(message.body_pieces)
        message.body_pieces.clear()
        return pieces

    def _new_message(self) -> Message:
        return Message(
            httptools.HttpResponseParser,
            MAX_RESPONSE_BYTES,
            bodiless=self.bodiless,
            max_head_bytes=MAX_RESPONSE_HEAD_BYTES,
        )

    def _parse(self) -> None:
        read_buffer = self.connection.read_buffer
        used = self.message.parse(read_buffer.buffer, read_buffer.filled)
        if used is not None:
            self._response_end = used
            self._complete = True

    def _read_one_head(self) -> None:
        read_buffer = self.connection.read_buffer
        for _ in range(MAX_INTERIM_RESPONSES):
            if read_buffer.filled:
                self._parse()
            while not self.message.head_bytes:
                if not self._read_available():
                    raise ConnectionResetError("backend closed the connection without a response")
                self._parse()
            if self.message.status >= HTTPStatus.OK:
                return
            self._next_message(self.message.head_bytes)
        raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "too many interim responses")

    def _skip_unrelated_response(self) -> None:
        """Read past a response to another request."""
        self.unrelated_count += 1
        if self.unrelated_count > MAX_UNRELATED_RESPONSES or b"request-id" not in self.message.headers:
            raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "response to a different request")
        self._check_framing()
        while not self._complete:
            self.read_pieces()
        self._next_message(self._response_end)

    def _next_message(self, used: int) -> None:
        self.connection.read_buffer.start_next_message(used)
        self.message = self._new_message()
        self._complete = False
        self._body_taken = 0
        self._response_end = 0

    def _check_framing(self) -> None:
        message = self.message
        end_is_declared = message.is_http_1_0 or b"close" in message.connection_options
        if isinstance(message.body_reader, BodyUntilClose) and not end_is_declared:
            # An undeclared read-until-close body may never end.
            raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "response length is not declared")
