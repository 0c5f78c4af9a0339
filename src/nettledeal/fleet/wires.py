"""What the rig's own processes have in common: told by lines of JSON on standard input, they answer on
standard output, write down what they see and hand it over at the end. Whoever started them is gone once the
input ends.
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
    """One clock for all processes of a machine, in tenths of a millisecond."""
    return time.monotonic_ns() // 100_000


class Post:
    """Its end of the two pipes."""

    def __init__(self) -> None:
        self.lines = FileObject(sys.stdin.buffer, "rb", close=False)
        self.records: list[tuple] = []

    def told(self) -> dict[str, Any]:
        line = self.lines.readline()
        if not line:
            os._exit(1)  # nobody is left to measure for
        return msgspec.json.decode(line)

    def say(self, **what: Any) -> None:
        sys.stdout.write(msgspec.json.encode(what).decode() + "\n")
        sys.stdout.flush()

    def serve(self, order: Callable[[dict], Any]) -> None:
        """Follows orders until the one to end, which hands the records over in the file that it names."""
        while True:
            told = self.told()
            if told["do"] == "end":
                Path(told["file"]).write_bytes(msgspec.msgpack.encode(self.records))
                self.say(ended=len(self.records))
                os._exit(0)
            try:
                order(told)
            except Exception as fault:
                self.say(fault=f"{told['do']}: {type(fault).__name__}: {fault}")
                continue
            if told.get("confirm"):
                self.say(done=True)


def accepting(sock: socket.socket, serve: Callable[[socket.socket, tuple], None]) -> None:
    """A greenlet a connection, until the listener is closed. A full descriptor table is said and waited
    out.
    """
    while True:
        try:
            peer, address = sock.accept()
        except OSError as fault:
            if sock.closed:
                return
            print(f"accept: {fault.strerror}", file=sys.stderr, flush=True)
            gevent.sleep(0.1)
            continue
        disable_nagle(peer)
        gevent.spawn(serve, peer, address)
