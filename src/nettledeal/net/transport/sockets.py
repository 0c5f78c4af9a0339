"""Socket helpers that the client side and the backend side share."""

from __future__ import annotations

import select
import struct
from array import array
from collections.abc import Sequence
from contextlib import suppress

from gevent import get_hub, socket
from gevent.event import Event

from nettledeal.net.address import Address

# The kernel accepts at most about a thousand parts, and many small parts are faster joined into one.
MAX_SENDMSG_PARTS = 32


# The socket module doesn't define this option.
_SO_ATTACH_REUSEPORT_CBPF = 51


def new_socket(address: Address) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


def listening_socket(address: Address, shared: bool = False) -> socket.socket:
    """A listening socket. A shared one lets a successor process listen at the same address (SO_REUSEPORT)."""
    sock = new_socket(address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(1024)
    except OSError:
        sock.close()
        raise
    return sock


def steer_connections(sock: socket.socket, index: int) -> bool:
    """Direct new connections on a shared port to one listener; returns whether the kernel accepts that.

    `index` counts the listeners in the order in which they began to listen. If there is no listener with that
    index any more, the kernel distributes connections as before.
    """
    # A BPF program of one instruction: return the index.
    program = array("B", struct.pack("HBBI", 0x06, 0, 0, index))
    program_address, _ = program.buffer_info()
    try:
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, program_address))
    except OSError:
        return False
    return True


def disable_nagle(sock: socket.socket) -> None:
    # Messages are written as a whole, so Nagle's algorithm would only delay their last part.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_all(sock: socket.socket, parts: Sequence[bytes | memoryview]) -> None:
    """Return once the kernel has taken the last byte; an exception means that it hasn't."""
    if len(parts) > MAX_SENDMSG_PARTS:
        parts = [b"".join(parts)]  # for example chunks of a few bytes each
    left = [memoryview(part) for part in parts if len(part)]
    while left:
        sent = sock.sendmsg(left)
        while left and sent >= len(left[0]):
            sent -= len(left[0])
            del left[0]
        if sent:
            left[0] = left[0][sent:]


def reset_connection(sock: socket.socket) -> None:
    """Close a connection with a reset, so that the kernel discards data that has not been delivered.

    After a normal close it would go on retransmitting, and deliver the request once a link that was down is
    up again: the work would run for nobody, or in addition to its retry.
    """
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def wait_readable(event: Event, sock: socket.socket, seconds: float | None) -> None:
    """Wait until the event is set, the socket is readable (which sets the event) or time is up."""
    watcher = get_hub().loop.io(sock.fileno(), 1)
    watcher.start(event.set)
    try:
        event.wait(seconds)
    finally:
        watcher.stop()
        watcher.close()


def peek_byte(sock: socket.socket) -> bytes | None:
    """The next byte, empty if the connection has ended or is broken, None if nothing has arrived."""
    try:
        # Use the underlying non-blocking socket: the gevent one would wait.
        return sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed its sending side or the connection is broken.

    Also detects a close behind unread bytes, which `peek_byte` can't see.
    """
    seen = peek_byte(sock)
    if not seen:
        return seen is not None
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    close_events = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return any(events & close_events for _, events in poll.poll(0))
