"""A backend that is silent on a request: it is asked for a new connection, by which nothing is lost.

A backend that has crashed without a word, or is cut off, takes no connection; one that only works takes it.
So the loss of a backend is known within a fraction of what a first event may take, and a request that may run
more than once goes to another backend while it may still be in time. Silence alone ends no answer.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from nettledeal.dataplane.backend_connections import BackendConnection
from nettledeal.dataplane.selection import Attempt, Selector

# Between the events of a stream.
STREAM_CHECK_DELAY_S = 0.6
# How much longer the next silence may be after the backend was found there.
CHECK_DELAY_GROWTH = 2.0


class SilenceCheck:
    """Watches the connection of one attempt."""

    def __init__(
        self,
        selector: Selector,
        attempt: Attempt,
        connection: BackendConnection,
        could_retry: Callable[[], bool],
    ):
        self.selector = selector
        self.attempt = attempt
        self.connection = connection
        self.could_retry = could_retry
        self.check_delay_s = 0.0

    def on_request_sent(self) -> None:
        """The request has been sent."""
        self._set_timeout(self.selector.connect_check_delay_s(self.attempt))

    def on_head_received(self, resumable: bool) -> None:
        """The head has come; only a stream that can be taken up elsewhere is watched further."""
        self._set_timeout(STREAM_CHECK_DELAY_S if resumable else None)

    def keep_waiting(self) -> bool:
        """Whether to wait on after a silence; false where another backend should be asked instead."""
        if self.connection.pool.try_connect(time.monotonic()):
            self._set_timeout(CHECK_DELAY_GROWTH * self.check_delay_s)
            return True
        self.selector.record_unreachable(self.attempt.backend_id, time.monotonic())
        self._set_timeout(None)
        return not self.could_retry()

    def _set_timeout(self, check_delay_s: float | None) -> None:
        self.check_delay_s = check_delay_s or 0.0
        self.connection.sock.settimeout(check_delay_s)
