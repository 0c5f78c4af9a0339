"""A small HTTP/1.1 client on gevent sockets: one kept connection to one address, one request at a time."""

from __future__ import annotations

import time
from collections.abc import Mapping
from http import HTTPMethod
from types import MappingProxyType

import gevent
import httptools
from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.common.connections import connect
from nettledeal.common.errors import ErrorCode, ServingError

_READ_BYTES = 65536
_STEP = "http request"
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class HttpResponse:
    """A response as it is read; `headers` has lower-case names. Times are monotonic seconds."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self.started = False
        self.body_started_at_s: float | None = None
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._parts)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """The first byte of the response."""
        self.started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        if self.body_started_at_s is None:
            self.body_started_at_s = time.monotonic()
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """The end of the body."""
        self.complete = True


class HttpClient:
    """Requests to one server. A request on a kept connection that the server has closed is sent once more."""

    def __init__(self, address: Address, max_body_bytes: int = 16 << 20):
        self.address = address
        self._max_body_bytes = max_body_bytes
        self._sock: socket.socket | None = None

    def get(self, target: str, timeout_s: float) -> HttpResponse:
        """The response to a GET within `timeout_s` in all; raises as `request` does."""
        return self.request(HTTPMethod.GET, target, timeout_s)

    def request(
        self,
        method: HTTPMethod,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> HttpResponse:
        """The response within `timeout_s` in all. What is sent here must be safe to be sent twice.

        Raises ServingError: TIMED_OUT, CONNECTION_LOST or MALFORMED_MESSAGE.
        """
        message = self._encode(method, target, body, headers)
        kept = self._sock is not None
        try:
            with gevent.Timeout(timeout_s):
                try:
                    return self._exchange(message, timeout_s)
                except ServingError as error:
                    if not kept or error.code != ErrorCode.CONNECTION_LOST:
                        raise
                    return self._exchange(message, timeout_s)
        except gevent.Timeout:
            self.close()
            raise ServingError(ErrorCode.TIMED_OUT, _STEP, target, str(self.address)) from None
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the kept connection, if there is one."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _encode(self, method: HTTPMethod, target: str, body: bytes, headers: Mapping[str, str]) -> bytes:
        fields = {"Host": str(self.address), **headers}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    def _exchange(self, message: bytes, timeout_s: float) -> HttpResponse:
        if self._sock is None:
            self._sock = connect(self.address, timeout_s, timeout_s)
        response = HttpResponse()
        parser = httptools.HttpResponseParser(response)
        try:
            self._sock.sendall(message)
            self._read_response(parser, response)
        except OSError as error:
            self.close()
            raise ServingError(ErrorCode.CONNECTION_LOST, _STEP, str(error), str(self.address)) from None
        except httptools.HttpParserError as error:
            self.close()
            raise ServingError(ErrorCode.MALFORMED_MESSAGE, _STEP, str(error), str(self.address)) from None
        response.status = parser.get_status_code()
        if not parser.should_keep_alive():
            self.close()
        return response

    def _read_response(self, parser: httptools.HttpResponseParser, response: HttpResponse) -> None:
        taken = 0
        while not response.complete:
            data = self._sock.recv(_READ_BYTES)
            taken += len(data)
            if not data:
                raise ConnectionResetError("closed before the end of the response")
            if taken > self._max_body_bytes:
                raise httptools.HttpParserError("response too long")
            parser.feed_data(data)
