"""Readiness check for the platform: `GET /readyz` at a separate address, and `GET /tenants`, if any."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus

import gevent
from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.common.connections import listening_socket
from nettledeal.dataplane.response_heads import agent_response

READY_PATH = b"/readyz"
TENANTS_PATH = b"/tenants"
MAX_REQUEST_BYTES = 4096
TIMEOUT_S = 5.0


class ReadinessServer:
    """Responds 200 while `is_ready()`, else 503; `tenants_page` returns counts per tenant, if any."""

    def __init__(self, is_ready: Callable[[], bool], tenants_page: Callable[[], bytes | None] = lambda: None):
        self.is_ready = is_ready
        self.tenants_page = tenants_page
        self._listener: socket.socket | None = None
        self._accept_loop: gevent.Greenlet | None = None

    def start(self, address: Address) -> None:
        """Raises OSError."""
        self._listener = listening_socket(address)
        self._accept_loop = gevent.spawn(self._accept, self._listener)

    def stop(self) -> None:
        """Close the listener."""
        if self._accept_loop is not None:
            self._accept_loop.kill()
        if self._listener is not None:
            self._listener.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                gevent.sleep(TIMEOUT_S / 100)
                continue
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(TIMEOUT_S)
        with sock, suppress(OSError):
            received = b""
            while True:
                while b"\r\n\r\n" not in received:
                    data = sock.recv(MAX_REQUEST_BYTES)
                    if not data or len(received) > MAX_REQUEST_BYTES:
                        return
                    received += data
                head, _, received = received.partition(b"\r\n\r\n")
                sock.sendall(self._answer(head))

    def _answer(self, head: bytes) -> bytes:
        words = head.split(b" ", 2)
        path = words[1].partition(b"?")[0] if len(words) == 3 else b""
        page = self.tenants_page() if path == TENANTS_PATH else None
        if page is not None:
            return agent_response(HTTPStatus.OK, body=page)
        return agent_response(self._status(path))

    def _status(self, path: bytes) -> HTTPStatus:
        if path != READY_PATH:
            return HTTPStatus.NOT_FOUND
        return HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
