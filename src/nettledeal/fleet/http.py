"""As much of HTTP as the stand-ins speak, on connections that are kept: httptools reads, these remember."""

from __future__ import annotations

from collections.abc import Iterator

import httptools
from gevent import socket


class Heard:
    """One message of the other side."""

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.whole = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.whole = True


def requests(sock: socket.socket) -> Iterator[Heard]:
    """What comes on a connection until its end; a break is an end."""
    while True:
        heard = Heard()
        parser = httptools.HttpRequestParser(heard)
        try:
            while not heard.whole:
                data = sock.recv(65536)
                if not data:
                    return
                parser.feed_data(data)
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            return
        yield heard


def answer(sock: socket.socket) -> tuple[int, Heard] | None:
    """The next answer whole, or None where the connection ends before that."""
    heard = Heard()
    parser = httptools.HttpResponseParser(heard)
    try:
        while not heard.whole:
            data = sock.recv(65536)
            if not data:
                return None
            parser.feed_data(data)
    except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    return parser.get_status_code(), heard


def written(status: str, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body
