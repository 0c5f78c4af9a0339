"""Tells of connections whose peer has ended its sending behind bytes that nobody has read.

The loop's own watchers tell of bytes and of an end alike: once bytes wait unread, an end behind them is not
told. One more set of descriptors, which the loop watches in its turn, is told of ends alone.
"""

from __future__ import annotations

import select
from collections.abc import Callable

from gevent import get_hub

_READABLE = 1
# Errors and resets are told without being asked for.
_ENDS = select.EPOLLRDHUP


class HangUps:
    """The connections that are watched; `ended` callbacks run on the loop and must not wait."""

    def __init__(self) -> None:
        self._ended: dict[int, Callable[[], None]] = {}
        self._ends: select.epoll | None = None
        self._watcher = None

    def watch(self, descriptor: int, ended: Callable[[], None]) -> None:
        """Call `ended` once, when the peer has ended its sending or the connection has broken."""
        if self._ends is None:
            self._ends = select.epoll()
            self._watcher = get_hub().loop.io(self._ends.fileno(), _READABLE)
        if not self._ended:
            self._watcher.start(self._tell)
        self._ended[descriptor] = ended
        self._ends.register(descriptor, _ENDS)

    def unwatch(self, descriptor: int) -> None:
        """Stop watching; of a connection that is not watched nothing is done. To be called before a close."""
        if self._ended.pop(descriptor, None) is None:
            return
        self._ends.unregister(descriptor)
        if not self._ended:
            self._watcher.stop()

    def _tell(self) -> None:
        for descriptor, _ in self._ends.poll(0):
            ended = self._ended[descriptor]
            self.unwatch(descriptor)
            ended()
