"""One answer of a backend: its head, what kind of answer it is, and its body as it comes."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from nettledeal.dataplane.backend_connections import MAX_ANSWER_HEAD_BYTES, BackendConnection
from nettledeal.net.protocol.bodies import BodyUntilClose
from nettledeal.net.protocol.framing import MalformedMessage, Message

MOST_INTERIM = 8
MOST_SURPLUS = 4
MAX_ANSWER_BYTES = 1 << 40
# A body of up to so many bytes is read whole before any of it goes on.
GATHERED_BYTES = 256 * 1024


class BackendAnswer:
    """Reads the answer to one request from a connection; answers to other requests are skipped.

    All reading raises OSError where the connection breaks and MalformedMessage where bytes form no answer.
    Where the connection has a time-out, `still_there` is asked after each silence of that length whether to
    wait on.
    """

    def __init__(
        self,
        connection: BackendConnection,
        request_id: bytes,
        bodiless: bool,
        still_there: Callable[[], bool] = lambda: True,
    ):
        self.connection = connection
        self.still_there = still_there
        self.heard: Callable[[], None] = lambda: None  # called whenever more of it has come
        self.request_id = request_id
        self.bodiless = bodiless
        self.message = self._message()
        self.surplus = 0
        self._taken = 0  # pieces of the body that have been handed out
        self._used = 0  # bytes of the buffer that belong to the answer
        self._whole = False

    def read_head(self) -> None:
        """Return once the head of the answer to our request has come."""
        while True:
            self._read_one_head()
            if self.message.headers.get(b"request-id") == self.request_id:
                self._check_framing()
                return
            self._skip_surplus()

    @property
    def status(self) -> int:
        """The status as the backend gave it."""
        return self.message.status

    @property
    def not_executed(self) -> bool:
        """The backend's word that the request was not run and will not be."""
        return b"not-executed" in self.message.headers or self.status == HTTPStatus.MISDIRECTED_REQUEST

    @property
    def is_signed(self) -> bool:
        """Whether the answer bears the backend's stamp."""
        return b"server-signature" in self.message.headers

    @property
    def keep_alive(self) -> bytes:
        """The backend's word on how long it keeps an idle connection."""
        return self.header(b"keep-alive")

    def header(self, name: bytes) -> bytes:
        """The value of a header by its name in lower case; empty when it is missing."""
        return self.message.headers.get(name, b"")

    def retry_after_s(self, otherwise: float) -> float:
        """The seconds that the backend tells to wait, `otherwise` where it tells none."""
        try:
            return max(0.0, float(self.header(b"retry-after")))
        except ValueError:
            return otherwise

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is to be passed on event by event."""
        return self.message.headers.get(b"content-type", b"").lower().startswith(b"text/event-stream")

    @property
    def is_gathered(self) -> bool:
        """Whether the body is small enough to be read whole before it goes on."""
        return (
            self.message.body_reader is None or (self.message.length or GATHERED_BYTES + 1) <= GATHERED_BYTES
        )

    @property
    def length(self) -> int | None:
        """The length of the body, if its head tells."""
        return self.message.length

    @property
    def declared_length(self) -> int:
        """The length that the head declares, also where no body follows."""
        text = self.message.headers.get(b"content-length", b"")
        return int(text) if text.isdigit() else 0

    @property
    def is_whole(self) -> bool:
        """All of the answer has been read."""
        return self._whole

    @property
    def leaves_connection_usable(self) -> bool:
        """The answer is whole, nothing came behind it or before it, and the backend keeps the connection."""
        clean = self._whole and self._used == self.connection.inbox.filled and not self.surplus
        return clean and self.message.keep_alive and not isinstance(self.message.body_reader, BodyUntilClose)

    def head_fields(self) -> bytes:
        """The lines of the head that are for the client."""
        return self.message.end_to_end_headers()

    def read_body(self) -> memoryview | bytes:
        """The whole body."""
        while not self._whole:
            self._read_more()
        return self.message.body

    def read_pieces(self) -> list[bytes]:
        """What has come of a long body; blocks until something has. Empty once the body is whole."""
        pieces = self._take_pieces()
        while not pieces and not self._whole:
            self._read_more()
            pieces = self._take_pieces()
        return pieces

    def _read_more(self) -> None:
        """Read on in the body; one without a length is whole once its connection ends in order."""
        if self._receive():
            self._look()
        elif self.message.finish_at_eof():
            self._whole = True
        else:
            raise ConnectionResetError("the answer broke off")

    def _receive(self) -> int:
        """The number of bytes that came, 0 at the end of the connection."""
        while True:
            try:
                read = self.connection.inbox.read(
                    self.connection.sock, self.message.total_bytes, self.message.retained_bytes
                )
                self.heard()
                return read
            except TimeoutError:
                if not self.still_there():
                    raise

    def _take_pieces(self) -> list[bytes]:
        message = self.message
        if message.body_reader is None:
            if not self._whole or self._taken:
                return []
            self._taken = 1
            return [bytes(message.body)] if len(message.body) else []
        pieces = list(message.body_pieces)
        message.body_pieces.clear()
        return pieces

    def _message(self) -> Message:
        return Message(
            httptools.HttpResponseParser,
            MAX_ANSWER_BYTES,
            bodiless=self.bodiless,
            max_head_bytes=MAX_ANSWER_HEAD_BYTES,
        )

    def _look(self) -> None:
        inbox = self.connection.inbox
        used = self.message.parse(inbox.buffer, inbox.filled)
        if used is not None:
            self._used = used
            self._whole = True

    def _read_one_head(self) -> None:
        inbox = self.connection.inbox
        for _ in range(MOST_INTERIM):
            if inbox.filled:
                self._look()
            while not self.message.head_bytes:
                if not self._receive():
                    raise ConnectionResetError("no answer")
                self._look()
            if self.message.status >= HTTPStatus.OK:
                return
            self._next_message(self.message.head_bytes)
        raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "interim answers without end")

    def _skip_surplus(self) -> None:
        """Read past an answer that belongs to another request."""
        self.surplus += 1
        if self.surplus > MOST_SURPLUS or b"request-id" not in self.message.headers:
            raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "no answer to this request")
        self._check_framing()
        while not self._whole:
            self.read_pieces()
        self._next_message(self._used)

    def _next_message(self, used: int) -> None:
        self.connection.inbox.start_next_message(used)
        self.message = self._message()
        self._whole = False
        self._taken = 0
        self._used = 0

    def _check_framing(self) -> None:
        message = self.message
        says_so = message.is_http_1_0 or b"close" in message.connection_options
        if isinstance(message.body_reader, BodyUntilClose) and not says_so:
            # Without a word of it, one that ends with its connection may as well never end.
            raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "the end of the answer can't be known")
