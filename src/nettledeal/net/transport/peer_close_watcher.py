"""Detects that a peer has closed its sending side, even behind unread bytes.

The event loop's own watchers report bytes and a close alike: while unread bytes are waiting, a close behind
them goes unnoticed. This module uses a separate epoll instance for close events only, which the loop watches.
"""

from __future__ import annotations

import select
from collections.abc import Callable

from gevent import get_hub

_READABLE = 1
# epoll always reports errors and resets as well.
_CLOSE_EVENTS = select.EPOLLRDHUP


class PeerCloseWatcher:
    """Watches connections for a close. Callbacks run in the event loop and must not block."""

    def __init__(self) -> None:
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._epoll: select.epoll | None = None
        self._watcher = None

    def watch(self, descriptor: int, on_close: Callable[[], None]) -> None:
        """Call `on_close` once, when the peer has closed its sending side or the connection is broken."""
        if self._epoll is None:
            self._epoll = select.epoll()
            self._watcher = get_hub().loop.io(self._epoll.fileno(), _READABLE)
        if not self._callbacks:
            self._watcher.start(self._notify)
        self._callbacks[descriptor] = on_close
        self._epoll.register(descriptor, _CLOSE_EVENTS)

    def unwatch(self, descriptor: int) -> None:
        """Stop watching, if the descriptor is watched. Must be called before the descriptor is closed."""
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
