"""Minimal HTTP/1.1 for clients, backends and the list service, on persistent connections; uses httptools."""

from __future__ import annotations

from collections.abc import Iterator

import httptools
from gevent import socket


class HttpMessage:
    """A received message; its methods are the callbacks of the httptools parser."""

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


def read_requests(sock: socket.socket) -> Iterator[HttpMessage]:
    """Yields requests until the connection is closed or fails."""
    while True:
        message = HttpMessage()
        parser = httptools.HttpRequestParser(message)
        try:
            while not message.complete:
                data = sock.recv(65536)
                if not data:
                    return
                parser.feed_data(data)
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            return
        yield message


def read_response(sock: socket.socket) -> tuple[int, HttpMessage] | None:
    """Returns status and message of the next complete response, or None if the connection ends before it."""
    message = HttpMessage()
    parser = httptools.HttpResponseParser(message)
    try:
        while not message.complete:
            data = sock.recv(65536)
            if not data:
                return None
            parser.feed_data(data)
    except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    return parser.get_status_code(), message


def encode_response(status: str, body: bytes = b"", extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n".encode() + body
