"""A client's request, parsed from the buffer that it is read into."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from nettledeal.net.protocol.framing import MalformedMessage, Message

if TYPE_CHECKING:
    from nettledeal.tenancy.prompts import SeparatedPrompt

MS_PER_S = 1000.0
MAX_DEADLINE_S = 3600.0
# Headers that are replaced in each attempt at a backend.
_PER_ATTEMPT_HEADERS = (b"deadline-ms", b"expect-instance", b"priority")
_PER_ATTEMPT_HEADERS_ON_RESUME = (*_PER_ATTEMPT_HEADERS, b"last-event-id")
# Tenant credentials are not forwarded to backends.
_TENANT_HEADERS = (b"tenant", b"tenant-token")
_PROMPT_PREFIX = b"prompt-prefix"
_BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")


class ClientRequest:
    """One request; its properties are valid once `read` has reported that it is complete."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.message = Message(httptools.HttpRequestParser, max_body_bytes, max_head_bytes=max_header_bytes)
        self.received_at = 0.0
        self.continue_sent = False
        self.separated: SeparatedPrompt | None = None  # set once a tenant's request has been admitted
        self.rewrites_prompt = False

    def read(self, buffer: bytearray, filled: int) -> int | None:
        """The length of the request in bytes, None while it is incomplete. Raises MalformedMessage."""
        return self.message.parse(buffer, filled)

    def validate(self) -> None:
        """Raises MalformedMessage if the request can't be forwarded to a backend as it is."""
        if not self.path.startswith(b"/"):
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "request target is not a path")
        if self.method in (b"CONNECT", b"TRACE"):
            raise MalformedMessage(HTTPStatus.NOT_IMPLEMENTED, "method is not supported")
        if not self.request_id:
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "Request-Id is missing")
        if self.message.is_http_1_0:
            raise MalformedMessage(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 only")

    def header(self, name: bytes) -> bytes:
        """The value of a header by its lower-case name; empty if missing."""
        return self.message.headers.get(name, b"")

    def header_count(self, name: bytes) -> int:
        """How many headers have this lower-case name."""
        if name not in self.message.headers:
            return 0
        return sum(field.lower() == name for field, _ in self.message.raw_headers)

    @property
    def method(self) -> bytes:
        """The request method."""
        return self.message.method

    @property
    def path(self) -> bytes:
        """The request target, including its query."""
        return self.message.url

    @property
    def request_id(self) -> bytes:
        """The Request-Id header, which identifies this attempt of the client."""
        return self.header(b"request-id")

    @property
    def expects_version(self) -> bool:
        """Whether the client requires a certain version of the backend's weights."""
        return bool(self.header(b"expect-version"))

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for 100 Continue before it sends the body."""
        return self.message.head_bytes > 0 and self.header(b"expect").lower() == b"100-continue"

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection stays open after this request."""
        return self.message.keep_alive

    def deadline_s(self, route_timeout_s: float) -> float:
        """How long the client waits, in seconds from its request, capped by the route's timeout."""
        text = self.header(b"deadline-ms")
        try:
            requested_s = float(text) / MS_PER_S if text else MAX_DEADLINE_S
        except ValueError:
            requested_s = MAX_DEADLINE_S
        if not 0.0 <= requested_s <= MAX_DEADLINE_S:
            requested_s = MAX_DEADLINE_S
        return min(requested_s, route_timeout_s)

    def encode_for_backend(
        self, backend_id: str, priority: int, remaining_s: float, last_event_id: bytes | None = None
    ) -> list[bytes | memoryview]:
        """The request as sent to one backend; `last_event_id` resumes a stream after that event."""
        message = self.message
        replaced_headers = _PER_ATTEMPT_HEADERS if last_event_id is None else _PER_ATTEMPT_HEADERS_ON_RESUME
        if self.separated is not None:
            replaced_headers += _TENANT_HEADERS
            replaced_headers += (_PROMPT_PREFIX,) if self.rewrites_prompt else ()
        lines = [
            b"%b %b HTTP/1.1\r\n" % (message.method, message.url),
            message.end_to_end_headers(*replaced_headers),
            b"Deadline-Ms: %d\r\nExpect-Instance: %b\r\nPriority: %d\r\n"
            % (max(1, int(remaining_s * MS_PER_S)), backend_id.encode("latin-1"), priority),
        ]
        if last_event_id is not None:
            lines.append(b"Last-Event-Id: %b\r\n" % last_event_id)
        if self.separated is not None and self.rewrites_prompt and self.separated.parts:
            lines.append(b"Prompt-Prefix: %b\r\n" % self.separated.header)
        body = message.body
        if len(body) or message.method not in _BODILESS_METHODS:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines.append(b"\r\n")
        return [b"".join(lines), body] if len(body) else [b"".join(lines)]
