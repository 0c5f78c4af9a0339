"""The dialect of backends: hand-offs and probes out, answers in."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools

from nettledeal.model import LoadReport, Outcome, Time
from nettledeal.net.protocol.bodies import BodyUntilClose, chunk
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.protocol.framing import MOST_BODY, Malformed, Message, MessageReader, Unread
from nettledeal.net.protocol.reports import report

# Answers ahead of the answer, each with a head of its own.
MOST_INTERIM = 8
_REPORT = re.compile(rb"(\r\nx-server-load:)[^\n]*", re.IGNORECASE)
_TURNED_AWAY = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


@dataclass(slots=True)
class Reply:
    """What came back for a hand-off or a probe; nothing came where the outcome says so."""

    outcome: Outcome
    body: memoryview | bytes = b""
    lines: bytes = b""  # of its head, for the client
    report: LoadReport | None = None
    took: Time = 0
    rest: Rest | None = None  # of a long body, as it comes


class Rest(Protocol):
    """What is still to come of a body; whoever pulls last ends it."""

    length: int | None

    def pull(self) -> list[memoryview | bytes]: ...

    def end(self, whole: bool) -> None: ...


class ResponseReader(MessageReader):
    """One answer of a backend, out of the buffer that it is read into."""

    def __init__(self, most_body: int = MOST_BODY, bare: bool = False) -> None:
        self.most_body = most_body
        self.bare = bare
        self.message = self._message(0)
        self.interim = 0
        self.cleared = False

    def _message(self, start: int) -> Message:
        return Message(httptools.HttpResponseParser, self.most_body, start, self.bare)

    def look(self, buffer: bytearray, filled: int) -> int | None:
        while True:
            try:
                used = self.message.look(buffer, filled)
            except Unread as fault:
                self._without_report(buffer, fault)
                continue
            message = self.message
            if not message.head:
                return used
            status = message.status
            if 101 < status < 200 or status == 100:
                self.interim += 1
                if self.interim > MOST_INTERIM:
                    raise Malformed(HTTPStatus.BAD_GATEWAY, "interim answers without end")
                self.message = self._message(message.head)
                continue
            if status < 200 or isinstance(message.reader, BodyUntilClose) and not self._says_so():
                # Without a word of it, one that ends with its connection may as well never end.
                raise Malformed(HTTPStatus.BAD_GATEWAY, "the end of the answer can't be known")
            return used

    def _without_report(self, buffer: bytearray, fault: Unread) -> None:
        """A report that breaks its head costs only itself: read once more with the report's line blanked."""
        start = self.message.start
        found = None if self.cleared else _REPORT.search(buffer, start, fault.end)
        if found is None:
            raise fault
        self.cleared = True
        buffer[found.end(1) : found.end() - 1] = b" " * (found.end() - 1 - found.end(1))
        self.message = self._message(start)

    def _says_so(self) -> bool:
        return self.message.dated or b"close" in self.message.connection

    def ended(self) -> bool:
        return self.message.ended()

    @property
    def comes(self) -> bool:
        """Good, and its length not known yet: it may be long."""
        return self.message.status == HTTPStatus.OK and self.message.reader is not None

    @property
    def long(self) -> bool:
        return self.message.long

    def reply(self) -> Reply:
        found = self._read()
        if found.outcome is Outcome.FINISHED:
            found.lines = self.message.passed_on(b"x-server-load", b"x-not-processed", b"retry-after")
            if self.bare and self.message.length is not None:
                # What a body would have, which is not to come.
                found.lines += b"Content-Length: %b\r\n" % self.message.headers.get(b"content-length", b"0")
        return found

    def probed(self) -> Reply:
        found = self._read()
        if not found.report and found.outcome is Outcome.FINISHED:
            found.report = report(found.body)
        return found

    def _read(self) -> Reply:
        message = self.message
        status = message.status
        outcome = Outcome.ERROR
        if status == HTTPStatus.OK:
            outcome = Outcome.FINISHED
        elif status in _TURNED_AWAY and message.headers.get(b"x-not-processed") == b"1":
            # Without the mark it may have run, whatever the status says.
            outcome = Outcome.FULL
        return Reply(outcome, message.body, report=report(message.headers.get(b"x-server-load")))


def hand_off(request: ClientRequest, time_out: Time) -> list[bytes | memoryview]:
    """A hand-off: its head, and the body as it came, or what has come of it so far."""
    head = b"%b %b HTTP/1.1\r\n%bX-Timeout-Ms: %d\r\n" % (
        request.method,
        request.target,
        request.head,
        max(1, time_out // 10),
    )
    body, length = [request.body], len(request.body)
    if request.upload is not None:
        length = request.upload.length
        if length is None:
            head += b"Transfer-Encoding: chunked\r\n"
            body = chunk(body)
    if length or length == 0 and request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        head += b"Content-Length: %d\r\n" % length
    return [head + b"\r\n", *body]


def probe(host: str, reports: bool) -> bytes:
    path = "/_load" if reports else "/ping"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
