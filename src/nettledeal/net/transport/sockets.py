"""What both sides of the agent do with a socket."""

from __future__ import annotations

import select
import struct
from array import array
from collections.abc import Sequence
from contextlib import suppress

from gevent import get_hub, socket
from gevent.event import Event

from nettledeal.net.address import Address

# The kernel takes no more than a thousand at once, and few are quicker as one.
MAX_SENDMSG_PARTS = 32


# SO_ATTACH_REUSEPORT_CBPF, which the library has no name for.
_SO_ATTACH_REUSEPORT_CBPF = 51


def new_socket(address: Address) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


def listening_socket(address: Address, shared: bool = False) -> socket.socket:
    """A listening socket; a shared one lets a successor listen at the same address, beside it."""
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
    """New connections to the port go to that one of those that listen there, in the order in which they
    began; whether the kernel takes that. Of a number that is none any more, it shares them out as before."""
    # One instruction: return the number.
    program = array("B", struct.pack("HBBI", 0x06, 0, 0, index))
    program_address, _ = program.buffer_info()
    try:
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, program_address))
    except OSError:
        return False
    return True


def disable_nagle(sock: socket.socket) -> None:
    # Messages go out whole: waiting for more to send would only delay their last part.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_all(sock: socket.socket, parts: Sequence[bytes | memoryview]) -> None:
    """Returns once the last byte is the kernel's; an error means that it is not."""
    if len(parts) > MAX_SENDMSG_PARTS:
        parts = [b"".join(parts)]  # chunks of a few bytes each
    left = [memoryview(part) for part in parts if len(part)]
    while left:
        sent = sock.sendmsg(left)
        while left and sent >= len(left[0]):
            sent -= len(left[0])
            del left[0]
        if sent:
            left[0] = left[0][sent:]


def reset_connection(sock: socket.socket) -> None:
    """Ends a connection with a reset, so that the kernel drops what has been written and has not arrived.
    After an end in order it would send that again until it arrives, once a link that was down is up: work
    begun for nobody, or beside its second copy."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def wait_readable(event: Event, sock: socket.socket, seconds: float | None) -> None:
    """Until the event is set, the socket has something to read or the time is over."""
    watcher = get_hub().loop.io(sock.fileno(), 1)
    watcher.start(event.set)
    try:
        event.wait(seconds)
    finally:
        watcher.stop()
        watcher.close()


def peek_byte(sock: socket.socket) -> bytes | None:
    """The next byte, nothing at an end or a break, None while nothing has come."""
    try:
        # The socket below is never a blocking one; asked through gevent it would wait.
        return sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_closed(sock: socket.socket) -> bool:
    """Whether the peer has ended its sending, or the connection has: also behind bytes that nobody has read,
    where `peek` does not see that far."""
    seen = peek_byte(sock)
    if not seen:
        return seen is not None
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    close_events = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return any(events & close_events for _, events in poll.poll(0))
