"""Response heads: those of the agent itself, and those of backends as relayed to clients."""

from __future__ import annotations

from http import HTTPStatus

_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def agent_response(
    status: HTTPStatus,
    request_id: bytes = b"",
    retry_after_s: float | None = None,
    close: bool = False,
    body: bytes = b"",
) -> bytes:
    """A response of the agent itself; clients get it without a body."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: {len(body)}\r\n".encode("ascii")]
    if request_id:
        lines.append(b"Request-Id: %b\r\n" % request_id)
    if retry_after_s is not None:
        lines.append(b"Retry-After: %.3f\r\n" % retry_after_s)
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def relayed_response_head(status: int, fields: bytes, length: int | None, close: bool) -> bytes:
    """The head of a backend's response for the client: its own fields with new framing headers.

    Without a length the body is sent in chunks.
    """
    framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n" % (status, _phrase(status)) + fields + framing + ending


def _phrase(status: int) -> bytes:
    return _PHRASES.get(status, "Unknown").encode("ascii")
