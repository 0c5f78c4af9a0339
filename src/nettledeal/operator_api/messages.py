"""Requests and responses of the operator's API, independent of the HTTP server."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPMethod, HTTPStatus

import msgspec

RETRY_AFTER_S = 0.2
JSON = "application/json"


class Request(msgspec.Struct, frozen=True):
    """One call of an operator."""

    method: HTTPMethod
    path: str
    if_match: str | None = None
    body: bytes = b""


class Header(msgspec.Struct, frozen=True):
    """A header of a response."""

    name: str
    value: str


class Response(msgspec.Struct, frozen=True):
    """The answer to a call."""

    status: HTTPStatus
    body: bytes = b""
    headers: list[Header] = []

    def begin(self, start_response: Callable[[str, list[tuple[str, str]]], object]) -> list[bytes]:
        """Hand status and headers to a WSGI server; returns the body."""
        headers = [("Content-Type", JSON), ("Content-Length", str(len(self.body)))]
        headers.extend((header.name, header.value) for header in self.headers)
        start_response(f"{self.status.value} {self.status.phrase}", headers)
        return [self.body]


class Explanation(msgspec.Struct, frozen=True):
    """The body of an answer that is no success."""

    error: str
    reason: str = ""


def accepted() -> Response:
    """The order was carried out."""
    return Response(HTTPStatus.OK, b"{}")


def refused(status: HTTPStatus, reason: str) -> Response:
    """The order can't be carried out as it stands."""
    return Response(status, msgspec.json.encode(Explanation(status.phrase, reason)))


def unclear(reason: str) -> Response:
    """The order may or may not be carried out; the caller is to send it again."""
    return Response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        msgspec.json.encode(Explanation(HTTPStatus.SERVICE_UNAVAILABLE.phrase, reason)),
        [Header("Retry-After", str(RETRY_AFTER_S))],
    )


def redirected(authority: str, path: str) -> Response:
    """The order belongs to another machine."""
    return Response(HTTPStatus.TEMPORARY_REDIRECT, b"{}", [Header("Location", f"http://{authority}{path}")])
