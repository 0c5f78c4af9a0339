"""Serves the operator's API over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from http import HTTPMethod, HTTPStatus

import gevent

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_server import HttpServer
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings
from nettledeal.operator_api.api import OperatorApi, StatusSection
from nettledeal.operator_api.messages import Request, Response, refused, unclear
from nettledeal.operator_api.node import ControlNode

MAX_BODY_BYTES = 16 << 20
BODY_TIMEOUT_S = 10.0
KNOWN_METHODS = frozenset(HTTPMethod)


class OperatorServer(HttpServer):
    """The HTTP server at the address that the settings give for `control_plane`."""

    def __init__(
        self,
        settings: Settings,
        node: ControlNode,
        status_sections: Mapping[str, StatusSection] | None = None,
        zones: Callable[[], Iterable[str]] | None = None,
    ):
        address = settings.listen.control_plane
        if address is None:
            raise ServingError(ErrorCode.INVALID_SETTINGS, "start operator API", "listen.control_plane: none")
        super().__init__(parse_address(address), self._serve, _ErrorLog())
        self._api = OperatorApi(node, address, zones or (lambda: settings.zones), status_sections)

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        """The WSGI application."""
        return self._respond(environ).begin(start_response)

    def _respond(self, environ: dict) -> Response:
        if environ["REQUEST_METHOD"] not in KNOWN_METHODS:
            return refused(HTTPStatus.METHOD_NOT_ALLOWED, environ["REQUEST_METHOD"])
        try:
            with gevent.Timeout(BODY_TIMEOUT_S):
                body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
        except (OSError, gevent.Timeout) as error:
            return unclear(f"the body did not arrive: {error}")
        if len(body) > MAX_BODY_BYTES:
            return refused(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"more than {MAX_BODY_BYTES} bytes")
        request = Request(
            HTTPMethod(environ["REQUEST_METHOD"]), environ["PATH_INFO"], environ.get("HTTP_IF_MATCH"), body
        )
        return self._api.handle(request)


class _ErrorLog:
    """What the HTTP server has to say of broken calls, as log events."""

    def write(self, text: str) -> None:
        """Log a line."""
        if text.strip():
            log_event("operator_api:http_error", text=text.strip())

    def writelines(self, lines: Iterable[str]) -> None:
        """Log some lines."""
        for line in lines:
            self.write(line)

    def flush(self) -> None:
        """Nothing is held back."""
