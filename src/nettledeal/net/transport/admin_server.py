"""The admin port: a separate address with one command per connection and its own share of descriptors."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import structlog
from gevent import socket

from nettledeal.net.address import Address
from nettledeal.net.counters import Counters
from nettledeal.net.protocol import admin_commands
from nettledeal.net.protocol.admin_commands import AdminCommand, CommandRefused
from nettledeal.net.transport.budget import MAX_ADMIN_CALLERS
from nettledeal.net.transport.sockets import listening_socket, send_all

# A caller that doesn't complete its line within this time is disconnected.
LINE_TIMEOUT_S = 5.0
MAX_READ_BYTES = 16 * 1024
# A command not carried out by then is refused: callers wait for one second.
COMMAND_TIMEOUT_S = 0.9

log = structlog.get_logger()


class AdminServer:
    def __init__(self, address: Address, counters: Counters, carry_out: Callable[[AdminCommand], str]):
        """`carry_out` returns the answer to a command once it is in force, or raises `CommandRefused`."""
        self.sock = listening_socket(address)
        self.counters = counters
        self.carry_out = carry_out
        self.silent_callers: dict[socket.socket, None] = {}  # no complete line yet; oldest first
        self.open_callers = 0

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                if self.sock.closed:
                    return
                gevent.sleep(0.01)
                continue
            self.open_callers += 1
            if self.open_callers > MAX_ADMIN_CALLERS and self.silent_callers:
                # Silent callers must not block others: disconnect the oldest.
                self.counters["silent callers at the door ended"] += 1
                longest = next(iter(self.silent_callers))
                del self.silent_callers[longest]
                longest.close()
            self.silent_callers[sock] = None
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            with gevent.Timeout(LINE_TIMEOUT_S):
                line = self._read_line(sock)
            self.silent_callers.pop(sock, None)
            if line:
                with gevent.Timeout(LINE_TIMEOUT_S):
                    send_all(sock, [self._execute(line)])
                    # Closing with unread bytes would send a reset, which could overtake the answer.
                    sock.shutdown(socket.SHUT_WR)
                    while len(line) < MAX_READ_BYTES and (more := sock.recv(4096)):
                        line += more
        except (OSError, gevent.Timeout):
            self.counters["calls at the door broken"] += 1
        finally:
            self.silent_callers.pop(sock, None)
            sock.close()
            self.open_callers -= 1

    def _read_line(self, sock: socket.socket) -> bytes:
        line = b""
        while b"\n" not in line and len(line) <= admin_commands.MAX_LINE_BYTES:
            more = sock.recv(admin_commands.MAX_LINE_BYTES + 1 - len(line))
            if not more:
                break
            line += more
        return line

    def _execute(self, line: bytes) -> bytes:
        first, end, rest = line.partition(b"\n")
        try:
            # An incomplete line may contain an incomplete id.
            if not end:
                raise CommandRefused(
                    "the line is "
                    + ("too long" if len(line) > admin_commands.MAX_LINE_BYTES else "cut short")
                )
            if rest:
                raise CommandRefused("one line to a connection")
            command = admin_commands.parse_command(first)
            with gevent.Timeout(COMMAND_TIMEOUT_S, CommandRefused("not carried out in time")):
                result = self.carry_out(command)
        except CommandRefused as why:
            log.warning("order refused", line=first[:80].decode("ascii", "replace"), why=str(why))
            return admin_commands.format_error(str(why))
        except Exception:
            self.counters.record_exception("order")
            return admin_commands.format_error("a fault of the agent")
        if command.name not in ("health", "members"):
            log.info("order carried out", order=command.name, backend=command.argument, said=result)
        return admin_commands.format_ok(result)

    def close(self) -> None:
        self.sock.close()
