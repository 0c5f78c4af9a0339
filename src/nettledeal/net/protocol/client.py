"""The dialect of the application: its requests in, answers out."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools

from nettledeal.model import Time
from nettledeal.net.protocol.framing import MOST_BODY, Malformed, Message, MessageReader
from nettledeal.units import NS_PER_TENTH

READY = b"/_health"
# Their answers are framed by rules of their own.
_NOT_PASSED_ON = (b"CONNECT", b"TRACE")
# A wait beyond an hour is a mistake, and would keep what it holds for as long.
_LONGEST_MS = 3_600_000
# So much of a long body is kept, to be sent once more while no more of it has been asked for.
REPLAY = 32 * 1024


@dataclass(slots=True)
class ClientRequest:
    """A work item as it came: what goes on unchanged, and what its decisions go by."""

    name: bytes  # the client's id of it
    method: bytes
    target: bytes
    head: bytes  # the lines of its head that go on, the client's id among them: it may repeat
    body: memoryview | bytes
    category: str
    wait: Time | None
    again: bool
    customer: str = ""
    key: str | None = None
    upload: Upload | None = None


class Upload(Protocol):
    """What is still to come of a long body."""

    length: int | None


class RequestReader(MessageReader):
    """One request of a client, out of the buffer that it is read into."""

    def __init__(self, most_body: int = MOST_BODY) -> None:
        self.message = Message(httptools.HttpRequestParser, most_body)

    def look(self, buffer: bytearray, filled: int) -> int | None:
        return self.message.look(buffer, filled)

    @property
    def headed(self) -> bool:
        return self.message.head > 0

    @property
    def bare(self) -> bool:
        """Its answer has no body."""
        return self.message.method == b"HEAD"

    @property
    def dated(self) -> bool:
        return self.message.dated

    @property
    def come(self) -> int:
        """The bytes of its body so far, where they are counted."""
        return self.message.reader.size if self.message.reader is not None else 0

    @property
    def handed_on(self) -> bool:
        """Long, and enough of it has come to begin with."""
        message = self.message
        return message.long and (message.length is None or message.reader.size >= REPLAY)

    @property
    def expects(self) -> bool:
        """The client sends its body only when told to."""
        return self.message.head > 0 and self.message.headers.get(b"expect", b"").lower() == b"100-continue"

    @property
    def ready_check(self) -> bool:
        return self.message.url.partition(b"?")[0] == READY

    def request(self) -> ClientRequest:
        message, headers = self.message, self.message.headers
        if not message.url.startswith(b"/"):
            raise Malformed(HTTPStatus.BAD_REQUEST, "the target is no path")
        method = message.method
        if method in _NOT_PASSED_ON:
            raise Malformed(HTTPStatus.NOT_IMPLEMENTED, f"{method.decode()} is not passed on")
        name = headers.get(b"x-request-id")
        if not name:
            raise Malformed(HTTPStatus.BAD_REQUEST, "X-Request-ID is missing")
        request = ClientRequest(
            name=name,
            method=method,
            target=message.url,
            head=message.passed_on(b"x-timeout-ms"),
            body=message.body or b"".join(message.pieces),
            category=headers.get(b"x-priority-class", b"").decode("latin-1"),
            wait=_wait(headers.get(b"x-timeout-ms")),
            again=headers.get(b"x-retried", b"0") not in (b"", b"0"),
            customer=headers.get(b"x-tenant-id", b"").decode("latin-1"),
            key=headers.get(b"x-route-key", b"").decode("latin-1") or None,
        )
        _attributes(request, headers.get(b"x-attrs", b"").decode("latin-1"))
        return request


def _wait(text: bytes | None) -> Time | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > 9 or not 0 < int(text) <= _LONGEST_MS:
        raise Malformed(HTTPStatus.BAD_REQUEST, "X-Timeout-Ms is no count of milliseconds up to an hour")
    return int(text) * 10


def _attributes(request: ClientRequest, text: str) -> None:
    """The further figures, by the simulator's names; what cannot be read says nothing."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name == "partition_key" and value:
            request.key = value
        elif name == "billing":
            request.customer = value


def answer(
    status: HTTPStatus,
    length: int | None,
    *,
    keep: bool,
    retry_after: Time = 0,
    lines: bytes = b"",
    chunked: bool = True,
) -> bytes:
    """The head of an answer, with the backend's own lines; its body follows as it is, in chunks or up to the
    end of the connection where its length is not known."""
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    if length is not None:
        head += f"Content-Length: {length}\r\n"
    elif chunked:
        head += "Transfer-Encoding: chunked\r\n"
    if retry_after > 0:
        seconds = f"{retry_after * NS_PER_TENTH / 1e9:.4f}".rstrip("0").rstrip(".")
        head += f"Retry-After: {seconds}\r\n"
    if not keep:
        head += "Connection: close\r\n"
    return head.encode("ascii") + lines + b"\r\n"
