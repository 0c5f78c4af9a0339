"""A stand-in for the platform's list of backends."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import msgspec

from nettledeal.common.addresses import Address
from nettledeal.common.http_server import HttpServer
from nettledeal.discovery.catalogue import Backend

PAGE_LENGTH = 50
LIST_PATH = "/instances"


class _Page(msgspec.Struct):
    instances: list[Backend]
    next_page_token: str | None


class PlatformList(HttpServer):
    """Serves `backends` in pages; changes to the list take effect at once."""

    def __init__(self, address: Address, backends: Iterable[Backend] = ()):
        self.backends = list(backends)
        self.calls = 0
        super().__init__(address, self._serve)

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        if environ["PATH_INFO"] != LIST_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        self.calls += 1
        query = parse_qs(environ.get("QUERY_STRING", ""))
        body = msgspec.json.encode(self._page(int(query.get("page_token", ["0"])[0])))
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    def _page(self, start: int) -> _Page:
        end = start + PAGE_LENGTH
        return _Page(self.backends[start:end], str(end) if end < len(self.backends) else None)
