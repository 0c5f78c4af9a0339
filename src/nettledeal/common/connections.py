"""Sockets for internal connections, set up so that a silent peer is noticed."""

from __future__ import annotations

from gevent import socket

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.listeners import StandardSocket, early_listening_socket


def connect(address: Address, timeout_s: float, silence_s: float) -> socket.socket:
    """Connect within `timeout_s`; unacknowledged data ends the connection after `silence_s`.

    Raises ServingError with CONNECTION_LOST.
    """
    sock = None
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tune(sock, silence_s)
        sock.settimeout(timeout_s)
        sock.connect(address)
        sock.settimeout(None)
    except OSError as error:
        if sock is not None:
            sock.close()
        raise ServingError(ErrorCode.CONNECTION_LOST, "connect", str(error), str(address)) from None
    return sock


def tune(sock: socket.socket, silence_s: float) -> None:
    """Send small messages at once and give up on a peer that acknowledges nothing for `silence_s`."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000))


def listening_socket(address: Address) -> socket.socket:
    """A listening socket whose address can be taken over at once from a process that ended."""
    return cooperative(early_listening_socket(address))


def cooperative(listener: StandardSocket) -> socket.socket:
    """The same listener for use on the loop."""
    return socket.socket(fileno=listener.detach())
