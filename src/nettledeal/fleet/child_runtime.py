"""Common parts of the rig's child processes.

They receive JSON messages, one per line, on standard input and reply on standard output. They record events
in memory and write them to a file at the end. End of input means that the parent has exited.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.fileobject import FileObject

from nettledeal.model import Time
from nettledeal.net.transport.sockets import disable_nagle


def now() -> Time:
    """Monotonic time in tenths of a millisecond, shared by all processes of a machine."""
    return time.monotonic_ns() // 100_000


class ControlPipe:
    """The child's end of the pipes to the rig."""

    def __init__(self) -> None:
        self.input_lines = FileObject(sys.stdin.buffer, "rb", close=False)
        self.records: list[tuple] = []

    def read_message(self) -> dict[str, Any]:
        line = self.input_lines.readline()
        if not line:
            os._exit(1)  # the rig has exited
        return msgspec.json.decode(line)

    def say(self, **fields: Any) -> None:
        sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
        sys.stdout.flush()

    def serve(self, handle_message: Callable[[dict], Any]) -> None:
        """Handles messages until `end`, which writes the records to the file that it names and exits."""
        while True:
            message = self.read_message()
            if message["do"] == "end":
                Path(message["file"]).write_bytes(msgspec.msgpack.encode(self.records))
                self.say(ended=len(self.records))
                os._exit(0)
            try:
                handle_message(message)
            except Exception as error:
                self.say(fault=f"{message['do']}: {type(error).__name__}: {error}")
                continue
            if message.get("confirm"):
                self.say(done=True)


def accept_connections(listener: socket.socket, serve: Callable[[socket.socket, tuple], None]) -> None:
    """Accepts connections, each served by a greenlet, until the listener is closed. Accept errors, such as a
    full descriptor table, are logged and retried after 100 ms.
    """
    while True:
        try:
            connection, address = listener.accept()
        except OSError as error:
            if listener.closed:
                return
            print(f"accept: {error.strerror}", file=sys.stderr, flush=True)
            gevent.sleep(0.1)
            continue
        disable_nagle(connection)
        gevent.spawn(serve, connection, address)
