"""A client's request, out of the buffer that it is read into, and what routing needs to know of it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from nettledeal.net.protocol.framing import MalformedMessage, Message

if TYPE_CHECKING:
    from nettledeal.tenancy.prompts import SeparatedPrompt

MILLISECONDS = 1000.0
LONGEST_DEADLINE_S = 3600.0
# Headers that are worded anew for each attempt at a backend.
_REPLACED = (b"deadline-ms", b"expect-instance", b"priority")
_REPLACED_ON_RESUME = (*_REPLACED, b"last-event-id")
# What proves a tenant goes no further than this agent.
_OF_TENANT = (b"tenant", b"tenant-token")
_PROMPT_PREFIX = b"prompt-prefix"
_BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")


class ClientRequest:
    """One request; its parts are valid once `read` has said that it is whole."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.message = Message(httptools.HttpRequestParser, max_body_bytes, max_head_bytes=max_header_bytes)
        self.received_at = 0.0
        self.continued = False
        self.separated: SeparatedPrompt | None = None  # of a tenant's request, once that is admitted
        self.rewrites_prompt = False

    def read(self, buffer: bytearray, filled: int) -> int | None:
        """The bytes that the request takes, None while it is not whole. Raises MalformedMessage."""
        return self.message.parse(buffer, filled)

    def check(self) -> None:
        """Raises MalformedMessage where a backend could not be given this request as it is."""
        if not self.path.startswith(b"/"):
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "the target is no path")
        if self.method in (b"CONNECT", b"TRACE"):
            raise MalformedMessage(HTTPStatus.NOT_IMPLEMENTED, "the method is not passed on")
        if not self.request_id:
            raise MalformedMessage(HTTPStatus.BAD_REQUEST, "Request-Id is missing")
        if self.message.is_http_1_0:
            raise MalformedMessage(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 only")

    def header(self, name: bytes) -> bytes:
        """The value of a header by its name in lower case; empty when it is missing."""
        return self.message.headers.get(name, b"")

    def count(self, name: bytes) -> int:
        """How many headers have that name, in lower case."""
        if name not in self.message.headers:
            return 0
        return sum(field.lower() == name for field, _ in self.message.raw_headers)

    @property
    def method(self) -> bytes:
        """The method as it came."""
        return self.message.method

    @property
    def path(self) -> bytes:
        """The target as it came, with its query."""
        return self.message.url

    @property
    def request_id(self) -> bytes:
        """The id of this try."""
        return self.header(b"request-id")

    @property
    def names_version(self) -> bool:
        """Whether the client wants a certain version of the backend's weights."""
        return bool(self.header(b"expect-version"))

    @property
    def expects_continue(self) -> bool:
        """The client sends the body only after an interim answer."""
        return self.message.head_bytes > 0 and self.header(b"expect").lower() == b"100-continue"

    @property
    def keeps_connection(self) -> bool:
        """Whether the client would send another request on this connection."""
        return self.message.keep_alive

    def deadline_s(self, route_timeout_s: float) -> float:
        """How long the client waits, in seconds from its request, bounded by the route's timeout."""
        text = self.header(b"deadline-ms")
        try:
            asked = float(text) / MILLISECONDS if text else LONGEST_DEADLINE_S
        except ValueError:
            asked = LONGEST_DEADLINE_S
        if not 0.0 <= asked <= LONGEST_DEADLINE_S:
            asked = LONGEST_DEADLINE_S
        return min(asked, route_timeout_s)

    def parts_for(
        self, instance: str, priority: int, left_s: float, last_event_id: bytes | None = None
    ) -> list[bytes | memoryview]:
        """The request as one backend gets it; `last_event_id` takes up a stream behind that event."""
        message = self.message
        replaced = _REPLACED if last_event_id is None else _REPLACED_ON_RESUME
        if self.separated is not None:
            replaced += _OF_TENANT
            replaced += (_PROMPT_PREFIX,) if self.rewrites_prompt else ()
        lines = [
            b"%b %b HTTP/1.1\r\n" % (message.method, message.url),
            message.end_to_end_headers(*replaced),
            b"Deadline-Ms: %d\r\nExpect-Instance: %b\r\nPriority: %d\r\n"
            % (max(1, int(left_s * MILLISECONDS)), instance.encode("latin-1"), priority),
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
