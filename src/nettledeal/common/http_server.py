"""An HTTP server at one address that serves a WSGI application."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from gevent.pywsgi import WSGIServer

from nettledeal.common.addresses import Address
from nettledeal.common.connections import listening_socket

Application = Callable[[dict, Callable], Iterable[bytes]]


class ErrorLog(Protocol):
    """Takes what the HTTP server has to say of broken calls."""

    def write(self, text: str) -> None:
        """Log a line."""

    def writelines(self, lines: Iterable[str]) -> None:
        """Log some lines."""

    def flush(self) -> None:
        """Nothing is held back."""


class HttpServer:
    """Listens from `start` to `stop`; calls under way at a stop are answered."""

    def __init__(self, address: Address, application: Application, error_log: ErrorLog | None = None):
        self._address = address
        self._application = application
        self._error_log = error_log
        self._server: WSGIServer | None = None

    @property
    def port(self) -> int:
        """The port listened on."""
        assert self._server is not None
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve; returns at once. Raises OSError if the address is taken."""
        listener = listening_socket(self._address)
        self._server = WSGIServer(listener, self._application, log=None, error_log=self._error_log)
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
