"""Listening sockets that need neither the loop nor the libraries of a plane.

A process listens with one before it loads those: what connects meanwhile waits in the kernel's backlog in
place of being reset, which matters most where many processes start at the same moment and no other is left.
"""

from __future__ import annotations

import socket

from nettledeal.common.addresses import Address

BACKLOG = 512

StandardSocket = socket.socket


def early_listening_socket(address: Address) -> StandardSocket:
    """A listening socket whose address can be taken over from a process that ended. Raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock
