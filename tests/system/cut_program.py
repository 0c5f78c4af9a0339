"""The system's program with links that a test cuts: the file SETTINGS.cuts lists, a line each, `in HOST` for
hosts from which nothing arrives and `out HOST` for those to which nothing goes.

As with a cut network, a connection says nothing while it is cut; it ends once it was cut for longer than its
sender waits, and what was on its way is lost with it.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import gevent

from nettledeal.common import connections
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.messages import FrameConnection
from nettledeal.common.settings import SETTINGS_VARIABLE
from nettledeal.control import mesh

CHECK_S = 0.02
GIVEN_UP_S = 1.5


def cuts_path(settings_path: Path) -> Path:
    """Where the cuts of a process are listed."""
    return settings_path.with_suffix(".cuts")


class Cuts:
    """The present cuts, read again whenever the file changes."""

    def __init__(self, path: Path):
        self._path = path
        self._read_at = float("-inf")
        self._cuts: set[str] = set()

    def holds(self, direction: str, host: str) -> bool:
        """Whether nothing passes in that direction."""
        now = time.monotonic()
        if now - self._read_at >= CHECK_S:
            self._read_at = now
            self._cuts = set(self._path.read_text().splitlines()) if self._path.exists() else set()
        return f"{direction} {host}" in self._cuts

    def wait(self, direction: str, host: str) -> None:
        """Return when the way is open; raises ServingError where a connection would have ended meanwhile."""
        began = time.monotonic()
        while self.holds(direction, host):
            gevent.sleep(CHECK_S)
        if time.monotonic() - began > GIVEN_UP_S:
            raise ServingError(ErrorCode.CONNECTION_LOST, "cut", peer=host)


def install(cuts: Cuts) -> None:
    """Have connections between processes obey the cuts."""
    send, receive, connect = FrameConnection.send, FrameConnection.receive, connections.connect

    def cut_send(self, message):
        cuts.wait("out", self.peer.partition(":")[0])
        return send(self, message)

    def cut_receive(self, timeout_s=None):
        message = receive(self, timeout_s)
        cuts.wait("in", self.peer.partition(":")[0])
        return message

    def cut_connect(address, timeout_s, silence_s):
        if cuts.holds("out", address.host) or cuts.holds("in", address.host):
            gevent.sleep(timeout_s)
            raise ServingError(ErrorCode.CONNECTION_LOST, "connect", "cut", str(address))
        return connect(address, timeout_s, silence_s)

    FrameConnection.send, FrameConnection.receive = cut_send, cut_receive
    connections.connect = mesh.connect = cut_connect


if __name__ == "__main__":
    from nettledeal.programs.main import main

    install(Cuts(cuts_path(Path(os.environ[SETTINGS_VARIABLE]))))
    main()
