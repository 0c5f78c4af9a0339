"""HTTP to the discovery service: requests for the backend list and for a watch on it, and their responses."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus

import httptools

from nettledeal.net.protocol.catalogue import MalformedCatalogue

# The full list of ten thousand backends is smaller than this.
MAX_LINE_BYTES = 4 * 1024 * 1024
_REQUEST = "GET /catalog/members{} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n"


def full_list_request(host: str) -> bytes:
    return _REQUEST.format("", host).encode("ascii")


def watch_request(host: str, version: int) -> bytes:
    return _REQUEST.format(f"?watch=1&from={version}", host).encode("ascii")


class CallDeclined(Exception):
    """Discovery is overloaded and refused the call; what it sent before remains valid."""

    def __init__(self, status: int, retry_after: float | None):
        super().__init__(f"answered {status}")
        self.retry_after = retry_after  # seconds, if given


class DiscoveryResponse:
    """A response of discovery, possibly endless, parsed as it arrives."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.head_complete = self.is_complete = False
        self.retry_after: float | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with suppress(ValueError):
                self.retry_after = min(60.0, max(0.0, float(value)))

    def on_headers_complete(self) -> None:
        self.head_complete = True

    def on_body(self, body: bytes) -> None:
        self.buffer += body

    def on_message_complete(self) -> None:
        self.is_complete = True

    def feed(self, data: memoryview) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedCatalogue(f"no HTTP: {error}") from None
        status = self.parser.get_status_code()
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            if self.head_complete:
                raise CallDeclined(status, self.retry_after)
        elif status and status != HTTPStatus.OK:
            raise MalformedCatalogue(f"answered {status}")
        if len(self.buffer) > MAX_LINE_BYTES:
            raise MalformedCatalogue("a line without end")

    def take_lines(self) -> list[bytes]:
        """Remove and return the complete lines. An empty line is a heartbeat of the watch."""
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        return [bytes(line.strip()) for line in lines]
