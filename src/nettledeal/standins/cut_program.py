"""The system's program with network partitions that a test controls.

Each line of the file SETTINGS.cuts drops one direction: `in HOST` for traffic from a host, `out HOST` for
traffic to it. Cut are the connections between core machines and to publishers, and membership's datagrams and
streams; operators and clients reach every machine.

As in a real partition, a cut connection stays silent, also if the other end dies; it breaks, and loses data
in flight, if the cut lasts longer than its sender's timeout.
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
from nettledeal.membership.host import Host

CHECK_INTERVAL_S = 0.02
BREAK_AFTER_S = 1.5


def cuts_path(settings_path: Path) -> Path:
    """The file that lists the cuts of a process."""
    return settings_path.with_suffix(".cuts")


class Cuts:
    """The current cuts; the file is read again every CHECK_INTERVAL_S."""

    def __init__(self, path: Path):
        self._path = path
        self._read_at = float("-inf")
        self._cuts: set[str] = set()

    def holds(self, direction: str, host: str) -> bool:
        """Whether this direction is cut."""
        now = time.monotonic()
        if now - self._read_at >= CHECK_INTERVAL_S:
            self._read_at = now
            self._cuts = set(self._path.read_text().splitlines()) if self._path.exists() else set()
        return f"{direction} {host}" in self._cuts

    def wait(self, direction: str, host: str) -> None:
        """Wait until a direction is open; raises ServingError if a connection would have broken meanwhile."""
        began = time.monotonic()
        while self.holds(direction, host):
            gevent.sleep(CHECK_INTERVAL_S)
        if time.monotonic() - began > BREAK_AFTER_S:
            raise ServingError(ErrorCode.CONNECTION_LOST, "cut", peer=host)


def install(cuts: Cuts) -> None:
    """Apply the cuts to connections between processes."""
    send, receive, connect = FrameConnection.send, FrameConnection.receive, connections.connect

    def cut_send(self, message):
        cuts.wait("out", self.peer.partition(":")[0])
        return send(self, message)

    def cut_receive(self, timeout_s=None):
        host = self.peer.partition(":")[0]
        try:
            message = receive(self, timeout_s)
        except ServingError:
            if cuts.holds("in", host):
                gevent.sleep(timeout_s or BREAK_AFTER_S)
            raise
        cuts.wait("in", host)
        return message

    def cut_connect(address, timeout_s, silence_s):
        if cuts.holds("out", address.host) or cuts.holds("in", address.host):
            gevent.sleep(timeout_s)
            raise ServingError(ErrorCode.CONNECTION_LOST, "connect", "cut", str(address))
        return connect(address, timeout_s, silence_s)

    FrameConnection.send, FrameConnection.receive = cut_send, cut_receive
    connections.connect = mesh.connect = cut_connect
    _install_in_membership(cuts)


def _install_in_membership(cuts: Cuts) -> None:
    """Drop what members send each other, at the receiver; a cut direction is listed at both ends."""
    decode = Host._decode

    def cut_decode(self, raw, max_bytes, source):
        return None if cuts.holds("in", source[0]) else decode(self, raw, max_bytes, source)

    Host._decode = cut_decode


if __name__ == "__main__":
    from nettledeal.programs.main import main

    install(Cuts(cuts_path(Path(os.environ[SETTINGS_VARIABLE]))))
    main()
