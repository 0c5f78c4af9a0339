"""HTTP on the client side: parses requests and encodes response heads."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools

from nettledeal.model import Time
from nettledeal.net.protocol.framing import MAX_BUFFERED_BODY_BYTES, MalformedMessage, Message, MessageReader
from nettledeal.units import NS_PER_TENTH

READINESS_PATH = b"/_health"
# Not forwarded: their responses follow framing rules of their own.
_REFUSED_METHODS = (b"CONNECT", b"TRACE")
# Longer than an hour must be a mistake, and would hold resources for as long.
_MAX_TIMEOUT_MS = 3_600_000
# The first bytes of a long body are kept, so that it can be sent again as long as no more has been read.
REPLAY_BYTES = 32 * 1024


@dataclass(slots=True)
class ClientRequest:
    """A client's request: the parts to forward unchanged, and what routing decisions are based on."""

    request_id: bytes  # X-Request-ID
    method: bytes
    target: bytes
    forwarded_headers: bytes  # header lines to forward, X-Request-ID included
    body: memoryview | bytes
    category: str
    timeout: Time | None
    is_retry: bool
    customer: str = ""
    key: str | None = None
    upload: Upload | None = None


class Upload(Protocol):
    """The part of a long body that is still to be read."""

    length: int | None


class RequestReader(MessageReader):
    """Parses one request from the buffer that it is read into."""

    def __init__(self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
        self.message = Message(httptools.HttpRequestParser, max_body_bytes)

    def parse(self, buffer: bytearray, filled: int) -> int | None:
        return self.message.parse(buffer, filled)

    @property
    def head_complete(self) -> bool:
        return self.message.head_bytes > 0

    @property
    def bodiless(self) -> bool:
        """The response must have no body."""
        return self.message.method == b"HEAD"

    @property
    def is_http_1_0(self) -> bool:
        return self.message.is_http_1_0

    @property
    def body_received(self) -> int:
        """Bytes of the body read so far, 0 if no body reader counts them."""
        return self.message.body_reader.payload_bytes if self.message.body_reader is not None else 0

    @property
    def ready_to_stream(self) -> bool:
        """The body is long, and enough of it has arrived to start forwarding."""
        message = self.message
        return message.is_long and (
            message.length is None or message.body_reader.payload_bytes >= REPLAY_BYTES
        )

    @property
    def expects_continue(self) -> bool:
        """The client sends the body only after an interim 100 response."""
        return (
            self.message.head_bytes > 0
            and self.message.headers.get(b"expect", b"").lower() == b"100-continue"
        )

    @property
    def is_readiness_check(self) -> bool:
        return self.message.url.partition(b"?")[0] == READINESS_PATH

    def request(self) -> ClientRequest:
        message, headers = self.message, self.message.headers
        if not message.url.startswith(b"/"):
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "the target is no path")
        method = message.method
        if method in _REFUSED_METHODS:
            raise MalformedMessage(HTTPStatus.NOT_IMPLEMENTED, f"{method.decode()} is not passed on")
        request_id = headers.get(b"x-request-id")
        if not request_id:
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "X-Request-ID is missing")
        request = ClientRequest(
            request_id=request_id,
            method=method,
            target=message.url,
            forwarded_headers=message.end_to_end_headers(b"x-timeout-ms"),
            body=message.body or b"".join(message.body_pieces),
            category=headers.get(b"x-priority-class", b"").decode("latin-1"),
            timeout=_parse_timeout(headers.get(b"x-timeout-ms")),
            is_retry=headers.get(b"x-retried", b"0") not in (b"", b"0"),
            customer=headers.get(b"x-tenant-id", b"").decode("latin-1"),
            key=headers.get(b"x-route-key", b"").decode("latin-1") or None,
        )
        _apply_attributes(request, headers.get(b"x-attrs", b"").decode("latin-1"))
        return request


def _parse_timeout(text: bytes | None) -> Time | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > 9 or not 0 < int(text) <= _MAX_TIMEOUT_MS:
        raise MalformedMessage(
            HTTPStatus.BAD_REQUEST, "X-Timeout-Ms is no count of milliseconds up to an hour"
        )
    return int(text) * 10


def _apply_attributes(request: ClientRequest, text: str) -> None:
    """Take over values from X-Attrs, named as in the simulator; unreadable and unknown ones are ignored."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name == "partition_key" and value:
            request.key = value
        elif name == "billing":
            request.customer = value


def response_head(
    status: HTTPStatus,
    length: int | None,
    *,
    keep_alive: bool,
    retry_after: Time = 0,
    backend_headers: bytes = b"",
    chunked: bool = True,
) -> bytes:
    """Encode the head of a response, with the header lines of the backend.

    With a `length` the body follows as it is. Without one it follows in chunks if `chunked`, else up to the
    end of the connection.
    """
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    if length is not None:
        head += f"Content-Length: {length}\r\n"
    elif chunked:
        head += "Transfer-Encoding: chunked\r\n"
    if retry_after > 0:
        seconds = f"{retry_after * NS_PER_TENTH / 1e9:.4f}".rstrip("0").rstrip(".")
        head += f"Retry-After: {seconds}\r\n"
    if not keep_alive:
        head += "Connection: close\r\n"
    return head.encode("ascii") + backend_headers + b"\r\n"
