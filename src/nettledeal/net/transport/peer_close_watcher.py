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
_CLOSE_EVENTS = select.EPOLLRDHUP


class PeerCloseWatcher:
    """The connections that are watched; `ended` callbacks run on the loop and must not wait."""

    def __init__(self) -> None:
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._epoll: select.epoll | None = None
        self._watcher = None

    def watch(self, descriptor: int, on_close: Callable[[], None]) -> None:
        """Call `ended` once, when the peer has ended its sending or the connection has broken."""
        if self._epoll is None:
            self._epoll = select.epoll()
            self._watcher = get_hub().loop.io(self._epoll.fileno(), _READABLE)
        if not self._callbacks:
            self._watcher.start(self._notify)
        self._callbacks[descriptor] = on_close
        self._epoll.register(descriptor, _CLOSE_EVENTS)

    def unwatch(self, descriptor: int) -> None:
        """Stop watching; of a connection that is not watched nothing is done. To be called before a close."""
        if self._callbacks.pop(descriptor, None) is None:
            return
        self._epoll.unregister(descriptor)
        if not self._callbacks:
            self._watcher.stop()

    def _notify(self) -> None:
        for descriptor, _ in self._epoll.poll(0):
            on_close = self._callbacks[descriptor]
            self.unwatch(descriptor)
            on_close()
