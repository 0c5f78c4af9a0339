"""Checks a backend that is silent during a request by opening a new connection, which does no harm.

A backend that has crashed without notice, or is partitioned, accepts no connection; a busy one does. So a
crash is detected within a fraction of the time that a first event may take, and a request that may run more
than once goes to another backend while it can still be in time. Silence alone never ends a response.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from nettledeal.dataplane.backend_connections import BackendConnection
from nettledeal.dataplane.selection import Attempt, Selector

# Silence between the events of a stream before the check.
STREAM_CHECK_DELAY_S = 0.6
# How much longer the next silence may be after a successful check.
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
        """The head has arrived; from here on only a resumable stream is checked."""
        self._set_timeout(STREAM_CHECK_DELAY_S if resumable else None)

    def keep_waiting(self) -> bool:
        """Whether to keep waiting after a silence; false if the request should go to another backend."""
        if self.connection.pool.try_connect(time.monotonic()):
            self._set_timeout(CHECK_DELAY_GROWTH * self.check_delay_s)
            return True
        self.selector.record_unreachable(self.attempt.backend_id, time.monotonic())
        self._set_timeout(None)
        return not self.could_retry()

    def _set_timeout(self, check_delay_s: float | None) -> None:
        self.check_delay_s = check_delay_s or 0.0
        self.connection.sock.settimeout(check_delay_s)
