"""HTTP on the backend side: encodes attempts and probes, parses responses."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools

from nettledeal.model import LoadReport, Outcome, Time
from nettledeal.net.protocol.bodies import BodyUntilClose, encode_chunk
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.protocol.framing import (
    MAX_BUFFERED_BODY_BYTES,
    MalformedMessage,
    Message,
    MessageReader,
    UnparsableHead,
)
from nettledeal.net.protocol.load_report import parse_load_report

# Interim (1xx) responses ahead of the final one.
MAX_INTERIM_RESPONSES = 8
_LOAD_REPORT_LINE = re.compile(rb"(\r\nx-server-load:)[^\n]*", re.IGNORECASE)
_REFUSAL_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


@dataclass(slots=True)
class Reply:
    """The result of an attempt or a probe; everything but the outcome is empty if no response came."""

    outcome: Outcome
    body: memoryview | bytes = b""
    headers: bytes = b""  # header lines to forward to the client
    report: LoadReport | None = None
    duration: Time = 0
    body_stream: BodyStream | None = None  # a long body, read while it arrives


class BodyStream(Protocol):
    """A body that is still arriving. Whoever reads it must call `finish` at the end."""

    length: int | None

    def pull(self) -> list[memoryview | bytes]: ...

    def finish(self, is_complete: bool) -> None: ...


class ResponseReader(MessageReader):
    """Parses one response of a backend from the buffer that it is read into."""

    def __init__(self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES, bodiless: bool = False) -> None:
        self.max_body_bytes = max_body_bytes
        self.bodiless = bodiless
        self.message = self._new_message(0)
        self.interim_responses = 0
        self.report_blanked = False

    def _new_message(self, start: int) -> Message:
        return Message(httptools.HttpResponseParser, self.max_body_bytes, start, self.bodiless)

    def parse(self, buffer: bytearray, filled: int) -> int | None:
        while True:
            try:
                used = self.message.parse(buffer, filled)
            except UnparsableHead as error:
                self._blank_report(buffer, error)
                continue
            message = self.message
            if not message.head_bytes:
                return used
            status = message.status
            if 101 < status < 200 or status == 100:
                self.interim_responses += 1
                if self.interim_responses > MAX_INTERIM_RESPONSES:
                    raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "interim answers without end")
                self.message = self._new_message(message.head_bytes)
                continue
            if (
                status < 200
                or isinstance(message.body_reader, BodyUntilClose)
                and not self._announces_close()
            ):
                # Not announced as ending with the connection, so it might never end.
                raise MalformedMessage(HTTPStatus.BAD_GATEWAY, "the end of the answer can't be known")
            return used

    def _blank_report(self, buffer: bytearray, error: UnparsableHead) -> None:
        """If a load report makes the head invalid, blank its line in the buffer and parse the head again."""
        start = self.message.start
        match = None if self.report_blanked else _LOAD_REPORT_LINE.search(buffer, start, error.head_end)
        if match is None:
            raise error
        self.report_blanked = True
        buffer[match.end(1) : match.end() - 1] = b" " * (match.end() - 1 - match.end(1))
        self.message = self._new_message(start)

    def _announces_close(self) -> bool:
        return self.message.is_http_1_0 or b"close" in self.message.connection_options

    def finish_at_eof(self) -> bool:
        return self.message.finish_at_eof()

    @property
    def may_be_long(self) -> bool:
        """A successful response whose body isn't buffered as a whole, so it may be long."""
        return self.message.status == HTTPStatus.OK and self.message.body_reader is not None

    @property
    def is_long(self) -> bool:
        return self.message.is_long

    def reply(self) -> Reply:
        reply = self._build_reply()
        if reply.outcome is Outcome.FINISHED:
            reply.headers = self.message.end_to_end_headers(
                b"x-server-load", b"x-not-processed", b"retry-after"
            )
            if self.bodiless and self.message.length is not None:
                # The length that the body would have.
                reply.headers += b"Content-Length: %b\r\n" % self.message.headers.get(b"content-length", b"0")
        return reply

    def probe_reply(self) -> Reply:
        reply = self._build_reply()
        if not reply.report and reply.outcome is Outcome.FINISHED:
            reply.report = parse_load_report(reply.body)
        return reply

    def _build_reply(self) -> Reply:
        message = self.message
        status = message.status
        outcome = Outcome.ERROR
        if status == HTTPStatus.OK:
            outcome = Outcome.FINISHED
        elif status in _REFUSAL_STATUSES and message.headers.get(b"x-not-processed") == b"1":
            # Without this header it may have run, whatever the status says.
            outcome = Outcome.FULL
        return Reply(outcome, message.body, report=parse_load_report(message.headers.get(b"x-server-load")))


def encode_attempt(request: ClientRequest, timeout: Time) -> list[bytes | memoryview]:
    """Encode a request for a backend: the head, and the body as far as it has arrived."""
    head = b"%b %b HTTP/1.1\r\n%bX-Timeout-Ms: %d\r\n" % (
        request.method,
        request.target,
        request.forwarded_headers,
        max(1, timeout // 10),
    )
    body, length = [request.body], len(request.body)
    if request.upload is not None:
        length = request.upload.length
        if length is None:
            head += b"Transfer-Encoding: chunked\r\n"
            body = encode_chunk(body)
    if length or length == 0 and request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        head += b"Content-Length: %d\r\n" % length
    return [head + b"\r\n", *body]


def encode_probe(host: str, request_report: bool) -> bytes:
    path = "/_load" if request_report else "/ping"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
