"""The dialect of backends: hand-offs and probes out, answers in."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from nettledeal.model import Outcome, Report, Time
from nettledeal.net.protocol.client import Parcel
from nettledeal.net.protocol.framing import MOST_BODY, Malformed, Message, Unread
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
    report: Report | None = None
    took: Time = 0


class Replying:
    """One answer of a backend, out of the buffer that it is read into."""

    def __init__(self, most_body: int = MOST_BODY) -> None:
        self.most_body = most_body
        self.message = self._message(0)
        self.interim = 0
        self.cleared = False

    def _message(self, start: int) -> Message:
        return Message(httptools.HttpResponseParser, self.most_body, start)

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
            if status < 200 or message.length is None and not message.chunked and status not in (204, 304):
                # One that ends with its connection can't be told from one that was cut.
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

    @property
    def whole(self) -> int | None:
        return self.message.whole

    @property
    def keeps(self) -> bool:
        return self.message.keeps and not self.message.more

    def reply(self) -> Reply:
        found = self._read()
        if found.outcome is Outcome.FINISHED:
            found.lines = self.message.passed_on(b"x-server-load", b"x-not-processed", b"retry-after")
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


def hand_off(parcel: Parcel, time_out: Time) -> bytes:
    """The head of a hand-off; the body follows as it came."""
    head = b"%b %b HTTP/1.1\r\n%bX-Timeout-Ms: %d\r\n" % (
        parcel.method, parcel.target, parcel.head, max(1, time_out // 10)
    )
    if len(parcel.body) or parcel.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        head += b"Content-Length: %d\r\n" % len(parcel.body)
    return head + b"\r\n"


def probe(host: str, reports: bool) -> bytes:
    path = "/_load" if reports else "/ping"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
